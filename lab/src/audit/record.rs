//! The events of a run, put in order for the rules: by message, by call, by process.

use crate::event::{CallEnd, Event, Health, SCHEMA, Terms, What};
use anyhow::{Result, bail};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a client was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Answered {
        status: u16,
        again_ms: Option<u64>,
    },
    /// The connection ended with no answer; `first`: nothing had been answered on it before.
    Unanswered {
        first: bool,
    },
    /// The client did not wait any longer.
    GivenUp,
}

/// A message under one of the ids that it was handed in by. Times are microseconds on record.
#[derive(Clone, Debug)]
pub struct Message {
    pub offered: u64,
    /// The same for all its ids.
    pub message: usize,
    pub courier: usize,
    pub class: usize,
    pub tenant: usize,
    pub destination: usize,
    pub left: u64,
    pub body: u64,
    pub key: Option<String>,
    pub fate: Option<(u64, Fate)>,
    /// Its calls, in the order of their times.
    pub calls: Vec<usize>,
    pub notices: Vec<Notice>,
}

impl Message {
    pub fn taken(&self) -> Option<u64> {
        match self.fate {
            Some((at, Fate::Answered { status: 200 | 202, .. })) => Some(at),
            _ => None,
        }
    }

    /// When it may be delivered no more.
    pub fn until(&self) -> u64 {
        self.offered + self.left
    }
}

#[derive(Clone, Debug)]
pub struct Notice {
    pub at: u64,
    pub courier: usize,
    pub result: String,
    pub wait_ms: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub endpoint: usize,
    pub courier: usize,
    pub first: u64,
    /// When its last byte had come.
    pub at: u64,
    pub body: u64,
    pub key: Option<String>,
    pub end: Option<(u64, CallEnd)>,
    /// When it ran, and whether as a repeat that took no effect.
    pub ran: Option<(u64, bool)>,
}

impl Call {
    /// Whether the courier has to reckon with that it ran.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.end, Some((_, CallEnd::Answered { status: 429 | 503 | 504 | 410, .. })))
    }

    /// When an answer 200 was written that got through.
    pub fn delivered(&self) -> Option<u64> {
        match self.end {
            Some((at, CallEnd::Answered { status: 200, heard: true, .. })) => Some(at),
            _ => None,
        }
    }
}

/// One process of a courier.
#[derive(Clone, Debug, Default)]
pub struct Life {
    pub life: u32,
    pub pid: u32,
    pub started: u64,
    pub ready: Option<u64>,
    pub signals: Vec<(u64, String)>,
    pub exited: Option<Exit>,
}

#[derive(Clone, Copy, Debug)]
pub struct Exit {
    pub at: u64,
    pub code: Option<i32>,
    pub signal: Option<i32>,
    pub told: bool,
}

#[derive(Clone, Debug)]
pub struct Sample {
    pub at: u64,
    pub courier: usize,
    pub life: u32,
    pub rss: u64,
    pub descriptors: u64,
    pub disk: u64,
    pub cpu: u64,
}

#[derive(Clone, Debug)]
pub struct Operated {
    pub at: u64,
    pub courier: usize,
    pub call: String,
    pub took: u64,
    pub status: Option<u16>,
}

#[derive(Clone, Debug)]
pub struct Rude {
    pub at: u64,
    pub courier: usize,
    pub kind: String,
    pub took: u64,
    pub status: Option<u16>,
    pub ended: bool,
}

#[derive(Clone, Debug)]
pub struct Fell {
    pub at: u64,
    pub endpoint: usize,
    pub calls: Vec<(usize, u32)>,
}

/// A folder that was lost, or a file in it spoilt.
#[derive(Clone, Debug)]
pub struct Damaged {
    pub at: u64,
    pub courier: usize,
    /// All of it is lost.
    pub folder: bool,
    /// Ids that cannot be read any more.
    pub lost: BTreeSet<String>,
    /// The courier has told that it is damaged.
    pub told: bool,
}

