//! The simulated network: delay, loss, doubling and cuts.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::step::Machine;

/// Delay on a healthy network.
const USUAL_DELAY: Duration = Duration::from_millis(3);

pub(super) struct Network {
    pub(super) loss_percent: u8,
    pub(super) double_percent: u8,
    pub(super) longest_delay: Duration,
    cuts: BTreeSet<(Machine, Machine)>,
}

impl Network {
    pub(super) fn new() -> Self {
        Self { loss_percent: 0, double_percent: 0, longest_delay: USUAL_DELAY, cuts: BTreeSet::new() }
    }

    /// From now on messages from one machine to another are lost.
    pub(super) fn cut(&mut self, from: Machine, to: Machine) {
        self.cuts.insert((from, to));
    }

    pub(super) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(super) fn mend(&mut self) {
        *self = Self::new();
    }

    /// After which times a message arrives: never, once or more often.
    pub(super) fn carry(&self, from: Machine, to: Machine, random: &mut SmallRng) -> Vec<Duration> {
        if self.cuts.contains(&(from, to)) || random.random_range(0..100) < self.loss_percent {
            return Vec::new();
        }
        let copies = if random.random_range(0..100) < self.double_percent { 2 } else { 1 };
        (0..copies).map(|_| self.longest_delay.mul_f64(random.random::<f64>())).collect()
    }
}
