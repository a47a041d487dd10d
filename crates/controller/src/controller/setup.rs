//! Starting a controller and ending it.

use crate::controller::consensus::disk::{Disk, DiskCounts};
use crate::controller::consensus::fault_tolerance::ToleranceMonitor;
use crate::controller::consensus::freshness::Freshness;
use crate::controller::consensus::quorum_contact::QuorumContact;
use crate::controller::consensus::shards::{self, ConfigurationMachine, EpochCounter, Shards};
use crate::controller::counters::Counters;
use crate::controller::endpoints::pending_loads::PendingLoads;
use crate::controller::endpoints::registry::EndpointRegistry;
use crate::controller::environment::Environment;
use crate::controller::event::Event;
use crate::controller::fault::ControllerFault;
use crate::controller::feed::live_routers::LiveRouters;
use crate::controller::feed::subscribers::Subscribers;
use crate::controller::membership::links;
use crate::controller::membership::member_status::MemberStatuses;
use crate::controller::membership::peers::Peers;
use crate::controller::membership::replacement::ReplacementPlanner;
use crate::controller::operator::http;
use crate::controller::operator::pending_changes::PendingChanges;
use crate::controller::operator::unavailable::UnavailableCounts;
use crate::controller::placement::placers::Placers;
use crate::controller::placement::recent_demand::RecentDemand;
use crate::controller::process::Process;
use crate::controller::{Controller, metrics};
use crate::incarnation::draw_incarnation;
use crate::link;
use crate::message::{Hello, Role};
use lanegate_config::settings::Settings;
use lanegate_coordination::lease::{GrantorStart, LeaseNode, LeaseSettings};
use lanegate_coordination::membership::{FailureDetector, MembershipSettings, NodeId};
use lanegate_coordination::register::{self, Node, Record, Replica, StateMachine};
use lanegate_coordination::storage::{Directory, FileDirectory, StoreError, VersionedStore};
use lanegate_invariants::Violations;
use lanegate_metrics::{MetricsAddress, Scrapes};
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Time between heartbeats of controllers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long a round of grants lets the holder of a lease act.
const LEASE_VALIDITY: Duration = Duration::from_millis(600);
/// Every controller monitors every other: there are a few of them.
const MONITORS: usize = 16;
/// Time at the end of the process for the last answers to get from their tasks to the sockets.
const LAST_WRITES: Duration = Duration::from_millis(10);

/// Why a controller cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    #[error("settings: {0} is missing, and a controller needs it")]
    Missing(&'static str),
    #[error("settings: {0} is no IPv4 address and port")]
    Address(SocketAddr),
    #[error("data folder {folder}: {error}")]
    Data { folder: PathBuf, error: StoreError },
    #[error("data folder {folder}: {error}")]
    Folder { folder: PathBuf, error: std::io::Error },
    #[error("{address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error(transparent)]
    System(#[from] std::io::Error),
}

/// Runs a controller until SIGTERM; it tells its figures at `metrics_at`. Must run inside a `LocalSet`.
pub async fn run_controller(
    settings: Settings,
    metrics_at: Option<MetricsAddress>,
) -> Result<(), ControllerError> {
    let control = settings.listeners_map.control_plane;
    let control = control.ok_or(ControllerError::Missing("ListenersMap.ControlPlane"))?;
    let links_at = SocketAddr::new(control.ip(), settings.port_range.0);
    let listen = |address| link::listen(address).map_err(|error| ControllerError::Listen { address, error });
    let (calls, peer_links) = (listen(control)?, listen(links_at)?);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let (events, mut queue) = mpsc::unbounded_channel();
    let started = Instant::now();
    let (unavailable, disk) = (Rc::new(UnavailableCounts::default()), Arc::new(DiskCounts::default()));
    let mut controller = start_process(settings, control, started, events.clone(), disk.clone())?;
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
                metrics::add_surroundings(&mut exposition, &unavailable, &disk);
                scrape.answer(exposition);
            }
            () = tokio::time::sleep_until((started + wake).into()) => {}
        }
        controller.tick();
    }
    tokio::time::sleep(LAST_WRITES).await;
    Ok(())
}

/// What a controller starts with.
pub(crate) struct Start {
    pub settings: Settings,
    /// Control address.
    pub control: SocketAddr,
    /// Tells this start of the process from all others.
    pub incarnation: u64,
    /// What the disk holds.
    pub records: Records,
    /// A deliberate mistake, in a simulation only.
    pub fault: Option<ControllerFault>,
}

fn start_process(
    settings: Settings,
    control: SocketAddr,
    started: Instant,
    events: mpsc::UnboundedSender<Event>,
    counts: Arc<DiskCounts>,
) -> Result<Controller, ControllerError> {
    let incarnation = draw_incarnation();
    let folder = settings.data_dir.clone().ok_or(ControllerError::Missing("DataDir"))?;
    let mut directory = FileDirectory::open(&folder)
        .map_err(|error| ControllerError::Folder { folder: folder.clone(), error })?;
    let (stores, records) = open_stores(&folder, &mut directory)?;
    let disk = Disk::start(directory, stores, events.clone(), counts)?;
    let hello = hello(&settings, control, incarnation);
    let link_port = settings.port_range.0;
    let environment = Process { started, link_port, hello, disk, events, links: BTreeMap::new() };
    let start = Start { settings, control, incarnation, records, fault: None };
    Controller::new(start, Box::new(environment))
}

