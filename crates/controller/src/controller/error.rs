//! Errors that end a controller.

use lanegate_coordination::storage::StoreError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a controller cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    #[error("settings: {0} is missing, and a controller needs it")]
    Missing(&'static str),
    #[error("settings: {0} is no IPv4 address and port")]
    Address(SocketAddr),
    #[error("data folder {folder}: {error}")]
    Data { folder: PathBuf, error: StoreError },
    #[error("data folder {folder}: {error}")]
    Folder { folder: PathBuf, error: std::io::Error },
    #[error("{address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error(transparent)]
    System(#[from] std::io::Error),
}
