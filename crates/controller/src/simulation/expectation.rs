//! What a scenario expects at a moment, and its text form.

use super::history::{ChangeStanding, ReadStanding};
use super::place::Place;
use super::violation::Violation;
use super::world::World;
use lanegate_config::instance::InstanceState;
use std::fmt;
use std::str::FromStr;

/// Something that must be so when the step is reached. Changes and reads are counted from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// What became of a change: `open`, `taken`, `refused`, `invalid` or `unclear`.
    Change { number: usize, standing: String },
    /// What came back for a read: `open`, `served`, `missing` or `unavailable`.
    Read { number: usize, standing: String },
    /// The configuration that a router has is the one that this change made.
    Router { router: Place, change: usize },
    /// A router takes an endpoint to be ready.
    Uses { router: Place, endpoint: Place },
    /// A router does not take an endpoint to be ready.
    Avoids { router: Place, endpoint: Place },
    /// An endpoint's drain or end was acknowledged.
    Acknowledged(Place),
    /// An endpoint's drain or end was not acknowledged.
    Unacknowledged(Place),
    /// Every shard's group has this member.
    Member(Place),
    /// No shard's group has this member.
    NoMember(Place),
    /// Every shard's group has so many members.
    GroupSize(usize),
    /// Every member that runs knows that each shard can bear so many losses, or more, in all groups in force.
    Margin(usize),
    /// A controller does not run.
    Down(Place),
    /// So many shards have a controller that acts for them.
    Holders(usize),
    /// A controller acts for some shard.
    Acts(Place),
    /// A controller acts for no shard.
    Idle(Place),
    /// So many orders, or more, have reached endpoints.
    Orders(usize),
}

/// Words that are no expectation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no such expectation")]
pub struct NoExpectation;

impl fmt::Display for Expectation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expectation::Change { number, standing } => write!(formatter, "change {number} {standing}"),
            Expectation::Read { number, standing } => write!(formatter, "read {number} {standing}"),
            Expectation::Router { router, change } => write!(formatter, "{router} has {change}"),
            Expectation::Uses { router, endpoint } => write!(formatter, "{router} uses {endpoint}"),
            Expectation::Avoids { router, endpoint } => write!(formatter, "{router} avoids {endpoint}"),
            Expectation::Acknowledged(endpoint) => write!(formatter, "{endpoint} acknowledged"),
            Expectation::Unacknowledged(endpoint) => write!(formatter, "{endpoint} unacknowledged"),
            Expectation::Member(place) => write!(formatter, "{place} member"),
            Expectation::NoMember(place) => write!(formatter, "{place} nowhere"),
            Expectation::GroupSize(size) => write!(formatter, "size {size}"),
            Expectation::Margin(losses) => write!(formatter, "margin {losses}"),
            Expectation::Down(place) => write!(formatter, "{place} down"),
            Expectation::Holders(count) => write!(formatter, "holders {count}"),
            Expectation::Acts(place) => write!(formatter, "{place} acts"),
            Expectation::Idle(place) => write!(formatter, "{place} idle"),
            Expectation::Orders(count) => write!(formatter, "orders {count}"),
        }
    }
}

impl FromStr for Expectation {
    type Err = NoExpectation;

    fn from_str(text: &str) -> Result<Self, NoExpectation> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let place = |word: &str| word.parse::<Place>().map_err(|_| NoExpectation);
        let number = |word: &str| word.parse::<usize>().map_err(|_| NoExpectation);
        Ok(match *words.as_slice() {
            ["change", which, standing] => {
                Expectation::Change { number: number(which)?, standing: standing.to_owned() }
            }
            ["read", which, standing] => {
                Expectation::Read { number: number(which)?, standing: standing.to_owned() }
            }
            ["size", size] => Expectation::GroupSize(number(size)?),
            ["margin", losses] => Expectation::Margin(number(losses)?),
            [who, "down"] => Expectation::Down(place(who)?),
            ["holders", count] => Expectation::Holders(number(count)?),
            ["orders", count] => Expectation::Orders(number(count)?),
            [router, "has", change] => {
                Expectation::Router { router: place(router)?, change: number(change)? }
            }
            [router, "uses", endpoint] => {
                Expectation::Uses { router: place(router)?, endpoint: place(endpoint)? }
            }
            [router, "avoids", endpoint] => {
                Expectation::Avoids { router: place(router)?, endpoint: place(endpoint)? }
            }
            [who, "acknowledged"] => Expectation::Acknowledged(place(who)?),
            [who, "unacknowledged"] => Expectation::Unacknowledged(place(who)?),
            [who, "member"] => Expectation::Member(place(who)?),
            [who, "nowhere"] => Expectation::NoMember(place(who)?),
            [who, "acts"] => Expectation::Acts(place(who)?),
            [who, "idle"] => Expectation::Idle(place(who)?),
            _ => return Err(NoExpectation),
        })
    }
}

