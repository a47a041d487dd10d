//! What may go wrong while days are drawn or played.

use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;

/// Why days were not drawn, written or played.
#[derive(Debug, Error)]
pub enum Error {
    /// A file or a folder could not be read.
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
    /// The bench could not be started.
    #[error("cannot start {}: {cause}", program.display())]
    Start { program: PathBuf, cause: std::io::Error },
    /// The bench ended without a report.
    #[error("no report of {}: {status}", day.display())]
    NoReport { day: PathBuf, status: ExitStatus },
    /// A report of the bench is not what it is known to be.
    #[error("{}: {cause}", path.display())]
    Report { path: PathBuf, cause: serde_json::Error },
}
