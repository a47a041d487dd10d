//! State shared between a simulated process and the world: clock, requests and settings file.

use lanegate_config::settings::Settings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The environment of a simulated process. Its requests are collected, and the world executes them.
#[derive(Debug)]
pub(super) struct SimulatedEnvironment<Request> {
    /// Simulated time.
    clock: Rc<Cell<Duration>>,
    /// When the process started.
    pub(super) started: Duration,
    requests: Rc<RefCell<Vec<Request>>>,
    /// The settings file.
    settings: Rc<RefCell<Settings>>,
}

impl<Request> SimulatedEnvironment<Request> {
    /// The environment of a process that starts now.
    pub(super) fn new(clock: Rc<Cell<Duration>>, settings: Rc<RefCell<Settings>>) -> Self {
        let started = clock.get();
        SimulatedEnvironment { clock, started, requests: Rc::default(), settings }
    }

    /// Another handle to the same environment.
    pub(super) fn share(&self) -> Self {
        SimulatedEnvironment {
            clock: self.clock.clone(),
            started: self.started,
            requests: self.requests.clone(),
            settings: self.settings.clone(),
        }
    }

    /// Time since the process started.
    pub(super) fn process_time(&self) -> Duration {
        self.clock.get().saturating_sub(self.started)
    }

    /// Adds a request of the process.
    pub(super) fn request(&self, request: Request) {
        self.requests.borrow_mut().push(request);
    }

    /// Removes and returns the requests that the process has made.
    pub(super) fn take_requests(&self) -> Vec<Request> {
        std::mem::take(&mut *self.requests.borrow_mut())
    }

    /// The settings file as it is now.
    pub(super) fn settings_file(&self) -> Settings {
        self.settings.borrow().clone()
    }
}
