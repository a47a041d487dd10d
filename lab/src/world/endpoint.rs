//! Endpoints and the limits of their destinations: what a call meets, and what comes back.

use super::Late;
use super::clients::Owed;
use super::link::{Door, Link, Tap, Wire};
use crate::draw;
use crate::event::{CallEnd, Recorder, What};
use crate::experiment::Destinations;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

/// A limit lets so many seconds of itself through at once.
const BURST: f64 = 0.25;
/// Fewer calls than this push nobody over: chance alone brings them together.
const FALL_LEAST: f64 = 8.0;

/// What a destination takes from all couriers together, and which messages it knows by their keys.
pub struct Destination {
    rate: Mutex<Option<f64>>,
    factor: Mutex<f64>,
    /// Calls that are left, and when that was so.
    left: Mutex<(f64, Instant)>,
    refused_count: bool,
    /// Keys with the zone in which they are known, where that is their scope, and since when.
    keys: Mutex<HashMap<(String, Option<usize>), Instant>>,
}

impl Destination {
    pub fn new(rate: Option<f64>, refused_count: bool) -> Self {
        Destination {
            keys: Mutex::default(),
            rate: Mutex::new(rate),
            factor: Mutex::new(1.0),
            left: Mutex::new((1.0, Instant::now())),
            refused_count,
        }
    }

    /// Calls a second just now.
    pub fn rate(&self) -> Option<f64> {
        let factor = *self.factor.lock().expect("factor");
        self.rate.lock().expect("rate").map(|r| r * factor)
    }

    pub fn scale(&self, factor: f64) {
        *self.factor.lock().expect("factor") = factor;
    }

    fn admits(&self) -> bool {
        let Some(rate) = self.rate() else { return true };
        let most = (rate * BURST).max(1.0);
        let mut left = self.left.lock().expect("left");
        let now = Instant::now();
        left.0 = (left.0 + (now - left.1).as_secs_f64() * rate).min(most);
        left.1 = now;
        let admitted = left.0 >= 1.0;
        if admitted || self.refused_count {
            // What is refused uses it up, but does not shut it for longer than it is asked too much.
            left.0 = (left.0 - 1.0).max(-1.0);
        }
        admitted
    }

    /// Whether a message with this key has run here within the time for which that is remembered.
    fn knows(&self, key: (String, Option<usize>), ttl: Duration) -> bool {
        let mut keys = self.keys.lock().expect("keys");
        let now = Instant::now();
        if keys.len() == keys.capacity() {
            keys.retain(|_, at| *at + ttl > now);
        }
        let known = keys.get(&key).is_some_and(|at| *at + ttl > now);
        if !known {
            keys.insert(key, now);
        }
        known
    }
}

/// What is wrong with an endpoint just now; each a factor or a probability.
#[derive(Clone, Debug)]
pub struct Ills {
    pub slow: f64,
    pub failing: f64,
    pub resets: f64,
    pub lost: f64,
    pub spoilt: f64,
    pub hangs: bool,
    pub draining: bool,
}

impl Default for Ills {
    fn default() -> Self {
        Ills { slow: 1.0, failing: 0.0, resets: 0.0, lost: 0.0, spoilt: 0.0, hangs: false, draining: false }
    }
}

pub struct Endpoint {
    pub number: usize,
    pub zone: usize,
    pub destination: Arc<Destination>,
    pub ills: Mutex<Ills>,
    /// By courier: each has addresses of its own, and a link.
    pub doors: Vec<Arc<Door>>,
    terms: Destinations,
    /// For how long keys are known, and whether in their zone alone.
    keyed: (Duration, bool),
    recorder: Recorder,
    late: Arc<Late>,
    owed: Arc<Owed>,
    calls: Arc<AtomicU64>,
    service: LogNormal<f64>,
    /// Calls a second that it can serve when warm.
    capacity: f64,
    slots: Arc<Semaphore>,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    down: AtomicBool,
    /// Since when it is there again, where it came back cold.
    cold: Mutex<Option<Instant>>,
    /// Calls of the last while: when, and whose.
    recent: Mutex<VecDeque<(Instant, usize)>>,
}

/// A call that has come and has no end yet.
struct Out {
    call: u64,
    recorder: Recorder,
    tap: Arc<Tap>,
    link: Arc<Link>,
    done: bool,
}

impl Out {
    fn end(self, end: CallEnd) {
        let at = self.recorder.now();
        self.end_at(at, end);
    }

    fn end_at(mut self, at: u64, end: CallEnd) {
        self.done = true;
        self.recorder.note_at(at, What::CallEnded { call: self.call, end });
    }

