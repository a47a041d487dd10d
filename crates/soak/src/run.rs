//! One run: starts a system, lets clients ask, troubles it, and judges what was seen.

use crate::audit::{self, Verdict};
use crate::catalog::ENDPOINTS;
use crate::client::Traffic;
use crate::endpoint::Endpoints;
use crate::entry::Entry;
use crate::injection::Injector;
use crate::journal::{Event, Journal, What};
use crate::layout::{Layout, run_folder};
use crate::metrics;
use crate::operator::Operators;
use crate::process::Processes;
use crate::relay::Relays;
use crate::schedule::{Draw, Schedule};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Controllers of a run.
const CONTROLLERS: u8 = 3;
/// Routers of a run, each with its agent.
const ROUTERS: u8 = 6;
/// Longest wait for the whole system to come up.
const START_TIME: Duration = Duration::from_secs(40);
/// Time after the last trouble in which everything has to be served again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time of traffic after that, by which it is judged.
const PROOF_TIME: Duration = Duration::from_secs(3);
/// Shortest traffic: some time for troubles is left.
pub const LEAST_TIME: Duration = Duration::from_secs(20);
/// Time between two readings of the configuration.
const READ_PERIOD: Duration = Duration::from_millis(400);
/// Rounds in which the configuration is read back from each controller at the end.
const LAST_READS: u32 = 3;
/// How often it is looked whether everything is up.
const START_PAUSE: Duration = Duration::from_millis(100);

/// What is to be run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    /// Time of traffic.
    pub length: Duration,
    /// Drawn from the seed if there is none.
    pub schedule: Option<Schedule>,
    /// The `lanegate` program.
    pub program: PathBuf,
    /// A folder for the folder of this run.
    pub folder: PathBuf,
}

/// Why there was no run.
#[derive(Debug, Error)]
pub enum RunError {
    #[error("the system could not be started: {0}")]
    Start(#[from] io::Error),
    #[error("the system did not come up within {} s; its logs are in {}", START_TIME.as_secs(), folder.display())]
    NotReady { folder: PathBuf },
}

/// What a run gave.
#[derive(Debug)]
pub struct Report {
    pub schedule: Schedule,
    pub events: Vec<Event>,
    pub verdict: Verdict,
    pub layout: Rc<Layout>,
}

impl Plan {
    /// The troubles of this run.
    pub fn schedule(&self) -> Schedule {
        let tail = RECOVERY_TIME + PROOF_TIME;
        let draw = || Draw::new(self.seed, CONTROLLERS, ROUTERS, ENDPOINTS);
        let until = self.length.max(LEAST_TIME) - tail;
        self.schedule.clone().unwrap_or_else(|| draw().schedule(Draw::flavour(self.seed), until))
    }

    /// Runs it on this thread; all processes have ended when this returns, or is dropped.
    pub async fn run(&self) -> Result<Report, RunError> {
        LocalSet::new().run_until(self.run_here()).await
    }

    async fn run_here(&self) -> Result<Report, RunError> {
        let folder = run_folder(&self.folder, self.seed);
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        let layout = Rc::new(Layout::place(CONTROLLERS, ROUTERS, ENDPOINTS, folder)?);
        let schedule = self.schedule();
        std::fs::write(layout.folder.join("schedule.txt"), schedule.to_string())?;
        let journal = Rc::new(Journal::begin());
        let system = System::start(self, layout.clone(), journal.clone()).await?;
        let done = system.play(self.seed, &schedule).await;
        system.injector.processes.end_all().await;
        done?;
        let events = journal.events();
        std::fs::write(layout.folder.join("journal.txt"), text_of(&events))?;
        let verdict = audit::judge(&events);
        Ok(Report { schedule, events, verdict, layout })
    }
}

/// The journal as it is kept with the logs.
fn text_of(events: &[Event]) -> String {
    events.iter().map(|event| format!("{:.3} {:?}\n", event.at.as_secs_f64(), event.what)).collect()
}

/// The processes and the stand-ins around them.
struct System {
    layout: Rc<Layout>,
    entry: Rc<Entry>,
    injector: Injector,
}

impl System {
    async fn start(plan: &Plan, layout: Rc<Layout>, journal: Rc<Journal>) -> io::Result<Self> {
        let relays = Rc::new(Relays::start(&layout).await?);
        let processes = Processes::new(plan.program.clone(), layout.clone(), journal.clone());
        for place in layout.processes() {
            processes.start(place, true)?;
        }
        let endpoints = Endpoints::new(layout.clone(), journal.clone());
        for number in 1..=layout.endpoints {
            endpoints.start(number).await?;
        }
        let entry = Entry::start(layout.clone(), journal.clone());
        let operators = Operators::new(layout.clone(), journal.clone());
        let traffic = Traffic::new(layout.clone(), journal.clone(), entry.clone());
        let injector = Injector { processes, relays, endpoints, operators, traffic, journal };
        Ok(System { layout, entry, injector })
    }

    async fn play(&self, seed: u64, schedule: &Schedule) -> Result<(), RunError> {
        let Injector { operators, traffic, journal, .. } = &self.injector;
        if timeout(START_TIME, self.come_up()).await.is_err() {
            return Err(RunError::NotReady { folder: self.layout.folder.clone() });
        }
        journal.note(What::TrafficBegan);
        let asking = traffic.start(seed);
        let reading = spawn_local(read_all_the_time(operators.clone(), self.layout.clone()));
        let counting = spawn_local(metrics::read_all_the_time(self.layout.clone(), journal.clone()));
        self.injector.run(schedule).await;
        sleep(RECOVERY_TIME + PROOF_TIME).await;
        traffic.stop();
        // A panic there has been printed; the journal then lacks the end of the traffic.
        if asking.await.is_ok() {
            journal.note(What::TrafficEnded);
        }
        reading.abort();
        self.read_back().await;
        counting.abort();
        metrics::read_at_the_end(&self.layout, journal).await;
        Ok(())
    }

    async fn come_up(&self) {
        self.injector.operators.begin().await;
        while !self.entry.is_complete() {
            sleep(START_PAUSE).await;
        }
    }

    async fn read_back(&self) {
        for _ in 0..LAST_READS {
            for controller in 1..=self.layout.controllers {
                self.injector.operators.read(controller).await;
            }
        }
    }
}

async fn read_all_the_time(operators: Rc<Operators>, layout: Rc<Layout>) {
    for turn in 0_u32.. {
        let controller = (turn % u32::from(layout.controllers)) as u8 + 1;
        spawn_local({
            let operators = operators.clone();
            async move { operators.read(controller).await }
        });
        sleep(READ_PERIOD).await;
    }
}
