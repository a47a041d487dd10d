//! Exit codes; 0 is success, a stop by SIGTERM included.

/// The process ended with an error, or a checked file has errors.
pub(crate) const FAILURE: u8 = 1;
/// The command line is invalid.
pub(crate) const USAGE: u8 = 2;
/// The settings file is missing or invalid.
pub(crate) const SETTINGS: u8 = 3;
