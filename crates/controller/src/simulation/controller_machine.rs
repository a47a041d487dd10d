//! A simulated machine with a controller: a disk, and a process that is started and stopped.

use super::connection::{Dial, Kind, Process};
use super::controller_environment::Request;
use super::disk::{Disk, Write};
use super::engine::OrderCall;
use super::environment::SimulatedEnvironment;
use super::host::{Host, controller_at};
use super::settings::{seed_addresses, set_zone, settings};
use super::world::{Delivery, SimulationEvent, World};
use crate::controller::{Controller, Start};
use crate::message::{Hello, Role};
use lanegate_config::settings::Settings;
use rand::Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A process that is shutting down is killed after this long (`GraceS`).
const GRACE: Duration = Duration::from_secs(8);

/// A running process.
struct Running {
    process: Process,
    incarnation: u64,
    controller: Controller,
    environment: SimulatedEnvironment<Request>,
    /// Links that it has requested, with the dial number of the request.
    links: BTreeMap<SocketAddr, u64>,
    /// When its timer fires.
    wake_at: Option<Duration>,
    /// It is shutting down.
    shutting_down: bool,
}

/// A machine with a controller.
pub(super) struct ControllerMachine {
    pub(super) index: usize,
    pub(super) disk: Disk,
    running: Option<Running>,
    pub(super) frozen: bool,
    /// Permanently removed.
    pub(super) retired: bool,
    /// Whether it has run before.
    pub(super) has_run: bool,
    /// Deliveries that arrived while it was frozen.
    backlog: VecDeque<Delivery>,
    /// The settings file.
    settings: Rc<RefCell<Settings>>,
    next_dial_number: u64,
}

impl ControllerMachine {
    pub(super) fn new(
        index: usize,
        founders: usize,
        tolerance: u32,
        zone: Option<usize>,
        counts_for_quorum: bool,
    ) -> Self {
        let seeds: Vec<usize> = (0..founders).collect();
        let mut settings = settings(Host::Controller(index), &seeds, tolerance, true);
        settings.counts_for_quorum = counts_for_quorum;
        if let Some(zone) = zone {
            set_zone(&mut settings, zone);
        }
        ControllerMachine {
            index,
            disk: Disk::new(),
            running: None,
            frozen: false,
            retired: false,
            has_run: false,
            backlog: VecDeque::new(),
            settings: Rc::new(RefCell::new(settings)),
            next_dial_number: 0,
        }
    }

    pub(super) fn process(&self) -> Option<Process> {
        self.running.as_ref().map(|running| running.process)
    }

    /// Runs, and is not frozen.
    pub(super) fn is_awake(&self) -> bool {
        self.running.is_some() && !self.frozen
    }

    /// Whether the machine counts for a majority.
    pub(super) fn counts_for_quorum(&self) -> bool {
        self.settings.borrow().counts_for_quorum
    }

    /// Whether it is shutting down, and has not ended yet.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.running.as_ref().is_some_and(|running| running.shutting_down)
    }

    pub(super) fn controller(&self) -> Option<&Controller> {
        self.running.as_ref().map(|running| &running.controller)
    }

    /// Whether a link that was dialled is still wanted.
    pub(super) fn wants(&self, dial: &Dial) -> bool {
        let running = self.running.as_ref().filter(|running| running.process == dial.dialer);
        running.is_some_and(|running| running.links.get(&dial.address) == Some(&dial.dial_number))
    }

    /// Replaces the seeds in the settings file.
    pub(super) fn set_seeds(&mut self, seeds: &[usize]) {
        self.settings.borrow_mut().seeds = seed_addresses(seeds);
    }

    pub(super) fn hello(&self) -> Option<Hello> {
        let running = self.running.as_ref()?;
        let host = Host::Controller(self.index);
        Some(Hello {
            role: Role::Controller,
            name: host.node_name().as_str().into(),
            control_address: host.address().to_string().as_str().into(),
            incarnation: running.incarnation,
            source: 0,
            offset: 0,
        })
    }
}

impl World {
    pub(super) fn controller_hello(&self, process: Process) -> Hello {
        let Host::Controller(index) = process.host else { unreachable!("only controllers are peers") };
        self.controllers[index].hello().expect("only a running controller dials")
    }

