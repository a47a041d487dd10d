//! Messages that clients offer: which are turned away at once, which come to judgement, and which are taken on.

use super::{Courier, Held};
use crate::interface::{DestinationId, Event, MessageId, Past, Taken};
use crate::node::commit::PendingAction;
use crate::node::intake::{Offer, Reply};
use crate::node::journal::Verdict;
use crate::node::log::say;
use std::collections::HashMap;
use tokio::time::Instant;

impl Courier {
    /// A client has handed in a message.
    pub(super) fn offered(&mut self, offer: Offer) {
        // Handed in twice under one id: it is taken already, or both hear what becomes of it.
        if let Some(message) = self.ids.get(&offer.letter.id) {
            let judged = self.offers.get_mut(message).map(|first| &mut first.reply);
            return match judged.or_else(|| self.dues.answer(*message)) {
                Some(reply) => reply.join(offer.reply),
                None => answer(offer, Reply::Taken),
            };
        }
        match self.refusal(&offer) {
            Some(reply) => answer(offer, reply),
            None => self.submit(offer),
        }
    }

    /// What a client is told whose message does not come to judgement.
    fn refusal(&self, offer: &Offer) -> Option<Reply> {
        // What cannot be tried here any more is better handed in elsewhere than left to the next process.
        if self.dues.failed() || self.begins_no_call(Instant::now()) {
            return Some(Reply::Unavailable);
        }
        if !self.destinations.contains(&offer.letter.destination) {
            return Some(if self.listed { Reply::NoDestination } else { Reply::Unavailable });
        }
        let full = self.held.len() + self.offers.len() >= self.config.settings.max_held;
        if full || !self.journal.fits(&offer.letter) {
            return Some(Reply::Refused { wait: None });
        }
        None
    }

    /// Has the module judge a message in its next turn.
    fn submit(&mut self, offer: Offer) {
        let message = self.next;
        self.next += 1;
        self.ids.insert(offer.letter.id.clone(), message);
        self.events.push(Event::Taken(Taken {
            message: MessageId(message),
            class: offer.class,
            tenant: offer.tenant,
            destination: DestinationId(offer.letter.destination),
            key: None,
            time_left: offer.time_left.saturating_sub(offer.at.elapsed()),
            estimated_work: None,
            history: Past::default(),
        }));
        self.offers.insert(message, offer);
    }

    /// A client that has given up before it was told counts its message as not taken, and may hand it in
    /// again elsewhere: it must not be sent from here.
    pub(super) fn drop_deserted(&mut self) {
        let deserted: Vec<u64> =
            self.offers.iter().filter(|(_, o)| o.reply.is_closed()).map(|(n, _)| *n).collect();
        for message in deserted {
            if let Some(offer) = self.offers.remove(&message) {
                say!("{} not taken on: its client has left", offer.letter.id);
                self.ids.remove(&offer.letter.id);
            }
            let of = |e: &Event| matches!(e, Event::Taken(t) if t.message.0 == message);
            self.events.retain(|e| !of(e));
        }
    }

    /// Records the new messages that the module keeps, then tells the clients.
    pub(super) fn take_on(&mut self, refused: &mut HashMap<u64, Verdict>) {
        for (message, offer) in std::mem::take(&mut self.offers) {
            let Offer { letter, reply, time_left, .. } = offer;
            if let Some(verdict) = refused.remove(&message) {
                say!("{} not taken on: {verdict:?}", letter.id);
                self.ids.remove(&letter.id);
                let told = match verdict {
                    Verdict::Bounced { wait } => Reply::Refused { wait },
                    Verdict::Dead => Reply::Failed,
                };
                let _ = reply.send(told);
                continue;
            }
            let (id, class, dest) = (&letter.id, &letter.class, letter.destination);
            let of = &letter.tenant;
            say!("{id} taken on: {class} for {dest} of {of}, {} ms left", time_left.as_millis());
            self.journal.accept(message, letter.clone());
            self.held.insert(message, Held::new(letter, 0));
            self.dues.push(PendingAction::Reply { message, reply });
        }
        self.commit_if_due();
    }

    /// Nobody is owed anything for the message.
    pub(in crate::node) fn withdraw(&mut self, message: u64) {
        if let Some(m) = self.held.remove(&message) {
            say!("{} withdrawn: its client had not heard", m.letter.id);
        }
        self.end(message);
        self.events.push(Event::Withdrawn { message: MessageId(message) });
    }

    /// Nothing more is owed for the message.
    pub(super) fn end(&mut self, message: u64) {
        if let Some(m) = self.journal.get(message) {
            let id = m.submitted.id.clone();
            self.ids.remove(&id);
            self.journal.end(message);
        }
    }
}

/// Answers an offer that does not come to judgement.
fn answer(offer: Offer, reply: Reply) {
    say!("{} at the door: {reply:?}", offer.letter.id);
    // A client that is gone hears nothing, and nothing was taken.
    let _ = offer.reply.send(reply);
}
