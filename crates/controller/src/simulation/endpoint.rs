//! Simulated endpoints: they register, drain, end and crash as real ones do.

use super::calls::{CallLimits, Content, Purpose};
use super::change::SERVICES;
use super::checks::Check;
use super::engine::Engine;
use super::host::Host;
use super::world::{SimulationEvent, World};
use crate::controller::Method;
use bytes::Bytes;
use rand::Rng;
use serde_json::json;
use std::time::Duration;

/// Time between heartbeats.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long an endpoint that shuts down retries until it is acknowledged.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(6);

/// The state that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Ready,
    Draining,
    /// It has ended and sends no more calls.
    Ended,
}

/// An endpoint.
#[derive(Debug)]
pub(super) struct EndpointMachine {
    index: usize,
    /// Number of its present incarnation.
    pub(super) start: u64,
    pub(super) state: State,
    sequence: u64,
    pub(super) engine: Engine,
    /// When its drain or its deregistration was first acknowledged.
    pub(super) acknowledged_at: Option<Duration>,
    /// A heartbeat that is held up on its way, of this incarnation or an earlier one.
    held: Option<Content>,
}

impl EndpointMachine {
    pub(super) fn new(index: usize) -> Self {
        EndpointMachine {
            index,
            start: 0,
            state: State::Ended,
            sequence: 0,
            engine: Engine::default(),
            acknowledged_at: None,
            held: None,
        }
    }

    /// Its service.
    pub(super) fn service(&self) -> usize {
        self.index % SERVICES.len()
    }

    /// Id of its present incarnation.
    pub(super) fn id(&self) -> String {
        format!("{}-{}", Host::Endpoint(self.index), self.start)
    }

    /// Whether this is the id of its present incarnation, and it is ready.
    pub(super) fn is_ready_as(&self, id: &str) -> bool {
        self.state == State::Ready && self.id() == id
    }

    /// The next heartbeat of the present incarnation.
    fn next_heartbeat(&mut self) -> Content {
        self.sequence += 1;
        let path = format!("/instances/{}", self.id());
        Content { method: Method::Put, path, if_match: None, body: self.body() }
    }

    fn body(&self) -> Bytes {
        let state = if self.state == State::Draining { "draining" } else { "ready" };
        let body = json!({
            "Backend": SERVICES[self.service()],
            "Address": Host::Endpoint(self.index).address().to_string(),
            "Zone": "zone",
            "Version": "v1",
            "Capacity": 4,
            "State": state,
            "ColdLeftMs": 0,
            "Phase": "prefill_decode",
            "Models": self.engine.models(),
            "Sequence": self.sequence,
        });
        body.to_string().into()
    }
}

impl World {
    /// A new incarnation of an endpoint starts.
    pub(super) fn start_endpoint(&mut self, index: usize) {
        self.cancel_calls(|purpose| of_endpoint(purpose, index));
        let machine = &mut self.endpoints[index];
        machine.start += 1;
        machine.state = State::Ready;
        machine.sequence = 0;
        machine.engine = Engine::default();
        machine.acknowledged_at = None;
        let start = machine.start;
        self.history.endpoint_started(index);
        let first = HEARTBEAT.mul_f64(self.random.random::<f64>() / 4.0);
        self.schedule(self.now() + first, SimulationEvent::Heartbeat { endpoint: index, start });
    }

    /// An endpoint crashes without deregistering.
    pub(super) fn crash_endpoint(&mut self, index: usize) {
        self.cancel_calls(|purpose| of_endpoint(purpose, index));
        self.endpoints[index].state = State::Ended;
    }

    /// An endpoint sends its heartbeat.
    pub(super) fn endpoint_heartbeat(&mut self, index: usize, start: u64) {
        let machine = &mut self.endpoints[index];
        if machine.start != start || machine.state == State::Ended {
            return;
        }
        self.schedule(self.now() + HEARTBEAT, SimulationEvent::Heartbeat { endpoint: index, start });
        let purpose = Purpose::Heartbeat { endpoint: index, start };
        let draining = self.endpoints[index].state == State::Draining;
        if draining && self.calls.is_under_way(purpose) {
            return;
        }
        self.cancel_calls(|other| other == purpose);
        self.send_heartbeat(index);
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now();
        let machine = &mut self.endpoints[index];
        machine.engine.finish_load(now);
        let content = machine.next_heartbeat();
        let purpose = Purpose::Heartbeat { endpoint: index, start: machine.start };
        let time = if machine.state == State::Draining { DRAIN_TIMEOUT } else { HEARTBEAT };
        self.call_any(purpose, index, content, time);
    }

