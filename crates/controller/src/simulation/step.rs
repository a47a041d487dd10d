//! Steps of a scenario and their text form.

use super::change::Form;
use super::expectation::Expectation;
use super::place::Place;
use std::fmt;
use std::str::FromStr;

/// From whom a machine is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The other controllers.
    Peers,
    /// Everybody.
    All,
}

/// One step of a scenario. Controllers are given by their index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// An operator changes the configuration on top of the newest version that operators know of, through a
    /// controller first; with `only`, it is called once and no other is.
    Put { form: Form, via: usize, only: bool },
    /// Two operators send different changes with one number on one version.
    Rivals { first: usize, second: usize },
    /// A change, the last one if no number is given, is sent again as it was.
    Again { number: Option<usize>, via: usize, only: bool },
    /// The configuration is read.
    Read { via: usize, only: bool },
    /// An endpoint says that it is leaving.
    Drain(usize),
    /// An endpoint says that it has ended.
    Remove(usize),
    /// An endpoint ends without a word.
    Crash(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
    /// What one machine sends to another does not arrive.
    Cut { from: Place, to: Place },
    /// A machine is cut off both ways.
    Isolate { place: Place, scope: Scope },
    /// The machines of a set and all others no longer reach each other.
    Part(Vec<Place>),
    /// All cuts and refusals end.
    Heal,
    /// A machine refuses new connections.
    Refuse(Place),
    /// All connections of a machine are reset.
    Reset(Place),
    /// Packets take from nothing up to so many milliseconds.
    Delay(u64),
    /// A link carries so many bytes a second.
    Rate(u64),
    /// A process is killed.
    Kill(Place),
    /// A controller's machine loses power.
    Power(usize),
    /// A controller's machine loses its disk.
    Wipe(usize),
    /// A controller's machine is gone for good.
    Retire(usize),
    /// A process starts.
    Start(Place),
    /// A controller is told to end (SIGTERM).
    Stop(usize),
    /// A machine freezes.
    Freeze(Place),
    /// A machine wakes.
    Thaw(Place),
    /// A write takes up to so many milliseconds.
    Slow(usize, u64),
    /// The disk answers nothing.
    Stall(usize),
    /// The disk refuses writes.
    Full(usize),
    /// The disk is as good as new.
    Work(usize),
    /// Settings files name these seeds from now on.
    Seeds(Vec<usize>),
    /// Endpoints call this controller first from now on.
    Prefer(usize),
    /// All troubles end, and everything must work again within its bounds.
    Settle,
    /// Something must be so now.
    Expect(Expectation),
}

/// A line that is no step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no such step")]
pub struct NoStep;

/// Writes `via a` or `only a`.
fn through(via: usize, only: bool) -> String {
    let word = if only { "only" } else { "via" };
    format!("{word} {}", Place::Controller(via))
}

fn names(places: impl IntoIterator<Item = Place>) -> String {
    let names: Vec<String> = places.into_iter().map(|place| place.to_string()).collect();
    names.join(" ")
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let controller = |index: &usize| Place::Controller(*index);
        let endpoint = |index: &usize| Place::Endpoint(*index);
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
            Step::Wait(time) => write!(formatter, "wait {time}"),
            Step::Cut { from, to } => write!(formatter, "cut {from} {to}"),
            Step::Isolate { place, scope: Scope::Peers } => write!(formatter, "isolate {place} peers"),
            Step::Isolate { place, scope: Scope::All } => write!(formatter, "isolate {place} all"),
            Step::Part(set) => write!(formatter, "part {}", names(set.iter().copied())),
            Step::Heal => write!(formatter, "heal"),
            Step::Refuse(place) => write!(formatter, "refuse {place}"),
            Step::Reset(place) => write!(formatter, "reset {place}"),
            Step::Delay(time) => write!(formatter, "delay {time}"),
            Step::Rate(rate) => write!(formatter, "rate {rate}"),
            Step::Kill(place) => write!(formatter, "kill {place}"),
            Step::Power(index) => write!(formatter, "power {}", controller(index)),
            Step::Wipe(index) => write!(formatter, "wipe {}", controller(index)),
            Step::Retire(index) => write!(formatter, "retire {}", controller(index)),
            Step::Start(place) => write!(formatter, "start {place}"),
            Step::Stop(index) => write!(formatter, "stop {}", controller(index)),
            Step::Freeze(place) => write!(formatter, "freeze {place}"),
            Step::Thaw(place) => write!(formatter, "thaw {place}"),
            Step::Slow(index, time) => write!(formatter, "slow {} {time}", controller(index)),
            Step::Stall(index) => write!(formatter, "stall {}", controller(index)),
            Step::Full(index) => write!(formatter, "full {}", controller(index)),
            Step::Work(index) => write!(formatter, "work {}", controller(index)),
            Step::Seeds(seeds) => write!(formatter, "seeds {}", names(seeds.iter().map(controller))),
            Step::Prefer(index) => write!(formatter, "prefer {}", controller(index)),
            Step::Settle => write!(formatter, "settle"),
            Step::Expect(expectation) => write!(formatter, "expect {expectation}"),
        }
    }
}

