//! The limits that blocked orders would have exceeded, with a counter of each.

use crate::interface::OrderId;
use std::ops::AddAssign;
use thiserror::Error;

/// A limit that an order would have exceeded.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Violation {
    /// No report has shown the contents yet, or they have become unknown.
    #[error("the contents of the endpoint are unknown")]
    UnknownContents,
    /// An earlier order may have been accepted, and no report has resolved it.
    #[error("order {} may have been accepted, and no report has resolved it", .0.0)]
    OrderPending(OrderId),
    /// The order names another revision than that of the known contents.
    #[error("the contents are known at revision {known}, the order names {expected}")]
    WrongRevision {
        /// Revision of the known contents.
        known: u64,
        /// Revision that the order names.
        expected: u64,
    },
    /// The load exceeds the endpoint's memory.
    #[error("{needed_mb} MB are needed, the capacity is {capacity_mb} MB")]
    ExceedsCapacity {
        /// Memory taken after the load, MB.
        needed_mb: f64,
        /// Memory of the endpoint, MB.
        capacity_mb: f64,
    },
    /// The load exceeds the endpoint's number of adapters.
    #[error("{needed} adapters are needed, the limit is {limit}")]
    ExceedsAdapterLimit {
        /// Adapters after the load.
        needed: usize,
        /// Adapters that the endpoint may have.
        limit: usize,
    },
}

/// Counts of blocked orders by the limit that they would have exceeded. All are zero unless the planner has a bug.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InvariantViolations {
    unknown_contents: u64,
    order_pending: u64,
    wrong_revision: u64,
    exceeds_capacity: u64,
    exceeds_adapter_limit: u64,
}

impl InvariantViolations {
    /// Orders to endpoints with unknown contents.
    pub fn unknown_contents(&self) -> u64 {
        self.unknown_contents
    }

    /// Orders while an earlier one was unresolved.
    pub fn order_pending(&self) -> u64 {
        self.order_pending
    }

    /// Orders with another revision than that of the known contents.
    pub fn wrong_revision(&self) -> u64 {
        self.wrong_revision
    }

    /// Loads beyond `WeightsMb`.
    pub fn exceeds_capacity(&self) -> u64 {
        self.exceeds_capacity
    }

    /// Loads beyond `MaxAdapters`.
    pub fn exceeds_adapter_limit(&self) -> u64 {
        self.exceeds_adapter_limit
    }

    /// Blocked orders of all kinds.
    pub fn total(&self) -> u64 {
        self.unknown_contents
            + self.order_pending
            + self.wrong_revision
            + self.exceeds_capacity
            + self.exceeds_adapter_limit
    }

    pub(crate) fn count(&mut self, violation: &Violation) {
        let counter = match violation {
            Violation::UnknownContents => &mut self.unknown_contents,
            Violation::OrderPending(_) => &mut self.order_pending,
            Violation::WrongRevision { .. } => &mut self.wrong_revision,
            Violation::ExceedsCapacity { .. } => &mut self.exceeds_capacity,
            Violation::ExceedsAdapterLimit { .. } => &mut self.exceeds_adapter_limit,
        };
        *counter += 1;
    }
}

impl AddAssign for InvariantViolations {
    fn add_assign(&mut self, other: InvariantViolations) {
        self.unknown_contents += other.unknown_contents;
        self.order_pending += other.order_pending;
        self.wrong_revision += other.wrong_revision;
        self.exceeds_capacity += other.exceeds_capacity;
        self.exceeds_adapter_limit += other.exceeds_adapter_limit;
    }
}
