//! An order that an endpoint was given and that is not known to be over.

use crate::interface::{Item, Operation, Order, OrderId};
use std::time::Duration;

/// How long an adapter's load is taken to last, ms; it arrives in some ms.
const ADAPTER_PAUSE: Duration = Duration::from_millis(150);

/// How long after an urgent eviction its end is asked for; reports lag by some hundred ms.
const EVICT_QUESTION: Duration = Duration::from_millis(350);

/// How long an eviction may take before its end is asked for; longer than a heartbeat.
const EVICT_PATIENCE: Duration = Duration::from_millis(2_600);

/// Beyond a load's usual time, how long its end may go untold; longer than a heartbeat.
const LOAD_PATIENCE: Duration = Duration::from_millis(2_600);

/// How long an order without an answer may still reach its endpoint: its connection is reset a second after it
/// was sent, and what is on its way then takes less than the rest.
const IN_FLIGHT: Duration = Duration::from_millis(1_500);

/// A report may be this much older than its question.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Longest pause between two questions about the same order.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No answer yet.
    Sent,
    /// The endpoint said that it is being done.
    Taken,
    /// There will be no answer: it may have been taken.
    Lost,
}

/// An order under way at one endpoint.
#[derive(Debug, Clone)]
pub struct Underway {
    pub id: OrderId,
    pub operation: Operation,
    pub item: Item,
    /// Orders that the endpoint had taken when this one left.
    pub revision: u64,
    pub sent: Duration,
    pub stage: Stage,
    /// Whether the load is counted by the weight store.
    pub counted: bool,
    /// Whether requests wait for what the order makes possible.
    pub urgent: bool,
    /// Requests a second that the item got at the endpoint when the order left.
    pub rate: f64,
    /// When its effect should show, once it is taken.
    pub expected: Duration,
    /// When the endpoint is asked about it.
    pub ask_at: Option<Duration>,
    asked: u32,
}

/// When the end of an urgent eviction is asked for: not where a registration is about to tell it.
fn question(now: Duration, next_beat: Duration) -> Duration {
    let soon = now + EVICT_QUESTION * 2;
    if (now..soon).contains(&next_beat) { next_beat + EVICT_QUESTION } else { now + EVICT_QUESTION }
}

/// From when a report that does not count an order sent at `sent` tells that it was not taken and never will be.
pub fn refuted_at(sent: Duration) -> Duration {
    sent + IN_FLIGHT + REPORT_LAG
}

impl Underway {
    /// An order that goes out now and should take `lasts`.
    pub fn new(order: &Order, now: Duration, lasts: Duration) -> Underway {
        Underway {
            id: order.id,
            operation: order.operation,
            item: order.item(),
            revision: order.if_revision,
            sent: now,
            stage: Stage::Sent,
            counted: false,
            urgent: false,
            rate: 0.0,
            expected: now + lasts,
            ask_at: None,
            asked: 0,
        }
    }

    /// The endpoint took the order; its next registration should come at `next_beat`.
    pub fn taken(&mut self, now: Duration, next_beat: Duration) {
        self.stage = Stage::Taken;
        self.ask_at = Some(match self.operation {
            Operation::Evict if self.urgent => question(now, next_beat),
            Operation::Evict => now + EVICT_PATIENCE,
            Operation::Load => now + (self.expected - self.sent) * 2 + LOAD_PATIENCE,
        });
    }

    /// The order got no answer.
    pub fn lost(&mut self, now: Duration) {
        self.stage = Stage::Lost;
        self.ask_at = Some(now.max(self.sent + IN_FLIGHT));
    }

    /// The endpoint may tell more of it by then.
    pub fn ask_at(&mut self, at: Duration) {
        self.ask_at = Some(at);
    }

    /// From when a report that does not count it tells that it was not taken.
    pub fn refuted_at(&self) -> Duration {
        refuted_at(self.sent)
    }

    /// The endpoint is being asked now: when to ask again if nothing comes of it.
    pub fn asking(&mut self, now: Duration) {
        self.asked += 1;
        let pause = Duration::from_millis(500) * 2u32.pow(self.asked.min(5));
        self.ask_at = Some(now + pause.min(LONGEST_PAUSE));
    }

    /// Whether no answer has come yet.
    pub fn unanswered(&self) -> bool {
        self.stage == Stage::Sent
    }

    /// Whether the order may be taken to be over without a word: adapters arrive in some ms.
    pub fn over_by_time(&self, now: Duration) -> bool {
        self.stage == Stage::Taken
            && self.operation == Operation::Load
            && !self.item.is_model()
            && now >= self.sent + ADAPTER_PAUSE
    }

    /// When something is next to be done about it.
    pub fn next_wake(&self) -> Option<Duration> {
        let quick = self.stage == Stage::Taken && self.operation == Operation::Load && !self.item.is_model();
        if quick { Some(self.sent + ADAPTER_PAUSE) } else { self.ask_at }
    }
}
