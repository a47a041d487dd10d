//! Deliberate faults in the replacement of members and in what makes an acknowledgement safe: each is found by
//! a scenario that holds without it.

#[path = "common/scenarios.rs"]
mod scenarios;

use lanegate_controller::controller::{AcknowledgementFault, ControllerFault, ReplacementFault};
use lanegate_controller::simulation::{Scenario, World};
use scenarios::scenario;

/// Seeds with which each scenario is played, its own the first.
const SEEDS: u64 = 8;

/// The scenario must hold with all seeds, and be broken by the fault with one of them.
#[track_caller]
fn found_by(name: &str, fault: ControllerFault) {
    let scenario = scenario(name);
    let seeds = scenario.seed..scenario.seed + SEEDS;
    let scenarios: Vec<Scenario> = seeds.map(|seed| Scenario { seed, ..scenario.clone() }).collect();
    for scenario in &scenarios {
        let played = World::play(scenario, None).map_err(|violation| violation.to_string());
        assert_eq!(played, Ok(()), "{name} with seed {}", scenario.seed);
    }
    let found = scenarios.iter().find_map(|scenario| World::play(scenario, Some(fault)).err());
    println!("{fault:?}: {found:?}");
    assert!(found.is_some(), "{name} does not find {fault:?}");
}

macro_rules! found {
    ($($name:ident: $fault:expr, $scenario:literal;)*) => {
        $(
            #[test]
            fn $name() {
                found_by($scenario, $fault);
            }
        )*
    };
}

found! {
    suspicions_of_one_shard_applied_to_all:
        ControllerFault::Replacement(ReplacementFault::ShareSuspicions), "replaced-by-different-owners";
    a_spare_that_joins_before_it_can_vote:
        ControllerFault::Replacement(ReplacementFault::JoinBeforeVoting), "spare-joins-once-it-votes";
    own_stall_counted_as_a_timeout:
        ControllerFault::Replacement(ReplacementFault::CountOwnStall), "owner-frozen";
    one_change_of_members_at_a_time:
        ControllerFault::Replacement(ReplacementFault::OneChangeAtATime), "shards-changed-together";
    a_member_that_ends_without_handing_over:
        ControllerFault::ShutDownWithoutHandover, "leaving-while-another-is-down";
    an_end_that_others_ignore:
        ControllerFault::IgnoreDraining, "leaving-member-hands-over";
    confirmations_of_controllers_that_are_no_members:
        ControllerFault::Acknowledgement(AcknowledgementFault::CountNonMembers), "drain-at-one-with-spares-only";
    a_drain_that_is_not_passed_on:
        ControllerFault::KeepDrainsFromPeers, "drain-passed-on";
}
