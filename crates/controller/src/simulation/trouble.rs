//! Steps that do harm or end it, and since when each machine has been out of trouble.

use super::checks::Losses;
use super::place::Place;
use super::step::{Scope, Step};
use super::world::World;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Orders that arrive so soon after a thaw or the end of a cut are not judged.
const THAW: Duration = Duration::from_millis(300);

/// When each machine was last in trouble.
#[derive(Debug, Default)]
pub(super) struct Troubles {
    /// The last step that touched a controller's machine or a path between two.
    core_at: Option<Duration>,
    machines: BTreeMap<Place, Duration>,
    thawed: BTreeMap<Place, Duration>,
    /// When more machines were lost than may be.
    pub(super) beyond_at: Option<Duration>,
    pub(super) losses: Losses,
    /// Controllers that have lost their disk at any time.
    pub(super) disks_lost: BTreeSet<usize>,
    /// Changes with each step that does or ends harm.
    pub(super) steps: u64,
}

impl Troubles {
    /// The start of all is no trouble.
    pub(super) fn forget(&mut self) {
        *self = Troubles::default();
    }

    /// Something happened to controllers or the paths between them.
    pub(super) fn core(&mut self, now: Duration) {
        self.core_at = Some(now);
        self.steps += 1;
    }

    /// Something happened to a machine.
    pub(super) fn machine(&mut self, now: Duration, place: Place) {
        self.machines.insert(place, now);
        if matches!(place, Place::Controller(_)) {
            self.core(now);
        }
    }

    pub(super) fn thawed(&mut self, now: Duration, place: Place) {
        self.thawed.insert(place, now);
    }

    pub(super) fn was_thawed_lately(&self, place: Place, now: Duration) -> bool {
        self.thawed.get(&place).is_some_and(|at| now < *at + THAW)
    }

    /// When a controller or a path between two was last touched.
    pub(super) fn core_at(&self) -> Duration {
        self.core_at.unwrap_or_default()
    }

    /// When a machine was last touched.
    pub(super) fn machine_at(&self, place: Place) -> Duration {
        self.machines.get(&place).copied().unwrap_or_default()
    }
}

impl World {
    /// A step that does harm or ends it.
    pub(super) fn trouble(&mut self, step: &Step) {
        let now = self.now();
        match step {
            Step::Cut { from, to } => self.cut(*from, *to),
            Step::Isolate { place, scope } => self.isolate(*place, *scope),
            Step::Part(set) => self.part(set),
            Step::Heal => self.heal(),
            Step::Refuse(place) => self.network.refuse(*place),
            Step::Reset(place) => self.end_connections(|connection| connection.touches(*place), None),
            Step::Delay(time) => self.network.set_longest_delay(Duration::from_millis(*time)),
            Step::Rate(rate) => self.network.set_rate(Some(*rate)),
            Step::Kill(place) => self.kill(*place),
            Step::Power(index) => self.lose_power(*index),
            Step::Wipe(index) => self.wipe(*index),
            Step::Retire(index) => self.retire(*index),
            Step::Start(place) => self.start(*place),
            Step::Stop(index) => self.stop_controller(*index),
            Step::Freeze(place) => self.freeze(*place),
            Step::Thaw(place) => self.thaw(*place),
            Step::Slow(index, time) => {
                self.controllers[*index].disk.longest_write = Duration::from_millis(*time);
            }
            Step::Stall(index) => self.controllers[*index].disk.stall(),
            Step::Full(index) => self.controllers[*index].disk.fill(),
            Step::Work(index) => self.mend_disk(*index),
            Step::Seeds(seeds) => self.change_all_seeds(seeds),
            Step::Crash(index) => self.crash_endpoint(*index),
            _ => return,
        }
        self.note_trouble(step, now);
    }

