//! Days are played each once, and what broke in them is told; the bench is a stub.

use day_generator::play::{Bench, Report, Summary, play_all};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PASSED: &str = r#"{"breaks": {}, "first": [], "fault": null, "short": [], "served": 0.9}"#;
const BROKEN: &str = r#"{"breaks": {"LOST": 2, "LIMIT": 1}, "fault": null, "short": [], "first": [
    {"rule": "LOST", "at_s": 16.403, "what": "no answer", "history": ["9.542 s  sent", "16.403 s  closed"]}]}"#;
const BELOW_A_FLOOR: &str = r#"{"breaks": {}, "first": [], "fault": null, "short": ["worth 0.3 of 0.5"]}"#;
const FAULTY: &str = r#"{"breaks": {}, "first": [], "fault": "no request is served", "short": []}"#;

fn stub() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stub/bench.sh")
}

/// A fresh folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn write_days(folder: &Path, reports: &[&str]) -> Vec<PathBuf> {
    let files = reports.iter().enumerate().map(|(number, report)| {
        let path = folder.join(format!("day-{number:02}.toml"));
        std::fs::write(&path, report).unwrap();
        path
    });
    files.collect()
}

fn bench(folder: &Path) -> Bench {
    Bench {
        program: stub(),
        site: "site.toml".into(),
        folder: folder.to_path_buf(),
        why: "a test".into(),
        logged: Some("edge".into()),
    }
}

fn run_program(folder: &Path, days: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_play-days"))
        .arg("--bench")
        .arg(stub())
        .args(["--why", "a test", "--at-once", "2", "--folder"])
        .arg(folder)
        .arg("site.toml")
        .arg(days)
        .output()
        .unwrap()
}

#[test]
fn every_day_is_played_once_whatever_the_number_at_once() {
    for at_once in [0, 1, 3, 20] {
        let folder = folder(&format!("played-{at_once}"));
        let days = write_days(&folder, &[PASSED; 9]);
        let mut names = Vec::new();
        play_all(&bench(&folder), &days, at_once, |played| names.push(played.name));
        assert_eq!(names.len(), 9);
        assert_eq!(names.into_iter().collect::<BTreeSet<_>>().len(), 9);
    }
}

#[test]
fn the_bench_is_called_as_its_pages_say() {
    let folder = folder("called");
    let days = write_days(&folder, &[PASSED]);
    play_all(&bench(&folder), &days, 1, |played| assert!(played.outcome.is_ok()));
    let printed = std::fs::read_to_string(folder.join("day-00.txt")).unwrap();
    let report = folder.join("day-00.json");
    let expected = format!(
        "run site.toml {} --why a test --report {} --log edge\n",
        days[0].display(),
        report.display()
    );
    assert_eq!(printed, expected);
}

#[test]
fn the_summary_counts_days_by_rule() {
    let folder = folder("summary");
    let days = write_days(&folder, &[PASSED, BROKEN, BROKEN, BELOW_A_FLOOR, FAULTY, ""]);
    let mut summary = Summary::default();
    play_all(&bench(&folder), &days, 2, |played| {
        summary.add(&played);
    });
    assert!(!summary.is_clean());
    assert_eq!(
        summary.to_string(),
        "1 of 5 days passed; LIMIT broken in 2; LOST broken in 2; 1 more not played"
    );
}

#[test]
fn only_days_without_a_broken_rule_a_fault_or_a_missed_floor_pass() {
    let read = |text: &str| serde_json::from_str::<Report>(text).unwrap().has_passed();
    assert_eq!([PASSED, BROKEN, BELOW_A_FLOOR, FAULTY].map(read), [true, false, false, false]);
}

#[test]
fn a_report_of_an_earlier_play_does_not_count() {
    let folder = folder("earlier");
    let days = write_days(&folder, &[""]);
    std::fs::write(folder.join("day-00.json"), PASSED).unwrap();
    play_all(&bench(&folder), &days, 1, |played| assert!(played.outcome.is_err()));
}

#[test]
fn the_program_plays_a_folder_and_tells_what_broke() {
    let (reports, days) = (folder("program-reports"), folder("program-days"));
    write_days(&days, &[PASSED, BROKEN]);
    let output = run_program(&reports, &days);
    assert!(!output.status.success());
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.contains("day-01: {\"LIMIT\": 1, \"LOST\": 2}"), "{printed}");
    assert!(printed.contains("LOST at 16.403 s: no answer\n    9.542 s  sent"), "{printed}");
    assert!(printed.ends_with("1 of 2 days passed; LIMIT broken in 1; LOST broken in 1\n"), "{printed}");
}

#[test]
fn the_program_succeeds_where_all_days_pass() {
    let (reports, days) = (folder("clean-reports"), folder("clean-days"));
    write_days(&days, &[PASSED, PASSED]);
    let output = run_program(&reports, &days);
    assert!(output.status.success());
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "2 of 2 days passed\n");
}

#[test]
fn a_bench_that_is_not_there_is_told() {
    let folder = folder("no-bench");
    let days = write_days(&folder, &[PASSED]);
    let absent = Bench { program: "no/such/bench".into(), ..bench(&folder) };
    play_all(&absent, &days, 1, |played| {
        assert!(played.outcome.unwrap_err().to_string().contains("no/such/bench"));
    });
}
