//! Rules on the ends of requests and on their runs.

use super::view::{Attempt, View};
use super::{Invariant, Violation};
use crate::journal::{AttemptEnd, RunEnd};
use crate::layout::GRACE_S;
use crate::names::{AttemptId, Place};
use std::time::Duration;

/// A connection that is closed within this time after a request was sent, and before the request reached an
/// endpoint, may have been closed before the request was read.
const CROSSING: Duration = Duration::from_millis(500);
/// Time before its deadline from which a request may be given up.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Time by which what a client sees lags behind what happened.
const SEEN_LATER: Duration = Duration::from_millis(500);
/// Time after a stop for which a router still works off what gathered.
const AFTER_STOP: Duration = Duration::from_millis(3_000);

/// [`Invariant::Lost`].
pub fn lost(view: &View) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, attempt) in &view.attempts {
        let Some((at, AttemptEnd::Cut { events })) = attempt.end else { continue };
        if is_excused(view, attempt, at) {
            continue;
        }
        let (route, router) = (attempt.sent.route.name(), attempt.sent.router);
        let after = (at - attempt.at).as_secs_f64();
        let seen = format!(
            "attempt {id} ({route}) at router-{router}: cut {after:.3} s after it was sent, {events} events, \
             {}",
            termination_text(view, attempt, at)
        );
        found.push(Violation::new(Invariant::Lost, at, seen).of_attempt(*id));
    }
    found
}

fn termination_text(view: &View, attempt: &Attempt, cut: Duration) -> String {
    let router = Place::Router(attempt.sent.router);
    let last = view.terminations(router).filter(|told| *told <= cut).last();
    last.map_or("no SIGTERM".to_owned(), |told| {
        format!("sent {:+.3} s from SIGTERM", attempt.at.as_secs_f64() - told.as_secs_f64())
    })
}

/// Whether an answer may end early for a reason that the router has no part in.
fn is_excused(view: &View, attempt: &Attempt, at: Duration) -> bool {
    let router = Place::Router(attempt.sent.router);
    let was_not_read = attempt.arrivals.is_empty() && at - attempt.at < CROSSING;
    was_not_read
        || at + DEADLINE_MARGIN >= attempt.at + attempt.sent.deadline
        || view.was_down(router, attempt.at.saturating_sub(AFTER_STOP), at + SEEN_LATER)
        || endpoint_broke_off(view, attempt, at)
        || view.terminations(router).any(|told| outlasts_grace(attempt.at, at, told))
        || was_slowed_beyond_grace(view, attempt, at)
}

fn endpoint_broke_off(view: &View, attempt: &Attempt, at: Duration) -> bool {
    let by_run = attempt.run_ends.iter().any(|(_, _, end)| *end == RunEnd::EndpointEnded);
    let gone = |instance| view.instance_ends.get(instance).is_some_and(|end| *end <= at + SEEN_LATER);
    by_run || attempt.arrivals.iter().any(|arrival| gone(&arrival.instance))
}

/// Whether a request that was sent before its router was told to end was still running when the time for that
/// was nearly over.
fn outlasts_grace(sent: Duration, cut: Duration, told: Duration) -> bool {
    let grace = Duration::from_secs(GRACE_S);
    sent <= told && cut >= told + grace * 5 / 6 && cut <= told + grace + SEEN_LATER
}

/// Whether a router that was told to end could not foresee that a stream would outlast the time: its endpoint
/// became slow.
fn was_slowed_beyond_grace(view: &View, attempt: &Attempt, cut: Duration) -> bool {
    let router = Place::Router(attempt.sent.router);
    let grace = Duration::from_secs(GRACE_S);
    let ends = view.terminations(router).any(|told| cut >= told + grace * 5 / 6 && cut <= told + grace);
    ends && attempt.runs().any(|run| view.was_slow(run.instance.endpoint, attempt.at, cut))
}

/// [`Invariant::Overdue`].
pub fn overdue(view: &View) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, attempt) in &view.attempts {
        let router = Place::Router(attempt.sent.router);
        let (at, what) = match attempt.end {
            Some((at, AttemptEnd::Overdue { events })) => (at, format!("no end after {events} events")),
            None if view.traffic_ended.is_some() => (attempt.at, "no end at all".to_owned()),
            _ => continue,
        };
        if !view.was_down(router, attempt.at.saturating_sub(AFTER_STOP), at) {
            let deadline = attempt.sent.deadline.as_millis();
            let seen = format!("attempt {id} at {router}, deadline {deadline} ms: {what}");
            found.push(Violation::new(Invariant::Overdue, at, seen).of_attempt(*id));
        }
    }
    found
}

/// [`Invariant::RunTwice`].
pub fn run_twice(view: &View) -> Vec<Violation> {
    let once = view.attempts.iter().filter(|(_, attempt)| !attempt.sent.route.may_run_again());
    let twice = |(id, attempt): (&AttemptId, &Attempt)| {
        let second = attempt.runs().nth(1)?;
        let instances: Vec<String> = attempt.runs().map(|run| run.instance.to_string()).collect();
        let seen = format!("attempt {id} ran at {}", instances.join(" and "));
        Some(Violation::new(Invariant::RunTwice, second.at, seen).of_attempt(*id))
    };
    once.filter_map(twice).collect()
}

/// [`Invariant::RefusedAfterRun`].
pub fn refused_after_run(view: &View) -> Vec<Violation> {
    let once = view.attempts.iter().filter(|(_, attempt)| !attempt.sent.route.may_run_again());
    let refused = |(id, attempt): (&AttemptId, &Attempt)| {
        let (at, AttemptEnd::Answered(answer)) = attempt.end.as_ref()? else { return None };
        let run = attempt.runs().next()?;
        let seen = format!("attempt {id} got {}, and ran at {}", answer.status, run.instance);
        let promised = matches!(answer.status, 408 | 421 | 429 | 503);
        promised.then(|| Violation::new(Invariant::RefusedAfterRun, *at, seen).of_attempt(*id))
    };
    once.filter_map(refused).collect()
}
