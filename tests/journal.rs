//! The journal of real processes: synced, damaged, inspected and repaired.

mod rig;
use rig::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run_courier(arguments: &[&str], folder: &Folder) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_courier"));
    command.arg("journal").args(arguments).arg(folder.0.join("state"));
    command.output().expect("it runs")
}

fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// All files below a folder, with their contents.
fn files(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let mut found = BTreeMap::new();
    for entry in fs::read_dir(folder).expect("listed").flatten() {
        if entry.path().is_dir() {
            found.extend(files(&entry.path()));
        } else {
            found.insert(entry.path(), fs::read(entry.path()).expect("read"));
        }
    }
    found
}

fn segment(folder: &Folder) -> PathBuf {
    let all = fs::read_dir(folder.0.join("state/journal")).expect("listed").flatten();
    all.map(|f| f.path()).max_by_key(|f| fs::metadata(f).map_or(0, |m| m.len())).expect("a segment")
}

fn with_options(folder: &Folder, discovery: &Discovery, options: &str) -> Command {
    let path = folder.0.join("options.toml");
    fs::write(&path, options).expect("written");
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut command = command(folder, discovery, &config(discovery, known));
    command.env("LB_OPTIONS", path);
    command
}

/// Creates the journal of a killed courier with five messages, none of which was attempted.
fn journal_with_five_messages(options: &str) -> (Folder, Discovery) {
    let unused = Endpoint::new(|_| Reply::Hang);
    let discovery = Discovery::new(list(1, true, vec![host("s-0", &unused, 7, "draining")]));
    let folder = Folder::new();
    let courier = Courier::spawn(&mut with_options(&folder, &discovery, options));
    for n in 0..5 {
        courier.submit_accepted(&format!("m{n}"), ["notice", "status", "payment"][n % 3], 7, 25_000);
    }
    let busy = run_courier(&["check"], &folder);
    assert_eq!(busy.status.code(), Some(3), "{}", printed(&busy));
    assert!(printed(&busy).contains("a courier runs on it"), "{}", printed(&busy));
    courier.kill();
    (folder, discovery)
}

fn deliver(folder: &Folder, discovery: &Discovery, options: &str) -> Vec<String> {
    let endpoint = Endpoint::new(|_| Reply::Answer(OK));
    discovery.push_line(list(2, false, vec![host("s-1", &endpoint, 7, "ready")]));
    let courier = Courier::spawn(&mut with_options(folder, discovery, options));
    courier.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last of all", || {
        endpoint.ids().len() + discovery.notices.lock().expect("notices").len() >= 6
    });
    let mut ids = endpoint.ids();
    ids.sort();
    ids
}

#[test]
fn a_synced_journal_survives_sigkill_in_either_durability_mode() {
    const POWER: &str = "[store]\ndurability = \"power\"\n";
    for (before, after) in [(POWER, POWER), (POWER, ""), ("", POWER)] {
        let (folder, discovery) = journal_with_five_messages(before);
        assert_eq!(deliver(&folder, &discovery, after), ["last", "m0", "m1", "m2", "m3", "m4"]);
    }
}

#[test]
fn a_journal_is_inspected_without_changes_and_repaired_on_a_copy() {
    let (folder, discovery) = journal_with_five_messages("");
    let intact = run_courier(&["check"], &folder);
    assert_eq!(
        (intact.status.code(), printed(&intact).contains("5 messages live")),
        (Some(0), true),
        "{}",
        printed(&intact)
    );
    // The first message's payload: its id can still be read.
    let (path, at) = (segment(&folder), 128 + 32 + 60);
    let mut bytes = fs::read(&path).expect("read");
    bytes[at] ^= 1;
    fs::write(&path, &bytes).expect("written");
    let before = files(&folder.0);
    let damaged = run_courier(&["check"], &folder);
    assert_eq!(damaged.status.code(), Some(1));
    let (name, told) = (path.file_name().expect("a name").to_string_lossy().into_owned(), printed(&damaged));
    assert!(told.contains(&format!("damaged: {name} at 128,")) && told.contains("1 end as dead"), "{told}");
    let shown = run_courier(&["show", "--json"], &folder);
    let lines: Vec<Value> =
        printed(&shown).lines().map(|line| serde_json::from_str(line).expect("an object")).collect();
    assert_eq!(
        lines.iter().map(|l| l["id"].as_str().expect("an id")).collect::<Vec<_>>(),
        ["m0", "m1", "m2", "m3", "m4"]
    );
    assert_eq!((&lines[0]["verdict"], &lines[1]["verdict"]), (&Value::from("dead"), &Value::Null));
    let one = printed(&run_courier(&["show", "--id", "m2"], &folder));
    assert!(one.lines().count() == 1 && one.starts_with("m2: payment for 7, waits"), "{one}");
    assert_eq!(files(&folder.0), before, "nothing is changed by looking");
    let repaired = run_courier(&["repair"], &folder);
    assert_eq!(repaired.status.code(), Some(0), "{}", printed(&repaired));
    assert_eq!(fs::read(folder.0.join("state/journal.damaged-1").join(name)).expect("kept"), bytes);
    let (again, intact) = (run_courier(&["check"], &folder), run_courier(&["repair"], &folder));
    assert_eq!((again.status.code(), intact.status.code()), (Some(0), Some(0)));
    assert!(printed(&again).contains("5 messages live, 1 of them decided"), "{}", printed(&again));
    assert!(!folder.0.join("state/journal.damaged-2").exists(), "nothing to mend, nothing done");
    assert_eq!(deliver(&folder, &discovery, ""), ["last", "m1", "m2", "m3", "m4"]);
    assert_eq!(discovery.results("m0"), ["dead"]);
}

#[test]
fn with_on_damage_refuse_the_courier_starts_once_repaired() {
    const REFUSE: &str = "[store]\non_damage = \"refuse\"\n";
    let (folder, discovery) = journal_with_five_messages(REFUSE);
    let path = segment(&folder);
    let mut bytes = fs::read(&path).expect("read");
    bytes[300] ^= 8;
    fs::write(&path, &bytes).expect("written");
    let refused = with_options(&folder, &discovery, REFUSE).output().expect("it runs");
    assert_eq!(refused.status.code(), Some(1), "{}", printed(&refused));
    assert!(printed(&refused).contains("nothing was changed"), "{}", printed(&refused));
    assert_eq!(fs::read(&path).expect("read"), bytes);
    assert_eq!(run_courier(&["repair"], &folder).status.code(), Some(0));
    assert!(deliver(&folder, &discovery, REFUSE).len() >= 5);
}

#[test]
fn failures_are_reported_with_a_message_and_an_exit_code() {
    let folder = Folder::new();
    let none = run_courier(&["check"], &folder);
    assert_eq!(none.status.code(), Some(3));
    assert!(printed(&none).contains("holds no journal"), "{}", printed(&none));
    let wrong =
        Command::new(env!("CARGO_BIN_EXE_courier")).args(["journal", "mend"]).output().expect("it runs");
    assert_eq!(wrong.status.code(), Some(2));
    let discovery = Discovery::new(list(1, true, Vec::new()));
    let typo =
        with_options(&folder, &discovery, "[store]\ndurabilty = \"power\"\n").output().expect("it runs");
    assert_eq!(typo.status.code(), Some(1));
    let told = printed(&typo);
    assert!(told.contains("LB_OPTIONS") && told.contains("durabilty") && told.contains("line 2"), "{told}");
}
