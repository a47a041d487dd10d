//! Calls of the operator: changes of the configuration and reading it back.
//!
//! Any controller may propose a change. The owner of the shard is preferred, so that proposals do not
//! collide; when it does not answer, this controller proposes the same change itself. Taking a change twice
//! is harmless: the second time it is found among those already taken.

use crate::controller::event::Answer;
use crate::controller::operator::unavailable::Unavailable;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long the owner of the shard has before this controller proposes a change itself.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for a clear answer. The operator asks another controller after a second.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(950);
/// Changes in flight at a time.
const MAX_PENDING: usize = 64;

/// Whom the outcome of a proposal is for.
#[derive(Debug)]
enum Caller {
    Operator(oneshot::Sender<Answer>),
    /// Another controller, and its number for the change.
    Peer(std::net::SocketAddr, u64),
}

#[derive(Debug)]
struct Pending {
    caller: Caller,
    command: Vec<u8>,
    /// When this controller proposes it itself; `None` once it has.
    propose_at: Option<Duration>,
    until: Duration,
}

/// Who gets the outcome of a proposal.
#[derive(Debug)]
pub(crate) enum Completion {
    Answered,
    /// Send this outcome to the controller that forwarded the change.
    Return {
        peer: std::net::SocketAddr,
        request: u64,
    },
    /// No caller waits any more.
    Unknown,
}

/// Changes of the configuration in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingChanges {
    pending: BTreeMap<u64, Pending>,
    /// Number of the newest change.
    newest: u64,
    /// Changes that were answered 503 because there was no outcome in time.
    timed_out: u64,
}

impl PendingChanges {
    /// Nothing is in flight. Numbers go on from `incarnation`, drawn at each start of the process: an owner may answer
    /// a change of an earlier incarnation, and that answer must not be taken for one to a change of this incarnation.
    pub(crate) fn new(incarnation: u64) -> Self {
        PendingChanges { pending: BTreeMap::new(), newest: incarnation, timed_out: 0 }
    }

    /// Accepts a change. It is proposed here at once, unless `owner_live`: then it is forwarded to the owner first.
    /// Returns its number, or `None` if too many are in flight.
    pub(crate) fn begin(
        &mut self,
        now: Duration,
        command: Vec<u8>,
        reply: oneshot::Sender<Answer>,
        owner_live: bool,
    ) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING {
            let _ = reply.send(Answer::unavailable(Unavailable::TooManyChanges));
            return None;
        }
        let propose_at = owner_live.then_some(now + OWNER_TIMEOUT);
        Some(self.insert(now, Caller::Operator(reply), command, propose_at))
    }

    /// Takes a change that another controller handed over; it is proposed here at once.
    pub(crate) fn begin_forwarded(
        &mut self,
        now: Duration,
        peer: std::net::SocketAddr,
        request: u64,
        command: Vec<u8>,
    ) -> u64 {
        self.insert(now, Caller::Peer(peer, request), command, None)
    }

    fn insert(
        &mut self,
        now: Duration,
        caller: Caller,
        command: Vec<u8>,
        propose_at: Option<Duration>,
    ) -> u64 {
        self.newest = self.newest.wrapping_add(1);
        let pending = Pending { caller, command, propose_at, until: now + ANSWER_TIMEOUT };
        self.pending.insert(self.newest, pending);
        self.newest
    }

    /// Changes in flight, those that another controller forwarded included.
    pub(crate) fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Changes that were answered 503 because there was no outcome in time.
    pub(crate) fn timed_out(&self) -> u64 {
        self.timed_out
    }

    /// The command of a change in flight.
    pub(crate) fn command(&self, request: u64) -> Option<&[u8]> {
        self.pending.get(&request).map(|pending| pending.command.as_slice())
    }

    /// An outcome has arrived, here or from the owner; `answer` is sent to the operator.
    pub(crate) fn complete(&mut self, request: u64, answer: impl FnOnce() -> Answer) -> Completion {
        match self.pending.remove(&request).map(|pending| pending.caller) {
            Some(Caller::Operator(reply)) => {
                let _ = reply.send(answer());
                Completion::Answered
            }
            Some(Caller::Peer(peer, request)) => Completion::Return { peer, request },
            None => Completion::Unknown,
        }
    }

    /// Changes that the owner has not answered in time, to be proposed here now; ends those too late.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<u64> {
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, pending)| pending.until <= now).map(|(id, _)| *id).collect();
        for request in late {
            let completion = self.complete(request, || Answer::unavailable(Unavailable::ChangeNotCommitted));
            self.timed_out += u64::from(matches!(completion, Completion::Answered));
        }
        let mut due = Vec::new();
        for (request, pending) in &mut self.pending {
            if pending.propose_at.is_some_and(|at| at <= now) {
                pending.propose_at = None;
                due.push(*request);
            }
        }
        due
    }

    /// When [`PendingChanges::due`] is to be called next.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|p| p.propose_at.map_or(p.until, |at| at.min(p.until))).min()
    }
}
