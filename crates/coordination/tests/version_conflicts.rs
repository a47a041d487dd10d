//! At most one change is accepted for each version, although operators send to several controllers, answers get lost
//! and calls are repeated much later. A repeated call of an accepted change is acknowledged or gets an unknown
//! outcome, but is never rejected.

mod cluster;

use std::time::Duration;

use cluster::configuration::{Configuration, document, outcome, patch, put, version};
use cluster::{Cluster, StateMachineFactory};
use lanegate_config::control_state::{self, Command, HISTORY_LENGTH, Outcome};
use lanegate_coordination::register::{Applied, StateMachine, Status};

const MEMBERS: usize = 3;

fn state_machine() -> Box<dyn StateMachine> {
    Box::new(Configuration)
}

/// A defect: a change that the state may have forgotten is rejected.
struct RejectForgottenChanges;

impl StateMachine for RejectForgottenChanges {
    fn apply(&self, current: &[u8], command: &[u8]) -> Applied {
        match control_state::apply(current, command).expect("the state and the command can be decoded") {
            (Outcome::Unclear(_), None) => {
                let current = version(current);
                Applied::Refused { answer: Outcome::Conflict { current }.encode() }
            }
            _ => Configuration.apply(current, command),
        }
    }
}

fn rejecting_state_machine() -> Box<dyn StateMachine> {
    Box::new(RejectForgottenChanges)
}

/// Whether an answer rejects a change permanently.
fn is_rejection(answer: &Option<Outcome>) -> bool {
    matches!(answer, Some(Outcome::Conflict { .. } | Outcome::Invalid(_)))
}

fn is_acknowledged(answer: &Option<Outcome>) -> bool {
    answer.as_ref().is_some_and(Outcome::is_acknowledged)
}

/// Proposes a change at a controller and waits for its answer.
fn send(cluster: &mut Cluster, at: usize, change: &Command) -> Option<Outcome> {
    let request = cluster.propose(at, change.encode());
    outcome(cluster.answer(request))
}

