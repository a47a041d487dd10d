//! Stand-ins for endpoints: they serve requests, take orders and register.

mod body;
mod conditions;
mod engine;
mod incarnation;
mod registration;
mod server;

pub use conditions::{Condition, Conditions};
pub use engine::{Engine, Holding, OrderBody, OrderReply, RunOf};

use crate::catalog::Service;
use crate::journal::Journal;
use crate::layout::Layout;
use crate::names::InstanceId;
use incarnation::Incarnation;
use registration::Registrar;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Models of the engines at the first start of the system; later starts are empty.
const FIRST_MODELS: [&[&str]; 4] = [
    &["amber", "birch", "cedar"],
    &["amber", "delta", "ember"],
    &["fjord", "grove", "hazel"],
    &["inlet", "juniper", "kelp"],
];

/// One endpoint through all its lives.
struct Slot {
    conditions: Rc<Conditions>,
    starts: u32,
    life: Option<Rc<Incarnation>>,
}

/// All endpoints.
pub struct Endpoints {
    layout: Rc<Layout>,
    journal: Rc<Journal>,
    slots: RefCell<BTreeMap<u8, Slot>>,
}

impl Endpoints {
    /// No endpoint runs yet.
    pub fn new(layout: Rc<Layout>, journal: Rc<Journal>) -> Rc<Self> {
        let slot = |_| Slot { conditions: Rc::default(), starts: 0, life: None };
        let slots = (1..=layout.endpoints).map(|number| (number, slot(number))).collect();
        Rc::new(Endpoints { layout, journal, slots: RefCell::new(slots) })
    }

    /// Begins a new life of an endpoint, unless one is there.
    pub async fn start(&self, number: u8) -> io::Result<()> {
        let Some((starts, conditions)) = self.next_life(number) else { return Ok(()) };
        let listener = TcpListener::bind(self.layout.endpoint(number)).await?;
        let service = Service::of_endpoint(number);
        let first = FIRST_MODELS.get(usize::from(number) - 1).filter(|_| starts == 1);
        let engine = Engine::holding(first.copied().unwrap_or_default());
        let id = InstanceId { endpoint: number, start: starts };
        let life = Incarnation::new(id, service, engine, self.journal.clone(), conditions);
        if let Some(slot) = self.slots.borrow_mut().get_mut(&number) {
            slot.life = Some(life.clone());
        }
        spawn_local(server::serve(listener, life.clone()));
        spawn_local(Registrar::new(life, self.layout.clone()).beat());
        Ok(())
    }

    /// Number of the next life, if none is there.
    fn next_life(&self, number: u8) -> Option<(u32, Rc<Conditions>)> {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(&number)?;
        if slot.life.as_ref().is_some_and(|life| !life.has_ended()) {
            return None;
        }
        slot.starts += 1;
        Some((slot.starts, slot.conditions.clone()))
    }

    fn life(&self, number: u8) -> Option<Rc<Incarnation>> {
        self.slots.borrow().get(&number)?.life.clone().filter(|life| !life.has_ended())
    }

    /// The endpoint is gone without a word.
    pub fn crash(&self, number: u8) {
        if let Some(life) = self.life(number) {
            life.end();
        }
    }

    /// The endpoint finishes what it has and ends.
    pub async fn leave(&self, number: u8, announced: bool) {
        if let Some(life) = self.life(number) {
            Registrar::new(life, self.layout.clone()).leave(announced).await;
        }
    }

    /// The troubles of an endpoint.
    pub fn conditions(&self, number: u8) -> Option<Rc<Conditions>> {
        self.slots.borrow().get(&number).map(|slot| slot.conditions.clone())
    }
}
