//! The tombstones that have to outlast a restart: as of which sequence an incarnation is draining or deregistered.
//!
//! Invariant: an end that was acknowledged is on the disks of a majority of every group in force. A controller counts
//! itself, and confirms a flush to a peer, only once every tombstone that it has received is on its own disk. Without
//! this the end is forgotten when all processes are killed, and a heartbeat that the endpoint had sent before it, and
//! that arrives late, makes the endpoint ready again.
//!
//! Only what an endpoint itself announced is recorded. Endpoints that expired, or that another incarnation replaced, were
//! never acknowledged as gone. All tombstones are one record, which is written anew with each change; while a write is
//! pending, further changes wait and share the next one. They are retained as long as those in memory, which is far
//! longer than a heartbeat can be late.

use crate::message::Blob;
use deku::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a tombstone is retained after the end of its incarnation.
pub(crate) const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Delay before a write that failed is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// How long a flush of a peer waits for the disk. The peer does not wait longer for its confirmation.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of tombstones in a record. Decoding reserves memory by this number, so it has to be limited.
const MAX_TOMBSTONES: u32 = 1_000_000;

/// A tombstone on disk.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct StoredTombstone {
    /// Id of the incarnation.
    id: Blob,
    /// Registrations with a sequence up to this one are void.
    sequence: u64,
    /// For how long it has to be retained from the time of the write, ms.
    remaining_ms: u32,
}

/// All tombstones on disk.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(magic = b"LGT1", endian = "little")]
struct StoredTombstones {
    #[deku(update = "self.tombstones.len()", assert = "*count <= MAX_TOMBSTONES")]
    count: u32,
    #[deku(count = "count")]
    tombstones: Vec<StoredTombstone>,
}

/// A tombstone in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Tombstone {
    sequence: u64,
    retained_until: Duration,
}

/// A flush of a peer that waits until the tombstones received before it are on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitingFlush {
    peer: SocketAddr,
    token: u64,
    /// The version of the log that has to be on disk.
    version: u64,
    until: Duration,
}

/// A record to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TombstoneWrite {
    /// The version of the log that the record holds.
    pub version: u64,
    /// The encoded record.
    pub record: Vec<u8>,
}

/// The tombstones of one controller, and how many of them are on disk.
#[derive(Debug, Default)]
pub(crate) struct TombstoneLog {
    tombstones: BTreeMap<String, Tombstone>,
    /// Rises with each recorded tombstone.
    version: u64,
    /// The newest version that is on disk.
    durable_version: u64,
    /// The version that is being written.
    writing: Option<u64>,
    /// No write is begun before this time, after one that failed.
    write_not_before: Duration,
    waiting: Vec<WaitingFlush>,
}

/// The stored tombstones cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("tombstones not decoded: {0}")]
pub(crate) struct TombstoneLogError(#[from] DekuError);

impl TombstoneLog {
    /// The log that a process finds on disk when it starts at `now`.
    ///
    /// # Errors
    /// If the record is not a valid one.
    pub(crate) fn restore(now: Duration, record: &[u8]) -> Result<Self, TombstoneLogError> {
        let stored = StoredTombstones::try_from(record)?;
        let restored = stored.tombstones.into_iter().map(|stored| {
            let remaining = Duration::from_millis(stored.remaining_ms.into()).min(TOMBSTONE_RETENTION);
            let tombstone = Tombstone { sequence: stored.sequence, retained_until: now + remaining };
            (stored.id.text(), tombstone)
        });
        Ok(TombstoneLog { tombstones: restored.collect(), ..TombstoneLog::default() })
    }

    /// Ids and sequences of all tombstones.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.tombstones.iter().map(|(id, tombstone)| (id.as_str(), tombstone.sequence))
    }

    /// Records that the registrations of `id` up to `sequence` are void, unless that is known.
    pub(crate) fn record(&mut self, now: Duration, id: &str, sequence: u64) {
        if self.tombstones.get(id).is_some_and(|known| known.sequence >= sequence) {
            return;
        }
        let tombstone = Tombstone { sequence, retained_until: now + TOMBSTONE_RETENTION };
        self.tombstones.insert(id.to_owned(), tombstone);
        self.version += 1;
    }

    /// The version that contains everything recorded so far.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// The newest version that is on disk.
    pub(crate) fn durable_version(&self) -> u64 {
        self.durable_version
    }

    /// Takes the record that has to be written now, if any. At most one is written at a time.
    pub(crate) fn take_write(&mut self, now: Duration) -> Option<TombstoneWrite> {
        let has_changed = self.durable_version < self.version;
        if !has_changed || self.writing.is_some() || now < self.write_not_before {
            return None;
        }
        self.writing = Some(self.version);
        Some(TombstoneWrite { version: self.version, record: self.encode(now) })
    }

    /// The write of `version` has ended. If it failed, [`TombstoneLog::take_write`] returns a record again after
    /// [`WRITE_RETRY_DELAY`].
    pub(crate) fn write_ended(&mut self, now: Duration, version: u64, is_durable: bool) {
        self.writing = None;
        if is_durable {
            self.durable_version = self.durable_version.max(version);
        } else {
            self.write_not_before = now + WRITE_RETRY_DELAY;
        }
    }

    /// Whether a flush of `peer` may be confirmed now. Otherwise it is returned by
    /// [`TombstoneLog::take_confirmable`] later.
    pub(crate) fn may_confirm(&mut self, now: Duration, peer: SocketAddr, token: u64) -> bool {
        if self.durable_version == self.version {
            return true;
        }
        let until = now + FLUSH_TIMEOUT;
        self.waiting.push(WaitingFlush { peer, token, version: self.version, until });
        false
    }

    /// Takes the flushes that may be confirmed, each with its peer.
    pub(crate) fn take_confirmable(&mut self) -> Vec<(SocketAddr, u64)> {
        let durable = self.durable_version;
        let confirmable = self.waiting.extract_if(.., |flush| flush.version <= durable);
        confirmable.map(|flush| (flush.peer, flush.token)).collect()
    }

    /// Drops the tombstones whose retention has ended, which leave the disk with the next write, and the flushes for which
    /// nobody waits any more.
    pub(crate) fn purge(&mut self, now: Duration) {
        self.waiting.retain(|flush| flush.until >= now);
        self.tombstones.retain(|_, tombstone| tombstone.retained_until >= now);
    }

    fn encode(&self, now: Duration) -> Vec<u8> {
        let stored = self.tombstones.iter().map(|(id, tombstone)| StoredTombstone {
            id: id.as_str().into(),
            sequence: tombstone.sequence,
            remaining_ms: tombstone.retained_until.saturating_sub(now).as_millis() as u32,
        });
        let tombstones: Vec<StoredTombstone> = stored.collect();
        let stored = StoredTombstones { count: tombstones.len() as u32, tombstones };
        stored.to_bytes().expect("every record can be encoded")
    }
}
