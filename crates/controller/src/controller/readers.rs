//! The agents that follow this controller's feed.

use crate::link::Outbox;
use crate::message::{FeedBeat, Hello, Message};
use bytes::Bytes;
use lanegate_coordination::feed::{Journal, Position, Start};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Changes kept for readers that come back: some minutes of an uneasy day.
const JOURNAL_CHANGES: usize = 2_048;

/// The journal of the feed, and its readers.
#[derive(Debug)]
pub struct Readers {
    journal: Journal<Bytes>,
    outboxes: BTreeMap<u64, Outbox>,
    /// The last snapshot, as frames, and where in the journal it stands: readers that come together share it.
    snapshot: Option<(Position, Arc<[Bytes]>)>,
}

impl Readers {
    /// A feed whose source is this `life` of the process.
    pub fn new(life: u64) -> Self {
        Readers { journal: Journal::new(life, JOURNAL_CHANGES), outboxes: BTreeMap::new(), snapshot: None }
    }

    /// Appends a change and sends it to all readers.
    pub fn append(&mut self, message: &Message) {
        let frame = message.frame();
        self.journal.append(frame.clone());
        self.send_all(frame);
    }

    /// Sends what is no change: heartbeats.
    pub fn beat(&mut self, quorum: bool, routers: u32) {
        let frame = self.beat_message(quorum, routers).frame();
        self.send_all(frame);
    }

    /// Starts a reader: the changes that it lacks, or all of `snapshot`.
    pub fn up(
        &mut self,
        reader: u64,
        hello: &Hello,
        outbox: Outbox,
        snapshot: impl FnOnce() -> Vec<Message>,
        beat: (bool, u32),
    ) {
        match self.journal.start(Position { source: hello.source, offset: hello.offset }) {
            Start::Tail { from } => {
                for frame in self.journal.tail(from) {
                    outbox.send(frame.clone());
                }
            }
            Start::Snapshot => {
                for frame in self.snapshot_frames(snapshot).iter() {
                    outbox.send(frame.clone());
                }
            }
        }
        outbox.message(&self.beat_message(beat.0, beat.1));
        self.outboxes.insert(reader, outbox);
    }

    /// The frames of a snapshot as of now. Encoded anew only after a change.
    fn snapshot_frames(&mut self, snapshot: impl FnOnce() -> Vec<Message>) -> Arc<[Bytes]> {
        let end = self.journal.end();
        if let Some((_, frames)) = self.snapshot.as_ref().filter(|(position, _)| *position == end) {
            return frames.clone();
        }
        let frames: Arc<[Bytes]> = snapshot().iter().map(Message::frame).collect();
        self.snapshot = Some((end, frames.clone()));
        frames
    }

    /// A reader has gone.
    pub fn down(&mut self, reader: u64) {
        self.outboxes.remove(&reader);
    }

    /// Readers now.
    pub fn count(&self) -> usize {
        self.outboxes.len()
    }

    fn beat_message(&self, quorum: bool, routers: u32) -> Message {
        let Position { source, offset } = self.journal.end();
        Message::FeedBeat(FeedBeat { quorum: u8::from(quorum), source, offset, routers })
    }

    fn send_all(&mut self, frame: Bytes) {
        self.outboxes.retain(|_, outbox| outbox.send(frame.clone()));
    }
}
