//! The metrics of a router, computed from its state for each scrape.

use crate::client::listener::ClientConnections;
use crate::request::outcome::Outcome;
use crate::state::RouterState;
use lanegate_metrics::{Exposition, Metric};

const REQUESTS: Metric = Metric::counter(
    "lanegate_router_requests_total",
    "Requests of clients that have ended, by their outcome and its reason",
);
const REQUESTS_RECEIVED: Metric =
    Metric::counter("lanegate_router_requests_received_total", "Requests of clients whose head has arrived");
const REQUESTS_OPEN: Metric =
    Metric::gauge("lanegate_router_requests_open", "Requests that were read whole and have no end yet");
const REQUESTS_QUEUED: Metric =
    Metric::gauge("lanegate_router_requests_held", "Open requests that are at no endpoint now");
const REQUESTS_ABORTED: Metric = Metric::counter(
    "lanegate_router_requests_cut_total",
    "Requests that were open when the time to end the process was over, by their age",
);
const ATTEMPTS: Metric = Metric::counter("lanegate_router_attempts_total", "Sends of requests to endpoints");
const ATTEMPTS_FAILED: Metric = Metric::counter(
    "lanegate_router_attempts_failed_total",
    "Sends that brought no answer that could be passed on",
);
const INVALID_ANSWERS: Metric = Metric::counter(
    "lanegate_router_invalid_answers_total",
    "Answers that were not passed on because they are not valid, by endpoint and reason",
);
const RETRIES: Metric =
    Metric::counter("lanegate_router_retries_total", "Sends that were counted against the retry budget");
const RETRY_BUDGET_REMAINING: Metric = Metric::gauge(
    "lanegate_router_retry_budget_left",
    "Retries that the service with the least budget may still make now",
);
const STREAMS_RESUMED: Metric = Metric::counter(
    "lanegate_router_streams_resumed_total",
    "Streams that were taken up at another endpoint inside the same answer",
);
const LATE_RESPONSES: Metric = Metric::counter(
    "lanegate_router_stale_answers_total",
    "Answers of endpoints to requests that had an answer already; they are dropped",
);
const FORWARDED_BYTES: Metric =
    Metric::counter("lanegate_router_answer_bytes_total", "Bytes of bodies that endpoints answered");
const CLIENTS_ACCEPTED: Metric =
    Metric::counter("lanegate_router_client_connections_accepted_total", "Connections of clients accepted");
const CLIENTS_OPEN: Metric =
    Metric::gauge("lanegate_router_client_connections_open", "Connections of clients that are open");
const CONNECTIONS_OPENED: Metric = Metric::counter(
    "lanegate_router_endpoint_connections_opened_total",
    "Connections to endpoints that were asked for",
);
const CONNECTIONS_OPEN: Metric =
    Metric::gauge("lanegate_router_endpoint_connections_open", "Connections to endpoints, idle ones too");
const CONNECTIONS_IDLE: Metric =
    Metric::gauge("lanegate_router_endpoint_connections_idle", "Idle connections to endpoints");
const ENDPOINTS: Metric =
    Metric::gauge("lanegate_router_endpoints", "Endpoints that are known, by whether they get requests");
const READY: Metric =
    Metric::gauge("lanegate_router_ready", "1 while the router tells the platform to send clients");
const DRAINING: Metric = Metric::gauge("lanegate_router_draining", "1 once the process was asked to end");
const DRAINING_TIME: Metric =
    Metric::gauge("lanegate_router_draining_seconds", "Time since the process was asked to end, else 0");
const CONFIGURATION_VERSION: Metric = Metric::gauge(
    "lanegate_router_configuration_version",
    "Version of the configuration in force, 0 for none",
);
const CONFIGURATION_AGE: Metric = Metric::gauge(
    "lanegate_router_configuration_age_seconds",
    "Time since the configuration in force was taken, 0 for none",
);
const CONFIGURATION_BEHIND: Metric = Metric::gauge(
    "lanegate_router_configuration_behind",
    "1 while a newer configuration may be in force elsewhere",
);
const AGENT_LINK_UP: Metric =
    Metric::gauge("lanegate_router_agent_link_up", "1 while the link to the agent of this machine is up");

