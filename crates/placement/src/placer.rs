//! The placer: takes registrations, demand, answers and reports, and returns orders.

use crate::catalog::Catalog;
use crate::demand_table::DemandTable;
use crate::drain_time::DrainTimeEstimate;
use crate::endpoint::{Endpoint, Verification};
use crate::guard::OrderGuard;
use crate::interface::{Action, Item, Operation, OrderId, PendingLoad};
use crate::load_limiter::LoadLimiter;
use crate::order_log;
use crate::planning_view::Endpoints;
use crate::removed_incarnations::RemovedIncarnations;
use crate::settings::{PlacerSettings, StartMode};
use crate::violation::InvariantViolations;
use lanegate_config::configuration::Runtime;
use lanegate_config::demand::DemandReport;
use lanegate_config::instance::Instance;
use lanegate_config::mechanism::SwitchedOff;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Shortest time between two planning rounds when nothing is urgent.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two planning rounds.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which an unanswered request for a report is repeated.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unanswered order counts as unacknowledged.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Places the models and adapters of one service.
///
/// Every input carries the time; after each, the caller takes [`Action`]s until there is none, and calls
/// [`Placer::wake`] at [`Placer::next_wake`]. The same inputs and seed give the same actions.
#[derive(Debug)]
pub struct Placer {
    pub(crate) backend: Arc<str>,
    pub(crate) seed: u64,
    pub(crate) catalog: Catalog,
    pub(crate) demand: DemandTable,
    pub(crate) endpoints: Endpoints,
    pub(crate) orders: BTreeMap<OrderId, Arc<str>>,
    pub(crate) guard: OrderGuard,
    pub(crate) load_limiter: LoadLimiter,
    pub(crate) drain: DrainTimeEstimate,
    pub(crate) switched_off: SwitchedOff,
    pub(crate) actions: VecDeque<Action>,
    removed_incarnations: RemovedIncarnations,
    pub(crate) last_order: u64,
    pub(crate) fenced: bool,
    pub(crate) last_plan: Option<Duration>,
    pub(crate) next_plan: Option<Duration>,
    /// Whether a load waits for the rate limit of the weight store.
    pub(crate) load_blocked: bool,
    now: Duration,
}

impl Placer {
    /// A placer for the service `backend` that knows no endpoint, model or demand.
    pub fn new(now: Duration, backend: &str, seed: u64, settings: &PlacerSettings) -> Placer {
        let assumed_until = match settings.start {
            StartMode::First => now,
            StartMode::Takeover => now + settings.rate_limit_window,
        };
        Placer {
            backend: Arc::from(backend),
            seed,
            catalog: Catalog::default(),
            demand: DemandTable::default(),
            endpoints: Endpoints::new(),
            orders: BTreeMap::new(),
            guard: OrderGuard::default(),
            load_limiter: LoadLimiter::new(
                settings.rate_limit_window,
                settings.rate_limit_overshoot,
                assumed_until,
            ),
            drain: DrainTimeEstimate::default(),
            switched_off: settings.switched_off,
            actions: VecDeque::new(),
            removed_incarnations: RemovedIncarnations::default(),
            last_order: 0,
            fenced: false,
            last_plan: None,
            next_plan: None,
            load_blocked: false,
            now,
        }
    }

    /// Shortens the time for which a predecessor's loads are assumed to fill the window of the rate limit: the
    /// predecessor sent no orders for `idle` before this placer began.
    pub fn credit_predecessor_idle_time(&mut self, idle: Duration) {
        self.load_limiter.assume_until(self.load_limiter.assumed_until().saturating_sub(idle));
    }

    /// Applies the runtime of the service from the newest configuration.
    pub fn configure(&mut self, now: Duration, runtime: &Runtime) {
        self.now = now;
        self.catalog = Catalog::new(runtime, &self.catalog);
        self.load_limiter.set_limits(runtime.loads_per_s, self.catalog.sustained_concurrency());
        self.plan_soon(now);
    }

