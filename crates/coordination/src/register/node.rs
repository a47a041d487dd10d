//! Nodes, identified by their control addresses.

use std::fmt;
use std::net::{AddrParseError, Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use deku::prelude::*;

/// A replica, identified by its control address.
///
/// Its incarnations share the address: see [`MinimumIncarnation`](super::MinimumIncarnation).
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
