//! When to look at each request next.

use crate::interface::RequestId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Requests by the moment at which something may change for them.
#[derive(Debug, Default)]
pub struct Agenda {
    times: BTreeSet<(Duration, RequestId)>,
}

impl Agenda {
    /// Books a request anew; `booked` is its entry, kept with the request.
    pub fn book(&mut self, request: RequestId, booked: &mut Option<Duration>, at: Option<Duration>) {
        if *booked == at {
            return;
        }
        if let Some(before) = booked.take() {
            self.times.remove(&(before, request));
        }
        if let Some(at) = at {
            self.times.insert((at, request));
        }
        *booked = at;
    }

    /// The earliest moment.
    pub fn next(&self) -> Option<Duration> {
        self.times.first().map(|&(at, _)| at)
    }

    /// Those whose moment has come, in order.
    pub fn due(&self, now: Duration) -> Vec<RequestId> {
        self.times.iter().take_while(|&&(at, _)| at <= now).map(|&(_, request)| request).collect()
    }
}
