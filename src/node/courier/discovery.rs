//! The courier's watch on discovery's endpoint list.

use super::Courier;
use crate::node::discovery::Watch;
use std::net::SocketAddr;

impl Courier {
    /// Starts the watch if there is none. It never ends, and reconnects by itself.
    pub(super) fn watch(&mut self) {
        if self.watch.is_none() {
            self.watch_from(self.seq.unwrap_or(0), self.seq.is_none());
        }
    }

    fn watch_from(&mut self, seq: u64, fresh: bool) {
        let (fleet, grace) = (self.config.settings.couriers, self.config.settings.drain_grace);
        let watch =
            Watch { address: self.config.discovery, seed: self.config.seed, seq, fresh, fleet, grace };
        let task = tokio::task::spawn_local(watch.run(self.inputs.clone()));
        self.watch = Some(task.abort_handle());
    }

    /// Stops the watch.
    pub(in crate::node) fn leave_watch(&mut self) {
        self.watch.take().into_iter().for_each(|watch| watch.abort());
    }

    /// Switches to another address of discovery. A watch left at the old one would learn of drains only after that
    /// closed the connection. The new one's versions need not continue the old one's, so the full list is requested.
    pub(super) fn move_discovery(&mut self, discovery: SocketAddr) {
        if std::mem::replace(&mut self.config.discovery, discovery) == discovery {
            return;
        }
        self.platform.move_to(discovery);
        if let Some(watch) = self.watch.take() {
            watch.abort();
            self.seq = None;
            self.watch_from(0, true);
        }
    }
}
