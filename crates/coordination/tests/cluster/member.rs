//! One member of a [`super::Cluster`]: process, disk, and its place in the network.

use std::time::Duration;

use lanegate_coordination::register::{Record, Replica};

use super::Traffic;

#[derive(Default)]
pub(super) struct Member {
    pub replica: Option<Replica>,
    /// The encoded record.
    pub disk: Option<Vec<u8>>,
    pub disk_full: bool,
    pub frozen: bool,
    /// Messages that arrived while the process was frozen, with their senders.
    pub backlog: Vec<(usize, Vec<u8>)>,
    /// Members of one side reach each other.
    pub side: u8,
    /// The newest revision that this incarnation has learned.
    pub newest_committed: Option<u64>,
    pub traffic: Traffic,
    pub bytes_written: u64,
}

impl Member {
    /// What the disk holds.
    pub(super) fn stored(&self) -> Option<Record> {
        self.disk.as_deref().map(|bytes| Record::decode(bytes).expect("a record of a replica"))
    }

    /// Writes a record; false if the disk refuses.
    pub(super) fn save(&mut self, record: Record) -> bool {
        if self.disk_full {
            return false;
        }
        let bytes = record.encode().expect("a record of a replica");
        self.bytes_written += bytes.len() as u64;
        self.disk = Some(bytes);
        true
    }

    pub(super) fn kill(&mut self) {
        self.replica = None;
        self.frozen = false;
        self.backlog.clear();
    }

    /// The replica, unless its process is dead or stands still.
    pub(super) fn running(&mut self) -> Option<&mut Replica> {
        self.replica.as_mut().filter(|_| !self.frozen)
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.replica.as_ref().filter(|_| !self.frozen).and_then(Replica::next_wake)
    }
}
