//! Replaces the process without downtime. The process that holds the lock on the state folder is the courier;
//! its predecessor keeps only its calls in flight. `docs/design.md` describes the steps and what aborts them.

use super::calls::{CallEnd, StartPermit};
use super::channel::{
    self, ClientConnection, EndedCall, HandoverMessage, HandoverReceiver, HandoverSender, HandoverState,
    InFlightCall, KnownEndpoint,
};
use super::courier::{Courier, End, Endpoint, HeldMessage, STOP_ALL, STOP_LISTENING};
use super::input::Input;
use super::intake::{Intake, PassedConnection, Reply};
use super::journal::unix;
use super::log::log_line;
use super::register::{Forward, Register};
use crate::interface::{EndpointId, Event, MessageId, Outcome, Settings};
use crate::scheduler::Scheduler;
use crate::store::lock::Lock;
use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{Receiver, Sender, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

const SOCKET: &str = "handover";
/// How long either process waits for the other's next message; clients wait as long.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which the lock, or the process that holds it, is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// By then cancelled calls have checked once more for a response and closed their connections.
const CANCEL_GRACE: Duration = Duration::from_millis(30);

/// The socket's address through the open folder: the folder's own path may exceed the length limit of a Unix
/// socket address.
fn socket(folder: &Path) -> io::Result<(File, PathBuf)> {
    let open = File::open(folder)?;
    let path = PathBuf::from(format!("/proc/self/fd/{}/{SOCKET}", open.as_raw_fd()));
    Ok((open, path))
}

/// A process that wants to take this one's place.
pub struct Successor {
    sender: HandoverSender,
    receiver: HandoverReceiver,
}

/// Accepts successors from now on.
pub fn listen(folder: &Path, inputs: Sender<Input>) -> io::Result<AbortHandle> {
    let (_open, path) = socket(folder)?;
    // Left by a killed process: whoever holds the lock may replace it.
    match fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(&path)?;
    let task = tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (sender, mut receiver) = channel::split(stream);
                    if let Ok(Ok((HandoverMessage::Hello, _))) =
                        timeout(MESSAGE_TIMEOUT, receiver.receive()).await
                    {
                        let _ = inputs.send(Input::Successor(Successor { sender, receiver })).await;
                    }
                }
                Err(e) => {
                    log_line!("handover: cannot accept: {e}");
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    });
    Ok(task.abort_handle())
}

/// The connection to the previous process, and what it has handed over.
pub struct Predecessor {
    /// The scheduler and the rest of the state; None if they could not be read.
    state: Option<(Scheduler, Box<HandoverState>)>,
    sender: HandoverSender,
    receiver: HandoverReceiver,
}

