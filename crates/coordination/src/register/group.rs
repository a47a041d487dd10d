//! Groups of replicas.

use deku::prelude::*;

use super::node::Node;

/// A set of members; a decision needs the votes of a majority of them.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Group {
    #[deku(temp, temp_value = "members.len() as u8")]
    count: u8,
    #[deku(count = "count")]
    members: Vec<Node>,
}

impl Group {
    /// A group; order and repetitions do not matter. Only the first 255 members are kept.
    #[must_use]
    pub fn new(mut members: Vec<Node>) -> Self {
        members.sort_unstable();
        members.dedup();
        members.truncate(usize::from(u8::MAX));
        Self { members }
    }

    /// Members in ascending order.
    #[must_use]
    pub fn members(&self) -> &[Node] {
        &self.members
    }

    /// Whether a node is a member.
    #[must_use]
    pub fn contains(&self, node: Node) -> bool {
        self.members.contains(&node)
    }

    /// The smallest number of members that is more than half.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// How many other members must answer a recovering member, so that they overlap every majority in which it may
    /// have voted.
    #[must_use]
    pub fn recovery_quorum(&self) -> usize {
        self.members.len().saturating_sub(self.majority()) + 1
    }
}
