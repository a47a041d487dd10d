//! Actions that wait for the journal: a 202 response, an attempt's first byte and a notice each depend on a
//! record that must survive the end of this process or, with `Durability::Power`, a power loss. Without syncs
//! the wait ends at once.

use super::calls::Call;
use super::courier::{Courier, never_sent};
use super::intake::{Answer, Reply};
use super::journal::unix;
use super::log::log_line;
use super::outcomes::Notice;
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Interval at which a failed disk is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Where each commit is synced: how long records that no action depends on may be delayed, and how many bytes
/// of them.
const MAX_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAYED_BYTES: u64 = 256 * 1024;
/// Interval between the commits that rewrite old segments one after another.
const REWRITE_INTERVAL: Duration = Duration::from_millis(10);
/// A wait for the commit below this is not deducted from the call's timeout.
const NEGLIGIBLE_WAIT: Duration = Duration::from_millis(2);
/// Time limit for the last commit of a process.
const FINAL_COMMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// An action that may be performed once the records before it are durable.
pub(super) enum PendingAction {
    Reply {
        message: u64,
        reply: Answer,
    },
    Call {
        call: Call,
        cancelled: oneshot::Receiver<()>,
    },
    /// With the Unix time from which on the message would not be sent again, whatever the journal says.
    Notice(Notice, Duration),
}

/// Pending actions, and the state of the journal's commits.
#[derive(Default)]
pub(super) struct PendingActions {
    waiting: Vec<PendingAction>,
    /// Actions that wait for the commit in progress.
    committing: Vec<PendingAction>,
    failed: Option<Instant>,
    /// When the last commit was started.
    last: Option<Instant>,
}

impl PendingActions {
    pub(super) fn push(&mut self, due: PendingAction) {
        self.waiting.push(due);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.committing.is_empty()
    }

    /// Whether the last commit failed.
    pub(super) fn failed(&self) -> bool {
        self.failed.is_some()
    }

    /// The response channel of a message that is accepted, but whose client may not be told so yet.
    pub(super) fn answer(&mut self, message: u64) -> Option<&mut Answer> {
        self.waiting.iter_mut().chain(&mut self.committing).find_map(|due| match due {
            PendingAction::Reply { message: m, reply } if *m == message => Some(reply),
            _ => None,
        })
    }
}

impl Courier {
    /// Commits pending records; the actions that depend on them follow, at once or when the commit completes.
    /// After an error no messages are accepted until a commit succeeds again.
    pub(super) fn commit_if_due(&mut self) {
        let later = self.journal.is_busy() || (self.journal.syncs() && self.may_delay_commit());
        if !later {
            self.commit();
        }
    }

    /// Whether no action depends on the pending records yet.
    fn may_delay_commit(&self) -> bool {
        self.pending_actions.waiting.is_empty()
            && !self.pending_actions.failed()
            && !self.journal.is_behind()
            && {
                let lately = self.pending_actions.last.is_some_and(|t| t.elapsed() < MAX_DELAY);
                self.journal.waiting() == 0 || (lately && self.journal.waiting() < MAX_DELAYED_BYTES)
            }
    }

    fn commit(&mut self) {
        self.pending_actions.committing = std::mem::take(&mut self.pending_actions.waiting);
        let now = Instant::now();
        // A disk that has just failed is not retried for each message.
        if self.pending_actions.failed.is_some_and(|t| now < t + RETRY_INTERVAL) {
            return self.release(false);
        }
        self.pending_actions.last = Some(now);
        if let Some(result) = self.journal.commit() {
            self.committed(result);
        }
    }

    /// Handles the end of a commit.
    pub(super) fn committed(&mut self, result: io::Result<()>) {
        match &result {
            Ok(()) => {
                if self.pending_actions.failed.take().is_some() {
                    log_line!("journal: writing works again");
                }
            }
            Err(e) => {
                if self.pending_actions.failed.replace(Instant::now()).is_none() {
                    log_line!("journal: cannot write: {e}");
                }
            }
        }
        self.intake_state.ready.set(result.is_ok() && self.stopping.is_none());
        self.release(result.is_ok());
    }

    /// Performs the actions of the completed commit, or reverts them if it failed.
    fn release(&mut self, durable: bool) {
        for due in std::mem::take(&mut self.pending_actions.committing) {
            match due {
                PendingAction::Reply { message, reply } => {
                    let response = if durable { Reply::Taken } else { Reply::Unavailable };
                    if !reply.send(response) || !durable {
                        self.withdraw(message);
                    }
                }
                PendingAction::Call { call, cancelled } => self.begin_call(call, cancelled, durable),
                // After a crash before this record is durable, the message would be sent again although its
                // client was told to resubmit it. That cannot happen once its deadline has passed.
                PendingAction::Notice(notice, until) if durable || unix() >= until => {
                    self.notices.push_back(notice)
                }
                notice => self.pending_actions.waiting.push(notice),
            }
        }
    }

    fn begin_call(&mut self, mut call: Call, mut cancelled: oneshot::Receiver<()>, durable: bool) {
        // None if its client has disconnected meanwhile.
        let waited = self.held.get(&call.message).and_then(|m| Some(m.in_flight.as_ref()?.0.elapsed()));
        if let Some(waited) = waited.filter(|waited| durable && *waited < call.timeout)
            && cancelled.try_recv().is_err()
        {
            if waited >= NEGLIGIBLE_WAIT {
                call.timeout -= waited;
            }
            let calls = self.calls.clone();
            tokio::task::spawn_local(calls.call(call, cancelled, self.inputs.clone()));
            return;
        }
        self.journal.never_ran(call.message, call.attempt);
        if let Some(m) = self.held.get_mut(&call.message) {
            m.in_flight = None;
        }
        self.events.push(never_sent(call.message, call.endpoint));
    }

    /// When the next commit is due without an event that triggers one.
    pub(super) fn commit_due(&self) -> Option<Instant> {
        if self.journal.is_busy() {
            return None;
        }
        if let Some(failed) = self.pending_actions.failed {
            return Some(failed + RETRY_INTERVAL);
        }
        let last = self.pending_actions.last?;
        let behind = self.journal.is_behind().then(|| last + REWRITE_INTERVAL);
        let delayed = (self.journal.syncs() && self.journal.waiting() > 0).then(|| last + MAX_DELAY);
        behind.into_iter().chain(delayed).min()
    }

    /// Commits all pending records and waits for that, up to FINAL_COMMIT_TIMEOUT. False if they are not
    /// known to be durable.
    pub(super) async fn commit_all(&mut self) -> bool {
        let all = async {
            while self.journal.is_busy()
                || self.journal.waiting() > 0
                || !self.pending_actions.waiting.is_empty()
            {
                if self.journal.is_busy() {
                    let done = self.journal.done().await;
                    self.committed(done);
                } else {
                    self.commit();
                }
                if self.pending_actions.failed() {
                    break;
                }
            }
        };
        tokio::time::timeout(FINAL_COMMIT_TIMEOUT, all).await.is_ok() && !self.pending_actions.failed()
    }
}

#[cfg(test)]
#[path = "commit_test.rs"]
mod tests;
