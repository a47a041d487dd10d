//! Defects that are switched on deliberately: the random schedules must detect each of them.

use lanegate_coordination::register::Fault;
use lanegate_coordination::simulation::{Violation, World, random_scenario};

/// Number of schedules within which each defect must be detected.
const SCHEDULES: u64 = 20_000;

fn first_violation(fault: Fault) -> Option<(u64, Violation)> {
    (0..SCHEDULES).find_map(|seed| {
        let played = World::play(&random_scenario(seed), Some(fault));
        played.err().map(|violation| (seed, violation))
    })
}

macro_rules! detects {
    ($($name:ident: $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let found = first_violation(Fault::$fault);
                println!("{:?}: {found:?}", Fault::$fault);
                assert!(found.is_some(), "no schedule detected {:?}", Fault::$fault);
            }
        )*
    };
}

detects! {
    a_vote_before_its_record_is_durable: ReplyBeforePersist;
    a_vote_right_after_a_wipe: VoteAfterWipe;
    recovery_from_a_single_replica: RecoverFromOne;
    votes_of_an_earlier_incarnation: IgnoreIncarnations;
    a_ballot_used_twice: ReuseBallot;
    a_majority_of_the_new_group_only: NewGroupOnly;
    an_accepted_value_that_is_ignored: IgnoreAccepted;
    a_read_from_local_state: ReadLocally;
    a_read_of_an_uncommitted_value: ReadUncommitted;
    an_accept_below_a_promise: AcceptBelowPromise;
    a_majority_that_is_too_small: SmallMajority;
    a_command_proposed_twice: ProposeTwice;
    recent_changes_dropped_from_a_received_value: ForgetHistory;
}
