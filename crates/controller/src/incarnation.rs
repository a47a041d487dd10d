//! Random numbers that distinguish incarnations of a process.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Draws a random number that identifies this incarnation of the process; never 0.
pub(crate) fn draw_incarnation() -> u64 {
    SmallRng::from_os_rng().random_range(1..=u64::MAX)
}
