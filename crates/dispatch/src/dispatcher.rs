//! The dispatcher: one state machine that holds requests and decides for each.

/// Decides for one router.
pub struct Dispatcher {}
