//! Settings of a replica.

use std::time::Duration;

use bytes::Bytes;

use super::fault::Fault;
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
    /// Time after which an unanswered message is sent again; it doubles with each retry, up to eight times this value.
    pub retry_interval: Duration,
    /// Shortest backoff of a preempted proposer; it doubles with each further preemption, with random jitter.
    pub backoff: Duration,
    /// Delay before a failed write is retried.
    pub persist_retry_interval: Duration,
    /// Mean time between two polls of other members for a newer committed value.
    pub anti_entropy_interval: Duration,
    /// Largest number of commands that are proposed together.
    pub max_batch_size: usize,
    /// Seed of the random generator, together with the nonce.
    pub seed: u64,
    /// A defect that a test switches on, to show that it would be detected.
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

    /// Whether this defect is switched on.
    pub(super) fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
