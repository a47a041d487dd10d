//! The mechanisms of routing and placement that can be switched off, one by one, to measure what each is worth.

use std::fmt;
use std::str::FromStr;

/// One mechanism. What each is for stands where it works; what each is worth, in `docs/policy/ablation.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Requests wait for a router's first configuration.
    ConfigurationWait,
    /// Held requests that no chart can meet are refused early.
    EarlyRefusal,
    /// The class that missed least gives way.
    MissRatioVictim,
    /// A request is offered to an endpoint in time for its objective, whatever the load.
    LastOffer,
    /// Endpoints are preferred that are believed to keep a prompt's prefix.
    PrefixCache,
    /// One endpoint for each prefix, the same in all routers, is preferred among equals.
    PrefixOwner,
    /// A full batch adds to the cost of an endpoint.
    BatchCost,
    /// The streams that stand still while a prompt is read add to the cost of an endpoint.
    StallCost,
    /// First bytes that come later than expected add to the cost of an endpoint for a while.
    ExcessDelay,
    /// Engines hear how urgent a prompt is by the time that it takes to read.
    EngineUrgency,
    /// Endpoints that fail or are silent are left out.
    Ejection,
    /// An endpoint that comes back gets few requests at first.
    SlowReturn,
    /// A request that may run twice leaves an endpoint that is silent.
    ResponseTimeoutRetry,
    /// Streams end when their client gives up.
    ClientTimeout,
    /// Requests for a model that is held nowhere wait for its load.
    LoadWait,
    /// A try that none of its endpoints will take ends at once.
    ExhaustedAttempt,
    /// What is being evicted is hidden from routers until it is gone.
    EvictionHiding,
    /// Victims whose runs last long cost more.
    DrainCost,
    /// A new holder of the lease begins with the demand of before.
    DemandRecall,
    /// Copies that demand needs are not taken for less.
    NeededCopies,
    /// Models that have lost their last copy are loaded before they are asked for.
    Restore,
}

/// All of them, with their names on the command line.
const NAMES: [(&str, Mechanism); 21] = [
    ("configuration-wait", Mechanism::ConfigurationWait),
    ("early-refusal", Mechanism::EarlyRefusal),
    ("miss-ratio-victim", Mechanism::MissRatioVictim),
    ("last-offer", Mechanism::LastOffer),
    ("prefix-cache", Mechanism::PrefixCache),
    ("prefix-owner", Mechanism::PrefixOwner),
    ("batch-cost", Mechanism::BatchCost),
    ("stall-cost", Mechanism::StallCost),
    ("excess-delay", Mechanism::ExcessDelay),
    ("engine-urgency", Mechanism::EngineUrgency),
    ("ejection", Mechanism::Ejection),
    ("slow-return", Mechanism::SlowReturn),
    ("silence-retry", Mechanism::ResponseTimeoutRetry),
    ("client-patience", Mechanism::ClientTimeout),
    ("load-wait", Mechanism::LoadWait),
    ("exhausted-try", Mechanism::ExhaustedAttempt),
    ("eviction-hiding", Mechanism::EvictionHiding),
    ("drain-cost", Mechanism::DrainCost),
    ("demand-recall", Mechanism::DemandRecall),
    ("needed-copies", Mechanism::NeededCopies),
    ("restore", Mechanism::Restore),
];

/// A name that no mechanism has.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is no mechanism; there are {}", names())]
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
    /// Whether a mechanism works.
    pub fn leaves(&self, mechanism: Mechanism) -> bool {
        self.bits & (1 << mechanism as u32) == 0
    }
}

impl FromIterator<Mechanism> for SwitchedOff {
    fn from_iter<I: IntoIterator<Item = Mechanism>>(mechanisms: I) -> Self {
        let bits = mechanisms.into_iter().fold(0, |bits, mechanism| bits | (1 << mechanism as u32));
        SwitchedOff { bits }
    }
}
