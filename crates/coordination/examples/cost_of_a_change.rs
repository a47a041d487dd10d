//! Measures what one change of the configuration costs a group of three, depending on the number of changes before
//! it: bytes on disk and on the wire, processor time, and the time of a durable write in the directory for temporary
//! files.
//!
//! `cargo run --release -p lanegate-coordination --example cost_of_a_change [ROUTES]`

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::time::{Duration, Instant};

use cluster::configuration::{Configuration, document, outcome, patch, put, route};
use cluster::{Cluster, StateMachineFactory};
use lanegate_config::control_state::{Command, Outcome};
use lanegate_coordination::register::{Record, StateMachine};
use lanegate_coordination::storage::{Directory, FileDirectory, VersionedStore};

const MEMBERS: usize = 3;
const DEFAULT_ROUTES: usize = 400;
/// Numbers of changes that precede the measured ones.
const BEFORE: [u64; 3] = [10, 1_000, 5_000];
/// Number of changes whose median is printed.
const MEASURED: u64 = 50;
const HEADINGS: &str = "| changes before | record | wire, all members | disk, all members | \
    processor time of all members | encode record | decode record | apply | durable write |";
/// Name of the record in the directory.
const RECORD_NAME: &str = "cost-of-a-change";

fn state_machine() -> Box<dyn StateMachine> {
    Box::new(Configuration)
}

/// A change that replaces one of the routes.
fn change(base: u64, routes: usize) -> Command {
    let version = base + 1;
    let number = version as usize % routes.max(1);
    patch(base, format!(r#"{{"Version":{version},"Upsert":{{"Routes":[{}]}}}}"#, route(number, version)))
}

fn apply_change(cluster: &mut Cluster, command: &Command) {
    let request = cluster.propose(0, command.encode());
    let answer = outcome(cluster.answer(request));
    assert!(matches!(answer, Some(Outcome::Taken { .. })), "{answer:?}");
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

/// Median of the time that `action` takes.
fn time(mut action: impl FnMut()) -> Duration {
    let measured = (0..MEASURED).map(|_| {
        let start = Instant::now();
        action();
        start.elapsed()
    });
    median(measured.collect())
}

/// Median of the time of a durable write of a record.
fn write_time(record: &[u8]) -> std::io::Result<Duration> {
    let path = std::env::temp_dir().join(format!("lanegate-{RECORD_NAME}-{}", std::process::id()));
    let mut folder = FileDirectory::open(&path)?;
    let (mut store, _) = VersionedStore::open(&mut folder, RECORD_NAME).expect("the store can be opened");
    let written = time(|| store.save(&mut folder, record).expect("the record can be saved"));
    for name in folder.list()? {
        folder.remove(&name)?;
    }
    std::fs::remove_dir(&path)?;
    Ok(written)
}

fn measure(before: u64, routes: usize) -> std::io::Result<()> {
    let mut cluster = Cluster::new(MEMBERS, 0, state_machine as StateMachineFactory);
    apply_change(&mut cluster, &put(0, document(1, routes)));
    (1..before).for_each(|base| apply_change(&mut cluster, &change(base, routes)));
    cluster.run(Duration::from_secs(5));
    (0..MEMBERS).for_each(|at| {
        cluster.take_traffic(at);
        cluster.take_bytes_written(at);
    });
    let mut times = Vec::new();
    for base in before..before + MEASURED {
        let start = Instant::now();
        apply_change(&mut cluster, &change(base, routes));
        cluster.run(Duration::from_millis(200));
        times.push(start.elapsed());
    }
    let wire: u64 = (0..MEMBERS).map(|at| cluster.take_traffic(at).bytes).sum();
    let disk: u64 = (0..MEMBERS).map(|at| cluster.take_bytes_written(at)).sum();
    let bytes = cluster.record(0);
    let record = Record::decode(&bytes).expect("the record can be decoded");
    let encode = time(|| drop(record.encode()));
    let decode = time(|| drop(Record::decode(&bytes)));
    let command = change(before + MEASURED, routes).encode();
    let apply = time(|| drop(Configuration.apply(&record.value.state, &command)));
    println!(
        "| {before} | {} | {} | {} | {:.2} | {:.3} | {:.3} | {:.2} | {:.2} |",
        bytes.len(),
        wire / MEASURED,
        disk / MEASURED,
        milliseconds(median(times)),
        milliseconds(encode),
        milliseconds(decode),
        milliseconds(apply),
        milliseconds(write_time(&bytes)?),
    );
    Ok(())
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn main() -> std::io::Result<()> {
    let routes = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_ROUTES);
    println!("{MEMBERS} members, {routes} routes; medians of {MEASURED} changes; bytes, ms\n");
    println!("{HEADINGS}");
    println!("|---|---|---|---|---|---|---|---|---|");
    BEFORE.into_iter().try_for_each(|before| measure(before, routes))
}
