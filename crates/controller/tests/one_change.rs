//! Deliberate faults about changes of the configuration: the scenarios on one number must find them, with their own
//! seed or, where chance decides what is lost, with one of the following.

#[path = "common/scenarios.rs"]
mod scenarios;

#[path = "common/fault_search.rs"]
mod fault_search;

use fault_search::assert_finds;
use lanegate_controller::controller::ControllerFault;
use lanegate_coordination::register::Fault;

/// Seeds from a scenario's own on with which a fault is looked for that shows by chance.
const SEEDS: u64 = 16;

#[track_caller]
fn check(name: &str, fault: ControllerFault) {
    assert_finds(name, fault, 1);
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
    assert_finds(
        "stalled-disks-acknowledge-nothing",
        ControllerFault::Register(Fault::ReplyBeforePersist),
        SEEDS,
    );
}
