//! Which controllers an agent follows: two that reach their quorum, in an order of its own.

use lanegate_coordination::membership::rendezvous_order;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Sources followed at a time: one may fail, lag or be partitioned unnoticed, and updates still arrive at once.
const WANTED_SOURCES: usize = 2;
/// Pause before a source whose link failed is dialled again.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// The same while no source is in touch with a majority, as after a start of everything at once.
const URGENT_RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceStatus {
    /// Being dialled, or up without a heartbeat yet.
    Starting,
    /// Up, and in touch with more than half of its group.
    Trusted,
    /// Up, but partitioned from its group.
    Partitioned,
}

/// The sources in use and those that failed lately.
#[derive(Debug, Default)]
pub struct Sources {
    followed: BTreeMap<SocketAddr, SourceStatus>,
    retry_at: BTreeMap<SocketAddr, Duration>,
}

/// Sources in use, by their last reported status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceCounts {
    /// Being dialled, or up without a heartbeat yet.
    pub starting: usize,
    /// In touch with a majority.
    pub trusted: usize,
    /// Up, but not in touch with a majority.
    pub partitioned: usize,
}

/// What to change.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SourcePlan {
    /// Sources to follow from now on.
    pub start: Vec<SocketAddr>,
    /// Sources to follow no more.
    pub stop: Vec<SocketAddr>,
}

impl Sources {
    /// Records whether a source reports quorum contact. Returns whether that changed: the choice of sources has to be
    /// reviewed.
    pub fn report_quorum(&mut self, source: SocketAddr, quorum: bool) -> bool {
        let Some(status) = self.followed.get_mut(&source) else { return false };
        let reported = if quorum { SourceStatus::Trusted } else { SourceStatus::Partitioned };
        std::mem::replace(status, reported) != reported
    }

    /// Whether a source last reported contact with a majority and a current configuration.
    pub fn is_trusted(&self, source: SocketAddr) -> bool {
        self.followed.get(&source) == Some(&SourceStatus::Trusted)
    }

    /// Notes that a source's link has ended.
    pub fn link_down(&mut self, now: Duration, source: SocketAddr) {
        self.followed.remove(&source);
        let delay = if self.has_no_trusted() { URGENT_RETRY_DELAY } else { RETRY_DELAY };
        self.retry_at.insert(source, now + delay);
    }

    /// The source to which this agent's own messages go.
    pub fn preferred(&self) -> Option<SocketAddr> {
        let trusted = self.followed.iter().find(|(_, status)| **status == SourceStatus::Trusted);
        trusted.or_else(|| self.followed.iter().next()).map(|(source, _)| *source)
    }

    /// Whether nobody who can be trusted is followed.
    pub fn has_no_trusted(&self) -> bool {
        !self.followed.values().any(|status| *status == SourceStatus::Trusted)
    }

    /// Sources in use, by their last reported status.
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

    /// Decides which sources among `known` to begin and to end.
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
