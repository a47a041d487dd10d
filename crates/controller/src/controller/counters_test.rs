//! Counters of orders and changes.

use crate::controller::counters::{ChangeOutcome, Counters, OPERATIONS, OrderOutcome};
use lanegate_config::control_state::Outcome;
use lanegate_config::findings::Findings;
use lanegate_placement::{Operation, OrderAnswer};
use std::collections::BTreeSet;

const ANSWERS: [OrderAnswer; 8] = [
    OrderAnswer::Accepted,
    OrderAnswer::AlreadyDone,
    OrderAnswer::Conflict,
    OrderAnswer::Fenced,
    OrderAnswer::WrongInstance,
    OrderAnswer::Invalid,
    OrderAnswer::Unavailable,
    OrderAnswer::Unknown,
];

fn total(counters: &Counters, operation: Operation) -> u64 {
    OrderOutcome::ALL.into_iter().map(|(outcome, _)| counters.orders(operation, outcome)).sum()
}

#[test]
fn every_answer_to_an_order_is_counted_under_a_name_of_its_own() {
    let mut counters = Counters::default();
    for answer in ANSWERS {
        counters.order_sent();
        counters.order_answered(Operation::Load, answer);
    }
    counters.order_withheld(Operation::Evict);
    let names: BTreeSet<&str> = OrderOutcome::ALL.into_iter().map(|(_, name)| name).collect();
    assert_eq!(names.len(), OrderOutcome::ALL.len());
    assert_eq!(total(&counters, Operation::Load), 8);
    assert!(OrderOutcome::ALL.into_iter().all(|(outcome, _)| counters.orders(Operation::Load, outcome) <= 1));
    assert_eq!(counters.orders(Operation::Evict, OrderOutcome::NoLease), 1);
    assert_eq!(total(&counters, Operation::Evict), 1);
    assert_eq!(OPERATIONS.map(|(_, name)| name), ["load", "evict"]);
}

#[test]
fn orders_are_in_flight_until_answered() {
    let mut counters = Counters::default();
    counters.order_sent();
    counters.order_sent();
    counters.order_answered(Operation::Evict, OrderAnswer::Unknown);
    assert_eq!(counters.orders_in_flight, 1);
    counters.order_withheld(Operation::Load);
    assert_eq!(counters.orders_in_flight, 1);
}

#[test]
fn changes_are_counted_by_the_outcome_sent_to_the_operator() {
    let outcomes = [
        (Outcome::Taken { version: 2 }, ChangeOutcome::Taken),
        (Outcome::AlreadyTaken { current: 2 }, ChangeOutcome::AlreadyTaken),
        (Outcome::Conflict { current: 2 }, ChangeOutcome::Conflict),
        (Outcome::Invalid(Findings::one("", "x")), ChangeOutcome::Invalid),
        (Outcome::Unclear(Findings::one("", "x")), ChangeOutcome::Unclear),
    ];
    for (outcome, expected) in outcomes {
        let mut counters = Counters::default();
        counters.change_ended(ChangeOutcome::of_encoded(&outcome.encode()));
        assert_eq!(counters.changes(expected), 1, "{outcome:?}");
    }
    assert_eq!(ChangeOutcome::of_encoded(b"no outcome"), ChangeOutcome::Unclear);
}
