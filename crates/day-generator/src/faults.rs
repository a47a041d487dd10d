//! Which troubles a day has, and when they begin.

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

/// Fewest troubles of a mixed day, planned work included.
const FEWEST_TROUBLES: usize = 6;

/// No mixed day has more troubles than this; kinds would run out not far beyond.
const MOST_TROUBLES: usize = 60;

/// Most troubles of one kind in a day.
const MOST_OF_A_KIND: usize = 3;

/// Most moments at which several troubles of a mixed day come together.
const MOST_MOMENTS: usize = 3;

/// How often a trouble of a mixed day comes at one of the moments.
const MOMENT_CHANCE: f64 = 0.6;

/// Troubles of one moment begin within this time, seconds.
const MOMENT_LENGTH_S: f64 = 1.5;

/// The first trouble comes no earlier, seconds.
const EARLIEST_S: f64 = 1.0;

/// Time between the last trouble and the end of traffic, seconds.
const LAST_BEFORE_END_S: f64 = 2.0;

/// A trouble of a day, and the kind that it was drawn from.
#[derive(Debug)]
pub struct Trouble {
    pub kind: Kind,
    pub entry: Entry,
}

impl Trouble {
    /// The list of the day in which it stands.
    pub fn part(&self) -> Part {
        self.kind.part
    }
}

/// Draws all troubles of a day.
pub fn draw_troubles(site: &Site, profile: Profile, random: &mut SmallRng) -> Vec<Trouble> {
    match profile {
        Profile::Mixed { weights, most_troubles } => draw_mixed(site, weights, most_troubles, random),
        Profile::Planned | Profile::Orders => {
            profile.crowd().map(|crowd| draw_crowded(site, crowd, random)).unwrap_or_default()
        }
    }
}

fn draw_mixed(site: &Site, weights: Weights, most_troubles: usize, random: &mut SmallRng) -> Vec<Trouble> {
    let moments = draw_moments(site, random);
    let most = most_troubles.clamp(FEWEST_TROUBLES, MOST_TROUBLES);
    let wanted = random.random_range(FEWEST_TROUBLES..=most);
    let mut troubles: Vec<Trouble> = Vec::new();
    while troubles.len() < wanted {
        let kind = draw_kind(site, weights, random);
        if troubles.iter().filter(|trouble| trouble.kind.name == kind.name).count() < MOST_OF_A_KIND {
            let at = draw_start(site, &moments, random);
            troubles.push(Trouble { kind: *kind, entry: draw_entry(site, kind, at, random) });
        }
    }
    troubles
}

fn draw_crowded(site: &Site, crowd: &Crowd, random: &mut SmallRng) -> Vec<Trouble> {
    let mut troubles = vec![draw_at_any_time(site, crowd.always, random)];
    let of_crowd = draw_count(crowd.size, random);
    add_drawn(&mut troubles, of_crowd, site, random, |random| draw_member(crowd.members, random));
    let others = draw_count(crowd.others, random);
    add_drawn(&mut troubles, others, site, random, |random| draw_fault(site, random));
    troubles
}

/// Adds `count` troubles of the kinds that `draw` gives, none of them too often.
fn add_drawn(
    troubles: &mut Vec<Trouble>,
    count: usize,
    site: &Site,
    random: &mut SmallRng,
    draw: impl Fn(&mut SmallRng) -> Kind,
) {
    let wanted = troubles.len() + count;
    while troubles.len() < wanted {
        let kind = draw(random);
        let alike = |trouble: &&Trouble| trouble.kind.name == kind.name && trouble.kind.scope == kind.scope;
        if troubles.iter().filter(alike).count() < MOST_OF_A_KIND {
            troubles.push(draw_at_any_time(site, kind, random));
        }
    }
}

fn draw_at_any_time(site: &Site, kind: Kind, random: &mut SmallRng) -> Trouble {
    let at = draw_number(random, (EARLIEST_S, latest(site)));
    Trouble { kind, entry: draw_entry(site, &kind, at, random) }
}

fn draw_count(count: Count, random: &mut SmallRng) -> usize {
    random.random_range(count.least..=count.most)
}

fn draw_member(members: &[Member], random: &mut SmallRng) -> Kind {
    let shares = WeightedIndex::new(members.iter().map(|member| member.weight));
    members[shares.expect("some member has a weight").sample(random)].kind
}

/// A fault of the catalogue, of every category as often as of any other.
fn draw_fault(site: &Site, random: &mut SmallRng) -> Kind {
    loop {
        let kind = draw_kind(site, Weights::Even, random);
        if kind.part == Part::Faults {
            return *kind;
        }
    }
}

fn draw_moments(site: &Site, random: &mut SmallRng) -> Vec<f64> {
    let count = random.random_range(1..=MOST_MOMENTS);
    (0..count).map(|_| draw_number(random, (EARLIEST_S, latest(site) - MOMENT_LENGTH_S))).collect()
}

/// The latest start of a trouble, seconds.
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
