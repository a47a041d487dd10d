//! How a configuration reaches a reader of a feed.
//!
//! A source only announces its newest configuration: revision and digest. The reader fetches it from one source
//! at a time and names the configuration that it has; the source answers with the newest one, as the difference
//! to that or whole. What was decided between two fetches is never sent, so that a reader that lags skips it.

pub mod difference;
pub mod publisher;
pub mod reader;

use crate::message::ConfigurationVersion;
use lanegate_coordination::membership::stable_hash;

/// The digest of a document, by which both ends know that they have the same bytes.
pub fn digest(document: &[u8]) -> u64 {
    stable_hash(document)
}

impl ConfigurationVersion {
    /// Stands for "no configuration yet" in a fetch.
    pub const NONE: ConfigurationVersion = ConfigurationVersion { revision: 0, digest: 0 };

    /// The version of a document that was decided at `revision`.
    pub fn of(revision: u64, document: &[u8]) -> Self {
        ConfigurationVersion { revision, digest: digest(document) }
    }

    /// Whether this is news for a reader that has `held`. The same bytes decided again are not.
    pub fn is_news_to(&self, held: Option<ConfigurationVersion>) -> bool {
        held.is_none_or(|held| self.revision > held.revision && self.digest != held.digest)
    }
}
