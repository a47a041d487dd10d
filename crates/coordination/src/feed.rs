//! Change feed: a journal in memory from which readers tail changes by offset, or start with a snapshot.

use std::collections::VecDeque;

/// Where a reader stands: which source's journal, and how much of it the reader has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Life of the process whose journal it is; 0 for a reader that has none yet.
    pub source: u64,
    /// Offset of the next change that the reader needs.
    pub offset: u64,
}

/// How a reader that stands at some position is brought up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The changes from this offset on are still in the journal.
    Tail { from: u64 },
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
    /// An empty journal of the source `source` (not 0) that keeps `capacity` changes.
    pub fn new(source: u64, capacity: usize) -> Self {
        Journal { source, first: 0, changes: VecDeque::new(), capacity }
    }

    /// Appends a change and tells its offset.
    pub fn append(&mut self, change: C) -> u64 {
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(change);
        self.end().offset - 1
    }

    /// The position of a reader that has applied everything.
    pub fn end(&self) -> Position {
        Position { source: self.source, offset: self.first + self.changes.len() as u64 }
    }

    /// How to bring a reader at `position` up to date.
    pub fn start(&self, position: Position) -> Start {
        let kept = self.first..=self.end().offset;
        if position.source == self.source && kept.contains(&position.offset) {
            return Start::Tail { from: position.offset };
        }
        Start::Snapshot
    }

    /// The changes from `offset` on.
    pub fn tail(&self, offset: u64) -> impl Iterator<Item = &C> {
        self.changes.iter().skip(offset.saturating_sub(self.first) as usize)
    }
}
