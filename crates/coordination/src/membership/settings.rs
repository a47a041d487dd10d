//! Settings of the failure detector.

use std::time::Duration;

/// Settings of the failure detector; the defaults suit a local network.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Time between two heartbeats of this process.
    pub heartbeat_interval: Duration,
    /// Number of monitors of each node; with `nodes - 1` or more every node monitors every other.
    pub monitors: usize,
    /// Shortest idle time after which a peer is suspected, however regular its heartbeats were.
    pub min_timeout: Duration,
    /// Longest idle time before a peer is suspected, however irregular its heartbeats were.
    pub max_timeout: Duration,
    /// How many deviations of the heartbeat gap are added to its mean.
    pub deviation_factor: u32,
    /// Further idle time, in timeouts, after which a suspected peer is dead.
    pub dead_after_timeouts: u32,
    /// Time without any call after which this process assumes that it was itself suspended.
    pub local_pause_threshold: Duration,
}

/// Heartbeats missed in a row before a peer with regular heartbeats is suspected.
const MISSED_HEARTBEATS: u32 = 3;
/// Heartbeats missed in a row before any peer is suspected.
const MAX_MISSED_HEARTBEATS: u32 = 10;
/// As in TCP's retransmission timer (RFC 6298).
const DEVIATION_FACTOR: u32 = 4;

impl MembershipSettings {
    /// Settings in proportion to `heartbeat_interval`, with `monitors` monitors for each node.
    pub fn new(heartbeat_interval: Duration, monitors: usize) -> Self {
        MembershipSettings {
            heartbeat_interval,
            monitors,
            min_timeout: heartbeat_interval * MISSED_HEARTBEATS,
            max_timeout: heartbeat_interval * MAX_MISSED_HEARTBEATS,
            deviation_factor: DEVIATION_FACTOR,
            dead_after_timeouts: 2,
            local_pause_threshold: heartbeat_interval * 2,
        }
    }
}
