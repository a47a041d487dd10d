//! Runs a controller as a process: listeners, signal handlers, and the loop that passes events to it.

use crate::controller::consensus::disk::{Disk, DiskCounts};
use crate::controller::consensus::records::open_stores;
use crate::controller::error::ControllerError;
use crate::controller::event::Event;
use crate::controller::membership::links;
use crate::controller::operator::http;
use crate::controller::operator::unavailable::UnavailableCounts;
use crate::controller::placement::endpoint_client::EndpointClient;
use crate::controller::process::Process;
use crate::controller::setup::Start;
use crate::controller::{Controller, metrics};
use crate::incarnation::draw_incarnation;
use crate::link;
use crate::message::{Hello, Role};
use lanegate_config::settings::Settings;
use lanegate_coordination::storage::FileDirectory;
use lanegate_metrics::{MetricsAddress, Scrapes};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Delay before the process exits, so that connection tasks can write the last answers to their sockets.
const FINAL_WRITE_DELAY: Duration = Duration::from_millis(10);

/// Runs a controller until SIGTERM; it exports its metrics at `metrics_at`. Must run inside a `LocalSet`.
///
/// # Errors
/// If the settings are incomplete, or the data directory, a listener or a signal handler cannot be set up.
pub async fn run_controller(
    settings: Settings,
    metrics_at: Option<MetricsAddress>,
) -> Result<(), ControllerError> {
    let control = settings.listeners_map.control_plane;
    let control = control.ok_or(ControllerError::Missing("ListenersMap.ControlPlane"))?;
    let links_at = SocketAddr::new(control.ip(), settings.port_range.0);
    let listen =
        |address| link::listen(address).map_err(|source| ControllerError::Listen { address, source });
    let (calls, peer_links) = (listen(control)?, listen(links_at)?);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let (events, mut queue) = mpsc::unbounded_channel();
    let started = Instant::now();
    let (unavailable, disk) = (Rc::new(UnavailableCounts::default()), Arc::new(DiskCounts::default()));
    let endpoint_client = EndpointClient::default();
    let mut controller =
        start_process(settings, control, started, events.clone(), disk.clone(), endpoint_client.clone())?;
    tokio::task::spawn_local(http::serve(calls, events.clone(), unavailable.clone()));
    tokio::task::spawn_local(links::accept(peer_links, events));
    let mut scrapes = Scrapes::at(metrics_at);
    while !controller.has_shut_down() {
        let wake = controller.next_wake();
        tokio::select! {
            biased;
            _ = terminate.recv() => controller.begin_shutdown(),
            _ = reload.recv() => controller.read_settings(),
            Some(event) = queue.recv() => {
                controller.handle_event(event);
                while let Ok(event) = queue.try_recv() {
                    controller.handle_event(event);
                }
            }
            Some(scrape) = scrapes.next() => {
                let mut exposition = controller.metrics();
                let refusals = endpoint_client.refusals();
                metrics::add_process_metrics(&mut exposition, &unavailable, &disk, &refusals);
                scrape.answer(exposition);
            }
            () = tokio::time::sleep_until((started + wake).into()) => {}
        }
        controller.tick();
    }
    tokio::time::sleep(FINAL_WRITE_DELAY).await;
    Ok(())
}

fn start_process(
    settings: Settings,
    control: SocketAddr,
    started: Instant,
    events: mpsc::UnboundedSender<Event>,
    counts: Arc<DiskCounts>,
    endpoint_client: EndpointClient,
) -> Result<Controller, ControllerError> {
    let incarnation = draw_incarnation();
    let folder = settings.data_dir.clone().ok_or(ControllerError::Missing("DataDir"))?;
    let mut directory = FileDirectory::open(&folder)
        .map_err(|source| ControllerError::Folder { folder: folder.clone(), source })?;
    let (stores, stored) = open_stores(&folder, &mut directory)?;
    let disk = Disk::start(directory, stores, events.clone(), counts)?;
    let hello = hello(&settings, control, incarnation);
    let link_port = settings.port_range.0;
    let environment =
        Process { started, link_port, hello, disk, events, endpoint_client, links: BTreeMap::new() };
    let start = Start { settings, control, incarnation, stored, fault: None };
    Controller::new(start, Box::new(environment))
}

/// The first message on every link that this controller opens.
fn hello(settings: &Settings, control: SocketAddr, incarnation: u64) -> Hello {
    Hello {
        role: Role::Controller,
        name: settings.node_name.as_str().into(),
        control_address: control.to_string().as_str().into(),
        incarnation,
        source: 0,
        offset: 0,
    }
}
