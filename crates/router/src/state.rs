//! The state that all tasks of the router share: the dispatcher, the configuration in force and the connection pool.

use crate::endpoint::invalid_answer::InvalidAnswer;
use crate::endpoint::pool::Pool;
use crate::fault::RouterFault;
use crate::process::counters::Counters;
use crate::request::open_requests::OpenRequests;
use crate::routing::configuration_wait::ConfigurationWait;
use crate::routing::table::Routing;
use crate::routing::traffic_split::SplitSequences;
use lanegate_config::configuration::Limits;
use lanegate_config::feed::FeedEvent;
use lanegate_config::mechanism::Mechanism;
use lanegate_dispatch::{DispatchSettings, DispatchSummary, Dispatcher};
use lanegate_invariants::{Invariant, Violations};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of one router, used by a single thread.
pub struct RouterState {
    epoch: Instant,
    dispatcher: RefCell<Dispatcher>,
    /// The open requests.
    pub requests: OpenRequests,
    splits: RefCell<SplitSequences>,
    routing: RefCell<Option<Rc<Routing>>>,
    synchronized: Cell<bool>,
    /// Requests that wait for the first configuration.
    configuration_wait: ConfigurationWait,
    /// Whether a newer configuration may be in force at other nodes.
    behind: Cell<bool>,
    /// When shutdown began; `None` before.
    draining_since: Cell<Option<Instant>>,
    /// When the configuration in force was applied.
    configured_at: Cell<Option<Instant>>,
    agent_linked: Cell<bool>,
    /// When the timer task calls the dispatcher; never later than the time that the dispatcher requested.
    timer_at: Cell<Option<Duration>>,
    /// Notified when the dispatcher has to be called earlier than the timer task is set to.
    pub timer_changed: Notify,
    /// Notified when no endpoint can serve a request, so that demand is reported without waiting for the next tick.
    pub unplaced_demand: Notify,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Counters for the log and the metrics.
    pub counters: Counters,
    /// Counters of violated invariants.
    pub violations: Violations,
    fault: Option<RouterFault>,
}

impl RouterState {
    /// A router without configuration and endpoints; `fault` is a deliberate fault for tests.
    pub fn new(settings: DispatchSettings, seed: u64, fault: Option<RouterFault>) -> Rc<Self> {
        let violations = Violations::default();
        let dispatcher = Dispatcher::new(settings, seed).counting_violations(violations.clone());
        Rc::new(RouterState {
            epoch: Instant::now(),
            dispatcher: RefCell::new(dispatcher),
            requests: OpenRequests::default(),
            splits: RefCell::new(SplitSequences::new(seed, fault)),
            routing: RefCell::new(None),
            synchronized: Cell::new(false),
            configuration_wait: ConfigurationWait::default(),
            behind: Cell::new(false),
            draining_since: Cell::new(None),
            configured_at: Cell::new(None),
            agent_linked: Cell::new(false),
            timer_at: Cell::new(None),
            timer_changed: Notify::new(),
            unplaced_demand: Notify::new(),
            pool: Pool::new(fault),
            counters: Counters::default(),
            violations,
            fault,
        })
    }

    /// The deliberate fault of this router, for tests.
    pub fn fault(&self) -> Option<RouterFault> {
        self.fault
    }

    /// Whether this deliberate fault is enabled, for tests.
    pub fn has_fault(&self, fault: RouterFault) -> bool {
        self.fault == Some(fault)
    }

    /// Records that an endpoint sent an answer that is not forwarded, and quarantines it.
    pub fn on_invalid_answer(&self, endpoint: &str, invalid: InvalidAnswer) {
        log::warn!("answer refused endpoint={endpoint} reason={} error=\"{invalid}\"", invalid.reason());
        self.counters.invalid_answers.borrow_mut().record(endpoint, invalid.reason());
        self.pool.quarantine(endpoint);
    }

