//! Violations of guarantees to operators, endpoints and routers that a simulation can detect.

use super::host::Host;

/// A violated guarantee. Changes are counted from 1 in the order in which they were sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    #[error("change {0} is not valid and was acknowledged")]
    InvalidAcknowledged(usize),
    #[error("change {0} is valid and was called invalid")]
    ValidRejected(usize),
    #[error("change {0} was refused and then acknowledged")]
    AcknowledgedAfterRefusal(usize),
    #[error("change {0} was acknowledged and then refused")]
    RefusedAfterAcknowledgement(usize),
    #[error("change {0} was refused and is in force")]
    RefusedInForce(usize),
    #[error("changes {first} and {second} were both taken on version {base}")]
    TwoChangesOnOneVersion { base: u64, first: usize, second: usize },
    #[error("a configuration with version {0} that nobody sent is in force")]
    UnknownConfigurationInForce(u64),
    #[error("router {router} went back from version {from} to {to}")]
    RouterWentBack { router: usize, from: u64, to: u64 },
    #[error("read {read} gave version {version} after {floor} was acknowledged")]
    StaleRead { read: usize, floor: u64, version: u64 },
    #[error("{router} has version {version} a bound after {acknowledged} was acknowledged")]
    NotApplied { router: Host, version: u64, acknowledged: u64 },
    #[error("{router} sends to {endpoint} a bound after its drain was acknowledged")]
    DrainNotApplied { router: Host, endpoint: Host },
    #[error("{orders} orders of {sender} would have broken a limit and were held back")]
    OrdersWithheld { sender: Host, orders: u64 },
    #[error("an order with token {token} came after one with {highest}")]
    TokenWentBack { highest: u64, token: u64 },
    #[error("two senders use token {0}")]
    TokenShared(u64),
    #[error("{second} gives orders {after_ms} ms after {first} did")]
    TwoPlacers { first: Host, second: Host, after_ms: u64 },
    #[error("shard {shard} has group {group} a bound after a loss")]
    GroupIncomplete { shard: u8, group: String },
    #[error("once all is well, {0}")]
    NotRecovered(String),
    #[error("step {step} expects {expected}, found {found}")]
    ExpectationNotMet { step: usize, expected: String, found: String },
}
