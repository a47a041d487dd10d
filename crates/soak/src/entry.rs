//! The platform's entry: asks every router whether it is ready, and picks routers for new connections.

use crate::journal::{Journal, What};
use crate::layout::{Layout, ZONES};
use crate::names::Place;
use crate::random::unseeded;
use lanegate_control_http::{ClientRequest, call};
use rand::seq::IndexedRandom;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

/// How often a router is asked, and the longest wait for its answer.
const PERIOD: Duration = Duration::from_secs(1);
/// Misses in a row that take a router out.
const MISSES: u32 = 2;

/// Which routers get new connections.
pub struct Entry {
    layout: Rc<Layout>,
    journal: Rc<Journal>,
    open: RefCell<BTreeSet<u8>>,
}

impl Entry {
    /// Begins to ask; no router is in at first. Runs inside a `LocalSet`.
    pub fn start(layout: Rc<Layout>, journal: Rc<Journal>) -> Rc<Self> {
        let entry = Rc::new(Entry { layout, journal, open: RefCell::default() });
        for router in 1..=entry.layout.routers {
            spawn_local(entry.clone().watch(router));
        }
        entry
    }

    async fn watch(self: Rc<Self>, router: u8) {
        let address = self.layout.readiness(router);
        let question = ClientRequest::get("/readyz");
        let mut misses = 0;
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let ready = call(address, &question, PERIOD).await.is_ok_and(|answer| answer.status == 200);
            misses = if ready { 0 } else { misses + 1 };
            if ready {
                self.change(router, true);
            } else if misses >= MISSES {
                self.change(router, false);
            }
        }
    }

    fn change(&self, router: u8, open: bool) {
        let mut routers = self.open.borrow_mut();
        let changed = if open { routers.insert(router) } else { routers.remove(&router) };
        if changed {
            self.journal.note(What::EntryChanged { router, open });
        }
    }

    /// Whether every router is in.
    pub fn is_complete(&self) -> bool {
        self.open.borrow().len() == usize::from(self.layout.routers)
    }

    /// A router for a new connection of a client in this zone, none but `avoided` if there is another one.
    pub fn pick(&self, zone: usize, avoided: Option<u8>) -> u8 {
        let candidates = self.candidates(zone);
        let others: Vec<u8> = candidates.iter().copied().filter(|router| Some(*router) != avoided).collect();
        let from = if others.is_empty() { &candidates } else { &others };
        from.choose(&mut unseeded()).copied().unwrap_or(1)
    }

    fn candidates(&self, zone: usize) -> Vec<u8> {
        for step in 0..ZONES.len() {
            let name = ZONES[(zone + step) % ZONES.len()];
            let all: Vec<u8> = (1..=self.layout.routers)
                .filter(|router| self.layout.zone(Place::Router(*router)) == name)
                .collect();
            let open = self.open.borrow();
            let inside: Vec<u8> = all.iter().copied().filter(|router| open.contains(router)).collect();
            if inside.is_empty() {
                continue;
            }
            // With few of a zone's routers in, all of them are used.
            return if inside.len() * 2 < all.len() { all } else { inside };
        }
        (1..=self.layout.routers).collect()
    }
}