/// Waits until this process is the courier: at once if there is no other; else when the other releases the
/// lock in a handover, or ends where the platform does not share the listening socket.
pub async fn take_over(
    folder: &Path,
    shared: bool,
    set: &Settings,
    seed: u64,
) -> io::Result<(Lock, Option<Predecessor>)> {
    let mut reported = false;
    loop {
        if let Some(lock) = Lock::take(folder)? {
            return Ok((lock, None));
        }
        if !shared {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        match request_handover(folder, set, seed).await {
            Ok(predecessor) => {
                let since = Instant::now();
                while since.elapsed() < MESSAGE_TIMEOUT {
                    if let Some(lock) = Lock::take(folder)? {
                        return Ok((lock, Some(predecessor)));
                    }
                    sleep(RETRY_INTERVAL / 10).await;
                }
            }
            Err(e) if !reported => {
                log_line!("handover: the serving process does not hand over yet: {e}");
                reported = true;
            }
            Err(_) => {}
        }
        sleep(RETRY_INTERVAL).await;
    }
}

async fn request_handover(folder: &Path, set: &Settings, seed: u64) -> io::Result<Predecessor> {
    let (_open, path) = socket(folder)?;
    let (sender, mut receiver) = channel::split(UnixStream::connect(path).await?);
    sender.send(&HandoverMessage::Hello, None).await?;
    let (HandoverMessage::State(state), _) = timeout(MESSAGE_TIMEOUT, receiver.receive()).await?? else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let scheduler = Scheduler::unpack(&state.scheduler, set.clone(), seed);
    let scheduler = scheduler
        .inspect_err(|e| log_line!("handover: cannot load the state, starting from the journal: {e}"));
    sender.send(&HandoverMessage::Ready { state_loaded: scheduler.is_ok() }, None).await?;
    match timeout(MESSAGE_TIMEOUT, receiver.receive()).await?? {
        (HandoverMessage::LockReleased, _) => {
            Ok(Predecessor { state: scheduler.ok().map(|b| (b, state)), sender, receiver })
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

impl Predecessor {
    /// Resumes where the predecessor stopped, and from now on processes its messages.
    pub fn resume_into(self, courier: &mut Courier, intake: Rc<Intake>, register: Arc<Register>) {
        let Predecessor { state, sender, receiver } = self;
        let mut out = HashMap::new();
        match state {
            Some((scheduler, state)) => {
                out.extend(state.in_flight.iter().map(|o| (o.message, (o.attempt, o.endpoint))));
                courier.inherit(scheduler, *state, &sender);
            }
            None => courier.begin(),
        }
        let inputs = courier.inputs.clone();
        tokio::task::spawn_local(receive_messages(receiver, sender, out, inputs, intake, register));
    }
}

/// Processes the predecessor's messages until it ends. Calls that it still had in flight then count as reset.
async fn receive_messages(
    mut receiver: HandoverReceiver,
    sender: HandoverSender,
    mut out: HashMap<u64, (u32, EndpointId)>,
    inputs: Sender<Input>,
    intake: Rc<Intake>,
    register: Arc<Register>,
) {
    let mut clients = 0;
    loop {
        match receiver.receive().await {
            Ok((HandoverMessage::Client(client), Some(descriptor))) => {
                clients += 1;
                if let Err(e) = intake.clone().adopt(descriptor, client) {
                    log_line!("handover: cannot take over a client connection: {e}");
                }
            }
            Ok((HandoverMessage::Ended(ended), _)) => {
                out.remove(&ended.message);
                let (report, at) = (ended.report(), Instant::now());
                let at = at.checked_sub(ended.age).unwrap_or(at);
                let end = CallEnd { outcome: ended.outcome, over: ended.over, report, at };
                let EndedCall { message, attempt, endpoint, .. } = ended;
                let _ = inputs.send(Input::CallEnded { message, attempt, endpoint, end }).await;
            }
            Ok((HandoverMessage::OperatorChange(number, change), _)) => {
                let (register, sender) = (register.clone(), sender.clone());
                tokio::task::spawn_local(async move {
                    let set = register.set(change).await;
                    let _ = sender.send(&HandoverMessage::OperatorChangeResult(number, set), None).await;
                });
            }
            Ok(_) => {}
            Err(_) => break,
        }
    }
    log_line!(
        "handover: the previous process has ended; {clients} client connections came from it, {} calls were lost",
        out.len()
    );
    for (message, (attempt, endpoint)) in out {
        let end = CallEnd { outcome: Outcome::Reset, over: false, report: None, at: Instant::now() };
        let _ = inputs.send(Input::CallEnded { message, attempt, endpoint, end }).await;
    }
}

impl Courier {
    /// All state that the successor needs beside the journal.
    fn state(&self) -> Result<HandoverState, String> {
        let zone = |e: &Endpoint| self.config.zones.get(e.zone).cloned().unwrap_or_default();
        let endpoints = self.endpoints.iter().map(|(id, e)| KnownEndpoint {
            id: *id,
            host: e.host.clone(),
            dial: e.address.map(|a| a.to_string()),
            zone: zone(e),
            ready: e.ready,
            listed: e.listed,
        });
        let in_flight = self.held.iter().filter_map(|(message, m)| {
            let (sent, _) = m.in_flight.as_ref()?;
            let (endpoint, attempt) = (m.start_permit.as_ref()?.0, m.attempts.checked_sub(1)?);
            Some(InFlightCall { message: *message, endpoint, attempt, age: sent.elapsed() })
        });
        Ok(HandoverState {
            scheduler: self.scheduler.pack()?,
            clock: self.origin.elapsed(),
            unix_time: unix(),
            endpoints: endpoints.collect(),
            endpoint_ids_assigned: self.numbered,
            destinations: self.destinations.iter().copied().collect(),
            list_version: self.seq,
            in_flight: in_flight.collect(),
            last_message: self.next - 1,
        })
    }

    /// Takes over the predecessor's scheduler, clock and numbering.
    fn inherit(&mut self, scheduler: Scheduler, state: HandoverState, sender: &HandoverSender) {
        let clock = state.clock + unix().saturating_sub(state.unix_time);
        self.origin = Instant::now().checked_sub(clock).unwrap_or(self.origin);
        self.scheduler = scheduler;
        for known in state.endpoints {
            let (zone, address) = (self.zone(&known.zone), known.dial.and_then(|d| d.parse().ok()));
            let KnownEndpoint { id, host, ready, listed, .. } = known;
            self.numbers.insert(host.clone(), id);
            self.endpoints.insert(id, Endpoint { host, address, zone, ready, listed });
        }
        self.numbered = state.endpoint_ids_assigned;
        self.destinations = state.destinations.into_iter().collect();
        (self.seq, self.listed) = (state.list_version, state.list_version.is_some());
        self.next = self.next.max(state.last_message + 1);
        self.publish_hosts();
        let now = Instant::now();
        let mut out: HashMap<u64, InFlightCall> =
            state.in_flight.into_iter().map(|o| (o.message, o)).collect();
        let live: Vec<_> = self.journal.live().map(|(n, m)| (n, m.clone())).collect();
        for (message, m) in live {
            if !self.scheduler.knows(MessageId(message)) {
                self.resume(message);
                continue;
            }
            self.ids.insert(m.submitted.id.clone(), message);
            if let Some(verdict) = m.verdict {
                self.queue_notice(message, m.submitted.id.clone(), verdict);
            }
            let out = out.remove(&message);
            let start_permit = out.as_ref().map(|o| (o.endpoint, StartPermit::default()));
            let out = out.map(|o| {
                let (cancel, cancelled) = oneshot::channel();
                let sender = sender.clone();
                tokio::task::spawn_local(async move {
                    if cancelled.await.is_ok() {
                        let _ = sender.send(&HandoverMessage::Cancel(message), None).await;
                    }
                });
                (now.checked_sub(o.age).unwrap_or(now), Some(cancel))
            });
            if m.verdict.is_none() || out.is_some() {
                let (submitted, attempts) = (m.submitted, m.attempts.len() as u32);
                self.held.insert(message, HeldMessage { submitted, attempts, in_flight: out, start_permit });
            }
        }
        // The latest operator changes may be recorded and not yet known to the scheduler.
        let set = self
            .endpoints
            .iter()
            .map(|(endpoint, e)| (*endpoint, self.intake_state.register.is_out(&e.host)));
        let set = set.map(|(endpoint, out)| Event::Maintenance { endpoint, out });
        let set: Vec<_> = set.collect();
        self.events.extend(set);
        // The wake-up that the scheduler had requested stayed in the old process; this makes it request
        // another.
        self.events.push(Event::Woken { token: 0 });
    }

    /// Offers the state to the successor. False if this process is still the courier; after true it never is
    /// again.
    pub async fn hand_over(&mut self, to: &mut Successor, lock: &mut Option<Lock>) -> bool {
        match self.send_state(to).await {
            Ok(()) => {}
            Err(e) => {
                log_line!("handover: aborted, this process keeps serving: {e}");
                return false;
            }
        }
        drop(lock.take());
        // If this message cannot be sent, the lock is released all the same: whoever takes it is the courier.
        if let Err(e) = to.sender.send(&HandoverMessage::LockReleased, None).await {
            log_line!("handover: cannot reach the successor after releasing the lock: {e}");
        }
        true
    }

    async fn send_state(&mut self, to: &mut Successor) -> io::Result<()> {
        // A call that has no connection yet is not started any more.
        self.held
            .values()
            .filter_map(|m| m.start_permit.as_ref())
            .for_each(|(_, start_permit)| start_permit.revoke());
        if !self.commit_all().await {
            return Err(io::Error::other("the journal cannot be written"));
        }
        let state = self.state().map_err(io::Error::other)?;
        log_line!(
            "handover: sending the state to a successor, with {} calls in flight",
            state.in_flight.len()
        );
        timeout(MESSAGE_TIMEOUT, to.sender.send(&HandoverMessage::State(Box::new(state)), None)).await??;
        match timeout(MESSAGE_TIMEOUT, to.receiver.receive()).await?? {
            (HandoverMessage::Ready { state_loaded: true }, _) => Ok(()),
            (HandoverMessage::Ready { state_loaded: false }, _) => {
                // The successor will count these calls as reset.
                self.held.values_mut().for_each(|m| m.cancel());
                sleep(CANCEL_GRACE).await;
                Ok(())
            }
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// After the handover: passes client connections and the ends of calls to the successor, until this
    /// process is told to stop and all of them are done.
    pub async fn drain_after_handover(
        mut self,
        mut to: Successor,
        mut inbox: Receiver<Input>,
        mut clients: UnboundedReceiver<PassedConnection>,
        mut forwards: UnboundedReceiver<Forward>,
    ) -> End {
        self.leave_watch();
        self.calls.close_all();
        let (mut asked, mut waiting) = (0, HashMap::new());
        loop {
            let message = tokio::select! {
                biased;
                Some(PassedConnection { descriptor, received, age, served }) = clients.recv() => {
                    let client = HandoverMessage::Client(ClientConnection { received, age, served });
                    // If the successor has ended, the receive below reports it.
                    let _ = to.sender.send(&client, Some(descriptor)).await;
                    None
                }
                Some((change, reply)) = forwards.recv() => {
                    asked += 1;
                    waiting.insert(asked, reply);
                    Some(HandoverMessage::OperatorChange(asked, change))
                }
                Some(inputs) = inbox.recv() => self.handle_late_news(inputs),
                message = to.receiver.receive() => {
                    match message {
                        Ok((HandoverMessage::Cancel(message), _)) => {
                            self.held.get_mut(&message).into_iter().for_each(HeldMessage::cancel);
                        }
                        Ok((HandoverMessage::OperatorChangeResult(number, set), _)) => {
                            if let Some(reply) = waiting.remove(&number) {
                                let _ = reply.send(set);
                            }
                        }
                        Ok(_) => {}
                        Err(_) if self.stopping.is_some() => return End::Stopped,
                        Err(e) => {
                            log_line!("handover: the successor has ended: {e}");
                            return End::SuccessorExited;
                        }
                    }
                    None
                }
                () = sleep(RETRY_INTERVAL) => None,
            };
            if let Some(message) = message {
                let _ = to.sender.send(&message, None).await;
            }
            if let Some(since) = self.stopping.map(|at| at.elapsed()) {
                let calls = self.held.values().any(|m| m.in_flight.is_some());
                let clients = !self.intake_state.open.borrow().is_empty() && since < STOP_LISTENING;
                if since >= STOP_ALL || !(calls || clients) {
                    return End::Stopped;
                }
            }
        }
    }

    /// Handles events that arrive after the handover.
    fn handle_late_news(&mut self, inputs: Input) -> Option<HandoverMessage> {
        match inputs {
            Input::CallEnded { message, attempt, endpoint, end } => {
                let m = self.held.get_mut(&message)?;
                m.in_flight.take()?;
                log_line!("{} attempt {attempt}: {:?}, passed to the successor", m.submitted.id, end.outcome);
                Some(HandoverMessage::Ended(EndedCall {
                    message,
                    attempt,
                    endpoint,
                    outcome: end.outcome,
                    over: end.over,
                    report: end.report.map(|r| (r.left, r.limit)),
                    age: end.at.elapsed(),
                }))
            }
            Input::Submitted(submission) => {
                let _ = submission.reply.send(Reply::Unavailable);
                None
            }
            Input::Stop => {
                self.stopping.get_or_insert(Instant::now());
                None
            }
            _ => None,
        }
    }
}
