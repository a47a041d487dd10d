//! The record of an exchange, and the violations found in it.

use super::script::{Answer, Framing, Reply, Script};
use crate::common::Message;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};

/// What has happened in an exchange.
pub(crate) struct Record {
    answers: RefCell<VecDeque<Answer>>,
    seen: RefCell<Seen>,
}

#[derive(Default)]
struct Seen {
    /// Bodies of the requests that clients sent, by id.
    asked: HashMap<String, String>,
    /// Runs at endpoints, by id.
    runs: HashMap<String, u32>,
    may_run_again: HashSet<String>,
    /// Status of the last complete answer of an endpoint.
    answered: HashMap<String, u16>,
    /// Status that the client received.
    told: HashMap<String, u16>,
    last_arrival: Option<String>,
    wrong: Vec<String>,
}

impl Record {
    pub(crate) fn new(script: &Script) -> Record {
        Record { answers: RefCell::new(script.answers.iter().cloned().collect()), seen: RefCell::default() }
    }

    /// How the endpoint that got a request answers it.
    pub(crate) fn next_answer(&self) -> Answer {
        let complete = || Answer { reply: Reply::Complete, framing: Framing::Length, segments: Vec::new() };
        self.answers.borrow_mut().pop_front().unwrap_or_else(complete)
    }

    /// Records a request that a client is about to send.
    pub(crate) fn record_request(&self, id: &str, body: String, may_run_again: bool) {
        let mut seen = self.seen.borrow_mut();
        seen.asked.insert(id.into(), body);
        if may_run_again {
            seen.may_run_again.insert(id.into());
        }
    }

    /// Records that a request arrived at an endpoint; returns the id of the previous arrival at any endpoint.
    pub(crate) fn arrived(&self, id: &str, body: &str) -> Option<String> {
        let mut seen = self.seen.borrow_mut();
        seen.answered.remove(id);
        match seen.asked.get(id) {
            Some(asked) if asked == body => {}
            Some(asked) => {
                let text = format!("{id} arrived with {body:?} instead of {asked:?}");
                seen.wrong.push(text);
            }
            None => seen.wrong.push(format!("nobody asked for {id}")),
        }
        seen.last_arrival.replace(id.into())
    }

    /// Records that an endpoint began to execute a request.
    pub(crate) fn record_execution(&self, id: &str) {
        *self.seen.borrow_mut().runs.entry(id.into()).or_default() += 1;
    }

    /// Records that an endpoint answered a request completely.
    pub(crate) fn answered(&self, id: &str, status: u16) {
        self.seen.borrow_mut().answered.insert(id.into(), status);
    }

    /// Records that the answer of an endpoint to a request may be invalid.
    pub(crate) fn has_no_answer(&self, request: &Message) {
        let id = request.header("Attempt-Id").unwrap_or_default();
        self.seen.borrow_mut().answered.remove(id);
    }

    /// Records that a client received an answer.
    pub(crate) fn record_client_answer(&self, id: &str, status: u16) {
        self.seen.borrow_mut().told.insert(id.into(), status);
    }

    pub(crate) fn record_violation(&self, text: String) {
        self.seen.borrow_mut().wrong.push(text);
    }

    /// The first violation, if there is one.
    pub(crate) fn first_violation(&self) -> Option<String> {
        let seen = self.seen.borrow();
        let mut wrong = seen.wrong.clone();
        for (id, runs) in &seen.runs {
            if *runs > 1 && !seen.may_run_again.contains(id) {
                wrong.push(format!("{id} ran {runs} times"));
            }
            if seen.told.get(id) == Some(&503) && !seen.may_run_again.contains(id) {
                wrong.push(format!("{id} was refused and ran"));
            }
        }
        for (id, status) in &seen.answered {
            if seen.told.get(id).is_some_and(|told| told != status) {
                wrong.push(format!("{id} was answered with {status}, its client told {}", seen.told[id]));
            }
        }
        (!wrong.is_empty()).then(|| wrong.join("; "))
    }
}
