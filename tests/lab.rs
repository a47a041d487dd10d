//! Lab experiments on the courier: invariants of several processes under injected faults.

use courier_lab::experiment::Experiment;
use courier_lab::run::{self, Finished, Options, Outcome};
use std::fs;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A run that was invalid because the machine was busy says nothing about the courier and is repeated.
const MAX_ATTEMPTS: usize = 3;
const LIMIT: Duration = Duration::from_secs(60);

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("lab-{name}"));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn options(name: &str, seed: u64) -> Options {
    Options { seed, out: folder(name), courier: env!("CARGO_BIN_EXE_courier").into() }
}

fn run_experiment(name: &str, seed: u64) -> Finished {
    // One folder per seed, as tests of one experiment run in parallel.
    let out = format!("{name}-{seed}");
    let file = format!("{}/lab/experiments/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let experiment = Experiment::read(Path::new(&file), &[]).expect("it is sound");
    let mut runs_so_far =
        (0..MAX_ATTEMPTS).map(|_| run::run(&experiment, &options(&out, seed)).expect("it runs"));
    let valid = runs_so_far.find(|f| f.outcome != Outcome::Invalid);
    valid.expect("the lab was late each time")
}

#[test]
fn a_small_fleet_holds_through_a_kill_and_a_drain() {
    let finished = run_experiment("smoke", 1);
    assert_eq!(finished.outcome, Outcome::Holds, "{}", finished.summary.text());
    // The run had its full load, and the killed courier was restarted.
    assert!(finished.summary.messages > 1000 && finished.summary.couriers[1].lives == 2);
}

/// Runs until it is killed; started by the test below.
#[test]
#[ignore = "is started by another test"]
fn run_until_killed() {
    run_experiment("smoke", 2);
}

#[test]
fn couriers_end_with_a_lab_that_is_killed() {
    let mut lab = Command::new(std::env::current_exe().expect("this program"));
    let lab = lab.args(["--exact", "run_until_killed", "--ignored"]);
    let mut lab = lab.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts");
    let children = || -> Vec<u32> {
        let of = format!("/proc/{0}/task", lab.id());
        let tasks = fs::read_dir(of).into_iter().flatten().flatten();
        let children = tasks.filter_map(|t| fs::read_to_string(t.path().join("children")).ok());
        children
            .flat_map(|c| c.split_whitespace().filter_map(|n| n.parse().ok()).collect::<Vec<_>>())
            .collect()
    };
    let end = Instant::now() + LIMIT;
    while children().len() < 3 {
        assert!(Instant::now() < end, "three couriers never ran");
        sleep(Duration::from_millis(10));
    }
    let couriers = children();
    lab.kill().expect("killed");
    assert_eq!(lab.wait().expect("it ends").signal(), Some(9));
    let runs = |pid: &u32| {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        stat.rsplit_once(')').is_some_and(|(_, rest)| !rest.trim_start().starts_with(['Z', 'X']))
    };
    while couriers.iter().any(runs) {
        assert!(Instant::now() < end, "couriers outlast their lab");
        sleep(Duration::from_millis(10));
    }
}
