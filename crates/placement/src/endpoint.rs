//! One incarnation of an endpoint: what it holds, what it was told to load and evict, and what is known
//! of the orders that it took.

use crate::catalog::Catalog;
use crate::interface::{Item, Operation};
use crate::underway::Underway;
use lanegate_model::instance::{HeldModel, Instance, InstanceState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long something told by a report stands although registrations, which may be older, lack it.
const REPORT_STANDS: Duration = Duration::from_millis(2_600);

/// Time between registrations until it is measured.
const USUAL_BEAT: Duration = Duration::from_millis(1_200);

/// How long room is kept for a load that an eviction was made for.
const INTENT_LASTS: Duration = Duration::from_secs(12);

/// A model that an endpoint shows, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    pub model: Arc<str>,
    pub adapters: Vec<Arc<str>>,
}

/// Something that takes room though no registration shows it.
#[derive(Debug, Clone)]
pub struct Expected {
    pub item: Item,
    /// Stands at least until then, and longer while an order for it is under way.
    pub until: Duration,
}

/// A model for which room is being made.
#[derive(Debug, Clone)]
pub struct Intent {
    pub model: Arc<str>,
    /// Whether requests wait for it.
    pub urgent: bool,
    pub until: Duration,
}

/// Whether the endpoint's count of orders has to be asked for before the next order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verification {
    /// Orders may be given.
    Settled,
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
    pub held: Vec<Held>,
    pub expected: Vec<Expected>,
    pub leaving: Vec<Item>,
    /// What was evicted just before: a registration that shows it may be older than that.
    gone: Vec<Expected>,
    pub order: Option<Underway>,
    pub revision: Option<u64>,
    pub verification: Verification,
    /// No order before then, after a refusal.
    pub not_before: Duration,
    pub refusals: u32,
    /// When the last order was taken.
    pub last_taken: Option<Duration>,
    pub intent: Option<Intent>,
    /// Models that this incarnation has held: their weights are on its disk.
    pub on_disk: BTreeSet<Arc<str>>,
    sequence: Option<u64>,
}

