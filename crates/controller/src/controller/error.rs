//! Errors that stop a controller process.

use lanegate_coordination::storage::StoreError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a controller could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A field of the settings file that a controller requires is missing.
    #[error("settings: {0} is missing, but a controller requires it")]
    Missing(&'static str),
    /// A controller address that is not IPv4.
    #[error("settings: {0} is not an IPv4 address and port")]
    Address(SocketAddr),
    /// A store in the data directory cannot be opened.
    #[error("store in data directory {folder} not opened: {source}")]
    Data {
        /// The data directory.
        folder: PathBuf,
        /// The underlying error.
        source: StoreError,
    },
    /// The data directory cannot be opened.
    #[error("data directory {folder} not opened: {source}")]
    Folder {
        /// The data directory.
        folder: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A listener cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// Another call to the operating system failed.
    #[error(transparent)]
    System(#[from] std::io::Error),
}
