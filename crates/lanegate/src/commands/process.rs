//! Common start of router, agent and controller: loads the settings and runs everything on one thread.

use super::CommandError;
use lanegate_config::mechanism::Mechanism;
use lanegate_config::settings::{ProcessRole, Settings};
use lanegate_metrics::{MetricsAddress, ProcessIdentity};
use std::error::Error;
use std::net::SocketAddr;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Reads the settings and runs `serve` with them until it ends.
///
/// If a metrics port is given, the process serves its metrics at that port of its machine's address.
pub(super) fn run<F, E>(
    role: ProcessRole,
    metrics_port: Option<u16>,
    disabled_mechanisms: &[Mechanism],
    serve: impl FnOnce(Settings, Option<MetricsAddress>) -> F,
) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), E>>,
    E: Into<Box<dyn Error>>,
{
    let mut settings = load(role)?;
    settings.switched_off = disabled_mechanisms.iter().copied().collect();
    for mechanism in disabled_mechanisms {
        log::warn!("mechanism switched off name={mechanism}");
    }
    let (first_port, last_port) = settings.port_range;
    log::info!(
        "process started role={} node={} first_port={first_port} last_port={last_port}",
        role_name(role),
        settings.node_name
    );
    let identity = ProcessIdentity::starting(role_name(role), env!("CARGO_PKG_VERSION"));
    let work = async {
        let address = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
        let metrics = address.map(|address| MetricsAddress::new(identity, address));
        serve(settings, metrics).await.map_err(Into::into)
    };
    block_on(work).map_err(CommandError::Process)?;
    log::info!("process ended role={}", role_name(role));
    Ok(())
}

/// Runs `work` on a single-threaded runtime.
pub(super) fn block_on<T>(
    work: impl Future<Output = Result<T, Box<dyn Error>>>,
) -> Result<T, Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}

fn role_name(role: ProcessRole) -> &'static str {
    match role {
        ProcessRole::Router => "router",
        ProcessRole::Agent => "agent",
        ProcessRole::Controller => "controller",
    }
}

fn load(role: ProcessRole) -> Result<Settings, CommandError> {
    let settings = Settings::from_environment()?;
    settings.check_for(role).into_result().map_err(CommandError::RoleSettings)?;
    Ok(settings)
}
