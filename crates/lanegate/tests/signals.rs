//! Start of the three processes, and their reaction to signals.

mod common;

use common::err;
use common::processes::{addresses, call, connect, send, start, terminate};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Output;

fn assert_clean_exit(output: &Output) {
    assert_eq!(output.status.code(), Some(0), "{}", err(output));
    let log = err(output);
    let first = log.lines().next().unwrap();
    assert!(first.contains(" INFO lanegate::commands::process: process started role="), "{log}");
    assert!(first.contains(" node=signals-"), "{log}");
    assert!(log.lines().all(|line| line.as_bytes()[10] == b'T'), "{log}");
}

#[test]
fn a_router_exits_cleanly_on_sigterm() {
    let addresses = addresses("signals-router");
    let mut child = start("router", &addresses);
    let answer = call(addresses.readiness, "/readyz", &mut child);
    assert!(answer.starts_with("HTTP/1.1 503 "), "it knows no configuration yet: {answer}");
    assert_clean_exit(&terminate(child));
}

#[test]
fn a_router_ignores_sighup_and_answers_the_open_request() {
    let addresses = addresses("signals-router-hup");
    let mut child = start("router", &addresses);
    call(addresses.readiness, "/readyz", &mut child);
    let mut client = connect(addresses.frontend, &mut child);
    client
        .write_all(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbo")
        .unwrap();
    send("-HUP", &mut child);
    call(addresses.readiness, "/readyz", &mut child);
    client.write_all(b"dy").unwrap();
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "it knows no configuration yet: {answer}");
    assert_clean_exit(&terminate(child));
}

#[test]
fn an_agent_exits_cleanly_on_sigterm_and_ignores_sighup() {
    let addresses = addresses("signals-agent");
    let mut child = start("agent", &addresses);
    connect(addresses.feed, &mut child);
    send("-HUP", &mut child);
    connect(addresses.feed, &mut child);
    assert_clean_exit(&terminate(child));
}

#[test]
fn a_controller_exits_cleanly_on_sigterm_and_ignores_sighup() {
    let addresses = addresses("signals-controller");
    let mut child = start("controller", &addresses);
    call(addresses.control, "/status", &mut child);
    send("-HUP", &mut child);
    let answer = call(addresses.control, "/status", &mut child);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_clean_exit(&terminate(child));
}

#[test]
fn an_occupied_address_exits_with_status_1() {
    let addresses = addresses("signals-taken");
    let _taken = TcpListener::bind(addresses.control).unwrap();
    let output = start("controller", &addresses).output();
    assert_eq!(output.status.code(), Some(1));
    assert!(err(&output).contains(&addresses.control.to_string()), "{}", err(&output));
}
