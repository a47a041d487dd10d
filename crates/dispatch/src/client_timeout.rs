//! The time-out of clients of streams: how long a client waits for the first event.

use crate::pending_request::PendingRequest;
use lanegate_config::configuration::{Configuration, RouteType};
use std::collections::HashMap;
use std::time::Duration;

/// A client waits at least this long for the first event.
const MIN_TIMEOUT: Duration = Duration::from_secs(2);
/// It waits at least this many times the latency target, or the largest allowed gap between events.
const LATENCY_TARGET_FACTOR: u32 = 4;
const EVENT_GAP_FACTOR: u32 = 8;

/// An answer is due this long before the time-out of the client, to allow for the transmission of the request and of the
/// answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// The largest allowed gap between events, for each route that configures one.
#[derive(Debug, Default)]
pub(crate) struct ClientTimeouts {
    event_gaps: HashMap<String, Duration>,
}

impl ClientTimeouts {
    /// Applies a configuration.
    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        let event_gaps = configuration.routes.iter().filter_map(|route| {
            let event_gap = crate::units::milliseconds(route.token_gap_target_ms?);
            Some((route.name.clone(), event_gap))
        });
        self.event_gaps = event_gaps.collect();
    }

    /// When the client gives up unless the answer has begun.
    pub(crate) fn expires_at(&self, pending: &PendingRequest) -> Duration {
        let request = &pending.request;
        if request.route_type != RouteType::Streaming || pending.resume {
            return request.deadline;
        }
        let event_gap = self.event_gaps.get(request.route.as_ref()).copied().unwrap_or_default();
        let timeout = MIN_TIMEOUT
            .max(pending.latency_target() * LATENCY_TARGET_FACTOR)
            .max(event_gap * EVENT_GAP_FACTOR);
        request.deadline.min((request.arrived + timeout).saturating_sub(ANSWER_MARGIN))
    }
}
