//! The journal of a run: what the stand-ins saw, in order. The auditor reads nothing else.

use crate::catalog::{RouteKind, Service};
use crate::names::{AttemptId, InstanceId, Place};
use crate::schedule::Trouble;
use lanegate_placement::Operation;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// What happened, and when.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Since the run began.
    pub at: Duration,
    pub what: What,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// Everything is up; clients begin.
    TrafficBegan,
    /// The last trouble of the schedule is over, and what it stopped was started again.
    TroublesOver,
    /// Clients end; all that was asked has its end.
    TrafficEnded,
    ProcessStarted {
        place: Place,
        pid: u32,
    },
    ProcessEnded {
        place: Place,
        /// Whether the schedule had it ended.
        expected: bool,
        status: String,
    },
    TroubleBegan {
        number: usize,
        trouble: Trouble,
    },
    /// It is over: links are whole again, processes were started again.
    TroubleEnded {
        number: usize,
    },
    /// The platform lets new connections to the router, or no longer does.
    EntryChanged {
        router: u8,
        open: bool,
    },
    /// A client begins to send an attempt.
    Sent(Sent),
    /// What the client has of its attempt in the end.
    Ended {
        attempt: AttemptId,
        end: AttemptEnd,
    },
    /// A client has what it asked for, or gives up.
    Concluded {
        request: u64,
        route: RouteKind,
        served: bool,
        /// When the client first asked.
        began: Duration,
    },
    /// A request reached an endpoint.
    Arrived {
        attempt: AttemptId,
        instance: InstanceId,
        service: Service,
        decision: Decision,
    },
    RunEnded {
        attempt: AttemptId,
        instance: InstanceId,
        end: RunEnd,
    },
    EndpointStarted {
        instance: InstanceId,
        service: Service,
        models: Vec<String>,
    },
    /// It is no longer there.
    EndpointEnded {
        instance: InstanceId,
    },
    /// A controller took the word of an endpoint that it is leaving.
    LeavingAcknowledged {
        instance: InstanceId,
        controller: u8,
    },
    OrderArrived {
        instance: InstanceId,
        service: Service,
        order: OrderFacts,
        /// Status of the answer.
        status: u16,
    },
    /// An order that was taken has been carried out.
    OrderDone {
        instance: InstanceId,
        order: OrderFacts,
    },
    ChangeSent(ChangeFacts),
    /// The operator heard 200.
    ChangeAcknowledged {
        change: u64,
        controller: u8,
    },
    /// The controller said 200, and the operator did not hear it.
    AcknowledgementLost {
        change: u64,
        controller: u8,
    },
    ChangeRefused {
        change: u64,
        controller: u8,
        status: u16,
    },
    Read(Read),
    /// Violations that a process counts itself.
    OwnCounters {
        place: Place,
        violations: u64,
    },
}

/// An attempt as it is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    pub attempt: AttemptId,
    /// The same for all attempts of a client to have one thing done.
    pub request: u64,
    pub router: u8,
    pub route: RouteKind,
    /// Time that the client leaves.
    pub deadline: Duration,
    /// Whether the connection was used before.
    pub kept: bool,
    /// Events that the stream has to have; 0 where the answer is no stream.
    pub events: u32,
}

/// What a client has of an attempt in the end.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// No connection came up.
    NotConnected,
    /// The connection was closed before any of the request was sent.
    NotSent,
    /// A whole answer.
    Answered(Answer),
    /// The connection ended before a whole answer.
    Cut {
        /// Events that had come.
        events: u32,
    },
    /// Nothing more came for so long that a client leaves.
    Silent { events: u32 },
    /// No end at the deadline, and none some time after it.
    Overdue { events: u32 },
}

/// The raw facts of a whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// `Attempt-Id` of the answer.
    pub attempt: Option<AttemptId>,
    /// `Server-Signature` of the answer.
    pub signature: Option<String>,
    /// Whether the body is what that endpoint answers to this attempt.
    pub body_matches: bool,
    /// Ids of the events, in order of arrival.
    pub event_ids: Vec<u32>,
}

/// What an endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    Run,
    /// Not run, with this status.
    TurnedAway(u16),
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer was handed over.
    Whole,
    /// The connection was closed.
    CallerLeft,
    /// The endpoint crashed or ended.
    EndpointEnded,
    /// The time told in `Deadline-Ms` was over.
    DeadlinePassed,
}

/// An order as it reached an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderFacts {
    pub operation: Operation,
    pub model: String,
    pub adapter: Option<String>,
    pub owner: String,
    pub token: u64,
}

/// A change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeFacts {
    /// Tells it from all others; it stands in the configuration.
    pub change: u64,
    /// Version that it builds on.
    pub base: u64,
    pub version: u64,
    /// Where requests of the movable route go.
    pub moved_to: Service,
}

/// A configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    pub controller: u8,
    /// When it was asked for.
    pub sent: Duration,
    pub version: u64,
    /// The change that made it, as the configuration tells.
    pub change: Option<u64>,
    /// Hash of its bytes.
    pub digest: u64,
}

/// Events in order of time; shared by everything on the thread.
#[derive(Debug)]
pub struct Journal {
    began: Instant,
    events: RefCell<Vec<Event>>,
}

impl Journal {
    /// An empty journal that begins now.
    pub fn begin() -> Self {
        Journal { began: Instant::now(), events: RefCell::default() }
    }

    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Appends what happens now.
    pub fn note(&self, what: What) {
        self.events.borrow_mut().push(Event { at: self.now(), what });
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.borrow().clone()
    }
}
