//! What the log says of orders: what was believed of an endpoint as each left, and what became of it.

use crate::catalog::Catalog;
use crate::contents::Held;
use crate::endpoint::Endpoint;
use crate::interface::{EndpointReport, Item, Order, OrderAnswer, OrderId};
use crate::underway::Underway;
use lanegate_config::instance::{Instance, ResidentModel};
use std::fmt;
use std::time::Duration;

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            None => write!(f, "{}", self.model),
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
        }
    }
}

/// What is believed of an endpoint: the room that is counted, and for what.
pub struct Belief<'a> {
    pub endpoint: &'a Endpoint,
    pub catalog: &'a Catalog,
}

impl fmt::Display for Belief<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Belief { endpoint, catalog } = self;
        write!(f, "{} of {} MB, ", endpoint.used_mb(catalog), catalog.room_mb)?;
        write!(f, "{} of {} adapters, holds [", endpoint.adapters(), catalog.max_adapters)?;
        list(f, endpoint.contents.models().map(HeldLine))?;
        write!(f, "], shows [")?;
        list(f, endpoint.shown.models().map(HeldLine))?;
        write!(f, "]")
    }
}

struct HeldLine<'a>(&'a Held);

impl fmt::Display for HeldLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.model)?;
        self.0.adapters.iter().try_for_each(|adapter| write!(f, "+{adapter}"))
    }
}

/// Models as an endpoint tells them.
struct Told<'a>(&'a [ResidentModel]);

impl fmt::Display for Told<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        list(f, self.0.iter().map(ToldLine))
    }
}

struct ToldLine<'a>(&'a ResidentModel);

impl fmt::Display for ToldLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.name)?;
        self.0.adapters.iter().try_for_each(|adapter| write!(f, "+{adapter}"))
    }
}

fn list(f: &mut fmt::Formatter<'_>, entries: impl Iterator<Item = impl fmt::Display>) -> fmt::Result {
    for (index, entry) in entries.enumerate() {
        let separator = if index == 0 { "" } else { " " };
        write!(f, "{separator}{entry}")?;
    }
    Ok(())
}

/// An order is about to leave.
pub fn given(now: Duration, order: &Order, belief: &Belief) {
    log::info!(
        "{:.3} order {} to {}: {:?} {}, if revision {}; counted with it: {belief}",
        now.as_secs_f64(),
        order.id.0,
        order.instance,
        order.operation,
        order.item(),
        order.if_revision,
    );
}

/// An order was answered.
pub fn answered(now: Duration, id: OrderId, instance: &str, answer: OrderAnswer) {
    log::info!("{:.3} order {} at {instance}: {answer:?}", now.as_secs_f64(), id.0);
}

/// An order is over, whatever came of it.
pub fn closed(now: Duration, instance: &str, order: &Underway) {
    log::info!(
        "{:.3} order {} at {instance} is over: {:?} {}, {:?}, sent at {:.3}",
        now.as_secs_f64(),
        order.id.0,
        order.operation,
        order.item,
        order.stage,
        order.sent.as_secs_f64(),
    );
}

/// An endpoint reported.
pub fn reported(now: Duration, instance: &str, report: &EndpointReport) {
    log::info!(
        "{:.3} report of {instance}: busy {}, sequence {}, models [{}]",
        now.as_secs_f64(),
        report.busy,
        report.sequence,
        Told(&report.models),
    );
}

/// An endpoint registered something new.
pub fn registered(now: Duration, instance: &Instance) {
    log::info!(
        "{:.3} registration {} of {} at {}: {:?}, models [{}]",
        now.as_secs_f64(),
        instance.sequence,
        instance.id,
        instance.address,
        instance.state,
        Told(&instance.models),
    );
}