impl Endpoint {
    /// An endpoint that registered for the first time.
    pub fn new(instance: &Instance, verification: Verification) -> Endpoint {
        Endpoint {
            id: Arc::from(instance.id.as_str()),
            address: instance.address,
            zone: Arc::from(instance.zone.as_str()),
            ready: false,
            registered: Duration::ZERO,
            beat: USUAL_BEAT,
            held: Vec::new(),
            expected: Vec::new(),
            leaving: Vec::new(),
            gone: Vec::new(),
            order: None,
            revision: None,
            verification,
            not_before: Duration::ZERO,
            refusals: 0,
            last_taken: None,
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
        let changed = self.address != instance.address || self.ready != ready;
        self.address = instance.address;
        self.ready = ready;
        let shown = self.show(&instance.models, catalog);
        self.gone.retain(|gone| gone.until > now);
        let before = self.expected.len();
        let waiting = self.order.as_ref().filter(|order| order.operation == Operation::Load);
        let waiting = waiting.map(|order| order.item.clone());
        self.expected.retain(|expected| expected.until > now || waiting.as_ref() == Some(&expected.item));
        changed | shown | (before != self.expected.len())
    }

    /// Takes in the models of a report, which may be older or newer than the newest registration.
    pub fn reported(&mut self, now: Duration, models: &[HeldModel], catalog: &Catalog) {
        let until = now + REPORT_STANDS;
        let shown: Vec<Held> = models.iter().map(|model| held(model, catalog)).collect();
        let gone: Vec<Item> = self.leaving.iter().filter(|item| !contains(&shown, item)).cloned().collect();
        for item in gone {
            self.drop_item(&item, now);
        }
        for held in &shown {
            self.expect(Item::model(held.model.clone()), until);
            for adapter in &held.adapters {
                self.expect(Item::adapter(held.model.clone(), adapter.clone()), until);
            }
        }
    }

    /// Counts an item although no registration shows it.
    pub fn expect(&mut self, item: Item, until: Duration) {
        if contains(&self.held, &item) {
            return;
        }
        match self.expected.iter_mut().find(|expected| expected.item == item) {
            Some(expected) => expected.until = expected.until.max(until),
            None => self.expected.push(Expected { item, until }),
        }
    }

    /// An item is being loaded again that was evicted before.
    pub fn comes_back(&mut self, item: &Item) {
        self.gone.retain(|gone| gone.item != *item);
    }

    /// An item that was ordered did not come.
    pub fn unexpect(&mut self, item: &Item) {
        self.expected.retain(|expected| expected.item != *item);
    }

    /// Counts an item that is expected no longer than until then.
    pub fn expected_until(&mut self, item: &Item, until: Duration) {
        for expected in self.expected.iter_mut().filter(|expected| expected.item == *item) {
            expected.until = until;
        }
    }

    /// An eviction is over: whatever is still shown stays.
    pub fn stays(&mut self, item: &Item) {
        self.leaving.retain(|other| other != item);
    }

    fn show(&mut self, models: &[HeldModel], catalog: &Catalog) -> bool {
        let same = models.len() == self.held.len()
            && models.iter().zip(&self.held).all(|(new, old)| same_model(new, old));
        if same && self.expected.is_empty() && self.leaving.is_empty() {
            return false;
        }
        if !same {
            self.held = models.iter().map(|model| held(model, catalog)).collect();
            for model in &self.held {
                if !self.on_disk.contains(&model.model) {
                    self.on_disk.insert(model.model.clone());
                }
            }
        }
        let shown = &self.held;
        self.expected.retain(|expected| !contains(shown, &expected.item));
        self.leaving.retain(|item| contains(shown, item));
        !same
    }

    /// Drops what an eviction took away.
    pub fn drop_item(&mut self, item: &Item, now: Duration) {
        self.gone.push(Expected { item: item.clone(), until: now + REPORT_STANDS });
        match &item.adapter {
            None => {
                self.held.retain(|held| held.model != item.model);
                self.expected.retain(|expected| expected.item.model != item.model);
            }
            Some(adapter) => {
                for held in self.held.iter_mut().filter(|held| held.model == item.model) {
                    held.adapters.retain(|other| other != adapter);
                }
                self.expected.retain(|expected| expected.item != *item);
            }
        }
        self.leaving.retain(|other| other != item);
    }

    /// Whether the item takes room here: shown, being loaded, or perhaps being loaded.
    pub fn counts(&self, item: &Item) -> bool {
        contains(&self.held, item) || self.expected.iter().any(|expected| expected.item == *item)
    }

    /// Whether the item is shown.
    pub fn holds(&self, item: &Item) -> bool {
        contains(&self.held, item)
    }

    /// Whether the model is shown and stays.
    pub fn holds_model(&self, model: &str) -> bool {
        self.held.iter().any(|held| *held.model == *model) && self.stays_here(model)
    }

    /// Whether the model is not on its way out.
    pub fn stays_here(&self, model: &str) -> bool {
        let gone = self.gone.iter().map(|gone| &gone.item);
        let mut leaving = self.leaving.iter().chain(gone).filter(|item| item.is_model());
        !leaving.any(|item| *item.model == *model)
    }

    /// Whether the item is here, or will be, and stays.
    pub fn keeps(&self, item: &Item) -> bool {
        self.counts(item) && !self.is_leaving(item)
    }

    /// Whether the item is shown and stays.
    pub fn shows(&self, item: &Item) -> bool {
        contains(&self.held, item) && !self.is_leaving(item)
    }

    fn is_leaving(&self, item: &Item) -> bool {
        let gone = self.gone.iter().map(|gone| &gone.item);
        let mut leaving = self.leaving.iter().chain(gone);
        leaving.any(|other| other == item || (other.is_model() && other.model == item.model))
    }

    /// Every item that takes room here.
    pub fn items(&self) -> impl Iterator<Item = Item> + '_ {
        let shown = self.held.iter().flat_map(|held| {
            let adapters = held.adapters.iter();
            let adapters = adapters.map(|adapter| Item::adapter(held.model.clone(), adapter.clone()));
            std::iter::once(Item::model(held.model.clone())).chain(adapters)
        });
        shown.chain(self.expected.iter().map(|expected| expected.item.clone()))
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

fn contains(held: &[Held], item: &Item) -> bool {
    held.iter().any(|held| {
        held.model == item.model
            && item.adapter.as_ref().is_none_or(|adapter| held.adapters.contains(adapter))
    })
}

fn same_model(new: &HeldModel, old: &Held) -> bool {
    *new.name == *old.model
        && new.adapters.len() == old.adapters.len()
        && new.adapters.iter().zip(&old.adapters).all(|(new, old)| **new == **old)
}

fn held(model: &HeldModel, catalog: &Catalog) -> Held {
    Held {
        model: catalog.intern(&model.name),
        adapters: model.adapters.iter().map(|adapter| Arc::from(adapter.as_str())).collect(),
    }
}
