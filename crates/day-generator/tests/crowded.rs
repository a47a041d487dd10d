//! Crowded days hold what their profile is for, within its ranges, and little else.

use day_generator::catalogue::{Field, Part, Scope};
use day_generator::crowd::Crowd;
use day_generator::{Draw, Profile, Site, draw_day};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;
use toml::{Table, Value};

const SITES: [&str; 2] = ["fjord-pilotage", "atoll-clinic"];

/// Time from SIGTERM to the hard end of a router, seconds: GraceS of the sites less the router's margin.
const ROUTER_END_S: f64 = 7.4;

/// Time after a change's acknowledgement for which it counts as planned work, seconds: ConfigApplyMs + 1 s.
const CHANGE_WINDOW_S: f64 = 2.8;

fn site(name: &str) -> Site {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/sites/{name}/{name}.toml"));
    Site::read(&file).expect("the site file can be read")
}

fn day(site: &Site, seed: u64, profile: Profile, number: u32) -> Table {
    draw_day(site, Draw { seed, profile }, number).to_string().parse().expect("a day file is TOML")
}

fn entries<'a>(day: &'a Table, key: &str) -> Vec<&'a Table> {
    let list = day[key].as_array().expect("a list of entries");
    list.iter().map(|entry| entry.as_table().expect("an entry is a table")).collect()
}

fn all_entries(day: &Table) -> Vec<(Part, &Table)> {
    let plan = entries(day, "plan").into_iter().map(|entry| (Part::Plan, entry));
    plan.chain(entries(day, "faults").into_iter().map(|entry| (Part::Faults, entry))).collect()
}

fn text<'a>(entry: &'a Table, key: &str) -> &'a str {
    entry.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn number(entry: &Table, key: &str) -> Option<f64> {
    let value = entry.get(key)?;
    value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))
}

fn is_in_range(entry: &Table, field: &Field) -> bool {
    number(entry, field.key).is_some_and(|value| (field.low..=field.high).contains(&value))
}

/// Whether the crowd may hold this entry.
fn is_of(crowd: &Crowd, part: Part, entry: &Table) -> bool {
    let on_core = text(entry, "on") == "core";
    crowd.members.iter().map(|member| member.kind).any(|kind| {
        kind.part == part
            && kind.name == text(entry, "kind")
            && on_core == (kind.scope == Scope::Core)
            && kind.fields.iter().all(|field| is_in_range(entry, field))
    })
}

fn crowd(profile: Profile) -> &'static Crowd {
    profile.crowd().expect("a crowded profile has a crowd")
}

/// Shifts of demand in the plan that belong to the traffic of the standard day, at the most.
const MOST_SHIFTS_OF_TRAFFIC: usize = 3;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_crowded_day_is_full_of_its_crowd(
        seed: u64,
        number in 0u32..1000,
        profile in prop::sample::select(Profile::CROWDED.to_vec()),
        name in prop::sample::select(SITES.to_vec()),
    ) {
        let site = site(name);
        let day = day(&site, seed, profile, number);
        let crowd = crowd(profile);
        let all = all_entries(&day);
        let of_crowd = all.iter().filter(|(part, entry)| is_of(crowd, *part, entry)).count();
        prop_assert!(of_crowd > crowd.size.least, "{of_crowd} of the crowd");
        let others = all.len() - of_crowd;
        prop_assert!(others <= crowd.others.most + MOST_SHIFTS_OF_TRAFFIC, "{others} others");
        for (_, entry) in all {
            prop_assert!(number_at(entry) >= 1.0 && number_at(entry) <= site.length_s);
        }
    }

    #[test]
    fn a_crowded_day_depends_on_nothing_but_its_seed_and_number(
        seed: u64,
        number in 0u32..1000,
        profile in prop::sample::select(Profile::CROWDED.to_vec()),
    ) {
        let site = site("fjord-pilotage");
        let own = day(&site, seed, profile, number);
        prop_assert_eq!(&own, &day(&site, seed, profile, number));
        prop_assert_ne!(&own, &day(&site, seed, profile, number + 1));
    }
}

