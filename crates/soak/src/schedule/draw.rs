//! Draws schedules.

use super::{Schedule, Step, Trouble};
use crate::catalog::{MODELS, Service};
use crate::names::Place;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Traffic before the first trouble.
const QUIET_START: Duration = Duration::from_secs(2);
/// Longest time between two troubles that follow one another.
const MOST_PAUSE_MS: u64 = 4_000;
/// Shortest such time.
const LEAST_PAUSE_MS: u64 = 400;
/// Time between the ends of machines that are stopped in turn.
const ROLL_PAUSE_MS: u64 = 2_500;

/// What kinds of trouble a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flavour {
    /// Only what operators and endpoints announce.
    Planned,
    /// Mostly troubles of the control plane.
    Control,
    /// Mostly troubles of engines and their orders.
    Engines,
    /// Anything.
    Mixed,
}

/// Draws one schedule.
#[derive(Debug)]
pub struct Draw {
    random: SmallRng,
    controllers: u8,
    routers: u8,
    endpoints: u8,
    /// Whether a disk was lost; no more may be in one run.
    wiped: bool,
}

impl Draw {
    /// For a system of this size.
    pub fn new(seed: u64, controllers: u8, routers: u8, endpoints: u8) -> Self {
        Draw { random: SmallRng::seed_from_u64(seed), controllers, routers, endpoints, wiped: false }
    }

    /// The flavour that the seed has by itself.
    pub fn flavour(seed: u64) -> Flavour {
        match seed % 4 {
            0 => Flavour::Mixed,
            1 => Flavour::Planned,
            2 => Flavour::Control,
            _ => Flavour::Engines,
        }
    }

