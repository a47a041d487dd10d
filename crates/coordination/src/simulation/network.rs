//! The simulated network: delay, loss, duplication and partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::step::MachineIndex;

/// Longest delay of a message on a healthy network.
const HEALTHY_MAX_DELAY: Duration = Duration::from_millis(3);

pub(super) struct Network {
    pub(super) loss_percent: u8,
    pub(super) duplicate_percent: u8,
    pub(super) max_delay: Duration,
    blocked_links: BTreeSet<(MachineIndex, MachineIndex)>,
}

impl Network {
    pub(super) fn new() -> Self {
        Self {
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay: HEALTHY_MAX_DELAY,
            blocked_links: BTreeSet::new(),
        }
    }

    /// Loses all messages from one machine to another from now on.
    pub(super) fn block_link(&mut self, from: MachineIndex, to: MachineIndex) {
        self.blocked_links.insert((from, to));
    }

    pub(super) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub(super) fn repair(&mut self) {
        *self = Self::new();
    }

    /// The delays after which the copies of a message arrive: none, one or two.
    pub(super) fn delivery_delays(
        &self,
        from: MachineIndex,
        to: MachineIndex,
        random: &mut SmallRng,
    ) -> Vec<Duration> {
        if self.blocked_links.contains(&(from, to)) || random.random_range(0..100) < self.loss_percent {
            return Vec::new();
        }
        let copies = if random.random_range(0..100) < self.duplicate_percent { 2 } else { 1 };
        (0..copies).map(|_| self.max_delay.mul_f64(random.random::<f64>())).collect()
    }
}