pub struct Record {
    pub experiment: String,
    pub seed: u64,
    pub digest: String,
    pub terms: Terms,
    /// When the load began, when it was over, and the end of the run.
    pub loaded: u64,
    pub unloaded: u64,
    pub ended: u64,
    pub late: [u64; 2],
    /// Messages that clients had to hand in: when, and their class.
    pub wanted: BTreeMap<usize, (u64, usize)>,
    pub messages: HashMap<String, Message>,
    pub calls: Vec<Call>,
    /// Calls and notices for ids that no client handed in.
    pub strangers: Vec<(u64, String)>,
    pub unreadable: Vec<(u64, usize, String)>,
    /// By courier.
    pub lives: BTreeMap<usize, Vec<Life>>,
    pub told: HashMap<(usize, usize), Vec<(u64, Health)>>,
    pub changed: HashMap<usize, Vec<(u64, Health)>>,
    /// By endpoint: when it went down, and when it was there again.
    pub down: HashMap<usize, Vec<(u64, Option<u64>)>>,
    pub fell: Vec<Fell>,
    pub samples: Vec<Sample>,
    pub operated: Vec<Operated>,
    pub rude: Vec<Rude>,
    pub damaged: Vec<Damaged>,
    /// Of new connections: when, to which endpoint.
    pub connected: Vec<(u64, usize)>,
    pub steps: Vec<(u64, String)>,
}

impl Record {
    /// From events in the order of their times.
    pub fn new(events: &[Event]) -> Result<Self> {
        let Some(Event(_, What::Begin { schema, experiment, seed, digest, terms })) = events.first() else {
            bail!("the record does not begin with its terms");
        };
        if *schema != SCHEMA {
            bail!("the record is of schema {schema}, this program reads {SCHEMA}");
        }
        let mut record = Record {
            experiment: experiment.clone(),
            seed: *seed,
            digest: digest.clone(),
            terms: terms.clone(),
            loaded: 0,
            unloaded: 0,
            ended: 0,
            late: [0; 2],
            wanted: BTreeMap::new(),
            messages: HashMap::new(),
            calls: Vec::new(),
            strangers: Vec::new(),
            unreadable: Vec::new(),
            lives: BTreeMap::new(),
            told: HashMap::new(),
            changed: HashMap::new(),
            down: HashMap::new(),
            fell: Vec::new(),
            samples: Vec::new(),
            operated: Vec::new(),
            rude: Vec::new(),
            damaged: Vec::new(),
            connected: Vec::new(),
            steps: Vec::new(),
        };
        // Offers first: a courier may call while the client's task has yet to note that it wrote.
        events.iter().for_each(|Event(at, what)| record.offer(*at, what));
        let mut numbers = HashMap::new();
        for Event(at, what) in events {
            record.take(*at, what, &mut numbers);
        }
        if record.ended == 0 {
            bail!("the record has no end: the run broke off");
        }
        Ok(record)
    }

    fn offer(&mut self, at: u64, what: &What) {
        let What::Offered { id, message, courier, class, tenant, destination, left, body, key } = what else {
            return;
        };
        let offered = Message {
            offered: at,
            message: *message,
            courier: *courier,
            class: *class,
            tenant: *tenant,
            destination: *destination,
            left: *left,
            body: *body,
            key: key.clone(),
            fate: None,
            calls: Vec::new(),
            notices: Vec::new(),
        };
        self.messages.insert(id.clone(), offered);
    }

    fn life(&mut self, courier: usize, life: u32) -> &mut Life {
        let lives = self.lives.entry(courier).or_default();
        match lives.iter().position(|l| l.life == life) {
            Some(n) => &mut lives[n],
            None => {
                lives.push(Life { life, ..Life::default() });
                lives.last_mut().expect("it was pushed")
            }
        }
    }

    fn fate(&mut self, id: &str, at: u64, fate: Fate) {
        if let Some(message) = self.messages.get_mut(id) {
            message.fate = Some((at, fate));
        }
    }

