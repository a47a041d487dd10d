//! Accepted loads are published to routers as soon as the model can be used, and not before.

use crate::controller::consensus::shards::shard_of;
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

fn resident(name: &str) -> ResidentModel {
    ResidentModel { name: name.to_owned(), version: 1, adapters: Vec::new() }
}

#[test]
fn an_accepted_adapter_is_published_once_it_can_be_used() {
    let mut pending_loads = PendingLoads::default();
    pending_loads.accepted(ms(0), SERVICE, &order(Operation::Load, "m", Some("a")), LOAD_TIME);
    assert_eq!(pending_loads.next_wake(), Some(ms(25)));
    assert_eq!(pending_loads.due(ms(24)), vec![]);
    assert_eq!(
        pending_loads.due(ms(25)),
        vec![PendingLoadStep::Publish(residency_update("i-1", "m", Some("a"), true))]
    );
    assert_eq!(pending_loads.due(ms(26)), vec![]);
    assert_eq!(pending_loads.next_wake(), None);
}

#[test]
fn a_report_is_requested_after_the_usual_load_time_and_the_model_published_once_resident() {
    let mut pending_loads = PendingLoads::default();
    pending_loads.accepted(ms(0), SERVICE, &order(Operation::Load, "m", None), LOAD_TIME);
    assert_eq!(pending_loads.due(LOAD_SHOWS - ms(1)), vec![]);
    assert_eq!(pending_loads.due(LOAD_SHOWS), vec![request_report()]);
    assert_eq!(pending_loads.reported("i-1", &[resident("other")]), vec![]);
    assert_eq!(pending_loads.reported("i-2", &[resident("m")]), vec![], "another endpoint");
    assert_eq!(
        pending_loads.reported("i-1", &[resident("m")]),
        vec![residency_update("i-1", "m", None, true)]
    );
    assert_eq!(pending_loads.next_wake(), None);
}

#[test]
fn an_endpoint_without_the_model_gets_a_few_report_requests_only() {
    let mut pending_loads = PendingLoads::default();
    pending_loads.accepted(ms(0), SERVICE, &order(Operation::Load, "m", None), LOAD_TIME);
    let mut steps = Vec::new();
    while let Some(at) = pending_loads.next_wake().filter(|_| steps.len() < 10) {
        steps.extend(pending_loads.due(at));
    }
    assert_eq!(steps, vec![request_report(), request_report(), request_report(), request_report()]);
    assert_eq!(
        pending_loads.reported("i-1", &[resident("m")]),
        vec![],
        "from then on the heartbeats report the model"
    );
}

#[test]
fn an_accepted_eviction_is_not_tracked() {
    let mut pending_loads = PendingLoads::default();
    pending_loads.accepted(ms(0), SERVICE, &order(Operation::Evict, "m", None), LOAD_TIME);
    assert_eq!(pending_loads.next_wake(), None);
}

#[test]
fn the_end_of_a_tenure_ends_the_wait() {
    let mut pending_loads = PendingLoads::default();
    pending_loads.accepted(ms(0), SERVICE, &order(Operation::Load, "m", None), LOAD_TIME);
    pending_loads.tenure_ended(shard_of(SERVICE));
    assert_eq!(pending_loads.due(LOAD_SHOWS), vec![]);
    assert_eq!(pending_loads.next_wake(), None);
}

/// The lease of one shard may move to another controller while this one retains the others.
#[test]
fn the_end_of_a_tenure_leaves_the_loads_of_other_shards() {
    let names = (0..).map(|number| format!("service-{number}"));
    let other = names.into_iter().find(|name| shard_of(name) != shard_of(SERVICE)).expect("four shards");
    let mut pending_loads = PendingLoads::default();
    pending_loads.accepted(ms(0), SERVICE, &order(Operation::Load, "m", None), LOAD_TIME);
    pending_loads.accepted(ms(0), &other, &order(Operation::Load, "m", None), LOAD_TIME);
    pending_loads.tenure_ended(shard_of(&other));
    assert_eq!(pending_loads.due(LOAD_SHOWS), vec![request_report()]);
}
