//! The simulated network between machines: delays, and partitions of one direction each.

use super::host::Host;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest delay on a healthy network, ms.
const USUAL_DELAY_MS: u64 = 3;

/// Paths between machines.
#[derive(Debug)]
pub(super) struct Network {
    longest_delay: Duration,
    /// Directions in which nothing arrives.
    partitions: BTreeSet<(Host, Host)>,
    /// Machines that are without power: nothing arrives there, nothing comes from there.
    dark: BTreeSet<Host>,
    /// Machines that refuse new connections.
    refusing: BTreeSet<Host>,
    /// Bytes that a link carries in a second; no limit if absent.
    bytes_per_second: Option<u64>,
}

impl Network {
    pub(super) fn new() -> Self {
        Network {
            longest_delay: Duration::from_millis(USUAL_DELAY_MS),
            partitions: BTreeSet::new(),
            dark: BTreeSet::new(),
            refusing: BTreeSet::new(),
            bytes_per_second: None,
        }
    }

    pub(super) fn partition(&mut self, from: Host, to: Host) {
        if from != to {
            self.partitions.insert((from, to));
        }
    }

    /// Ends all partitions and refusals.
    pub(super) fn heal(&mut self) {
        self.partitions.clear();
        self.refusing.clear();
    }

    pub(super) fn set_longest_delay(&mut self, delay: Duration) {
        self.longest_delay = delay;
    }

    pub(super) fn set_rate(&mut self, bytes_per_second: Option<u64>) {
        self.bytes_per_second = bytes_per_second;
    }

    pub(super) fn set_dark(&mut self, host: Host, dark: bool) {
        if dark {
            self.dark.insert(host);
        } else {
            self.dark.remove(&host);
        }
    }

    pub(super) fn refuse(&mut self, host: Host) {
        self.refusing.insert(host);
    }

    pub(super) fn is_refusing(&self, host: Host) -> bool {
        self.refusing.contains(&host)
    }

    /// Everything is as on a healthy network.
    pub(super) fn repair(&mut self) {
        let dark = std::mem::take(&mut self.dark);
        *self = Network { dark, ..Network::new() };
    }

    /// Whether what is sent now arrives.
    pub(super) fn is_open(&self, from: Host, to: Host) -> bool {
        !self.partitions.contains(&(from, to)) && !self.dark.contains(&from) && !self.dark.contains(&to)
    }

    /// Whether a connection between the two works.
    pub(super) fn is_open_both_ways(&self, one: Host, other: Host) -> bool {
        self.is_open(one, other) && self.is_open(other, one)
    }

    /// Whether nothing is out of order on the paths between the two.
    pub(super) fn is_calm(&self) -> bool {
        self.longest_delay <= Duration::from_millis(USUAL_DELAY_MS) && self.bytes_per_second.is_none()
    }

    pub(super) fn delay(&self, random: &mut SmallRng) -> Duration {
        self.longest_delay.mul_f64(random.random::<f64>())
    }

    /// Time that a link is busy with `bytes`.
    pub(super) fn transfer_time(&self, bytes: usize) -> Duration {
        match self.bytes_per_second {
            Some(rate) => Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64),
            None => Duration::ZERO,
        }
    }
}
