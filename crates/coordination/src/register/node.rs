//! Nodes, named by their control addresses, and the incarnations of nodes.

use std::fmt;
use std::net::{AddrParseError, Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use deku::prelude::*;

/// A replica, named by its control address.
///
/// The address does not identify the incarnation: see [`MinimumIncarnation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Node {
    /// IPv4 address, most significant byte first.
    pub ip: u32,
    /// Port.
    pub port: u16,
}

impl From<SocketAddrV4> for Node {
    fn from(address: SocketAddrV4) -> Self {
        Self { ip: u32::from(*address.ip()), port: address.port() }
    }
}

impl From<Node> for SocketAddrV4 {
    fn from(node: Node) -> Self {
        Self::new(Ipv4Addr::from(node.ip), node.port)
    }
}

impl FromStr for Node {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        SocketAddrV4::from_str(text).map(Self::from)
    }
}

impl fmt::Display for Node {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        SocketAddrV4::from(*self).fmt(formatter)
    }
}

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

/// Minimum incarnations known to one replica, at most one for each node; that of other nodes is zero.
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
