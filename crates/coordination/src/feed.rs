//! Change feed: an in-memory journal of changes. A subscriber follows it from an offset, or starts with a snapshot.

use std::collections::VecDeque;

/// The position of a subscriber: which source's journal it follows, and how much of that it has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Incarnation of the process whose journal it is; 0 for a subscriber that has none yet.
    pub source: u64,
    /// Offset of the next change that the subscriber needs.
    pub offset: u64,
}

/// How a subscriber at some position is brought up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The changes from this offset on are sent; they are still in the journal.
    Tail {
        /// Offset of the first change to send.
        from: u64,
    },
    /// A snapshot first, then the changes from the end of the journal on.
    Snapshot,
}

/// The newest changes of one source, each with its offset.
#[derive(Debug)]
pub struct Journal<C> {
    source: u64,
    first: u64,
    changes: VecDeque<C>,
    capacity: usize,
}

impl<C> Journal<C> {
    /// An empty journal of `source` (not 0) that retains the newest `capacity` changes.
    pub fn new(source: u64, capacity: usize) -> Self {
        Journal { source, first: 0, changes: VecDeque::new(), capacity }
    }

    /// Appends a change and returns its offset.
    pub fn append(&mut self, change: C) -> u64 {
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(change);
        self.end().offset - 1
    }

    /// The position of a subscriber that has applied all changes.
    pub fn end(&self) -> Position {
        Position { source: self.source, offset: self.first + self.changes.len() as u64 }
    }

    /// How to bring a subscriber at `position` up to date.
    pub fn start(&self, position: Position) -> Start {
        let retained = self.first..=self.end().offset;
        if position.source == self.source && retained.contains(&position.offset) {
            return Start::Tail { from: position.offset };
        }
        Start::Snapshot
    }

    /// The changes from `offset` on.
    pub fn tail(&self, offset: u64) -> impl Iterator<Item = &C> {
        self.changes.iter().skip(offset.saturating_sub(self.first) as usize)
    }
}
