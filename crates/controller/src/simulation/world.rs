//! The simulated world: clock, event queue, machines and network, and the loop that runs a scenario.

use super::calls::Calls;
use super::checks::Check;
use super::connection::{Connection, Dial, End, Process};
use super::controller_machine::ControllerMachine;
use super::endpoint::EndpointMachine;
use super::engine::OrderCall;
use super::faults::FaultHistory;
use super::history::History;
use super::host::Host;
use super::network::Network;
use super::router_machine::RouterMachine;
use super::scenario::Scenario;
use super::step::Step;
use super::trace::Trace;
use super::violation::Violation;
use crate::agent::SubscriberEvent;
use crate::controller::{ControllerFault, Event};
use crate::subscription::SourceEvent;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum SimulationEvent {
    /// A process tries to connect.
    Dial(Dial),
    /// The listener accepts or refuses the connection.
    Connect(Dial),
    /// A frame may have arrived at an end of a connection.
    Arrive { connection: u64, end: End },
    /// A connection closes if it has been partitioned since this time.
    PartitionTimeout { connection: u64, since: Duration },
    /// The dialer checks whether it has received anything.
    ReceiveTimeout { connection: u64 },
    /// A message or an event is delivered to a process.
    Delivery { process: Process, delivery: Delivery },
    /// The disk of a controller has finished the first write of its queue.
    Written { process: Process },
    /// The timer of a controller.
    Wake { process: Process, at: Duration },
    /// An agent reviews its choice of sources, and its router reports demand.
    Review { process: Process },
    /// The timer of an agent or its router: a newer configuration may be fetched.
    Fetch { process: Process, at: Duration },
    /// The grace period of a process that is shutting down has expired.
    GraceOver { process: Process },
    /// A call reaches a controller.
    CallArrives { attempt: u64 },
    /// An answer reaches the caller.
    AnswerArrives { attempt: u64, answer: crate::controller::Answer },
    /// The caller could not connect, or its wait for an answer has timed out.
    AttemptFails { attempt: u64 },
    /// The caller tries the next controller.
    Retry { call: u64 },
    /// An endpoint sends its heartbeat.
    Heartbeat { endpoint: usize, start: u64 },
    /// An order, or a report request, is sent.
    SendOrder(OrderCall),
    /// An order, or a report request, reaches its endpoint.
    OrderArrives(OrderCall),
    /// A condition that must hold at this time is checked.
    Check(Check),
}

/// A message or an event for a process.
#[derive(Debug)]
pub(super) enum Delivery {
    Controller(Event),
    /// An event of the link to a source, for the agent.
    Source(SourceEvent),
    /// An event of the link to the router, for the agent.
    SubscriberEvent(SubscriberEvent),
    /// An event of the link to the agent, for the router.
    Agent(SourceEvent),
    /// The process was frozen when it was about to send this call; it does so once thawed.
    Send(OrderCall),
}

/// An event in the queue. Events with the same time are handled in the order in which they were scheduled.
struct Scheduled {
    at: Duration,
    order: u64,
    event: SimulationEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The state of a simulation.
pub struct World {
    pub(super) clock: Rc<Cell<Duration>>,
    pub(super) random: SmallRng,
    event_queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    /// Number of processes started so far.
    pub(super) starts: u64,
    pub(super) controllers: Vec<ControllerMachine>,
    pub(super) routers: Vec<RouterMachine>,
    pub(super) endpoints: Vec<EndpointMachine>,
    pub(super) network: Network,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) next_connection: u64,
    pub(super) calls: Calls,
    pub(super) history: History,
    pub(super) fault_history: FaultHistory,
    pub(super) founders: usize,
    /// Number of machines that may be lost at the same time.
    pub(super) tolerance: u32,
    /// Zone of each controller, if it has one. The loss of one zone has to be survived.
    pub(super) zones: Vec<usize>,
    pub(super) fault: Option<ControllerFault>,
    /// Whether disks are lost only as long as the fault tolerance allows it.
    pub(super) within_tolerance: bool,
    /// The controller that endpoints call first; any if absent.
    pub(super) preferred: Option<usize>,
    pub(super) trace: Trace,
}

