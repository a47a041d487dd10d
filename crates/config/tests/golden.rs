//! Pins every field name and encoded form of the documents that the processes share.

use lanegate_config::configuration::{
    Backend, Configuration, Document, Limits, Model, Route, RouteType, Runtime, WeightedBackend,
};
use lanegate_config::control_state::{Command, ControlState, Method, Outcome};
use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::findings::Findings;
use lanegate_config::instance::{Instance, InstanceState, ResidentModel};
use lanegate_config::settings::Settings;
use std::path::{Path, PathBuf};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

#[test]
fn every_field_of_the_settings_file_has_its_name() {
    let settings = Settings::load(&file("settings.yaml")).expect("it can be read");
    assert_eq!((&*settings.node_name, &*settings.role, &*settings.zone), ("edge-1", "router", "north"));
    assert_eq!((settings.ip, &*settings.region), ("10.1.0.35".parse().unwrap(), "upper"));
    assert_eq!((&*settings.zones["north"], &*settings.zones["south"]), ("upper", "lower"));
    let listeners = settings.listeners_map;
    assert_eq!(listeners.frontend, Some("10.1.0.35:8144".parse().unwrap()));
    assert_eq!(listeners.readiness, Some("10.1.0.35:8140".parse().unwrap()));
    assert_eq!(listeners.control_plane, Some("10.1.0.35:8146".parse().unwrap()));
    assert_eq!(settings.port_range, (7660, 7675));
    assert_eq!(settings.seeds, ["10.1.0.38:8146".parse().unwrap()]);
    assert!(settings.bootstrap && settings.counts_for_quorum);
    let limits = settings.limits;
    assert_eq!((limits.cpu_quota, limits.cores, limits.memory_mb), (0.25, 1, 260.0));
    assert_eq!((limits.max_fds, limits.link_mbps, limits.disk_mb), (4100, 1000.5, 64.0));
    assert_eq!((settings.data_dir, settings.heartbeat_ms), (Some("/data".into()), 1300.0));
    let tolerance = settings.fault_tolerance;
    assert_eq!((tolerance.machines, tolerance.zones, tolerance.regions), (1, 2, 3));
    let bounds = settings.bounds;
    let figures = [
        bounds.seed_lag_s,
        bounds.reuse_after_s,
        bounds.contact_ms,
        bounds.ack_ms,
        bounds.catch_up_s,
        bounds.drain_ms,
        bounds.grace_s,
        bounds.loss_slack_ms,
        bounds.config_apply_ms,
        bounds.rollback_slack_ms,
        bounds.max_stretch_ms,
        bounds.retry_ratio,
        bounds.retry_window_s,
        bounds.retry_slack,
        bounds.recover_s,
        bounds.pass_ms,
        bounds.lease_ms,
        bounds.thaw_ms,
        bounds.rate_limit_window_s,
        bounds.rate_limit_overshoot,
    ];
    assert_eq!(figures.to_vec(), (1..=20).map(f64::from).collect::<Vec<_>>());
    assert!(bounds.fencing);
}

fn route(name: &str, path_prefix: &str, route_type: RouteType) -> Route {
    Route {
        name: name.into(),
        hostname: "a.example".into(),
        path_prefix: path_prefix.into(),
        route_type,
        timeout_ms: 1.0,
        target_ms: 0.0,
        priority: 0,
        backend: Some("b1".into()),
        traffic_split: Vec::new(),
        max_attempts: 1,
        sticky: false,
        resumable: false,
        token_gap_target_ms: None,
    }
}

fn configuration() -> Configuration {
    let streaming = Route {
        timeout_ms: 6000.0,
        target_ms: 1500.0,
        priority: 2,
        traffic_split: vec![WeightedBackend { backend: "b1".into(), weight: 90.0 }],
        max_attempts: 3,
        sticky: true,
        resumable: true,
        token_gap_target_ms: Some(400.0),
        ..route("r1", "/x/", RouteType::Streaming)
    };
    let model = Model {
        name: "m1".into(),
        weights_mb: 65099.5,
        load_time_s: 0.6,
        adapters: 31,
        adapter_size_mb: 12.5,
    };
    let runtime = Runtime {
        capacity: 64,
        kv_cache_tokens: 233_278.0,
        stride: Some(5.0),
        models: vec![model],
        weights_mb: 220_000.0,
        max_adapters: 8,
        loads_per_s: 2.8,
    };
    let backend = Backend {
        name: "b1".into(),
        health_path: Some("/healthz".into()),
        max_conns: Some(360),
        runtime: Some(runtime),
    };
    let (second, third) =
        (route("r2", "/y/", RouteType::Idempotent), route("r3", "/z/", RouteType::NonIdempotent));
    Configuration {
        version: 7,
        routes: vec![streaming, second, third],
        backends: vec![backend],
        limits: Limits {
            max_header_bytes: 1000,
            max_body_bytes: 2000,
            header_timeout_ms: 3001.0,
            idle_timeout_ms: 15001.0,
        },
    }
}

