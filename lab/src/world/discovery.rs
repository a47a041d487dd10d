//! Discovery, as each courier's agent has it, and the platform that reads notices. One address a courier, which
//! may move.

use super::clients::Owed;
use super::link::{Door, Tap, Wire};
use crate::draw;
use crate::event::{Health, Recorder, What};
use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// An empty line comes after so much time without news.
const BEAT: Duration = Duration::from_secs(2);
/// An address that was left closes what is open there after this time.
const MOVED: Duration = Duration::from_millis(1500);

/// An endpoint as a courier is told of it.
#[derive(Clone, Debug)]
pub struct Host {
    pub host: String,
    pub dial: SocketAddr,
    pub zone: String,
    pub destination: usize,
    /// Calls a second that its destination takes, where the list tells that.
    pub share: f64,
}

#[derive(Clone, Debug)]
struct Entry {
    seq: u64,
    health: Health,
}

/// What one courier's agent has.
struct Board {
    seq: u64,
    hosts: BTreeMap<usize, Entry>,
    /// The last change of each endpoint that was learned.
    learned: BTreeMap<usize, u64>,
}

/// One courier's agent.
pub struct Agent {
    courier: usize,
    hosts: Vec<Host>,
    board: Mutex<Board>,
    /// The version that the courier may be told of.
    news: watch::Sender<u64>,
    silent: watch::Sender<bool>,
    overbooked: Mutex<f64>,
    luck: Mutex<ChaCha8Rng>,
    door: Mutex<Arc<Door>>,
    recorder: Recorder,
    owed: Arc<Owed>,
}

type Body = BoxBody<Bytes, Infallible>;

#[derive(Deserialize)]
struct Notice {
    #[serde(rename = "ref")]
    id: String,
    result: String,
    wait_ms: Option<u64>,
}

fn full(text: String) -> Body {
    Full::new(Bytes::from(text)).boxed()
}

