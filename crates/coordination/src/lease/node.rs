//! All leases of one process: a grantor, and a candidate for each shard.

use super::grantor::{GrantorStart, LeaseGrantor};
use super::holder::{LeaseHolder, Output as HolderOutput, Tenure};
use super::message::LeaseMessage;
use super::settings::LeaseSettings;
use crate::membership::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// What the caller has to do, or is notified of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another process.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: LeaseMessage,
    },
    /// Acquire a new epoch from the shard's register and pass it to [`LeaseNode::epoch_acquired`].
    AcquireEpoch {
        /// The shard.
        shard: u32,
        /// The tenure that needs the epoch.
        tenure: Tenure,
    },
    /// This process holds the lease of the shard: it may send the actions that [`LeaseNode::authorize`] allows.
    Began {
        /// The shard.
        shard: u32,
        /// The tenure.
        tenure: Tenure,
        /// Its fencing token.
        epoch: u64,
    },
    /// This process no longer holds the lease of the shard.
    Ended {
        /// The shard.
        shard: u32,
        /// The tenure.
        tenure: Tenure,
    },
}

/// All leases of one process. Messages to itself are delivered directly.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseNode {
    settings: LeaseSettings,
    this: NodeId,
    grantor: LeaseGrantor,
    holders: BTreeMap<u32, LeaseHolder>,
}

impl LeaseNode {
    /// A process that starts `now` and is not a candidate yet.
    pub fn new(settings: LeaseSettings, this: NodeId, start: GrantorStart, now: Duration) -> Self {
        let grantor = LeaseGrantor::new(settings.clone(), start, now);
        LeaseNode { settings, this, grantor, holders: BTreeMap::new() }
    }

    /// Sets the group of a shard; see [`LeaseHolder::set_group`].
    pub fn set_group(&mut self, now: Duration, shard: u32, generation: u64, members: &[SocketAddr]) {
        self.grantor.set_generation(shard, generation);
        self.holder(shard).set_group(now, generation, members);
    }

    /// Sets whether this process should hold the lease of the shard.
    pub fn set_candidate(&mut self, now: Duration, shard: u32, is_candidate: bool) -> Vec<Output> {
        let outputs = self.holder(shard).set_candidate(now, is_candidate);
        self.deliver(now, shard, outputs)
    }

    /// Processes what is due. To be called at [`LeaseNode::next_wake`].
    pub fn on_tick(&mut self, now: Duration) -> Vec<Output> {
        let shards: Vec<_> = self.holders.keys().copied().collect();
        let mut all = Vec::new();
        for shard in shards {
            let outputs = self.holder(shard).on_tick(now);
            all.extend(self.deliver(now, shard, outputs));
        }
        all
    }

    /// When [`LeaseNode::on_tick`] is due next; `None` while this process is not a candidate.
    pub fn next_wake(&self) -> Option<Duration> {
        self.holders.values().filter_map(LeaseHolder::next_wake).min()
    }

    /// Processes a message of another process.
    pub fn on_message(&mut self, now: Duration, from: SocketAddr, message: &LeaseMessage) -> Vec<Output> {
        match message {
            LeaseMessage::Request(request) => {
                let reply = self.grantor.on_request(now, request).map(LeaseMessage::Reply);
                reply.map(|message| Output::Send { to: from, message }).into_iter().collect()
            }
            LeaseMessage::Release(release) => {
                self.grantor.on_release(now, release);
                Vec::new()
            }
            LeaseMessage::Reply(reply) => {
                let Some(holder) = self.holders.get_mut(&reply.shard) else { return Vec::new() };
                let outputs = holder.on_reply(now, from, reply);
                self.deliver(now, reply.shard, outputs)
            }
        }
    }

    /// See [`LeaseHolder::epoch_acquired`].
    pub fn epoch_acquired(&mut self, now: Duration, shard: u32, tenure: Tenure, epoch: u64) -> Vec<Output> {
        let Some(holder) = self.holders.get_mut(&shard) else { return Vec::new() };
        let outputs = holder.epoch_acquired(now, tenure, epoch);
        self.deliver(now, shard, outputs)
    }

    /// See [`LeaseHolder::epoch_unavailable`].
    pub fn epoch_unavailable(&mut self, now: Duration, shard: u32, tenure: Tenure) -> Vec<Output> {
        let Some(holder) = self.holders.get_mut(&shard) else { return Vec::new() };
        let outputs = holder.epoch_unavailable(now, tenure);
        self.deliver(now, shard, outputs)
    }

    /// See [`LeaseHolder::authorize`].
    pub fn authorize(&mut self, now: Duration, shard: u32, delivery_time: Duration) -> Option<u64> {
        self.holders.get_mut(&shard)?.authorize(now, delivery_time)
    }

    /// See [`LeaseHolder::current_epoch`].
    pub fn current_epoch(&self, now: Duration, shard: u32, delivery_time: Duration) -> Option<u64> {
        self.holders.get(&shard)?.current_epoch(now, delivery_time)
    }

    fn holder(&mut self, shard: u32) -> &mut LeaseHolder {
        let (settings, this) = (&self.settings, self.this);
        self.holders.entry(shard).or_insert_with(|| LeaseHolder::new(settings.clone(), shard, this))
    }

    /// Delivers messages to this process's own grantor and returns the other outputs.
    fn deliver(&mut self, now: Duration, shard: u32, outputs: Vec<HolderOutput>) -> Vec<Output> {
        let own = self.this.address();
        let mut pending = VecDeque::from(outputs);
        let mut external = Vec::new();
        while let Some(output) = pending.pop_front() {
            match output {
                HolderOutput::Request { to, request } if to == own => {
                    let reply = self.grantor.on_request(now, &request);
                    let holder = self.holder(shard);
                    pending.extend(reply.into_iter().flat_map(|reply| holder.on_reply(now, own, &reply)));
                }
                HolderOutput::Release { to, release } if to == own => self.grantor.on_release(now, &release),
                other => external.push(with_shard(shard, other)),
            }
        }
        external
    }
}

/// An output of one shard's holder, with the shard.
fn with_shard(shard: u32, output: HolderOutput) -> Output {
    match output {
        HolderOutput::Request { to, request } => Output::Send { to, message: LeaseMessage::Request(request) },
        HolderOutput::Release { to, release } => Output::Send { to, message: LeaseMessage::Release(release) },
        HolderOutput::AcquireEpoch { tenure } => Output::AcquireEpoch { shard, tenure },
        HolderOutput::Began { tenure, epoch } => Output::Began { shard, tenure, epoch },
        HolderOutput::Ended { tenure } => Output::Ended { shard, tenure },
    }
}
