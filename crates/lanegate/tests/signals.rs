//! Starts and stops of the three processes.

mod common;

use common::{err, file, lanegate};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

/// Ports of one process, and its settings file.
struct Place {
    frontend: u16,
    readiness: u16,
    control: u16,
    links: u16,
    settings: PathBuf,
}

/// Ports that nobody listened on a moment ago.
fn free_ports() -> [u16; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().port())
}

fn place(name: &str) -> Place {
    let [frontend, readiness, control, links] = free_ports();
    let data = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-data"));
    std::fs::create_dir_all(&data).unwrap();
    let text = format!(
        "NodeName: {name}\nIp: 127.0.0.1\nZone: z\nPortRange: [{links}, {links}]\nBootstrap: true\n\
         Seeds: ['127.0.0.1:{control}']\nDataDir: {}\nBounds: {{GraceS: 0.7}}\n\
         ListenersMap: {{Frontend: '127.0.0.1:{frontend}', Readiness: '127.0.0.1:{readiness}', \
         ControlPlane: '127.0.0.1:{control}'}}\n",
        data.display()
    );
    Place { frontend, readiness, control, links, settings: file(&format!("{name}.yaml"), &text) }
}

fn start(command: &str, place: &Place) -> Child {
    let mut program = lanegate(&["--log-level", "info", command]);
    program.env("LANEGATE_NODE_FILE", &place.settings).stderr(Stdio::piped()).spawn().unwrap()
}

/// Waits until the process listens on `port`.
fn connect(port: u16, child: &mut Child) -> TcpStream {
    loop {
        if let Ok(stream) = TcpStream::connect(("127.0.0.1", port)) {
            return stream;
        }
        assert!(child.try_wait().unwrap().is_none(), "the process has ended");
        std::thread::yield_now();
    }
}

/// Waits until the process answers a call on `port`.
fn call(port: u16, path: &str, child: &mut Child) -> String {
    let mut stream = connect(port, child);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn send(signal: &str, child: &Child) {
    assert!(Command::new("kill").args([signal, &child.id().to_string()]).status().unwrap().success());
}

fn terminate(child: Child) -> Output {
    send("-TERM", &child);
    child.wait_with_output().unwrap()
}

fn assert_ended_well(output: &Output) {
    assert_eq!(output.status.code(), Some(0), "{}", err(output));
    let log = err(output);
    let first = log.lines().next().unwrap();
    assert!(first.contains(" INFO lanegate::commands::process: signals-"), "{log}");
    assert!(log.lines().all(|line| line.as_bytes()[10] == b'T'), "{log}");
}

#[test]
fn a_router_ends_well_at_sigterm() {
    let place = place("signals-router");
    let mut child = start("router", &place);
    let answer = call(place.readiness, "/readyz", &mut child);
    assert!(answer.starts_with("HTTP/1.1 503 "), "it knows no configuration yet: {answer}");
    assert_ended_well(&terminate(child));
}

#[test]
fn a_router_stays_at_sighup_and_answers_the_request_that_was_on_its_way() {
    let place = place("signals-router-hup");
    let mut child = start("router", &place);
    call(place.readiness, "/readyz", &mut child);
    let mut client = connect(place.frontend, &mut child);
    client
        .write_all(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbo")
        .unwrap();
    send("-HUP", &child);
    call(place.readiness, "/readyz", &mut child);
    client.write_all(b"dy").unwrap();
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "it knows no configuration yet: {answer}");
    assert_ended_well(&terminate(child));
}

#[test]
fn an_agent_ends_well_at_sigterm_and_stays_at_sighup() {
    let place = place("signals-agent");
    let mut child = start("agent", &place);
    connect(place.links, &mut child);
    send("-HUP", &child);
    connect(place.links, &mut child);
    assert_ended_well(&terminate(child));
}

#[test]
fn a_controller_ends_well_at_sigterm_and_stays_at_sighup() {
    let place = place("signals-controller");
    let mut child = start("controller", &place);
    call(place.control, "/status", &mut child);
    send("-HUP", &child);
    let answer = call(place.control, "/status", &mut child);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_ended_well(&terminate(child));
}

#[test]
fn an_address_that_is_taken_ends_with_1() {
    let place = place("signals-taken");
    let _taken = TcpListener::bind(("127.0.0.1", place.control)).unwrap();
    let output = start("controller", &place).wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(err(&output).contains(&place.control.to_string()), "{}", err(&output));
}
