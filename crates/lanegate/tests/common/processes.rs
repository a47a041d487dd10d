//! Starts router, agent and controller on this machine.

use super::{file, lanegate};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// First port for the agent's feed on 127.0.0.1; below the ephemeral ports of the kernel.
const FIRST_FEED_PORT: u16 = 12_000;
/// Number of ports that are tried for the feed.
const FEED_PORTS: u16 = 8_000;

/// Addresses of one simulated machine, which has its own loopback address, and its settings file.
pub(crate) struct ProcessAddresses {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    /// Address at which an agent serves the feed to its router.
    pub feed: SocketAddr,
    pub settings: PathBuf,
}

/// A loopback address that no other test uses now. Any port of 127.0.0.1 may be bound by other processes.
fn unique_loopback_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % 128;
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + number, high, low.max(1)).into()
}

/// A port on 127.0.0.1 that was free when it was checked.
fn feed_port() -> u16 {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let first = std::process::id() as u16;
    loop {
        let number = first.wrapping_add(u16::from(NEXT.fetch_add(1, Ordering::Relaxed)));
        let port = FIRST_FEED_PORT + number % FEED_PORTS;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
}

/// A machine with that name, an empty data directory and settings that are valid for every role.
pub(crate) fn addresses(name: &str) -> ProcessAddresses {
    let ip = unique_loopback_address();
    let at = |port| SocketAddr::new(ip, port);
    let (frontend, readiness, control, metrics) = (at(8144), at(8140), at(8146), at(9464));
    let feed = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), feed_port());
    let data = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-data"));
    let _ = std::fs::remove_dir_all(&data);
    std::fs::create_dir_all(&data).unwrap();
    let text = format!(
        "NodeName: {name}\nIp: {ip}\nZone: z\nPortRange: [7660, {}]\nBootstrap: true\n\
         Seeds: ['{control}']\nDataDir: {}\nBounds: {{GraceS: 0.7}}\n\
         ListenersMap: {{Frontend: '{frontend}', Readiness: '{readiness}', ControlPlane: '{control}'}}\n",
        feed.port(),
        data.display()
    );
    let settings = file(&format!("{name}.yaml"), &text);
    ProcessAddresses { frontend, readiness, control, metrics, feed, settings }
}

/// A running process; dropping it kills the process.
pub(crate) struct Process(Option<Child>);

impl Process {
    /// Waits for the end of the process.
    pub(crate) fn output(mut self) -> Output {
        self.0.take().expect("a process").wait_with_output().unwrap()
    }

    fn child(&mut self) -> &mut Child {
        self.0.as_mut().expect("a process")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts a process of `role` with the settings of `addresses`.
pub(crate) fn start(role: &str, addresses: &ProcessAddresses) -> Process {
    start_with(&[role], addresses)
}

/// Starts a process of `role` that serves its metrics at `port`.
pub(crate) fn start_with_metrics(role: &str, addresses: &ProcessAddresses, port: u16) -> Process {
    start_with(&[role, "--metrics-port", &port.to_string()], addresses)
}

fn start_with(arguments: &[&str], addresses: &ProcessAddresses) -> Process {
    let mut program = lanegate(&[&["--log-level", "info"], arguments].concat());
    let program = program.env("LANEGATE_NODE_FILE", &addresses.settings).stderr(Stdio::piped());
    Process(Some(program.spawn().unwrap()))
}

/// Connects to `address`, retrying until the process listens there; panics if the process has ended.
pub(crate) fn connect(address: SocketAddr, process: &mut Process) -> TcpStream {
    loop {
        if let Ok(stream) = TcpStream::connect(address) {
            return stream;
        }
        if let Some(status) = process.child().try_wait().unwrap() {
            let mut log = String::new();
            let _ = process.child().stderr.take().map(|mut errors| errors.read_to_string(&mut log));
            panic!("the process has ended, {status}: {log}");
        }
        std::thread::yield_now();
    }
}

/// Waits until the process listens at `address`, sends a `GET` request and returns the response.
pub(crate) fn call(address: SocketAddr, path: &str, process: &mut Process) -> String {
    let mut stream = connect(address, process);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Sends a signal, given as an argument of `kill` such as `-TERM`.
pub(crate) fn send(signal: &str, process: &mut Process) {
    let id = process.child().id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
}

/// Sends SIGTERM and waits for the process to end.
pub(crate) fn terminate(mut process: Process) -> Output {
    send("-TERM", &mut process);
    process.output()
}
