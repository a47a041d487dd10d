//! The event loop of a controller: runs due timers and dispatches events.

use crate::controller::Controller;
use crate::controller::consensus::shards;
use crate::controller::endpoints::expiry::PERIODIC_TASKS_PERIOD;
use crate::controller::event::Event;
use crate::controller::feed::agents::FEED_HEARTBEAT_PERIOD;
use crate::controller::membership::failure_domains::Location;
use crate::controller::membership::handover::Handover;
use lanegate_coordination::register::{Input, Value};
use std::time::Duration;

/// Minimum gap between two ticks that counts as a stall of this process.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_200);

impl Controller {
    /// Applies the committed values that were restored from disk, and connects to the seeds.
    pub(crate) fn start(&mut self) {
        self.failure_domains.record(self.own_address, Location::of(&self.settings));
        let seeds = self.settings.seeds.clone();
        seeds.into_iter().for_each(|seed| self.discover_peer(seed));
        let committed: Vec<(u8, Value)> = self
            .shards
            .iter()
            .filter_map(|(shard, replica)| Some((shard, replica.committed()?.clone())))
            .collect();
        for (shard, value) in committed {
            self.on_committed(shard, &value);
        }
        for shard in shards::all() {
            let outputs = self.shards.handle(self.now(), shard, Input::Tick);
            self.execute_outputs(shard, outputs);
        }
    }

    /// When [`Controller::tick`] is to be called next.
    pub(crate) fn next_wake(&self) -> Duration {
        let wakes = [
            Some(self.membership.next_wake()),
            self.leases.next_wake(),
            self.replacement_planner.next_wake(),
            self.shards.next_wake(),
            self.pending_changes.next_wake(),
            self.endpoints.acknowledgements.next_wake(),
            self.placers.next_wake(),
            self.pending_loads.next_wake(),
            self.contact_expiry(),
            self.handover.as_ref().and_then(Handover::next_wake),
            Some(self.next_feed_heartbeat),
            Some(self.next_periodic_tasks),
        ];
        wakes.into_iter().flatten().min().unwrap_or(self.next_feed_heartbeat)
    }

    /// Runs all due timers.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        if now > self.last_tick + STALL_THRESHOLD {
            self.counters.stalls += 1;
            self.endpoints.reset_timeouts(now);
            self.replacement_planner.reset_timeouts();
        }
        self.last_tick = now;
        if self.membership.next_wake() <= now {
            let outputs = self.membership.on_tick(now);
            self.membership_outputs(outputs);
        }
        if self.leases.next_wake().is_some_and(|at| at <= now) {
            let outputs = self.leases.on_tick(now);
            self.lease_outputs(outputs);
        }
        if self.replacement_planner.next_wake().is_some_and(|at| at <= now) {
            self.reconcile_members(now);
        }
        for (shard, outputs) in self.shards.due(now) {
            self.execute_outputs(shard, outputs);
        }
        for request in self.pending_changes.due(now) {
            self.propose_change(request);
        }
        self.update_contact();
        self.endpoints.acknowledgements.expire_pending(now);
        self.run_placers(now);
        if self.next_feed_heartbeat <= now {
            self.next_feed_heartbeat = now + FEED_HEARTBEAT_PERIOD;
            self.send_feed_heartbeat();
        }
        if self.next_periodic_tasks <= now {
            self.next_periodic_tasks = now + PERIODIC_TASKS_PERIOD;
            self.run_periodic_tasks(now);
        }
        self.write_tombstones();
        self.broadcast_status();
        self.advance_handover(now);
    }

    /// Handles one event.
    pub(crate) fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::PeerUp { peer, outbox } => {
                self.send_greeting(&outbox);
                self.peers.link_up(peer, outbox);
                self.repeat_heartbeat(peer);
                self.retry_replicas(peer);
            }
            Event::PeerDown { peer } => self.peers.link_down(peer),
            Event::PeerHello { hello } => {
                if let Ok(peer) = hello.control_address.text().parse() {
                    self.discover_peer(peer);
                    self.repeat_heartbeat(peer);
                }
            }
            Event::PeerMessage { peer, message } => self.peer_message(peer, message),
            Event::AgentUp { agent, hello, outbox } => self.agent_up(agent, &hello, outbox),
            Event::AgentMessage { agent, message } => self.agent_message(agent, message),
            Event::OrderAnswered { service, order, answer } => self.order_answered(&service, &order, answer),
            Event::Reported { service, instance, report } => {
                for update in self.pending_loads.reported(&instance, &report.models) {
                    self.publish(update);
                }
                self.placers.reported(now, &service, &instance, &report);
            }
            Event::AgentDown { agent } => self.subscribers.disconnected(agent),
            Event::Call(call) => self.call(call),
            Event::TombstonesWritten { version, durable } => self.tombstones_written(version, durable),
            Event::Written { shard, token, durable } => {
                self.pending_writes.ended(shard);
                let input = if durable { Input::Persisted { token } } else { Input::PersistFailed { token } };
                let outputs = self.shards.handle(now, shard, input);
                self.execute_outputs(shard, outputs);
            }
        }
    }
}
