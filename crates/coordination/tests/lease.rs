//! Leases under faults: which process acts and from when on, and that no two holders act within the quiet period.

#[allow(dead_code)]
mod lease_world;

use lanegate_coordination::lease::{LeaseSettings, LeaseSettingsError};
use lease_world::{Network, QUIET_PERIOD, STEP, World};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn world_with_holder(rates_ppm: &[i64]) -> World {
    let mut world = World::new(1, rates_ppm);
    world.set_candidate(0, true);
    world.run_for(SECOND);
    assert_eq!(world.last_holder(), Some(world.id(0)));
    world
}

/// Time from `failure` to the first action of another holder.
fn takeover_time(world: &World, failure: Duration) -> Duration {
    let old = world.actions[0].holder;
    let first = world.actions.iter().find(|action| action.holder != old).expect("another holder acts");
    first.arrival - failure
}

#[test]
fn a_first_start_elects_a_holder_within_a_few_round_trips() {
    let world = world_with_holder(&[0, 0, 0]);
    let waited = world.actions[0].arrival - Duration::from_secs(100);
    assert!(waited < Duration::from_millis(100), "{waited:?}");
}

#[test]
fn a_holder_without_faults_acts_continuously_under_one_epoch() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.run_for(30 * SECOND);
    assert!(world.actions.iter().all(|action| action.epoch == 1));
    let widest = world.actions.windows(2).map(|pair| pair[1].arrival.saturating_sub(pair[0].arrival)).max();
    assert!(widest.expect("at least two actions") < Duration::from_millis(100), "{widest:?}");
}

#[test]
fn a_crashed_holder_is_replaced_after_validity_and_quiet_period() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.crash(0);
    let failure = world.now;
    world.set_candidate(1, true);
    world.run_for(10 * SECOND);
    let takeover = takeover_time(&world, failure);
    assert!(takeover >= QUIET_PERIOD, "{takeover:?}");
    assert!(takeover < Duration::from_millis(4_200), "{takeover:?}");
    assert_eq!(world.violation(), None);
}

#[test]
fn a_released_lease_is_taken_over_after_the_quiet_period() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.set_candidate(0, false);
    let handover = world.now;
    world.set_candidate(1, true);
    world.run_for(10 * SECOND);
    let takeover = takeover_time(&world, handover);
    assert!(takeover < Duration::from_millis(3_500), "{takeover:?}");
    assert_eq!(world.violation(), None);
}

#[test]
fn a_release_long_after_the_last_action_frees_the_lease_immediately() {
    let mut world = World::new(1, &[0, 0, 0]);
    for index in [1, 2] {
        world.set_partition_side(index, true);
    }
    world.set_candidate(0, true);
    world.run_for(2 * SECOND);
    world.set_candidate(0, false);
    world.heal();
    let handover = world.now;
    world.set_candidate(1, true);
    world.run_for(SECOND);
    assert!(
        world.actions.first().is_some_and(|action| action.arrival - handover < Duration::from_millis(100))
    );
}

#[test]
fn a_resumed_holder_does_not_act_before_it_has_the_lease_again() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.freeze(0);
    world.set_candidate(1, true);
    world.run_for(10 * SECOND);
    assert_eq!(world.last_holder(), Some(world.id(1)));
    let old = world.actions_of(world.id(0)).len();
    world.thaw(0);
    world.run_for(10 * SECOND);
    assert_eq!(world.actions_of(world.id(0)).len(), old);
    assert_eq!(world.violation(), None);
}

#[test]
fn a_briefly_suspended_holder_continues_under_its_epoch() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.freeze(0);
    world.run_for(SECOND / 2);
    world.thaw(0);
    world.run_for(SECOND);
    assert!(world.actions.iter().all(|action| action.epoch == 1));
}

#[test]
fn a_holder_whose_lease_expired_gets_a_new_epoch() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.freeze(0);
    world.run_for(3 * SECOND);
    world.thaw(0);
    world.run_for(SECOND);
    assert_eq!(world.actions.last().map(|action| action.epoch), Some(2));
    assert_eq!(world.violation(), None);
}

