//! The router process.

use super::CommandError;
use super::process::{self, NotBuiltYet};
use crate::command_line::Process;
use lanegate_model::settings::{ProcessRole, Settings};

/// Serves until SIGTERM.
pub fn run(process: &Process) -> Result<(), CommandError> {
    process::run(process, ProcessRole::Router, serve)
}

async fn serve(_settings: Settings) -> Result<(), NotBuiltYet> {
    Err(NotBuiltYet)
}
