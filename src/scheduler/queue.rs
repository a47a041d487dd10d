//! Messages that are held: their places on the chart, who gives way there, and what is answered unsent.

use super::pace::FULL_PAUSE;
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// Where a message is set back to, by the part of the time from its aim to its end that is left there.
const SETBACKS: [f64; 3] = [0.5, 0.25, 0.0];
/// A message is answered this many ticks before its time is up.
const MARGIN_TICKS: Ns = 5;
/// Attempts spread over the time left; before these, backoff after a second failure, as its share.
const LAST_ATTEMPTS: u32 = 2;
const RETRY_SHARE: f64 = 0.06;

impl Scheduler {
    /// When a message is answered at the latest: held ones while the usual latency is still left.
    pub(super) fn answer_by(&self, message: &Message) -> Ns {
        let need = if message.is_waiting() { sec(self.dests[&message.dest].latency.seconds()) } else { 0 };
        message.end - need.max(ns(self.set.tick) * MARGIN_TICKS)
    }

    /// Sigma: the smoothed latency over the calls that may run at once, and no less than paces under a known
    /// limit allow: else a chart believes in rates it has not. Hurts where a pace is far below the limit.
    fn sigma(&self, id: DestinationId) -> Ns {
        let destination = &self.dests[&id];
        let pools: BTreeSet<_> = self.ready_endpoints(id).map(|endpoint| self.pool_id(endpoint)).collect();
        let pools = || pools.iter().map(|pool| &self.pools[pool]);
        let pace = pools().map(|pool| pool.limit.and(pool.rate)).sum::<Option<f64>>();
        // One that no refusal has taught is a guess: nothing that a restart found gives way by it.
        let found = |held: (Ns, MessageId)| self.messages[&held.1].found;
        let guess = self.found > 0 && pools().any(|pool| pool.cut_at == 0);
        let pace = pace.filter(|r| *r > 0.0 && !(guess && destination.chart.iter().any(found)));
        let paced = pace.map_or(0.0, |r| 1.0 / r);
        sec((destination.latency.seconds() / self.call_cap(destination) as f64).max(paced)).max(1)
    }

    /// How far its pace has run ahead: calls saved up go at once, and debts come first. On the chart a call
    /// ends a whole step of the pace after it left; in truth it takes the latency alone.
    pub(super) fn pace_credit(&self, id: DestinationId) -> Ns {
        let pool = self.pools.get(&(id, None)).filter(|pool| pool.limit.is_some());
        let Some((pool, rate)) = pool.and_then(|pool| Some((pool, pool.rate?))) else { return 0 };
        let idle = (1.0 / rate - self.dests[&id].latency.seconds()).max(0.0);
        sec((pool.filled_up(self.now) - 1.0) / rate + idle)
    }

    /// Calls that this courier may have out at a destination.
    pub(super) fn call_cap(&self, destination: &Destination) -> usize {
        destination.recent.cap(self.set.slots)
    }

    pub(super) fn hold(&mut self, id: MessageId, out: &mut Vec<Action>) {
        let dest = self.messages[&id].dest;
        let soonest = self.now + sec(self.dests[&dest].latency.seconds());
        while self.messages[&id].due < soonest && self.postpone(id) {}
        let (due, sigma) = (self.messages[&id].due, self.sigma(dest));
        let chart = &mut self.destination(dest).chart;
        chart.set_sigma(sigma);
        chart.insert(due, id);
        self.make_feasible(dest, out);
    }

    /// Where a message stands that cannot meet its due: by steps from its aim to its end, as long as it is
    /// worth something there; and what it loses by that. With no later place it loses all.
    fn later_due(&self, message: &Message) -> (Option<Ns>, f64) {
        let steps = SETBACKS.map(|part| message.end - ((message.end - message.aim) as f64 * part) as Ns);
        let next = steps.into_iter().find(|at| *at > message.due && self.set.worth(message, *at) > 0.0);
        (next, self.set.worth(message, message.due) - next.map_or(0.0, |at| self.set.worth(message, at)))
    }

    /// Gives up its due for a later one, if there is one.
    fn postpone(&mut self, id: MessageId) -> bool {
        let message = &self.messages[&id];
        let (dest, due) = (message.dest, message.due);
        let Some(next) = self.later_due(message).0 else { return false };
        let message = self.messages.get_mut(&id).expect("held");
        (message.late, message.due) = (true, next);
        let chart = &mut self.destination(dest).chart;
        if chart.remove(due, id) {
            chart.insert(next, id);
        }
        self.miss(id);
        true
    }

