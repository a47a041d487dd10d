//! Names of what takes part in a run.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;

/// A process or a stand-in; numbers begin at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    Controller(u8),
    Agent(u8),
    Router(u8),
    Endpoint(u8),
}

/// A text that names no place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} names no controller, agent, router or endpoint, as router-2 would")]
pub struct PlaceError(String);

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Controller(number) => write!(f, "controller-{number}"),
            Place::Agent(number) => write!(f, "agent-{number}"),
            Place::Router(number) => write!(f, "router-{number}"),
            Place::Endpoint(number) => write!(f, "endpoint-{number}"),
        }
    }
}

impl FromStr for Place {
    type Err = PlaceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || PlaceError(text.to_owned());
        let (kind, number) = text.split_once('-').ok_or_else(error)?;
        let number = number.parse().ok().filter(|number| *number > 0).ok_or_else(error)?;
        match kind {
            "controller" => Ok(Place::Controller(number)),
            "agent" => Ok(Place::Agent(number)),
            "router" => Ok(Place::Router(number)),
            "endpoint" => Ok(Place::Endpoint(number)),
            _ => Err(error()),
        }
    }
}

/// One try of a client, told in `Attempt-Id`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(AttemptId)
    }
}

/// One incarnation of an endpoint, told in `InstanceId`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// Number of the endpoint.
    pub endpoint: u8,
    /// Counts its starts.
    pub start: u32,
}

impl fmt::Debug for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl InstanceId {
    /// The endpoint of which this is an incarnation.
    pub fn place(self) -> Place {
        Place::Endpoint(self.endpoint)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "i-{}-{}", self.endpoint, self.start)
    }
}

impl FromStr for InstanceId {
    type Err = PlaceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let read = || {
            let (endpoint, start) = text.strip_prefix("i-")?.split_once('-')?;
            Some(InstanceId { endpoint: endpoint.parse().ok()?, start: start.parse().ok()? })
        };
        read().ok_or_else(|| PlaceError(text.to_owned()))
    }
}
