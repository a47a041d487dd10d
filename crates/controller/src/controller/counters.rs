//! Counters for the metrics of a controller.

use lanegate_config::control_state::Outcome;
use lanegate_placement::{Operation, OrderAnswer};
use std::collections::BTreeMap;

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum OrderOutcome {
    Answered(OrderAnswer),
    /// Not sent, because this controller does not hold the lease of the service's shard.
    NoLease,
}

impl OrderOutcome {
    /// All outcomes, with the values of their metric label.
    pub(super) const ALL: [(OrderOutcome, &'static str); 9] = [
        (OrderOutcome::Answered(OrderAnswer::Accepted), "accepted"),
        (OrderOutcome::Answered(OrderAnswer::AlreadyDone), "already_done"),
        (OrderOutcome::Answered(OrderAnswer::Conflict), "conflict"),
        (OrderOutcome::Answered(OrderAnswer::Fenced), "fenced"),
        (OrderOutcome::Answered(OrderAnswer::WrongInstance), "wrong_instance"),
        (OrderOutcome::Answered(OrderAnswer::Invalid), "invalid"),
        (OrderOutcome::Answered(OrderAnswer::Unavailable), "unavailable"),
        (OrderOutcome::Answered(OrderAnswer::Unknown), "unanswered"),
        (OrderOutcome::NoLease, "no_lease"),
    ];
}

/// Operations of orders, with the values of their metric label.
pub(super) const OPERATIONS: [(Operation, &str); 2] =
    [(Operation::Load, "load"), (Operation::Evict, "evict")];

/// The outcome of a configuration change as reported to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ChangeOutcome {
    Taken,
    AlreadyTaken,
    Conflict,
    Invalid,
    /// The outcome is unknown: the change may have been committed.
    Unclear,
}

impl ChangeOutcome {
    /// All outcomes, with the values of their metric label.
    pub(super) const ALL: [(ChangeOutcome, &'static str); 5] = [
        (ChangeOutcome::Taken, "taken"),
        (ChangeOutcome::AlreadyTaken, "already_taken"),
        (ChangeOutcome::Conflict, "conflict"),
        (ChangeOutcome::Invalid, "invalid"),
        (ChangeOutcome::Unclear, "unclear"),
    ];

    /// Decodes the answer of the configuration's register to a change.
    pub(super) fn of_encoded(encoded: &[u8]) -> Self {
        match Outcome::decode(encoded) {
            Ok(Outcome::Taken { .. }) => ChangeOutcome::Taken,
            Ok(Outcome::AlreadyTaken { .. }) => ChangeOutcome::AlreadyTaken,
            Ok(Outcome::Conflict { .. }) => ChangeOutcome::Conflict,
            Ok(Outcome::Invalid(_)) => ChangeOutcome::Invalid,
            Ok(Outcome::Unclear(_)) | Err(_) => ChangeOutcome::Unclear,
        }
    }
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Orders that were sent and have no answer yet.
    pub orders_in_flight: u64,
    loads: BTreeMap<OrderOutcome, u64>,
    evictions: BTreeMap<OrderOutcome, u64>,
    changes: BTreeMap<ChangeOutcome, u64>,
    /// Endpoints removed because their heartbeats timed out.
    pub expiries: u64,
    /// Stalls of this process that it detected.
    pub stalls: u64,
    /// Tenures of leases that have begun.
    pub tenures: u64,
}

impl Counters {
    /// Counts an order that is sent.
    pub(super) fn order_sent(&mut self) {
        self.orders_in_flight += 1;
    }

    /// Counts the answer to an order that was sent, or its time-out.
    pub(super) fn order_answered(&mut self, operation: Operation, answer: OrderAnswer) {
        self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
        self.count_order(operation, OrderOutcome::Answered(answer));
    }

    /// Counts an order that was not sent because this controller does not hold the lease.
    pub(super) fn order_withheld(&mut self, operation: Operation) {
        self.count_order(operation, OrderOutcome::NoLease);
    }

    fn count_order(&mut self, operation: Operation, outcome: OrderOutcome) {
        let orders = match operation {
            Operation::Load => &mut self.loads,
            Operation::Evict => &mut self.evictions,
        };
        *orders.entry(outcome).or_default() += 1;
    }

    /// Number of orders of `operation` with this outcome.
    pub(super) fn orders(&self, operation: Operation, outcome: OrderOutcome) -> u64 {
        let orders = match operation {
            Operation::Load => &self.loads,
            Operation::Evict => &self.evictions,
        };
        orders.get(&outcome).copied().unwrap_or_default()
    }

    /// Counts a completed change that an operator sent to this controller.
    pub(super) fn change_ended(&mut self, outcome: ChangeOutcome) {
        *self.changes.entry(outcome).or_default() += 1;
    }

    /// Number of changes with this outcome.
    pub(super) fn changes(&self, outcome: ChangeOutcome) -> u64 {
        self.changes.get(&outcome).copied().unwrap_or_default()
    }
}
