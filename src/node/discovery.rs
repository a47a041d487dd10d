//! The watch on the endpoint list: a streaming request that is repeated, with backoff, when its connection ends or
//! falls silent.

use super::input::Input;
use super::link::Link;
use super::log::log_line;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use lanegate_http_framing::FramingError;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

/// A full or incremental endpoint list in discovery's JSON form.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// For the log: the number of entries, and each one that is not ready.
impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", if self.whole { "whole," } else { "changes," }, self.hosts.len())?;
        let away = self.hosts.iter().filter(|h| h.health != Health::Ready);
        away.into_iter().try_for_each(|h| write!(f, " {}={:?}", h.host, h.health))
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    pub host: String,
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    pub block: u64,
    pub health: Health,
    #[serde(default)]
    pub share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Ready,
    Draining,
    Gone,
    /// A value unknown to this version: nothing new is sent to the endpoint.
    #[serde(other)]
    Unknown,
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// An agent answers at once; one that does not is asked again. Where a fleet asks together it may be work that
/// waits in a queue, which each call that is given up and made anew lengthens: the timeout doubles with each.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(8000);
/// While nothing changes an empty line comes every 2 s. A machine that vanished leaves the connection open
/// and silent; a change counts as received 6 s later, so silence must be found out early enough before that for
/// a watch that is not answered and another that is.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Pause before a watch is asked for again, s, in a fleet of this size or less; in a larger one it grows with
/// it, so that all together ask no oftener. The first watch is spread likewise where a list is at hand.
const FIRST_BACKOFF_S: f64 = 0.15;
const MAX_BACKOFF_S: f64 = 2.0;
const REFERENCE_FLEET: f64 = 6.0;
const START_SPREAD_S: f64 = 0.3;
/// While there is no watch, what the agent has been sent counts as received already. So a first watch, and one
/// after another that was answered, is up within the grace on drains: its call comes in this part of it.
const GRACE_SHARE: f64 = 0.5;
/// Longer than any list; bounds memory against one without an end.
const MAX_VALUE: usize = 8 * 1024 * 1024;
/// Bytes of an invalid value that are logged.
const MAX_LOGGED_BYTES: usize = 60;

pub struct Watch {
    pub address: SocketAddr,
    pub seed: u64,
    /// The list version that the courier has.
    pub seq: u64,
    /// Request the full list, as the version may not be one of discovery's.
    pub fresh: bool,
    /// Number of couriers.
    pub fleet: usize,
    /// No new call may go to an endpoint this long after the notice that it drains.
    pub grace: Duration,
}

/// Retry pauses and response time-outs of the watch.
struct Backoff {
    scale: f64,
    /// The first pause, at most, while discovery is not known to turn callers away.
    most: f64,
    backoff: f64,
    answer: Duration,
}

impl Backoff {
    fn new(fleet: usize, grace: Duration) -> Self {
        let scale = (fleet as f64 / REFERENCE_FLEET).max(1.0);
        let most = grace.as_secs_f64() * GRACE_SHARE;
        Backoff { scale, most, backoff: FIRST_BACKOFF_S, answer: FIRST_RESPONSE_TIMEOUT }
    }

    /// Delay before the first request; `jitter` is from 0 to 1.
    fn spread(&self, jitter: f64) -> Duration {
        Duration::from_secs_f64((START_SPREAD_S * self.scale).min(self.most) * jitter)
    }

    /// Resets pauses and time-outs after a watch that lasted.
    fn renew(&mut self) {
        (self.backoff, self.answer) = (FIRST_BACKOFF_S, FIRST_RESPONSE_TIMEOUT);
    }

    /// The pause before the next call, after one that was answered (`heard`) or was not; `jitter` is from 0 to
    /// 1. Only a discovery that turns callers away is spared by pauses that grow with the fleet.
    fn pause(&mut self, heard: bool, jitter: f64) -> Duration {
        let scale = if heard { self.scale.min(self.most / FIRST_BACKOFF_S).max(1.0) } else { self.scale };
        let pause = self.backoff * scale * (0.5 + jitter);
        self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF_S);
        Duration::from_secs_f64(pause)
    }

    /// Doubles the response time-out after a request without a response.
    fn unanswered(&mut self) {
        self.answer = (self.answer * 2).min(MAX_RESPONSE_TIMEOUT);
    }
}

