//! The scheduler: decides what one courier does with each message. It is deterministic: each call passes the
//! time, and the seed determines all randomness. Each destination has a Fair-EDF timeline (occupancy chart)
//! of its queued messages, sent earliest deadline first. While a timeline is infeasible, as few messages as
//! possible are postponed or refused, from the tenant or class with the lowest miss ratio.
//!
//! Constants are in seconds and exist only where the settings give no value. Deadlines, windows, grace times,
//! limits and costs come from the settings; reactions to load are a share of them or of measured values.

mod calls;
mod choice;
mod connections;
mod health;
mod pace;
mod queue;
mod timers;

use crate::interface::*;
pub use crate::state::Scheduler;
use crate::state::*;
pub(crate) use calls::DEST_LATENCY;

/// When more than this share of `max_held` is in use, the longest timeline sheds messages.
const ROOM_SHARE: f64 = 0.9;

impl Scheduler {
    /// Creates a scheduler without any state; `seed` initialises its random jitter.
    pub fn new(set: Settings, seed: u64) -> Result<Self, String> {
        set.check()?;
        Ok(Scheduler { resubscribe_pause: LIST_RETRY, ..Scheduler::blank(set, seed) })
    }

    /// Processes the events of one point in time and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        let origin = *self.origin.get_or_insert(now);
        self.now = ns(now.saturating_sub(origin)).max(self.now);
        for event in events {
            self.apply(event, out);
        }
        while let Some((at, dest)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&(at, dest));
            self.touched.insert(dest);
        }
        if self.in_flight < self.set.slots {
            self.touched.append(&mut self.need_slot);
        }
        let touched = std::mem::take(&mut self.touched);
        for dest in &touched {
            self.destination(*dest).next_check = NEVER;
            self.end_expired(*dest, out);
            self.check_health(*dest);
        }
        self.judge_zones(out);
        self.release(&touched, out);
        for dest in &touched {
            self.schedule(*dest);
        }
        if self.resubscribe_at.is_some_and(|t| t <= self.now) {
            // Repeats the request if no answer arrives; an answer clears this timer.
            self.resubscribe_at = Some(self.now + to_ns(self.resubscribe_pause * 4.0 * self.jitter()));
            out.push(Action::Subscribe { active: true });
        }
        let resubscribe_at = self.resubscribe_at.unwrap_or(NEVER);
        let next = self.timers.first().map_or(NEVER, |t| t.0).min(self.stuck_check_at).min(resubscribe_at);
        if next < self.wake.map_or(NEVER, |w| w.1) {
            self.next_token += 1;
            self.wake = Some((self.next_token, next));
            out.push(Action::Wake { token: self.next_token, after: to_duration((next - self.now).max(1)) });
        }
    }

    fn has_room(&self, destination: &Destination) -> bool {
        self.in_flight < self.set.slots && destination.calls < self.max_calls(destination)
    }

    fn apply(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Listed { whole, entries } => self.update_list(*whole, entries, out),
            Event::ListFailed => {
                let again = self.now + to_ns(self.resubscribe_pause * self.jitter());
                self.resubscribe_at = self.set.must_subscribe.then_some(again);
                self.resubscribe_pause = (self.resubscribe_pause * 2.0).min(LIST_RETRY * 8.0);
            }
            Event::Taken(taken) => self.accept(taken, out),
            Event::Answering { .. } | Event::Told { .. } => {}
            Event::Ended(ended) => self.attempt_ended(ended, out),
            Event::Withdrawn { message } => self.close(*message),
            Event::Maintenance { endpoint, out } => self.maintain(*endpoint, *out),
            Event::Woken { token } => self.wake = self.wake.filter(|w| w.0 != *token),
            Event::Probed { endpoint, outcome, report, .. } => self.update_limit(*endpoint, *outcome, report),
        }
    }

    fn accept(&mut self, taken: &Taken, out: &mut Vec<Action>) {
        let (id, dest) = (taken.message, taken.destination);
        let message = Message::new(taken, &self.set, self.now);
        if let Some(key) = &message.key {
            self.key_queues.entry(key.clone()).or_default().push_back(id);
        }
        self.miss_ratios.request(message.group, self.now);
        self.recovered += usize::from(message.recovered);
        self.messages.insert(id, message);
        self.touched.insert(dest);
        self.destination(dest).messages.insert(id);
        self.unanswered += 1;
        self.hold(id, out);
        while self.unanswered as f64 > ROOM_SHARE * self.set.max_held as f64 {
            // Sheds from the longest timeline, so that one paused destination cannot block the others.
            let longest = self.dests.values().max_by_key(|destination| destination.timeline.len());
            let Some(timeline) = longest.map(|longest| &longest.timeline).filter(|t| !t.is_empty()) else {
                break;
            };
            let held: Vec<_> = timeline.iter().map(|(_, id)| id).collect();
            self.give_up(self.victim(&held), out);
        }
    }

    fn attempt_ended(&mut self, ended: &Ended, out: &mut Vec<Action>) {
        let (id, endpoint, outcome) = (ended.message, ended.endpoint, ended.outcome);
        self.update_limit(endpoint, outcome, &ended.report);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(flight) = message.in_flight.take() else { return };
        let running = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if message.may_have_run.is_none() && (running || outcome == Outcome::Error) {
            message.may_have_run = Some((endpoint, self.endpoints[&endpoint].zone, flight.sent));
        }
        if let Some(key) = message.key.as_ref().filter(|_| running) {
            self.key_pauses.insert(key.clone(), (id, self.now + ns(self.set.key_pause)));
        }
        let late = self.now > message.target;
        self.touched.insert(message.dest);
        self.call_ended(flight, ended, out);
        if outcome != Outcome::NotSent {
            self.back_off(id, matches!(outcome, Outcome::Full { .. } | Outcome::ConnectFailed));
        }
        let message = &self.messages[&id];
        if outcome != Outcome::Delivered && !ended.answered && !message.answered {
            return if self.may_try(message, self.now) { self.hold(id, out) } else { self.give_up(id, out) };
        }
        if late && !message.answered {
            self.miss(id);
        }
        self.close(id);
    }
}
