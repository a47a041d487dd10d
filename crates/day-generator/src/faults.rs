//! Which faults a day has, and when they begin.

use crate::catalogue::KINDS;
use crate::crowd::{Count, Crowd, Member};
use crate::day::Entry;
use crate::entry::{draw_entry, draw_number, rounded};
use crate::kind::{Category, Kind, Part};
use crate::profile::Profile;
use crate::site::Site;
use crate::weights::Weights;
use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Fewest faults of a mixed day, planned work included.
const MIN_FAULTS: usize = 6;

/// No mixed day has more faults than this; kinds would run out not far beyond.
const MAX_FAULTS: usize = 60;

/// Most faults of one kind in a day.
const MAX_OF_A_KIND: usize = 3;

/// Most moments at which several faults of a mixed day come together.
const MAX_MOMENTS: usize = 3;

/// How often a fault of a mixed day comes at one of the moments.
const MOMENT_CHANCE: f64 = 0.6;

/// Faults of one moment begin within this time, seconds.
const MOMENT_LENGTH_S: f64 = 1.5;

/// The first fault comes no earlier, seconds.
const EARLIEST_S: f64 = 1.0;

/// Time between the last fault and the end of traffic, seconds.
const LAST_BEFORE_END_S: f64 = 2.0;

/// A fault of a day, and the kind that it was drawn from.
#[derive(Debug)]
pub(crate) struct InjectedFault {
    pub(crate) kind: Kind,
    pub(crate) entry: Entry,
}

impl InjectedFault {
    /// The list of the day in which it stands.
    pub(crate) fn part(&self) -> Part {
        self.kind.part
    }
}

/// Draws all faults of a day.
pub(crate) fn draw_faults(site: &Site, profile: Profile, random: &mut SmallRng) -> Vec<InjectedFault> {
    match profile {
        Profile::Mixed { weights, max_faults } => draw_mixed(site, weights, max_faults, random),
        Profile::Planned | Profile::Orders => {
            profile.crowd().map(|crowd| draw_crowded(site, crowd, random)).unwrap_or_default()
        }
    }
}

fn draw_mixed(site: &Site, weights: Weights, max_faults: usize, random: &mut SmallRng) -> Vec<InjectedFault> {
    let moments = draw_moments(site, random);
    let most = max_faults.clamp(MIN_FAULTS, MAX_FAULTS);
    let wanted = random.random_range(MIN_FAULTS..=most);
    let mut faults: Vec<InjectedFault> = Vec::new();
    while faults.len() < wanted {
        let kind = draw_kind(site, weights, random);
        if faults.iter().filter(|fault| fault.kind.name == kind.name).count() < MAX_OF_A_KIND {
            let at = draw_start(site, &moments, random);
            faults.push(InjectedFault { kind: *kind, entry: draw_entry(site, kind, at, random) });
        }
    }
    faults
}

fn draw_crowded(site: &Site, crowd: &Crowd, random: &mut SmallRng) -> Vec<InjectedFault> {
    let mut faults = vec![draw_at_any_time(site, crowd.always, random)];
    let of_crowd = draw_count(crowd.size, random);
    add_drawn(&mut faults, of_crowd, site, random, |random| draw_member(crowd.members, random));
    let others = draw_count(crowd.others, random);
    add_drawn(&mut faults, others, site, random, |random| draw_unplanned_kind(site, random));
    faults
}

/// Adds `count` faults of the kinds that `draw` gives, none of them too often.
fn add_drawn(
    faults: &mut Vec<InjectedFault>,
    count: usize,
    site: &Site,
    random: &mut SmallRng,
    draw: impl Fn(&mut SmallRng) -> Kind,
) {
    let wanted = faults.len() + count;
    while faults.len() < wanted {
        let kind = draw(random);
        let alike = |fault: &&InjectedFault| fault.kind.name == kind.name && fault.kind.scope == kind.scope;
        if faults.iter().filter(alike).count() < MAX_OF_A_KIND {
            faults.push(draw_at_any_time(site, kind, random));
        }
    }
}

fn draw_at_any_time(site: &Site, kind: Kind, random: &mut SmallRng) -> InjectedFault {
    let at = draw_number(random, (EARLIEST_S, latest(site)));
    InjectedFault { kind, entry: draw_entry(site, &kind, at, random) }
}

fn draw_count(count: Count, random: &mut SmallRng) -> usize {
    random.random_range(count.least..=count.most)
}

fn draw_member(members: &[Member], random: &mut SmallRng) -> Kind {
    let shares = WeightedIndex::new(members.iter().map(|member| member.weight));
    members[shares.expect("some member has a weight").sample(random)].kind
}

/// A fault of the catalogue, of every category as often as of any other.
fn draw_unplanned_kind(site: &Site, random: &mut SmallRng) -> Kind {
    loop {
        let kind = draw_kind(site, Weights::Even, random);
        if kind.part == Part::Faults {
            return *kind;
        }
    }
}

fn draw_moments(site: &Site, random: &mut SmallRng) -> Vec<f64> {
    let count = random.random_range(1..=MAX_MOMENTS);
    (0..count).map(|_| draw_number(random, (EARLIEST_S, latest(site) - MOMENT_LENGTH_S))).collect()
}

/// The latest start of a fault, seconds.
fn latest(site: &Site) -> f64 {
    site.length_s - LAST_BEFORE_END_S
}

fn draw_kind(site: &Site, weights: Weights, random: &mut SmallRng) -> &'static Kind {
    let shares = WeightedIndex::new(Category::ALL.map(|category| weights.of(category)));
    let category = Category::ALL[shares.expect("some category has a weight").sample(random)];
    let known: Vec<&Kind> =
        KINDS.iter().filter(|kind| kind.category == category && site.knows(kind)).collect();
    known.choose(random).expect("every category has a kind for every site")
}

fn draw_start(site: &Site, moments: &[f64], random: &mut SmallRng) -> f64 {
    if random.random_bool(MOMENT_CHANCE) {
        let moment = moments.choose(random).copied().unwrap_or(EARLIEST_S);
        rounded(moment + random.random_range(0.0..MOMENT_LENGTH_S))
    } else {
        draw_number(random, (EARLIEST_S, latest(site)))
    }
}
