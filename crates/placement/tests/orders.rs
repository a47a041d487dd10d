//! Orders whose fate is not known: nothing else is ordered there until a report tells what holds.

use lanegate_config::configuration::{Model, Runtime};
use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::instance::{Instance, InstanceState, ResidentModel};
use lanegate_config::mechanism::SwitchedOff;
use lanegate_placement::{
    Action, EndpointReport, Operation, Order, OrderAnswer, Placer, PlacerSettings, Start,
};
use std::time::Duration;

const BACKEND: &str = "engines";
/// Time after which an order without an answer is given up.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Time after its sending until which such an order may still arrive.
const IN_FLIGHT_MS: u64 = 1_500;
/// How old a report may be.
const REPORT_LAG_MS: u64 = 1_000;

struct Play {
    placer: Placer,
    now_ms: u64,
    beats: u64,
    questions: u32,
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

impl Play {
    fn new() -> Play {
        let settings = PlacerSettings {
            rate_limit_window: Duration::from_secs(5),
            rate_limit_overshoot: 1.1,
            start: Start::First,
            switched_off: SwitchedOff::default(),
        };
        let mut placer = Placer::new(Duration::ZERO, BACKEND, 1, &settings);
        placer.configure(Duration::ZERO, &runtime());
        Play { placer, now_ms: 0, beats: 0, questions: 0 }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn register(&mut self, models: &[&str]) {
        self.beats += 1;
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
            sequence: self.beats,
            remaining_ms: None,
        };
        self.placer.instance(self.now(), &instance);
    }

    /// Somebody asks for a model that is held nowhere.
    fn ask_for(&mut self, model: &str) {
        let demand = ModelDemand {
            backend: BACKEND.into(),
            model: model.into(),
            adapter: None,
            requests: 20,
            tokens: 20_000,
            unplaced: 20,
        };
        self.placer.demand(self.now(), "r", &DemandReport { period_ms: 500, models: vec![demand] });
    }

    /// Lets time pass, while both models are asked for; tells the orders that leave.
    fn run_until(&mut self, until_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        loop {
            while let Some(action) = self.placer.next_action() {
                match action {
                    Action::Order(order) => orders.push(order),
                    Action::RequestReport { .. } => self.questions += 1,
                }
            }
            if self.now_ms >= until_ms {
                return orders;
            }
            self.now_ms += 10;
            if self.now_ms.is_multiple_of(500) {
                self.ask_for("m1");
                self.ask_for("m2");
            }
            self.placer.wake(self.now());
        }
    }

    /// The endpoint is full and `m4` is asked for, so that it is ordered to evict something; tells the order.
    fn evict(&mut self) -> Order {
        loop {
            assert!(self.now_ms < 10_000, "nothing is evicted");
            self.ask_for("m4");
            let mut orders = self.run_until(self.now_ms + 100);
            if std::mem::take(&mut self.questions) > 0 {
                self.placer.report(self.now(), "i-1", &report(&["m1", "m2", "m3"], false, 0));
            }
            if let Some(order) = orders.pop() {
                assert_eq!(order.operation, Operation::Evict);
                return order;
            }
        }
    }

