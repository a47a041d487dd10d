//! Establishes connections, delivers their frames, and closes them.

use super::connection::{Connection, Dial, End, Kind, Process};
use super::host::Host;
use super::world::{Delivery, SimulationEvent, World};
use crate::agent::{SOURCE_TIMEOUT, SubscriberEvent};
use crate::controller::Event;
use crate::link::{CONNECT_TIMEOUT, REDIAL_DELAY};
use crate::message::Message;
use crate::subscription::SourceEvent;
use bytes::Bytes;
use rand::Rng;
use std::time::Duration;

/// A connection in which a direction is partitioned ends after this long, and up to [`PARTITION_TIMEOUT_SPREAD`] later.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(1_500);
const PARTITION_TIMEOUT_SPREAD: Duration = Duration::from_millis(1_000);
/// After a partition, lost frames are retransmitted within this time.
const RESEND_SPREAD: Duration = Duration::from_millis(400);
/// Pause before a router dials its agent again.
const LOOPBACK_REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a pending action of a frozen process is retried until the process is thawed.
const FROZEN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

impl World {
    fn spread(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.random.random::<f64>())
    }

    /// Latency of a packet from one machine to another.
    pub(super) fn delay(&mut self, from: Host, to: Host) -> Duration {
        self.network.delay(from, to, &mut self.random)
    }

    /// Whether the process that dialled still runs and still wants the connection.
    fn is_wanted(&self, dial: &Dial) -> bool {
        self.running(dial.dialer.host) == Some(dial.dialer)
            && match (dial.kind, dial.dialer.host) {
                (Kind::Peer, Host::Controller(index)) => self.controllers[index].wants(dial),
                (Kind::Feed, Host::Router(index)) => self.routers[index].follows(dial),
                _ => true,
            }
    }

    /// A process tries to connect.
    pub(super) fn dial(&mut self, dial: Dial) {
        if !self.is_wanted(&dial) {
            return;
        }
        if self.is_frozen(dial.dialer.host) {
            return self.schedule(self.now() + FROZEN_RETRY_DELAY, SimulationEvent::Dial(dial));
        }
        if !self.network.is_open_both_ways(dial.dialer.host, dial.listener) {
            return self.dial_failed(dial, CONNECT_TIMEOUT);
        }
        let (dialer, listener) = (dial.dialer.host, dial.listener);
        let round_trip = self.delay(dialer, listener) + self.delay(listener, dialer);
        if self.network.lag(dialer, listener) + self.network.lag(listener, dialer) > CONNECT_TIMEOUT {
            return self.dial_failed(dial, CONNECT_TIMEOUT);
        }
        self.schedule(self.now() + round_trip, SimulationEvent::Connect(dial));
    }

    /// The handshake of a connection has completed its round trip.
    pub(super) fn connect(&mut self, dial: Dial) {
        if !self.is_wanted(&dial) {
            return;
        }
        let listener = self.running(dial.listener);
        let open = self.network.is_open_both_ways(dial.dialer.host, dial.listener);
        let (Some(listener), true) = (listener, open && !self.network.is_refusing(dial.listener)) else {
            return self.dial_failed(dial, Duration::ZERO);
        };
        let now = self.now();
        let (connection, outbox) = Connection::new(dial, listener, now);
        let number = self.next_connection;
        self.next_connection += 1;
        self.connections.insert(number, connection);
        let delivery = match dial.kind {
            Kind::Peer => {
                outbox.message(&Message::Hello(self.controller_hello(dial.dialer)));
                Delivery::Controller(Event::PeerUp { peer: dial.address, outbox })
            }
            Kind::Feed => {
                outbox.message(&Message::Hello(self.agent_hello(&dial)));
                self.schedule(now + SOURCE_TIMEOUT, SimulationEvent::ReceiveTimeout { connection: number });
                Delivery::Source(SourceEvent::Up { source: dial.address, outbox })
            }
            Kind::Loopback => {
                outbox.message(&Message::Hello(self.router_hello(dial.dialer)));
                self.accept_router(number, listener);
                Delivery::Agent(SourceEvent::Up { source: dial.address, outbox })
            }
        };
        self.deliver(dial.dialer, delivery);
        self.pump(number);
    }

    /// An agent accepts the connection of its router.
    fn accept_router(&mut self, number: u64, listener: Process) {
        let connection = self.connections.get_mut(&number);
        let outbox = connection.and_then(|connection| connection.listener_outbox.take());
        if let Some(outbox) = outbox {
            let delivery = Delivery::SubscriberEvent(SubscriberEvent::Up { subscriber: number, outbox });
            self.deliver(listener, delivery);
        }
    }

    fn dial_failed(&mut self, dial: Dial, after: Duration) {
        let at = self.now() + after;
        match dial.kind {
            Kind::Peer => self.schedule(at + REDIAL_DELAY, SimulationEvent::Dial(dial)),
            Kind::Feed => {
                let delivery = Delivery::Source(SourceEvent::Down { source: dial.address });
                self.schedule_delivery(at, dial.dialer, delivery);
            }
            Kind::Loopback => self.schedule(at + LOOPBACK_REDIAL_DELAY, SimulationEvent::Dial(dial)),
        }
    }

    /// Sends the frames that the two ends have queued.
    pub(super) fn pump(&mut self, number: u64) {
        let now = self.now();
        let mut due = Vec::new();
        let mut is_closed = false;
        {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            for end in [End::Dialer, End::Listener] {
                let (from, to) = connection.path_to(end);
                let pipe = connection.pipe_to(end);
                let transfer = |bytes| self.network.transfer_time(bytes);
                let open = pipe.pump(now, transfer, || self.network.delay(from, to, &mut self.random));
                is_closed |= !open;
                if let Some(at) = pipe.next_at().filter(|_| !pipe.scheduled) {
                    pipe.scheduled = true;
                    due.push((at, end));
                }
            }
        }
        for (at, end) in due {
            self.schedule(at, SimulationEvent::Arrive { connection: number, end });
        }
        if is_closed {
            self.close(number, None);
        }
    }

    /// Sends the frames that one process has queued on all its connections.
    pub(super) fn pump_all(&mut self, process: Process) {
        let numbers: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.involves(process))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.pump(number);
        }
    }

    /// Delivers the frames that are due, unless the path is partitioned.
    pub(super) fn arrive(&mut self, number: u64, end: End) {
        let now = self.now();
        loop {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            let (from, to) = connection.path_to(end);
            let pipe = connection.pipe_to(end);
            if !self.network.is_open(from, to) {
                pipe.scheduled = false;
                return;
            }
            let Some(frame) = pipe.take(now) else {
                let next = pipe.next_at();
                pipe.scheduled = next.is_some();
                if let Some(at) = next {
                    self.schedule(at, SimulationEvent::Arrive { connection: number, end });
                }
                break;
            };
            if end == End::Dialer {
                connection.received_at = now;
            }
            if let Some((process, delivery)) = self.read_frame(number, end, &frame) {
                self.deliver(process, delivery);
            }
        }
        self.pump(number);
    }

    /// Decodes a frame that arrived at an end of a connection; returns the receiving process and the event for it.
    fn read_frame(&mut self, number: u64, end: End, frame: &Bytes) -> Option<(Process, Delivery)> {
        let now = self.now();
        let message = Message::decode(&frame[LENGTH_BYTES..]).ok()?;
        let connection = self.connections.get_mut(&number)?;
        self.trace.frame(now, connection.dial.kind, end, connection.path_to(end), frame);
        let (dial, listener) = (connection.dial, connection.listener);
        let source = dial.address;
        let delivery = match (dial.kind, end, message) {
            (Kind::Feed, End::Dialer, message) => Delivery::Source(SourceEvent::Message { source, message }),
            (Kind::Loopback, End::Dialer, message) => {
                Delivery::Agent(SourceEvent::Message { source, message })
            }
            (Kind::Loopback, End::Listener, message) => {
                Delivery::SubscriberEvent(SubscriberEvent::Message { subscriber: number, message })
            }
            (Kind::Peer, End::Listener, Message::Hello(hello)) => {
                connection.peer = hello.control_address.text().parse().ok();
                Delivery::Controller(Event::PeerHello { hello })
            }
            (Kind::Peer, End::Listener, message) => {
                Delivery::Controller(Event::PeerMessage { peer: connection.peer?, message })
            }
            (Kind::Feed, End::Listener, Message::Hello(hello)) => {
                let outbox = connection.listener_outbox.take()?;
                Delivery::Controller(Event::AgentUp { agent: number, hello, outbox })
            }
            (Kind::Feed, End::Listener, message) => {
                Delivery::Controller(Event::AgentMessage { agent: number, message })
            }
            (Kind::Peer, End::Dialer, _) => return None,
        };
        let process = if end == End::Dialer { dial.dialer } else { listener };
        Some((process, delivery))
    }

    /// Closes a connection for both sides: frames that `closer` has sent still arrive, frames sent to it do not.
    /// With `None` all frames in flight arrive.
    pub(super) fn close(&mut self, number: u64, closer: Option<Process>) {
        for end in [End::Dialer, End::Listener] {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            let receiver = if end == End::Dialer { connection.dial.dialer } else { connection.listener };
            if closer == Some(receiver) {
                continue;
            }
            let (from, to) = connection.path_to(end);
            if !self.network.is_open(from, to) {
                continue;
            }
            for (at, frame) in connection.pipe_to(end).drain() {
                if let Some((process, delivery)) = self.read_frame(number, end, &frame) {
                    self.schedule_delivery(at, process, delivery);
                }
            }
        }
        self.end_by(number, closer);
    }

    /// Closes a connection for both sides; frames in flight are lost.
    pub(super) fn end(&mut self, number: u64) {
        self.end_by(number, None);
    }

    /// Closes a connection: at once for `closer`, later for the other side if the path is partitioned.
    fn end_by(&mut self, number: u64, closer: Option<Process>) {
        let Some(connection) = self.connections.remove(&number) else { return };
        let (dial, listener) = (connection.dial, connection.listener);
        let path_open = self.network.is_open(listener.host, dial.dialer.host);
        let late = if path_open { Duration::ZERO } else { self.spread(PARTITION_TIMEOUT_SPREAD) };
        let dialer_late = if closer == Some(dial.dialer) { Duration::ZERO } else { late };
        let last = self.now() + self.delay(listener.host, dial.dialer.host) + dialer_late;
        self.end_for_dialer(dial, last);
        let at = self.now() + self.delay(dial.dialer.host, listener.host) + late;
        self.end_for_listener(number, &dial, listener, at);
    }

    /// Resets the connections between two machines at `host`: `peer` detects it only after a timeout without
    /// acknowledgements, and frames that it sends until then are lost.
    pub(super) fn reset_one_side(&mut self, host: Host, peer: Host) {
        let ends_here = |connection: &Connection| {
            let path = connection.path_to(End::Listener);
            path == (host, peer) || path == (peer, host)
        };
        let numbers: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| ends_here(connection))
            .map(|(n, _)| *n)
            .collect();
        for number in numbers {
            let Some(connection) = self.connections.remove(&number) else { continue };
            let (dial, listener) = (connection.dial, connection.listener);
            let at_once = self.now();
            let unnoticed = at_once + PARTITION_TIMEOUT + self.spread(PARTITION_TIMEOUT_SPREAD);
            let dialer_knows = dial.dialer.host == host;
            self.end_for_dialer(dial, if dialer_knows { at_once } else { unnoticed });
            self.end_for_listener(number, &dial, listener, if dialer_knows { unnoticed } else { at_once });
        }
    }

    fn end_for_listener(&mut self, number: u64, dial: &Dial, listener: Process, at: Duration) {
        let delivery = match dial.kind {
            Kind::Peer => return,
            Kind::Feed => Delivery::Controller(Event::AgentDown { agent: number }),
            Kind::Loopback => Delivery::SubscriberEvent(SubscriberEvent::Down { subscriber: number }),
        };
        self.schedule_delivery(at, listener, delivery);
    }

    fn end_for_dialer(&mut self, dial: Dial, at: Duration) {
        if !self.is_wanted(&dial) {
            return;
        }
        match dial.kind {
            Kind::Peer => {
                let delivery = Delivery::Controller(Event::PeerDown { peer: dial.address });
                self.schedule_delivery(at, dial.dialer, delivery);
                self.schedule(at + REDIAL_DELAY, SimulationEvent::Dial(dial));
            }
            Kind::Feed => {
                let delivery = Delivery::Source(SourceEvent::Down { source: dial.address });
                self.schedule_delivery(at, dial.dialer, delivery);
            }
            Kind::Loopback => {
                let delivery = Delivery::Agent(SourceEvent::Down { source: dial.address });
                self.schedule_delivery(at, dial.dialer, delivery);
                self.schedule(at + LOOPBACK_REDIAL_DELAY, SimulationEvent::Dial(dial));
            }
        }
    }

    /// Ends all matching connections: with a `closer` as [`World::close`] does, else as [`World::end`] does.
    pub(super) fn end_connections(&mut self, which: impl Fn(&Connection) -> bool, closer: Option<Process>) {
        let numbers: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| which(connection))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            match closer {
                Some(_) => self.close(number, closer),
                None => self.end(number),
            }
        }
    }

    /// Handles a change of the partitions of the network.
    pub(super) fn paths_changed(&mut self) {
        let now = self.now();
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            let resend = now + self.spread(RESEND_SPREAD);
            let timeout = now + PARTITION_TIMEOUT + self.spread(PARTITION_TIMEOUT_SPREAD);
            let Some(connection) = self.connections.get_mut(&number) else { continue };
            let (one, other) = connection.path_to(End::Listener);
            let lasts = self.network.keeps_connections(one, other);
            match (lasts, connection.partitioned_since) {
                (false, None) => {
                    connection.partitioned_since = Some(now);
                    self.schedule(
                        timeout,
                        SimulationEvent::PartitionTimeout { connection: number, since: now },
                    );
                }
                (true, Some(_)) => connection.partitioned_since = None,
                _ => {}
            }
            self.resend(number, resend);
        }
    }

    /// Empties the queues on these paths, so that the frames in them arrive soon.
    pub(super) fn empty_queues(&mut self, directions: &[(Host, Host)]) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            let at = self.now() + RESEND_SPREAD;
            for end in [End::Dialer, End::Listener] {
                let Some(connection) = self.connections.get_mut(&number) else { continue };
                if !directions.contains(&connection.path_to(end)) {
                    continue;
                }
                connection.pipe_to(end).empty_queue(at);
                self.schedule(at, SimulationEvent::Arrive { connection: number, end });
            }
        }
    }

    /// Retransmits frames that waited for the path to be open.
    fn resend(&mut self, number: u64, at: Duration) {
        for end in [End::Dialer, End::Listener] {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            let (from, to) = connection.path_to(end);
            let open = self.network.is_open(from, to);
            let pipe = connection.pipe_to(end);
            if open && !pipe.scheduled && pipe.next_at().is_some() {
                pipe.scheduled = true;
                pipe.postpone(at);
                self.schedule(at, SimulationEvent::Arrive { connection: number, end });
            }
        }
    }

    /// Closes a connection at both sides if it has been partitioned since `since`.
    pub(super) fn partition_timed_out(&mut self, number: u64, since: Duration) {
        let connection = self.connections.get(&number);
        if connection.is_some_and(|connection| connection.partitioned_since == Some(since)) {
            self.end(number);
        }
    }

    /// An agent that has received nothing for [`SOURCE_TIMEOUT`] closes the connection.
    pub(super) fn check_receive_timeout(&mut self, number: u64) {
        let now = self.now();
        let Some(connection) = self.connections.get(&number) else { return };
        let (dialer, quiet_at) = (connection.dial.dialer, connection.received_at + SOURCE_TIMEOUT);
        if self.is_frozen(dialer.host) {
            return self
                .schedule(now + FROZEN_RETRY_DELAY, SimulationEvent::ReceiveTimeout { connection: number });
        }
        if now < quiet_at {
            return self.schedule(quiet_at, SimulationEvent::ReceiveTimeout { connection: number });
        }
        self.close(number, Some(dialer));
    }
}
