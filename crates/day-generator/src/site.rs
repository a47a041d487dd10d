//! The parts of a site file that drawn days depend on.

use crate::catalogue::{Availability, Kind};
use crate::error::Error;
use serde::Deserialize;
use std::path::Path;
use toml::{Table, Value};

/// Kind of the entries that stay with the traffic of the day that they come from.
const DEMAND_SHIFT: &str = "model_shift";

/// A deployment, as far as days of faults depend on it.
#[derive(Debug, Clone, Deserialize)]
pub struct Site {
    /// Name of the deployment.
    pub name: String,
    /// Length of a day's traffic, seconds.
    pub length_s: f64,
    contracts: Vec<String>,
    zones: Vec<Named>,
    services: Vec<Named>,
    classes: Vec<Named>,
    #[serde(rename = "troubles")]
    listed_faults: Vec<ListedFault>,
    #[serde(rename = "day")]
    days: Vec<StandardDay>,
}

#[derive(Debug, Clone, Deserialize)]
struct Named {
    name: String,
}

#[derive(Debug, Clone, Deserialize)]
struct ListedFault {
    kind: String,
}

/// One of the site's own days: what drawn days take from it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct StandardDay {
    /// Mark of a full score.
    pub(crate) one: Value,
    /// Mark of no score.
    pub(crate) zero: Value,
    /// Floor of the whole day.
    pub(crate) goal: Value,
    /// Floors of kinds of requests.
    pub(crate) floor_classes: Value,
    /// Floors of zones.
    pub(crate) floor_zones: Value,
    /// Seconds that the bench expects to need for it.
    pub(crate) wall: Value,
    /// What clients send.
    pub(crate) traffic: Vec<Table>,
    #[serde(default)]
    plan: Vec<Table>,
}

impl StandardDay {
    /// The shifts of demand that belong to the traffic.
    pub(crate) fn demand_shifts(&self) -> impl Iterator<Item = &Table> {
        self.plan.iter().filter(|entry| entry.get("kind").and_then(Value::as_str) == Some(DEMAND_SHIFT))
    }
}

impl Site {
    /// Reads a site file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, lacks a field that a day needs, or has no day.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|cause| Error::Read { path: path.to_path_buf(), cause })?;
        let site: Self = toml::from_str(&text)
            .map_err(|cause| Error::Parse { path: path.to_path_buf(), cause: Box::new(cause) })?;
        if site.days.is_empty() {
            return Err(Error::NoDay { path: path.to_path_buf() });
        }
        Ok(site)
    }

    /// Whether days of this site may hold the kind.
    pub fn knows(&self, kind: &Kind) -> bool {
        match kind.availability {
            Availability::Always => true,
            Availability::Contract(contract) => self.contracts.iter().any(|known| known == contract),
            Availability::Listed => self.listed_faults.iter().any(|fault| fault.kind == kind.name),
        }
    }

    /// The site's own days.
    pub(crate) fn days(&self) -> &[StandardDay] {
        &self.days
    }

    /// Names of the zones.
    pub fn zones(&self) -> Vec<&str> {
        names(&self.zones)
    }

    /// Names of the services.
    pub fn services(&self) -> Vec<&str> {
        names(&self.services)
    }

    /// Names of the kinds of requests.
    pub fn classes(&self) -> Vec<&str> {
        names(&self.classes)
    }
}

fn names(named: &[Named]) -> Vec<&str> {
    named.iter().map(|entry| entry.name.as_str()).collect()
}
