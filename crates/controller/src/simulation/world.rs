//! The simulated world: time, what happens when, and who takes part.

use super::calls::Calls;
use super::checks::Check;
use super::connection::{Connection, Dial, End, Process};
use super::controller_machine::ControllerMachine;
use super::endpoint::EndpointMachine;
use super::engine::OrderCall;
use super::history::History;
use super::network::Network;
use super::place::Place;
use super::router_machine::RouterMachine;
use super::scenario::Scenario;
use super::step::Step;
use super::trace::Trace;
use super::trouble::Troubles;
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

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Happening {
    /// A process tries to connect.
    Dial(Dial),
    /// The other side has taken, or not taken, the connection.
    Connect(Dial),
    /// A frame may have arrived at an end of a connection.
    Arrive { connection: u64, end: End },
    /// A connection that was cut for long ends.
    CutTimeout { connection: u64, since: Duration },
    /// The dialer looks whether it has heard anything.
    Silence { connection: u64 },
    /// A process is told something.
    Notice { process: Process, notice: Notice },
    /// The disk of a controller has done the first write.
    Written { process: Process },
    /// The timer of a controller.
    Wake { process: Process, at: Duration },
    /// An agent looks at its choice of sources, and its router reports demand.
    Review { process: Process },
    /// The timer of an agent or its router: a newer configuration may be fetched.
    Fetch { process: Process, at: Duration },
    /// The grace of a process that was told to end is over.
    GraceOver { process: Process },
    /// A call reaches a controller.
    CallArrives { attempt: u64 },
    /// An answer reaches the caller.
    AnswerArrives { attempt: u64, answer: crate::controller::Answer },
    /// The caller has waited for long, or could not connect.
    AttemptFails { attempt: u64 },
    /// The caller tries the next controller.
    Retry { call: u64 },
    /// An endpoint sends its heartbeat.
    Beat { endpoint: usize, start: u64 },
    /// An order, or a question, leaves its controller.
    SendOrder(OrderCall),
    /// An order, or a question, reaches its endpoint.
    OrderArrives(OrderCall),
    /// Something that must hold by now is looked at.
    Check(Check),
}

/// What a process is told.
#[derive(Debug)]
pub(super) enum Notice {
    Controller(Event),
    /// The agent hears of a source.
    Source(SourceEvent),
    /// The agent hears of its router.
    SubscriberEvent(SubscriberEvent),
    /// The router hears of its agent.
    Agent(SourceEvent),
    /// The process may send this now.
    Send(OrderCall),
}

/// Something that happens, and when; of those at one time the first scheduled goes first.
struct Scheduled {
    at: Duration,
    order: u64,
    happening: Happening,
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

/// Machines, network and time.
pub struct World {
    pub(super) clock: Rc<Cell<Duration>>,
    pub(super) random: SmallRng,
    happenings: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    /// Counts starts of processes.
    pub(super) starts: u64,
    pub(super) controllers: Vec<ControllerMachine>,
    pub(super) routers: Vec<RouterMachine>,
    pub(super) endpoints: Vec<EndpointMachine>,
    pub(super) network: Network,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) next_connection: u64,
    pub(super) calls: Calls,
    pub(super) history: History,
    pub(super) troubles: Troubles,
    pub(super) founders: usize,
    /// Machines that may be lost at once.
    pub(super) tolerance: u32,
    pub(super) fault: Option<ControllerFault>,
    /// Whether a disk is kept while as many are lost as may be at once.
    pub(super) within_tolerance: bool,
    /// The controller that endpoints call first; any if absent.
    pub(super) preferred: Option<usize>,
    pub(super) trace: Trace,
}

impl World {
    /// Plays a scenario to its end or to the first broken rule; `fault` is a deliberate mistake.
    ///
    /// # Errors
    /// The rule that was broken.
    pub fn play(scenario: &Scenario, fault: Option<ControllerFault>) -> Result<(), Violation> {
        Self::new(scenario, fault).play_steps(scenario)
    }