/// Collects the current values of all metrics.
pub fn collect(state: &RouterState, clients: &ClientConnections) -> Exposition {
    let mut exposition = Exposition::default();
    add_requests(&mut exposition, state);
    add_attempts(&mut exposition, state);
    add_connections(&mut exposition, state, clients);
    add_status(&mut exposition, state);
    exposition.set_violations(&state.violations);
    exposition
}

fn add_requests(exposition: &mut Exposition, state: &RouterState) {
    let counters = &state.counters;
    exposition.set(&REQUESTS_RECEIVED, counters.requests.get());
    for outcome in Outcome::ALL {
        let (kind, reason) = outcome.labels();
        let labels = [("outcome", kind), ("reason", reason)];
        exposition.set_labelled(&REQUESTS, &labels, counters.outcomes.get(outcome));
    }
    exposition.set(&REQUESTS_OPEN, state.requests.len());
    for (age, requests) in counters.aborted_at_shutdown.by_age() {
        exposition.set_labelled(&REQUESTS_ABORTED, &[("age", age)], requests);
    }
}

fn add_attempts(exposition: &mut Exposition, state: &RouterState) {
    let counters = &state.counters;
    let dispatch = state.dispatch_summary();
    exposition.set(&REQUESTS_QUEUED, dispatch.queued_requests);
    exposition.set(&ATTEMPTS, counters.attempts.get());
    exposition.set(&ATTEMPTS_FAILED, counters.failed_attempts.get());
    exposition.declare(&INVALID_ANSWERS);
    for (endpoint, reason, count) in counters.invalid_answers.borrow().iter() {
        exposition.set_labelled(&INVALID_ANSWERS, &[("endpoint", endpoint), ("reason", reason)], count);
    }
    exposition.set(&RETRIES, dispatch.retries);
    exposition.declare(&RETRY_BUDGET_REMAINING);
    if let Some(left) = dispatch.min_retry_budget {
        exposition.set(&RETRY_BUDGET_REMAINING, left);
    }
    exposition.set(&STREAMS_RESUMED, counters.resumed.get());
    exposition.set(&LATE_RESPONSES, counters.late_responses.get());
    exposition.set(&FORWARDED_BYTES, counters.forwarded_bytes.get());
    let endpoints = dispatch.endpoints;
    for (standing, count) in
        [("serving", endpoints.serving), ("ejected", endpoints.ejected), ("leaving", endpoints.draining)]
    {
        exposition.set_labelled(&ENDPOINTS, &[("standing", standing)], count);
    }
}

fn add_connections(exposition: &mut Exposition, state: &RouterState, clients: &ClientConnections) {
    exposition.set(&CLIENTS_ACCEPTED, state.counters.accepted.get());
    exposition.set(&CLIENTS_OPEN, clients.count());
    exposition.set(&CONNECTIONS_OPENED, state.counters.connections_opened.get());
    let connections = state.pool.connection_counts();
    exposition.set(&CONNECTIONS_OPEN, connections.open);
    exposition.set(&CONNECTIONS_IDLE, connections.idle);
}

fn add_status(exposition: &mut Exposition, state: &RouterState) {
    exposition.set(&READY, state.is_ready());
    exposition.set(&DRAINING, state.is_draining());
    exposition.set(&DRAINING_TIME, state.draining_time().unwrap_or_default());
    exposition.set(&CONFIGURATION_VERSION, state.routing().map_or(0, |routing| routing.version()));
    exposition.set(&CONFIGURATION_AGE, state.configuration_age().unwrap_or_default());
    exposition.set(&CONFIGURATION_BEHIND, state.is_configuration_behind());
    exposition.set(&AGENT_LINK_UP, state.is_agent_linked());
}
