//! A simulated machine with an agent and a stub router, which only stores what its feed client delivers.

use super::agent_environment::Request;
use super::connection::{Dial, Kind, Process};
use super::environment::SimulatedEnvironment;
use super::host::{Host, controller_at};
use super::settings::{seed_addresses, settings};
use super::world::{Delivery, SimulationEvent, World};
use crate::agent::{Agent, SOURCE_REVIEW_PERIOD};
use crate::feed_client::Client;
use crate::message::Hello;
use lanegate_config::configuration::Configuration;
use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::Instance;
use lanegate_config::settings::Settings;
use rand::Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Address on which an agent accepts its router.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7100);
/// Requests for each model that a router reports at each review.
const REQUESTS: u32 = 5;

/// A link that an agent has requested to a source.
struct SourceLink {
    dial_number: u64,
    hello: Hello,
}

/// The running processes of a machine.
struct Running {
    process: Process,
    agent: Agent,
    environment: SimulatedEnvironment<Request>,
    source_links: BTreeMap<SocketAddr, SourceLink>,
    client: Client,
    events: mpsc::UnboundedReceiver<FeedEvent>,
    /// When the fetch timer fires.
    fetch_at: Option<Duration>,
}

/// The state that a router has received.
#[derive(Debug, Default)]
pub(super) struct RouterState {
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) instances: BTreeMap<String, Instance>,
}

/// A machine with an agent and a router.
pub(super) struct RouterMachine {
    index: usize,
    running: Option<Running>,
    pub(super) known: RouterState,
    pub(super) frozen: bool,
    backlog: VecDeque<Delivery>,
    settings: Rc<RefCell<Settings>>,
    next_dial_number: u64,
}

impl RouterMachine {
    pub(super) fn new(index: usize, founders: usize, tolerance: u32) -> Self {
        let seeds: Vec<usize> = (0..founders).collect();
        let settings = settings(Host::Router(index), &seeds, tolerance, false);
        RouterMachine {
            index,
            running: None,
            known: RouterState::default(),
            frozen: false,
            backlog: VecDeque::new(),
            settings: Rc::new(RefCell::new(settings)),
            next_dial_number: 0,
        }
    }

    pub(super) fn process(&self) -> Option<Process> {
        self.running.as_ref().map(|running| running.process)
    }

    pub(super) fn is_awake(&self) -> bool {
        self.running.is_some() && !self.frozen
    }

    /// Whether the agent still wants the link that was dialled.
    pub(super) fn follows(&self, dial: &Dial) -> bool {
        let running = self.running.as_ref().filter(|running| running.process == dial.dialer);
        let follow = running.and_then(|running| running.source_links.get(&dial.address));
        follow.is_some_and(|follow| follow.dial_number == dial.dial_number)
    }

    pub(super) fn set_seeds(&mut self, seeds: &[usize]) {
        self.settings.borrow_mut().seeds = seed_addresses(seeds);
    }
}

impl World {
    pub(super) fn agent_hello(&self, dial: &Dial) -> Hello {
        let Host::Router(index) = dial.dialer.host else { unreachable!("only agents follow feeds") };
        let running = self.routers[index].running.as_ref().expect("only a running agent dials");
        running.source_links[&dial.address].hello.clone()
    }

    pub(super) fn router_hello(&self, process: Process) -> Hello {
        let Host::Router(index) = process.host else { unreachable!("only routers dial agents") };
        self.routers[index].running.as_ref().expect("only a running router dials").client.hello()
    }

