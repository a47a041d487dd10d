//! All clients together: arrivals at a bounded rate, attempts and retries.

use super::exchange::{Outcome, exchange};
use super::pool::{Connection, Pool};
use super::request::Wish;
use crate::entry::Entry;
use crate::journal::{AttemptEnd, Journal, Sent, What};
use crate::layout::{Layout, ZONES};
use crate::names::AttemptId;
use crate::random::unseeded;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Requests a second, without retries.
const RATE: f64 = 50.0;
/// Part of the requests that look for a kept connection first.
const KEPT_PART: f64 = 0.6;
/// Attempts for one wish at most.
const MOST_ATTEMPTS: u32 = 4;
/// Pause before a retry without a time told.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Least time that an attempt is made for.
const LEAST_TIME: Duration = Duration::from_millis(200);
/// Part of the time left for which `Retry-After` is honoured.
const WAIT_SHARE: u32 = 3;

/// Which models are asked for most.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Index of the model that is asked for most; the next ones follow.
    pub first: usize,
}

/// The clients.
pub struct Traffic {
    layout: Rc<Layout>,
    journal: Rc<Journal>,
    entry: Rc<Entry>,
    pool: Pool,
    demand: Cell<Demand>,
    next_request: Cell<u64>,
    next_attempt: Cell<u64>,
    over: Cell<bool>,
}

impl Traffic {
    /// Clients that ask nothing yet.
    pub fn new(layout: Rc<Layout>, journal: Rc<Journal>, entry: Rc<Entry>) -> Rc<Self> {
        Rc::new(Traffic {
            layout,
            journal,
            entry,
            pool: Pool::default(),
            demand: Cell::default(),
            next_request: Cell::new(1),
            // No id of another run is like one of this run.
            next_attempt: Cell::new(unseeded().random::<u64>() & !0xff_ffff),
            over: Cell::new(false),
        })
    }

    /// Most ask for other models from now on.
    pub fn move_demand(&self, first: usize) {
        self.demand.set(Demand { first });
    }

    /// Nothing new is asked for.
    pub fn stop(&self) {
        self.over.set(true);
    }

    /// Asks until it is stopped, then waits until everything has its end.
    pub async fn run(self: Rc<Self>, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut wishes = JoinSet::new();
        while !self.over.get() {
            let pause = -(1.0 - random.random::<f64>()).ln() / RATE;
            sleep(Duration::from_secs_f64(pause)).await;
            let wish = Wish::draw(&mut random, self.demand.get(), ZONES.len());
            wishes.spawn_local(self.clone().fulfil(wish));
            while wishes.try_join_next().is_some() {}
        }
        while wishes.join_next().await.is_some() {}
    }

    async fn fulfil(self: Rc<Self>, wish: Wish) {
        let request = next(&self.next_request);
        let began = self.journal.now();
        let until = Instant::now() + wish.route.deadline();
        let served = self.try_until(&wish, request, until).await;
        self.journal.note(What::Concluded { request, route: wish.route, served, began });
    }

    /// Whether an attempt was answered with success.
    async fn try_until(&self, wish: &Wish, request: u64, until: Instant) -> bool {
        let mut last_router = None;
        for number in 0..MOST_ATTEMPTS {
            let left = until.saturating_duration_since(Instant::now());
            if left < LEAST_TIME {
                return false;
            }
            let kept = number == 0 && unseeded().random_bool(KEPT_PART);
            let outcome = self.attempt(wish, request, left, kept, &mut last_router).await;
            match next_step(wish, &outcome, until.saturating_duration_since(Instant::now())) {
                NextStep::Served => return true,
                NextStep::GiveUp => return false,
                NextStep::RetryAfter(pause) => sleep(pause).await,
            }
        }
        false
    }

    async fn attempt(
        &self,
        wish: &Wish,
        request: u64,
        left: Duration,
        kept: bool,
        last_router: &mut Option<u8>,
    ) -> Outcome {
        let pooled = if kept { self.pool.take() } else { None };
        let router = match &pooled {
            Some(connection) => connection.router,
            None => self.entry.pick(wish.zone, *last_router),
        };
        *last_router = Some(router);
        let attempt = AttemptId(next(&self.next_attempt));
        let used = pooled.as_ref().is_some_and(|connection| connection.used);
        self.journal.note(What::Sent(Sent {
            attempt,
            request,
            router,
            route: wish.route,
            deadline: left,
            kept: used,
            events: wish.events,
        }));
        let outcome = self.attempt_on(pooled, wish, attempt, router, left).await;
        self.journal.note(What::Ended { attempt, end: outcome.end.clone() });
        outcome
    }

    async fn attempt_on(
        &self,
        pooled: Option<Connection>,
        wish: &Wish,
        attempt: AttemptId,
        router: u8,
        left: Duration,
    ) -> Outcome {
        let connection = match pooled {
            Some(connection) => Some(connection),
            None => Connection::open(router, self.layout.frontend(router)).await,
        };
        let Some(mut connection) = connection else {
            return Outcome::without_answer(AttemptEnd::NotConnected);
        };
        let outcome = exchange(&mut connection, wish, attempt, left).await;
        if outcome.can_be_kept {
            self.pool.put(connection);
        }
        outcome
    }

    /// Begins to ask; gives the task that ends with the last answer.
    pub fn start(self: &Rc<Self>, seed: u64) -> tokio::task::JoinHandle<()> {
        spawn_local(self.clone().run(seed))
    }
}

fn next(counter: &Cell<u64>) -> u64 {
    let number = counter.get();
    counter.set(number + 1);
    number
}

/// What a client does after an attempt.
enum NextStep {
    Served,
    GiveUp,
    RetryAfter(Duration),
}

fn next_step(wish: &Wish, outcome: &Outcome, left: Duration) -> NextStep {
    let status = match &outcome.end {
        AttemptEnd::Answered(answer) => Some(answer.status),
        _ => None,
    };
    // After these statuses nothing has run.
    let promised = matches!(status, Some(408 | 421 | 429 | 503));
    let untouched = matches!(outcome.end, AttemptEnd::NotConnected | AttemptEnd::NotSent);
    match status {
        Some(200..=299) => NextStep::Served,
        Some(400 | 401 | 404 | 413 | 431) => NextStep::GiveUp,
        _ if promised || untouched || wish.route.may_run_again() => {
            let told = outcome.retry_after.unwrap_or(RETRY_PAUSE).min(left / WAIT_SHARE);
            NextStep::RetryAfter(told.max(RETRY_PAUSE))
        }
        _ => NextStep::GiveUp,
    }
}
