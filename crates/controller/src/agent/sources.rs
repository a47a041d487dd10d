//! Selects the controllers that an agent follows: two with quorum contact, in a rendezvous-hash order that differs
//! between agents.

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

/// The sources in use, and those that failed recently and may not be retried yet.
#[derive(Debug, Default)]
pub struct Sources {
    followed: BTreeMap<SocketAddr, SourceStatus>,
    retry_at: BTreeMap<SocketAddr, Duration>,
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
        self.followed.remove(&source);
        let delay = if self.has_no_trusted() { URGENT_RETRY_DELAY } else { RETRY_DELAY };
        self.retry_at.insert(source, now + delay);
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
        self.retry_at.retain(|_, at| *at > now);
        let mut plan = SourcePlan::default();
        let mut usable =
            self.followed.values().filter(|status| **status != SourceStatus::Partitioned).count();
        let all: Vec<SocketAddr> = known.iter().copied().collect();
        for source in rendezvous_order(name.as_bytes(), &all) {
            if usable >= WANTED_SOURCES {
                break;
            }
            if self.followed.contains_key(&source) || self.retry_at.contains_key(&source) {
                continue;
            }
            self.followed.insert(source, SourceStatus::Starting);
            plan.start.push(source);
            usable += 1;
        }
        let trusted = self.followed.values().filter(|status| **status == SourceStatus::Trusted).count();
        if trusted >= WANTED_SOURCES {
            let partitioned =
                self.followed.iter().filter(|(_, status)| **status == SourceStatus::Partitioned);
            plan.stop = partitioned.map(|(source, _)| *source).collect();
            self.followed.retain(|source, _| !plan.stop.contains(source));
        }
        plan
    }
}
