//! Rules on orders to engines.

use super::view::{Ordered, Troubled, View};
use super::{Invariant, Violation};
use crate::catalog::{MAX_ADAPTERS, Service, WEIGHTS_MB, find_model};
use crate::journal::{OrderFacts, What};
use crate::layout::{LEASE_MS, THAW_MS};
use crate::names::InstanceId;
use crate::schedule::Trouble;
use lanegate_placement::Operation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Margin for what a busy machine adds to the time of an order on its way.
const WIRE_MARGIN: Duration = Duration::from_millis(300);
/// Status of an order that is being done.
const ACCEPTED: u16 = 202;

/// What one engine holds, as its events tell.
#[derive(Debug, Default)]
struct Held {
    models: BTreeMap<String, BTreeSet<String>>,
}

impl Held {
    fn weights_mb(&self) -> f64 {
        let of = |(name, adapters): (&String, &BTreeSet<String>)| {
            find_model(name)
                .map_or(0.0, |model| model.weights_mb + adapters.len() as f64 * model.adapter_size_mb)
        };
        self.models.iter().map(of).sum()
    }

    fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    fn load(&mut self, order: &OrderFacts) {
        let adapters = self.models.entry(order.model.clone()).or_default();
        adapters.extend(order.adapter.clone());
    }

    fn evict(&mut self, order: &OrderFacts) {
        match &order.adapter {
            None => drop(self.models.remove(&order.model)),
            Some(adapter) => {
                if let Some(adapters) = self.models.get_mut(&order.model) {
                    adapters.remove(adapter);
                }
            }
        }
    }
}

/// [`Invariant::BeyondRoom`].
pub fn beyond_room(view: &View) -> Vec<Violation> {
    let mut engines: BTreeMap<InstanceId, Held> = BTreeMap::new();
    let mut found = Vec::new();
    for event in &view.events {
        match &event.what {
            What::EndpointStarted { instance, models, .. } => {
                let models = models.iter().map(|model| (model.clone(), BTreeSet::new())).collect();
                engines.insert(*instance, Held { models });
            }
            What::OrderArrived { instance, order, status: ACCEPTED, .. }
                if order.operation == Operation::Load =>
            {
                let held = engines.entry(*instance).or_default();
                held.load(order);
                if let Some(seen) = excess(held, *instance, order) {
                    found.push(Violation::new(Invariant::BeyondRoom, event.at, seen).of_instance(*instance));
                }
            }
            What::OrderDone { instance, order } if order.operation == Operation::Evict => {
                engines.entry(*instance).or_default().evict(order);
            }
            _ => {}
        }
    }
    found
}

fn excess(held: &Held, instance: InstanceId, order: &OrderFacts) -> Option<String> {
    let (weights, adapters) = (held.weights_mb(), held.adapters());
    let what = match &order.adapter {
        Some(adapter) => format!("{}/{adapter}", order.model),
        None => order.model.clone(),
    };
    let is_beyond = weights > WEIGHTS_MB || adapters > MAX_ADAPTERS as usize;
    is_beyond.then(|| {
        format!(
            "{} (token {}) has {instance} load {what}: {weights} of {WEIGHTS_MB} MB, {adapters} of \
             {MAX_ADAPTERS} adapters",
            order.owner, order.token
        )
    })
}

/// [`Invariant::TwoHolders`].
pub fn two_holders(view: &View) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut owners: BTreeMap<(Service, u64), &Ordered> = BTreeMap::new();
    let mut last_at: BTreeMap<InstanceId, &Ordered> = BTreeMap::new();
    let mut last_of: BTreeMap<Service, &Ordered> = BTreeMap::new();
    for ordered in view.orders.iter().filter(|ordered| !is_after_thaw(view, ordered.at)) {
        let first = owners.entry((ordered.service, ordered.order.token)).or_insert(ordered);
        if first.order.owner != ordered.order.owner {
            found.push(violation(ordered, first, "with the same token"));
        }
        let before = last_at.insert(ordered.instance, ordered);
        if let Some(before) = before.filter(|before| before.order.token > ordered.order.token) {
            found.push(violation(ordered, before, "with a higher token"));
        }
        let before = last_of.insert(ordered.service, ordered);
        if let Some(before) = before.filter(|before| takes_turns(before, ordered)) {
            found.push(violation(ordered, before, "within the lease"));
        }
    }
    found
}

fn takes_turns(before: &Ordered, ordered: &Ordered) -> bool {
    let lease = Duration::from_millis(LEASE_MS) - WIRE_MARGIN;
    before.order.owner != ordered.order.owner && ordered.at - before.at < lease
}

fn violation(ordered: &Ordered, before: &Ordered, how: &str) -> Violation {
    let (new, old) = (&ordered.order, &before.order);
    let seen = format!(
        "{} (token {}) gives {} an order {:.3} s after {} (token {}) {how}",
        new.owner,
        new.token,
        ordered.instance,
        (ordered.at - before.at).as_secs_f64(),
        old.owner,
        old.token
    );
    Violation::new(Invariant::TwoHolders, ordered.at, seen).of_instance(ordered.instance)
}

/// Whether a process was thawed, or a link healed, a moment ago.
fn is_after_thaw(view: &View, at: Duration) -> bool {
    let thaw = Duration::from_millis(THAW_MS);
    let ends = |troubled: &Troubled| {
        matches!(troubled.trouble, Trouble::Freeze { .. } | Trouble::Cut { .. } | Trouble::Isolate { .. })
    };
    let mut ended = view.troubles.iter().filter(|troubled| ends(troubled));
    ended.any(|troubled| troubled.until <= at && at - troubled.until <= thaw)
}
