//! The state of one service: its engines, its service times, its retry budget and the requested models that no endpoint
//! has loaded.

use crate::budget::RetryBudget;
use crate::estimate::{FirstByteRegression, HitRate};
use crate::units::{milliseconds, seconds};
use fair_edf::{Smoothed, Smoothing};
use lanegate_config::configuration::{Backend, Runtime};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Initial service time in s, and the weight of a new sample.
pub const SERVICE_TIME: Smoothing = Smoothing { initial: 0.05, gain: 0.1 };

/// KV-cache tokens of a request, as a mean over requests.
const KV_CACHE_TOKENS: Smoothing = Smoothing { initial: 1_000.0, gain: 0.05 };

/// Prefilled tokens of a request, as a mean over requests.
const PREFILL_TOKENS: Smoothing = Smoothing { initial: 0.0, gain: 0.05 };

/// Estimated time from the first request for a missing model to the start of its load, used until the first load has
/// been observed.
const LOAD_REACTION_TIME: Duration = Duration::from_millis(1_000);

/// Wait for a missing model until it is loaded, as a mean over observed loads, s.
const LOAD_WAIT: Smoothing = Smoothing { initial: 0.0, gain: 0.3 };

/// A missing model that was not requested for this long is no longer expected to be loaded.
const MISSING_EXPIRY: Duration = Duration::from_secs(10);

/// Number of missing models and adapters at which expired ones are removed.
const MAX_MISSING: usize = 256;

/// Hit rate of the prefix cache where this router sent the prefix before, until measured.
const INITIAL_CACHE_HIT_RATE: f64 = 0.9;

/// Hit rate at the owner of the prefix, where only other routers may have sent it, until measured.
const INITIAL_OWNER_HIT_RATE: f64 = 0.5;

/// The engines of a service, as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// KV cache of one engine, tokens.
    pub memory_tokens: u64,
    /// Load time of each model that may be loaded.
    pub models: BTreeMap<Arc<str>, Duration>,
}

impl From<&Runtime> for EngineProfile {
    fn from(runtime: &Runtime) -> Self {
        let load_times = runtime.models.iter();
        EngineProfile {
            memory_tokens: runtime.kv_cache_tokens.max(0.0) as u64,
            models: load_times
                .map(|model| (model.name.as_str().into(), seconds(model.load_time_s)))
                .collect(),
        }
    }
}

/// A model, or an adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Artifact {
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter; `None` for the model itself.
    pub adapter: Option<Arc<str>>,
}

/// When a model or adapter that no endpoint has loaded was requested.
#[derive(Debug, Clone, Copy)]
struct MissingArtifact {
    since: Duration,
    last: Duration,
}

/// The state of one service.
#[derive(Debug)]
pub struct Service {
    /// The engines of the service; `None` if its endpoints are not engines or before the first configuration.
    pub engine: Option<EngineProfile>,
    /// Its retry budget.
    pub budget: RetryBudget,
    /// Time to the first byte by tokens to prefill.
    pub first_byte: FirstByteRegression,
    /// Mean time from the send of a request to the end of its answer, s.
    pub service_time: Smoothed,
    kv_cache_tokens: Smoothed,
    first_byte_wait: Smoothed,
    prefill_tokens: Smoothed,
    /// Hit rate where this router sent the prefix before.
    pub cache_hit_rate: HitRate,
    /// Hit rate at the owner of the prefix, where this router did not send it.
    pub owner_hit_rate: HitRate,
    /// Requested models and adapters that no endpoint has loaded.
    missing: BTreeMap<Artifact, MissingArtifact>,
    load_wait: Smoothed,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            engine: None,
            budget: RetryBudget::default(),
            first_byte: FirstByteRegression::default(),
            service_time: SERVICE_TIME.start(),
            kv_cache_tokens: KV_CACHE_TOKENS.start(),
            first_byte_wait: SERVICE_TIME.start(),
            prefill_tokens: PREFILL_TOKENS.start(),
            cache_hit_rate: HitRate::new(INITIAL_CACHE_HIT_RATE),
            owner_hit_rate: HitRate::new(INITIAL_OWNER_HIT_RATE),
            missing: BTreeMap::new(),
            load_wait: LOAD_WAIT.start(),
        }
    }
}