impl World {
    /// Runs a scenario to its end or to the first violation. `fault` is a deliberate fault of the controllers.
    ///
    /// # Errors
    /// The first violation.
    pub fn play(scenario: &Scenario, fault: Option<ControllerFault>) -> Result<(), Violation> {
        Self::new(scenario, fault).play_steps(scenario)
    }

    /// Runs a scenario and returns a digest of all messages, stored records and orders, with their times.
    ///
    /// # Errors
    /// The first violation.
    pub fn play_for_digest(scenario: &Scenario) -> Result<u64, Violation> {
        let mut world = Self::new(scenario, None);
        world.play_steps(scenario)?;
        world.trace_end();
        Ok(world.trace.digest())
    }

    fn play_steps(&mut self, scenario: &Scenario) -> Result<(), Violation> {
        self.start_all(scenario.spares_late);
        for (index, step) in scenario.steps.iter().enumerate() {
            self.step(index + 1, step)?;
            self.check_orders_withheld()?;
        }
        Ok(())
    }

    fn trace_end(&mut self) {
        let now = self.now();
        for machine in &self.controllers {
            let Some(controller) = machine.controller() else { continue };
            let (status, metrics) = controller.exported();
            self.trace.controller_end(now, machine.index, &status, &metrics);
        }
        for (index, machine) in self.routers.iter().enumerate() {
            let Some(metrics) = machine.agent_metrics() else { continue };
            self.trace.agent_end(now, index, &metrics);
        }
    }

    fn new(scenario: &Scenario, fault: Option<ControllerFault>) -> Self {
        let controllers = scenario.founders + scenario.spares;
        let tolerance = (scenario.founders.saturating_sub(1) / 2) as u32;
        World {
            clock: Rc::new(Cell::new(Duration::ZERO)),
            random: SmallRng::seed_from_u64(scenario.seed),
            event_queue: BinaryHeap::new(),
            order: 0,
            starts: 0,
            controllers: (0..controllers)
                .map(|index| {
                    let zone = scenario.zones.get(index).copied();
                    let counts = index + scenario.uncounted < controllers;
                    ControllerMachine::new(index, scenario.founders, tolerance, zone, counts)
                })
                .collect(),
            routers: (0..scenario.routers)
                .map(|index| RouterMachine::new(index, scenario.founders, tolerance))
                .collect(),
            endpoints: (0..scenario.endpoints).map(EndpointMachine::new).collect(),
            network: Network::new(),
            connections: BTreeMap::new(),
            next_connection: 1,
            calls: Calls::default(),
            history: History::default(),
            fault_history: FaultHistory::default(),
            founders: scenario.founders,
            tolerance,
            zones: scenario.zones.clone(),
            fault,
            within_tolerance: scenario.within_tolerance,
            preferred: None,
            trace: Trace::new(),
        }
    }

    fn start_all(&mut self, spares_late: bool) {
        let first = if spares_late { self.founders } else { self.controllers.len() };
        for index in 0..first {
            self.start_controller(index);
        }
        for index in 0..self.routers.len() {
            self.start_router(index);
        }
        for index in 0..self.endpoints.len() {
            self.start_endpoint(index);
        }
        self.fault_history.reset();
    }

