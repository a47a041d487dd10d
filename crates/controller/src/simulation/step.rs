//! Steps of a scenario and their text form.

use super::change::Form;
use super::expectation::Expectation;
use super::host::Host;
use std::fmt;
use std::str::FromStr;

/// The hosts from which a machine is isolated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The other controllers.
    Peers,
    /// All other hosts.
    All,
}

/// One step of a scenario. Controllers are given by their index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// An operator changes the configuration, based on the newest version known to operators. It calls the
    /// controller `via` first; with `only`, it makes a single attempt there and calls no other controller.
    Put { form: Form, via: usize, only: bool },
    /// Two operators send different changes with the same version number, based on the same version.
    Rivals { first: usize, second: usize },
    /// A change is sent again without modification; the last one if no number is given.
    Again { number: Option<usize>, via: usize, only: bool },
    /// The configuration is read.
    Read { via: usize, only: bool },
    /// An endpoint starts draining.
    Drain(usize),
    /// An endpoint deregisters.
    Remove(usize),
    /// An endpoint crashes without deregistering.
    Crash(usize),
    /// An endpoint sends a heartbeat that is held up on its way.
    HoldHeartbeat(usize),
    /// The heartbeat of an endpoint that was held up reaches a controller.
    DeliverHeld { endpoint: usize, via: usize },
    /// Time passes, in milliseconds.
    Wait(u64),
    /// Packets from one machine to another are lost.
    Partition { from: Host, to: Host },
    /// Packets from one machine to another are held back until the fault ends; connections stay open.
    Blackhole { from: Host, to: Host },
    /// Packets from one machine to another are delayed by `time` milliseconds, as by a full queue on the path.
    Lag { from: Host, to: Host, time: u64 },
    /// The connections between two machines are reset at `host`; `peer` detects it only after a timeout.
    ResetOneSide { host: Host, peer: Host },
    /// A machine is isolated in both directions.
    Isolate { host: Host, scope: Scope },
    /// The machines of a set and all others no longer reach each other.
    Split(Vec<Host>),
    /// All partitions, black holes, lags and refusals end.
    Heal,
    /// A machine refuses new connections.
    Refuse(Host),
    /// All connections of a machine are reset.
    Reset(Host),
    /// Packets are delayed by a random time of up to this many milliseconds.
    Delay(u64),
    /// Every link carries this many bytes per second.
    Rate(u64),
    /// A process is killed.
    Kill(Host),
    /// A controller's machine loses power.
    Power(usize),
    /// A controller's machine loses its disk.
    Wipe(usize),
    /// A controller's machine is retired.
    Retire(usize),
    /// A process starts.
    Start(Host),
    /// A controller is asked to shut down (SIGTERM).
    Stop(usize),
    /// A machine freezes.
    Freeze(Host),
    /// A frozen machine continues.
    Thaw(Host),
    /// A write to the disk of a controller takes up to this many milliseconds.
    Slow(usize, u64),
    /// The disk of a controller completes no writes.
    Stall(usize),
    /// The disk of a controller is full: writes fail.
    Full(usize),
    /// The disk of a controller works normally again, with its content unchanged.
    Work(usize),
    /// Settings files name these seeds from now on, and processes are notified (SIGHUP).
    Seeds(Vec<usize>),
    /// Settings files name these seeds from now on, and no process is notified.
    UnsignalledSeeds(Vec<usize>),
    /// Endpoints call this controller first from now on.
    Prefer(usize),
    /// All faults end, and the system must recover within its time bounds.
    Quiesce,
    /// A condition must hold now.
    Expect(Expectation),
}

/// A line that cannot be parsed as a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no such step")]
pub struct StepParseError;

/// Formats `via a` or `only a`.
fn through(via: usize, only: bool) -> String {
    let word = if only { "only" } else { "via" };
    format!("{word} {}", Host::Controller(via))
}

