//! The configuration document: its bytes as they were sent, and a typed view.

use super::patch::Patch;
use super::reading::read_configuration;
use super::{Configuration, Limits};
use crate::findings::{Finding, Findings};
use bytes::Bytes;
use std::sync::Arc;

/// A valid configuration: its text, byte for byte, and a typed view of it.
///
/// Cloning is cheap.
///
/// ```
/// use lanegate_config::configuration::Document;
///
/// let first = Document::parse(
///     r#"{"Version": 3, "Note": 1.50,
///         "Routes": [{"Name": "r", "Hostname": "a.example", "PathPrefix": "/x/",
///                     "TimeoutMs": 500, "Backend": "b"}],
///         "Backends": [{"Name": "b"}]}"#,
/// )?;
/// assert_eq!(first.configuration().routes[0].timeout_ms, 500.0);
///
/// let next = first.patch(br#"{"Version": 5, "Delete": {"Routes": ["r"]}}"#)?;
/// assert_eq!(next.version(), 5);
/// assert_eq!(
///     next.serialize(),
///     r#"{"Version":5,"Note":1.50,"Routes":[],"Backends":[{"Name": "b"}]}"#
/// );
/// # Ok::<(), lanegate_config::findings::Findings>(())
/// ```
#[derive(Debug, Clone)]
pub struct Document {
    bytes: Bytes,
    configuration: Arc<Configuration>,
}

/// Text of the empty configuration that is in force before the first change.
const EMPTY: &[u8] = br#"{"Version":0}"#;

impl Document {
    /// Parses a complete configuration.
    ///
    /// # Errors
    /// Every error in the document.
    pub fn parse(bytes: impl Into<Bytes>) -> Result<Self, Findings> {
        let bytes = bytes.into();
        let configuration = Arc::new(read_configuration(&bytes)?);
        Ok(Document { bytes, configuration })
    }

    /// The empty configuration that is in force before the first change; its version is 0.
    pub fn empty() -> Self {
        let configuration =
            Configuration { version: 0, routes: Vec::new(), backends: Vec::new(), limits: Limits::default() };
        Document { bytes: Bytes::from_static(EMPTY), configuration: Arc::new(configuration) }
    }

    /// Applies a patch, which adds items, replaces them by name or removes them.
    ///
    /// `Upsert` is applied before `Delete`. Replaced items stay where they were, new ones come last; deleting a name
    /// that does not exist is not an error.
    ///
    /// # Errors
    /// Every structural error of the patch, or every error in the resulting configuration.
    pub fn patch(&self, patch: &[u8]) -> Result<Self, Findings> {
        Document::parse(Patch::read(patch)?.apply(&self.bytes)?)
    }

    /// The text, byte for byte as it was sent, or as it resulted from a patch.
    pub fn serialize(&self) -> Bytes {
        self.bytes.clone()
    }

    /// The typed view.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Checks that the version is higher than `current`.
    ///
    /// # Errors
    /// The version is not higher.
    pub fn check_follows(&self, current: u64) -> Result<(), Finding> {
        if self.version() > current {
            return Ok(());
        }
        let message = format!("{} is not higher than the current version {current}", self.version());
        Err(Finding::new("Version", message))
    }
}
