//! How orders end: by an answer, a registration, a report, or a time-out.

use crate::contents::Contents;
use crate::endpoint::{Endpoint, Verification};
use crate::in_flight::{InFlightOrder, OrderStage};
use crate::interface::{EndpointReport, Item, Operation, OrderAnswer, OrderId};
use crate::order_log;
use crate::placer::Placer;
use std::sync::Arc;
use std::time::Duration;

/// First backoff after a rejected order; it doubles with each further one.
const REJECTION_BACKOFF: Duration = Duration::from_millis(200);

/// Number of doublings after which the backoff stays.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Delay before a busy endpoint, or one whose report was outdated, is polled again.
pub(crate) const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What a report shows about the contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportKind {
    /// Nothing yet: the report may be older than the order in flight, or that order is not done.
    Inconclusive,
    /// The report is older than an accepted order.
    Outdated,
    /// An order is being executed: the unanswered one, one that was presumed done, or one of another placer.
    Busy,
    /// The contents after the reported number of orders; none is being executed.
    Idle,
}

impl Placer {
    /// Applies the answer to an order, or that there will be none.
    pub fn order_answered(&mut self, now: Duration, id: OrderId, answer: OrderAnswer) {
        self.set_now(now);
        let Some(instance) = self.orders.get(&id).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&instance) else { return };
        order_log::answered(now, id, &instance, answer);
        self.guard.answered(&instance, id, answer);
        match answer {
            OrderAnswer::Accepted => {
                endpoint.order_accepted(now);
                self.load_limiter.accepted(id, now);
                let registered = endpoint.registered;
                self.complete_if_advertised(now, &instance, registered);
            }
            OrderAnswer::AlreadyDone => {
                self.load_limiter.cancel(id);
                endpoint.invalidate(now);
                self.complete_order(&instance, now);
            }
            OrderAnswer::Unknown => {
                if let Some(order) = endpoint.order.as_mut() {
                    order.unacknowledged(now);
                }
            }
            rejection => self.order_rejected(now, &instance, id, rejection),
        }
        self.plan_soon(now);
    }

    /// Applies a report of an endpoint.
    pub fn apply_report(&mut self, now: Duration, id: &str, report: &EndpointReport) {
        self.set_now(now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let id = endpoint.id.clone();
        order_log::reported(now, &id, report);
        self.guard.reported(now, &id, report, &self.catalog);
        match endpoint.classify_report(now, report) {
            ReportKind::Inconclusive => {}
            ReportKind::Outdated | ReportKind::Busy => endpoint.request_again(now, report),
            ReportKind::Idle => {
                let contents = Contents::from_listing(&report.models, &self.catalog);
                let order = endpoint.order.take();
                endpoint.verify(now, contents, report.sequence);
                if let Some(order) = order {
                    self.close_order(&id, &order, now);
                }
            }
        }
        self.plan_soon(now);
    }

    /// Completes the order in flight if the newest registration shows its effect. `before` is when the endpoint
    /// registered before that.
    pub(crate) fn complete_if_advertised(&mut self, now: Duration, id: &Arc<str>, before: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(id).filter(|endpoint| endpoint.advertises_effect())
        else {
            return;
        };
        let Some(order) = endpoint.order.as_mut() else { return };
        if order.stage == OrderStage::Unacknowledged {
            // Either the order was accepted, or the registration predates it. The revision in a report shows which.
            order.poll_at(now);
            return;
        }
        if order.uses_store {
            let usual = self.catalog.load_time(&order.item.model);
            self.load_limiter.observe(before.saturating_sub(order.sent), usual);
        }
        self.complete_order(id, now);
    }

    /// Ends the order of an endpoint that was executed.
    pub(crate) fn complete_order(&mut self, id: &Arc<str>, now: Duration) {
        let order = self.endpoints.get_mut(id).and_then(|endpoint| endpoint.finish_order(now));
        if let Some(order) = order {
            self.close_order(id, &order, now);
        }
    }

    /// Updates the records after the order of an endpoint has ended, whatever its outcome.
    fn close_order(&mut self, id: &Arc<str>, order: &InFlightOrder, now: Duration) {
        order_log::closed(now, id, order);
        self.orders.remove(&order.id);
        self.load_limiter.finish(order.id, now);
        if order.operation == Operation::Evict && order.item.is_model() {
            self.drain.observe(order.request_rate, now.saturating_sub(order.sent));
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let used_reservation = endpoint.reservation.as_ref().is_some_and(|reservation| {
            order.operation == Operation::Load && order.item == Item::model(reservation.model.clone())
        });
        if used_reservation {
            endpoint.reservation = None;
        }
    }

    fn order_rejected(&mut self, now: Duration, id: &Arc<str>, order: OrderId, answer: OrderAnswer) {
        self.load_limiter.cancel(order);
        self.orders.remove(&order);
        self.fenced |= answer == OrderAnswer::Fenced;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.order = None;
        endpoint.rejections += 1;
        endpoint.not_before =
            now + REJECTION_BACKOFF * 2u32.pow(endpoint.rejections.min(MAX_BACKOFF_DOUBLINGS));
        match answer {
            OrderAnswer::Conflict | OrderAnswer::Invalid => endpoint.invalidate(endpoint.not_before),
            OrderAnswer::WrongInstance => endpoint.ready = false,
            _ => {}
        }
    }
}

impl Endpoint {
    /// Classifies a report, which may predate orders that were accepted since.
    fn classify_report(&self, now: Duration, report: &EndpointReport) -> ReportKind {
        if report.sequence < self.min_revision {
            return ReportKind::Outdated;
        }
        let Some(order) = self.order.as_ref() else {
            return if report.busy { ReportKind::Busy } else { ReportKind::Idle };
        };
        let is_counted = report.sequence > order.revision;
        match order.stage {
            OrderStage::Unacknowledged if is_counted && report.busy => ReportKind::Busy,
            OrderStage::Accepted | OrderStage::Unacknowledged if is_counted && !report.busy => {
                ReportKind::Idle
            }
            // The order was not accepted, and can no longer arrive.
            OrderStage::Unacknowledged if !report.busy && now >= order.known_lost_at() => ReportKind::Idle,
            OrderStage::Sent | OrderStage::Accepted | OrderStage::Unacknowledged => ReportKind::Inconclusive,
        }
    }

    /// Requests another report after one that did not show the contents, if these have to be known.
    fn request_again(&mut self, now: Duration, report: &EndpointReport) {
        if let Some(order) = self.order.as_mut() {
            if order.stage == OrderStage::Unacknowledged {
                order.poll_at(now + REPORT_RETRY_DELAY);
            }
            return;
        }
        let is_foreign = self.revision().is_some_and(|revision| report.sequence > revision);
        if is_foreign || matches!(self.verification, Verification::Requested { .. }) {
            self.invalidate(now + REPORT_RETRY_DELAY);
        }
    }
}
