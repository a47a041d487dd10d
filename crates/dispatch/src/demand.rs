//! Demand counters by model and adapter, which the placement uses.

use crate::interface::Generation;
use lanegate_config::demand::{DemandReport, ModelDemand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Requests since the last report, for the models that were requested.
#[derive(Debug, Default)]
pub struct DemandCounts {
    counts: BTreeMap<DemandKey, DemandCount>,
    period_start: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DemandKey {
    backend: Arc<str>,
    model: Arc<str>,
    adapter: Option<Arc<str>>,
}

impl DemandKey {
    fn of(backend: &Arc<str>, generation: &Generation) -> Self {
        DemandKey {
            backend: backend.clone(),
            model: generation.model.clone(),
            adapter: generation.adapter.clone(),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct DemandCount {
    requests: u32,
    tokens: u64,
    unplaced: u32,
}

impl DemandCounts {
    /// When the current reporting period began.
    pub fn period_start(&self) -> Duration {
        self.period_start
    }

    /// Counts a request, and whether any endpoint can serve it now.
    pub fn count(&mut self, backend: &Arc<str>, generation: &Generation, is_resident: bool) {
        let count = self.counts.entry(DemandKey::of(backend, generation)).or_default();
        count.requests += 1;
        count.tokens += u64::from(generation.prompt_tokens) + u64::from(generation.output_tokens);
        count.unplaced += u32::from(!is_resident);
    }

    /// Counts a request of an earlier period that is still queued because no endpoint can serve it. The report of that
    /// period may have been lost.
    pub fn count_waiting(&mut self, backend: &Arc<str>, generation: &Generation) {
        self.counts.entry(DemandKey::of(backend, generation)).or_default().unplaced += 1;
    }

    /// Whether a request was counted that no endpoint can serve.
    pub fn has_unplaced(&self) -> bool {
        self.counts.values().any(|count| count.unplaced > 0)
    }

    /// Returns the report of the period that ends now, and starts a new period.
    pub fn take_report(&mut self, now: Duration) -> DemandReport {
        let period = now.saturating_sub(std::mem::replace(&mut self.period_start, now));
        let counts = std::mem::take(&mut self.counts);
        DemandReport {
            period_ms: u32::try_from(period.as_millis()).unwrap_or(u32::MAX),
            models: counts.into_iter().map(model_demand).collect(),
        }
    }
}

fn model_demand((key, count): (DemandKey, DemandCount)) -> ModelDemand {
    ModelDemand {
        backend: key.backend.as_ref().to_owned(),
        model: key.model.as_ref().to_owned(),
        adapter: key.adapter.as_deref().map(str::to_owned),
        requests: count.requests,
        tokens: count.tokens,
        unplaced: count.unplaced,
    }
}
