//! The placer: takes in what is known and gives out orders.

use crate::catalog::Catalog;
use crate::drain::DrainTime;
use crate::endpoint::{Endpoint, Verification};
use crate::guard::{InvariantViolations, OrderGuard};
use crate::interface::{Action, Item, Operation, OrderId, PendingLoad};
use crate::order_log;
use crate::rate::DemandTable;
use crate::settings::{PlacerSettings, Start};
use crate::store::StoreBudget;
use crate::view::Endpoints;
use lanegate_config::configuration::Runtime;
use lanegate_config::demand::DemandReport;
use lanegate_config::instance::Instance;
use lanegate_config::mechanism::SwitchedOff;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Shortest time between two rounds of planning that nothing urgent calls for.
const PLAN_PAUSE: Duration = Duration::from_millis(400);

/// Shortest time between two rounds of planning.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);

/// How long a question may go unanswered before it is asked again.
const QUESTION_PATIENCE: Duration = Duration::from_secs(1);

/// How long an order may be without any word of its fate before it counts as lost.
const ANSWER_PATIENCE: Duration = Duration::from_secs(10);

/// Incarnations that are gone and are remembered.
const GONE_KEPT: usize = 256;

/// Places the models and adapters of one service.
#[derive(Debug)]
pub struct Placer {
    pub(crate) backend: Arc<str>,
    pub(crate) seed: u64,
    pub(crate) catalog: Catalog,
    pub(crate) demand: DemandTable,
    pub(crate) endpoints: Endpoints,
    pub(crate) orders: BTreeMap<OrderId, Arc<str>>,
    pub(crate) guard: OrderGuard,
    pub(crate) store: StoreBudget,
    pub(crate) drain: DrainTime,
    pub(crate) switched_off: SwitchedOff,
    pub(crate) actions: VecDeque<Action>,
    /// Incarnations that are gone, each with its newest sequence, the latest last.
    gone: VecDeque<(Arc<str>, u64)>,
    pub(crate) last_order: u64,
    pub(crate) fenced: bool,
    pub(crate) planned: Option<Duration>,
    pub(crate) plan_at: Option<Duration>,
    /// Whether something waits for the weight store to permit another load.
    pub(crate) blocked: bool,
    now: Duration,
}

impl Placer {
    /// A placer for the service `backend` that knows nothing yet.
    pub fn new(now: Duration, backend: &str, seed: u64, settings: &PlacerSettings) -> Placer {
        let assumed_until = match settings.start {
            Start::First => now,
            Start::Takeover => now + settings.ceiling_window,
        };
        Placer {
            backend: Arc::from(backend),
            seed,
            catalog: Catalog::default(),
            demand: DemandTable::default(),
            endpoints: Endpoints::new(),
            orders: BTreeMap::new(),
            guard: OrderGuard::default(),
            store: StoreBudget::new(settings.ceiling_window, settings.ceiling_overshoot, assumed_until),
            drain: DrainTime::default(),
            switched_off: settings.switched_off,
            actions: VecDeque::new(),
            gone: VecDeque::new(),
            last_order: 0,
            fenced: false,
            planned: None,
            plan_at: None,
            blocked: false,
            now,
        }
    }

    /// The predecessor has given no orders for `idle` when this placer begins: that much of the ceiling
    /// window has passed already.
    pub fn predecessor_idle(&mut self, idle: Duration) {
        self.store.assume_until(self.store.assumed_until().saturating_sub(idle));
    }

    /// The runtime of the service, as the newest configuration has it.
    pub fn configure(&mut self, now: Duration, runtime: &Runtime) {
        self.now = now;
        self.catalog = Catalog::new(runtime, &self.catalog);
        self.store.permit(runtime.loads_per_s, self.catalog.sustained_loads());
        self.plan_soon(now);
    }

