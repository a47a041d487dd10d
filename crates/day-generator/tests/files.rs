//! The program, and the files that it writes.

use day_generator::{Draw, Error, Profile, Site, Weights, write_days};
use std::path::{Path, PathBuf};
use std::process::Command;

fn site_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites/atoll-clinic/atoll-clinic.toml")
}

fn draw(seed: u64, weights: Weights) -> Draw {
    Draw { seed, profile: Profile::mixed(weights) }
}

/// A fresh folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn each_day_gets_a_file_of_its_own() {
    let site = Site::read(&site_file()).unwrap();
    let folder = folder("days-of-their-own");
    let paths = write_days(&site, draw(5, Weights::Even), 3, &folder).unwrap();
    let names: Vec<_> = paths.iter().map(|path| path.file_name().unwrap().to_str().unwrap()).collect();
    assert_eq!(names, ["atoll-clinic-5-000.toml", "atoll-clinic-5-001.toml", "atoll-clinic-5-002.toml"]);
    assert!(paths.iter().all(|path| path.is_file()));
}

#[test]
fn a_longer_order_begins_with_the_days_of_a_shorter_one() {
    let site = Site::read(&site_file()).unwrap();
    let (short, long) = (folder("short-order"), folder("long-order"));
    let draw = draw(9, Weights::Control);
    for path in write_days(&site, draw, 2, &short).unwrap() {
        write_days(&site, draw, 4, &long).unwrap();
        let twin = long.join(path.file_name().unwrap());
        assert_eq!(std::fs::read_to_string(path).unwrap(), std::fs::read_to_string(twin).unwrap());
    }
}

#[test]
fn the_program_prints_the_paths_of_the_days() {
    let folder = folder("program");
    let output = Command::new(env!("CARGO_BIN_EXE_day-generator"))
        .args(["--seed", "4", "--count", "2", "--weights", "endpoints"])
        .args([&site_file(), &folder])
        .output()
        .unwrap();
    assert!(output.status.success());
    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(printed.lines().count(), 2);
    assert!(printed.lines().all(|path| Path::new(path).is_file()));
}

#[test]
fn mistakes_are_told_with_the_file() {
    let missing = Path::new("/no/such/site.toml");
    assert!(matches!(Site::read(missing), Err(Error::Read { path, .. }) if path == missing));
    let no_site = Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml");
    assert!(matches!(Site::read(&no_site), Err(Error::Parse { path, .. }) if path == no_site));
    let output = Command::new(env!("CARGO_BIN_EXE_day-generator"))
        .args(["--weights", "heavy"])
        .args([missing, Path::new("out")])
        .output()
        .unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("heavy"));
}

#[test]
fn crowded_days_have_files_of_their_own() {
    let folder = folder("crowded");
    let output = Command::new(env!("CARGO_BIN_EXE_day-generator"))
        .args(["--seed", "4", "--count", "1", "--profile", "planned"])
        .args([&site_file(), &folder])
        .output()
        .unwrap();
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.trim_end().ends_with("atoll-clinic-planned-4-000.toml"), "{printed}");
    let day = std::fs::read_to_string(printed.trim_end()).unwrap();
    assert!(day.contains("name = \"planned-4-0\""), "{day}");
}

#[test]
fn options_that_do_not_fit_together_are_told() {
    let refused = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_day-generator"))
            .args(arguments)
            .args([&site_file(), Path::new("out")])
            .output()
            .unwrap();
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(refused(&["--profile", "crowded"]).contains("planned, orders"));
    assert!(refused(&["--profile", "planned", "--weights", "even"]).contains("takes no other options"));
}
