//! The metrics of an agent, computed from its state at each scrape.

use super::Agent;
use lanegate_metrics::{Exposition, Metric};
use std::net::SocketAddr;
use std::time::Duration;

const SOURCES: Metric = Metric::gauge(
    "lanegate_agent_sources",
    "Controllers that are followed, by what they said last of their quorum",
);
const SOURCE_OFFSET: Metric = Metric::gauge(
    "lanegate_agent_source_offset",
    "Changes that a followed controller's feed held at its last heartbeat",
);
const SOURCE_IDLE_TIME: Metric = Metric::gauge(
    "lanegate_agent_source_silence_seconds",
    "Time since the last heartbeat of a followed controller's feed",
);
const LINKS_STARTED: Metric =
    Metric::counter("lanegate_agent_links_started_total", "Links to controllers that came up");
const LINKS_ENDED: Metric = Metric::counter(
    "lanegate_agent_links_ended_total",
    "Links to controllers that failed, did not come up, or were silent for too long",
);
const KNOWN_CONTROLLERS: Metric =
    Metric::gauge("lanegate_agent_known_controllers", "Controllers that could be followed");
const ROUTER_LINKS: Metric =
    Metric::gauge("lanegate_agent_router_links", "Routers that this agent feeds now");
const LIVE_ROUTERS: Metric = Metric::gauge(
    "lanegate_agent_live_routers",
    "Live routers by the count of the controllers, 0 while unknown",
);
const ENDPOINTS: Metric = Metric::gauge("lanegate_agent_endpoints", "Live endpoints that are known");
const CONFIGURATION_REVISION: Metric = Metric::gauge(
    "lanegate_agent_configuration_revision",
    "Revision of the configuration that is known, 0 for none",
);
const CONFIGURATION_BEHIND: Metric = Metric::gauge(
    "lanegate_agent_configuration_behind",
    "1 while a newer configuration is known to exist, or nobody is heard who would know",
);
const CONFIGURATION_WITHHELD: Metric = Metric::gauge(
    "lanegate_agent_configuration_held",
    "1 while a configuration waits for a controller that vouches for it",
);

/// The newest heartbeat of one source's feed.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastHeartbeat {
    pub at: Duration,
    pub offset: u64,
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub links_started: u64,
    pub links_ended: u64,
}

impl Agent {
    /// The current metrics.
    pub(crate) fn metrics(&self) -> Exposition {
        let mut exposition = Exposition::default();
        let sources = self.sources.counts();
        for (status, count) in
            [("starting", sources.starting), ("trusted", sources.trusted), ("cut_off", sources.partitioned)]
        {
            exposition.set_labelled(&SOURCES, &[("standing", status)], count);
        }
        self.add_heartbeats(&mut exposition);
        exposition.set(&LINKS_STARTED, self.counters.links_started);
        exposition.set(&LINKS_ENDED, self.counters.links_ended);
        exposition.set(&KNOWN_CONTROLLERS, self.known_controllers().len());
        exposition.set(&ROUTER_LINKS, self.subscribers.len());
        exposition.set(&LIVE_ROUTERS, self.view.routers());
        exposition.set(&ENDPOINTS, self.view.endpoints());
        let revision = self.view.configuration().map_or(0, |committed| committed.revision);
        exposition.set(&CONFIGURATION_REVISION, revision);
        exposition.set(&CONFIGURATION_BEHIND, self.view.may_be_behind());
        exposition.set(&CONFIGURATION_WITHHELD, self.unconfirmed.has_withheld());
        exposition.set_violations(&self.violations);
        exposition
    }

    fn add_heartbeats(&self, exposition: &mut Exposition) {
        exposition.declare(&SOURCE_OFFSET);
        exposition.declare(&SOURCE_IDLE_TIME);
        let now = self.now();
        for (source, heartbeat) in &self.heartbeats {
            let source: &SocketAddr = source;
            let name = source.to_string();
            let labels = [("source", name.as_str())];
            exposition.set_labelled(&SOURCE_OFFSET, &labels, heartbeat.offset);
            exposition.set_labelled(&SOURCE_IDLE_TIME, &labels, now.saturating_sub(heartbeat.at));
        }
    }
}
