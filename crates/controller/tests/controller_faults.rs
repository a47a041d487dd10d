//! Deliberate faults of a controller: a named scenario catches each of them, with its own seed or, where chance
//! decides which of two messages is first, with one of the next.

#[path = "common/scenarios.rs"]
mod scenarios;

#[path = "common/fault_search.rs"]
mod fault_search;

#[macro_use]
#[path = "common/finds.rs"]
mod finds;

use fault_search::assert_finds;
use lanegate_controller::controller::{ContactFault, ControllerFault};
use lanegate_coordination::register::Fault;

/// Seeds with which a scenario is played at most.
const SEEDS: u64 = 200;

#[track_caller]
fn found_by(name: &str, fault: ControllerFault) {
    assert_finds(name, fault, SEEDS);
}

finds! {
    found_by;
    a_read_from_what_one_controller_knows:
        ControllerFault::ReadLocally, "cut-off-for-twenty-seconds";
    a_change_acknowledged_once_proposed:
        ControllerFault::AcknowledgeProposed, "cut-off-for-twenty-seconds";
    a_drain_acknowledged_by_one_controller_alone:
        ControllerFault::AcknowledgeDrainLocally, "drain-at-a-cut-off-controller";
    a_removal_not_passed_on_to_agents:
        ControllerFault::SkipRemovalForwarding, "end-told-to-one-controller";
    orders_after_the_lease_has_ended:
        ControllerFault::OrderWithoutLease, "holder-is-cut-off";
    a_takeover_without_the_quiet_period:
        ControllerFault::SkipQuietPeriod, "holder-freezes";
    one_epoch_for_all_tenures:
        ControllerFault::ReuseEpoch, "holder-freezes";
    an_epoch_not_requested_again:
        ControllerFault::SkipEpochRetry, "epoch-not-given-in-time";
    seeds_of_the_start_kept_for_ever:
        ControllerFault::KeepSeeds, "settings-files-change-without-a-signal";
    members_forgotten_in_a_long_partition:
        ControllerFault::ExpireMembers, "cut-off-for-twenty-seconds";
    a_partitioned_controller_that_claims_to_be_current:
        ControllerFault::AlwaysCurrent, "agents-at-two-cut-off-controllers";
    a_controller_that_receives_nothing_acts:
        ControllerFault::CountUnreachedPeers, "owner-that-hears-nobody";
    contact_with_less_than_a_majority:
        ControllerFault::QuorumContact(ContactFault::SmallMajority), "cut-of-everyone";
    a_majority_that_is_too_small:
        ControllerFault::Register(Fault::SmallMajority), "rivals-on-both-sides-of-a-cut";
    votes_of_an_earlier_incarnation:
        ControllerFault::Register(Fault::IgnoreIncarnations), "vote-before-a-wipe";
    an_accepted_value_not_taken_over:
        ControllerFault::Register(Fault::IgnoreAccepted), "vote-before-a-wipe";
    a_vote_before_its_record_is_durable:
        ControllerFault::Register(Fault::ReplyBeforePersist), "disks-stall-and-fill";
    a_vote_right_after_a_wipe:
        ControllerFault::Register(Fault::VoteAfterWipe), "wiped-with-one-that-missed-a-change";
    a_read_of_the_register_from_local_state:
        ControllerFault::Register(Fault::ReadLocally), "cut-one-way";
    an_end_acknowledged_by_a_controller_out_of_touch_alone:
        ControllerFault::AcknowledgeDrainLocally, "end-told-to-one-that-is-lost-right-after";
    a_read_from_what_one_of_two_halves_knows:
        ControllerFault::ReadLocally, "reads-in-two-halves";
    a_read_of_the_register_from_local_state_in_two_halves:
        ControllerFault::Register(Fault::ReadLocally), "reads-in-two-halves";
    a_majority_that_is_one_of_two_halves:
        ControllerFault::Register(Fault::SmallMajority), "reads-in-two-halves";
    a_read_from_what_a_controller_out_of_touch_knows:
        ControllerFault::ReadLocally, "reads-at-everyone-out-of-touch";
    a_vote_before_its_record_is_durable_as_all_lose_power:
        ControllerFault::Register(Fault::ReplyBeforePersist), "disk-lost-while-all-others-lose-power";
    a_recovery_from_one_controller_alone:
        ControllerFault::Register(Fault::RecoverFromOne), "wiped-with-one-that-missed-a-change";
    an_accept_below_a_promise:
        ControllerFault::Register(Fault::AcceptBelowPromise), "accept-arrives-after-a-newer-promise";
    a_read_of_what_a_minority_accepted:
        ControllerFault::Register(Fault::ReadUncommitted), "read-finds-a-value-of-a-minority";
    contact_by_answers_that_are_seconds_old:
        ControllerFault::QuorumContact(ContactFault::AgeFromReceipt), "lag-grows-at-both-sources";
    contact_by_heartbeats_that_are_received:
        ControllerFault::QuorumContact(ContactFault::CountReceivedHeartbeats), "blackhole-nothing-leaves";
    a_change_missed_behind_a_partial_cut:
        ControllerFault::SkipReread, "changes-missed-behind-partial-cuts";
    heartbeats_not_relayed_to_an_owner_that_does_not_hear_them:
        ControllerFault::SkipHeartbeatRelay, "owner-does-not-hear-the-called-controller";
    a_stalled_disk_that_counts_as_a_vote:
        ControllerFault::CountStalledDisk, "stalled-spare-does-not-join";
    a_read_from_what_one_controller_knows_beyond_tolerance:
        ControllerFault::ReadLocally, "losses-beyond-tolerance-lose-nothing";
}
