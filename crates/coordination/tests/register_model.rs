//! Model checking of a register: every order of messages, lost disks and a restart, for two changes by two proposers.
//! The states contain the production replicas.
//!
//! The bootstrap members are `a`, `b` and `c`; the proposers are `c` and `d`, which is not a member. The change of `c`
//! may be one of the members: `a` leaves, or `d` replaces it. Messages arrive in any order or never, which includes
//! the permanent loss of a machine; the loss of a disk is a separate step. Time does not advance: what depends on
//! timers (retransmission, another attempt after preemption) is left out, as a message may be in flight for any time.

mod register_model_states;

use lanegate_coordination::register::Fault;
use register_model_states::{A, B, Change, FaultStep, Register};
use stateright::{Checker, HasDiscoveries, Model};

/// Number of states that a bounded search visits; a state counts once for each path to it.
const STATE_BOUND: usize = 100_000;
/// The same for the long searches.
const LARGE_STATE_BOUND: usize = 30_000_000;
/// Number of threads of an unbounded or long search.
const THREADS: usize = 3;

impl Register {
    fn new(change: Change, faults: &[FaultStep]) -> Self {
        Register { change, faults: faults.to_vec(), fault: None }
    }

    fn print_states(&self, states: usize, started: std::time::Instant) {
        println!("{:?}, {:?}: {states} states, {:?}", self.change, self.faults, started.elapsed());
    }

    /// Checks every state.
    fn check(self) {
        let started = std::time::Instant::now();
        let checker = self.clone().checker().threads(THREADS).spawn_dfs().join();
        self.print_states(checker.unique_state_count(), started);
        checker.assert_properties();
    }

    /// Checks every state, or as many as `bound` if there are more.
    fn search(self, threads: usize, bound: usize) {
        let started = std::time::Instant::now();
        let checker = self.clone().checker().threads(threads).target_state_count(bound).spawn_dfs().join();
        self.print_states(checker.unique_state_count(), started);
        println!("{} steps at most, all states: {}", checker.max_depth(), checker.state_count() < bound);
        checker.assert_no_discovery("one value for each revision");
        checker.assert_no_discovery("an acknowledged change is present");
    }

    /// Checks that a defect is detected.
    fn detects(self, fault: Fault) {
        let model = Register { fault: Some(fault), ..self };
        let checker = model.clone().checker().finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
        println!("{model:?}: detected within {} states", checker.unique_state_count());
        let found = ["one value for each revision", "an acknowledged change is present"];
        assert!(
            found.into_iter().any(|name| checker.discovery(name).is_some()),
            "{fault:?} was not detected"
        );
    }
}

#[test]
fn ignoring_an_accepted_value_is_detected() {
    Register::new(Change::Command, &[]).detects(Fault::IgnoreAccepted);
}

#[test]
fn a_majority_that_is_too_small_is_detected() {
    Register::new(Change::Command, &[]).detects(Fault::SmallMajority);
}

#[test]
fn a_vote_immediately_after_a_wipe_is_detected() {
    Register::new(Change::Command, &[FaultStep::Wipe(A)]).detects(Fault::VoteAfterWipe);
}

#[test]
fn a_majority_of_the_new_group_only_is_detected() {
    Register::new(Change::Replace, &[]).detects(Fault::NewGroupOnly);
}

#[test]
#[ignore = "takes minutes"]
fn votes_of_an_earlier_incarnation_are_detected() {
    Register::new(Change::Command, &[FaultStep::Wipe(A)]).detects(Fault::IgnoreIncarnations);
}

#[test]
fn every_order_of_two_changes() {
    Register::new(Change::Command, &[]).check();
}

#[test]
fn every_order_of_two_changes_and_a_restart() {
    Register::new(Change::Command, &[FaultStep::Restart(A)]).check();
}

#[test]
#[ignore = "takes minutes"]
fn every_order_of_two_changes_and_a_lost_disk() {
    Register::new(Change::Command, &[FaultStep::Wipe(A)]).check();
}

#[test]
fn every_order_of_a_change_and_a_member_that_leaves() {
    Register::new(Change::Leave, &[]).check();
}

macro_rules! searches {
    ($($name:ident, $all:ident: $change:ident, $faults:expr;)*) => {
        $(
            #[test]
            fn $name() {
                Register::new(Change::$change, &$faults).search(1, STATE_BOUND);
            }

            #[test]
            #[ignore = "takes minutes"]
            fn $all() {
                Register::new(Change::$change, &$faults).search(THREADS, LARGE_STATE_BOUND);
            }
        )*
    };
}

searches! {
    a_member_leaves_and_another_is_wiped, far_a_member_leaves_and_another_is_wiped: Leave, [FaultStep::Wipe(B)];
    the_leaving_member_is_wiped, far_the_leaving_member_is_wiped: Leave, [FaultStep::Wipe(A)];
    a_member_is_replaced, far_a_member_is_replaced: Replace, [];
    a_member_is_replaced_and_another_is_wiped, far_a_member_is_replaced_and_another_is_wiped:
        Replace, [FaultStep::Wipe(B)];
    one_is_wiped_and_then_another, far_one_is_wiped_and_then_another:
        Command, [FaultStep::Wipe(A), FaultStep::Wipe(B)];
}
