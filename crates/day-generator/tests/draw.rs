//! Drawn days are whole, depend on the seed alone, and hold every kind and variant now and then.

use day_generator::catalogue::{Availability, Category, Field, KINDS, Kind, Part, Scope};
use day_generator::{Day, Draw, Profile, Site, Weights, draw_day};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use toml::{Table, Value};

const SITES: [&str; 2] = ["fjord-pilotage", "atoll-clinic"];

/// What every day file must have.
const KEYS: [&str; 14] = [
    "name",
    "slot",
    "seed",
    "closing",
    "one",
    "zero",
    "goal",
    "floor_classes",
    "floor_zones",
    "wall",
    "labels",
    "plan",
    "faults",
    "traffic",
];

const CLOSINGS: [&str; 3] = ["power_off_all", "wipe_after_ack", "kill_all"];

/// Words that say which machine is struck or what meets it.
const MACHINE_WORDS: [&str; 8] = ["turn", "leader", "reader", "seed", "meet", "race", "hard", "drain"];

fn site_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/sites/{name}/{name}.toml"))
}

fn site(name: &str) -> Site {
    Site::read(&site_file(name)).expect("the site file can be read")
}

fn site_table(name: &str) -> Table {
    let text = std::fs::read_to_string(site_file(name)).expect("the site file can be read");
    text.parse().expect("the site file is TOML")
}

fn parsed(day: &Day) -> Table {
    day.to_string().parse().expect("a day file is TOML")
}

fn entries<'a>(day: &'a Table, key: &str) -> Vec<&'a Table> {
    let list = day[key].as_array().expect("a list of entries");
    list.iter().map(|entry| entry.as_table().expect("an entry is a table")).collect()
}

fn text<'a>(entry: &'a Table, key: &str) -> &'a str {
    entry.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn words(entry: &Table) -> Vec<&str> {
    text(entry, "how").split_whitespace().collect()
}

fn number(entry: &Table, key: &str) -> f64 {
    let value = &entry[key];
    value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64)).expect("a number")
}

fn is_in(field: &Field, value: f64) -> bool {
    let within = |(low, high): (f64, f64)| (low..=high).contains(&value);
    within((field.low, field.high)) || field.rare.is_some_and(within)
}

/// Whether an entry of the given list is one that this kind may draw.
fn fits(kind: &Kind, part: Part, entry: &Table) -> bool {
    let on_core = text(entry, "on") == "core";
    kind.part == part
        && kind.name == text(entry, "kind")
        && on_core == (kind.scope == Scope::Core)
        && kind
            .fields
            .iter()
            .all(|field| entry.contains_key(field.key) && is_in(field, number(entry, field.key)))
        && words(entry).iter().all(|word| may_say(kind, word))
        && kind.slots.iter().all(|slot| slot.contains(&"") || slot.iter().any(|phrase| says(entry, phrase)))
}

fn may_say(kind: &Kind, word: &str) -> bool {
    let of_slots =
        kind.slots.iter().flat_map(|slot| slot.iter()).flat_map(|phrase| phrase.split_whitespace());
    of_slots.into_iter().any(|known| known == word) || (kind.chooses_machine && MACHINE_WORDS.contains(&word))
}

fn says(entry: &Table, phrase: &str) -> bool {
    phrase.split_whitespace().all(|word| words(entry).contains(&word))
}

/// The faults of a day, without the shifts of demand that belong to the traffic.
fn faults(day: &Table) -> Vec<(Part, &Table)> {
    let plan = entries(day, "plan").into_iter().map(|entry| (Part::Plan, entry));
    let faults = entries(day, "faults").into_iter().map(|entry| (Part::Faults, entry));
    plan.chain(faults).filter(|(_, entry)| text(entry, "kind") != "model_shift").collect()
}

fn draw(seed: u64, weights: Weights) -> Draw {
    Draw { seed, profile: Profile::mixed(weights) }
}

