//! Submissions from clients: rejected immediately, passed to the scheduler, or accepted.

use super::{Courier, HeldMessage};
use crate::interface::{DestinationId, Event, MessageId, Past, Taken};
use crate::node::commit::PendingAction;
use crate::node::intake::{Reply, Submission};
use crate::node::journal::Verdict;
use crate::node::log::log_line;
use std::collections::HashMap;
use tokio::time::Instant;

impl Courier {
    /// Handles a message submitted by a client.
    pub(super) fn handle_submission(&mut self, submission: Submission) {
        // Duplicate id: either the message is accepted already, or both clients get the same reply.
        if let Some(message) = self.ids.get(&submission.submitted.id) {
            let judged = self.submissions.get_mut(message).map(|first| &mut first.reply);
            return match judged.or_else(|| self.pending_actions.answer(*message)) {
                Some(reply) => reply.join(submission.reply),
                None => answer(submission, Reply::Taken),
            };
        }
        match self.refusal(&submission) {
            Some(reply) => answer(submission, reply),
            None => self.submit(submission),
        }
    }

    /// The reply if the message is not passed to the scheduler; `None` if it is.
    fn refusal(&self, submission: &Submission) -> Option<Reply> {
        // A message that this process can no longer attempt is better submitted to another courier than left to
        // the next process.
        if self.pending_actions.failed() || self.starts_no_calls(Instant::now()) {
            return Some(Reply::Unavailable);
        }
        if !self.destinations.contains(&submission.submitted.destination) {
            return Some(if self.listed { Reply::NoDestination } else { Reply::Unavailable });
        }
        let full = self.held.len() + self.submissions.len() >= self.config.settings.max_held;
        if full || !self.journal.fits(&submission.submitted) {
            return Some(Reply::Refused { wait: None });
        }
        None
    }

    /// Queues a message for the scheduler's next turn.
    fn submit(&mut self, submission: Submission) {
        let message = self.next;
        self.next += 1;
        self.ids.insert(submission.submitted.id.clone(), message);
        self.events.push(Event::Taken(Taken {
            message: MessageId(message),
            class: submission.class,
            tenant: submission.tenant,
            destination: DestinationId(submission.submitted.destination),
            key: None,
            time_left: submission.time_left.saturating_sub(submission.at.elapsed()),
            estimated_work: None,
            history: Past::default(),
        }));
        self.submissions.insert(message, submission);
    }

    /// Drops submissions whose client has disconnected before the reply. Such a client counts its message as not
    /// accepted and may submit it elsewhere, so it must not be sent from here.
    pub(super) fn drop_abandoned(&mut self) {
        let deserted: Vec<u64> =
            self.submissions.iter().filter(|(_, o)| o.reply.is_closed()).map(|(n, _)| *n).collect();
        for message in deserted {
            if let Some(submission) = self.submissions.remove(&message) {
                log_line!("{} not taken on: its client has left", submission.submitted.id);
                self.ids.remove(&submission.submitted.id);
            }
            let of = |e: &Event| matches!(e, Event::Taken(t) if t.message.0 == message);
            self.events.retain(|e| !of(e));
        }
    }

    /// Records the messages that the scheduler accepted, then replies to their clients.
    pub(super) fn take_on(&mut self, refused: &mut HashMap<u64, Verdict>) {
        for (message, submission) in std::mem::take(&mut self.submissions) {
            let Submission { submitted, reply, time_left, .. } = submission;
            if let Some(verdict) = refused.remove(&message) {
                log_line!("{} not taken on: {verdict:?}", submitted.id);
                self.ids.remove(&submitted.id);
                let told = match verdict {
                    Verdict::Bounced { wait } => Reply::Refused { wait },
                    Verdict::Dead => Reply::Failed,
                };
                let _ = reply.send(told);
                continue;
            }
            let (id, class, dest) = (&submitted.id, &submitted.class, submitted.destination);
            let of = &submitted.tenant;
            log_line!("{id} taken on: {class} for {dest} of {of}, {} ms left", time_left.as_millis());
            self.journal.accept(message, submitted.clone());
            self.held.insert(message, HeldMessage::new(submitted, 0));
            self.pending_actions.push(PendingAction::Reply { message, reply });
        }
        self.commit_if_due();
    }

    /// Drops a message whose client never received the reply.
    pub(in crate::node) fn withdraw(&mut self, message: u64) {
        if let Some(m) = self.held.remove(&message) {
            log_line!("{} withdrawn: its client had not heard", m.submitted.id);
        }
        self.end(message);
        self.events.push(Event::Withdrawn { message: MessageId(message) });
    }

    /// Ends a message: nothing is left to do for it.
    pub(super) fn end(&mut self, message: u64) {
        if let Some(m) = self.journal.get(message) {
            let id = m.submitted.id.clone();
            self.ids.remove(&id);
            self.journal.end(message);
        }
    }
}

/// Replies to a submission that is not passed to the scheduler.
fn answer(submission: Submission, reply: Reply) {
    log_line!("{} at the door: {reply:?}", submission.submitted.id);
    // If the client has disconnected the reply is lost, which is harmless: nothing was accepted.
    let _ = submission.reply.send(reply);
}
