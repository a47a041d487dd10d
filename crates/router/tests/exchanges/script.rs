//! Random scripts: what clients send and how endpoints answer.

use proptest::collection::vec;
use proptest::prelude::*;

/// A scripted exchange.
#[derive(Debug, Clone)]
pub(crate) struct Script {
    pub endpoints: usize,
    pub clients: Vec<Vec<ClientAction>>,
    /// One for each request that reaches an endpoint, in order. Requests beyond these get a complete answer.
    pub answers: Vec<Answer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route {
    NonIdempotent,
    Idempotent,
    Stream,
    Resumable,
}

/// An action of a client.
#[derive(Debug, Clone)]
pub(crate) enum ClientAction {
    Request {
        route: Route,
        body: usize,
        in_chunks: bool,
        segments: Vec<usize>,
        /// Whether the next request is sent before the answer has arrived.
        pipelined: bool,
    },
    /// Sends a part of a request and disconnects.
    Disconnect { route: Route, after: usize },
    /// Sends bytes that are not a request.
    Garbage(Vec<u8>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length,
    Chunks,
    /// The answer ends with its connection.
    Absent,
}

/// How an endpoint answers a request.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub reply: Reply,
    pub framing: Framing,
    pub segments: Vec<usize>,
}

#[derive(Debug, Clone)]
pub(crate) enum Reply {
    Complete,
    /// The same answer twice: at once, or when the next request has arrived.
    Twice {
        late: bool,
    },
    /// Bytes after the answer that belong to no request.
    Trailing(Vec<u8>),
    /// 503 with `Not-Executed`, optionally again when the next request has arrived.
    Rejected {
        twice: bool,
    },
    /// The answer to another request.
    ToOtherRequest,
    /// 503 without `Not-Executed`.
    AmbiguousRefusal,
    Failure,
    /// The answer up to an offset, and then a reset or a close.
    Break {
        at: usize,
        is_reset: bool,
    },
    Garbage(Vec<u8>),
}

fn segments() -> impl Strategy<Value = Vec<usize>> {
    vec(0_usize..600, 0..4)
}

fn route() -> impl Strategy<Value = Route> {
    prop_oneof![
        4 => Just(Route::NonIdempotent),
        1 => Just(Route::Idempotent),
        2 => Just(Route::Stream),
        1 => Just(Route::Resumable),
    ]
}

fn client_action() -> impl Strategy<Value = ClientAction> {
    let request = (route(), 0_usize..200, any::<bool>(), segments(), prop::bool::weighted(0.2));
    prop_oneof![
        12 => request.prop_map(|(route, body, in_chunks, segments, pipelined)| {
            ClientAction::Request { route, body, in_chunks, segments, pipelined }
        }),
        1 => (route(), 0_usize..400).prop_map(|(route, after)| ClientAction::Disconnect { route, after }),
        1 => vec(any::<u8>(), 1..40).prop_map(ClientAction::Garbage),
    ]
}

fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        6 => Just(Reply::Complete),
        3 => any::<bool>().prop_map(|late| Reply::Twice { late }),
        1 => vec(any::<u8>(), 1..40).prop_map(Reply::Trailing),
        3 => any::<bool>().prop_map(|twice| Reply::Rejected { twice }),
        1 => Just(Reply::ToOtherRequest),
        1 => Just(Reply::AmbiguousRefusal),
        1 => Just(Reply::Failure),
        3 => (0_usize..700, any::<bool>()).prop_map(|(at, is_reset)| Reply::Break { at, is_reset }),
        2 => any::<bool>().prop_map(|is_reset| Reply::Break { at: 0, is_reset }),
        1 => vec(any::<u8>(), 1..40).prop_map(Reply::Garbage),
    ]
}

fn answer() -> impl Strategy<Value = Answer> {
    let framing =
        prop_oneof![3 => Just(Framing::Length), 2 => Just(Framing::Chunks), 1 => Just(Framing::Absent)];
    (reply(), framing, segments()).prop_map(|(reply, framing, segments)| Answer { reply, framing, segments })
}

/// Any script.
pub(crate) fn script() -> impl Strategy<Value = Script> {
    (1_usize..=2, vec(vec(client_action(), 1..6), 1..4), vec(answer(), 0..16))
        .prop_map(|(endpoints, clients, answers)| Script { endpoints, clients, answers })
}

impl Route {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Route::NonIdempotent => "/once/x",
            Route::Idempotent => "/again/x",
            Route::Stream => "/stream/x",
            Route::Resumable => "/resumable/x",
        }
    }

    pub(crate) fn of(first_line: &str) -> Route {
        let routes = [Route::NonIdempotent, Route::Idempotent, Route::Stream, Route::Resumable];
        let path = first_line.split(' ').nth(1).unwrap();
        routes.into_iter().find(|route| route.path() == path).unwrap()
    }

    pub(crate) fn may_run_again(self) -> bool {
        matches!(self, Route::Idempotent | Route::Resumable)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Route::Stream | Route::Resumable)
    }
}

/// Splits bytes at the given offsets.
pub(crate) fn split<'a>(bytes: &'a [u8], segments: &[usize]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = segments.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut begin = 0;
    ends.into_iter().map(|end| &bytes[std::mem::replace(&mut begin, end)..end]).collect()
}

/// The body of the request with this id.
pub(crate) fn request_body(id: &str, length: usize) -> String {
    format!("({id})").repeat(length / 5)
}

/// The body of the answer to the request with this id; that of a stream goes on after the event `after`.
pub(crate) fn answer_body(route: Route, id: &str, after: u32) -> String {
    if route.is_stream() {
        (after + 1..=4).map(|number| format!("id: {number}\ndata: [{id}]\n\n")).collect()
    } else {
        format!("[{id}]").repeat(1 + id.len() % 3)
    }
}
