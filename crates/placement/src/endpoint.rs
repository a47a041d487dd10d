//! One incarnation of an endpoint: its contents, what it advertises, and its order in flight.
//!
//! A heartbeat can be delayed for any time, so a registration may predate orders that the endpoint has executed. Used
//! memory is therefore not calculated from registrations. It is calculated from a report of the idle endpoint, with
//! the number of orders that the endpoint had accepted by then (its revision), and from this placer's own orders
//! since. Every order names the revision it relies on, and the endpoint refuses it at any other revision. So an order
//! that the placer does not know of cannot take memory that the placer considers free.

use crate::catalog::Catalog;
use crate::contents::Contents;
use crate::in_flight::{InFlightOrder, OrderStage};
use crate::interface::{Item, Operation};
use lanegate_config::instance::{Instance, InstanceState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which registrations may contradict verified contents before these are requested again; longer than a
/// heartbeat interval.
const CONTRADICTION_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Heartbeat interval until it is measured.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time for which freed memory stays reserved for the load it was freed for.
const RESERVATION_DURATION: Duration = Duration::from_secs(12);

/// Memory that is being freed for a model.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub model: Arc<str>,
    /// Whether requests wait for the model.
    pub urgent: bool,
    pub until: Duration,
}

/// Whether the contents are known. Orders are sent only to endpoints with verified contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verification {
    /// The contents are those after `revision` accepted orders, the one in flight included.
    Verified { revision: u64 },
    /// A report is requested before the next order is sent, but not before this time.
    Unverified { not_before: Duration },
    /// A report was requested and has not arrived.
    Requested { at: Duration },
}

/// One incarnation of an endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub ready: bool,
    pub registered: Duration,
    /// Moving average of the time between registrations.
    pub heartbeat_interval: Duration,
    /// Contents by the newest registration. Routers send requests according to these.
    pub advertised: Contents,
    /// Contents that planning relies on. Until they are verified, those of the newest registration.
    pub contents: Contents,
    pub verification: Verification,
    /// Lower bound of the orders that the endpoint has accepted: a report with fewer is outdated.
    pub min_revision: u64,
    /// When the contents last changed by an order or a report.
    changed: Duration,
    pub order: Option<InFlightOrder>,
    /// No order before this time, after a rejection.
    pub not_before: Duration,
    pub rejections: u32,
    pub reservation: Option<Reservation>,
    /// Models that were resident in this incarnation: their weights are on its disk.
    pub on_disk: BTreeSet<Arc<str>>,
    sequence: Option<u64>,
}

impl Endpoint {
    /// An endpoint at its first registration with this placer.
    pub(crate) fn new(now: Duration, instance: &Instance) -> Endpoint {
        Endpoint {
            id: Arc::from(instance.id.as_str()),
            address: instance.address,
            zone: Arc::from(instance.zone.as_str()),
            ready: false,
            registered: Duration::ZERO,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            advertised: Contents::default(),
            contents: Contents::default(),
            verification: Verification::Unverified { not_before: now },
            min_revision: 0,
            changed: now,
            order: None,
            not_before: Duration::ZERO,
            rejections: 0,
            reservation: None,
            on_disk: BTreeSet::new(),
            sequence: None,
        }
    }

    /// Applies a registration. Returns false if it is outdated or changes nothing.
    pub(crate) fn register(&mut self, now: Duration, instance: &Instance, catalog: &Catalog) -> bool {
        if self.sequence.is_some_and(|known| instance.sequence <= known) {
            return false;
        }
        if self.sequence.is_some() {
            let gap = now.saturating_sub(self.registered).min(DEFAULT_HEARTBEAT_INTERVAL * 2);
            self.heartbeat_interval = (self.heartbeat_interval * 3 + gap) / 4;
        }
        self.sequence = Some(instance.sequence);
        self.registered = now;
        let ready = instance.state == InstanceState::Ready && instance.remaining_ms.is_none();
        let mut changed = self.address != instance.address || self.ready != ready;
        self.address = instance.address;
        self.ready = ready;
        if !self.advertised.matches_listing(&instance.models) {
            self.advertised = Contents::from_listing(&instance.models, catalog);
            self.record_models_on_disk();
            changed = true;
        }
        changed | self.assume_contents(now, instance, catalog)
    }

