//! Fair-EDF admission control: the queued requests, one timeline for each endpoint, and which request is refused or
//! postponed when a timeline is overdue.

use crate::endpoints::EndpointKey;
use crate::interface::RequestId;
use crate::pending_request::QueueEntry;
use fair_edf::{MissRatios, Ns, VariableTimeline};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A request on an overdue timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct Overdue {
    /// The queued request.
    pub request: RequestId,
    /// Its route, which is its class.
    pub route: Arc<str>,
    /// When its slot has to end, ns.
    pub due: Ns,
    /// Time for which it occupies the endpoint, ns.
    pub occupancy: Ns,
}

/// The queued requests, and the miss ratio of each class. The class of a request is its route.
#[derive(Debug, Default)]
pub struct Admission {
    timelines: HashMap<EndpointKey, VariableTimeline<RequestId>>,
    queued: BTreeMap<Arc<str>, BTreeSet<(Ns, RequestId)>>,
    classes: HashMap<Arc<str>, MissRatios>,
}

impl Admission {
    /// Adds a request to the queue of its service. If its entry names an endpoint, the request also takes a slot of
    /// length `occupancy` (ns) on the timeline of that endpoint.
    pub fn insert(&mut self, backend: &Arc<str>, request: RequestId, entry: QueueEntry, occupancy: Ns) {
        self.queued.entry(backend.clone()).or_default().insert((entry.due, request));
        if let Some(endpoint) = entry.endpoint {
            self.timelines.entry(endpoint).or_default().insert(entry.due, request, occupancy);
        }
    }

    /// Removes a request from the queue and from its timeline.
    pub fn remove(&mut self, backend: &Arc<str>, request: RequestId, entry: QueueEntry) {
        if let Some(queued) = self.queued.get_mut(backend) {
            queued.remove(&(entry.due, request));
        }
        let Some(endpoint) = entry.endpoint else {
            return;
        };
        if let Some(timeline) = self.timelines.get_mut(&endpoint) {
            timeline.remove(entry.due, request);
            if timeline.is_empty() {
                self.timelines.remove(&endpoint);
            }
        }
    }

    /// Whether no request is queued for a service.
    pub fn is_empty(&self, backend: &str) -> bool {
        self.queued.get(backend).is_none_or(BTreeSet::is_empty)
    }

    /// The services with queued requests.
    pub fn backends(&self) -> Vec<Arc<str>> {
        let queued = self.queued.iter().filter(|(_, requests)| !requests.is_empty());
        queued.map(|(backend, _)| backend.clone()).collect()
    }

    /// At most `most` queued requests of a service, in order of their due time.
    pub fn by_deadline(&self, backend: &str, limit: usize) -> Vec<RequestId> {
        let queued = self.queued.get(backend).into_iter().flatten();
        queued.take(limit).map(|&(_, request)| request).collect()
    }

    /// Time until the last slot on the timeline of an endpoint ends, ns.
    pub fn backlog(&self, endpoint: EndpointKey, now: Ns) -> Ns {
        let last = self.timelines.get(&endpoint).and_then(|timeline| timeline.iter().last());
        last.map_or(0, |(due, _)| (due - now).max(0))
    }

    /// The requests of which at least one cannot meet its due time at the endpoint, each with its occupancy in ns.
    pub fn overdue(&mut self, endpoint: EndpointKey, now: Ns) -> Option<Vec<(RequestId, Ns)>> {
        self.timelines.get_mut(&endpoint)?.overdue(now)
    }

    /// Records a request of a class.
    pub fn count_request(&mut self, route: &Arc<str>, now: Ns) {
        self.class(route).request(0, now);
    }

    /// Records a request of a class that was refused, failed or answered late.
    pub fn count_miss(&mut self, route: &Arc<str>, now: Ns) {
        self.class(route).miss(0, now);
    }

    /// Fraction of the requests of a class that missed their target.
    pub fn miss_ratio(&self, route: &str) -> f64 {
        let class = self.classes.get(route);
        class.map_or_else(|| MissRatios::new(1).ratio(0), |ratios| ratios.ratio(0))
    }

    /// The request to refuse or postpone: the one with the longest occupancy in the class with the lowest miss ratio. Ties
    /// go to the latest due time. Without `by_class`, all requests are compared as one class.
    pub fn victim<'a>(&self, overdue: &'a [Overdue], by_class: bool) -> Option<&'a Overdue> {
        let ratio = |queued: &Overdue| if by_class { self.miss_ratio(&queued.route) } else { 0.0 };
        overdue.iter().min_by(|one, other| {
            let by_class = ratio(one).total_cmp(&ratio(other));
            let by_length = other.occupancy.cmp(&one.occupancy);
            by_class.then(by_length).then(other.due.cmp(&one.due)).then(other.request.cmp(&one.request))
        })
    }

    fn class(&mut self, route: &Arc<str>) -> &mut MissRatios {
        self.classes.entry(route.clone()).or_insert_with(|| MissRatios::new(1))
    }
}
