//! The interface between an agent and its surroundings: clock, links to controllers, settings file.

use crate::message::Hello;
use lanegate_config::settings::{Settings, SettingsError};
use std::net::SocketAddr;
use std::time::Duration;

/// Clock, links and settings file of one agent. No method blocks; the outcome of an operation on a link is reported as
/// a [`SourceEvent`](crate::subscription::SourceEvent).
pub(crate) trait Environment {
    /// Time since the process started.
    fn now(&self) -> Duration;

    /// Connects to the controller that accepts links at `source`, and follows its feed until the link fails, receives
    /// nothing for [`SOURCE_TIMEOUT`](super::SOURCE_TIMEOUT), or [`Environment::unfollow`] ends it.
    fn follow(&mut self, source: SocketAddr, hello: Hello);

    /// Ends the link to `source`, if there is one.
    fn unfollow(&mut self, source: SocketAddr);

    /// Reads the settings file again.
    fn read_settings(&mut self) -> Result<Settings, SettingsError>;
}
