//! Stand-ins for operators: they change the configuration until the answer is clear, and read it back.

use crate::catalog::{MARK, Service, configuration, mark_route, movable_route};
use crate::endpoint::Condition;
use crate::journal::{ChangeFacts, Journal, Read, What};
use crate::layout::Layout;
use crate::random::unseeded;
use lanegate_config::configuration::Configuration;
use lanegate_control_http::{ClientRequest, ClientResponse, ControlMethod, call};
use rand::Rng;
use serde_json::json;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after an answer that says nothing; it grows.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Redirects that are followed.
const MOST_REDIRECTS: u32 = 2;
/// Longest time for which one change is sent again.
const CHANGE_TIME: Duration = Duration::from_secs(20);
/// Changes between two that replace the whole configuration.
const WHOLE_EVERY: u64 = 4;

/// What the operators share.
pub struct Operators {
    layout: Rc<Layout>,
    journal: Rc<Journal>,
    /// Answers to them are lost.
    pub acknowledgements_lost: Condition,
    next_change: Cell<u64>,
}

/// A change that is to be made.
struct Change {
    facts: ChangeFacts,
    request: ClientRequest,
}

impl Operators {
    /// Operators that have sent nothing yet.
    pub fn new(layout: Rc<Layout>, journal: Rc<Journal>) -> Rc<Self> {
        let acknowledgements_lost = Condition::default();
        Rc::new(Operators { layout, journal, acknowledgements_lost, next_change: Cell::new(1) })
    }

    /// Sends the first configuration until it is taken.
    pub async fn begin(&self) {
        let change = self.whole_change(0, 1, Service::Primary);
        self.send(change).await;
    }

    /// Makes one change on top of what is read; `relevant` ones move a route.
    pub async fn change(&self, relevant: bool) {
        let Some((version, moved_to)) = self.read_current().await else { return };
        let to = match (relevant, moved_to) {
            (false, service) => service,
            (true, Service::Primary) => Service::Secondary,
            (true, _) => Service::Primary,
        };
        let next = version + unseeded().random_range(1..=3);
        let is_whole = self.next_change.get().is_multiple_of(WHOLE_EVERY);
        let change =
            if is_whole { self.whole_change(version, next, to) } else { self.patch(version, next, to) };
        self.send(change).await;
    }

    fn next_change(&self) -> u64 {
        let change = self.next_change.get();
        self.next_change.set(change + 1);
        change
    }

    fn whole_change(&self, base: u64, version: u64, moved_to: Service) -> Change {
        let change = self.next_change();
        let body = configuration(version, change, moved_to).to_string();
        Change::new(ChangeFacts { change, base, version, moved_to }, ControlMethod::Put, body)
    }

    fn patch(&self, base: u64, version: u64, moved_to: Service) -> Change {
        let change = self.next_change();
        let routes = [mark_route(change), movable_route(moved_to)];
        let body = json!({"Version": version, "Upsert": {"Routes": routes}}).to_string();
        Change::new(ChangeFacts { change, base, version, moved_to }, ControlMethod::Patch, body)
    }

    /// Sends a change unchanged, to any controller, until the answer is clear.
    async fn send(&self, change: Change) {
        let Change { facts, request } = change;
        self.journal.note(What::ChangeSent(facts));
        let until = Instant::now() + CHANGE_TIME;
        let mut pause = RETRY_PAUSE;
        while Instant::now() < until {
            let controller = self.any_controller();
            let answer = self.call(controller, &request).await;
            if self.is_clear(facts.change, controller, answer) {
                return;
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Whether the answer ends the change.
    fn is_clear(&self, change: u64, controller: u8, answer: Option<ClientResponse>) -> bool {
        match answer.map(|answer| answer.status) {
            Some(200) if self.acknowledgements_lost.is_on() => {
                self.journal.note(What::AcknowledgementLost { change, controller });
                false
            }
            Some(200) => {
                self.journal.note(What::ChangeAcknowledged { change, controller });
                true
            }
            Some(status @ (400 | 409 | 412 | 413 | 422)) => {
                self.journal.note(What::ChangeRefused { change, controller, status });
                true
            }
            _ => false,
        }
    }

    /// Reads once from a controller.
    pub async fn read(&self, controller: u8) -> Option<(u64, Service)> {
        let sent = self.journal.now();
        let answer = self.call(controller, &ClientRequest::get("/config")).await?;
        let configuration: Configuration =
            (answer.status == 200).then(|| serde_json::from_slice(&answer.body).ok())??;
        let change = change_of(&configuration);
        let read =
            Read { controller, sent, version: configuration.version, change, digest: digest(&answer.body) };
        self.journal.note(What::Read(read));
        let lookup = configuration.routes.iter().find(|route| route.name == "lookup");
        let is_moved = lookup.and_then(|route| route.named_backend()) == Some(Service::Secondary.name());
        let moved_to = if is_moved { Service::Secondary } else { Service::Primary };
        Some((configuration.version, moved_to))
    }

    async fn read_current(&self) -> Option<(u64, Service)> {
        let until = Instant::now() + CHANGE_TIME;
        while Instant::now() < until {
            if let Some(read) = self.read(self.any_controller()).await {
                return Some(read);
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    fn any_controller(&self) -> u8 {
        unseeded().random_range(1..=self.layout.controllers)
    }

    async fn call(&self, controller: u8, request: &ClientRequest) -> Option<ClientResponse> {
        let mut address = self.layout.control(controller);
        for _ in 0..=MOST_REDIRECTS {
            let answer = call(address, request, PATIENCE).await.ok()?;
            if answer.status != 307 {
                return Some(answer);
            }
            address = redirected(&answer)?;
        }
        None
    }
}

impl Change {
    fn new(facts: ChangeFacts, method: ControlMethod, body: String) -> Self {
        let request = ClientRequest {
            method,
            if_match: Some(facts.base),
            body: body.into(),
            ..ClientRequest::get("/config")
        };
        Change { facts, request }
    }
}

fn redirected(answer: &ClientResponse) -> Option<SocketAddr> {
    answer.location.as_ref()?.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// The change that made a configuration, as its mark tells.
fn change_of(configuration: &Configuration) -> Option<u64> {
    let mark = configuration.routes.iter().find(|route| route.name == MARK)?;
    mark.path_prefix.trim_matches('/').strip_prefix(MARK)?.strip_prefix('-')?.parse().ok()
}

fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
