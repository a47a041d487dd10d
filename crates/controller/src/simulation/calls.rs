//! Calls of operators and endpoints to controllers: sent, answered, lost, and sent again elsewhere.

use super::connection::Process;
use super::place::Place;
use super::world::{Happening, Notice, World};
use crate::controller::{Answer, Call, Event, Method};
use bytes::Bytes;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// A caller that has no answer for so long tries another controller.
const ANSWER_PATIENCE: Duration = Duration::from_secs(1);
/// What was sent into a cut still arrives if the cut ends within this time.
const HELD_TIME: Duration = Duration::from_millis(1_500);
/// The pause before another try grows by this with each one.
const PAUSE_STEP: Duration = Duration::from_millis(100);
/// Longest pause before another try.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What a call is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A change of the configuration, by its number in the history.
    Change(usize),
    /// A read of the configuration, by its number in the history.
    Read(usize),
    /// A heartbeat of an endpoint in one of its lives.
    Beat { endpoint: usize, start: u64 },
    /// The end of an endpoint.
    Delete { endpoint: usize, start: u64 },
}

/// What is sent.
#[derive(Debug, Clone)]
pub(super) struct Content {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) if_match: Option<u64>,
    pub(super) body: Bytes,
}

/// A call with all its tries.
#[derive(Debug)]
pub(super) struct Calling {
    pub(super) purpose: Purpose,
    caller: Place,
    content: Content,
    /// Controllers in the order in which they are tried, again and again.
    targets: Vec<usize>,
    tries: usize,
    most_tries: usize,
    /// The try under way.
    attempt: Option<u64>,
    gives_up_at: Duration,
}

/// One try.
#[derive(Debug)]
struct Attempt {
    call: u64,
    target: usize,
    sent_at: Duration,
    /// Whether it waits for a cut to end.
    held: bool,
}

/// All calls under way.
#[derive(Debug, Default)]
pub(super) struct Calls {
    calls: BTreeMap<u64, Calling>,
    attempts: BTreeMap<u64, Attempt>,
    replies: BTreeMap<u64, (Process, oneshot::Receiver<Answer>)>,
    next: u64,
}

impl Calls {
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Whether a call about this is under way.
    pub(super) fn is_under_way(&self, purpose: Purpose) -> bool {
        self.calls.values().any(|call| call.purpose == purpose)
    }
}

/// How long a caller goes on, and how often.
#[derive(Debug, Clone, Copy)]
pub(super) struct Patience {
    pub(super) time: Duration,
    pub(super) tries: usize,
}

impl World {
    /// Begins a call. `first` is tried first, then the others in any order; with `tries` 1 only `first`.
    pub(super) fn begin_call(
        &mut self,
        purpose: Purpose,
        caller: Place,
        content: Content,
        first: usize,
        patience: Patience,
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
        let calling = Calling {
            purpose,
            caller,
            content,
            targets,
            tries: 0,
            most_tries: patience.tries,
            attempt: None,
            gives_up_at: self.now() + patience.time,
        };
        self.calls.calls.insert(call, calling);
        self.attempt(call);
        call
    }

    /// Sends a call to its next controller.
    pub(super) fn attempt(&mut self, call: u64) {
        let now = self.now();
        let Some(calling) = self.calls.calls.get_mut(&call) else { return };
        if calling.tries >= calling.most_tries || now >= calling.gives_up_at {
            let calling = self.calls.calls.remove(&call).expect("it was just there");
            return self.gave_up(&calling);
        }
        let target = calling.targets[calling.tries % calling.targets.len()];
        calling.tries += 1;
        let caller = calling.caller;
        let number = self.calls.number();
        if let Some(calling) = self.calls.calls.get_mut(&call) {
            calling.attempt = Some(number);
        }
        let place = Place::Controller(target);
        let held = !self.network.is_open(caller, place);
        self.calls.attempts.insert(number, Attempt { call, target, sent_at: now, held });
        let arrives = now + self.delay();
        self.schedule(now + ANSWER_PATIENCE, Happening::AttemptFails { attempt: number });
        if held {
            return;
        }
        if self.running(place).is_none() || self.network.is_refusing(place) {
            if self.network.is_open(place, caller) {
                self.schedule(arrives, Happening::AttemptFails { attempt: number });
            }
            return;
        }
        self.schedule(arrives, Happening::CallArrives { attempt: number });
    }

    /// Calls that were sent into a cut arrive once it has ended.
    pub(super) fn release_held_calls(&mut self) {
        let now = self.now();
        let mut arriving = Vec::new();
        for (number, attempt) in self.calls.attempts.iter_mut().filter(|(_, attempt)| attempt.held) {
            let Some(calling) = self.calls.calls.get(&attempt.call) else { continue };
            let open = self.network.is_open(calling.caller, Place::Controller(attempt.target));
            if open && now < attempt.sent_at + HELD_TIME {
                attempt.held = false;
                arriving.push(*number);
            }
        }
        for attempt in arriving {
            let late = self.delay() + self.delay();
            self.schedule(now + late, Happening::CallArrives { attempt });
        }
    }