impl Service {
    /// Applies the configuration of the service.
    pub fn configure(&mut self, backend: &Backend) {
        self.engine = backend.runtime.as_ref().map(EngineProfile::from);
    }

    /// Whether the model may be loaded; true while the configuration is unknown.
    pub fn is_loadable(&self, model: &str) -> bool {
        self.engine.as_ref().is_none_or(|engine| engine.models.contains_key(model))
    }

    /// KV cache of one engine in tokens, if known.
    pub fn memory_tokens(&self) -> Option<u64> {
        self.engine.as_ref().map(|engine| engine.memory_tokens).filter(|&tokens| tokens > 0)
    }

    /// Mean KV-cache tokens of a request.
    pub fn mean_kv_cache_tokens(&self) -> f64 {
        self.kv_cache_tokens.seconds()
    }

    /// Records the KV-cache tokens of a request.
    pub fn sample_kv_cache_tokens(&mut self, tokens: u64) {
        self.kv_cache_tokens.sample(&KV_CACHE_TOKENS, tokens as f64);
    }

    /// Records the time to a first byte in s, and the tokens that were expected to be prefilled for it.
    pub fn sample_first_byte(&mut self, measured_s: f64, tokens: u64) {
        self.first_byte_wait.sample(&SERVICE_TIME, measured_s);
        self.prefill_tokens.sample(&PREFILL_TOKENS, tokens as f64);
    }

    /// Tokens of a request that are still to be prefilled, as a mean over its duration: half of its tokens during the
    /// prefill, none after.
    pub fn mean_pending_prefill_tokens(&self) -> f64 {
        let prefill_fraction =
            (self.first_byte_wait.seconds() / self.service_time.seconds().max(1e-3)).min(1.0);
        prefill_fraction * self.prefill_tokens.seconds() / 2.0
    }

    /// Records the time from the send of a request to the end of its answer.
    pub fn sample_service_time(&mut self, service_time: Duration) {
        self.service_time.sample(&SERVICE_TIME, service_time.as_secs_f64());
    }

    /// Records a request for something that no endpoint has loaded.
    pub fn record_missing(&mut self, now: Duration, artifact: Artifact) {
        if self.missing.len() >= MAX_MISSING {
            self.missing.retain(|_, missing| !is_expired(missing, now));
        }
        let missing = self.missing.entry(artifact).or_insert(MissingArtifact { since: now, last: now });
        if is_expired(missing, now) {
            missing.since = now;
        }
        missing.last = now;
    }

    /// Records that something was loaded; returns whether it was missing.
    pub fn record_loaded(&mut self, now: Duration, artifact: &Artifact) -> bool {
        let Some(missing) = self.missing.remove(artifact).filter(|missing| !is_expired(missing, now)) else {
            return false;
        };
        let waited = now.saturating_sub(missing.since);
        self.load_wait.sample(&LOAD_WAIT, waited.as_secs_f64());
        true
    }

    /// Expected time until something missing is loaded.
    pub fn expected_load_wait(&self, now: Duration, artifact: &Artifact) -> Duration {
        let since = self.missing.get(artifact).map_or(now, |missing| missing.since);
        let load_time = self.engine.as_ref().and_then(|engine| engine.models.get(&artifact.model));
        let default_wait = load_time.copied().unwrap_or_default() + LOAD_REACTION_TIME;
        let load_wait = match self.load_wait.seconds() {
            waited if waited > 0.0 => {
                milliseconds(waited * 1_000.0).max(load_time.copied().unwrap_or_default())
            }
            _ => default_wait,
        };
        (since + load_wait).saturating_sub(now)
    }
}

/// Whether the last request is so long ago that a load now is no sample of the wait for a model.
fn is_expired(missing: &MissingArtifact, now: Duration) -> bool {
    now.saturating_sub(missing.last) > MISSING_EXPIRY
}
