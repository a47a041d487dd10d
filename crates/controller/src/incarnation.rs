//! Numbers that tell one life of a process from the next.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Draws a number for this life of the process; never 0.
pub fn draw_incarnation() -> u64 {
    SmallRng::from_os_rng().random_range(1..=u64::MAX)
}