    /// A call reaches a controller.
    pub(super) fn call_arrives(&mut self, number: u64) {
        let Some(attempt) = self.calls.attempts.get(&number) else { return };
        let target = attempt.target;
        let Some(calling) = self.calls.calls.get(&attempt.call) else { return };
        let Some(process) = self.running(Place::Controller(target)) else {
            return self.attempt_fails(number);
        };
        let (reply, answer) = oneshot::channel();
        let Content { method, path, if_match, body } = calling.content.clone();
        self.trace.call(self.clock.get(), target, method, &path, if_match, &body);
        let call = Call { method, path, if_match: if_match.map(Ok), body, reply };
        self.calls.replies.insert(number, (process, answer));
        self.tell_controller(target, process, Notice::Controller(Event::Call(call)));
        self.collect_answers(process);
    }

    /// Takes the answers that a controller has given.
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
            self.trace.answer(self.clock.get(), process.place, answer.status, &answer.body);
            let caller = self.caller_of(number);
            if caller.is_some_and(|caller| self.network.is_open(process.place, caller)) {
                let arrives = self.now() + self.delay();
                self.schedule(arrives, Happening::AnswerArrives { attempt: number, answer });
            }
        }
    }

    fn caller_of(&self, attempt: u64) -> Option<Place> {
        let attempt = self.calls.attempts.get(&attempt)?;
        Some(self.calls.calls.get(&attempt.call)?.caller)
    }

    /// A controller has ended: its callers see a reset.
    pub(super) fn drop_answers(&mut self, process: Process) {
        let of_process = self.calls.replies.iter().filter(|(_, (of, _))| *of == process);
        let numbers: Vec<u64> = of_process.map(|(number, _)| *number).collect();
        for number in numbers {
            self.calls.replies.remove(&number);
            let caller = self.caller_of(number);
            if caller.is_some_and(|caller| self.network.is_open(process.place, caller)) {
                let at = self.now() + self.delay();
                self.schedule(at, Happening::AttemptFails { attempt: number });
            }
        }
    }

    /// The calling whose try this is, if the caller still waits for it.
    fn waiting_for(&mut self, number: u64) -> Option<u64> {
        let call = self.calls.attempts.get(&number)?.call;
        let calling = self.calls.calls.get_mut(&call)?;
        if calling.attempt != Some(number) {
            return None;
        }
        calling.attempt = None;
        Some(call)
    }

    /// An answer reaches the caller.
    pub(super) fn answer_arrives(&mut self, number: u64, answer: Answer) {
        let Some(call) = self.waiting_for(number) else { return };
        self.calls.attempts.remove(&number);
        let calling = self.calls.calls.remove(&call).expect("somebody waits for it");
        if self.is_answered(&calling, &answer) {
            return;
        }
        self.calls.calls.insert(call, calling);
        self.retry_later(call);
    }

    /// The caller has waited for long, or could not connect.
    pub(super) fn attempt_fails(&mut self, number: u64) {
        let Some(call) = self.waiting_for(number) else {
            return;
        };
        self.retry_later(call);
    }

    fn retry_later(&mut self, call: u64) {
        let tries = self.calls.calls.get(&call).map_or(0, |calling| calling.tries);
        let pause = (PAUSE_STEP * tries as u32).min(LONGEST_PAUSE);
        self.schedule(self.now() + pause, Happening::Retry { call });
    }

    /// Whether this answer ends the call.
    fn is_answered(&mut self, calling: &Calling, answer: &Answer) -> bool {
        match calling.purpose {
            Purpose::Change(number) => self.change_answered(number, answer, calling.tries),
            Purpose::Read(number) => self.read_answered(number, answer, calling.tries),
            Purpose::Beat { endpoint, start } => self.beat_answered(endpoint, start, answer.status),
            Purpose::Delete { endpoint, start } => self.delete_answered(endpoint, start, answer.status),
        }
    }

    fn gave_up(&mut self, calling: &Calling) {
        match calling.purpose {
            Purpose::Change(number) => self.history.change_given_up(number),
            Purpose::Read(number) => self.history.read_given_up(number),
            Purpose::Beat { .. } | Purpose::Delete { .. } => {}
        }
    }

    /// Ends all tries of calls about something.
    pub(super) fn cancel_calls(&mut self, which: impl Fn(Purpose) -> bool) {
        self.calls.calls.retain(|_, calling| !which(calling.purpose));
    }
}
