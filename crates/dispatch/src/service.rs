//! What is known and learned of one service: its engines, its times, its budget and the models it lacks.

use crate::budget::RetryBudget;
use crate::estimate::{FirstByteLine, Share};
use crate::units::{milliseconds, seconds};
use fair_edf::{Smoothed, Smoothing};
use lanegate_config::configuration::{Backend, Runtime};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The design's first service time, and the weight of a further sample.
pub const SERVED: Smoothing = Smoothing { initial: 0.05, gain: 0.1 };

/// Tokens of memory that a request takes, as a mean over requests.
const HELD_TOKENS: Smoothing = Smoothing { initial: 1_000.0, gain: 0.05 };

/// Tokens that are read of a prompt, as a mean over requests.
const READ_TOKENS: Smoothing = Smoothing { initial: 0.0, gain: 0.05 };

/// Time from the first request for a missing model to its presence: a guess added to the time of a load until
/// the first such wait is seen.
const LOAD_REACTION: Duration = Duration::from_millis(1_000);

/// Weight of a further wait for a model.
const LOAD_WAIT: Smoothing = Smoothing { initial: 0.0, gain: 0.3 };

/// A model that nobody has asked for during this time is no longer waited for.
const WANT_MEMORY: Duration = Duration::from_secs(10);

/// Wanted models and adapters that are kept at most before the forgotten ones are dropped.
const WANTED_MOST: usize = 256;

/// Share of prompts found in memory where this router sent them before, until measured.
const FIRST_KEPT: f64 = 0.9;

/// The same at the endpoint that owns the prefix, where only other routers may have sent it.
const FIRST_OWNED: f64 = 0.5;

/// The engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineShape {
    /// Memory of one engine, tokens.
    pub memory_tokens: u64,
    /// Time of a load of each model that may be loaded.
    pub models: BTreeMap<Arc<str>, Duration>,
}

impl From<&Runtime> for EngineShape {
    fn from(runtime: &Runtime) -> Self {
        let load_times = runtime.models.iter();
        EngineShape {
            memory_tokens: runtime.kv_cache_tokens.max(0.0) as u64,
            models: load_times
                .map(|model| (model.name.as_str().into(), seconds(model.load_time_s)))
                .collect(),
        }
    }
}

/// A model, or an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Artifact {
    pub model: Arc<str>,
    pub adapter: Option<Arc<str>>,
}

/// When something that is held nowhere was asked for.
#[derive(Debug, Clone, Copy)]
struct Want {
    since: Duration,
    last: Duration,
}

/// One service.
#[derive(Debug)]
pub struct Service {
    /// Present once a configuration says that its endpoints are engines.
    pub engine: Option<EngineShape>,
    pub budget: RetryBudget,
    pub first_byte: FirstByteLine,
    /// From the send of a request to the end of its answer.
    pub served: Smoothed,
    held_tokens: Smoothed,
    first_byte_wait: Smoothed,
    read_tokens: Smoothed,
    /// Share of prompts that are found where this router sent them before.
    pub kept: Share,
    /// The same at the owner of the prefix, where this router did not send it.
    pub owned: Share,
    /// What was asked for and is held nowhere.
    wanted: BTreeMap<Artifact, Want>,
    load_wait: Smoothed,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            engine: None,
            budget: RetryBudget::default(),
            first_byte: FirstByteLine::default(),
            served: SERVED.start(),
            held_tokens: HELD_TOKENS.start(),
            first_byte_wait: SERVED.start(),
            read_tokens: READ_TOKENS.start(),
            kept: Share::new(FIRST_KEPT),
            owned: Share::new(FIRST_OWNED),
            wanted: BTreeMap::new(),
            load_wait: LOAD_WAIT.start(),
        }
    }
}

impl Service {
    /// Takes the service's part of a configuration in.
    pub fn configure(&mut self, backend: &Backend) {
        self.engine = backend.runtime.as_ref().map(EngineShape::from);
    }

    /// Whether the model may be loaded at all, as far as known.
    pub fn may_load(&self, model: &str) -> bool {
        self.engine.as_ref().is_none_or(|engine| engine.models.contains_key(model))
    }

    /// Memory of one engine in tokens, where it is known.
    pub fn memory_tokens(&self) -> Option<u64> {
        self.engine.as_ref().map(|engine| engine.memory_tokens).filter(|&tokens| tokens > 0)
    }

    /// Mean tokens of memory that a request takes.
    pub fn mean_held_tokens(&self) -> f64 {
        self.held_tokens.seconds()
    }

    /// Takes in how much memory a request takes.
    pub fn sample_held_tokens(&mut self, tokens: u64) {
        self.held_tokens.sample(&HELD_TOKENS, tokens as f64);
    }

    /// Takes in how long a first byte took, and how many tokens were believed to be read for it.
    pub fn sample_first_byte(&mut self, measured_s: f64, tokens: u64) {
        self.first_byte_wait.sample(&SERVED, measured_s);
        self.read_tokens.sample(&READ_TOKENS, tokens as f64);
    }

    /// Tokens that a request there still has to be read, as a mean over its time: half of its tokens while
    /// they are being read, none after.
    pub fn unread_at_a_time(&self) -> f64 {
        let reading = (self.first_byte_wait.seconds() / self.served.seconds().max(1e-3)).min(1.0);
        reading * self.read_tokens.seconds() / 2.0
    }

    /// Takes in the time from send to end of an answer.
    pub fn sample_served(&mut self, served: Duration) {
        self.served.sample(&SERVED, served.as_secs_f64());
    }

    /// Notes that something is asked for which no endpoint holds.
    pub fn want(&mut self, now: Duration, artifact: Artifact) {
        if self.wanted.len() >= WANTED_MOST {
            self.wanted.retain(|_, want| !is_forgotten(want, now));
        }
        let want = self.wanted.entry(artifact).or_insert(Want { since: now, last: now });
        if is_forgotten(want, now) {
            want.since = now;
        }
        want.last = now;
    }

    /// Notes that something is held; tells whether it was waited for.
    pub fn placed(&mut self, now: Duration, artifact: &Artifact) -> bool {
        let Some(want) = self.wanted.remove(artifact).filter(|want| !is_forgotten(want, now)) else {
            return false;
        };
        let waited = now.saturating_sub(want.since);
        self.load_wait.sample(&LOAD_WAIT, waited.as_secs_f64());
        true
    }

    /// How long something that is held nowhere will still be missing.
    pub fn expected_load_wait(&self, now: Duration, artifact: &Artifact) -> Duration {
        let since = self.wanted.get(artifact).map_or(now, |want| want.since);
        let load_time = self.engine.as_ref().and_then(|engine| engine.models.get(&artifact.model));
        let guess = load_time.copied().unwrap_or_default() + LOAD_REACTION;
        let usual = match self.load_wait.seconds() {
            waited if waited > 0.0 => {
                milliseconds(waited * 1_000.0).max(load_time.copied().unwrap_or_default())
            }
            _ => guess,
        };
        (since + usual).saturating_sub(now)
    }
}

/// Whether nobody has asked for so long that a load which comes now tells nothing of how long loads take.
fn is_forgotten(want: &Want, now: Duration) -> bool {
    now.saturating_sub(want.last) > WANT_MEMORY
}
