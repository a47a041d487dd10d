//! Mechanisms of routing and placement that can be switched off one by one, to measure the value of each (ablation).

use std::fmt;
use std::str::FromStr;

/// A mechanism. The measured value of each is in `docs/policy/ablation.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Requests wait for a router's first configuration.
    ConfigurationWait,
    /// Queued requests that cannot be served in time under any schedule are rejected early.
    EarlyRejection,
    /// Requests of the class with the lowest miss ratio are rejected first.
    MissRatioVictim,
    /// A request is offered to an endpoint in time for its latency target, whatever the load.
    LastOffer,
    /// Endpoints are preferred that are believed to have a prompt's prefix in their cache.
    PrefixCache,
    /// Among equal endpoints the owner of the prefix is preferred, the same in all routers.
    PrefixOwner,
    /// A full batch adds to the cost of an endpoint.
    BatchCost,
    /// Streams that stall during the prefill of a prompt add to the cost of an endpoint.
    StallCost,
    /// First bytes that arrive later than expected add to the cost of an endpoint for a while.
    ExcessDelay,
    /// Engines are told the urgency of a prompt, which includes its prefill time.
    EngineUrgency,
    /// Endpoints that fail or do not respond are ejected.
    Ejection,
    /// An endpoint that returns gets few requests at first (slow start).
    SlowStart,
    /// An idempotent request is retried elsewhere if its endpoint does not respond.
    ResponseTimeoutRetry,
    /// Streams end when their client times out.
    ClientTimeout,
    /// Requests for a model that is resident nowhere wait for its load.
    LoadWait,
    /// An attempt that none of its endpoints will accept ends at once.
    ExhaustedAttempt,
    /// Models that are being evicted are hidden from routers.
    EvictionHiding,
    /// Evicting models with long-running requests costs more.
    DrainCost,
    /// A new lease holder starts with the demand of its predecessor.
    DemandHandover,
    /// Replicas that current demand requires are not evicted for less valuable ones.
    RequiredReplicas,
    /// Models that have lost their last replica are loaded before they are requested.
    LostModelReload,
}

/// All mechanisms, with their names on the command line (these never change).
const NAMES: [(&str, Mechanism); 21] = [
    ("configuration-wait", Mechanism::ConfigurationWait),
    ("early-refusal", Mechanism::EarlyRejection),
    ("miss-ratio-victim", Mechanism::MissRatioVictim),
    ("last-offer", Mechanism::LastOffer),
    ("prefix-cache", Mechanism::PrefixCache),
    ("prefix-owner", Mechanism::PrefixOwner),
    ("batch-cost", Mechanism::BatchCost),
    ("stall-cost", Mechanism::StallCost),
    ("excess-delay", Mechanism::ExcessDelay),
    ("engine-urgency", Mechanism::EngineUrgency),
    ("ejection", Mechanism::Ejection),
    ("slow-return", Mechanism::SlowStart),
    ("silence-retry", Mechanism::ResponseTimeoutRetry),
    ("client-patience", Mechanism::ClientTimeout),
    ("load-wait", Mechanism::LoadWait),
    ("exhausted-try", Mechanism::ExhaustedAttempt),
    ("eviction-hiding", Mechanism::EvictionHiding),
    ("drain-cost", Mechanism::DrainCost),
    ("demand-recall", Mechanism::DemandHandover),
    ("needed-copies", Mechanism::RequiredReplicas),
    ("restore", Mechanism::LostModelReload),
];

/// The name of an unknown mechanism.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown mechanism {name:?}; expected one of {}", names())]
pub struct UnknownMechanism {
    name: String,
}

fn names() -> String {
    NAMES.map(|(name, _)| name).join(", ")
}

impl Mechanism {
    /// All mechanisms.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        NAMES.into_iter().map(|(_, mechanism)| mechanism)
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES.iter().find(|(_, mechanism)| mechanism == self).map_or("", |(name, _)| name);
        formatter.write_str(name)
    }
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let found = NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, mechanism)| *mechanism).ok_or_else(|| UnknownMechanism { name: text.to_owned() })
    }
}

/// The mechanisms that are switched off; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SwitchedOff {
    bits: u64,
}

impl SwitchedOff {
    /// Whether a mechanism is switched on.
    pub fn allows(&self, mechanism: Mechanism) -> bool {
        self.bits & (1 << mechanism as u32) == 0
    }
}

impl FromIterator<Mechanism> for SwitchedOff {
    fn from_iter<I: IntoIterator<Item = Mechanism>>(mechanisms: I) -> Self {
        let bits = mechanisms.into_iter().fold(0, |bits, mechanism| bits | (1 << mechanism as u32));
        SwitchedOff { bits }
    }
}
