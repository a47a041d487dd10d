//! The environment of a simulated agent: collects its requests, which the world executes.

use super::environment::SimulatedEnvironment;
use crate::agent::Environment;
use crate::message::Hello;
use lanegate_config::settings::{Settings, SettingsError};
use std::net::SocketAddr;
use std::time::Duration;

/// A request of an agent.
#[derive(Debug)]
pub(super) enum Request {
    Follow { source: SocketAddr, hello: Hello },
    Unfollow(SocketAddr),
}

impl Environment for SimulatedEnvironment<Request> {
    fn now(&self) -> Duration {
        self.process_time()
    }

    fn follow(&mut self, source: SocketAddr, hello: Hello) {
        self.request(Request::Follow { source, hello });
    }

    fn unfollow(&mut self, source: SocketAddr) {
        self.request(Request::Unfollow(source));
    }

    fn read_settings(&mut self) -> Result<Settings, SettingsError> {
        Ok(self.settings_file())
    }
}
