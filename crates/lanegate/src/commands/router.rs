//! The router process.

use super::CommandError;
use super::process;
use crate::command_line::ProcessOptions;
use lanegate_config::settings::{ProcessRole, Settings};
use lanegate_metrics::MetricsAddress;
use lanegate_router::RouterError;
use tokio::sync::mpsc;

/// Serves until SIGTERM.
pub(super) fn run(options: &ProcessOptions) -> Result<(), CommandError> {
    process::run(ProcessRole::Router, options.metrics_port, &options.disabled_mechanisms, serve)
}

/// Routes requests of clients, using the feed from the agent on the same machine.
async fn serve(settings: Settings, metrics: Option<MetricsAddress>) -> Result<(), RouterError> {
    let (events, feed) = mpsc::unbounded_channel();
    let (demand, reports) = mpsc::unbounded_channel();
    tokio::task::spawn_local(lanegate_controller::feed_client(settings.clone(), events, reports));
    lanegate_router::run(settings, feed, demand, metrics).await
}
