//! Deliberate mistakes about changes of the configuration: the scenarios on one number must find them.

#[path = "common/scenarios.rs"]
mod scenarios;

use lanegate_controller::controller::ControllerFault;
use lanegate_controller::simulation::{Violation, World};
use lanegate_coordination::register::Fault;
use scenarios::scenario;

fn played(name: &str, fault: ControllerFault) -> Option<Violation> {
    World::play(&scenario(name), Some(fault)).err()
}

fn check(name: &str, fault: ControllerFault) {
    let violation = played(name, fault);
    println!("{name}, {fault:?}: {violation:?}");
    assert!(violation.is_some(), "{name} does not find {fault:?}");
}

#[test]
fn an_acknowledgement_of_what_is_only_proposed_shows_across_a_cut() {
    check("one-number-across-a-cut", ControllerFault::AcknowledgeProposed);
}

#[test]
fn a_majority_that_is_too_small_shows_across_a_cut() {
    check("one-number-across-a-cut", ControllerFault::Register(Fault::SmallMajority));
}

#[test]
fn a_vote_right_after_a_wipe_shows() {
    check("wiped-controller-and-one-behind", ControllerFault::Register(Fault::VoteAfterWipe));
}

#[test]
fn a_vote_before_its_record_is_durable_shows() {
    check("stalled-disks-acknowledge-nothing", ControllerFault::Register(Fault::ReplyBeforePersist));
}
