//! Creates, updates and drops endpoints, pools and destinations, following the endpoint list and operators.

use super::*;
use crate::scheduler::DEST_LATENCY;
use rand::Rng;

/// Initial pause before a failed list request is repeated, s; it doubles with each failure.
pub(crate) const LIST_RETRY: f64 = 1.0;

impl Scheduler {
    pub(crate) fn update_list(&mut self, whole: bool, entries: &[Entry], out: &mut Vec<Action>) {
        // At time 0 the list comes from the start-up cache; later lists are answers to requests.
        if self.now > 0 {
            (self.resubscribe_at, self.resubscribe_pause) = (None, LIST_RETRY);
        }
        if whole {
            self.endpoints.values_mut().for_each(|endpoint| endpoint.mark_delisted(self.now));
        }
        for entry in entries {
            let kind = entry.kind.min(self.set.kinds.len() - 1);
            let (dest, zone, lean) = (entry.destination, entry.zone, self.rng.random());
            let fresh = || Endpoint { dest, zone, kind, tie_breaker: lean, ..Endpoint::default() };
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(fresh);
            endpoint.update_standing(entry.state, self.now);
            self.destination(entry.destination).endpoints.insert(entry.endpoint);
            let id = self.pool_id(entry.endpoint);
            let pool = self.pools.entry(id).or_insert_with(|| Pool { tokens: 1.0, ..Pool::default() });
            if self.set.weights != WeightKind::None && pool.limit.is_none() && entry.weight > 0.0 {
                pool.limit = Some(entry.weight);
            }
        }
        self.forget(out);
        self.touched.extend(
            self.dests.iter().filter(|(_, destination)| !destination.messages.is_empty()).map(|(id, _)| *id),
        );
    }

    pub(crate) fn destination(&mut self, id: DestinationId) -> &mut Destination {
        let fresh = || Destination { latency: DEST_LATENCY.start(), ..Destination::default() };
        self.dests.entry(id).or_insert_with(fresh)
    }

    /// The endpoints of a destination that accept new calls.
    pub(crate) fn ready_endpoints(&self, id: DestinationId) -> impl Iterator<Item = EndpointId> {
        let endpoints = self.dests[&id].endpoints.iter().copied();
        endpoints.filter(|endpoint| self.endpoints[endpoint].ready)
    }

    pub(crate) fn pool_id(&self, id: EndpointId) -> PoolId {
        let endpoint = &self.endpoints[&id];
        (endpoint.dest, self.set.kinds[endpoint.kind].separate_routes.then_some(id))
    }

    pub(crate) fn jitter(&mut self) -> f64 {
        0.5 + self.rng.random::<f64>()
    }

    /// Takes an endpoint out of service for operators, or puts it back, independent of the list. An unknown
    /// endpoint is ignored; the event is repeated with the list that contains it.
    pub(crate) fn maintain(&mut self, id: EndpointId, out: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let dest = endpoint.dest;
        if endpoint.maintain(out, self.now) {
            self.space_calls(id);
        }
        self.touched.insert(dest);
    }

    /// Drops endpoints that were removed from the list long ago and that no call, wait or message refers to.
    /// Where endpoints are replaced all day, the tables would grow and each choice would scan more of them.
    pub(crate) fn forget(&mut self, out: &mut Vec<Action>) {
        let (now, span) = (self.now, ns(self.set.warm_up));
        let old = |endpoint: &Endpoint| {
            endpoint.delisted_at.is_some_and(|t| now - t > span) && endpoint.calls.is_empty()
        };
        let mut gone: BTreeSet<_> =
            self.endpoints.iter().filter(|(_, endpoint)| old(endpoint)).map(|(id, _)| *id).collect();
        if gone.is_empty() {
            return;
        }
        for message in self.messages.values() {
            let named = [
                message.previous,
                message.may_have_run.map(|r| r.0),
                message.in_flight.as_ref().map(|flight| flight.endpoint),
            ];
            gone.retain(|id| !named.contains(&Some(*id)));
        }
        for id in gone {
            let (dest, route) = self.pool_id(id);
            if self.pools.get(&(dest, route)).is_some_and(|p| p.wait_until > now) {
                continue;
            }
            if route.is_some() {
                self.pools.remove(&(dest, route));
            }
            self.endpoints.remove(&id);
            self.dests.get_mut(&dest).map(|destination| destination.endpoints.remove(&id));
            out.push(Action::Forget { endpoint: id });
        }
    }
}
