//! Heartbeats and reports that are older than an order executed on the endpoint.

mod support;

use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::instance::Instance;
use lanegate_config::mechanism::SwitchedOff;
use lanegate_placement::{
    Action, EndpointReport, Operation, Order, OrderAnswer, Placer, PlacerSettings, StartMode,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use support::fleet::{Endpoint, Work, size};
use support::simulation::runtime;

const BACKEND: &str = "engines";
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 1_200;
/// Age of a report when it arrives.
const REPORT_LAG_MS: u64 = 200;
const LOAD_S: f64 = 1.0;
const EVICT_MS: u64 = 50;
/// Three such models fill an endpoint.
const MODEL_MB: f64 = 70_000.0;
/// Time without a heartbeat after which an endpoint is removed.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_200;

/// One endpoint, a placer, and the network between them.
struct Fixture {
    placer: Placer,
    endpoint: Endpoint,
    now_ms: u64,
    demanded: Vec<(&'static str, Option<String>)>,
    /// Whether heartbeats arrive.
    heartbeats_arrive: bool,
    /// Whether orders and report requests arrive.
    orders_arrive: bool,
    history: VecDeque<EndpointReport>,
    sent_orders: Vec<Order>,
    violations: Vec<String>,
}

fn placer(now_ms: u64, start: StartMode) -> Placer {
    let settings = PlacerSettings {
        rate_limit_window: Duration::from_secs(5),
        rate_limit_overshoot: 1.1,
        start,
        switched_off: SwitchedOff::default(),
    };
    let now = Duration::from_millis(now_ms);
    let mut placer = Placer::new(now, BACKEND, 1, &settings);
    placer.configure(now, &runtime(8, MODEL_MB, LOAD_S, 12, 66.0));
    placer
}

impl Fixture {
    /// An endpoint with these models resident.
    fn new(models: &[&str]) -> Fixture {
        let endpoint = Endpoint {
            name: "e".into(),
            incarnation: 1,
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "z1".into(),
            ready: true,
            remaining_ms: None,
            models: models.iter().map(|model| (model.to_string(), BTreeSet::new())).collect(),
            disk: BTreeSet::new(),
            work: None,
            revision: 0,
            heartbeats: 0,
            next_heartbeat_ms: 0,
            up: true,
            partition: None,
            partition_ends_ms: 0,
            delayed_heartbeat: None,
        };
        Fixture {
            placer: placer(0, StartMode::First),
            endpoint,
            now_ms: 0,
            demanded: Vec::new(),
            heartbeats_arrive: true,
            orders_arrive: true,
            history: VecDeque::new(),
            sent_orders: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.endpoint.advance(self.now_ms);
            self.history.push_back(self.endpoint.report());
            if self.history.len() as u64 > REPORT_LAG_MS / STEP_MS {
                self.history.pop_front();
            }
            if self.now_ms >= self.endpoint.next_heartbeat_ms {
                self.endpoint.next_heartbeat_ms = self.now_ms + HEARTBEAT_MS;
                let heartbeat = self.heartbeat();
                if self.heartbeats_arrive {
                    self.deliver_heartbeat(&heartbeat);
                }
            }
            if self.now_ms.is_multiple_of(500) {
                self.demand();
            }
            self.placer.wake(self.now());
            self.act();
        }
    }

    /// Runs until the endpoint has begun this load.
    fn run_until_loading(&mut self, model: &str, adapter: Option<&str>) {
        let until_ms = self.now_ms + 20_000;
        let loads = |work: &Work| {
            work.operation == Operation::Load && work.model == model && work.adapter.as_deref() == adapter
        };
        while !self.endpoint.work.as_ref().is_some_and(loads) {
            assert!(self.now_ms < until_ms, "{model} is not ordered: {:?}", self.sent_orders);
            self.run_for(STEP_MS);
        }
    }

    /// The next heartbeat of the endpoint.
    fn heartbeat(&mut self) -> Instance {
        self.endpoint.heartbeats += 1;
        self.endpoint.instance(BACKEND)
    }

    fn deliver_heartbeat(&mut self, heartbeat: &Instance) {
        self.placer.register(self.now(), heartbeat);
        self.act();
    }

    fn demand(&mut self) {
        let demand = |(model, adapter): &(&str, Option<String>)| ModelDemand {
            backend: BACKEND.into(),
            model: (*model).into(),
            adapter: adapter.clone(),
            requests: 20,
            tokens: 20_000,
            unplaced: 20 * u32::from(!self.endpoint.is_resident(model, adapter.as_deref())),
        };
        let models = self.demanded.iter().map(demand).collect();
        self.placer.add_demand(self.now(), "r", &DemandReport { period_ms: 500, models });
    }

    /// Executes the placer's actions.
    fn act(&mut self) {
        while let Some(action) = self.placer.next_action() {
            match action {
                Action::Order(order) => self.order(&order),
                Action::RequestReport { .. } if self.orders_arrive => {
                    let report = self.history.front().cloned().unwrap_or_else(|| self.endpoint.report());
                    self.placer.apply_report(self.now(), &self.endpoint.id(), &report);
                }
                Action::RequestReport { .. } => {}
            }
        }
    }

    fn order(&mut self, order: &Order) {
        let answer = if self.orders_arrive { self.accept_order(order) } else { OrderAnswer::Unavailable };
        self.sent_orders.push(order.clone());
        self.placer.order_answered(self.now(), order.id, answer);
    }

    fn accept_order(&mut self, order: &Order) -> OrderAnswer {
        if let Some(status) = self.endpoint.immediate_status(order) {
            return OrderAnswer::from_status(status);
        }
        self.check_capacity(order);
        let load_ms = if order.adapter.is_some() { 20 } else { (LOAD_S * 1e3) as u64 };
        let duration_ms = if order.operation == Operation::Load { load_ms } else { EVICT_MS };
        self.endpoint.revision += 1;
        self.endpoint.work = Some(Work {
            operation: order.operation,
            model: order.model.to_string(),
            adapter: order.adapter.as_ref().map(ToString::to_string),
            until_ms: self.now_ms + duration_ms,
        });
        OrderAnswer::Accepted
    }

    /// Checks that the endpoint has `model` resident after a while, and that its capacity was never exceeded.
    fn expect_eventually_resident(&mut self, model: &str) {
        self.run_for(15_000);
        assert!(self.violations.is_empty(), "{:?}", self.violations);
        assert_eq!(self.placer.violations().total(), 0);
        assert!(self.endpoint.is_resident(model, None), "{:?}", self.sent_orders);
    }

    fn check_capacity(&mut self, order: &Order) {
        if order.operation == Operation::Evict {
            return;
        }
        let runtime = runtime(8, MODEL_MB, LOAD_S, 12, 66.0);
        let is_adapter = order.adapter.is_some();
        let used_mb = self.endpoint.used_mb(&runtime) + size(&runtime, &order.model, is_adapter);
        let adapters = self.endpoint.adapters() + usize::from(is_adapter);
        if used_mb > runtime.weights_mb || adapters > runtime.max_adapters as usize {
            let resident: BTreeMap<_, _> = self.endpoint.models.clone();
            self.violations.push(format!("{}: {order:?} beside {resident:?}", self.now_ms));
        }
    }
}

/// An endpoint that was partitioned while it loaded `m3`, with a heartbeat from before the end of the load.
fn partitioned_while_loading() -> (Fixture, Instance) {
    let mut fixture = Fixture::new(&["m1", "m2"]);
    fixture.demanded = vec![("m3", None)];
    fixture.run_until_loading("m3", None);
    let delayed = fixture.heartbeat();
    (fixture.heartbeats_arrive, fixture.orders_arrive) = (false, false);
    fixture.run_for(HEARTBEAT_TIMEOUT_MS);
    (fixture, delayed)
}

/// The endpoint is partitioned while it loads, is removed, and comes back with a heartbeat from before the end of the
/// load.
#[test]
fn load_accepted_before_endpoint_was_removed_is_counted() {
    let (mut fixture, delayed) = partitioned_while_loading();
    fixture.placer.remove_endpoint(fixture.now(), &fixture.endpoint.id());
    fixture.demanded = vec![("m4", None)];
    fixture.run_for(1_000);
    (fixture.heartbeats_arrive, fixture.orders_arrive) = (true, true);
    fixture.deliver_heartbeat(&delayed);
    fixture.expect_eventually_resident("m4");
}

/// A new lease holder receives its first heartbeat of the endpoint late, and the heartbeat is from before the load.
#[test]
fn load_of_previous_tenure_is_counted_when_endpoint_returns() {
    let (mut fixture, delayed) = partitioned_while_loading();
    fixture.placer = placer(fixture.now_ms, StartMode::Takeover);
    fixture.demanded = vec![("m4", None)];
    fixture.run_for(6_000);
    (fixture.heartbeats_arrive, fixture.orders_arrive) = (true, true);
    fixture.deliver_heartbeat(&delayed);
    fixture.expect_eventually_resident("m4");
}

/// Heartbeats are delayed while orders arrive; then one from before the first order arrives.
#[test]
fn loads_missing_from_delayed_heartbeat_are_counted() {
    let mut fixture = Fixture::new(&["m1"]);
    fixture.demanded = vec![("m1", None)];
    fixture.run_for(3_000);
    let delayed = fixture.heartbeat();
    fixture.heartbeats_arrive = false;
    fixture.demanded = vec![("m1", None), ("m2", None), ("m3", None)];
    fixture.run_until_loading("m2", None);
    fixture.run_until_loading("m3", None);
    fixture.run_for(9_000);
    fixture.demanded = vec![("m1", None), ("m4", None)];
    fixture.run_for(1_000);
    fixture.deliver_heartbeat(&delayed);
    fixture.heartbeats_arrive = true;
    fixture.expect_eventually_resident("m4");
}
