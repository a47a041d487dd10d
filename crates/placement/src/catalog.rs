//! Sizes and load times of a service's models, and the capacity of its endpoints, from the configuration.

use crate::interface::Item;
use lanegate_config::configuration::Runtime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Size and load time of a model.
#[derive(Debug, Clone)]
pub(crate) struct ModelSpec {
    pub name: Arc<str>,
    pub weights_mb: f64,
    pub load_time: Duration,
    pub adapter_mb: f64,
    adapters: u32,
}

/// Memory that a model and each of its adapters take, MB.
#[derive(Debug, Clone, Copy)]
struct Sizes {
    weights_mb: f64,
    adapter_mb: f64,
}

/// The models that may be placed, and the limits of each endpoint.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    models: BTreeMap<Arc<str>, ModelSpec>,
    /// Sizes that used memory is calculated with, including those of models of earlier configurations.
    sizes: BTreeMap<Arc<str>, Sizes>,
    largest_model_mb: f64,
    largest_adapter_mb: f64,
    mean_load_time: Duration,
    pub capacity_mb: f64,
    pub max_adapters: usize,
    pub loads_per_s: f64,
}

impl Catalog {
    /// Reads the runtime of a service. If `before` has a larger size for an item, that size is used: the item may still
    /// be resident with it.
    pub(crate) fn new(runtime: &Runtime, before: &Catalog) -> Catalog {
        let models: BTreeMap<Arc<str>, ModelSpec> = runtime
            .models
            .iter()
            .map(|model| {
                let name: Arc<str> = Arc::from(model.name.as_str());
                let spec = ModelSpec {
                    name: name.clone(),
                    weights_mb: model.weights_mb,
                    load_time: Duration::from_secs_f64(model.load_time_s.max(0.0)),
                    adapter_mb: model.adapter_size_mb,
                    adapters: model.adapters,
                };
                (name, spec)
            })
            .collect();
        let largest = |of: fn(&ModelSpec) -> f64| models.values().map(of).fold(0.0, f64::max);
        let total: Duration = models.values().map(|spec| spec.load_time).sum();
        Catalog {
            largest_model_mb: largest(|spec| spec.weights_mb),
            largest_adapter_mb: largest(|spec| spec.adapter_mb),
            mean_load_time: total / (models.len().max(1) as u32),
            sizes: before.larger_sizes(&models),
            models,
            capacity_mb: runtime.weights_mb,
            max_adapters: runtime.max_adapters as usize,
            loads_per_s: runtime.loads_per_s,
        }
    }

    fn larger_sizes(&self, models: &BTreeMap<Arc<str>, ModelSpec>) -> BTreeMap<Arc<str>, Sizes> {
        let mut sizes = self.sizes.clone();
        for spec in models.values() {
            let before = sizes.get(&spec.name).copied().unwrap_or(Sizes { weights_mb: 0.0, adapter_mb: 0.0 });
            let weights_mb = spec.weights_mb.max(before.weights_mb);
            let adapter_mb = spec.adapter_mb.max(before.adapter_mb);
            sizes.insert(spec.name.clone(), Sizes { weights_mb, adapter_mb });
        }
        sizes
    }

    /// The model of that name, if it is configured.
    pub(crate) fn get(&self, name: &str) -> Option<&ModelSpec> {
        self.models.get(name)
    }

    /// Whether the model has such an adapter; adapters are named `a1`, `a2` and so on.
    pub(crate) fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        let Some(spec) = self.models.get(model) else { return false };
        let number = adapter.strip_prefix('a').and_then(|digits| digits.parse::<u32>().ok());
        number.is_some_and(|number| (1..=spec.adapters).contains(&number))
    }

    /// The interned name of a model.
    pub(crate) fn intern(&self, name: &str) -> Arc<str> {
        self.models.get(name).map_or_else(|| Arc::from(name), |spec| spec.name.clone())
    }

    /// Memory that an item takes, MB. A model that was never configured is assumed to fill an endpoint.
    pub(crate) fn size_mb(&self, item: &Item) -> f64 {
        let sizes = self.sizes.get(&item.model);
        match item.adapter {
            None => sizes.map_or(self.capacity_mb.max(self.largest_model_mb), |sizes| sizes.weights_mb),
            Some(_) => sizes.map_or(self.largest_adapter_mb, |sizes| sizes.adapter_mb),
        }
    }

    /// Time that a load of the model takes when the weight store is not congested.
    pub(crate) fn load_time(&self, model: &str) -> Duration {
        self.models.get(model).map_or(self.mean_load_time, |spec| spec.load_time)
    }

    /// Concurrent loads that sustain the permitted rate: the rate times the mean load time (Little's law).
    pub(crate) fn sustained_concurrency(&self) -> f64 {
        self.loads_per_s * self.mean_load_time.as_secs_f64()
    }
}
