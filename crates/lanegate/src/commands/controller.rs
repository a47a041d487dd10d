//! The controller process.

use super::CommandError;
use super::process;
use crate::command_line::Process;
use lanegate_model::settings::ProcessRole;

/// Serves until SIGTERM.
pub fn run(process: &Process) -> Result<(), CommandError> {
    process::run(process, ProcessRole::Controller, lanegate_controller::run_controller)
}
