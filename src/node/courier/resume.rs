//! Start from the journal: recovered messages are passed to the scheduler with the history of their attempts.

use super::{Courier, HeldMessage};
use crate::interface::{DestinationId, Event, MessageId, Past, Ran, Taken};
use crate::node::discovery::List;
use crate::node::journal::{Attempt, Message, Verdict, unix};
use std::time::Duration;

const UNKNOWN_AGE: Duration = Duration::from_secs(24 * 3600);
/// A clock adjustment may set the clock back by this much.
const CLOCK_SLACK: Duration = Duration::from_secs(1);

impl Courier {
    /// Starts with the configured endpoint list and the journal's messages.
    pub fn begin(&mut self) {
        let known = self.config.known.clone();
        self.seq = known.as_ref().map(|l| l.seq);
        self.apply_list(List { whole: true, ..known.unwrap_or_default() });
        let mut live: Vec<_> = self.journal.live().map(|(n, m)| (m.submitted.until, n)).collect();
        // Expired messages end first; the others reach the scheduler in order of their deadline.
        live.sort_unstable();
        live.into_iter().for_each(|(_, message)| self.resume(message));
    }

    /// Passes a recovered message to the scheduler with its attempts.
    pub(in crate::node) fn resume(&mut self, message: u64) {
        let Some(m) = self.journal.get(message) else { return };
        let (now, submitted, taken, verdict) = (unix(), m.submitted.clone(), m.taken, m.verdict);
        let attempts = m.attempts.len() as u32;
        let ran = m.attempts.iter().find(|a| a.may_have_run).cloned();
        self.ids.insert(submitted.id.clone(), message);
        let class = self.config.classes.iter().position(|c| *c == submitted.class);
        let tenant = self.config.tenants.iter().position(|t| *t == submitted.tenant);
        // A message with a verdict only waits for its notice to be acknowledged. Sending it again would deliver a
        // message that its client was told to submit again.
        let verdict = verdict.or(class.is_none().then_some(Verdict::Dead));
        if let Some(verdict) = verdict {
            return self.queue_notice(message, submitted.id.clone(), verdict);
        }
        let time_left = time_left(&submitted, taken, now);
        let ran = ran.map(|attempt| self.ran(&attempt, now));
        self.destinations.insert(submitted.destination);
        self.events.push(Event::Taken(Taken {
            message: MessageId(message),
            class: class.unwrap_or_default(),
            tenant: tenant.unwrap_or_default(),
            destination: DestinationId(submitted.destination),
            key: None,
            time_left,
            estimated_work: None,
            history: Past { recovered: true, attempts, may_have_run: ran },
        }));
        self.held.insert(message, HeldMessage::new(submitted, attempts));
    }

    /// A recorded attempt that may have run, in the scheduler's form.
    fn ran(&mut self, attempt: &Attempt, now: Duration) -> Ran {
        Ran {
            endpoint: self.endpoint_id(&attempt.host),
            zone: self.zone(&attempt.zone),
            ago: age(attempt.sent, now),
        }
    }
}

/// Time left for a recovered message. A clock that was set back gives it no more than it had when accepted.
fn time_left(submitted: &Message, taken: Duration, now: Duration) -> Duration {
    submitted.until.saturating_sub(now.max(taken))
}

/// Age of a recorded attempt. If the clock was set back since, the age is unknown: then every deduplication window
/// counts as expired.
fn age(sent: Duration, now: Duration) -> Duration {
    if sent > now + CLOCK_SLACK { UNKNOWN_AGE } else { now.saturating_sub(sent) }
}

#[cfg(test)]
#[path = "resume_test.rs"]
mod tests;
