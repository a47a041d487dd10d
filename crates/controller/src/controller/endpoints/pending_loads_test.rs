//! Loads that were accepted show to routers as soon as they can be used, and not before.

use crate::controller::endpoints::pending_loads::{PendingLoadStep, PendingLoads, residency_update};
use lanegate_config::instance::ResidentModel;
use lanegate_placement::{Operation, Order, OrderId};
use std::net::SocketAddr;
use std::time::Duration;

const SERVICE: &str = "tiles";
const LOAD_TIME: Duration = Duration::from_secs(4);
const LOAD_SHOWS: Duration = Duration::from_millis(4_230);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 80))
}

fn order(operation: Operation, model: &str, adapter: Option<&str>) -> Order {
    Order {
        id: OrderId(1),
        instance: "i-1".into(),
        address: address(),
        operation,
        model: model.into(),
        adapter: adapter.map(Into::into),
        if_revision: 0,
    }
}

fn request_report() -> PendingLoadStep {
    PendingLoadStep::RequestReport { service: SERVICE.to_owned(), instance: "i-1".into(), address: address() }
}

fn held(name: &str) -> ResidentModel {
    ResidentModel { name: name.to_owned(), version: 1, adapters: Vec::new() }
}

#[test]
fn an_accepted_adapter_is_told_once_it_can_be_used() {
    let mut holdings = PendingLoads::default();
    holdings.accepted(ms(0), SERVICE, &order(Operation::Load, "m", Some("a")), LOAD_TIME);
    assert_eq!(holdings.next_wake(), Some(ms(25)));
    assert_eq!(holdings.due(ms(24)), vec![]);
    assert_eq!(
        holdings.due(ms(25)),
        vec![PendingLoadStep::Publish(residency_update("i-1", "m", Some("a"), true))]
    );
    assert_eq!(holdings.due(ms(26)), vec![]);
    assert_eq!(holdings.next_wake(), None);
}

#[test]
fn a_model_is_asked_for_after_its_usual_time_and_told_once_the_endpoint_shows_it() {
    let mut holdings = PendingLoads::default();
    holdings.accepted(ms(0), SERVICE, &order(Operation::Load, "m", None), LOAD_TIME);
    assert_eq!(holdings.due(LOAD_SHOWS - ms(1)), vec![]);
    assert_eq!(holdings.due(LOAD_SHOWS), vec![request_report()]);
    assert_eq!(holdings.reported("i-1", &[held("other")]), vec![]);
    assert_eq!(holdings.reported("i-2", &[held("m")]), vec![], "another endpoint");
    assert_eq!(holdings.reported("i-1", &[held("m")]), vec![residency_update("i-1", "m", None, true)]);
    assert_eq!(holdings.next_wake(), None);
}

#[test]
fn an_endpoint_that_does_not_show_the_model_is_asked_a_few_times_only() {
    let mut holdings = PendingLoads::default();
    holdings.accepted(ms(0), SERVICE, &order(Operation::Load, "m", None), LOAD_TIME);
    let mut steps = Vec::new();
    while let Some(at) = holdings.next_wake().filter(|_| steps.len() < 10) {
        steps.extend(holdings.due(at));
    }
    assert_eq!(steps, vec![request_report(), request_report(), request_report(), request_report()]);
    assert_eq!(holdings.reported("i-1", &[held("m")]), vec![], "a heartbeat tells the rest");
}

#[test]
fn an_eviction_is_nothing_to_wait_for() {
    let mut holdings = PendingLoads::default();
    holdings.accepted(ms(0), SERVICE, &order(Operation::Evict, "m", None), LOAD_TIME);
    assert_eq!(holdings.next_wake(), None);
}

#[test]
fn the_end_of_a_tenure_ends_the_wait() {
    let mut holdings = PendingLoads::default();
    holdings.accepted(ms(0), SERVICE, &order(Operation::Load, "m", None), LOAD_TIME);
    holdings.clear();
    assert_eq!(holdings.due(LOAD_SHOWS), vec![]);
}
