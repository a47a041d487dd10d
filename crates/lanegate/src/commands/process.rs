//! What all processes that serve have in common: settings, and one thread for everything.

use super::CommandError;
use lanegate_model::settings::{ProcessRole, Settings};
use std::error::Error;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Reads the settings and runs `serve` with them until it ends.
pub fn run<F, E>(role: ProcessRole, serve: impl FnOnce(Settings) -> F) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), E>>,
    E: Into<Box<dyn Error>>,
{
    let settings = load(role)?;
    log::info!("{} starts as {role:?}", settings.node_name);
    block_on(async { serve(settings).await.map_err(Into::into) }).map_err(CommandError::Process)?;
    log::info!("ended");
    Ok(())
}

/// Runs `work` on a runtime of this thread.
pub fn block_on<T>(work: impl Future<Output = Result<T, Box<dyn Error>>>) -> Result<T, Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}

fn load(role: ProcessRole) -> Result<Settings, CommandError> {
    let settings = Settings::from_environment()?;
    settings.check_for(role).into_result().map_err(CommandError::RoleSettings)?;
    Ok(settings)
}
