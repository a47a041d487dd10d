//! The processes of the system: starts, signals and ends.

use crate::journal::{Journal, What};
use crate::layout::{GRACE_S, Layout};
use crate::metrics;
use crate::names::Place;
use rustix::process::{Pid, Signal, kill_process};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};
use tokio::process::{Child, Command};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Pause before a process that ended by itself is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// What the processes log.
const LOG_LEVEL: &str = "debug";

/// All processes of a system. When this is dropped, they are killed.
pub struct Processes {
    program: PathBuf,
    layout: Rc<Layout>,
    journal: Rc<Journal>,
    slots: RefCell<BTreeMap<Place, Slot>>,
    /// Whether the run is over: nothing is started any more.
    over: Cell<bool>,
}

/// One running process.
struct Slot {
    pid: Pid,
    /// Whether its end was ordered.
    ordered: Rc<Cell<bool>>,
    /// Dropped when the task that holds the child is to kill it.
    _keep: oneshot::Sender<()>,
    ended: watch::Receiver<bool>,
}

impl Processes {
    /// No process yet; `program` is `lanegate`.
    pub fn new(program: PathBuf, layout: Rc<Layout>, journal: Rc<Journal>) -> Rc<Self> {
        Rc::new(Processes { program, layout, journal, slots: RefCell::default(), over: Cell::new(false) })
    }

    /// Starts the process of a place; `bootstrap` at the first start of the whole system.
    pub fn start(self: &Rc<Self>, place: Place, bootstrap: bool) -> io::Result<()> {
        if self.over.get() || self.slots.borrow().contains_key(&place) {
            return Ok(());
        }
        let child = self.spawn(place, bootstrap)?;
        let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32)).ok_or(io::ErrorKind::NotFound)?;
        self.journal.note(What::ProcessStarted { place, pid: pid.as_raw_nonzero().get() as u32 });
        let (keep, dropped) = oneshot::channel();
        let (told, ended) = watch::channel(false);
        let ordered = Rc::new(Cell::new(false));
        let slot = Slot { pid, ordered: ordered.clone(), _keep: keep, ended };
        self.slots.borrow_mut().insert(place, slot);
        spawn_local(watch_child(self.clone(), place, child, ordered, dropped, told));
        Ok(())
    }

    fn spawn(&self, place: Place, bootstrap: bool) -> io::Result<Child> {
        let settings = self.layout.write_settings(place, bootstrap)?;
        let log = OpenOptions::new().create(true).append(true).open(self.layout.log(place))?;
        let role = match place {
            Place::Controller(_) => "controller",
            Place::Agent(_) => "agent",
            Place::Router(_) | Place::Endpoint(_) => "router",
        };
        Command::new(&self.program)
            .args(["--log-level", LOG_LEVEL, role])
            .args(metrics::arguments(place))
            .env("LANEGATE_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Sends a signal to the process of a place, if there is one.
    pub fn signal(&self, place: Place, signal: Signal) {
        if let Some(slot) = self.slots.borrow().get(&place) {
            // It may have ended a moment ago.
            let _ = kill_process(slot.pid, signal);
        }
    }

    /// Kills the process of a place and waits for its end.
    pub async fn kill(&self, place: Place) {
        self.order_end(place, Signal::KILL);
        self.wait_for_end(place).await;
    }

    /// Kills the processes of these places at once and waits for their ends.
    pub async fn kill_all(&self, places: &[Place]) {
        for place in places {
            self.order_end(*place, Signal::KILL);
        }
        for place in places {
            self.wait_for_end(*place).await;
        }
    }

    /// The disk of a controller is lost.
    pub fn wipe(&self, controller: u8) {
        // What is not there is lost already; it is made anew at the next start.
        let _ = fs::remove_dir_all(self.layout.data(controller));
    }

    /// The places of all controllers.
    pub fn controllers(&self) -> Vec<Place> {
        (1..=self.layout.controllers).map(Place::Controller).collect()
    }

    /// Asks the process of a place to end; kills it after the time that it has.
    pub async fn terminate(&self, place: Place) {
        self.order_end(place, Signal::TERM);
        if timeout(Duration::from_secs(GRACE_S), self.wait_for_end(place)).await.is_err() {
            self.kill(place).await;
        }
    }

    fn order_end(&self, place: Place, signal: Signal) {
        if let Some(slot) = self.slots.borrow().get(&place) {
            slot.ordered.set(true);
        }
        self.signal(place, signal);
    }

    async fn wait_for_end(&self, place: Place) {
        let ended = self.slots.borrow().get(&place).map(|slot| slot.ended.clone());
        if let Some(mut ended) = ended {
            let _ = ended.wait_for(|ended| *ended).await;
        }
    }

    /// Kills all processes and starts none any more.
    pub async fn end_all(&self) {
        self.over.set(true);
        let places: Vec<Place> = self.slots.borrow().keys().copied().collect();
        self.kill_all(&places).await;
    }
}

/// Holds a child until it ends; it is killed when `dropped` says that nobody wants it any more.
async fn watch_child(
    processes: Rc<Processes>,
    place: Place,
    mut child: Child,
    ordered: Rc<Cell<bool>>,
    dropped: oneshot::Receiver<()>,
    told: watch::Sender<bool>,
) {
    let status = tokio::select! {
        status = child.wait() => status,
        _ = dropped => return,
    };
    let status = status.map_or_else(|error| error.to_string(), |status| status.to_string());
    processes.journal.note(What::ProcessEnded { place, expected: ordered.get(), status });
    processes.slots.borrow_mut().remove(&place);
    told.send_replace(true);
    if !ordered.get() {
        sleep(RESTART_PAUSE).await;
        // What the system says about it shows in its log.
        let _ = processes.start(place, false);
    }
}