fn change_word(standing: ChangeStanding) -> &'static str {
    match standing {
        ChangeStanding::Open => "open",
        ChangeStanding::Taken => "taken",
        ChangeStanding::Refused => "refused",
        ChangeStanding::Invalid => "invalid",
        ChangeStanding::Unclear => "unclear",
    }
}

fn read_word(standing: ReadStanding) -> &'static str {
    match standing {
        ReadStanding::Open => "open",
        ReadStanding::Served => "served",
        ReadStanding::Missing => "missing",
        ReadStanding::Unavailable => "unavailable",
    }
}

impl World {
    pub(super) fn expect(&self, step: usize, expectation: &Expectation) -> Result<(), Violation> {
        let (is_met, found) = self.look(expectation);
        if is_met {
            return Ok(());
        }
        Err(Violation::Unmet { step, expected: expectation.to_string(), found })
    }

    /// Whether an expectation is met, and what was found.
    fn look(&self, expectation: &Expectation) -> (bool, String) {
        let truth = |is_met: bool| (is_met, if is_met { "that" } else { "not that" }.to_owned());
        match expectation {
            Expectation::Change { number, standing } => {
                let found = self.history.change(*number).map_or("nothing", |sent| change_word(sent.standing));
                (found == standing, found.to_owned())
            }
            Expectation::Read { number, standing } => {
                let read = self.history.reads.get(number.wrapping_sub(1));
                let found = read.map_or("nothing", |read| read_word(read.standing));
                (found == standing, found.to_owned())
            }
            Expectation::Router { router, change } => {
                let found = self.change_at(*router).unwrap_or_default();
                (found == *change, format!("change {found}"))
            }
            Expectation::Uses { router, endpoint } => truth(self.uses(*router, *endpoint)),
            Expectation::Avoids { router, endpoint } => truth(!self.uses(*router, *endpoint)),
            Expectation::Acknowledged(endpoint) => truth(self.is_acknowledged(*endpoint)),
            Expectation::Unacknowledged(endpoint) => truth(!self.is_acknowledged(*endpoint)),
            Expectation::Member(place) => {
                let groups = self.newest_groups();
                (groups.iter().all(|group| group.contains(place)), format!("{groups:?}"))
            }
            Expectation::NoMember(place) => {
                let groups = self.newest_groups();
                (groups.iter().all(|group| !group.contains(place)), format!("{groups:?}"))
            }
            Expectation::GroupSize(size) => {
                let groups = self.newest_groups();
                (groups.iter().all(|group| group.len() == *size), format!("{groups:?}"))
            }
            Expectation::Margin(losses) => {
                let found = self.margins();
                let enough = |margin: &Option<usize>| margin.is_some_and(|margin| margin >= *losses);
                (!found.is_empty() && found.iter().all(|(_, margin)| enough(margin)), format!("{found:?}"))
            }
            Expectation::Down(place) => truth(self.is_down(*place)),
            Expectation::Holders(count) => {
                let found = self.holders().len();
                (found == *count, found.to_string())
            }
            Expectation::Acts(place) => truth(self.holders().contains(place)),
            Expectation::Idle(place) => truth(!self.holders().contains(place)),
            Expectation::Orders(count) => (self.history.orders >= *count, self.history.orders.to_string()),
        }
    }

    /// The change that made the configuration of a router.
    fn change_at(&self, router: Place) -> Option<usize> {
        let Place::Router(index) = router else { return None };
        super::change::maker(self.routers.get(index)?.known.configuration.as_ref()?)
    }

    /// Whether a router takes an endpoint's present life to be ready.
    pub(super) fn uses(&self, router: Place, endpoint: Place) -> bool {
        let (Place::Router(router), Place::Endpoint(endpoint)) = (router, endpoint) else { return false };
        let id = self.endpoints[endpoint].id();
        let known = self.routers[router].known.instances.get(&id);
        known.is_some_and(|instance| instance.state == InstanceState::Ready)
    }

    /// What each controller that runs and is a member knows of the least margin of all shards.
    fn margins(&self) -> Vec<(Place, Option<usize>)> {
        let groups = self.newest_groups();
        let is_member = |place: &Place| groups.iter().any(|group| group.contains(place));
        let awake = self.controllers.iter().filter(|machine| machine.is_awake() && !machine.is_ending());
        let told = awake.filter_map(|machine| {
            let place = Place::Controller(machine.index);
            Some((place, machine.controller().filter(|_| is_member(&place))?.least_fault_tolerance()))
        });
        told.collect()
    }

    fn is_down(&self, place: Place) -> bool {
        matches!(place, Place::Controller(index) if self.controllers[index].controller().is_none())
    }

    fn is_acknowledged(&self, endpoint: Place) -> bool {
        let Place::Endpoint(index) = endpoint else { return false };
        self.endpoints[index].acknowledged_at.is_some()
    }
}
