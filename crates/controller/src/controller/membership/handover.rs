//! The handover at a graceful shutdown: members of replica groups are replaced, and the last messages are confirmed.
//!
//! Whether it is to be removed or only restarted it cannot know. While a controller that is no member is live,
//! the others give it this one's place in every group; without one it ends at once and comes back with its disk.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for the answers of the other controllers to the last messages, and for leases to be given back.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the time until the process is killed that a replacement may take.
const REPLACEMENT_FRACTION: f64 = 0.5;

/// What a draining controller waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Its replacement in the groups.
    Replacement { until: Duration },
    /// The others have all that it sent before.
    Flush { token: u64, missing: BTreeSet<SocketAddr>, until: Duration },
    /// Nothing more.
    Done,
}

/// Whether the draining controller is still a member, and whether it can be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GroupMembership {
    /// Some group in force has this controller as a member.
    pub is_member: bool,
    /// Some live controller could take its place.
    pub has_spare: bool,
}

/// The handover of one controller.
#[derive(Debug)]
pub(crate) struct Handover {
    stage: Stage,
}

impl Handover {
    /// Begins at `now`, by a controller that is killed `grace` later.
    pub(crate) fn begin(now: Duration, grace: Duration) -> Self {
        Handover { stage: Stage::Replacement { until: now + grace.mul_f64(REPLACEMENT_FRACTION) } }
    }

    /// Whether the replacement is over, or cannot be had: then [`Handover::flush`] is to be called.
    pub(crate) fn is_replaced(&self, now: Duration, membership: GroupMembership) -> bool {
        match &self.stage {
            Stage::Replacement { until } => !membership.is_member || !membership.has_spare || now >= *until,
            _ => false,
        }
    }

    /// All is sent, the flush `token` last: waits for those of `peers`.
    pub(crate) fn flush(&mut self, now: Duration, token: u64, peers: impl IntoIterator<Item = SocketAddr>) {
        let missing = peers.into_iter().collect();
        self.stage = Stage::Flush { token, missing, until: now + FLUSH_TIMEOUT };
    }

    /// A peer has everything up to the flush `token`.
    pub(crate) fn flushed(&mut self, answered: u64, peer: SocketAddr) {
        if let Stage::Flush { token, missing, .. } = &mut self.stage
            && *token == answered
        {
            missing.remove(&peer);
        }
    }

    /// Ends the handover once the last messages are confirmed, or cannot be. `idle` says that nobody waits for
    /// an answer, nor a lease to be given back.
    pub(crate) fn end_if_flushed(&mut self, now: Duration, idle: bool) {
        if let Stage::Flush { missing, until, .. } = &self.stage
            && (now >= *until || (idle && missing.is_empty()))
        {
            self.stage = Stage::Done;
        }
    }

    /// Whether the process may end.
    pub(crate) fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// When the handover has to be advanced next.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        match &self.stage {
            Stage::Replacement { until } | Stage::Flush { until, .. } => Some(*until),
            Stage::Done => None,
        }
    }
}
