//! What has to be done from time to time, all on one tick: ends clients that stall, closes connections that
//! are not used, reports demand and writes the counts to the log.

use crate::activity::{Activity, Order, Phase};
use crate::fault::RouterFault;
use crate::listener::Clients;
use crate::state::RouterState;
use lanegate_config::configuration::Limits;
use lanegate_config::demand::DemandReport;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until};

/// Pause between two ticks: limits are met within a second, for one wake-up a second.
const TICK: Duration = Duration::from_secs(1);
/// Shortest pause between two reports of demand that no endpoint can serve; requests wait for these.
const URGENT_PAUSE: Duration = Duration::from_millis(20);
/// Time after a request's deadline at which a client that does not take its answer is left.
const STALLED_ANSWER: Duration = Duration::from_secs(2);
/// Idle times after which a client that has not even taken its last answer is left.
const STALLED_IDLE_TIMES: f64 = 2.0;
/// Ticks between two lines of counts in the log.
const TICKS_PER_LOG: u32 = 60;

/// Ticks for as long as it is polled.
pub async fn maintain(state: Rc<RouterState>, clients: Rc<Clients>, demand: UnboundedSender<DemandReport>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut until_log = TICKS_PER_LOG;
    loop {
        let now = tokio::select! {
            now = ticks.tick() => now,
            () = state.unplaced.notified() => {
                report(&state, &demand);
                sleep(URGENT_PAUSE).await;
                continue;
            }
        };
        let limits = state.routing().map(|routing| routing.limits().clone()).unwrap_or_default();
        let swept_at = if state.makes(RouterFault::SweepByPresentTime) { Instant::now() } else { now };
        clients.each(|activity| sweep(activity, &limits, swept_at));
        state.pool.close_stale(now);
        report(&state, &demand);
        until_log -= 1;
        if until_log == 0 {
            until_log = TICKS_PER_LOG;
            state.counters.log();
        }
    }
}

fn report(state: &RouterState, demand: &UnboundedSender<DemandReport>) {
    let report = state.decide(|dispatcher, now| dispatcher.demand_report(now));
    if demand.send(report).is_err() {
        log::trace!("nobody listens for demand");
    }
}

/// Ends a connection that has been idle, or has stalled within a request, for longer than allowed.
///
/// `now` is the time at which the tick was due. After a standstill of the process that is long ago, so what came
/// meanwhile, and what the dispatcher has to end, is answered before any connection is judged by the present time.
fn sweep(activity: &Activity, limits: &Limits, now: Instant) {
    let spent = now.saturating_duration_since(activity.since());
    let over = |milliseconds: f64| spent.as_secs_f64() * 1_000.0 > milliseconds;
    match activity.phase() {
        Phase::Idle if over(limits.idle_timeout_ms * STALLED_IDLE_TIMES) => activity.ask(Order::Abort),
        Phase::Idle if over(limits.idle_timeout_ms) => activity.ask(Order::Finish),
        Phase::Head if over(limits.header_timeout_ms) => activity.ask(Order::Abort),
        Phase::Body if over(limits.idle_timeout_ms) => activity.ask(Order::Abort),
        Phase::Answering if now > activity.answer_by().max(activity.since()) + STALLED_ANSWER => {
            activity.ask(Order::Abort);
        }
        Phase::Idle | Phase::Head | Phase::Body | Phase::Answering => {}
    }
}

/// Calls the dispatcher when it has asked for that, for as long as it is polled.
pub async fn keep_time(state: Rc<RouterState>) {
    loop {
        let Some(wake) = state.armed() else {
            state.rearm.notified().await;
            continue;
        };
        tokio::select! {
            () = sleep_until(state.instant_of(wake)) => state.wake_dispatcher(),
            () = state.rearm.notified() => {}
        }
    }
}
