//! A process that goes on in place of one built before the decisions were split by concern takes its state on,
//! and decides from there as the one before would have.

mod common;

use common::*;
use lanegate_courier::interface::*;
use lanegate_courier::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

const STATE: &str = "tests/data/state_before_split.cbor";

/// Most calls answer well or slowly; some as full, with an error or late.
fn outcome(message: u64) -> (Outcome, u32) {
    match message % 29 {
        5 => (Outcome::Full { wait: None }, 2),
        11 => (Outcome::Error, 40),
        17 => (Outcome::TimedOut, 900),
        n if n % 4 == 3 => (Outcome::Delivered, 500),
        _ => (Outcome::Delivered, 150),
    }
}

/// Calls that are out: when each ends, with its message and endpoint.
type Ends = BTreeMap<Duration, (u64, u32)>;

/// Takes messages at a rate past what the slots allow, and ends each call after its time.
fn play(drive: &mut Driver, ends: &mut Ends, from: u64, to: u64) -> Vec<Action> {
    let mut all = Vec::new();
    for message in from..to {
        let (class, destination) = ((message % 3) as usize, 7 + message % 2);
        let mut actions =
            drive.feed(&[taken(message, class, destination, MS * (600 + 40 * (message % 50) as u32))]);
        actions.extend(drive.advance(MS * 15));
        let due: Vec<_> = ends.range(..=drive.now).map(|(at, ended)| (*at, *ended)).collect();
        for (at, (message, endpoint)) in due {
            ends.remove(&at);
            let (outcome, took) = outcome(message);
            actions.extend(drive.feed(&[ended(message, endpoint, outcome, took)]));
        }
        for (message, endpoint) in sends(&actions) {
            let mut at = drive.now + MS * outcome(message).1;
            while ends.contains_key(&at) {
                at += MS;
            }
            ends.insert(at, (message, endpoint));
        }
        all.extend(actions);
    }
    all
}

/// What the fixture was packed from: two destinations, one with separate routes, amid a rush.
fn rush() -> (Driver, Ends) {
    let entries = vec![entry(0, 7, 0, 0), entry(1, 7, 1, 0), entry(2, 8, 0, 1), entry(3, 8, 1, 1)];
    let mut drive = Driver::new(settings(), entries);
    let mut ends = Ends::new();
    play(&mut drive, &mut ends, 0, 120);
    (drive, ends)
}

#[test]
fn a_state_from_before_the_split_is_taken_on_and_decides_alike() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let before = std::fs::read(root.join(STATE)).expect("the fixture");
    let now = rush().0.scheduler.pack().expect("packed");
    let go_on = |bytes: &[u8]| {
        let (mut drive, mut ends) = rush();
        drive.scheduler = Scheduler::unpack(bytes, settings(), 3).expect("a state that can be read");
        play(&mut drive, &mut ends, 120, 240)
    };
    let from_now = go_on(&now);
    let from_before = go_on(&before);
    assert!(has(&from_now, |action| matches!(action, Action::Refuse { .. })), "nothing gave way");
    assert!(sends(&from_now).len() > 20, "{} sends", sends(&from_now).len());
    assert_eq!(from_before, from_now);
}

#[test]
fn a_state_is_packed_as_before() {
    let packed = rush().0.scheduler.pack().expect("packed");
    let again = Scheduler::unpack(&packed, settings(), 3).expect("a state that can be read");
    let again = again.pack().expect("packed");
    lanegate_golden::assert_bytes(
        env!("CARGO_MANIFEST_DIR"),
        "state",
        [("rush", packed), ("taken-on", again)],
    );
}
