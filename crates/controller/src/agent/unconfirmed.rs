//! Configurations of sources that are not trusted yet.
//!
//! An agent that has a configuration accepts any newer one from any source: every configuration sent is committed,
//! and revisions order them. An agent that has none yet could start with an old one, if the first source that answers
//! is partitioned from the majority. So the configuration of such a source is withheld until that source has quorum
//! contact, or another trusted source sends one.

use crate::message::{CommittedConfiguration, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a configuration is withheld at most. Beyond a partition of this length a majority is taken to be lost
/// for long, and an old configuration serves most requests where none serves nothing. No change can be
/// acknowledged meanwhile by the controllers that this agent reaches.
pub const WITHHOLD_LIMIT: Duration = Duration::from_secs(25);

/// Withheld configurations, by source.
#[derive(Debug, Default)]
pub struct UnconfirmedConfigurations {
    withheld: BTreeMap<SocketAddr, CommittedConfiguration>,
    /// When the first one was withheld, while none has been accepted since.
    withheld_since: Option<Duration>,
}

impl UnconfirmedConfigurations {
    /// Passes a message on, unless it is a configuration that may not be accepted yet: that is withheld.
    pub fn filter(
        &mut self,
        now: Duration,
        source: SocketAddr,
        message: Message,
        may_accept: bool,
    ) -> Option<Message> {
        match message {
            Message::CommittedConfiguration(committed) if !may_accept => {
                self.withheld_since.get_or_insert(now);
                self.withheld.insert(source, committed);
                None
            }
            Message::CommittedConfiguration(_) => {
                self.withheld_since = None;
                self.withheld.clear();
                Some(message)
            }
            other => Some(other),
        }
    }

    /// The withheld configuration of a source, which is trusted now.
    pub fn take(&mut self, source: SocketAddr) -> Option<CommittedConfiguration> {
        self.withheld.remove(&source)
    }

    /// Whether a configuration is withheld.
    pub fn has_withheld(&self) -> bool {
        !self.withheld.is_empty()
    }

    /// A source is not followed any more. Its configuration stays for [`UnconfirmedConfigurations::overdue`] only if it is the
    /// only one.
    pub fn on_source_lost(&mut self, source: SocketAddr) {
        if self.withheld.len() > 1 {
            self.withheld.remove(&source);
        }
    }

    /// The newest withheld configuration, once [`WITHHOLD_LIMIT`] is over.
    pub fn overdue(&mut self, now: Duration) -> Option<(SocketAddr, CommittedConfiguration)> {
        if self.withheld_since.is_none_or(|since| now < since + WITHHOLD_LIMIT) {
            return None;
        }
        self.withheld_since = None;
        let withheld = std::mem::take(&mut self.withheld);
        withheld.into_iter().max_by_key(|(_, committed)| committed.revision)
    }
}
