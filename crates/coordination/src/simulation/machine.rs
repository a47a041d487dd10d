//! A simulated machine: a disk, and a process that can be started, killed and suspended.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;

use super::append::Append;
use super::disk::Disk;
use super::step::MachineIndex;
use super::violation::Violation;
use crate::register::{Input, Node, Output, Record, Replica, Settings, Status};

/// Control port of all machines.
const PORT: u16 = 8146;

/// Address of machine `a`; the others follow, so that nodes sort in the order of their letters.
const FIRST_ADDRESS: u32 = 0x0a00_0001;

/// The node of a machine.
pub(super) fn node_of(index: MachineIndex) -> Node {
    Node { ip: FIRST_ADDRESS + u32::try_from(index).unwrap_or_default(), port: PORT }
}

/// The machine of a node.
pub(super) fn index_of(node: Node) -> MachineIndex {
    node.ip.saturating_sub(FIRST_ADDRESS) as MachineIndex
}

/// An event that is delivered to a machine.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// A message arrives.
    Message { from: MachineIndex, bytes: Vec<u8> },
    /// The write in flight ends.
    Written { incarnation: u64, token: u64 },
    /// A timer of the process fires.
    Wake { incarnation: u64, at: Duration },
}

pub(super) struct Machine {
    pub(super) index: MachineIndex,
    pub(super) disk: Disk,
    pub(super) replica: Option<Replica>,
    /// Number of starts of the process.
    pub(super) incarnation: u64,
    pub(super) frozen: bool,
    pub(super) retired: bool,
    /// Events that arrived while the process was frozen.
    pub(super) backlog: VecDeque<Event>,
    /// When the timer that is set fires.
    pub(super) wake_at: Option<Duration>,
    /// The newest revision that this incarnation has learned.
    newest_committed: Option<u64>,
    /// The last request made here.
    pub(super) last_request: Option<u64>,
}

impl Machine {
    pub(super) fn new(index: MachineIndex) -> Self {
        Self {
            index,
            disk: Disk::new(),
            replica: None,
            incarnation: 0,
            frozen: false,
            retired: false,
            backlog: VecDeque::new(),
            wake_at: None,
            newest_committed: None,
            last_request: None,
        }
    }

    /// Starts the process with the record on disk.
    pub(super) fn start(&mut self, settings: Settings, now: Duration, nonce: u64) -> Result<(), Violation> {
        if self.replica.is_some() || self.retired {
            return Ok(());
        }
        let unreadable = |_| Violation::UnreadableRecord(self.index);
        let bytes = self.disk.open().map_err(unreadable)?;
        let decode =
            |bytes: Vec<u8>| Record::decode(&bytes).map_err(|_| Violation::UnreadableRecord(self.index));
        let stored = bytes.map(decode).transpose()?;
        self.incarnation += 1;
        self.wake_at = None;
        self.newest_committed = None;
        self.replica = Some(Replica::new(settings, Box::new(Append), stored, now, nonce));
        Ok(())
    }

    /// The process dies.
    pub(super) fn kill(&mut self, random: &mut SmallRng) {
        if self.replica.take().is_some() {
            self.disk.interrupt(random);
        }
        self.frozen = false;
        self.backlog.clear();
    }

    pub(super) fn lose_power(&mut self, random: &mut SmallRng) {
        self.kill(random);
        self.disk.directory.lose_power(random);
    }

    pub(super) fn lose_disk(&mut self, random: &mut SmallRng) {
        self.kill(random);
        self.disk.directory.wipe();
    }

    /// Passes an event to the process; a frozen process gets it when it resumes.
    pub(super) fn receive(&mut self, now: Duration, event: Event) -> Result<(), Violation> {
        if self.frozen {
            self.backlog.push_back(event);
            return Ok(());
        }
        let Some(input) = self.input(event)? else {
            return Ok(());
        };
        if let Some(replica) = &mut self.replica {
            replica.handle(now, input);
        }
        Ok(())
    }

    /// Converts an event to an input of the process; `None` if the event has no effect on it.
    fn input(&mut self, event: Event) -> Result<Option<Input>, Violation> {
        match event {
            Event::Message { from, bytes } => {
                let message = crate::register::Message::decode(&bytes);
                let message = message.map_err(|_| Violation::UnreadableMessage(from))?;
                Ok(Some(Input::Message { from: node_of(from), message }))
            }
            Event::Written { incarnation, token } => Ok(self.on_written(incarnation, token)),
            Event::Wake { incarnation, at } => {
                let due = incarnation == self.incarnation && self.wake_at == Some(at);
                self.wake_at.take_if(|_| due);
                Ok(due.then_some(Input::Tick))
            }
        }
    }

    fn on_written(&mut self, incarnation: u64, token: u64) -> Option<Input> {
        let current = self.disk.write.as_ref().is_some_and(|write| write.token == token);
        if incarnation != self.incarnation || !current || self.disk.stalled {
            return None;
        }
        let (token, saved) = self.disk.finish_write()?;
        Some(if saved { Input::Persisted { token } } else { Input::PersistFailed { token } })
    }

    pub(super) fn poll_output(&mut self) -> Option<Output> {
        self.replica.as_mut()?.poll_output()
    }

    /// Records a learned revision; fails if the process learned a newer one before.
    pub(super) fn record_committed(&mut self, revision: u64) -> Result<(), Violation> {
        match self.newest_committed.replace(revision) {
            Some(from) if from >= revision => {
                Err(Violation::Regression { machine: self.index, from, to: revision })
            }
            _ => Ok(()),
        }
    }

    pub(super) fn newest_committed(&self) -> Option<u64> {
        self.newest_committed
    }

    pub(super) fn status(&self) -> Option<Status> {
        self.replica.as_ref().map(Replica::status)
    }
}
