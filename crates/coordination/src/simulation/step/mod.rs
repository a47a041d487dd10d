//! Steps of a scenario.

mod text;

use thiserror::Error;

/// Index of a machine; machines are named `a`, `b`, `c` and so on.
pub type MachineIndex = usize;

/// A set of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Machines(u32);

impl Machines {
    /// This set with one more machine.
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

/// A line of a scenario is not a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no such step")]
pub struct UnknownStep;

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
    /// Its last request expired before it was proposed.
    Expired,
    /// Its last request timed out with an unknown outcome.
    Timeout,
    /// Its last request is not answered yet.
    Unanswered,
    /// It is a voting member.
    Member,
    /// It is able to vote, but is not a member.
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
    /// New numbers are appended through a machine at a steady rate.
    AppendRepeatedly {
        /// The machine that gets the requests.
        at: MachineIndex,
        /// Number of requests.
        count: u32,
        /// Time between two requests, in milliseconds.
        every: u64,
    },
    /// One of a few fixed numbers is appended through a machine, unless the list contains it.
    Ensure(MachineIndex),
    /// A new number is appended through a machine if the list has an even length.
    AppendIfEven(MachineIndex),
    /// The value is read through a machine.
    Read(MachineIndex),
    /// A member is replaced by a spare, on a request to `via`.
    ReplaceMember {
        /// Leaves.
        old: MachineIndex,
        /// Joins.
        new: MachineIndex,
        /// The machine that gets the request.
        via: MachineIndex,
    },
    /// A spare joins, on a request to `via`.
    AddMember {
        /// Joins.
        new: MachineIndex,
        /// The machine that gets the request.
        via: MachineIndex,
    },
    /// A member leaves without a replacement, on a request to `via`.
    RemoveMember {
        /// Leaves.
        old: MachineIndex,
        /// The machine that gets the request.
        via: MachineIndex,
    },
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The process is killed.
    Kill(MachineIndex),
    /// The machine loses power.
    LosePower(MachineIndex),
    /// The machine loses the content of its disk.
    WipeDisk(MachineIndex),
    /// The machine is lost permanently.
    Retire(MachineIndex),
    /// The process starts.
    Start(MachineIndex),
    /// The process is suspended.
    Freeze(MachineIndex),
    /// The process resumes.
    Thaw(MachineIndex),
    /// Messages from one machine to another are lost.
    BlockLink(MachineIndex, MachineIndex),
    /// All messages from and to a machine are lost.
    Isolate(MachineIndex),
    /// A partition: the machines of a set and the others no longer reach each other.
    Partition(Machines),
    /// All links work again.
    Heal,
    /// This percentage of messages is lost.
    Loss(u8),
    /// This percentage of messages arrives twice.
    Duplicate(u8),
    /// The delay of a message is at most this many milliseconds.
    Delay(u64),
    /// A write on the machine takes at most this many milliseconds.
    SlowDisk(MachineIndex, u64),
    /// Writes do not complete.
    StallDisk(MachineIndex),
    /// Writes to the disk fail.
    FillDisk(MachineIndex),
    /// The disk works again.
    RepairDisk(MachineIndex),
    /// All faults end and all processes start; every machine that is not retired must then serve requests.
    Quiesce,
    /// Checks an expectation of a machine.
    Expect(MachineIndex, Expectation),
}
