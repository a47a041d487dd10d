//! Rules on what answers are.

use super::view::{Attempt, View};
use super::{Invariant, Violation};
use crate::journal::{Answer, AttemptEnd};
use crate::names::AttemptId;
use std::time::Duration;

/// Every whole answer, with its attempt and time.
fn answers(view: &View) -> impl Iterator<Item = (AttemptId, &Attempt, Duration, &Answer)> {
    view.attempts.iter().filter_map(|(id, attempt)| match &attempt.end {
        Some((at, AttemptEnd::Answered(answer))) => Some((*id, attempt, *at, answer)),
        _ => None,
    })
}

/// [`Invariant::WrongAnswer`].
pub fn wrong_answer(view: &View) -> Vec<Violation> {
    let wrong = answers(view).filter_map(|(id, attempt, at, answer)| {
        let fault = fault_of(id, attempt, answer)?;
        let seen = format!("attempt {id} got {} {fault}", answer.status);
        Some(Violation::new(Invariant::WrongAnswer, at, seen).of_attempt(id))
    });
    wrong.collect()
}

fn fault_of(id: AttemptId, attempt: &Attempt, answer: &Answer) -> Option<String> {
    if let Some(other) = answer.attempt.filter(|other| *other != id) {
        return Some(format!("of attempt {other}"));
    }
    if !(200..300).contains(&answer.status) {
        // No endpoint of a run answers with a failure that is passed on.
        return answer.signature.as_ref().map(|signature| format!("with the signature {signature}"));
    }
    let Some(signature) = &answer.signature else { return Some("without a signature".to_owned()) };
    if answer.attempt.is_none() {
        return Some("without its id".to_owned());
    }
    if !attempt.runs().any(|run| run.instance.to_string() == *signature) {
        return Some(format!("signed {signature}, where it did not run"));
    }
    (!answer.body_matches).then(|| "with another body".to_owned())
}

/// [`Invariant::EventOrder`].
pub fn event_order(view: &View) -> Vec<Violation> {
    let streams = answers(view).filter(|(_, attempt, _, answer)| {
        attempt.sent.route.is_stream() && (200..300).contains(&answer.status)
    });
    let broken = streams.filter_map(|(id, attempt, at, answer)| {
        let whole = answer.event_ids.iter().copied().eq(1..=attempt.sent.events);
        let seen = || format!("attempt {id}: of {} events came {:?}", attempt.sent.events, answer.event_ids);
        (!whole).then(|| Violation::new(Invariant::EventOrder, at, seen()).of_attempt(id))
    });
    broken.collect()
}
