//! The configuration as the state machine of a cluster, and changes to it.

use lanegate_config::control_state::{self, Command, ControlState, Method, Outcome};
use lanegate_coordination::register::{Applied, Outcome as RegisterOutcome, StateMachine};

/// Applies changes as the controllers do.
pub(crate) struct Configuration;

impl StateMachine for Configuration {
    fn apply(&self, current: &[u8], command: &[u8]) -> Applied {
        let (outcome, state) =
            control_state::apply(current, command).expect("the state and the command can be decoded");
        let answer = outcome.encode();
        match state {
            Some(state) => Applied::Changed { state, answer },
            None if outcome.is_acknowledged() => Applied::Unchanged { answer },
            None => Applied::Refused { answer },
        }
    }
}

/// A change that replaces the complete configuration.
pub(crate) fn put(base: u64, body: String) -> Command {
    Command { method: Method::Put, if_match: Some(base), body: body.into_bytes() }
}

/// A change of single items, which are identified by their names.
pub(crate) fn patch(base: u64, body: String) -> Command {
    Command { method: Method::Patch, if_match: Some(base), body: body.into_bytes() }
}

/// A configuration with this number of routes, all to the same service.
pub(crate) fn document(version: u64, routes: usize) -> String {
    let routes: Vec<String> = (0..routes).map(|number| route(number, version)).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Backends":[{{"Name":"service","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false}}]}}"#,
        routes.join(",")
    )
}

/// A route as operators write them.
pub(crate) fn route(number: usize, version: u64) -> String {
    let timeout = 1_000 + version % 1_000;
    format!(
        r#"{{"Name":"route-{number}","Hostname":"host.example","PathPrefix":"/path{number}/","RouteType":"streaming","TimeoutMs":{timeout},"TargetMs":800,"Priority":1,"TrafficSplit":[{{"Backend":"service","Weight":90}},{{"Backend":"service","Weight":10}}],"MaxAttempts":2,"Sticky":true,"Resumable":true,"gap_aim_ms":400}}"#
    )
}

/// The outcome of a change; `None` if there is no answer or the outcome is unknown.
pub(crate) fn outcome(answer: Option<RegisterOutcome>) -> Option<Outcome> {
    let encoded = match answer? {
        RegisterOutcome::Changed { answer, .. }
        | RegisterOutcome::Unchanged { answer, .. }
        | RegisterOutcome::Refused { answer, .. } => answer,
        _ => return None,
    };
    Some(Outcome::decode(&encoded).expect("the outcome can be decoded"))
}

/// The version of the configuration in a state.
pub(crate) fn version(state: &[u8]) -> u64 {
    ControlState::decode(state).expect("the state can be decoded").version()
}
