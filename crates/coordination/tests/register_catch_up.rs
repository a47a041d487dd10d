//! A member that was away while the configuration changed a thousand times. The amount of data that it receives
//! afterwards does not grow with the number of changes it missed, and a read through it returns the newest value.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::configuration::{Configuration, document, outcome, patch, put, route, version};
use lanegate_config::control_state::Outcome;
use lanegate_coordination::register::{Fault, Outcome as RegisterOutcome, StateMachine};

/// The member that is away; changes are proposed through another one.
const AWAY: usize = 2;
const PROPOSER: usize = 0;
const MEMBERS: usize = 3;
const ROUTES: usize = 20;
/// Changes before the absence begins; after these the value has reached its full size.
const CHANGES_BEFORE: u64 = 1_100;
/// Longest time from the return of a member until it knows the newest value, while all others work normally.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);
/// Longest time until a replica polls one other for a newer value; an announced change arrives sooner.
const MAX_POLL_DELAY: Duration = Duration::from_secs(3);
/// The same for a replica that is not a member, to which no change is announced.
const MAX_POLL_DELAY_OF_SPARES: Duration = Duration::from_millis(800);
/// Largest amount of data that a member receives when it returns, in values: from each of the two others an answer
/// to its poll when the link is established, to its own read at the start and to the caller's read; and one for the
/// last announced commit.
const MAX_VALUES: f64 = 7.1;
/// The same for the data that is sent to it while it is frozen: the change that was in flight.
const MAX_VALUES_WHILE_FROZEN: f64 = 1.0;
/// The largest message without a value, in bytes.
const SMALL_MESSAGE_BYTES: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Absence {
    Killed,
    Wiped,
    Frozen,
    Partitioned,
    DiskFull,
}

impl Absence {
    fn begin(self, cluster: &mut Cluster) {
        match self {
            Self::Killed => cluster.kill(AWAY),
            Self::Wiped => cluster.wipe(AWAY),
            Self::Frozen => cluster.freeze(AWAY),
            Self::Partitioned => cluster.partition(&[AWAY]),
            Self::DiskFull => cluster.fill_disk(AWAY),
        }
    }

    fn end(self, cluster: &mut Cluster) {
        match self {
            Self::Killed | Self::Wiped => cluster.start(AWAY),
            Self::Frozen => cluster.thaw(AWAY),
            Self::Partitioned => cluster.heal(),
            Self::DiskFull => cluster.clear_disk(AWAY),
        }
    }
}

fn state_machine() -> Box<dyn StateMachine> {
    Box::new(Configuration)
}

