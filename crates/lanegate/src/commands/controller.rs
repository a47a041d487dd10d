//! The controller process.

use super::CommandError;
use super::process;
use lanegate_model::settings::ProcessRole;

/// Serves until SIGTERM.
pub fn run() -> Result<(), CommandError> {
    process::run(ProcessRole::Controller, lanegate_controller::run_controller)
}