    /// Troubles that begin before `until`.
    pub fn schedule(mut self, flavour: Flavour, until: Duration) -> Schedule {
        let mut steps = Vec::new();
        let mut at = QUIET_START;
        while at < until {
            let drawn = self.troubles(flavour);
            let pause = if drawn.len() > 1 { ROLL_PAUSE_MS } else { 0 };
            let starts = (0..).map(|index| at + Duration::from_millis(pause * index));
            let fitting = starts.zip(drawn).take_while(|(start, _)| *start < until);
            steps.extend(fitting.map(|(at, trouble)| Step { at, trouble }));
            at += self.milliseconds(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        }
        steps.sort_by_key(|step| step.at);
        Schedule { steps }
    }

    /// One trouble, or the steps of a roll.
    fn troubles(&mut self, flavour: Flavour) -> Vec<Trouble> {
        match flavour {
            Flavour::Planned => self.planned(),
            Flavour::Control if self.chance(0.75) => vec![self.of_control()],
            Flavour::Engines if self.chance(0.75) => vec![self.of_engines()],
            Flavour::Control | Flavour::Engines | Flavour::Mixed => match self.random.random_range(0..4) {
                0 => self.planned(),
                1 => vec![self.of_control()],
                2 => vec![self.of_engines()],
                _ => vec![self.of_edge()],
            },
        }
    }

    fn planned(&mut self) -> Vec<Trouble> {
        match self.random.random_range(0..9) {
            0 => {
                let first = self.random.random_range(0..self.routers);
                let count = self.random.random_range(2..=4.min(self.routers));
                let down = self.milliseconds(300, 1_500);
                let routers = (0..count).map(|index| (first + index) % self.routers + 1);
                routers.map(|number| Trouble::Terminate { place: Place::Router(number), down }).collect()
            }
            1 => vec![Trouble::Terminate { place: self.router(), down: self.milliseconds(300, 1_500) }],
            2 => vec![Trouble::Terminate { place: self.agent(), down: self.milliseconds(300, 1_500) }],
            3 => {
                let place = Place::Controller(self.controller());
                vec![Trouble::Terminate { place, down: self.milliseconds(300, 1_500) }]
            }
            4 => vec![Trouble::Hangup { place: self.process() }],
            5 => {
                let endpoint = self.endpoint();
                let announced = self.chance(0.75);
                vec![Trouble::EndpointLeave { endpoint, announced, down: self.milliseconds(500, 3_000) }]
            }
            6 => vec![self.changes(false)],
            7 => vec![self.changes(true)],
            _ => vec![self.demand()],
        }
    }

    fn of_control(&mut self) -> Trouble {
        let controller = self.controller();
        let place = Place::Controller(controller);
        match self.random.random_range(0..11) {
            9 if !self.wiped => {
                self.wiped = true;
                Trouble::Wipe { controller, down: self.milliseconds(300, 2_000) }
            }
            10 => Trouble::Blackout { down: self.milliseconds(300, 2_000) },
            0 => Trouble::Kill { place, down: self.milliseconds(200, 3_000) },
            1 => Trouble::Freeze { place, lasts: self.milliseconds(300, 5_000) },
            2 => Trouble::Isolate { controller, lasts: self.milliseconds(500, 6_000) },
            3 | 4 => {
                let from = self.linked_to(controller);
                Trouble::Cut { from, controller, lasts: self.milliseconds(500, 6_000) }
            }
            5 => Trouble::Reset { from: self.linked_to(controller), controller },
            6 => Trouble::AcknowledgementsLost { lasts: self.milliseconds(1_000, 4_000) },
            7 => {
                let endpoint = self.endpoint();
                Trouble::HeartbeatAnswersLost { endpoint, lasts: self.milliseconds(1_000, 5_000) }
            }
            _ => {
                let relevant = self.chance(0.5);
                self.changes(relevant)
            }
        }
    }

    fn of_engines(&mut self) -> Trouble {
        let endpoint = self.engine();
        let controller = self.controller();
        let place = Place::Controller(controller);
        match self.random.random_range(0..17) {
            15 | 16 => Trouble::HeartbeatsHeld { endpoint, lasts: self.milliseconds(1_000, 6_000) },
            13 | 14 => Trouble::HeartbeatsLate { endpoint, lasts: self.milliseconds(3_000, 10_000) },
            0 => Trouble::EndpointCrash { endpoint, down: self.milliseconds(500, 4_000) },
            1 => Trouble::EndpointLeave { endpoint, announced: true, down: self.milliseconds(500, 3_000) },
            2 => Trouble::EndpointSlow { endpoint, lasts: self.milliseconds(1_000, 5_000) },
            3 | 4 => Trouble::OrderAnswersLost { endpoint, lasts: self.milliseconds(1_000, 6_000) },
            5 => Trouble::OrdersDelayed { endpoint, lasts: self.milliseconds(1_000, 6_000) },
            6 => Trouble::Freeze { place, lasts: self.milliseconds(1_000, 5_000) },
            7 => Trouble::Kill { place, down: self.milliseconds(200, 2_000) },
            8 => Trouble::Isolate { controller, lasts: self.milliseconds(1_000, 5_000) },
            _ => self.demand(),
        }
    }

    fn of_edge(&mut self) -> Trouble {
        let place = if self.chance(0.5) { self.router() } else { self.agent() };
        match self.random.random_range(0..4) {
            0 => Trouble::Kill { place, down: self.milliseconds(200, 2_000) },
            1 => Trouble::Freeze { place, lasts: self.milliseconds(300, 4_000) },
            2 => Trouble::EndpointCrash { endpoint: self.endpoint(), down: self.milliseconds(500, 3_000) },
            _ => Trouble::EndpointSlow { endpoint: self.endpoint(), lasts: self.milliseconds(1_000, 4_000) },
        }
    }

    fn changes(&mut self, relevant: bool) -> Trouble {
        Trouble::Changes { count: self.random.random_range(1..=6), relevant }
    }

    fn demand(&mut self) -> Trouble {
        Trouble::DemandMoves { first: self.random.random_range(0..MODELS.len()) }
    }

    fn chance(&mut self, part: f64) -> bool {
        self.random.random_bool(part)
    }

    fn milliseconds(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..=most))
    }

    fn controller(&mut self) -> u8 {
        self.random.random_range(1..=self.controllers)
    }

    fn router(&mut self) -> Place {
        Place::Router(self.random.random_range(1..=self.routers))
    }

    fn agent(&mut self) -> Place {
        Place::Agent(self.random.random_range(1..=self.routers))
    }

    fn process(&mut self) -> Place {
        match self.random.random_range(0..3) {
            0 => self.router(),
            1 => self.agent(),
            _ => Place::Controller(self.controller()),
        }
    }

    fn endpoint(&mut self) -> u8 {
        self.random.random_range(1..=self.endpoints)
    }

    fn engine(&mut self) -> u8 {
        loop {
            let endpoint = self.endpoint();
            if Service::of_endpoint(endpoint) == Service::Engines {
                return endpoint;
            }
        }
    }

    /// Another process with links to this controller.
    fn linked_to(&mut self, controller: u8) -> Place {
        if self.chance(0.4) {
            return self.agent();
        }
        loop {
            let other = self.controller();
            if other != controller || self.controllers == 1 {
                return Place::Controller(other);
            }
        }
    }
}
