//! Changes of operators: proposed by the owner first, then by this controller, and always completed in bounded time.

use crate::controller::event::Answer;
use crate::controller::operator::pending_changes::{
    ANSWER_TIMEOUT, Completion, OWNER_TIMEOUT, PendingChanges,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot::{self, Receiver};

const START: Duration = Duration::from_secs(7);
const MILLISECOND: Duration = Duration::from_millis(1);

fn started(changes: &mut PendingChanges, owner_live: bool) -> (u64, Receiver<Answer>) {
    let (reply, answer) = oneshot::channel();
    let request = changes.begin(START, b"change".to_vec(), reply, owner_live);
    (request.expect("there is room"), answer)
}

fn taken() -> Answer {
    Answer::new(200, "{\"Version\":3}")
}

#[test]
fn a_change_of_the_owner_itself_is_not_proposed_a_second_time() {
    let mut changes = PendingChanges::default();
    let (request, mut answer) = started(&mut changes, false);
    assert_eq!(changes.command(request), Some(&b"change"[..]));
    assert_eq!(changes.due(START + OWNER_TIMEOUT), Vec::<u64>::new());
    assert!(matches!(changes.complete(request, taken), Completion::Answered));
    assert_eq!(answer.try_recv(), Ok(taken()));
    assert_eq!(changes.next_wake(), None);
}

#[test]
fn the_owner_has_its_time_before_the_change_is_proposed_here_once() {
    let mut changes = PendingChanges::default();
    let (request, _answer) = started(&mut changes, true);
    assert_eq!(changes.next_wake(), Some(START + OWNER_TIMEOUT));
    assert_eq!(changes.due(START + OWNER_TIMEOUT - MILLISECOND), Vec::<u64>::new());
    assert_eq!(changes.due(START + OWNER_TIMEOUT), vec![request]);
    assert_eq!(changes.due(START + OWNER_TIMEOUT + MILLISECOND), Vec::<u64>::new());
    assert_eq!(changes.next_wake(), Some(START + ANSWER_TIMEOUT));
}

#[test]
fn an_answer_of_the_owner_in_time_completes_the_change() {
    let mut changes = PendingChanges::default();
    let (request, mut answer) = started(&mut changes, true);
    changes.complete(request, taken);
    assert_eq!(answer.try_recv(), Ok(taken()));
    assert_eq!(changes.due(START + ANSWER_TIMEOUT), Vec::<u64>::new());
}

/// The owner was frozen while it had a change of an earlier incarnation of this controller, and answers it only now.
#[test]
fn an_outcome_for_an_earlier_incarnation_answers_nobody() {
    let mut earlier = PendingChanges::new(0x5151_0000_0000);
    let mut changes = PendingChanges::new(0x7272_0000_0000);
    let (old_request, _) = started(&mut earlier, true);
    let (request, mut answer) = started(&mut changes, true);
    assert_ne!(old_request, request);
    assert!(matches!(changes.complete(old_request, taken), Completion::Unknown));
    assert!(answer.try_recv().is_err());
    changes.complete(request, taken);
    assert_eq!(answer.try_recv(), Ok(taken()));
}

#[test]
fn the_first_of_two_outcomes_counts() {
    let mut changes = PendingChanges::default();
    let (request, mut answer) = started(&mut changes, true);
    changes.due(START + OWNER_TIMEOUT);
    changes.complete(request, taken);
    assert!(matches!(changes.complete(request, || Answer::error(503, "late")), Completion::Unknown));
    assert_eq!(answer.try_recv(), Ok(taken()));
}

#[test]
fn a_change_without_an_outcome_ends_with_503() {
    let mut changes = PendingChanges::default();
    let (request, mut answer) = started(&mut changes, true);
    assert_eq!(
        changes.due(START + ANSWER_TIMEOUT),
        Vec::<u64>::new(),
        "the change has timed out and is not proposed"
    );
    assert_eq!(answer.try_recv().expect("it is answered").status, 503);
    assert_eq!(changes.command(request), None);
    assert_eq!(changes.next_wake(), None);
}

#[test]
fn the_outcome_of_a_forwarded_change_goes_back_under_the_number_of_the_asker() {
    let mut changes = PendingChanges::default();
    let peer: SocketAddr = "10.0.0.2:7000".parse().expect("an address");
    let request = changes.begin_forwarded(START, peer, 41, b"change".to_vec());
    assert_eq!(changes.command(request), Some(&b"change"[..]));
    let completion = changes.complete(request, || unreachable!("no operator waits here"));
    assert!(matches!(completion, Completion::Return { peer: to, request: 41 } if to == peer));
}

#[test]
fn a_forwarded_change_expires() {
    let mut changes = PendingChanges::default();
    let peer: SocketAddr = "10.0.0.2:7000".parse().expect("an address");
    let request = changes.begin_forwarded(START, peer, 41, b"change".to_vec());
    assert_eq!(changes.due(START + ANSWER_TIMEOUT), Vec::<u64>::new());
    assert!(matches!(changes.complete(request, taken), Completion::Unknown));
}

#[test]
fn too_many_changes_at_once_are_refused() {
    let mut changes = PendingChanges::default();
    let _waiting: Vec<_> = (0..64).map(|_| started(&mut changes, false)).collect();
    let (reply, mut answer) = oneshot::channel();
    assert_eq!(changes.begin(START, Vec::new(), reply, false), None);
    assert_eq!(answer.try_recv().expect("it is answered").status, 503);
}
