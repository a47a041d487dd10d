//! Steps of a scenario and their text form.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Index of a machine; machines are named `a`, `b`, `c` and so on.
pub type MachineIndex = usize;

/// A set of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Machines(u32);

impl Machines {
    /// This set and one machine more.
    #[must_use]
    pub fn with(self, machine: MachineIndex) -> Self {
        Self(self.0 | 1_u32.checked_shl(u32::try_from(machine).unwrap_or(u32::MAX)).unwrap_or_default())
    }

    /// Whether a machine is in the set.
    #[must_use]
    pub fn contains(self, machine: MachineIndex) -> bool {
        self == self.with(machine)
    }

    fn iter(self) -> impl Iterator<Item = MachineIndex> {
        (0..u32::BITS as MachineIndex).filter(move |machine| self.contains(*machine))
    }
}

/// What a scenario expects of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expectation {
    /// Its last request changed the value.
    Changed,
    /// Its last request found nothing to change.
    Unchanged,
    /// Its last request was refused.
    Refused,
    /// Its last request read a value.
    Value,
    /// Its last request was given up before it was proposed.
    Expired,
    /// Its last request was given up without a clear answer.
    Timeout,
    /// Its last request is not answered.
    Unanswered,
    /// It is a voting member.
    Member,
    /// It is able to vote, but no member.
    Spare,
    /// It is not able to vote yet.
    Recovering,
    /// It has learned this revision.
    Revision(u64),
}

/// One step of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A new number is appended through a machine.
    Append(MachineIndex),
    /// So many new numbers are appended through a machine, one every so many milliseconds.
    Appends {
        /// Takes the requests.
        at: MachineIndex,
        /// How many.
        count: u32,
        /// Time after each, in milliseconds.
        every: u64,
    },
    /// A number is ensured through a machine: an old one if there is one.
    Ensure(MachineIndex),
    /// A new number is appended if the list is even.
    AppendIfEven(MachineIndex),
    /// The value is read through a machine.
    Read(MachineIndex),
    /// A member is replaced by a spare, asked for at a machine.
    Replace {
        /// Leaves.
        old: MachineIndex,
        /// Joins.
        new: MachineIndex,
        /// Takes the request.
        via: MachineIndex,
    },
    /// A spare joins, asked for at a machine.
    Grow {
        /// Joins.
        new: MachineIndex,
        /// Takes the request.
        via: MachineIndex,
    },
    /// A member leaves without a replacement, asked for at a machine.
    Leave {
        /// Leaves.
        old: MachineIndex,
        /// Takes the request.
        via: MachineIndex,
    },
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The process is killed.
    Kill(MachineIndex),
    /// The machine loses power.
    Power(MachineIndex),
    /// The machine loses its disk.
    Wipe(MachineIndex),
    /// The machine is gone for good.
    Retire(MachineIndex),
    /// The process starts.
    Start(MachineIndex),
    /// The machine freezes.
    Freeze(MachineIndex),
    /// The machine wakes.
    Thaw(MachineIndex),
    /// Messages from one machine to another are lost.
    Cut(MachineIndex, MachineIndex),
    /// All messages from and to a machine are lost.
    Isolate(MachineIndex),
    /// The machines of a set and the others no longer reach each other.
    Partition(Machines),
    /// All cuts end.
    Heal,
    /// So many of a hundred messages are lost.
    Loss(u8),
    /// So many of a hundred messages arrive twice.
    Duplicate(u8),
    /// Messages take from nothing up to so many milliseconds.
    Delay(u64),
    /// A write takes up to so many milliseconds.
    Slow(MachineIndex, u64),
    /// The disk answers nothing.
    Stall(MachineIndex),
    /// The disk refuses writes.
    Full(MachineIndex),
    /// The disk works.
    Work(MachineIndex),
    /// Everything is mended and started; all machines that are left must then serve.
    Quiesce,
    /// Something is expected of a machine.
    Expect(MachineIndex, Expectation),
}

/// The name of a machine.
struct Name(MachineIndex);

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let letter = u8::try_from(self.0).ok().and_then(|index| b'a'.checked_add(index)).unwrap_or(b'?');
        write!(formatter, "{}", char::from(letter))
    }
}

