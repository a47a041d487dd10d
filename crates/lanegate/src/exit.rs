//! Exit codes; 0 is success, a stop by SIGTERM included.

/// The process ended by an error, or a checked file has findings.
pub(crate) const FAILURE: u8 = 1;
/// The command line makes no sense.
pub(crate) const USAGE: u8 = 2;
/// The settings file cannot be used.
pub(crate) const SETTINGS: u8 = 3;
