//! The outside of a simulated agent: what it asks for is collected, and carried out by the world.

use crate::agent::Environment;
use crate::message::Hello;
use lanegate_config::settings::{Settings, SettingsError};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Something that an agent wants done.
#[derive(Debug)]
pub(super) enum Request {
    Follow { source: SocketAddr, hello: Hello },
    Unfollow(SocketAddr),
}

/// What an agent and the world share.
#[derive(Debug, Clone)]
pub(super) struct AgentEnvironment {
    /// Simulated time.
    pub(super) clock: Rc<Cell<Duration>>,
    /// When the process started.
    pub(super) started: Duration,
    pub(super) requests: Rc<RefCell<Vec<Request>>>,
    /// The settings file.
    pub(super) settings: Rc<RefCell<Settings>>,
}

impl Environment for AgentEnvironment {
    fn now(&self) -> Duration {
        self.clock.get().saturating_sub(self.started)
    }

    fn follow(&mut self, source: SocketAddr, hello: Hello) {
        self.requests.borrow_mut().push(Request::Follow { source, hello });
    }

    fn unfollow(&mut self, source: SocketAddr) {
        self.requests.borrow_mut().push(Request::Unfollow(source));
    }

    fn read_settings(&mut self) -> Result<Settings, SettingsError> {
        Ok(self.settings.borrow().clone())
    }
}
