//! A model engine in simulated time: batches, prompts read piecewise, a memory shared by runs and prompts.

use lanegate_dispatch::prefix::{PrefixCache, PromptChain};
use std::time::Duration;

/// How an engine works.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    pub slots: usize,
    pub memory_tokens: u64,
    /// Prompt tokens read in a ms.
    pub read_per_ms: f64,
    /// Time of a token of output, and what each other run adds to it, ms.
    pub step_ms: f64,
    pub step_per_run_ms: f64,
    /// Tokens in an event of a stream.
    pub event_tokens: u32,
}

/// One request at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Which router sent it, and its number and attempt there.
    pub router: usize,
    pub request: u64,
    pub attempt: u32,
    pub urgency: u8,
    pub chain: PromptChain,
    pub output_tokens: u32,
}

#[derive(Debug)]
struct Run {
    job: Job,
    unread: f64,
    written: f64,
    told_first: bool,
}

/// What an engine tells of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    First { router: usize, request: u64, attempt: u32 },
    Done { router: usize, request: u64, attempt: u32 },
}

/// One engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    speed: EngineSpeed,
    waiting: Vec<Job>,
    running: Vec<Run>,
    kept: PrefixCache,
    /// Prompt tokens read so far.
    pub read_tokens: f64,
    /// Router and request of what began to run, until taken.
    pub begun: Vec<(usize, u64)>,
}

impl SimulatedEngine {
    pub fn new(speed: EngineSpeed) -> Self {
        let kept = PrefixCache::default();
        SimulatedEngine {
            speed,
            waiting: Vec::new(),
            running: Vec::new(),
            kept,
            read_tokens: 0.0,
            begun: Vec::new(),
        }
    }

    /// Takes a job in, unless too many wait.
    pub fn offer(&mut self, job: Job) -> Result<(), Job> {
        if self.waiting.len() > self.speed.slots / 8 {
            return Err(job);
        }
        let at = self.waiting.partition_point(|other| other.urgency <= job.urgency);
        self.waiting.insert(at, job);
        Ok(())
    }

    /// Running, waiting and slots.
    pub fn load(&self) -> (u32, u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32, self.speed.slots as u32)
    }

    /// Drops a job whose client is gone.
    pub fn drop_job(&mut self, router: usize, request: u64) {
        self.waiting.retain(|job| (job.router, job.request) != (router, request));
        self.running.retain(|run| (run.job.router, run.job.request) != (router, request));
    }

    /// Ends all at once; hands over the jobs that break.
    pub fn crash(&mut self) -> Vec<Job> {
        self.kept.clear();
        let running = std::mem::take(&mut self.running).into_iter().map(|run| run.job);
        std::mem::take(&mut self.waiting).into_iter().chain(running).collect()
    }

    /// Works for a while.
    pub fn work(&mut self, time: Duration) -> Vec<News> {
        self.admit();
        let ms = time.as_secs_f64() * 1_000.0;
        self.read(ms);
        self.write(ms)
    }

    fn admit(&mut self) {
        while self.running.len() < self.speed.slots
            && let Some(job) = self.waiting.first()
            && self.taken() + size(job) <= self.speed.memory_tokens
        {
            let job = self.waiting.remove(0);
            let kept = self.kept.cached_tokens(&job.chain);
            let unread = f64::from(job.chain.prompt_tokens - kept);
            self.read_tokens += unread;
            self.begun.push((job.router, job.request));
            self.running.push(Run { job, unread, written: 0.0, told_first: false });
        }
    }

    fn taken(&self) -> u64 {
        self.running.iter().map(|run| size(&run.job)).sum()
    }

    fn read(&mut self, ms: f64) {
        let mut budget = ms * self.speed.read_per_ms;
        let room = self.speed.memory_tokens.saturating_sub(self.taken());
        for run in &mut self.running {
            if run.unread <= 0.0 {
                continue;
            }
            let read = run.unread.min(budget);
            run.unread -= read;
            budget -= read;
            if run.unread <= 0.0 {
                self.kept.insert(&run.job.chain, room);
            }
        }
    }

    fn write(&mut self, ms: f64) -> Vec<News> {
        let step_ms = self.speed.step_ms + self.speed.step_per_run_ms * self.running.len() as f64;
        let event = f64::from(self.speed.event_tokens);
        let mut news = Vec::new();
        for run in self.running.iter_mut().filter(|run| run.unread <= 0.0) {
            run.written += ms / step_ms;
            let Job { router, request, attempt, .. } = run.job;
            if !run.told_first && run.written >= event {
                run.told_first = true;
                news.push(News::First { router, request, attempt });
            }
            if run.written >= f64::from(run.job.output_tokens) {
                news.push(News::Done { router, request, attempt });
            }
        }
        self.running.retain(|run| run.written < f64::from(run.job.output_tokens));
        news
    }
}

fn size(job: &Job) -> u64 {
    u64::from(job.chain.prompt_tokens) + u64::from(job.output_tokens)
}