#[test]
fn a_holder_in_a_minority_partition_stops_and_the_majority_continues() {
    let mut world = world_with_holder(&[0, 0, 0, 0, 0]);
    for index in [0, 1] {
        world.set_partition_side(index, true);
    }
    world.set_candidate(2, true);
    let cut = world.now;
    world.run_for(10 * SECOND);
    assert_eq!(world.last_holder(), Some(world.id(2)));
    let last = world.actions_of(world.id(0)).last().expect("the first holder acted").arrival;
    assert!(last - cut <= world.settings().validity);
    world.heal();
    world.run_for(10 * SECOND);
    assert_eq!(world.violation(), None);
    assert_eq!(world.last_holder(), Some(world.id(2)));
}

#[test]
fn one_restarted_grantor_does_not_end_the_lease() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.restart(2);
    world.run_for(10 * SECOND);
    assert!(world.actions.iter().all(|action| action.epoch == 1));
}

#[test]
fn restarted_grantors_do_not_grant_to_a_second_holder() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.set_partition_side(0, true);
    world.restart(1);
    world.restart(2);
    world.set_candidate(1, true);
    let restart = world.now;
    world.run_for(10 * SECOND);
    assert!(takeover_time(&world, restart) >= QUIET_PERIOD);
    assert_eq!(world.violation(), None);
}

#[test]
fn a_restarted_holder_waits_like_any_other_candidate() {
    let mut world = world_with_holder(&[0, 0, 0]);
    world.restart(0);
    let restart = world.now;
    world.run_for(10 * SECOND);
    assert!(takeover_time(&world, restart) >= QUIET_PERIOD);
    assert_eq!(world.violation(), None);
}

#[test]
fn clocks_that_differ_by_a_percent_each_way_keep_the_quiet_period() {
    for rates in [[-10_000, 10_000, 10_000], [10_000, -10_000, -10_000], [-10_000, -10_000, 10_000]] {
        let mut world = world_with_holder(&rates);
        world.set_partition_side(0, true);
        world.set_candidate(1, true);
        world.run_for(10 * SECOND);
        assert_eq!(world.last_holder(), Some(world.id(1)));
        world.heal();
        world.set_candidate(1, false);
        world.run_for(10 * SECOND);
        assert_eq!(world.last_holder(), Some(world.id(0)));
        assert_eq!(world.violation(), None);
    }
}

#[test]
fn slow_duplicate_and_reordered_messages_still_allow_a_holder() {
    let mut world = World::new(3, &[0, 0, 0]);
    let max_delay = Duration::from_millis(450);
    world.network = Network { min_delay: STEP, max_delay, lost_one_in: 0, duplicated_one_in: 3 };
    world.set_candidate(0, true);
    world.run_for(20 * SECOND);
    assert!(world.actions.len() > 100, "{}", world.actions.len());
    world.set_candidate(0, false);
    world.set_candidate(2, true);
    world.run_for(20 * SECOND);
    assert_eq!(world.last_holder(), Some(world.id(2)));
    assert_eq!(world.violation(), None);
}

#[test]
fn several_candidates_agree_on_one() {
    let mut world = World::new(4, &[0, 0, 0, 0, 0]);
    for index in 0..5 {
        world.set_candidate(index, true);
    }
    world.run_for(30 * SECOND);
    assert!(world.last_holder().is_some());
    assert_eq!(world.violation(), None);
}

#[test]
fn settings_without_time_to_act_are_rejected() {
    let mut settings = LeaseSettings::for_quiet_period(QUIET_PERIOD);
    settings.margin = settings.validity;
    assert_eq!(settings.check(), Err(LeaseSettingsError::NoTimeToAct));
    let mut settings = LeaseSettings::for_quiet_period(QUIET_PERIOD);
    settings.quiet_period = Duration::ZERO;
    assert_eq!(settings.check(), Err(LeaseSettingsError::NoQuietPeriod));
}
