//! Assembles the router and runs it until shutdown.

use crate::client::listener::{self, ClientConnections};
use crate::fault::RouterFault;
use crate::process::maintenance;
use crate::process::metrics;
use crate::process::readiness;
use crate::process::shutdown;
use crate::process::signals::Signals;
use crate::state::RouterState;
use lanegate_config::demand::DemandReport;
use lanegate_config::feed::FeedEvent;
use lanegate_config::settings::Settings;
use lanegate_dispatch::DispatchSettings;
use lanegate_metrics::{MetricsAddress, MetricsEndpoint};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use std::future::{Future, ready};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::{LocalSet, spawn_local};

/// Fraction of the file descriptors for client connections; the rest is for connections to endpoints and for files.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
/// Maximum number of client connections if the settings do not limit file descriptors.
const DEFAULT_MAX_CLIENTS: usize = 2_000;

/// Why a router could not run.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// The settings name no address for clients.
    #[error("the settings have no Frontend address")]
    NoFrontend,
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
}

/// The sockets that a router serves.
#[derive(Debug)]
pub struct Sockets {
    /// For clients.
    pub frontend: TcpListener,
    /// For readiness checks of the platform.
    pub readiness: Option<TcpListener>,
    /// For metrics.
    pub metrics: Option<MetricsEndpoint>,
}

/// Runs a router until SIGTERM, then drains it. Serves metrics at `metrics`.
///
/// # Errors
///
/// If an address cannot be bound or the signal handlers cannot be installed.
pub async fn run(
    settings: Settings,
    feed: UnboundedReceiver<FeedEvent>,
    demand: UnboundedSender<DemandReport>,
    metrics: Option<MetricsAddress>,
) -> Result<(), RouterError> {
    let mut signals = Signals::listen().map_err(RouterError::Signals)?;
    let sockets = Sockets {
        frontend: bind(settings.listeners_map.frontend.ok_or(RouterError::NoFrontend)?)?,
        readiness: settings.listeners_map.readiness.map(bind).transpose()?,
        metrics: metrics.map(MetricsAddress::bind),
    };
    run_on(sockets, settings, feed, demand, signals.terminated()).await;
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, RouterError> {
    listener::bind(address).map_err(|source| RouterError::Bind { address, source })
}

/// Runs a router on open sockets until `stop`, then drains it.
pub async fn run_on(
    sockets: Sockets,
    settings: Settings,
    feed: UnboundedReceiver<FeedEvent>,
    demand: UnboundedSender<DemandReport>,
    stop: impl Future<Output = ()>,
) {
    run_with_fault(None, sockets, settings, feed, demand, stop).await;
}

/// Like [`run_on`], with a deliberate fault for tests.
#[doc(hidden)]
pub async fn run_with_fault(
    fault: Option<RouterFault>,
    sockets: Sockets,
    settings: Settings,
    feed: UnboundedReceiver<FeedEvent>,
    demand: UnboundedSender<DemandReport>,
    stop: impl Future<Output = ()>,
) {
    let seed = SmallRng::from_os_rng().next_u64();
    let state = RouterState::new(DispatchSettings::from(&settings), seed, fault);
    let clients = ClientConnections::new(max_clients(&settings));
    let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
    let work = async {
        spawn_local(apply_feed(feed, state.clone()));
        spawn_local(maintenance::run_dispatcher_timer(state.clone()));
        spawn_local(maintenance::maintain(state.clone(), clients.clone(), demand));
        if let Some(socket) = sockets.readiness {
            spawn_local(readiness::accept(socket, state.clone()));
        }
        if let Some(endpoint) = sockets.metrics {
            let (state, clients) = (state.clone(), clients.clone());
            spawn_local(endpoint.serve(move || ready(Some(metrics::collect(&state, &clients)))));
        }
        let accepting = spawn_local(listener::accept(sockets.frontend, state.clone(), clients.clone()));
        stop.await;
        shutdown::drain(&state, &clients, accepting, grace).await;
    };
    LocalSet::new().run_until(work).await;
}

fn max_clients(settings: &Settings) -> usize {
    match settings.limits.max_fds {
        0 => DEFAULT_MAX_CLIENTS,
        descriptors => (f64::from(descriptors) * CLIENT_DESCRIPTOR_FRACTION) as usize,
    }
}

/// Applies the events of the configuration feed. After the feed has closed, the last state stays in force.
async fn apply_feed(mut feed: UnboundedReceiver<FeedEvent>, state: Rc<RouterState>) {
    while let Some(event) = feed.recv().await {
        state.apply(event);
    }
    log::warn!("configuration feed closed; the last state stays in force");
}
