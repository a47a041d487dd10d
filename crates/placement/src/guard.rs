//! The last check before an order is sent: whatever the planner believes, no order may exceed a limit of its endpoint.
//!
//! The guard keeps its own record of each endpoint, from reports, orders and answers alone. A record begins with a
//! report of the idle endpoint and continues with the orders that it accepted. The endpoint executes one order at a
//! time, and each order names the revision it relies on, so an accepted eviction is done before a later load begins.

use crate::catalog::Catalog;
use crate::contents::Contents;
use crate::in_flight::known_lost_at;
use crate::interface::{EndpointReport, Item, Operation, Order, OrderAnswer, OrderId};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// A limit that an order would have exceeded.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Violation {
    /// No report has told the contents, or they are no longer known.
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

/// Orders that were blocked, by what they would have exceeded. All are zero unless the planner is wrong.
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

    /// All of them.
    pub fn total(&self) -> u64 {
        self.unknown_contents
            + self.order_pending
            + self.wrong_revision
            + self.exceeds_capacity
            + self.exceeds_adapter_limit
    }

    fn count(&mut self, violation: &Violation) {
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

/// An order that was sent and is not known to be done or rejected.
#[derive(Debug)]
struct OpenOrder {
    id: OrderId,
    operation: Operation,
    item: Item,
    sent: Duration,
}

/// What one incarnation of an endpoint may have resident.
#[derive(Debug, Default)]
struct EndpointRecord {
    /// Revision, and the contents at that revision.
    known: Option<(u64, Contents)>,
    open: Option<OpenOrder>,
}

/// Records of all endpoints of a service.
#[derive(Debug, Default)]
pub(crate) struct OrderGuard {
    records: BTreeMap<Arc<str>, EndpointRecord>,
    violations: InvariantViolations,
}

impl OrderGuard {
    /// Orders that were blocked so far.
    pub(crate) fn violations(&self) -> InvariantViolations {
        self.violations
    }

    /// Allows an order to be sent.
    ///
    /// # Errors
    /// The limit that it would exceed; the violation is counted.
    pub(crate) fn permit(
        &mut self,
        now: Duration,
        order: &Order,
        catalog: &Catalog,
    ) -> Result<(), Violation> {
        let record = self.records.entry(order.instance.clone()).or_default();
        if let Err(violation) = record.check(order, catalog) {
            self.violations.count(&violation);
            return Err(violation);
        }
        let Order { id, operation, .. } = *order;
        record.open = Some(OpenOrder { id, operation, item: order.item(), sent: now });
        Ok(())
    }

    /// Records the answer to an order, or that there will be none.
    pub(crate) fn answered(&mut self, instance: &str, id: OrderId, answer: OrderAnswer) {
        let Some(record) = self.records.get_mut(instance) else { return };
        if record.open.as_ref().is_none_or(|open| open.id != id) {
            return;
        }
        match answer {
            OrderAnswer::Accepted => record.apply_open_order(),
            OrderAnswer::AlreadyDone | OrderAnswer::Conflict | OrderAnswer::Invalid => {
                record.open = None;
                record.known = None;
            }
            OrderAnswer::Fenced | OrderAnswer::WrongInstance | OrderAnswer::Unavailable => record.open = None,
            OrderAnswer::Unknown => {}
        }
    }

    /// Records a report, which shows the endpoint some hundred ms earlier.
    pub(crate) fn reported(
        &mut self,
        now: Duration,
        instance: &Arc<str>,
        report: &EndpointReport,
        catalog: &Catalog,
    ) {
        let record = self.records.entry(instance.clone()).or_default();
        if record.is_resolved_by(now, report) {
            record.known = Some((report.sequence, Contents::from_listing(&report.models, catalog)));
            record.open = None;
        }
    }

    /// Removes the record of an incarnation that has ended.
    pub(crate) fn forget(&mut self, instance: &str) {
        self.records.remove(instance);
    }
}

impl EndpointRecord {
    fn check(&self, order: &Order, catalog: &Catalog) -> Result<(), Violation> {
        if let Some(open) = &self.open {
            return Err(Violation::OrderPending(open.id));
        }
        let Some((known, contents)) = &self.known else { return Err(Violation::UnknownContents) };
        if *known != order.if_revision {
            return Err(Violation::WrongRevision { known: *known, expected: order.if_revision });
        }
        if order.operation == Operation::Load { check_load(contents, &order.item(), catalog) } else { Ok(()) }
    }

    fn apply_open_order(&mut self) {
        let Some(open) = self.open.take() else { return };
        let Some((revision, contents)) = self.known.as_mut() else { return };
        *revision += 1;
        match open.operation {
            Operation::Load => contents.add(&open.item),
            Operation::Evict => contents.remove(&open.item),
        }
    }

    /// Whether a report tells the contents, and what became of an unanswered order.
    fn is_resolved_by(&self, now: Duration, report: &EndpointReport) -> bool {
        let known = self.known.as_ref().map_or(0, |(revision, _)| *revision);
        if report.busy || report.sequence < known {
            return false;
        }
        let known_lost = |open: &OpenOrder| now >= known_lost_at(open.sent);
        self.open.as_ref().is_none_or(|open| report.sequence > known || known_lost(open))
    }
}

fn check_load(contents: &Contents, item: &Item, catalog: &Catalog) -> Result<(), Violation> {
    if contents.contains(item) {
        return Ok(());
    }
    let needed_mb = contents.used_mb(catalog) + catalog.size_mb(item);
    if needed_mb > catalog.capacity_mb {
        return Err(Violation::ExceedsCapacity { needed_mb, capacity_mb: catalog.capacity_mb });
    }
    let needed = contents.adapters() + usize::from(!item.is_model());
    if !item.is_model() && needed > catalog.max_adapters {
        return Err(Violation::ExceedsAdapterLimit { needed, limit: catalog.max_adapters });
    }
    Ok(())
}
