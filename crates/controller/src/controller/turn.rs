//! One turn of a controller: what it does with an event, and with the passing of time.

use super::endpoints::Merged;
use super::event::{Answer, Event};
use super::operator::Settled;
use super::shards::{self, read_epoch, shard_of};
use super::{Asked, Controller};
use crate::message::{Blob, Controllers, Decided, Forwarded, Hello, Holding, Message, ShardMessage, Token};
use lanegate_coordination::lease::LeaseMessage;
use lanegate_coordination::membership::{Heartbeat, Output as MembershipOutput};
use lanegate_coordination::register::{self, Input, Node, Outcome, Output, Value};
use lanegate_model::control_state::ControlState;
use lanegate_model::settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between heartbeats of the feed.
const BEAT_PERIOD: Duration = Duration::from_millis(500);
/// Time between looks at what no event tells: silent endpoints, members, settings.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(400);
/// A gap between turns from which on this process takes itself to have stood still.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_200);
/// Heartbeats of endpoints after which a controller that started alone has heard them all.
const HEARTBEATS_TO_COMPLETE: f64 = 2.2;
/// Longest wait for a change of members or an epoch.
const INTERNAL_TIMEOUT: Duration = Duration::from_secs(2);

impl Controller {
    pub(super) fn start(&mut self) {
        let seeds = self.settings.seeds.clone();
        seeds.into_iter().for_each(|seed| self.know(seed));
        let decided: Vec<(u8, Value)> = self
            .shards
            .iter()
            .filter_map(|(shard, replica)| Some((shard, replica.decided()?.clone())))
            .collect();
        for (shard, value) in decided {
            self.learned(shard, &value);
        }
        for shard in shards::all() {
            let outputs = self.shards.handle(self.now(), shard, Input::Tick);
            self.follow(shard, outputs);
        }
    }

    /// When [`Controller::turn`] is to be called next.
    pub(super) fn next_wake(&self) -> Instant {
        let wakes = [
            Some(self.membership.next_wake()),
            self.leases.next_wake(),
            self.shards.next_wake(),
            self.operator.next_wake(),
            self.endpoints.next_wake(),
            self.placements.next_wake(),
            self.holdings.next_wake(),
            Some(self.next_beat),
            Some(self.next_housekeeping),
        ];
        let next = wakes.into_iter().flatten().min().unwrap_or(self.next_beat);
        self.started + next
    }

    /// Does what is due.
    pub(super) fn turn(&mut self) {
        let now = self.now();
        if now > self.last_turn + PAUSE_THRESHOLD {
            self.endpoints.excuse(now);
        }
        self.last_turn = now;
        if self.membership.next_wake() <= now {
            let outputs = self.membership.on_time(now);
            self.membership_outputs(outputs);
        }
        if self.leases.next_wake().is_some_and(|at| at <= now) {
            let outputs = self.leases.on_time(now);
            self.lease_outputs(outputs);
        }
        for (shard, outputs) in self.shards.due(now) {
            self.follow(shard, outputs);
        }
        for request in self.operator.due(now) {
            self.propose(request);
        }
        self.endpoints.give_up(now);
        self.place(now);
        if self.next_beat <= now {
            self.next_beat = now + BEAT_PERIOD;
            self.beat();
        }
        if self.next_housekeeping <= now {
            self.next_housekeeping = now + HOUSEKEEPING_PERIOD;
            self.keep_house(now);
        }
    }

    fn beat(&mut self) {
        let (quorum, routers) = (self.has_quorum(), self.routers.count(self.now()));
        self.readers.beat(quorum, routers);
    }

    fn keep_house(&mut self, now: Duration) {
        if let Some(heard) = self.endpoints.take_heard() {
            self.peers.broadcast(&heard);
        }
        self.routers.forget(now);
        if !self.complete && now.as_secs_f64() * 1e3 > self.settings.heartbeat_ms * HEARTBEATS_TO_COMPLETE {
            self.became_complete();
        }
        self.expire(now);
        if self.peers.forget(now) {
            self.controllers_changed();
        }
        self.tend_members(now);
        self.stand_for_leases();
    }

    fn expire(&mut self, now: Duration) {
        if !self.has_quorum() || !self.complete {
            return;
        }
        let owns: Vec<bool> = shards::all().map(|shard| self.owner(shard, &[shard]) == self.this).collect();
        let removed = self.endpoints.expire(now, |service| owns[usize::from(shard_of(service))]);
        for message in removed {
            self.peers.broadcast(&message);
            self.readers.append(&message);
            if let Message::Removed(removed) = &message {
                self.tell_placers(&removed.id.text());
            }
        }
    }