pub(super) fn names(hosts: impl IntoIterator<Item = Host>) -> String {
    let names: Vec<String> = hosts.into_iter().map(|host| host.to_string()).collect();
    names.join(" ")
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let controller = |index: &usize| Host::Controller(*index);
        let endpoint = |index: &usize| Host::Endpoint(*index);
        match self {
            Step::Put { form, via, only } => {
                let word = match form {
                    Form::Put => "put",
                    Form::Patch => "patch",
                    Form::Invalid => "invalid",
                };
                write!(formatter, "{word} {}", through(*via, *only))
            }
            Step::Rivals { first, second } => {
                write!(formatter, "rivals {} {}", controller(first), controller(second))
            }
            Step::Again { number: Some(number), via, only } => {
                write!(formatter, "again {number} {}", through(*via, *only))
            }
            Step::Again { number: None, via, only } => {
                write!(formatter, "again {}", through(*via, *only))
            }
            Step::Read { via, only } => write!(formatter, "read {}", through(*via, *only)),
            Step::Drain(index) => write!(formatter, "drain {}", endpoint(index)),
            Step::Remove(index) => write!(formatter, "remove {}", endpoint(index)),
            Step::Crash(index) => write!(formatter, "crash {}", endpoint(index)),
            Step::HoldHeartbeat(index) => write!(formatter, "hold {}", endpoint(index)),
            Step::DeliverHeld { endpoint: index, via } => {
                write!(formatter, "late {} {}", endpoint(index), controller(via))
            }
            Step::Wait(time) => write!(formatter, "wait {time}"),
            Step::Partition { from, to } => write!(formatter, "cut {from} {to}"),
            Step::Blackhole { from, to } => write!(formatter, "blackhole {from} {to}"),
            Step::Lag { from, to, time } => write!(formatter, "lag {from} {to} {time}"),
            Step::ResetOneSide { host, peer } => write!(formatter, "abort {host} {peer}"),
            Step::Isolate { host, scope: Scope::Peers } => write!(formatter, "isolate {host} peers"),
            Step::Isolate { host, scope: Scope::All } => write!(formatter, "isolate {host} all"),
            Step::Split(set) => write!(formatter, "part {}", names(set.iter().copied())),
            Step::Heal => write!(formatter, "heal"),
            Step::Refuse(host) => write!(formatter, "refuse {host}"),
            Step::Reset(host) => write!(formatter, "reset {host}"),
            Step::Delay(time) => write!(formatter, "delay {time}"),
            Step::Rate(rate) => write!(formatter, "rate {rate}"),
            Step::Kill(host) => write!(formatter, "kill {host}"),
            Step::Power(index) => write!(formatter, "power {}", controller(index)),
            Step::Wipe(index) => write!(formatter, "wipe {}", controller(index)),
            Step::Retire(index) => write!(formatter, "retire {}", controller(index)),
            Step::Start(host) => write!(formatter, "start {host}"),
            Step::Stop(index) => write!(formatter, "stop {}", controller(index)),
            Step::Freeze(host) => write!(formatter, "freeze {host}"),
            Step::Thaw(host) => write!(formatter, "thaw {host}"),
            Step::Slow(index, time) => write!(formatter, "slow {} {time}", controller(index)),
            Step::Stall(index) => write!(formatter, "stall {}", controller(index)),
            Step::Full(index) => write!(formatter, "full {}", controller(index)),
            Step::Work(index) => write!(formatter, "work {}", controller(index)),
            Step::Seeds(seeds) => write!(formatter, "seeds {}", names(seeds.iter().map(controller))),
            Step::UnsignalledSeeds(seeds) => {
                write!(formatter, "unsignalled-seeds {}", names(seeds.iter().map(controller)))
            }
            Step::Prefer(index) => write!(formatter, "prefer {}", controller(index)),
            Step::Quiesce => write!(formatter, "settle"),
            Step::Expect(expectation) => write!(formatter, "expect {expectation}"),
        }
    }
}

impl FromStr for Step {
    type Err = StepParseError;

    fn from_str(line: &str) -> Result<Self, StepParseError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match *words.as_slice() {
            ["expect", ..] => {
                let rest = line.trim_start().trim_start_matches("expect");
                rest.parse().map(Step::Expect).map_err(|_| StepParseError)
            }
            ["heal"] => Ok(Step::Heal),
            ["settle"] => Ok(Step::Quiesce),
            ["unsignalled-seeds", ref seeds @ ..] => {
                let seeds = seeds.iter().map(|word| controller(word)).collect::<Result<_, _>>();
                seeds.map(Step::UnsignalledSeeds)
            }
            ["seeds", ref seeds @ ..] => {
                seeds.iter().map(|word| controller(word)).collect::<Result<_, _>>().map(Step::Seeds)
            }
            ["part", ref set @ ..] => {
                set.iter().map(|word| host(word)).collect::<Result<_, _>>().map(Step::Split)
            }
            ["put" | "patch" | "invalid" | "again" | "read" | "rivals", ..] => operator_step(&words),
            [word, argument] => step_at(word, argument),
            [word, first, second] => step_between(word, first, second),
            ["lag", from, to, time] => {
                Ok(Step::Lag { from: host(from)?, to: host(to)?, time: number(time)? })
            }
            _ => Err(StepParseError),
        }
    }
}

