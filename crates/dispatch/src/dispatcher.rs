//! The dispatcher: one state machine that holds requests and decides for each.
//!
//! A request ends by `Answered`, by `cancel`, or by one of the decisions `Refuse` and `Fail`; nothing more is
//! decided for it afterwards. A `Send` with a higher attempt, a `Refuse` or a `Fail` for a request with an
//! attempt under way means that the attempt is given up: its connection is to be closed, and its reports
//! are ignored.

use crate::endpoints::{EndpointKey, EndpointTable};
use crate::interface::{AttemptEnd, Decision, FailReason, Progress, Request, RequestId};
use crate::settings::DispatchSettings;
use lanegate_model::configuration::RouteType;
use lanegate_model::demand::DemandReport;
use lanegate_model::feed::FeedEvent;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Pause after which a refused client is asked to come back, while nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Decides for one router.
pub struct Dispatcher {
    settings: DispatchSettings,
    endpoints: EndpointTable,
    in_flight: HashMap<EndpointKey, u32>,
    requests: BTreeMap<RequestId, Tracked>,
    decisions: Vec<Decision>,
    reported: Duration,
}

/// A request that has no end yet.
struct Tracked {
    request: Request,
    /// Sends so far.
    attempts: u32,
    at: Option<EndpointKey>,
    tried: Vec<EndpointKey>,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    resume: bool,
}

impl Dispatcher {
    /// A dispatcher that knows no endpoints yet.
    pub fn new(settings: DispatchSettings, _seed: u64) -> Self {
        Dispatcher {
            settings,
            endpoints: EndpointTable::default(),
            in_flight: HashMap::new(),
            requests: BTreeMap::new(),
            decisions: Vec::new(),
            reported: Duration::ZERO,
        }
    }

    /// Takes news of the control plane in.
    pub fn apply(&mut self, now: Duration, event: &FeedEvent) {
        match event {
            FeedEvent::Instance(instance) => {
                self.endpoints.register(now, instance);
                self.release_held(now);
            }
            FeedEvent::Removed { id } => {
                self.endpoints.remove(id);
            }
            FeedEvent::Configuration(_) | FeedEvent::Routers { .. } | FeedEvent::Synchronized => {}
        }
    }

    /// Takes a new request.
    pub fn submit(&mut self, now: Duration, request: Request) {
        let id = request.id;
        let tracked =
            Tracked { request, attempts: 0, at: None, tried: Vec::new(), may_have_run: false, resume: false };
        self.requests.insert(id, tracked);
        self.place(now, id);
    }

    /// Takes news of an attempt before its end.
    pub fn progress(&mut self, _now: Duration, _request: RequestId, _attempt: u32, _progress: Progress) {}

    /// Takes the end of an attempt.
    pub fn ended(&mut self, now: Duration, request: RequestId, attempt: u32, end: AttemptEnd) {
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(key) = tracked.at.filter(|_| tracked.attempts == attempt) else {
            return;
        };
        tracked.at = None;
        if let Some(count) = self.in_flight.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
        match end {
            AttemptEnd::Answered { .. } | AttemptEnd::Cancelled => {
                self.requests.remove(&request);
            }
            AttemptEnd::NotExecuted { .. } | AttemptEnd::NotSent => self.place(now, request),
            AttemptEnd::Broken | AttemptEnd::BrokenMidway | AttemptEnd::Garbled => {
                let repeatable = match tracked.request.route_type {
                    RouteType::Idempotent => end != AttemptEnd::BrokenMidway,
                    RouteType::NonIdempotent => false,
                    RouteType::Streaming => tracked.request.resumable,
                };
                tracked.may_have_run = true;
                tracked.resume |= end == AttemptEnd::BrokenMidway;
                match repeatable {
                    true => self.place(now, request),
                    false => self.fail(request, FailReason::MayHaveRun),
                }
            }
        }
        self.release_held(now);
    }

