//! Calls of operators and endpoints to controllers, with lost messages, timeouts and retries at other controllers.

use super::connection::Process;
use super::host::Host;
use super::world::{Delivery, SimulationEvent, World};
use crate::controller::{Answer, Call, Event, Method};
use bytes::Bytes;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// A caller that has received no answer for this long tries another controller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A call sent during a partition still arrives if the partition ends within this time.
const MAX_PARTITION_DELAY: Duration = Duration::from_millis(1_500);
/// The backoff before another attempt grows by this with each one.
const BACKOFF_STEP: Duration = Duration::from_millis(100);
/// Longest backoff before another attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// What a call is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A change of the configuration, by its number in the history.
    Change(usize),
    /// A read of the configuration, by its number in the history.
    Read(usize),
    /// A heartbeat of an incarnation of an endpoint.
    Heartbeat { endpoint: usize, start: u64 },
    /// A heartbeat that was held up on its way; its endpoint no longer waits for an answer.
    LateHeartbeat,
    /// The deregistration of an incarnation of an endpoint.
    Delete { endpoint: usize, start: u64 },
}

/// The request that is sent.
#[derive(Debug, Clone)]
pub(super) struct Content {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) if_match: Option<u64>,
    pub(super) body: Bytes,
}

/// A call with all its attempts.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) purpose: Purpose,
    caller: Host,
    content: Content,
    /// Controllers in the order in which they are tried, cyclically.
    targets: Vec<usize>,
    attempts: usize,
    max_attempts: usize,
    /// The attempt in flight.
    attempt: Option<u64>,
    gives_up_at: Duration,
}

/// One attempt of a call.
#[derive(Debug)]
struct Attempt {
    call: u64,
    target: usize,
    sent_at: Duration,
    /// Whether it waits for a partition to end.
    delayed: bool,
}

/// All calls in flight.
#[derive(Debug, Default)]
pub(super) struct Calls {
    calls: BTreeMap<u64, PendingCall>,
    attempts: BTreeMap<u64, Attempt>,
    replies: BTreeMap<u64, (Process, oneshot::Receiver<Answer>)>,
    next: u64,
}

impl Calls {
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Whether a call with this purpose is in flight.
    pub(super) fn is_under_way(&self, purpose: Purpose) -> bool {
        self.calls.values().any(|call| call.purpose == purpose)
    }
}

/// Maximum duration of a call, and maximum number of its attempts.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallLimits {
    pub(super) time: Duration,
    pub(super) attempts: usize,
}

impl World {
    /// Begins a call. `first` is tried first, then the others in any order; with `attempts` 1 only `first`.
    pub(super) fn begin_call(
        &mut self,
        purpose: Purpose,
        caller: Host,
        content: Content,
        first: usize,
        limits: CallLimits,
    ) -> u64 {
        let mut others: Vec<usize> = (0..self.controllers.len())
            .filter(|index| *index != first && !self.controllers[*index].retired)
            .collect();
        for last in (1..others.len()).rev() {
            let other = self.random.random_range(0..=last);
            others.swap(last, other);
        }
        let targets = std::iter::once(first).chain(others).collect();
        let call = self.calls.number();
        let pending_call = PendingCall {
            purpose,
            caller,
            content,
            targets,
            attempts: 0,
            max_attempts: limits.attempts,
            attempt: None,
            gives_up_at: self.now() + limits.time,
        };
        self.calls.calls.insert(call, pending_call);
        self.attempt(call);
        call
    }

    /// Sends a call to its next controller.
    pub(super) fn attempt(&mut self, call: u64) {
        let now = self.now();
        let Some(pending_call) = self.calls.calls.get_mut(&call) else { return };
        if pending_call.attempts >= pending_call.max_attempts || now >= pending_call.gives_up_at {
            let pending_call = self.calls.calls.remove(&call).expect("the call was found above");
            return self.record_give_up(&pending_call);
        }
        let target = pending_call.targets[pending_call.attempts % pending_call.targets.len()];
        pending_call.attempts += 1;
        let caller = pending_call.caller;
        let number = self.calls.number();
        if let Some(pending_call) = self.calls.calls.get_mut(&call) {
            pending_call.attempt = Some(number);
        }
        let host = Host::Controller(target);
        let delayed = !self.network.is_open(caller, host);
        self.calls.attempts.insert(number, Attempt { call, target, sent_at: now, delayed });
        let arrives = now + self.delay(caller, host);
        self.schedule(now + ANSWER_TIMEOUT, SimulationEvent::AttemptFails { attempt: number });
        if delayed {
            return;
        }
        if self.running(host).is_none() || self.network.is_refusing(host) {
            if self.network.is_open(host, caller) {
                self.schedule(arrives, SimulationEvent::AttemptFails { attempt: number });
            }
            return;
        }
        self.schedule(arrives, SimulationEvent::CallArrives { attempt: number });
    }

    /// Calls that were sent into a partition arrive once it has ended.
    pub(super) fn release_delayed_calls(&mut self) {
        let now = self.now();
        let mut arriving = Vec::new();
        for (number, attempt) in self.calls.attempts.iter_mut().filter(|(_, attempt)| attempt.delayed) {
            let Some(pending_call) = self.calls.calls.get(&attempt.call) else { continue };
            let open = self.network.is_open(pending_call.caller, Host::Controller(attempt.target));
            if open && now < attempt.sent_at + MAX_PARTITION_DELAY {
                attempt.delayed = false;
                arriving.push((*number, pending_call.caller, Host::Controller(attempt.target)));
            }
        }
        for (attempt, caller, target) in arriving {
            let late = self.delay(caller, target) + self.delay(caller, target);
            self.schedule(now + late, SimulationEvent::CallArrives { attempt });
        }
    }

