//! The agent process.

use super::CommandError;
use super::process;
use crate::command_line::Process;
use lanegate_model::settings::ProcessRole;

/// Serves until SIGTERM.
pub fn run(process: &Process) -> Result<(), CommandError> {
    process::run(process, ProcessRole::Agent, lanegate_controller::run_agent)
}
