//! The three processes, started on this machine.

use super::{file, lanegate};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// Ports of the feed on 127.0.0.1, below those that the kernel gives to connections.
const FIRST_FEED_PORT: u16 = 12_000;
/// Ports that are tried for the feed.
const FEED_PORTS: u16 = 8_000;

/// Addresses of a machine that is a loopback address of its own, and its settings file.
pub(crate) struct ProcessAddresses {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    /// Where an agent feeds its router.
    pub feed: SocketAddr,
    pub settings: PathBuf,
}

/// An address that no other test uses now: other processes of this machine may take any free port at 127.0.0.1.
fn unique_loopback_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % 128;
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + number, high, low.max(1)).into()
}

/// A port at 127.0.0.1 that nobody listened on a moment ago.
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

/// A addresses of that name, whose settings suit every role, with nothing on its disk.
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

/// A process; it is killed when this is dropped.
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

/// Starts a role at a addresses.
pub(crate) fn start(role: &str, addresses: &ProcessAddresses) -> Process {
    start_with(&[role], addresses)
}

/// Starts a role that tells its figures at `port`.
pub(crate) fn start_with_metrics(role: &str, addresses: &ProcessAddresses, port: u16) -> Process {
    start_with(&[role, "--metrics-port", &port.to_string()], addresses)
}

fn start_with(arguments: &[&str], addresses: &ProcessAddresses) -> Process {
    let mut program = lanegate(&[&["--log-level", "info"], arguments].concat());
    let program = program.env("LANEGATE_NODE_FILE", &addresses.settings).stderr(Stdio::piped());
    Process(Some(program.spawn().unwrap()))
}

/// Waits until the process listens at `address`.
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

/// Waits until the process answers a call at `address`.
pub(crate) fn call(address: SocketAddr, path: &str, process: &mut Process) -> String {
    let mut stream = connect(address, process);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Sends a signal, as `-TERM`.
pub(crate) fn send(signal: &str, process: &mut Process) {
    let id = process.child().id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
}

/// Asks a process to end and waits for that.
pub(crate) fn terminate(mut process: Process) -> Output {
    send("-TERM", &mut process);
    process.output()
}
