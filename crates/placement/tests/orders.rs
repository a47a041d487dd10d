//! Unanswered orders: an endpoint gets no further order until a report resolves the unanswered one.

use lanegate_config::configuration::{Model, Runtime};
use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::instance::{Instance, InstanceState, ResidentModel};
use lanegate_config::mechanism::SwitchedOff;
use lanegate_placement::{
    Action, EndpointReport, Operation, Order, OrderAnswer, Placer, PlacerSettings, StartMode,
};
use std::time::Duration;

const BACKEND: &str = "engines";
/// Time after which an order counts as unanswered.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Time after its sending until which an unanswered order may still arrive.
const IN_FLIGHT_MS: u64 = 1_500;
/// Largest age of a report.
const REPORT_LAG_MS: u64 = 1_000;

struct Fixture {
    placer: Placer,
    now_ms: u64,
    heartbeats: u64,
    report_requests: u32,
}

fn runtime() -> Runtime {
    let model = |name: &str| Model {
        name: name.into(),
        weights_mb: 70_000.0,
        load_time_s: 0.6,
        adapters: 4,
        adapter_size_mb: 66.0,
    };
    Runtime {
        capacity: 64,
        kv_cache_tokens: 233_000.0,
        stride: None,
        models: vec![model("m1"), model("m2"), model("m3"), model("m4")],
        weights_mb: 220_000.0,
        max_adapters: 8,
        loads_per_s: 2.8,
    }
}

fn report(models: &[&str], busy: bool, sequence: u64) -> EndpointReport {
    let held = |name: &&str| ResidentModel { name: (*name).into(), version: 1, adapters: Vec::new() };
    let models = models.iter().map(held).collect();
    let json = serde_json::json!({ "Busy": busy, "Sequence": sequence });
    EndpointReport { models, ..serde_json::from_value(json).unwrap() }
}

impl Fixture {
    fn new() -> Fixture {
        let settings = PlacerSettings {
            rate_limit_window: Duration::from_secs(5),
            rate_limit_overshoot: 1.1,
            start: StartMode::First,
            switched_off: SwitchedOff::default(),
        };
        let mut placer = Placer::new(Duration::ZERO, BACKEND, 1, &settings);
        placer.configure(Duration::ZERO, &runtime());
        Fixture { placer, now_ms: 0, heartbeats: 0, report_requests: 0 }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn register(&mut self, models: &[&str]) {
        self.heartbeats += 1;
        let instance = Instance {
            id: "i-1".into(),
            backend: BACKEND.into(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "z1".into(),
            version: "v1".into(),
            capacity: 64,
            state: InstanceState::Ready,
            warmup_remaining_ms: 0.0,
            phase: None,
            models: report(models, false, 0).models,
            sequence: self.heartbeats,
            remaining_ms: None,
        };
        self.placer.register(self.now(), &instance);
    }

    /// Adds demand for a model that is resident on no endpoint.
    fn add_demand(&mut self, model: &str) {
        let demand = ModelDemand {
            backend: BACKEND.into(),
            model: model.into(),
            adapter: None,
            requests: 20,
            tokens: 20_000,
            unplaced: 20,
        };
        self.placer.add_demand(self.now(), "r", &DemandReport { period_ms: 500, models: vec![demand] });
    }

    /// Runs with demand for both models; returns the orders that were sent.
    fn run_until(&mut self, until_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        loop {
            while let Some(action) = self.placer.next_action() {
                match action {
                    Action::Order(order) => orders.push(order),
                    Action::RequestReport { .. } => self.report_requests += 1,
                }
            }
            if self.now_ms >= until_ms {
                return orders;
            }
            self.now_ms += 10;
            if self.now_ms.is_multiple_of(500) {
                self.add_demand("m1");
                self.add_demand("m2");
            }
            self.placer.wake(self.now());
        }
    }

    /// The endpoint is full and `m4` is in demand, so that an eviction is ordered; returns the order.
    fn evict(&mut self) -> Order {
        loop {
            assert!(self.now_ms < 10_000, "nothing is evicted");
            self.add_demand("m4");
            let mut orders = self.run_until(self.now_ms + 100);
            if std::mem::take(&mut self.report_requests) > 0 {
                self.placer.apply_report(self.now(), "i-1", &report(&["m1", "m2", "m3"], false, 0));
            }
            if let Some(order) = orders.pop() {
                assert_eq!(order.operation, Operation::Evict);
                return order;
            }
        }
    }

    /// Returns the first order, which is sent once the endpoint has reported.
    fn first_order(&mut self) -> Order {
        self.register(&[]);
        self.add_demand("m1");
        while self.report_requests == 0 {
            assert!(self.now_ms < 1_000, "no report is requested");
            assert!(
                self.run_until(self.now_ms + 10).is_empty(),
                "an order was sent before the endpoint reported"
            );
        }
        assert_eq!(std::mem::take(&mut self.report_requests), 1, "one report is requested");
        self.placer.apply_report(self.now(), "i-1", &report(&[], false, 0));
        loop {
            assert!(self.now_ms < 1_000, "no order is sent");
            let mut orders = self.run_until(self.now_ms + 10);
            if let Some(order) = orders.pop() {
                assert_eq!(order.operation, Operation::Load);
                assert!(orders.is_empty());
                return order;
            }
        }
    }
}

#[test]
fn unanswered_order_is_resolved_only_by_late_enough_report() {
    let mut fixture = Fixture::new();
    let lost = fixture.first_order();
    let sent_ms = fixture.now_ms;
    assert!(fixture.run_until(sent_ms + ANSWER_TIMEOUT_MS).is_empty());
    fixture.placer.order_answered(fixture.now(), lost.id, OrderAnswer::Unknown);
    // Each of these reports may be older than the arrival of the order.
    let resolved_ms = sent_ms + IN_FLIGHT_MS + REPORT_LAG_MS;
    for at_ms in (fixture.now_ms..resolved_ms).step_by(100) {
        assert!(fixture.run_until(at_ms).is_empty(), "an order was sent at {at_ms} ms");
        fixture.placer.apply_report(fixture.now(), "i-1", &report(&[], false, 0));
    }
    assert!(fixture.run_until(resolved_ms).is_empty());
    assert!(fixture.report_requests > 0, "no report was requested to resolve the order");
    fixture.placer.apply_report(fixture.now(), "i-1", &report(&[], false, 0));
    let orders = fixture.run_until(resolved_ms + 500);
    assert_eq!(orders.first().map(|order| order.if_revision), Some(0), "{orders:?}");
}

#[test]
fn busy_endpoint_gets_no_order_after_unanswered_one() {
    let mut fixture = Fixture::new();
    let lost = fixture.first_order();
    fixture.run_until(fixture.now_ms + ANSWER_TIMEOUT_MS);
    fixture.placer.order_answered(fixture.now(), lost.id, OrderAnswer::Unknown);
    for at_ms in (1_500..9_000).step_by(500) {
        assert!(fixture.run_until(at_ms).is_empty(), "an order was sent at {at_ms} ms");
        fixture.placer.apply_report(fixture.now(), "i-1", &report(&[], true, 1));
    }
    fixture.placer.apply_report(fixture.now(), "i-1", &report(&[&lost.model], false, 1));
    let orders = fixture.run_until(10_000);
    assert!(orders.iter().all(|order| order.model != lost.model), "{orders:?}");
    assert!(!orders.is_empty());
}

#[test]
fn orders_to_new_incarnation_start_at_revision_zero() {
    let mut fixture = Fixture::new();
    let first = fixture.first_order();
    fixture.placer.order_answered(fixture.now(), first.id, OrderAnswer::Accepted);
    fixture.run_until(1_000);
    fixture.register(&[&first.model]);
    assert!(fixture.run_until(1_500).iter().all(|order| &*order.instance == "i-1"));
    // The endpoint restarts at its address, empty and at revision 0.
    let json = serde_json::json!({
        "Id": "i-2", "Backend": BACKEND, "Address": "10.0.0.1:80", "Zone": "z1", "Capacity": 64,
        "State": "ready", "Sequence": 1,
    });
    fixture.placer.register(fixture.now(), &serde_json::from_value(json).unwrap());
    assert!(fixture.run_until(2_000).iter().all(|order| &*order.instance == "i-1"));
    fixture.placer.apply_report(fixture.now(), "i-2", &report(&[], false, 0));
    let orders = fixture.run_until(3_000);
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| &*order.instance == "i-2" && order.if_revision == 0));
    // A late report of the previous incarnation does not apply to the new one.
    fixture.placer.apply_report(fixture.now(), "i-1", &report(&[&first.model], false, 9));
    assert!(fixture.run_until(3_100).iter().all(|order| order.if_revision < 9));
}

