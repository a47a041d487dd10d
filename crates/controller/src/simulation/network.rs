//! The simulated network between machines: delays, and faults of one direction each.
//!
//! Three faults differ in what happens to connections. A *partition* ends them: neither side gets acknowledgements,
//! so both close them after a timeout. A *black hole* keeps them open: packets of one direction are held back until it
//! ends, but neither side's transport detects a fault, as behind a proxy that acknowledges data that it has not
//! delivered. A *lag* delivers everything, but seconds late, like a full queue on the path.

use super::host::Host;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest delay on a healthy network, ms.
const HEALTHY_DELAY_MS: u64 = 3;

/// Paths between machines.
#[derive(Debug)]
pub(super) struct Network {
    max_delay: Duration,
    /// Directions in which nothing arrives.
    partitions: BTreeSet<(Host, Host)>,
    /// Directions in which nothing arrives, although connections stay open.
    blackholes: BTreeSet<(Host, Host)>,
    /// Directions in which everything arrives this much later.
    lags: BTreeMap<(Host, Host), Duration>,
    /// Machines that are powered off: they neither send nor receive.
    powered_off: BTreeSet<Host>,
    /// Machines that refuse new connections.
    refusing: BTreeSet<Host>,
    /// Bytes that a link carries per second; `None` for no limit.
    bytes_per_second: Option<u64>,
}

impl Network {
    pub(super) fn new() -> Self {
        Network {
            max_delay: Duration::from_millis(HEALTHY_DELAY_MS),
            partitions: BTreeSet::new(),
            blackholes: BTreeSet::new(),
            lags: BTreeMap::new(),
            powered_off: BTreeSet::new(),
            refusing: BTreeSet::new(),
            bytes_per_second: None,
        }
    }

    pub(super) fn partition(&mut self, from: Host, to: Host) {
        if from != to {
            self.partitions.insert((from, to));
        }
    }

    pub(super) fn blackhole(&mut self, from: Host, to: Host) {
        if from != to {
            self.blackholes.insert((from, to));
        }
    }

    pub(super) fn set_lag(&mut self, from: Host, to: Host, lag: Duration) {
        if lag.is_zero() {
            self.lags.remove(&(from, to));
        } else if from != to {
            self.lags.insert((from, to), lag);
        }
    }

    /// Ends all partitions, black holes and refusals.
    pub(super) fn heal(&mut self) {
        self.partitions.clear();
        self.blackholes.clear();
        self.refusing.clear();
    }

    /// Ends all lags. Returns the directions in which there was one.
    pub(super) fn end_lags(&mut self) -> Vec<(Host, Host)> {
        std::mem::take(&mut self.lags).into_keys().collect()
    }

    pub(super) fn set_max_delay(&mut self, delay: Duration) {
        self.max_delay = delay;
    }

    pub(super) fn set_rate(&mut self, bytes_per_second: Option<u64>) {
        self.bytes_per_second = bytes_per_second;
    }

    pub(super) fn set_powered_off(&mut self, host: Host, powered_off: bool) {
        if powered_off {
            self.powered_off.insert(host);
        } else {
            self.powered_off.remove(&host);
        }
    }

    pub(super) fn refuse(&mut self, host: Host) {
        self.refusing.insert(host);
    }

    pub(super) fn is_refusing(&self, host: Host) -> bool {
        self.refusing.contains(&host)
    }

    /// Ends all faults except power failures.
    pub(super) fn repair(&mut self) {
        let powered_off = std::mem::take(&mut self.powered_off);
        *self = Network { powered_off, ..Network::new() };
    }

    /// Whether a packet sent now arrives.
    pub(super) fn is_open(&self, from: Host, to: Host) -> bool {
        self.is_connected(from, to) && !self.blackholes.contains(&(from, to))
    }

    /// Whether a connection between the two works.
    pub(super) fn is_open_both_ways(&self, one: Host, other: Host) -> bool {
        self.is_open(one, other) && self.is_open(other, one)
    }

    /// Whether an established connection between the two stays open.
    pub(super) fn keeps_connections(&self, one: Host, other: Host) -> bool {
        self.is_connected(one, other) && self.is_connected(other, one)
    }

    /// Whether a connection between the two works, and as fast as on a healthy network.
    pub(super) fn is_healthy_between(&self, one: Host, other: Host) -> bool {
        let is_late = self.lags.contains_key(&(one, other)) || self.lags.contains_key(&(other, one));
        self.is_open_both_ways(one, other) && !is_late
    }

    fn is_connected(&self, from: Host, to: Host) -> bool {
        !self.partitions.contains(&(from, to))
            && !self.powered_off.contains(&from)
            && !self.powered_off.contains(&to)
    }

    /// Whether delays are as on a healthy network and links have no limit on their rate.
    pub(super) fn has_normal_speed(&self) -> bool {
        self.max_delay <= Duration::from_millis(HEALTHY_DELAY_MS) && self.bytes_per_second.is_none()
    }

    /// Latency of a packet from one machine to another.
    pub(super) fn delay(&self, from: Host, to: Host, random: &mut SmallRng) -> Duration {
        self.max_delay.mul_f64(random.random::<f64>()) + self.lag(from, to)
    }

    /// Additional delay of packets in this direction.
    pub(super) fn lag(&self, from: Host, to: Host) -> Duration {
        self.lags.get(&(from, to)).copied().unwrap_or_default()
    }

    /// Time that a link is busy with `bytes`.
    pub(super) fn transfer_time(&self, bytes: usize) -> Duration {
        match self.bytes_per_second {
            Some(rate) => Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64),
            None => Duration::ZERO,
        }
    }
}