    fn call_any(&mut self, purpose: Purpose, index: usize, content: Content, time: Duration) {
        let any = self.random.random_range(0..self.controllers.len());
        let first = self.preferred.unwrap_or(any);
        let limits = CallLimits { time, attempts: usize::MAX };
        self.begin_call(purpose, Host::Endpoint(index), content, first, limits);
    }

    /// An endpoint sends a heartbeat that is held up on its way.
    pub(super) fn hold_heartbeat(&mut self, index: usize) {
        let Some(machine) = self.endpoints.get_mut(index).filter(|machine| machine.state != State::Ended)
        else {
            return;
        };
        machine.held = Some(machine.next_heartbeat());
    }

    /// The heartbeat of an endpoint that was held up reaches a controller.
    pub(super) fn deliver_held_heartbeat(&mut self, index: usize, via: usize) {
        let Some(content) = self.endpoints.get_mut(index).and_then(|machine| machine.held.take()) else {
            return;
        };
        let limits = CallLimits { time: HEARTBEAT, attempts: 1 };
        self.begin_call(Purpose::LateHeartbeat, Host::Endpoint(index), content, via, limits);
    }

    /// An endpoint starts draining.
    pub(super) fn drain_endpoint(&mut self, index: usize) {
        let Some(machine) = self.endpoints.get_mut(index).filter(|machine| machine.state == State::Ready)
        else {
            return;
        };
        machine.state = State::Draining;
        let purpose = Purpose::Heartbeat { endpoint: index, start: machine.start };
        self.cancel_calls(|other| other == purpose);
        self.send_heartbeat(index);
    }

    /// An endpoint deregisters.
    pub(super) fn remove_endpoint(&mut self, index: usize) {
        let Some(machine) = self.endpoints.get_mut(index).filter(|machine| machine.state != State::Ended)
        else {
            return;
        };
        machine.state = State::Ended;
        let start = machine.start;
        let path = format!("/instances/{}", machine.id());
        let content = Content { method: Method::Delete, path, if_match: None, body: Bytes::new() };
        self.cancel_calls(|purpose| of_endpoint(purpose, index));
        self.call_any(Purpose::Delete { endpoint: index, start }, index, content, DRAIN_TIMEOUT);
    }

    /// Handles the answer to a heartbeat. Returns true if the endpoint does not retry the call.
    pub(super) fn heartbeat_answered(&mut self, index: usize, start: u64, status: u16) -> bool {
        let machine = &self.endpoints[index];
        let is_taken = (200..300).contains(&status);
        if is_taken && machine.start == start && machine.state == State::Draining {
            self.drain_acknowledged(index);
        }
        is_taken
    }

    /// Handles the answer to a deregistration. Returns true if the endpoint does not retry the call.
    pub(super) fn delete_answered(&mut self, index: usize, start: u64, status: u16) -> bool {
        let is_taken = (200..300).contains(&status);
        if is_taken && self.endpoints[index].start == start {
            self.drain_acknowledged(index);
        }
        is_taken
    }

    fn drain_acknowledged(&mut self, index: usize) {
        let now = self.now();
        let machine = &mut self.endpoints[index];
        if machine.acknowledged_at.is_some() {
            return;
        }
        machine.acknowledged_at = Some(now);
        let start = machine.start;
        let due = now + self.drain_bound();
        self.check_from(due, |until| Check::Drained { endpoint: index, start, until });
    }
}

fn of_endpoint(purpose: Purpose, index: usize) -> bool {
    match purpose {
        Purpose::Heartbeat { endpoint, .. } | Purpose::Delete { endpoint, .. } => endpoint == index,
        Purpose::Change(_) | Purpose::Read(_) | Purpose::LateHeartbeat => false,
    }
}
