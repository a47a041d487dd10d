//! A simulated inference engine: continuous batching, chunked prefill, and a KV cache for jobs and prefixes.

use lanegate_dispatch::prefix::{PrefixCache, PromptChain};
use std::time::Duration;

/// The speed and size of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineSpeed {
    pub slots: usize,
    pub memory_tokens: u64,
    /// Prompt tokens prefilled per ms.
    pub prefill_per_ms: f64,
    /// Time for one output token, and what each running job adds to it, ms.
    pub step_ms: f64,
    pub step_per_run_ms: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The router that sent it, and its request id and attempt number there.
    pub router: usize,
    pub request: u64,
    pub attempt: u32,
    pub urgency: u8,
    pub chain: PromptChain,
    pub output_tokens: u32,
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    prefill_left: f64,
    decoded: f64,
    reported_first: bool,
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    First { router: usize, request: u64, attempt: u32 },
    Done { router: usize, request: u64, attempt: u32 },
}

/// One engine.
#[derive(Debug)]
pub(crate) struct SimulatedEngine {
    speed: EngineSpeed,
    waiting: Vec<Job>,
    running: Vec<RunningJob>,
    cache: PrefixCache,
    /// Prompt tokens prefilled so far.
    pub prefilled_tokens: f64,
    /// Router and request of the jobs that have started since the last check.
    pub started: Vec<(usize, u64)>,
}

impl SimulatedEngine {
    pub(crate) fn new(speed: EngineSpeed) -> Self {
        let cache = PrefixCache::default();
        SimulatedEngine {
            speed,
            waiting: Vec::new(),
            running: Vec::new(),
            cache,
            prefilled_tokens: 0.0,
            started: Vec::new(),
        }
    }

    /// Accepts a job unless too many are waiting.
    pub(crate) fn offer(&mut self, job: Job) -> Result<(), Job> {
        if self.waiting.len() > self.speed.slots / 8 {
            return Err(job);
        }
        let at = self.waiting.partition_point(|other| other.urgency <= job.urgency);
        self.waiting.insert(at, job);
        Ok(())
    }

    /// Running and waiting jobs, and slots.
    pub(crate) fn load(&self) -> (u32, u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32, self.speed.slots as u32)
    }

    /// Drops a job whose client has disconnected.
    pub(crate) fn drop_job(&mut self, router: usize, request: u64) {
        self.waiting.retain(|job| (job.router, job.request) != (router, request));
        self.running.retain(|run| (run.job.router, run.job.request) != (router, request));
    }

    /// Fails all jobs and returns them.
    pub(crate) fn crash(&mut self) -> Vec<Job> {
        self.cache.clear();
        let running = std::mem::take(&mut self.running).into_iter().map(|run| run.job);
        std::mem::take(&mut self.waiting).into_iter().chain(running).collect()
    }

    /// Advances the simulation by `time`.
    pub(crate) fn work(&mut self, time: Duration) -> Vec<EngineEvent> {
        self.admit();
        let ms = time.as_secs_f64() * 1_000.0;
        self.prefill(ms);
        self.decode(ms)
    }

    fn admit(&mut self) {
        while self.running.len() < self.speed.slots
            && let Some(job) = self.waiting.first()
            && self.used_tokens() + size(job) <= self.speed.memory_tokens
        {
            let job = self.waiting.remove(0);
            let cached = self.cache.cached_tokens(&job.chain);
            let prefill_left = f64::from(job.chain.prompt_tokens - cached);
            self.prefilled_tokens += prefill_left;
            self.started.push((job.router, job.request));
            self.running.push(RunningJob { job, prefill_left, decoded: 0.0, reported_first: false });
        }
    }

    fn used_tokens(&self) -> u64 {
        self.running.iter().map(|run| size(&run.job)).sum()
    }

    fn prefill(&mut self, ms: f64) {
        let mut budget = ms * self.speed.prefill_per_ms;
        let free_tokens = self.speed.memory_tokens.saturating_sub(self.used_tokens());
        for run in &mut self.running {
            if run.prefill_left <= 0.0 {
                continue;
            }
            let prefilled = run.prefill_left.min(budget);
            run.prefill_left -= prefilled;
            budget -= prefilled;
            if run.prefill_left <= 0.0 {
                self.cache.insert(&run.job.chain, free_tokens);
            }
        }
    }

    fn decode(&mut self, ms: f64) -> Vec<EngineEvent> {
        let step_ms = self.speed.step_ms + self.speed.step_per_run_ms * self.running.len() as f64;
        let event = f64::from(self.speed.event_tokens);
        let mut events = Vec::new();
        for run in self.running.iter_mut().filter(|run| run.prefill_left <= 0.0) {
            run.decoded += ms / step_ms;
            let Job { router, request, attempt, .. } = run.job;
            if !run.reported_first && run.decoded >= event {
                run.reported_first = true;
                events.push(EngineEvent::First { router, request, attempt });
            }
            if run.decoded >= f64::from(run.job.output_tokens) {
                events.push(EngineEvent::Done { router, request, attempt });
            }
        }
        self.running.retain(|run| run.decoded < f64::from(run.job.output_tokens));
        events
    }
}

fn size(job: &Job) -> u64 {
    u64::from(job.chain.prompt_tokens) + u64::from(job.output_tokens)
}
