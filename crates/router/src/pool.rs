//! Connections to endpoints: idle ones are used again, and each endpoint has a bound for this router.

use crate::connection::{EndpointConnection, PeerState};
use crate::fault::RouterFault;
use lanegate_config::configuration::Configuration;
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::{Instance, InstanceState};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an idle connection is used again where the endpoint tells none: it tells whole seconds, so
/// it closes in under a second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Part of the told time for which an idle connection is used again; the rest is for the way of the request.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Time for which an endpoint that sent bytes belonging to no request is not trusted to be done after an answer.
const QUARANTINE: Duration = Duration::from_secs(10);
/// Idle time after which even such an endpoint counts as done with an answer.
const QUARANTINE_IDLE_TIME: Duration = Duration::from_millis(300);
/// Part of an endpoint's connections that routers take; the rest is for health checks and orders.
const ROUTER_FRACTION: f64 = 0.9;
/// Connections that one router may open to an endpoint whose service names no bound.
const DEFAULT_MAX_CONNECTIONS: u32 = 256;

/// Whether a request may be sent to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    Available,
    /// Leaving, gone, or never heard of.
    Unavailable,
}

/// Connections to all endpoints.
#[derive(Default)]
pub struct Pool {
    endpoints: RefCell<HashMap<Box<str>, Endpoint>>,
    configuration: RefCell<Option<Arc<Configuration>>>,
    routers: Cell<u32>,
    next_connection: Cell<u64>,
    fault: Option<RouterFault>,
}

/// Connections to endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// All of them.
    pub open: u64,
    /// Those that carry no request.
    pub idle: u64,
}

/// Tells the connections of a router from one another; never used twice in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionNumber(u64);

/// Connections to one endpoint.
struct Endpoint {
    backend: String,
    address: SocketAddr,
    serving: bool,
    open: Rc<Cell<u32>>,
    /// Until when its connections rest after an answer.
    quarantined_until: Option<Instant>,
    /// The one used last comes last.
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    connection: EndpointConnection,
    since: Instant,
}

impl IdleConnection {
    fn is_not_among(&self, excluded: &[ConnectionNumber]) -> bool {
        !excluded.contains(&self.connection.lease().number)
    }
}

/// One place among the connections of an endpoint, given back when dropped.
#[derive(Debug)]
pub struct Lease {
    instance: Arc<str>,
    address: SocketAddr,
    number: ConnectionNumber,
    open: Rc<Cell<u32>>,
}

impl Lease {
    fn new(instance: Arc<str>, address: SocketAddr, number: ConnectionNumber, open: Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Lease { instance, address, number, open }
    }

