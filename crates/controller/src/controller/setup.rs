//! Construction of a controller: its initial state and the settings of its parts.

use crate::controller::Controller;
use crate::controller::consensus::fault_tolerance::ToleranceMonitor;
use crate::controller::consensus::freshness::Freshness;
use crate::controller::consensus::pending_writes::PendingWrites;
use crate::controller::consensus::quorum_contact::QuorumContact;
use crate::controller::consensus::records::{Records, StoredState};
use crate::controller::consensus::shards::{self, ConfigurationMachine, EpochCounter, Shards};
use crate::controller::counters::Counters;
use crate::controller::endpoints::pending_loads::PendingLoads;
use crate::controller::endpoints::registry::EndpointRegistry;
use crate::controller::endpoints::relay::RelayTargets;
use crate::controller::endpoints::tombstone_log::TombstoneLog;
use crate::controller::environment::Environment;
use crate::controller::error::ControllerError;
use crate::controller::fault::ControllerFault;
use crate::controller::feed::live_routers::LiveRouters;
use crate::controller::feed::subscribers::Subscribers;
use crate::controller::membership::failure_domains::FailureDomains;
use crate::controller::membership::member_status::MemberStatuses;
use crate::controller::membership::peers::Peers;
use crate::controller::membership::replacement::ReplacementPlanner;
use crate::controller::operator::pending_changes::PendingChanges;
use crate::controller::placement::placers::Placers;
use crate::controller::placement::recent_demand::RecentDemand;
use lanegate_config::settings::Settings;
use lanegate_coordination::lease::{GrantorStart, LeaseNode, LeaseSettings};
use lanegate_coordination::membership::{FailureDetector, MembershipSettings, NodeId};
use lanegate_coordination::register::{self, Node, Replica, StateMachine};
use lanegate_invariants::Violations;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Time between heartbeats of controllers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long the holder of a lease may act after a successful round of grants.
const LEASE_VALIDITY: Duration = Duration::from_millis(600);
/// Number of peers that each controller monitors. Above the usual number of controllers, so that every controller
/// monitors every other.
const MONITORS: usize = 16;

/// Parameters of a new controller.
pub(crate) struct Start {
    pub settings: Settings,
    /// Control address.
    pub control: SocketAddr,
    /// Drawn at random at each start of the process.
    pub incarnation: u64,
    /// What was read from disk.
    pub stored: StoredState,
    /// A deliberate fault, set in simulations only.
    pub fault: Option<ControllerFault>,
}

impl Controller {
    /// Starts a controller.
    pub(crate) fn new(start: Start, environment: Box<dyn Environment>) -> Result<Self, ControllerError> {
        let Start { settings, control, incarnation, stored: StoredState { records, tombstones }, fault } =
            start;
        let now = environment.now();
        let own_address = ipv4(control)?;
        let first = settings.bootstrap && records.is_empty();
        let replicas = start_replicas(&settings, own_address, records, incarnation, fault)?;
        let node = NodeId::new(own_address, incarnation);
        let skip_quiet_period = fault == Some(ControllerFault::SkipQuietPeriod);
        let quiet_ms = if skip_quiet_period { 1.0 } else { settings.bounds.lease_ms };
        let lease = lease_settings(Duration::from_secs_f64(quiet_ms / 1e3));
        let start = if first { GrantorStart::First } else { GrantorStart::Restarted };
        let heartbeat = Duration::from_secs_f64(settings.heartbeat_ms / 1e3);
        let mut controller = Controller {
            own_address: control,
            incarnation,
            environment,
            peers: Peers::new(control),
            subscribers: Subscribers::new(incarnation),
            endpoints: EndpointRegistry::new(heartbeat, control, incarnation)
                .with_fault(fault.and_then(ControllerFault::acknowledgement))
                .with_tombstones(now, restore_tombstones(now, tombstones.as_deref())),
            relay_targets: RelayTargets::default(),
            pending_writes: PendingWrites::default(),
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
                fault.and_then(ControllerFault::quorum_contact),
            ),
            freshness: Freshness::default(),
            replacement_planner: ReplacementPlanner::new(fault.and_then(ControllerFault::replacement)),
            member_statuses: MemberStatuses::default(),
            failure_domains: FailureDomains::new(&settings.fault_tolerance),
            tolerance_monitor: ToleranceMonitor::default(),
            handover: None,
            leases: LeaseNode::new(lease, node, start, now),
            placers: Placers::default(),
            pending_loads: PendingLoads::default(),
            recent_demand: RecentDemand::default(),
            configuration: None,
            first_start: first,
            fault,
            committed_configuration: None,
            in_flight: BTreeMap::new(),
            next_request: 0,
            complete: first,
            routers: LiveRouters::default(),
            settings_read_at: now,
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

/// Lease settings with a short validity, because a failover waits for it in addition to the quiet period.
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

/// The tombstone log of an earlier process. One that cannot be read is reported and treated as lost, like a lost disk: the
/// other controllers have the tombstones.
fn restore_tombstones(now: Duration, record: Option<&[u8]>) -> TombstoneLog {
    let Some(record) = record else { return TombstoneLog::default() };
    TombstoneLog::restore(now, record).unwrap_or_else(|error| {
        log::error!("tombstones not restored error={error}");
        TombstoneLog::default()
    })
}

fn start_replicas(
    settings: &Settings,
    own_address: SocketAddrV4,
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
        let mut replica_settings = register::Settings::new(own_address.into(), seeds.clone());
        replica_settings.bootstrap = settings.bootstrap;
        replica_settings.seed = u64::from(shard);
        replica_settings.fault = fault.and_then(ControllerFault::register);
        let nonce = incarnation.wrapping_add(u64::from(shard));
        let replica = Replica::new(replica_settings, machine, records.remove(&shard), Duration::ZERO, nonce);
        (shard, replica)
    };
    Ok(shards::all().map(start).collect())
}
