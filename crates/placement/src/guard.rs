//! The last check before an order leaves: whatever the planning believes, no order may break a limit of its endpoint.
//!
//! The guard keeps accounts of its own, from reports, orders and answers alone. Its account of an endpoint begins with
//! a report of it at rest, and goes on with the orders that it accepted. The endpoint executes one order at a time and
//! each order names the count of orders that it rests on, so an accepted eviction is over before a later load begins.

use crate::catalog::Catalog;
use crate::contents::Contents;
use crate::interface::{EndpointReport, Item, Operation, Order, OrderAnswer, OrderId};
use crate::underway::refuted_at;
use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// A limit that an order would have broken, had it left.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Violation {
    /// No report told what the endpoint holds, or something since then is not known.
    #[error("it is not known what the endpoint holds")]
    UnknownContents,
    /// An earlier order may have been taken, and no report told yet.
    #[error("order {0:?} may have been taken, and no report told")]
    OrderUnsettled(OrderId),
    /// The order expects another count of orders than the one at which the contents are known.
    #[error("the contents are known at revision {known}, the order expects {expected}")]
    WrongRevision { known: u64, expected: u64 },
    /// The load exceeds the endpoint's room.
    #[error("{needed_mb} MB are needed, there is room for {room_mb} MB")]
    BeyondRoom { needed_mb: f64, room_mb: f64 },
    /// The load exceeds the endpoint's places for adapters.
    #[error("{needed} adapters are needed, there are places for {places}")]
    BeyondAdapters { needed: usize, places: usize },
}

/// How often an order was held back, by what it would have broken. All are zero in a placer without mistakes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InvariantViolations {
    unknown_contents: u64,
    order_unsettled: u64,
    wrong_revision: u64,
    beyond_room: u64,
    beyond_adapters: u64,
}

impl InvariantViolations {
    /// Orders to endpoints of which it was not known what they hold.
    pub fn unknown_contents(&self) -> u64 {
        self.unknown_contents
    }

    /// Orders after one that may have been taken.
    pub fn order_unsettled(&self) -> u64 {
        self.order_unsettled
    }

    /// Orders that expected another count of orders than the one at which the contents are known.
    pub fn wrong_revision(&self) -> u64 {
        self.wrong_revision
    }

    /// Loads beyond `WeightsMb`.
    pub fn beyond_room(&self) -> u64 {
        self.beyond_room
    }

    /// Loads beyond `MaxAdapters`.
    pub fn beyond_adapters(&self) -> u64 {
        self.beyond_adapters
    }

    /// All of them.
    pub fn total(&self) -> u64 {
        self.unknown_contents
            + self.order_unsettled
            + self.wrong_revision
            + self.beyond_room
            + self.beyond_adapters
    }

    fn count(&mut self, violation: &Violation) {
        let counter = match violation {
            Violation::UnknownContents => &mut self.unknown_contents,
            Violation::OrderUnsettled(_) => &mut self.order_unsettled,
            Violation::WrongRevision { .. } => &mut self.wrong_revision,
            Violation::BeyondRoom { .. } => &mut self.beyond_room,
            Violation::BeyondAdapters { .. } => &mut self.beyond_adapters,
        };
        *counter += 1;
    }
}

impl AddAssign for InvariantViolations {
    fn add_assign(&mut self, other: InvariantViolations) {
        self.unknown_contents += other.unknown_contents;
        self.order_unsettled += other.order_unsettled;
        self.wrong_revision += other.wrong_revision;
        self.beyond_room += other.beyond_room;
        self.beyond_adapters += other.beyond_adapters;
    }
}

/// An order that left and is not known to be over or refused.
#[derive(Debug)]
struct OpenOrder {
    id: OrderId,
    operation: Operation,
    item: Item,
    sent: Duration,
}

/// What one incarnation of an endpoint may hold.
#[derive(Debug, Default)]
struct Account {
    /// What it holds once it is done with so many orders.
    known: Option<(u64, Contents)>,
    open: Option<OpenOrder>,
}

