//! What the three processes tell of themselves, and that the pages and the deploy file agree with it.

mod common;
#[path = "../../metrics/tests/common/text_format.rs"]
mod text_format;

use common::err;
use common::processes::{Place, Process, call, connect, place, start_with_metrics, terminate};
use lanegate_invariants::Invariant;
use lanegate_metrics::METRICS_PATH;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use text_format::Figures;

const ROLES: [&str; 3] = ["router", "agent", "controller"];
const CONFIGURATION: &str = r#"{"Version": 7, "Backends": [{"Name": "b"}], "Routes": [
    {"Name": "r", "Hostname": "a.example", "PathPrefix": "/", "RouteType": "idempotent", "TimeoutMs": 1000,
     "TargetMs": 500, "MaxAttempts": 2, "Backend": "b"}]}"#;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn figures(at: SocketAddr, child: &mut Process) -> Figures {
    let answer = call(at, METRICS_PATH, child);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    Figures::parse(answer.split_once("\r\n\r\n").unwrap().1)
}

/// Longest wait for what has to come; reached only by tests that fail.
const PATIENCE: Duration = Duration::from_secs(30);

/// Asks again and again until `is_so`.
fn wait_until(at: SocketAddr, child: &mut Process, is_so: impl Fn(&Figures) -> bool) -> Figures {
    let began = Instant::now();
    loop {
        let told = figures(at, child);
        if is_so(&told) {
            return told;
        }
        assert!(began.elapsed() < PATIENCE, "{told:?}");
        std::thread::yield_now();
    }
}

/// The section on metrics of the operators' page.
fn section_on_metrics() -> String {
    let page = std::fs::read_to_string(repository().join("docs/operators.md")).unwrap();
    let section = page.split_once("\n## Metrics\n").expect("a section on metrics").1;
    section.split_once("\n## ").map_or(section, |(section, _)| section).to_owned()
}

/// All names in that section.
fn documented() -> BTreeSet<String> {
    let section = section_on_metrics();
    let words = section.split(|letter: char| !(letter.is_ascii_alphanumeric() || letter == '_'));
    words.filter(|word| word.starts_with("lanegate_")).map(str::to_owned).collect()
}

#[test]
fn every_metric_stands_on_the_operators_page_and_no_other() {
    let mut told = BTreeSet::new();
    for role in ROLES {
        let place = place(&format!("metrics-names-{role}"));
        let mut child = start_with_metrics(role, &place, place.metrics.port());
        let figures = figures(place.metrics, &mut child);
        let build = [("role", role), ("version", env!("CARGO_PKG_VERSION"))];
        assert_eq!(figures.value("lanegate_build_info", &build), 1.0);
        assert_eq!(figures.sum("lanegate_invariant_violations_total"), 0.0);
        assert_eq!(terminate(child).status.code(), Some(0));
        told.extend(figures.0.into_keys());
    }
    assert_eq!(told, documented());
}

#[test]
fn every_invariant_stands_on_the_operators_page() {
    let section = section_on_metrics();
    for invariant in Invariant::ALL {
        assert!(section.contains(&format!("| `{}` |", invariant.name())), "{}", invariant.name());
    }
}

#[test]
fn the_figures_of_the_three_roles_agree_on_the_configuration() {
    let place = place("metrics-system");
    let at = |port| SocketAddr::new(place.metrics.ip(), port);
    let (metrics_of_router, metrics_of_agent) = (at(9465), at(9466));
    let mut controller = start_with_metrics("controller", &place, place.metrics.port());
    change(&place, &mut controller);
    let mut agent = start_with_metrics("agent", &place, metrics_of_agent.port());
    let mut router = start_with_metrics("router", &place, metrics_of_router.port());
    let version = "lanegate_router_configuration_version";
    let of_router = wait_until(metrics_of_router, &mut router, |told| told.value(version, &[]) == 7.0);
    assert_eq!(of_router.value("lanegate_router_agent_link_up", &[]), 1.0);
    let of_agent = figures(metrics_of_agent, &mut agent);
    let of_controller = figures(place.metrics, &mut controller);
    assert_eq!(of_agent.value("lanegate_agent_router_links", &[]), 1.0);
    assert_eq!(of_agent.value("lanegate_agent_sources", &[("standing", "trusted")]), 1.0);
    assert_eq!(of_agent.value("lanegate_agent_links_started_total", &[]), 1.0);
    assert_eq!(of_controller.value("lanegate_controller_changes_total", &[("outcome", "taken")]), 1.0);
    assert_eq!(of_controller.value("lanegate_controller_readers", &[]), 1.0);
    assert_eq!(of_controller.value("lanegate_controller_quorum", &[]), 1.0);
    let written = [("result", "written")];
    assert!(of_controller.value("lanegate_controller_disk_writes_total", &written) > 0.0);
    assert!(of_controller.value("lanegate_controller_disk_write_seconds_total", &[]) > 0.0);
    assert_eq!(
        of_agent.value("lanegate_agent_configuration_revision", &[]),
        of_controller.value("lanegate_controller_configuration_revision", &[])
    );
    for child in [router, agent, controller] {
        assert_eq!(terminate(child).status.code(), Some(0));
    }
}