    /// The time of `instant` on the monotonic clock of the process.
    pub fn time_of(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.epoch)
    }

    /// The current time on the monotonic clock of the process.
    pub fn now(&self) -> Duration {
        self.time_of(Instant::now())
    }

    /// The instant of a time on the monotonic clock of the process.
    pub fn instant_of(&self, time: Duration) -> Instant {
        self.epoch + time
    }

    /// The limits of the configuration in force; the defaults while there is none.
    pub fn limits(&self) -> Limits {
        self.routing().map(|routing| routing.limits().clone()).unwrap_or_default()
    }

    /// Largest head of a request, bytes; `None` while there is no configuration.
    pub fn head_limit(&self) -> Option<usize> {
        self.routing.borrow().as_ref().map(|routing| routing.limits().max_header_bytes)
    }

    /// Largest body of a request, bytes; `None` while there is no configuration.
    pub fn body_limit(&self) -> Option<usize> {
        self.routing.borrow().as_ref().map(|routing| routing.limits().max_body_bytes)
    }

    /// The position, in [0, 1), of the next request of `route` within the cumulated weights of its traffic split.
    pub fn split_position(&self, route: &str) -> f64 {
        self.splits.borrow_mut().next(route)
    }

    /// Applies an event of the configuration feed.
    pub fn apply(&self, event: FeedEvent) {
        if !self.violations.check(Invariant::ConfigurationVersionRises, !self.is_outdated(&event)) {
            return;
        }
        self.pool.apply(&event);
        match &event {
            FeedEvent::Configuration(configuration) => {
                log::info!("configuration applied version={}", configuration.version);
                self.splits.borrow_mut().retain(configuration);
                *self.routing.borrow_mut() = Some(Rc::new(Routing::new(configuration.clone())));
                self.configured_at.set(Some(Instant::now()));
                self.configuration_wait.wake();
            }
            FeedEvent::Behind { behind } => self.behind.set(*behind),
            FeedEvent::AgentLink { up } => self.agent_linked.set(*up),
            FeedEvent::Synchronized => self.synchronized.set(true),
            FeedEvent::Instance(_) | FeedEvent::Removed { .. } | FeedEvent::Routers { .. } => {}
        }
        self.with_dispatcher(|dispatcher, now| dispatcher.apply(now, &event));
    }

    /// Whether the event is a configuration older than the one in force.
    fn is_outdated(&self, event: &FeedEvent) -> bool {
        match (event, &*self.routing.borrow()) {
            (FeedEvent::Configuration(configuration), Some(routing)) => {
                configuration.version < routing.version()
            }
            _ => false,
        }
    }

    /// The configuration in force, if there is one yet.
    pub fn routing(&self) -> Option<Rc<Routing>> {
        self.routing.borrow().clone()
    }

    /// Waits for the first configuration, if there is none. Returns at once during shutdown.
    pub async fn await_configuration(
        &self,
        arrived: Duration,
        client_time: Option<Duration>,
        body_bytes: usize,
    ) {
        let waits = self.dispatcher.borrow().is_enabled(Mechanism::ConfigurationWait);
        if !waits || self.is_draining() {
            return;
        }
        let arrived = self.instant_of(arrived);
        let end = self.configuration_wait.wait(arrived, client_time, body_bytes).await;
        log::debug!(
            "wait for the first configuration ended outcome={end:?} waiting={}",
            self.configuration_wait.waiting()
        );
    }

    /// Whether a newer configuration may be in force at other nodes; it may have routes that are unknown here.
    pub fn is_configuration_behind(&self) -> bool {
        self.behind.get()
    }

    /// Whether the router is ready for new clients.
    pub fn is_ready(&self) -> bool {
        self.synchronized.get() && self.routing.borrow().is_some() && !self.is_draining()
    }

    /// Whether shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Begins the shutdown; all answers have to be complete by `end`.
    pub fn begin_drain(&self, end: Duration) {
        self.draining_since.set(Some(Instant::now()));
        self.configuration_wait.wake();
        self.with_dispatcher(|dispatcher, now| dispatcher.begin_shutdown(now, end));
    }

    /// Time since the beginning of the shutdown.
    pub fn draining_time(&self) -> Option<Duration> {
        self.draining_since.get().map(|since| since.elapsed())
    }

    /// Time since the configuration in force was applied.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.configured_at.get().map(|since| since.elapsed())
    }

    /// Whether the link to the agent of this machine is up.
    pub fn is_agent_linked(&self) -> bool {
        self.agent_linked.get()
    }

    /// A summary of the dispatcher's state, for the metrics.
    pub fn dispatch_summary(&self) -> DispatchSummary {
        self.dispatcher.borrow().summary(self.now())
    }

    /// Aborts all open requests because of shutdown.
    pub fn abort_requests(&self) {
        let now = self.now();
        let shutdown_since = self.draining_since.get().map(|since| self.time_of(since));
        for request in self.requests.all() {
            self.counters.aborted_at_shutdown.count(now.saturating_sub(request.arrived()));
            let came_late = shutdown_since.is_some_and(|since| request.arrived() > since);
            self.violations.check(
                Invariant::AcceptedRequestAnsweredBeforeShutdown,
                !(came_late && request.has_started()),
            );
            request.mailbox.shut_down();
        }
    }

    /// Logs one line for each of the oldest open requests, at most `most` lines; shutdown began at `shutdown_since`.
    pub fn log_open_requests(&self, shutdown_since: Instant, most: usize) {
        let (now, shutdown_since) = (self.now(), self.time_of(shutdown_since));
        let mut open = self.requests.all();
        open.sort_unstable_by_key(|request| request.arrived());
        for request in open.into_iter().take(most) {
            log::warn!("request aborted {}", request.summary(now, shutdown_since));
        }
    }

    /// Calls the dispatcher, delivers its decisions to the request tasks and sets the timer for its next call.
    pub fn with_dispatcher<T>(&self, act: impl FnOnce(&mut Dispatcher, Duration) -> T) -> T {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let result = act(&mut dispatcher, now);
        let decisions = dispatcher.take_decisions();
        let wake = dispatcher.next_wake();
        let unplaced_demand = dispatcher.has_unplaced_demand();
        drop(dispatcher);
        if unplaced_demand {
            self.unplaced_demand.notify_one();
        }
        decisions.into_iter().for_each(|decision| self.requests.deliver(decision));
        self.set_timer(wake);
        result
    }

    /// Sets the timer to `wake` if it is not set to an earlier time.
    fn set_timer(&self, wake: Option<Duration>) {
        let Some(wake) = wake else {
            return;
        };
        if self.timer_at.get().is_none_or(|timer_at| wake < timer_at) {
            self.timer_at.set(Some(wake));
            self.timer_changed.notify_one();
        }
    }

    /// When the timer task has to call the dispatcher.
    pub fn timer_at(&self) -> Option<Duration> {
        self.timer_at.get()
    }

    /// Calls the dispatcher because its timer has expired.
    pub fn wake_dispatcher(&self) {
        self.timer_at.set(None);
        self.with_dispatcher(|dispatcher, now| dispatcher.wake(now));
    }
}
