//! The subcommands.

mod agent;
mod check;
mod controller;
mod process;
mod router;
mod status;

use crate::command_line::Command;
use crate::exit;
use lanegate_config::findings::Findings;
use lanegate_config::settings::SettingsError;
use std::error::Error;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The settings could not be loaded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings lack what this role needs.
    #[error("settings:\n{0}")]
    RoleSettings(Findings),
    /// A process ended with an error.
    #[error("{0}")]
    Process(Box<dyn Error>),
    /// Checked files have errors.
    #[error("{errors} error(s) found")]
    InvalidFiles { errors: usize },
    /// The status of a controller could not be fetched.
    #[error(transparent)]
    Status(#[from] status::StatusError),
}

impl CommandError {
    /// The exit code of the program for this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Settings(_) | CommandError::RoleSettings(_) => exit::SETTINGS,
            CommandError::Process(_) | CommandError::InvalidFiles { .. } | CommandError::Status(_) => {
                exit::FAILURE
            }
        }
    }
}

/// Runs `command`.
pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Router(options) => router::run(&options),
        Command::Agent { metrics_port } => agent::run(metrics_port),
        Command::Controller(options) => controller::run(&options),
        Command::Check { files } => check::run(&files),
        Command::Status { address } => status::run(address),
    }
}
