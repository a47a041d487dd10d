//! The fetching side of the configuration feed: tracks the current version and those that sources announced, and
//! decides when to fetch from which source.

use super::delta;
use crate::message::{CommittedConfiguration, ConfigurationDelta, ConfigurationVersion, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a delta before another source is asked.
pub const DELTA_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a complete document before another source is asked.
pub const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(900);
/// A source that owes an answer is not asked again before this.
pub const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Limits the rate at which a subscriber fetches configurations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FetchPacing {
    /// Minimum time between two fetches.
    pub min_interval: Duration,
    /// Maximum time by which the size of an answer delays the next fetch.
    pub max_interval: Duration,
    /// Target rate of answers in bytes per second, within the limit of `max_interval`.
    pub bytes_per_s: f64,
}

impl FetchPacing {
    /// For a subscriber on a link of at least 10 Mbit/s, a fifth of which is for configurations.
    pub const LINK: FetchPacing = FetchPacing {
        min_interval: Duration::from_millis(100),
        max_interval: Duration::from_millis(800),
        bytes_per_s: 250_000.0,
    };
    /// For a subscriber on the loopback interface, where the cost is parsing the document.
    pub const LOOPBACK: FetchPacing = FetchPacing { bytes_per_s: f64::INFINITY, ..FetchPacing::LINK };

    /// Minimum time between a fetch that was answered with `bytes` and the next fetch.
    pub fn interval(&self, bytes: usize) -> Duration {
        let seconds = bytes as f64 / self.bytes_per_s;
        Duration::from_secs_f64(seconds).clamp(self.min_interval, self.max_interval)
    }
}

/// A fetch that has no answer yet.
#[derive(Debug, Clone, Copy)]
struct InFlightFetch {
    at: Duration,
    timeout: Duration,
}

/// The newest configuration that a subscriber has, and the newer versions that its sources announced.
#[derive(Debug)]
pub struct ConfigurationFetcher {
    pacing: FetchPacing,
    current: Option<CommittedConfiguration>,
    version: Option<ConfigurationVersion>,
    /// Newest version known to exist in any process.
    known: Option<ConfigurationVersion>,
    /// The last announcement of each source.
    announced: BTreeMap<SocketAddr, ConfigurationVersion>,
    in_flight: BTreeMap<SocketAddr, InFlightFetch>,
    next_fetch: Duration,
    /// Whether the next fetch must request a complete document, because a delta could not be applied.
    requires_complete: bool,
}

impl ConfigurationFetcher {
    /// A fetcher that has no configuration yet.
    pub fn new(pacing: FetchPacing) -> Self {
        ConfigurationFetcher {
            pacing,
            current: None,
            version: None,
            known: None,
            announced: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_fetch: Duration::ZERO,
            requires_complete: false,
        }
    }

    /// The newest configuration.
    pub fn current(&self) -> Option<&CommittedConfiguration> {
        self.current.as_ref()
    }

    /// Whether a newer configuration is known to exist than the current one.
    pub fn is_behind(&self) -> bool {
        self.known.is_some_and(|known| known.is_newer_than(self.version))
    }

    /// Records that `source` announced this version. Returns whether it is the newest one known so far.
    pub fn on_announcement(&mut self, source: SocketAddr, version: ConfigurationVersion) -> bool {
        self.announced.insert(source, version);
        self.on_known_version(version)
    }

    /// Records that some process has this version. Returns whether it is the newest one known so far.
    pub fn on_known_version(&mut self, version: ConfigurationVersion) -> bool {
        if let Some(current) = self.version.as_mut().filter(|current| current.digest == version.digest) {
            current.revision = current.revision.max(version.revision);
        }
        let newer = self.known.is_none_or(|known| version.revision > known.revision);
        if newer {
            self.known = Some(version);
        }
        newer
    }

    /// Handles a complete configuration from `source`. Returns whether it is newer than the current one.
    pub fn on_document(
        &mut self,
        now: Duration,
        source: SocketAddr,
        committed: &CommittedConfiguration,
    ) -> bool {
        self.on_answer(now, source, committed.document.bytes.len());
        self.requires_complete = false;
        self.apply(committed)
    }

    /// Applies a delta from `source`. Returns the resulting configuration, if that is newer than the current one.
    pub fn on_delta(
        &mut self,
        now: Duration,
        source: SocketAddr,
        delta: &ConfigurationDelta,
    ) -> Option<CommittedConfiguration> {
        self.on_answer(now, source, delta.parts.size());
        if !delta.version.is_newer_than(self.version) {
            return None;
        }
        let base = self.current.as_ref().zip(self.version);
        let base = base.filter(|(_, version)| version.digest == delta.base);
        let applied = base.map(|(current, _)| {
            delta::apply(&current.document.bytes, &delta.parts.parts, delta.version.digest)
        });
        match applied {
            Some(Ok(document)) => {
                let committed =
                    CommittedConfiguration { revision: delta.version.revision, document: document.into() };
                self.apply(&committed).then_some(committed)
            }
            // The base has changed since the fetch, because another source answered first. The next fetch names
            // the new base.
            None => None,
            Some(Err(error)) => {
                log::warn!(
                    "cannot apply configuration delta; fetching the complete document revision={} error={error}",
                    delta.version.revision
                );
                self.requires_complete = true;
                None
            }
        }
    }

    fn apply(&mut self, committed: &CommittedConfiguration) -> bool {
        if self.version.is_some_and(|current| current.revision >= committed.revision) {
            return false;
        }
        let version = ConfigurationVersion::of(committed.revision, &committed.document.bytes);
        self.on_known_version(version);
        self.version = Some(version);
        self.current = Some(committed.clone());
        true
    }

    fn on_answer(&mut self, now: Duration, source: SocketAddr, bytes: usize) {
        let requested_at = self.in_flight.remove(&source).map_or(now, |in_flight| in_flight.at);
        self.next_fetch = self.next_fetch.max(requested_at + self.pacing.interval(bytes));
    }

    /// Removes the announcement and the fetch in flight of a source whose link has ended.
    pub fn on_source_lost(&mut self, source: SocketAddr) {
        self.announced.remove(&source);
        self.in_flight.remove(&source);
    }

    /// The source to fetch from now, and the message to send to it; `preferred` if it announced the newest version and
    /// owes no answer. Returns `None` while an earlier fetch has not timed out.
    pub fn fetch(&mut self, now: Duration, preferred: Option<SocketAddr>) -> Option<(SocketAddr, Message)> {
        if self.next_wake(now)? > now {
            return None;
        }
        let candidates = self.candidates(now);
        let newest = candidates.iter().map(|(_, version)| version.revision).max()?;
        let have_newest = candidates.iter().filter(|(_, version)| version.revision == newest);
        let source =
            have_newest.map(|(source, _)| *source).min_by_key(|source| self.order(*source, preferred))?;
        let base = self.version.filter(|_| !self.requires_complete);
        let timeout = if base.is_some() { DELTA_TIMEOUT } else { DOCUMENT_TIMEOUT };
        self.in_flight.insert(source, InFlightFetch { at: now, timeout });
        self.next_fetch = now + self.pacing.min_interval;
        Some((source, Message::ConfigurationFetch(base.unwrap_or(ConfigurationVersion::NONE))))
    }

    /// Time at which [`ConfigurationFetcher::fetch`] must be called next; `None` while there is nothing to fetch.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let mut newer = self.newer().peekable();
        newer.peek()?;
        let free = newer.map(|(source, _)| {
            self.in_flight.get(&source).map_or(now, |in_flight| in_flight.at + RETRY_DELAY)
        });
        let free = free.min().unwrap_or(now);
        let waited =
            self.in_flight.values().map(|in_flight| in_flight.at + in_flight.timeout).max().unwrap_or(now);
        Some(free.max(waited).max(self.next_fetch).max(now))
    }

    /// Sorts sources in the order in which they are asked: those that owe no answer first, then the one that has owed it
    /// longest. With a fixed order, sources that send heartbeats and do not answer would be asked again before one behind
    /// them was asked at all.
    fn order(&self, source: SocketAddr, preferred: Option<SocketAddr>) -> (Option<Duration>, bool) {
        let asked_at = self.in_flight.get(&source).map(|in_flight| in_flight.at);
        (asked_at, preferred != Some(source))
    }

    fn candidates(&self, now: Duration) -> Vec<(SocketAddr, ConfigurationVersion)> {
        let is_free =
            |source: &SocketAddr| self.in_flight.get(source).is_none_or(|a| a.at + RETRY_DELAY <= now);
        self.newer().filter(|(source, _)| is_free(source)).collect()
    }

    /// Sources that announced a newer configuration than the current one, with its version.
    fn newer(&self) -> impl Iterator<Item = (SocketAddr, ConfigurationVersion)> {
        let announced = self.announced.iter().map(|(source, version)| (*source, *version));
        announced.filter(|(_, version)| version.is_newer_than(self.version))
    }
}