    /// A call reaches a controller.
    pub(super) fn call_arrives(&mut self, number: u64) {
        let Some(attempt) = self.calls.attempts.get(&number) else { return };
        let target = attempt.target;
        let Some(pending_call) = self.calls.calls.get(&attempt.call) else { return };
        let Some(process) = self.running(Host::Controller(target)) else {
            return self.attempt_fails(number);
        };
        let (reply, answer) = oneshot::channel();
        let Content { method, path, if_match, body } = pending_call.content.clone();
        self.trace.call(self.clock.get(), target, method, &path, if_match, &body);
        let call = Call { method, path, if_match: if_match.map(Ok), body, reply };
        self.calls.replies.insert(number, (process, answer));
        self.deliver_to_controller(target, process, Delivery::Controller(Event::Call(call)));
        self.collect_answers(process);
    }

    /// Collects the answers of a controller and sends them to the callers.
    pub(super) fn collect_answers(&mut self, process: Process) {
        let mut answered = Vec::new();
        for (number, (_, reply)) in self.calls.replies.iter_mut().filter(|(_, (of, _))| *of == process) {
            match reply.try_recv() {
                Ok(answer) => answered.push((*number, answer)),
                Err(oneshot::error::TryRecvError::Closed) => {
                    answered.push((*number, Answer::error(503, "no clear answer")));
                }
                Err(oneshot::error::TryRecvError::Empty) => {}
            }
        }
        for (number, answer) in answered {
            self.calls.replies.remove(&number);
            self.trace.answer(self.clock.get(), process.host, answer.status, &answer.body);
            let Some(caller) = self.caller_of(number) else { continue };
            if self.network.is_open(process.host, caller) {
                let arrives = self.now() + self.delay(process.host, caller);
                self.schedule(arrives, SimulationEvent::AnswerArrives { attempt: number, answer });
            }
        }
    }

    fn caller_of(&self, attempt: u64) -> Option<Host> {
        let attempt = self.calls.attempts.get(&attempt)?;
        Some(self.calls.calls.get(&attempt.call)?.caller)
    }

    /// A controller has ended: its callers see a reset.
    pub(super) fn drop_answers(&mut self, process: Process) {
        let of_process = self.calls.replies.iter().filter(|(_, (of, _))| *of == process);
        let numbers: Vec<u64> = of_process.map(|(number, _)| *number).collect();
        for number in numbers {
            self.calls.replies.remove(&number);
            let Some(caller) = self.caller_of(number) else { continue };
            if self.network.is_open(process.host, caller) {
                let at = self.now() + self.delay(process.host, caller);
                self.schedule(at, SimulationEvent::AttemptFails { attempt: number });
            }
        }
    }

    /// The call whose attempt this is, if the caller still waits for it.
    fn take_waiting_call(&mut self, number: u64) -> Option<u64> {
        let call = self.calls.attempts.get(&number)?.call;
        let pending_call = self.calls.calls.get_mut(&call)?;
        if pending_call.attempt != Some(number) {
            return None;
        }
        pending_call.attempt = None;
        Some(call)
    }

    /// An answer reaches the caller.
    pub(super) fn answer_arrives(&mut self, number: u64, answer: Answer) {
        let Some(call) = self.take_waiting_call(number) else { return };
        self.calls.attempts.remove(&number);
        let pending_call = self.calls.calls.remove(&call).expect("the call of a pending attempt exists");
        if self.is_answered(&pending_call, &answer) {
            return;
        }
        self.calls.calls.insert(call, pending_call);
        self.retry_later(call);
    }

    /// The caller could not connect, or its wait for an answer has timed out.
    pub(super) fn attempt_fails(&mut self, number: u64) {
        let Some(call) = self.take_waiting_call(number) else {
            return;
        };
        self.retry_later(call);
    }

    fn retry_later(&mut self, call: u64) {
        let attempts = self.calls.calls.get(&call).map_or(0, |pending_call| pending_call.attempts);
        let backoff = (BACKOFF_STEP * attempts as u32).min(MAX_BACKOFF);
        self.schedule(self.now() + backoff, SimulationEvent::Retry { call });
    }

    /// Whether this answer ends the call.
    fn is_answered(&mut self, pending_call: &PendingCall, answer: &Answer) -> bool {
        match pending_call.purpose {
            Purpose::Change(number) => self.change_answered(number, answer, pending_call.attempts),
            Purpose::Read(number) => self.read_answered(number, answer, pending_call.attempts),
            Purpose::Heartbeat { endpoint, start } => self.heartbeat_answered(endpoint, start, answer.status),
            Purpose::Delete { endpoint, start } => self.delete_answered(endpoint, start, answer.status),
            Purpose::LateHeartbeat => true,
        }
    }

    fn record_give_up(&mut self, pending_call: &PendingCall) {
        match pending_call.purpose {
            Purpose::Change(number) => self.history.change_given_up(number),
            Purpose::Read(number) => self.history.read_given_up(number),
            Purpose::Heartbeat { .. } | Purpose::LateHeartbeat | Purpose::Delete { .. } => {}
        }
    }

    /// Cancels all calls whose purpose matches, with their attempts.
    pub(super) fn cancel_calls(&mut self, which: impl Fn(Purpose) -> bool) {
        self.calls.calls.retain(|_, pending_call| !which(pending_call.purpose));
    }
}
