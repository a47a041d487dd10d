//! Leases whose candidates the failure detector chooses: which process holds the lease after crashes and
//! suspensions, and how soon.

#[allow(dead_code)]
mod lease_world;

use lanegate_coordination::membership::{FailureDetector, MembershipSettings, Output};
use lease_world::{QUIET_PERIOD, World};
use std::net::SocketAddr;
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(300);
const KEY: &[u8] = b"shard-7";

/// Processes that monitor one another; the first live one in the rendezvous order of the shard is the candidate.
struct Cluster {
    world: World,
    detectors: Vec<FailureDetector>,
    candidates: Vec<bool>,
}

impl Cluster {
    fn new(size: usize) -> Self {
        let world = World::new(5, &vec![0; size]);
        let detectors = (0..size).map(|index| detector(&world, index)).collect();
        let mut cluster = Cluster { world, detectors, candidates: vec![false; size] };
        cluster.run_for(Duration::from_secs(5));
        cluster
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            for index in 0..self.detectors.len() {
                self.run_detector(index);
            }
            self.world.step();
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.world.is_up(index) && !self.world.is_frozen(index)
    }

    fn run_detector(&mut self, index: usize) {
        let now = self.world.now;
        if !self.is_running(index) || self.detectors[index].next_wake() > now {
            return;
        }
        let outputs = self.detectors[index].on_tick(now);
        let members = self.world.members();
        for output in outputs {
            let Output::Send { to, heartbeat } = output else { continue };
            let to = members.iter().position(|member| *member == to).expect("the process is a member");
            if self.is_running(to) {
                self.detectors[to].on_heartbeat(now, &heartbeat);
            }
        }
        self.choose_candidate(index, members[index]);
    }

    fn choose_candidate(&mut self, index: usize, address: SocketAddr) {
        let is_candidate = self.detectors[index].first_live(KEY) == address;
        if is_candidate != self.candidates[index] {
            self.candidates[index] = is_candidate;
            self.world.set_candidate(index, is_candidate);
        }
    }

    fn restart(&mut self, index: usize) {
        self.candidates[index] = false;
        self.world.set_candidate(index, false);
        self.world.restart(index);
        self.detectors[index] = detector(&self.world, index);
    }

    /// The process that acted last.
    fn holder(&self) -> usize {
        let holder = self.world.last_holder().expect("a process has acted");
        (0..self.detectors.len())
            .find(|index| self.world.id(*index) == holder)
            .expect("the process is a member")
    }

    /// Time from `failure` to the first action of an incarnation other than the last holder before it.
    fn takeover_time(&self, failure: Duration) -> Duration {
        let before = self
            .world
            .actions
            .iter()
            .rfind(|action| action.arrival <= failure)
            .expect("a process acted before the failure")
            .holder;
        let next =
            self.world.actions.iter().find(|action| action.arrival > failure && action.holder != before);
        next.expect("another holder acts").arrival - failure
    }
}

fn detector(world: &World, index: usize) -> FailureDetector {
    let mut detector =
        FailureDetector::new(MembershipSettings::new(HEARTBEAT, 6), world.id(index), world.now);
    detector.set_nodes(world.now, &world.members());
    detector
}

#[test]
fn a_crashed_holder_is_replaced_within_four_and_a_half_seconds_at_any_time() {
    for phase in 0..7 {
        let mut cluster = Cluster::new(3);
        cluster.run_for(Duration::from_millis(phase * 50));
        let holder = cluster.holder();
        let failure = cluster.world.now;
        cluster.world.crash(holder);
        cluster.run_for(Duration::from_secs(10));
        let takeover = cluster.takeover_time(failure);
        assert!(takeover >= QUIET_PERIOD, "{takeover:?}");
        assert!(takeover < Duration::from_millis(4_500), "{takeover:?}");
        assert_eq!(cluster.world.violation(), None);
    }
}

#[test]
fn a_holder_that_restarts_immediately_gets_the_lease_again() {
    let mut cluster = Cluster::new(3);
    let holder = cluster.holder();
    let failure = cluster.world.now;
    cluster.world.crash(holder);
    cluster.run_for(Duration::from_millis(500));
    cluster.restart(holder);
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(cluster.holder(), holder);
    assert!(cluster.takeover_time(failure) < Duration::from_secs(6));
    assert_eq!(cluster.world.violation(), None);
}

#[test]
fn a_suspended_holder_is_replaced_and_gets_the_lease_back_after_it_resumes() {
    let mut cluster = Cluster::new(3);
    let holder = cluster.holder();
    cluster.world.freeze(holder);
    cluster.run_for(Duration::from_secs(10));
    assert_ne!(cluster.holder(), holder);
    cluster.world.thaw(holder);
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(cluster.holder(), holder);
    assert_eq!(cluster.world.violation(), None);
}

#[test]
fn suspended_candidates_do_not_affect_the_holder() {
    let mut cluster = Cluster::new(5);
    let holder = cluster.holder();
    let others: Vec<usize> = (0..5).filter(|index| *index != holder).take(2).collect();
    for index in &others {
        cluster.world.freeze(*index);
    }
    cluster.run_for(Duration::from_secs(10));
    for index in &others {
        cluster.world.thaw(*index);
    }
    cluster.run_for(Duration::from_secs(10));
    assert!(cluster.world.actions.iter().all(|action| action.epoch == 1));
}
