//! The controller process.

use super::CommandError;
use super::process;
use crate::command_line::ProcessOptions;
use lanegate_config::settings::ProcessRole;

/// Serves until SIGTERM.
pub(super) fn run(options: &ProcessOptions) -> Result<(), CommandError> {
    let ProcessOptions { metrics_port, disabled_mechanisms } = options;
    process::run(
        ProcessRole::Controller,
        *metrics_port,
        disabled_mechanisms,
        lanegate_controller::run_controller,
    )
}
