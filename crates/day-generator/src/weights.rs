//! How often faults of each category are drawn.

use crate::catalogue::Category;
use std::str::FromStr;
use thiserror::Error;

/// A name that no set of weights has.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("weights {name:?} are none of {}", Weights::ALL.map(Weights::name).join(", "))]
pub struct UnknownWeights {
    /// The name that was given.
    pub name: String,
}

/// A named set of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// Mostly losses, cuts, disks and changes of the control plane.
    Control,
    /// Every category as often as any other.
    Even,
    /// Mostly endpoints and clients.
    Endpoints,
}

impl Weights {
    /// All sets.
    pub const ALL: [Self; 3] = [Self::Control, Self::Even, Self::Endpoints];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Even => "even",
            Self::Endpoints => "endpoints",
        }
    }

    /// The weight of a category, in shares of the sum over all categories.
    pub fn of(self, category: Category) -> u32 {
        match self {
            Self::Control => control(category),
            Self::Even => 1,
            Self::Endpoints => endpoints(category),
        }
    }
}

fn control(category: Category) -> u32 {
    match category {
        Category::ControllerLoss => 10,
        Category::Replacement => 6,
        Category::Link => 7,
        Category::Disk => 4,
        Category::Clock => 1,
        Category::Change => 12,
        Category::Router => 3,
        Category::Endpoint => 4,
        Category::Client => 1,
    }
}

fn endpoints(category: Category) -> u32 {
    match category {
        Category::Endpoint => 10,
        Category::Client => 4,
        Category::Router => 3,
        Category::ControllerLoss
        | Category::Replacement
        | Category::Link
        | Category::Disk
        | Category::Clock
        | Category::Change => 1,
    }
}

impl FromStr for Weights {
    type Err = UnknownWeights;

    fn from_str(name: &str) -> Result<Self, UnknownWeights> {
        let known = Self::ALL.into_iter().find(|weights| weights.name() == name);
        known.ok_or_else(|| UnknownWeights { name: name.to_owned() })
    }
}