impl fmt::Display for Expectation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self {
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
            Self::Refused => "refused",
            Self::Value => "value",
            Self::Expired => "expired",
            Self::Timeout => "timeout",
            Self::Unanswered => "unanswered",
            Self::Member => "member",
            Self::Spare => "spare",
            Self::Recovering => "recovering",
            Self::Revision(revision) => return write!(formatter, "revision {revision}"),
        };
        formatter.write_str(word)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Append(at) => write!(formatter, "append {}", Name(at)),
            Self::Appends { at, count, every } => {
                write!(formatter, "append {} {count} every {every}", Name(at))
            }
            Self::Ensure(at) => write!(formatter, "ensure {}", Name(at)),
            Self::AppendIfEven(at) => write!(formatter, "append-if-even {}", Name(at)),
            Self::Read(at) => write!(formatter, "read {}", Name(at)),
            Self::Replace { old, new, via } => {
                write!(formatter, "replace {} {} via {}", Name(old), Name(new), Name(via))
            }
            Self::Grow { new, via } => write!(formatter, "grow {} via {}", Name(new), Name(via)),
            Self::Leave { old, via } => write!(formatter, "leave {} via {}", Name(old), Name(via)),
            Self::Wait(time) => write!(formatter, "wait {time}"),
            Self::Kill(at) => write!(formatter, "kill {}", Name(at)),
            Self::Power(at) => write!(formatter, "power {}", Name(at)),
            Self::Wipe(at) => write!(formatter, "wipe {}", Name(at)),
            Self::Retire(at) => write!(formatter, "retire {}", Name(at)),
            Self::Start(at) => write!(formatter, "start {}", Name(at)),
            Self::Freeze(at) => write!(formatter, "freeze {}", Name(at)),
            Self::Thaw(at) => write!(formatter, "thaw {}", Name(at)),
            Self::Cut(from, to) => write!(formatter, "cut {} {}", Name(from), Name(to)),
            Self::Isolate(at) => write!(formatter, "isolate {}", Name(at)),
            Self::Partition(machines) => {
                formatter.write_str("part")?;
                machines.iter().try_for_each(|at| write!(formatter, " {}", Name(at)))
            }
            Self::Heal => formatter.write_str("heal"),
            Self::Loss(percent) => write!(formatter, "loss {percent}"),
            Self::Duplicate(percent) => write!(formatter, "double {percent}"),
            Self::Delay(time) => write!(formatter, "delay {time}"),
            Self::Slow(at, time) => write!(formatter, "slow {} {time}", Name(at)),
            Self::Stall(at) => write!(formatter, "stall {}", Name(at)),
            Self::Full(at) => write!(formatter, "full {}", Name(at)),
            Self::Work(at) => write!(formatter, "work {}", Name(at)),
            Self::Quiesce => formatter.write_str("settle"),
            Self::Expect(at, expectation) => write!(formatter, "expect {} {expectation}", Name(at)),
        }
    }
}

/// A line is no step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no such step")]
pub struct UnknownStep;

fn machine(word: &str) -> Result<MachineIndex, UnknownStep> {
    match word.as_bytes() {
        [letter @ b'a'..=b'z'] => Ok(usize::from(letter - b'a')),
        _ => Err(UnknownStep),
    }
}

fn number<T: FromStr>(word: &str) -> Result<T, UnknownStep> {
    word.parse().map_err(|_| UnknownStep)
}

fn expectation(words: &[&str]) -> Result<Expectation, UnknownStep> {
    Ok(match words {
        ["changed"] => Expectation::Changed,
        ["unchanged"] => Expectation::Unchanged,
        ["refused"] => Expectation::Refused,
        ["value"] => Expectation::Value,
        ["expired"] => Expectation::Expired,
        ["timeout"] => Expectation::Timeout,
        ["unanswered"] => Expectation::Unanswered,
        ["member"] => Expectation::Member,
        ["spare"] => Expectation::Spare,
        ["recovering"] => Expectation::Recovering,
        ["revision", revision] => Expectation::Revision(number(revision)?),
        _ => return Err(UnknownStep),
    })
}

impl FromStr for Step {
    type Err = UnknownStep;

    fn from_str(line: &str) -> Result<Self, UnknownStep> {
        let words: Vec<&str> = line.split_whitespace().collect();
        Ok(match *words.as_slice() {
            ["append", at] => Self::Append(machine(at)?),
            ["append", at, count, "every", every] => {
                Self::Appends { at: machine(at)?, count: number(count)?, every: number(every)? }
            }
            ["ensure", at] => Self::Ensure(machine(at)?),
            ["append-if-even", at] => Self::AppendIfEven(machine(at)?),
            ["read", at] => Self::Read(machine(at)?),
            ["replace", old, new, "via", via] => {
                Self::Replace { old: machine(old)?, new: machine(new)?, via: machine(via)? }
            }
            ["grow", new, "via", via] => Self::Grow { new: machine(new)?, via: machine(via)? },
            ["leave", old, "via", via] => Self::Leave { old: machine(old)?, via: machine(via)? },
            ["wait", time] => Self::Wait(number(time)?),
            ["kill", at] => Self::Kill(machine(at)?),
            ["power", at] => Self::Power(machine(at)?),
            ["wipe", at] => Self::Wipe(machine(at)?),
            ["retire", at] => Self::Retire(machine(at)?),
            ["start", at] => Self::Start(machine(at)?),
            ["freeze", at] => Self::Freeze(machine(at)?),
            ["thaw", at] => Self::Thaw(machine(at)?),
            ["cut", from, to] => Self::Cut(machine(from)?, machine(to)?),
            ["isolate", at] => Self::Isolate(machine(at)?),
            ["part", ref rest @ ..] => {
                let join = |set: Machines, word: &&str| Ok(set.with(machine(word)?));
                Self::Partition(rest.iter().try_fold(Machines::default(), join)?)
            }
            ["heal"] => Self::Heal,
            ["loss", percent] => Self::Loss(number(percent)?),
            ["double", percent] => Self::Duplicate(number(percent)?),
            ["delay", time] => Self::Delay(number(time)?),
            ["slow", at, time] => Self::Slow(machine(at)?, number(time)?),
            ["stall", at] => Self::Stall(machine(at)?),
            ["full", at] => Self::Full(machine(at)?),
            ["work", at] => Self::Work(machine(at)?),
            ["settle"] => Self::Quiesce,
            ["expect", at, ref rest @ ..] => Self::Expect(machine(at)?, expectation(rest)?),
            _ => return Err(UnknownStep),
        })
    }
}
