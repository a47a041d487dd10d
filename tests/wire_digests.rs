//! What the decision module answers on the simulator's wire in random days, pinned by a digest for each seed.
//! Of the lines for the operators only the number counts, not the text.

use base64::{Engine, engine::general_purpose::STANDARD};
use lanegate_courier::wire::Host;
use lanegate_golden::{Digest, assert_digests};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 240;
const COURIER: u64 = 3;
const MS: u64 = 1_000_000;
const TICK: u64 = 5 * MS;
const STEPS: u64 = 1_500;
const NOTE: [u8; 3] = [7, 8, 9];

const DELIVERED: u64 = 10;
const ERROR: u64 = 20;
const FULL: u64 = 30;
const TIMED_OUT: u64 = 40;
const CONNECT_FAILED: u64 = 50;
const RESET: u64 = 60;
const CANCELLED: u64 = 70;
const MOOT: u64 = 80;

/// A figure with few digits, which every reader of JSON takes for the same number.
fn thousandths(rng: &mut SmallRng, range: std::ops::Range<u32>) -> f64 {
    f64::from(rng.random_range(range)) / 1_000.0
}

fn lane(rng: &mut SmallRng, number: usize, effect: &str) -> Value {
    let scope = ["all", "zone", "endpoint"][rng.random_range(0..3)];
    json!({
        "aim-ns": rng.random_range(300..2_500) * MS, "credit": thousandths(rng, 500..5000),
        "deadline-ns": rng.random_range(4_000..28_000) * MS, "effect": effect, "key-scope": scope,
        "key-ttl-ns": rng.random_range(2_000..12_000) * MS, "late-share": thousandths(rng, 0..600),
        "aim-stretch": (if rng.random_bool(0.3) { thousandths(rng, 0..2000) } else { 0.0 }),
        "by-arrival": rng.random_bool(0.3), "name": format!("n{number}"), "streamed": false})
}

fn conf(rng: &mut SmallRng) -> Value {
    let lanes: Vec<Value> =
        ["repeatable", "by_key", "once"].iter().enumerate().map(|(n, effect)| lane(rng, n, effect)).collect();
    let customers = if rng.random_bool(0.5) { json!([{"name": "t0"}, {"name": "t1"}]) } else { json!([]) };
    json!({
        "costs": {"handshake": thousandths(rng, 0..200), "later-key": 1}, "customers": customers,
        "dcs": ["a", "b"],
        "family-info": {"bundle-max": [1, rng.random_range(1..6)], "fee-by-zone": [0.0, 0.03],
            "loses-worth": (["line", "halves"][rng.random_range(0..2)]),
            "separate-routes": [false, true], "slots": rng.random_range(2..24)},
        "lanes": lanes,
        "limits": {"cancel": rng.random_bool(0.5), "connect-timeout-ns": 1_000 * MS,
            "keepalive-ns": 10_000 * MS, "max-open": rng.random_range(20..200),
            "probing": rng.random_bool(0.5), "retry-after": rng.random_bool(0.5),
            "max-retry-after-ns": 5_000 * MS, "send-cap": rng.random_range(2..7)},
        "membership-mode": (["subscribe", "push"][rng.random_range(0..2)]),
        "rules": {"cold-from": 0.18, "cold-ns": 4_000 * MS, "drain-grace-ns": 1_000 * MS,
            "fall-multiple": 2.0, "fall-ns": 1_000 * MS, "order-pause-ns": rng.random_range(0..800) * MS},
        "siblings": rng.random_range(1..4), "skus": ["k", "r"], "tick-ns": TICK,
        "weight-kind": (["", "nominal", "rough"][rng.random_range(0..3)])
    })
}

/// Something that comes to the courier later.
enum Due {
    Answer { job: u64, send: u32, line: Value },
    Line(Value),
}

