//! The requests, answers and committed values of a run, and the checks of the rules that they must obey.

use std::collections::{BTreeMap, BTreeSet};

use super::append::{Command, entries};
use super::violation::Violation;
use crate::register::{Outcome, Value};

/// A request and its answer.
struct Request {
    command: Option<Command>,
    /// The newest revision that was answered before the request.
    newest_answered: u64,
    outcome: Option<Outcome>,
}

/// What happened in the run so far, as far as the rules depend on it.
#[derive(Default)]
pub(super) struct History {
    requests: Vec<Request>,
    values: BTreeMap<u64, Value>,
    /// The newest revision in any answer.
    newest_answered: u64,
    /// Acknowledged numbers, each with the revision of the first acknowledgement.
    acknowledged: BTreeMap<u32, u64>,
    /// Numbers of expired requests, which must never take effect.
    expired: BTreeSet<u32>,
}

impl History {
    /// Records a request and returns its number.
    pub(super) fn record_request(&mut self, command: Option<Command>) -> u64 {
        self.requests.push(Request { command, newest_answered: self.newest_answered, outcome: None });
        self.requests.len() as u64 - 1
    }

    /// The number of the next request.
    pub(super) fn next_request(&self) -> u64 {
        self.requests.len() as u64
    }

    pub(super) fn outcome(&self, request: u64) -> Option<&Outcome> {
        self.requests.get(usize::try_from(request).ok()?)?.outcome.as_ref()
    }

    /// The newest committed value that any replica has learned.
    pub(super) fn newest(&self) -> Option<&Value> {
        self.values.last_key_value().map(|(_, value)| value)
    }

    /// Records the answer to a request.
    pub(super) fn record_answer(&mut self, request: u64, outcome: Outcome) -> Result<(), Violation> {
        let index = usize::try_from(request).map_err(|_| Violation::UnexpectedAnswer(request))?;
        let entry = self.requests.get_mut(index).filter(|entry| entry.outcome.is_none());
        let entry = entry.ok_or(Violation::UnexpectedAnswer(request))?;
        entry.outcome = Some(outcome.clone());
        let (command, newest_answered) = (entry.command, entry.newest_answered);
        match outcome {
            Outcome::Changed { revision, .. } | Outcome::Unchanged { revision, .. } => {
                if let Some(command) = command {
                    self.acknowledged.entry(command.entry()).or_insert(revision);
                }
                self.check_freshness(request, newest_answered, revision)?;
                self.check_acknowledged()
            }
            Outcome::Refused { revision, .. } => self.check_freshness(request, newest_answered, revision),
            Outcome::Value { revision, state } => {
                self.check_read(revision, &state)?;
                self.check_freshness(request, newest_answered, revision)
            }
            Outcome::Expired => {
                // An expired `Ensure` is left out: another request may have ensured the same number.
                let own = command.filter(|command| !matches!(command, Command::Ensure(_)));
                self.expired.extend(own.map(Command::entry));
                self.check_expired()
            }
            Outcome::Timeout => Ok(()),
        }
    }

    /// An answer must not be older than any answer before the request.
    fn check_freshness(
        &mut self,
        request: u64,
        newest_answered: u64,
        revision: u64,
    ) -> Result<(), Violation> {
        if revision < newest_answered {
            return Err(Violation::StaleAnswer {
                request,
                answered: revision,
                acknowledged: newest_answered,
            });
        }
        self.newest_answered = self.newest_answered.max(revision);
        Ok(())
    }

    fn check_read(&self, revision: u64, state: &[u8]) -> Result<(), Violation> {
        match self.values.get(&revision) {
            Some(value) if value.state != state => Err(Violation::TwoValues(revision)),
            _ => Ok(()),
        }
    }

    /// Records a committed value.
    pub(super) fn record_committed(&mut self, value: &Value) -> Result<(), Violation> {
        let revision = value.revision;
        if let Some(known) = self.values.get(&revision) {
            return if known == value { Ok(()) } else { Err(Violation::TwoValues(revision)) };
        }
        if let Some((earlier, before)) = self.values.range(..revision).next_back()
            && !value.state.starts_with(&before.state)
        {
            return Err(Violation::NotBuiltOn { earlier: *earlier, later: revision });
        }
        if let Some((later, after)) = self.values.range(revision..).next()
            && !after.state.starts_with(&value.state)
        {
            return Err(Violation::NotBuiltOn { earlier: revision, later: *later });
        }
        check_applied_once(&value.state)?;
        self.values.insert(revision, value.clone());
        self.check_expired()?;
        self.check_acknowledged()
    }

    fn check_expired(&self) -> Result<(), Violation> {
        let Some(newest) = self.newest().filter(|_| !self.expired.is_empty()) else {
            return Ok(());
        };
        let effective = entries(&newest.state).into_iter().find(|entry| self.expired.contains(entry));
        effective.map_or(Ok(()), |entry| Err(Violation::ExpiredTookEffect(entry)))
    }

    /// The newest value contains every number that was acknowledged up to its revision.
    fn check_acknowledged(&self) -> Result<(), Violation> {
        let Some(newest) = self.newest() else {
            return Ok(());
        };
        let present: BTreeSet<u32> = entries(&newest.state).into_iter().collect();
        let mut due = self.acknowledged.iter().filter(|(_, revision)| **revision <= newest.revision);
        let lost = due.find(|(entry, _)| !present.contains(entry));
        lost.map_or(Ok(()), |(entry, revision)| Err(Violation::LostChange(*entry, *revision)))
    }
}

fn check_applied_once(state: &[u8]) -> Result<(), Violation> {
    let mut seen = BTreeSet::new();
    let duplicate = entries(state).into_iter().find(|entry| !seen.insert(*entry));
    duplicate.map_or(Ok(()), |entry| Err(Violation::AppliedTwice(entry)))
}