    fn step(&mut self, number: usize, step: &Step) -> Result<(), Violation> {
        log::info!("{:?}: {step}", self.now());
        match step {
            Step::Wait(time) => self.run(Duration::from_millis(*time)),
            Step::Quiesce => self.quiesce(),
            Step::Expect(expectation) => self.expect(number, expectation),
            Step::Put { .. } | Step::Rivals { .. } | Step::Again { .. } | Step::Read { .. } => {
                self.operate(step);
                Ok(())
            }
            Step::Drain(endpoint) => {
                self.drain_endpoint(*endpoint);
                Ok(())
            }
            Step::Prefer(controller) => {
                self.preferred = Some(*controller);
                Ok(())
            }
            Step::HoldHeartbeat(endpoint) => {
                self.hold_heartbeat(*endpoint);
                Ok(())
            }
            Step::DeliverHeld { endpoint, via } => {
                self.deliver_held_heartbeat(*endpoint, *via);
                Ok(())
            }
            Step::Remove(endpoint) => {
                self.remove_endpoint(*endpoint);
                Ok(())
            }
            _ => {
                self.inject_fault(step);
                Ok(())
            }
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.get()
    }

    /// Advances the clock by `time`, and handles the events that are due until then.
    pub(super) fn run(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now() + time;
        while self.event_queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.event_queue.pop() else { break };
            self.clock.set(self.now().max(next.at));
            self.dispatch(next.event)?;
            if let Some(violation) = self.history.violation.take() {
                return Err(violation);
            }
        }
        self.clock.set(end);
        Ok(())
    }

    pub(super) fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.order += 1;
        self.event_queue.push(Reverse(Scheduled { at: at.max(self.now()), order: self.order, event }));
    }

    pub(super) fn schedule_delivery(&mut self, at: Duration, process: Process, delivery: Delivery) {
        self.schedule(at, SimulationEvent::Delivery { process, delivery });
    }

    fn dispatch(&mut self, event: SimulationEvent) -> Result<(), Violation> {
        match event {
            SimulationEvent::Dial(dial) => self.dial(dial),
            SimulationEvent::Connect(dial) => self.connect(dial),
            SimulationEvent::Arrive { connection, end } => self.arrive(connection, end),
            SimulationEvent::PartitionTimeout { connection, since } => {
                self.partition_timed_out(connection, since)
            }
            SimulationEvent::ReceiveTimeout { connection } => self.check_receive_timeout(connection),
            SimulationEvent::Delivery { process, delivery } => self.deliver(process, delivery),
            SimulationEvent::Written { process } => self.written(process),
            SimulationEvent::Wake { process, at } => self.wake(process, at),
            SimulationEvent::Review { process } => self.review(process),
            SimulationEvent::Fetch { process, at } => self.fetch(process, at),
            SimulationEvent::GraceOver { process } => self.grace_over(process),
            SimulationEvent::CallArrives { attempt } => self.call_arrives(attempt),
            SimulationEvent::AnswerArrives { attempt, answer } => self.answer_arrives(attempt, answer),
            SimulationEvent::AttemptFails { attempt } => self.attempt_fails(attempt),
            SimulationEvent::Retry { call } => self.attempt(call),
            SimulationEvent::Heartbeat { endpoint, start } => self.endpoint_heartbeat(endpoint, start),
            SimulationEvent::SendOrder(call) => self.send_order(call),
            SimulationEvent::OrderArrives(call) => self.order_arrives(call),
            SimulationEvent::Check(check) => return self.check(check),
        }
        Ok(())
    }

    /// Delivers an event to a process, if it still runs; a frozen process handles it once it is thawed.
    pub(super) fn deliver(&mut self, process: Process, delivery: Delivery) {
        match process.host {
            Host::Controller(index) => self.deliver_to_controller(index, process, delivery),
            Host::Router(index) => self.deliver_to_router(index, process, delivery),
            Host::Endpoint(_) | Host::Operator => {}
        }
    }

    /// A new incarnation of a process.
    pub(super) fn next_process(&mut self, host: Host) -> Process {
        self.starts += 1;
        Process { host, start: self.starts }
    }

    /// The process that runs on a host.
    pub(super) fn running(&self, host: Host) -> Option<Process> {
        match host {
            Host::Controller(index) => self.controllers.get(index)?.process(),
            Host::Router(index) => self.routers.get(index)?.process(),
            Host::Endpoint(_) | Host::Operator => None,
        }
    }

    pub(super) fn is_frozen(&self, host: Host) -> bool {
        match host {
            Host::Controller(index) => self.controllers[index].frozen,
            Host::Router(index) => self.routers[index].frozen,
            Host::Endpoint(_) | Host::Operator => false,
        }
    }
}
