//! Configurations that no source vouches for yet.
//!
//! An agent that has a configuration takes any newer one, whoever tells it: every configuration told is a
//! decided one, and revisions order them. An agent that has none yet could begin with an old one, if the first
//! source that answers is cut off from the majority. So what such a source tells is held back until that source
//! is in contact, or another one vouches for what it tells.

use crate::message::{CommittedConfiguration, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a configuration is held back at most. Beyond a cut of this length a majority is taken to be lost
/// for long, and an old configuration serves most requests where none serves nothing. No change can be
/// acknowledged meanwhile by the controllers that this agent reaches.
pub const WITHHOLD_LIMIT: Duration = Duration::from_secs(25);

/// What is held back, by source.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    withheld: BTreeMap<SocketAddr, CommittedConfiguration>,
    /// When the first one was held back, while nothing has been taken since.
    since: Option<Duration>,
}

impl Unconfirmed {
    /// Passes a message on, unless it is a configuration that may not be taken yet: that is held back.
    pub fn filter(
        &mut self,
        now: Duration,
        source: SocketAddr,
        message: Message,
        may_take: bool,
    ) -> Option<Message> {
        match message {
            Message::CommittedConfiguration(decided) if !may_take => {
                self.since.get_or_insert(now);
                self.withheld.insert(source, decided);
                None
            }
            Message::CommittedConfiguration(_) => {
                self.since = None;
                self.withheld.clear();
                Some(message)
            }
            other => Some(other),
        }
    }

    /// What was held back of a source, which vouches for it now.
    pub fn take(&mut self, source: SocketAddr) -> Option<CommittedConfiguration> {
        self.withheld.remove(&source)
    }

    /// Whether a configuration is held back.
    pub fn withholds_any(&self) -> bool {
        !self.withheld.is_empty()
    }

    /// A source is not followed any more. Its last word is kept for [`Unconfirmed::overdue`] only if nobody
    /// else has told anything.
    pub fn lost(&mut self, source: SocketAddr) {
        if self.withheld.len() > 1 {
            self.withheld.remove(&source);
        }
    }

    /// The newest configuration held back, if that has lasted too long.
    pub fn overdue(&mut self, now: Duration) -> Option<(SocketAddr, CommittedConfiguration)> {
        if self.since.is_none_or(|since| now < since + WITHHOLD_LIMIT) {
            return None;
        }
        self.since = None;
        let withheld = std::mem::take(&mut self.withheld);
        withheld.into_iter().max_by_key(|(_, decided)| decided.revision)
    }
}
