//! The open requests of a router, and the delivery of decisions to their tasks.

use crate::request::open_request::OpenRequest;
use lanegate_dispatch::interface::{Decision, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// All requests that have been submitted to the dispatcher and have not ended.
#[derive(Debug, Default)]
pub struct OpenRequests {
    requests: RefCell<HashMap<RequestId, Rc<OpenRequest>>>,
    next_id: Cell<u64>,
}

impl OpenRequests {
    /// A new request id.
    pub fn new_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        RequestId(id)
    }

    /// Adds a request, which then receives the decisions about it.
    pub fn insert(&self, id: RequestId, request: Rc<OpenRequest>) {
        self.requests.borrow_mut().insert(id, request);
    }

    /// Removes a request.
    pub fn remove(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Whether there is no open request.
    pub fn is_empty(&self) -> bool {
        self.requests.borrow().is_empty()
    }

    /// All open requests, in no particular order.
    pub fn all(&self) -> Vec<Rc<OpenRequest>> {
        self.requests.borrow().values().cloned().collect()
    }

    /// Delivers a decision to its request, if that is open.
    pub fn deliver(&self, decision: Decision) {
        let id = match &decision {
            Decision::Send { request, .. }
            | Decision::Refuse { request, .. }
            | Decision::Fail { request, .. } => *request,
        };
        if let Some(open) = self.requests.borrow().get(&id) {
            open.on_decision(decision);
        }
    }
}