    /// Plays a scenario and gives a digest of all that was sent, stored and ordered, with its times.
    ///
    /// # Errors
    /// The rule that was broken.
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
            self.check_orders_held_back()?;
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
            happenings: BinaryHeap::new(),
            order: 0,
            starts: 0,
            controllers: (0..controllers)
                .map(|index| ControllerMachine::new(index, scenario.founders, tolerance))
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
            troubles: Troubles::default(),
            founders: scenario.founders,
            tolerance,
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
        self.troubles.forget();
    }

    fn step(&mut self, number: usize, step: &Step) -> Result<(), Violation> {
        log::info!("{:?}: {step}", self.now());
        match step {
            Step::Wait(time) => self.run(Duration::from_millis(*time)),
            Step::Settle => self.settle(),
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
            Step::Remove(endpoint) => {
                self.remove_endpoint(*endpoint);
                Ok(())
            }
            _ => {
                self.trouble(step);
                Ok(())
            }
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.get()
    }

    /// Lets time pass.
    pub(super) fn run(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now() + time;
        while self.happenings.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.happenings.pop() else { break };
            self.clock.set(self.now().max(next.at));
            self.happen(next.happening)?;
            if let Some(violation) = self.history.violation.take() {
                return Err(violation);
            }
        }
        self.clock.set(end);
        Ok(())
    }

    pub(super) fn schedule(&mut self, at: Duration, happening: Happening) {
        self.order += 1;
        self.happenings.push(Reverse(Scheduled { at: at.max(self.now()), order: self.order, happening }));
    }

    pub(super) fn notify(&mut self, at: Duration, process: Process, notice: Notice) {
        self.schedule(at, Happening::Notice { process, notice });
    }

    fn happen(&mut self, happening: Happening) -> Result<(), Violation> {
        match happening {
            Happening::Dial(dial) => self.dial(dial),
            Happening::Connect(dial) => self.connect(dial),
            Happening::Arrive { connection, end } => self.arrive(connection, end),
            Happening::CutTimeout { connection, since } => self.cut_timeout(connection, since),
            Happening::Silence { connection } => self.look_for_silence(connection),
            Happening::Notice { process, notice } => self.tell(process, notice),
            Happening::Written { process } => self.written(process),
            Happening::Wake { process, at } => self.wake(process, at),
            Happening::Review { process } => self.review(process),
            Happening::Fetch { process, at } => self.fetch(process, at),
            Happening::GraceOver { process } => self.grace_over(process),
            Happening::CallArrives { attempt } => self.call_arrives(attempt),
            Happening::AnswerArrives { attempt, answer } => self.answer_arrives(attempt, answer),
            Happening::AttemptFails { attempt } => self.attempt_fails(attempt),
            Happening::Retry { call } => self.attempt(call),
            Happening::Beat { endpoint, start } => self.beat(endpoint, start),
            Happening::SendOrder(call) => self.send_order(call),
            Happening::OrderArrives(call) => self.order_arrives(call),
            Happening::Check(check) => return self.check(check),
        }
        Ok(())
    }

    /// Tells a process something, if it is still there; a frozen one hears it once it is thawed.
    pub(super) fn tell(&mut self, process: Process, notice: Notice) {
        match process.place {
            Place::Controller(index) => self.tell_controller(index, process, notice),
            Place::Router(index) => self.tell_router(index, process, notice),
            Place::Endpoint(_) | Place::Operator => {}
        }
    }

    /// A new life of a process.
    pub(super) fn next_process(&mut self, place: Place) -> Process {
        self.starts += 1;
        Process { place, start: self.starts }
    }

    /// The process that runs at a place.
    pub(super) fn running(&self, place: Place) -> Option<Process> {
        match place {
            Place::Controller(index) => self.controllers.get(index)?.process(),
            Place::Router(index) => self.routers.get(index)?.process(),
            Place::Endpoint(_) | Place::Operator => None,
        }
    }

    pub(super) fn is_frozen(&self, place: Place) -> bool {
        match place {
            Place::Controller(index) => self.controllers[index].frozen,
            Place::Router(index) => self.routers[index].frozen,
            Place::Endpoint(_) | Place::Operator => false,
        }
    }
}
