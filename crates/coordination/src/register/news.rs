//! Asking others, in turn, whether they know a newer decided value: a replica may be behind without a sign of it.

use std::time::Duration;

use super::core::Core;
use super::node::Node;

/// A replica that is no member is told of no decision, so it asks for news so many times as often as a member.
const SPARE_EAGERNESS: u32 = 4;

#[derive(Clone, Hash)]
pub(super) struct News {
    due: Duration,
    /// Whom it asked last.
    asked_last: Node,
}

impl News {
    /// Asks nobody yet; [`Self::schedule`] is to be called.
    pub(super) fn new(core: &Core) -> Self {
        Self { due: core.now, asked_last: core.node() }
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.due
    }

    /// Sets the time of the next question; those of different replicas are spread by chance.
    pub(super) fn schedule(&mut self, core: &mut Core, is_spare: bool) {
        let eagerness = if is_spare { SPARE_EAGERNESS } else { 1 };
        let interval = core.settings.announce_interval / eagerness;
        self.due = core.now + interval / 2 + core.up_to(interval);
    }

    /// Asks the next of the others; all take turns.
    pub(super) fn ask(&mut self, core: &mut Core, mut others: Vec<Node>) {
        others.retain(|node| *node != core.node());
        let next = others.iter().filter(|node| **node > self.asked_last).min().or(others.iter().min());
        if let Some(node) = next.copied() {
            self.asked_last = node;
            core.send(node, core.inquiry());
        }
    }
}
