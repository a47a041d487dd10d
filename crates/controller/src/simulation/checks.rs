//! Checks of time bounds: which hosts are connected, how many machines are lost, and what must hold until when.

use super::host::{Host, controller_at};
use super::violation::Violation;
use super::world::{SimulationEvent, World};
use crate::controller::Records;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// `ConfigApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `DrainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `ContactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `CatchUpS`.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `RecoverS`.
const RECOVER: Duration = Duration::from_secs(12);
/// How long an acknowledged operation is checked after its bound has passed, and the interval between checks.
const CHECK_SPAN: Duration = Duration::from_secs(12);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// `LeaseMs`.
pub(super) const LEASE: Duration = Duration::from_millis(3_000);

/// A condition that must hold at a time.
#[derive(Debug, Clone, Copy)]
pub(super) enum Check {
    /// Every connected router has this version or a newer one.
    Applied { version: u64, until: Duration },
    /// No connected router considers this incarnation of an endpoint ready, whether the controller that acknowledged its end
    /// was connected or not.
    Drained { endpoint: usize, start: u64, until: Duration },
    /// Every shard's group is complete. Skipped if the number of fault steps is no longer `steps`.
    GroupsComplete { steps: u64 },
}

/// The controllers that are lost now, and the last time at which each was lost.
#[derive(Debug, Default)]
pub(super) struct Losses {
    now: BTreeSet<usize>,
    last: BTreeMap<usize, Duration>,
}

impl World {
    pub(super) fn apply_bound(&self) -> Duration {
        CONFIG_APPLY
    }

    pub(super) fn drain_bound(&self) -> Duration {
        DRAIN
    }

    pub(super) fn check(&mut self, check: Check) -> Result<(), Violation> {
        match check {
            Check::Applied { version, until } => {
                self.check_applied(version)?;
                self.check_again(check, until);
                Ok(())
            }
            Check::Drained { endpoint, start, until } => {
                self.check_drained(endpoint, start)?;
                self.check_again(check, until);
                Ok(())
            }
            Check::GroupsComplete { steps } if steps == self.fault_history.steps => {
                self.check_groups_complete()
            }
            Check::GroupsComplete { .. } => Ok(()),
        }
    }

    /// Schedules a check of an acknowledged operation from `due` on. It must hold from its bound on, and is checked several
    /// times, as routers may be disconnected at the first check.
    pub(super) fn check_from(&mut self, due: Duration, check: impl FnOnce(Duration) -> Check) {
        self.schedule(due, SimulationEvent::Check(check(due + CHECK_SPAN)));
    }

    fn check_again(&mut self, check: Check, until: Duration) {
        let next = self.now() + CHECK_INTERVAL;
        if next <= until {
            self.schedule(next, SimulationEvent::Check(check));
        }
    }

    fn check_applied(&self, acknowledged: u64) -> Result<(), Violation> {
        for index in self.connected_routers() {
            let configuration = self.routers[index].known.configuration.as_ref();
            let version = configuration.map_or(0, |configuration| configuration.version);
            if version < acknowledged {
                let router = self.routers[index].host();
                return Err(Violation::NotApplied { router, version, acknowledged });
            }
        }
        Ok(())
    }

    /// Checks that no controller planned an order that its final check had to withhold.
    pub(super) fn check_orders_withheld(&self) -> Result<(), Violation> {
        for machine in &self.controllers {
            let orders = machine.controller().map_or(0, |controller| controller.violations().total());
            if orders > 0 {
                return Err(Violation::OrdersWithheld { sender: Host::Controller(machine.index), orders });
            }
        }
        Ok(())
    }

    fn check_drained(&self, endpoint: usize, start: u64) -> Result<(), Violation> {
        if self.endpoints[endpoint].start != start {
            return Ok(());
        }
        for index in self.connected_routers() {
            let (router, endpoint) = (Host::Router(index), Host::Endpoint(endpoint));
            if self.uses(router, endpoint) {
                return Err(Violation::DrainNotApplied { router, endpoint });
            }
        }
        Ok(())
    }

    /// Schedules a check that groups are complete `CatchUpS` after the last fault, if enough machines are left.
    pub(super) fn expect_complete_groups(&mut self) {
        let check = Check::GroupsComplete { steps: self.fault_history.steps };
        self.schedule(self.now() + CATCH_UP, SimulationEvent::Check(check));
    }

