//! Orders and report requests from controllers to simulated endpoints, and how endpoints execute them.

use super::change::LOAD_TIME_S;
use super::connection::Process;
use super::endpoint::State;
use super::history::SentOrder;
use super::host::{Host, endpoint_at};
use super::world::{Delivery, SimulationEvent, World};
use crate::controller::{Event, ServiceAction};
use lanegate_placement::{Action, EndpointReport, Operation, Order, OrderAnswer};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Timeout of a controller for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Timeout of a controller for the answer of an endpoint.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// An order, or a report request, from a controller to an endpoint.
#[derive(Debug)]
pub(super) struct OrderCall {
    pub(super) sender: Process,
    pub(super) action: ServiceAction,
    /// Epoch of the lease under which it is sent.
    pub(super) epoch: u64,
    /// Deadline for sending it.
    pub(super) send_by: Duration,
}

impl OrderCall {
    pub(super) fn endpoint(&self) -> Option<usize> {
        let address = match &self.action.action {
            Action::Order(order) => order.address,
            Action::RequestReport { address, .. } => *address,
        };
        endpoint_at(address)
    }

    /// The event by which the controller learns of this answer; `None` for a report request.
    fn answered(&self, answer: OrderAnswer) -> Option<Event> {
        let service = self.action.service.clone();
        match &self.action.action {
            Action::Order(order) => Some(Event::OrderAnswered { service, order: order.clone(), answer }),
            Action::RequestReport { .. } => None,
        }
    }
}

/// A load in progress.
#[derive(Debug)]
struct Load {
    model: String,
    until: Duration,
}

/// The models of an endpoint, and the execution of orders on them.
#[derive(Debug, Default)]
pub(super) struct Engine {
    resident: BTreeSet<String>,
    loading: Option<Load>,
    /// Number of orders executed.
    sequence: u64,
}

impl Engine {
    /// Completes the load in progress if it is due.
    pub(super) fn finish_load(&mut self, now: Duration) {
        if let Some(load) = self.loading.take_if(|load| load.until <= now) {
            self.resident.insert(load.model);
        }
    }

    /// Resident models as registrations report them.
    pub(super) fn models(&self) -> Value {
        let model = |name: &String| json!({ "Name": name, "Version": 1, "Adapters": [] });
        self.resident.iter().map(model).collect()
    }

    fn execute(&mut self, now: Duration, order: &Order) -> OrderAnswer {
        self.finish_load(now);
        let revision_differs = order.if_revision != self.sequence;
        if self.loading.is_some() || revision_differs {
            return OrderAnswer::Conflict;
        }
        let holds = self.resident.contains(&*order.model);
        self.sequence += 1;
        match order.operation {
            Operation::Load if holds => OrderAnswer::AlreadyDone,
            Operation::Load => {
                let until = now + Duration::from_secs_f64(LOAD_TIME_S);
                self.loading = Some(Load { model: order.model.to_string(), until });
                OrderAnswer::Accepted
            }
            Operation::Evict if holds => {
                self.resident.remove(&*order.model);
                OrderAnswer::Accepted
            }
            Operation::Evict => OrderAnswer::AlreadyDone,
        }
    }

    fn report(&mut self, now: Duration) -> Option<EndpointReport> {
        self.finish_load(now);
        let report = json!({
            "Phase": "prefill_decode",
            "Models": self.models(),
            "Busy": self.loading.is_some(),
            "Sequence": self.sequence,
        });
        serde_json::from_value(report).ok()
    }
}

impl World {
    /// The controller sends an order or a report request, if it can connect and the deadline has not passed.
    pub(super) fn send_order(&mut self, call: OrderCall) {
        let sender = call.sender;
        if self.running(sender.host) != Some(sender) {
            return;
        }
        if self.is_frozen(sender.host) {
            return self.deliver(sender, Delivery::Send(call));
        }
        if self.now() > call.send_by {
            return self.answer_order(&call, OrderAnswer::Unavailable, Duration::ZERO);
        }
        let Some(endpoint) = call.endpoint() else { return };
        let open = self.network.is_open_both_ways(sender.host, Host::Endpoint(endpoint));
        let ended = self.endpoints[endpoint].state == State::Ended;
        if !open || ended {
            let after = if open { Duration::ZERO } else { CONNECT_TIMEOUT };
            return self.answer_order(&call, OrderAnswer::Unavailable, after);
        }
        let arrives = self.now() + self.delay(sender.host, Host::Endpoint(endpoint));
        self.schedule(arrives, SimulationEvent::OrderArrives(call));
    }

    /// An order, or a report request, reaches its endpoint.
    pub(super) fn order_arrives(&mut self, call: OrderCall) {
        let now = self.now();
        let Some(index) = call.endpoint() else { return };
        let host = Host::Endpoint(index);
        if !self.network.is_open(call.sender.host, host) {
            return self.answer_order(&call, OrderAnswer::Unknown, ANSWER_TIMEOUT);
        }
        let machine = &mut self.endpoints[index];
        if machine.state == State::Ended {
            return self.answer_order(&call, OrderAnswer::Unknown, Duration::ZERO);
        }
        let event = match &call.action.action {
            Action::RequestReport { instance, .. } => {
                let service = call.action.service.clone();
                let instance = instance.to_string();
                let report = machine.engine.report(now);
                report.map(|report| Event::Reported { service, instance, report })
            }
            Action::Order(order) if *order.instance != machine.id() => {
                call.answered(OrderAnswer::WrongInstance)
            }
            Action::Order(order) => {
                let answer = machine.engine.execute(now, order);
                self.record_order_arrival(index, &call);
                call.answered(answer)
            }
        };
        let back_open = self.network.is_open(host, call.sender.host);
        match event {
            Some(event) if back_open => {
                let arrives = now + self.delay(host, call.sender.host);
                self.schedule_delivery(arrives, call.sender, Delivery::Controller(event));
            }
            _ => self.answer_order(&call, OrderAnswer::Unknown, ANSWER_TIMEOUT),
        }
    }

    fn record_order_arrival(&mut self, endpoint: usize, call: &OrderCall) {
        let (now, sender) = (self.now(), call.sender.host);
        if self.fault_history.was_thawed_lately(sender, now) {
            return;
        }
        let service = self.endpoints[endpoint].service();
        let order = SentOrder { endpoint, service, sender, token: call.epoch, at: now };
        self.history.record_order(order, super::checks::LEASE);
    }

    fn answer_order(&mut self, call: &OrderCall, answer: OrderAnswer, after: Duration) {
        if let Some(event) = call.answered(answer) {
            let at = self.now() + after;
            self.schedule_delivery(at, call.sender, Delivery::Controller(event));
        }
    }
}
