//! The auditor: judges a journal by the invariants, from outside.

mod answers;
mod configuration;
mod leaving;
mod orders;
mod processes;
mod requests;
mod view;

use crate::journal::Event;
use crate::names::{AttemptId, InstanceId};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use view::View;

/// What has to hold in every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A request that was read whole ends with a whole answer or a refusal, unless its router was killed, its
    /// endpoint broke off or its time was over.
    Lost,
    /// No request is held beyond its deadline.
    Overdue,
    /// A request that may not be repeated runs once for each attempt.
    RunTwice,
    /// What was refused with the promise that it never runs has not run.
    RefusedAfterRun,
    /// An answer belongs to its request, and is that of an endpoint that ran it.
    WrongAnswer,
    /// The events of a stream that looks whole are all there, once each and in order.
    EventOrder,
    /// A configuration that was acknowledged is read back, and never an older one.
    StaleRead,
    /// One version has one content, of a change that was sent and not refused.
    ConfigurationConflict,
    /// A change that was taken is not refused when it is sent again.
    RefusedAfterTaken,
    /// A proper change gets a clear answer in time.
    Unanswered,
    /// Requests go where a configuration in force sends them.
    StaleRoute,
    /// No order loads more than an engine has room for.
    BeyondRoom,
    /// One token, one holder; tokens never go back; holders keep the lease between them.
    TwoHolders,
    /// No request reaches an endpoint long after its leaving was acknowledged.
    AfterLeaving,
    /// Everything is served again some time after the last trouble.
    Recovery,
    /// Processes end only when they are told to, and within their time.
    ProcessEnd,
    /// The processes count no violation themselves.
    OwnCounters,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 17] = [
        Invariant::Lost,
        Invariant::Overdue,
        Invariant::RunTwice,
        Invariant::RefusedAfterRun,
        Invariant::WrongAnswer,
        Invariant::EventOrder,
        Invariant::StaleRead,
        Invariant::ConfigurationConflict,
        Invariant::RefusedAfterTaken,
        Invariant::Unanswered,
        Invariant::StaleRoute,
        Invariant::BeyondRoom,
        Invariant::TwoHolders,
        Invariant::AfterLeaving,
        Invariant::Recovery,
        Invariant::ProcessEnd,
        Invariant::OwnCounters,
    ];
}

/// An invariant that did not hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub invariant: Invariant,
    /// Since the run began.
    pub at: Duration,
    pub attempt: Option<AttemptId>,
    pub instance: Option<InstanceId>,
    /// What was seen.
    pub seen: String,
}

impl Violation {
    fn new(invariant: Invariant, at: Duration, seen: impl Into<String>) -> Self {
        Violation { invariant, at, attempt: None, instance: None, seen: seen.into() }
    }

    fn of_attempt(self, attempt: AttemptId) -> Self {
        Violation { attempt: Some(attempt), ..self }
    }

    fn of_instance(self, instance: InstanceId) -> Self {
        Violation { instance: Some(instance), ..self }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.invariant, self.at.as_secs_f64(), self.seen)
    }
}

/// What became of the attempts and wishes of a run; nothing is judged by it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    pub attempts: usize,
    pub ends: BTreeMap<&'static str, usize>,
    pub requests: usize,
    pub served: usize,
    pub orders: usize,
    pub acknowledged_changes: usize,
    pub reads: usize,
}

/// What the auditor says of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Verdict {
    /// In order of time.
    pub violations: Vec<Violation>,
    pub figures: Figures,
}

impl Verdict {
    /// Whether every invariant held.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Violations of one invariant.
    pub fn count(&self, invariant: Invariant) -> usize {
        self.violations.iter().filter(|violation| violation.invariant == invariant).count()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Figures { attempts, ends, requests, served, orders, acknowledged_changes, reads } = &self.figures;
        writeln!(f, "requests {requests}, served {served}, attempts {attempts}: {ends:?}")?;
        writeln!(f, "orders {orders}, changes acknowledged {acknowledged_changes}, reads {reads}")?;
        for invariant in Invariant::ALL {
            write!(f, "{invariant:?} {}  ", self.count(invariant))?;
        }
        Ok(())
    }
}

type Rule = fn(&View) -> Vec<Violation>;

const RULES: [Rule; 12] = [
    requests::lost,
    requests::overdue,
    requests::run_twice,
    requests::refused_after_run,
    answers::wrong_answer,
    answers::event_order,
    configuration::judge,
    configuration::stale_route,
    orders::beyond_room,
    orders::two_holders,
    leaving::after_leaving,
    processes::judge,
];

/// Judges a journal.
pub fn judge(events: &[Event]) -> Verdict {
    let view = View::of(events);
    let mut violations: Vec<Violation> = RULES.iter().flat_map(|rule| rule(&view)).collect();
    violations.sort_by_key(|violation| violation.at);
    Verdict { violations, figures: view.figures() }
}
