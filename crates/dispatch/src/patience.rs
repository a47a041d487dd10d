//! How long the client of a stream waits for a sign of life.

use crate::tracked::Tracked;
use lanegate_config::configuration::{Configuration, RouteType};
use std::collections::HashMap;
use std::time::Duration;

/// A client of a stream waits at least this long for its first event.
const LEAST: Duration = Duration::from_secs(2);
/// Or this many times the objective, or the longest pause between events.
const OBJECTIVES: u32 = 4;
const PAUSES: u32 = 8;

/// Time before the client gives up at which it has to have an answer, which still has to reach it: the request was
/// noticed later than the client sent it.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Longest pause between events of each route that names one.
#[derive(Debug, Default)]
pub struct Patience {
    pauses: HashMap<String, Duration>,
}

impl Patience {
    /// Takes a configuration in.
    pub fn configure(&mut self, configuration: &Configuration) {
        let pauses = configuration.routes.iter().filter_map(|route| {
            let pause = crate::units::milliseconds(route.token_gap_target_ms?);
            Some((route.name.clone(), pause))
        });
        self.pauses = pauses.collect();
    }

    /// When the client has to have something, or it gives up before it comes.
    pub fn ends(&self, tracked: &Tracked) -> Duration {
        let request = &tracked.request;
        if request.route_type != RouteType::Streaming || tracked.resume {
            return request.deadline;
        }
        let pause = self.pauses.get(request.route.as_ref()).copied().unwrap_or_default();
        let waits = LEAST.max(tracked.aim() * OBJECTIVES).max(pause * PAUSES);
        request.deadline.min((request.arrived + waits).saturating_sub(ANSWER_MARGIN))
    }
}
