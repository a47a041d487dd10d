// A zone of control machines loses its disks, as FaultTolerance allows; the configuration that was acknowledged before
// has to be read back.
mod support;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::time::Duration;
use support::*;

/// Control machines, each with its zone; two of the first zone, two of the second, one of the third.
const ZONES: [&str; 5] = ["plateau", "plateau", "almadies", "almadies", "diamniadio"];
/// The three whose addresses are in everybody's `Seeds`.
const SEEDS: [u8; 3] = [1, 2, 3];
/// The machines of the zone that is lost.
const LOST: [usize; 2] = [0, 1];
/// From the loss to the last try to read: RecoverS, CatchUpS and ContactMs are 19 s together.
const READ_FOR: Duration = Duration::from_secs(40);

fn settings(network: Network, number: u8, data: &Path, bootstrap: bool) -> String {
    let seeds: Vec<String> = SEEDS.iter().map(|seed| format!("\"{}\"", network.at(*seed, CONTROL_PORT))).collect();
    format!(
        "NodeName: core-{number}\nRole: controller\nMachineClass: core\nServes: [control]\nIp: {ip}\nZone: {zone}\n\
         Region: dakar\nZones: {{plateau: dakar, almadies: dakar, diamniadio: dakar}}\n\
         ListenersMap: {{ControlPlane: \"{control}\"}}\nPortRange: [{LINK_PORT}, {last}]\nSeeds: [{seeds}]\n\
         Bootstrap: {bootstrap}\nCountsForQuorum: true\nDataDir: {data}\nHeartbeatMs: 1200\n\
         FaultTolerance: {{Machines: 1, Zones: 1, Regions: 0}}\n{BOUNDS}",
        ip = network.ip(number),
        zone = ZONES[usize::from(number) - 1],
        control = network.at(number, CONTROL_PORT),
        last = LINK_PORT + 15,
        seeds = seeds.join(", "),
        data = data.display(),
    )
}

fn configuration(version: u64) -> Vec<u8> {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/x/\",\
         \"RouteType\":\"non_idempotent\",\"TimeoutMs\":2500,\"TargetMs\":150,\"Priority\":0,\"Backend\":\"b\",\
         \"MaxAttempts\":1}}],\"Backends\":[{{\"Name\":\"b\",\"HealthPath\":\"/healthz\",\"MaxConns\":96}}]}}"
    )
    .into_bytes()
}

/// Sends a change again and again until it is answered clearly, to one controller after the other.
fn put(record: &Record, controls: &[SocketAddr], base: u64, version: u64) -> Option<u16> {
    let body = configuration(version);
    let mut answer = None;
    poll(Duration::from_secs(15), || {
        for control in controls {
            let headers = [("If-Match", base.to_string()), ("Content-Type", "application/json".to_owned())];
            let got = call(*control, "PUT", "/config", &headers, &body, Duration::from_secs(1));
            let status = got.as_ref().map(|got| got.status);
            record.note(format!("operator: PUT /config Version {version} on {base} to {control}: {status:?}"));
            if status.is_some_and(|status| status < 500 && status != 408) {
                answer = status;
                return true;
            }
        }
        false
    });
    answer
}

fn main() {
    limit_time();
    let record = Record::new();
    let code = run(&record);
    record.note(match code {
        0 => "the rule held",
        1 => "the rule is broken",
        _ => "the case could not run",
    });
    record.save(Path::new("review/4/record.txt"));
    exit(code);
}

fn run(record: &Record) -> i32 {
    let folder = Folder::new("4");
    let network = Network::unused();
    let controls: Vec<SocketAddr> = (1..=5).map(|number| network.at(number, CONTROL_PORT)).collect();
    let data: Vec<_> = (1..=5).map(|number| folder.0.join(format!("data-{number}"))).collect();
    let mut cores = Vec::new();
    for number in 1..=5_u8 {
        let core = Process::new(&format!("core-{number}"), &["controller", "--metrics-port", "9466"], &folder.0);
        let index = usize::from(number) - 1;
        fs::create_dir_all(&data[index]).expect("a data folder");
        core.write_settings(&settings(network, number, &data[index], true));
        cores.push(core);
    }
    for core in &mut cores {
        if core.start().is_err() {
            return 2;
        }
    }
    record.note(format!("five control machines started: {:?} in zones {ZONES:?}, seeds {SEEDS:?}", controls));
    if put(record, &controls, 0, 1) != Some(200) {
        return 2;
    }
    // Long enough for the machines that are no seeds to become members, were they wanted.
    std::thread::sleep(Duration::from_secs(15));
    if put(record, &controls, 1, 2) != Some(200) {
        return 2;
    }
    if let Some(status) = call(controls[4], "GET", "/status", &[], b"", Duration::from_secs(1)) {
        record.quiet(format!("status of core-5: {}", status.text()));
    }
    if has_trouble() {
        for index in LOST {
            cores[index].strike();
        }
        for index in LOST {
            cores[index].end();
            fs::remove_dir_all(&data[index]).expect("the data folder is removed");
            fs::create_dir_all(&data[index]).expect("an empty data folder");
            cores[index].write_settings(&settings(network, index as u8 + 1, &data[index], false));
        }
        record.note("the zone plateau, core-1 and core-2, loses its disks and power");
        std::thread::sleep(Duration::from_secs(1));
        for index in LOST {
            if cores[index].start().is_err() {
                return 2;
            }
        }
        record.note("core-1 and core-2 are started again with empty disks");
    }
    read_back(record, &controls, &mut cores)
}

/// The operator reads the configuration again and again, from all machines in turn.
fn read_back(record: &Record, controls: &[SocketAddr], cores: &mut [Process]) -> i32 {
    let end = record.now() + READ_FOR;
    let mut whole = false;
    let mut older = false;
    while record.now() < end && !whole {
        for control in controls {
            let answer = call(*control, "GET", "/config", &[], b"", Duration::from_secs(2));
            let status = answer.as_ref().map(|answer| answer.status);
            let is_newest = answer.as_ref().is_some_and(|answer| answer.body == configuration(2));
            record.note(format!("operator: GET /config from {control}: {status:?}, the acknowledged one: {is_newest}"));
            whole |= status == Some(200) && is_newest;
            older |= status == Some(200) && !is_newest;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    for core in cores.iter_mut() {
        let running = core.is_running();
        record.note(format!("{} runs: {running}", core.name));
    }
    if let Some(status) = call(controls[2], "GET", "/status", &[], b"", Duration::from_secs(1)) {
        record.quiet(format!("status of core-3: {}", status.text()));
    }
    i32::from(!whole || older)
}
