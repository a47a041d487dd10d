//! One member of a [`super::Cluster`]: its process, its disk and its side of a partition.

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
    /// Only members on the same side of a partition can reach each other.
    pub side: u8,
    /// The newest revision that this incarnation has learned.
    pub newest_committed: Option<u64>,
    pub traffic: Traffic,
    pub bytes_written: u64,
}

impl Member {
    /// The record on disk.
    pub(super) fn stored(&self) -> Option<Record> {
        self.disk.as_deref().map(|bytes| Record::decode(bytes).expect("the stored record can be decoded"))
    }

    /// Writes a record; returns false if the disk is full.
    pub(super) fn save(&mut self, record: Record) -> bool {
        if self.disk_full {
            return false;
        }
        let bytes = record.encode().expect("every record can be encoded");
        self.bytes_written += bytes.len() as u64;
        self.disk = Some(bytes);
        true
    }

    pub(super) fn kill(&mut self) {
        self.replica = None;
        self.frozen = false;
        self.backlog.clear();
    }

    /// The replica, unless its process is dead or frozen.
    pub(super) fn running(&mut self) -> Option<&mut Replica> {
        self.replica.as_mut().filter(|_| !self.frozen)
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.replica.as_ref().filter(|_| !self.frozen).and_then(Replica::next_wake)
    }
}
