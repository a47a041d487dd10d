//! A controller: replicates the configuration and the endpoint registry with its peers, answers operators and
//! endpoints, and publishes a feed for agents.

mod consensus;
mod counters;
#[cfg(test)]
mod counters_test;
mod endpoints;
mod environment;
mod error;
mod event;
mod event_loop;
mod fault;
mod feed;
mod inspect;
mod membership;
mod metrics;
mod operator;
mod placement;
mod process;
mod run;
mod setup;

pub use consensus::quorum_contact::ContactFault;
pub(crate) use consensus::records::{Records, StoredState, Stores, open_stores};
pub use endpoints::acknowledgements::AcknowledgementFault;
pub(crate) use endpoints::tombstone_log::TombstoneWrite;
pub(crate) use environment::Environment;
pub use error::ControllerError;
pub(crate) use event::{Answer, Call, Event, Method};
pub use fault::ControllerFault;
pub use membership::replacement::ReplacementFault;
pub(crate) use placement::placers::ServiceAction;
pub use run::run_controller;
pub(crate) use setup::Start;

use crate::message::CommittedConfiguration;
use consensus::fault_tolerance::ToleranceMonitor;
use consensus::freshness::Freshness;
use consensus::pending_writes::PendingWrites;
use consensus::quorum_contact::QuorumContact;
use consensus::replica_groups::KnownGroups;
use consensus::shards::Shards;
use counters::Counters;
use endpoints::pending_loads::PendingLoads;
use endpoints::registry::EndpointRegistry;
use endpoints::relay::RelayTargets;
use feed::live_routers::LiveRouters;
use feed::subscribers::Subscribers;
use lanegate_config::configuration::Configuration;
use lanegate_config::settings::Settings;
use lanegate_coordination::lease::LeaseNode;
use lanegate_coordination::membership::FailureDetector;
use lanegate_invariants::Violations;
use membership::failure_domains::FailureDomains;
use membership::handover::Handover;
use membership::member_status::MemberStatuses;
use membership::peers::Peers;
use membership::replacement::ReplacementPlanner;
use operator::pending_changes::PendingChanges;
use placement::placers::Placers;
use placement::recent_demand::RecentDemand;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One controller. All of its state is owned by a single task. No method blocks; the clock, links and disk are
/// accessed through its [`Environment`].
pub(crate) struct Controller {
    settings: Settings,
    /// Control address, by which peers identify this controller.
    own_address: SocketAddr,
    /// Drawn at random at each start of the process.
    incarnation: u64,
    environment: Box<dyn Environment>,
    peers: Peers,
    subscribers: Subscribers,
    endpoints: EndpointRegistry,
    relay_targets: RelayTargets,
    pending_writes: PendingWrites,
    shards: Shards,
    pending_changes: PendingChanges,
    membership: FailureDetector,
    quorum_contact: QuorumContact,
    freshness: Freshness,
    replacement_planner: ReplacementPlanner,
    member_statuses: MemberStatuses,
    failure_domains: FailureDomains,
    tolerance_monitor: ToleranceMonitor,
    /// Present once the shutdown has begun.
    handover: Option<Handover>,
    leases: LeaseNode,
    placers: Placers,
    pending_loads: PendingLoads,
    recent_demand: RecentDemand,
    /// The newest committed configuration, parsed.
    configuration: Option<Arc<Configuration>>,
    /// Whether this is the first start of the whole system.
    first_start: bool,
    /// A deliberate fault, set in simulations only.
    fault: Option<ControllerFault>,
    /// The newest committed configuration, as it is sent to subscribers.
    committed_configuration: Option<CommittedConfiguration>,
    /// Register requests in flight, by request number.
    in_flight: BTreeMap<u64, InFlightRequest>,
    next_request: u64,
    /// Whether the registry is complete: every live endpoint has sent a heartbeat here or to a peer.
    complete: bool,
    routers: LiveRouters,
    /// When the settings file was last read.
    settings_read_at: Duration,
    next_periodic_tasks: Duration,
    next_feed_heartbeat: Duration,
    last_tick: Duration,
    counters: Counters,
    violations: Violations,
    /// Newest committed revision that is known for each shard.
    newest_revisions: BTreeMap<u8, u64>,
    /// Epoch of this controller's newest lease tenure for each shard.
    newest_epochs: BTreeMap<u32, u64>,
}

/// The purpose of a register request.
#[derive(Debug)]
enum InFlightRequest {
    /// A read of the configuration by an operator.
    Read(tokio::sync::oneshot::Sender<event::Answer>),
    /// A read barrier: confirms that the known configuration is current.
    Barrier,
    /// A repeated read of the configuration while a member of its replica group does not answer.
    Reread,
    /// A membership change of the replica group of a shard.
    MemberChange(u8),
    /// A configuration change by an operator, with its number in [`PendingChanges`].
    Change(u64),
    /// Allocation of an epoch for a lease tenure.
    Epoch(u32, lanegate_coordination::lease::Tenure),
}

impl Controller {
    fn now(&self) -> Duration {
        self.environment.now()
    }

    /// Whether a deliberate fault is active.
    fn has_fault(&self, fault: ControllerFault) -> bool {
        self.fault == Some(fault)
    }

    fn request_number(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    /// Members of the newest committed replica group of a shard that this controller knows.
    fn group(&self, shard: u8) -> Vec<SocketAddr> {
        let committed = self.shards.get(shard).committed();
        let members = committed.map(|value| value.newest_group().to_vec()).unwrap_or_default();
        members.into_iter().map(|node| SocketAddr::V4(node.into())).collect()
    }

    /// The replica groups in force for a shard, from the newest value that this controller knows, committed or only
    /// accepted.
    fn known_groups(&self, shard: u8) -> KnownGroups {
        KnownGroups::of(self.shards.get(shard).newest_known())
    }

    /// The controller that owns a key: the first reachable group member in the rendezvous order of the key. A draining
    /// member owns it only if every other member is unreachable.
    fn owner(&self, shard: u8, key: &[u8]) -> SocketAddr {
        let group = self.group(shard);
        let order = lanegate_coordination::membership::rendezvous_order(key, &group);
        let now = self.now();
        let live: Vec<SocketAddr> =
            order.into_iter().filter(|member| self.is_reached(now, *member)).collect();
        let staying = live.iter().find(|member| !self.member_statuses.is_draining(**member));
        staying.or(live.first()).copied().unwrap_or(self.own_address)
    }

    /// Whether messages to and from `controller` both arrive. A controller whose heartbeats arrive here but which
    /// receives nothing must not own shards: it could not act for them.
    fn is_reached(&self, now: Duration, controller: SocketAddr) -> bool {
        let answers = self.quorum_contact.is_answered_by(now, controller);
        self.membership.is_live(controller)
            && (answers || self.has_fault(ControllerFault::CountUnreachedPeers))
    }

    /// Whether this controller owns a shard. False while it does not know the replica group of the shard.
    fn owns(&self, shard: u8) -> bool {
        !self.group(shard).is_empty() && self.owner(shard, &[shard]) == self.own_address
    }
}