    /// Starts the process of a machine, unless it runs already.
    pub(super) fn start_controller(&mut self, index: usize) {
        let host = Host::Controller(index);
        let machine = &self.controllers[index];
        if machine.running.is_some() || machine.retired {
            return;
        }
        self.network.set_powered_off(host, false);
        self.end_connections(|connection| connection.touches(host), None);
        let process = self.next_process(host);
        let environment =
            SimulatedEnvironment::new(self.clock.clone(), self.controllers[index].settings.clone());
        let incarnation = self.random.random_range(1..=u64::MAX);
        let machine = &mut self.controllers[index];
        let Some(stored) = machine.disk.open() else { return };
        // Only the first start of the whole system bootstraps the group.
        machine.settings.borrow_mut().bootstrap = self.clock.get().is_zero();
        let settings = machine.settings.borrow().clone();
        machine.has_run = true;
        let start = Start { settings, control: host.address(), incarnation, stored, fault: self.fault };
        let started = Controller::new(start, Box::new(environment.share()));
        let controller = started.expect("simulated settings are complete");
        let links = BTreeMap::new();
        machine.running = Some(Running {
            process,
            incarnation,
            controller,
            environment,
            links,
            wake_at: None,
            shutting_down: false,
        });
        self.execute_controller_requests(index);
        self.paths_changed();
    }

    /// Delivers an event to a controller.
    pub(super) fn deliver_to_controller(&mut self, index: usize, process: Process, delivery: Delivery) {
        let machine = &mut self.controllers[index];
        let Some(running) = machine.running.as_mut().filter(|running| running.process == process) else {
            return;
        };
        if machine.frozen {
            machine.backlog.push_back(delivery);
            return;
        }
        match delivery {
            Delivery::Controller(event) => running.controller.handle_event(event),
            Delivery::Send(call) => return self.send_order(call),
            _ => return,
        }
        self.tick_controller(index);
    }

    fn tick_controller(&mut self, index: usize) {
        let Some(running) = self.controllers[index].running.as_mut() else { return };
        running.controller.tick();
        let has_ended = running.controller.has_shut_down();
        self.execute_controller_requests(index);
        if has_ended {
            self.end_controller(index);
        }
    }

    /// Handles the timer of a controller.
    pub(super) fn wake(&mut self, process: Process, at: Duration) {
        let Host::Controller(index) = process.host else { return };
        let machine = &mut self.controllers[index];
        let Some(running) = machine.running.as_mut().filter(|running| running.process == process) else {
            return;
        };
        if running.wake_at != Some(at) {
            return;
        }
        running.wake_at = None;
        if !machine.frozen {
            self.tick_controller(index);
        }
    }

    /// Executes the requests of a controller.
    pub(super) fn execute_controller_requests(&mut self, index: usize) {
        let Some(process) = self.controllers[index].process() else { return };
        let requests = match &self.controllers[index].running {
            Some(running) => running.environment.take_requests(),
            None => return,
        };
        for request in requests {
            self.execute_request(index, process, request);
        }
        self.start_write(index);
        self.pump_all(process);
        self.collect_answers(process);
        self.set_timer(index);
    }

    fn execute_request(&mut self, index: usize, process: Process, request: Request) {
        match request {
            Request::OpenLink(peer) => self.open_link(index, process, peer),
            Request::CloseLink(peer) => {
                if let Some(running) = self.controllers[index].running.as_mut() {
                    running.links.remove(&peer);
                }
                let is_link = |dial: &Dial| dial.dialer == process && dial.address == peer;
                self.end_connections(|connection| is_link(&connection.dial), Some(process));
            }
            Request::Write(write) => self.queue_write(index, write),
            Request::WriteTombstones(write) => {
                self.trace.tombstones_stored(self.clock.get(), index, write.version, &write.record);
                self.controllers[index].disk.queue(Write::Tombstones(write));
            }
            Request::ExecuteAction { action, epoch, send_by } => {
                self.trace.service_action(self.clock.get(), index, &action, epoch, send_by);
                let call = OrderCall { sender: process, action, epoch, send_by };
                let endpoint = call.endpoint().map_or(process.host, Host::Endpoint);
                let connected = self.delay(process.host, endpoint) + self.delay(endpoint, process.host);
                self.schedule(self.now() + connected, SimulationEvent::SendOrder(call));
            }
        }
    }

    fn open_link(&mut self, index: usize, process: Process, peer: SocketAddr) {
        let machine = &mut self.controllers[index];
        let Some(running) = machine.running.as_mut() else { return };
        machine.next_dial_number += 1;
        running.links.insert(peer, machine.next_dial_number);
        let Some(listener) = controller_at(peer) else { return };
        let dial = Dial {
            kind: Kind::Peer,
            dialer: process,
            listener: Host::Controller(listener),
            address: peer,
            dial_number: machine.next_dial_number,
        };
        self.schedule(self.now(), SimulationEvent::Dial(dial));
    }