    fn check_groups_complete(&self) -> Result<(), Violation> {
        let mut working = self.working_controllers();
        working.retain(|index| self.controllers[*index].counts_for_quorum());
        let size = 2 * self.tolerance as usize + 1;
        let refuse = working.iter().any(|index| self.network.is_refusing(Host::Controller(*index)));
        let stable = self.is_core_stable(Duration::ZERO) && self.disks_are_healthy(&working);
        if working.len() < size || refuse || !stable {
            return Ok(());
        }
        for (shard, group) in self.newest_groups().iter().enumerate() {
            let is_good = |host: &Host| matches!(host, Host::Controller(index) if working.contains(index));
            if group.len() < size || !group.iter().all(is_good) {
                return Err(Violation::GroupIncomplete { shard: shard as u8, group: format!("{group:?}") });
            }
        }
        Ok(())
    }

    fn disks_are_healthy(&self, controllers: &BTreeSet<usize>) -> bool {
        controllers.iter().all(|index| self.controllers[*index].disk.is_healthy())
    }

    /// Controllers that run and have a healthy path to more than half of the controllers that are not retired.
    pub(super) fn working_controllers(&self) -> BTreeSet<usize> {
        let core = self.controllers.iter().filter(|machine| !machine.retired).count();
        let awake: Vec<usize> = self
            .controllers
            .iter()
            .filter(|machine| machine.is_awake() && !machine.is_shutting_down())
            .map(|machine| machine.index)
            .collect();
        let reaches = |from: usize, to: usize| {
            from == to || self.network.is_healthy_between(Host::Controller(from), Host::Controller(to))
        };
        let reached = |from: usize| awake.iter().filter(|to| reaches(from, **to)).count();
        awake.iter().copied().filter(|index| 2 * reached(*index) > core).collect()
    }

    /// Whether the controllers and the paths between them have had no fault for `span`, a majority of them works, and the
    /// fault tolerance is not exceeded.
    fn is_core_stable(&self, span: Duration) -> bool {
        let core = self.controllers.iter().filter(|machine| !machine.retired).count();
        let working = self.working_controllers();
        let all_connected = working.iter().all(|one| {
            working.iter().all(|other| {
                one == other
                    || self.network.is_healthy_between(Host::Controller(*one), Host::Controller(*other))
            })
        });
        let disks = (0..self.controllers.len()).all(|index| !self.controllers[index].disk.is_slow());
        2 * working.len() > core
            && all_connected
            && disks
            && self.network.has_normal_speed()
            && self.fault_history.last_core_fault() + span <= self.now()
            && !self.is_beyond_tolerance()
    }

    /// Routers for which the time bounds apply now.
    fn connected_routers(&self) -> Vec<usize> {
        if !self.is_core_stable(CONTACT) {
            return Vec::new();
        }
        let working = self.working_controllers();
        let in_touch = |index: &usize| {
            let router = Host::Router(*index);
            self.routers[*index].is_awake()
                && self.fault_history.last_machine_fault(router) + CONTACT <= self.now()
                && working.iter().all(|at| self.network.is_healthy_between(router, Host::Controller(*at)))
        };
        (0..self.routers.len()).filter(in_touch).collect()
    }

    /// Whether the number of machines lost at the same time exceeds the fault tolerance, or recently did.
    fn is_beyond_tolerance(&self) -> bool {
        let counts = self.fault_history.losses.now.len() > self.tolerance as usize;
        counts || self.fault_history.beyond_at.is_some_and(|at| self.now() < at + RECOVER)
    }

    /// Updates the lost machines. A machine counts as lost for [`CATCH_UP`] after it is back; so does a retired one,
    /// from its retirement on, if enough others are left.
    pub(super) fn detect_losses(&mut self) {
        let now = self.now();
        let working = self.working_controllers();
        let enough_left = working.len() >= self.founders;
        let is_lost = |machine: &super::controller_machine::ControllerMachine| {
            let is_bad = !working.contains(&machine.index) || machine.disk.is_slow();
            is_bad && !(machine.retired && enough_left) && machine.has_run
        };
        let lost: BTreeSet<usize> =
            self.controllers.iter().filter(|machine| is_lost(machine)).map(|machine| machine.index).collect();
        let pair_is_cut = working.iter().any(|one| {
            working.iter().any(|other| {
                one != other
                    && !self.network.is_healthy_between(Host::Controller(*one), Host::Controller(*other))
            })
        });
        let losses = &mut self.fault_history.losses;
        for index in losses.now.iter().chain(&lost) {
            losses.last.insert(*index, now);
        }
        losses.now = lost;
        let recent = losses.last.values().filter(|at| now < **at + CATCH_UP).count();
        if recent + usize::from(pair_is_cut) > self.tolerance as usize {
            self.fault_history.beyond_at = Some(now);
        }
    }

