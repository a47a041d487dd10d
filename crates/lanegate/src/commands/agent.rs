//! The agent process.

use super::CommandError;
use super::process;
use lanegate_config::settings::ProcessRole;

/// Serves until SIGTERM.
pub(super) fn run(metrics_port: Option<u16>) -> Result<(), CommandError> {
    process::run(ProcessRole::Agent, metrics_port, &[], lanegate_controller::run_agent)
}
