//! The hosts of a simulation, and their names and addresses.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::str::FromStr;

/// Control port of all controllers.
const CONTROL_PORT: u16 = 8146;
/// Port on which controllers accept links.
pub(super) const LINK_PORT: u16 = 7000;
/// Port of endpoints.
const ENDPOINT_PORT: u16 = 9000;

/// A simulated machine. All operators share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Host {
    /// A machine with a controller: `a`, `b`, `c` and so on.
    Controller(usize),
    /// A machine with an agent and a router: `r1`, `r2` and so on.
    Router(usize),
    /// An endpoint: `e1`, `e2` and so on.
    Endpoint(usize),
    /// All operators: `op`.
    Operator,
}

impl Host {
    fn ip(self) -> Ipv4Addr {
        let last = |index: usize| index as u8 + 1;
        match self {
            Host::Controller(index) => Ipv4Addr::new(10, 0, 0, last(index)),
            Host::Router(index) => Ipv4Addr::new(10, 0, 1, last(index)),
            Host::Endpoint(index) => Ipv4Addr::new(10, 0, 2, last(index)),
            Host::Operator => Ipv4Addr::new(10, 0, 3, 1),
        }
    }

    /// Address on which this host accepts calls.
    pub(super) fn address(self) -> SocketAddr {
        let port = match self {
            Host::Endpoint(_) => ENDPOINT_PORT,
            _ => CONTROL_PORT,
        };
        SocketAddr::V4(SocketAddrV4::new(self.ip(), port))
    }

    /// Name in settings files.
    pub(super) fn node_name(self) -> String {
        format!("node-{self}")
    }
}

/// The controller with this address, on any of its ports.
pub(super) fn controller_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    match address.ip().octets() {
        [10, 0, 0, last] if last > 0 => Some(usize::from(last) - 1),
        _ => None,
    }
}

/// The endpoint at an address.
pub(super) fn endpoint_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    match address.ip().octets() {
        [10, 0, 2, last] if last > 0 => Some(usize::from(last) - 1),
        _ => None,
    }
}

/// A word that is not the name of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("unknown host")]
pub struct UnknownHost;

impl fmt::Display for Host {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Host::Controller(index) => write!(formatter, "{}", (b'a' + *index as u8) as char),
            Host::Router(index) => write!(formatter, "r{}", index + 1),
            Host::Endpoint(index) => write!(formatter, "e{}", index + 1),
            Host::Operator => write!(formatter, "op"),
        }
    }
}

impl FromStr for Host {
    type Err = UnknownHost;

    fn from_str(word: &str) -> Result<Self, UnknownHost> {
        if word == "op" {
            return Ok(Host::Operator);
        }
        if let [letter @ b'a'..=b'z'] = word.as_bytes() {
            return Ok(Host::Controller(usize::from(letter - b'a')));
        }
        let (kind, number) = word.split_at_checked(1).ok_or(UnknownHost)?;
        let index =
            number.parse::<usize>().ok().and_then(|number| number.checked_sub(1)).ok_or(UnknownHost)?;
        match kind {
            "r" => Ok(Host::Router(index)),
            "e" => Ok(Host::Endpoint(index)),
            _ => Err(UnknownHost),
        }
    }
}
