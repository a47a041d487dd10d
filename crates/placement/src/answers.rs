//! How orders end: by an answer, by a registration, by a report, or by time.

use crate::contents::Contents;
use crate::endpoint::{Endpoint, Verification};
use crate::interface::{EndpointReport, Item, Operation, OrderAnswer, OrderId};
use crate::order_log;
use crate::placer::Placer;
use crate::underway::{Stage, Underway};
use std::sync::Arc;
use std::time::Duration;

/// First pause after a refused order; it doubles with each further one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Most doublings of that pause.
const MOST_DOUBLINGS: u32 = 5;

/// How soon an endpoint is asked again that is at work, or whose report was too old.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(500);

/// What a report says of what the endpoint holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    /// Nothing yet: it may be older than the order under way, or that one is not over.
    Nothing,
    /// It is older than an order that was taken.
    Outdated,
    /// An order is being carried out: perhaps the one without an answer, or one that was thought to be over, or one that
    /// is not this placer's.
    Busy,
    /// What the endpoint holds after its count of orders; no order is under way there.
    AtRest,
}

impl Placer {
    /// An order was answered, or will get no answer.
    pub fn order_answered(&mut self, now: Duration, id: OrderId, answer: OrderAnswer) {
        self.set_now(now);
        let Some(instance) = self.orders.get(&id).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&instance) else { return };
        order_log::answered(now, id, &instance, answer);
        self.guard.answered(&instance, id, answer);
        match answer {
            OrderAnswer::Accepted => {
                endpoint.taken(now);
                self.store.taken(id, now);
                let registered = endpoint.registered;
                self.settle_shown(now, &instance, registered);
            }
            OrderAnswer::AlreadyDone => {
                self.store.refused(id);
                endpoint.doubt(now);
                self.order_done(&instance, now);
            }
            OrderAnswer::Unknown => {
                if let Some(order) = endpoint.order.as_mut() {
                    order.lost(now);
                }
            }
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
        self.guard.reported(now, &id, report, &self.catalog);
        match endpoint.read(now, report) {
            Reading::Nothing => {}
            Reading::Outdated | Reading::Busy => endpoint.ask_again(now, report),
            Reading::AtRest => {
                let contents = Contents::told(&report.models, &self.catalog);
                let order = endpoint.order.take();
                endpoint.verified(now, contents, report.sequence);
                if let Some(order) = order {
                    self.order_over(&id, &order, now);
                }
            }
        }
        self.plan_soon(now);
    }

    /// Ends the order of an endpoint whose effect a registration shows; `before` is when the endpoint
    /// registered before that.
    pub(crate) fn settle_shown(&mut self, now: Duration, id: &Arc<str>, before: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(id).filter(|endpoint| endpoint.shows_effect()) else {
            return;
        };
        let Some(order) = endpoint.order.as_mut() else { return };
        if order.stage == Stage::Lost {
            // It says that the order was taken, or is older than it. The count of orders tells which.
            order.ask_at(now);
            return;
        }
        if order.counted {
            let usual = self.catalog.load_time(&order.item.model);
            self.store.measured(before.saturating_sub(order.sent), usual);
        }
        self.order_done(id, now);
    }

    /// The order of an endpoint has been carried out.
    pub(crate) fn order_done(&mut self, id: &Arc<str>, now: Duration) {
        let order = self.endpoints.get_mut(id).and_then(|endpoint| endpoint.done(now));
        if let Some(order) = order {
            self.order_over(id, &order, now);
        }
    }

    /// The order of an endpoint is over, whatever came of it.
    fn order_over(&mut self, id: &Arc<str>, order: &Underway, now: Duration) {
        order_log::closed(now, id, order);
        self.orders.remove(&order.id);
        self.store.ended(order.id, now);
        if order.operation == Operation::Evict && order.item.is_model() {
            self.drain.measured(order.rate, now.saturating_sub(order.sent));
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let fulfilled = endpoint.intent.as_ref().is_some_and(|intent| {
            order.operation == Operation::Load && order.item == Item::model(intent.model.clone())
        });
        if fulfilled {
            endpoint.intent = None;
        }
    }

    fn refused(&mut self, now: Duration, id: &Arc<str>, order: OrderId, answer: OrderAnswer) {
        self.store.refused(order);
        self.orders.remove(&order);
        self.fenced |= answer == OrderAnswer::Fenced;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.order = None;
        endpoint.refusals += 1;
        endpoint.not_before = now + REFUSAL_PAUSE * 2u32.pow(endpoint.refusals.min(MOST_DOUBLINGS));
        match answer {
            OrderAnswer::Conflict | OrderAnswer::Invalid => endpoint.doubt(endpoint.not_before),
            OrderAnswer::WrongInstance => endpoint.ready = false,
            _ => {}
        }
    }
}

impl Endpoint {
    /// What a report says, which may be older than orders that were taken since.
    fn read(&self, now: Duration, report: &EndpointReport) -> Reading {
        if report.sequence < self.least_revision {
            return Reading::Outdated;
        }
        let Some(order) = self.order.as_ref() else {
            return if report.busy { Reading::Busy } else { Reading::AtRest };
        };
        let counted = report.sequence > order.revision;
        match order.stage {
            Stage::Lost if counted && report.busy => Reading::Busy,
            Stage::Taken | Stage::Lost if counted && !report.busy => Reading::AtRest,
            // It was not taken, and cannot arrive any more.
            Stage::Lost if !report.busy && now >= order.refuted_at() => Reading::AtRest,
            Stage::Sent | Stage::Taken | Stage::Lost => Reading::Nothing,
        }
    }

    /// A report did not tell what is held: it is asked for again, if it has to be known.
    fn ask_again(&mut self, now: Duration, report: &EndpointReport) {
        if let Some(order) = self.order.as_mut() {
            if order.stage == Stage::Lost {
                order.ask_at(now + ASK_AGAIN);
            }
            return;
        }
        let is_foreign = self.revision().is_some_and(|revision| report.sequence > revision);
        if is_foreign || matches!(self.verification, Verification::Asked { .. }) {
            self.doubt(now + ASK_AGAIN);
        }
    }
}
