//! The queue of requests that wait in the router, and their slots on the timelines of endpoints.

use super::Dispatcher;
use crate::candidate::Candidate;
use crate::interface::RequestId;
use crate::pending_request::{Phase, QueueEntry};
use crate::units::{nanoseconds, seconds};
use fair_edf::Ns;
use std::time::Duration;

impl Dispatcher {
    /// Queues a request, on the timeline of `endpoint` if there is one.
    pub(super) fn enqueue(
        &mut self,
        now: Duration,
        id: RequestId,
        endpoint: Option<Candidate>,
        candidates: &[Candidate],
    ) {
        let occupancy = endpoint.map_or(0, |candidate| self.occupancy(id, &candidate));
        let due = self.due(now, id, endpoint.as_ref(), occupancy);
        let entry = QueueEntry { endpoint: endpoint.map(|candidate| candidate.key), due };
        let next = self.next_timer(now, id, endpoint.as_ref(), candidates);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.phase = Phase::Queued(entry);
        self.timers.schedule(id, &mut pending.scheduled_at, Some(next));
        self.admission.insert(&pending.request.backend, id, entry, occupancy);
        if let Some(endpoint) = entry.endpoint {
            self.enforce_timeline(now, endpoint);
        }
    }

    /// Occupancy of an endpoint by a request: its service time divided by the slots, or its prefill if that is longer.
    fn occupancy(&self, id: RequestId, candidate: &Candidate) -> Ns {
        let pending = &self.requests[&id];
        let service = self.fleet.service(&pending.request.backend);
        let capacity = self.fleet.table.get(candidate.key).map_or(1, |endpoint| endpoint.capacity);
        let places = self.fleet.load(candidate.key).recent.cap(capacity as usize);
        let of_places_s = service.service_time.seconds() / places as f64;
        let reading_s = match service.engine {
            Some(_) => service.first_byte.per_token_s() * candidate.requirement.prefill_tokens as f64,
            None => 0.0,
        };
        nanoseconds(seconds(of_places_s.max(reading_s)))
    }

    /// When the slot of a request has to end: by its latency target while that can be met, otherwise by its deadline.
    fn due(&self, now: Duration, id: RequestId, endpoint: Option<&Candidate>, occupancy: Ns) -> Ns {
        let request = &self.requests[&id].request;
        let expected = endpoint.map_or(0, |candidate| nanoseconds(candidate.expected));
        let slot_end = |by: Duration| nanoseconds(by) - expected + occupancy.min(expected);
        let for_target = slot_end(request.target);
        if for_target - occupancy >= nanoseconds(now) { for_target } else { slot_end(request.deadline) }
    }

    /// Removes a queued request from its timeline.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if let Some(entry) = pending.queue_entry() {
            self.admission.remove(&pending.request.backend, id, entry);
        }
    }
}