fn change(place: &Place, controller: &mut Process) {
    let began = Instant::now();
    loop {
        let mut stream = connect(place.control, controller);
        let length = CONFIGURATION.len();
        write!(
            stream,
            "PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{CONFIGURATION}"
        )
        .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        match answer.starts_with("HTTP/1.1 200 ") {
            true => return,
            false => assert!(answer.starts_with("HTTP/1.1 503 ") && began.elapsed() < PATIENCE, "{answer}"),
        }
    }
}

#[test]
fn a_process_whose_port_for_metrics_is_taken_says_so_once_and_serves() {
    for role in ROLES {
        let place = place(&format!("metrics-taken-{role}"));
        let taken = TcpListener::bind(place.metrics).unwrap();
        let mut child = start_with_metrics(role, &place, place.metrics.port());
        let serves_at = BTreeMap::from([
            ("router", place.readiness),
            ("agent", place.feed),
            ("controller", place.control),
        ]);
        connect(serves_at[role], &mut child);
        let output = terminate(child);
        assert_eq!(output.status.code(), Some(0), "{}", err(&output));
        let log = err(&output);
        let warnings =
            log.lines().filter(|line| line.contains(" WARN ") && line.contains("metrics endpoint not bound"));
        assert_eq!(warnings.count(), 1, "{log}");
        drop(taken);
    }
}

#[test]
fn a_port_for_metrics_that_is_one_of_the_roles_own_stays_with_the_role() {
    for role in ["router", "controller"] {
        let place = place(&format!("metrics-own-{role}"));
        let (served, path) = match role {
            "router" => (place.readiness, "/readyz"),
            _ => (place.control, "/status"),
        };
        let mut child = start_with_metrics(role, &place, served.port());
        let answer = call(served, path, &mut child);
        assert!(!answer.starts_with("HTTP/1.1 404 "), "{answer}");
        let output = terminate(child);
        assert_eq!(output.status.code(), Some(0), "{}", err(&output));
        assert!(err(&output).contains("metrics endpoint not bound"), "{}", err(&output));
    }
}

#[test]
fn a_process_without_a_port_for_metrics_listens_at_none() {
    let place = place("metrics-none");
    let mut child = common::processes::start("router", &place);
    connect(place.readiness, &mut child);
    assert!(std::net::TcpStream::connect(place.metrics).is_err());
    assert_eq!(terminate(child).status.code(), Some(0));
}

#[test]
fn the_deploy_file_names_the_ports_that_the_processes_are_given() {
    let text = std::fs::read_to_string(repository().join("deploy/system.toml")).unwrap();
    let deploy: toml::Table = text.parse().unwrap();
    let roles = deploy["roles"].as_table().unwrap();
    let mut places = BTreeSet::new();
    for (role, settings) in roles {
        let command: Vec<&str> = settings["run"].as_str().unwrap().split(' ').collect();
        let [_, of, "--metrics-port", port] = command[..] else { panic!("{command:?}") };
        assert_eq!(of, role);
        assert_eq!(settings["metrics"].as_str().unwrap(), format!("{port}{METRICS_PATH}"));
        assert!(places.insert(port.parse::<u16>().unwrap()), "two roles at port {port}");
    }
    assert_eq!(roles.len(), ROLES.len());
}

#[test]
fn a_port_for_metrics_has_to_be_one() {
    for port in ["0", "-1", "65536", "x"] {
        let output = common::run(&["router", "--metrics-port", port]);
        assert_eq!(common::code(&output), 2, "{port}: {}", err(&output));
    }
}