    /// Everyone that registers has been heard: readers may drop what they did not hear of.
    pub(super) fn became_complete(&mut self) {
        if !self.complete {
            self.complete = true;
            self.readers.append(&Message::SnapshotEnd { complete: 1 });
        }
    }

    /// Lets the group grow, or replaces a member that is gone, where this controller owns the shard.
    fn tend_members(&mut self, now: Duration) {
        let live: Vec<SocketAddr> = self.membership.live().collect();
        let size = 2 * self.settings.fault_tolerance.machines as usize + 1;
        let group = self.group(shards::CONFIGURATION);
        self.members.observe(now, &group, &live);
        if self.asked.values().any(|asked| matches!(asked, Asked::Members)) || !self.has_quorum() {
            return;
        }
        for shard in shards::all() {
            let group = self.group(shard);
            if self.owner(shard, &[shard]) != self.this {
                continue;
            }
            let Some(change) = self.members.plan(now, &group, &live, size) else { continue };
            log::info!("shard {shard}: {:?} joins, {:?} leaves", change.add, change.remove);
            let request = self.request_number();
            self.asked.insert(request, Asked::Members);
            let nodes = |address: SocketAddr| match address {
                SocketAddr::V4(address) => Some(Node::from(address)),
                SocketAddr::V6(_) => None,
            };
            let input = Input::ProposeMembers {
                request,
                remove: change.remove.and_then(nodes).into_iter().collect(),
                add: nodes(change.add).into_iter().collect(),
                deadline: now + INTERNAL_TIMEOUT,
            };
            let outputs = self.shards.handle(now, shard, input);
            self.follow(shard, outputs);
        }
    }

