//! Configuration changes that operators or other controllers sent and that have no outcome yet.
//!
//! Any controller may propose a change. The owner of the shard is preferred, so that proposals do not conflict. If the
//! owner does not answer in time, this controller proposes the same change itself. Proposing a change twice is safe: the
//! register recognises the second one as already applied.

use crate::controller::event::Answer;
use crate::controller::operator::unavailable::Unavailable;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long the owner of the shard may take to answer before this controller proposes a change itself.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for an outcome. Below one second, after which the operator calls another controller.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(950);
/// Maximum number of changes in flight.
const MAX_PENDING: usize = 64;

/// Receiver of the outcome of a change.
#[derive(Debug)]
enum Caller {
    Operator(oneshot::Sender<Answer>),
    /// Another controller, with its own number for the change.
    Peer(std::net::SocketAddr, u64),
}

#[derive(Debug)]
struct Pending {
    caller: Caller,
    command: Vec<u8>,
    /// When this controller proposes the change itself; `None` once it has.
    propose_at: Option<Duration>,
    until: Duration,
}

/// What remains to be done with the outcome of a change.
#[derive(Debug)]
pub(crate) enum Completion {
    /// Nothing: the operator has been answered.
    Answered,
    /// Send this outcome to the controller that forwarded the change.
    Return { peer: std::net::SocketAddr, request: u64 },
    /// Nothing: no caller waits for it any longer.
    Unknown,
}

/// Changes of the configuration in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingChanges {
    pending: BTreeMap<u64, Pending>,
    /// Number of the newest change.
    newest: u64,
    /// Number of changes that were answered with 503 because there was no outcome in time.
    timed_out: u64,
}

impl PendingChanges {
    /// Starts without changes. Changes are numbered from `incarnation`, which is drawn at random at each start of the
    /// process: an owner may still answer a change of an earlier incarnation, and that answer must not match a change of
    /// this incarnation.
    pub(crate) fn new(incarnation: u64) -> Self {
        PendingChanges { pending: BTreeMap::new(), newest: incarnation, timed_out: 0 }
    }

    /// Adds a change of an operator. The caller proposes it at once or, if `owner_live`, forwards it to the owner; in
    /// that case it is due for a proposal here after [`OWNER_TIMEOUT`]. Returns its number, or `None` if too many
    /// changes are in flight.
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

    /// Adds a change that another controller forwarded; the caller proposes it at once.
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

    /// Number of changes in flight, including those that other controllers forwarded.
    pub(crate) fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Number of changes that were answered with 503 because there was no outcome in time.
    pub(crate) fn timed_out(&self) -> u64 {
        self.timed_out
    }

    /// The command of a change in flight.
    pub(crate) fn command(&self, request: u64) -> Option<&[u8]> {
        self.pending.get(&request).map(|pending| pending.command.as_slice())
    }

    /// Completes a change whose outcome was decided here or arrived from the owner; `answer` is sent to the operator.
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

    /// Answers changes that have timed out with 503. Returns the changes that the owner has not answered in time, which
    /// have to be proposed here now.
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
