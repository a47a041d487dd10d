//! What may go wrong while days are drawn or played.

use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;

/// Why days were not drawn, written or played. None of these goes away when the same is tried again.
#[derive(Debug, Error)]
pub enum Error {
    /// A file or a folder could not be read.
    #[error("cannot read {}: {cause}", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The site file is no TOML, or lacks a field that a day needs.
    #[error("{}: {cause}", path.display())]
    Parse {
        /// The site file.
        path: PathBuf,
        /// What is wrong with it, and where.
        cause: Box<toml::de::Error>,
    },
    /// The site file has no day to take traffic and marks from.
    #[error("{}: no [[day]] to take the traffic from", path.display())]
    NoDay {
        /// The site file.
        path: PathBuf,
    },
    /// A day file or its folder could not be written.
    #[error("cannot write {}: {cause}", path.display())]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The bench could not be started.
    #[error("cannot start {}: {cause}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The bench ended without a report.
    #[error("no report of {}: {status}", day.display())]
    NoReport {
        /// The day file.
        day: PathBuf,
        /// How the bench ended.
        status: ExitStatus,
    },
    /// A report of the bench is not what it is known to be.
    #[error("{}: {cause}", path.display())]
    Report {
        /// The report.
        path: PathBuf,
        /// What is wrong with it, and where.
        cause: serde_json::Error,
    },
}
