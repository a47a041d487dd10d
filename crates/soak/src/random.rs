//! Draws that need not be the same when a schedule is played again.

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A generator that begins anywhere.
pub fn unseeded() -> SmallRng {
    SmallRng::from_os_rng()
}
