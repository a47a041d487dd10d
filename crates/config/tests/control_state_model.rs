//! Sequences of changes of two operators, some repeated, against a simple model.

use lanegate_config::control_state::{Command, ControlState, Method, Outcome};
use proptest::prelude::*;

/// A call of one of two operators.
#[derive(Debug, Clone)]
enum Call {
    /// A new change based on the current version, or on an earlier one.
    Change { operator: u8, is_put: bool, behind: u64, step: u64 },
    /// A repetition of the call with that index.
    Repeat { of: prop::sample::Index },
}

fn calls() -> impl Strategy<Value = Call> {
    let change = (0..2_u8, any::<bool>(), 0..2_u64, 0..3_u64)
        .prop_map(|(operator, is_put, behind, step)| Call::Change { operator, is_put, behind, step });
    let repeat = any::<prop::sample::Index>().prop_map(|of| Call::Repeat { of });
    prop_oneof![2 => change, 1 => repeat]
}

fn command(current: u64, operator: u8, is_put: bool, behind: u64, step: u64) -> Command {
    let method = if is_put { Method::Put } else { Method::Patch };
    let body = format!(r#"{{"Version":{},"Limits":{{"MaxBodyBytes":{operator}}}}}"#, current + step);
    Command { method, if_match: Some(current.saturating_sub(behind)), body: body.into_bytes() }
}

/// The limit that identifies the operator of a change.
fn limit(text: &str) -> &str {
    text.split("\"MaxBodyBytes\":").nth(1).unwrap().trim_end_matches('}')
}

proptest! {
    #[test]
    fn changes_are_accepted_once_and_acknowledged_ever_after(
        calls in prop::collection::vec(calls(), 1..30),
    ) {
        let mut state = ControlState::default();
        let mut sent: Vec<Command> = Vec::new();
        let mut accepted: Vec<Command> = Vec::new();
        for call in calls {
            let command = match call {
                Call::Repeat { of } if !sent.is_empty() => of.get(&sent).clone(),
                Call::Repeat { .. } => continue,
                Call::Change { operator, is_put, behind, step } => {
                    command(state.version(), operator, is_put, behind, step)
                }
            };
            sent.push(command.clone());
            let before = state.version();
            let applied = state.apply(&command);
            match &applied.outcome {
                Outcome::Taken { version } => {
                    prop_assert!(!accepted.contains(&command));
                    prop_assert!(*version > before && command.if_match == Some(before));
                    accepted.push(command);
                }
                Outcome::AlreadyTaken { current } => {
                    let same = |other: &Command| other.method == command.method && other.body == command.body;
                    prop_assert!(accepted.iter().any(same) || state.document() == Some(&*command.body));
                    prop_assert_eq!(*current, before);
                }
                Outcome::Conflict { current } => {
                    prop_assert!(!accepted.contains(&command));
                    prop_assert!(*current == before && command.if_match != Some(before));
                }
                Outcome::Invalid(_) => {
                    prop_assert!(!accepted.contains(&command) && command.if_match == Some(before));
                }
                Outcome::Unclear(_) => prop_assert!(false, "the history is not full yet"),
            }
            if let Some(next) = applied.state {
                state = ControlState::decode(&next.encode()).unwrap();
                let body = String::from_utf8(accepted.last().unwrap().body.clone()).unwrap();
                prop_assert_eq!(limit(&body), limit(std::str::from_utf8(state.document().unwrap()).unwrap()));
            }
        }
        for command in &accepted {
            prop_assert!(state.apply(command).outcome.is_acknowledged());
        }
    }
}
