//! A request from its arrival to its end.

use crate::endpoints::{Endpoint, EndpointKey};
use crate::interface::Request;
use crate::load::Footprint;
use crate::prefix::PromptChain;
use crate::service::Artifact;
use fair_edf::Ns;
use lanegate_config::configuration::RouteType;
use std::time::Duration;

/// A request that has no end yet.
#[derive(Debug)]
pub struct Tracked {
    pub request: Request,
    pub chain: PromptChain,
    pub phase: Phase,
    /// Sends so far.
    pub attempts: u32,
    /// Endpoints to which it was sent, each once.
    pub reached: Vec<EndpointKey>,
    /// Endpoints to which it isn't sent again.
    pub avoided: Vec<EndpointKey>,
    /// Sends of which something may have arrived.
    pub arrivals: u32,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether some events were passed on, so that the next attempt takes the stream up.
    pub resume: bool,
    /// Whether it counts as a miss of its class already.
    pub missed: bool,
    /// When the agenda looks at it next.
    pub booked: Option<Duration>,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    Held(Hold),
    Sent(Flight),
}

/// A request that waits in the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hold {
    /// Endpoint on whose chart it stands, unless no endpoint can take it.
    pub lane: Option<EndpointKey>,
    /// When it is due on the chart.
    pub due: Ns,
}

/// A request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Flight {
    pub endpoint: EndpointKey,
    pub sent: Duration,
    pub footprint: Footprint,
    /// Time to the first byte that was expected.
    pub expected: Duration,
    /// What was believed of the prompt's place in the engine's memory.
    pub belief: Belief,
    /// Tokens that were ahead of its own prompt.
    pub ahead_tokens: u64,
    pub first_byte: Option<Duration>,
    /// When silence would be too long.
    pub hang_at: Duration,
    /// Whether it is the trial of an endpoint that was left out.
    pub is_trial: bool,
    /// Whether the request had not been sent to this endpoint before.
    pub newly_reached: bool,
}

/// What is believed of a prompt at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Belief {
    /// None of it is kept.
    #[default]
    Absent,
    /// This router sent some of it there before.
    Kept,
    /// The endpoint owns the prefix, so that other routers may have sent it there.
    Owned,
}

impl Tracked {
    /// A request that has just arrived.
    pub fn new(request: Request) -> Self {
        let chain = request.generation.as_ref().map(PromptChain::of).unwrap_or_default();
        Tracked {
            request,
            chain,
            phase: Phase::Held(Hold::default()),
            attempts: 0,
            reached: Vec::new(),
            avoided: Vec::new(),
            arrivals: 0,
            may_have_run: false,
            resume: false,
            missed: false,
            booked: None,
        }
    }

    /// The flight of the attempt under way.
    pub fn flight(&self) -> Option<&Flight> {
        match &self.phase {
            Phase::Sent(flight) => Some(flight),
            Phase::Held(_) => None,
        }
    }

    /// The hold, while no attempt is under way.
    pub fn hold(&self) -> Option<Hold> {
        match self.phase {
            Phase::Held(hold) => Some(hold),
            Phase::Sent(_) => None,
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.request.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.request.resumable,
        }
    }

    /// Whether nothing bounds how long its answer takes: the tokens of an output are not known before its end, and
    /// an engine may become overloaded meanwhile.
    pub fn is_open_ended(&self) -> bool {
        self.request.route_type == RouteType::Streaming || self.request.generation.is_some()
    }

    /// Whether the rules allow it to be sent to this endpoint.
    pub fn may_go_to(&self, key: EndpointKey) -> bool {
        let known = self.reached.contains(&key);
        let room = (self.reached.len() as u32) < self.request.max_attempts.max(1);
        (known || room) && !self.avoided.contains(&key)
    }

    /// Whether the next send is beyond the first arrival, and so needs the budget.
    pub fn is_repeat(&self) -> bool {
        self.arrivals > 0
    }

    /// Whether the endpoint holds what it needs.
    pub fn is_held_by(&self, endpoint: &Endpoint) -> bool {
        let wanted = self.request.generation.as_ref();
        wanted.is_none_or(|wanted| endpoint.holds(&wanted.model, wanted.adapter.as_deref()))
    }

    /// What it needs an engine to hold.
    pub fn artifact(&self) -> Option<Artifact> {
        let wanted = self.request.generation.as_ref()?;
        Some(Artifact { model: wanted.model.clone(), adapter: wanted.adapter.clone() })
    }

    /// Tokens of engine memory that it takes.
    pub fn held_tokens(&self) -> u64 {
        let output = self.request.generation.as_ref().map_or(0, |wanted| wanted.output_tokens);
        u64::from(self.chain.prompt_tokens) + u64::from(output)
    }

    /// Time that the objective leaves in all.
    pub fn aim(&self) -> Duration {
        self.request.target.saturating_sub(self.request.arrived)
    }
}
