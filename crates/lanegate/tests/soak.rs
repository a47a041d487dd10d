//! Short soaks of the program; `lanegate-soak` runs longer ones (`docs/soak.md`).
//!
//! They are in this package because Cargo gives the path of a program only to tests of its own package.

use lanegate_soak::{Plan, tell};
use std::path::PathBuf;
use std::time::Duration;
use tokio::runtime::Builder;

/// Duration of the traffic.
const LENGTH: Duration = Duration::from_secs(25);

fn soak(seed: u64) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_lanegate"));
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak");
    let plan = Plan { seed, length: LENGTH, schedule: None, program, folder };
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let report = runtime.block_on(plan.run()).unwrap();
    let violations = &report.verdict.violations;
    let explanations: Vec<String> =
        violations.iter().map(|violation| tell(violation, &report.events, &report.layout)).collect();
    assert!(violations.is_empty(), "{}\n{}\n{}", report.schedule, report.verdict, explanations.join("\n"));
}

#[test]
fn planned_work_breaks_no_invariant() {
    soak(1);
}

#[test]
fn faults_of_the_control_plane_break_no_invariant() {
    soak(2);
}
