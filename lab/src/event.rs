//! The record of a run: what the world saw, one JSON line an event. The auditor reads nothing else.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Of the form of `events.jsonl`; a reader refuses another.
pub const SCHEMA: u32 = 1;

const WRITTEN_EVERY: Duration = Duration::from_millis(5);

/// What happened, and when: microseconds since the run began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event(pub u64, pub What);

/// How a call ended. An answer's time is when it was there, with the link's latency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEnd {
    /// An answer was written; with it the wait that was told, in milliseconds. `heard`: it got through.
    Answered { status: u16, wait_ms: Option<u64>, heard: bool },
    /// Something was written that is no answer.
    Spoilt,
    /// The endpoint broke the connection.
    Reset,
    /// The courier closed the connection, or ended its sending.
    Left,
}

/// A class of messages, as far as the rules go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    pub name: String,
    /// Seconds for the full worth, and until it is given up.
    pub aim: f64,
    pub deadline: f64,
    pub worth: f64,
    pub late_share: f64,
    pub effect: Effect,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Repeatable,
    /// A repeat is dropped for so many seconds from the first attempt that may have run.
    ByKey {
        ttl: f64,
        scope: Scope,
    },
    Once,
}

/// Which endpoints of a destination drop repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    #[default]
    All,
    Zone,
}

/// What couriers were told of the rules, and which endpoints there are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub classes: Vec<ClassTerms>,
    pub attempts_most: usize,
    pub drain_grace: f64,
    pub fall_span: f64,
    pub sockets: u64,
    pub memory_mb: f64,
    pub disk_mb: f64,
    pub endpoints: Vec<EndpointTerms>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointTerms {
    pub host: String,
    pub destination: usize,
    pub zone: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// First of all.
    Begin {
        schema: u32,
        experiment: String,
        seed: u64,
        digest: String,
        terms: Terms,
    },
    /// All couriers are ready: the load begins, and the timeline.
    Loaded,
    /// The load is over and nothing is owed any more, or it was waited for long enough.
    Unloaded,
    /// A process was started for a courier.
    Started {
        courier: usize,
        life: u32,
        pid: u32,
    },
    /// Its first yes to `GET /-/ready`.
    Ready {
        courier: usize,
        life: u32,
    },
    /// The lab signals a process.
    Signalled {
        courier: usize,
        life: u32,
        signal: String,
    },
    Exited {
        courier: usize,
        life: u32,
        code: Option<i32>,
        signal: Option<i32>,
        /// The lab had told it to end.
        told: bool,
    },
    /// A client has a message to hand in, whether or not it finds somebody to take it.
    Wanted {
        message: usize,
        class: usize,
    },
    /// A client has written a message to a courier. `message` is the same whenever it is handed in again.
    Offered {
        id: String,
        message: usize,
        courier: usize,
        class: usize,
        tenant: usize,
        destination: usize,
        /// Microseconds left for its delivery.
        left: u64,
        /// Its body's digest.
        body: u64,
        key: Option<String>,
    },
    /// What the client was answered.
    Answered {
        id: String,
        courier: usize,
        status: u16,
        /// `Retry-After` in milliseconds.
        again_ms: Option<u64>,
    },
    /// The connection ended with no answer. `first`: nothing had been answered on it before.
    Unanswered {
        id: String,
        courier: usize,
        first: bool,
    },
    /// No answer within the client's patience: it closed the connection.
    GivenUp {
        id: String,
        courier: usize,
    },
    /// An improper peer connected, and how that ended: a status, a close, or neither in time.
    Rude {
        courier: usize,
        kind: String,
        took: u64,
        status: Option<u16>,
        ended: bool,
    },
    /// A call whose last byte has come. `first` is when the courier wrote its first byte.
    Called {
        call: u64,
        id: String,
        endpoint: usize,
        courier: usize,
        first: u64,
        body: u64,
        key: Option<String>,
    },
    CallEnded {
        call: u64,
        end: CallEnd,
    },
    /// An endpoint carried out a message; `repeat` where its key was known and nothing took effect.
    Ran {
        call: u64,
        repeat: bool,
    },
    /// The platform has read a notice.
    Noticed {
        courier: usize,
        id: String,
        result: String,
        wait_ms: Option<u64>,
    },
    /// The platform could not read what came.
    Unreadable {
        courier: usize,
        line: String,
    },
    /// Discovery has something new to tell.
    Changed {
        endpoint: usize,
        health: Health,
    },
    /// It was written to a courier, or stood in the list with which it was started.
    Told {
        courier: usize,
        endpoint: usize,
        health: Health,
    },
    /// An operators' call, and what came of it.
    Operated {
        courier: usize,
        call: String,
        /// Microseconds till the answer; none came where the status is missing.
        took: u64,
        status: Option<u16>,
    },
    /// An endpoint is there no more, or again; cold when it comes back so.
    Down {
        endpoint: usize,
    },
    Up {
        endpoint: usize,
        cold: bool,
    },
    /// A cold endpoint was pushed over: by so many calls of each courier.
    Fell {
        endpoint: usize,
        calls: Vec<(usize, u32)>,
    },
    /// A new connection from a courier to an endpoint.
    Connected {
        endpoint: usize,
        courier: usize,
    },
    /// What one process holds: KiB, descriptors, bytes in whole blocks of the folder that lasts, and
    /// milliseconds of processor time.
    Sampled {
        courier: usize,
        life: u32,
        rss: u64,
        descriptors: u64,
        disk: u64,
        cpu: u64,
    },
    /// The folder that lasts was lost, or a file in it spoilt, between two lives. With the ids that could be read
    /// before and cannot any more, and with what the courier's own check says of it.
    Damaged {
        courier: usize,
        kind: String,
        #[serde(default)]
        lost: Vec<String>,
        #[serde(default)]
        told: Vec<String>,
    },
    /// A step of the timeline, for the reader.
    Step {
        text: String,
    },
    /// Last of all: how late the lab itself was, at the 99th percentile, in microseconds.
    Ended {
        arrivals_late: u64,
        answers_late: u64,
    },
}

