//! Steps that inject faults or end them, and when each machine was last affected by one.

use super::checks::Losses;
use super::host::Host;
use super::step::{Scope, Step};
use super::world::World;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Orders that arrive within this time after a thaw or the end of a partition are not checked.
const THAW: Duration = Duration::from_millis(300);

/// When each machine was last affected by a fault.
#[derive(Debug, Default)]
pub(super) struct FaultHistory {
    /// Time of the last step that affected a controller's machine or a path between two of them.
    core_at: Option<Duration>,
    machines: BTreeMap<Host, Duration>,
    thawed: BTreeMap<Host, Duration>,
    /// Last time at which more machines were lost than the fault tolerance allows.
    pub(super) beyond_at: Option<Duration>,
    pub(super) losses: Losses,
    /// Controllers that have lost their disk at any time.
    pub(super) disks_lost: BTreeSet<usize>,
    /// Number of steps so far that injected or ended a fault.
    pub(super) steps: u64,
}

impl FaultHistory {
    /// Clears the history, as the start of all processes does not count as a fault.
    pub(super) fn reset(&mut self) {
        *self = FaultHistory::default();
    }

    /// Records that controllers or the paths between them were affected by a step.
    pub(super) fn record_core_fault(&mut self, now: Duration) {
        self.core_at = Some(now);
        self.steps += 1;
    }

    /// Records that a machine was affected by a step.
    pub(super) fn record_machine_fault(&mut self, now: Duration, host: Host) {
        self.machines.insert(host, now);
        if matches!(host, Host::Controller(_)) {
            self.record_core_fault(now);
        }
    }

    pub(super) fn record_thaw(&mut self, now: Duration, host: Host) {
        self.thawed.insert(host, now);
    }

    pub(super) fn was_thawed_lately(&self, host: Host, now: Duration) -> bool {
        self.thawed.get(&host).is_some_and(|at| now < *at + THAW)
    }

    /// When a controller or a path between two of them was last affected.
    pub(super) fn last_core_fault(&self) -> Duration {
        self.core_at.unwrap_or_default()
    }

    /// When a machine was last affected.
    pub(super) fn last_machine_fault(&self, host: Host) -> Duration {
        self.machines.get(&host).copied().unwrap_or_default()
    }
}

impl World {
    /// Executes a step that injects or ends a fault.
    pub(super) fn inject_fault(&mut self, step: &Step) {
        let now = self.now();
        match step {
            Step::Partition { from, to } => self.partition(*from, *to),
            Step::Blackhole { from, to } => {
                self.network.blackhole(*from, *to);
                self.paths_changed();
            }
            Step::Lag { from, to, time } => {
                self.network.set_lag(*from, *to, Duration::from_millis(*time));
            }
            Step::ResetOneSide { host, peer } => self.reset_one_side(*host, *peer),
            Step::Isolate { host, scope } => self.isolate(*host, *scope),
            Step::Split(set) => self.split(set),
            Step::Heal => self.heal(),
            Step::Refuse(host) => self.network.refuse(*host),
            Step::Reset(host) => self.end_connections(|connection| connection.touches(*host), None),
            Step::Delay(time) => self.network.set_max_delay(Duration::from_millis(*time)),
            Step::Rate(rate) => self.network.set_rate(Some(*rate)),
            Step::Kill(host) => self.kill(*host),
            Step::Power(index) => self.lose_power(*index),
            Step::Wipe(index) => self.wipe(*index),
            Step::Retire(index) => self.retire(*index),
            Step::Start(host) => self.start(*host),
            Step::Stop(index) => self.stop_controller(*index),
            Step::Freeze(host) => self.freeze(*host),
            Step::Thaw(host) => self.thaw(*host),
            Step::Slow(index, time) => {
                self.controllers[*index].disk.longest_write = Duration::from_millis(*time);
            }
            Step::Stall(index) => self.controllers[*index].disk.stall(),
            Step::Full(index) => self.controllers[*index].disk.fill(),
            Step::Work(index) => self.repair_disk(*index),
            Step::Seeds(seeds) => self.change_all_seeds(seeds),
            Step::UnsignalledSeeds(seeds) => self.write_all_seeds(seeds),
            Step::Crash(index) => self.crash_endpoint(*index),
            _ => return,
        }
        self.record_fault(step, now);
    }

