//! Settings of a replica.

use std::time::Duration;

use bytes::Bytes;

use super::node::Node;

/// Settings of a replica of one register.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This replica.
    pub node: Node,
    /// Nodes to query for the group while it is not known; with `bootstrap`, the bootstrap members.
    pub seeds: Vec<Node>,
    /// First start of the whole system: the seeds are the first group.
    pub bootstrap: bool,
    /// State of the initial value; the same at all bootstrap members.
    pub initial_state: Bytes,
    /// Time after which an unanswered message is sent again; it doubles up to eight times that.
    pub retry_interval: Duration,
    /// Shortest backoff of a preempted proposer; it doubles with each further preemption, with random jitter.
    pub backoff: Duration,
    /// Delay before a write that the disk refused is retried.
    pub persist_retry_interval: Duration,
    /// Mean time between two polls of other members for a newer committed value.
    pub anti_entropy_interval: Duration,
    /// Largest number of commands that are proposed together.
    pub max_batch_size: usize,
    /// Seed of the random generator, together with the nonce.
    pub seed: u64,
    /// A deliberate mistake, for tests that prove that they find it.
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Settings {
    /// Settings with times that suit a local network.
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
    /// Votes are sent before the record is durable.
    ReplyBeforePersist,
    /// A replica with an empty disk votes at once, beginning with the initial value.
    VoteAfterWipe,
    /// A wiped replica recovers from one other replica only.
    RecoverFromOne,
    /// Votes of earlier incarnations count.
    IgnoreIncarnations,
    /// Ballots repeat after a restart, and equal ballots are accepted again.
    ReuseBallot,
    /// During a membership change a majority of the new group is enough.
    NewGroupOnly,
    /// The newest accepted value found in phase one is ignored.
    IgnoreAccepted,
    /// A read is answered from the local committed value.
    ReadLocally,
    /// A read is answered with the newest accepted value, committed or not.
    ReadUncommitted,
    /// An acceptor accepts values below its promise.
    AcceptBelowPromise,
    /// A majority is one less.
    SmallMajority,
    /// The final value of a membership change that was accepted, and not committed, is left as it is.
    LeaveChangeUncommitted,
    /// A preempted command is proposed again even if it took effect.
    ProposeTwice,
    /// The recent changes of a value that is taken over from others (recovery, catch-up) are dropped.
    ForgetHistory,
    /// A value is also sent to a replica that has not answered the one before.
    SendAhead,
    /// A replica requests the value of every announced commit.
    AskForEach,
}