/// What the links that a controller opens begin with.
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

impl Controller {
    /// Starts a controller.
    pub(crate) fn new(start: Start, environment: Box<dyn Environment>) -> Result<Self, ControllerError> {
        let Start { settings, control, incarnation, records, fault } = start;
        let now = environment.now();
        let this = ipv4(control)?;
        let first = settings.bootstrap && records.is_empty();
        let replicas = start_replicas(&settings, this, records, incarnation, fault)?;
        let node = NodeId::new(this, incarnation);
        let skips = fault == Some(ControllerFault::SkipQuietPeriod);
        let quiet_ms = if skips { 1.0 } else { settings.bounds.lease_ms };
        let lease = lease_settings(Duration::from_secs_f64(quiet_ms / 1e3));
        let start = if first { GrantorStart::First } else { GrantorStart::Restarted };
        let heartbeat = Duration::from_secs_f64(settings.heartbeat_ms / 1e3);
        let mut controller = Controller {
            this: control,
            incarnation,
            environment,
            peers: Peers::new(control),
            subscribers: Subscribers::new(incarnation),
            endpoints: EndpointRegistry::new(heartbeat, control, incarnation)
                .with_fault(fault.and_then(ControllerFault::of_endpoints)),
            shards: Shards::new(replicas),
            pending_changes: PendingChanges::new(incarnation),
            membership: FailureDetector::new(
                MembershipSettings::new(HEARTBEAT_INTERVAL, MONITORS),
                node,
                now,
            ),
            quorum_contact: QuorumContact::with_fault(
                control,
                incarnation,
                fault.and_then(ControllerFault::of_contact),
            ),
            freshness: Freshness::default(),
            replacement_planner: ReplacementPlanner::new(fault.and_then(ControllerFault::of_members)),
            member_statuses: MemberStatuses::default(),
            tolerance_monitor: ToleranceMonitor::default(),
            handover: None,
            leases: LeaseNode::new(lease, node, start, now),
            placers: Placers::default(),
            pending_loads: PendingLoads::default(),
            recent_demand: RecentDemand::default(),
            configuration: None,
            first_start: first,
            fault,
            decided: None,
            in_flight: BTreeMap::new(),
            next_request: 0,
            complete: first,
            routers: LiveRouters::default(),
            next_periodic_tasks: now,
            next_feed_heartbeat: now,
            last_tick: now,
            counters: Counters::default(),
            violations: Violations::default(),
            newest_revisions: BTreeMap::new(),
            newest_epochs: BTreeMap::new(),
            settings,
        };
        controller.start();
        Ok(controller)
    }
}

/// A short validity, as a failover waits for it on top of the quiet period.
fn lease_settings(quiet_period: Duration) -> LeaseSettings {
    LeaseSettings {
        validity: LEASE_VALIDITY,
        round_interval: LEASE_VALIDITY / 4,
        margin: LEASE_VALIDITY / 20,
        ..LeaseSettings::for_quiet_period(quiet_period)
    }
}

fn ipv4(address: SocketAddr) -> Result<SocketAddrV4, ControllerError> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(ControllerError::Address(address)),
    }
}

pub(crate) type Stores = BTreeMap<u8, VersionedStore>;
pub(crate) type Records = BTreeMap<u8, Record>;

/// Opens the store of each shard, and reads the newest record of each.
pub(crate) fn open_stores(
    path: &Path,
    folder: &mut dyn Directory,
) -> Result<(Stores, Records), ControllerError> {
    let data = |error| ControllerError::Data { folder: path.to_owned(), error };
    let (mut stores, mut records) = (Stores::new(), Records::new());
    for shard in shards::all() {
        let (store, newest) = VersionedStore::open(folder, &format!("shard-{shard}")).map_err(data)?;
        stores.insert(shard, store);
        match newest.as_deref().map(Record::decode) {
            Some(Ok(record)) => {
                records.insert(shard, record);
            }
            Some(Err(error)) => log::error!("shard {shard}: the newest record cannot be read: {error}"),
            None => {}
        }
    }
    Ok((stores, records))
}

fn start_replicas(
    settings: &Settings,
    this: SocketAddrV4,
    mut records: Records,
    incarnation: u64,
    fault: Option<ControllerFault>,
) -> Result<BTreeMap<u8, Replica>, ControllerError> {
    let seeds: Vec<SocketAddrV4> = settings.seeds.iter().map(|seed| ipv4(*seed)).collect::<Result<_, _>>()?;
    let seeds: Vec<Node> = seeds.into_iter().map(Node::from).collect();
    let start = |shard: u8| {
        let machine: Box<dyn StateMachine> = match shard {
            shards::CONFIGURATION => Box::new(ConfigurationMachine),
            _ => Box::new(EpochCounter),
        };
        let mut of_shard = register::Settings::new(this.into(), seeds.clone());
        of_shard.bootstrap = settings.bootstrap;
        of_shard.seed = u64::from(shard);
        of_shard.fault = fault.and_then(ControllerFault::of_register);
        let nonce = incarnation.wrapping_add(u64::from(shard));
        let replica = Replica::new(of_shard, machine, records.remove(&shard), Duration::ZERO, nonce);
        (shard, replica)
    };
    Ok(shards::all().map(start).collect())
}
