// An endpoint that was acknowledged as gone gets requests again: all processes are killed at once, and a heartbeat that
// the endpoint wrote before it left arrives late.
#[path = "../4/support.rs"]
mod support;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

const ZONES: [&str; 3] = ["walvis-harbour", "walvis-dunes", "walvis-pelican"];
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const BEAT: Duration = Duration::from_millis(1_200);
/// How late the one heartbeat comes.
const LATE: Duration = Duration::from_millis(6_000);
/// For how long the leaving endpoint serves on behind the acknowledgement.
const LINGER: Duration = Duration::from_secs(11);
/// A margin for the processes of this script.
const MARGIN: Duration = Duration::from_millis(500);

fn common(network: Network, name: &str, last: u8, zone: &str, seeds: bool) -> String {
    let seeds_text: Vec<String> = (1..=3).map(|seed| format!("\"{}\"", network.at(seed, CONTROL_PORT))).collect();
    format!(
        "NodeName: {name}\nIp: {ip}\nZone: {zone}\nRegion: walvis\n\
         Zones: {{walvis-harbour: walvis, walvis-dunes: walvis, walvis-pelican: walvis}}\nSeeds: [{}]\n\
         Bootstrap: {seeds}\nHeartbeatMs: 1200\nFaultTolerance: {{Machines: 1, Zones: 0, Regions: 0}}\n{BOUNDS}",
        seeds_text.join(", "),
        ip = network.ip(last),
    )
}

fn core_settings(network: Network, number: u8, folder: &Path, bootstrap: bool) -> String {
    let data = folder.join(format!("data-{number}"));
    std::fs::create_dir_all(&data).expect("a data folder");
    common(network, &format!("core-{number}"), number, ZONES[usize::from(number) - 1], bootstrap)
        + &format!(
            "ListenersMap: {{ControlPlane: \"{}\"}}\nPortRange: [{LINK_PORT}, {}]\nCountsForQuorum: true\nDataDir: {}\n",
            network.at(number, CONTROL_PORT),
            LINK_PORT + 15,
            data.display()
        )
}

fn edge_settings(network: Network, feed: u16, bootstrap: bool) -> String {
    common(network, "edge-1", 11, ZONES[0], bootstrap)
        + &format!(
            "ListenersMap: {{Frontend: \"{}\", Readiness: \"{}\"}}\nPortRange: [{LINK_PORT}, {feed}]\n\
             CountsForQuorum: false\nLimits: {{CpuQuota: 0.25, Cores: 1, MemoryMb: 260, MaxFds: 1000}}\nDataDir: null\n",
            network.at(11, FRONT_PORT),
            network.at(11, READY_PORT),
        )
}

/// An endpoint of the service: it runs what it is sent, and notes when it came.
struct Endpoint {
    id: &'static str,
    address: SocketAddr,
    sequence: AtomicU64,
    /// Whether it still sends heartbeats.
    beats: AtomicBool,
    /// Whether it has ended.
    ended: AtomicBool,
    /// When each request came.
    runs: Mutex<Vec<(Duration, String)>>,
}

impl Endpoint {
    fn start(id: &'static str, address: SocketAddr, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("an address for the endpoint");
        let endpoint = Arc::new(Endpoint {
            id,
            address,
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            runs: Mutex::new(Vec::new()),
        });
        let (own, record) = (endpoint.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (own, record) = (own.clone(), record.clone());
                thread::spawn(move || own.serve(stream, &record));
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut rest) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let attempt = request.header("attempt-id").unwrap_or_default();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let refusal = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
                let _ = write!(stream, "{refusal}Instance-Id: {}\r\nAttempt-Id: {attempt}\r\n\r\n", self.id);
                continue;
            }
            self.runs.lock().unwrap().push((record.now(), attempt.clone()));
            record.quiet(format!("endpoint {} runs {attempt}", self.id));
            thread::sleep(Duration::from_millis(40));
            let body = format!("{} ran {attempt}", self.id);
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}\r\nInstance-Id: {}\r\nKeep-Alive: timeout=5\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                self.id,
                self.id,
                body.len()
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn body(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"Backend\":\"tiles\",\"Address\":\"{}\",\"Zone\":\"walvis-harbour\",\"Version\":\"v1\",\"Capacity\":6,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":{sequence}}}",
            self.address
        )
    }

    /// One heartbeat: to the first courier that acknowledges it within a second.
    fn beat(&self, couriers: &[SocketAddr], record: &Record) -> bool {
        for courier in couriers {
            let body = self.body();
            let path = format!("/instances/{}", self.id);
            let answer = call(*courier, "PUT", &path, &[], body.as_bytes(), Duration::from_secs(1));
            let status = answer.map(|answer| answer.status);
            record.quiet(format!("endpoint {}: PUT {path} to {courier}: {status:?} {body}", self.id));
            if status.is_some_and(|status| status < 300) {
                return true;
            }
        }
        false
    }

    fn keep_beating(self: &Arc<Self>, couriers: Vec<SocketAddr>, record: &Record) {
        let (own, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            while own.beats.load(Ordering::SeqCst) && !own.ended.load(Ordering::SeqCst) {
                let began = Instant::now();
                own.beat(&couriers, &record);
                thread::sleep(BEAT.saturating_sub(began.elapsed()));
            }
        });
    }
}

