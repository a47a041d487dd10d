//! What a controller needs from the outside: a clock, links, a disk, calls to endpoints, its settings file.
//!
//! Everything else comes in as an [`Event`](crate::controller::event::Event). A process gives a controller the real
//! world; a simulation gives it one that runs on simulated time.

use crate::controller::placement::placers::ServiceAction;
use lanegate_config::settings::{Settings, SettingsError};
use lanegate_coordination::register::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// The environment of one controller. No call blocks; what takes time completes with an event.
pub(crate) trait Environment {
    /// Time since the process started, from a monotonic clock that goes on while the process is frozen.
    fn now(&self) -> Duration;

    /// Keeps a link to the controller `peer` (its control address) until [`Environment::close_link`].
    fn open_link(&mut self, peer: SocketAddr);

    /// Ends the link to `peer`.
    fn close_link(&mut self, peer: SocketAddr);

    /// Writes a record of `shard`; its completion arrives as an event with `token`.
    fn persist(&mut self, shard: u8, token: u64, record: Record);

    /// Calls an endpoint on behalf of `owner`, whose tenure has the epoch `epoch`. An order that has not begun
    /// to be sent at `send_by` (a reading of [`Environment::now`]) is not sent.
    fn execute_action(&mut self, action: ServiceAction, owner: &str, epoch: u64, send_by: Duration);

    /// Reads the settings file again.
    fn read_settings(&mut self) -> Result<Settings, SettingsError>;
}