    fn answer(self, status: StatusCode, wait_ms: Option<u64>) {
        let heard = !self.link.mute_out.load(SeqCst);
        let at = self.recorder.now() + self.link.latency.load(SeqCst);
        self.end_at(at, CallEnd::Answered { status: status.as_u16(), wait_ms, heard });
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        if !self.done {
            // Over a link that is mute the endpoint learns of it later than the courier left.
            let at = match self.tap.closed.load(SeqCst) {
                0 => self.recorder.now(),
                at => at,
            };
            self.recorder.note_at(at, What::CallEnded { call: self.call, end: CallEnd::Left });
        }
    }
}

/// What an endpoint is made of.
pub struct Makings {
    pub number: usize,
    /// Microseconds of its destination's median service.
    pub service: u64,
    pub zone: usize,
    pub destination: Arc<Destination>,
    pub doors: Vec<Arc<Door>>,
    pub terms: Destinations,
    /// For how long keys are known, and whether in their zone alone.
    pub keyed: (Duration, bool),
    pub recorder: Recorder,
    pub late: Arc<Late>,
    pub owed: Arc<Owed>,
    /// Numbers the calls of all endpoints.
    pub calls: Arc<AtomicU64>,
}

pub fn digest(bytes: &[u8]) -> u64 {
    let hash = Sha256::digest(bytes);
    u64::from_le_bytes(hash[..8].try_into().expect("eight bytes"))
}

impl Endpoint {
    pub fn new(makings: Makings) -> anyhow::Result<Arc<Self>> {
        let Makings { number, service, zone, destination, doors, terms, keyed, recorder, late, owed, calls } =
            makings;
        // The mean of a log-normal time is above its median.
        let mean = service as f64 * (terms.spread * terms.spread / 2.0).exp();
        let capacity = terms.concurrency as f64 * 1e6 / mean;
        let service = LogNormal::new((service as f64).ln(), terms.spread)
            .map_err(|e| anyhow::anyhow!("destinations.spread: {e}"))?;
        Ok(Arc::new(Endpoint {
            number,
            zone,
            destination,
            ills: Mutex::default(),
            doors,
            slots: Arc::new(Semaphore::new(terms.concurrency)),
            terms,
            keyed,
            recorder,
            late,
            owed,
            calls,
            service,
            capacity,
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            down: AtomicBool::new(false),
            cold: Mutex::default(),
            recent: Mutex::default(),
        }))
    }

    pub fn run(self: &Arc<Self>) {
        for (courier, door) in self.doors.iter().enumerate() {
            let this = self.clone();
            let serve = move |wire, tap| {
                this.recorder.note(What::Connected { endpoint: this.number, courier });
                tokio::spawn(this.clone().connection(courier, wire, tap));
            };
            let (door, recorder) = (door.clone(), self.recorder.clone());
            tokio::spawn(async move {
                if let Err(e) = door.run(recorder, serve).await {
                    tracing::error!("an endpoint cannot listen: {e}");
                }
            });
        }
    }

    /// Connections are refused and break from now on.
    pub fn fall(&self) {
        if !self.down.swap(true, SeqCst) {
            self.recorder.note(What::Down { endpoint: self.number });
        }
        for door in &self.doors {
            door.set_open(false);
            door.link.sever();
        }
    }

    /// It is there again: its connections are gone, and it is cold.
    pub fn rise(&self) {
        self.recent.lock().expect("recent").clear();
        *self.cold.lock().expect("cold") = Some(Instant::now());
        self.down.store(false, SeqCst);
        self.recorder.note(What::Up { endpoint: self.number, cold: true });
        self.doors.iter().for_each(|door| door.set_open(true));
    }

    /// The share of its capacity that it has, until it is warm.
    fn warmth(&self) -> Option<f64> {
        let since = (*self.cold.lock().expect("cold"))?.elapsed().as_secs_f64();
        let part = since / self.terms.cold;
        (part < 1.0).then_some(self.terms.cold_from + (1.0 - self.terms.cold_from) * part)
    }

