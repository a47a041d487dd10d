//! Replacing the process while it serves. Whoever holds the lock on the folder that lasts is the courier; the
//! one before keeps only the calls that are out. `docs/design.md` tells the steps and what ends them early.

use super::calls::{CallEnd, Leave};
use super::channel::{self, Client, Ear, Ended, Known, Mouth, Out, State, Word};
use super::courier::{Courier, End, Endpoint, Held, STOP_ALL, STOP_LISTENING};
use super::intake::{Intake, PassedConnection, Reply};
use super::journal::unix;
use super::log::say;
use super::news::News;
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
/// How long either process waits for the other's next word; clients wait as long.
const WORD_TIME: Duration = Duration::from_millis(1500);
/// When the lock, or the process that holds it, is asked again.
const AGAIN: Duration = Duration::from_millis(20);
/// Calls that were cut off have closed their connections by then: after a last look for their answers.
const CUT: Duration = Duration::from_millis(30);

/// The socket's address by way of the open folder: the folder's own path may be longer than an address.
fn socket(folder: &Path) -> io::Result<(File, PathBuf)> {
    let open = File::open(folder)?;
    let path = PathBuf::from(format!("/proc/self/fd/{}/{SOCKET}", open.as_raw_fd()));
    Ok((open, path))
}

/// A process that wants to go on in this one's place.
pub struct Successor {
    mouth: Mouth,
    ear: Ear,
}

/// Hears of successors from now on.
pub fn listen(folder: &Path, news: Sender<News>) -> io::Result<AbortHandle> {
    let (_open, path) = socket(folder)?;
    // Left by a process that was killed: whoever has the lock may take its place.
    match fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(&path)?;
    let task = tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (mouth, mut ear) = channel::split(stream);
                    if let Ok(Ok((Word::Hello, _))) = timeout(WORD_TIME, ear.hear()).await {
                        let _ = news.send(News::Successor(Successor { mouth, ear })).await;
                    }
                }
                Err(e) => {
                    say!("handover: cannot accept: {e}");
                    sleep(AGAIN).await;
                }
            }
        }
    });
    Ok(task.abort_handle())
}

/// What the process before has left to this one.
pub struct Estate {
    /// The module as it was, and all that goes with it; none if it cannot be read.
    state: Option<(Scheduler, Box<State>)>,
    mouth: Mouth,
    ear: Ear,
}

/// Waits until this process is the courier: at once where no other is, else from the other's go on, or from its
/// end where the platform has them share no socket.
pub async fn take_over(
    folder: &Path,
    shared: bool,
    set: &Settings,
    seed: u64,
) -> io::Result<(Lock, Option<Estate>)> {
    let mut told = false;
    loop {
        if let Some(tenure) = Lock::take(folder)? {
            return Ok((tenure, None));
        }
        if !shared {
            sleep(AGAIN).await;
            continue;
        }
        match ask(folder, set, seed).await {
            Ok(estate) => {
                let since = Instant::now();
                while since.elapsed() < WORD_TIME {
                    if let Some(tenure) = Lock::take(folder)? {
                        return Ok((tenure, Some(estate)));
                    }
                    sleep(AGAIN / 10).await;
                }
            }
            Err(e) if !told => {
                say!("handover: the process that serves does not hand over yet: {e}");
                told = true;
            }
            Err(_) => {}
        }
        sleep(AGAIN).await;
    }
}

