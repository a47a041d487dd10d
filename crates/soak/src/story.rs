//! The story of a violation: the events of its attempt, and the lines of the logs that name it.

use crate::audit::Violation;
use crate::journal::{Event, What};
use crate::layout::Layout;
use crate::names::{AttemptId, InstanceId};
use std::fmt::Write;
use std::fs;
use std::time::Duration;

/// Time around a violation without an attempt in which events are told.
const AROUND: Duration = Duration::from_secs(3);
/// Time before a violation in which troubles are told.
const TROUBLES_BEFORE: Duration = Duration::from_secs(10);
/// Lines of one log that are told at most.
const MOST_LINES: usize = 20;
/// Events that are told at most.
const MOST_EVENTS: usize = 60;

/// Tells a violation.
pub fn tell(violation: &Violation, events: &[Event], layout: &Layout) -> String {
    let mut text = format!("{violation}\n");
    tell_troubles(&mut text, violation, events);
    for event in events.iter().filter(|event| belongs(violation, event)).take(MOST_EVENTS) {
        let _ = writeln!(text, "  {:9.3} {:?}", event.at.as_secs_f64(), event.what);
    }
    if let Some(attempt) = violation.attempt {
        tell_logs(&mut text, attempt, layout);
    }
    let _ = writeln!(text, "  logs: {}", layout.folder.display());
    text
}

/// The troubles that were there some time before the violation, and until when.
fn tell_troubles(text: &mut String, violation: &Violation, events: &[Event]) {
    for event in events.iter().filter(|event| event.at <= violation.at) {
        let What::TroubleBegan { number, trouble } = &event.what else { continue };
        let is_its_end = |other: &&Event| other.what == What::TroubleEnded { number: *number };
        let end = events.iter().find(is_its_end).map_or(Duration::MAX, |end| end.at);
        if end + TROUBLES_BEFORE >= violation.at {
            let (from, until) = (event.at.as_secs_f64(), end.as_secs_f64());
            let _ = writeln!(text, "  {from:9.3} to {until:.3}: {trouble}");
        }
    }
}

fn belongs(violation: &Violation, event: &Event) -> bool {
    if let Some(attempt) = violation.attempt
        && attempt_of(&event.what) == Some(attempt)
    {
        return true;
    }
    let near = event.at + AROUND >= violation.at && event.at <= violation.at + AROUND;
    match &event.what {
        What::ProcessEnded { .. } | What::ProcessStarted { .. } => near,
        what => match violation.instance {
            Some(instance) => instance_of(what) == Some(instance),
            None => violation.attempt.is_none() && is_of_configuration(what) && near,
        },
    }
}

fn attempt_of(what: &What) -> Option<AttemptId> {
    match what {
        What::Sent(sent) => Some(sent.attempt),
        What::Ended { attempt, .. } | What::Arrived { attempt, .. } | What::RunEnded { attempt, .. } => {
            Some(*attempt)
        }
        _ => None,
    }
}

fn instance_of(what: &What) -> Option<InstanceId> {
    match what {
        What::EndpointStarted { instance, .. }
        | What::EndpointEnded { instance }
        | What::LeavingAcknowledged { instance, .. }
        | What::OrderArrived { instance, .. }
        | What::OrderDone { instance, .. } => Some(*instance),
        _ => None,
    }
}

fn is_of_configuration(what: &What) -> bool {
    matches!(
        what,
        What::ChangeSent(_)
            | What::ChangeAcknowledged { .. }
            | What::AcknowledgementLost { .. }
            | What::ChangeRefused { .. }
            | What::Read(_)
    )
}

fn tell_logs(text: &mut String, attempt: AttemptId, layout: &Layout) {
    let id = attempt.to_string();
    for place in layout.processes() {
        let Ok(log) = fs::read_to_string(layout.log(place)) else { continue };
        for line in log.lines().filter(|line| line.contains(&id)).take(MOST_LINES) {
            let _ = writeln!(text, "  {place}: {line}");
        }
    }
}