    /// Applies the newest registration of an endpoint.
    pub fn register(&mut self, now: Duration, instance: &Instance) {
        self.now = now;
        if *instance.backend != *self.backend {
            return;
        }
        if !self.endpoints.contains_key(instance.id.as_str()) {
            match self.removed_incarnations.sequence(&instance.id) {
                Some(sequence) if instance.sequence <= sequence => return,
                // This incarnation is still running, or its heartbeat was delayed. It is unknown which incarnation has
                // the address, so the other one stays.
                Some(_) => {}
                None => self.replace(now, instance),
            }
            let endpoint = Endpoint::new(now, instance);
            self.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        let Some(endpoint) = self.endpoints.get_mut(instance.id.as_str()) else { return };
        let before = endpoint.registered;
        if endpoint.register(now, instance, &self.catalog) {
            order_log::registered(now, instance);
            let id = endpoint.id.clone();
            self.complete_if_advertised(now, &id, before);
            self.plan_soon(now);
        }
    }

    /// Removes the previous incarnation at the address of a new one.
    fn replace(&mut self, now: Duration, instance: &Instance) {
        let before = self.endpoints.values().find(|endpoint| endpoint.address == instance.address);
        let Some(id) = before.map(|endpoint| endpoint.id.clone()) else { return };
        self.forget_endpoint(now, &id);
    }

    /// Removes an endpoint that is no longer registered.
    pub fn remove_endpoint(&mut self, now: Duration, id: &str) {
        self.now = now;
        if self.forget_endpoint(now, id) {
            self.plan_soon(now);
        }
    }

    fn forget_endpoint(&mut self, now: Duration, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.remove(id) else { return false };
        self.guard.forget(id);
        self.removed_incarnations.add(endpoint.id.clone(), endpoint.sequence());
        if let Some(order) = endpoint.order {
            self.orders.remove(&order.id);
            self.load_limiter.finish(order.id, now);
        }
        true
    }

    /// Adds the demand that a router saw since its last report.
    pub fn add_demand(&mut self, now: Duration, _router: &str, report: &DemandReport) {
        self.now = now;
        let catalog = &self.catalog;
        let name = |model: &str, adapter: Option<&str>| known_name(catalog, model, adapter);
        let unplaced = self.demand.add(now, report, &self.backend, name);
        self.plan_after(now, if unplaced { MIN_PLAN_INTERVAL } else { PLAN_INTERVAL });
    }

    /// Adds demand that was reported at `at`, before this placer began, so that a takeover continues with what the
    /// predecessor knew. To be called in order of time, after `configure` and before `demand`.
    pub fn restore_demand(&mut self, at: Duration, report: &DemandReport) {
        let catalog = &self.catalog;
        let name = |model: &str, adapter: Option<&str>| known_name(catalog, model, adapter);
        self.demand.add(at, report, &self.backend, name);
    }

    /// Plans now, or once [`MIN_PLAN_INTERVAL`] has passed since the last round.
    pub(crate) fn plan_soon(&mut self, now: Duration) {
        self.plan_after(now, MIN_PLAN_INTERVAL);
    }

    fn plan_after(&mut self, now: Duration, interval: Duration) {
        let due = self.last_plan.map_or(now, |last_plan| last_plan + interval);
        if now >= due {
            self.plan(now);
        } else {
            self.next_plan = Some(self.next_plan.map_or(due, |next_plan| next_plan.min(due)));
        }
    }

    /// To be called at `next_wake`.
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
        if let Verification::Requested { at } = endpoint.verification
            && now >= at + REPORT_TIMEOUT
        {
            endpoint.verification = Verification::Unverified { not_before: now };
        }
        let Some(order) = endpoint.order.as_mut() else { return };
        if order.is_presumed_done(now) {
            self.complete_order(id, now);
            return;
        }
        if order.is_unanswered() && now >= order.sent + ORDER_TIMEOUT {
            order.unacknowledged(now);
        }
        if order.poll_at.is_some_and(|poll_at| now >= poll_at) {
            order.polled(now);
            let address = endpoint.address;
            self.actions.push_back(Action::RequestReport { instance: id.clone(), address });
        }
    }

    pub(crate) fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// The next action. To be called after every input until it returns `None`.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When `wake` is to be called next, unless there is other input before.
    pub fn next_wake(&self) -> Option<Duration> {
        let endpoints = self.endpoints.values().filter_map(|endpoint| self.endpoint_wake(endpoint));
        let load_limiter = self.load_blocked.then(|| self.load_limiter.next_free(self.now)).flatten();
        endpoints.chain(load_limiter).chain(self.next_plan).filter(|at| *at > self.now).min()
    }

    fn endpoint_wake(&self, endpoint: &Endpoint) -> Option<Duration> {
        let order = endpoint.order.as_ref().and_then(|order| {
            if order.is_unanswered() { Some(order.sent + ORDER_TIMEOUT) } else { order.next_wake() }
        });
        let backoff = Some(endpoint.not_before);
        let verification = match endpoint.verification {
            Verification::Verified { .. } => None,
            Verification::Unverified { not_before } => endpoint.reservation.is_some().then_some(not_before),
            Verification::Requested { at } => Some(at + REPORT_TIMEOUT),
        };
        [order, backoff, verification].into_iter().flatten().filter(|at| *at > self.now).min()
    }

    /// The item that an endpoint was ordered to evict. The endpoint refuses new requests for it, but lists it until the
    /// running requests have ended.
    pub fn evicting(&self, instance: &str) -> Option<&Item> {
        self.endpoints.get(instance)?.evicting()
    }

    /// Whether an endpoint has seen a higher fencing token. If so, this placer sends no more orders.
    pub fn fenced(&self) -> bool {
        self.fenced
    }

    /// Orders that the guard blocked; none unless the planner has a bug.
    pub fn violations(&self) -> InvariantViolations {
        self.guard.violations()
    }

    /// Loads that were ordered and that no registration lists yet.
    pub fn pending_loads(&self) -> impl Iterator<Item = PendingLoad> + '_ {
        self.endpoints.values().filter_map(|endpoint| {
            let order = endpoint.order.as_ref().filter(|order| order.operation == Operation::Load)?;
            let item: Item = order.item.clone();
            Some(PendingLoad { instance: endpoint.id.clone(), item, expected: order.expected })
        })
    }
}

/// The interned name of a model, if the catalog has the model and the adapter.
fn known_name(catalog: &Catalog, model: &str, adapter: Option<&str>) -> Option<Arc<str>> {
    let spec = catalog.get(model)?;
    let known = adapter.is_none_or(|adapter| catalog.has_adapter(model, adapter));
    known.then(|| spec.name.clone())
}
