//! Periodic work on one timer: closes stalled client connections and expired endpoint connections, reports demand and logs
//! the counters.

use crate::client::activity::{Activity, CloseMode, Phase};
use crate::client::listener::ClientConnections;
use crate::fault::RouterFault;
use crate::state::RouterState;
use lanegate_config::configuration::Limits;
use lanegate_config::demand::DemandReport;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until};

/// Interval of the periodic work.
const TICK: Duration = Duration::from_secs(1);
/// Shortest interval between reports of demand that no endpoint can serve. It is short because requests wait until a model is
/// placed.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// If a client has not read its answer this long after the deadline of the request, its connection is closed.
const STALLED_ANSWER_GRACE: Duration = Duration::from_secs(2);
/// An idle connection that did not close gracefully is aborted after this many idle time-outs.
const STALLED_IDLE_FACTOR: f64 = 2.0;
/// Ticks between two log lines with the counters.
const TICKS_PER_LOG: u32 = 60;

/// Runs the periodic work; never returns.
pub async fn maintain(
    state: Rc<RouterState>,
    clients: Rc<ClientConnections>,
    demand: UnboundedSender<DemandReport>,
) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut until_log = TICKS_PER_LOG;
    loop {
        let now = tokio::select! {
            now = ticks.tick() => now,
            () = state.unplaced_demand.notified() => {
                report_demand(&state, &demand);
                sleep(URGENT_REPORT_INTERVAL).await;
                continue;
            }
        };
        let limits = state.limits();
        let checked_at = if state.has_fault(RouterFault::CheckAtCurrentTime) { Instant::now() } else { now };
        clients.for_each(|activity| close_if_stalled(activity, &limits, checked_at));
        state.pool.close_expired(now);
        report_demand(&state, &demand);
        until_log -= 1;
        if until_log == 0 {
            until_log = TICKS_PER_LOG;
            state.counters.log();
        }
    }
}

fn report_demand(state: &RouterState, demand: &UnboundedSender<DemandReport>) {
    let report = state.with_dispatcher(|dispatcher, now| dispatcher.demand_report(now));
    if demand.send(report).is_err() {
        log::trace!("demand report dropped: the receiver is closed");
    }
}

/// Closes a connection that has been idle, or stalled within a request, for longer than allowed.
///
/// `now` is the time at which the tick was due, which after a stall of the process is long past. So input that arrived during
/// the stall is processed and answered before any connection is checked against the current time.
fn close_if_stalled(activity: &Activity, limits: &Limits, now: Instant) {
    let spent = now.saturating_duration_since(activity.since());
    let over = |milliseconds: f64| spent.as_secs_f64() * 1_000.0 > milliseconds;
    match activity.phase() {
        Phase::Idle if over(limits.idle_timeout_ms * STALLED_IDLE_FACTOR) => {
            activity.request_close(CloseMode::Abort)
        }
        Phase::Idle if over(limits.idle_timeout_ms) => activity.request_close(CloseMode::Graceful),
        Phase::Head if over(limits.header_timeout_ms) => activity.request_close(CloseMode::Abort),
        Phase::Body if over(limits.idle_timeout_ms) => activity.request_close(CloseMode::Abort),
        Phase::Answering if now > activity.answer_deadline().max(activity.since()) + STALLED_ANSWER_GRACE => {
            activity.request_close(CloseMode::Abort);
        }
        Phase::Idle | Phase::Head | Phase::Body | Phase::Answering => {}
    }
}

/// Calls the dispatcher at the times that it requests; never returns.
pub async fn run_dispatcher_timer(state: Rc<RouterState>) {
    loop {
        let Some(wake) = state.timer_at() else {
            state.timer_changed.notified().await;
            continue;
        };
        tokio::select! {
            () = sleep_until(state.instant_of(wake)) => state.wake_dispatcher(),
            () = state.timer_changed.notified() => {}
        }
    }
}
