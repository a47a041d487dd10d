//! Queued messages: their position on the timeline, which are postponed or refused, and retry backoff.

use super::pace::REFUSAL_PAUSE;
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// Successive due times of a postponed message: share of the time from target to deadline left after each.
const POSTPONE_STEPS: [f64; 3] = [0.5, 0.25, 0.0];
/// Every message gets its final answer at least this many ticks before its deadline.
const MARGIN_TICKS: Ns = 5;
/// This many last attempts are spread over the time left; before them, backoff share after the 2nd failure.
const LAST_ATTEMPTS: u32 = 2;
const RETRY_SHARE: f64 = 0.06;

impl Scheduler {
    /// Latest time for a final answer: a queued message needs the usual latency before its deadline.
    pub(super) fn answer_by(&self, message: &Message) -> Ns {
        let need = if message.is_waiting() { to_ns(self.dests[&message.dest].latency.seconds()) } else { 0 };
        message.deadline - need.max(ns(self.set.tick) * MARGIN_TICKS)
    }

    /// Service time per message (sigma): smoothed latency / concurrency, at least the interval of rates under
    /// a known limit, else the timeline overestimates throughput. Costly if a rate is far below its limit.
    fn sigma(&self, id: DestinationId) -> Ns {
        let destination = &self.dests[&id];
        let pools: BTreeSet<_> = self.ready_endpoints(id).map(|endpoint| self.pool_id(endpoint)).collect();
        let pools = || pools.iter().map(|pool| &self.pools[pool]);
        let pace = pools().map(|pool| pool.limit.and(pool.rate)).sum::<Option<f64>>();
        // Until the first refusal a rate is a guess: recovered messages are not postponed because of it.
        let found = |held: (Ns, MessageId)| self.messages[&held.1].recovered;
        let guess = self.recovered > 0 && pools().any(|pool| pool.cut_at == 0);
        let pace = pace.filter(|r| *r > 0.0 && !(guess && destination.timeline.iter().any(found)));
        let paced = pace.map_or(0.0, |r| 1.0 / r);
        to_ns((destination.latency.seconds() / self.max_calls(destination) as f64).max(paced)).max(1)
    }

    /// Time credit of the rate limiter: saved tokens allow calls at once, owed tokens delay them. A timeline
    /// slot lasts a whole rate interval, but the call itself takes only its latency; the difference is added.
    pub(super) fn pace_credit(&self, id: DestinationId) -> Ns {
        let pool = self.pools.get(&(id, None)).filter(|pool| pool.limit.is_some());
        let Some((pool, rate)) = pool.and_then(|pool| Some((pool, pool.rate?))) else { return 0 };
        let idle = (1.0 / rate - self.dests[&id].latency.seconds()).max(0.0);
        to_ns((pool.tokens_at(self.now) - 1.0) / rate + idle)
    }

    pub(super) fn max_calls(&self, destination: &Destination) -> usize {
        destination.recent_calls.cap(self.set.slots)
    }

    pub(super) fn hold(&mut self, id: MessageId, out: &mut Vec<Action>) {
        let dest = self.messages[&id].dest;
        let soonest = self.now + to_ns(self.dests[&dest].latency.seconds());
        while self.messages[&id].due < soonest && self.postpone(id) {}
        let (due, sigma) = (self.messages[&id].due, self.sigma(dest));
        let timeline = &mut self.destination(dest).timeline;
        timeline.set_sigma(sigma);
        timeline.insert(due, id);
        self.make_feasible(dest, out);
    }

    /// The next later due time, in steps from target to deadline, that still has some value, and the value
    /// lost by moving there. Without a later due time all remaining value is lost.
    fn later_due(&self, message: &Message) -> (Option<Ns>, f64) {
        let extra = (message.deadline - message.target) as f64;
        let steps = POSTPONE_STEPS.map(|part| message.deadline - (extra * part) as Ns);
        let value = |at| self.set.value_at(message, at);
        let next = steps.into_iter().find(|at| *at > message.due && value(*at) > 0.0);
        (next, value(message.due) - next.map_or(0.0, value))
    }

    /// Moves a message to its next later due time; false if there is none.
    fn postpone(&mut self, id: MessageId) -> bool {
        let message = &self.messages[&id];
        let (dest, due) = (message.dest, message.due);
        let Some(next) = self.later_due(message).0 else { return false };
        let message = self.messages.get_mut(&id).expect("held");
        (message.late, message.due) = (true, next);
        let timeline = &mut self.destination(dest).timeline;
        if timeline.remove(due, id) {
            timeline.insert(next, id);
        }
        self.miss(id);
        true
    }

    /// While the first busy segment starts in the past, removes one of its messages. Unlike in Fair-EDF, that
    /// message is postponed as long as late delivery has value, and refused only after that.
    fn make_feasible(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        let from = self.now - self.pace_credit(dest);
        while let Some(first) = self.destination(dest).timeline.overdue(from) {
            let victim = self.victim(&first);
            if !self.postpone(victim) {
                self.give_up(victim, out);
            }
        }
    }

