//! The outcomes of client requests.

use crate::process::counters::Count;

/// The outcome of a request. Each request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The complete answer of an endpoint was forwarded, with a status of success.
    Answered,
    /// The complete answer of an endpoint was forwarded, with any other status.
    AnsweredWithError,
    /// Refused by the dispatcher: no endpoint had capacity in time.
    RefusedNoCapacity,
    /// Refused: the dispatcher ended the request before any endpoint executed it.
    RefusedNotSent,
    /// Refused because of shutdown.
    RefusedShutdown,
    /// Refused because there is no configuration yet.
    RefusedNoConfiguration,
    /// Refused because its route is unknown here, but a newer configuration may have it.
    RefusedConfigurationBehind,
    /// No route matches the request.
    RejectedNoRoute,
    /// The request is malformed, too long, or incomplete.
    RejectedMalformed,
    /// The request may have run, and its deadline has passed.
    FailedDeadline,
    /// The request may have run, and its route does not allow that it runs twice.
    FailedMayHaveRun,
    /// The request may have run, and the maximum number of attempts is reached.
    FailedAttempts,
    /// The request may have run, and shutdown aborted it.
    FailedShutdown,
    /// The answer was being forwarded when the deadline of the request passed.
    TruncatedDeadline,
    /// The answer was being forwarded when the endpoint broke it off, and it could not be resumed.
    TruncatedEndpoint,
    /// The answer was being forwarded when shutdown aborted it.
    TruncatedShutdown,
    /// The client disconnected.
    ClientDisconnected,
}

impl Outcome {
    /// All outcomes, in the order of their numbers.
    pub const ALL: [Outcome; 17] = [
        Outcome::Answered,
        Outcome::AnsweredWithError,
        Outcome::RefusedNoCapacity,
        Outcome::RefusedNotSent,
        Outcome::RefusedShutdown,
        Outcome::RefusedNoConfiguration,
        Outcome::RefusedConfigurationBehind,
        Outcome::RejectedNoRoute,
        Outcome::RejectedMalformed,
        Outcome::FailedDeadline,
        Outcome::FailedMayHaveRun,
        Outcome::FailedAttempts,
        Outcome::FailedShutdown,
        Outcome::TruncatedDeadline,
        Outcome::TruncatedEndpoint,
        Outcome::TruncatedShutdown,
        Outcome::ClientDisconnected,
    ];

    /// The kind of the outcome and its reason, as metric labels.
    pub fn labels(self) -> (&'static str, &'static str) {
        match self {
            Outcome::Answered => ("answered", "success"),
            Outcome::AnsweredWithError => ("answered", "endpoint_error"),
            Outcome::RefusedNoCapacity => ("refused", "no_room"),
            Outcome::RefusedNotSent => ("refused", "not_sent"),
            Outcome::RefusedShutdown => ("refused", "process_ending"),
            Outcome::RefusedNoConfiguration => ("refused", "no_configuration"),
            Outcome::RefusedConfigurationBehind => ("refused", "configuration_behind"),
            Outcome::RejectedNoRoute => ("rejected", "no_route"),
            Outcome::RejectedMalformed => ("rejected", "malformed"),
            Outcome::FailedDeadline => ("failed", "deadline"),
            Outcome::FailedMayHaveRun => ("failed", "may_have_run"),
            Outcome::FailedAttempts => ("failed", "attempts"),
            Outcome::FailedShutdown => ("failed", "process_ending"),
            Outcome::TruncatedDeadline => ("broken_off", "deadline"),
            Outcome::TruncatedEndpoint => ("broken_off", "endpoint"),
            Outcome::TruncatedShutdown => ("broken_off", "process_ending"),
            Outcome::ClientDisconnected => ("client_left", "client"),
        }
    }
}

/// Numbers of requests by outcome.
#[derive(Debug, Default)]
pub struct OutcomeCounts([Count; Outcome::ALL.len()]);

impl OutcomeCounts {
    /// Counts a request.
    pub fn count(&self, outcome: Outcome) {
        self.0[outcome as usize].increment();
    }

    /// Requests with this outcome.
    pub fn get(&self, outcome: Outcome) -> u64 {
        self.0[outcome as usize].get()
    }

    /// Requests with an outcome of this kind.
    pub fn of_kind(&self, kind: &str) -> u64 {
        let outcomes = Outcome::ALL.into_iter().filter(|outcome| outcome.labels().0 == kind);
        outcomes.map(|outcome| self.get(outcome)).sum()
    }
}
