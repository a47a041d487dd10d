//! `lanegate status` against a fake controller.

mod common;

use common::{code, err, lanegate, out};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Output;

/// Runs the program against a server that sends `answer`; returns the received request and the output.
fn ask(answer: &str) -> (String, Output) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let child = lanegate(&["status", &address])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
        request.push(byte[0]);
    }
    stream.write_all(answer.as_bytes()).unwrap();
    drop(stream);
    (String::from_utf8(request).unwrap(), child.wait_with_output().unwrap())
}

#[test]
fn the_answer_is_printed() {
    let (request, output) = ask("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"Version\":7}");
    assert!(request.starts_with("GET /status HTTP/1.1\r\n"), "{request}");
    assert!(request.to_ascii_lowercase().contains("\r\nhost: 127.0.0.1:"), "{request}");
    assert_eq!((code(&output), out(&output).as_str()), (0, "{\"Version\":7}\n"));
}

#[test]
fn a_rejection_is_reported() {
    let (_, output) = ask("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(code(&output), 1);
    assert!(err(&output).contains("503"), "{}", err(&output));
}

#[test]
fn a_malformed_answer_is_reported() {
    let (_, output) = ask("nonsense\r\n\r\n");
    assert_eq!(code(&output), 1);
    assert_eq!(out(&output), "");
}

#[test]
fn a_refused_connection_error_names_the_address() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let output = lanegate(&["status", &address.to_string()]).output().unwrap();
    assert_eq!(code(&output), 1);
    assert!(err(&output).contains(&address.to_string()));
}
