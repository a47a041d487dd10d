//! The environment of a simulated controller: collects its requests, which the world executes.

use super::disk::Write;
use super::environment::SimulatedEnvironment;
use crate::controller::{Environment, ServiceAction, TombstoneWrite};
use lanegate_config::settings::{Settings, SettingsError};
use lanegate_coordination::register::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// A request of a controller.
#[derive(Debug)]
pub(super) enum Request {
    OpenLink(SocketAddr),
    CloseLink(SocketAddr),
    Write(Write),
    WriteTombstones(TombstoneWrite),
    ExecuteAction { action: ServiceAction, epoch: u64, send_by: Duration },
}

impl Environment for SimulatedEnvironment<Request> {
    fn now(&self) -> Duration {
        self.process_time()
    }

    fn open_link(&mut self, peer: SocketAddr) {
        self.request(Request::OpenLink(peer));
    }

    fn close_link(&mut self, peer: SocketAddr) {
        self.request(Request::CloseLink(peer));
    }

    fn persist(&mut self, shard: u8, token: u64, record: Record) {
        self.request(Request::Write(Write::Shard { shard, token, record }));
    }

    fn persist_tombstones(&mut self, write: TombstoneWrite) {
        self.request(Request::WriteTombstones(write));
    }

    fn execute_action(&mut self, action: ServiceAction, _owner: &str, epoch: u64, send_by: Duration) {
        let send_by = self.started + send_by;
        self.request(Request::ExecuteAction { action, epoch, send_by });
    }

    fn read_settings(&mut self) -> Result<Settings, SettingsError> {
        Ok(self.settings_file())
    }
}
