//! What is known of an endpoint's room may be older than an order that was carried out there.

mod support;

use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::instance::Instance;
use lanegate_config::mechanism::SwitchedOff;
use lanegate_placement::{
    Action, EndpointReport, Operation, Order, OrderAnswer, Placer, PlacerSettings, Start,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use support::fleet::{Endpoint, Work, size};
use support::simulation::runtime;

const BACKEND: &str = "engines";
const STEP_MS: u64 = 10;
const BEAT_MS: u64 = 1_200;
/// How old a report is when it is given.
const REPORT_LAG_MS: u64 = 200;
const LOAD_S: f64 = 1.0;
const EVICT_MS: u64 = 50;
/// Three such models fill an endpoint.
const MODEL_MB: f64 = 70_000.0;
/// Time without a heartbeat after which an endpoint is given up.
const SILENCE_MS: u64 = 4_200;

/// One endpoint, a placer, and the network between them.
struct Play {
    placer: Placer,
    endpoint: Endpoint,
    now_ms: u64,
    asked: Vec<(&'static str, Option<String>)>,
    /// Whether heartbeats arrive.
    beats_arrive: bool,
    /// Whether orders and questions arrive.
    calls_arrive: bool,
    history: VecDeque<EndpointReport>,
    given: Vec<Order>,
    broken: Vec<String>,
}

fn placer(now_ms: u64, start: Start) -> Placer {
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

impl Play {
    /// An endpoint that holds these models.
    fn new(models: &[&str]) -> Play {
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
            orders_taken: 0,
            beats: 0,
            next_beat_ms: 0,
            up: true,
            cut: None,
            heal_ms: 0,
            stalled: None,
        };
        Play {
            placer: placer(0, Start::First),
            endpoint,
            now_ms: 0,
            asked: Vec::new(),
            beats_arrive: true,
            calls_arrive: true,
            history: VecDeque::new(),
            given: Vec::new(),
            broken: Vec::new(),
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn run_for(&mut self, lasts_ms: u64) {
        let until_ms = self.now_ms + lasts_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.endpoint.advance(self.now_ms);
            self.history.push_back(self.endpoint.report());
            if self.history.len() as u64 > REPORT_LAG_MS / STEP_MS {
                self.history.pop_front();
            }
            if self.now_ms >= self.endpoint.next_beat_ms {
                self.endpoint.next_beat_ms = self.now_ms + BEAT_MS;
                let beat = self.beat();
                if self.beats_arrive {
                    self.hear(&beat);
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
            assert!(self.now_ms < until_ms, "{model} is not ordered: {:?}", self.given);
            self.run_for(STEP_MS);
        }
    }

    /// The next heartbeat of the endpoint.
    fn beat(&mut self) -> Instance {
        self.endpoint.beats += 1;
        self.endpoint.instance(BACKEND)
    }

    fn hear(&mut self, beat: &Instance) {
        self.placer.instance(self.now(), beat);
        self.act();
    }

    fn demand(&mut self) {
        let demand = |(model, adapter): &(&str, Option<String>)| ModelDemand {
            backend: BACKEND.into(),
            model: (*model).into(),
            adapter: adapter.clone(),
            requests: 20,
            tokens: 20_000,
            unplaced: 20 * u32::from(!self.endpoint.holds(model, adapter.as_deref())),
        };
        let models = self.asked.iter().map(demand).collect();
        self.placer.demand(self.now(), "r", &DemandReport { period_ms: 500, models });
    }

    /// Carries out what the placer wants.
    fn act(&mut self) {
        while let Some(action) = self.placer.next_action() {
            match action {
                Action::Order(order) => self.order(&order),
                Action::RequestReport { .. } if self.calls_arrive => {
                    let report = self.history.front().cloned().unwrap_or_else(|| self.endpoint.report());
                    self.placer.report(self.now(), &self.endpoint.id(), &report);
                }
                Action::RequestReport { .. } => {}
            }
        }
    }

    fn order(&mut self, order: &Order) {
        let answer = if self.calls_arrive { self.take(order) } else { OrderAnswer::Unavailable };
        self.given.push(order.clone());
        self.placer.order_answered(self.now(), order.id, answer);
    }

    fn take(&mut self, order: &Order) -> OrderAnswer {
        if let Some(status) = self.endpoint.status_without_work(order) {
            return OrderAnswer::from_status(status);
        }
        self.check_room(order);
        let load_ms = if order.adapter.is_some() { 20 } else { (LOAD_S * 1e3) as u64 };
        let lasts_ms = if order.operation == Operation::Load { load_ms } else { EVICT_MS };
        self.endpoint.orders_taken += 1;
        self.endpoint.work = Some(Work {
            operation: order.operation,
            model: order.model.to_string(),
            adapter: order.adapter.as_ref().map(ToString::to_string),
            until_ms: self.now_ms + lasts_ms,
        });
        OrderAnswer::Accepted
    }

    /// After a while the endpoint holds `model`, and was never given more than it has room for.
    fn expect_in_the_end(&mut self, model: &str) {
        self.run_for(15_000);
        assert!(self.broken.is_empty(), "{:?}", self.broken);
        assert_eq!(self.placer.violations().total(), 0);
        assert!(self.endpoint.holds(model, None), "{:?}", self.given);
    }

    fn check_room(&mut self, order: &Order) {
        if order.operation == Operation::Evict {
            return;
        }
        let runtime = runtime(8, MODEL_MB, LOAD_S, 12, 66.0);
        let is_adapter = order.adapter.is_some();
        let used_mb = self.endpoint.used_mb(&runtime) + size(&runtime, &order.model, is_adapter);
        let adapters = self.endpoint.adapters() + usize::from(is_adapter);
        if used_mb > runtime.weights_mb || adapters > runtime.max_adapters as usize {
            let held: BTreeMap<_, _> = self.endpoint.models.clone();
            self.broken.push(format!("{}: {order:?} beside {held:?}", self.now_ms));
        }
    }
}

/// An endpoint that was cut off as it loaded `m3`, and has been silent since; with a heartbeat of before the load's end.
fn cut_off_while_loading() -> (Play, Instance) {
    let mut play = Play::new(&["m1", "m2"]);
    play.asked = vec![("m3", None)];
    play.run_until_loading("m3", None);
    let late = play.beat();
    (play.beats_arrive, play.calls_arrive) = (false, false);
    play.run_for(SILENCE_MS);
    (play, late)
}

/// The endpoint is cut off while it loads, is given up, and is heard again by a heartbeat of before the load's end.
#[test]
fn a_load_counts_that_was_taken_before_its_endpoint_was_given_up() {
    let (mut play, late) = cut_off_while_loading();
    play.placer.removed(play.now(), &play.endpoint.id());
    play.asked = vec![("m4", None)];
    play.run_for(1_000);
    (play.beats_arrive, play.calls_arrive) = (true, true);
    play.hear(&late);
    play.expect_in_the_end("m4");
}

/// A new holder of the lease first hears of the endpoint long after it began, by a heartbeat of before the load.
#[test]
fn a_load_of_the_tenure_before_counts_whenever_its_endpoint_is_heard() {
    let (mut play, late) = cut_off_while_loading();
    play.placer = placer(play.now_ms, Start::Takeover);
    play.asked = vec![("m4", None)];
    play.run_for(6_000);
    (play.beats_arrive, play.calls_arrive) = (true, true);
    play.hear(&late);
    play.expect_in_the_end("m4");
}

/// Heartbeats stand still on their way while orders arrive; then one of before the first of them is heard.
#[test]
fn loads_count_that_a_late_heartbeat_does_not_show() {
    let mut play = Play::new(&["m1"]);
    play.asked = vec![("m1", None)];
    play.run_for(3_000);
    let late = play.beat();
    play.beats_arrive = false;
    play.asked = vec![("m1", None), ("m2", None), ("m3", None)];
    play.run_until_loading("m2", None);
    play.run_until_loading("m3", None);
    play.run_for(9_000);
    play.asked = vec![("m1", None), ("m4", None)];
    play.run_for(1_000);
    play.hear(&late);
    play.beats_arrive = true;
    play.expect_in_the_end("m4");
}
