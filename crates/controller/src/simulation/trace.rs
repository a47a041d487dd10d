//! A digest of the behaviour of a simulated system: the bytes that it sends and stores, its orders, calls and
//! answers, each with its host and simulated time. It includes no identifiers of the code and no `Debug` text.

use super::connection::{End, Kind};
use super::host::Host;
use crate::controller::{Method, ServiceAction};
use lanegate_placement::{Action, Operation};
use std::time::Duration;

/// Stands for the tombstone log in place of a shard.
const TOMBSTONES: u8 = u8::MAX;
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The kind of a record in the trace.
#[derive(Clone, Copy)]
enum Record {
    Frame = 1,
    Stored = 2,
    ServiceAction = 3,
    Call = 4,
    Answer = 5,
    RouterConfiguration = 6,
    RouterInstance = 7,
    RouterInstanceRemoved = 8,
    ControllerEnd = 9,
    AgentEnd = 10,
}

/// 64-bit FNV-1a hash of the records so far.
#[derive(Debug)]
pub(super) struct Trace {
    digest: u64,
}

impl Trace {
    pub(super) fn new() -> Self {
        Trace { digest: FNV_OFFSET_BASIS }
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// Adds bytes of any length, preceded by the length.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    fn host(&mut self, host: Host) {
        let (kind, index) = match host {
            Host::Controller(index) => (1, index),
            Host::Router(index) => (2, index),
            Host::Endpoint(index) => (3, index),
            Host::Operator => (4, 0),
        };
        self.raw(&[kind]);
        self.number(index as u64);
    }

    fn begin(&mut self, record: Record, now: Duration) {
        self.raw(&[record as u8]);
        self.number(now.as_nanos() as u64);
    }

    /// A frame is read at an end of a connection.
    pub(super) fn frame(&mut self, now: Duration, kind: Kind, end: End, path: (Host, Host), frame: &[u8]) {
        self.begin(Record::Frame, now);
        let kind = match kind {
            Kind::Peer => 1,
            Kind::Feed => 2,
            Kind::Loopback => 3,
        };
        let end = match end {
            End::Dialer => 1,
            End::Listener => 2,
        };
        self.raw(&[kind, end]);
        self.host(path.0);
        self.host(path.1);
        self.bytes(frame);
    }

    /// A controller hands a record to its disk.
    pub(super) fn stored(&mut self, now: Duration, controller: usize, shard: u8, token: u64, record: &[u8]) {
        self.begin(Record::Stored, now);
        self.number(controller as u64);
        self.raw(&[shard]);
        self.number(token);
        self.bytes(record);
    }

    /// A controller writes its tombstone log.
    pub(super) fn tombstones_stored(
        &mut self,
        now: Duration,
        controller: usize,
        version: u64,
        record: &[u8],
    ) {
        self.stored(now, controller, TOMBSTONES, version, record);
    }

    /// A controller calls an endpoint.
    pub(super) fn service_action(
        &mut self,
        now: Duration,
        controller: usize,
        action: &ServiceAction,
        epoch: u64,
        send_by: Duration,
    ) {
        self.begin(Record::ServiceAction, now);
        self.number(controller as u64);
        self.bytes(action.service.as_bytes());
        self.raw(&[action.shard]);
        self.number(epoch);
        self.number(send_by.as_nanos() as u64);
        match &action.action {
            Action::Order(order) => {
                let operation = match order.operation {
                    Operation::Load => 1,
                    Operation::Evict => 2,
                };
                self.raw(&[1, operation]);
                self.bytes(order.instance.as_bytes());
                self.bytes(order.address.to_string().as_bytes());
                self.bytes(order.model.as_bytes());
                self.bytes(order.adapter.as_deref().unwrap_or_default().as_bytes());
                self.number(order.if_revision);
            }
            Action::RequestReport { instance, address } => {
                self.raw(&[2]);
                self.bytes(instance.as_bytes());
                self.bytes(address.to_string().as_bytes());
            }
        }
    }

    /// A call reaches a controller.
    pub(super) fn call(
        &mut self,
        now: Duration,
        controller: usize,
        method: Method,
        path: &str,
        if_match: Option<u64>,
        body: &[u8],
    ) {
        self.begin(Record::Call, now);
        self.number(controller as u64);
        let method = match method {
            Method::Get => 1,
            Method::Put => 2,
            Method::Patch => 3,
            Method::Delete => 4,
            Method::Other => 5,
        };
        self.raw(&[method, u8::from(if_match.is_some())]);
        self.number(if_match.unwrap_or_default());
        self.bytes(path.as_bytes());
        self.bytes(body);
    }

    /// A controller answers a call.
    pub(super) fn answer(&mut self, now: Duration, host: Host, status: u16, body: &[u8]) {
        self.begin(Record::Answer, now);
        self.host(host);
        self.raw(&status.to_le_bytes());
        self.bytes(body);
    }

    /// A router gets a configuration.
    pub(super) fn router_configuration(&mut self, now: Duration, router: usize, version: u64) {
        self.begin(Record::RouterConfiguration, now);
        self.number(router as u64);
        self.number(version);
    }

    /// A router is notified of an endpoint.
    pub(super) fn router_instance(&mut self, now: Duration, router: usize, id: &str, sequence: u64) {
        self.begin(Record::RouterInstance, now);
        self.number(router as u64);
        self.bytes(id.as_bytes());
        self.number(sequence);
    }

    /// A router is notified of the removal of an endpoint.
    pub(super) fn router_instance_removed(&mut self, now: Duration, router: usize, id: &str) {
        self.begin(Record::RouterInstanceRemoved, now);
        self.number(router as u64);
        self.bytes(id.as_bytes());
    }

    /// What a controller answers to a status call and exports as metrics once the scenario has ended.
    pub(super) fn controller_end(&mut self, now: Duration, controller: usize, status: &[u8], metrics: &str) {
        self.begin(Record::ControllerEnd, now);
        self.number(controller as u64);
        self.bytes(status);
        self.bytes(metrics.as_bytes());
    }

    /// What an agent exports as metrics once the scenario has ended.
    pub(super) fn agent_end(&mut self, now: Duration, router: usize, metrics: &str) {
        self.begin(Record::AgentEnd, now);
        self.number(router as u64);
        self.bytes(metrics.as_bytes());
    }
}
