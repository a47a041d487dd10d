//! A message submitted to the courier, and the reply that its clients wait for.

use crate::node::journal::Message;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A message that is offered, and where its answer goes.
pub struct Submission {
    pub submitted: Rc<Message>,
    pub class: usize,
    pub tenant: usize,
    pub time_left: Duration,
    pub at: Instant,
    pub reply: Answer,
}

/// Where an answer goes: to all who have handed in the same message under the same id. One told otherwise than the
/// others might hand it in anew though it is taken on.
pub struct Answer(Vec<oneshot::Sender<Reply>>);

impl Answer {
    pub fn new() -> (Self, oneshot::Receiver<Reply>) {
        let (reply, answered) = oneshot::channel();
        (Answer(vec![reply]), answered)
    }

    /// Goes to those as well.
    pub fn join(&mut self, others: Answer) {
        self.0.extend(others.0);
    }

    /// Nobody waits for it any more.
    pub fn is_closed(&self) -> bool {
        self.0.iter().all(oneshot::Sender::is_closed)
    }

    /// False if nobody hears it.
    pub fn send(self, reply: Reply) -> bool {
        let heard: Vec<_> = self.0.into_iter().map(|to| to.send(reply).is_ok()).collect();
        heard.contains(&true)
    }
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Taken,
    Refused {
        wait: Option<Duration>,
    },
    /// The courier cannot take anything just now.
    Unavailable,
    NoDestination,
    Failed,
}
