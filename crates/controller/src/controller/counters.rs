//! Counts of what a controller did, for its metrics.

use lanegate_config::control_state::Outcome;
use lanegate_placement::{Operation, OrderAnswer};
use std::collections::BTreeMap;

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum OrderOutcome {
    Answered(OrderAnswer),
    /// It was never sent, as this controller may not act for the service now.
    NoLease,
}

impl OrderOutcome {
    /// All outcomes, with their names as labels.
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

/// Operations that are ordered, with their names as labels.
pub(super) const OPERATIONS: [(Operation, &str); 2] =
    [(Operation::Load, "load"), (Operation::Evict, "evict")];

/// How a change of the configuration ended for the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ChangeOutcome {
    Taken,
    AlreadyTaken,
    Conflict,
    Invalid,
    /// No clear answer: it may have been taken.
    Unclear,
}

impl ChangeOutcome {
    /// All outcomes, with their names as labels.
    pub(super) const ALL: [(ChangeOutcome, &'static str); 5] = [
        (ChangeOutcome::Taken, "taken"),
        (ChangeOutcome::AlreadyTaken, "already_taken"),
        (ChangeOutcome::Conflict, "conflict"),
        (ChangeOutcome::Invalid, "invalid"),
        (ChangeOutcome::Unclear, "unclear"),
    ];

    /// Decodes an outcome of the control state.
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
    /// Orders that were given and have no answer yet.
    pub orders_in_flight: u64,
    loads: BTreeMap<OrderOutcome, u64>,
    evictions: BTreeMap<OrderOutcome, u64>,
    changes: BTreeMap<ChangeOutcome, u64>,
    /// Endpoints removed because their heartbeats timed out.
    pub expiries: u64,
    /// Times that the process noticed that it had stalled.
    pub stalls: u64,
    /// Tenures of leases that have begun.
    pub tenures: u64,
}

impl Counters {
    /// An order is sent.
    pub(super) fn order_sent(&mut self) {
        self.orders_in_flight += 1;
    }

    /// An order that was given has ended.
    pub(super) fn order_answered(&mut self, operation: Operation, answer: OrderAnswer) {
        self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
        self.count_order(operation, OrderOutcome::Answered(answer));
    }

    /// An order was not given for want of the lease.
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

    /// Orders of an operation that ended so.
    pub(super) fn orders(&self, operation: Operation, outcome: OrderOutcome) -> u64 {
        let orders = match operation {
            Operation::Load => &self.loads,
            Operation::Evict => &self.evictions,
        };
        orders.get(&outcome).copied().unwrap_or_default()
    }

    /// A change of the operator here has ended.
    pub(super) fn change_ended(&mut self, outcome: ChangeOutcome) {
        *self.changes.entry(outcome).or_default() += 1;
    }

    /// Changes that ended so.
    pub(super) fn changes(&self, outcome: ChangeOutcome) -> u64 {
        self.changes.get(&outcome).copied().unwrap_or_default()
    }
}