impl FromStr for Step {
    type Err = NoStep;

    fn from_str(line: &str) -> Result<Self, NoStep> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match *words.as_slice() {
            ["expect", ..] => {
                let rest = line.trim_start().trim_start_matches("expect");
                rest.parse().map(Step::Expect).map_err(|_| NoStep)
            }
            ["heal"] => Ok(Step::Heal),
            ["settle"] => Ok(Step::Settle),
            ["seeds", ref seeds @ ..] => {
                seeds.iter().map(|word| controller(word)).collect::<Result<_, _>>().map(Step::Seeds)
            }
            ["part", ref set @ ..] => {
                set.iter().map(|word| place(word)).collect::<Result<_, _>>().map(Step::Part)
            }
            ["put" | "patch" | "invalid" | "again" | "read" | "rivals", ..] => operator_step(&words),
            [word, argument] => step_at(word, argument),
            [word, first, second] => step_between(word, first, second),
            _ => Err(NoStep),
        }
    }
}

fn place(word: &str) -> Result<Place, NoStep> {
    word.parse().map_err(|_| NoStep)
}

fn controller(word: &str) -> Result<usize, NoStep> {
    match place(word)? {
        Place::Controller(index) => Ok(index),
        _ => Err(NoStep),
    }
}

fn endpoint(word: &str) -> Result<usize, NoStep> {
    match place(word)? {
        Place::Endpoint(index) => Ok(index),
        _ => Err(NoStep),
    }
}

fn number<N: FromStr>(word: &str) -> Result<N, NoStep> {
    word.parse().map_err(|_| NoStep)
}

/// Reads `via` or `only`.
fn only(word: &str) -> Result<bool, NoStep> {
    match word {
        "via" => Ok(false),
        "only" => Ok(true),
        _ => Err(NoStep),
    }
}

fn operator_step(words: &[&str]) -> Result<Step, NoStep> {
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
        _ => Err(NoStep),
    }
}

fn step_at(word: &str, argument: &str) -> Result<Step, NoStep> {
    Ok(match word {
        "wait" => Step::Wait(number(argument)?),
        "delay" => Step::Delay(number(argument)?),
        "rate" => Step::Rate(number(argument)?),
        "drain" => Step::Drain(endpoint(argument)?),
        "prefer" => Step::Prefer(controller(argument)?),
        "remove" => Step::Remove(endpoint(argument)?),
        "crash" => Step::Crash(endpoint(argument)?),
        "refuse" => Step::Refuse(place(argument)?),
        "reset" => Step::Reset(place(argument)?),
        "kill" => Step::Kill(place(argument)?),
        "start" => Step::Start(place(argument)?),
        "freeze" => Step::Freeze(place(argument)?),
        "thaw" => Step::Thaw(place(argument)?),
        "power" => Step::Power(controller(argument)?),
        "wipe" => Step::Wipe(controller(argument)?),
        "retire" => Step::Retire(controller(argument)?),
        "stop" => Step::Stop(controller(argument)?),
        "stall" => Step::Stall(controller(argument)?),
        "full" => Step::Full(controller(argument)?),
        "work" => Step::Work(controller(argument)?),
        _ => return Err(NoStep),
    })
}

fn step_between(word: &str, first: &str, second: &str) -> Result<Step, NoStep> {
    Ok(match (word, second) {
        ("cut", _) => Step::Cut { from: place(first)?, to: place(second)? },
        ("isolate", "peers") => Step::Isolate { place: place(first)?, scope: Scope::Peers },
        ("isolate", "all") => Step::Isolate { place: place(first)?, scope: Scope::All },
        ("slow", _) => Step::Slow(controller(first)?, number(second)?),
        _ => return Err(NoStep),
    })
}
