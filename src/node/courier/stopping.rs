//! Shutdown after SIGTERM: what is still done, and when it is complete.

use super::Courier;
use crate::node::log::log_line;
use std::time::Duration;
use tokio::time::Instant;

/// After SIGTERM: how long new attempts are started, and when the process exits even with calls in flight. SIGKILL
/// follows no sooner than 3.7 s after SIGTERM.
const STOP_SENDING: Duration = Duration::from_millis(2200);
pub(in crate::node) const STOP_ALL: Duration = Duration::from_millis(3300);
/// How long new connections still arrive after SIGTERM.
pub(in crate::node) const STOP_LISTENING: Duration = Duration::from_millis(700);
/// When clients with an incomplete request get a 503 after SIGTERM: early enough for all of them to receive it
/// before the process exits.
pub(in crate::node) const STOP_CLOSING: Duration = Duration::from_millis(2900);

impl Courier {
    /// Whether new calls are no longer started, as this process would exit before their response.
    pub(super) fn starts_no_calls(&self, now: Instant) -> bool {
        self.stopping.is_some_and(|at| now >= at + STOP_SENDING)
    }

    /// Whether the shutdown is complete.
    pub(super) fn stopped(&mut self) -> bool {
        let Some(since) = self.stopping else { return false };
        let since = since.elapsed();
        let told = self.notices.is_empty() && self.posts == 0;
        let closed = !self.intake_state.listening.get() && self.intake_state.open.borrow().is_empty();
        let quiet = closed && self.submissions.is_empty();
        let calls = self.held.values().any(|m| matches!(m.in_flight, Some((_, Some(_)))));
        let idle = self.held.is_empty() || since >= STOP_SENDING;
        since >= STOP_ALL || (quiet && told && idle && !calls && self.pending_actions.is_empty())
    }

    /// Writes the last records to disk.
    pub(super) async fn finish(&mut self) {
        self.record_unsent();
        self.commit_all().await;
        log_line!("journal: {} commits, {} syncs in this life", self.journal.commits, self.journal.syncs);
    }

    /// Records the calls still waiting for a connection as not run, although their attempt is recorded: the next
    /// process may send them.
    fn record_unsent(&mut self) {
        for (message, m) in &self.held {
            let Some((_, start_permit)) =
                m.start_permit.as_ref().filter(|(_, start_permit)| !start_permit.has_started())
            else {
                continue;
            };
            start_permit.revoke();
            if m.in_flight.is_some() && m.attempts > 0 {
                self.journal.never_ran(*message, m.attempts - 1);
            }
        }
    }
}
