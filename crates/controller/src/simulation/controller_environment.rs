//! The outside of a simulated controller: what it asks for is collected, and carried out by the world.

use super::disk::Write;
use crate::controller::{Environment, ServiceAction};
use lanegate_config::settings::{Settings, SettingsError};
use lanegate_coordination::register::Record;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Something that a controller wants done.
#[derive(Debug)]
pub(super) enum Request {
    OpenLink(SocketAddr),
    CloseLink(SocketAddr),
    Write(Write),
    ExecuteAction { action: ServiceAction, epoch: u64, send_by: Duration },
}

/// What a controller and the world share.
#[derive(Debug, Clone)]
pub(super) struct ControllerEnvironment {
    /// Simulated time.
    pub(super) clock: Rc<Cell<Duration>>,
    /// When the process started.
    pub(super) started: Duration,
    pub(super) requests: Rc<RefCell<Vec<Request>>>,
    /// The settings file.
    pub(super) settings: Rc<RefCell<Settings>>,
}

impl Environment for ControllerEnvironment {
    fn now(&self) -> Duration {
        self.clock.get().saturating_sub(self.started)
    }

    fn open_link(&mut self, peer: SocketAddr) {
        self.requests.borrow_mut().push(Request::OpenLink(peer));
    }

    fn close_link(&mut self, peer: SocketAddr) {
        self.requests.borrow_mut().push(Request::CloseLink(peer));
    }

    fn persist(&mut self, shard: u8, token: u64, record: Record) {
        self.requests.borrow_mut().push(Request::Write(Write { shard, token, record }));
    }

    fn execute_action(&mut self, action: ServiceAction, _owner: &str, epoch: u64, send_by: Duration) {
        let send_by = self.started + send_by;
        self.requests.borrow_mut().push(Request::ExecuteAction { action, epoch, send_by });
    }

    fn read_settings(&mut self) -> Result<Settings, SettingsError> {
        Ok(self.settings.borrow().clone())
    }
}