/// A proxy before a controller: what comes to it is passed on `LATE` after it came.
fn late_path(address: SocketAddr, to: SocketAddr, record: &Record) {
    let listener = TcpListener::bind(address).expect("an address for the proxy");
    let record = record.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let came = Instant::now();
                let mut bytes = Vec::new();
                let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
                let mut part = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut part) {
                    bytes.extend_from_slice(&part[..length]);
                }
                thread::sleep(LATE.saturating_sub(came.elapsed()));
                let Ok(mut onward) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                    return record.note("the late heartbeat finds no controller");
                };
                let _ = onward.write_all(&bytes);
                let answer = read_answer(&mut onward, Instant::now() + Duration::from_secs(1));
                let status = answer.map(|answer| answer.status);
                record.note(format!("the heartbeat that was held up arrives at {to}: {status:?}"));
            });
        }
    });
}

const CONFIGURATION: &str = "{\"Version\":1,\"Routes\":[{\"Name\":\"tile-fetch\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/x/\",\
    \"RouteType\":\"non_idempotent\",\"TimeoutMs\":1500,\"TargetMs\":300,\"Priority\":0,\"Backend\":\"tiles\",\"MaxAttempts\":1}],\
    \"Backends\":[{\"Name\":\"tiles\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}]}";

fn main() {
    limit_time();
    let record = Record::new();
    let code = run(&record);
    record.note(match code {
        0 => "the rule held",
        1 => "the rule is broken",
        _ => "the case could not run",
    });
    record.save(Path::new("review/6/record.txt"));
    exit(code);
}

