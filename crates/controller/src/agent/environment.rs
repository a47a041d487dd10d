//! What an agent needs from the outside: a clock, links to controllers, its settings file.

use crate::message::Hello;
use lanegate_config::settings::{Settings, SettingsError};
use std::net::SocketAddr;
use std::time::Duration;

/// The outside of one agent. Nothing here waits; what takes time ends with a
/// [`SourceEvent`](crate::subscription::SourceEvent).
pub(crate) trait Environment {
    /// Time since the process started.
    fn now(&self) -> Duration;

    /// Dials the controller whose links are at `source`, and follows its feed until the link fails, is
    /// silent for [`SOURCE_TIMEOUT`](super::SOURCE_TIMEOUT), or [`Environment::unfollow`] ends it.
    fn follow(&mut self, source: SocketAddr, hello: Hello);

    /// Ends the link to `source`, if there is one.
    fn unfollow(&mut self, source: SocketAddr);

    /// Reads the settings file again.
    fn read_settings(&mut self) -> Result<Settings, SettingsError>;
}