    fn note_trouble(&mut self, step: &Step, now: Duration) {
        match step {
            Step::Crash(_) => return,
            Step::Heal | Step::Delay(_) | Step::Rate(_) | Step::Part(_) | Step::Seeds(_) => {
                self.troubles.core(now);
                for index in 0..self.routers.len() {
                    self.troubles.machine(now, Place::Router(index));
                }
            }
            Step::Cut { from, to } => {
                self.troubles.machine(now, *from);
                self.troubles.machine(now, *to);
            }
            Step::Isolate { place, .. }
            | Step::Refuse(place)
            | Step::Reset(place)
            | Step::Kill(place)
            | Step::Start(place)
            | Step::Freeze(place)
            | Step::Thaw(place) => self.troubles.machine(now, *place),
            _ => self.troubles.core(now),
        }
        self.look_for_losses();
        self.expect_whole_groups();
    }

    fn cut(&mut self, from: Place, to: Place) {
        self.network.cut(from, to);
        self.paths_changed();
    }

    fn isolate(&mut self, place: Place, scope: Scope) {
        let others = match scope {
            Scope::Peers => self.controller_places(),
            Scope::All => self.all_places(),
        };
        for other in others {
            self.network.cut(place, other);
            self.network.cut(other, place);
        }
        self.paths_changed();
    }

    /// Cuts all paths between the machines of a set and all others, and no further ones.
    fn part(&mut self, set: &[Place]) {
        self.heal();
        let places = self.all_places();
        for from in &places {
            for to in places.iter().filter(|to| set.contains(from) != set.contains(to)) {
                self.network.cut(*from, *to);
            }
        }
        self.paths_changed();
    }

    fn heal(&mut self) {
        self.network.heal();
        let now = self.now();
        for place in self.controller_places() {
            self.troubles.thawed(now, place);
        }
        self.paths_changed();
        self.release_held_calls();
    }

    fn controller_places(&self) -> Vec<Place> {
        (0..self.controllers.len()).map(Place::Controller).collect()
    }

    fn all_places(&self) -> Vec<Place> {
        let routers = (0..self.routers.len()).map(Place::Router);
        let endpoints = (0..self.endpoints.len()).map(Place::Endpoint);
        let others = routers.chain(endpoints).chain([Place::Operator]);
        self.controller_places().into_iter().chain(others).collect()
    }

    fn kill(&mut self, place: Place) {
        match place {
            Place::Controller(index) => self.kill_controller(index),
            Place::Router(index) => self.kill_router(index),
            Place::Endpoint(index) => self.crash_endpoint(index),
            Place::Operator => {}
        }
    }

    /// Starts a process again; it begins with what its disk holds.
    pub(super) fn start(&mut self, place: Place) {
        match place {
            Place::Controller(index) => self.start_controller(index),
            Place::Router(index) => self.start_router(index),
            Place::Endpoint(index) => self.start_endpoint(index),
            Place::Operator => {}
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
        self.troubles.disks_lost.insert(index);
    }

    /// The machine is gone for good, unless too few records would be left.
    fn retire(&mut self, index: usize) {
        if !self.may_lose_disk(index) {
            return;
        }
        self.lose_power(index);
        self.lose_disk(index);
        self.controllers[index].retired = true;
    }

    fn freeze(&mut self, place: Place) {
        match place {
            Place::Controller(index) => {
                self.controllers[index].frozen = self.controllers[index].process().is_some();
            }
            Place::Router(index) => self.routers[index].frozen = self.routers[index].process().is_some(),
            Place::Endpoint(_) | Place::Operator => {}
        }
    }

    pub(super) fn thaw(&mut self, place: Place) {
        let now = self.now();
        self.troubles.thawed(now, place);
        match place {
            Place::Controller(index) => self.thaw_controller(index),
            Place::Router(index) => self.thaw_router(index),
            Place::Endpoint(_) | Place::Operator => {}
        }
    }

    pub(super) fn mend_disk(&mut self, index: usize) {
        self.controllers[index].disk.mend();
        self.start_write(index);
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
