//! Validation of a configuration: errors, and warnings.

use super::{Configuration, Route, WeightedBackend};
use crate::findings::Findings;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

/// Every error for which `configuration` is rejected.
///
/// Whether its version is higher than the current one is not checked: that is for the caller, who knows the current
/// one.
pub fn validate(configuration: &Configuration) -> Findings {
    let backends = configuration.backends.iter().map(|backend| backend.name.as_str()).collect();
    let mut findings = Findings::default();
    validate_routes(configuration.routes.iter().enumerate(), &backends, &mut findings);
    findings
}

/// Checks routes, each with its index in the list.
pub(super) fn validate_routes<'a>(
    routes: impl Iterator<Item = (usize, &'a Route)>,
    backends: &HashSet<&str>,
    findings: &mut Findings,
) {
    let mut first_index = HashMap::with_capacity(routes.size_hint().0);
    for (index, route) in routes {
        if route.timeout_ms <= 0.0 {
            let message = format!("must be above 0, is {}", route.timeout_ms);
            findings.add(format!("Routes[{index}].TimeoutMs"), message);
        }
        check_backends(route, index, backends, findings);
        let key = (lowercase(&route.hostname), route.path_prefix.as_str());
        if let Some(first) = first_index.insert(key, index) {
            let path = format!("{}{}", route.hostname, route.path_prefix);
            let message = format!("same host and prefix as Routes[{first}]: {path}");
            findings.add(format!("Routes[{index}].PathPrefix"), message);
        }
    }
}

fn lowercase(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return host.to_ascii_lowercase().into();
    }
    host.into()
}

fn check_backends(route: &Route, index: usize, backends: &HashSet<&str>, findings: &mut Findings) {
    if let Some(backend) = route.named_backend()
        && !backends.contains(backend)
    {
        findings.add(format!("Routes[{index}].Backend"), format!("unknown service \"{backend}\""));
    }
    if route.traffic_split.is_empty() {
        if route.named_backend().is_none() {
            let message = "names no service: neither Backend nor TrafficSplit is given";
            findings.add(format!("Routes[{index}]"), message);
        }
        return;
    }
    for (part, weighted) in route.traffic_split.iter().enumerate() {
        check_part(weighted, || format!("Routes[{index}].TrafficSplit[{part}]"), backends, findings);
    }
    let sum: f64 = route.traffic_split.iter().map(|part| part.weight).sum();
    if sum <= 0.0 {
        findings.add(format!("Routes[{index}].TrafficSplit"), format!("weights add up to {sum}"));
    }
}

fn check_part(
    part: &WeightedBackend,
    location: impl Fn() -> String,
    backends: &HashSet<&str>,
    findings: &mut Findings,
) {
    if !backends.contains(part.backend.as_str()) {
        findings.add(format!("{}.Backend", location()), format!("unknown service \"{}\"", part.backend));
    }
    if part.weight < 0.0 {
        findings.add(format!("{}.Weight", location()), format!("must not be below 0, is {}", part.weight));
    }
}

/// Warnings: suspicious values for which `configuration` is not rejected.
pub fn warnings(configuration: &Configuration) -> Findings {
    let mut warnings = Findings::default();
    let routes = configuration.routes.iter().map(|route| route.name.as_str());
    warn_about_names(routes, "Routes", &mut warnings);
    let backends = configuration.backends.iter().map(|backend| backend.name.as_str());
    warn_about_names(backends, "Backends", &mut warnings);
    for (index, route) in configuration.routes.iter().enumerate() {
        warn_about_route(route, &format!("Routes[{index}]"), &mut warnings);
    }
    warnings
}

fn warn_about_names<'a>(names: impl Iterator<Item = &'a str>, list: &str, warnings: &mut Findings) {
    let mut first_index = HashMap::new();
    for (index, name) in names.enumerate() {
        let location = format!("{list}[{index}].Name");
        if name.is_empty() {
            warnings.add(location, "is empty");
        } else if let Some(first) = first_index.insert(name, index) {
            warnings.add(location, format!("same name as {list}[{first}]: \"{name}\""));
        }
    }
}

fn warn_about_route(route: &Route, location: &str, warnings: &mut Findings) {
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        warnings.add(format!("{location}.PathPrefix"), "should begin and end with a slash");
    }
    if route.hostname.is_empty() {
        warnings.add(format!("{location}.Hostname"), "is empty");
    }
    if route.named_backend().is_some() && !route.traffic_split.is_empty() {
        warnings.add(format!("{location}.Backend"), "has no effect beside TrafficSplit");
    }
}
