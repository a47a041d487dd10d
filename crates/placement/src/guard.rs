//! The last check before an order is sent: no order may exceed a limit of its endpoint, even if the planner has a bug.
//!
//! The guard keeps its own record of each endpoint, from reports, orders and answers alone. A record begins with a
//! report of the idle endpoint and continues with the orders that it accepted. The endpoint executes one order at a
//! time, and each order names the revision it relies on, so an accepted eviction is done before a later load begins.

use crate::catalog::Catalog;
use crate::contents::Contents;
use crate::in_flight::known_lost_at;
use crate::interface::{EndpointReport, Item, Operation, Order, OrderAnswer, OrderId};
use crate::violation::{InvariantViolations, Violation};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An order that was sent and is not known to be done or rejected.
#[derive(Debug)]
struct OpenOrder {
    id: OrderId,
    operation: Operation,
    item: Item,
    sent: Duration,
}

/// The contents of an endpoint at a revision.
#[derive(Debug)]
struct KnownContents {
    revision: u64,
    contents: Contents,
}

/// The contents that one incarnation of an endpoint may have, and its unresolved order.
#[derive(Debug, Default)]
struct EndpointRecord {
    known: Option<KnownContents>,
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
            let contents = Contents::from_listing(&report.models, catalog);
            record.known = Some(KnownContents { revision: report.sequence, contents });
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
        let Some(known) = &self.known else { return Err(Violation::UnknownContents) };
        if known.revision != order.if_revision {
            return Err(Violation::WrongRevision { known: known.revision, expected: order.if_revision });
        }
        match order.operation {
            Operation::Load => check_load(&known.contents, &order.item(), catalog),
            Operation::Evict => Ok(()),
        }
    }

    fn apply_open_order(&mut self) {
        let Some(open) = self.open.take() else { return };
        let Some(known) = self.known.as_mut() else { return };
        known.revision += 1;
        match open.operation {
            Operation::Load => known.contents.add(&open.item),
            Operation::Evict => known.contents.remove(&open.item),
        }
    }

    /// Whether a report shows the contents and the outcome of an unanswered order.
    fn is_resolved_by(&self, now: Duration, report: &EndpointReport) -> bool {
        let revision = self.known.as_ref().map_or(0, |known| known.revision);
        if report.busy || report.sequence < revision {
            return false;
        }
        let known_lost = |open: &OpenOrder| now >= known_lost_at(open.sent);
        self.open.as_ref().is_none_or(|open| report.sequence > revision || known_lost(open))
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
