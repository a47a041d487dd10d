//! Leases under failures: who acts, from when on, and that never two do within the quiet period.

#[allow(dead_code)]
mod lease_world;

use lanegate_coordination::lease::{LeaseSettings, LeaseSettingsError};
use lease_world::{Network, QUIET, STEP, World};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn settled(rates_ppm: &[i64]) -> World {
    let mut world = World::new(1, rates_ppm);
    world.want(0, true);
    world.run_for(SECOND);
    assert_eq!(world.last_holder(), Some(world.id(0)));
    world
}

/// Time from `failure` to the first act of another holder.
fn takeover(world: &World, failure: Duration) -> Duration {
    let old = world.acts[0].holder;
    let first = world.acts.iter().find(|act| act.holder != old).expect("a new holder");
    first.arrival - failure
}

#[test]
fn a_first_start_has_a_holder_within_a_few_round_trips() {
    let world = settled(&[0, 0, 0]);
    let waited = world.acts[0].arrival - Duration::from_secs(100);
    assert!(waited < Duration::from_millis(100), "{waited:?}");
}

#[test]
fn a_holder_in_calm_keeps_one_epoch_without_a_gap() {
    let mut world = settled(&[0, 0, 0]);
    world.run_for(30 * SECOND);
    assert!(world.acts.iter().all(|act| act.epoch == 1));
    let widest = world.acts.windows(2).map(|pair| pair[1].arrival.saturating_sub(pair[0].arrival)).max();
    assert!(widest.expect("acts") < Duration::from_millis(100), "{widest:?}");
}

#[test]
fn a_crashed_holder_is_followed_after_validity_and_quiet_period() {
    let mut world = settled(&[0, 0, 0]);
    world.crash(0);
    let failure = world.now;
    world.want(1, true);
    world.run_for(10 * SECOND);
    let takeover = takeover(&world, failure);
    assert!(takeover >= QUIET, "{takeover:?}");
    assert!(takeover < Duration::from_millis(4_200), "{takeover:?}");
    assert_eq!(world.violation(), None);
}

#[test]
fn a_released_lease_is_followed_after_the_quiet_period() {
    let mut world = settled(&[0, 0, 0]);
    world.want(0, false);
    let handover = world.now;
    world.want(1, true);
    world.run_for(10 * SECOND);
    let takeover = takeover(&world, handover);
    assert!(takeover < Duration::from_millis(3_500), "{takeover:?}");
    assert_eq!(world.violation(), None);
}

#[test]
fn a_release_long_after_the_last_act_frees_the_lease_at_once() {
    let mut world = World::new(1, &[0, 0, 0]);
    for index in [1, 2] {
        world.set_side(index, true);
    }
    world.want(0, true);
    world.run_for(2 * SECOND);
    world.want(0, false);
    world.heal();
    let handover = world.now;
    world.want(1, true);
    world.run_for(SECOND);
    assert!(world.acts.first().is_some_and(|act| act.arrival - handover < Duration::from_millis(100)));
}

#[test]
fn a_thawed_holder_does_not_act_before_it_holds_again() {
    let mut world = settled(&[0, 0, 0]);
    world.freeze(0);
    world.want(1, true);
    world.run_for(10 * SECOND);
    assert_eq!(world.last_holder(), Some(world.id(1)));
    let old = world.acts_of(world.id(0)).len();
    world.thaw(0);
    world.run_for(10 * SECOND);
    assert_eq!(world.acts_of(world.id(0)).len(), old);
    assert_eq!(world.violation(), None);
}

#[test]
fn a_holder_that_was_frozen_briefly_acts_on_under_its_epoch() {
    let mut world = settled(&[0, 0, 0]);
    world.freeze(0);
    world.run_for(SECOND / 2);
    world.thaw(0);
    world.run_for(SECOND);
    assert!(world.acts.iter().all(|act| act.epoch == 1));
}

