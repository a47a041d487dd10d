//! The demand for each model and adapter of a service, from the reports of routers.

use crate::demand_rate::DemandRates;
use lanegate_config::demand::{DemandReport, ModelDemand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An item without a request for this long is removed from the table.
const EXPIRY: Duration = Duration::from_secs(180);

/// Demand is complete once it has been observed for this long, which spans two reports of each router.
const ESTABLISHED_AFTER: Duration = Duration::from_millis(2_500);

/// Rates of a model and of its requested adapters.
#[derive(Debug)]
pub(crate) struct ModelDemandRates {
    pub total: DemandRates,
    pub adapters: BTreeMap<Arc<str>, DemandRates>,
}

impl ModelDemandRates {
    fn record(&mut self, now: Duration, observed_since: Duration, demand: &ModelDemand) {
        let requests = f64::from(demand.requests);
        let tokens = demand.tokens as f64;
        let unplaced = demand.unplaced > 0;
        self.total.record(now, requests, tokens, unplaced);
        let Some(adapter) = demand.adapter.as_deref() else { return };
        if !self.adapters.contains_key(adapter) {
            self.adapters.insert(Arc::from(adapter), DemandRates::new(observed_since, now));
        }
        if let Some(rates) = self.adapters.get_mut(adapter) {
            rates.record(now, requests, tokens, unplaced);
        }
    }
}

/// Rates of all models and adapters that were requested recently.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    observed_since: Option<Duration>,
    pub models: BTreeMap<Arc<str>, ModelDemandRates>,
}

impl DemandTable {
    /// Adds a report. `name` returns the interned name of a model, or `None` for an unknown model or adapter.
    /// Returns whether a request found no endpoint.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        report: &DemandReport,
        backend: &str,
        name: impl Fn(&str, Option<&str>) -> Option<Arc<str>>,
    ) -> bool {
        let observed_since = *self.observed_since.get_or_insert(now);
        let mut unplaced = false;
        let has_requests = |demand: &&ModelDemand| demand.requests > 0 || demand.unplaced > 0;
        let demands = report.models.iter().filter(|demand| demand.backend == backend);
        for demand in demands.filter(has_requests) {
            let Some(model) = name(&demand.model, demand.adapter.as_deref()) else { continue };
            let rates = self.models.entry(model).or_insert_with(|| ModelDemandRates {
                total: DemandRates::new(observed_since, now),
                adapters: BTreeMap::new(),
            });
            rates.record(now, observed_since, demand);
            unplaced |= demand.unplaced > 0;
        }
        unplaced
    }

    /// Whether demand was observed long enough to conclude that what was not requested is not in demand.
    pub(crate) fn is_established(&self, now: Duration) -> bool {
        self.observed_since.is_some_and(|observed_since| now >= observed_since + ESTABLISHED_AFTER)
    }

    /// Removes items without a request for a long time.
    pub(crate) fn expire(&mut self, now: Duration) {
        let is_current = |rates: &DemandRates| rates.requested_within(EXPIRY, now);
        self.models.retain(|_, rates| is_current(&rates.total));
        for rates in self.models.values_mut() {
            rates.adapters.retain(|_, rates| is_current(rates));
        }
    }
}