    /// The number of the connection.
    pub fn number(&self) -> ConnectionNumber {
        self.number
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

impl Endpoint {
    fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    fn quarantine(&mut self, now: Instant) {
        self.quarantined_until = Some(now + QUARANTINE);
    }

    /// The connection that has rested longest, if that is long enough for late bytes to have come.
    fn take_longest_idle(
        &mut self,
        now: Instant,
        excluded: &[ConnectionNumber],
    ) -> Option<EndpointConnection> {
        let index = self.idle.iter().position(|idle| idle.is_not_among(excluded))?;
        if now.saturating_duration_since(self.idle[index].since) < QUARANTINE_IDLE_TIME {
            return None;
        }
        let candidate = self.idle.remove(index);
        self.validated(candidate, now)
    }

    /// The connection that was used last, if a request may be sent on it.
    fn take_most_recent(
        &mut self,
        now: Instant,
        excluded: &[ConnectionNumber],
    ) -> Option<EndpointConnection> {
        while let Some(index) = self.idle.iter().rposition(|idle| idle.is_not_among(excluded)) {
            let candidate = self.idle.remove(index);
            if let Some(connection) = self.validated(candidate, now) {
                return Some(connection);
            }
        }
        None
    }

    /// The connection that was used last, whatever has come on it: a deliberate mistake.
    fn take_unchecked(&mut self, excluded: &[ConnectionNumber]) -> Option<EndpointConnection> {
        let index = self.idle.iter().rposition(|idle| idle.is_not_among(excluded))?;
        Some(self.idle.remove(index).connection)
    }

    /// The connection, if a request may be sent on it.
    fn validated(&mut self, mut candidate: IdleConnection, now: Instant) -> Option<EndpointConnection> {
        let connection = &mut candidate.connection;
        if !connection.is_unexpired(now) {
            return None;
        }
        let reusable = connection.is_reusable();
        let peer = connection.peer_state();
        if connection.is_tainted() || peer == PeerState::Sending {
            self.quarantine(now);
        }
        (reusable && peer == PeerState::Idle).then_some(candidate.connection)
    }
}

impl Pool {
    /// A pool that knows no endpoint yet; `fault` is a deliberate mistake, for tests.
    pub fn new(fault: Option<RouterFault>) -> Self {
        Pool { fault, ..Pool::default() }
    }

    /// Takes news of the control plane in.
    pub fn apply(&self, event: &FeedEvent) {
        match event {
            FeedEvent::Configuration(configuration) => {
                *self.configuration.borrow_mut() = Some(configuration.clone());
            }
            FeedEvent::Instance(instance) => self.register(instance),
            FeedEvent::Removed { id } => {
                self.endpoints.borrow_mut().remove(id.as_str());
            }
            FeedEvent::Routers { live } => self.routers.set(*live),
            FeedEvent::Behind { .. } | FeedEvent::AgentLink { .. } | FeedEvent::Synchronized => {}
        }
    }

    fn register(&self, instance: &Instance) {
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.entry(instance.id.as_str().into()).or_insert_with(|| Endpoint {
            backend: instance.backend.clone(),
            address: instance.address,
            serving: true,
            open: Rc::default(),
            quarantined_until: None,
            idle: Vec::new(),
        });
        endpoint.serving = instance.state == InstanceState::Ready;
        if endpoint.address != instance.address {
            endpoint.address = instance.address;
            endpoint.idle.clear();
        }
        if !endpoint.serving {
            endpoint.idle.clear();
        }
    }

    /// Whether a request may be sent to the endpoint now.
    pub fn availability(&self, instance: &str) -> Availability {
        match self.endpoints.borrow().get(instance) {
            Some(endpoint) if endpoint.serving => Availability::Available,
            _ => Availability::Unavailable,
        }
    }

    /// An idle connection that can be used again and is none of `barred`.
    pub fn take_idle(
        &self,
        instance: &str,
        address: SocketAddr,
        excluded: &[ConnectionNumber],
    ) -> Option<EndpointConnection> {
        let now = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.get_mut(instance).filter(|endpoint| endpoint.address == address)?;
        if self.fault == Some(RouterFault::IgnoreUnread) {
            return endpoint.take_unchecked(excluded);
        }
        if endpoint.is_quarantined(now) {
            return endpoint.take_longest_idle(now, excluded);
        }
        endpoint.take_most_recent(now, excluded)
    }

    /// Notes that the endpoint sent what is no answer to a request.
    pub fn quarantine(&self, instance: &str) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(instance) {
            endpoint.quarantine(Instant::now());
        }
    }

    /// A place for a new connection, if this router has one left at the endpoint.
    pub fn lease(&self, instance: &Arc<str>, address: SocketAddr) -> Option<Lease> {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(&**instance)?;
        let free = endpoint.open.get() < self.connection_limit(&endpoint.backend);
        free.then(|| Lease::new(instance.clone(), address, self.new_number(), endpoint.open.clone()))
    }

    fn new_number(&self) -> ConnectionNumber {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        ConnectionNumber(number)
    }

    /// Connections that this router may have to one endpoint of the service.
    fn connection_limit(&self, backend: &str) -> u32 {
        let configuration = self.configuration.borrow();
        let services = configuration.iter().flat_map(|configuration| &configuration.backends);
        let mut limits =
            services.filter(|service| service.name == backend).filter_map(|service| service.max_conns);
        match limits.next() {
            Some(limit) => connection_quota(limit, self.routers.get()),
            None => DEFAULT_MAX_CONNECTIONS,
        }
    }

    /// Takes a connection back after a whole answer.
    pub fn release(&self, mut connection: EndpointConnection, idle_timeout: Option<Duration>) {
        let reusable = connection.is_reusable() || self.fault == Some(RouterFault::IgnoreUnread);
        let now = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(endpoint) = endpoints.get_mut(&*connection.lease().instance) else {
            return;
        };
        if connection.is_tainted() {
            endpoint.quarantine(now);
        }
        if reusable && endpoint.serving && endpoint.address == connection.lease().address {
            connection.usable_for(
                idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |told| told.mul_f64(IDLE_TIMEOUT_FRACTION)),
            );
            endpoint.idle.push(IdleConnection { connection, since: now });
        }
    }

    /// Connections to the endpoints that are known.
    pub fn connection_counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        for endpoint in self.endpoints.borrow().values() {
            counts.open += u64::from(endpoint.open.get());
            counts.idle += endpoint.idle.len() as u64;
        }
        counts
    }

    /// Closes connections that will not be used again.
    pub fn close_expired(&self, now: Instant) {
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.idle.retain(|idle| idle.connection.is_unexpired(now));
        }
    }
}

/// This router's share of the connections that an endpoint takes.
pub fn connection_quota(limit: u32, routers: u32) -> u32 {
    let shared = f64::from(limit) * ROUTER_FRACTION / f64::from(routers.max(1));
    (shared as u32).max(1)
}
