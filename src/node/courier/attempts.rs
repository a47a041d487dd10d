//! Delivery attempts and probes: started when the scheduler asks for them, and reported to it when they end.

use super::Courier;
use crate::interface::{Effect, Ended, EndpointId, Event, MessageId, Outcome};
use crate::node::calls::{Call, CallEnd, StartPermit};
use crate::node::commit::PendingAction;
use crate::node::journal::{Attempt, unix};
use crate::node::log::log_line;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt requested by the scheduler.
pub(super) struct Send {
    pub(super) message: u64,
    pub(super) endpoint: EndpointId,
    pub(super) timeout: Duration,
}

impl Courier {
    /// Records the attempts of a turn; each starts once its record is on disk.
    pub(super) fn send(&mut self, sends: Vec<Send>, now: Instant) {
        let late = self.starts_no_calls(now);
        for send in sends {
            self.attempt(&send, now, late);
        }
        // Attempts must be recorded before their first byte is sent, and verdicts before their notice.
        self.commit_if_due();
    }

    fn attempt(&mut self, send: &Send, now: Instant, late: bool) {
        let Send { message, endpoint, timeout } = *send;
        let e = self.endpoints.get(&endpoint);
        let to = e.and_then(|e| Some((e, e.address?)));
        let Some((m, (e, address))) = self.held.get_mut(&message).zip(to) else {
            // Its client disconnected in the same batch: report to the scheduler that nothing was sent.
            self.events.push(never_sent(message, endpoint));
            return;
        };
        let zone = self.config.zones.get(e.zone).cloned().unwrap_or_default();
        let host = e.host.clone();
        let attempt = Attempt { host: host.clone(), zone, sent: unix(), may_have_run: true };
        m.in_flight = Some((now, None));
        if late {
            // This process exits before a response could arrive: the next process gets the message as never sent.
            return;
        }
        let number = m.attempts;
        m.attempts += 1;
        let submitted = m.submitted.clone();
        log_line!("{} attempt {number}: to {host} for {} ms", submitted.id, timeout.as_millis());
        let effect = self.effect(&submitted.class);
        let once = effect == Some(Effect::Once);
        let mut start_permit = StartPermit::default();
        if let Some(Effect::Keyed { window, .. }) = effect {
            start_permit.ends = self.window_end(message, window, now);
        }
        self.journal.attempt(message, attempt);
        let (cancel, cancelled) = oneshot::channel();
        if let Some(m) = self.held.get_mut(&message) {
            m.start_permit = Some((endpoint, start_permit.clone()));
            m.in_flight = Some((now, Some(cancel)));
        }
        let call = Call {
            message,
            attempt: number,
            endpoint,
            host,
            address,
            submitted,
            timeout,
            once,
            start_permit,
        };
        self.pending_actions.push(PendingAction::Call { call, cancelled });
    }

    /// What a repeated delivery of a message of this class does.
    fn effect(&self, class: &str) -> Option<Effect> {
        let class = self.config.classes.iter().position(|c| c == class);
        class.and_then(|c| self.config.settings.classes.get(c)).map(|c| c.effect)
    }

    /// End of the endpoint's deduplication window, if an earlier attempt may have run.
    fn window_end(&self, message: u64, window: Duration, now: Instant) -> Option<Instant> {
        let mut before = self.journal.get(message).into_iter().flat_map(|m| &m.attempts);
        let first = before.find(|a| a.may_have_run).map(|a| a.sent);
        first.map(|at| now + (at + window).saturating_sub(unix()))
    }

    /// Handles the end of a call.
    pub(super) fn call_ended(&mut self, message: u64, attempt: u32, endpoint: EndpointId, end: CallEnd) {
        // Only these outcomes prove that the request never ran; with any other it may have.
        let never = matches!(end.outcome, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::NotSent);
        if never {
            self.journal.never_ran(message, attempt);
        }
        if end.over {
            self.end(message);
        }
        // The endpoint may have gone during the call, and the connection was kept after that.
        self.close_unless_usable(endpoint);
        if let (Outcome::Full { wait: Some(_) }, Some(m)) = (end.outcome, self.held.get(&message)) {
            self.revoke_calls_to_destination(m.submitted.destination);
        }
        let Some(m) = self.held.get_mut(&message) else { return };
        let Some((sent, _)) = m.in_flight.take() else { return };
        let (id, took) = (&m.submitted.id, end.at.saturating_duration_since(sent).as_millis());
        log_line!("{id} attempt {attempt}: {:?} after {took} ms", end.outcome);
        self.events.push(Event::Ended(Ended {
            message: MessageId(message),
            endpoint,
            outcome: aged(end.outcome, end.at),
            took: end.at.saturating_duration_since(sent),
            answered: end.over,
            report: end.report,
        }));
        // The scheduler drops a message with its last outcome, and so does the courier.
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            self.held.remove(&message);
        }
    }

    /// Cancels the calls in flight for these messages.
    pub(super) fn cancel(&mut self, messages: Vec<u64>) {
        for message in messages {
            if let Some(held) = self.held.get_mut(&message) {
                held.cancel();
            }
        }
    }

    /// Starts a load probe of an endpoint.
    pub(super) fn probe(&mut self, endpoint: EndpointId) {
        let e = self.endpoints.get(&endpoint);
        if let Some((host, address)) = e.and_then(|e| Some((e.host.clone(), e.address?))) {
            let timeout = self.config.settings.connect_timeout * 2;
            tokio::task::spawn_local(self.calls.clone().probe(
                (endpoint, host),
                address,
                timeout,
                self.inputs.clone(),
            ));
        }
    }

    /// Handles the end of a probe.
    pub(super) fn probed(&mut self, endpoint: EndpointId, sent: Instant, end: CallEnd) {
        let took = end.at.saturating_duration_since(sent);
        let outcome = aged(end.outcome, end.at);
        self.events.push(Event::Probed { endpoint, outcome, took, report: end.report });
    }
}

/// Subtracts the response's age from its wait, which counts from the response's arrival and not from this batch.
fn aged(outcome: Outcome, at: Instant) -> Outcome {
    match outcome {
        Outcome::Full { wait: Some(wait) } => Outcome::Full { wait: Some(wait.saturating_sub(at.elapsed())) },
        other => other,
    }
}

/// The event for an attempt of which no byte was sent.
pub(in crate::node) fn never_sent(message: u64, endpoint: EndpointId) -> Event {
    Event::Ended(Ended {
        message: MessageId(message),
        endpoint,
        outcome: Outcome::NotSent,
        took: Duration::ZERO,
        answered: false,
        report: None,
    })
}
