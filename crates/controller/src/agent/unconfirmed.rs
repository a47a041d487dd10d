//! Withholds configurations from sources that are not trusted yet.
//!
//! An agent that has a configuration accepts any newer one from any source: every configuration sent is committed,
//! and revisions order them. An agent that has none yet could start with an outdated one, if the first source that
//! answers is partitioned from the majority. Therefore the configuration of such a source is withheld until that source
//! has quorum contact, or a trusted source sends one.

use crate::message::{CommittedConfiguration, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time for which a configuration is withheld. After this time the majority is assumed to be lost for long, and
/// an outdated configuration is used: it serves most requests, whereas without any configuration none can be served.
/// The controllers that this agent reaches cannot acknowledge any change meanwhile.
pub const WITHHOLD_LIMIT: Duration = Duration::from_secs(25);

/// Withheld configurations, by source.
#[derive(Debug, Default)]
pub struct UnconfirmedConfigurations {
    withheld: BTreeMap<SocketAddr, CommittedConfiguration>,
    /// When the first of them was withheld; `None` once a configuration has been accepted.
    withheld_since: Option<Duration>,
}

impl UnconfirmedConfigurations {
    /// Returns the message, unless it is a configuration and `may_accept` is false: then it is withheld.
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

    /// Removes and returns the withheld configuration of a source that is now trusted.
    pub fn take(&mut self, source: SocketAddr) -> Option<CommittedConfiguration> {
        self.withheld.remove(&source)
    }

    /// Whether a configuration is withheld.
    pub fn has_withheld(&self) -> bool {
        !self.withheld.is_empty()
    }

    /// Drops the configuration of a source that is no longer followed, unless it is the only one left for
    /// [`UnconfirmedConfigurations::overdue`].
    pub fn on_source_lost(&mut self, source: SocketAddr) {
        if self.withheld.len() > 1 {
            self.withheld.remove(&source);
        }
    }

    /// Removes all withheld configurations and returns the newest, once [`WITHHOLD_LIMIT`] has passed.
    pub fn overdue(&mut self, now: Duration) -> Option<(SocketAddr, CommittedConfiguration)> {
        if self.withheld_since.is_none_or(|since| now < since + WITHHOLD_LIMIT) {
            return None;
        }
        self.withheld_since = None;
        let withheld = std::mem::take(&mut self.withheld);
        withheld.into_iter().max_by_key(|(_, committed)| committed.revision)
    }
}
