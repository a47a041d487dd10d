//! Asking others, in turn, whether they know a newer committed value: a replica may be behind without a sign of it.

use std::time::Duration;

use super::context::Context;
use super::node::Node;

/// A replica that is no member is told of no decision, so it asks for news so many times as often as a member.
const SPARE_POLL_FACTOR: u32 = 4;

#[derive(Clone, Hash)]
pub(super) struct AntiEntropy {
    next_poll_at: Duration,
    /// Whom it asked last.
    last_polled: Node,
}

impl AntiEntropy {
    /// Asks nobody yet; [`Self::schedule`] is to be called.
    pub(super) fn new(context: &Context) -> Self {
        Self { next_poll_at: context.now, last_polled: context.node() }
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.next_poll_at
    }

    /// Sets the time of the next question; those of different replicas are spread by chance.
    pub(super) fn schedule(&mut self, context: &mut Context, is_spare: bool) {
        let poll_factor = if is_spare { SPARE_POLL_FACTOR } else { 1 };
        let interval = context.settings.anti_entropy_interval / poll_factor;
        self.next_poll_at = context.now + interval / 2 + context.random_up_to(interval);
    }

    /// Asks the next of the others; all take turns.
    pub(super) fn poll_next(&mut self, context: &mut Context, mut others: Vec<Node>) {
        others.retain(|node| *node != context.node());
        let next = others.iter().filter(|node| **node > self.last_polled).min().or(others.iter().min());
        if let Some(node) = next.copied() {
            self.last_polled = node;
            context.send(node, context.poll_message());
        }
    }
}
