//! Fair-EDF admission: the requests that are held, one occupancy chart for each endpoint, and who gives way
//! where a chart cannot be met.

use crate::endpoints::EndpointKey;
use crate::interface::RequestId;
use crate::tracked::Hold;
use fair_edf::{MissRatios, Ns, VariableTimeline};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A request on an overdue chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Overdue {
    pub request: RequestId,
    pub route: Arc<str>,
    pub due: Ns,
    /// Time for which it occupies the endpoint.
    pub occupies: Ns,
}

/// What is held, and how each class has fared.
#[derive(Debug, Default)]
pub struct Admission {
    charts: HashMap<EndpointKey, VariableTimeline<RequestId>>,
    held: BTreeMap<Arc<str>, BTreeSet<(Ns, RequestId)>>,
    classes: HashMap<Arc<str>, MissRatios>,
}

impl Admission {
    /// Holds a request; with an endpoint it stands on that one's chart for the time that it occupies.
    pub fn insert(&mut self, backend: &Arc<str>, request: RequestId, hold: Hold, occupies: Ns) {
        self.held.entry(backend.clone()).or_default().insert((hold.due, request));
        if let Some(lane) = hold.lane {
            self.charts.entry(lane).or_default().insert(hold.due, request, occupies);
        }
    }

    /// Holds a request no longer.
    pub fn remove(&mut self, backend: &Arc<str>, request: RequestId, hold: Hold) {
        if let Some(held) = self.held.get_mut(backend) {
            held.remove(&(hold.due, request));
        }
        let Some(lane) = hold.lane else {
            return;
        };
        if let Some(chart) = self.charts.get_mut(&lane) {
            chart.remove(hold.due, request);
            if chart.is_empty() {
                self.charts.remove(&lane);
            }
        }
    }

    /// Whether nothing is held for a service.
    pub fn is_empty(&self, backend: &str) -> bool {
        self.held.get(backend).is_none_or(BTreeSet::is_empty)
    }

    /// The services for which something is held.
    pub fn backends(&self) -> Vec<Arc<str>> {
        let held = self.held.iter().filter(|(_, requests)| !requests.is_empty());
        held.map(|(backend, _)| backend.clone()).collect()
    }

    /// What is held for a service, by earliest deadline, at most so many.
    pub fn by_deadline(&self, backend: &str, most: usize) -> Vec<RequestId> {
        let held = self.held.get(backend).into_iter().flatten();
        held.take(most).map(|&(_, request)| request).collect()
    }

    /// How long an endpoint is occupied by what is held for it.
    pub fn backlog(&self, lane: EndpointKey, now: Ns) -> Ns {
        let last = self.charts.get(&lane).and_then(|chart| chart.iter().last());
        last.map_or(0, |(due, _)| (due - now).max(0))
    }

    /// The requests on an endpoint's chart of which one cannot be met, with the time that each occupies.
    pub fn overdue(&mut self, lane: EndpointKey, now: Ns) -> Option<Vec<(RequestId, Ns)>> {
        self.charts.get_mut(&lane)?.overdue(now)
    }

    /// Counts a request of a class.
    pub fn count_request(&mut self, route: &Arc<str>, now: Ns) {
        self.class(route).request(0, now);
    }

    /// Counts a request of a class that was refused, failed or late.
    pub fn count_miss(&mut self, route: &Arc<str>, now: Ns) {
        self.class(route).miss(0, now);
    }

    /// Share of the requests of a class that missed.
    pub fn miss_ratio(&self, route: &str) -> f64 {
        let class = self.classes.get(route);
        class.map_or_else(|| MissRatios::new(1).ratio(0), |ratios| ratios.ratio(0))
    }

    /// Who gives way: of the class that has missed least, the one that occupies longest; of equals the one
    /// that is due last.
    pub fn victim<'a>(&self, overdue: &'a [Overdue], by_class: bool) -> Option<&'a Overdue> {
        let ratio = |held: &Overdue| if by_class { self.miss_ratio(&held.route) } else { 0.0 };
        overdue.iter().min_by(|one, other| {
            let by_class = ratio(one).total_cmp(&ratio(other));
            let by_length = other.occupies.cmp(&one.occupies);
            by_class.then(by_length).then(other.due.cmp(&one.due)).then(other.request.cmp(&one.request))
        })
    }

    fn class(&mut self, route: &Arc<str>) -> &mut MissRatios {
        self.classes.entry(route.clone()).or_insert_with(|| MissRatios::new(1))
    }
}