/// One courier and the world around it.
struct Day {
    rng: SmallRng,
    host: Host,
    digest: Digest,
    now: u64,
    lines: Vec<Value>,
    due: BTreeMap<(u64, u64), Due>,
    ordered: u64,
    jobs: u64,
    /// Messages that have no final answer, with the number of their sends.
    open: BTreeMap<u64, u32>,
    endpoints: Vec<Endpoint>,
    revision: u64,
    sent: u64,
    refused: u64,
}

struct Endpoint {
    name: String,
    zone: usize,
    kind: usize,
    destination: u64,
    state: u64,
    rating: f64,
    /// Until then its calls go wrong in this way.
    trouble: (u64, u64),
    mean_ms: u64,
}

impl Endpoint {
    fn element(&self) -> Value {
        json!({"endpoint": self.name, "zone": self.zone, "sku": self.kind, "destination": self.destination,
            "state": self.state, "rating": self.rating})
    }
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut rng = SmallRng::seed_from_u64(seed);
        let conf = conf(&mut rng);
        let mut endpoints = Vec::new();
        for number in 0..rng.random_range(2..9usize) {
            let destination = 57 + (number % 3) as u64;
            endpoints.push(Endpoint {
                name: format!("10.0.0.{number}:1"),
                zone: number % 2,
                kind: usize::from(destination == 58),
                destination,
                state: 1,
                rating: thousandths(&mut rng, 5000..60000),
                trouble: (0, 0),
                mean_ms: rng.random_range(5..120),
            });
        }
        let lines = vec![
            json!({"what": "SYNC", "wall-ns": 9_000 * MS}),
            json!({"what": "NEW_INSTANCE", "courier-id": COURIER, "salt": seed, "conf": conf}),
        ];
        let mut day = Day {
            rng,
            host: Host::default(),
            digest: Digest::default(),
            now: 9_000 * MS,
            lines,
            due: BTreeMap::new(),
            ordered: 0,
            jobs: 0,
            open: BTreeMap::new(),
            endpoints,
            revision: 0,
            sent: 0,
            refused: 0,
        };
        day.list(2);
        day.exchange();
        day
    }

    /// Tells of the endpoints: changes (0), or all of them.
    fn list(&mut self, kind: u64) {
        self.revision += 1;
        let mut elements: Vec<Value> = self.endpoints.iter().map(Endpoint::element).collect();
        if kind == 0 {
            elements = vec![elements[self.rng.random_range(0..elements.len())].clone()];
        }
        self.lines.push(json!({"what": "TABLE", "buffer": 0, "elements": elements}));
        self.lines.push(json!({"what": "DIRECTORY_UPDATE", "courier-id": COURIER, "kind": kind,
            "revision": self.revision, "buffer": 0}));
    }

    fn later(&mut self, after: u64, due: Due) {
        self.ordered += 1;
        self.due.insert((self.now + after, self.ordered), due);
    }

    /// Hands the lines over and takes the reply in.
    fn exchange(&mut self) {
        let mut lines = std::mem::take(&mut self.lines);
        lines.push(json!({"what": "GO"}));
        let input: String = lines.iter().map(|line| format!("{line}\n")).collect();
        let mut output = Vec::new();
        self.host.run(input.as_bytes(), &mut output).expect("the input is well-formed");
        for line in String::from_utf8(output).expect("UTF-8").lines() {
            let mut action: Value = serde_json::from_str(line).expect("JSON");
            if action["what"] == "NOTE_DOWN" {
                action["message"] = json!("");
                self.digest.bytes(action.to_string().as_bytes());
            } else {
                self.digest.bytes(line.as_bytes());
            }
            self.act(&action);
        }
    }

    fn act(&mut self, action: &Value) {
        let job = action["job"].as_u64().unwrap_or_default();
        match action["what"].as_str().expect("every line says what") {
            "SUBMIT_TO" => self.submit(job, action),
            "TURN_AWAY" | "REPORT_FAILURE" => {
                self.refused += 1;
                self.open.remove(&job);
            }
            "REVOKE" => self.revoke(job, action["send-no"].as_u64().expect("a number") as u32),
            "POLL" => self.poll(action["endpoint"].as_str().expect("a name")),
            "FETCH" => self.fetched(1),
            "SUBSCRIBE" if action["active"] == true => self.fetched(2),
            "WAKE_AT" => {
                let line = json!({"what": "ELAPSED", "courier-id": COURIER, "name": action["name"]});
                let after = action["from-now-ns"].as_u64().expect("a time");
                self.later(after.div_ceil(TICK) * TICK, Due::Line(line));
            }
            "BUG" => panic!("{action}"),
            _ => {}
        }
    }

    fn fetched(&mut self, kind: u64) {
        if self.rng.random_bool(0.2) {
            let failed = json!({"what": "DIRECTORY_UPDATE", "courier-id": COURIER, "kind": 3, "revision": 0});
            return self.later(10 * MS, Due::Line(failed));
        }
        self.list(kind);
        for line in self.lines.split_off(self.lines.len() - 2) {
            self.later(10 * MS, Due::Line(line));
        }
    }

    /// How a call to an endpoint ends, and after what time.
    fn ending(&mut self, name: &str, timeout: u64) -> (u64, u64, u64) {
        let endpoint = self.endpoints.iter().find(|endpoint| endpoint.name == name).expect("it is listed");
        let (until, how) = endpoint.trouble;
        let took = self.rng.random_range(1..2 * endpoint.mean_ms + 1) * MS;
        let how = match self.rng.random_range(0..100) {
            _ if self.now < until && how == FULL && self.rng.random_bool(0.3) => DELIVERED,
            _ if self.now < until => how,
            0 => ERROR,
            1 => TIMED_OUT,
            2 => RESET,
            3 => MOOT,
            _ => DELIVERED,
        };
        let took = match how {
            TIMED_OUT => timeout,
            CONNECT_FAILED => timeout.min(1_000 * MS),
            FULL => MS,
            _ => took,
        };
        let detail = if how == FULL { [0, 20, 400][self.rng.random_range(0..3)] } else { 0 };
        (how, took, detail)
    }

    fn pressure(&mut self) -> Value {
        match self.rng.random_range(0..4) {
            0 => {
                json!({"x0": thousandths(&mut self.rng, 0..1000), "x1": thousandths(&mut self.rng, 5000..80000)})
            }
            1 => json!({"x0": 0.4}),
            _ => Value::Null,
        }
    }

    fn submit(&mut self, job: u64, action: &Value) {
        self.sent += 1;
        let Some(sends) = self.open.get_mut(&job) else { return };
        let send = *sends;
        *sends += 1;
        let name = action["endpoint"].as_str().expect("a name").to_owned();
        let (how, took, detail) = self.ending(&name, action["try-for-ns"].as_u64().expect("a time"));
        let mut line = json!({"what": "DONE", "courier-id": COURIER, "job": job, "endpoint": name, "how": how,
            "detail": detail, "send-no": send, "took-ns": took, "last": how == DELIVERED, "new": 1});
        let pressure = self.pressure();
        if !pressure.is_null() {
            line["pressure"] = pressure;
        }
        if how == DELIVERED && took > 40 * MS && self.rng.random_bool(0.2) {
            let flowing = json!({"what": "FLOWING", "courier-id": COURIER, "job": job});
            self.later(took / 2, Due::Line(flowing));
        }
        self.later(took, Due::Answer { job, send, line });
    }

    fn revoke(&mut self, revoked: u64, number: u32) {
        let found = self.due.iter_mut().find_map(|(at, due)| match due {
            Due::Answer { job, send, .. } if *job == revoked && *send == number => Some(*at),
            _ => None,
        });
        if let Some(Due::Answer { job, send, mut line }) = found.and_then(|at| self.due.remove(&at)) {
            line["how"] = json!(CANCELLED);
            line["last"] = json!(false);
            self.later(TICK, Due::Answer { job, send, line });
        }
    }

    fn poll(&mut self, name: &str) {
        let (how, took, detail) = self.ending(name, 1_000 * MS);
        let line = json!({"what": "ECHO", "courier-id": COURIER, "endpoint": name, "how": how,
            "detail": detail, "took-ns": took});
        self.later(took, Due::Line(line));
    }

    fn take(&mut self) {
        self.jobs += 1;
        let destination = 57 + self.rng.random_range(0..3u64);
        let mut line = json!({"what": "ORDER", "courier-id": COURIER, "job": self.jobs, "marks": 0,
            "kind": self.rng.random_range(0..3), "to-exchange": destination,
            "time-budget-ns": self.rng.random_range(200..20_000) * MS, "customer": self.jobs % 2});
        if self.rng.random_bool(0.3) {
            line["item"] = json!(format!("key{}", self.rng.random_range(0..5)));
        }
        if self.rng.random_bool(0.3) {
            line["marks"] = json!(1);
            line["estimate-ns"] = json!(self.rng.random_range(1..400) * MS);
        }
        self.open.insert(self.jobs, 0);
        self.lines.push(line);
    }

    fn withdraw(&mut self) {
        let jobs: Vec<u64> = self.open.keys().copied().collect();
        if !jobs.is_empty() {
            let job = jobs[self.rng.random_range(0..jobs.len())];
            self.open.remove(&job);
            self.lines.push(json!({"what": "WITHDRAWN", "courier-id": COURIER, "job": job}));
        }
    }

    /// Something happens to an endpoint.
    fn mishap(&mut self) {
        let index = self.rng.random_range(0..self.endpoints.len());
        match self.rng.random_range(0..8) {
            0 => self.endpoints[index].state = 2,
            1 => self.endpoints[index].state = 0,
            2 | 3 => self.endpoints[index].state = 1,
            _ => {
                let how = [ERROR, FULL, TIMED_OUT, CONNECT_FAILED, RESET][self.rng.random_range(0..5)];
                let lasts = self.rng.random_range(200..2_500) * MS;
                self.endpoints[index].trouble = (self.now + lasts, how);
                return;
            }
        }
        let kind = if self.rng.random_bool(0.8) { 0 } else { 1 };
        self.list(kind);
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
            match entry.remove() {
                Due::Line(line) => self.lines.push(line),
                Due::Answer { job, line, .. } => {
                    if line["last"] == true {
                        self.open.remove(&job);
                    }
                    self.lines.push(line);
                }
            }
        }
    }

    fn run(mut self) -> (u64, u64, u64) {
        let rushes: BTreeSet<u64> = (0..3).map(|_| self.rng.random_range(0..15u64)).collect();
        for step in 0..STEPS {
            self.now += TICK;
            self.lines.push(json!({"what": "SYNC", "wall-ns": self.now}));
            self.deliver_due();
            let rush = rushes.contains(&(step / 100));
            if self.rng.random_bool(if rush { 0.8 } else { 0.15 }) {
                self.take();
            }
            if self.rng.random_bool(0.006) {
                self.withdraw();
            }
            if self.rng.random_bool(0.006) {
                self.mishap();
            }
            if self.rng.random_bool(0.002) {
                let contents = STANDARD.encode(NOTE);
                self.lines.push(json!({"what": "WHISPER", "courier-id": COURIER, "sender": 4,
                    "contents": contents}));
            }
            if self.lines.len() > 1 {
                self.exchange();
            } else {
                self.lines.clear();
            }
        }
        (self.digest.value(), self.sent, self.refused)
    }
}

#[test]
fn replies_match_the_recorded_digests() {
    let (mut digests, mut sent, mut refused) = (Vec::new(), 0, 0);
    for seed in 0..SEEDS {
        let (digest, sends, refusals) = Day::new(seed).run();
        digests.push((seed, digest));
        sent += sends;
        refused += refusals;
    }
    assert!(sent > SEEDS * 100 && refused > SEEDS, "{sent} sends, {refused} refusals");
    assert_digests(env!("CARGO_MANIFEST_DIR"), "wire", digests);
}
