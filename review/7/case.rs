// Clients send heads that keep to MaxHeaderBytes and have more than a hundred fields: the router refuses them.
#[path = "../4/support.rs"]
mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use support::*;

const ZONES: [&str; 3] = ["walvis-harbour", "walvis-dunes", "walvis-pelican"];
/// Requests, as many of each kind of connection.
const REQUESTS: usize = 100;
/// Further fields of a head, 24 bytes each; without the trouble half as many of twice the length.
const FIELDS: usize = 120;
/// `DENIED` allows 5 plus one in 500 of all requests.
const ALLOWED: f64 = 5.0 + REQUESTS as f64 / 500.0;

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

const CONFIGURATION: &str = "{\"Version\":1,\"Routes\":[{\"Name\":\"tile-fetch\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/x/\",\
    \"RouteType\":\"non_idempotent\",\"TimeoutMs\":1500,\"TargetMs\":300,\"Priority\":0,\"Backend\":\"tiles\",\"MaxAttempts\":1}],\
    \"Backends\":[{\"Name\":\"tiles\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}],\
    \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

fn main() {
    limit_time();
    let record = Record::new();
    let code = run(&record);
    record.note(match code {
        0 => "the rule held",
        1 => "the rule is broken",
        _ => "the case could not run",
    });
    record.save(Path::new("review/7/record.txt"));
    exit(code);
}

/// Runs what it is sent; notes the ids.
fn endpoint(address: SocketAddr, runs: &Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(address).expect("an address for the endpoint");
    let runs = runs.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let runs = runs.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut rest) {
                    let attempt = request.header("attempt-id").unwrap_or_default();
                    runs.lock().unwrap().push(attempt.clone());
                    let body = format!("i-1 ran {attempt}");
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: i-1\r\nInstance-Id: i-1\r\n\
                         Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn keep_registered(address: SocketAddr, controls: Vec<SocketAddr>) {
    thread::spawn(move || {
        for sequence in 1.. {
            let body = format!(
                "{{\"Backend\":\"tiles\",\"Address\":\"{address}\",\"Zone\":\"walvis-harbour\",\"Version\":\"v1\",\"Capacity\":6,\
                 \"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":{sequence}}}"
            );
            let _ = controls.iter().find(|control| {
                let answer = call(**control, "PUT", "/instances/i-1", &[], body.as_bytes(), Duration::from_secs(1));
                answer.is_some_and(|answer| answer.status == 200)
            });
            thread::sleep(Duration::from_millis(1_200));
        }
    });
}

fn run(record: &Record) -> i32 {
    let folder = Folder::new("7");
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
    if processes.iter_mut().any(|process| process.start().is_err()) {
        return 2;
    }
    let headers = [("If-Match", "0".to_owned())];
    let is_taken = poll(Duration::from_secs(10), || {
        let answer = call(controls[0], "PUT", "/config", &headers, CONFIGURATION.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    });
    if !is_taken {
        return 2;
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    endpoint(network.at(21, 8587), &runs);
    keep_registered(network.at(21, 8587), controls.clone());
    thread::sleep(Duration::from_secs(6));
    let (fields, length) = if has_trouble() { (FIELDS, 8) } else { (FIELDS / 2, 32) };
    let mut statuses = Vec::new();
    let mut longest = 0;
    for number in 0..REQUESTS {
        let attempt = format!("a{number:05}");
        let names: Vec<String> = (0..fields).map(|field| format!("X-Survey-{field:03}")).collect();
        let mut head = vec![
            ("Host", "a.example".to_owned()),
            ("Attempt-Id", attempt.clone()),
            ("Deadline-Ms", "1500".to_owned()),
        ];
        head.extend(names.iter().map(|name| (name.as_str(), "7".repeat(length))));
        let bytes: usize = head.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
        longest = longest.max(bytes + 100);
        let answer = call(network.at(11, FRONT_PORT), "GET", "/x/tile", &head, b"", Duration::from_millis(1_500));
        let status = answer.map(|answer| answer.status);
        record.quiet(format!("client: {attempt}, {} fields, some {bytes} bytes: {status:?}", head.len() + 2));
        statuses.push(status);
    }
    let denied = statuses
        .iter()
        .flatten()
        .filter(|status| (300..500).contains(*status) && ![408, 421, 429].contains(*status))
        .count();
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    record.note(format!(
        "{REQUESTS} requests with heads of {} fields and {longest} bytes at most (MaxHeaderBytes 16384): {served} served, {denied} ended \
         with a 3xx or 4xx of the router ({ALLOWED} allowed), {} run by the endpoint",
        fields + 5,
        runs.lock().unwrap().len()
    ));
    if denied == 0 && served == 0 {
        return 2;
    }
    i32::from(denied as f64 > ALLOWED)
}