    fn queue_write(&mut self, index: usize, write: Write) {
        if let Write::Shard { shard, token, record } = &write {
            let record = record.encode().unwrap_or_default();
            self.trace.stored(self.clock.get(), index, *shard, *token, &record);
        }
        self.controllers[index].disk.queue(write);
    }

    /// Starts the next write of the disk.
    pub(super) fn start_write(&mut self, index: usize) {
        let Some(process) = self.controllers[index].process() else { return };
        let disk = &mut self.controllers[index].disk;
        if !disk.is_ready() {
            return;
        }
        disk.busy = true;
        let time = disk.longest_write.mul_f64(self.random.random::<f64>());
        self.schedule(self.now() + time, SimulationEvent::Written { process });
    }

    /// The disk of a controller has finished the first write of its queue.
    pub(super) fn written(&mut self, process: Process) {
        let Host::Controller(index) = process.host else { return };
        if self.controllers[index].process() != Some(process) {
            return;
        }
        let written = self.controllers[index].disk.finish_write();
        if let Some(event) = written {
            self.deliver_to_controller(index, process, Delivery::Controller(event));
        }
        self.start_write(index);
    }

    fn set_timer(&mut self, index: usize) {
        let Some(running) = self.controllers[index].running.as_mut() else { return };
        let wake = running.environment.started + running.controller.next_wake();
        if running.wake_at == Some(wake) {
            return;
        }
        running.wake_at = Some(wake);
        let process = running.process;
        self.schedule(wake, SimulationEvent::Wake { process, at: wake });
    }

    /// A frozen controller continues: it first handles the backlog of deliveries, and then its timer.
    pub(super) fn thaw_controller(&mut self, index: usize) {
        let machine = &mut self.controllers[index];
        if !std::mem::take(&mut machine.frozen) {
            return;
        }
        let backlog = std::mem::take(&mut machine.backlog);
        for delivery in backlog {
            match (delivery, &mut self.controllers[index].running) {
                (Delivery::Controller(event), Some(running)) => running.controller.handle_event(event),
                (Delivery::Send(call), _) => self.send_order(call),
                _ => {}
            }
        }
        self.tick_controller(index);
    }

    /// Kills the process; messages that it has sent still arrive.
    pub(super) fn kill_controller(&mut self, index: usize) {
        let Some(process) = self.controllers[index].process() else { return };
        self.end_connections(|connection| connection.involves(process), Some(process));
        self.drop_controller(index);
        self.controllers[index].disk.interrupt(&mut self.random);
    }

    /// Powers the machine off: messages in flight are lost, and its peers receive no reset.
    pub(super) fn lose_power(&mut self, index: usize) {
        self.drop_controller(index);
        let disk = &mut self.controllers[index].disk;
        disk.interrupt(&mut self.random);
        disk.lose_power(&mut self.random);
        self.network.set_powered_off(Host::Controller(index), true);
        self.paths_changed();
    }

    fn drop_controller(&mut self, index: usize) {
        let machine = &mut self.controllers[index];
        let Some(running) = machine.running.take() else { return };
        machine.frozen = false;
        machine.backlog.clear();
        self.drop_answers(running.process);
    }

    /// The process is asked to shut down.
    pub(super) fn stop_controller(&mut self, index: usize) {
        let Some(running) = self.controllers[index].running.as_mut() else { return };
        running.shutting_down = true;
        running.controller.begin_shutdown();
        let process = running.process;
        self.schedule(self.now() + GRACE, SimulationEvent::GraceOver { process });
        self.tick_controller(index);
    }

    /// The grace period of a process that is shutting down has expired.
    pub(super) fn grace_over(&mut self, process: Process) {
        let Host::Controller(index) = process.host else { return };
        if self.controllers[index].process() == Some(process) {
            self.end_controller(index);
        }
    }

    fn end_controller(&mut self, index: usize) {
        self.kill_controller(index);
        self.fault_history.record_core_fault(self.clock.get());
        self.detect_losses();
        self.expect_complete_groups();
    }

    /// The settings file of a controller names other seeds, and it is notified.
    pub(super) fn change_seeds(&mut self, index: usize, seeds: &[usize]) {
        self.controllers[index].set_seeds(seeds);
        if self.controllers[index].is_awake() {
            if let Some(running) = self.controllers[index].running.as_mut() {
                running.controller.read_settings();
            }
            self.tick_controller(index);
        }
    }
}
