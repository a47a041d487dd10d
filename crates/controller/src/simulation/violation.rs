//! Violations of guarantees to operators, endpoints and routers that a simulation can detect.

use super::host::Host;

/// A violated guarantee. Changes are counted from 1 in the order in which they were sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    #[error("change {0} is invalid but was acknowledged")]
    InvalidAcknowledged(usize),
    #[error("change {0} is valid but was rejected as invalid")]
    ValidRejected(usize),
    #[error("change {0} was acknowledged after it had been refused")]
    AcknowledgedAfterRefusal(usize),
    #[error("change {0} was refused after it had been acknowledged")]
    RefusedAfterAcknowledgement(usize),
    #[error("change {0} is in force although it was refused")]
    RefusedInForce(usize),
    #[error("changes {first} and {second} were both accepted on top of version {base}")]
    TwoChangesOnOneVersion { base: u64, first: usize, second: usize },
    #[error("a configuration with version {0} is in force although no operator sent it")]
    UnknownConfigurationInForce(u64),
    #[error("router {router} changed from version {from} back to the older version {to}")]
    RouterWentBack { router: usize, from: u64, to: u64 },
    #[error("read {read} returned version {version} after version {floor} had been acknowledged")]
    StaleRead { read: usize, floor: u64, version: u64 },
    #[error(
        "{router} still has version {version} although the time bound for the acknowledged version {acknowledged} has passed"
    )]
    NotApplied { router: Host, version: u64, acknowledged: u64 },
    #[error(
        "{router} still sends to {endpoint} although the time bound after its acknowledged drain has passed"
    )]
    DrainNotApplied { router: Host, endpoint: Host },
    #[error("{sender} planned {orders} orders that its final check had to withhold")]
    OrdersWithheld { sender: Host, orders: u64 },
    #[error("an order with fencing token {token} arrived after one with the higher token {highest}")]
    TokenWentBack { highest: u64, token: u64 },
    #[error("two senders use fencing token {0}")]
    TokenShared(u64),
    #[error("{second} sent an order {after_ms} ms after one of {first}, which is less than the lease")]
    TwoPlacers { first: Host, second: Host, after_ms: u64 },
    #[error(
        "shard {shard} still has group {group}, which is too small or has a lost member, although the time bound after a fault has passed"
    )]
    GroupIncomplete { shard: u8, group: String },
    #[error("the system did not recover after all faults had ended: {0}")]
    NotRecovered(String),
    #[error("step {step}: expected {expected}, found {found}")]
    ExpectationNotMet { step: usize, expected: String, found: String },
}
