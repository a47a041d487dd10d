//! Distribution of configurations to the subscribers of a feed.
//!
//! A source only announces its newest configuration: revision and digest. The subscriber fetches it from one source
//! at a time and names the configuration that it has; the source answers with the newest one, either as a
//! delta to the named one or complete. Versions between the two are never sent, so a lagging subscriber skips them.

pub mod delta;
pub mod fetcher;
pub mod publisher;

use crate::message::ConfigurationVersion;
use lanegate_coordination::membership::stable_hash;

/// Multiplier of [`digest`]. It is odd, so each step is injective in the word and in the previous digest.
const DIGEST_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits by which each step rotates the previous digest.
const DIGEST_ROTATION: u32 = 23;
const WORD_BYTES: usize = 8;

/// The digest of a document, by which both ends verify that they have the same bytes. It detects errors, not
/// forgery. It processes eight bytes per step for speed, as agents compute it for every version.
pub fn digest(document: &[u8]) -> u64 {
    let words = document.chunks_exact(WORD_BYTES);
    let mut digest = stable_hash(words.remainder()) ^ document.len() as u64;
    for word in words {
        let word = word.try_into().map_or(0, u64::from_le_bytes);
        digest = (digest.rotate_left(DIGEST_ROTATION) ^ word).wrapping_mul(DIGEST_FACTOR);
    }
    stable_hash(&digest.to_le_bytes())
}

impl ConfigurationVersion {
    /// Stands for "no configuration yet" in a fetch.
    pub const NONE: ConfigurationVersion = ConfigurationVersion { revision: 0, digest: 0 };

    /// The version of a document that was committed at `revision`.
    pub fn of(revision: u64, document: &[u8]) -> Self {
        ConfigurationVersion { revision, digest: digest(document) }
    }

    /// Whether this has a higher revision than `current` and different content: the same bytes committed again do not
    /// count as newer.
    pub fn is_newer_than(&self, current: Option<ConfigurationVersion>) -> bool {
        current.is_none_or(|current| self.revision > current.revision && self.digest != current.digest)
    }
}
