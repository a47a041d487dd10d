//! One life of an endpoint: its state, its runs and its engine.

use super::conditions::Conditions;
use super::engine::{Engine, RunOf};
use crate::catalog::Service;
use crate::journal::{Journal, RunEnd, What};
use crate::names::{AttemptId, InstanceId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::watch;

/// What an endpoint says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
}

/// One life of an endpoint.
pub struct Incarnation {
    pub id: InstanceId,
    pub service: Service,
    pub journal: Rc<Journal>,
    pub conditions: Rc<Conditions>,
    pub engine: RefCell<Engine>,
    pub state: Cell<State>,
    /// Heartbeats sent.
    pub sequence: Cell<u64>,
    active: Cell<u32>,
    ended: watch::Sender<bool>,
}

impl Incarnation {
    /// A new life; it serves nothing yet.
    pub fn new(
        id: InstanceId,
        service: Service,
        engine: Engine,
        journal: Rc<Journal>,
        conditions: Rc<Conditions>,
    ) -> Rc<Self> {
        journal.note(What::EndpointStarted { instance: id, service, models: engine.models() });
        Rc::new(Incarnation {
            id,
            service,
            journal,
            conditions,
            engine: RefCell::new(engine),
            state: Cell::new(State::Ready),
            sequence: Cell::new(0),
            active: Cell::new(0),
            ended: watch::Sender::new(false),
        })
    }

    /// Requests that run.
    pub fn active(&self) -> u32 {
        self.active.get()
    }

    /// Whether another request can run.
    pub fn has_room(&self) -> bool {
        self.active.get() < self.service.capacity()
    }

    /// The life is over; everything that waits for [`Incarnation::ended`] goes on.
    pub fn end(&self) {
        if !self.ended.send_replace(true) {
            self.journal.note(What::EndpointEnded { instance: self.id });
        }
    }

    /// Whether it is over.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Done when it is over.
    pub async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        // An error says that this is gone, and with it the life.
        let _ = ended.wait_for(|ended| *ended).await;
    }

    /// A request begins to run.
    pub fn begin_run(self: &Rc<Self>, attempt: AttemptId, of: Option<RunOf>) -> Run {
        self.active.set(self.active.get() + 1);
        if let Some(of) = &of {
            self.engine.borrow_mut().begin_run(of.clone());
        }
        Run { endpoint: self.clone(), attempt, of, end: RunEnd::CallerLeft }
    }
}

/// A request that runs; when this is dropped, the run is over.
pub struct Run {
    endpoint: Rc<Incarnation>,
    attempt: AttemptId,
    of: Option<RunOf>,
    end: RunEnd,
}

impl Run {
    /// How the run will have ended, unless the endpoint ends before.
    pub fn ends(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let endpoint = &self.endpoint;
        endpoint.active.set(endpoint.active.get().saturating_sub(1));
        if let Some(of) = &self.of {
            endpoint.engine.borrow_mut().end_run(of);
        }
        let left = self.end == RunEnd::CallerLeft && endpoint.has_ended();
        let end = if left { RunEnd::EndpointEnded } else { self.end };
        endpoint.journal.note(What::RunEnded { attempt: self.attempt, instance: endpoint.id, end });
    }
}
