//! Settings of a replica.

use std::time::Duration;

use bytes::Bytes;

use super::node::Node;

/// Settings of a replica of one register.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This replica.
    pub node: Node,
    /// Whom to ask for the group while it is not known; with `bootstrap`, the founders.
    pub seeds: Vec<Node>,
    /// First start of the whole system: the seeds found the group.
    pub bootstrap: bool,
    /// State bytes of the initial value; the same at all founders.
    pub initial_state: Bytes,
    /// After this long an unanswered message is sent again; doubles up to eight times that.
    pub retry_interval: Duration,
    /// Shortest wait of a proposer that was preempted; doubles with each further time, and is spread by chance.
    pub backoff: Duration,
    /// Wait before a write that the disk refused is tried again.
    pub persist_retry_interval: Duration,
    /// Every so often one other member is asked for a newer committed value.
    pub anti_entropy_interval: Duration,
    /// Most commands proposed together.
    pub max_batch_size: usize,
    /// Sets back-off times together with the nonce.
    pub seed: u64,
    /// A deliberate mistake, for tests that prove that it is found.
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Settings {
    /// Settings with usual times for a local network.
    #[must_use]
    pub fn new(node: Node, seeds: Vec<Node>) -> Self {
        Self {
            node,
            seeds,
            bootstrap: false,
            initial_state: Bytes::new(),
            retry_interval: Duration::from_millis(200),
            backoff: Duration::from_millis(10),
            persist_retry_interval: Duration::from_millis(500),
            anti_entropy_interval: Duration::from_secs(2),
            max_batch_size: 64,
            seed: 0,
            fault: None,
        }
    }

    /// Whether a deliberate mistake is made.
    pub(super) fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

/// Deliberate mistakes: each must be found by the random schedules, or by the tests on catching up.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Votes leave before the record is durable.
    ReplyBeforePersist,
    /// A replica with an empty disk votes at once, from the initial value.
    VoteAfterWipe,
    /// A wiped replica recovers from one other replica only.
    RecoverFromOne,
    /// Votes of earlier incarnations count.
    IgnoreIncarnations,
    /// Ballots repeat after a restart, and equal ballots are accepted again.
    ReuseBallot,
    /// While members change, a majority of the new group is enough.
    NewGroupOnly,
    /// The highest accepted value found in phase one is not taken over.
    IgnoreAccepted,
    /// A read answers from the local committed value.
    ReadLocally,
    /// A read answers with the newest accepted value, committed or not.
    ReadUncommitted,
    /// An acceptor forgets its promise once asked to accept.
    AcceptBelowPromise,
    /// A majority is one less.
    SmallMajority,
    /// The end of a change of members that was accepted, and not committed, is left as it is.
    LeaveChangeUncommitted,
    /// A preempted command is proposed again without looking whether it took effect.
    ProposeTwice,
    /// The recent changes of a value that is taken over from others (recovery, catching up) are left out.
    ForgetHistory,
    /// A value is also sent to a replica that has not answered the one before.
    SendAhead,
    /// A replica asks for the value of every decision it hears of.
    AskForEach,
}
