//! What may go wrong while days are drawn.

use std::path::PathBuf;
use thiserror::Error;

/// Why no days were written.
#[derive(Debug, Error)]
pub enum Error {
    /// The site file could not be read.
    #[error("cannot read {}: {cause}", path.display())]
    Read { path: PathBuf, cause: std::io::Error },
    /// The site file is no TOML, or lacks a field that a day needs.
    #[error("{}: {cause}", path.display())]
    Parse { path: PathBuf, cause: Box<toml::de::Error> },
    /// The site file has no day to take traffic and marks from.
    #[error("{}: no [[day]] to take the traffic from", path.display())]
    NoDay { path: PathBuf },
    /// A day file or its folder could not be written.
    #[error("cannot write {}: {cause}", path.display())]
    Write { path: PathBuf, cause: std::io::Error },
}
