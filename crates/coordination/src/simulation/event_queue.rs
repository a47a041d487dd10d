//! The pending events of a simulation, in the order of their times.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use super::machine::Event;
use super::step::MachineIndex;

/// An event, its time and its machine.
pub(super) struct Scheduled {
    pub(super) at: Duration,
    order: u64,
    pub(super) machine: MachineIndex,
    pub(super) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Scheduled events; events with the same time are delivered in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Duration, machine: MachineIndex, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Scheduled { at, order: self.order, machine, event }));
    }

    /// Removes the next event that is due by `end`.
    pub(super) fn pop_due(&mut self, end: Duration) -> Option<Scheduled> {
        let is_due = self.events.peek().is_some_and(|next| next.0.at <= end);
        if is_due { self.events.pop().map(|next| next.0) } else { None }
    }
}
