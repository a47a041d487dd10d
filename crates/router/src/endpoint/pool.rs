//! The connection pool. It reuses idle connections and limits the number of open connections to each endpoint.

use crate::endpoint::connection::{EndpointConnection, PeerState};
use crate::endpoint::lease::{ConnectionNumber, Lease};
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

/// Idle time-out of a connection if the endpoint sends no `Keep-Alive`. That header has whole seconds, so an endpoint without
/// it may close idle connections after less than a second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Fraction of the endpoint's idle time-out for which a connection is reused; the rest allows for the time that the request
/// takes to arrive.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Duration of the quarantine of an endpoint that sent an invalid response or bytes that belong to no request. Meanwhile only
/// connections that have been idle for [`QUARANTINE_IDLE_TIME`] are reused.
const QUARANTINE: Duration = Duration::from_secs(10);
/// Idle time after which a connection to a quarantined endpoint may be reused: late bytes would have arrived by then.
const QUARANTINE_IDLE_TIME: Duration = Duration::from_millis(300);
/// Fraction of an endpoint's connections that routers use; the rest is for health checks and orders to the endpoint.
const ROUTER_FRACTION: f64 = 0.9;
/// Connection limit for an endpoint whose service configures none.
const DEFAULT_MAX_CONNECTIONS: u32 = 256;

/// Whether a request may be sent to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Available,
    /// It is draining, removed or unknown.
    Unavailable,
}

/// The connections to all endpoints.
#[derive(Default)]
pub struct Pool {
    endpoints: RefCell<HashMap<Box<str>, Endpoint>>,
    configuration: RefCell<Option<Arc<Configuration>>>,
    routers: Cell<u32>,
    next_connection: Cell<u64>,
    fault: Option<RouterFault>,
}

/// Numbers of connections to endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// All open connections.
    pub open: u64,
    /// Connections without a request in flight.
    pub idle: u64,
}

/// Connections to one endpoint.
struct Endpoint {
    backend: String,
    address: SocketAddr,
    serving: bool,
    open: Rc<Cell<u32>>,
    /// End of the quarantine.
    quarantined_until: Option<Instant>,
    /// Idle connections; the most recently used one is last.
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    connection: EndpointConnection,
    since: Instant,
}

impl IdleConnection {
    fn is_not_among(&self, excluded: &[ConnectionNumber]) -> bool {
        !excluded.contains(&self.connection.lease().number())
    }
}

impl Endpoint {
    fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    fn quarantine(&mut self, now: Instant) {
        self.quarantined_until = Some(now + QUARANTINE);
    }

    /// The connection that has been idle longest, if that is long enough for late bytes to have arrived.
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

    /// The most recently used connection on which a request may be sent.
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

    /// The most recently used connection without validation: a deliberate fault for tests.
    fn take_unchecked(&mut self, excluded: &[ConnectionNumber]) -> Option<EndpointConnection> {
        let index = self.idle.iter().rposition(|idle| idle.is_not_among(excluded))?;
        Some(self.idle.remove(index).connection)
    }

    /// The connection, if a request may be sent on it; otherwise it is closed.
    fn validated(&mut self, mut candidate: IdleConnection, now: Instant) -> Option<EndpointConnection> {
        let connection = &mut candidate.connection;
        if !connection.is_unexpired(now) {
            return None;
        }
        let reusable = connection.is_reusable();
        let peer = connection.peer_state();
        if connection.has_failed() || peer == PeerState::Sending {
            self.quarantine(now);
        }
        (reusable && peer == PeerState::Idle).then_some(candidate.connection)
    }
}

impl Pool {
    /// An empty pool; `fault` is a deliberate fault for tests.
    pub fn new(fault: Option<RouterFault>) -> Self {
        Pool { fault, ..Pool::default() }
    }

    /// Applies an event of the configuration feed.
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

    /// An idle connection that may be reused and is not among `excluded`.
    pub fn take_idle(
        &self,
        instance: &str,
        address: SocketAddr,
        excluded: &[ConnectionNumber],
    ) -> Option<EndpointConnection> {
        let now = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.get_mut(instance).filter(|endpoint| endpoint.address == address)?;
        if self.fault == Some(RouterFault::SkipConnectionCheck) {
            return endpoint.take_unchecked(excluded);
        }
        if endpoint.is_quarantined(now) {
            return endpoint.take_longest_idle(now, excluded);
        }
        endpoint.take_most_recent(now, excluded)
    }

    /// Quarantines an endpoint that sent an invalid response.
    pub fn quarantine(&self, instance: &str) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(instance) {
            endpoint.quarantine(Instant::now());
        }
    }

    /// A lease for a new connection, if the limit allows one more.
    pub fn lease(&self, instance: &Arc<str>, address: SocketAddr) -> Option<Lease> {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(&**instance)?;
        let free = endpoint.open.get() < self.connection_limit(&endpoint.backend);
        free.then(|| Lease::new(instance.clone(), address, self.new_number(), endpoint.open.clone()))
    }

    fn new_number(&self) -> ConnectionNumber {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        ConnectionNumber::new(number)
    }

    /// Maximum number of connections of this router to one endpoint of the service.
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

    /// Returns a connection to the pool after a complete answer, or closes it if it cannot be reused.
    pub fn release(&self, mut connection: EndpointConnection, idle_timeout: Option<Duration>) {
        let reusable = connection.is_reusable() || self.fault == Some(RouterFault::SkipConnectionCheck);
        let now = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(endpoint) = endpoints.get_mut(connection.lease().instance()) else {
            return;
        };
        if connection.has_failed() {
            endpoint.quarantine(now);
        }
        if reusable && endpoint.serving && endpoint.address == connection.lease().address() {
            connection.set_reuse_period(
                idle_timeout
                    .map_or(DEFAULT_IDLE_TIMEOUT, |advertised| advertised.mul_f64(IDLE_TIMEOUT_FRACTION)),
            );
            endpoint.idle.push(IdleConnection { connection, since: now });
        }
    }

    /// Connections to the known endpoints.
    pub fn connection_counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        for endpoint in self.endpoints.borrow().values() {
            counts.open += u64::from(endpoint.open.get());
            counts.idle += endpoint.idle.len() as u64;
        }
        counts
    }

    /// Closes expired idle connections.
    pub fn close_expired(&self, now: Instant) {
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.idle.retain(|idle| idle.connection.is_unexpired(now));
        }
    }
}

/// The share of one router in the connections that an endpoint accepts; at least 1.
pub fn connection_quota(limit: u32, routers: u32) -> u32 {
    let shared = f64::from(limit) * ROUTER_FRACTION / f64::from(routers.max(1));
    (shared as u32).max(1)
}