/// A heartbeat of the previous incarnation was delayed until that one had been removed.
#[test]
fn delayed_heartbeat_of_old_incarnation_does_not_remove_new_one() {
    let mut fixture = Fixture::new();
    let first = fixture.first_order();
    fixture.placer.order_answered(fixture.now(), first.id, OrderAnswer::Accepted);
    fixture.placer.remove_endpoint(fixture.now(), "i-1");
    let json = serde_json::json!({
        "Id": "i-2", "Backend": BACKEND, "Address": "10.0.0.1:80", "Zone": "z1", "Capacity": 64,
        "State": "ready", "Sequence": 1,
    });
    let new: Instance = serde_json::from_value(json).unwrap();
    fixture.placer.register(fixture.now(), &new);
    fixture.register(&[]);
    fixture.placer.register(fixture.now(), &Instance { sequence: 2, ..new });
    fixture.placer.remove_endpoint(fixture.now(), "i-1");
    fixture.run_until(1_000);
    fixture.placer.apply_report(fixture.now(), "i-2", &report(&[], false, 0));
    let orders = fixture.run_until(3_000);
    assert!(orders.iter().any(|order| &*order.instance == "i-2"), "{orders:?}");
}

#[test]
fn fenced_placer_sends_no_further_order() {
    let mut fixture = Fixture::new();
    let first = fixture.first_order();
    fixture.placer.order_answered(fixture.now(), first.id, OrderAnswer::Fenced);
    assert!(fixture.placer.fenced());
    assert!(fixture.run_until(10_000).is_empty());
}

/// An eviction takes until the last running request for the model has ended; until then the endpoint refuses new ones
/// and its heartbeats list the model.
#[test]
fn evicted_item_is_reported_until_heartbeat_omits_it() {
    let mut fixture = Fixture::new();
    fixture.register(&["m1", "m2", "m3"]);
    assert_eq!(fixture.placer.evicting("i-1"), None);
    let order = fixture.evict();
    let evicting = fixture.placer.evicting("i-1").cloned();
    assert_eq!(evicting, Some(order.item()), "evicting as soon as it is ordered");
    fixture.placer.order_answered(fixture.now(), order.id, OrderAnswer::Accepted);
    for _ in 0..4 {
        fixture.run_until(fixture.now_ms + 1_000);
        fixture.register(&["m1", "m2", "m3"]);
        assert_eq!(fixture.placer.evicting("i-1"), evicting.as_ref(), "a heartbeat still lists it");
    }
    let remaining: Vec<&str> =
        ["m1", "m2", "m3"].into_iter().filter(|model| *order.model != **model).collect();
    fixture.register(&remaining);
    assert_eq!(fixture.placer.evicting("i-1"), None);
}
