//! The timers of the requests.

use crate::interface::RequestId;
use std::collections::BTreeSet;
use std::time::Duration;

/// One timer for each request, in order of expiry.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    times: BTreeSet<(Duration, RequestId)>,
}

impl TimerQueue {
    /// Sets or clears the timer of a request. `scheduled_at` is its current expiry, which is stored with the request.
    pub(crate) fn schedule(
        &mut self,
        request: RequestId,
        scheduled_at: &mut Option<Duration>,
        at: Option<Duration>,
    ) {
        if *scheduled_at == at {
            return;
        }
        if let Some(before) = scheduled_at.take() {
            self.times.remove(&(before, request));
        }
        if let Some(at) = at {
            self.times.insert((at, request));
        }
        *scheduled_at = at;
    }

    /// The earliest expiry.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.times.first().map(|&(at, _)| at)
    }

    /// The requests whose timers have expired, in order of expiry.
    pub(crate) fn due(&self, now: Duration) -> Vec<RequestId> {
        self.times.iter().take_while(|&&(at, _)| at <= now).map(|&(_, request)| request).collect()
    }
}