/// Days 0 to `count` of one seed, as they stand in their files.
fn days(site: &Site, weights: Weights, count: u32) -> Vec<Table> {
    (0..count).map(|number| parsed(&draw_day(site, draw(7, weights), number))).collect()
}

fn any_weights() -> impl Strategy<Value = Weights> {
    prop::sample::select(Weights::ALL.to_vec())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_day_depends_on_nothing_but_its_seed_and_number(seed: u64, number in 0u32..1000, weights in any_weights()) {
        let site = site("fjord-pilotage");
        let day = draw_day(&site, draw(seed, weights), number);
        prop_assert_eq!(&day, &draw_day(&site, draw(seed, weights), number));
        prop_assert_ne!(&day, &draw_day(&site, draw(seed, weights), number + 1));
    }

    #[test]
    fn a_day_has_all_that_a_day_needs(
        seed: u64,
        number in 0u32..1000,
        weights in any_weights(),
        name in prop::sample::select(SITES.to_vec()),
    ) {
        let site = site(name);
        let day = parsed(&draw_day(&site, draw(seed, weights), number));
        for key in KEYS {
            prop_assert!(day.contains_key(key), "no {}", key);
        }
        let closing = day["closing"].as_table().unwrap();
        prop_assert!(CLOSINGS.contains(&text(closing, "kind")));
        let drawn = faults(&day);
        prop_assert!((6..=13).contains(&drawn.len()), "{} faults", drawn.len());
        for (part, entry) in drawn {
            prop_assert!(KINDS.iter().any(|kind| fits(kind, part, entry)), "{:?} fits no kind", entry);
            prop_assert!((1.0..=site.length_s).contains(&number_at(entry)));
        }
    }

    #[test]
    fn places_and_traffic_are_those_of_the_site(seed: u64, number in 0u32..1000) {
        let site = site("fjord-pilotage");
        let day = parsed(&draw_day(&site, draw(seed, Weights::Endpoints), number));
        for (_, entry) in faults(&day) {
            for (key, known) in [
                ("zone", site.zones()),
                ("to_zone", site.zones()),
                ("service", site.services()),
                ("class", site.classes()),
            ] {
                prop_assert!(!entry.contains_key(key) || known.contains(&text(entry, key)), "{:?}", entry);
            }
        }
        let of_site = site_table("fjord-pilotage");
        let own = entries(&of_site, "day");
        let taken = ["one", "zero", "goal", "floor_classes", "floor_zones", "wall", "traffic"];
        prop_assert!(own.iter().any(|standard| taken.iter().all(|key| standard[*key] == day[*key])));
    }
}

fn number_at(entry: &Table) -> f64 {
    number(entry, "at")
}

#[test]
fn every_kind_with_every_variant_comes() {
    let site = site("fjord-pilotage");
    let days = days(&site, Weights::Even, 4000);
    let drawn: Vec<(Part, &Table)> = days.iter().flat_map(faults).collect();
    for kind in KINDS.iter().filter(|kind| kind.availability == Availability::Always) {
        let own: Vec<&Table> =
            drawn.iter().filter(|(part, entry)| fits(kind, *part, entry)).map(|(_, entry)| *entry).collect();
        assert!(!own.is_empty(), "{} never came", kind.name);
        for phrase in kind.slots.iter().flat_map(|slot| slot.iter()) {
            assert!(own.iter().any(|entry| says(entry, phrase)), "{} never came as {phrase:?}", kind.name);
        }
        for word in MACHINE_WORDS.iter().filter(|_| kind.chooses_machine) {
            assert!(own.iter().any(|entry| says(entry, word)), "{} never came with {word}", kind.name);
        }
    }
}