    /// A first order leaves, once the endpoint has told what it holds; tells it.
    fn first_order(&mut self) -> Order {
        self.register(&[]);
        self.ask_for("m1");
        while self.questions == 0 {
            assert!(self.now_ms < 1_000, "nobody asks what the endpoint holds");
            assert!(self.run_until(self.now_ms + 10).is_empty(), "an order left before the endpoint told");
        }
        assert_eq!(std::mem::take(&mut self.questions), 1, "the endpoint is asked once");
        self.placer.report(self.now(), "i-1", &report(&[], false, 0));
        loop {
            assert!(self.now_ms < 1_000, "no order leaves");
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
fn after_an_order_without_an_answer_no_other_leaves_before_a_report_is_late_enough() {
    let mut play = Play::new();
    let lost = play.first_order();
    let sent_ms = play.now_ms;
    assert!(play.run_until(sent_ms + ANSWER_TIMEOUT_MS).is_empty());
    play.placer.order_answered(play.now(), lost.id, OrderAnswer::Unknown);
    // Each of these reports may be older than the arrival of the order.
    let settled_ms = sent_ms + IN_FLIGHT_MS + REPORT_LAG_MS;
    for at_ms in (play.now_ms..settled_ms).step_by(100) {
        assert!(play.run_until(at_ms).is_empty(), "an order left at {at_ms} ms");
        play.placer.report(play.now(), "i-1", &report(&[], false, 0));
    }
    assert!(play.run_until(settled_ms).is_empty());
    assert!(play.questions > 0, "nobody asked what became of the order");
    play.placer.report(play.now(), "i-1", &report(&[], false, 0));
    let orders = play.run_until(settled_ms + 500);
    assert_eq!(orders.first().map(|order| order.if_revision), Some(0), "{orders:?}");
}

#[test]
fn a_busy_endpoint_is_not_given_an_order_after_one_without_an_answer() {
    let mut play = Play::new();
    let lost = play.first_order();
    play.run_until(play.now_ms + ANSWER_TIMEOUT_MS);
    play.placer.order_answered(play.now(), lost.id, OrderAnswer::Unknown);
    for at_ms in (1_500..9_000).step_by(500) {
        assert!(play.run_until(at_ms).is_empty(), "an order left at {at_ms} ms");
        play.placer.report(play.now(), "i-1", &report(&[], true, 1));
    }
    play.placer.report(play.now(), "i-1", &report(&[&lost.model], false, 1));
    let orders = play.run_until(10_000);
    assert!(orders.iter().all(|order| order.model != lost.model), "{orders:?}");
    assert!(!orders.is_empty());
}

#[test]
fn orders_to_a_new_incarnation_expect_nothing_of_the_one_before() {
    let mut play = Play::new();
    let first = play.first_order();
    play.placer.order_answered(play.now(), first.id, OrderAnswer::Accepted);
    play.run_until(1_000);
    play.register(&[&first.model]);
    assert!(play.run_until(1_500).iter().all(|order| &*order.instance == "i-1"));
    // The endpoint starts anew at its address, empty; its count of orders begins anew, too.
    let json = serde_json::json!({
        "Id": "i-2", "Backend": BACKEND, "Address": "10.0.0.1:80", "Zone": "z1", "Capacity": 64,
        "State": "ready", "Sequence": 1,
    });
    play.placer.instance(play.now(), &serde_json::from_value(json).unwrap());
    assert!(play.run_until(2_000).iter().all(|order| &*order.instance == "i-1"));
    play.placer.report(play.now(), "i-2", &report(&[], false, 0));
    let orders = play.run_until(3_000);
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| &*order.instance == "i-2" && order.if_revision == 0));
    // What the one before reports late says nothing of the new one.
    play.placer.report(play.now(), "i-1", &report(&[&first.model], false, 9));
    assert!(play.run_until(3_100).iter().all(|order| order.if_revision < 9));
}

/// A heartbeat of the incarnation before stood still on its way until that one had been given up.
#[test]
fn a_late_heartbeat_of_the_incarnation_before_does_not_end_the_new_one() {
    let mut play = Play::new();
    let first = play.first_order();
    play.placer.order_answered(play.now(), first.id, OrderAnswer::Accepted);
    play.placer.removed(play.now(), "i-1");
    let json = serde_json::json!({
        "Id": "i-2", "Backend": BACKEND, "Address": "10.0.0.1:80", "Zone": "z1", "Capacity": 64,
        "State": "ready", "Sequence": 1,
    });
    let new: Instance = serde_json::from_value(json).unwrap();
    play.placer.instance(play.now(), &new);
    play.register(&[]);
    play.placer.instance(play.now(), &Instance { sequence: 2, ..new });
    play.placer.removed(play.now(), "i-1");
    play.run_until(1_000);
    play.placer.report(play.now(), "i-2", &report(&[], false, 0));
    let orders = play.run_until(3_000);
    assert!(orders.iter().any(|order| &*order.instance == "i-2"), "{orders:?}");
}

#[test]
fn a_placer_that_an_endpoint_fenced_gives_no_further_order() {
    let mut play = Play::new();
    let first = play.first_order();
    play.placer.order_answered(play.now(), first.id, OrderAnswer::Fenced);
    assert!(play.placer.fenced());
    assert!(play.run_until(10_000).is_empty());
}

/// An eviction lasts until the last run with the model has ended; the endpoint refuses new ones all that time, and
/// its heartbeats list the model.
#[test]
fn what_is_being_evicted_is_told_until_a_heartbeat_no_longer_lists_it() {
    let mut play = Play::new();
    play.register(&["m1", "m2", "m3"]);
    assert_eq!(play.placer.evicting("i-1"), None);
    let order = play.evict();
    let leaving = play.placer.evicting("i-1").cloned();
    assert_eq!(leaving, Some(order.item()), "from the order on");
    play.placer.order_answered(play.now(), order.id, OrderAnswer::Accepted);
    for _ in 0..4 {
        play.run_until(play.now_ms + 1_000);
        play.register(&["m1", "m2", "m3"]);
        assert_eq!(play.placer.evicting("i-1"), leaving.as_ref(), "a heartbeat still lists it");
    }
    let left: Vec<&str> = ["m1", "m2", "m3"].into_iter().filter(|model| *order.model != **model).collect();
    play.register(&left);
    assert_eq!(play.placer.evicting("i-1"), None);
}