    fn take(&mut self, at: u64, what: &What, numbers: &mut HashMap<u64, usize>) {
        match what {
            What::Begin { .. } | What::Offered { .. } => {}
            What::Wanted { message, class } => drop(self.wanted.insert(*message, (at, *class))),
            What::Loaded => self.loaded = at,
            What::Unloaded => self.unloaded = at,
            What::Started { courier, life, pid } => {
                let of = self.life(*courier, *life);
                (of.started, of.pid) = (at, *pid);
            }
            What::Ready { courier, life } => self.life(*courier, *life).ready = Some(at),
            What::Signalled { courier, life, signal } => {
                self.life(*courier, *life).signals.push((at, signal.clone()));
            }
            What::Exited { courier, life, code, signal, told } => {
                let exit = Exit { at, code: *code, signal: *signal, told: *told };
                self.life(*courier, *life).exited.get_or_insert(exit);
            }
            What::Answered { id, status, again_ms, .. } => {
                self.fate(id, at, Fate::Answered { status: *status, again_ms: *again_ms });
            }
            What::Unanswered { id, first, .. } => self.fate(id, at, Fate::Unanswered { first: *first }),
            What::GivenUp { id, .. } => self.fate(id, at, Fate::GivenUp),
            What::Called { call, id, endpoint, courier, first, body, key } => {
                numbers.insert(*call, self.calls.len());
                match self.messages.get_mut(id) {
                    Some(message) => message.calls.push(self.calls.len()),
                    None => self.strangers.push((at, format!("a call for {id:?}"))),
                }
                self.calls.push(Call {
                    id: id.clone(),
                    endpoint: *endpoint,
                    courier: *courier,
                    first: *first,
                    at,
                    body: *body,
                    key: key.clone(),
                    end: None,
                    ran: None,
                });
            }
            What::CallEnded { call, end } => {
                if let Some(n) = numbers.get(call) {
                    self.calls[*n].end = Some((at, end.clone()));
                }
            }
            What::Ran { call, repeat } => {
                if let Some(n) = numbers.get(call) {
                    self.calls[*n].ran = Some((at, *repeat));
                }
            }
            What::Noticed { courier, id, result, wait_ms } => match self.messages.get_mut(id) {
                Some(message) => {
                    let (courier, result, wait_ms) = (*courier, result.clone(), *wait_ms);
                    message.notices.push(Notice { at, courier, result, wait_ms });
                }
                None => self.strangers.push((at, format!("a notice for {id:?}"))),
            },
            What::Unreadable { courier, line } => self.unreadable.push((at, *courier, line.clone())),
            What::Changed { endpoint, health } => {
                self.changed.entry(*endpoint).or_default().push((at, *health));
            }
            What::Told { courier, endpoint, health } => {
                self.told.entry((*courier, *endpoint)).or_default().push((at, *health));
            }
            What::Operated { courier, call, took, status } => {
                let (courier, call, took, status) = (*courier, call.clone(), *took, *status);
                self.operated.push(Operated { at, courier, call, took, status });
            }
            What::Down { endpoint } => self.down.entry(*endpoint).or_default().push((at, None)),
            What::Up { endpoint, .. } => {
                if let Some(last) = self.down.get_mut(endpoint).and_then(|d| d.last_mut()) {
                    last.1 = Some(at);
                }
            }
            What::Fell { endpoint, calls } => {
                self.fell.push(Fell { at, endpoint: *endpoint, calls: calls.clone() });
            }
            What::Connected { endpoint, .. } => self.connected.push((at, *endpoint)),
            What::Rude { courier, kind, took, status, ended } => {
                let (courier, kind, took, status, ended) = (*courier, kind.clone(), *took, *status, *ended);
                self.rude.push(Rude { at, courier, kind, took, status, ended });
            }
            What::Sampled { courier, life, rss, descriptors, disk, cpu } => {
                let (courier, life, rss) = (*courier, *life, *rss);
                let (descriptors, disk, cpu) = (*descriptors, *disk, *cpu);
                self.samples.push(Sample { at, courier, life, rss, descriptors, disk, cpu });
            }
            What::Damaged { courier, kind, lost, told } => self.damaged.push(Damaged {
                at,
                courier: *courier,
                folder: kind == "folder lost",
                lost: lost.iter().cloned().collect(),
                told: !told.is_empty(),
            }),
            What::Step { text } => self.steps.push((at, text.clone())),
            What::Ended { arrivals_late, answers_late } => {
                (self.ended, self.late) = (at, [*arrivals_late, *answers_late]);
            }
        }
    }
}
