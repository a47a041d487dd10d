//! The text form of steps, as in scenario files.

use std::fmt;
use std::str::FromStr;

use super::{Expectation, MachineIndex, Machines, Step, UnknownStep};

/// The name of a machine.
struct MachineName(MachineIndex);

impl fmt::Display for MachineName {
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
            Self::Append(at) => write!(formatter, "append {}", MachineName(at)),
            Self::AppendRepeatedly { at, count, every } => {
                write!(formatter, "append {} {count} every {every}", MachineName(at))
            }
            Self::Ensure(at) => write!(formatter, "ensure {}", MachineName(at)),
            Self::AppendIfEven(at) => write!(formatter, "append-if-even {}", MachineName(at)),
            Self::Read(at) => write!(formatter, "read {}", MachineName(at)),
            Self::ReplaceMember { old, new, via } => {
                write!(
                    formatter,
                    "replace {} {} via {}",
                    MachineName(old),
                    MachineName(new),
                    MachineName(via)
                )
            }
            Self::AddMember { new, via } => {
                write!(formatter, "grow {} via {}", MachineName(new), MachineName(via))
            }
            Self::RemoveMember { old, via } => {
                write!(formatter, "leave {} via {}", MachineName(old), MachineName(via))
            }
            Self::Wait(time) => write!(formatter, "wait {time}"),
            Self::Kill(at) => write!(formatter, "kill {}", MachineName(at)),
            Self::LosePower(at) => write!(formatter, "power {}", MachineName(at)),
            Self::WipeDisk(at) => write!(formatter, "wipe {}", MachineName(at)),
            Self::Retire(at) => write!(formatter, "retire {}", MachineName(at)),
            Self::Start(at) => write!(formatter, "start {}", MachineName(at)),
            Self::Freeze(at) => write!(formatter, "freeze {}", MachineName(at)),
            Self::Thaw(at) => write!(formatter, "thaw {}", MachineName(at)),
            Self::BlockLink(from, to) => write!(formatter, "cut {} {}", MachineName(from), MachineName(to)),
            Self::Isolate(at) => write!(formatter, "isolate {}", MachineName(at)),
            Self::Partition(machines) => {
                formatter.write_str("part")?;
                machines.iter().try_for_each(|at| write!(formatter, " {}", MachineName(at)))
            }
            Self::Heal => formatter.write_str("heal"),
            Self::Loss(percent) => write!(formatter, "loss {percent}"),
            Self::Duplicate(percent) => write!(formatter, "double {percent}"),
            Self::Delay(time) => write!(formatter, "delay {time}"),
            Self::SlowDisk(at, time) => write!(formatter, "slow {} {time}", MachineName(at)),
            Self::StallDisk(at) => write!(formatter, "stall {}", MachineName(at)),
            Self::FillDisk(at) => write!(formatter, "full {}", MachineName(at)),
            Self::RepairDisk(at) => write!(formatter, "work {}", MachineName(at)),
            Self::Quiesce => formatter.write_str("settle"),
            Self::Expect(at, expectation) => write!(formatter, "expect {} {expectation}", MachineName(at)),
        }
    }
}

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
                Self::AppendRepeatedly { at: machine(at)?, count: number(count)?, every: number(every)? }
            }
            ["ensure", at] => Self::Ensure(machine(at)?),
            ["append-if-even", at] => Self::AppendIfEven(machine(at)?),
            ["read", at] => Self::Read(machine(at)?),
            ["replace", old, new, "via", via] => {
                Self::ReplaceMember { old: machine(old)?, new: machine(new)?, via: machine(via)? }
            }
            ["grow", new, "via", via] => Self::AddMember { new: machine(new)?, via: machine(via)? },
            ["leave", old, "via", via] => Self::RemoveMember { old: machine(old)?, via: machine(via)? },
            ["wait", time] => Self::Wait(number(time)?),
            ["kill", at] => Self::Kill(machine(at)?),
            ["power", at] => Self::LosePower(machine(at)?),
            ["wipe", at] => Self::WipeDisk(machine(at)?),
            ["retire", at] => Self::Retire(machine(at)?),
            ["start", at] => Self::Start(machine(at)?),
            ["freeze", at] => Self::Freeze(machine(at)?),
            ["thaw", at] => Self::Thaw(machine(at)?),
            ["cut", from, to] => Self::BlockLink(machine(from)?, machine(to)?),
            ["isolate", at] => Self::Isolate(machine(at)?),
            ["part", ref rest @ ..] => {
                let join = |set: Machines, word: &&str| Ok(set.with(machine(word)?));
                Self::Partition(rest.iter().try_fold(Machines::default(), join)?)
            }
            ["heal"] => Self::Heal,
            ["loss", percent] => Self::Loss(number(percent)?),
            ["double", percent] => Self::Duplicate(number(percent)?),
            ["delay", time] => Self::Delay(number(time)?),
            ["slow", at, time] => Self::SlowDisk(machine(at)?, number(time)?),
            ["stall", at] => Self::StallDisk(machine(at)?),
            ["full", at] => Self::FillDisk(machine(at)?),
            ["work", at] => Self::RepairDisk(machine(at)?),
            ["settle"] => Self::Quiesce,
            ["expect", at, ref rest @ ..] => Self::Expect(machine(at)?, expectation(rest)?),
            _ => return Err(UnknownStep),
        })
    }
}
