//! Pins the behaviour of the replicas of a register in simulated time, by digests of all outputs.

use std::path::PathBuf;

use lanegate_coordination::register::{Outcome, Output};
use lanegate_coordination::simulation::{Observation, Scenario, World, random_scenario};
use lanegate_golden::{Digest, assert_digests};

/// Number of random scenarios whose digests are committed.
const SEEDS: u64 = 600;

fn add_outcome(digest: &mut Digest, outcome: &Outcome) {
    let (tag, revision, bytes) = match outcome {
        Outcome::Changed { revision, answer } => (0, *revision, answer.as_slice()),
        Outcome::Unchanged { revision, answer } => (1, *revision, answer.as_slice()),
        Outcome::Refused { revision, answer } => (2, *revision, answer.as_slice()),
        Outcome::Value { revision, state } => (3, *revision, state.as_ref()),
        Outcome::Expired => (4, 0, [].as_slice()),
        Outcome::Timeout => (5, 0, [].as_slice()),
    };
    digest.byte(tag);
    digest.number(revision);
    digest.bytes(bytes);
}

fn add_output(digest: &mut Digest, output: &Output) {
    match output {
        Output::Send { to, message } => {
            digest.byte(0);
            digest.number(u64::from(to.ip));
            digest.number(u64::from(to.port));
            digest.bytes(&message.encode().expect("every message can be encoded"));
        }
        Output::Persist { token, record } => {
            digest.byte(1);
            digest.number(*token);
            digest.bytes(&record.encode().expect("every record can be encoded"));
        }
        Output::Done { request, outcome } => {
            digest.byte(2);
            digest.number(*request);
            add_outcome(digest, outcome);
        }
        Output::Committed { value } => {
            digest.byte(3);
            digest.number(value.revision);
            digest.bytes(&value.state);
            digest.number(value.groups.len() as u64);
            digest.number(value.history.len() as u64);
        }
    }
}

fn digest_of(scenario: &Scenario) -> u64 {
    let (observations, result) = World::observe(scenario, None);
    let mut digest = Digest::default();
    for Observation { at, machine, output } in &observations {
        digest.time(*at);
        digest.number(*machine as u64);
        add_output(&mut digest, output);
    }
    digest.byte(u8::from(result.is_err()));
    digest.value()
}

#[test]
fn random_schedules_run_as_before() {
    let digests: Vec<(String, u64)> =
        (0..SEEDS).map(|seed| (seed.to_string(), digest_of(&random_scenario(seed)))).collect();
    assert_digests(env!("CARGO_MANIFEST_DIR"), "register-schedules", digests);
}

#[test]
fn written_scenarios_run_as_before() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(folder).expect("the folder of scenarios exists");
    let mut paths: Vec<PathBuf> =
        entries.map(|entry| entry.expect("the folder can be listed").path()).collect();
    paths.sort();
    let digests: Vec<(String, u64)> = paths
        .iter()
        .map(|path| {
            let text = std::fs::read_to_string(path).expect("the file can be read");
            let name = path.file_stem().expect("the file has a name").to_string_lossy().into_owned();
            (name, digest_of(&text.parse().expect("the scenario can be parsed")))
        })
        .collect();
    assert_digests(env!("CARGO_MANIFEST_DIR"), "register-scenarios", digests);
}
