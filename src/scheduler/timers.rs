//! Timers: when each destination is to be checked again.

use crate::interface::*;
use crate::state::*;

impl Scheduler {
    /// Sets the destination's timer to the next time at which anything there can change.
    pub(super) fn schedule(&mut self, dest: DestinationId) {
        let destination = &self.dests[&dest];
        let open = destination.messages.iter().map(|id| &self.messages[id]).filter(|m| !m.answered);
        let backed_off = |message: &Message| message.is_waiting() && message.not_before > self.now;
        let times = open.map(|message| {
            if backed_off(message) {
                message.not_before.min(self.answer_by(message))
            } else {
                self.answer_by(message)
            }
        });
        let next = times.min().unwrap_or(NEVER).min(destination.next_check);
        let (soonest, credit) = (self.now + ns(self.set.tick), self.pace_credit(dest));
        let destination = self.destination(dest);
        let next = next.min(destination.timeline.start().map_or(NEVER, |at| at + credit + 1)).max(soonest);
        let was = std::mem::replace(&mut destination.timer_at, next);
        self.timers.remove(&(was, dest));
        self.timers.extend((next < NEVER).then_some((next, dest)));
    }

    /// Requests a check of the destination at this time at the latest.
    pub(super) fn check_by(&mut self, dest: DestinationId, at: Ns) {
        self.destination(dest).next_check = self.dests[&dest].next_check.min(at);
    }
}