fn answer(status: StatusCode, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

impl Agent {
    pub fn new(
        courier: usize,
        hosts: Vec<Host>,
        overbooked: f64,
        seed: u64,
        recorder: Recorder,
        owed: Arc<Owed>,
    ) -> anyhow::Result<Arc<Self>> {
        let entries = (0..hosts.len()).map(|n| (n, Entry { seq: 1, health: Health::Ready }));
        let agent = Arc::new(Agent {
            courier,
            board: Mutex::new(Board { seq: 1, hosts: entries.collect(), learned: BTreeMap::new() }),
            hosts,
            news: watch::Sender::new(1),
            silent: watch::Sender::new(false),
            overbooked: Mutex::new(overbooked),
            luck: Mutex::new(draw::generator(seed, &format!("agent {courier}"))),
            door: Mutex::new(Door::new()?),
            recorder,
            owed,
        });
        agent.open();
        Ok(agent)
    }

    pub fn address(&self) -> SocketAddr {
        self.door.lock().expect("door").address()
    }

    pub fn door(&self) -> Arc<Door> {
        self.door.lock().expect("door").clone()
    }

    fn open(self: &Arc<Self>) {
        let (this, door, recorder) = (self.clone(), self.door(), self.recorder.clone());
        tokio::spawn(async move {
            let serve = move |wire, _: Arc<Tap>| drop(tokio::spawn(this.clone().connection(wire)));
            if let Err(e) = door.run(recorder, serve).await {
                tracing::error!("an agent cannot listen: {e}");
            }
        });
    }

    /// Moves to a new address. The old one takes nothing new, and closes what is open a while later.
    pub fn move_away(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let old = std::mem::replace(&mut *self.door.lock().expect("door"), Door::new()?);
        self.open();
        old.set_open(false);
        tokio::spawn(async move {
            sleep(MOVED).await;
            old.link.sever();
        });
        Ok(self.address())
    }

    /// What the courier held is owed no more.
    pub fn folder_lost(&self) {
        self.owed.lost(self.courier);
    }

    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    pub fn overbook(&self, share: f64) {
        *self.overbooked.lock().expect("overbooked") = share;
    }

    /// The change of that number has reached the agent; one that a later one has overtaken is no news.
    pub fn learn(&self, change: u64, endpoint: usize, health: Health) {
        let mut board = self.board.lock().expect("board");
        let last = board.learned.insert(endpoint, change).unwrap_or(0);
        if last > change {
            board.learned.insert(endpoint, last);
            return;
        }
        board.seq += 1;
        let seq = board.seq;
        board.hosts.insert(endpoint, Entry { seq, health });
        self.news.send_replace(seq);
    }

    /// What changed after a version, as the courier reads it; all of it counts as told.
    fn tell(&self, after: u64, whole: bool) -> (u64, Value) {
        let board = self.board.lock().expect("board");
        let told = board.hosts.iter().filter(|(_, e)| match whole {
            true => e.health != Health::Gone,
            false => e.seq > after,
        });
        let mut lines = Vec::new();
        for (endpoint, entry) in told {
            let host = &self.hosts[*endpoint];
            self.recorder.note(What::Told {
                courier: self.courier,
                endpoint: *endpoint,
                health: entry.health,
            });
            lines.push(json!({"host": host.host, "dial": host.dial.to_string(), "site": host.zone,
                "class": "partners", "block": host.destination, "health": entry.health,
                "share": host.share, "born_ms": 0}));
        }
        if whole {
            // That one is missing tells that it is gone.
            let gone = board.hosts.iter().filter(|(_, e)| e.health == Health::Gone);
            gone.for_each(|(n, _)| {
                let (courier, endpoint) = (self.courier, *n);
                self.recorder.note(What::Told { courier, endpoint, health: Health::Gone });
            });
        }
        (board.seq, json!({"seq": board.seq, "whole": whole, "hosts": lines}))
    }

    /// The list that stands in a courier's configuration at its start.
    pub fn known(&self) -> Value {
        self.tell(0, true).1
    }

    async fn heard(&self) {
        // An agent whose discovery is down says nothing.
        let mut silent = self.silent.subscribe();
        let _ = silent.wait_for(|s| !*s).await;
    }

    async fn connection(self: Arc<Self>, wire: Wire) {
        let serve = service_fn(|request| self.clone().answer(request));
        let _ = http1::Builder::new().serve_connection(TokioIo::new(wire), serve).await;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, hyper::Error> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        if parts.method == Method::POST && parts.uri.path() == "/v1/outcomes" {
            return Ok(self.outcomes(&body));
        }
        if parts.method != Method::GET || parts.uri.path() != "/api/targets" {
            return Ok(answer(StatusCode::NOT_FOUND, full(String::new())));
        }
        self.heard().await;
        let overbooked = *self.overbooked.lock().expect("overbooked");
        if self.luck.lock().expect("luck").random::<f64>() < overbooked {
            return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, full(String::new())));
        }
        let query = parts.uri.query().unwrap_or_default();
        let field = |name| query.split('&').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name);
        if field("stream").is_none() {
            return Ok(answer(StatusCode::OK, full(self.tell(0, true).1.to_string() + "\n")));
        }
        let index = field("index").and_then(|(_, v)| v.parse().ok());
        let (to, body) = Channel::<Bytes, Infallible>::new(4);
        tokio::spawn(self.watch(index, to));
        Ok(answer(StatusCode::OK, body.boxed()))
    }

    async fn watch(
        self: Arc<Self>,
        index: Option<u64>,
        mut to: http_body_util::channel::Sender<Bytes, Infallible>,
    ) {
        let mut news = self.news.subscribe();
        news.mark_unchanged();
        let known = index.filter(|i| *i <= self.board.lock().expect("board").seq);
        let (mut seq, first) = self.tell(known.unwrap_or(0), known.is_none());
        if to.send(Frame::data(Bytes::from(first.to_string() + "\n"))).await.is_err() {
            return;
        }
        loop {
            let text = match timeout(BEAT, news.changed()).await {
                Ok(Ok(())) => {
                    self.heard().await;
                    let (now, line) = self.tell(seq, false);
                    seq = now;
                    line.to_string() + "\n"
                }
                Ok(Err(_)) => return,
                Err(_) => {
                    self.heard().await;
                    "\n".to_owned()
                }
            };
            if to.send(Frame::data(Bytes::from(text))).await.is_err() {
                return;
            }
        }
    }

    /// Notices are read also while discovery is down.
    fn outcomes(&self, body: &[u8]) -> Response<Body> {
        let text = String::from_utf8_lossy(body);
        let lines: Vec<_> = text.lines().filter(|l| !l.trim().is_empty()).collect();
        let read: Result<Vec<Notice>, _> = lines.iter().map(|l| serde_json::from_str(l)).collect();
        let Some(notices) = read.ok().filter(|n| n.iter().all(|n| ["dead", "bounced"].contains(&&*n.result)))
        else {
            self.recorder.note(What::Unreadable { courier: self.courier, line: text.into_owned() });
            return answer(StatusCode::BAD_REQUEST, full(String::new()));
        };
        for Notice { id, result, wait_ms } in notices {
            self.owed.noticed(&id, &result, wait_ms);
            self.recorder.note(What::Noticed { courier: self.courier, id, result, wait_ms });
        }
        answer(StatusCode::NO_CONTENT, full(String::new()))
    }
}
