//! Graceful shutdown: the platform directs new clients to other routers, and open requests are completed.

use crate::client::listener::ClientConnections;
use crate::state::RouterState;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// Time for which new clients are still accepted: the platform checks readiness each second and stops sending clients after
/// two failed checks.
const ACCEPT_GRACE: Duration = Duration::from_millis(2_500);
/// New clients are accepted for at most the grace time divided by this.
const ACCEPT_GRACE_DIVISOR: u32 = 2;
/// Time for the runtime to process input that has already arrived.
const INPUT_GRACE: Duration = Duration::from_millis(20);
/// Requests are aborted this long before the end of the grace time, so that there is time to reply and to close the connections.
const ABORT_MARGIN: Duration = Duration::from_millis(200);
/// Time for the last replies to be sent.
const FINAL_FLUSH: Duration = Duration::from_millis(100);
/// Maximum number of aborted requests that are logged.
const MAX_LOGGED_REQUESTS: usize = 20;

/// Drains the router within `grace`.
pub async fn drain(
    state: &Rc<RouterState>,
    clients: &ClientConnections,
    accepting: JoinHandle<()>,
    grace: Duration,
) {
    let began = Instant::now();
    let abort_at = began + grace.saturating_sub(ABORT_MARGIN);
    state.begin_drain(state.time_of(abort_at));
    log::info!("shutdown started open_requests={}", state.requests.len());
    sleep(ACCEPT_GRACE.min(grace / ACCEPT_GRACE_DIVISOR)).await;
    // First accept the connections that are waiting, then read their input. Only then close connections without a request.
    sleep(INPUT_GRACE).await;
    accepting.abort();
    sleep(INPUT_GRACE).await;
    clients.close_gracefully();
    if timeout_at(abort_at, clients.all_closed()).await.is_err() {
        log::warn!("grace time over; aborting requests open_requests={}", state.requests.len());
        state.log_open_requests(began, MAX_LOGGED_REQUESTS);
        state.abort_requests();
        let _ = timeout_at(Instant::now() + FINAL_FLUSH, clients.all_closed()).await;
    }
    state.counters.log();
}