    fn record_fault(&mut self, step: &Step, now: Duration) {
        match step {
            Step::Crash(_) => return,
            Step::Heal
            | Step::Delay(_)
            | Step::Rate(_)
            | Step::Split(_)
            | Step::Seeds(_)
            | Step::UnsignalledSeeds(_) => {
                self.fault_history.record_core_fault(now);
                for index in 0..self.routers.len() {
                    self.fault_history.record_machine_fault(now, Host::Router(index));
                }
            }
            Step::Partition { from, to }
            | Step::Blackhole { from, to }
            | Step::Lag { from, to, .. }
            | Step::ResetOneSide { host: from, peer: to } => {
                self.fault_history.record_machine_fault(now, *from);
                self.fault_history.record_machine_fault(now, *to);
            }
            Step::Isolate { host, .. }
            | Step::Refuse(host)
            | Step::Reset(host)
            | Step::Kill(host)
            | Step::Start(host)
            | Step::Freeze(host)
            | Step::Thaw(host) => self.fault_history.record_machine_fault(now, *host),
            _ => self.fault_history.record_core_fault(now),
        }
        self.detect_losses();
        self.expect_complete_groups();
    }

    fn partition(&mut self, from: Host, to: Host) {
        self.network.partition(from, to);
        self.paths_changed();
    }

    fn isolate(&mut self, host: Host, scope: Scope) {
        let others = match scope {
            Scope::Peers => self.controller_hosts(),
            Scope::All => self.all_hosts(),
        };
        for other in others {
            self.network.partition(host, other);
            self.network.partition(other, host);
        }
        self.paths_changed();
    }

    /// Partitions the machines of a set from all others, and ends all other partitions.
    fn split(&mut self, set: &[Host]) {
        self.heal();
        let hosts = self.all_hosts();
        for from in &hosts {
            for to in hosts.iter().filter(|to| set.contains(from) != set.contains(to)) {
                self.network.partition(*from, *to);
            }
        }
        self.paths_changed();
    }

    fn heal(&mut self) {
        self.network.heal();
        let lagged = self.network.end_lags();
        let now = self.now();
        for host in self.controller_hosts() {
            self.fault_history.record_thaw(now, host);
        }
        self.paths_changed();
        self.empty_queues(&lagged);
        self.release_delayed_calls();
    }

    fn controller_hosts(&self) -> Vec<Host> {
        (0..self.controllers.len()).map(Host::Controller).collect()
    }

    fn all_hosts(&self) -> Vec<Host> {
        let routers = (0..self.routers.len()).map(Host::Router);
        let endpoints = (0..self.endpoints.len()).map(Host::Endpoint);
        let others = routers.chain(endpoints).chain([Host::Operator]);
        self.controller_hosts().into_iter().chain(others).collect()
    }

    fn kill(&mut self, host: Host) {
        match host {
            Host::Controller(index) => self.kill_controller(index),
            Host::Router(index) => self.kill_router(index),
            Host::Endpoint(index) => self.crash_endpoint(index),
            Host::Operator => {}
        }
    }

    /// Starts a process again, with the content of its disk.
    pub(super) fn start(&mut self, host: Host) {
        match host {
            Host::Controller(index) => self.start_controller(index),
            Host::Router(index) => self.start_router(index),
            Host::Endpoint(index) => self.start_endpoint(index),
            Host::Operator => {}
        }
    }

    /// The machine loses its disk and its process, unless too few records would be left.
    fn wipe(&mut self, index: usize) {
        if !self.may_lose_disk(index) {
            return;
        }
        self.kill_controller(index);
        self.lose_disk(index);
    }

    fn lose_disk(&mut self, index: usize) {
        self.controllers[index].disk.wipe();
        self.fault_history.disks_lost.insert(index);
    }

    /// The machine is retired, unless too few records would be left.
    fn retire(&mut self, index: usize) {
        if !self.may_lose_disk(index) {
            return;
        }
        self.lose_power(index);
        self.lose_disk(index);
        self.controllers[index].retired = true;
    }

    fn freeze(&mut self, host: Host) {
        match host {
            Host::Controller(index) => {
                self.controllers[index].frozen = self.controllers[index].process().is_some();
            }
            Host::Router(index) => self.routers[index].frozen = self.routers[index].process().is_some(),
            Host::Endpoint(_) | Host::Operator => {}
        }
    }

    pub(super) fn thaw(&mut self, host: Host) {
        let now = self.now();
        self.fault_history.record_thaw(now, host);
        match host {
            Host::Controller(index) => self.thaw_controller(index),
            Host::Router(index) => self.thaw_router(index),
            Host::Endpoint(_) | Host::Operator => {}
        }
    }

    pub(super) fn repair_disk(&mut self, index: usize) {
        self.controllers[index].disk.repair();
        self.start_write(index);
    }

    /// All settings files name other seeds.
    fn write_all_seeds(&mut self, seeds: &[usize]) {
        self.controllers.iter_mut().for_each(|machine| machine.set_seeds(seeds));
        self.routers.iter_mut().for_each(|machine| machine.set_seeds(seeds));
    }

    pub(super) fn change_all_seeds(&mut self, seeds: &[usize]) {
        for index in 0..self.controllers.len() {
            self.change_seeds(index, seeds);
        }
        for index in 0..self.routers.len() {
            self.change_router_seeds(index, seeds);
        }
    }
}
