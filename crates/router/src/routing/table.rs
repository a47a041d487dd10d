//! Routing: the route of a host and path, and the service selected by its traffic split.

use hyper::header::{HOST, HeaderMap};
use hyper::{Uri, http::uri::Authority};
use lanegate_config::configuration::{Configuration, Limits, Route};
use lanegate_config::routes::RouteTable;
use std::sync::Arc;

/// The configuration in force, with its route table.
#[derive(Debug)]
pub struct Routing {
    table: RouteTable,
}

/// The route of a request and its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResolvedRoute<'a> {
    /// The route.
    pub route: &'a Route,
    /// Name of the service.
    pub backend: &'a str,
    /// Whether the endpoints of the service are inference engines.
    pub engine: bool,
}

impl Routing {
    /// Builds the route table of a configuration.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        Routing { table: RouteTable::new(configuration) }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.table.configuration().version
    }

    /// Size and time limits for client connections.
    pub fn limits(&self) -> &Limits {
        &self.table.configuration().limits
    }

    /// Finds the route. `position` returns a number in [0, 1) that selects among the services of a traffic split; it is called
    /// for split routes only.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        position: impl FnOnce(&str) -> f64,
    ) -> Option<ResolvedRoute<'_>> {
        let route = self.table.lookup(host, path)?;
        let backend = select_backend(route, position)?;
        let engine = self.table.backend(backend).is_some_and(|service| service.runtime.is_some());
        Some(ResolvedRoute { route, backend, engine })
    }
}

fn select_backend(route: &Route, position: impl FnOnce(&str) -> f64) -> Option<&str> {
    if route.traffic_split.is_empty() {
        return route.backend.as_deref();
    }
    let weighted = || route.traffic_split.iter().filter(|part| part.weight > 0.0);
    let total: f64 = weighted().map(|part| part.weight).sum();
    let mut left = position(&route.name) * total;
    for part in weighted() {
        if left < part.weight {
            return Some(&part.backend);
        }
        left -= part.weight;
    }
    weighted().next_back().map(|part| part.backend.as_str())
}

/// The host of a request without its port; `None` if it names none or several.
pub fn host<'a>(target: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    if let Some(authority) = target.authority() {
        return Some(Authority::host(authority));
    }
    let mut hosts = headers.get_all(HOST).iter();
    let host = hosts.next()?.to_str().ok()?.trim();
    match hosts.next() {
        None => Some(without_port(host)),
        Some(_) => None,
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
