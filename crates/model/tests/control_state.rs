//! Changes of the configuration: taken once, acknowledged again, refused.

use lanegate_model::control_state::{Applied, Command, ControlState, HISTORY_LENGTH, Method, Outcome, apply};
use lanegate_model::findings::Findings;
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
    commands.iter().fold(ControlState::default(), |state, command| taken(state.apply(command)))
}

fn taken(applied: Applied) -> ControlState {
    assert!(matches!(applied.outcome, Outcome::Taken { .. }), "{:?}", applied.outcome);
    applied.state.unwrap()
}

fn outcome(state: &ControlState, command: &Command) -> Outcome {
    let applied = state.apply(command);
    assert_eq!(applied.state.is_some(), matches!(applied.outcome, Outcome::Taken { .. }));
    applied.outcome
}

fn place(outcome: Outcome) -> String {
    let Outcome::Invalid(findings) = outcome else { panic!("{outcome:?}") };
    findings.iter().next().unwrap().place.clone()
}

#[test]
fn the_first_configuration_builds_on_version_0() {
    let state = after(&[put(0, &version(3))]);
    assert_eq!(state.version(), 3);
    assert_eq!(state.document(), Some(version(3).as_bytes()));
    assert_eq!(ControlState::default().document(), None);
}

#[test]
fn a_change_sent_again_is_acknowledged_again_also_after_later_ones() {
    let first = put(0, &version(3));
    let second = patch(3, &version(5));
    let state = after(&[first.clone(), second.clone()]);
    assert_eq!(outcome(&state, &second), Outcome::AlreadyTaken { current: 5 });
    let state = taken(state.apply(&put(5, &version(9))));
    assert_eq!(outcome(&state, &first), Outcome::AlreadyTaken { current: 9 });
    assert_eq!(outcome(&state, &second), Outcome::AlreadyTaken { current: 9 });
}

#[test]
fn what_is_in_force_may_be_put_whatever_it_builds_on() {
    let state = after(&[put(0, &version(3)), patch(3, &version(5))]);
    assert_eq!(outcome(&state, &put(3, &version(5))), Outcome::AlreadyTaken { current: 5 });
    assert_eq!(outcome(&state, &put(77, &version(5))), Outcome::AlreadyTaken { current: 5 });
}

#[test]
fn of_two_changes_on_one_version_one_wins() {
    let state = after(&[put(0, &version(3)), put(3, &version(5))]);
    let other = put(3, r#"{"Version":5,"Other":true}"#);
    assert_eq!(outcome(&state, &other), Outcome::Conflict { current: 5 });
    assert_eq!(outcome(&state, &patch(3, &version(8))), Outcome::Conflict { current: 5 });
    assert_eq!(outcome(&state, &put(6, &version(8))), Outcome::Conflict { current: 5 });
}

#[test]
fn a_version_that_does_not_rise_is_invalid() {
    let state = after(&[put(0, &version(3))]);
    assert_eq!(place(outcome(&state, &put(3, r#"{"Version":3,"Other":1}"#))), "Version");
    assert_eq!(place(outcome(&state, &patch(3, &version(2)))), "Version");
    assert_eq!(place(outcome(&ControlState::default(), &put(0, &version(0)))), "Version");
}

#[test]
fn invalid_changes_name_their_mistakes() {
    let state = after(&[put(0, &version(3))]);
    assert_eq!(place(outcome(&state, &put(3, "{"))), "");
    let route = r#"{"Name":"r","Hostname":"a","PathPrefix":"/p/","TimeoutMs":9,"Backend":"b"}"#;
    let body = format!(r#"{{"Version":4,"Upsert":{{"Routes":[{route}]}}}}"#);
    assert_eq!(place(outcome(&state, &patch(3, &body))), "Routes[0].Backend");
}

#[test]
fn the_version_that_a_change_builds_on_has_to_be_named() {
    let command = Command { if_match: None, ..put(0, &version(3)) };
    assert_eq!(place(outcome(&ControlState::default(), &command)), "If-Match");
    let state = after(&[put(0, &version(3))]);
    assert!(outcome(&state, &command).is_acknowledged(), "it is in force already");
}

#[test]
fn a_patch_may_come_first() {
    let state = after(&[patch(0, r#"{"Version":2,"Upsert":{"Backends":[{"Name":"b"}]}}"#)]);
    assert_eq!(state.document().unwrap(), br#"{"Version":2,"Backends":[{"Name":"b"}]}"#);
}

#[test]
fn the_oldest_changes_are_forgotten() {
    let length = HISTORY_LENGTH as u64 + 2;
    let changes: Vec<_> = (0..length).map(|current| put(current, &version(current + 1))).collect();
    let state = after(&changes);
    assert_eq!(outcome(&state, &changes[1]), Outcome::Conflict { current: length });
    assert!(outcome(&state, &changes[2]).is_acknowledged());
    assert_eq!(ControlState::decode(&state.encode()).unwrap(), state);
}

#[test]
fn bytes_are_applied_to_bytes() {
    let command = put(0, &version(3)).encode();
    let (outcome, state) = apply(&[], &command).unwrap();
    assert_eq!(outcome, Outcome::Taken { version: 3 });
    let (outcome, unchanged) = apply(&state.unwrap(), &command).unwrap();
    assert_eq!((outcome, unchanged), (Outcome::AlreadyTaken { current: 3 }, None));
    assert!(apply(b"no state", &command).is_err());
    assert!(apply(&[], &[]).is_err());
}

#[test]
fn outcomes_have_their_status() {
    assert_eq!(Outcome::Taken { version: 1 }.status(), 200);
    assert_eq!(Outcome::AlreadyTaken { current: 1 }.status(), 200);
    assert_eq!(Outcome::Conflict { current: 1 }.status(), 412);
    assert_eq!(Outcome::Invalid(Findings::default()).status(), 400);
}

#[test]
fn long_lists_of_findings_are_cut_when_encoded() {
    let mut findings = Findings::default();
    for index in 0..60 {
        findings.add(format!("Routes[{index}]"), "é".repeat(2_000));
    }
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
        Outcome::Invalid(findings)
    });
    prop_oneof![
        any::<u64>().prop_map(|version| Outcome::Taken { version }),
        any::<u64>().prop_map(|current| Outcome::AlreadyTaken { current }),
        any::<u64>().prop_map(|current| Outcome::Conflict { current }),
        findings,
    ]
}

proptest! {
    #[test]
    fn commands_survive_encoding(
        is_put: bool,
        if_match: Option<u64>,
        body in prop::collection::vec(any::<u8>(), 0..50),
    ) {
        let method = if is_put { Method::Put } else { Method::Patch };
        let command = Command { method, if_match, body };
        prop_assert_eq!(Command::decode(&command.encode()).unwrap(), command);
    }

    #[test]
    fn outcomes_survive_encoding(outcome in outcomes()) {
        prop_assert_eq!(Outcome::decode(&outcome.encode()).unwrap(), outcome);
    }

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        let _ = ControlState::decode(&bytes);
        let _ = Command::decode(&bytes);
        let _ = Outcome::decode(&bytes);
        let with_magic = [b"LGC1", bytes.as_slice()].concat();
        let _ = ControlState::decode(&with_magic);
        let _ = ControlState::default().apply(&put(0, &String::from_utf8_lossy(&bytes)));
    }
}