    /// Starts agent and router of a machine, unless they run already.
    pub(super) fn start_router(&mut self, index: usize) {
        if self.routers[index].running.is_some() {
            return;
        }
        let host = Host::Router(index);
        let process = self.next_process(host);
        let settings = self.routers[index].settings.clone();
        let environment = SimulatedEnvironment::new(self.clock.clone(), settings.clone());
        let incarnation = self.random.random_range(1..=u64::MAX);
        let own = settings.borrow().clone();
        let agent = Agent::new(own.clone(), incarnation, Box::new(environment.share()));
        let (sender, events) = mpsc::unbounded_channel();
        let client = Client::new(own, self.random.random_range(1..=u64::MAX), sender);
        let source_links = BTreeMap::new();
        let machine = &mut self.routers[index];
        machine.running =
            Some(Running { process, agent, environment, source_links, client, events, fetch_at: None });
        machine.known = RouterState::default();
        self.history.router_started(index);
        self.schedule(self.now(), SimulationEvent::Review { process });
        let dial =
            Dial { kind: Kind::Loopback, dialer: process, listener: host, address: LOOPBACK, dial_number: 0 };
        self.schedule(self.now(), SimulationEvent::Dial(dial));
    }

    pub(super) fn kill_router(&mut self, index: usize) {
        let Some(process) = self.routers[index].process() else { return };
        self.end_connections(|connection| connection.involves(process), Some(process));
        let machine = &mut self.routers[index];
        machine.running = None;
        machine.frozen = false;
        machine.backlog.clear();
        machine.known = RouterState::default();
    }

    /// Delivers an event to an agent or its router.
    pub(super) fn deliver_to_router(&mut self, index: usize, process: Process, delivery: Delivery) {
        let machine = &mut self.routers[index];
        let Some(running) = machine.running.as_mut().filter(|running| running.process == process) else {
            return;
        };
        if machine.frozen {
            machine.backlog.push_back(delivery);
            return;
        }
        let now = self.clock.get().saturating_sub(running.environment.started);
        match delivery {
            Delivery::Source(news) => running.agent.on_source_event(news),
            Delivery::SubscriberEvent(event) => running.agent.on_subscriber_event(event),
            Delivery::Agent(news) => {
                running.client.on_agent_event(now, news);
            }
            Delivery::Controller(_) | Delivery::Send(_) => return,
        }
        self.execute_router_requests(index);
    }

    /// The agent reviews its sources, and the router reports its demand.
    pub(super) fn review(&mut self, process: Process) {
        let Host::Router(index) = process.host else { return };
        if self.routers[index].process() != Some(process) {
            return;
        }
        self.schedule(self.now() + SOURCE_REVIEW_PERIOD, SimulationEvent::Review { process });
        if self.routers[index].frozen {
            return;
        }
        let report = self.routers[index].demand();
        if let Some(running) = self.routers[index].running.as_mut() {
            running.agent.review_sources();
            running.client.send_demand(&report);
        }
        self.execute_router_requests(index);
    }

    pub(super) fn thaw_router(&mut self, index: usize) {
        let machine = &mut self.routers[index];
        if !std::mem::take(&mut machine.frozen) {
            return;
        }
        let Some(process) = machine.process() else { return };
        let backlog = std::mem::take(&mut machine.backlog);
        for delivery in backlog {
            self.deliver_to_router(index, process, delivery);
        }
    }

    /// Handles the fetch timer of an agent or its router.
    pub(super) fn fetch(&mut self, process: Process, at: Duration) {
        let Host::Router(index) = process.host else { return };
        let machine = &mut self.routers[index];
        let Some(running) = machine.running.as_mut().filter(|running| running.process == process) else {
            return;
        };
        if running.fetch_at == Some(at) {
            running.fetch_at = None;
            if !machine.frozen {
                self.execute_router_requests(index);
            }
        }
    }

    /// Runs the fetches of agent and router that are due, and sets the timer for the next one.
    fn fetch_due(&mut self, index: usize) {
        let Some(running) = self.routers[index].running.as_mut() else { return };
        let started = running.environment.started;
        let now = self.clock.get().saturating_sub(started);
        running.agent.fetch();
        running.client.fetch(now);
        let next = running.agent.next_fetch().into_iter().chain(running.client.next_fetch(now)).min();
        let Some(at) = next.map(|at| started + at).filter(|at| running.fetch_at != Some(*at)) else { return };
        running.fetch_at = Some(at);
        let process = running.process;
        self.schedule(at, SimulationEvent::Fetch { process, at });
    }

