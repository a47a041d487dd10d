//! Deliberate faults in what a controller does out of contact with a majority: each must be found by the
//! scenarios that are named for it. Mistakes in the measure of contact itself that no link of the program can
//! bring about are found by the tests beside `contact.rs`.

#[path = "common/scenarios.rs"]
mod scenarios;

use lanegate_controller::controller::{ContactFault, ControllerFault};
use lanegate_controller::simulation::{Scenario, World};
use scenarios::scenario;

/// Every one of the scenarios finds the fault.
fn found_by(fault: ControllerFault, scenarios: &[&str]) {
    for name in scenarios {
        assert!(World::play(&scenario(name), Some(fault)).is_err(), "{fault:?} is not found by {name}");
    }
}

#[test]
fn contact_with_a_majority_one_too_small_is_found() {
    let scenarios = [
        "cut-of-everyone",
        "cut-heartbeats-go-elsewhere",
        "cut-of-a-controller-that-hears-nobody",
        "cut-router-begins-on-the-small-side",
        "cut-router-begins-behind-a-one-way-cut",
    ];
    found_by(ControllerFault::QuorumContact(ContactFault::SmallMajority), &scenarios);
}

#[test]
fn expiry_without_contact_is_found() {
    found_by(ControllerFault::ExpireWithoutContact, &["cut-of-a-controller-that-hears-nobody"]);
}

#[test]
fn a_heartbeat_acknowledged_without_contact_is_found() {
    found_by(ControllerFault::AcknowledgeHeartbeatWithoutContact, &["cut-heartbeats-go-elsewhere"]);
}

#[test]
fn a_refusal_from_what_is_known_locally_is_found() {
    let scenarios = ["cut-off-for-twenty-seconds", "cut-nothing-leaves", "cut-nothing-arrives"];
    found_by(ControllerFault::RefuseLocally, &scenarios);
}

#[test]
fn a_read_of_what_is_known_locally_is_found() {
    let scenarios =
        ["cut-off-for-twenty-seconds", "cut-nothing-leaves", "cut-nothing-arrives", "cut-of-everyone"];
    found_by(ControllerFault::ReadLocally, &scenarios);
}

#[test]
fn a_change_confirmed_without_a_majority_is_found() {
    let scenarios = ["cut-off-for-twenty-seconds", "cut-of-everyone", "change-forwarded-over-a-healing-link"];
    found_by(ControllerFault::AcknowledgeProposed, &scenarios);
}

#[test]
fn a_partitioned_controller_that_claims_to_be_current_is_found() {
    let scenarios = [
        "cut-of-both-sources",
        "cut-router-begins-on-the-small-side",
        "cut-router-begins-behind-a-one-way-cut",
    ];
    found_by(ControllerFault::AlwaysCurrent, &scenarios);
}

#[test]
fn orders_of_a_partitioned_placer_are_found() {
    found_by(ControllerFault::OrderWithoutLease, &["cut-of-the-placer", "cut-of-everyone"]);
}

#[test]
fn one_epoch_for_all_tenures_is_found() {
    found_by(ControllerFault::ReuseEpoch, &["cut-of-the-placer", "frozen-source"]);
}

/// Scenarios of this page, played without a fault on other chance as well.
const PARTITIONS: [&str; 14] = [
    "change-forwarded-over-a-healing-link",
    "cut-heals-during-a-snapshot",
    "cut-heartbeats-go-elsewhere",
    "cut-nothing-arrives",
    "cut-nothing-leaves",
    "cut-of-a-controller-that-hears-nobody",
    "cut-of-both-sources",
    "cut-of-everyone",
    "cut-of-the-placer",
    "cut-of-whoever-expires",
    "cut-off-for-twenty-seconds",
    "cut-router-begins-behind-a-one-way-cut",
    "cut-router-begins-on-the-small-side",
    "frozen-source",
];
/// Seeds for each.
const SEEDS: u64 = 6;

#[test]
fn partition_scenarios_hold_with_every_seed() {
    let plays = PARTITIONS.into_iter().flat_map(|name| (1..=SEEDS).map(move |seed| (name, seed)));
    let broken: Vec<String> = plays
        .filter_map(|(name, seed)| {
            let play = Scenario { seed, ..scenario(name) };
            let violation = World::play(&play, None).err()?;
            Some(format!("{name}, seed {seed}: {violation}"))
        })
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
