//! What waits for the record: a 202, an attempt's first byte and a notice each depend on something that must
//! outlast this process, or a loss of power. Where nothing is synced the wait is over at once.

use super::calls::Call;
use super::courier::{Courier, never_sent};
use super::intake::{Answer, Reply};
use super::journal::unix;
use super::log::say;
use super::outcomes::Notice;
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// When a disk that failed is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long records may wait on which nothing depends, and how many bytes of them, where each commit is synced.
const MAX_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAYED_BYTES: u64 = 256 * 1024;
/// When the next of several commits in a row is made.
const REWRITE_INTERVAL: Duration = Duration::from_millis(10);
/// A call that has waited for less is not cut short by it.
const NEGLIGIBLE_WAIT: Duration = Duration::from_millis(2);
/// How long the last commit of a process may take.
const FINAL_COMMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Something that may be done once the records before it are kept.
pub(super) enum PendingAction {
    Reply {
        message: u64,
        reply: Answer,
    },
    Call {
        call: Call,
        cancelled: oneshot::Receiver<()>,
    },
    /// With the time, Unix time, from which on its message would not be sent again whatever the record says.
    Notice(Notice, Duration),
}

/// What is due, and how the record fares.
#[derive(Default)]
pub(super) struct PendingActions {
    waiting: Vec<PendingAction>,
    /// Those that wait for the commit that is under way.
    committing: Vec<PendingAction>,
    failed: Option<Instant>,
    /// When the last commit was begun.
    last: Option<Instant>,
}

impl PendingActions {
    pub(super) fn push(&mut self, due: PendingAction) {
        self.waiting.push(due);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.committing.is_empty()
    }

    /// The disk does not take what is to be kept.
    pub(super) fn failed(&self) -> bool {
        self.failed.is_some()
    }

    /// Where the answer will go for a message that is taken on, but whose client may not be told so yet.
    pub(super) fn answer(&mut self, message: u64) -> Option<&mut Answer> {
        self.waiting.iter_mut().chain(&mut self.committing).find_map(|due| match due {
            PendingAction::Reply { message: m, reply } if *m == message => Some(reply),
            _ => None,
        })
    }
}

impl Courier {
    /// Brings the records to disk; what is due follows, at once or when that is done. After an error nothing
    /// more is taken on until it works again.
    pub(super) fn settle(&mut self) {
        let later = self.journal.is_busy() || (self.journal.syncs() && self.may_delay_commit());
        if !later {
            self.commit();
        }
    }

    /// Nothing depends yet on what is to be recorded.
    fn may_delay_commit(&self) -> bool {
        self.dues.waiting.is_empty() && !self.dues.failed() && !self.journal.is_behind() && {
            let lately = self.dues.last.is_some_and(|t| t.elapsed() < MAX_DELAY);
            self.journal.waiting() == 0 || (lately && self.journal.waiting() < MAX_DELAYED_BYTES)
        }
    }

    fn commit(&mut self) {
        self.dues.committing = std::mem::take(&mut self.dues.waiting);
        let now = Instant::now();
        // A disk that has just failed is not asked once more for each message.
        if self.dues.failed.is_some_and(|t| now < t + RETRY_INTERVAL) {
            return self.release(false);
        }
        self.dues.last = Some(now);
        if let Some(result) = self.journal.commit() {
            self.committed(result);
        }
    }

    /// A commit has ended.
    pub(super) fn committed(&mut self, result: io::Result<()>) {
        match &result {
            Ok(()) => {
                if self.dues.failed.take().is_some() {
                    say!("journal: works again");
                }
            }
            Err(e) => {
                if self.dues.failed.replace(Instant::now()).is_none() {
                    say!("journal: cannot write: {e}");
                }
            }
        }
        self.standing.ready.set(result.is_ok() && self.stopping.is_none());
        self.release(result.is_ok());
    }

    /// Does what was due, or takes it back.
    fn release(&mut self, kept: bool) {
        for due in std::mem::take(&mut self.dues.committing) {
            match due {
                PendingAction::Reply { message, reply } => {
                    let told = if kept { Reply::Taken } else { Reply::Unavailable };
                    if !reply.send(told) || !kept {
                        self.withdraw(message);
                    }
                }
                PendingAction::Call { call, cancelled } => self.begin_call(call, cancelled, kept),
                // A crash before the record would have the message sent again that its client was told to
                // hand in again; not if its time is up.
                PendingAction::Notice(notice, until) if kept || unix() >= until => {
                    self.notices.push_back(notice)
                }
                notice => self.dues.waiting.push(notice),
            }
        }
    }

    fn begin_call(&mut self, mut call: Call, mut cancelled: oneshot::Receiver<()>, kept: bool) {
        // None: its client has left meanwhile.
        let waited = self.held.get(&call.message).and_then(|m| Some(m.out.as_ref()?.0.elapsed()));
        if let Some(waited) = waited.filter(|waited| kept && *waited < call.timeout)
            && cancelled.try_recv().is_err()
        {
            if waited >= NEGLIGIBLE_WAIT {
                call.timeout -= waited;
            }
            let calls = self.calls.clone();
            tokio::task::spawn_local(calls.call(call, cancelled, self.news.clone()));
            return;
        }
        self.journal.never_ran(call.message, call.attempt);
        if let Some(m) = self.held.get_mut(&call.message) {
            m.out = None;
        }
        self.events.push(never_sent(call.message, call.endpoint));
    }

    /// When a commit is to be tried though nothing has happened.
    pub(super) fn commit_due(&self) -> Option<Instant> {
        if self.journal.is_busy() {
            return None;
        }
        if let Some(failed) = self.dues.failed {
            return Some(failed + RETRY_INTERVAL);
        }
        let last = self.dues.last?;
        let behind = self.journal.is_behind().then(|| last + REWRITE_INTERVAL);
        let delayed = (self.journal.syncs() && self.journal.waiting() > 0).then(|| last + MAX_DELAY);
        behind.into_iter().chain(delayed).min()
    }

    /// Brings all to disk and waits for it, but not for ever. False if it is not known to be there.
    pub(super) async fn settle_whole(&mut self) -> bool {
        let all = async {
            while self.journal.is_busy() || self.journal.waiting() > 0 || !self.dues.waiting.is_empty() {
                if self.journal.is_busy() {
                    let done = self.journal.done().await;
                    self.committed(done);
                } else {
                    self.commit();
                }
                if self.dues.failed() {
                    break;
                }
            }
        };
        tokio::time::timeout(FINAL_COMMIT_TIMEOUT, all).await.is_ok() && !self.dues.failed()
    }
}

#[cfg(test)]
#[path = "commit_test.rs"]
mod tests;
