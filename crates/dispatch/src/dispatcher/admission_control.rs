//! Admission control: which request is refused or postponed when the timeline of an endpoint is overdue.

use super::Dispatcher;
use crate::admission::Overdue;
use crate::endpoints::EndpointKey;
use crate::interface::{FailReason, RequestId};
use crate::pending_request::{Phase, QueueEntry};
use crate::units::nanoseconds;
use fair_edf::Ns;
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

impl Dispatcher {
    /// While the timeline of an endpoint is overdue, one request on it is refused, or postponed to its deadline if a refusal
    /// would come too late or the endpoints have free slots.
    pub(super) fn enforce_timeline(&mut self, now: Duration, endpoint: EndpointKey) {
        while let Some(overdue) = self.admission.overdue(endpoint, nanoseconds(now)) {
            let overdue: Vec<Overdue> =
                overdue.into_iter().filter_map(|entry| self.overdue_entry(entry)).collect();
            let candidates = overdue
                .iter()
                .filter(|entry| self.can_refuse_or_postpone(now, entry))
                .cloned()
                .collect::<Vec<_>>();
            let by_class = self.fleet.is_enabled(Mechanism::MissRatioVictim);
            let Some(victim) = self.admission.victim(&candidates, by_class).cloned() else {
                return;
            };
            if self.may_refuse_early(now, victim.request) {
                self.refuse_overdue(now, endpoint, victim.request);
            } else {
                self.postpone(&victim);
            }
        }
    }

    fn overdue_entry(&self, (request, occupancy): (RequestId, Ns)) -> Option<Overdue> {
        let pending = self.requests.get(&request)?;
        let due = pending.queue_entry()?.due;
        Some(Overdue { request, route: pending.request.route.clone(), due, occupancy })
    }

    /// Whether a request on an overdue timeline can be refused or postponed.
    fn can_refuse_or_postpone(&self, now: Duration, entry: &Overdue) -> bool {
        self.may_refuse_early(now, entry.request) || entry.due < self.postponed_due(entry)
    }

    /// Whether a request may be refused early: soon after its arrival, before its first attempt, and while the service is
    /// near its capacity.
    fn may_refuse_early(&self, now: Duration, id: RequestId) -> bool {
        let pending = &self.requests[&id];
        let unsent = pending.attempts == 0 && now <= pending.early_refusal_end();
        self.fleet.is_enabled(Mechanism::EarlyRejection)
            && unsent
            && self.fleet.is_near_capacity(now, &pending.request.backend)
    }

    fn refuse_overdue(&mut self, now: Duration, endpoint: EndpointKey, id: RequestId) {
        let backlog = self.admission.backlog(endpoint, nanoseconds(now));
        let wait = Duration::from_nanos(u64::try_from(backlog).unwrap_or_default());
        self.refuse_or_fail(now, id, FailReason::Attempts, wait);
    }

    fn postponed_due(&self, entry: &Overdue) -> Ns {
        let request = &self.requests[&entry.request].request;
        nanoseconds(request.deadline).max(nanoseconds(request.target))
    }

    fn postpone(&mut self, overdue: &Overdue) {
        let due = self.postponed_due(overdue);
        let Some(pending) = self.requests.get_mut(&overdue.request) else {
            return;
        };
        let Phase::Queued(entry) = pending.phase else {
            return;
        };
        let later = QueueEntry { due, ..entry };
        pending.phase = Phase::Queued(later);
        self.admission.remove(&pending.request.backend, overdue.request, entry);
        self.admission.insert(&pending.request.backend, overdue.request, later, overdue.occupancy);
    }
}
