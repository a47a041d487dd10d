//! Leases under random schedules of faults: safety always holds, and once all faults have ended there is a holder.

#[allow(dead_code)]
mod lease_world;

use lease_world::schedule::random_schedule;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// Largest difference of the rate of a clock from true time, in parts per million.
const DRIFT_PPM: i64 = 10_000;

fn clock_rates(members: usize) -> impl Strategy<Value = Vec<i64>> {
    prop::collection::vec(-DRIFT_PPM..=DRIFT_PPM, members)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_two_holders_act_within_the_quiet_period(
        seed in any::<u64>(),
        rates in prop::sample::select(vec![1_usize, 3, 5]).prop_flat_map(clock_rates),
    ) {
        let world = random_schedule(seed, &rates);
        prop_assert_eq!(world.violation(), None);
        let now = world.now;
        let recent = world.actions.last().is_some_and(|action| now.saturating_sub(action.arrival) < Duration::from_millis(100));
        prop_assert!(recent, "no holder after all faults have ended");
        prop_assert_eq!(world.last_holder(), Some(world.id(0)));
    }
}
