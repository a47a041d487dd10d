//! Which controllers are live, and changes of the groups that follow from it.

use super::{Asked, Controller, shards};
use crate::message::Message;
use lanegate_coordination::membership::Output;
use lanegate_coordination::register::{Input, Node};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a change of members.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

impl Controller {
    pub(super) fn membership_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, heartbeat } => {
                    // Read before the heartbeat leaves: the age of its answer counts from here.
                    let now = self.now();
                    self.contact.sent(now, &heartbeat);
                    match heartbeat.encode() {
                        Ok(bytes) => self.peers.send(to, &Message::Heartbeat { body: bytes.into() }),
                        Err(error) => log::error!("heartbeat: {error}"),
                    }
                }
                Output::StateChanged { peer, state } => {
                    log::info!("controller {peer} is {state:?}");
                }
                Output::Restarted { .. } => {}
            }
        }
    }

    /// Lets the group grow, or replaces a member that is gone, where this controller owns the shard.
    pub(super) fn tend_members(&mut self, now: Duration) {
        let live: Vec<SocketAddr> = self.membership.live().collect();
        let size = 2 * self.settings.fault_tolerance.machines as usize + 1;
        let group = self.group(shards::CONFIGURATION);
        self.members.observe(now, &group, &live);
        if self.asked.values().any(|asked| matches!(asked, Asked::Members))
            || !self.has_contact(shards::CONFIGURATION)
        {
            return;
        }
        for shard in shards::all() {
            let group = self.group(shard);
            if self.owner(shard, &[shard]) != self.this || !self.has_contact(shard) {
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
                deadline: now + CHANGE_TIMEOUT,
            };
            let outputs = self.shards.handle(now, shard, input);
            self.follow(shard, outputs);
        }
    }
}
