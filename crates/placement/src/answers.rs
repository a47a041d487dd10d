//! How orders end: by an answer, by a registration, by a report, or by time.

use crate::endpoint::{Endpoint, Verification};
use crate::interface::{EndpointReport, Item, Operation, OrderAnswer, OrderId};
use crate::order_log;
use crate::placer::Placer;
use crate::underway::{IN_FLIGHT, Stage, Underway};
use std::sync::Arc;
use std::time::Duration;

/// How long a finished load is counted without being shown; longer than a heartbeat.
const UNSHOWN: Duration = Duration::from_millis(2_600);

/// First pause after a refused order; it doubles with each further one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Most doublings of that pause.
const MOST_DOUBLINGS: u32 = 5;

/// A report may be this much older than its question.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// How soon a busy endpoint is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(500);

impl Placer {
    /// An order was answered, or will get no answer.
    pub fn order_answered(&mut self, now: Duration, id: OrderId, answer: OrderAnswer) {
        self.set_now(now);
        let Some(instance) = self.orders.get(&id).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&instance) else { return };
        order_log::answered(now, id, &instance, answer);
        match answer {
            OrderAnswer::Accepted => {
                endpoint.taken(now);
                self.store.taken(id, now);
                let registered = endpoint.registered;
                self.settle_shown(now, &instance, registered);
            }
            OrderAnswer::AlreadyDone => self.already_done(now, &instance, id),
            OrderAnswer::Unknown => endpoint.lost(now),
            refusal => self.refused(now, &instance, id, refusal),
        }
        self.plan_soon(now);
    }

    /// An endpoint told of itself.
    pub fn report(&mut self, now: Duration, id: &str, report: &EndpointReport) {
        self.set_now(now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let id = endpoint.id.clone();
        order_log::reported(now, &id, report);
        endpoint.reported(now, &report.models, &self.catalog);
        endpoint.verified(now, report);
        if endpoint.order_is_over(report, now) {
            self.close_order(&id, now);
        }
        self.plan_soon(now);
    }

    /// Ends the order of an endpoint whose effect a registration shows; `before` is when the endpoint
    /// registered before that.
    pub(crate) fn settle_shown(&mut self, now: Duration, id: &Arc<str>, before: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(order) = endpoint.order.as_ref() else { return };
        let shown = endpoint.holds(&order.item);
        let over = order.stage != Stage::Sent && shown == (order.operation == Operation::Load);
        if !over {
            return;
        }
        if order.counted && order.stage == Stage::Taken {
            let usual = self.catalog.load_time(&order.item.model);
            self.store.measured(before.saturating_sub(order.sent), usual);
        }
        self.close_order(id, now);
    }

    /// The order of an endpoint is over, whatever came of it.
    pub(crate) fn close_order(&mut self, id: &Arc<str>, now: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(order) = endpoint.order.take() else { return };
        order_log::closed(now, id, &order);
        self.orders.remove(&order.id);
        self.store.ended(order.id, now);
        match order.operation {
            Operation::Load => endpoint.expected_until(&order.item, now + UNSHOWN),
            Operation::Evict => endpoint.stays(&order.item),
        }
        let fulfilled = endpoint.intent.as_ref().is_some_and(|intent| {
            order.operation == Operation::Load && order.item == Item::model(intent.model.clone())
        });
        if fulfilled {
            endpoint.intent = None;
        }
    }

    fn already_done(&mut self, now: Duration, id: &Arc<str>, order: OrderId) {
        self.store.refused(order);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.revision = None;
        if let Some(order) = endpoint.order.as_ref().filter(|order| order.operation == Operation::Evict) {
            let item = order.item.clone();
            endpoint.drop_item(&item, now);
        }
        self.close_order(id, now);
    }

    fn refused(&mut self, now: Duration, id: &Arc<str>, order: OrderId, answer: OrderAnswer) {
        self.store.refused(order);
        self.fenced |= answer == OrderAnswer::Fenced;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(order) = endpoint.order.take() else { return };
        self.orders.remove(&order.id);
        endpoint.undo(&order);
        endpoint.refusals += 1;
        endpoint.not_before = now + REFUSAL_PAUSE * 2u32.pow(endpoint.refusals.min(MOST_DOUBLINGS));
        match answer {
            OrderAnswer::Conflict => endpoint.conflict(now),
            OrderAnswer::WrongInstance => endpoint.ready = false,
            _ => {}
        }
    }
}

impl Endpoint {
    fn taken(&mut self, now: Duration) {
        self.refusals = 0;
        self.revision = self.revision.map(|revision| revision + 1);
        self.last_taken = Some(now);
        let next_beat = self.registered + self.beat;
        if let Some(order) = self.order.as_mut() {
            order.taken(now, next_beat);
        }
    }

    fn lost(&mut self, now: Duration) {
        self.revision = None;
        if let Some(order) = self.order.as_mut() {
            order.lost(now);
        }
    }

    /// Takes back what was noted when an order went out that was not taken.
    fn undo(&mut self, order: &Underway) {
        match order.operation {
            Operation::Load => self.unexpect(&order.item),
            Operation::Evict => self.stays(&order.item),
        }
    }

    /// Either an order of this placer was not over yet, or somebody else gave one.
    fn conflict(&mut self, now: Duration) {
        self.revision = None;
        let own = self.last_taken.is_some_and(|taken| now < taken + REPORT_LAG);
        if !own {
            self.verification = Verification::Wanted { not_before: self.not_before };
        }
    }

    fn verified(&mut self, now: Duration, report: &EndpointReport) {
        let Verification::Asked { at } = self.verification else { return };
        if report.busy {
            self.verification = Verification::Wanted { not_before: now + BUSY_PAUSE };
            return;
        }
        self.verification = Verification::Settled;
        let current = self.order.is_none() && self.last_taken.is_none_or(|taken| taken + REPORT_LAG < at);
        self.revision = current.then_some(report.sequence);
    }

    /// Whether a report tells that the order under way is over, done or not.
    fn order_is_over(&mut self, report: &EndpointReport, now: Duration) -> bool {
        let Some(order) = self.order.as_ref().filter(|order| order.stage != Stage::Sent) else {
            return false;
        };
        let listed = listed(report, &order.item);
        if listed == (order.operation == Operation::Load) {
            return true;
        }
        // A report that lacks it tells something only once it cannot be older than the order's arrival.
        let settled_at = match order.stage {
            Stage::Lost => order.sent + IN_FLIGHT + REPORT_LAG,
            Stage::Sent | Stage::Taken => order.expected.max(order.sent) + REPORT_LAG,
        };
        if report.busy || now < settled_at {
            return false;
        }
        // It was not taken, or came to nothing: what it was to bring takes no room.
        let order = order.clone();
        if order.stage == Stage::Taken && order.operation == Operation::Evict {
            return false;
        }
        self.undo(&order);
        self.revision = Some(report.sequence);
        true
    }
}

fn listed(report: &EndpointReport, item: &Item) -> bool {
    report.models.iter().any(|held| {
        let adapter = item.adapter.as_ref();
        *held.name == *item.model
            && adapter.is_none_or(|adapter| held.adapters.iter().any(|a| **a == **adapter))
    })
}
