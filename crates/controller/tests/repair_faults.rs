//! Deliberate faults in the replacement of members and in what makes an acknowledgement safe: each is found by
//! a scenario that holds without it.

#[path = "common/scenarios.rs"]
mod scenarios;

#[path = "common/fault_search.rs"]
mod fault_search;

#[macro_use]
#[path = "common/finds.rs"]
mod finds;

use fault_search::assert_finds;
use lanegate_controller::controller::{AcknowledgementFault, ControllerFault, ReplacementFault};
use lanegate_controller::simulation::{Scenario, World};
use scenarios::scenario;

/// Seeds with which each scenario is played, its own the first.
const SEEDS: u64 = 8;

/// The scenario must hold with all seeds, and be broken by the fault with one of them.
#[track_caller]
fn found_by(name: &str, fault: ControllerFault) {
    let scenario = scenario(name);
    for seed in scenario.seed..scenario.seed + SEEDS {
        let play = Scenario { seed, ..scenario.clone() };
        let played = World::play(&play, None).map_err(|violation| violation.to_string());
        assert_eq!(played, Ok(()), "{name} with seed {seed}");
    }
    assert_finds(name, fault, SEEDS);
}

finds! {
    found_by;
    suspicions_of_one_shard_applied_to_all:
        ControllerFault::Replacement(ReplacementFault::ShareSuspicions), "replaced-by-different-owners";
    a_spare_that_joins_before_it_can_vote:
        ControllerFault::Replacement(ReplacementFault::JoinBeforeVoting), "spare-joins-once-it-votes";
    own_stall_counted_as_a_timeout:
        ControllerFault::Replacement(ReplacementFault::CountOwnStall), "owner-frozen";
    one_change_of_members_at_a_time:
        ControllerFault::Replacement(ReplacementFault::OneChangeAtATime), "shards-changed-together";
    a_group_with_its_majority_in_one_zone:
        ControllerFault::Replacement(ReplacementFault::IgnoreFailureDomains), "zone-lost-with-its-disks";
    a_member_that_ends_without_handing_over:
        ControllerFault::ShutDownWithoutHandover, "leaving-while-another-is-down";
    an_end_that_others_ignore:
        ControllerFault::IgnoreDraining, "leaving-member-hands-over";
    confirmations_of_controllers_that_are_no_members:
        ControllerFault::Acknowledgement(AcknowledgementFault::CountNonMembers), "drain-at-one-with-spares-only";
    an_end_acknowledged_before_it_is_on_disk:
        ControllerFault::Acknowledgement(AcknowledgementFault::CountUnwritten), "end-on-slow-disks";
    a_drain_that_is_not_passed_on:
        ControllerFault::SkipDrainRelay, "drain-passed-on";
}
