//! The interface between a controller and its surroundings: a clock, links, a disk, calls to endpoints, and the
//! settings file.
//!
//! All other input arrives as an [`Event`](crate::controller::event::Event). A process implements this with real
//! sockets, disks and time, a simulation with simulated ones.

use crate::controller::endpoints::tombstone_log::TombstoneWrite;
use crate::controller::placement::placers::ServiceAction;
use lanegate_config::settings::{Settings, SettingsError};
use lanegate_coordination::register::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// The environment of one controller. No method blocks; slow operations report their completion as an event.
pub(crate) trait Environment {
    /// Time since the process started, from a monotonic clock that keeps running while the process is frozen.
    fn now(&self) -> Duration;

    /// Opens a link to the controller with the control address `peer`, and reopens it whenever it fails, until
    /// [`Environment::close_link`].
    fn open_link(&mut self, peer: SocketAddr);

    /// Closes the link to `peer`.
    fn close_link(&mut self, peer: SocketAddr);

    /// Writes a record of `shard`; its completion arrives as an event with `token`.
    fn persist(&mut self, shard: u8, token: u64, record: Record);

    /// Writes the tombstone log; its completion arrives as an event with its version.
    fn persist_tombstones(&mut self, write: TombstoneWrite);

    /// Calls an endpoint on behalf of `owner`, whose tenure has the epoch `epoch`. An order that could not be sent by
    /// `send_by` (a reading of [`Environment::now`]) is dropped.
    fn execute_action(&mut self, action: ServiceAction, owner: &str, epoch: u64, send_by: Duration);

    /// Reads the settings file again.
    fn read_settings(&mut self) -> Result<Settings, SettingsError>;
}
