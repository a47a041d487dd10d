//! Drawing a day.

use crate::catalogue::{Category, Field, KINDS, Kind, Part, Scope, Slot};
use crate::day::{Day, Entry};
use crate::site::{Site, StandardDay};
use crate::variant::draw_variant;
use crate::weights::Weights;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use toml::{Table, Value};

/// Fewest troubles of a day, planned work included.
const FEWEST_TROUBLES: usize = 6;

/// No day has more troubles than this; kinds would run out not far beyond.
const MOST_TROUBLES: usize = 60;

/// Most troubles of one kind in a day.
const MOST_OF_A_KIND: usize = 3;

/// Most moments at which several troubles come together.
const MOST_MOMENTS: usize = 3;

/// How often a trouble comes at one of the moments.
const MOMENT_CHANCE: f64 = 0.6;

/// Troubles of one moment begin within this time, seconds.
const MOMENT_LENGTH_S: f64 = 1.5;

/// The first trouble comes no earlier, seconds.
const EARLIEST_S: f64 = 1.0;

/// Time between the last trouble and the end of traffic, seconds.
const LAST_BEFORE_END_S: f64 = 2.0;

/// How often a number is drawn from its rare range.
const RARE_CHANCE: f64 = 0.15;

/// How often a trouble of endpoints is narrowed to one service.
const SERVICE_CHANCE: f64 = 0.7;

/// How often a burst is narrowed, to a zone or to a kind of requests.
const TRAFFIC_CHANCE: f64 = 0.8;

/// Down time at the end of the day, seconds.
const CLOSING_DOWN_S: (f64, f64) = (0.6, 3.0);

/// The three ends of a day, each with its variants.
const CLOSINGS: [(&str, Slot); 3] = [
    ("power_off_all", &["", "", "timed", "taken"]),
    ("wipe_after_ack", &["", "aimed", "timed", "taken", "oldest", "oldest timed"]),
    ("kill_all", &["", "", "timed", "taken"]),
];

/// Largest seed of a day.
const MOST_DAY_SEED: i64 = 1 << 31;

/// Distance of the generators of two days of one seed (an odd number near 2^64 / golden ratio).
const DAY_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// How days are drawn.
#[derive(Debug, Clone, Copy)]
pub struct Draw {
    /// Same seed, same days.
    pub seed: u64,
    /// What is drawn most.
    pub weights: Weights,
    /// Most troubles of a day, planned work included; taken as 6 to 60.
    pub most_troubles: usize,
}

impl Draw {
    /// Most troubles of a day where nothing else is asked for.
    pub const DEFAULT_MOST_TROUBLES: usize = 13;
}

/// Draws day `number` of a seed. Days of one seed do not depend on each other.
///
/// # Panics
///
/// When the site has no day of its own, which `Site::read` refuses.
pub fn draw_day(site: &Site, draw: Draw, number: u32) -> Day {
    let Draw { seed, weights, .. } = draw;
    let stream = seed.wrapping_add(DAY_STRIDE.wrapping_mul(u64::from(number) + 1));
    let mut random = SmallRng::seed_from_u64(stream);
    let standard = site.days().choose(&mut random).expect("a site has a day");
    let name = format!("drawn-{seed}-{number}");
    let head = draw_head(standard, name, &mut random);
    let troubles = draw_troubles(site, draw, &mut random);
    let mut plan: Vec<Table> = standard.demand_shifts().cloned().collect();
    plan.extend(tables(&troubles, Part::Plan));
    Day {
        origin: format!("Drawn for {}: seed {seed}, day {number}, weights {}.", site.name, weights.name()),
        head,
        plan,
        faults: tables(&troubles, Part::Faults),
        traffic: standard.traffic.clone(),
    }
}

