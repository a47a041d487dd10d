//! Requests for the figures of a process whose state belongs to one task.

use crate::endpoint::MetricsAddress;
use crate::exposition::Exposition;
use tokio::sync::{mpsc, oneshot};

/// Requests that may wait at a time: one for each connection of the endpoint.
const MAX_WAITING: usize = 4;

/// A request for the figures; whoever asked gets 503 when this is dropped without an answer.
#[derive(Debug)]
pub struct Scrape(oneshot::Sender<Exposition>);

impl Scrape {
    /// Answers it.
    pub fn answer(self, exposition: Exposition) {
        // Whoever asked may have left.
        let _ = self.0.send(exposition);
    }
}

/// The requests that come to an endpoint, for the task that can answer them.
#[derive(Debug)]
pub struct Scrapes {
    requests: mpsc::Receiver<Scrape>,
    /// Kept so that `next` waits for ever where there is no endpoint.
    _requester: mpsc::Sender<Scrape>,
}

impl Scrapes {
    /// Listens at `address`, if there is one, and serves it by a task of its own. Has to be called inside a
    /// `LocalSet`.
    pub fn at(address: Option<MetricsAddress>) -> Self {
        let (requester, requests) = mpsc::channel(MAX_WAITING);
        if let Some(address) = address {
            let (endpoint, requester) = (address.bind(), requester.clone());
            tokio::task::spawn_local(endpoint.serve(move || ask(requester.clone())));
        }
        Scrapes { requests, _requester: requester }
    }

    /// Waits for the next request; it may be dropped and called again.
    pub async fn next(&mut self) -> Option<Scrape> {
        self.requests.recv().await
    }
}

async fn ask(requester: mpsc::Sender<Scrape>) -> Option<Exposition> {
    let (answer, exposition) = oneshot::channel();
    requester.send(Scrape(answer)).await.ok()?;
    exposition.await.ok()
}
