//! One monitored peer: its incarnation, its heartbeats and their adaptive timeout.

use super::heartbeat::Heartbeat;
use super::settings::MembershipSettings;
use std::time::Duration;

/// Weight of the newest gap in the smoothed mean: one eighth, as in TCP's retransmission timer (RFC 6298).
const MEAN_GAIN_DIVISOR: u32 = 8;
/// Weight of the newest difference in the smoothed deviation: one quarter (RFC 6298).
const DEVIATION_GAIN_DIVISOR: u32 = 4;

/// The state of a peer as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Its last heartbeat is within its timeout, or it is new and within its first timeout.
    Live,
    /// No heartbeat for longer than its timeout.
    Suspect,
    /// No heartbeat for several timeouts; the next one makes it live again.
    Dead,
}

/// The changes that a heartbeat caused.
pub(super) struct HeartbeatEffect {
    pub state_changed: bool,
    pub restarted: bool,
}

/// One monitored peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub state: PeerState,
    pub incarnation: Option<u64>,
    /// The incarnation before the present one; its late heartbeats are ignored.
    previous_incarnation: Option<u64>,
    sequence: u64,
    /// Start of the present idle time: the last heartbeat, or a later restart of the timeout.
    idle_since: Duration,
    /// Arrival of the last heartbeat; `None` before the first one, and if the gap that follows it is not a sample,
    /// because this process was suspended.
    gap_start: Option<Duration>,
    mean_gap: Duration,
    gap_deviation: Duration,
}

impl Peer {
    /// A peer without a heartbeat so far; it is live for one timeout.
    pub(super) fn new(now: Duration, settings: &MembershipSettings) -> Self {
        Peer {
            state: PeerState::Live,
            incarnation: None,
            previous_incarnation: None,
            sequence: 0,
            idle_since: now,
            gap_start: None,
            mean_gap: settings.heartbeat_interval,
            gap_deviation: settings.heartbeat_interval / 4,
        }
    }

    /// Processes a heartbeat. A late or duplicate one, or one of the previous incarnation, is ignored.
    pub(super) fn on_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> Option<HeartbeatEffect> {
        let incarnation = heartbeat.sender.incarnation;
        if self.previous_incarnation == Some(incarnation) {
            return None;
        }
        let restarted = self.incarnation.is_some_and(|known| known != incarnation);
        if !restarted && self.incarnation.is_some() && heartbeat.sequence <= self.sequence {
            return None;
        }
        if restarted {
            self.previous_incarnation = self.incarnation;
            self.gap_start = None;
        }
        self.update_gap_estimate(now);
        self.incarnation = Some(incarnation);
        self.sequence = heartbeat.sequence;
        self.idle_since = now;
        let state_changed = self.state != PeerState::Live;
        self.state = PeerState::Live;
        Some(HeartbeatEffect { state_changed, restarted })
    }

    /// Updates the smoothed mean and deviation with the newest gap. A gap during which
    /// the peer was suspected is an outage and not a sample.
    fn update_gap_estimate(&mut self, now: Duration) {
        let start = self.gap_start.replace(now);
        let Some(start) = start.filter(|_| self.state == PeerState::Live) else { return };
        let gap = now.saturating_sub(start);
        let difference = gap.abs_diff(self.mean_gap);
        self.mean_gap = (self.mean_gap * (MEAN_GAIN_DIVISOR - 1) + gap) / MEAN_GAIN_DIVISOR;
        self.gap_deviation =
            (self.gap_deviation * (DEVIATION_GAIN_DIVISOR - 1) + difference) / DEVIATION_GAIN_DIVISOR;
    }

    /// Restarts the timeout of a peer that is not dead, because this process itself was suspended.
    pub(super) fn restart_timeout(&mut self, now: Duration) {
        if self.state == PeerState::Dead {
            return;
        }
        self.idle_since = now;
        self.gap_start = None;
    }

    /// Updates the state by the idle time up to `now`; returns it if it changed.
    pub(super) fn on_tick(&mut self, now: Duration, settings: &MembershipSettings) -> Option<PeerState> {
        let state = self.state_at(now, settings);
        if state == self.state {
            return None;
        }
        self.state = state;
        Some(state)
    }

    fn state_at(&self, now: Duration, settings: &MembershipSettings) -> PeerState {
        let timeout = self.timeout(settings);
        let idle = now.saturating_sub(self.idle_since);
        if self.state == PeerState::Dead || idle >= timeout * (1 + settings.dead_after_timeouts) {
            PeerState::Dead
        } else if self.state == PeerState::Suspect || idle >= timeout {
            PeerState::Suspect
        } else {
            PeerState::Live
        }
    }

    /// When the state changes next without a heartbeat; `None` for a dead peer.
    pub(super) fn next_change(&self, settings: &MembershipSettings) -> Option<Duration> {
        let timeout = self.timeout(settings);
        match self.state {
            PeerState::Live => Some(self.idle_since + timeout),
            PeerState::Suspect => Some(self.idle_since + timeout * (1 + settings.dead_after_timeouts)),
            PeerState::Dead => None,
        }
    }

    /// Idle time after which the peer is suspected.
    fn timeout(&self, settings: &MembershipSettings) -> Duration {
        let adaptive = self.mean_gap + self.gap_deviation * settings.deviation_factor;
        adaptive.clamp(settings.min_timeout, settings.max_timeout)
    }
}
