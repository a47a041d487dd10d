//! Counts of what was asked for, by model and adapter, for the placement.

use crate::interface::Generation;
use lanegate_config::demand::{DemandReport, ModelDemand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Requests since the last report; only models that were asked for take room.
#[derive(Debug, Default)]
pub struct DemandCounts {
    counts: BTreeMap<DemandKey, DemandCount>,
    since: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DemandKey {
    backend: Arc<str>,
    model: Arc<str>,
    adapter: Option<Arc<str>>,
}

impl DemandKey {
    fn of(backend: &Arc<str>, wanted: &Generation) -> Self {
        DemandKey { backend: backend.clone(), model: wanted.model.clone(), adapter: wanted.adapter.clone() }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct DemandCount {
    requests: u32,
    tokens: u64,
    unplaced: u32,
}

impl DemandCounts {
    /// When the present period began.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Counts one request, and whether any endpoint can serve it now.
    pub fn count(&mut self, backend: &Arc<str>, wanted: &Generation, placed: bool) {
        let count = self.counts.entry(DemandKey::of(backend, wanted)).or_default();
        count.requests += 1;
        count.tokens += u64::from(wanted.prompt_tokens) + u64::from(wanted.output_tokens);
        count.unplaced += u32::from(!placed);
    }

    /// Counts a request that came in an earlier period and still waits for an endpoint that can serve it. What was
    /// told of it before may have been lost.
    pub fn count_waiting(&mut self, backend: &Arc<str>, wanted: &Generation) {
        self.counts.entry(DemandKey::of(backend, wanted)).or_default().unplaced += 1;
    }

    /// Whether something was asked for that no endpoint can serve now.
    pub fn has_unplaced(&self) -> bool {
        self.counts.values().any(|count| count.unplaced > 0)
    }

    /// Hands over the counts and starts anew.
    pub fn take(&mut self, now: Duration) -> DemandReport {
        let period = now.saturating_sub(std::mem::replace(&mut self.since, now));
        let counts = std::mem::take(&mut self.counts);
        DemandReport {
            period_ms: u32::try_from(period.as_millis()).unwrap_or(u32::MAX),
            models: counts.into_iter().map(told).collect(),
        }
    }
}

fn told((key, count): (DemandKey, DemandCount)) -> ModelDemand {
    ModelDemand {
        backend: key.backend.as_ref().to_owned(),
        model: key.model.as_ref().to_owned(),
        adapter: key.adapter.as_deref().map(str::to_owned),
        requests: count.requests,
        tokens: count.tokens,
        unplaced: count.unplaced,
    }
}
