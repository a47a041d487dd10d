//! The handling of one request: executing the dispatcher's decisions about it and forwarding its answer.

pub mod event_splitter;
pub mod forward;
pub mod handle;
pub mod mailbox;
pub mod open_request;
pub mod open_requests;
pub mod outcome;
pub mod resume;
pub mod stream;
