//! The control interface over HTTP: changes and reads of the configuration, registrations, the status document.

#[cfg(test)]
mod answers_test;
pub(super) mod control_calls;
pub(super) mod http;
#[cfg(test)]
mod http_callers_test;
#[cfg(test)]
mod http_test;
pub(super) mod pending_changes;
#[cfg(test)]
mod pending_changes_test;
pub(super) mod unavailable;
