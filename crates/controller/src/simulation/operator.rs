//! Simulated operators, which change the configuration, read it back, and retry as real ones do.

use super::calls::{CallLimits, Content, Purpose};
use super::change::Form;
use super::checks::Check;
use super::host::Host;
use super::step::Step;
use super::world::World;
use crate::controller::{Answer, Method};
use bytes::Bytes;
use rand::Rng;
use std::time::Duration;

/// Path at which the configuration is read and changed.
const PATH: &str = "/config";
/// Time after which an operator that tries one controller after another gives up.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of attempts from which a 4xx status without a special meaning counts as a final refusal.
const MAX_REFUSALS: usize = 3;
/// Versions increase by a random step of up to this.
const MAX_VERSION_STEP: u64 = 3;

/// How an operator interprets the status of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Success,
    Conflict,
    Invalid,
    /// Not found.
    Missing,
    /// The outcome is not known.
    RetryElsewhere,
}

impl Verdict {
    fn of(status: u16, attempts: usize) -> Self {
        match status {
            200..=299 => Verdict::Success,
            409 | 412 => Verdict::Conflict,
            400 | 413 | 422 => Verdict::Invalid,
            408 | 429 => Verdict::RetryElsewhere,
            404 => Verdict::Missing,
            401..=499 if attempts >= MAX_REFUSALS => Verdict::Invalid,
            _ => Verdict::RetryElsewhere,
        }
    }
}

impl World {
    /// Executes a step of operators.
    pub(super) fn operate(&mut self, step: &Step) {
        match *step {
            Step::Put { form, via, only } => {
                let base = self.history.newest_known;
                let version = self.next_version(base);
                self.send_change(form, base, version, via, only);
            }
            Step::Rivals { first, second } => {
                let base = self.history.newest_known;
                let version = self.next_version(base);
                self.send_change(Form::Put, base, version, first, false);
                self.send_change(Form::Put, base, version, second, false);
            }
            Step::Again { number, via, only } => {
                let last = self.history.changes.len();
                let number = number.unwrap_or(last);
                if number > 0 && number <= last {
                    self.history.change_sent_again(number);
                    self.call_change(number, via, only);
                }
            }
            Step::Read { via, only } => {
                let number = self.history.read_started();
                let content =
                    Content { method: Method::Get, path: PATH.into(), if_match: None, body: Bytes::new() };
                self.begin_call(Purpose::Read(number), Host::Operator, content, via, call_limits(only));
            }
            _ => {}
        }
    }

    fn next_version(&mut self, base: u64) -> u64 {
        base + self.random.random_range(1..=MAX_VERSION_STEP)
    }

    fn send_change(&mut self, form: Form, base: u64, version: u64, via: usize, only: bool) {
        let number = self.history.change_sent(form, base, version);
        self.call_change(number, via, only);
    }

    fn call_change(&mut self, number: usize, via: usize, only: bool) {
        let Some(sent) = self.history.change(number) else { return };
        let change = &sent.change;
        let content = Content {
            method: change.method(),
            path: PATH.into(),
            if_match: Some(change.base),
            body: change.body.clone(),
        };
        self.begin_call(Purpose::Change(number), Host::Operator, content, via, call_limits(only));
    }

    /// Handles an answer to a change. Returns true if the operator does not retry.
    pub(super) fn change_answered(&mut self, number: usize, answer: &Answer, attempts: usize) -> bool {
        match Verdict::of(answer.status, attempts) {
            Verdict::Success => {
                self.history.change_accepted(number);
                let version = self.history.newest_acknowledged;
                let due = self.now() + self.apply_bound();
                self.check_from(due, |until| Check::Applied { version, until });
            }
            Verdict::Conflict => {
                if let Some(version) = current_version(answer) {
                    self.history.newest_known = self.history.newest_known.max(version);
                }
                self.history.change_refused(number, false);
            }
            Verdict::Invalid => self.history.change_refused(number, true),
            Verdict::Missing | Verdict::RetryElsewhere => return false,
        }
        true
    }

    /// Handles an answer to a read. Returns true if the operator does not retry.
    pub(super) fn read_answered(&mut self, number: usize, answer: &Answer, attempts: usize) -> bool {
        match Verdict::of(answer.status, attempts) {
            Verdict::Success => self.history.read_served(number, &answer.body),
            Verdict::Missing => self.history.read_missing(number),
            _ => return false,
        }
        true
    }
}

fn call_limits(only: bool) -> CallLimits {
    let attempts = if only { 1 } else { usize::MAX };
    CallLimits { time: OPERATOR_TIMEOUT, attempts }
}

/// The version that a controller reports as current.
fn current_version(answer: &Answer) -> Option<u64> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    body.get("Version")?.as_u64()
}
