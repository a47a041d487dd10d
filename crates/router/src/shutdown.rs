//! The planned end of the process: clients are told to go elsewhere and what runs is finished.

use crate::listener::ClientConnections;
use crate::state::RouterState;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// Time for which new clients are still taken: the platform asks each second and stops sending clients after
/// two answers that are not 200.
const ACCEPT_GRACE: Duration = Duration::from_millis(2_500);
/// Largest part of the whole time that may go by before clients are no longer taken.
const ACCEPT_GRACE_DIVISOR: u32 = 2;
/// Time in which the runtime hears of what clients did before: it may have been busy with other things.
const INPUT_GRACE: Duration = Duration::from_millis(20);
/// Time before the platform's own end at which whatever still runs is cut, so that the connections end in order.
const ABORT_MARGIN: Duration = Duration::from_millis(200);
/// Time for the last answers to leave the process.
const FINAL_FLUSH: Duration = Duration::from_millis(100);
/// Requests that are named in the log when they are not answered in time.
const MAX_LOGGED_REQUESTS: usize = 20;

/// Ends the work of the router within `grace`.
pub async fn drain(
    state: &Rc<RouterState>,
    clients: &ClientConnections,
    accepting: JoinHandle<()>,
    grace: Duration,
) {
    let began = Instant::now();
    let abort_at = began + grace.saturating_sub(ABORT_MARGIN);
    state.begin_drain(state.time_of(abort_at));
    log::info!("asked to end, {} requests open", state.open_requests());
    sleep(ACCEPT_GRACE.min(grace / ACCEPT_GRACE_DIVISOR)).await;
    // Clients that have come are taken, then what they have sent is read, before those without a request are left.
    sleep(INPUT_GRACE).await;
    accepting.abort();
    sleep(INPUT_GRACE).await;
    clients.close_gracefully();
    if timeout_at(abort_at, clients.all_closed()).await.is_err() {
        log::warn!("{} requests are not answered in time", state.open_requests());
        state.log_open_requests(began, MAX_LOGGED_REQUESTS);
        state.abort_requests();
        let _ = timeout_at(Instant::now() + FINAL_FLUSH, clients.all_closed()).await;
    }
    state.counters.log();
}
