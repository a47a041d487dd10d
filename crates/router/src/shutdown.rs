//! The planned end of the process: clients are told to go elsewhere and what runs is finished.

use crate::listener::Clients;
use crate::state::RouterState;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// Time for which new clients are still taken: the platform asks each second and stops sending clients after
/// two answers that are not 200.
const ENTRY_NOTICE: Duration = Duration::from_millis(2_500);
/// Largest part of the whole time that may go by before clients are no longer taken.
const ENTRY_NOTICE_SHARE: u32 = 2;
/// Time in which the runtime hears of what clients did before: it may have been busy with other things.
const CATCH_UP: Duration = Duration::from_millis(20);
/// Time before the platform's own end at which whatever still runs is cut, so that the connections end in order.
const CUT_MARGIN: Duration = Duration::from_millis(200);
/// Time for the last answers to leave the process.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// Requests that are named in the log when they are not answered in time.
const NAMED_REQUESTS: usize = 20;

/// Ends the work of the router within `grace`.
pub async fn drain(state: &Rc<RouterState>, clients: &Clients, accepting: JoinHandle<()>, grace: Duration) {
    let began = Instant::now();
    let cut = began + grace.saturating_sub(CUT_MARGIN);
    state.drain(state.time_of(cut));
    log::info!("asked to end, {} requests open", state.open_requests());
    sleep(ENTRY_NOTICE.min(grace / ENTRY_NOTICE_SHARE)).await;
    // Clients that have come are taken, then what they have sent is read, before those without a request are left.
    sleep(CATCH_UP).await;
    accepting.abort();
    sleep(CATCH_UP).await;
    clients.finish();
    if timeout_at(cut, clients.all_left()).await.is_err() {
        log::warn!("{} requests are not answered in time", state.open_requests());
        state.log_open_requests(began, NAMED_REQUESTS);
        state.stop_requests();
        let _ = timeout_at(Instant::now() + LAST_ANSWERS, clients.all_left()).await;
    }
    state.counters.log();
}