    /// The message to postpone or refuse: from the group with the lowest miss ratio weighted by value, with
    /// untried recovered ones last, then the smallest loss of value, then the latest due time.
    pub(super) fn victim(&self, candidates: &[MessageId]) -> MessageId {
        let score = |id: &MessageId| {
            let message = &self.messages[id];
            let weight = if self.set.tenants > 0 { 1.0 } else { self.set.classes[message.class].value };
            self.miss_ratios.ratio(message.group) * weight
        };
        let by = |a: &&MessageId, b: &&MessageId| {
            let (x, y) = (&self.messages[*a], &self.messages[*b]);
            let loss = self.later_due(x).1.total_cmp(&self.later_due(y).1);
            score(a)
                .total_cmp(&score(b))
                .then(x.recovered.cmp(&y.recovered))
                .then(loss)
                .then(y.due.cmp(&x.due))
                .then(b.cmp(a))
        };
        *candidates.iter().min_by(by).expect("a segment holds a message")
    }

    pub(super) fn miss(&mut self, id: MessageId) {
        let message = self.messages.get_mut(&id).expect("known");
        if !std::mem::replace(&mut message.missed, true) {
            let group = message.group;
            self.miss_ratios.miss(group, self.now);
        }
    }

    /// Answers messages that can no longer be delivered in time, then makes the timeline feasible.
    pub(super) fn end_expired(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        // If it would be too late once the destination accepts calls again, waiting cannot help: answer now.
        let opens = self.now.max(self.open_from(dest));
        let start = |message: &Message| if message.is_waiting() { opens } else { self.now };
        let over = |message: &Message| {
            self.answer_by(message) <= start(message) || message.is_waiting() && !self.may_try(message, opens)
        };
        let open = self.dests[&dest].messages.iter().filter(|id| !self.messages[id].answered);
        for id in open.filter(|id| over(&self.messages[id])).copied().collect::<Vec<_>>() {
            self.give_up(id, out);
        }
        let sigma = self.sigma(dest);
        self.destination(dest).timeline.set_sigma(sigma);
        self.make_feasible(dest, out);
    }

    /// Spreads retries over the time left, since an outage or a burst may outlast quick retries.
    pub(super) fn back_off(&mut self, id: MessageId, full: bool) {
        let (random, message) = (self.jitter(), self.messages.get_mut(&id).expect("known"));
        let left = self.set.max_attempts.saturating_sub(message.attempts);
        let share = match (left, full) {
            (left, _) if left <= LAST_ATTEMPTS => 1.0 / f64::from(left + 1),
            (_, false) if message.attempts > 1 => RETRY_SHARE * 3f64.powi(message.attempts as i32 - 2),
            _ => return,
        };
        message.not_before = self.now + to_ns(secs(message.deadline - self.now) * random * share);
    }

    /// Ends a message undelivered: refused if a retry by the client is known to be harmless, else failed.
    pub(super) fn give_up(&mut self, id: MessageId, out: &mut Vec<Action>) {
        self.miss(id);
        let message = &self.messages[&id];
        let harmless = match self.set.classes[message.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { scope: KeyScope::All, .. } => message.is_waiting(),
            _ => message.is_waiting() && message.may_have_run.is_none(),
        };
        let refuse = Action::Refuse { message: id, wait: self.retry_after(message.dest) };
        out.push(if harmless { refuse } else { Action::Fail { message: id } });
        self.close(id);
    }

    /// When a refused client may retry: after the current queue had time to drain and any wait is over.
    pub(super) fn retry_after(&self, dest: DestinationId) -> Option<Duration> {
        let queue = self.sigma(dest) * self.dests[&dest].timeline.len() as Ns;
        let wait = to_duration((self.open_from(dest) - self.now).max(queue).max(to_ns(REFUSAL_PAUSE)));
        self.set.retry_after.map(|most| wait.min(most))
    }

    pub(super) fn close(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.unanswered -= usize::from(!std::mem::replace(&mut message.answered, true));
        self.recovered -= usize::from(std::mem::take(&mut message.recovered));
        let (dest, due, out) = (message.dest, message.due, message.in_flight.is_some());
        self.destination(dest).timeline.remove(due, id);
        self.touched.insert(dest);
        if !out && let Some(message) = self.messages.remove(&id) {
            self.destination(dest).messages.remove(&id);
            if let Some(line) = message.key.and_then(|key| self.key_queues.get_mut(&key)) {
                line.retain(|other| *other != id);
                self.touched.extend(line.front().map(|next| self.messages[next].dest));
            }
            self.key_queues.retain(|_, line| !line.is_empty());
            self.key_pauses.retain(|_, (_, until)| *until > self.now);
        }
    }
}
