//! One simulated connection, which delivers frames in order in both directions while it is open.

use super::host::Host;
use crate::link::Outbox;
use bytes::Bytes;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of bytes in flight per direction; further frames wait in the outbox.
const WINDOW_BYTES: usize = 256 * 1024;

/// One incarnation of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Process {
    pub(super) host: Host,
    /// Number of this start, counted over all processes.
    pub(super) start: u64,
}

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Between two controllers.
    Peer,
    /// An agent follows a controller.
    Feed,
    /// A router follows its agent.
    Loopback,
}

/// A connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Dial {
    pub(super) kind: Kind,
    pub(super) dialer: Process,
    pub(super) listener: Host,
    /// Address by which the dialer knows the other side.
    pub(super) address: SocketAddr,
    /// Distinguishes this dial from earlier ones of the same process to the same address.
    pub(super) dial_number: u64,
}

/// One side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Dialer,
    Listener,
}

/// One direction of a connection.
#[derive(Debug)]
pub(super) struct Pipe {
    frames: mpsc::Receiver<Bytes>,
    /// Frames with the times from which they can be read, in order.
    in_flight: VecDeque<(Duration, Bytes)>,
    bytes_in_flight: usize,
    /// When the link has transmitted all earlier frames.
    free_at: Duration,
    /// Whether an `Arrive` event for the first frame is scheduled.
    pub(super) scheduled: bool,
}

impl Pipe {
    fn new(frames: mpsc::Receiver<Bytes>) -> Self {
        let in_flight = VecDeque::new();
        Pipe { frames, in_flight, bytes_in_flight: 0, free_at: Duration::ZERO, scheduled: false }
    }

    /// Moves frames from the outbox into flight, up to [`WINDOW_BYTES`]. `transfer` returns the transmission time
    /// of a frame, `delay` its latency. Returns false once the outbox is closed and all frames have arrived.
    pub(super) fn pump(
        &mut self,
        now: Duration,
        transfer: impl Fn(usize) -> Duration,
        mut delay: impl FnMut() -> Duration,
    ) -> bool {
        while self.bytes_in_flight < WINDOW_BYTES {
            let frame = match self.frames.try_recv() {
                Ok(frame) => frame,
                Err(mpsc::error::TryRecvError::Empty) => return true,
                Err(mpsc::error::TryRecvError::Disconnected) => return !self.in_flight.is_empty(),
            };
            self.free_at = self.free_at.max(now) + transfer(frame.len());
            let last = self.in_flight.back().map_or(Duration::ZERO, |(at, _)| *at);
            self.bytes_in_flight += frame.len();
            self.in_flight.push_back((last.max(self.free_at + delay()), frame));
        }
        true
    }

    /// When the next frame can be read.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.in_flight.front().map(|(at, _)| *at)
    }

    /// The next frame, if it can be read by now.
    pub(super) fn take(&mut self, now: Duration) -> Option<Bytes> {
        if self.next_at()? > now {
            return None;
        }
        let (_, frame) = self.in_flight.pop_front()?;
        self.bytes_in_flight -= frame.len();
        Some(frame)
    }

    /// Retransmits all frames in flight, so that none arrives before `at`.
    pub(super) fn postpone(&mut self, at: Duration) {
        for (ready, _) in &mut self.in_flight {
            *ready = at.max(*ready);
        }
    }

    /// Makes all frames in flight arrive by `at`, as the queue in which they waited is emptied.
    pub(super) fn empty_queue(&mut self, at: Duration) {
        for (ready, _) in &mut self.in_flight {
            *ready = at.min(*ready);
        }
    }

    /// Removes and returns all frames in flight, with their times of arrival.
    pub(super) fn drain(&mut self) -> Vec<(Duration, Bytes)> {
        self.bytes_in_flight = 0;
        self.in_flight.drain(..).collect()
    }
}

/// An established connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) dial: Dial,
    pub(super) listener: Process,
    /// Frames from the dialer.
    pub(super) forward: Pipe,
    /// Frames from the listener.
    pub(super) backward: Pipe,
    /// Between controllers: the peer, once its first message has been read.
    pub(super) peer: Option<SocketAddr>,
    /// Handed to the listener once it has read the first message.
    pub(super) listener_outbox: Option<Outbox>,
    /// Since when a direction has been partitioned.
    pub(super) partitioned_since: Option<Duration>,
    /// When the dialer last received anything.
    pub(super) received_at: Duration,
}

impl Connection {
    /// A connection, and the outbox of the dialer.
    pub(super) fn new(dial: Dial, listener: Process, now: Duration) -> (Self, Outbox) {
        let (dialer_outbox, forward) = Outbox::new();
        let (listener_outbox, backward) = Outbox::new();
        let connection = Connection {
            dial,
            listener,
            forward: Pipe::new(forward),
            backward: Pipe::new(backward),
            peer: None,
            listener_outbox: Some(listener_outbox),
            partitioned_since: None,
            received_at: now,
        };
        (connection, dialer_outbox)
    }

    /// The direction that leads to an end.
    pub(super) fn pipe_to(&mut self, end: End) -> &mut Pipe {
        match end {
            End::Dialer => &mut self.backward,
            End::Listener => &mut self.forward,
        }
    }

    /// Sender and receiver of the direction that leads to an end.
    pub(super) fn path_to(&self, end: End) -> (Host, Host) {
        let (dialer, listener) = (self.dial.dialer.host, self.listener.host);
        match end {
            End::Dialer => (listener, dialer),
            End::Listener => (dialer, listener),
        }
    }

    /// Whether one of its ends is this process.
    pub(super) fn involves(&self, process: Process) -> bool {
        self.dial.dialer == process || self.listener == process
    }

    /// Whether one of its ends is on this host.
    pub(super) fn touches(&self, host: Host) -> bool {
        self.dial.dialer.host == host || self.listener.host == host
    }
}
