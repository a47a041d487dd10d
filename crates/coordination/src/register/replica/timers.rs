//! Timers of a replica: when the next one is due, and what is done then.

use std::time::Duration;

use super::Replica;
use crate::register::acceptor::Acceptor;
use crate::register::context::earlier;
use crate::register::event::Status;
use crate::register::recovery::Recovery;

/// A membership change that its proposer leaves unfinished is completed by others after this many retry intervals.
const COMPLETION_DELAY_RETRIES: u32 = 5;

impl Replica {
    /// When [`Input::Tick`](crate::register::Input::Tick) is due next.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let timers = [
            self.recovery.as_ref().map(Recovery::next_wake),
            self.acceptor.as_ref().and_then(Acceptor::next_wake),
            self.proposer.next_wake(),
            self.reader.next_wake(),
            Some(self.anti_entropy.next_wake()),
            self.completion_due_at,
            self.catch_up.next_wake(),
        ];
        timers.into_iter().fold(None, earlier)
    }

    pub(super) fn on_tick(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_tick(&mut self.context);
        }
        self.catch_up.on_tick(&mut self.context);
        let to_propose = self.reader.on_tick(&mut self.context);
        self.enqueue_proposals(to_propose);
        self.proposer.on_tick(&mut self.context);
        if self.anti_entropy.next_wake() <= self.context.now {
            self.poll_for_update();
        }
        if self.completion_due_at.take_if(|at| *at <= self.context.now).is_some() {
            self.proposer.request_completion();
        }
    }

    /// Polls one other replica for a newer committed value.
    fn poll_for_update(&mut self) {
        self.schedule_poll();
        if self.recovery.is_some() {
            return;
        }
        let mut peers = self.newest_known().map(|value| value.members()).unwrap_or_default();
        peers.extend(self.known_peers.iter().copied());
        self.anti_entropy.poll_next(&mut self.context, peers);
    }

    pub(super) fn schedule_poll(&mut self) {
        let is_spare = self.status() == Status::Spare;
        self.anti_entropy.schedule(&mut self.context, is_spare);
    }

    /// Schedules the completion of a membership change whose joint value is still in force. Any replica that knows the
    /// value completes the change, as the proposer may have failed.
    pub(super) fn schedule_membership_completion(&mut self) {
        let is_joint = self.context.committed.as_ref().is_some_and(|committed| committed.value.is_joint());
        if !is_joint {
            self.completion_due_at = None;
        } else if self.completion_due_at.is_none() {
            let delay = self.context.settings.retry_interval * COMPLETION_DELAY_RETRIES;
            self.completion_due_at = Some(self.context.now + delay + self.context.random_up_to(delay));
        }
    }
}