#[test]
fn a_holder_that_lapsed_and_holds_again_has_a_new_epoch() {
    let mut world = settled(&[0, 0, 0]);
    world.freeze(0);
    world.run_for(3 * SECOND);
    world.thaw(0);
    world.run_for(SECOND);
    assert_eq!(world.acts.last().map(|act| act.epoch), Some(2));
    assert_eq!(world.violation(), None);
}

#[test]
fn a_holder_on_the_small_side_of_a_cut_stops_and_the_large_side_goes_on() {
    let mut world = settled(&[0, 0, 0, 0, 0]);
    for index in [0, 1] {
        world.set_side(index, true);
    }
    world.want(2, true);
    let cut = world.now;
    world.run_for(10 * SECOND);
    assert_eq!(world.last_holder(), Some(world.id(2)));
    let last = world.acts_of(world.id(0)).last().expect("acts").arrival;
    assert!(last - cut <= world.settings().validity);
    world.heal();
    world.run_for(10 * SECOND);
    assert_eq!(world.violation(), None);
    assert_eq!(world.last_holder(), Some(world.id(2)));
}

#[test]
fn one_restarted_grantor_does_not_disturb_the_holder() {
    let mut world = settled(&[0, 0, 0]);
    world.restart(2);
    world.run_for(10 * SECOND);
    assert!(world.acts.iter().all(|act| act.epoch == 1));
}

#[test]
fn grantors_that_forgot_do_not_let_a_second_holder_in() {
    let mut world = settled(&[0, 0, 0]);
    world.set_side(0, true);
    world.restart(1);
    world.restart(2);
    world.want(1, true);
    let restart = world.now;
    world.run_for(10 * SECOND);
    assert!(takeover(&world, restart) >= QUIET);
    assert_eq!(world.violation(), None);
}

#[test]
fn a_restarted_holder_waits_like_any_other_candidate() {
    let mut world = settled(&[0, 0, 0]);
    world.restart(0);
    let restart = world.now;
    world.run_for(10 * SECOND);
    assert!(takeover(&world, restart) >= QUIET);
    assert_eq!(world.violation(), None);
}

#[test]
fn clocks_that_differ_by_a_percent_each_way_keep_the_quiet_period() {
    for rates in [[-10_000, 10_000, 10_000], [10_000, -10_000, -10_000], [-10_000, -10_000, 10_000]] {
        let mut world = settled(&rates);
        world.set_side(0, true);
        world.want(1, true);
        world.run_for(10 * SECOND);
        assert_eq!(world.last_holder(), Some(world.id(1)));
        world.heal();
        world.want(1, false);
        world.run_for(10 * SECOND);
        assert_eq!(world.last_holder(), Some(world.id(0)));
        assert_eq!(world.violation(), None);
    }
}

#[test]
fn slow_doubled_and_reordered_messages_still_let_a_holder_act() {
    let mut world = World::new(3, &[0, 0, 0]);
    let longest_delay = Duration::from_millis(450);
    world.network = Network { shortest_delay: STEP, longest_delay, lost_one_in: 0, doubled_one_in: 3 };
    world.want(0, true);
    world.run_for(20 * SECOND);
    assert!(world.acts.len() > 100, "{}", world.acts.len());
    world.want(0, false);
    world.want(2, true);
    world.run_for(20 * SECOND);
    assert_eq!(world.last_holder(), Some(world.id(2)));
    assert_eq!(world.violation(), None);
}

#[test]
fn several_candidates_agree_on_one() {
    let mut world = World::new(4, &[0, 0, 0, 0, 0]);
    for index in 0..5 {
        world.want(index, true);
    }
    world.run_for(30 * SECOND);
    assert!(world.last_holder().is_some());
    assert_eq!(world.violation(), None);
}

#[test]
fn settings_that_leave_no_time_to_act_are_refused() {
    let mut settings = LeaseSettings::for_quiet_period(QUIET);
    settings.margin = settings.validity;
    assert_eq!(settings.check(), Err(LeaseSettingsError::NoTimeToAct));
    let mut settings = LeaseSettings::for_quiet_period(QUIET);
    settings.quiet_period = Duration::ZERO;
    assert_eq!(settings.check(), Err(LeaseSettingsError::NoQuietPeriod));
}
