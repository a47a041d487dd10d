//! Drawing one fault: its variant, its strength, its length and its place.

use crate::day::Entry;
use crate::kind::{Field, Kind, Scope};
use crate::site::Site;
use crate::variant::draw_variant;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use toml::{Table, Value};

/// How often a number is drawn from its rare range.
const RARE_CHANCE: f64 = 0.15;

/// How often a fault of endpoints is narrowed to one service.
const SERVICE_CHANCE: f64 = 0.7;

/// How often a burst is narrowed, to a zone or to a kind of requests.
const TRAFFIC_CHANCE: f64 = 0.8;

/// Draws a fault of this kind that begins at `at` seconds.
pub(crate) fn draw_entry(site: &Site, kind: &Kind, at: f64, random: &mut SmallRng) -> Entry {
    let how = draw_variant(kind, random);
    let mut fields = Table::new();
    for field in kind.fields {
        fields.insert(field.key.into(), draw_field(field, random));
    }
    insert_scope(&mut fields, site, kind.scope, &how, random);
    Entry { at, kind: kind.name, how, fields }
}

fn draw_field(field: &Field, random: &mut SmallRng) -> Value {
    let range = match field.rare {
        Some(rare) if random.random_bool(RARE_CHANCE) => rare,
        _ => (field.low, field.high),
    };
    if field.is_integer {
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

/// A number from a range, in hundredths.
pub(crate) fn draw_number(random: &mut SmallRng, (low, high): (f64, f64)) -> f64 {
    rounded(random.random_range(low..=high))
}

/// To hundredths, as day files are written.
pub(crate) fn rounded(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}
