//! Changes of the configuration: accepted once, acknowledged again, rejected.

use lanegate_config::control_state::{
    Applied, Command, ControlState, HISTORY_LENGTH, Method, Outcome, apply,
};
use lanegate_config::findings::Findings;
use proptest::prelude::*;

fn put(if_match: u64, body: &str) -> Command {
    Command { method: Method::Put, if_match: Some(if_match), body: body.as_bytes().to_vec() }
}

fn patch(if_match: u64, body: &str) -> Command {
    Command { method: Method::Patch, if_match: Some(if_match), body: body.as_bytes().to_vec() }
}

fn version(version: u64) -> String {
    format!(r#"{{"Version":{version}}}"#)
}

fn after(commands: &[Command]) -> ControlState {
    commands.iter().fold(ControlState::default(), |state, command| accepted(state.apply(command)))
}

fn accepted(applied: Applied) -> ControlState {
    assert!(matches!(applied.outcome, Outcome::Taken { .. }), "{:?}", applied.outcome);
    applied.state.unwrap()
}

fn outcome(state: &ControlState, command: &Command) -> Outcome {
    let applied = state.apply(command);
    assert_eq!(applied.state.is_some(), matches!(applied.outcome, Outcome::Taken { .. }));
    applied.outcome
}

fn first_location(outcome: Outcome) -> String {
    let Outcome::Invalid(findings) = outcome else { panic!("{outcome:?}") };
    findings.iter().next().unwrap().location.clone()
}

#[test]
fn first_configuration_builds_on_version_0() {
    let state = after(&[put(0, &version(3))]);
    assert_eq!(state.version(), 3);
    assert_eq!(state.document(), Some(version(3).as_bytes()));
    assert_eq!(ControlState::default().document(), None);
}

#[test]
fn repeated_change_is_acknowledged_again() {
    let first = put(0, &version(3));
    let second = patch(3, &version(5));
    let state = after(&[first.clone(), second.clone()]);
    assert_eq!(outcome(&state, &second), Outcome::AlreadyTaken { current: 5 });
    let state = accepted(state.apply(&put(5, &version(9))));
    assert_eq!(outcome(&state, &first), Outcome::AlreadyTaken { current: 9 });
    assert_eq!(outcome(&state, &second), Outcome::AlreadyTaken { current: 9 });
}

#[test]
fn put_of_current_configuration_is_acknowledged() {
    let state = after(&[put(0, &version(3)), patch(3, &version(5))]);
    assert_eq!(outcome(&state, &put(3, &version(5))), Outcome::AlreadyTaken { current: 5 });
    assert_eq!(outcome(&state, &put(77, &version(5))), Outcome::AlreadyTaken { current: 5 });
}

#[test]
fn one_of_two_changes_on_a_version_wins() {
    let state = after(&[put(0, &version(3)), put(3, &version(5))]);
    let other = put(3, r#"{"Version":5,"Other":true}"#);
    assert_eq!(outcome(&state, &other), Outcome::Conflict { current: 5 });
    assert_eq!(outcome(&state, &patch(3, &version(8))), Outcome::Conflict { current: 5 });
    assert_eq!(outcome(&state, &put(6, &version(8))), Outcome::Conflict { current: 5 });
}

#[test]
fn version_that_does_not_rise_is_invalid() {
    let state = after(&[put(0, &version(3))]);
    assert_eq!(first_location(outcome(&state, &put(3, r#"{"Version":3,"Other":1}"#))), "Version");
    assert_eq!(first_location(outcome(&state, &patch(3, &version(2)))), "Version");
    assert_eq!(first_location(outcome(&ControlState::default(), &put(0, &version(0)))), "Version");
}

#[test]
fn invalid_changes_are_reported() {
    let state = after(&[put(0, &version(3))]);
    assert_eq!(first_location(outcome(&state, &put(3, "{"))), "");
    let route = r#"{"Name":"r","Hostname":"a","PathPrefix":"/p/","TimeoutMs":9,"Backend":"b"}"#;
    let body = format!(r#"{{"Version":4,"Upsert":{{"Routes":[{route}]}}}}"#);
    assert_eq!(first_location(outcome(&state, &patch(3, &body))), "Routes[0].Backend");
}

#[test]
fn missing_precondition_is_reported() {
    let command = Command { if_match: None, ..put(0, &version(3)) };
    assert_eq!(first_location(outcome(&ControlState::default(), &command)), "If-Match");
    let state = after(&[put(0, &version(3))]);
    assert!(outcome(&state, &command).is_acknowledged(), "it is in force already");
}

#[test]
fn patch_may_be_the_first_change() {
    let state = after(&[patch(0, r#"{"Version":2,"Upsert":{"Backends":[{"Name":"b"}]}}"#)]);
    assert_eq!(state.document().unwrap(), br#"{"Version":2,"Backends":[{"Name":"b"}]}"#);
}

/// A state that has accepted one change more than it remembers, and those changes; each makes the version that is two
/// higher than the previous one.
fn state_with_one_forgotten_change() -> (ControlState, Vec<Command>) {
    let bases = (0..=HISTORY_LENGTH as u64).map(|number| 2 * number);
    let changes: Vec<_> = bases.map(|base| put(base, &version(base + 2))).collect();
    (after(&changes), changes)
}

#[test]
fn forgotten_put_is_not_rejected() {
    let (state, changes) = state_with_one_forgotten_change();
    assert!(matches!(outcome(&state, &changes[0]), Outcome::Unclear(_)));
    for change in &changes[1..] {
        assert!(outcome(&state, change).is_acknowledged());
    }
    assert_eq!(ControlState::decode(&state.encode()).unwrap(), state);
}

#[test]
fn forgotten_patch_is_not_rejected() {
    let first = patch(0, &version(1));
    let bases = 1..=HISTORY_LENGTH as u64;
    let rest: Vec<_> = bases.map(|base| patch(base, &version(base + 1))).collect();
    let state = after(&[vec![first.clone()], rest.clone()].concat());
    assert!(matches!(outcome(&state, &first), Outcome::Unclear(_)));
    assert!(outcome(&state, &rest[0]).is_acknowledged());
}

#[test]
fn change_that_was_never_accepted_is_rejected_after_many_others() {
    let (state, changes) = state_with_one_forgotten_change();
    let current = state.version();
    // Another body for the version of a remembered change, and a version between two remembered ones.
    let same_number = put(2, r#"{"Version":4,"Other":true}"#);
    assert_eq!(outcome(&state, &same_number), Outcome::Conflict { current });
    assert_eq!(outcome(&state, &put(4, &version(5))), Outcome::Conflict { current });
    // A new version on an old one.
    assert_eq!(outcome(&state, &put(0, &version(current + 2))), Outcome::Conflict { current });
    // Not higher than the version it builds on: it was never valid.
    assert_eq!(outcome(&state, &put(1, &version(1))), Outcome::Conflict { current });
    assert_eq!(outcome(&state, &put(1, "{")), Outcome::Conflict { current });
    assert_eq!(first_location(outcome(&state, &put(current, &version(1)))), "Version");
    let unconditional = Command { if_match: None, ..changes[0].clone() };
    assert_eq!(first_location(outcome(&state, &unconditional)), "If-Match");
}

#[test]
fn full_history_still_has_oldest_change() {
    let (_, changes) = state_with_one_forgotten_change();
    let full = after(&changes[..HISTORY_LENGTH]);
    assert!(outcome(&full, &changes[0]).is_acknowledged());
    let almost_full = after(&changes[..HISTORY_LENGTH - 1]);
    let never_accepted = put(0, &version(1));
    assert!(matches!(outcome(&almost_full, &never_accepted), Outcome::Conflict { .. }));
}

#[test]
fn state_size_is_bounded() {
    let (state, _) = state_with_one_forgotten_change();
    let size = state.encode().len();
    let changed = accepted(state.apply(&put(state.version(), &version(state.version() + 2))));
    assert_eq!(changed.encode().len(), size);
    assert!(size < HISTORY_LENGTH * 24 + 200, "{size} bytes");
}

/// The state of a release that remembered 4,096 changes: digest `n` for the change that made version `n`.
fn state_of_an_earlier_release(changes: u64) -> Vec<u8> {
    let mut bytes = b"LGC1".to_vec();
    bytes.extend(changes.to_le_bytes());
    bytes.extend((changes as u32).to_le_bytes());
    for number in 1..=changes {
        bytes.extend(number.to_le_bytes());
        bytes.extend(u128::from(number).to_le_bytes());
    }
    bytes.extend(version(changes).as_bytes());
    bytes
}

#[test]
fn longer_history_of_earlier_release_is_truncated() {
    let state = ControlState::decode(&state_of_an_earlier_release(4_096)).unwrap();
    assert_eq!(state.version(), 4_096);
    let next = accepted(state.apply(&put(4_096, &version(4_097))));
    assert!(next.encode().len() < HISTORY_LENGTH * 24 + 200);
    let forgotten = 4_097 - HISTORY_LENGTH as u64;
    assert!(matches!(outcome(&next, &put(forgotten - 1, &version(forgotten))), Outcome::Unclear(_)));
    let remembered = put(forgotten, &version(forgotten + 1));
    assert_eq!(outcome(&next, &remembered), Outcome::Conflict { current: 4_097 });
    assert!(ControlState::decode(&state_of_an_earlier_release(4_097)).is_err());
}

#[test]
fn encoded_command_applies_to_encoded_state() {
    let command = put(0, &version(3)).encode();
    let (outcome, state) = apply(&[], &command).unwrap();
    assert_eq!(outcome, Outcome::Taken { version: 3 });
    let (outcome, unchanged) = apply(&state.unwrap(), &command).unwrap();
    assert_eq!((outcome, unchanged), (Outcome::AlreadyTaken { current: 3 }, None));
    assert!(apply(b"no state", &command).is_err());
    assert!(apply(&[], &[]).is_err());
}

#[test]
fn outcomes_map_to_status() {
    assert_eq!(Outcome::Taken { version: 1 }.status(), 200);
    assert_eq!(Outcome::AlreadyTaken { current: 1 }.status(), 200);
    assert_eq!(Outcome::Conflict { current: 1 }.status(), 412);
    assert_eq!(Outcome::Invalid(Findings::default()).status(), 400);
    assert_eq!(Outcome::Unclear(Findings::default()).status(), 503);
}

#[test]
fn encoded_findings_are_truncated() {
    let mut findings = Findings::default();
    for index in 0..60 {
        findings.add(format!("Routes[{index}]"), "é".repeat(2_000));
    }
    let unclear = Outcome::Unclear(findings.clone());
    assert!(matches!(Outcome::decode(&unclear.encode()), Ok(Outcome::Unclear(_))));
    let decoded = Outcome::decode(&Outcome::Invalid(findings).encode()).unwrap();
    let Outcome::Invalid(findings) = decoded else { panic!("{decoded:?}") };
    assert_eq!(findings.iter().count(), 51);
    assert_eq!(findings.iter().last().unwrap().message, "10 more");
    assert_eq!(findings.iter().next().unwrap().message, "é".repeat(500));
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    let findings = prop::collection::vec((".{0,20}", ".{0,40}"), 0..5).prop_map(|texts| {
        let mut findings = Findings::default();
        texts.into_iter().for_each(|(place, message)| findings.add(place, message));
        findings
    });
    prop_oneof![
        any::<u64>().prop_map(|version| Outcome::Taken { version }),
        any::<u64>().prop_map(|current| Outcome::AlreadyTaken { current }),
        any::<u64>().prop_map(|current| Outcome::Conflict { current }),
        findings.clone().prop_map(Outcome::Invalid),
        findings.prop_map(Outcome::Unclear),
    ]
}

proptest! {
    #[test]
    fn commands_round_trip(
        is_put: bool,
        if_match: Option<u64>,
        body in prop::collection::vec(any::<u8>(), 0..50),
    ) {
        let method = if is_put { Method::Put } else { Method::Patch };
        let command = Command { method, if_match, body };
        prop_assert_eq!(Command::decode(&command.encode()).unwrap(), command);
    }

    #[test]
    fn outcomes_round_trip(outcome in outcomes()) {
        prop_assert_eq!(Outcome::decode(&outcome.encode()).unwrap(), outcome);
    }

    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        let _ = ControlState::decode(&bytes);
        let _ = Command::decode(&bytes);
        let _ = Outcome::decode(&bytes);
        let with_magic = [b"LGC1", bytes.as_slice()].concat();
        let _ = ControlState::decode(&with_magic);
        let _ = ControlState::default().apply(&put(0, &String::from_utf8_lossy(&bytes)));
    }
}
