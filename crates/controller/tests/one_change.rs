//! Deliberate faults about changes of the configuration: the scenarios on one number must find them, with their own
//! seed or, where chance decides what is lost, with one of the following.

#[path = "common/scenarios.rs"]
mod scenarios;

use lanegate_controller::controller::ControllerFault;
use lanegate_controller::simulation::{Scenario, Violation, World};
use lanegate_coordination::register::Fault;
use scenarios::scenario;

/// Seeds from a scenario's own on with which a fault is looked for that shows by chance.
const SEEDS: u64 = 16;

fn played(name: &str, fault: ControllerFault, seeds: u64) -> Option<Violation> {
    let scenario = scenario(name);
    let first = scenario.seed;
    (first..first + seeds).find_map(|seed| {
        let play = Scenario { seed, ..scenario.clone() };
        World::play(&play, Some(fault)).err()
    })
}

fn check(name: &str, fault: ControllerFault) {
    check_with(name, fault, 1);
}

fn check_with(name: &str, fault: ControllerFault, seeds: u64) {
    let violation = played(name, fault, seeds);
    println!("{name}, {fault:?}: {violation:?}");
    assert!(violation.is_some(), "{name} does not find {fault:?}");
}

#[test]
fn an_acknowledgement_of_an_uncommitted_change_is_found_across_a_partition() {
    check("one-number-across-a-cut", ControllerFault::AcknowledgeProposed);
}

#[test]
fn a_majority_that_is_too_small_is_found_across_a_partition() {
    check("one-number-across-a-cut", ControllerFault::Register(Fault::SmallMajority));
}

#[test]
fn a_vote_right_after_a_wipe_shows() {
    check("wiped-controller-and-one-behind", ControllerFault::Register(Fault::VoteAfterWipe));
}

#[test]
fn a_vote_before_its_record_is_durable_shows() {
    check_with(
        "stalled-disks-acknowledge-nothing",
        ControllerFault::Register(Fault::ReplyBeforePersist),
        SEEDS,
    );
}
