//! Incarnations of nodes: votes of outdated ones do not count.

use deku::prelude::*;

use super::node::Node;

/// The lowest incarnation of a node whose votes count.
///
/// A node whose disk was lost registers a higher incarnation before it votes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct MinimumIncarnation {
    /// The node.
    pub node: Node,
    /// Votes of lower incarnations are discarded.
    pub incarnation: u64,
}

/// Minimum incarnations known to one replica, at most one for each node; it is zero for nodes without an entry.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct MinimumIncarnations {
    #[deku(temp, temp_value = "entries.len() as u16")]
    count: u16,
    #[deku(count = "count")]
    entries: Vec<MinimumIncarnation>,
}

impl MinimumIncarnations {
    /// The minimum incarnation of a node.
    #[must_use]
    pub fn of(&self, node: Node) -> u64 {
        self.entries.iter().find(|minimum| minimum.node == node).map_or(0, |minimum| minimum.incarnation)
    }

    /// Raises the minimum incarnation of a node; returns whether it was lower.
    pub fn raise(&mut self, node: Node, incarnation: u64) -> bool {
        if self.of(node) >= incarnation {
            return false;
        }
        match self.entries.iter_mut().find(|minimum| minimum.node == node) {
            Some(minimum) => minimum.incarnation = incarnation,
            None => self.entries.push(MinimumIncarnation { node, incarnation }),
        }
        true
    }

    /// Raises each minimum incarnation to that of another list.
    pub fn merge(&mut self, other: &Self) {
        for minimum in &other.entries {
            self.raise(minimum.node, minimum.incarnation);
        }
    }
}

/// The incarnation of a replica that votes or answers, and the minimum incarnations of others that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Voter {
    /// Its own incarnation.
    pub incarnation: u64,
    /// Minimum incarnations that it knows.
    pub minimum_incarnations: MinimumIncarnations,
}
