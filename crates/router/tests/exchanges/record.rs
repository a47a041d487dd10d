//! The record of an exchange, and the violations found in it.

use super::script::{Answer, Framing, Reply, Script};
use crate::common::Message;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};

/// What has happened in an exchange.
pub(crate) struct Record {
    answers: RefCell<VecDeque<Answer>>,
    observations: RefCell<Observations>,
}

#[derive(Default)]
struct Observations {
    /// Bodies of the requests that clients sent, by id.
    request_bodies: HashMap<String, String>,
    /// Numbers of executions at endpoints, by id.
    executions: HashMap<String, u32>,
    may_run_again: HashSet<String>,
    /// Status of the last complete answer of an endpoint, by id.
    endpoint_statuses: HashMap<String, u16>,
    /// Ids of the requests whose last answer had to be refused by the router.
    refused_answers: HashSet<String>,
    /// Status that the client received, by id.
    client_statuses: HashMap<String, u16>,
    last_arrival: Option<String>,
    violations: Vec<String>,
}

impl Record {
    pub(crate) fn new(script: &Script) -> Record {
        Record {
            answers: RefCell::new(script.answers.iter().cloned().collect()),
            observations: RefCell::default(),
        }
    }

    /// How the endpoint that got a request answers it.
    pub(crate) fn next_answer(&self) -> Answer {
        let complete = || Answer { reply: Reply::Complete, framing: Framing::Length, segments: Vec::new() };
        self.answers.borrow_mut().pop_front().unwrap_or_else(complete)
    }

    /// Records a request that a client is about to send.
    pub(crate) fn record_request(&self, id: &str, body: String, may_run_again: bool) {
        let mut observations = self.observations.borrow_mut();
        observations.request_bodies.insert(id.into(), body);
        if may_run_again {
            observations.may_run_again.insert(id.into());
        }
    }

    /// Records that a request arrived at an endpoint; returns the id of the previous arrival at any endpoint.
    pub(crate) fn record_arrival(&self, id: &str, body: &str) -> Option<String> {
        let mut observations = self.observations.borrow_mut();
        observations.endpoint_statuses.remove(id);
        observations.refused_answers.remove(id);
        match observations.request_bodies.get(id) {
            Some(sent) if sent == body => {}
            Some(sent) => {
                let text = format!("{id} arrived with {body:?} instead of {sent:?}");
                observations.violations.push(text);
            }
            None => observations.violations.push(format!("{id} arrived, but no client sent it")),
        }
        observations.last_arrival.replace(id.into())
    }

    /// Records that an endpoint began to execute a request.
    pub(crate) fn record_execution(&self, id: &str) {
        *self.observations.borrow_mut().executions.entry(id.into()).or_default() += 1;
    }

    /// Records that an endpoint answered a request completely.
    pub(crate) fn record_answer(&self, id: &str, status: u16) {
        self.observations.borrow_mut().endpoint_statuses.insert(id.into(), status);
    }

    /// Records that an endpoint answered a request in a way that the router has to refuse.
    pub(crate) fn record_refused_answer(&self, id: &str) {
        self.observations.borrow_mut().refused_answers.insert(id.into());
    }

    /// Records that the answer of an endpoint to a request may be invalid, so that the client may receive another status.
    pub(crate) fn discard_answer(&self, request: &Message) {
        let id = request.header("Attempt-Id").unwrap_or_default();
        let mut observations = self.observations.borrow_mut();
        observations.endpoint_statuses.remove(id);
        observations.refused_answers.remove(id);
    }

    /// Records that a client received an answer.
    pub(crate) fn record_client_answer(&self, id: &str, status: u16) {
        self.observations.borrow_mut().client_statuses.insert(id.into(), status);
    }

    pub(crate) fn record_violation(&self, text: String) {
        self.observations.borrow_mut().violations.push(text);
    }

    /// All violations, if there are any.
    pub(crate) fn all_violations(&self) -> Option<String> {
        let observations = self.observations.borrow();
        let mut violations = observations.violations.clone();
        for (id, runs) in &observations.executions {
            if *runs > 1 && !observations.may_run_again.contains(id) {
                violations.push(format!("{id} ran {runs} times"));
            }
            if observations.client_statuses.get(id) == Some(&503) && !observations.may_run_again.contains(id)
            {
                violations.push(format!("{id} was refused and ran"));
            }
        }
        for (id, status) in &observations.endpoint_statuses {
            if observations.client_statuses.get(id).is_some_and(|received| received != status) {
                violations.push(format!(
                    "{id} was answered with {status}, its client received {}",
                    observations.client_statuses[id]
                ));
            }
        }
        for id in &observations.refused_answers {
            let received = observations.client_statuses.get(id).copied();
            if received.is_some_and(|status| !matches!(status, 502 | 504)) {
                violations.push(format!("{id} had an answer to refuse, its client received {received:?}"));
            }
        }
        (!violations.is_empty()).then(|| violations.join("; "))
    }
}