fn run(record: &Record) -> i32 {
    let folder = Folder::new("6");
    let network = Network::unused();
    let feed = free_port();
    let controls: Vec<SocketAddr> = (1..=3).map(|number| network.at(number, CONTROL_PORT)).collect();
    let mut processes = Vec::new();
    for number in 1..=3_u8 {
        let arguments = ["controller", "--metrics-port", "9466"];
        let core = Process::new(&format!("core-{number}"), &arguments, &folder.0);
        core.write_settings(&core_settings(network, number, &folder.0, true));
        processes.push(core);
    }
    for (name, arguments) in [
        ("agent", ["agent", "--metrics-port", "9465"]),
        ("router", ["router", "--metrics-port", "9464"]),
    ] {
        let process = Process::new(name, &arguments, &folder.0);
        process.write_settings(&edge_settings(network, feed, true));
        processes.push(process);
    }
    for process in &mut processes {
        if process.start().is_err() {
            return 2;
        }
    }
    let headers = [("If-Match", "0".to_owned())];
    let is_taken = poll(Duration::from_secs(10), || {
        let answer = call(controls[0], "PUT", "/config", &headers, CONFIGURATION.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    });
    if !is_taken {
        return 2;
    }
    let leaving = Endpoint::start("i-leaving", network.at(21, 8587), record);
    let staying = Endpoint::start("i-staying", network.at(22, 8587), record);
    staying.keep_beating(controls.clone(), record);
    let held_up = network.at(31, CONTROL_PORT);
    late_path(held_up, controls[1], record);
    let stop = Arc::new(AtomicBool::new(false));
    // The leaving endpoint: beats as usual, and one whose way is slow.
    for _ in 0..4 {
        leaving.beat(&controls, record);
        thread::sleep(BEAT);
    }
    let answers = clients(network.at(11, FRONT_PORT), &stop, record);
    thread::sleep(Duration::from_secs(4));
    if !leaving.beat(&controls, record) {
        return 2;
    }
    thread::sleep(Duration::from_millis(200));
    // It is held up on its way; after a second without an answer the next courier is called.
    let mut couriers = vec![held_up];
    couriers.extend(&controls);
    if !leaving.beat(&couriers, record) {
        return 2;
    }
    thread::sleep(Duration::from_millis(300));
    let path = "/instances/i-leaving";
    let gone = controls.iter().find_map(|control| {
        let answer = call(*control, "DELETE", path, &[], b"", Duration::from_secs(1));
        let status = answer.map(|answer| answer.status);
        record.note(format!("endpoint i-leaving: DELETE {path} to {control}: {status:?}"));
        (status == Some(200)).then(|| record.now())
    });
    let Some(gone) = gone else { return 2 };
    sleep_until(record, gone + Duration::from_millis(500));
    let mut in_touch = gone;
    if has_trouble() {
        processes.iter().for_each(Process::strike);
        processes.iter_mut().for_each(Process::end);
        record.note("all processes, of the core and of the edge, are killed at once");
        for number in 1..=3_u8 {
            processes[usize::from(number) - 1].write_settings(&core_settings(network, number, &folder.0, false));
        }
        processes[3].write_settings(&edge_settings(network, feed, false));
        processes[4].write_settings(&edge_settings(network, feed, false));
        thread::sleep(Duration::from_millis(300));
        for process in &mut processes {
            if process.start().is_err() {
                return 2;
            }
        }
        record.note("all are started again, with their disks");
        // Twice ContactMs, as after a final fault that took most of the core; ContactMs would do after any other.
        in_touch = record.now() + CONTACT * 2 + MARGIN;
    }
    sleep_until(record, gone + LINGER);
    leaving.ended.store(true, Ordering::SeqCst);
    record.note("endpoint i-leaving ends");
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let answers = answers.join().expect("the clients end");
    staying.ended.store(true, Ordering::SeqCst);
    if processes.iter_mut().any(|process| !process.is_running()) {
        record.note("a process has ended by itself");
        return 2;
    }
    judge(record, &leaving, &staying, &answers, gone, in_touch)
}

/// Thirty requests a second, each on a new connection.
fn clients(
    front: SocketAddr,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<BTreeMap<String, (Duration, Option<u16>)>> {
    let (stop, record) = (stop.clone(), record.clone());
    thread::spawn(move || {
        let answers = Arc::new(Mutex::new(BTreeMap::new()));
        let mut open = Vec::new();
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let (answers, record) = (answers.clone(), record.clone());
            open.push(thread::spawn(move || {
                let attempt = format!("a{number:05}");
                let sent = record.now();
                let headers = [
                    ("Host", "a.example".to_owned()),
                    ("Attempt-Id", attempt.clone()),
                    ("Deadline-Ms", "1500".to_owned()),
                ];
                let answer = call(front, "GET", "/x/tile", &headers, b"", Duration::from_millis(1_500));
                let status = answer.map(|answer| answer.status);
                record.quiet(format!("client: {attempt}, sent at {:.3}: {status:?}", sent.as_secs_f64()));
                answers.lock().unwrap().insert(attempt, (sent, status));
            }));
            thread::sleep(Duration::from_millis(33));
        }
        for request in open {
            let _ = request.join();
        }
        let answers = answers.lock().unwrap().clone();
        answers
    })
}

/// Requests that clients sent to a machine in touch, and that reached the endpoint later than `DrainMs` after it was
/// acknowledged as gone.
fn judge(
    record: &Record,
    leaving: &Endpoint,
    staying: &Endpoint,
    answers: &BTreeMap<String, (Duration, Option<u16>)>,
    gone: Duration,
    in_touch: Duration,
) -> i32 {
    let runs = leaving.runs.lock().unwrap();
    let before = runs.iter().filter(|(at, _)| *at <= gone).count();
    let late: Vec<&(Duration, String)> = runs.iter().filter(|(at, _)| *at > gone + DRAIN).collect();
    let counted: Vec<&&(Duration, String)> = late
        .iter()
        .filter(|(_, attempt)| answers.get(attempt).is_some_and(|(sent, _)| *sent >= in_touch))
        .collect();
    let served = answers.values().filter(|(_, status)| *status == Some(200)).count();
    record.note(format!(
        "{} requests sent, {served} served; i-staying ran {}, i-leaving ran {before} before it was gone",
        answers.len(),
        staying.runs.lock().unwrap().len()
    ));
    record.note(format!(
        "acknowledged as gone at {:.3}; {} requests reached it over DrainMs later, {} of them sent to a machine in touch (from {:.3} on)",
        gone.as_secs_f64(),
        late.len(),
        counted.len(),
        in_touch.as_secs_f64()
    ));
    for (at, attempt) in counted.iter().take(5) {
        let after = (*at - gone).as_secs_f64();
        record.note(format!("{attempt} reached i-leaving at {:.3}, {after:.3} s after the acknowledgement", at.as_secs_f64()));
    }
    if before == 0 || served == 0 {
        return 2;
    }
    i32::from(!counted.is_empty())
}
