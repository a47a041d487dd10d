//! A real controller.

use crate::Outcome;
use crate::layout::Layout;

/// Runs the controller of this number until it is ended.
pub async fn run(layout: &Layout, index: u8) -> Outcome<()> {
    Ok(lanegate_controller::run_controller(layout.controller_settings(index)?, None).await?)
}
