//! Drawing a day.

use crate::day::{Day, Entry};
use crate::entry::draw_number;
use crate::faults::{InjectedFault, draw_faults};
use crate::kind::{Part, Slot};
use crate::profile::Profile;
use crate::site::{Site, StandardDay};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use toml::{Table, Value};

/// Down time at the end of the day, seconds.
const CLOSING_DOWN_S: (f64, f64) = (0.6, 3.0);

/// The three ends of a day, each with its variants.
const CLOSINGS: [(&str, Slot); 3] = [
    ("power_off_all", &["", "", "timed", "taken"]),
    ("wipe_after_ack", &["", "aimed", "timed", "taken", "oldest", "oldest timed"]),
    ("kill_all", &["", "", "timed", "taken"]),
];

/// What the names of mixed days begin with.
const MIXED_LABEL: &str = "drawn";

/// Largest seed of a day.
const MAX_DAY_SEED: i64 = 1 << 31;

/// Distance of the generators of two days of one seed (an odd number near 2^64 / golden ratio).
const DAY_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// How days are drawn.
#[derive(Debug, Clone, Copy)]
pub struct Draw {
    /// Same seed, same days.
    pub seed: u64,
    /// What the days are made of.
    pub profile: Profile,
}

impl Draw {
    /// What the names of its days and of their files say beside the seed; nothing for mixed days.
    pub fn label(self) -> Option<&'static str> {
        match self.profile {
            Profile::Mixed { .. } => None,
            Profile::Planned | Profile::Orders => Some(self.profile.name()),
        }
    }
}

/// Draws day `number` of a seed. Days of one seed do not depend on each other.
///
/// # Panics
///
/// When the site has no day of its own, which `Site::read` refuses.
pub fn draw_day(site: &Site, draw: Draw, number: u32) -> Day {
    let Draw { seed, profile } = draw;
    let stream = seed.wrapping_add(DAY_STRIDE.wrapping_mul(u64::from(number) + 1));
    let mut random = SmallRng::seed_from_u64(stream);
    let standard = site.days().choose(&mut random).expect("a site has a day");
    let name = format!("{}-{seed}-{number}", draw.label().unwrap_or(MIXED_LABEL));
    let head = draw_head(standard, name, &mut random);
    let faults = draw_faults(site, profile, &mut random);
    let mut plan: Vec<Table> = standard.demand_shifts().cloned().collect();
    plan.extend(tables(&faults, Part::Plan));
    Day {
        origin: origin(site, draw, number),
        head,
        plan,
        faults: tables(&faults, Part::Faults),
        traffic: standard.traffic.clone(),
    }
}

fn origin(site: &Site, draw: Draw, number: u32) -> String {
    let made_of = match draw.profile {
        Profile::Mixed { weights, .. } => format!("weights {}", weights.name()),
        Profile::Planned | Profile::Orders => format!("profile {}", draw.profile.name()),
    };
    format!("Drawn for {}: seed {}, day {number}, {made_of}.", site.name, draw.seed)
}

fn draw_head(standard: &StandardDay, name: String, random: &mut SmallRng) -> Table {
    let mut head = Table::new();
    head.insert("name".into(), Value::String(name));
    head.insert("slot".into(), Value::String("trouble".into()));
    head.insert("seed".into(), Value::Integer(random.random_range(1..MAX_DAY_SEED)));
    head.insert("closing".into(), Value::Table(draw_closing(random)));
    head.insert("one".into(), standard.one.clone());
    head.insert("zero".into(), standard.zero.clone());
    head.insert("goal".into(), standard.goal.clone());
    head.insert("floor_classes".into(), standard.floor_classes.clone());
    head.insert("floor_zones".into(), standard.floor_zones.clone());
    head.insert("wall".into(), standard.wall.clone());
    head.insert("labels".into(), Value::Array(Vec::new()));
    head
}

fn draw_closing(random: &mut SmallRng) -> Table {
    let (kind, variants) = CLOSINGS.choose(random).expect("there are closings");
    let how = variants.choose(random).expect("a closing has variants");
    let mut closing = Table::new();
    closing.insert("kind".into(), Value::String((*kind).into()));
    closing.insert("down_s".into(), Value::Float(draw_number(random, CLOSING_DOWN_S)));
    if !how.is_empty() {
        closing.insert("how".into(), Value::String((*how).into()));
    }
    closing
}

/// The entries of one list, in order of time.
fn tables(faults: &[InjectedFault], part: Part) -> Vec<Table> {
    let mut entries: Vec<&Entry> =
        faults.iter().filter(|fault| fault.part() == part).map(|fault| &fault.entry).collect();
    entries.sort_by(|left, right| left.at.total_cmp(&right.at));
    entries.into_iter().map(Entry::to_table).collect()
}
