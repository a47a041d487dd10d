//! An order that was sent to an endpoint and is not known to be done.
//!
//! An order ends by an answer, a registration, a report or a time-out. While neither an answer nor a registration ends
//! it, the endpoint is polled for a report, with exponential backoff.

use crate::interface::{Item, Operation, Order, OrderId};
use std::time::Duration;

/// After this an accepted adapter load is presumed done; it takes some ms.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(150);

/// Delay from an urgent eviction to the first poll; reports lag by some hundred ms.
const EVICT_POLL_DELAY: Duration = Duration::from_millis(350);

/// Delay from any other eviction to the first poll; longer than a heartbeat interval.
const EVICT_TIMEOUT: Duration = Duration::from_millis(2_600);

/// A load is first polled for this long after twice its expected time; longer than a heartbeat interval.
const LOAD_GRACE: Duration = Duration::from_millis(2_600);

/// Time after which an unanswered order can no longer reach its endpoint: its connection is reset a second after it
/// was sent, and packets under way take less than the rest.
const IN_FLIGHT: Duration = Duration::from_millis(1_500);

/// Largest age of a report when it arrives.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Longest delay between two polls about one order.
const MAX_POLL_BACKOFF: Duration = Duration::from_secs(8);

/// Stage of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderStage {
    /// Not answered yet.
    Sent,
    /// Accepted by the endpoint, and not known to be done.
    Accepted,
    /// There will be no answer; the endpoint may have accepted it.
    Unacknowledged,
}

/// An order in flight to one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct InFlightOrder {
    pub id: OrderId,
    pub operation: Operation,
    pub item: Item,
    /// Revision of the endpoint when the order was sent.
    pub revision: u64,
    pub sent: Duration,
    pub stage: OrderStage,
    /// Whether the load counts against the rate limit of the weight store.
    pub uses_store: bool,
    /// Whether requests wait for this load, or for the load that this eviction makes room for.
    pub urgent: bool,
    /// Rate of the item at the endpoint when the order was sent, requests/s.
    pub request_rate: f64,
    /// When the effect should be visible, if the order is accepted.
    pub expected: Duration,
    /// When the endpoint is next polled about it.
    pub poll_at: Option<Duration>,
    polls: u32,
}

/// When the endpoint is polled for the end of an urgent eviction; later if a registration is about to show it.
fn eviction_poll(now: Duration, next_heartbeat: Duration) -> Duration {
    let soon = now + EVICT_POLL_DELAY * 2;
    if (now..soon).contains(&next_heartbeat) {
        next_heartbeat + EVICT_POLL_DELAY
    } else {
        now + EVICT_POLL_DELAY
    }
}

/// From this time on, a report that does not count an order sent at `sent` proves that it was not accepted and never
/// will be.
pub(crate) fn known_lost_at(sent: Duration) -> Duration {
    sent + IN_FLIGHT + REPORT_LAG
}

impl InFlightOrder {
    /// An order that is sent now and should take `duration`.
    pub(crate) fn new(order: &Order, now: Duration, duration: Duration) -> InFlightOrder {
        InFlightOrder {
            id: order.id,
            operation: order.operation,
            item: order.item(),
            revision: order.if_revision,
            sent: now,
            stage: OrderStage::Sent,
            uses_store: false,
            urgent: false,
            request_rate: 0.0,
            expected: now + duration,
            poll_at: None,
            polls: 0,
        }
    }

    /// The endpoint accepted the order; its next registration is due at `next_heartbeat`.
    pub(crate) fn accepted(&mut self, now: Duration, next_heartbeat: Duration) {
        self.stage = OrderStage::Accepted;
        self.poll_at = Some(match self.operation {
            Operation::Evict if self.urgent => eviction_poll(now, next_heartbeat),
            Operation::Evict => now + EVICT_TIMEOUT,
            Operation::Load => now + (self.expected - self.sent) * 2 + LOAD_GRACE,
        });
    }

    /// The order will get no answer.
    pub(crate) fn unacknowledged(&mut self, now: Duration) {
        self.stage = OrderStage::Unacknowledged;
        self.poll_at = Some(now.max(self.sent + IN_FLIGHT));
    }

    /// Schedules the next poll of the endpoint.
    pub(crate) fn poll_at(&mut self, at: Duration) {
        self.poll_at = Some(at);
    }

    /// From this time on, a report that does not count the order proves that it was not accepted.
    pub(crate) fn known_lost_at(&self) -> Duration {
        known_lost_at(self.sent)
    }

    /// The endpoint is polled now; schedules the next poll.
    pub(crate) fn polled(&mut self, now: Duration) {
        self.polls += 1;
        let backoff = Duration::from_millis(500) * 2u32.pow(self.polls.min(5));
        self.poll_at = Some(now + backoff.min(MAX_POLL_BACKOFF));
    }

    /// Whether the order has not been answered yet.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.stage == OrderStage::Sent
    }

    /// Whether the order is presumed done without confirmation, as adapters load in some ms.
    pub(crate) fn is_presumed_done(&self, now: Duration) -> bool {
        self.stage == OrderStage::Accepted
            && self.operation == Operation::Load
            && !self.item.is_model()
            && now >= self.sent + ADAPTER_LOAD_TIME
    }

    /// When the order next has to be polled for or presumed done.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        let quick =
            self.stage == OrderStage::Accepted && self.operation == Operation::Load && !self.item.is_model();
        if quick { Some(self.sent + ADAPTER_LOAD_TIME) } else { self.poll_at }
    }
}
