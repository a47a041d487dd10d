//! The identity of one incarnation of a process.

use deku::prelude::*;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// One incarnation of a process: its address, and a number that no other incarnation at that address has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct NodeId {
    ip: u32,
    port: u16,
    /// Drawn at random at the start of the process.
    pub incarnation: u64,
}

impl NodeId {
    /// The incarnation `incarnation` of the process at `address`.
    pub fn new(address: SocketAddrV4, incarnation: u64) -> Self {
        NodeId { ip: address.ip().to_bits(), port: address.port(), incarnation }
    }

    /// The address of the process.
    pub fn address(&self) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.ip), self.port).into()
    }
}