    /// The client left: nothing more is decided for the request.
    pub fn cancel(&mut self, now: Duration, request: RequestId) {
        self.forget(request);
        self.release_held(now);
    }

    /// The time told by `next_wake` has come.
    pub fn wake(&mut self, now: Duration) {
        let over: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, tracked)| tracked.request.deadline <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            let tracked = &self.requests[&id];
            match tracked.at.is_none() && !tracked.may_have_run {
                true => self.refuse(id),
                false => self.fail(id, FailReason::Deadline),
            }
        }
    }

    /// Hands over what is to be done, in order.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// When `wake` is to be called, if nothing else happens before.
    pub fn next_wake(&self) -> Option<Duration> {
        self.requests.values().map(|tracked| tracked.request.deadline).min()
    }

    /// The demand since the last report.
    pub fn demand_report(&mut self, now: Duration) -> DemandReport {
        let period = now.saturating_sub(self.reported);
        self.reported = now;
        DemandReport { period_ms: period.as_millis() as u32, models: Vec::new() }
    }

    fn release_held(&mut self, now: Duration) {
        let held: Vec<RequestId> =
            self.requests.iter().filter(|(_, tracked)| tracked.at.is_none()).map(|(&id, _)| id).collect();
        held.into_iter().for_each(|id| self.place(now, id));
    }

    /// Sends the request to the endpoint with the fewest requests, or keeps holding it.
    fn place(&mut self, _now: Duration, id: RequestId) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        if tracked.attempts >= tracked.request.max_attempts.max(1) {
            return match tracked.may_have_run {
                true => self.fail(id, FailReason::Attempts),
                false => self.refuse(id),
            };
        }
        let chosen = self.candidates(tracked).min_by_key(|(_, load)| *load);
        let Some((key, _)) = chosen else {
            return;
        };
        self.send(id, key);
    }

    fn candidates<'a>(
        &'a self,
        tracked: &'a Tracked,
    ) -> impl Iterator<Item = (EndpointKey, (u32, bool))> + 'a {
        let keys = self.endpoints.of_service(&tracked.request.backend).iter();
        keys.filter_map(move |&key| {
            let endpoint = self.endpoints.get(key)?;
            let generation = tracked.request.generation.as_ref();
            let holds =
                generation.is_none_or(|wanted| endpoint.holds(&wanted.model, wanted.adapter.as_deref()));
            let running = self.in_flight.get(&key).copied().unwrap_or(0);
            let free = running < endpoint.capacity && !tracked.tried.contains(&key);
            let distant = *endpoint.zone != *self.settings.zone;
            (endpoint.takes_requests() && holds && free).then_some((key, (running, distant)))
        })
    }

    fn send(&mut self, id: RequestId, key: EndpointKey) {
        let (Some(tracked), Some(endpoint)) = (self.requests.get_mut(&id), self.endpoints.get(key)) else {
            return;
        };
        tracked.attempts += 1;
        tracked.at = Some(key);
        tracked.tried.push(key);
        *self.in_flight.entry(key).or_default() += 1;
        self.decisions.push(Decision::Send {
            request: id,
            attempt: tracked.attempts,
            instance: endpoint.id.clone(),
            address: endpoint.address,
            engine_priority: tracked.request.priority.min(9),
            resume: tracked.resume,
        });
    }

    fn refuse(&mut self, id: RequestId) {
        self.forget(id);
        self.decisions.push(Decision::Refuse { request: id, retry_after: RETRY_AFTER });
    }

    fn fail(&mut self, id: RequestId, reason: FailReason) {
        self.forget(id);
        self.decisions.push(Decision::Fail { request: id, reason });
    }

    fn forget(&mut self, id: RequestId) {
        let key = self.requests.remove(&id).and_then(|tracked| tracked.at);
        if let Some(count) = key.and_then(|key| self.in_flight.get_mut(&key)) {
            *count = count.saturating_sub(1);
        }
    }
}
