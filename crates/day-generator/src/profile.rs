//! What days of a draw are made of.

use crate::crowd::{Crowd, ORDERS, PLANNED_WORK};
use crate::weights::Weights;

/// A named way to fill days.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Faults of all kinds, several of them at common moments.
    Mixed {
        /// What is drawn most.
        weights: Weights,
        /// Most faults of a day, planned work included; taken as 6 to 60.
        max_faults: usize,
    },
    /// Planned work of all sorts at once, with few faults beside it.
    Planned,
    /// Orders to endpoints in quick succession, while those who give, carry or take them fail.
    Orders,
}

impl Profile {
    /// Most faults of a mixed day where nothing else is asked for.
    pub const DEFAULT_MAX_FAULTS: usize = 13;

    /// The profiles beside the mixed one.
    pub const CROWDED: [Self; 2] = [Self::Planned, Self::Orders];

    /// Mixed days of usual length.
    pub const fn mixed(weights: Weights) -> Self {
        Self::Mixed { weights, max_faults: Self::DEFAULT_MAX_FAULTS }
    }

    /// The name, as it stands on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Mixed { .. } => "mixed",
            Self::Planned => "planned",
            Self::Orders => "orders",
        }
    }

    /// What the days are full of; mixed days are full of nothing.
    pub fn crowd(self) -> Option<&'static Crowd> {
        match self {
            Self::Mixed { .. } => None,
            Self::Planned => Some(&PLANNED_WORK),
            Self::Orders => Some(&ORDERS),
        }
    }
}
