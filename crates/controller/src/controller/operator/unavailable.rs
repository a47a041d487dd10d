//! Why a call was answered 503, and how often.

use std::cell::Cell;

/// Why there is no clear answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// This controller is about to end.
    Draining,
    /// Too many changes are under way here.
    TooManyChanges,
    /// A change was neither taken nor refused in time.
    ChangeNotCommitted,
    /// What became of a change cannot be told.
    ChangeUnclear,
    /// The configuration cannot be read without a majority.
    NoMajority,
    /// Too few controllers know of a heartbeat or of an end.
    HeartbeatNotReplicated,
    /// The call was dropped without an answer.
    Dropped,
}

impl Unavailable {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Unavailable; 7] = [
        Unavailable::Draining,
        Unavailable::TooManyChanges,
        Unavailable::ChangeNotCommitted,
        Unavailable::ChangeUnclear,
        Unavailable::NoMajority,
        Unavailable::HeartbeatNotReplicated,
        Unavailable::Dropped,
    ];

    /// What the caller is told.
    pub fn text(self) -> &'static str {
        match self {
            Unavailable::Draining => "this controller is about to end",
            Unavailable::TooManyChanges => "too many calls are under way",
            Unavailable::ChangeNotCommitted => "no clear answer in time; send the same again",
            Unavailable::NoMajority => "no majority of the controllers can be reached",
            Unavailable::HeartbeatNotReplicated => "too few controllers can be reached",
            Unavailable::ChangeUnclear | Unavailable::Dropped => "no clear answer",
        }
    }

    /// Its name as a label.
    pub fn name(self) -> &'static str {
        match self {
            Unavailable::Draining => "leaving",
            Unavailable::TooManyChanges => "too_many_changes",
            Unavailable::ChangeNotCommitted => "change_not_settled",
            Unavailable::ChangeUnclear => "change_unclear",
            Unavailable::NoMajority => "no_majority",
            Unavailable::HeartbeatNotReplicated => "heartbeat_not_replicated",
            Unavailable::Dropped => "dropped",
        }
    }
}

/// Calls answered 503, by reason.
#[derive(Debug, Default)]
pub struct UnavailableCounts([Cell<u64>; Unavailable::ALL.len()]);

impl UnavailableCounts {
    /// Counts a call.
    pub fn count(&self, reason: Unavailable) {
        let count = &self.0[reason as usize];
        count.set(count.get() + 1);
    }

    /// Calls answered 503 for this reason.
    pub fn get(&self, reason: Unavailable) -> u64 {
        self.0[reason as usize].get()
    }
}
