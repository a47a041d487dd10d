//! What the bench reports of one day, as far as it is judged here.

use crate::error::Error;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// The report of one day.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Report {
    /// How often each rule was broken.
    pub breaks: BTreeMap<String, u32>,
    /// The first of them, with what led to it.
    #[serde(rename = "first")]
    pub first_breaks: Vec<Break>,
    /// Why the day counts nothing, beside rules.
    pub fault: Option<serde_json::Value>,
    /// The floors of the gate that were not reached.
    #[serde(rename = "short")]
    pub missed_floors: Vec<serde_json::Value>,
}

/// One broken rule.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Break {
    /// Name of the rule.
    pub rule: String,
    /// Seconds from the start of traffic.
    pub at_s: f64,
    /// What broke it, in the words of the bench.
    pub what: String,
    /// What led to it, oldest first.
    pub history: Vec<String>,
}

impl Report {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or is no report.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|cause| Error::Read { path: path.to_path_buf(), cause })?;
        serde_json::from_str(&text).map_err(|cause| Error::Report { path: path.to_path_buf(), cause })
    }

    /// Whether no rule was broken and the gate passed.
    pub fn has_passed(&self) -> bool {
        self.breaks.is_empty() && self.fault.is_none() && self.missed_floors.is_empty()
    }
}