#[test]
fn kinds_that_a_site_does_not_know_stay_away() {
    let site = site("fjord-pilotage");
    let unknown: BTreeSet<&str> =
        KINDS.iter().filter(|kind| !site.knows(kind)).map(|kind| kind.name).collect();
    assert_eq!(unknown, BTreeSet::from(["big_config", "idle_race", "lossy", "srv_flap", "srv_lying_health"]));
    for day in days(&site, Weights::Even, 500) {
        assert!(faults(&day).iter().all(|(_, entry)| !unknown.contains(text(entry, "kind"))));
    }
}

#[test]
fn a_kind_comes_more_than_once_but_three_times_at_most() {
    let mut most = 0;
    for day in days(&site("atoll-clinic"), Weights::Control, 300) {
        let mut counts = BTreeMap::new();
        for (_, entry) in faults(&day) {
            *counts.entry(text(entry, "kind").to_owned()).or_insert(0) += 1;
        }
        most = most.max(counts.into_values().max().unwrap_or(0));
    }
    assert_eq!(most, 3);
}

#[test]
fn harsher_days_have_more_faults() {
    let site = site("atoll-clinic");
    let of_at_most =
        |max_faults| Draw { seed: 7, profile: Profile::Mixed { weights: Weights::Control, max_faults } };
    let counts = (0..200).map(|number| faults(&parsed(&draw_day(&site, of_at_most(25), number))).len());
    assert_eq!(counts.max(), Some(25));
    assert_eq!(faults(&parsed(&draw_day(&site, of_at_most(0), 0))).len(), 6);
    let endless = of_at_most(usize::MAX);
    assert!((0..200).all(|number| faults(&parsed(&draw_day(&site, endless, number))).len() <= 60));
}

#[test]
fn not_all_routers_leave() {
    for day in days(&site("fjord-pilotage"), Weights::Even, 2000) {
        let all = faults(&day);
        let leaving =
            all.iter().filter(|(_, entry)| says(entry, "remove")).map(|(_, entry)| number(entry, "share"));
        let leaving: f64 = leaving.sum();
        assert!(leaving <= 0.75, "{leaving} of the routers leave");
    }
}

#[test]
fn no_service_is_gone_for_good() {
    for day in days(&site("fjord-pilotage"), Weights::Even, 2000) {
        let all = faults(&day);
        assert!(!all.iter().any(|(_, entry)| says(entry, "gone all") && text(entry, "kind") == "srv_crash"));
    }
}

#[test]
fn several_faults_come_at_once() {
    let days = days(&site("atoll-clinic"), Weights::Control, 100);
    let crowded = days.iter().filter(|day| most_within(day, 1.5) >= 3).count();
    assert!(crowded >= 60, "only {crowded} of 100 days have three faults within 1.5 s");
}

/// The most faults that begin within some span of this length, seconds.
fn most_within(day: &Table, span_s: f64) -> usize {
    let starts: Vec<f64> = faults(day).iter().map(|(_, entry)| number_at(entry)).collect();
    let after = |start: f64| starts.iter().filter(|other| (start..=start + span_s).contains(other)).count();
    starts.iter().map(|start| after(*start)).max().unwrap_or(0)
}

#[test]
fn weights_shift_what_is_drawn() {
    let site = site("fjord-pilotage");
    let share = |weights| {
        let days = days(&site, weights, 300);
        let drawn: Vec<_> = days.iter().flat_map(faults).collect();
        let of_endpoints =
            drawn.iter().filter(|(part, entry)| is_of(Category::Endpoint, *part, entry)).count();
        of_endpoints as f64 / drawn.len() as f64
    };
    assert!(share(Weights::Control) < 0.15);
    assert!(share(Weights::Endpoints) > 0.35);
}

fn is_of(category: Category, part: Part, entry: &Table) -> bool {
    KINDS.iter().any(|kind| kind.category == category && fits(kind, part, entry))
}

#[test]
fn weights_are_known_by_name() {
    for weights in Weights::ALL {
        assert_eq!(weights.name().parse(), Ok(weights));
    }
    assert!("none".parse::<Weights>().unwrap_err().to_string().contains("control, even, endpoints"));
}