async fn ask(folder: &Path, set: &Settings, seed: u64) -> io::Result<Estate> {
    let (_open, path) = socket(folder)?;
    let (mouth, mut ear) = channel::split(UnixStream::connect(path).await?);
    mouth.say(&Word::Hello, None).await?;
    let (Word::State(state), _) = timeout(WORD_TIME, ear.hear()).await?? else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let scheduler = Scheduler::unpack(&state.scheduler, set.clone(), seed);
    let scheduler =
        scheduler.inspect_err(|e| say!("handover: starting from the journal, the state is of no use: {e}"));
    mouth.say(&Word::Ready { whole: scheduler.is_ok() }, None).await?;
    match timeout(WORD_TIME, ear.hear()).await?? {
        (Word::Go, _) => Ok(Estate { state: scheduler.ok().map(|b| (b, state)), mouth, ear }),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

impl Estate {
    /// Lets the courier go on where the other stopped, and hears from now on what that has still to tell.
    pub fn enter(self, courier: &mut Courier, intake: Rc<Intake>, register: Arc<Register>) {
        let Estate { state, mouth, ear } = self;
        let mut out = HashMap::new();
        match state {
            Some((scheduler, state)) => {
                out.extend(state.out.iter().map(|o| (o.message, (o.attempt, o.endpoint))));
                courier.inherit(scheduler, *state, &mouth);
            }
            None => courier.begin(),
        }
        let news = courier.news.clone();
        tokio::task::spawn_local(hear(ear, mouth, out, news, intake, register));
    }
}

/// Hears the process before until it ends. The calls that it had out then have broken.
async fn hear(
    mut ear: Ear,
    mouth: Mouth,
    mut out: HashMap<u64, (u32, EndpointId)>,
    news: Sender<News>,
    intake: Rc<Intake>,
    register: Arc<Register>,
) {
    let mut clients = 0;
    loop {
        match ear.hear().await {
            Ok((Word::Client(client), Some(descriptor))) => {
                clients += 1;
                if let Err(e) = intake.clone().adopt(descriptor, client) {
                    say!("handover: a client's connection cannot be used: {e}");
                }
            }
            Ok((Word::Ended(ended), _)) => {
                out.remove(&ended.message);
                let (report, at) = (ended.report(), Instant::now());
                let at = at.checked_sub(ended.age).unwrap_or(at);
                let end = CallEnd { outcome: ended.outcome, over: ended.over, report, at };
                let Ended { message, attempt, endpoint, .. } = ended;
                let _ = news.send(News::Called { message, attempt, endpoint, end }).await;
            }
            Ok((Word::Operate(number, change), _)) => {
                let (register, mouth) = (register.clone(), mouth.clone());
                tokio::task::spawn_local(async move {
                    let set = register.set(change).await;
                    let _ = mouth.say(&Word::Operated(number, set), None).await;
                });
            }
            Ok(_) => {}
            Err(_) => break,
        }
    }
    say!("handover: the process before has ended; {clients} clients came from it, {} calls broke", out.len());
    for (message, (attempt, endpoint)) in out {
        let end = CallEnd { outcome: Outcome::Reset, over: false, report: None, at: Instant::now() };
        let _ = news.send(News::Called { message, attempt, endpoint, end }).await;
    }
}

impl Courier {
    /// All that its successor needs beside the journal.
    fn state(&self) -> Result<State, String> {
        let zone = |e: &Endpoint| self.config.zones.get(e.zone).cloned().unwrap_or_default();
        let endpoints = self.endpoints.iter().map(|(id, e)| Known {
            id: *id,
            host: e.host.clone(),
            dial: e.address.map(|a| a.to_string()),
            zone: zone(e),
            ready: e.ready,
            listed: e.listed,
        });
        let out = self.held.iter().filter_map(|(message, m)| {
            let (sent, _) = m.out.as_ref()?;
            let (endpoint, attempt) = (m.leave.as_ref()?.0, m.attempts.checked_sub(1)?);
            Some(Out { message: *message, endpoint, attempt, age: sent.elapsed() })
        });
        Ok(State {
            scheduler: self.scheduler.pack()?,
            clock: self.origin.elapsed(),
            at: unix(),
            endpoints: endpoints.collect(),
            numbered: self.numbered,
            destinations: self.destinations.iter().copied().collect(),
            list: self.seq,
            out: out.collect(),
            last: self.next - 1,
        })
    }

    /// Goes on in another's place: with its module, on its clock, under its numbers.
    fn inherit(&mut self, scheduler: Scheduler, state: State, mouth: &Mouth) {
        let clock = state.clock + unix().saturating_sub(state.at);
        self.origin = Instant::now().checked_sub(clock).unwrap_or(self.origin);
        self.scheduler = scheduler;
        for known in state.endpoints {
            let (zone, address) = (self.zone(&known.zone), known.dial.and_then(|d| d.parse().ok()));
            let Known { id, host, ready, listed, .. } = known;
            self.numbers.insert(host.clone(), id);
            self.endpoints.insert(id, Endpoint { host, address, zone, ready, listed });
        }
        self.numbered = state.numbered;
        self.destinations = state.destinations.into_iter().collect();
        (self.seq, self.listed) = (state.list, state.list.is_some());
        self.next = self.next.max(state.last + 1);
        self.publish_hosts();
        let now = Instant::now();
        let mut out: HashMap<u64, Out> = state.out.into_iter().map(|o| (o.message, o)).collect();
        let live: Vec<_> = self.journal.live().map(|(n, m)| (n, m.clone())).collect();
        for (message, m) in live {
            if !self.scheduler.knows(MessageId(message)) {
                self.resume(message);
                continue;
            }
            self.ids.insert(m.letter.id.clone(), message);
            if let Some(verdict) = m.verdict {
                self.tell(message, m.letter.id.clone(), verdict);
            }
            let out = out.remove(&message);
            let leave = out.as_ref().map(|o| (o.endpoint, Leave::default()));
            let out = out.map(|o| {
                let (cancel, cancelled) = oneshot::channel();
                let mouth = mouth.clone();
                tokio::task::spawn_local(async move {
                    if cancelled.await.is_ok() {
                        let _ = mouth.say(&Word::Cancel(message), None).await;
                    }
                });
                (now.checked_sub(o.age).unwrap_or(now), Some(cancel))
            });
            if m.verdict.is_none() || out.is_some() {
                let (letter, attempts) = (m.letter, m.attempts.len() as u32);
                self.held.insert(message, Held { letter, attempts, out, leave });
            }
        }
        // What operators set last may be on record and not yet in the module.
        let set =
            self.endpoints.iter().map(|(endpoint, e)| (*endpoint, self.standing.register.is_out(&e.host)));
        let set = set.map(|(endpoint, out)| Event::Maintenance { endpoint, out });
        let set: Vec<_> = set.collect();
        self.events.extend(set);
        // The wake-up that the module had asked for has stayed behind; this makes it ask again.
        self.events.push(Event::Woken { token: 0 });
    }

    /// Offers all to the successor. False if this process is still the courier; after true it never is again.
    pub async fn hand_over(&mut self, to: &mut Successor, tenure: &mut Option<Lock>) -> bool {
        match self.offer(to).await {
            Ok(()) => {}
            Err(e) => {
                say!("handover: not taken over: {e}");
                return false;
            }
        }
        drop(tenure.take());
        // Nothing that cannot be said here changes what was given up: the lock tells who goes on.
        if let Err(e) = to.mouth.say(&Word::Go, None).await {
            say!("handover: the successor is gone: {e}");
        }
        true
    }

    async fn offer(&mut self, to: &mut Successor) -> io::Result<()> {
        // A call without its connection does not begin any more.
        self.held.values().filter_map(|m| m.leave.as_ref()).for_each(|(_, leave)| leave.recall());
        if !self.settle_whole().await {
            return Err(io::Error::other("the journal cannot be written"));
        }
        let state = self.state().map_err(io::Error::other)?;
        say!("handover: to a successor, with {} calls out", state.out.len());
        timeout(WORD_TIME, to.mouth.say(&Word::State(Box::new(state)), None)).await??;
        match timeout(WORD_TIME, to.ear.hear()).await?? {
            (Word::Ready { whole: true }, _) => Ok(()),
            (Word::Ready { whole: false }, _) => {
                // It will take these for broken.
                self.held.values_mut().for_each(|m| m.cancel());
                sleep(CUT).await;
                Ok(())
            }
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// After the go: passes on clients and the ends of calls until it is told to stop and all have ended.
    pub async fn linger(
        mut self,
        mut to: Successor,
        mut inbox: Receiver<News>,
        mut clients: UnboundedReceiver<PassedConnection>,
        mut forwards: UnboundedReceiver<Forward>,
    ) -> End {
        self.leave_watch();
        self.calls.close_all();
        let (mut asked, mut waiting) = (0, HashMap::new());
        loop {
            let word = tokio::select! {
                biased;
                Some(PassedConnection { descriptor, received, age, served }) = clients.recv() => {
                    let client = Word::Client(Client { heard: received, age, served });
                    // A successor that is gone is heard below.
                    let _ = to.mouth.say(&client, Some(descriptor)).await;
                    None
                }
                Some((change, reply)) = forwards.recv() => {
                    asked += 1;
                    waiting.insert(asked, reply);
                    Some(Word::Operate(asked, change))
                }
                Some(news) = inbox.recv() => self.late(news),
                word = to.ear.hear() => {
                    match word {
                        Ok((Word::Cancel(message), _)) => {
                            self.held.get_mut(&message).into_iter().for_each(Held::cancel);
                        }
                        Ok((Word::Operated(number, set), _)) => {
                            if let Some(reply) = waiting.remove(&number) {
                                let _ = reply.send(set);
                            }
                        }
                        Ok(_) => {}
                        Err(_) if self.stopping.is_some() => return End::Stopped,
                        Err(e) => {
                            say!("handover: the successor has ended: {e}");
                            return End::Bereft;
                        }
                    }
                    None
                }
                () = sleep(AGAIN) => None,
            };
            if let Some(word) = word {
                let _ = to.mouth.say(&word, None).await;
            }
            if let Some(since) = self.stopping.map(|at| at.elapsed()) {
                let calls = self.held.values().any(|m| m.out.is_some());
                let clients = !self.standing.open.borrow().is_empty() && since < STOP_LISTENING;
                if since >= STOP_ALL || !(calls || clients) {
                    return End::Stopped;
                }
            }
        }
    }

    /// News that came after the go.
    fn late(&mut self, news: News) -> Option<Word> {
        match news {
            News::Called { message, attempt, endpoint, end } => {
                let m = self.held.get_mut(&message)?;
                m.out.take()?;
                say!("{} attempt {attempt}: {:?}, told to the successor", m.letter.id, end.outcome);
                Some(Word::Ended(Ended {
                    message,
                    attempt,
                    endpoint,
                    outcome: end.outcome,
                    over: end.over,
                    report: end.report.map(|r| (r.left, r.limit)),
                    age: end.at.elapsed(),
                }))
            }
            News::Offered(offer) => {
                let _ = offer.reply.send(Reply::Unavailable);
                None
            }
            News::Stop => {
                self.stopping.get_or_insert(Instant::now());
                None
            }
            _ => None,
        }
    }
}
