//! Pins the behaviour of candidates and grantors in simulated time, by digests of all outputs and actions.

#[allow(dead_code)]
mod lease_world;
use lanegate_coordination::lease::Output;
use lanegate_golden::{Digest, assert_digests};
use lease_world::schedule::random_schedule;
use lease_world::{TestRandom, World};

/// Number of random schedules whose digests are committed.
const SEEDS: u64 = 300;

/// Largest difference of the rate of a clock from true time, in parts per million.
const DRIFT_PPM: i64 = 10_000;

/// A clock rate for each process (ppm from true time); the seed determines the number of processes.
fn clock_rates(seed: u64) -> Vec<i64> {
    let mut random = TestRandom::new(seed ^ 0xc10c);
    let count = [1, 3, 5][(seed % 3) as usize];
    (0..count).map(|_| random.below(2 * DRIFT_PPM as u64 + 1) as i64 - DRIFT_PPM).collect()
}

fn add_output(digest: &mut Digest, output: &Output) {
    match output {
        Output::Send { to, message } => {
            digest.byte(0);
            digest.bytes(to.to_string().as_bytes());
            digest.bytes(&message.encode().expect("every message can be encoded"));
        }
        Output::AcquireEpoch { shard, tenure } => {
            digest.byte(1);
            digest.number(u64::from(*shard));
            digest.number(tenure.0);
        }
        Output::Began { shard, tenure, epoch } => {
            digest.byte(2);
            digest.number(u64::from(*shard));
            digest.number(tenure.0);
            digest.number(*epoch);
        }
        Output::Ended { shard, tenure } => {
            digest.byte(3);
            digest.number(u64::from(*shard));
            digest.number(tenure.0);
        }
    }
}

fn digest_of(world: &World) -> u64 {
    let mut digest = Digest::default();
    for observation in &world.observations {
        digest.time(observation.at);
        digest.number(observation.process as u64);
        add_output(&mut digest, &observation.output);
    }
    for action in &world.actions {
        digest.time(action.arrival);
        digest.bytes(action.holder.address().to_string().as_bytes());
        digest.number(action.holder.incarnation);
        digest.number(action.epoch);
    }
    digest.value()
}

#[test]
fn random_schedules_run_as_before() {
    let digests: Vec<(String, u64)> = (0..SEEDS)
        .map(|seed| (seed.to_string(), digest_of(&random_schedule(seed, &clock_rates(seed)))))
        .collect();
    assert_digests(env!("CARGO_MANIFEST_DIR"), "lease-schedules", digests);
}
