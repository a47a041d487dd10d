//! The shards of control state: one replicated register each, normally on the same controllers.
//!
//! Shard 0 holds the configuration. Services are assigned to the other shards by a hash of their name; each of these
//! holds the epoch of the newest lease tenure for its services.

use lanegate_config::control_state::{self, Outcome};
use lanegate_config::findings::Findings;
use lanegate_coordination::membership::stable_hash;
use lanegate_coordination::register::{Applied, Input, Output, Replica, StateMachine};
use std::collections::BTreeMap;
use std::time::Duration;

/// The shard of the configuration.
pub(crate) const CONFIGURATION: u8 = 0;
/// Number of shards for services.
const SERVICE_SHARDS: u8 = 4;

/// The shard of a service.
pub(crate) fn shard_of(service: &str) -> u8 {
    1 + (stable_hash(service.as_bytes()) % u64::from(SERVICE_SHARDS)) as u8
}

/// All shards.
pub(crate) fn all() -> impl Iterator<Item = u8> {
    0..=SERVICE_SHARDS
}

/// Epoch counter: every command allocates the next epoch.
#[derive(Debug)]
pub(crate) struct EpochCounter;

impl StateMachine for EpochCounter {
    fn apply(&self, current: &[u8], _command: &[u8]) -> Applied {
        let next = read_epoch(current) + 1;
        let bytes = next.to_be_bytes().to_vec();
        Applied::Changed { state: bytes.clone(), answer: bytes }
    }
}

/// Decodes the epoch from a register's state or from the answer to a command; 0 if there is none yet.
pub(crate) fn read_epoch(bytes: &[u8]) -> u64 {
    bytes.try_into().map_or(0, u64::from_be_bytes)
}

/// Applies operators' changes to the configuration.
#[derive(Debug)]
pub(crate) struct ConfigurationMachine;

impl StateMachine for ConfigurationMachine {
    fn apply(&self, current: &[u8], command: &[u8]) -> Applied {
        apply_change(current, command)
    }
}

fn handle(replica: &mut Replica, now: Duration, input: Input) -> Vec<Output> {
    replica.handle(now, input);
    std::iter::from_fn(|| replica.poll_output()).collect()
}

/// This controller's replicas, one for each shard.
pub(crate) struct Shards {
    replicas: BTreeMap<u8, Replica>,
}

impl Shards {
    pub(crate) fn new(replicas: BTreeMap<u8, Replica>) -> Self {
        Shards { replicas }
    }

    /// Passes `input` to the replica of `shard` and returns its outputs.
    pub(crate) fn handle(&mut self, now: Duration, shard: u8, input: Input) -> Vec<Output> {
        match self.replicas.get_mut(&shard) {
            Some(replica) => handle(replica, now, input),
            None => Vec::new(),
        }
    }

    /// Runs the due timers of all replicas, and returns their outputs.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<(u8, Vec<Output>)> {
        let is_due = |replica: &Replica| replica.next_wake().is_some_and(|at| at <= now);
        let due = self.replicas.iter_mut().filter(|(_, replica)| is_due(replica));
        due.map(|(shard, replica)| (*shard, handle(replica, now, Input::Tick))).collect()
    }

    /// When [`Shards::due`] is to be called next.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.replicas.values().filter_map(Replica::next_wake).min()
    }

    /// The replica of one shard.
    pub(crate) fn get(&self, shard: u8) -> &Replica {
        &self.replicas[&shard]
    }

    /// All replicas.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u8, &Replica)> {
        self.replicas.iter().map(|(shard, replica)| (*shard, replica))
    }
}

fn apply_change(current: &[u8], command: &[u8]) -> Applied {
    match control_state::apply(current, command) {
        Ok((outcome, Some(state))) => Applied::Changed { state, answer: outcome.encode() },
        Ok((outcome, None)) if outcome.is_acknowledged() => Applied::Unchanged { answer: outcome.encode() },
        Ok((outcome, None)) => Applied::Refused { answer: outcome.encode() },
        Err(error) => {
            // The unreadable state may already contain the change, so it must not be answered as refused.
            let findings = Findings::one("", error.to_string());
            Applied::Refused { answer: Outcome::Unclear(findings).encode() }
        }
    }
}
