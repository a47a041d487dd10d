//! The handover at a graceful shutdown: the controller is replaced in the replica groups, and its last messages are
//! confirmed.
//!
//! A controller cannot know whether it is being removed or only restarted. If a live controller is not a member of the
//! groups (a spare), the others replace this one by it. Without a spare this one shuts down at once, and resumes its
//! membership with the state on its disk if it is started again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for other controllers to confirm the last messages, and for leases to be released.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Fraction of the time until the process is killed that the replacement may take.
const REPLACEMENT_FRACTION: f64 = 0.5;

/// The stage of a handover, by what the draining controller waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Its replacement in the replica groups.
    Replacement { until: Duration },
    /// Confirmation by the peers in `missing` that they have received everything sent before the flush.
    Flush { token: u64, missing: BTreeSet<SocketAddr>, until: Duration },
    /// Nothing: the process may exit.
    Done,
}

/// Whether the draining controller is still a member, and whether it can be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GroupMembership {
    /// Some group in force has this controller as a member.
    pub is_member: bool,
    /// Some live controller could replace it.
    pub has_spare: bool,
}

/// The progress of the handover of this controller.
#[derive(Debug)]
pub(crate) struct Handover {
    stage: Stage,
}

impl Handover {
    /// Starts the handover at `now`; the process will be killed after `grace`.
    pub(crate) fn begin(now: Duration, grace: Duration) -> Self {
        Handover { stage: Stage::Replacement { until: now + grace.mul_f64(REPLACEMENT_FRACTION) } }
    }

    /// Whether the replacement has completed, has timed out or is impossible. [`Handover::flush`] is to be called then.
    pub(crate) fn is_replaced(&self, now: Duration, membership: GroupMembership) -> bool {
        match &self.stage {
            Stage::Replacement { until } => !membership.is_member || !membership.has_spare || now >= *until,
            _ => false,
        }
    }

    /// The last messages and then the flush `token` were sent: waits for confirmation by `peers`.
    pub(crate) fn flush(&mut self, now: Duration, token: u64, peers: impl IntoIterator<Item = SocketAddr>) {
        let missing = peers.into_iter().collect();
        self.stage = Stage::Flush { token, missing, until: now + FLUSH_TIMEOUT };
    }

    /// A peer confirmed the flush `answered`.
    pub(crate) fn flushed(&mut self, answered: u64, peer: SocketAddr) {
        if let Stage::Flush { token, missing, .. } = &mut self.stage
            && *token == answered
        {
            missing.remove(&peer);
        }
    }

    /// Completes the handover once the last messages are confirmed and this controller is `idle`, or after a time-out.
    /// `idle` means that no caller waits for an answer and no lease has to be released.
    pub(crate) fn end_if_flushed(&mut self, now: Duration, idle: bool) {
        if let Stage::Flush { missing, until, .. } = &self.stage
            && (now >= *until || (idle && missing.is_empty()))
        {
            self.stage = Stage::Done;
        }
    }

    /// Whether the process may exit.
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
