//! Metrics of the three processes, and their agreement with the documentation and the deploy file.

mod common;
#[path = "../../metrics/tests/common/text_format.rs"]
mod text_format;

use common::err;
use common::processes::{Process, ProcessAddresses, addresses, call, connect, start_with_metrics, terminate};
use lanegate_invariants::Invariant;
use lanegate_metrics::METRICS_PATH;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use text_format::ParsedMetrics;

const ROLES: [&str; 3] = ["router", "agent", "controller"];
const CONFIGURATION: &str = r#"{"Version": 7, "Backends": [{"Name": "b"}], "Routes": [
    {"Name": "r", "Hostname": "a.example", "PathPrefix": "/", "RouteType": "idempotent", "TimeoutMs": 1000,
     "TargetMs": 500, "MaxAttempts": 2, "Backend": "b"}]}"#;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn scrape(at: SocketAddr, child: &mut Process) -> ParsedMetrics {
    let answer = call(at, METRICS_PATH, child);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    ParsedMetrics::parse(answer.split_once("\r\n\r\n").unwrap().1)
}

/// Limit on waiting for a condition; only failing tests reach it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Scrapes repeatedly until `is_so` holds.
fn wait_until(at: SocketAddr, child: &mut Process, is_so: impl Fn(&ParsedMetrics) -> bool) -> ParsedMetrics {
    let began = Instant::now();
    loop {
        let exported = scrape(at, child);
        if is_so(&exported) {
            return exported;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "{exported:?}");
        std::thread::yield_now();
    }
}

/// The section "Metrics" of `docs/operators.md`.
fn metrics_section() -> String {
    let page = std::fs::read_to_string(repository().join("docs/operators.md")).unwrap();
    let section = page.split_once("\n## Metrics\n").expect("a section on metrics").1;
    section.split_once("\n## ").map_or(section, |(section, _)| section).to_owned()
}

/// The names of all metrics in that section.
fn documented_metrics() -> BTreeSet<String> {
    let section = metrics_section();
    let words = section.split(|letter: char| !(letter.is_ascii_alphanumeric() || letter == '_'));
    words.filter(|word| word.starts_with("lanegate_")).map(str::to_owned).collect()
}

#[test]
fn exactly_the_exported_metrics_are_documented() {
    let mut exported = BTreeSet::new();
    for role in ROLES {
        let addresses = addresses(&format!("metrics-names-{role}"));
        let mut child = start_with_metrics(role, &addresses, addresses.metrics.port());
        let figures = scrape(addresses.metrics, &mut child);
        let build = [("role", role), ("version", env!("CARGO_PKG_VERSION"))];
        assert_eq!(figures.value("lanegate_build_info", &build), 1.0);
        assert_eq!(figures.sum("lanegate_invariant_violations_total"), 0.0);
        assert_eq!(terminate(child).status.code(), Some(0));
        exported.extend(figures.0.into_keys());
    }
    assert_eq!(exported, documented_metrics());
}

#[test]
fn every_invariant_is_documented() {
    let section = metrics_section();
    for invariant in Invariant::ALL {
        assert!(section.contains(&format!("| `{}` |", invariant.name())), "{}", invariant.name());
    }
}

#[test]
fn metrics_of_all_roles_agree_on_the_configuration() {
    let addresses = addresses("metrics-system");
    let at = |port| SocketAddr::new(addresses.metrics.ip(), port);
    let (metrics_of_router, metrics_of_agent) = (at(9465), at(9466));
    let mut controller = start_with_metrics("controller", &addresses, addresses.metrics.port());
    put_configuration(&addresses, &mut controller);
    let mut agent = start_with_metrics("agent", &addresses, metrics_of_agent.port());
    let mut router = start_with_metrics("router", &addresses, metrics_of_router.port());
    let version = "lanegate_router_configuration_version";
    let of_router =
        wait_until(metrics_of_router, &mut router, |exported| exported.value(version, &[]) == 7.0);
    assert_eq!(of_router.value("lanegate_router_agent_link_up", &[]), 1.0);
    let of_agent = scrape(metrics_of_agent, &mut agent);
    let of_controller = scrape(addresses.metrics, &mut controller);
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

fn put_configuration(addresses: &ProcessAddresses, controller: &mut Process) {
    let began = Instant::now();
    loop {
        let mut stream = connect(addresses.control, controller);
        let length = CONFIGURATION.len();
        write!(
            stream,
            "PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{CONFIGURATION}"
        )
        .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        if answer.starts_with("HTTP/1.1 200 ") {
            return;
        } else {
            assert!(answer.starts_with("HTTP/1.1 503 ") && began.elapsed() < WAIT_TIMEOUT, "{answer}")
        }
    }
}

#[test]
fn an_occupied_metrics_port_is_logged_once_and_the_process_serves() {
    for role in ROLES {
        let addresses = addresses(&format!("metrics-taken-{role}"));
        let taken = TcpListener::bind(addresses.metrics).unwrap();
        let mut child = start_with_metrics(role, &addresses, addresses.metrics.port());
        let serves_at = BTreeMap::from([
            ("router", addresses.readiness),
            ("agent", addresses.feed),
            ("controller", addresses.control),
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
fn a_metrics_port_that_the_role_itself_uses_is_not_bound_for_metrics() {
    for role in ["router", "controller"] {
        let addresses = addresses(&format!("metrics-own-{role}"));
        let (served, path) = match role {
            "router" => (addresses.readiness, "/readyz"),
            _ => (addresses.control, "/status"),
        };
        let mut child = start_with_metrics(role, &addresses, served.port());
        let answer = call(served, path, &mut child);
        assert!(!answer.starts_with("HTTP/1.1 404 "), "{answer}");
        let output = terminate(child);
        assert_eq!(output.status.code(), Some(0), "{}", err(&output));
        assert!(err(&output).contains("metrics endpoint not bound"), "{}", err(&output));
    }
}

#[test]
fn without_a_metrics_port_no_metrics_are_served() {
    let addresses = addresses("metrics-none");
    let mut child = common::processes::start("router", &addresses);
    connect(addresses.readiness, &mut child);
    assert!(std::net::TcpStream::connect(addresses.metrics).is_err());
    assert_eq!(terminate(child).status.code(), Some(0));
}

#[test]
fn the_deploy_file_names_the_metrics_port_of_each_role() {
    let text = std::fs::read_to_string(repository().join("deploy/system.toml")).unwrap();
    let deploy: toml::Table = text.parse().unwrap();
    let roles = deploy["roles"].as_table().unwrap();
    let mut ports = BTreeSet::new();
    for (role, settings) in roles {
        let command: Vec<&str> = settings["run"].as_str().unwrap().split(' ').collect();
        let [_, of, "--metrics-port", port] = command[..] else { panic!("{command:?}") };
        assert_eq!(of, role);
        assert_eq!(settings["metrics"].as_str().unwrap(), format!("{port}{METRICS_PATH}"));
        assert!(ports.insert(port.parse::<u16>().unwrap()), "two roles at port {port}");
    }
    assert_eq!(roles.len(), ROLES.len());
}

#[test]
fn invalid_metrics_ports_are_rejected() {
    for port in ["0", "-1", "65536", "x"] {
        let output = common::run(&["router", "--metrics-port", port]);
        assert_eq!(common::code(&output), 2, "{port}: {}", err(&output));
    }
}
