//! The environment of a controller in a real process: sockets, a disk, and the system's monotonic clock.

use crate::controller::consensus::disk::Disk;
use crate::controller::endpoints::tombstone_log::TombstoneWrite;
use crate::controller::environment::Environment;
use crate::controller::event::Event;
use crate::controller::membership::links::maintain_link;
use crate::controller::placement::endpoint_client::EndpointClient;
use crate::controller::placement::placers::{OrderTenure, ServiceAction, execute_action};
use crate::message::Hello;
use lanegate_config::settings::{Settings, SettingsError};
use lanegate_coordination::register::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The environment of a real process. Must be used inside a `LocalSet`.
#[derive(Debug)]
pub(super) struct Process {
    /// When the process started.
    pub started: Instant,
    /// Port on which controllers accept links.
    pub link_port: u16,
    /// First message on every link that is opened.
    pub hello: Hello,
    pub disk: Disk,
    pub events: mpsc::UnboundedSender<Event>,
    pub endpoint_client: EndpointClient,
    /// Tasks that maintain the links to other controllers, by control address.
    pub links: BTreeMap<SocketAddr, AbortHandle>,
}

impl Environment for Process {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn open_link(&mut self, peer: SocketAddr) {
        let address = SocketAddr::new(peer.ip(), self.link_port);
        let link = maintain_link(peer, address, self.hello.clone(), self.events.clone());
        self.links.insert(peer, link);
    }

    fn close_link(&mut self, peer: SocketAddr) {
        if let Some(link) = self.links.remove(&peer) {
            link.abort();
        }
    }

    fn persist(&mut self, shard: u8, token: u64, record: Record) {
        self.disk.write(shard, token, record);
    }

    fn persist_tombstones(&mut self, write: TombstoneWrite) {
        self.disk.write_tombstones(write);
    }

    fn execute_action(&mut self, action: ServiceAction, owner: &str, epoch: u64, send_by: Duration) {
        let tenure = OrderTenure { owner: owner.to_owned(), epoch };
        let send_by = self.started + send_by;
        let (client, events) = (self.endpoint_client.clone(), self.events.clone());
        tokio::task::spawn_local(execute_action(client, action, tenure, send_by, events));
    }

    fn read_settings(&mut self) -> Result<Settings, SettingsError> {
        Settings::from_environment()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.links.values().for_each(AbortHandle::abort);
    }
}
