//! Log lines about orders: the known state of the endpoint when each was sent, and the outcome.

use crate::catalog::Catalog;
use crate::contents::Resident;
use crate::endpoint::Endpoint;
use crate::in_flight::InFlightOrder;
use crate::interface::{EndpointReport, Item, Order, OrderAnswer, OrderId};
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

/// Used memory, adapters and contents of an endpoint as the placer knows them, for the log.
pub(crate) struct EndpointState<'a> {
    pub endpoint: &'a Endpoint,
    pub catalog: &'a Catalog,
}

impl fmt::Display for EndpointState<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EndpointState { endpoint, catalog } = self;
        write!(f, "used_mb={} capacity_mb={} ", endpoint.used_mb(catalog), catalog.capacity_mb)?;
        write!(f, "adapters={} max_adapters={} resident=[", endpoint.adapters(), catalog.max_adapters)?;
        list(f, endpoint.contents.models().map(ResidentFormat))?;
        write!(f, "] advertised=[")?;
        list(f, endpoint.advertised.models().map(ResidentFormat))?;
        write!(f, "]")
    }
}

struct ResidentFormat<'a>(&'a Resident);

impl fmt::Display for ResidentFormat<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.model)?;
        self.0.adapters.iter().try_for_each(|adapter| write!(f, "+{adapter}"))
    }
}

/// Models as an endpoint lists them.
struct ListedModels<'a>(&'a [ResidentModel]);

impl fmt::Display for ListedModels<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        list(f, self.0.iter().map(ListedModelFormat))
    }
}

struct ListedModelFormat<'a>(&'a ResidentModel);

impl fmt::Display for ListedModelFormat<'_> {
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

/// Logs that an order is sent.
pub(crate) fn sent(now: Duration, order: &Order, state: &EndpointState) {
    log::info!(
        "order sent time={:.3} order={} instance={} operation={:?} item={} if_revision={} {state}",
        now.as_secs_f64(),
        order.id.0,
        order.instance,
        order.operation,
        order.item(),
        order.if_revision,
    );
}

/// Logs the answer to an order.
pub(crate) fn answered(now: Duration, id: OrderId, instance: &str, answer: OrderAnswer) {
    let time = now.as_secs_f64();
    log::info!("order answered time={time:.3} order={} instance={instance} answer={answer:?}", id.0);
}

/// Logs the end of an order.
pub(crate) fn closed(now: Duration, instance: &str, order: &InFlightOrder) {
    log::info!(
        "order closed time={:.3} order={} instance={instance} operation={:?} item={} stage={:?} sent={:.3}",
        now.as_secs_f64(),
        order.id.0,
        order.operation,
        order.item,
        order.stage,
        order.sent.as_secs_f64(),
    );
}

/// Logs the report of an endpoint.
pub(crate) fn reported(now: Duration, instance: &str, report: &EndpointReport) {
    log::info!(
        "report received time={:.3} instance={instance} busy={} revision={} models=[{}]",
        now.as_secs_f64(),
        report.busy,
        report.sequence,
        ListedModels(&report.models),
    );
}

/// Logs a registration that changed the known state of its endpoint.
pub(crate) fn registered(now: Duration, instance: &Instance) {
    log::info!(
        "registration applied time={:.3} sequence={} instance={} address={} state={:?} models=[{}]",
        now.as_secs_f64(),
        instance.sequence,
        instance.id,
        instance.address,
        instance.state,
        ListedModels(&instance.models),
    );
}
