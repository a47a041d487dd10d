//! Models with their adapters, as an endpoint holds or shows them.

use crate::catalog::Catalog;
use crate::interface::Item;
use lanegate_config::instance::ResidentModel;
use std::sync::Arc;

/// A model at an endpoint, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    pub model: Arc<str>,
    pub adapters: Vec<Arc<str>>,
}

impl Held {
    fn new(model: &ResidentModel, catalog: &Catalog) -> Held {
        Held {
            model: catalog.intern(&model.name),
            adapters: model.adapters.iter().map(|adapter| Arc::from(adapter.as_str())).collect(),
        }
    }

    fn is_told_by(&self, told: &ResidentModel) -> bool {
        *self.model == *told.name
            && self.adapters.len() == told.adapters.len()
            && told.adapters.iter().all(|adapter| self.adapters.iter().any(|held| **held == **adapter))
    }
}

/// What an endpoint holds, each item once.
#[derive(Debug, Clone, Default)]
pub struct Contents {
    held: Vec<Held>,
}

impl Contents {
    /// Reads what a registration or a report lists.
    pub fn told(models: &[ResidentModel], catalog: &Catalog) -> Contents {
        Contents { held: models.iter().map(|model| Held::new(model, catalog)).collect() }
    }

    /// Whether this is what a registration or a report lists, in any order.
    pub fn is_told_by(&self, models: &[ResidentModel]) -> bool {
        self.held.len() == models.len()
            && models.iter().all(|told| self.held.iter().any(|held| held.is_told_by(told)))
    }

    /// The models, each with its adapters.
    pub fn models(&self) -> impl Iterator<Item = &Held> {
        self.held.iter()
    }

    /// Whether the item is among them.
    pub fn contains(&self, item: &Item) -> bool {
        self.held.iter().any(|held| {
            held.model == item.model
                && item.adapter.as_ref().is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// Every model and every adapter.
    pub fn items(&self) -> impl Iterator<Item = Item> + '_ {
        self.held.iter().flat_map(|held| {
            let adapters = held.adapters.iter();
            let adapters = adapters.map(|adapter| Item::adapter(held.model.clone(), adapter.clone()));
            std::iter::once(Item::model(held.model.clone())).chain(adapters)
        })
    }

    /// Adds an item that is not there yet; an adapter goes to its model.
    pub fn add(&mut self, item: &Item) {
        if self.contains(item) {
            return;
        }
        match &item.adapter {
            None => self.held.push(Held { model: item.model.clone(), adapters: Vec::new() }),
            Some(adapter) => {
                let held = self.held.iter_mut().filter(|held| held.model == item.model);
                held.for_each(|held| held.adapters.push(adapter.clone()));
            }
        }
    }

    /// Removes an item; a model takes its adapters with it.
    pub fn remove(&mut self, item: &Item) {
        match &item.adapter {
            None => self.held.retain(|held| held.model != item.model),
            Some(adapter) => {
                let held = self.held.iter_mut().filter(|held| held.model == item.model);
                held.for_each(|held| held.adapters.retain(|other| other != adapter));
            }
        }
    }

    /// Removes what `other` lacks.
    pub fn keep_common(&mut self, other: &Contents) {
        let missing: Vec<Item> = self.items().filter(|item| !other.contains(item)).collect();
        missing.iter().for_each(|item| self.remove(item));
    }

    /// Room that all of it takes, MB.
    pub fn used_mb(&self, catalog: &Catalog) -> f64 {
        self.items().map(|item| catalog.size_mb(&item)).sum()
    }

    /// Number of adapters.
    pub fn adapters(&self) -> usize {
        self.held.iter().map(|held| held.adapters.len()).sum()
    }
}