    /// Takes one event.
    pub(super) fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::PeerUp { peer, outbox } => {
                self.greet(&outbox);
                self.peers.up(peer, outbox);
                self.contact(peer);
            }
            Event::PeerDown { peer } => self.peers.down(peer),
            Event::PeerHello { hello } => {
                if let Ok(peer) = hello.control_address.text().parse() {
                    self.know(peer);
                }
            }
            Event::PeerMessage { peer, message } => self.peer_message(peer, message),
            Event::AgentUp { agent, hello, outbox } => self.agent_up(agent, &hello, outbox),
            Event::AgentMessage { message: Message::Demand(demand) } => {
                self.demand(&demand);
                self.peers.broadcast(&Message::Demand(demand));
            }
            Event::AgentMessage { .. } => {}
            Event::OrderAnswered { service, order, answer } => self.order_answered(&service, &order, answer),
            Event::Reported { service, instance, report } => {
                for holding in self.holdings.reported(&instance, &report.models) {
                    self.publish(holding);
                }
                self.placements.reported(now, &service, &instance, &report);
            }
            Event::AgentDown { agent } => self.readers.down(agent),
            Event::Call(call) => self.call(call),
            Event::Written { shard, token, durable } => {
                let input = if durable { Input::Persisted { token } } else { Input::PersistFailed { token } };
                let outputs = self.shards.handle(now, shard, input);
                self.follow(shard, outputs);
            }
        }
    }

    /// Tells a peer whose link has come up all that this controller knows.
    fn greet(&self, outbox: &crate::link::Outbox) {
        outbox.message(&self.controllers_message());
        for message in self.endpoints.full_snapshot() {
            outbox.message(&message);
        }
        outbox.message(&Message::SnapshotEnd { complete: u8::from(self.complete) });
        for message in self.recent_demand.messages(self.now()) {
            outbox.message(&message);
        }
    }

    fn agent_up(&mut self, agent: u64, hello: &Hello, outbox: crate::link::Outbox) {
        let beat = (self.has_quorum(), self.routers.count(self.now()));
        let controllers = self.controllers_message();
        let (decided, endpoints, complete) = (&self.decided, &self.endpoints, self.complete);
        let snapshot = || {
            let mut messages = vec![Message::SnapshotBegin, controllers];
            messages.extend(decided.clone().map(Message::Decided));
            messages.extend(endpoints.snapshot());
            messages.push(Message::SnapshotEnd { complete: u8::from(complete) });
            messages
        };
        self.readers.up(agent, hello, outbox, snapshot, beat);
    }

    fn peer_message(&mut self, peer: SocketAddr, message: Message) {
        let now = self.now();
        match message {
            Message::Heartbeat { body } => {
                if let Ok(heartbeat) = Heartbeat::decode(&body.bytes) {
                    let outputs = self.membership.on_heartbeat(now, &heartbeat);
                    self.membership_outputs(outputs);
                }
            }
            Message::Register(message) => self.register_message(peer, &message),
            Message::Lease(message) => {
                if let Ok(message) = LeaseMessage::decode(&message.body.bytes) {
                    let outputs = self.leases.on_message(now, peer, &message);
                    self.lease_outputs(outputs);
                }
            }
            Message::Registered(registered) => {
                for message in self.endpoints.merge(now, &registered) {
                    self.readers.append(&message);
                }
                self.tell_placers(&registered.id.text());
            }
            Message::Removed(removed) => {
                match self.endpoints.merge_removal(now, &removed) {
                    Merged::Removed => self.readers.append(&Message::Removed(removed.clone())),
                    Merged::Contradicted(registered) => {
                        self.readers.append(&registered);
                        self.peers.broadcast(&registered);
                    }
                    Merged::Known => {}
                }
                self.tell_placers(&removed.id.text());
            }
            Message::Holding(holding) => self.held_elsewhere(holding),
            Message::HeardList(list) => {
                self.endpoints.merge_heard(now, &list);
                list.heard.iter().for_each(|heard| self.tell_placers(&heard.id.text()));
            }
            Message::SnapshotEnd { complete: 1 } => self.became_complete(),
            Message::Flush(token) => self.peers.send(peer, &Message::Flushed(token)),
            Message::Flushed(Token { token }) => self.endpoints.flushed(token, peer),
            Message::Controllers(controllers) => {
                let text = controllers.addresses.text();
                text.split_whitespace().filter_map(|a| a.parse().ok()).for_each(|peer| self.know(peer));
            }
            Message::Change(change) => {
                let request = self.operator.begin_for(now, peer, change.request, change.body.bytes);
                self.propose(request);
            }
            Message::ChangeOutcome(outcome) => self.change_settled(outcome.request, &outcome.body.bytes),
            Message::Demand(demand) => self.demand(&demand),
            _ => {}
        }
    }

    /// Another controller's placer knows of a model at an endpoint.
    fn held_elsewhere(&mut self, holding: Holding) {
        if self.endpoints.hold(&holding) {
            self.readers.append(&Message::Holding(holding));
        }
    }

    fn register_message(&mut self, peer: SocketAddr, message: &ShardMessage) {
        let SocketAddr::V4(from) = peer else { return };
        match register::Message::decode(&message.body.bytes) {
            Ok(decoded) => {
                let input = Input::Message { from: from.into(), message: decoded };
                let outputs = self.shards.handle(self.now(), message.shard, input);
                self.follow(message.shard, outputs);
            }
            Err(error) => log::warn!("message of {peer} for shard {}: {error}", message.shard),
        }
    }

    /// Does what a replica asks for.
    pub(super) fn follow(&mut self, shard: u8, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => match message.encode() {
                    Ok(bytes) => {
                        let message = Message::Register(ShardMessage { shard, body: bytes.into() });
                        self.peers.send(SocketAddr::V4(to.into()), &message);
                    }
                    Err(error) => log::error!("message of shard {shard}: {error}"),
                },
                Output::Persist { token, record } => self.disk.write(shard, token, record),
                Output::Done { request, outcome } => self.done(request, outcome),
                Output::Learned { value } => self.learned(shard, &value),
            }
        }
    }

    /// A newer decided value of a shard is known.
    fn learned(&mut self, shard: u8, value: &Value) {
        let now = self.now();
        let members: Vec<SocketAddr> =
            value.newest_group().iter().map(|node| SocketAddr::V4((*node).into())).collect();
        members.iter().for_each(|member| self.know(*member));
        if shard != shards::CONFIGURATION {
            self.leases.set_group(now, u32::from(shard), value.revision, &members);
            return;
        }
        match ControlState::decode(&value.state) {
            Ok(state) => {
                let Some(document) = state.document() else { return };
                if self.decided.as_ref().is_some_and(|known| known.document.bytes == document) {
                    return;
                }
                log::info!("configuration {} is in force (revision {})", state.version(), value.revision);
                let decided = Decided { revision: value.revision, document: document.to_vec().into() };
                match serde_json::from_slice(document) {
                    Ok(configuration) => self.configuration = Some(Arc::new(configuration)),
                    Err(error) => log::error!("configuration {}: {error}", state.version()),
                }
                self.decided = Some(decided.clone());
                self.readers.append(&Message::Decided(decided));
                self.configure_placements(0);
                self.stand_for_leases();
            }
            Err(error) => log::error!("the configuration's register cannot be read: {error}"),
        }
    }

    fn done(&mut self, request: u64, outcome: Outcome) {
        match self.asked.remove(&request) {
            Some(Asked::Read(reply)) => {
                let _ = reply.send(read_answer(&outcome));
            }
            Some(Asked::Change(change)) => match outcome {
                Outcome::Changed { answer, .. }
                | Outcome::Unchanged { answer, .. }
                | Outcome::Refused { answer, .. } => self.change_settled(change, &answer),
                _ => {}
            },
            Some(Asked::Epoch(shard, tenure)) => {
                if let Outcome::Changed { answer, .. } = outcome {
                    let outputs = self.leases.epoch_acquired(self.now(), shard, tenure, read_epoch(&answer));
                    self.lease_outputs(outputs);
                }
            }
            Some(Asked::Members) | None => {}
        }
    }

    /// The outcome of a change is known: `answer` is an encoded outcome of the control state.
    fn change_settled(&mut self, change: u64, answer: &[u8]) {
        match self.operator.settle(change, || super::calls::change_answer(answer)) {
            Settled::Return { peer, request } => {
                let body = Blob::from(answer.to_vec());
                self.peers.send(peer, &Message::ChangeOutcome(Forwarded { request, body }));
            }
            Settled::Answered | Settled::Unknown => {}
        }
    }

    /// Proposes a change of the operator at this controller's own replica.
    pub(super) fn propose(&mut self, change: u64) {
        let Some(command) = self.operator.command(change).map(<[u8]>::to_vec) else { return };
        let now = self.now();
        let request = self.request_number();
        self.asked.insert(request, Asked::Change(change));
        let deadline = now + super::operator::ANSWER_TIMEOUT;
        let outputs =
            self.shards.handle(now, shards::CONFIGURATION, Input::Propose { request, command, deadline });
        self.follow(shards::CONFIGURATION, outputs);
    }

    fn membership_outputs(&mut self, outputs: Vec<MembershipOutput>) {
        for output in outputs {
            match output {
                MembershipOutput::Send { to, heartbeat } => match heartbeat.encode() {
                    Ok(bytes) => self.peers.send(to, &Message::Heartbeat { body: bytes.into() }),
                    Err(error) => log::error!("heartbeat: {error}"),
                },
                MembershipOutput::StateChanged { peer, state } => {
                    log::info!("controller {peer} is {state:?}");
                    self.beat();
                }
                MembershipOutput::Restarted { .. } => {}
            }
        }
    }

    /// Notes that there is a controller at this address.
    fn know(&mut self, peer: SocketAddr) {
        let now = self.now();
        if !self.peers.name(now, peer) {
            return;
        }
        self.controllers_changed();
        self.contact(peer);
    }

    /// Lets the replicas ask a controller again what it has not answered.
    fn contact(&mut self, peer: SocketAddr) {
        let now = self.now();
        let SocketAddr::V4(address) = peer else { return };
        for shard in shards::all() {
            let outputs = self.shards.handle(now, shard, Input::Contact { node: address.into() });
            self.follow(shard, outputs);
        }
    }

    fn controllers_changed(&mut self) {
        let now = self.now();
        self.membership.set_nodes(now, &self.peers.addresses());
        let message = self.controllers_message();
        self.peers.broadcast(&message);
        self.readers.append(&message);
    }

    fn controllers_message(&self) -> Message {
        let addresses: Vec<String> = self.peers.addresses().iter().map(ToString::to_string).collect();
        Message::Controllers(Controllers { addresses: addresses.join(" ").as_str().into() })
    }

    /// The settings file may name other seeds.
    pub(super) fn read_settings(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => {
                self.settings.seeds = settings.seeds;
                let seeds = self.settings.seeds.clone();
                seeds.into_iter().for_each(|seed| self.know(seed));
            }
            Err(findings) => log::warn!("settings not read again: {findings}"),
        }
    }

    /// The process is about to end.
    pub(super) fn leave(&mut self) {
        let now = self.now();
        for shard in shards::all() {
            let outputs = self.leases.set_candidate(now, u32::from(shard), false);
            self.lease_outputs(outputs);
        }
    }

    /// Whether nobody waits for an answer.
    pub(super) fn is_idle(&self) -> bool {
        self.asked.is_empty() && self.operator.next_wake().is_none() && self.endpoints.next_wake().is_none()
    }
}

fn read_answer(outcome: &Outcome) -> Answer {
    let Outcome::Value { state, .. } = outcome else {
        return Answer::error(503, "no majority of the controllers can be reached");
    };
    match ControlState::decode(state) {
        Ok(state) => match state.document() {
            Some(document) => Answer::new(200, document.to_vec()),
            None => Answer::error(404, "no configuration has been taken yet"),
        },
        Err(error) => Answer::error(500, &error.to_string()),
    }
}
