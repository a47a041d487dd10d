//! The subscribers (agents) of this controller's feed.

use crate::configuration_feed::publisher::ConfigurationPublisher;
use crate::link::Outbox;
use crate::message::{CommittedConfiguration, ConfigurationVersion, FeedHeartbeat, Hello, Message};
use bytes::Bytes;
use lanegate_coordination::feed::{Journal, Position, Start};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of changes retained for subscribers that reconnect; enough for some minutes of frequent changes.
const JOURNAL_CHANGES: usize = 2_048;
/// Number of configurations retained as bases of deltas; enough for some seconds of frequent changes.
const RETAINED_CONFIGURATIONS: usize = 32;
/// Up to this many bytes of missed changes are sent without comparing their size with that of a snapshot.
const SHORT_TAIL_BYTES: usize = 64 * 1024;

/// The status that a heartbeat of the feed reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FeedStatus {
    /// Whether subscribers may rely on this source.
    pub is_trusted: bool,
    /// Number of live routers, 0 while it is not known.
    pub routers: u32,
}

/// The journal of the feed, and its subscribers. Configurations are not in the journal: they are announced, and
/// subscribers fetch them.
#[derive(Debug)]
pub(crate) struct Subscribers {
    journal: Journal<Bytes>,
    configurations: ConfigurationPublisher,
    outboxes: BTreeMap<u64, Outbox>,
    /// The last snapshot, as frames, and its position in the journal. Subscribers that connect between two changes share
    /// it.
    snapshot: Option<(Position, Arc<[Bytes]>)>,
}

impl Subscribers {
    /// An empty feed that identifies itself as the source `incarnation`.
    pub(crate) fn new(incarnation: u64) -> Self {
        Subscribers {
            journal: Journal::new(incarnation, JOURNAL_CHANGES),
            configurations: ConfigurationPublisher::with_capacity(RETAINED_CONFIGURATIONS),
            outboxes: BTreeMap::new(),
            snapshot: None,
        }
    }

    /// Appends a change and sends it to all subscribers.
    pub(crate) fn append(&mut self, message: &Message) {
        let frame = message.frame();
        self.journal.append(frame.clone());
        self.send_all(frame);
    }

    /// Announces a configuration to all subscribers.
    pub(crate) fn publish(&mut self, committed: CommittedConfiguration) {
        if let Some(announcement) = self.configurations.publish(committed) {
            self.send_all(announcement.frame());
        }
    }

    /// A subscriber that has `base` requests the newest configuration.
    pub(crate) fn fetch(&mut self, subscriber: u64, base: ConfigurationVersion) {
        let Some(frame) = self.configurations.answer(base) else { return };
        if let Some(outbox) = self.outboxes.get(&subscriber) {
            outbox.send(frame);
        }
    }

    /// Sends a heartbeat to all subscribers. Heartbeats are not in the journal.
    pub(crate) fn heartbeat(&mut self, status: FeedStatus) {
        let frame = self.heartbeat_message(status).frame();
        self.send_all(frame);
    }

    /// Adds a subscriber, and sends it the changes that it has missed or the whole `snapshot`.
    pub(crate) fn connected(
        &mut self,
        subscriber: u64,
        hello: &Hello,
        outbox: Outbox,
        snapshot: impl FnOnce() -> Vec<Message>,
        status: FeedStatus,
    ) {
        let position = Position { source: hello.source, offset: hello.offset };
        for frame in self.start(position, snapshot) {
            outbox.send(frame);
        }
        if let Some(announcement) = self.configurations.announcement() {
            outbox.message(&announcement);
        }
        outbox.message(&self.heartbeat_message(status));
        self.outboxes.insert(subscriber, outbox);
    }

    /// The frames that bring a subscriber at `position` up to date: the changes since then, or a snapshot if that is
    /// shorter or the changes are no longer retained.
    fn start(&mut self, position: Position, snapshot: impl FnOnce() -> Vec<Message>) -> Vec<Bytes> {
        let tail: Option<Vec<Bytes>> = match self.journal.start(position) {
            Start::Tail { from } => Some(self.journal.tail(from).cloned().collect()),
            Start::Snapshot => None,
        };
        match tail {
            Some(tail) if bytes(&tail) <= SHORT_TAIL_BYTES => tail,
            Some(tail) => {
                let frames = self.snapshot_frames(snapshot);
                if bytes(&tail) <= bytes(&frames) { tail } else { frames.to_vec() }
            }
            None => self.snapshot_frames(snapshot).to_vec(),
        }
    }

    /// The frames of a snapshot of the current state. Encoded again only after a change.
    fn snapshot_frames(&mut self, snapshot: impl FnOnce() -> Vec<Message>) -> Arc<[Bytes]> {
        let end = self.journal.end();
        if let Some((_, frames)) = self.snapshot.as_ref().filter(|(position, _)| *position == end) {
            return frames.clone();
        }
        let frames: Arc<[Bytes]> = snapshot().iter().map(Message::frame).collect();
        self.snapshot = Some((end, frames.clone()));
        frames
    }

    /// The link of a subscriber has closed.
    pub(crate) fn disconnected(&mut self, subscriber: u64) {
        self.outboxes.remove(&subscriber);
    }

    /// Number of subscribers.
    pub(crate) fn count(&self) -> usize {
        self.outboxes.len()
    }

    fn heartbeat_message(&self, status: FeedStatus) -> Message {
        let Position { source, offset } = self.journal.end();
        Message::FeedHeartbeat(FeedHeartbeat {
            quorum: u8::from(status.is_trusted),
            source,
            offset,
            routers: status.routers,
        })
    }

    fn send_all(&mut self, frame: Bytes) {
        self.outboxes.retain(|_, outbox| outbox.send(frame.clone()));
    }
}

fn bytes(frames: &[Bytes]) -> usize {
    frames.iter().map(Bytes::len).sum()
}
