//! One turn of the scheduler: passes it the pending events and carries out its actions.

use super::Courier;
use super::attempts::Send;
use crate::interface::{Action, Event};
use crate::node::commit::PendingAction;
use crate::node::journal::Verdict;
use crate::node::log::log_line;
use crate::node::outcomes::Notice;
use std::collections::HashMap;
use tokio::time::Instant;

/// A turn's decisions about messages, carried out in this order once all its actions are read.
#[derive(Default)]
struct Decisions {
    refused: HashMap<u64, Verdict>,
    sends: Vec<Send>,
    cancels: Vec<u64>,
}

impl Courier {
    /// Passes one batch of events to the scheduler and carries out its actions.
    pub(super) fn turn(&mut self, now: Instant) {
        if let Some((_, token)) = self.wake.take_if(|(at, _)| *at <= now) {
            self.events.push(Event::Woken { token });
        }
        self.drop_abandoned();
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.scheduler.handle(now.duration_since(self.origin), &events, &mut actions);
        let mut decisions = Decisions::default();
        for action in actions {
            self.act(action, now, &mut decisions);
        }
        let Decisions { mut refused, sends, cancels } = decisions;
        self.take_on(&mut refused);
        for (message, verdict) in refused {
            self.give_up(message, verdict);
        }
        self.send(sends, now);
        self.cancel(cancels);
    }

    /// Carries out an action; decisions about messages are collected instead.
    fn act(&mut self, action: Action, now: Instant, decisions: &mut Decisions) {
        match action {
            Action::Send { message, endpoint, timeout } => {
                decisions.sends.push(Send { message: message.0, endpoint, timeout });
            }
            Action::Refuse { message, wait } => {
                decisions.refused.insert(message.0, Verdict::Bounced { wait });
            }
            Action::Fail { message } => {
                decisions.refused.insert(message.0, Verdict::Dead);
            }
            Action::Cancel { message, .. } => decisions.cancels.push(message.0),
            Action::Probe { endpoint } => self.probe(endpoint),
            Action::Close { endpoint } => self.calls.close(endpoint),
            Action::Subscribe { active: true } | Action::Fetch => self.watch(),
            Action::Subscribe { active: false } | Action::Tell { .. } => {}
            Action::Wake { token, after } => self.wake = Some((now + after, token)),
            Action::Forget { endpoint } => self.forget(endpoint),
            Action::Note { text } => log_line!("note: {text}"),
        }
    }

    /// Records that the scheduler ended a message undelivered; its notice follows the record.
    fn give_up(&mut self, message: u64, verdict: Verdict) {
        let Some(m) = self.held.get(&message) else { return };
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            return;
        }
        let (id, until) = (m.submitted.id.clone(), m.submitted.until);
        log_line!("{id} given up: {verdict:?}");
        if m.in_flight.is_none() {
            self.held.remove(&message);
        }
        self.journal.record_verdict(message, verdict);
        self.pending_actions.push(PendingAction::Notice(Notice { message, id, verdict }, until));
    }
}