    /// Sequence number of the newest registration.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence.unwrap_or(0)
    }

    /// Adopts the contents of a registration if the known ones are not verified, or if it still contradicts them
    /// [`CONTRADICTION_TIMEOUT`] after their last change. Returns whether the contents changed.
    fn assume_contents(&mut self, now: Duration, instance: &Instance, catalog: &Catalog) -> bool {
        if self.order.is_some() || self.contents.matches_listing(&instance.models) {
            return false;
        }
        if self.revision().is_some() {
            if now < self.changed + CONTRADICTION_TIMEOUT {
                return false;
            }
            self.verification = Verification::Unverified { not_before: now };
        }
        self.contents = Contents::from_listing(&instance.models, catalog);
        true
    }

    /// Sets the contents that the idle endpoint reported after `revision` orders.
    pub(crate) fn verify(&mut self, now: Duration, contents: Contents, revision: u64) {
        self.verification = Verification::Verified { revision };
        self.min_revision = revision;
        self.advertised.retain_common(&contents);
        self.contents = contents;
        self.changed = now;
        self.record_models_on_disk();
    }

    /// The endpoint accepted the order in flight. Its effect on the contents is applied when it is done.
    pub(crate) fn order_accepted(&mut self, now: Duration) {
        let next_heartbeat = self.registered + self.heartbeat_interval;
        let Some(order) = self.order.as_mut() else { return };
        order.accepted(now, next_heartbeat);
        self.rejections = 0;
        self.min_revision = order.revision + 1;
        self.verification = Verification::Verified { revision: self.min_revision };
    }

    /// Ends the order in flight as done, and applies its effect.
    pub(crate) fn finish_order(&mut self, now: Duration) -> Option<InFlightOrder> {
        let order = self.order.take()?;
        match order.operation {
            Operation::Load => self.contents.add(&order.item),
            Operation::Evict => {
                self.contents.remove(&order.item);
                self.advertised.remove(&order.item);
            }
        }
        self.changed = now;
        self.record_models_on_disk();
        Some(order)
    }

    /// Marks the contents as unknown. A report is requested before the next order, but not before `not_before`.
    pub(crate) fn invalidate(&mut self, not_before: Duration) {
        self.verification = Verification::Unverified { not_before };
    }

    fn record_models_on_disk(&mut self) {
        let models = self.advertised.models().chain(self.contents.models()).map(|resident| &resident.model);
        for model in models.filter(|model| !self.on_disk.contains(*model)).cloned().collect::<Vec<_>>() {
            self.on_disk.insert(model);
        }
    }

    /// Number of orders that the endpoint has accepted, if its contents are verified.
    pub(crate) fn revision(&self) -> Option<u64> {
        match self.verification {
            Verification::Verified { revision } => Some(revision),
            Verification::Unverified { .. } | Verification::Requested { .. } => None,
        }
    }

    /// The item that the order in flight loads.
    pub(crate) fn loading(&self) -> Option<&Item> {
        let order = self.order.as_ref().filter(|order| order.operation == Operation::Load)?;
        Some(&order.item).filter(|item| !self.contents.contains(item))
    }

    /// The item that the order in flight evicts.
    pub(crate) fn evicting(&self) -> Option<&Item> {
        let order = self.order.as_ref().filter(|order| order.operation == Operation::Evict)?;
        Some(&order.item)
    }

    /// Whether the item takes memory: it is resident, or an order to load it is in flight, accepted or not.
    pub(crate) fn occupies(&self, item: &Item) -> bool {
        self.contents.contains(item) || self.loading() == Some(item)
    }

    /// Whether the model is advertised here and is not being evicted.
    pub(crate) fn advertises_model(&self, model: &Arc<str>) -> bool {
        self.advertises(&Item::model(model.clone()))
    }

    /// Whether the item is resident or loading, and is not being evicted.
    pub(crate) fn retains(&self, item: &Item) -> bool {
        self.occupies(item) && !self.is_evicting(item)
    }

    /// Whether the item is advertised here and is not being evicted.
    pub(crate) fn advertises(&self, item: &Item) -> bool {
        self.advertised.contains(item) && self.contents.contains(item) && !self.is_evicting(item)
    }

    fn is_evicting(&self, item: &Item) -> bool {
        self.evicting()
            .is_some_and(|evicting| evicting == item || (evicting.is_model() && evicting.model == item.model))
    }

    /// Every item that takes memory.
    pub(crate) fn items(&self) -> impl Iterator<Item = Item> + '_ {
        self.contents.items().chain(self.loading().cloned())
    }

    /// Memory taken, MB.
    pub(crate) fn used_mb(&self, catalog: &Catalog) -> f64 {
        self.items().map(|item| catalog.size_mb(&item)).sum()
    }

    /// Free memory, MB; negative where more is resident than the configuration now allows.
    pub(crate) fn free_mb(&self, catalog: &Catalog) -> f64 {
        catalog.capacity_mb - self.used_mb(catalog)
    }

    /// Number of adapters that take a slot.
    pub(crate) fn adapters(&self) -> usize {
        self.items().filter(|item| !item.is_model()).count()
    }

    /// Whether an order may be sent now; verification is checked separately.
    pub(crate) fn accepts_orders(&self, now: Duration) -> bool {
        self.ready && self.order.is_none() && now >= self.not_before
    }

    /// Whether the newest registration shows the effect of the order in flight.
    pub(crate) fn advertises_effect(&self) -> bool {
        let Some(order) = self.order.as_ref().filter(|order| order.stage != OrderStage::Sent) else {
            return false;
        };
        self.advertised.contains(&order.item) == (order.operation == Operation::Load)
    }

    /// Reserves the memory that is being freed here for a model.
    pub(crate) fn reserve_for(&mut self, model: Arc<str>, urgent: bool, now: Duration) {
        self.reservation = Some(Reservation { model, urgent, until: now + RESERVATION_DURATION });
    }

    /// Whether a load may use the memory of this endpoint: it is not reserved, or the load is urgent and the reserved
    /// one is not.
    pub(crate) fn accepts_load(&self, urgent: bool, now: Duration) -> bool {
        let reservation = self.reservation.as_ref().filter(|reservation| now < reservation.until);
        reservation.is_none_or(|reservation| urgent && !reservation.urgent)
    }

    /// The model for which memory is being freed.
    pub(crate) fn reserved_model(&self, now: Duration) -> Option<&Arc<str>> {
        self.reservation
            .as_ref()
            .filter(|reservation| now < reservation.until)
            .map(|reservation| &reservation.model)
    }
}
