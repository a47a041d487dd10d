//! Conditions that a scenario checks at a step, and their text form.

use super::controller_machine::ControllerMachine;
use super::history::{ChangeStatus, ReadStatus};
use super::host::Host;
use super::violation::Violation;
use super::world::World;
use lanegate_config::instance::InstanceState;
use std::fmt;
use std::str::FromStr;

/// A condition that must hold when the step is reached. Changes and reads are counted from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// The status of a change: `open`, `taken`, `refused`, `invalid` or `unclear`.
    Change { number: usize, status: String },
    /// The status of a read: `open`, `served`, `missing` or `unavailable`.
    Read { number: usize, status: String },
    /// The configuration that a router has is the result of this change.
    Router { router: Host, change: usize },
    /// A router considers an endpoint ready.
    Uses { router: Host, endpoint: Host },
    /// A router does not consider an endpoint ready.
    Avoids { router: Host, endpoint: Host },
    /// An endpoint's drain or end was acknowledged.
    Acknowledged(Host),
    /// An endpoint's drain or end was not acknowledged.
    Unacknowledged(Host),
    /// Every shard's group has this member.
    Member(Host),
    /// No shard's group has this member.
    NoMember(Host),
    /// No running controller knows this one.
    Forgotten(Host),
    /// Every shard's group has this many members.
    GroupSize(usize),
    /// Every running member knows that each shard tolerates this many losses or more in all groups in force.
    Margin(usize),
    /// A controller does not run.
    Down(Host),
    /// This many shards have a controller that acts for them.
    Holders(usize),
    /// A controller acts for some shard.
    Acts(Host),
    /// A controller acts for no shard.
    Idle(Host),
    /// This many orders or more have reached endpoints.
    Orders(usize),
    /// Routers have removed live endpoints from their lists at most this many times.
    Lost(usize),
}

/// Words that cannot be parsed as an expectation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no such expectation")]
pub struct ExpectationParseError;

impl fmt::Display for Expectation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expectation::Change { number, status } => write!(formatter, "change {number} {status}"),
            Expectation::Read { number, status } => write!(formatter, "read {number} {status}"),
            Expectation::Router { router, change } => write!(formatter, "{router} has {change}"),
            Expectation::Uses { router, endpoint } => write!(formatter, "{router} uses {endpoint}"),
            Expectation::Avoids { router, endpoint } => write!(formatter, "{router} avoids {endpoint}"),
            Expectation::Acknowledged(endpoint) => write!(formatter, "{endpoint} acknowledged"),
            Expectation::Unacknowledged(endpoint) => write!(formatter, "{endpoint} unacknowledged"),
            Expectation::Member(host) => write!(formatter, "{host} member"),
            Expectation::NoMember(host) => write!(formatter, "{host} nowhere"),
            Expectation::Forgotten(host) => write!(formatter, "{host} forgotten"),
            Expectation::GroupSize(size) => write!(formatter, "size {size}"),
            Expectation::Margin(losses) => write!(formatter, "margin {losses}"),
            Expectation::Down(host) => write!(formatter, "{host} down"),
            Expectation::Holders(count) => write!(formatter, "holders {count}"),
            Expectation::Acts(host) => write!(formatter, "{host} acts"),
            Expectation::Idle(host) => write!(formatter, "{host} idle"),
            Expectation::Orders(count) => write!(formatter, "orders {count}"),
            Expectation::Lost(count) => write!(formatter, "lost {count}"),
        }
    }
}

impl FromStr for Expectation {
    type Err = ExpectationParseError;

    fn from_str(text: &str) -> Result<Self, ExpectationParseError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let host = |word: &str| word.parse::<Host>().map_err(|_| ExpectationParseError);
        let number = |word: &str| word.parse::<usize>().map_err(|_| ExpectationParseError);
        Ok(match *words.as_slice() {
            ["change", which, status] => {
                Expectation::Change { number: number(which)?, status: status.to_owned() }
            }
            ["read", which, status] => {
                Expectation::Read { number: number(which)?, status: status.to_owned() }
            }
            ["size", size] => Expectation::GroupSize(number(size)?),
            ["margin", losses] => Expectation::Margin(number(losses)?),
            [who, "down"] => Expectation::Down(host(who)?),
            ["holders", count] => Expectation::Holders(number(count)?),
            ["orders", count] => Expectation::Orders(number(count)?),
            ["lost", count] => Expectation::Lost(number(count)?),
            [router, "has", change] => Expectation::Router { router: host(router)?, change: number(change)? },
            [router, "uses", endpoint] => {
                Expectation::Uses { router: host(router)?, endpoint: host(endpoint)? }
            }
            [router, "avoids", endpoint] => {
                Expectation::Avoids { router: host(router)?, endpoint: host(endpoint)? }
            }
            [who, "acknowledged"] => Expectation::Acknowledged(host(who)?),
            [who, "unacknowledged"] => Expectation::Unacknowledged(host(who)?),
            [who, "member"] => Expectation::Member(host(who)?),
            [who, "nowhere"] => Expectation::NoMember(host(who)?),
            [who, "forgotten"] => Expectation::Forgotten(host(who)?),
            [who, "acts"] => Expectation::Acts(host(who)?),
            [who, "idle"] => Expectation::Idle(host(who)?),
            _ => return Err(ExpectationParseError),
        })
    }
}

/// Whether an expectation is met, and what was found.
struct Evaluation {
    is_met: bool,
    found: String,
}

impl Evaluation {
    fn new(is_met: bool, found: impl Into<String>) -> Self {
        Evaluation { is_met, found: found.into() }
    }

    /// The outcome of a condition that either holds or does not.
    fn of(is_met: bool) -> Self {
        Evaluation::new(is_met, if is_met { "that" } else { "not that" })
    }
}

