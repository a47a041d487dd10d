//! Carries a schedule out.

use crate::client::Traffic;
use crate::endpoint::{Condition, Conditions, Endpoints};
use crate::journal::{Journal, What};
use crate::names::Place;
use crate::operator::Operators;
use crate::process::Processes;
use crate::relay::Relays;
use crate::schedule::{Schedule, Trouble};
use rustix::process::Signal;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Pause between two changes of a storm.
const STORM_PAUSE: Duration = Duration::from_millis(150);
/// How often a start that failed is tried again, and the pause between.
const START_TRIES: u32 = 20;
const START_PAUSE: Duration = Duration::from_millis(100);

/// Everything that troubles act on.
#[derive(Clone)]
pub struct Injector {
    pub processes: Rc<Processes>,
    pub relays: Rc<Relays>,
    pub endpoints: Rc<Endpoints>,
    pub operators: Rc<Operators>,
    pub traffic: Rc<Traffic>,
    pub journal: Rc<Journal>,
}

impl Injector {
    /// Begins every trouble at its time, and waits until all are over.
    pub async fn run(&self, schedule: &Schedule) {
        let began = Instant::now();
        let mut under_way = JoinSet::new();
        for (number, step) in schedule.steps.iter().enumerate() {
            sleep_until(began + step.at).await;
            let injector = self.clone();
            let trouble = step.trouble.clone();
            under_way.spawn_local(async move { injector.inject(number, trouble).await });
        }
        while under_way.join_next().await.is_some() {}
        self.journal.note(What::TroublesOver);
    }

    async fn inject(&self, number: usize, trouble: Trouble) {
        self.journal.note(What::TroubleBegan { number, trouble: trouble.clone() });
        self.carry_out(trouble).await;
        self.journal.note(What::TroubleEnded { number });
    }

    async fn carry_out(&self, trouble: Trouble) {
        match trouble {
            Trouble::Kill { place, down } => {
                self.processes.kill(place).await;
                sleep(down).await;
                self.start(place).await;
            }
            Trouble::Terminate { place, down } => {
                self.processes.terminate(place).await;
                sleep(down).await;
                self.start(place).await;
            }
            Trouble::Wipe { controller, down } => {
                let place = Place::Controller(controller);
                self.processes.kill(place).await;
                self.processes.wipe(controller);
                sleep(down).await;
                self.start(place).await;
            }
            Trouble::Blackout { down } => {
                let all = self.processes.controllers();
                self.processes.kill_all(&all).await;
                sleep(down).await;
                for place in all {
                    self.start(place).await;
                }
            }
            Trouble::Hangup { place } => self.processes.signal(place, Signal::HUP),
            Trouble::Freeze { place, lasts } => {
                self.processes.signal(place, Signal::STOP);
                sleep(lasts).await;
                self.processes.signal(place, Signal::CONT);
            }
            Trouble::Cut { from, controller, lasts } => {
                self.relays.cut(from, controller, true);
                sleep(lasts).await;
                self.relays.cut(from, controller, false);
            }
            Trouble::Isolate { controller, lasts } => {
                self.relays.isolate(controller, true);
                sleep(lasts).await;
                self.relays.isolate(controller, false);
            }
            Trouble::Reset { from, controller } => self.relays.reset(from, controller),
            Trouble::EndpointCrash { endpoint, down } => {
                self.endpoints.crash(endpoint);
                self.start_endpoint(endpoint, down).await;
            }
            Trouble::EndpointLeave { endpoint, announced, down } => {
                self.endpoints.leave(endpoint, announced).await;
                self.start_endpoint(endpoint, down).await;
            }
            Trouble::EndpointSlow { endpoint, lasts } => {
                self.during(lasts, endpoint, |conditions| &conditions.slow).await;
            }
            Trouble::OrderAnswersLost { endpoint, lasts } => {
                self.during(lasts, endpoint, |conditions| &conditions.order_answers_lost).await;
            }
            Trouble::OrdersDelayed { endpoint, lasts } => {
                self.during(lasts, endpoint, |conditions| &conditions.orders_delayed).await;
            }
            Trouble::HeartbeatAnswersLost { endpoint, lasts } => {
                self.during(lasts, endpoint, |conditions| &conditions.heartbeat_answers_lost).await;
            }
            Trouble::HeartbeatsLate { endpoint, lasts } => {
                self.during(lasts, endpoint, |conditions| &conditions.heartbeats_late).await;
            }
            Trouble::HeartbeatsHeld { endpoint, lasts } => {
                self.during(lasts, endpoint, |conditions| &conditions.heartbeats_held).await;
            }
            Trouble::AcknowledgementsLost { lasts } => {
                self.operators.acknowledgements_lost.set(true);
                sleep(lasts).await;
                self.operators.acknowledgements_lost.set(false);
            }
            Trouble::Changes { count, relevant } => self.change(count, relevant).await,
            Trouble::DemandMoves { first } => self.traffic.move_demand(first),
        }
    }

    /// Starts a process again; its address may still be held by the one that was killed.
    async fn start(&self, place: Place) {
        for _ in 0..START_TRIES {
            if self.processes.start(place, false).is_ok() {
                return;
            }
            sleep(START_PAUSE).await;
        }
    }

    async fn start_endpoint(&self, endpoint: u8, down: Duration) {
        sleep(down).await;
        for _ in 0..START_TRIES {
            if self.endpoints.start(endpoint).await.is_ok() {
                return;
            }
            sleep(START_PAUSE).await;
        }
    }

    async fn during(&self, lasts: Duration, endpoint: u8, condition: impl Fn(&Conditions) -> &Condition) {
        let Some(conditions) = self.endpoints.conditions(endpoint) else { return };
        condition(&conditions).set(true);
        sleep(lasts).await;
        condition(&conditions).set(false);
    }

    /// Two operators at once, each one change after the other.
    async fn change(&self, count: u32, relevant: bool) {
        let first = async {
            for _ in 0..count.div_ceil(2) {
                self.operators.change(relevant).await;
                sleep(STORM_PAUSE).await;
            }
        };
        let second = async {
            for _ in 0..count / 2 {
                self.operators.change(false).await;
                sleep(STORM_PAUSE).await;
            }
        };
        tokio::join!(first, second);
    }
}