    /// The newest group of each shard that any running controller has learned of.
    pub(super) fn newest_groups(&self) -> Vec<Vec<Host>> {
        let mut newest: Vec<(u64, Vec<Host>)> = Vec::new();
        for controller in self.controllers.iter().filter_map(|machine| machine.controller()) {
            for (shard, (revision, members)) in controller.learned_groups().into_iter().enumerate() {
                if newest.len() <= shard {
                    newest.push((0, Vec::new()));
                }
                if revision > newest[shard].0 || newest[shard].1.is_empty() {
                    newest[shard] = (revision, hosts(&members));
                }
            }
        }
        newest.into_iter().map(|(_, group)| group).collect()
    }

    /// The controllers that act for shards, once per shard. Shards for which no controller acts are left out.
    pub(super) fn holders(&self) -> Vec<Host> {
        let awake = self.controllers.iter().filter(|machine| machine.is_awake());
        let mut holders = Vec::new();
        for machine in awake {
            let shards = machine.controller().map_or(0, |controller| controller.acting_shards());
            holders.extend(std::iter::repeat_n(Host::Controller(machine.index), shards));
        }
        holders
    }

    /// Whether the loss of a disk is repaired: the machine has every record again or, if it is retired, is no longer
    /// in any group.
    fn is_disk_loss_repaired(&self, index: usize, records: &[Records]) -> bool {
        if self.controllers[index].retired {
            return !records.iter().flat_map(members_on_disk).any(|member| member == Some(index));
        }
        let shards = records.iter().map(Records::len).max().unwrap_or_default();
        records[index].len() == shards
    }

    /// Whether the disk of a controller may be lost: it is in the one zone whose loss has to be survived, or the others
    /// can continue without it. They can if a majority of every group stored on any disk keeps its record and, with
    /// `within_tolerance`, no more disks are lost at the same time than the fault tolerance allows.
    pub(super) fn may_lose_disk(&self, lost: usize) -> bool {
        let records: Vec<_> = self.controllers.iter().map(|machine| machine.disk.peek()).collect();
        let still_lost = |index: &&usize| **index != lost && !self.is_disk_loss_repaired(**index, &records);
        let lost_now: Vec<usize> = self.fault_history.disks_lost.iter().filter(still_lost).copied().collect();
        if self.are_in_one_zone(lost, &lost_now) {
            return true;
        }
        if self.within_tolerance && lost_now.len() >= self.tolerance as usize {
            return false;
        }
        let shards: BTreeSet<u8> = records.iter().flat_map(|records| records.keys().copied()).collect();
        shards.into_iter().all(|shard| {
            let keeps = |node: &lanegate_coordination::register::Node| {
                let index = controller_at(SocketAddr::V4((*node).into()));
                index.is_some_and(|index| {
                    index != lost && records.get(index).is_some_and(|records| records.contains_key(&shard))
                })
            };
            let of_shard = records.iter().filter_map(|records| records.get(&shard));
            let mut groups = of_shard.flat_map(|record| &record.value.groups);
            groups.all(|group| group.members().iter().filter(|node| keeps(node)).count() >= group.majority())
        })
    }

    /// Whether these controllers are in one zone; false in a simulation without zones.
    fn are_in_one_zone(&self, first: usize, others: &[usize]) -> bool {
        let zone = self.zones.get(first);
        zone.is_some() && others.iter().all(|other| self.zones.get(*other) == zone)
    }
}

/// Nodes of all groups that are stored on a disk.
fn members_on_disk(records: &Records) -> impl Iterator<Item = Option<usize>> {
    let groups = records.values().flat_map(|record| &record.value.groups);
    let nodes = groups.flat_map(|group| group.members());
    nodes.map(|node| controller_at(SocketAddr::V4((*node).into())))
}

fn hosts(members: &[SocketAddr]) -> Vec<Host> {
    members.iter().filter_map(|member| controller_at(*member)).map(Host::Controller).collect()
}