fn draw_head(standard: &StandardDay, name: String, random: &mut SmallRng) -> Table {
    let mut head = Table::new();
    head.insert("name".into(), Value::String(name));
    head.insert("slot".into(), Value::String("trouble".into()));
    head.insert("seed".into(), Value::Integer(random.random_range(1..MOST_DAY_SEED)));
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

fn draw_troubles(site: &Site, draw: Draw, random: &mut SmallRng) -> Vec<(Part, Entry)> {
    let moments = draw_moments(site, random);
    let wanted =
        random.random_range(FEWEST_TROUBLES..=draw.most_troubles.clamp(FEWEST_TROUBLES, MOST_TROUBLES));
    let mut troubles: Vec<(Part, Entry)> = Vec::new();
    while troubles.len() < wanted {
        let kind = draw_kind(site, draw.weights, random);
        if troubles.iter().filter(|(_, entry)| entry.kind == kind.name).count() < MOST_OF_A_KIND {
            troubles.push((kind.part, draw_entry(site, kind, &moments, random)));
        }
    }
    troubles
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

fn draw_entry(site: &Site, kind: &Kind, moments: &[f64], random: &mut SmallRng) -> Entry {
    let at = draw_start(site, moments, random);
    let how = draw_variant(kind, random);
    let mut fields = Table::new();
    for field in kind.fields {
        fields.insert(field.key.into(), draw_field(field, random));
    }
    insert_scope(&mut fields, site, kind.scope, &how, random);
    Entry { at, kind: kind.name, how, fields }
}

fn draw_start(site: &Site, moments: &[f64], random: &mut SmallRng) -> f64 {
    if random.random_bool(MOMENT_CHANCE) {
        let moment = moments.choose(random).copied().unwrap_or(EARLIEST_S);
        rounded(moment + random.random_range(0.0..MOMENT_LENGTH_S))
    } else {
        draw_number(random, (EARLIEST_S, latest(site)))
    }
}

fn draw_field(field: &Field, random: &mut SmallRng) -> Value {
    let range = match field.rare {
        Some(rare) if random.random_bool(RARE_CHANCE) => rare,
        _ => (field.low, field.high),
    };
    if field.whole {
        return Value::Integer(random.random_range(range.0 as i64..=range.1 as i64));
    }
    Value::Float(draw_number(random, range))
}

fn insert_scope(fields: &mut Table, site: &Site, scope: Scope, how: &[&str], random: &mut SmallRng) {
    match scope {
        Scope::Everywhere => {}
        Scope::Core => {
            fields.insert("on".into(), Value::String("core".into()));
        }
        Scope::Service => insert_service(fields, site, random),
        Scope::ServiceAndCallers => {
            insert_service(fields, site, random);
            if how.contains(&"one_zone") {
                insert_one_of(fields, "to_zone", &site.zones(), random);
            }
        }
        Scope::Traffic => insert_traffic(fields, site, random),
        Scope::Zone => insert_one_of(fields, "zone", &site.zones(), random),
    }
}

fn insert_service(fields: &mut Table, site: &Site, random: &mut SmallRng) {
    if random.random_bool(SERVICE_CHANCE) {
        insert_one_of(fields, "service", &site.services(), random);
    }
}

fn insert_traffic(fields: &mut Table, site: &Site, random: &mut SmallRng) {
    if !random.random_bool(TRAFFIC_CHANCE) {
        return;
    }
    if random.random() {
        insert_one_of(fields, "zone", &site.zones(), random);
    } else {
        insert_one_of(fields, "class", &site.classes(), random);
    }
}

fn insert_one_of(fields: &mut Table, key: &str, names: &[&str], random: &mut SmallRng) {
    if let Some(name) = names.choose(random) {
        fields.insert(key.into(), Value::String((*name).into()));
    }
}

fn draw_number(random: &mut SmallRng, (low, high): (f64, f64)) -> f64 {
    rounded(random.random_range(low..=high))
}

/// To hundredths, as day files are written.
fn rounded(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// The entries of one list, in order of time.
fn tables(troubles: &[(Part, Entry)], part: Part) -> Vec<Table> {
    let mut entries: Vec<&Entry> =
        troubles.iter().filter(|(own, _)| *own == part).map(|(_, entry)| entry).collect();
    entries.sort_by(|left, right| left.at.total_cmp(&right.at));
    entries.into_iter().map(Entry::to_table).collect()
}