    fn execute_router_requests(&mut self, index: usize) {
        let Some(process) = self.routers[index].process() else { return };
        let requests = match &self.routers[index].running {
            Some(running) => running.environment.take_requests(),
            None => return,
        };
        for request in requests {
            match request {
                Request::Follow { source, hello } => self.follow_source(index, process, source, hello),
                Request::Unfollow(source) => self.unfollow_source(index, process, source),
            }
        }
        self.take_feed_events(index);
        self.fetch_due(index);
        self.pump_all(process);
    }

    fn follow_source(&mut self, index: usize, process: Process, source: SocketAddr, hello: Hello) {
        let Some(listener) = controller_at(source) else { return };
        let machine = &mut self.routers[index];
        machine.next_dial_number += 1;
        let dial_number = machine.next_dial_number;
        if let Some(running) = machine.running.as_mut() {
            running.source_links.insert(source, SourceLink { dial_number, hello });
        }
        let listener = Host::Controller(listener);
        let dial = Dial { kind: Kind::Feed, dialer: process, listener, address: source, dial_number };
        self.schedule(self.now(), SimulationEvent::Dial(dial));
    }

    fn unfollow_source(&mut self, index: usize, process: Process, source: SocketAddr) {
        if let Some(running) = self.routers[index].running.as_mut() {
            running.source_links.remove(&source);
        }
        let is_it = |dial: &Dial| dial.dialer == process && dial.address == source;
        self.end_connections(|connection| is_it(&connection.dial), Some(process));
    }

    /// The router applies the events of its feed client.
    fn take_feed_events(&mut self, index: usize) {
        let now = self.now();
        let machine = &mut self.routers[index];
        let Some(running) = machine.running.as_mut() else { return };
        while let Ok(event) = running.events.try_recv() {
            match event {
                FeedEvent::Configuration(configuration) => {
                    self.history.router_has(index, &configuration);
                    self.trace.router_configuration(now, index, configuration.version);
                    machine.known.configuration = Some(configuration);
                }
                FeedEvent::Instance(instance) => {
                    self.trace.router_instance(now, index, &instance.id, instance.sequence);
                    machine.known.instances.insert(instance.id.clone(), instance);
                }
                FeedEvent::Removed { id } => {
                    self.trace.router_instance_removed(now, index, &id);
                    machine.known.instances.remove(&id);
                    let is_live = self.endpoints.iter().any(|endpoint| endpoint.is_ready_as(&id));
                    self.history.lost += usize::from(is_live);
                }
                FeedEvent::Routers { .. }
                | FeedEvent::Behind { .. }
                | FeedEvent::AgentLink { .. }
                | FeedEvent::Synchronized => {}
            }
        }
        self.history.seen_at = now;
    }

    /// The settings file of an agent names other seeds, and it is notified.
    pub(super) fn change_router_seeds(&mut self, index: usize, seeds: &[usize]) {
        self.routers[index].set_seeds(seeds);
        if let Some(running) = self.routers[index].running.as_mut() {
            running.agent.read_settings();
        }
    }
}

impl RouterMachine {
    /// A demand report with [`REQUESTS`] requests for each model of the configuration.
    fn demand(&self) -> DemandReport {
        let configuration = self.known.configuration.iter();
        let backends = configuration.flat_map(|configuration| &configuration.backends);
        let mut models = Vec::new();
        for backend in backends {
            let named = backend.runtime.iter().flat_map(|runtime| &runtime.models);
            models.extend(named.map(|model| ModelDemand {
                backend: backend.name.clone(),
                model: model.name.clone(),
                adapter: None,
                requests: REQUESTS,
                tokens: u64::from(REQUESTS),
                unplaced: 0,
            }));
        }
        DemandReport { period_ms: SOURCE_REVIEW_PERIOD.as_millis() as u32, models }
    }

    /// Text of the agent's metrics, while it runs.
    pub(super) fn agent_metrics(&self) -> Option<String> {
        let metrics = self.running.as_ref()?.agent.metrics();
        Some(metrics.render().expect("strings take any text"))
    }

    /// Name of the machine.
    pub(super) fn host(&self) -> Host {
        Host::Router(self.index)
    }
}