#[test]
fn every_field_of_the_configuration_has_its_name() {
    let text = std::fs::read(file("configuration.json")).expect("it can be read");
    let document = Document::parse(text.clone()).expect("it is valid");
    assert_eq!(**document.configuration(), configuration());
    assert_eq!(document.serialize(), text);
    assert_eq!(Document::empty().serialize(), r#"{"Version":0}"#);
}

#[test]
fn registrations_match_the_recorded_bytes() {
    const TEXT: &str = concat!(
        r#"{"Id":"e1-3","Backend":"b","Address":"10.128.0.9:8080","Zone":"z","Version":"v1","Capacity":64,"#,
        r#""State":"draining","ColdLeftMs":12.5,"Phase":"prefill","Models":[{"Name":"m","Version":2,"#,
        r#""Adapters":["a1"]}],"Sequence":4,"RemainingMs":900.0}"#
    );
    let instance = Instance {
        id: "e1-3".into(),
        backend: "b".into(),
        address: "10.128.0.9:8080".parse().unwrap(),
        zone: "z".into(),
        version: "v1".into(),
        capacity: 64,
        state: InstanceState::Draining,
        warmup_remaining_ms: 12.5,
        phase: Some("prefill".into()),
        models: vec![ResidentModel { name: "m".into(), version: 2, adapters: vec!["a1".into()] }],
        sequence: 4,
        remaining_ms: Some(900.0),
    };
    assert_eq!(serde_json::to_string(&instance).unwrap(), TEXT);
    assert_eq!(serde_json::from_str::<Instance>(TEXT).unwrap(), instance);
    let ready = Instance { state: InstanceState::Ready, phase: None, remaining_ms: None, ..instance };
    let text = TEXT.replace("draining", "ready").replace("\"prefill\"", "null").replace("900.0", "null");
    assert_eq!(serde_json::to_string(&ready).unwrap(), text);
    assert_eq!(serde_json::from_str::<Instance>(&text).unwrap(), ready);
}

#[test]
fn reports_of_demand_match_the_recorded_bytes() {
    const TEXT: &str = concat!(
        r#"{"period_ms":1000,"models":[{"backend":"b","model":"m","adapter":"a1","requests":3,"#,
        r#""tokens":9000,"unplaced":1},{"backend":"b","model":"m","adapter":null,"requests":1,"#,
        r#""tokens":2,"unplaced":0}]}"#
    );
    let demand = |adapter: Option<&str>, requests, tokens, unplaced| ModelDemand {
        backend: "b".into(),
        model: "m".into(),
        adapter: adapter.map(str::to_owned),
        requests,
        tokens,
        unplaced,
    };
    let models = vec![demand(Some("a1"), 3, 9000, 1), demand(None, 1, 2, 0)];
    let report = DemandReport { period_ms: 1000, models };
    assert_eq!(serde_json::to_string(&report).unwrap(), TEXT);
    assert_eq!(serde_json::from_str::<DemandReport>(TEXT).unwrap(), report);
}

fn commands() -> [(&'static str, Command); 3] {
    let body = |text: &str| text.as_bytes().to_vec();
    let put = Command { method: Method::Put, if_match: Some(0), body: body(r#"{"Version":3}"#) };
    let patch = Command { method: Method::Patch, if_match: Some(3), body: body(r#"{"Version":5}"#) };
    let unconditional = Command { method: Method::Put, if_match: None, body: Vec::new() };
    [("command-put", put), ("command-patch", patch), ("command-unconditional", unconditional)]
}

fn outcomes() -> [(&'static str, Outcome); 5] {
    let mut findings = Findings::one("Routes[0].Backend", "is missing");
    findings.add("", "two");
    [
        ("outcome-taken", Outcome::Taken { version: 3 }),
        ("outcome-already-taken", Outcome::AlreadyTaken { current: 5 }),
        ("outcome-conflict", Outcome::Conflict { current: 0x0102_0304 }),
        ("outcome-invalid", Outcome::Invalid(findings.clone())),
        ("outcome-unclear", Outcome::Unclear(findings)),
    ]
}

#[test]
fn the_control_state_its_commands_and_outcomes_match_the_recorded_bytes() {
    let mut forms = Vec::new();
    let mut state = ControlState::default();
    for (name, command) in commands() {
        let bytes = command.encode();
        assert_eq!(Command::decode(&bytes).unwrap(), command);
        state = state.apply(&command).state.unwrap_or(state);
        forms.push((name, bytes));
    }
    for (name, outcome) in outcomes() {
        let bytes = outcome.encode();
        assert_eq!(Outcome::decode(&bytes).unwrap(), outcome);
        forms.push((name, bytes));
    }
    for (name, state) in [("state-empty", ControlState::default()), ("state-of-two-changes", state)] {
        let bytes = state.encode();
        assert_eq!(ControlState::decode(&bytes).unwrap(), state);
        forms.push((name, bytes));
    }
    lanegate_golden::assert_bytes(env!("CARGO_MANIFEST_DIR"), "control_state", forms);
}