/// Takes events from all tasks and writes them by a thread of its own.
#[derive(Clone)]
pub struct Recorder {
    origin: Instant,
    to: Sender<Event>,
}

impl Recorder {
    /// The record begins now. The thread ends with the event that ends the run.
    pub fn create(path: &Path) -> io::Result<(Self, JoinHandle<io::Result<()>>)> {
        let mut file = BufWriter::with_capacity(1 << 20, File::create(path)?);
        let (to, from): (_, Receiver<Event>) = channel();
        let writer = std::thread::spawn(move || {
            loop {
                // Asked now and then: to wake a thread for each event costs more than to write it.
                let event = match from.try_recv() {
                    Ok(event) => event,
                    Err(TryRecvError::Empty) => {
                        std::thread::sleep(WRITTEN_EVERY);
                        continue;
                    }
                    Err(TryRecvError::Disconnected) => break,
                };
                serde_json::to_writer(&mut file, &event)?;
                file.write_all(b"\n")?;
                // Tasks that still run could note more; it would be of no run.
                if let What::Ended { .. } = event.1 {
                    break;
                }
            }
            file.flush()
        });
        Ok((Recorder { origin: Instant::now(), to }, writer))
    }

    /// Microseconds since the run began.
    pub fn now(&self) -> u64 {
        self.since(Instant::now())
    }

    pub fn since(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.origin).as_micros() as u64
    }

    pub fn instant(&self, at: u64) -> Instant {
        self.origin + Duration::from_micros(at)
    }

    pub fn note(&self, what: What) {
        self.note_at(self.now(), what);
    }

    pub fn note_at(&self, at: u64, what: What) {
        // The writer is gone only when its disk has failed, which its own result tells.
        let _ = self.to.send(Event(at, what));
    }
}

/// Reads a record in the order of its times. An error names the line.
pub fn read(path: &Path) -> anyhow::Result<Vec<Event>> {
    let file = BufReader::with_capacity(1 << 20, File::open(path)?);
    let mut events = Vec::new();
    for (n, line) in file.lines().enumerate() {
        let event: Event = serde_json::from_str(&line?)
            .map_err(|e| anyhow::anyhow!("{}, line {}: {e}", path.display(), n + 1))?;
        events.push(event);
    }
    // Tasks note their times before they queue; those of two may cross.
    events.sort_by_key(|e| e.0);
    Ok(events)
}
