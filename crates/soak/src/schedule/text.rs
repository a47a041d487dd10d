//! Schedules as text: one trouble a line, `SECONDS VERB ARGUMENTS`; `#` begins a remark.

use super::{Schedule, Step, Trouble};
use crate::names::Place;
use std::fmt;
use std::str::{FromStr, SplitWhitespace};
use std::time::Duration;
use thiserror::Error;

/// A schedule that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct ScheduleError {
    /// Counted from 1.
    pub line: usize,
    pub problem: Problem,
}

/// What is wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{text:?} cannot be read as {what}")]
    Unreadable { what: &'static str, text: String },
    #[error("there is no trouble {0:?}")]
    UnknownTrouble(String),
    #[error("{0:?} is too much")]
    TooMuch(String),
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.steps.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", Seconds(self.at), self.trouble)
    }
}

/// A time in seconds, to the millisecond.
struct Seconds(Duration);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0.as_secs(), self.0.subsec_millis())
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::Kill { place, down } => write!(f, "kill {place} {}", Seconds(*down)),
            Trouble::Terminate { place, down } => write!(f, "terminate {place} {}", Seconds(*down)),
            Trouble::Wipe { controller, down } => write!(f, "wipe {controller} {}", Seconds(*down)),
            Trouble::Blackout { down } => write!(f, "blackout {}", Seconds(*down)),
            Trouble::Hangup { place } => write!(f, "hangup {place}"),
            Trouble::Freeze { place, lasts } => write!(f, "freeze {place} {}", Seconds(*lasts)),
            Trouble::Cut { from, controller, lasts } => {
                write!(f, "cut {from} {controller} {}", Seconds(*lasts))
            }
            Trouble::Isolate { controller, lasts } => write!(f, "isolate {controller} {}", Seconds(*lasts)),
            Trouble::Reset { from, controller } => write!(f, "reset {from} {controller}"),
            Trouble::EndpointCrash { endpoint, down } => write!(f, "crash {endpoint} {}", Seconds(*down)),
            Trouble::EndpointLeave { endpoint, announced: true, down } => {
                write!(f, "drain {endpoint} {}", Seconds(*down))
            }
            Trouble::EndpointLeave { endpoint, announced: false, down } => {
                write!(f, "delete {endpoint} {}", Seconds(*down))
            }
            Trouble::EndpointSlow { endpoint, lasts } => write!(f, "slow {endpoint} {}", Seconds(*lasts)),
            Trouble::OrderAnswersLost { endpoint, lasts } => {
                write!(f, "lose-order-answers {endpoint} {}", Seconds(*lasts))
            }
            Trouble::OrdersDelayed { endpoint, lasts } => {
                write!(f, "delay-orders {endpoint} {}", Seconds(*lasts))
            }
            Trouble::HeartbeatAnswersLost { endpoint, lasts } => {
                write!(f, "lose-heartbeat-answers {endpoint} {}", Seconds(*lasts))
            }
            Trouble::HeartbeatsLate { endpoint, lasts } => {
                write!(f, "delay-heartbeats {endpoint} {}", Seconds(*lasts))
            }
            Trouble::HeartbeatsHeld { endpoint, lasts } => {
                write!(f, "hold-heartbeats {endpoint} {}", Seconds(*lasts))
            }
            Trouble::AcknowledgementsLost { lasts } => {
                write!(f, "lose-acknowledgements {}", Seconds(*lasts))
            }
            Trouble::Changes { count, relevant: false } => write!(f, "change {count}"),
            Trouble::Changes { count, relevant: true } => write!(f, "move {count}"),
            Trouble::DemandMoves { first } => write!(f, "demand {first}"),
        }
    }
}

impl FromStr for Schedule {
    type Err = ScheduleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut steps = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let content = line.split('#').next().unwrap_or_default().trim();
            if !content.is_empty() {
                let step = content.parse().map_err(|problem| ScheduleError { line: index + 1, problem })?;
                steps.push(step);
            }
        }
        steps.sort_by_key(|step: &Step| step.at);
        Ok(Schedule { steps })
    }
}

