//! Scrapes of a process whose state belongs to one task.

use crate::endpoint::MetricsAddress;
use crate::exposition::Exposition;
use tokio::sync::{mpsc, oneshot};

/// Scrapes that may wait: one for each connection of the endpoint.
const MAX_PENDING: usize = 4;

/// A scrape; the client gets 503 if this is dropped without an answer.
#[derive(Debug)]
pub struct Scrape(oneshot::Sender<Exposition>);

impl Scrape {
    /// Answers the scrape.
    pub fn answer(self, exposition: Exposition) {
        // The client may have disconnected.
        let _ = self.0.send(exposition);
    }
}

/// The scrapes of an endpoint, for the task that can answer them.
#[derive(Debug)]
pub struct Scrapes {
    requests: mpsc::Receiver<Scrape>,
    /// Keeps the channel open, so that `next` waits forever if there is no endpoint.
    _sender: mpsc::Sender<Scrape>,
}

impl Scrapes {
    /// Binds `address`, if there is one, and serves it in a task of its own. Must be called inside a `LocalSet`.
    pub fn at(address: Option<MetricsAddress>) -> Self {
        let (sender, requests) = mpsc::channel(MAX_PENDING);
        if let Some(address) = address {
            let (endpoint, sender) = (address.bind(), sender.clone());
            tokio::task::spawn_local(endpoint.serve(move || scrape(sender.clone())));
        }
        Scrapes { requests, _sender: sender }
    }

    /// Waits for the next scrape. Cancel safe.
    pub async fn next(&mut self) -> Option<Scrape> {
        self.requests.recv().await
    }
}

async fn scrape(sender: mpsc::Sender<Scrape>) -> Option<Exposition> {
    let (answer, exposition) = oneshot::channel();
    sender.send(Scrape(answer)).await.ok()?;
    exposition.await.ok()
}
