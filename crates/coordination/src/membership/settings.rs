//! Figures of the failure detector.

use std::time::Duration;

/// Figures of the failure detector; all are set by the caller, the defaults suit a local network.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Time between two heartbeats of this process.
    pub heartbeat_interval: Duration,
    /// Monitors of each node; a figure of `nodes - 1` or more makes every node monitor every other.
    pub monitors: usize,
    /// Shortest silence after which a peer is suspected, however regular its heartbeats were.
    pub min_timeout: Duration,
    /// Longest silence before a peer is suspected, however irregular its heartbeats were.
    pub max_timeout: Duration,
    /// Deviations of the heartbeat gap that are added to its mean.
    pub deviation_factor: u32,
    /// Further silence, in timeouts, after which a suspected peer is taken for dead.
    pub dead_after_timeouts: u32,
    /// Time without any call after which this process takes itself to have been frozen.
    pub local_pause_threshold: Duration,
}

/// Heartbeats missed in a row before a regular peer is suspected.
const MISSED_HEARTBEATS: u32 = 3;
/// Heartbeat intervals before even an irregular peer is suspected.
const MAX_MISSED_HEARTBEATS: u32 = 10;
/// Deviations as in the retransmission timer of TCP.
const DEVIATION_FACTOR: u32 = 4;

impl MembershipSettings {
    /// Figures in proportion to `heartbeat_interval`, with `monitors` monitors for each node.
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
