//! Ballots: the total order of proposals.

use deku::prelude::*;

use super::node::Node;

/// A proposal number, unique over nodes and over restarts of a node.
///
/// The first three parts belong to one prepare phase. The proposer that owns them increments `step` for each
/// further value, so that it can propose again in one round trip: no other proposal fits between two steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Ballot {
    /// Compared first.
    pub counter: u64,
    /// The proposer.
    pub node: Node,
    /// Random number drawn at the start of the proposer's process.
    pub nonce: u64,
    /// Values proposed under this ballot so far; zero in the prepare phase.
    pub step: u32,
}

impl Ballot {
    /// Lower than every ballot of a proposer; the initial value counts as accepted under it.
    pub const ZERO: Self = Self { counter: 0, node: Node { ip: 0, port: 0 }, nonce: 0, step: 0 };

    /// The first ballot of a proposer with this counter.
    #[must_use]
    pub const fn first(counter: u64, node: Node, nonce: u64) -> Self {
        Self { counter, node, nonce, step: 0 }
    }

    /// The ballot of the next value under the same prepare phase.
    #[must_use]
    pub const fn next_step(self) -> Self {
        Self { step: self.step + 1, ..self }
    }

    /// Whether both belong to the same prepare phase.
    #[must_use]
    pub fn is_same_prepare_phase(self, other: Self) -> bool {
        (self.counter, self.node, self.nonce) == (other.counter, other.node, other.nonce)
    }
}
