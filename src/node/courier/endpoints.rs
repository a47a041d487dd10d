//! What the courier knows of endpoints: from the list, from the journal, and from operators.

use super::{Courier, Endpoint};
use crate::interface::{self, DestinationId, EndpointId, Entry, Event};
use crate::node::discovery::{Health, Host, List};
use crate::node::log::log_line;
use crate::node::register::{Change, Register};
use std::sync::Arc;

impl Courier {
    /// A zone's place in the configuration; one that it does not name comes behind all.
    pub(in crate::node) fn zone(&self, name: &str) -> usize {
        let zones = &self.config.zones;
        zones.iter().position(|z| z == name).unwrap_or(zones.len())
    }

    /// An endpoint's number; a host that is not known yet is given the next.
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

    /// Discovery has sent a list, or changes of it.
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
        // To the module one that it has forgotten is a new one.
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

    /// One host of a list.
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
        // An address that cannot be read leaves nowhere to send to.
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

    /// Calls to such endpoints that are still without their connection do not begin.
    fn revoke_calls(&self, to: impl Fn(&EndpointId) -> bool) {
        let leaves = self.held.values().filter_map(|m| m.start_permit.as_ref());
        leaves.filter(|(endpoint, _)| to(endpoint)).for_each(|(_, start_permit)| start_permit.revoke());
    }

    /// Told to wait by a destination: calls that are still without their connection do not begin there.
    pub(super) fn revoke_calls_to_destination(&self, destination: u64) {
        let there = self.held.values().filter(|m| m.submitted.destination == destination);
        there.filter_map(|m| m.start_permit.as_ref()).for_each(|(_, start_permit)| start_permit.revoke());
    }

    fn register(&self) -> &Arc<Register> {
        &self.intake_state.register
    }

    /// Whether operators have left it out.
    fn left_out(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|e| self.register().is_out(&e.host))
    }

    /// Tells which ids operators may name.
    pub(in crate::node) fn publish_hosts(&self) {
        let listed = self.endpoints.values().filter(|e| e.listed);
        self.register().set_listed(listed.map(|e| e.host.clone()).collect());
    }

    /// Operators have set something, which is on record already.
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
                // What is kept for it leads to the process that is about to end, or has.
                self.calls.close(endpoint);
                self.revoke_calls(|e| out && *e == endpoint);
                self.events.push(Event::Maintenance { endpoint, out });
            }
        }
    }

    /// Nothing new goes to an endpoint that is not ready: connections kept for it would only take room, and
    /// whatever comes to its address next is another.
    pub(super) fn close_unless_usable(&self, endpoint: EndpointId) {
        if !self.endpoints.get(&endpoint).is_some_and(|e| e.ready) || self.left_out(endpoint) {
            self.calls.close(endpoint);
        }
    }

    /// The module has forgotten an endpoint.
    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        self.calls.close(endpoint);
        if let Some(e) = self.endpoints.remove(&endpoint) {
            self.numbers.remove(&e.host);
            self.publish_hosts();
        }
    }
}
