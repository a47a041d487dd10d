//! One incarnation of an endpoint: what it holds and shows, and the order that it was given.
//!
//! A registration may be older than orders that were carried out, by any time: a heartbeat may stand still on its
//! way. So what takes room here is not what registrations show. It is what a report of an endpoint at rest told,
//! together with the count of orders taken by then, and what this placer's own orders did to it since. Each order
//! names that count: an endpoint that has taken any other order since refuses it, and nothing that is not known of
//! can take the room that is counted as free.

use crate::catalog::Catalog;
use crate::contents::Contents;
use crate::interface::{Item, Operation};
use crate::underway::{Stage, Underway};
use lanegate_config::instance::{Instance, InstanceState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long registrations may contradict what is known before it is doubted; longer than a heartbeat.
const DOUBT_AFTER: Duration = Duration::from_millis(2_600);

/// Time between registrations until it is measured.
const USUAL_BEAT: Duration = Duration::from_millis(1_200);

/// How long room is kept for a load that an eviction was made for.
const INTENT_LASTS: Duration = Duration::from_secs(12);

/// A model for which room is being made.
#[derive(Debug, Clone)]
pub struct Intent {
    pub model: Arc<str>,
    /// Whether requests wait for it.
    pub urgent: bool,
    pub until: Duration,
}

/// Whether it is known what the endpoint holds; without that it is given no order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verification {
    /// The contents are those of the endpoint when it has taken so many orders, and the one under way is done.
    Settled { revision: u64 },
    /// To be asked once there is an order to give, no earlier than then.
    Wanted { not_before: Duration },
    /// Asked; no answer yet.
    Asked { at: Duration },
}

/// One incarnation of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub ready: bool,
    pub registered: Duration,
    /// Usual time between two registrations.
    pub beat: Duration,
    /// What the newest registration shows: requests are served there.
    pub shown: Contents,
    /// What takes room. Until it is verified, a guess after the newest registration.
    pub contents: Contents,
    pub verification: Verification,
    /// Orders that the endpoint has taken at least: a report that counts fewer is older than one of them.
    pub least_revision: u64,
    /// When the contents last changed by an order or a report.
    changed: Duration,
    pub order: Option<Underway>,
    /// No order before then, after a refusal.
    pub not_before: Duration,
    pub refusals: u32,
    pub intent: Option<Intent>,
    /// Models that this incarnation has held: their weights are on its disk.
    pub on_disk: BTreeSet<Arc<str>>,
    sequence: Option<u64>,
}

impl Endpoint {
    /// An endpoint that registered for the first time, as far as this placer knows.
    pub fn new(now: Duration, instance: &Instance) -> Endpoint {
        Endpoint {
            id: Arc::from(instance.id.as_str()),
            address: instance.address,
            zone: Arc::from(instance.zone.as_str()),
            ready: false,
            registered: Duration::ZERO,
            beat: USUAL_BEAT,
            shown: Contents::default(),
            contents: Contents::default(),
            verification: Verification::Wanted { not_before: now },
            least_revision: 0,
            changed: now,
            order: None,
            not_before: Duration::ZERO,
            refusals: 0,
            intent: None,
            on_disk: BTreeSet::new(),
            sequence: None,
        }
    }

    /// Takes in a registration; false if it is older than one before or changes nothing.
    pub fn registration(&mut self, now: Duration, instance: &Instance, catalog: &Catalog) -> bool {
        if self.sequence.is_some_and(|known| instance.sequence <= known) {
            return false;
        }
        if self.sequence.is_some() {
            let gap = now.saturating_sub(self.registered).min(USUAL_BEAT * 2);
            self.beat = (self.beat * 3 + gap) / 4;
        }
        self.sequence = Some(instance.sequence);
        self.registered = now;
        let ready = instance.state == InstanceState::Ready && instance.remaining_ms.is_none();
        let mut changed = self.address != instance.address || self.ready != ready;
        self.address = instance.address;
        self.ready = ready;
        if !self.shown.is_told_by(&instance.models) {
            self.shown = Contents::told(&instance.models, catalog);
            self.note_disk();
            changed = true;
        }
        changed | self.guess(now, instance, catalog)
    }

    /// Sequence of the newest registration.
    pub fn sequence(&self) -> u64 {
        self.sequence.unwrap_or(0)
    }

    /// Takes what a registration shows for the contents, where nothing better is known. True if that changes them.
    fn guess(&mut self, now: Duration, instance: &Instance, catalog: &Catalog) -> bool {
        if self.order.is_some() || self.contents.is_told_by(&instance.models) {
            return false;
        }
        if self.revision().is_some() {
            if now < self.changed + DOUBT_AFTER {
                return false;
            }
            self.verification = Verification::Wanted { not_before: now };
        }
        self.contents = Contents::told(&instance.models, catalog);
        true
    }

    /// Takes over what the endpoint held, at rest, when it had taken `revision` orders.
    pub fn verified(&mut self, now: Duration, contents: Contents, revision: u64) {
        self.verification = Verification::Settled { revision };
        self.least_revision = revision;
        self.shown.keep_common(&contents);
        self.contents = contents;
        self.changed = now;
        self.note_disk();
    }