/// Makes `count` changes on top of version `base`, spread over `time`.
fn make_changes(cluster: &mut Cluster, base: u64, count: u64, time: Duration) {
    let interval = time / u32::try_from(count).expect("the count fits 32 bits");
    let mut requests = Vec::new();
    for base in base..base + count {
        let next = base + 1;
        let change = route(next as usize % ROUTES, next);
        let body = format!(r#"{{"Version":{next},"Upsert":{{"Routes":[{change}]}}}}"#);
        requests.push(cluster.propose(PROPOSER, patch(base, body).encode()));
        cluster.run(interval);
    }
    for request in requests {
        let answer = outcome(cluster.answer(request));
        assert!(matches!(answer, Some(Outcome::Taken { .. })), "{answer:?}");
    }
}

/// A group whose configuration has changed many times.
fn cluster_with_history(fault: Option<Fault>) -> Cluster {
    let mut cluster = Cluster::with_fault(MEMBERS, 0, state_machine, fault);
    let first = cluster.propose(PROPOSER, put(0, document(1, ROUTES)).encode());
    assert!(outcome(cluster.answer(first)).is_some());
    make_changes(&mut cluster, 1, CHANGES_BEFORE, Duration::from_secs(2));
    cluster.run(Duration::from_secs(1));
    cluster
}

/// The cost of catching up for a member; amounts of data are in units of the value's size.
#[derive(Debug)]
struct CatchUp {
    /// Sent to it while it was away, without small messages.
    while_away: f64,
    /// Sent to it after it had returned.
    after: f64,
    time: Duration,
}

fn measure_catch_up(absence: Absence, changes: u64, away: Duration, fault: Option<Fault>) -> CatchUp {
    let mut cluster = cluster_with_history(fault);
    cluster.take_traffic(AWAY);
    absence.begin(&mut cluster);
    make_changes(&mut cluster, CHANGES_BEFORE + 1, changes, away);
    let while_away = cluster.take_traffic(AWAY);
    absence.end(&mut cluster);
    let newest = cluster.newest();
    let read = cluster.read(AWAY);
    let time = cluster.time_to_catch_up(AWAY, MAX_POLL_DELAY).expect("the member catches up");
    check_read(cluster.answer(read), newest);
    cluster.run(Duration::from_millis(500));
    let after = cluster.take_traffic(AWAY);
    assert_eq!(version(&cluster.state(AWAY)), CHANGES_BEFORE + 1 + changes);
    let size = cluster.record(PROPOSER).len() as f64;
    assert_eq!(cluster.record(AWAY).len() as f64, size, "the newest value is on the disk of the member");
    let large = while_away.bytes.saturating_sub(while_away.messages * SMALL_MESSAGE_BYTES);
    CatchUp { while_away: large as f64 / size, after: after.bytes as f64 / size, time }
}

/// The read returns the newest value.
fn check_read(answer: Option<RegisterOutcome>, newest: u64) {
    let Some(RegisterOutcome::Value { revision, .. }) = answer else {
        panic!("the read was not answered: {answer:?}")
    };
    assert_eq!(revision, newest);
}

fn check(absence: Absence) {
    for (changes, seconds) in [(1_000, 1), (1_000, 10), (1_000, 60), (10, 10)] {
        let caught_up = measure_catch_up(absence, changes, Duration::from_secs(seconds), None);
        println!("{absence:?}, {changes} changes in {seconds} s: {caught_up:?}");
        assert!(caught_up.time <= MAX_CATCH_UP, "{caught_up:?}");
        assert!(caught_up.after <= MAX_VALUES, "{caught_up:?}");
        // A member whose disk is full is not away: it does not vote, but it learns every change.
        if absence != Absence::DiskFull {
            assert!(caught_up.while_away <= MAX_VALUES_WHILE_FROZEN, "{caught_up:?}");
        }
    }
}

/// With this defect, the data that is sent to a member grows with the number of changes during its absence.
#[test]
fn values_sent_before_a_frozen_member_answers_are_detected() {
    let caught_up =
        measure_catch_up(Absence::Frozen, 1_000, Duration::from_secs(10), Some(Fault::SendBeforeAnswer));
    println!("{caught_up:?}");
    assert!(caught_up.while_away > 10.0 * MAX_VALUES_WHILE_FROZEN, "{caught_up:?}");
}

/// With this defect, a returned member receives data that grows with the number of changes it missed.
#[test]
fn a_request_for_each_announced_commit_is_detected() {
    let caught_up =
        measure_catch_up(Absence::Frozen, 1_000, Duration::from_secs(10), Some(Fault::RequestEveryCommit));
    println!("{caught_up:?}");
    assert!(caught_up.after > 10.0 * MAX_VALUES, "{caught_up:?}");
}

#[test]
fn a_change_through_a_member_that_has_just_returned_builds_on_the_newest() {
    for absence in [Absence::Killed, Absence::Wiped, Absence::Frozen, Absence::Partitioned] {
        let mut cluster = cluster_with_history(None);
        absence.begin(&mut cluster);
        make_changes(&mut cluster, CHANGES_BEFORE + 1, 1_000, Duration::from_secs(10));
        absence.end(&mut cluster);
        let current = CHANGES_BEFORE + 1_001;
        let stale = put(CHANGES_BEFORE + 1, document(CHANGES_BEFORE + 2, 1));
        let stale = cluster.propose(AWAY, stale.encode());
        let fresh = cluster.propose(AWAY, put(current, document(current + 1, 1)).encode());
        let refused = outcome(cluster.answer(stale));
        assert!(
            matches!(refused, Some(Outcome::Conflict { current: known }) if known >= current),
            "{refused:?}"
        );
        let taken = outcome(cluster.answer(fresh));
        assert_eq!(taken, Some(Outcome::Taken { version: current + 1 }), "{absence:?}");
    }
}

#[test]
fn a_killed_member_catches_up() {
    check(Absence::Killed);
}

#[test]
fn a_wiped_member_catches_up() {
    check(Absence::Wiped);
}

#[test]
fn a_frozen_member_catches_up() {
    check(Absence::Frozen);
}

#[test]
fn a_partitioned_member_catches_up() {
    check(Absence::Partitioned);
}

#[test]
fn a_member_whose_disk_was_full_catches_up() {
    check(Absence::DiskFull);
}

/// A member to which no commit is announced polls the others in turn.
#[test]
fn a_member_without_announcements_polls_all_others_in_turn() {
    for dead in [None, Some(3)] {
        let mut cluster = Cluster::new(5, 0, state_machine);
        cluster.partition(&[AWAY]);
        let first = cluster.propose(PROPOSER, put(0, document(1, 1)).encode());
        assert!(outcome(cluster.answer(first)).is_some());
        cluster.run(Duration::from_secs(1));
        dead.into_iter().for_each(|at| cluster.kill(at));
        cluster.heal_silently();
        let polls = 1 + u32::from(dead.is_some());
        let longest = MAX_POLL_DELAY * polls + MAX_CATCH_UP;
        let time = cluster.time_to_catch_up(AWAY, longest);
        println!("{dead:?} dead: {time:?}");
        assert!(time.is_some(), "the member did not catch up within {longest:?}");
    }
}

#[test]
fn a_spare_learns_of_changes_well_within_a_second() {
    let spare = MEMBERS;
    let mut cluster = Cluster::new(MEMBERS, 1, state_machine);
    let mut longest = Duration::ZERO;
    for base in 0..20 {
        let change = cluster.propose(PROPOSER, put(base, document(base + 1, 1)).encode());
        assert!(outcome(cluster.answer(change)).is_some());
        let time = cluster.time_to_catch_up(spare, MAX_POLL_DELAY_OF_SPARES);
        longest = longest.max(time.expect("the spare learns of the change"));
        cluster.run(Duration::from_millis(100 + 37 * base));
    }
    println!("{longest:?}");
}