impl Watch {
    /// Watches until the receiver is dropped.
    pub async fn run(mut self, inputs: Sender<Input>) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut schedule = Backoff::new(self.fleet, self.grace);
        if !self.fresh {
            sleep(schedule.spread(rng.random())).await;
        }
        while !inputs.is_closed() {
            let since = Instant::now();
            let heard = self.once(&inputs, &mut schedule).await;
            if heard && since.elapsed() > SILENCE_TIMEOUT {
                schedule.renew();
            }
            sleep(schedule.pause(heard, rng.random())).await;
        }
    }

    /// One watch, from its connection to its end. True if it was answered.
    async fn once(&mut self, inputs: &Sender<Input>, schedule: &mut Backoff) -> bool {
        let Some(mut link) = Link::open(self.address, CONNECT_TIMEOUT, None).await else {
            log_line!("discovery: no connection to {}", self.address);
            return false;
        };
        let path = match self.fresh {
            true => "/api/targets?stream=1".to_owned(),
            false => format!("/api/targets?stream=1&index={}", self.seq),
        };
        let host = self.address.to_string();
        let request = Request::get(path).header(header::HOST, host).body(Full::<Bytes>::default());
        let Ok(request) = request else { return false };
        let Some(answer) = link.watch(request, schedule.answer).await else {
            if let Some(refused) = link.refusal() {
                self.log_refusal(refused);
                return false;
            }
            log_line!("discovery: no answer from {} in {:?}", self.address, schedule.answer);
            schedule.unanswered();
            return false;
        };
        log_line!("discovery: {} answers {} {:?}", self.address, answer.status(), answer.headers());
        if answer.status() != StatusCode::OK {
            return false;
        }
        let (mut body, mut splitter) = (answer.into_body(), ValueSplitter::default());
        let mut heard = false;
        while let Some(piece) = link.next_chunk(&mut body, splitter.time_left()).await {
            if !splitter.push(&piece) {
                log_line!("discovery: {} tells a list without an end", self.address);
                self.fresh = true;
                return heard;
            }
            while let Some(item) = splitter.next() {
                // An empty line means that nothing has changed, which is a response too.
                let list = match item {
                    Item::Heartbeat => List { seq: self.seq, ..List::default() },
                    Item::Value(value) => match serde_json::from_slice::<List>(&value) {
                        Ok(list) => list,
                        Err(e) => {
                            let from = String::from_utf8_lossy(&value[..value.len().min(MAX_LOGGED_BYTES)]);
                            log_line!("discovery: {} tells what cannot be read, {from:?}: {e}", self.address);
                            // Request a full list, which includes what this value would have contained.
                            self.fresh = true;
                            return heard;
                        }
                    },
                };
                if !list.hosts.is_empty() || list.whole {
                    (self.seq, self.fresh) = (list.seq, false);
                } else {
                    self.seq = self.seq.max(list.seq);
                    if heard {
                        continue;
                    }
                }
                heard = true;
                if inputs.send(Input::EndpointList(list)).await.is_err() {
                    return true;
                }
            }
        }
        if let Some(refused) = link.refusal() {
            self.log_refusal(refused);
            // The lists of an answer that is not valid are not relied on.
            self.fresh = true;
        }
        let cut = if splitter.is_within() { ", in the middle of a list" } else { "" };
        log_line!("discovery: the watch at {} has ended{cut}", self.address);
        heard
    }
}

impl Watch {
    fn log_refusal(&self, refused: FramingError) {
        log_line!("discovery: answer of {} refused, {}: {refused}", self.address, refused.reason());
    }
}

/// One item of discovery's stream.
#[derive(Debug, PartialEq)]
enum Item {
    /// An empty line.
    Heartbeat,
    /// A JSON value, or a line that is not JSON.
    Value(Vec<u8>),
}

/// Cuts a stream of bytes into JSON values. Each has a line of its own, or several where lists come indented.
#[derive(Default)]
struct ValueSplitter {
    bytes: Vec<u8>,
    /// Bytes scanned so far, without the end of a value.
    seen: usize,
    /// Brackets that are open there, and whether it is within a string, right behind a backslash.
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// Whether anything but white space was scanned.
    begun: bool,
    /// The rest of a value's last line is no empty line.
    ended: bool,
    /// When the unfinished value started.
    since: Option<Instant>,
}

impl ValueSplitter {
    /// False if a value has grown too long.
    fn push(&mut self, piece: &[u8]) -> bool {
        self.bytes.extend_from_slice(piece);
        self.bytes.len() <= MAX_VALUE
    }

    /// Whether a value is unfinished.
    fn is_within(&self) -> bool {
        self.begun
    }

    /// How long to wait for more bytes. A value that does not end hides everything sent after it, so it counts as
    /// silence from its start, whatever arrives meanwhile.
    fn time_left(&self) -> Duration {
        self.since.map_or(SILENCE_TIMEOUT, |since| SILENCE_TIMEOUT.saturating_sub(since.elapsed()))
    }

    fn next(&mut self) -> Option<Item> {
        while let Some(byte) = self.bytes.get(self.seen).copied() {
            self.seen += 1;
            let whole = match byte {
                _ if self.escaped => {
                    self.escaped = false;
                    false
                }
                b'\\' if self.quoted => {
                    self.escaped = true;
                    false
                }
                // JSON strings do not span lines: this one was truncated.
                b'\n' if self.quoted || self.depth == 0 => true,
                b'"' => {
                    (self.quoted, self.begun) = (!self.quoted, true);
                    false
                }
                _ if self.quoted => false,
                b'{' | b'[' => {
                    (self.depth, self.begun) = (self.depth + 1, true);
                    false
                }
                b'}' | b']' => {
                    (self.depth, self.begun) = (self.depth.saturating_sub(1), true);
                    self.depth == 0
                }
                _ => {
                    self.begun |= !byte.is_ascii_whitespace();
                    false
                }
            };
            if !whole {
                continue;
            }
            let rest = self.bytes.split_off(self.seen);
            let ended = self.begun && byte != b'\n';
            let splitter =
                std::mem::replace(self, ValueSplitter { bytes: rest, ended, ..ValueSplitter::default() });
            if splitter.begun {
                return Some(Item::Value(splitter.bytes));
            }
            if !splitter.ended {
                return Some(Item::Heartbeat);
            }
        }
        self.since = self.begun.then(|| self.since.unwrap_or_else(Instant::now));
        None
    }
}

#[cfg(test)]
#[path = "discovery_test.rs"]
mod tests;
