//! What the stand-in for an engine does with orders.

use lanegate_placement::Operation;
use lanegate_soak::endpoint::{Engine, Holding, OrderBody, OrderReply, RunOf};
use std::time::Duration;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn order(operation: Operation, model: &str) -> OrderBody {
    let (model, owner) = (model.to_owned(), "one".to_owned());
    OrderBody { operation, model, adapter: None, if_revision: None, owner, fencing_token: 7 }
}

fn adapter(operation: Operation, model: &str, adapter: &str) -> OrderBody {
    OrderBody { adapter: Some(adapter.to_owned()), ..order(operation, model) }
}

#[test]
fn one_order_at_a_time_is_taken() {
    let mut engine = Engine::holding(&["amber"]);
    assert_eq!(engine.take(at(0), &order(Operation::Load, "birch")), OrderReply::Accepted);
    assert_eq!(engine.holding_of("birch", None), Holding::Changing);
    assert_eq!(engine.take(at(1), &order(Operation::Load, "cedar")), OrderReply::Conflict);
    assert!(engine.finish(at(600)).is_some());
    assert_eq!(engine.holding_of("birch", None), Holding::Held);
    assert_eq!(engine.take(at(601), &order(Operation::Load, "cedar")), OrderReply::Accepted);
}

#[test]
fn what_is_done_already_is_said() {
    let mut engine = Engine::holding(&["amber"]);
    assert_eq!(engine.take(at(0), &order(Operation::Load, "amber")), OrderReply::AlreadyDone);
    assert_eq!(engine.take(at(0), &order(Operation::Evict, "birch")), OrderReply::AlreadyDone);
}

#[test]
fn an_order_for_another_revision_is_refused() {
    let mut engine = Engine::holding(&["amber"]);
    let expecting = |revision| OrderBody { if_revision: Some(revision), ..order(Operation::Evict, "amber") };
    assert_eq!(engine.take(at(0), &expecting(1)), OrderReply::Conflict);
    assert_eq!(engine.take(at(0), &expecting(0)), OrderReply::Accepted);
}

#[test]
fn there_are_no_orders_for_what_does_not_exist() {
    let mut engine = Engine::holding(&["amber"]);
    assert_eq!(engine.take(at(0), &order(Operation::Load, "unknown")), OrderReply::Invalid);
    assert_eq!(engine.take(at(0), &adapter(Operation::Load, "amber", "a4")), OrderReply::Invalid);
    assert_eq!(engine.take(at(0), &adapter(Operation::Load, "cedar", "a1")), OrderReply::Invalid);
}

#[test]
fn an_adapter_is_held_with_its_model() {
    let mut engine = Engine::holding(&["amber"]);
    assert_eq!(engine.holding_of("amber", Some("a1")), Holding::Absent);
    assert_eq!(engine.take(at(0), &adapter(Operation::Load, "amber", "a1")), OrderReply::Accepted);
    assert_eq!(engine.holding_of("amber", None), Holding::Held, "the order concerns the adapter only");
    engine.finish(at(40));
    assert_eq!(engine.holding_of("amber", Some("a1")), Holding::Held);
    assert_eq!(engine.take(at(50), &order(Operation::Evict, "amber")), OrderReply::Accepted);
    engine.finish(at(60));
    assert_eq!(engine.holding_of("amber", Some("a1")), Holding::Absent);
}

fn run_of(adapter: Option<&str>) -> RunOf {
    RunOf { model: "amber".to_owned(), adapter: adapter.map(str::to_owned) }
}

#[test]
fn an_eviction_waits_for_its_runs() {
    let mut engine = Engine::holding(&["amber"]);
    engine.begin_run(run_of(None));
    let evict = order(Operation::Evict, "amber");
    engine.take(at(0), &evict);
    assert!(engine.is_needed(&evict.facts()));
    engine.end_run(&run_of(None));
    assert!(!engine.is_needed(&evict.facts()));
}

#[test]
fn an_eviction_of_an_adapter_waits_for_its_runs_only() {
    let mut engine = Engine::holding(&["amber"]);
    engine.begin_run(run_of(None));
    let evict = adapter(Operation::Evict, "amber", "a1").facts();
    assert!(!engine.is_needed(&evict));
    engine.begin_run(run_of(Some("a1")));
    assert!(engine.is_needed(&evict));
    assert!(engine.is_needed(&order(Operation::Evict, "amber").facts()));
}

#[test]
fn a_report_is_some_hundred_milliseconds_old() {
    let mut engine = Engine::holding(&["amber"]);
    assert_eq!(engine.report(at(0), 0)["Sequence"], 0);
    engine.take(at(1_000), &order(Operation::Load, "birch"));
    assert_eq!(engine.report(at(1_100), 3)["Sequence"], 0);
    assert_eq!(engine.report(at(1_100), 3)["Active"], 3);
    let later = engine.report(at(1_400), 0);
    assert_eq!((&later["Sequence"], &later["Busy"]), (&1.into(), &true.into()));
}
