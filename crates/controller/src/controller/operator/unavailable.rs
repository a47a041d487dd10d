//! Reasons for answering a call with 503, and their counts.

use std::cell::Cell;

/// Why a call was answered with 503.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// This controller is draining.
    Draining,
    /// Too many changes are in flight here.
    TooManyChanges,
    /// A change was neither committed nor refused in time.
    ChangeNotCommitted,
    /// The outcome of a change is not known.
    ChangeUnclear,
    /// The configuration cannot be read without a majority.
    NoMajority,
    /// Too few controllers have received a heartbeat or a deregistration.
    HeartbeatNotReplicated,
    /// The call was dropped without an answer.
    Dropped,
}

impl Unavailable {
    /// All reasons, in the order of their discriminants.
    pub(crate) const ALL: [Unavailable; 7] = [
        Unavailable::Draining,
        Unavailable::TooManyChanges,
        Unavailable::ChangeNotCommitted,
        Unavailable::ChangeUnclear,
        Unavailable::NoMajority,
        Unavailable::HeartbeatNotReplicated,
        Unavailable::Dropped,
    ];

    /// Error text of the answer.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Unavailable::Draining => "this controller is about to end",
            Unavailable::TooManyChanges => "too many calls are under way",
            Unavailable::ChangeNotCommitted => "no clear answer in time; send the same again",
            Unavailable::NoMajority => "no majority of the controllers can be reached",
            Unavailable::HeartbeatNotReplicated => "too few controllers can be reached",
            Unavailable::ChangeUnclear | Unavailable::Dropped => "no clear answer",
        }
    }

    /// Value of the metric label.
    pub(crate) fn name(self) -> &'static str {
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

/// Number of calls answered with 503, by reason.
#[derive(Debug, Default)]
pub(crate) struct UnavailableCounts([Cell<u64>; Unavailable::ALL.len()]);

impl UnavailableCounts {
    /// Counts a call.
    pub(crate) fn count(&self, reason: Unavailable) {
        let count = &self.0[reason as usize];
        count.set(count.get() + 1);
    }

    /// Number of calls answered with 503 for this reason.
    pub(crate) fn get(&self, reason: Unavailable) -> u64 {
        self.0[reason as usize].get()
    }
}
