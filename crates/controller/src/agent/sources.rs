//! Selects the controllers that an agent follows: two with quorum contact.
//!
//! Invariant: a controller whose last attempt failed is attempted again only after every other known one that may be
//! attempted. So any number of machines that are gone delays a live controller by at most one attempt each. Controllers
//! that were not attempted yet come in a rendezvous-hash order that differs between agents, so that agents spread over
//! the controllers.

use lanegate_coordination::membership::rendezvous_order;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Sources followed at a time. With two, updates still arrive without delay if one fails, lags or is partitioned before
/// that is detected.
const WANTED_SOURCES: usize = 2;
/// Delay before reconnecting to a source whose link failed.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay before reconnecting while no source has quorum contact, for example when all processes start at once.
const URGENT_RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceStatus {
    /// Connecting, or up without a heartbeat yet.
    Starting,
    /// Up, and in contact with a majority of its replica group.
    Trusted,
    /// Up, but without quorum contact.
    Partitioned,
}

/// How the last link to a source ended.
#[derive(Debug, Clone, Copy)]
struct EndedLink {
    /// Whether the source had quorum contact until the end.
    was_trusted: bool,
    ended_at: Duration,
    /// When the source may be attempted again.
    retry_at: Duration,
}

impl EndedLink {
    /// Sorts sources in the order in which they are attempted again: one that had quorum contact until its link ended is
    /// likely to be up again, whereas an address that fails again and again may be that of a machine that is gone.
    fn retry_order(&self) -> (bool, Duration) {
        (!self.was_trusted, self.ended_at)
    }
}

/// The sources in use, and how the last links to the others ended.
#[derive(Debug, Default)]
pub struct Sources {
    followed: BTreeMap<SocketAddr, SourceStatus>,
    ended: BTreeMap<SocketAddr, EndedLink>,
}

/// Numbers of sources in use, by their last reported status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceCounts {
    /// Connecting, or up without a heartbeat yet.
    pub starting: usize,
    /// In contact with a majority.
    pub trusted: usize,
    /// Up, but not in contact with a majority.
    pub partitioned: usize,
}

/// The changes that a review of the sources requires.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SourcePlan {
    /// Sources to start following.
    pub start: Vec<SocketAddr>,
    /// Sources to stop following.
    pub stop: Vec<SocketAddr>,
}

impl Sources {
    /// Records whether a source reports quorum contact. Returns whether that changed, in which case the
    /// selection of sources has to be reviewed.
    pub fn report_quorum(&mut self, source: SocketAddr, quorum: bool) -> bool {
        let Some(status) = self.followed.get_mut(&source) else { return false };
        let reported = if quorum { SourceStatus::Trusted } else { SourceStatus::Partitioned };
        std::mem::replace(status, reported) != reported
    }

    /// Whether a source last reported contact with a majority and a current configuration.
    pub fn is_trusted(&self, source: SocketAddr) -> bool {
        self.followed.get(&source) == Some(&SourceStatus::Trusted)
    }

    /// Records that a source's link has ended, and when it may be retried.
    pub fn link_down(&mut self, now: Duration, source: SocketAddr) {
        let was_trusted = self.followed.remove(&source) == Some(SourceStatus::Trusted);
        let delay = if self.has_no_trusted() { URGENT_RETRY_DELAY } else { RETRY_DELAY };
        self.ended.insert(source, EndedLink { was_trusted, ended_at: now, retry_at: now + delay });
    }

    /// The source to which this agent sends demand reports and, if possible, fetches: a trusted one if there is any.
    pub fn preferred(&self) -> Option<SocketAddr> {
        let trusted = self.followed.iter().find(|(_, status)| **status == SourceStatus::Trusted);
        trusted.or_else(|| self.followed.iter().next()).map(|(source, _)| *source)
    }

    /// Whether none of the sources in use is trusted.
    pub fn has_no_trusted(&self) -> bool {
        !self.followed.values().any(|status| *status == SourceStatus::Trusted)
    }

    /// Numbers of sources in use, by their last reported status.
    pub fn counts(&self) -> SourceCounts {
        let mut counts = SourceCounts::default();
        for status in self.followed.values() {
            match status {
                SourceStatus::Starting => counts.starting += 1,
                SourceStatus::Trusted => counts.trusted += 1,
                SourceStatus::Partitioned => counts.partitioned += 1,
            }
        }
        counts
    }

    /// Decides which sources among `known` to start and to stop following. `name` determines the order of preference.
    pub fn plan(&mut self, now: Duration, name: &str, known: &BTreeSet<SocketAddr>) -> SourcePlan {
        self.ended.retain(|source, _| known.contains(source));
        let start = self.sources_to_start(now, name, known);
        self.followed.extend(start.iter().map(|source| (*source, SourceStatus::Starting)));
        let stop = self.sources_to_stop();
        for source in &stop {
            self.followed.remove(source);
            self.ended.insert(*source, EndedLink { was_trusted: false, ended_at: now, retry_at: now });
        }
        SourcePlan { start, stop }
    }

    fn sources_to_start(&self, now: Duration, name: &str, known: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let usable = self.followed.values().filter(|status| **status != SourceStatus::Partitioned).count();
        let mut candidates = self.candidates(now, name, known);
        candidates.truncate(WANTED_SOURCES.saturating_sub(usable));
        candidates
    }

    /// The sources that may be attempted now, in the order in which they are attempted: those that were not attempted
    /// yet by preference, then the others by the time at which their last link ended. With a fixed order, addresses of
    /// machines that are gone could be attempted in turn for ever, because an attempt at one outlasts the retry delay
    /// of the others, and a live source behind them in the order would never be reached.
    fn candidates(&self, now: Duration, name: &str, known: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let may_start = |source: &SocketAddr| {
            !self.followed.contains_key(source)
                && self.ended.get(source).is_none_or(|ended| ended.retry_at <= now)
        };
        let allowed: Vec<SocketAddr> = known.iter().copied().filter(may_start).collect();
        let mut candidates = rendezvous_order(name.as_bytes(), &allowed);
        candidates.sort_by_key(|source| self.ended.get(source).map(EndedLink::retry_order));
        candidates
    }

    /// Sources without quorum contact, once enough others have it.
    fn sources_to_stop(&self) -> Vec<SocketAddr> {
        let with_status = |wanted| {
            let matching = self.followed.iter().filter(move |(_, status)| **status == wanted);
            matching.map(|(source, _)| *source)
        };
        if with_status(SourceStatus::Trusted).count() < WANTED_SOURCES {
            return Vec::new();
        }
        with_status(SourceStatus::Partitioned).collect()
    }
}
