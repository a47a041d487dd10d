//! Anti-entropy: polls the other replicas in turn for a newer committed value, as a replica may have missed
//! commits without any message that shows it.

use std::time::Duration;

use super::context::Context;
use super::node::Node;

/// A spare, to which no commit is announced, polls this many times as often as a member.
const SPARE_POLL_FACTOR: u32 = 4;

#[derive(Clone, Hash)]
pub(super) struct AntiEntropy {
    next_poll_at: Duration,
    last_polled: Node,
}

impl AntiEntropy {
    /// No poll is scheduled yet; the caller has to call [`Self::schedule`].
    pub(super) fn new(context: &Context) -> Self {
        Self { next_poll_at: context.now, last_polled: context.node() }
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.next_poll_at
    }

    /// Schedules the next poll, with jitter so that the replicas do not poll at the same time.
    pub(super) fn schedule(&mut self, context: &mut Context, is_spare: bool) {
        let poll_factor = if is_spare { SPARE_POLL_FACTOR } else { 1 };
        let interval = context.settings.anti_entropy_interval / poll_factor;
        self.next_poll_at = context.now + interval / 2 + context.random_up_to(interval);
    }

    /// Polls the next of `peers`, in the order of their addresses.
    pub(super) fn poll_next(&mut self, context: &mut Context, mut peers: Vec<Node>) {
        peers.retain(|node| *node != context.node());
        let next = peers.iter().filter(|node| **node > self.last_polled).min().or(peers.iter().min());
        if let Some(node) = next.copied() {
            self.last_polled = node;
            context.send(node, context.poll_message());
        }
    }
}
