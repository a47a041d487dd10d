//! Invariants that the processes check while they run.
//!
//! A violation is a bug in this program, never a fault of a client or of the network. It is counted, and the process
//! goes on. This crate depends on nothing, so that state machines without I/O can use it; the counts are exported by
//! `lanegate-metrics`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must hold at all times. To add one, add a variant, its entry in [`Invariant::ALL`], its name and
/// its description; it is exported from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that may have run is not sent again, unless its route allows that.
    NonIdempotentSentOnce,
    /// A request is sent to no more endpoints than its route allows.
    AttemptsWithinLimit,
    /// A request of a client has one outcome.
    OneOutcome,
    /// A request that arrives after SIGTERM is rejected, or answered before the process ends.
    AcceptedRequestAnsweredBeforeShutdown,
    /// The version of the configuration in force at a process never decreases.
    ConfigurationVersionRises,
    /// The committed revision of a shard that a controller knows never decreases.
    RevisionRises,
    /// Each tenure of a lease has a higher epoch than those before it.
    EpochRises,
}

impl Invariant {
    /// All invariants, in the order of their discriminants.
    pub const ALL: [Invariant; 7] = [
        Invariant::NonIdempotentSentOnce,
        Invariant::AttemptsWithinLimit,
        Invariant::OneOutcome,
        Invariant::AcceptedRequestAnsweredBeforeShutdown,
        Invariant::ConfigurationVersionRises,
        Invariant::RevisionRises,
        Invariant::EpochRises,
    ];

    /// The name under which it is exported.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::NonIdempotentSentOnce => "unrepeatable_sent_once",
            Invariant::AttemptsWithinLimit => "attempts_within_limit",
            Invariant::OneOutcome => "one_outcome",
            Invariant::AcceptedRequestAnsweredBeforeShutdown => "taken_on_is_answered_before_end",
            Invariant::ConfigurationVersionRises => "configuration_version_rises",
            Invariant::RevisionRises => "revision_rises",
            Invariant::EpochRises => "epoch_rises",
        }
    }

    /// What it requires, for operators.
    pub fn description(self) -> &'static str {
        match self {
            Invariant::NonIdempotentSentOnce => {
                "a request that may have run is sent again only where its route allows that"
            }
            Invariant::AttemptsWithinLimit => "a request goes to at most MaxAttempts endpoints",
            Invariant::OneOutcome => "a request of a client has one outcome",
            Invariant::AcceptedRequestAnsweredBeforeShutdown => {
                "a request that comes after the process was asked to end is refused, or answered before it ends"
            }
            Invariant::ConfigurationVersionRises => {
                "the configuration in force at a process never gets older"
            }
            Invariant::RevisionRises => "the revision of a shard that a controller has learned never falls",
            Invariant::EpochRises => "a tenure of a lease has a higher epoch than those before it",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Counters of violations, one per invariant. Clones share the counters; counting is one atomic addition.
#[derive(Debug, Clone, Default)]
pub struct Violations(Arc<[AtomicU64; Invariant::ALL.len()]>);

impl Violations {
    /// Counts a violation of `invariant`.
    pub fn record(&self, invariant: Invariant) {
        self.0[invariant.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a violation of `invariant` unless `holds`; returns `holds`.
    pub fn check(&self, invariant: Invariant, holds: bool) -> bool {
        if !holds {
            self.record(invariant);
        }
        holds
    }

    /// Violations of `invariant` since the start of the process.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.0[invariant.index()].load(Ordering::Relaxed)
    }
}
