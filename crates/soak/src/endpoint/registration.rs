//! How an endpoint makes itself known: heartbeats, the word that it is leaving, and its end.

use super::incarnation::{Incarnation, State};
use crate::catalog::Service;
use crate::journal::What;
use crate::layout::{DRAIN_MS, HEARTBEAT_MS, Layout};
use crate::random::unseeded;
use lanegate_control_http::{ClientRequest, ClientResponse, ControlMethod, call};
use rand::Rng;
use serde_json::json;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause before the next controller is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// An endpoint that leaves ends after so long without an acknowledgement.
const LEAVING_PATIENCE: Duration = Duration::from_secs(6);
/// Longest time for which a leaving endpoint finishes what runs.
const FINISHING_TIME: Duration = Duration::from_secs(12);
/// How often it looks whether anything runs.
const FINISHING_PAUSE: Duration = Duration::from_millis(50);
/// Longest extra time for which an endpoint serves on after `DrainMs`, ms.
const MOST_EXTRA_MS: u64 = 800;

/// How late a late heartbeat is, ms.
const LATE_MS: RangeInclusive<u64> = 300..=4_000;

/// Which controller an endpoint calls.
#[derive(Clone)]
pub struct Registrar {
    endpoint: Rc<Incarnation>,
    layout: Rc<Layout>,
    controller: u8,
    /// Where an answer wanted the later heartbeats.
    told: Option<SocketAddr>,
    /// How late heartbeats of this endpoint are when they are late.
    lateness: Duration,
}

impl Registrar {
    /// Begins with any controller.
    pub fn new(endpoint: Rc<Incarnation>, layout: Rc<Layout>) -> Self {
        let controller = unseeded().random_range(1..=layout.controllers);
        let lateness = Duration::from_millis(unseeded().random_range(LATE_MS));
        Registrar { endpoint, layout, controller, told: None, lateness }
    }

    /// Sends heartbeats until the endpoint leaves or ends.
    pub async fn beat(mut self) {
        let endpoint = self.endpoint.clone();
        let period = Duration::from_millis(HEARTBEAT_MS);
        while endpoint.state.get() == State::Ready && !endpoint.has_ended() {
            let request = self.registration();
            while endpoint.conditions.heartbeats_held.is_on() && !endpoint.has_ended() {
                sleep(RETRY_PAUSE).await;
            }
            if endpoint.conditions.heartbeats_late.is_on() {
                spawn_local(self.clone().send_late(request));
                sleep(period).await;
                continue;
            }
            if self.call(&request).await.is_none() {
                sleep(RETRY_PAUSE).await;
            } else {
                sleep(period).await;
            }
        }
    }

    /// Sends a heartbeat some time after it was written, once.
    async fn send_late(mut self, request: ClientRequest) {
        sleep(self.lateness).await;
        if !self.endpoint.has_ended() {
            self.call(&request).await;
        }
    }

    /// Leaves in good order; `announced`: with the word that it drains, else by its removal alone.
    pub async fn leave(mut self, announced: bool) {
        let endpoint = self.endpoint.clone();
        endpoint.state.set(State::Draining);
        let acknowledged = timeout(LEAVING_PATIENCE, self.say_leaving(announced)).await;
        if let Ok(controller) = acknowledged {
            endpoint.journal.note(What::LeavingAcknowledged { instance: endpoint.id, controller });
            let extra = unseeded().random_range(0..=MOST_EXTRA_MS);
            sleep(Duration::from_millis(DRAIN_MS + extra)).await;
        }
        let finished = async {
            while endpoint.active() > 0 {
                sleep(FINISHING_PAUSE).await;
            }
        };
        let _ = timeout(FINISHING_TIME, finished).await;
        if announced {
            let _ = timeout(PATIENCE, self.say_leaving(false)).await;
        }
        endpoint.end();
    }

    /// Repeats it until a controller acknowledges; gives that controller.
    async fn say_leaving(&mut self, announced: bool) -> u8 {
        loop {
            let request = if announced { self.registration() } else { self.removal() };
            if let Some(controller) = self.call(&request).await {
                return controller;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    fn path(&self) -> String {
        format!("/instances/{}", self.endpoint.id)
    }

    fn removal(&self) -> ClientRequest {
        ClientRequest { method: ControlMethod::Delete, ..ClientRequest::get(self.path()) }
    }

    fn registration(&self) -> ClientRequest {
        let endpoint = &self.endpoint;
        let sequence = endpoint.sequence.get() + 1;
        endpoint.sequence.set(sequence);
        let state = if endpoint.state.get() == State::Draining { "draining" } else { "ready" };
        let mut body = json!({
            "Backend": endpoint.service.name(), "Address": self.layout.endpoint(endpoint.id.endpoint),
            "Zone": self.layout.zone(endpoint.id.place()), "Version": "v1", "Capacity": endpoint.service.capacity(),
            "State": state, "ColdLeftMs": 0, "Sequence": sequence,
        });
        if endpoint.service == Service::Engines {
            body["Phase"] = json!("prefill_decode");
            body["Models"] = endpoint.engine.borrow().models_value();
        }
        ClientRequest {
            method: ControlMethod::Put,
            body: body.to_string().into(),
            ..ClientRequest::get(self.path())
        }
    }

    /// Calls the present controller; after a failure the next call goes to another one.
    async fn call(&mut self, request: &ClientRequest) -> Option<u8> {
        let address = self.told.unwrap_or_else(|| self.layout.control(self.controller));
        let answer = call(address, request, PATIENCE).await.ok();
        let lost = self.endpoint.conditions.heartbeat_answers_lost.is_on();
        match answer.filter(|answer| (200..300).contains(&answer.status) && !lost) {
            Some(answer) => {
                self.told = heartbeat_address(&answer).or(self.told);
                Some(self.layout.controller_at(address.ip()).unwrap_or_default())
            }
            None => {
                self.told = None;
                self.controller = self.controller % self.layout.controllers + 1;
                None
            }
        }
    }
}

fn heartbeat_address(answer: &ClientResponse) -> Option<SocketAddr> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let url = body.get("HeartbeatUrl")?.as_str()?;
    let url = url.strip_prefix("http://").unwrap_or(url);
    url.split('/').next()?.parse().ok()
}