/// The accounts of all endpoints of a service.
#[derive(Debug, Default)]
pub struct OrderGuard {
    accounts: BTreeMap<Arc<str>, Account>,
    violations: InvariantViolations,
}

impl OrderGuard {
    /// How often an order was held back so far.
    pub fn violations(&self) -> InvariantViolations {
        self.violations
    }

    /// Lets an order leave, or counts why it must not.
    pub fn permit(&mut self, now: Duration, order: &Order, catalog: &Catalog) -> Result<(), Violation> {
        let account = self.accounts.entry(order.instance.clone()).or_default();
        if let Err(violation) = account.check(order, catalog) {
            self.violations.count(&violation);
            return Err(violation);
        }
        let Order { id, operation, .. } = *order;
        account.open = Some(OpenOrder { id, operation, item: order.item(), sent: now });
        Ok(())
    }

    /// An order was answered, or will get no answer.
    pub fn answered(&mut self, instance: &str, id: OrderId, answer: OrderAnswer) {
        let Some(account) = self.accounts.get_mut(instance) else { return };
        if account.open.as_ref().is_none_or(|open| open.id != id) {
            return;
        }
        match answer {
            OrderAnswer::Accepted => account.carry_out(),
            OrderAnswer::AlreadyDone | OrderAnswer::Conflict | OrderAnswer::Invalid => {
                account.open = None;
                account.known = None;
            }
            OrderAnswer::Fenced | OrderAnswer::WrongInstance | OrderAnswer::Unavailable => {
                account.open = None
            }
            OrderAnswer::Unknown => {}
        }
    }

    /// An endpoint told of itself, as it stood some hundred ms earlier.
    pub fn reported(
        &mut self,
        now: Duration,
        instance: &Arc<str>,
        report: &EndpointReport,
        catalog: &Catalog,
    ) {
        let account = self.accounts.entry(instance.clone()).or_default();
        if account.is_settled_by(now, report) {
            account.known = Some((report.sequence, Contents::told(&report.models, catalog)));
            account.open = None;
        }
    }

    /// An incarnation is gone, or nothing is remembered of it.
    pub fn forget(&mut self, instance: &str) {
        self.accounts.remove(instance);
    }
}

impl Account {
    fn check(&self, order: &Order, catalog: &Catalog) -> Result<(), Violation> {
        if let Some(open) = &self.open {
            return Err(Violation::OrderUnsettled(open.id));
        }
        let Some((known, contents)) = &self.known else { return Err(Violation::UnknownContents) };
        if *known != order.if_revision {
            return Err(Violation::WrongRevision { known: *known, expected: order.if_revision });
        }
        if order.operation == Operation::Load { check_load(contents, &order.item(), catalog) } else { Ok(()) }
    }

    fn carry_out(&mut self) {
        let Some(open) = self.open.take() else { return };
        let Some((revision, contents)) = self.known.as_mut() else { return };
        *revision += 1;
        match open.operation {
            Operation::Load => contents.add(&open.item),
            Operation::Evict => contents.remove(&open.item),
        }
    }

    /// Whether a report tells what is held, and what became of an order without an answer.
    fn is_settled_by(&self, now: Duration, report: &EndpointReport) -> bool {
        let known = self.known.as_ref().map_or(0, |(revision, _)| *revision);
        if report.busy || report.sequence < known {
            return false;
        }
        let refuted = |open: &OpenOrder| now >= refuted_at(open.sent);
        self.open.as_ref().is_none_or(|open| report.sequence > known || refuted(open))
    }
}

fn check_load(contents: &Contents, item: &Item, catalog: &Catalog) -> Result<(), Violation> {
    if contents.contains(item) {
        return Ok(());
    }
    let needed_mb = contents.used_mb(catalog) + catalog.size_mb(item);
    if needed_mb > catalog.room_mb {
        return Err(Violation::BeyondRoom { needed_mb, room_mb: catalog.room_mb });
    }
    let needed = contents.adapters() + usize::from(!item.is_model());
    if !item.is_model() && needed > catalog.max_adapters {
        return Err(Violation::BeyondAdapters { needed, places: catalog.max_adapters });
    }
    Ok(())
}