fn change_status_text(status: ChangeStatus) -> &'static str {
    match status {
        ChangeStatus::Open => "open",
        ChangeStatus::Taken => "taken",
        ChangeStatus::Refused => "refused",
        ChangeStatus::Invalid => "invalid",
        ChangeStatus::Unclear => "unclear",
    }
}

fn read_status_text(status: ReadStatus) -> &'static str {
    match status {
        ReadStatus::Open => "open",
        ReadStatus::Served => "served",
        ReadStatus::Missing => "missing",
        ReadStatus::Unavailable => "unavailable",
    }
}

impl World {
    pub(super) fn expect(&self, step: usize, expectation: &Expectation) -> Result<(), Violation> {
        let evaluation = self.evaluate(expectation);
        if evaluation.is_met {
            return Ok(());
        }
        Err(Violation::ExpectationNotMet { step, expected: expectation.to_string(), found: evaluation.found })
    }

    fn evaluate(&self, expectation: &Expectation) -> Evaluation {
        match expectation {
            Expectation::Change { number, status } => {
                let found =
                    self.history.change(*number).map_or("nothing", |sent| change_status_text(sent.status));
                Evaluation::new(found == status, found)
            }
            Expectation::Read { number, status } => {
                let read = self.history.reads.get(number.wrapping_sub(1));
                let found = read.map_or("nothing", |read| read_status_text(read.status));
                Evaluation::new(found == status, found)
            }
            Expectation::Router { router, change } => {
                let found = self.change_at(*router).unwrap_or_default();
                Evaluation::new(found == *change, format!("change {found}"))
            }
            Expectation::Uses { router, endpoint } => Evaluation::of(self.uses(*router, *endpoint)),
            Expectation::Avoids { router, endpoint } => Evaluation::of(!self.uses(*router, *endpoint)),
            Expectation::Acknowledged(endpoint) => Evaluation::of(self.is_acknowledged(*endpoint)),
            Expectation::Unacknowledged(endpoint) => Evaluation::of(!self.is_acknowledged(*endpoint)),
            Expectation::Member(host) => self.every_group(|group| group.contains(host)),
            Expectation::NoMember(host) => self.every_group(|group| !group.contains(host)),
            Expectation::Forgotten(host) => self.is_forgotten(*host),
            Expectation::GroupSize(size) => self.every_group(|group| group.len() == *size),
            Expectation::Margin(losses) => {
                let found = self.fault_tolerances();
                let enough = |margin: &Option<usize>| margin.is_some_and(|margin| margin >= *losses);
                let is_met = !found.is_empty() && found.iter().all(|(_, margin)| enough(margin));
                Evaluation::new(is_met, format!("{found:?}"))
            }
            Expectation::Down(host) => Evaluation::of(self.is_down(*host)),
            Expectation::Holders(count) => {
                let found = self.holders().len();
                Evaluation::new(found == *count, found.to_string())
            }
            Expectation::Acts(host) => Evaluation::of(self.holders().contains(host)),
            Expectation::Idle(host) => Evaluation::of(!self.holders().contains(host)),
            Expectation::Orders(count) => {
                let found = self.history.orders;
                Evaluation::new(found >= *count, found.to_string())
            }
            Expectation::Lost(count) => {
                let found = self.history.lost;
                Evaluation::new(found <= *count, found.to_string())
            }
        }
    }

    /// Whether the newest group of each shard satisfies a condition.
    fn every_group(&self, is_right: impl Fn(&Vec<Host>) -> bool) -> Evaluation {
        let groups = self.newest_groups();
        Evaluation::new(groups.iter().all(is_right), format!("{groups:?}"))
    }

    /// Whether no running controller knows `host`.
    fn is_forgotten(&self, host: Host) -> Evaluation {
        let knows = |machine: &&ControllerMachine| {
            machine.controller().is_some_and(|controller| controller.knows_peer(host.address()))
        };
        let knowing: Vec<Host> =
            self.controllers.iter().filter(knows).map(|machine| Host::Controller(machine.index)).collect();
        Evaluation::new(knowing.is_empty(), format!("known to {}", super::step::names(knowing)))
    }

    /// The change that produced the configuration of a router.
    fn change_at(&self, router: Host) -> Option<usize> {
        let Host::Router(index) = router else { return None };
        super::change::maker(self.routers.get(index)?.known.configuration.as_ref()?)
    }

    /// Whether a router considers an endpoint's present incarnation ready.
    pub(super) fn uses(&self, router: Host, endpoint: Host) -> bool {
        let (Host::Router(router), Host::Endpoint(endpoint)) = (router, endpoint) else { return false };
        let id = self.endpoints[endpoint].id();
        let known = self.routers[router].known.instances.get(&id);
        known.is_some_and(|instance| instance.state == InstanceState::Ready)
    }

    /// The lowest fault tolerance of all shards, as known to each running controller that is a member.
    fn fault_tolerances(&self) -> Vec<(Host, Option<usize>)> {
        let groups = self.newest_groups();
        let is_member = |host: &Host| groups.iter().any(|group| group.contains(host));
        let awake =
            self.controllers.iter().filter(|machine| machine.is_awake() && !machine.is_shutting_down());
        let told = awake.filter_map(|machine| {
            let host = Host::Controller(machine.index);
            Some((host, machine.controller().filter(|_| is_member(&host))?.least_fault_tolerance()))
        });
        told.collect()
    }

    fn is_down(&self, host: Host) -> bool {
        matches!(host, Host::Controller(index) if self.controllers[index].controller().is_none())
    }

    fn is_acknowledged(&self, endpoint: Host) -> bool {
        let Host::Endpoint(index) = endpoint else { return false };
        self.endpoints[index].acknowledged_at.is_some()
    }
}
