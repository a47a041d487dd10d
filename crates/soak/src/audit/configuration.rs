//! Rules on the configuration.

use super::view::{Arrival, Attempt, Change, View};
use super::{Invariant, Violation};
use crate::catalog::{RouteKind, Service};
use crate::journal::Read;
use crate::layout::{CONFIG_APPLY_MS, CONTACT_MS};
use std::collections::BTreeMap;
use std::time::Duration;

/// Margin for what a busy machine adds to the time in which a configuration is in force.
const APPLY_MARGIN: Duration = Duration::from_millis(1_000);

/// Time after which a change that met a trouble of the control plane is looked at.
const CALM_AFTER: Duration = Duration::from_secs(10);
/// Time in which a change is answered when there is no such trouble.
const ACK_TIME: Duration = Duration::from_secs(8);

/// [`Invariant::StaleRead`], [`Invariant::ConfigurationConflict`], [`Invariant::RefusedAfterTaken`] and
/// [`Invariant::Unanswered`].
pub fn judge(view: &View) -> Vec<Violation> {
    let mut found = stale_reads(view);
    found.extend(conflicts_of_reads(view));
    found.extend(conflicts_of_changes(view));
    found.extend(refused_after_taken(view));
    found.extend(never_read_back(view));
    found.extend(unanswered(view));
    found
}

/// The newest change that was acknowledged by then.
fn newest_acknowledged(view: &View, by: Duration) -> Option<&Change> {
    let acknowledged = view.changes.values().filter(|change| change.acknowledged.is_some_and(|at| at <= by));
    acknowledged.max_by_key(|change| change.facts.version)
}

fn stale_reads(view: &View) -> Vec<Violation> {
    let stale = view.reads.iter().filter_map(|(at, read)| {
        let newest = newest_acknowledged(view, read.sent)?.facts.version;
        let seen = || {
            let Read { controller, version, .. } = read;
            format!("controller-{controller} gave version {version}, {newest} was acknowledged before")
        };
        (read.version < newest).then(|| Violation::new(Invariant::StaleRead, *at, seen()))
    });
    stale.collect()
}

fn conflicts_of_reads(view: &View) -> Vec<Violation> {
    let mut known: BTreeMap<u64, &Read> = BTreeMap::new();
    let mut found = Vec::new();
    for (at, read) in &view.reads {
        let version = read.version;
        let first = known.entry(version).or_insert(read);
        if (first.digest, first.change) != (read.digest, read.change) {
            let seen = format!("version {version} is {:?} and {:?} (changes)", first.change, read.change);
            found.push(Violation::new(Invariant::ConfigurationConflict, *at, seen));
        }
        let change = read.change.and_then(|change| view.changes.get(&change));
        if let Some(problem) = problem_of_read(version, change, *at) {
            found.push(Violation::new(Invariant::ConfigurationConflict, *at, problem));
        }
    }
    found
}

fn problem_of_read(version: u64, change: Option<&Change>, at: Duration) -> Option<String> {
    let Some(change) = change else {
        return Some(format!("version {version} is of no change that was sent"));
    };
    let number = change.facts.change;
    if change.facts.version != version {
        return Some(format!("change {number} of version {} is read as {version}", change.facts.version));
    }
    let refused = change.refused.filter(|(refused, _)| *refused <= at && change.taken.is_none());
    refused.map(|(_, status)| format!("change {number} was refused with {status} and is in force"))
}

fn conflicts_of_changes(view: &View) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut by_base: BTreeMap<u64, &Change> = BTreeMap::new();
    for change in view.changes.values() {
        let Some(at) = change.acknowledged else { continue };
        if let Some(other) = by_base.insert(change.facts.base, change) {
            let (one, two, base) = (other.facts.change, change.facts.change, change.facts.base);
            let seen = format!("changes {one} and {two}, both on top of {base}, were acknowledged");
            found.push(Violation::new(Invariant::ConfigurationConflict, at, seen));
        }
    }
    found
}

fn refused_after_taken(view: &View) -> Vec<Violation> {
    let refused = view.changes.values().filter_map(|change| {
        let (taken, (at, status)) = (change.taken?, change.refused?);
        let number = change.facts.change;
        let seen =
            format!("change {number} was taken at {:.3} s and refused with {status}", taken.as_secs_f64());
        (taken <= at).then(|| Violation::new(Invariant::RefusedAfterTaken, at, seen))
    });
    refused.collect()
}

/// After the traffic the configuration is read from every controller; one answer at least has to come.
fn never_read_back(view: &View) -> Vec<Violation> {
    let Some(ended) = view.traffic_ended else { return Vec::new() };
    if view.reads.iter().any(|(at, _)| *at >= ended) {
        return Vec::new();
    }
    vec![Violation::new(Invariant::StaleRead, ended, "no controller gave the configuration at the end")]
}

/// Changes that were sent for long in a time without trouble in the control plane, and have no clear answer.
fn unanswered(view: &View) -> Vec<Violation> {
    let Some(ended) = view.traffic_ended else { return Vec::new() };
    let open = view.changes.values().filter_map(|change| {
        let since = change.sent + CALM_AFTER;
        let is_open = change.acknowledged.is_none() && change.refused.is_none();
        let until = since + ACK_TIME;
        let is_troubled =
            view.was_control_troubled(since, until) || view.were_acknowledgements_lost(since, until);
        let is_owed = until <= ended && !is_troubled;
        let seen = || format!("change {} has no clear answer", change.facts.change);
        (is_open && is_owed).then(|| Violation::new(Invariant::Unanswered, until, seen()))
    });
    open.collect()
}

/// [`Invariant::StaleRoute`].
pub fn stale_route(view: &View) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, attempt) in &view.attempts {
        if attempt.sent.route != RouteKind::Lookup {
            continue;
        }
        for run in attempt.runs().filter(|run| is_stale(view, attempt, run)) {
            let router = attempt.sent.router;
            let seen = format!("attempt {id} ran at {} by the word of router-{router}", run.service);
            found.push(Violation::new(Invariant::StaleRoute, run.at, seen).of_attempt(*id));
        }
    }
    found
}

fn is_stale(view: &View, attempt: &Attempt, run: &Arrival) -> bool {
    let apply = Duration::from_millis(CONFIG_APPLY_MS) + APPLY_MARGIN;
    let Some(in_force) = newest_acknowledged(view, attempt.at.saturating_sub(apply)) else { return false };
    let may_be = |change: &&Change| {
        let later = change.facts.version >= in_force.facts.version && change.sent <= run.at;
        later && (change.refused.is_none() || change.taken.is_some())
    };
    let mut allowed = view.changes.values().filter(may_be).map(|change| change.facts.moved_to);
    let since = in_force.sent.saturating_sub(Duration::from_millis(CONTACT_MS));
    let is_allowed = allowed.any(|service: Service| service == run.service);
    !is_allowed && !view.was_out_of_touch(attempt.sent.router, since, run.at)
}