fn number_at(entry: &Table) -> f64 {
    number(entry, "at").expect("an entry has a time")
}

#[test]
fn every_member_of_a_crowd_comes() {
    let site = site("atoll-clinic");
    for profile in Profile::CROWDED {
        let days: Vec<Table> = (0..500).map(|number| day(&site, 3, profile, number)).collect();
        for member in crowd(profile).members {
            let comes = |entry: &&Table| {
                text(entry, "kind") == member.kind.name
                    && (text(entry, "on") == "core") == (member.kind.scope == Scope::Core)
            };
            let list = if member.kind.part == Part::Plan { "plan" } else { "faults" };
            let came = days.iter().flat_map(|day| entries(day, list)).filter(comes).count();
            assert!(came > 0, "{} never came in {} days", member.kind.name, profile.name());
        }
    }
}

#[test]
fn a_kind_comes_three_times_at_most_on_one_class_of_machines() {
    let site = site("atoll-clinic");
    for profile in Profile::CROWDED {
        for number in 0..200 {
            let day = day(&site, 3, profile, number);
            let mut counts = BTreeMap::new();
            for (part, entry) in all_entries(&day) {
                let is_shift = text(entry, "kind") == "model_shift";
                if part == Part::Faults || !is_shift {
                    *counts.entry((text(entry, "kind"), text(entry, "on"))).or_insert(0) += 1;
                }
            }
            assert!(counts.values().all(|count| *count <= 3), "{counts:?}");
        }
    }
}

/// The moments at which routers that were asked to end in turn are at their end.
fn router_ends(day: &Table, routers: u32) -> Vec<f64> {
    let rolls = entries(day, "plan").into_iter().filter(|entry| {
        text(entry, "kind") == "roll_term" && text(entry, "on").is_empty() && text(entry, "how") != "remove"
    });
    rolls.flat_map(|roll| ends_of(roll, routers)).collect()
}

fn ends_of(roll: &Table, routers: u32) -> Vec<f64> {
    let at_once = number(roll, "x").unwrap_or(1.0);
    let stopped = (number(roll, "share").unwrap_or(1.0) * f64::from(routers)).ceil() as u32;
    let gap_s = number(roll, "gap_s").unwrap_or(1.0);
    (0..stopped)
        .map(|place| number_at(roll) + (f64::from(place) / at_once).floor() * gap_s + ROUTER_END_S)
        .collect()
}

/// Spans in which some change of the configuration counts as planned work.
fn change_spans(day: &Table) -> Vec<(f64, f64)> {
    let changes = entries(day, "plan").into_iter().filter(|entry| text(entry, "kind").starts_with("config_"));
    changes
        .map(|change| {
            let length = match text(change, "kind") {
                "config_storm" => number(change, "for_s").unwrap_or(0.0),
                _ => 0.0,
            };
            (number_at(change), number_at(change) + length + CHANGE_WINDOW_S)
        })
        .collect()
}

fn ends_beside_a_change(day: &Table, length_s: f64) -> bool {
    let spans = change_spans(day);
    router_ends(day, 4)
        .iter()
        .any(|end| *end < length_s && spans.iter().any(|(from, to)| (*from..=*to).contains(end)))
}

#[test]
fn most_days_of_planned_work_end_a_router_beside_a_change() {
    let site = site("atoll-clinic");
    let share = |profile| {
        let days =
            (0..300).filter(|number| ends_beside_a_change(&day(&site, 3, profile, *number), site.length_s));
        days.count() as f64 / 300.0
    };
    let mixed = share(Profile::mixed(day_generator::Weights::Control));
    let planned = share(Profile::Planned);
    assert!(planned > 0.6, "{planned} of the planned days");
    assert!(mixed < 0.25, "{mixed} of the mixed days");
}
