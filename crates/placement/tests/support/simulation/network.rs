//! Messages in flight in the simulated service, and their arrival.

use super::super::fleet::{Partition, Work};
use super::{
    ANSWER_TIMEOUT_MS, LATE_ARRIVAL_PROBABILITY, LATEST_ARRIVAL_MS, REMOVAL_TIMEOUT_MS, REPORT_LAG_MS,
};
use super::{Registration, Simulation};
use lanegate_config::instance::{Instance, InstanceState};
use lanegate_placement::{EndpointReport, Operation, Order, OrderAnswer, OrderId};
use std::net::SocketAddr;

pub(super) enum Message {
    Order(Order),
    /// An order that arrives after its sender has given up waiting for the answer.
    LateOrder(Order),
    Answer(OrderId, String, OrderAnswer),
    Instance(Box<Instance>),
    /// A heartbeat that was delayed.
    DelayedInstance(Box<Instance>),
    Removed(String),
    Report(String, EndpointReport),
    ReportRequest(SocketAddr, String),
}

impl Simulation {
    pub(super) fn send(&mut self, delay_ms: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now_ms + delay_ms, self.sent), (self.generation, message));
    }

    pub(super) fn delay(&mut self) -> u64 {
        10 + self.random.below(3) * 10
    }

    pub(super) fn order_sent(&mut self, order: Order) {
        self.checks.order_sent(self.now_ms, &order, &self.endpoints);
        self.orders.push((self.now_ms, order.clone()));
        if self.random.unit() < self.loss {
            let answer = Message::Answer(order.id, order.instance.to_string(), OrderAnswer::Unknown);
            self.send(ANSWER_TIMEOUT_MS, answer);
            if self.random.unit() < LATE_ARRIVAL_PROBABILITY {
                let delay = 500 + self.random.below(LATEST_ARRIVAL_MS - 500);
                self.send(delay, Message::LateOrder(order));
            }
            return;
        }
        let delay = self.delay();
        self.send(delay, Message::Order(order));
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (generation, message) = entry.remove();
            self.arrive(generation, message);
        }
    }

    fn arrive(&mut self, generation: u32, message: Message) {
        let now = self.now();
        let current = generation == self.generation;
        match message {
            Message::Order(order) => self.order_arrives(order),
            Message::LateOrder(order) => self.late_order_arrives(&order),
            Message::Answer(id, instance, answer) if current => {
                self.checks.order_closed(&instance, id.0);
                self.placer.order_answered(now, id, answer);
            }
            Message::Instance(instance) => {
                // A heartbeat in flight when the partition begins is delayed, too.
                let endpoint = self.endpoints.iter_mut().find(|endpoint| endpoint.id() == instance.id);
                match endpoint.filter(|endpoint| endpoint.partition.is_some()) {
                    Some(endpoint) => drop(endpoint.delayed_heartbeat.get_or_insert(*instance)),
                    None => self.deliver_heartbeat(&instance),
                }
            }
            Message::DelayedInstance(instance) => self.deliver_heartbeat(&instance),
            Message::Removed(id) => {
                self.checks.open.remove(&id);
                self.registry.remove(&id);
                self.placer.remove_endpoint(now, &id);
            }
            Message::Report(id, report) if current => self.placer.apply_report(now, &id, &report),
            Message::ReportRequest(address, id) => self.report_request_arrives(address, &id),
            Message::Answer(..) | Message::Report(..) => {}
        }
        self.process_actions();
    }

    fn deliver_heartbeat(&mut self, instance: &Instance) {
        if instance.state == InstanceState::Draining {
            self.checks.known_draining.insert(instance.id.clone());
        }
        let known = self.registry.get(&instance.id);
        if known.is_none_or(|known| known.instance.sequence < instance.sequence) {
            let registration = Registration { instance: instance.clone(), last_heartbeat_ms: self.now_ms };
            self.registry.insert(instance.id.clone(), registration);
        }
        self.placer.register(self.now(), instance);
    }

    /// Removes endpoints without a heartbeat for [`REMOVAL_TIMEOUT_MS`], whether they are running or not.
    pub(super) fn remove_unresponsive_endpoints(&mut self) {
        let now_ms = self.now_ms;
        let unresponsive = self
            .registry
            .iter()
            .filter(|(_, registration)| registration.last_heartbeat_ms + REMOVAL_TIMEOUT_MS < now_ms);
        let unresponsive: Vec<String> = unresponsive.map(|(id, _)| id.clone()).collect();
        for id in unresponsive {
            self.registry.remove(&id);
            self.send(0, Message::Removed(id));
        }
        if self.endpoints.iter().any(|endpoint| endpoint.partition.is_some()) {
            self.checks.last_fault_ms = self.checks.last_fault_ms.max(now_ms);
        }
    }

    fn order_arrives(&mut self, order: Order) {
        let now_ms = self.now_ms;
        if self.is_partitioned(order.address) {
            // Whether the connection was established before the partition is random.
            let answer =
                if self.random.unit() < 0.5 { OrderAnswer::Unavailable } else { OrderAnswer::Unknown };
            let answer = Message::Answer(order.id, order.instance.to_string(), answer);
            return self.send(ANSWER_TIMEOUT_MS, answer);
        }
        let found =
            self.endpoints.iter().position(|endpoint| endpoint.up && endpoint.address == order.address);
        let Some(index) = found else {
            let answer = Message::Answer(order.id, order.instance.to_string(), OrderAnswer::Unknown);
            self.send(ANSWER_TIMEOUT_MS, answer);
            return;
        };
        let status = self.endpoints[index].immediate_status(&order).unwrap_or(202);
        if status == 202 {
            self.checks.order_executed(now_ms, &order, &self.endpoints[index], &self.runtime);
            self.accept_order(index, &order);
        }
        self.conflicts += u64::from(status == 409);
        let lost = self.random.unit() < self.loss;
        let answer = if lost { OrderAnswer::Unknown } else { OrderAnswer::from_status(status) };
        let delay = if lost { ANSWER_TIMEOUT_MS } else { self.delay() };
        self.send(delay, Message::Answer(order.id, order.instance.to_string(), answer));
    }

    fn is_partitioned(&self, address: SocketAddr) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.address == address && endpoint.partition == Some(Partition::All))
    }

    /// Handles an order whose sender no longer waits for the answer.
    fn late_order_arrives(&mut self, order: &Order) {
        if self.is_partitioned(order.address) {
            return;
        }
        let found =
            self.endpoints.iter().position(|endpoint| endpoint.up && endpoint.address == order.address);
        let Some(index) = found else { return };
        if self.endpoints[index].immediate_status(order).is_none() {
            self.checks.order_executed(self.now_ms, order, &self.endpoints[index], &self.runtime);
            self.accept_order(index, order);
        }
    }

    fn accept_order(&mut self, index: usize, order: &Order) {
        let chance = self.random.unit();
        let endpoint = &mut self.endpoints[index];
        let spec = self.runtime.models.iter().find(|model| *model.name == *order.model);
        let load_ms = spec.map_or(1_000.0, |model| model.load_time_s * 1_000.0);
        let disk = if endpoint.disk.contains(&*order.model) { 0.4 } else { 1.0 };
        let duration_ms = match (order.operation, order.adapter.is_some()) {
            (Operation::Load, false) => load_ms * disk * (1.0 + 0.5 * chance),
            (Operation::Load, true) => 20.0 + 60.0 * chance,
            // In a tenth of the cases, long requests have to end first.
            (Operation::Evict, _) if chance > 0.9 => 3_000.0 * chance,
            (Operation::Evict, _) => 10.0 + 400.0 * chance,
        };
        endpoint.revision += 1;
        endpoint.work = Some(Work {
            operation: order.operation,
            model: order.model.to_string(),
            adapter: order.adapter.as_ref().map(|adapter| adapter.to_string()),
            until_ms: self.now_ms + duration_ms as u64,
        });
    }

    fn report_request_arrives(&mut self, address: SocketAddr, id: &str) {
        let lost = self.random.unit() < self.loss || self.is_partitioned(address);
        let is_running = self.endpoints.iter().any(|e| e.up && e.address == address && e.id() == id);
        let as_of = self.now_ms.saturating_sub(REPORT_LAG_MS) / 100 * 100;
        let report = self.past_reports.get(&(as_of, id.to_string())).cloned();
        if let Some(report) = report.filter(|_| is_running && !lost) {
            let delay = self.delay();
            self.send(delay, Message::Report(id.to_string(), report));
        }
    }
}
