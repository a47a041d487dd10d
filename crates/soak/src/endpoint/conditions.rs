//! Troubles of one endpoint that outlast its lives.

use std::cell::Cell;

/// A trouble that may be there several times at once.
#[derive(Debug, Default)]
pub struct Condition(Cell<u32>);

impl Condition {
    /// It begins, or ends, once.
    pub fn set(&self, is_on: bool) {
        self.0.set(if is_on { self.0.get() + 1 } else { self.0.get().saturating_sub(1) });
    }

    /// Whether it is there.
    pub fn is_on(&self) -> bool {
        self.0.get() > 0
    }
}

/// The troubles of one endpoint.
#[derive(Debug, Default)]
pub struct Conditions {
    pub slow: Condition,
    pub orders_delayed: Condition,
    pub order_answers_lost: Condition,
    pub heartbeats_late: Condition,
    pub heartbeats_held: Condition,
    pub heartbeat_answers_lost: Condition,
}