impl FromStr for Step {
    type Err = Problem;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut words = Words(text.split_whitespace());
        let at = words.seconds("a time")?;
        let trouble = words.trouble()?;
        match words.0.next() {
            Some(word) => Err(Problem::TooMuch(word.to_owned())),
            None => Ok(Step { at, trouble }),
        }
    }
}

/// The words of a line that are left.
struct Words<'a>(SplitWhitespace<'a>);

impl Words<'_> {
    fn read<T: FromStr>(&mut self, what: &'static str) -> Result<T, Problem> {
        let text = self.0.next().ok_or(Problem::Missing(what))?;
        text.parse().map_err(|_| Problem::Unreadable { what, text: text.to_owned() })
    }

    fn seconds(&mut self, what: &'static str) -> Result<Duration, Problem> {
        let seconds: f64 = self.read(what)?;
        let millis = (seconds * 1_000.0).round();
        let valid = (0.0..1e9).contains(&millis).then_some(millis as u64);
        let unreadable = || Problem::Unreadable { what, text: seconds.to_string() };
        Ok(Duration::from_millis(valid.ok_or_else(unreadable)?))
    }

    fn place(&mut self) -> Result<Place, Problem> {
        self.read("a place")
    }

    fn number(&mut self) -> Result<u8, Problem> {
        self.read("a number")
    }

    fn lasts(&mut self) -> Result<Duration, Problem> {
        self.seconds("a length")
    }

    fn trouble(&mut self) -> Result<Trouble, Problem> {
        let verb: String = self.read("a trouble")?;
        Ok(match verb.as_str() {
            "kill" => Trouble::Kill { place: self.place()?, down: self.lasts()? },
            "terminate" => Trouble::Terminate { place: self.place()?, down: self.lasts()? },
            "wipe" => Trouble::Wipe { controller: self.number()?, down: self.lasts()? },
            "blackout" => Trouble::Blackout { down: self.lasts()? },
            "hangup" => Trouble::Hangup { place: self.place()? },
            "freeze" => Trouble::Freeze { place: self.place()?, lasts: self.lasts()? },
            "cut" => Trouble::Cut { from: self.place()?, controller: self.number()?, lasts: self.lasts()? },
            "isolate" => Trouble::Isolate { controller: self.number()?, lasts: self.lasts()? },
            "reset" => Trouble::Reset { from: self.place()?, controller: self.number()? },
            "crash" => Trouble::EndpointCrash { endpoint: self.number()?, down: self.lasts()? },
            "drain" | "delete" => Trouble::EndpointLeave {
                endpoint: self.number()?,
                announced: verb == "drain",
                down: self.lasts()?,
            },
            "slow" => Trouble::EndpointSlow { endpoint: self.number()?, lasts: self.lasts()? },
            "lose-order-answers" => {
                Trouble::OrderAnswersLost { endpoint: self.number()?, lasts: self.lasts()? }
            }
            "delay-orders" => Trouble::OrdersDelayed { endpoint: self.number()?, lasts: self.lasts()? },
            "lose-heartbeat-answers" => {
                Trouble::HeartbeatAnswersLost { endpoint: self.number()?, lasts: self.lasts()? }
            }
            "delay-heartbeats" => Trouble::HeartbeatsLate { endpoint: self.number()?, lasts: self.lasts()? },
            "hold-heartbeats" => Trouble::HeartbeatsHeld { endpoint: self.number()?, lasts: self.lasts()? },
            "lose-acknowledgements" => Trouble::AcknowledgementsLost { lasts: self.lasts()? },
            "change" | "move" => Trouble::Changes { count: self.read("a count")?, relevant: verb == "move" },
            "demand" => Trouble::DemandMoves { first: self.read("an index")? },
            _ => return Err(Problem::UnknownTrouble(verb)),
        })
    }
}
