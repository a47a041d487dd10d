//! Checks that no order exceeds a limit, as orders are sent and arrive.

use super::fleet::{Endpoint, size};
use lanegate_config::configuration::Runtime;
use lanegate_placement::{InvariantViolations, Operation, Order};
use std::collections::{BTreeMap, BTreeSet};

/// Window of the rate limit, ms.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// Overshoot of the rate limit.
pub(crate) const OVERSHOOT: f64 = 1.1;

/// A model requested within this time may not lose its last replica, ms; a report is up to a second late.
const IN_DEMAND_MS: u64 = 2_500;

/// For this long after a fault the placer may not know which endpoints serve a model, ms.
const FAULT_RECOVERY_MS: u64 = 6_000;

#[derive(Default)]
pub(crate) struct Checks {
    pub store_loads: Vec<u64>,
    pub open: BTreeMap<String, u64>,
    pub last_requested: BTreeMap<String, u64>,
    pub violations: Vec<String>,
    pub max_concurrent_loads: usize,
    /// Endpoints that have registered as draining.
    pub known_draining: BTreeSet<String>,
    /// When the last fault occurred that the placer cannot detect immediately.
    pub last_fault_ms: u64,
}

impl Checks {
    pub(crate) fn requested(&mut self, now_ms: u64, model: &str) {
        self.last_requested.insert(model.into(), now_ms);
    }

    pub(crate) fn order_sent(&mut self, now_ms: u64, order: &Order, endpoints: &[Endpoint]) {
        if self.open.insert(order.instance.to_string(), order.id.0).is_some() {
            self.violations.push(format!("{now_ms}: two orders at once to {}", order.instance));
        }
        if self.known_draining.contains(&*order.instance) {
            self.violations.push(format!("{now_ms}: order to the draining endpoint {}", order.instance));
        }
        if order.operation == Operation::Evict && order.adapter.is_none() {
            self.check_last_replica(now_ms, order, endpoints);
        }
    }

    fn check_last_replica(&mut self, now_ms: u64, order: &Order, endpoints: &[Endpoint]) {
        let in_demand = self.last_requested.get(&*order.model).is_some_and(|at| now_ms < at + IN_DEMAND_MS);
        let others = endpoints.iter().filter(|endpoint| endpoint.up && endpoint.ready);
        let others = others.filter(|endpoint| endpoint.id() != *order.instance);
        let remaining = others.filter(|endpoint| endpoint.will_be_resident(&order.model, None)).count();
        let is_undisturbed = now_ms > self.last_fault_ms + FAULT_RECOVERY_MS;
        if is_undisturbed && in_demand && remaining == 0 {
            self.violations.push(format!(
                "{now_ms}: last replica in demand of {} is evicted from {}",
                order.model, order.instance
            ));
        }
    }

    /// Checks an order that is about to be executed.
    pub(crate) fn order_executed(
        &mut self,
        now_ms: u64,
        order: &Order,
        endpoint: &Endpoint,
        runtime: &Runtime,
    ) {
        if order.operation == Operation::Evict {
            return;
        }
        let used = endpoint.used_mb(runtime) + size(runtime, &order.model, order.adapter.is_some());
        if used > runtime.weights_mb {
            self.violations.push(format!("{now_ms}: {used} MB at {}", order.instance));
        }
        let adapters = endpoint.adapters() + usize::from(order.adapter.is_some());
        if adapters > runtime.max_adapters as usize {
            self.violations.push(format!("{now_ms}: {adapters} adapters at {}", order.instance));
        }
        if order.adapter.is_none() && !endpoint.disk.contains(&*order.model) {
            self.record_store_load(now_ms, runtime);
        }
    }

    fn record_store_load(&mut self, now_ms: u64, runtime: &Runtime) {
        self.store_loads.push(now_ms);
        let window = self.store_loads.iter().filter(|at| **at + WINDOW_MS > now_ms).count() as f64;
        let permitted = runtime.loads_per_s * WINDOW_MS as f64 / 1_000.0;
        if window > permitted * OVERSHOOT + 3.0 {
            self.violations.push(format!("{now_ms}: {window} loads in the window"));
        }
    }

    /// Checks that the guard has blocked no order, which would show a bug of the planner.
    pub(crate) fn check_blocked_orders(&mut self, now_ms: u64, violations: InvariantViolations) {
        if violations.total() > 0 {
            self.violations.push(format!("{now_ms}: {violations:?}"));
        }
    }

    /// Records that an order was answered, so that the endpoint may get another one.
    pub(crate) fn order_closed(&mut self, instance: &str, order: u64) {
        if self.open.get(instance) == Some(&order) {
            self.open.remove(instance);
        }
    }

    pub(crate) fn record_concurrent_loads(&mut self, endpoints: &[Endpoint]) {
        let loading = endpoints.iter().filter(|endpoint| {
            endpoint.work.as_ref().is_some_and(|work| {
                work.operation == Operation::Load
                    && work.adapter.is_none()
                    && !endpoint.disk.contains(&work.model)
            })
        });
        self.max_concurrent_loads = self.max_concurrent_loads.max(loading.count());
    }
}