fn host(word: &str) -> Result<Host, StepParseError> {
    word.parse().map_err(|_| StepParseError)
}

fn controller(word: &str) -> Result<usize, StepParseError> {
    match host(word)? {
        Host::Controller(index) => Ok(index),
        _ => Err(StepParseError),
    }
}

fn endpoint(word: &str) -> Result<usize, StepParseError> {
    match host(word)? {
        Host::Endpoint(index) => Ok(index),
        _ => Err(StepParseError),
    }
}

fn number<N: FromStr>(word: &str) -> Result<N, StepParseError> {
    word.parse().map_err(|_| StepParseError)
}

/// Parses `via` or `only`.
fn only(word: &str) -> Result<bool, StepParseError> {
    match word {
        "via" => Ok(false),
        "only" => Ok(true),
        _ => Err(StepParseError),
    }
}

fn operator_step(words: &[&str]) -> Result<Step, StepParseError> {
    let put = |form, way: &str, at: &str| Ok(Step::Put { form, via: controller(at)?, only: only(way)? });
    match *words {
        ["put", way, at] => put(Form::Put, way, at),
        ["patch", way, at] => put(Form::Patch, way, at),
        ["invalid", way, at] => put(Form::Invalid, way, at),
        ["read", way, at] => Ok(Step::Read { via: controller(at)?, only: only(way)? }),
        ["again", way, at] => Ok(Step::Again { number: None, via: controller(at)?, only: only(way)? }),
        ["again", which, way, at] => {
            let number = Some(number(which)?);
            Ok(Step::Again { number, via: controller(at)?, only: only(way)? })
        }
        ["rivals", first, second] => {
            Ok(Step::Rivals { first: controller(first)?, second: controller(second)? })
        }
        _ => Err(StepParseError),
    }
}

fn step_at(word: &str, argument: &str) -> Result<Step, StepParseError> {
    Ok(match word {
        "wait" => Step::Wait(number(argument)?),
        "delay" => Step::Delay(number(argument)?),
        "rate" => Step::Rate(number(argument)?),
        "drain" => Step::Drain(endpoint(argument)?),
        "prefer" => Step::Prefer(controller(argument)?),
        "remove" => Step::Remove(endpoint(argument)?),
        "hold" => Step::HoldHeartbeat(endpoint(argument)?),
        "crash" => Step::Crash(endpoint(argument)?),
        "refuse" => Step::Refuse(host(argument)?),
        "reset" => Step::Reset(host(argument)?),
        "kill" => Step::Kill(host(argument)?),
        "start" => Step::Start(host(argument)?),
        "freeze" => Step::Freeze(host(argument)?),
        "thaw" => Step::Thaw(host(argument)?),
        "power" => Step::Power(controller(argument)?),
        "wipe" => Step::Wipe(controller(argument)?),
        "retire" => Step::Retire(controller(argument)?),
        "stop" => Step::Stop(controller(argument)?),
        "stall" => Step::Stall(controller(argument)?),
        "full" => Step::Full(controller(argument)?),
        "work" => Step::Work(controller(argument)?),
        _ => return Err(StepParseError),
    })
}

fn step_between(word: &str, first: &str, second: &str) -> Result<Step, StepParseError> {
    Ok(match (word, second) {
        ("cut", _) => Step::Partition { from: host(first)?, to: host(second)? },
        ("blackhole", _) => Step::Blackhole { from: host(first)?, to: host(second)? },
        ("abort", _) => Step::ResetOneSide { host: host(first)?, peer: host(second)? },
        ("isolate", "peers") => Step::Isolate { host: host(first)?, scope: Scope::Peers },
        ("isolate", "all") => Step::Isolate { host: host(first)?, scope: Scope::All },
        ("late", _) => Step::DeliverHeld { endpoint: endpoint(first)?, via: controller(second)? },
        ("slow", _) => Step::Slow(controller(first)?, number(second)?),
        _ => return Err(StepParseError),
    })
}
