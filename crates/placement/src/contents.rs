//! The models and adapters resident on an endpoint.

use crate::catalog::Catalog;
use crate::interface::Item;
use lanegate_config::instance::ResidentModel;
use std::sync::Arc;

/// A resident model with its adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Resident {
    pub model: Arc<str>,
    pub adapters: Vec<Arc<str>>,
}

impl Resident {
    fn new(model: &ResidentModel, catalog: &Catalog) -> Resident {
        Resident {
            model: catalog.intern(&model.name),
            adapters: model.adapters.iter().map(|adapter| Arc::from(adapter.as_str())).collect(),
        }
    }

    fn matches_listing(&self, listed: &ResidentModel) -> bool {
        *self.model == *listed.name
            && self.adapters.len() == listed.adapters.len()
            && listed
                .adapters
                .iter()
                .all(|adapter| self.adapters.iter().any(|resident| **resident == **adapter))
    }
}

/// The models and adapters resident on an endpoint, each listed once.
#[derive(Debug, Clone, Default)]
pub(crate) struct Contents {
    resident: Vec<Resident>,
}

impl Contents {
    /// Reads the listing of a registration or a report.
    pub(crate) fn from_listing(models: &[ResidentModel], catalog: &Catalog) -> Contents {
        Contents { resident: models.iter().map(|model| Resident::new(model, catalog)).collect() }
    }

    /// Whether a registration or a report lists exactly this, in any order.
    pub(crate) fn matches_listing(&self, models: &[ResidentModel]) -> bool {
        self.resident.len() == models.len()
            && models
                .iter()
                .all(|listed| self.resident.iter().any(|resident| resident.matches_listing(listed)))
    }

    /// The models, each with its adapters.
    pub(crate) fn models(&self) -> impl Iterator<Item = &Resident> {
        self.resident.iter()
    }

    /// Whether the item is resident.
    pub(crate) fn contains(&self, item: &Item) -> bool {
        self.resident.iter().any(|resident| {
            resident.model == item.model
                && item.adapter.as_ref().is_none_or(|adapter| resident.adapters.contains(adapter))
        })
    }

    /// Every resident model and adapter.
    pub(crate) fn items(&self) -> impl Iterator<Item = Item> + '_ {
        self.resident.iter().flat_map(|resident| {
            let adapters = resident.adapters.iter();
            let adapters = adapters.map(|adapter| Item::adapter(resident.model.clone(), adapter.clone()));
            std::iter::once(Item::model(resident.model.clone())).chain(adapters)
        })
    }

    /// Adds an item that is missing; an adapter is added to its model.
    pub(crate) fn add(&mut self, item: &Item) {
        if self.contains(item) {
            return;
        }
        match &item.adapter {
            None => self.resident.push(Resident { model: item.model.clone(), adapters: Vec::new() }),
            Some(adapter) => {
                let resident = self.resident.iter_mut().filter(|resident| resident.model == item.model);
                resident.for_each(|resident| resident.adapters.push(adapter.clone()));
            }
        }
    }

    /// Removes an item; a model is removed with its adapters.
    pub(crate) fn remove(&mut self, item: &Item) {
        match &item.adapter {
            None => self.resident.retain(|resident| resident.model != item.model),
            Some(adapter) => {
                let resident = self.resident.iter_mut().filter(|resident| resident.model == item.model);
                resident.for_each(|resident| resident.adapters.retain(|other| other != adapter));
            }
        }
    }

    /// Removes every item that `other` lacks.
    pub(crate) fn retain_common(&mut self, other: &Contents) {
        let missing: Vec<Item> = self.items().filter(|item| !other.contains(item)).collect();
        missing.iter().for_each(|item| self.remove(item));
    }

    /// Memory taken, MB.
    pub(crate) fn used_mb(&self, catalog: &Catalog) -> f64 {
        self.items().map(|item| catalog.size_mb(&item)).sum()
    }

    /// Number of adapters.
    pub(crate) fn adapters(&self) -> usize {
        self.resident.iter().map(|resident| resident.adapters.len()).sum()
    }
}
