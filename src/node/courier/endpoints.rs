//! What the courier knows of endpoints: from the list, from the journal, and from operators.

use super::{Courier, Endpoint};
use crate::interface::{self, DestinationId, EndpointId, Entry, Event};
use crate::node::discovery::{Health, Host, List};
use crate::node::log::log_line;
use crate::node::register::{Change, Register};
use std::sync::Arc;

impl Courier {
    /// A zone's index in the configuration; an unknown zone gets the index after the last.
    pub(in crate::node) fn zone(&self, name: &str) -> usize {
        let zones = &self.config.zones;
        zones.iter().position(|z| z == name).unwrap_or(zones.len())
    }

    /// An endpoint's id; an unknown host is assigned the next.
    pub(super) fn endpoint_id(&mut self, host: &str) -> EndpointId {
        if let Some(id) = self.numbers.get(host) {
            return *id;
        }
        let id = EndpointId(self.numbered);
        self.numbered += 1;
        self.endpoints.insert(
            id,
            Endpoint { host: host.to_owned(), address: None, zone: 0, ready: false, listed: false },
        );
        self.numbers.insert(host.to_owned(), id);
        id
    }

    /// Applies a full list or an incremental one from discovery.
    pub(super) fn apply_list(&mut self, list: List) {
        let before: Vec<_> = self.endpoints.iter().filter(|(_, e)| e.ready).map(|(id, _)| *id).collect();
        if list.whole {
            self.endpoints.values_mut().for_each(|e| e.ready = false);
        }
        let mut entries = Vec::new();
        for host in list.hosts {
            entries.extend(self.apply_host(host));
        }
        let named: Vec<_> = entries.iter().map(|e| e.endpoint).collect();
        self.events.push(Event::Listed { whole: list.whole, entries });
        // The scheduler treats an endpoint that it has forgotten as new, so maintenance is reported again.
        let left_out: Vec<_> = named.into_iter().filter(|e| self.left_out(*e)).collect();
        let again = left_out.into_iter().map(|endpoint| Event::Maintenance { endpoint, out: true });
        self.events.extend(again);
        self.publish_hosts();
        for endpoint in before {
            self.close_unless_usable(endpoint);
        }
        let ready = |e: &EndpointId| self.endpoints.get(e).is_some_and(|e| e.ready);
        self.revoke_calls(|endpoint| !ready(endpoint));
    }

    /// Applies one list entry.
    fn apply_host(&mut self, host: Host) -> Option<Entry> {
        let (endpoint, zone) = (self.endpoint_id(&host.host), self.zone(&host.site));
        let kinds = &self.config.kinds;
        let kind = kinds.iter().position(|k| *k == host.class).unwrap_or(kinds.len());
        let e = self.endpoints.get_mut(&endpoint)?;
        (e.zone, e.listed) = (zone, true);
        let address = host.dial.parse().ok().or(e.address);
        if std::mem::replace(&mut e.address, address) != address {
            self.calls.close(endpoint);
        }
        // Without a valid address nothing can be sent to the endpoint.
        let state = match host.health {
            Health::Ready if e.address.is_some() => interface::EndpointState::Ready,
            Health::Gone => interface::EndpointState::Gone,
            _ => interface::EndpointState::Draining,
        };
        e.ready = state == interface::EndpointState::Ready;
        self.destinations.insert(host.block);
        let (destination, weight) = (DestinationId(host.block), host.share);
        Some(Entry { endpoint, destination, zone, kind, state, weight })
    }

    /// Revokes the calls to matching endpoints that are still waiting for a connection.
    fn revoke_calls(&self, to: impl Fn(&EndpointId) -> bool) {
        let leaves = self.held.values().filter_map(|m| m.start_permit.as_ref());
        leaves.filter(|(endpoint, _)| to(endpoint)).for_each(|(_, start_permit)| start_permit.revoke());
    }

    /// A destination asked to wait: revokes the calls to it that are still waiting for a connection.
    pub(super) fn revoke_calls_to_destination(&self, destination: u64) {
        let there = self.held.values().filter(|m| m.submitted.destination == destination);
        there.filter_map(|m| m.start_permit.as_ref()).for_each(|(_, start_permit)| start_permit.revoke());
    }

    fn register(&self) -> &Arc<Register> {
        &self.intake_state.register
    }

    /// Whether operators have taken it offline.
    fn left_out(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|e| self.register().is_out(&e.host))
    }

    /// Publishes the endpoint ids that operators may use.
    pub(in crate::node) fn publish_hosts(&self) {
        let listed = self.endpoints.values().filter(|e| e.listed);
        self.register().set_listed(listed.map(|e| e.host.clone()).collect());
    }

    /// Applies an operator's change, which is recorded already.
    pub(super) fn operated(&mut self, change: Change) {
        match change {
            Change::Service { out } => {
                log_line!("operators: {}", if out { "out of service" } else { "in service" });
                if out {
                    self.intake_state.close_idle();
                }
            }
            Change::Endpoint { id, out } => {
                let Some(endpoint) = self.numbers.get(&id).copied() else { return };
                log_line!(
                    "operators: {id} {}",
                    if out { "left out" } else { "used again, as one that is cold" }
                );
                // Idle connections lead to a process that is about to exit, or has.
                self.calls.close(endpoint);
                self.revoke_calls(|e| out && *e == endpoint);
                self.events.push(Event::Maintenance { endpoint, out });
            }
        }
    }

    /// Closes an endpoint's idle connections if it takes no new calls: they would only use up sockets, and the next
    /// process at its address is a different endpoint.
    pub(super) fn close_unless_usable(&self, endpoint: EndpointId) {
        if !self.endpoints.get(&endpoint).is_some_and(|e| e.ready) || self.left_out(endpoint) {
            self.calls.close(endpoint);
        }
    }

    /// Drops an endpoint that the scheduler has forgotten.
    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        self.calls.close(endpoint);
        if let Some(e) = self.endpoints.remove(&endpoint) {
            self.numbers.remove(&e.host);
            self.publish_hosts();
        }
    }
}
