//! Catching up: a replica that hears of a committed value it does not have asks for it, one at a time.
//!
//! However many decisions it hears of meanwhile, one question is under way; the answer holds the newest value
//! of whoever gives it. So what a replica takes in to catch up does not grow with what it missed.

use std::time::Duration;

use super::ballot::Ballot;
use super::context::Context;
use super::node::Node;
use super::settings::Fault;

/// The newest decision that was heard of and whose value is not known here.
#[derive(Clone, Hash)]
struct MissingCommit {
    ballot: Ballot,
    /// Who told of it.
    from: Node,
    retry_at: Duration,
    interval: Duration,
}

#[derive(Clone, Default, Hash)]
pub(super) struct CatchUp {
    missing: Option<MissingCommit>,
}

impl CatchUp {
    /// A value is committed that is newer than the committed one known here.
    pub(super) fn on_commit_announced(&mut self, context: &mut Context, from: Node, ballot: Ballot) {
        if context.settings.has(Fault::AskForEach) {
            return context.send(from, context.poll_message());
        }
        match &mut self.missing {
            Some(missing) if missing.ballot < ballot => (missing.ballot, missing.from) = (ballot, from),
            Some(_) => {}
            None => self.request_value(context, from, ballot, context.settings.retry_interval),
        }
    }

    /// The committed value of `ballot` is known here; `answered` if it may be the answer to a question.
    pub(super) fn on_committed(&mut self, context: &mut Context, ballot: Ballot, answered: bool) {
        self.missing.take_if(|missing| missing.ballot <= ballot);
        if let Some(missing) = self.missing.take_if(|_| answered) {
            self.request_value(context, missing.from, missing.ballot, context.settings.retry_interval);
        }
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.missing.as_ref().map(|missing| missing.retry_at)
    }

    /// Asks again if there was no answer.
    pub(super) fn on_tick(&mut self, context: &mut Context) {
        let due = |missing: &mut MissingCommit| missing.retry_at <= context.now;
        if let Some(missing) = self.missing.take_if(due) {
            let interval = context.next_retry_interval(missing.interval);
            self.request_value(context, missing.from, missing.ballot, interval);
        }
    }

    fn request_value(&mut self, context: &mut Context, from: Node, ballot: Ballot, interval: Duration) {
        self.missing = Some(MissingCommit { ballot, from, retry_at: context.now + interval, interval });
        context.send(from, context.poll_message());
    }
}
