//! Time from the start of the real program to its first 200 at `/-/ready`, by bytes of live messages in its journal;
//! with the CPU time used, from which the time on a fraction of a core follows. Prints a table
//! and draws it to `target/start.svg`.

mod common;
use common::*;
use courier_lab::report::plot::{Line, Plot};
use lanegate_courier::node::journal::{Journal, JournalOptions};
use lanegate_courier::store::Durability;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Live bytes, bytes per body, and the disk limit: nothing, the most that the platform's 3 MB hold (the second case
/// of it in as many messages as a courier holds), and more.
const CASES: [(u64, usize, f64); 8] = [
    (0, 350, 3.0),
    (1_350_000, 350, 3.0),
    (1_350_000, 1150, 3.0),
    (1_350_000, 4000, 3.0),
    (10_000_000, 4000, 30.0),
    (100_000_000, 4000, 300.0),
    (1_000_000_000, 4000, 3000.0),
    (1_000_000_000, 60_000, 3000.0),
];
const PLAYS: usize = 5;

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

fn fill(state: &Path, live: u64, body: usize, disk_mb: f64) -> u64 {
    let journal_options = JournalOptions {
        room: (disk_mb * 1e6) as u64,
        durability: Durability::Process,
        refuse_damage: false,
    };
    let (mut journal, _) = Journal::open(state, journal_options, 1).expect("opens");
    let (mut n, mut held) = (0u64, 0);
    while held < live {
        n += 1;
        held += body as u64 + 200;
        journal.accept(n, Rc::new(letter(n, body)));
        journal.attempt(n, attempt("s-1"));
        journal.never_ran(n, 0);
        if n % 64 == 0 {
            journal.commit().expect("at once").expect("written");
        }
    }
    journal.commit().expect("at once").expect("written");
    n
}

fn is_ready(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    let mut answer = [0; 12];
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b"200")
}

/// Returns the seconds until ready and the CPU seconds used until then.
fn start(folder: &Path, disk_mb: f64) -> (f64, f64) {
    let listen = free();
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../tests/settings.json")).expect("settings");
    let page = json!({"name": "n1", "listen": listen.to_string(), "discovery": free().to_string(), "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 4000, "sockets": 256, "disk_mb": disk_mb}, "settings": settings});
    let file = folder.join("config.json");
    std::fs::write(&file, page.to_string()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_courier"));
    command.env("LB_NAME", "n1").env("LB_LISTEN", listen.to_string()).env("LB_DISCOVERY", free().to_string());
    command.env("LB_STATE", folder.join("state")).env("LB_CONFIG", file);
    command.stdin(Stdio::null()).stderr(Stdio::null());
    let from = Instant::now();
    let running = Running(command.spawn().expect("it starts"));
    while !is_ready(listen) {
        assert!(from.elapsed() < Duration::from_secs(60), "it is not ready in 60 s");
        std::thread::sleep(Duration::from_micros(200));
    }
    let took = from.elapsed().as_secs_f64();
    let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", running.0.id())).unwrap_or_default();
    let cpu = stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(f64::NAN);
    (took, cpu / 1e9)
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let (mut wall, mut core) = (Vec::new(), Vec::new());
    println!("{PLAYS} starts each, medians");
    println!("{:>10} {:>9} {:>9} {:>11} {:>11}", "live MB", "body B", "messages", "ready ms", "cpu ms");
    for (live, body, disk_mb) in CASES {
        let place = Place::new("start");
        let folder = &place.0;
        std::fs::create_dir(folder.join("state")).expect("a folder");
        let messages = fill(&folder.join("state"), live, body, disk_mb);
        let (mut took, mut cpu): (Vec<_>, Vec<_>) = (0..PLAYS).map(|_| start(folder, disk_mb)).unzip();
        let (took, cpu, size) = (median(&mut took), median(&mut cpu), live as f64 / 1e6);
        println!("{size:10.2} {body:9} {messages:9} {:11.1} {:11.1}", took * 1e3, cpu * 1e3);
        if body == 4000 {
            wall.push((size.log10(), took.log10()));
            core.push((size.log10(), cpu.log10()));
        }
    }
    let plot = Plot {
        title: "Start to ready".to_owned(),
        across: "live, log10 MB".to_owned(),
        up: "log10 s".to_owned(),
        lines: vec![Line::new("to ready", wall), Line::new("processor time", core)],
        marks: Vec::new(),
        points: true,
    };
    let drawn = plot.svg().expect("drawn");
    std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/target/start.svg"), drawn).expect("written");
}
