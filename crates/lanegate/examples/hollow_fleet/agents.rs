//! Real agents, many in one process.

use crate::Outcome;
use crate::layout::Layout;
use std::ops::Range;
use tokio::task::JoinSet;

/// Runs the agents of these numbers until they are ended.
pub async fn run(layout: &Layout, numbers: Range<usize>) -> Outcome<()> {
    let mut agents = JoinSet::new();
    for number in numbers {
        agents.spawn_local(lanegate_controller::run_agent(layout.router_settings(number)?, None));
    }
    while let Some(ended) = agents.join_next().await {
        ended??;
    }
    Ok(())
}
