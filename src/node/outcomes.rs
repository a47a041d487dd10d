//! Notices to the platform: each accepted message that is not delivered ends with one. A notice is sent until
//! it is acknowledged, however long that takes.

use super::input::Input;
use super::journal::Verdict;
use super::link::Link;
use super::log::log_line;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The platform answers at once. A connection on which it does not may be dead. A notice that is sent twice
/// does no harm, while one that arrives 300 ms after the message's deadline is too late: the time-out starts
/// short and doubles.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// An idle connection is reused within this time only.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// A message that has ended undelivered.
#[derive(Clone, Debug)]
pub struct Notice {
    pub message: u64,
    pub id: String,
    pub verdict: Verdict,
}

#[derive(Serialize)]
struct Line<'a> {
    #[serde(rename = "ref")]
    id: &'a str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

impl Notice {
    pub(super) fn line(&self) -> String {
        let (result, wait) = match self.verdict {
            Verdict::Dead => ("dead", None),
            Verdict::Bounced { wait } => ("bounced", wait),
        };
        let line = Line { id: &self.id, result, wait_ms: wait.map(|w| w.as_millis() as u64) };
        serde_json::to_string(&line).unwrap_or_default() + "\n"
    }
}

#[derive(Clone)]
pub struct Platform {
    /// Shared by all batches in progress; a reload may change it.
    address: Rc<Cell<SocketAddr>>,
    /// An idle connection, if there is one.
    idle: Rc<RefCell<Option<(Link, Instant)>>>,
}

impl Platform {
    pub fn new(address: SocketAddr) -> Self {
        Platform { address: Rc::new(Cell::new(address)), idle: Rc::default() }
    }

    /// From now on notices go to another address, including those that are being retried.
    pub fn move_to(&self, address: SocketAddr) {
        self.address.set(address);
        self.idle.borrow_mut().take();
    }

    /// Sends a batch until it is acknowledged, then reports it.
    pub async fn post(self, mut batch: Vec<Notice>, inputs: Sender<Input>) {
        let mut backoff = FIRST_BACKOFF;
        let (mut acknowledged, mut most, mut answer_timeout) =
            (Vec::new(), batch.len(), FIRST_ANSWER_TIMEOUT);
        while !batch.is_empty() {
            let part = most.min(batch.len());
            match self.send_once(&batch[..part], answer_timeout).await {
                Some(StatusCode::NO_CONTENT | StatusCode::OK) => {
                    acknowledged.extend(batch.drain(..part).map(|n| n.message));
                }
                // One line that cannot be read must not hold back the others: send each in its own request.
                Some(StatusCode::BAD_REQUEST) if part > 1 => most = 1,
                Some(StatusCode::BAD_REQUEST) => {
                    log_line!("outcomes: the platform cannot read the notice for {:?}", batch[0].id);
                    acknowledged.extend(batch.drain(..part).map(|n| n.message));
                }
                _ => {
                    answer_timeout = (answer_timeout * 2).min(MAX_ANSWER_TIMEOUT);
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
        let _ = inputs.send(Input::NoticesAcknowledged(acknowledged)).await;
    }

    async fn send_once(&self, batch: &[Notice], answer_timeout: Duration) -> Option<StatusCode> {
        let to = self.address.get();
        let kept = self.idle.borrow_mut().take().filter(|(_, at)| at.elapsed() < MAX_IDLE);
        let mut link = match kept.and_then(|(mut link, _)| link.is_usable().then_some(link)) {
            Some(link) => link,
            None => Link::open(to, CONNECT_TIMEOUT, None).await?,
        };
        let text: String = batch.iter().map(Notice::line).collect();
        let request = Request::post("/v1/outcomes")
            .header(header::HOST, to.to_string())
            .header(header::CONTENT_TYPE, "application/x-ndjson")
            .body(Full::new(Bytes::from(text)))
            .ok()?;
        let answer = link.ask(request, Instant::now() + answer_timeout).await;
        if let Some(refused) = link.refusal() {
            log_line!("outcomes: answer of {to} refused, {}: {refused}", refused.reason());
        }
        // A notice that is sent again does no harm; one that is given up too early is the end of a message untold.
        let answer = answer.ok().filter(|answer| answer.whole)?;
        // After a reload this connection would send the next batch to the old address.
        if answer.reusable && to == self.address.get() {
            *self.idle.borrow_mut() = Some((link, Instant::now()));
        }
        Some(answer.status)
    }
}
