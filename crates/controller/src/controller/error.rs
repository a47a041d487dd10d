//! Errors that end a controller.

use lanegate_coordination::storage::StoreError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a controller cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A field of the settings file that a controller needs.
    #[error("settings: {0} is missing, and a controller needs it")]
    Missing(&'static str),
    /// Only IPv4 addresses can name a controller.
    #[error("settings: {0} is no IPv4 address and port")]
    Address(SocketAddr),
    /// A store in the data directory cannot be opened.
    #[error("data folder {folder}: {source}")]
    Data {
        /// The data directory.
        folder: PathBuf,
        /// Why not.
        source: StoreError,
    },
    /// The data directory cannot be opened.
    #[error("data folder {folder}: {source}")]
    Folder {
        /// The data directory.
        folder: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A listener cannot be bound.
    #[error("{address}: {source}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// Another call to the operating system failed.
    #[error(transparent)]
    System(#[from] std::io::Error),
}
