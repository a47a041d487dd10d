//! The controller process.

use super::CommandError;
use super::process;
use crate::command_line::Serving;
use lanegate_config::settings::ProcessRole;

/// Serves until SIGTERM.
pub(super) fn run(serving: &Serving) -> Result<(), CommandError> {
    let Serving { metrics_port, without } = serving;
    process::run(ProcessRole::Controller, *metrics_port, without, lanegate_controller::run_controller)
}