    /// While the first busy segment starts before now, one of its messages gives way. Departure: it is only
    /// set back while late worth remains, and refused after that.
    fn make_feasible(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        let from = self.now - self.pace_credit(dest);
        while let Some(first) = self.destination(dest).chart.overdue(from) {
            let victim = self.victim(&first);
            if !self.postpone(victim) {
                self.give_up(victim, out);
            }
        }
    }

    /// The message to give way: of the group that has missed least, weighted by worth, one that no restart
    /// has found untried, the one that loses least by it; of these the one with most time left.
    pub(super) fn victim(&self, candidates: &[MessageId]) -> MessageId {
        let score = |id: &MessageId| {
            let message = &self.messages[id];
            let weight = if self.set.tenants > 0 { 1.0 } else { self.set.classes[message.class].worth };
            self.miss_ratios.ratio(message.group) * weight
        };
        let by = |a: &&MessageId, b: &&MessageId| {
            let (x, y) = (&self.messages[*a], &self.messages[*b]);
            let loss = self.later_due(x).1.total_cmp(&self.later_due(y).1);
            score(a)
                .total_cmp(&score(b))
                .then(x.found.cmp(&y.found))
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

    /// Late refusal, and the end of messages whose time is nearly up; then the chart.
    pub(super) fn end_hopeless(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        // What would be too late once the destination opens is answered now: waiting cannot help it.
        let opens = self.now.max(self.open_from(dest));
        let start = |message: &Message| if message.is_waiting() { opens } else { self.now };
        let over = |message: &Message| {
            self.answer_by(message) <= start(message) || message.is_waiting() && !self.may_try(message, opens)
        };
        let open = self.dests[&dest].members.iter().filter(|id| !self.messages[id].over);
        for id in open.filter(|id| over(&self.messages[id])).copied().collect::<Vec<_>>() {
            self.give_up(id, out);
        }
        let sigma = self.sigma(dest);
        self.destination(dest).chart.set_sigma(sigma);
        self.make_feasible(dest, out);
    }

    /// Spreads attempts over the time left: an outage or a rush may outlast quick retries.
    pub(super) fn back_off(&mut self, id: MessageId, full: bool) {
        let (random, message) = (self.jitter(), self.messages.get_mut(&id).expect("known"));
        let left = self.set.attempt_cap.saturating_sub(message.attempts);
        let share = match (left, full) {
            (left, _) if left <= LAST_ATTEMPTS => 1.0 / f64::from(left + 1),
            (_, false) if message.attempts > 1 => RETRY_SHARE * 3f64.powi(message.attempts as i32 - 2),
            _ => return,
        };
        message.not_before = self.now + sec(secs(message.end - self.now) * random * share);
    }

    /// Ends a message undelivered: refused if that is known to be harmless, else given up as failed.
    pub(super) fn give_up(&mut self, id: MessageId, out: &mut Vec<Action>) {
        self.miss(id);
        let message = &self.messages[&id];
        let harmless = match self.set.classes[message.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { scope: KeyScope::All, .. } => message.is_waiting(),
            _ => message.is_waiting() && message.ran.is_none(),
        };
        let refuse = Action::Refuse { message: id, wait: self.retry_after(message.dest) };
        out.push(if harmless { refuse } else { Action::Fail { message: id } });
        self.close(id);
    }

    /// When a refused client may come again: what is held there has had time to go, and a wait is over.
    pub(super) fn retry_after(&self, dest: DestinationId) -> Option<Duration> {
        let queue = self.sigma(dest) * self.dests[&dest].chart.len() as Ns;
        let wait = span((self.open_from(dest) - self.now).max(queue).max(sec(FULL_PAUSE)));
        self.set.retry_after.map(|most| wait.min(most))
    }

    pub(super) fn close(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.live -= usize::from(!std::mem::replace(&mut message.over, true));
        self.found -= usize::from(std::mem::take(&mut message.found));
        let (dest, due, out) = (message.dest, message.due, message.flight.is_some());
        self.destination(dest).chart.remove(due, id);
        self.touched.insert(dest);
        if !out && let Some(message) = self.messages.remove(&id) {
            self.destination(dest).members.remove(&id);
            if let Some(line) = message.key.and_then(|key| self.turns.get_mut(&key)) {
                line.retain(|other| *other != id);
                self.touched.extend(line.front().map(|next| self.messages[next].dest));
            }
            self.turns.retain(|_, line| !line.is_empty());
            self.rests.retain(|_, (_, until)| *until > self.now);
        }
    }
}
