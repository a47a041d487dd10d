//! Catching up: a replica that learns of a commit without its value requests the value, one request at a time.
//!
//! At most one request is in flight, however many commits are announced meanwhile; the answer contains the newest
//! value that its sender knows. So the amount of data that a replica receives to catch up does not grow with the number
//! of commits that it missed.

use std::time::Duration;

use super::ballot::Ballot;
use super::context::Context;
use super::fault::Fault;
use super::node::Node;
use super::retry::RetryTimer;

/// The newest announced commit whose value is not known here.
#[derive(Clone, Hash)]
struct MissingCommit {
    ballot: Ballot,
    /// The replica that announced it.
    from: Node,
    retry: RetryTimer,
}

#[derive(Clone, Default, Hash)]
pub(super) struct CatchUp {
    missing: Option<MissingCommit>,
}

impl CatchUp {
    /// A commit was announced that is newer than the newest one known here.
    pub(super) fn on_commit_announced(&mut self, context: &mut Context, from: Node, ballot: Ballot) {
        if context.settings.has(Fault::RequestEveryCommit) {
            return context.send(from, context.poll_message());
        }
        match &mut self.missing {
            Some(missing) if missing.ballot < ballot => (missing.ballot, missing.from) = (ballot, from),
            Some(_) => {}
            None => self.request_value(context, from, ballot),
        }
    }

    /// The committed value of `ballot` is known here; `is_answer` if it may answer the request in flight.
    pub(super) fn on_committed(&mut self, context: &mut Context, ballot: Ballot, is_answer: bool) {
        self.missing.take_if(|missing| missing.ballot <= ballot);
        if let Some(missing) = self.missing.take_if(|_| is_answer) {
            self.request_value(context, missing.from, missing.ballot);
        }
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.missing.as_ref().map(|missing| missing.retry.due_at())
    }

    /// Sends the request again if it was not answered in time.
    pub(super) fn on_tick(&mut self, context: &mut Context) {
        if let Some(missing) = self.missing.as_mut().filter(|missing| missing.retry.is_due(context)) {
            missing.retry.back_off(context);
            context.send(missing.from, context.poll_message());
        }
    }

    fn request_value(&mut self, context: &mut Context, from: Node, ballot: Ballot) {
        self.missing = Some(MissingCommit { ballot, from, retry: RetryTimer::start(context) });
        context.send(from, context.poll_message());
    }
}