    /// The endpoint has taken the order under way, whose effect on the contents is noted when it is done.
    pub fn taken(&mut self, now: Duration) {
        let next_beat = self.registered + self.beat;
        let Some(order) = self.order.as_mut() else { return };
        order.taken(now, next_beat);
        self.refusals = 0;
        self.least_revision = order.revision + 1;
        self.verification = Verification::Settled { revision: self.least_revision };
    }

    /// The order under way is done.
    pub fn done(&mut self, now: Duration) -> Option<Underway> {
        let order = self.order.take()?;
        match order.operation {
            Operation::Load => self.contents.add(&order.item),
            Operation::Evict => {
                self.contents.remove(&order.item);
                self.shown.remove(&order.item);
            }
        }
        self.changed = now;
        self.note_disk();
        Some(order)
    }

    /// What is held is no longer known; it is asked for before the next order.
    pub fn doubt(&mut self, not_before: Duration) {
        self.verification = Verification::Wanted { not_before };
    }

    fn note_disk(&mut self) {
        let models = self.shown.models().chain(self.contents.models()).map(|held| &held.model);
        for model in models.filter(|model| !self.on_disk.contains(*model)).cloned().collect::<Vec<_>>() {
            self.on_disk.insert(model);
        }
    }

    /// Orders that the endpoint has taken, where what it holds is known.
    pub fn revision(&self) -> Option<u64> {
        match self.verification {
            Verification::Settled { revision } => Some(revision),
            Verification::Wanted { .. } | Verification::Asked { .. } => None,
        }
    }

    /// What the order under way is bringing, if it brings anything.
    pub fn loading(&self) -> Option<&Item> {
        let order = self.order.as_ref().filter(|order| order.operation == Operation::Load)?;
        Some(&order.item).filter(|item| !self.contents.contains(item))
    }

    /// What the order under way is taking away, if it takes anything.
    pub fn leaving(&self) -> Option<&Item> {
        let order = self.order.as_ref().filter(|order| order.operation == Operation::Evict)?;
        Some(&order.item)
    }

    /// Whether the item takes room here: held, being loaded, or perhaps being loaded.
    pub fn counts(&self, item: &Item) -> bool {
        self.contents.contains(item) || self.loading() == Some(item)
    }

    /// Whether the model is shown and stays.
    pub fn shows_model(&self, model: &Arc<str>) -> bool {
        self.shows(&Item::model(model.clone()))
    }

    /// Whether the item is here, or will be, and stays.
    pub fn keeps(&self, item: &Item) -> bool {
        self.counts(item) && !self.is_leaving(item)
    }

    /// Whether the item is shown and stays.
    pub fn shows(&self, item: &Item) -> bool {
        self.shown.contains(item) && self.contents.contains(item) && !self.is_leaving(item)
    }

    fn is_leaving(&self, item: &Item) -> bool {
        self.leaving()
            .is_some_and(|leaving| leaving == item || (leaving.is_model() && leaving.model == item.model))
    }

    /// Every item that takes room here.
    pub fn items(&self) -> impl Iterator<Item = Item> + '_ {
        self.contents.items().chain(self.loading().cloned())
    }

    /// Room taken, MB.
    pub fn used_mb(&self, catalog: &Catalog) -> f64 {
        self.items().map(|item| catalog.size_mb(&item)).sum()
    }

    /// Room left, MB; below zero where more is held than the configuration now grants.
    pub fn free_mb(&self, catalog: &Catalog) -> f64 {
        catalog.room_mb - self.used_mb(catalog)
    }

    /// Adapters that take a place here.
    pub fn adapters(&self) -> usize {
        self.items().filter(|item| !item.is_model()).count()
    }

    /// Whether an order may be given now, verification aside.
    pub fn free(&self, now: Duration) -> bool {
        self.ready && self.order.is_none() && now >= self.not_before
    }

    /// Whether the newest registration shows what the order under way was to do.
    pub fn shows_effect(&self) -> bool {
        let Some(order) = self.order.as_ref().filter(|order| order.stage != Stage::Sent) else {
            return false;
        };
        self.shown.contains(&order.item) == (order.operation == Operation::Load)
    }

    /// Keeps what room is made here for a model.
    pub fn intend(&mut self, model: Arc<str>, urgent: bool, now: Duration) {
        self.intent = Some(Intent { model, urgent, until: now + INTENT_LASTS });
    }

    /// Whether a load that requests wait for, or not, may have the room that is being made here.
    pub fn open_to(&self, urgent: bool, now: Duration) -> bool {
        let intent = self.intent.as_ref().filter(|intent| now < intent.until);
        intent.is_none_or(|intent| urgent && !intent.urgent)
    }

    /// The model for which room is being made.
    pub fn intended(&self, now: Duration) -> Option<&Arc<str>> {
        self.intent.as_ref().filter(|intent| now < intent.until).map(|intent| &intent.model)
    }
}