    /// The newest registration of an endpoint of the service.
    pub fn instance(&mut self, now: Duration, instance: &Instance) {
        self.now = now;
        if *instance.backend != *self.backend {
            return;
        }
        if !self.endpoints.contains_key(instance.id.as_str()) {
            match self.gone.iter().find(|(id, _)| **id == *instance.id) {
                Some((_, sequence)) if instance.sequence <= *sequence => return,
                // It lives, or a heartbeat of it was late: whether it or another one has the address is not known.
                Some(_) => {}
                None => self.replace(now, instance),
            }
            let endpoint = Endpoint::new(now, instance);
            self.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        let Some(endpoint) = self.endpoints.get_mut(instance.id.as_str()) else { return };
        let before = endpoint.registered;
        if endpoint.registration(now, instance, &self.catalog) {
            order_log::registered(now, instance);
            let id = endpoint.id.clone();
            self.settle_shown(now, &id, before);
            self.plan_soon(now);
        }
    }

    /// A new incarnation at an address ends the one before.
    fn replace(&mut self, now: Duration, instance: &Instance) {
        let before = self.endpoints.values().find(|endpoint| endpoint.address == instance.address);
        let Some(id) = before.map(|endpoint| endpoint.id.clone()) else { return };
        self.forget_endpoint(now, &id);
    }

    /// An endpoint is gone.
    pub fn removed(&mut self, now: Duration, id: &str) {
        self.now = now;
        if self.forget_endpoint(now, id) {
            self.plan_soon(now);
        }
    }

    fn forget_endpoint(&mut self, now: Duration, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.remove(id) else { return false };
        self.guard.forget(id);
        self.gone.retain(|(gone, _)| *gone != endpoint.id);
        self.gone.push_back((endpoint.id.clone(), endpoint.sequence()));
        if self.gone.len() > GONE_KEPT {
            self.gone.pop_front();
        }
        if let Some(order) = endpoint.order {
            self.orders.remove(&order.id);
            self.store.ended(order.id, now);
        }
        true
    }

    /// What a router saw of the demand since its last report.
    pub fn demand(&mut self, now: Duration, _router: &str, report: &DemandReport) {
        self.now = now;
        let catalog = &self.catalog;
        let name = |model: &str, adapter: Option<&str>| known_name(catalog, model, adapter);
        let unplaced = self.demand.add(now, report, &self.backend, name);
        self.plan_after(now, if unplaced { SHORTEST_PAUSE } else { PLAN_PAUSE });
    }

    /// What a router asked for at `at`, before this placer began: told in order, after the runtime and before
    /// any other demand, so that a takeover goes on with what its predecessor knew.
    pub fn recall(&mut self, at: Duration, report: &DemandReport) {
        let catalog = &self.catalog;
        let name = |model: &str, adapter: Option<&str>| known_name(catalog, model, adapter);
        self.demand.add(at, report, &self.backend, name);
    }

    /// Plans soon: at once if the last round is not too near.
    pub(crate) fn plan_soon(&mut self, now: Duration) {
        self.plan_after(now, SHORTEST_PAUSE);
    }

    fn plan_after(&mut self, now: Duration, pause: Duration) {
        let due = self.planned.map_or(now, |planned| planned + pause);
        if now >= due {
            self.plan(now);
        } else {
            self.plan_at = Some(self.plan_at.map_or(due, |plan_at| plan_at.min(due)));
        }
    }

    /// The time of `next_wake` has come.
    pub fn wake(&mut self, now: Duration) {
        self.now = now;
        let ids: Vec<Arc<str>> = self.endpoints.keys().cloned().collect();
        for id in ids {
            self.wake_endpoint(now, &id);
        }
        self.plan_soon(now);
    }

    fn wake_endpoint(&mut self, now: Duration, id: &Arc<str>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Verification::Asked { at } = endpoint.verification
            && now >= at + QUESTION_PATIENCE
        {
            endpoint.verification = Verification::Wanted { not_before: now };
        }
        let Some(order) = endpoint.order.as_mut() else { return };
        if order.over_by_time(now) {
            self.order_done(id, now);
            return;
        }
        if order.unanswered() && now >= order.sent + ANSWER_PATIENCE {
            order.lost(now);
        }
        if order.ask_at.is_some_and(|ask_at| now >= ask_at) {
            order.asking(now);
            let address = endpoint.address;
            self.actions.push_back(Action::RequestReport { instance: id.clone(), address });
        }
    }

    pub(crate) fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// The next thing to do, if any; to be called until there is none after every input.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When `wake` is to be called next, unless other input comes before.
    pub fn next_wake(&self) -> Option<Duration> {
        let endpoints = self.endpoints.values().filter_map(|endpoint| self.endpoint_wake(endpoint));
        let store = self.blocked.then(|| self.store.next_free(self.now)).flatten();
        endpoints.chain(store).chain(self.plan_at).filter(|at| *at > self.now).min()
    }

    fn endpoint_wake(&self, endpoint: &Endpoint) -> Option<Duration> {
        let order = endpoint.order.as_ref().and_then(|order| {
            if order.unanswered() { Some(order.sent + ANSWER_PATIENCE) } else { order.next_wake() }
        });
        let refused = Some(endpoint.not_before);
        let verification = match endpoint.verification {
            Verification::Settled { .. } => None,
            Verification::Wanted { not_before } => endpoint.intent.is_some().then_some(not_before),
            Verification::Asked { at } => Some(at + QUESTION_PATIENCE),
        };
        [order, refused, verification].into_iter().flatten().filter(|at| *at > self.now).min()
    }

    /// What an endpoint was ordered to drop and may not have dropped yet: it refuses requests for that, and still
    /// lists it until its runs have ended.
    pub fn leaving(&self, instance: &str) -> Option<&Item> {
        self.endpoints.get(instance)?.leaving()
    }

    /// Whether an endpoint has seen a higher fencing token: this placer gives no orders any more.
    pub fn fenced(&self) -> bool {
        self.fenced
    }

    /// Orders that were held back because they would have broken a limit; none in a placer without mistakes.
    pub fn violations(&self) -> InvariantViolations {
        self.guard.violations()
    }

    /// Loads that were ordered and that no registration shows yet.
    pub fn pending_loads(&self) -> impl Iterator<Item = PendingLoad> + '_ {
        self.endpoints.values().filter_map(|endpoint| {
            let order = endpoint.order.as_ref().filter(|order| order.operation == Operation::Load)?;
            let item: Item = order.item.clone();
            Some(PendingLoad { instance: endpoint.id.clone(), item, expected: order.expected })
        })
    }
}

/// The shared form of a model's name, if the catalog has the model and the adapter.
fn known_name(catalog: &Catalog, model: &str, adapter: Option<&str>) -> Option<Arc<str>> {
    let spec = catalog.get(model)?;
    let known = adapter.is_none_or(|adapter| catalog.has_adapter(model, adapter));
    known.then(|| spec.name.clone())
}