    /// Counts a call on a cold endpoint, which may fall over by it.
    fn pushed(self: &Arc<Self>, courier: usize) -> bool {
        let Some(warmth) = self.warmth() else { return false };
        let span = Duration::from_secs_f64(self.terms.fall);
        let mut recent = self.recent.lock().expect("recent");
        let now = Instant::now();
        recent.push_back((now, courier));
        while recent.front().is_some_and(|(at, _)| *at + span < now) {
            recent.pop_front();
        }
        let bound = self.terms.fall_multiple * self.capacity * warmth * self.terms.fall;
        if (recent.len() as f64) < bound.max(FALL_LEAST) {
            return false;
        }
        let mut calls = vec![0; self.doors.len()];
        recent.iter().for_each(|(_, c)| calls[*c] += 1);
        let calls = calls.into_iter().enumerate().filter(|(_, n)| *n > 0).collect();
        drop(recent);
        self.recorder.note(What::Fell { endpoint: self.number, calls });
        self.fall();
        let this = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(this.terms.fallen)).await;
            this.rise();
        });
        true
    }

    async fn connection(self: Arc<Self>, courier: usize, wire: Wire, tap: Arc<Tap>) {
        let held = self.connections.fetch_add(1, SeqCst);
        let crowded = held >= self.terms.connections;
        let fresh = AtomicBool::new(true);
        let serve = service_fn(|request| {
            let first = fresh.swap(false, SeqCst);
            self.clone().call(courier, request, tap.clone(), first, crowded)
        });
        // It ends with the connection, however that ends; the calls tell the rest.
        let _ = http1::Builder::new().serve_connection(TokioIo::new(wire), serve).await;
        self.connections.fetch_sub(1, SeqCst);
    }

    async fn call(
        self: Arc<Self>,
        courier: usize,
        request: Request<Incoming>,
        tap: Arc<Tap>,
        fresh: bool,
        crowded: bool,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let (parts, body) = request.into_parts();
        let head = |name| parts.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let (id, key) = (head("x-request-id").unwrap_or_default(), head("idempotency-key"));
        let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
        let call = self.calls.fetch_add(1, SeqCst);
        let at = self.recorder.now();
        let first = match tap.first.swap(0, SeqCst) {
            0 => at,
            first => first,
        };
        let body = digest(&body);
        let endpoint = self.number;
        let note = What::Called { call, id: id.clone(), endpoint, courier, first, body, key: key.clone() };
        self.recorder.note_at(at, note);
        let link = self.doors[courier].link.clone();
        let out = Out { call, recorder: self.recorder.clone(), tap: tap.clone(), link, done: false };
        let ills = self.ills.lock().expect("ills").clone();
        if ills.hangs {
            return std::future::pending().await;
        }
        let reset = |out: Out| {
            out.end(CallEnd::Reset);
            tap.sever();
            Err(std::io::ErrorKind::ConnectionReset.into())
        };
        // Drawn for the message and the endpoint: the same whatever else is going on.
        let mut luck = ChaCha8Rng::seed_from_u64(digest(id.as_bytes()) ^ call ^ (endpoint as u64) << 32);
        if self.pushed(courier) || self.down.load(SeqCst) {
            return reset(out);
        }
        if ills.draining || crowded {
            return Ok(refused(out, None));
        }
        if !self.destination.admits() {
            let told = luck.random::<f64>() < self.terms.told;
            let wait = draw::between(&mut luck, self.terms.wait);
            return Ok(refused(out, told.then_some((wait * 1000.0) as u64)));
        }
        if luck.random::<f64>() < ills.resets {
            return reset(out);
        }
        if self.slots.available_permits() == 0 && self.waiting.load(SeqCst) >= self.terms.queue {
            return Ok(refused(out, None));
        }
        let handshake = if fresh { self.terms.handshake_ms * 1000.0 } else { 0.0 };
        let service = self.service.sample(&mut luck) * ills.slow / self.warmth().unwrap_or(1.0);
        let took = Duration::from_micros((handshake + service) as u64);
        let fails = luck.random::<f64>() < ills.failing;
        let (lost, spoilt) = (luck.random::<f64>() < ills.lost, luck.random::<f64>() < ills.spoilt);
        // What is begun runs on, though the courier may leave.
        let (done, served) = oneshot::channel();
        let this = self.clone();
        if !fails {
            self.owed.ran(&id);
        }
        tokio::spawn(async move {
            this.serve(call, key, took, fails).await;
            let _ = done.send(());
        });
        let _ = served.await;
        if lost {
            return std::future::pending().await;
        }
        if spoilt {
            tap.spoil.store(true, SeqCst);
            out.end(CallEnd::Spoilt);
            return Ok(Response::new(Full::default()));
        }
        let status = if fails { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
        if !fails {
            self.owed.delivered(&id);
        }
        out.answer(status, None);
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = status;
        Ok(answer)
    }

    async fn serve(&self, call: u64, key: Option<String>, took: Duration, fails: bool) {
        self.waiting.fetch_add(1, SeqCst);
        let permit = self.slots.acquire().await;
        self.waiting.fetch_sub(1, SeqCst);
        let due = Instant::now() + took;
        sleep_until(due).await;
        self.late.answers(due);
        drop(permit);
        if fails {
            return;
        }
        let repeat = key.is_some_and(|key| self.known(key));
        self.recorder.note(What::Ran { call, repeat });
    }

    /// Whether a message with this key has run where it is known.
    fn known(&self, key: String) -> bool {
        let (ttl, by_zone) = self.keyed;
        self.destination.knows((key, by_zone.then_some(self.zone)), ttl)
    }
}

fn refused(out: Out, wait_ms: Option<u64>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = match wait_ms {
        Some(ms) => {
            answer.headers_mut().insert("wait-ms", ms.into());
            StatusCode::TOO_MANY_REQUESTS
        }
        None => StatusCode::SERVICE_UNAVAILABLE,
    };
    out.answer(answer.status(), wait_ms);
    answer
}