/// A complete configuration that names its operator.
fn put_by(base: u64, version: u64, operator: &str) -> Command {
    put(base, format!(r#"{{"Version":{version},"Operator":"{operator}"}}"#))
}

/// A change of single items that names its operator.
fn patch_by(base: u64, version: u64, operator: &str) -> Command {
    patch(base, format!(r#"{{"Version":{version},"Upsert":{{"Backends":[{{"Name":"{operator}"}}]}}}}"#))
}

/// Pairs of changes to the same version by two operators, in all combinations of the two kinds of change.
fn competing_changes(base: u64, version: u64) -> [[Command; 2]; 3] {
    [
        [put_by(base, version, "first"), put_by(base, version, "second")],
        [patch_by(base, version, "first"), patch_by(base, version, "second")],
        [put_by(base, version, "first"), patch_by(base, version, "second")],
    ]
}

/// A group with the first configuration, version 1.
fn cluster(spares: usize) -> Cluster {
    cluster_of(state_machine, spares)
}

fn cluster_of(state_machine: StateMachineFactory, spares: usize) -> Cluster {
    let mut cluster = Cluster::new(MEMBERS, spares, state_machine);
    assert!(is_acknowledged(&send(&mut cluster, 0, &put(0, document(1, 1)))));
    cluster
}

/// Makes changes until the configuration has version `last`.
fn advance_version_to(cluster: &mut Cluster, at: usize, last: u64) {
    let first = version(&cluster.state(at));
    let later = (first..last).map(|base| patch_by(base, base + 1, "later").encode());
    let requests: Vec<u64> = later.collect::<Vec<_>>().into_iter().map(|c| cluster.propose(at, c)).collect();
    for request in requests {
        assert!(is_acknowledged(&outcome(cluster.answer(request))));
    }
    cluster.run(Duration::from_millis(500));
}

/// Checks that exactly one of two changes to the same version was accepted: repeated at any controller, it is
/// acknowledged and the other is rejected.
fn check_exactly_one_accepted(
    cluster: &mut Cluster,
    competing: &[Command; 2],
    answers: [Option<Outcome>; 2],
) {
    let taken: Vec<bool> = answers.iter().map(is_acknowledged).collect();
    assert!(taken != [true, true], "both were acknowledged: {answers:?}");
    cluster.run(Duration::from_secs(5));
    let mut again = Vec::new();
    for at in 0..MEMBERS {
        let answers = [0, 1].map(|index| send(cluster, at, &competing[index]));
        again.push(answers.each_ref().map(is_acknowledged));
        assert!(is_rejection(&answers[0]) != is_rejection(&answers[1]), "{answers:?}");
    }
    assert!(again.windows(2).all(|pair| pair[0] == pair[1]), "the controllers disagree: {again:?}");
    for index in 0..2 {
        assert!(!taken[index] || again[0][index], "a change was acknowledged, and rejected afterwards");
        assert!(
            !is_rejection(&answers[index]) || !again[0][index],
            "a change was rejected, and accepted afterwards"
        );
    }
}

#[test]
fn the_same_version_at_two_controllers_is_accepted_once() {
    for competing in competing_changes(1, 2) {
        let mut cluster = cluster(0);
        let requests = [cluster.propose(0, competing[0].encode()), cluster.propose(1, competing[1].encode())];
        let answers = requests.map(|request| outcome(cluster.answer(request)));
        check_exactly_one_accepted(&mut cluster, &competing, answers);
    }
}

#[test]
fn the_same_version_on_both_sides_of_a_partition_is_accepted_once() {
    for competing in competing_changes(1, 2) {
        for minority in 0..MEMBERS {
            let mut cluster = cluster(0);
            cluster.partition(&[minority]);
            let other = (minority + 1) % MEMBERS;
            let requests = [
                cluster.propose(minority, competing[0].encode()),
                cluster.propose(other, competing[1].encode()),
            ];
            let answers = requests.map(|request| outcome(cluster.answer(request)));
            assert_eq!(answers[0], None, "a controller in the minority must give no answer");
            assert!(is_acknowledged(&answers[1]));
            cluster.heal();
            check_exactly_one_accepted(&mut cluster, &competing, answers);
        }
    }
}

/// The partition heals while the minority's change is pending: it must not be accepted on top of the other.
#[test]
fn the_same_version_on_both_sides_of_a_healing_partition_is_accepted_once() {
    for (competing, wait) in competing_changes(1, 2).into_iter().zip([0, 40, 400].map(Duration::from_millis))
    {
        let mut cluster = cluster(0);
        cluster.partition(&[2]);
        let late = cluster.propose(2, competing[0].encode());
        cluster.run(wait);
        let first = send(&mut cluster, 0, &competing[1]);
        cluster.heal();
        let late = outcome(cluster.answer(late));
        check_exactly_one_accepted(&mut cluster, &competing, [late, first]);
    }
}

#[test]
fn the_same_version_during_a_membership_change_is_accepted_once() {
    for competing in competing_changes(1, 2) {
        for step in 0..12_u32 {
            let mut cluster = cluster(1);
            let spare = MEMBERS;
            let members = cluster.change_members(0, &[2], &[spare]);
            cluster.run(Duration::from_millis(4) * step);
            let requests =
                [cluster.propose(2, competing[0].encode()), cluster.propose(spare, competing[1].encode())];
            let answers = requests.map(|request| outcome(cluster.answer(request)));
            assert!(cluster.answer(members).is_some());
            check_exactly_one_accepted(&mut cluster, &competing, answers);
        }
    }
}

#[test]
fn the_same_version_after_a_wipe_is_accepted_once() {
    for competing in competing_changes(1, 2) {
        for wiped in 0..MEMBERS {
            let mut cluster = cluster(0);
            let first = send(&mut cluster, wiped, &competing[0]);
            cluster.wipe(wiped);
            cluster.start(wiped);
            let second = send(&mut cluster, wiped, &competing[1]);
            check_exactly_one_accepted(&mut cluster, &competing, [first, second]);
        }
    }
}

/// The controller that proposed a change dies before it answers; the same call is then sent to the others.
#[test]
fn a_change_whose_answer_was_lost_is_acknowledged_wherever_it_is_sent_again() {
    for change in [put_by(1, 2, "first"), patch_by(1, 2, "first")] {
        for moment in 0..10_u32 {
            let mut cluster = cluster(0);
            cluster.propose(0, change.encode());
            cluster.run(Duration::from_millis(3) * moment);
            cluster.kill(0);
            for at in [1, 2] {
                let answer = send(&mut cluster, at, &change);
                assert!(is_acknowledged(&answer), "{answer:?}");
            }
            cluster.start(0);
            let answer = send(&mut cluster, 0, &change);
            assert!(is_acknowledged(&answer), "{answer:?}");
            assert_eq!(version(&cluster.state(1)), 2);
        }
    }
}

/// Checks the outcome of a repeated call after `later` further changes, at every member: without a fault, after a
/// restart of all members, and after the loss of each disk.
fn check_resent_change(
    state_machine: StateMachineFactory,
    later: u64,
    expected: impl Fn(&Option<Outcome>) -> bool,
) {
    let changes = [put_by(1, 2, "first"), patch_by(2, 3, "first")];
    let mut cluster = cluster_of(state_machine, 0);
    for change in &changes {
        assert!(is_acknowledged(&send(&mut cluster, 0, change)));
    }
    advance_version_to(&mut cluster, 0, 3 + later);
    let check = |cluster: &mut Cluster, when: &str| {
        for at in 0..MEMBERS {
            for change in &changes {
                let answer = send(cluster, at, change);
                assert!(expected(&answer), "{when}, at {at}, after {later}: {answer:?}");
            }
            let other = send(cluster, at, &put_by(1, 2, "second"));
            assert!(!is_acknowledged(&other), "{when}, at {at}: {other:?}");
        }
    };
    check(&mut cluster, "without a fault");
    (0..MEMBERS).for_each(|at| cluster.kill(at));
    (0..MEMBERS).for_each(|at| cluster.start(at));
    cluster.run(Duration::from_secs(1));
    check(&mut cluster, "after a restart of all members");
    for lost in 0..MEMBERS {
        cluster.wipe(lost);
        cluster.start(lost);
        cluster.run(Duration::from_secs(1));
        assert_eq!(cluster.status(lost), Some(Status::Member));
        check(&mut cluster, "after the loss of another disk");
    }
}

#[test]
fn a_change_sent_again_after_one_later_change_is_acknowledged() {
    check_resent_change(state_machine, 1, is_acknowledged);
}

#[test]
fn a_change_sent_again_after_500_later_changes_is_acknowledged() {
    check_resent_change(state_machine, 500, is_acknowledged);
}

#[test]
fn a_change_sent_again_after_5000_later_changes_gets_no_clear_answer() {
    check_resent_change(state_machine, 5_000, |answer| matches!(answer, Some(Outcome::Unclear(_))));
}

#[test]
#[should_panic(expected = "Conflict")]
fn rejecting_a_forgotten_change_is_detected() {
    check_resent_change(rejecting_state_machine, HISTORY_LENGTH as u64 + 1, |answer| !is_rejection(answer));
}

/// Of five members, two lose their disks at the same time, so that only a majority of the disks remains.
#[test]
fn a_change_survives_the_loss_of_all_disks_but_a_majority() {
    let mut cluster = Cluster::new(5, 0, state_machine);
    let change = put_by(0, 1, "first");
    assert!(is_acknowledged(&send(&mut cluster, 0, &change)));
    advance_version_to(&mut cluster, 0, 10);
    for lost in [[0, 1], [2, 3], [4, 0]] {
        lost.iter().for_each(|at| cluster.wipe(*at));
        lost.iter().for_each(|at| cluster.start(*at));
        cluster.run(Duration::from_secs(2));
        for at in 0..5 {
            assert!(is_acknowledged(&send(&mut cluster, at, &change)), "at {at} after the loss of {lost:?}");
        }
    }
}

/// A complete configuration that was accepted is recognised whatever base version a repeated call gives. A change of
/// single items is recognised only with the same base version.
#[test]
fn the_base_version_identifies_a_change_only_if_it_changes_by_names() {
    let mut cluster = cluster(0);
    let put_change = put_by(1, 2, "first");
    let patch_change = patch_by(2, 3, "first");
    assert!(is_acknowledged(&send(&mut cluster, 0, &put_change)));
    assert!(is_acknowledged(&send(&mut cluster, 1, &patch_change)));
    let put_with_other_base = Command { if_match: Some(3), ..put_change };
    assert_eq!(send(&mut cluster, 2, &put_with_other_base), Some(Outcome::AlreadyTaken { current: 3 }));
    let patch_with_other_base = Command { if_match: Some(1), ..patch_change.clone() };
    assert_eq!(send(&mut cluster, 2, &patch_with_other_base), Some(Outcome::Conflict { current: 3 }));
    assert_eq!(send(&mut cluster, 2, &patch_change), Some(Outcome::AlreadyTaken { current: 3 }));
}
