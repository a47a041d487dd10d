//! The only owner of the decision module. Feeds it what happened, no oftener than once a tick, and carries
//! out what it asks for; holds bodies, ids and timers. It decides nothing about a message itself.

use super::calls::{Call, CallEnd, Calls, Leave};
use super::commit::{Due, Dues};
use super::config::Config;
use super::discovery::{Health, List, Watch};
use super::handover::Successor;
use super::intake::{Offer, Reply, Standing};
use super::journal::{Attempt, Journal, Letter, Scrubbed, Verdict, unix};
use super::log::say;
use super::news::News;
use super::outcomes::{Notice, Platform};
use super::register::{Change, Register};
use crate::brain::Brain;
use crate::interface::{self, *};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, yield_now};
use tokio::time::{Instant, sleep, sleep_until};

/// After SIGTERM: how long new attempts are begun, and when it ends whatever is still out. SIGKILL comes
/// no sooner than 3.7 s after it.
const STOP_SENDING: Duration = Duration::from_millis(2200);
pub(super) const STOP_ALL: Duration = Duration::from_millis(3300);
/// For so long after SIGTERM new connections go on coming.
pub(super) const STOP_LISTENING: Duration = Duration::from_millis(700);
/// When clients that have not handed in a whole request after SIGTERM are told that nobody waits for it any more:
/// in time for all of them to hear it before the process ends.
pub(super) const STOP_CLOSING: Duration = Duration::from_millis(2900);
/// A turn that is late by more was held up, and first lets others read what came meanwhile.
const STANDSTILL: Duration = Duration::from_millis(50);
const CATCH_UP: Duration = Duration::from_millis(2);
/// Batches of notices on their way at once, and notices in one.
const POSTS_MOST: usize = 4;
const BATCH_MOST: usize = 200;
/// How long a successor waits for notices that are on their way.
const NOTICES_TIME: Duration = Duration::from_millis(300);

/// Why the courier does not go on.
pub enum End {
    /// All is done that could be after SIGTERM.
    Stopped,
    /// Nothing is in judgement: all can be handed over.
    Asked(Successor),
    /// The successor has ended after it had taken over.
    Bereft,
}

pub(super) struct Endpoint {
    pub(super) host: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) zone: usize,
    /// As the list has it: elsewhere no connection to it is kept.
    pub(super) ready: bool,
    /// A list has named it; others are known by a record alone.
    pub(super) listed: bool,
}

pub(super) struct Held {
    pub(super) letter: Rc<Letter>,
    pub(super) attempts: u32,
    /// The call that is out: when it left, and how to call it off.
    pub(super) out: Option<(Instant, Option<oneshot::Sender<()>>)>,
    /// Where its last call went, and whether that may still begin.
    pub(super) leave: Option<(EndpointId, Leave)>,
}

pub struct Courier {
    pub(super) config: Config,
    pub(super) brain: Brain,
    pub(super) journal: Journal,
    pub(super) calls: Calls,
    pub(super) platform: Platform,
    pub(super) standing: Rc<Standing>,
    pub(super) news: Sender<News>,
    pub(super) origin: Instant,
    pub(super) events: Vec<Event>,
    pub(super) offers: BTreeMap<u64, Offer>,
    /// Those that the module knows; it says when one is forgotten. Numbers are never used again.
    pub(super) endpoints: HashMap<EndpointId, Endpoint>,
    pub(super) numbered: u32,
    pub(super) numbers: HashMap<String, EndpointId>,
    pub(super) destinations: BTreeSet<u64>,
    pub(super) held: BTreeMap<u64, Held>,
    /// Messages by the id that their clients gave them, until they have ended.
    pub(super) ids: HashMap<String, u64>,
    pub(super) next: u64,
    /// The module's one wake-up; a later request for one takes its place.
    pub(super) wake: Option<(Instant, u64)>,
    pub(super) notices: VecDeque<Notice>,
    pub(super) posts: usize,
    pub(super) watch: Option<AbortHandle>,
    /// The version of the list, where it is one of discovery's.
    pub(super) seq: Option<u64>,
    /// A successor that waits, and since when.
    pub(super) heir: Option<(Successor, Instant)>,
    /// Discovery has answered since the start.
    pub(super) listed: bool,
    pub(super) stopping: Option<Instant>,
    /// What waits for the record.
    pub(super) dues: Dues,
    /// When the next segment of the journal is read again.
    scrub: Option<Instant>,
}

impl Courier {
    pub fn new(
        config: Config,
        brain: Brain,
        journal: Journal,
        last: u64,
        calls: Calls,
        standing: Rc<Standing>,
        news: Sender<News>,
    ) -> Self {
        let platform = Platform::new(config.discovery);
        Courier {
            config,
            brain,
            journal,
            calls,
            platform,
            standing,
            news,
            origin: Instant::now(),
            events: Vec::new(),
            offers: BTreeMap::new(),
            endpoints: HashMap::new(),
            numbered: 0,
            numbers: HashMap::new(),
            destinations: BTreeSet::new(),
            held: BTreeMap::new(),
            ids: HashMap::new(),
            next: last + 1,
            wake: None,
            notices: VecDeque::new(),
            posts: 0,
            watch: None,
            seq: None,
            heir: None,
            listed: false,
            stopping: None,
            dues: Dues::default(),
            scrub: None,
        }
    }

    /// Starts with the list at hand and with what the journal holds.
    pub fn begin(&mut self) {
        let known = self.config.known.clone();
        self.seq = known.as_ref().map(|l| l.seq);
        self.list(List { whole: true, ..known.unwrap_or_default() });
        let mut live: Vec<_> = self.journal.live().map(|(n, m)| (m.letter.until, n)).collect();
        // Those that are out of time end first, and the others come to judgement by how little they have left.
        live.sort_unstable();
        live.into_iter().for_each(|(_, message)| self.resume(message));
    }

    /// Hands back a message that is on record, with what is known of its attempts.
    pub(super) fn resume(&mut self, message: u64) {
        let Some(m) = self.journal.get(message) else { return };
        let (now, letter, taken, verdict) = (unix(), m.letter.clone(), m.taken, m.verdict);
        let attempts = m.attempts.len() as u32;
        let ran = m.attempts.iter().find(|a| a.may_have_run).cloned();
        self.ids.insert(letter.id.clone(), message);
        let class = self.config.classes.iter().position(|c| *c == letter.class);
        let tenant = self.config.tenants.iter().position(|t| *t == letter.tenant);
        // A message with its end decided only waits to have it acknowledged: sending it again would
        // deliver what a client was told to hand in again.
        let verdict = verdict.or(class.is_none().then_some(Verdict::Dead));
        if let Some(verdict) = verdict {
            return self.tell(message, letter.id.clone(), verdict);
        }
        let time_left = time_left(&letter, taken, now);
        let ran = ran.map(|a| Ran {
            endpoint: self.number(&a.host),
            zone: self.zone(&a.zone),
            ago: age(a.sent, now),
        });
        self.destinations.insert(letter.destination);
        self.events.push(Event::Taken(Taken {
            message: MessageId(message),
            class: class.unwrap_or_default(),
            tenant: tenant.unwrap_or_default(),
            destination: DestinationId(letter.destination),
            key: None,
            time_left,
            work: None,
            past: Past { found: true, attempts, ran },
        }));
        self.held.insert(message, Held { letter, attempts, out: None, leave: None });
    }

    /// Nothing but its notice is left to do for a message.
    pub(super) fn tell(&mut self, message: u64, id: String, verdict: Verdict) {
        self.notices.push_back(Notice { message, id, verdict });
    }

    pub(super) fn zone(&self, name: &str) -> usize {
        let zones = &self.config.zones;
        zones.iter().position(|z| z == name).unwrap_or(zones.len())
    }

    fn number(&mut self, host: &str) -> EndpointId {
        if let Some(id) = self.numbers.get(host) {
            return *id;
        }
        let id = EndpointId(self.numbered);
        self.numbered += 1;
        self.endpoints.insert(
            id,
            Endpoint { host: host.to_owned(), address: None, zone: 0, ready: false, listed: false },
        );
        self.numbers.insert(host.to_owned(), id);
        id
    }

    fn list(&mut self, list: List) {
        let mut entries = Vec::new();
        let before: Vec<_> = self.endpoints.iter().filter(|(_, e)| e.ready).map(|(id, _)| *id).collect();
        if list.whole {
            self.endpoints.values_mut().for_each(|e| e.ready = false);
        }
        for host in list.hosts {
            let (endpoint, zone) = (self.number(&host.host), self.zone(&host.site));
            let kinds = &self.config.kinds;
            let kind = kinds.iter().position(|k| *k == host.class).unwrap_or(kinds.len());
            let Some(e) = self.endpoints.get_mut(&endpoint) else { continue };
            (e.zone, e.listed) = (zone, true);
            let address = host.dial.parse().ok().or(e.address);
            if std::mem::replace(&mut e.address, address) != address {
                self.calls.close(endpoint);
            }
            // An address that cannot be read leaves nowhere to send to.
            let standing = match host.health {
                Health::Ready if e.address.is_some() => interface::Standing::Ready,
                Health::Gone => interface::Standing::Gone,
                _ => interface::Standing::Draining,
            };
            e.ready = standing == interface::Standing::Ready;
            self.destinations.insert(host.block);
            let (destination, weight) = (DestinationId(host.block), host.share);
            entries.push(Entry { endpoint, destination, zone, kind, standing, weight });
        }
        let named: Vec<_> = entries.iter().map(|e| e.endpoint).collect();
        self.events.push(Event::Listed { whole: list.whole, entries });
        // To the module one that it has forgotten is a new one.
        let left_out: Vec<_> = named.into_iter().filter(|e| self.left_out(*e)).collect();
        let again = left_out.into_iter().map(|endpoint| Event::Maintenance { endpoint, out: true });
        self.events.extend(again);
        self.know();
        for endpoint in before {
            self.part(endpoint);
        }
        let ready = |e: &EndpointId| self.endpoints.get(e).is_some_and(|e| e.ready);
        let leaves = self.held.values().filter_map(|m| m.leave.as_ref());
        leaves.filter(|(endpoint, _)| !ready(endpoint)).for_each(|(_, leave)| leave.recall());
    }

    fn register(&self) -> &Arc<Register> {
        &self.standing.register
    }

    fn left_out(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|e| self.register().is_out(&e.host))
    }

    /// Tells which ids operators may name.
    pub(super) fn know(&self) {
        let listed = self.endpoints.values().filter(|e| e.listed);
        self.register().know(listed.map(|e| e.host.clone()).collect());
    }

    /// Operators have set something, which is on record already.
    fn operated(&mut self, change: Change) {
        match change {
            Change::Service { out } => {
                say!("operators: {}", if out { "out of service" } else { "in service" });
                if out {
                    self.standing.let_go();
                }
            }
            Change::Endpoint { id, out } => {
                let Some(endpoint) = self.numbers.get(&id).copied() else { return };
                say!("operators: {id} {}", if out { "left out" } else { "used again, as one that is cold" });
                // What is kept for it leads to the process that is about to end, or has.
                self.calls.close(endpoint);
                let leaves = self.held.values().filter_map(|m| m.leave.as_ref());
                leaves.filter(|(e, _)| out && *e == endpoint).for_each(|(_, leave)| leave.recall());
                self.events.push(Event::Maintenance { endpoint, out });
            }
        }
    }

    /// Told to wait by a destination: calls that are still without their connection do not begin there.
    fn wait(&self, destination: u64) {
        let there = self.held.values().filter(|m| m.letter.destination == destination);
        there.filter_map(|m| m.leave.as_ref()).for_each(|(_, leave)| leave.recall());
    }

    /// Nothing new goes to an endpoint that is not ready: connections kept for it would only take room, and
    /// whatever comes to its address next is another.
    fn part(&self, endpoint: EndpointId) {
        if !self.endpoints.get(&endpoint).is_some_and(|e| e.ready) || self.left_out(endpoint) {
            self.calls.close(endpoint);
        }
    }

    /// Runs until the courier has stopped, or may be handed over.
    pub async fn run(&mut self, inbox: &mut Receiver<News>, changes: &mut UnboundedReceiver<Change>) -> End {
        let tick = self.config.settings.tick;
        let mut last: Option<Instant> = None;
        // Also where the module need not ask: on sockets nobody sends the list unasked.
        self.watch();
        self.post();
        self.scrub = self.config.options.store.scrub().map(|every| Instant::now() + every);
        loop {
            let due = self.wake.map(|(at, _)| at);
            let due = if self.events.is_empty() { due } else { Some(Instant::now()) };
            let due = due.map(|at| last.map_or(at, |t| at.max(t + tick)));
            let commit = self.commit_due();
            let stop = self.stopping.map(|_| Instant::now() + Duration::from_millis(20));
            let heir = self.heir.as_ref().map(|_| Instant::now() + Duration::from_millis(2));
            let at = [due, commit, stop, heir, self.scrub].into_iter().flatten().min();
            let nap = async {
                match at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                Some(change) = changes.recv() => self.operated(change),
                done = self.journal.done() => {
                    self.committed(done);
                    self.settle();
                    self.post();
                }
                news = inbox.recv() => {
                    let Some(news) = news else { return End::Stopped };
                    self.hear(news);
                    while let Ok(news) = inbox.try_recv() {
                        self.hear(news);
                    }
                    self.settle();
                    self.post();
                }
                () = nap => {
                    let now = Instant::now();
                    if commit.is_some_and(|at| at <= now) {
                        self.settle();
                        self.post();
                    }
                    if self.scrub.is_some_and(|at| at <= now) {
                        self.scrub(now);
                    }
                    if due.is_some_and(|at| at <= now) {
                        // After a standstill answers may be there that nobody has read yet. They come first: a
                        // message must not be given up for want of one.
                        if self.wake.is_some_and(|(at, _)| at + STANDSTILL < now) {
                            sleep(CATCH_UP).await;
                            // Whoever was woken together with this has its turn first.
                            yield_now().await;
                            while let Ok(news) = inbox.try_recv() {
                                self.hear(news);
                            }
                        }
                        last = Some(now);
                        self.turn(now);
                        self.post();
                    }
                }
            }
            if self.stopped() {
                self.spare();
                self.settle_whole().await;
                say!("journal: {} commits, {} syncs in this life", self.journal.commits, self.journal.syncs);
                return End::Stopped;
            }
            if let Some(successor) = self.asked() {
                return End::Asked(successor);
            }
        }
    }

    /// The successor, once nothing is in judgement. Notices that are not acknowledged soon go out again from
    /// there, which does no harm.
    fn asked(&mut self) -> Option<Successor> {
        let (_, since) = self.heir.as_ref()?;
        let told = self.notices.is_empty() && self.posts == 0;
        let judged = self.offers.is_empty() && self.events.is_empty() && self.standing.judging() == 0;
        let kept = self.dues.is_empty() || self.dues.failed();
        let due = judged && kept && (told || since.elapsed() > NOTICES_TIME);
        self.heir.take_if(|_| due).map(|(successor, _)| successor)
    }

    /// Has the next segment of the journal read again, beside the loop: the disk may take its time.
    fn scrub(&mut self, now: Instant) {
        self.scrub = self.config.options.store.scrub().map(|every| now + every);
        if let Some(scrub) = self.journal.scrub() {
            let news = self.news.clone();
            tokio::task::spawn_local(async move {
                if let Ok(scrubbed) = tokio::task::spawn_blocking(|| scrub.run()).await {
                    let _ = news.send(News::Scrubbed(scrubbed)).await;
                }
            });
        }
    }

    fn scrubbed(&mut self, scrubbed: &Scrubbed) {
        if let (true, Some(damage)) = (self.journal.scrubbed(scrubbed), &scrubbed.damage) {
            say!("journal: damaged: {damage}; what lives of it is written anew from memory");
        }
    }

    fn hear(&mut self, news: News) {
        match news {
            News::Offered(offer) => self.offered(offer),
            News::Called { message, attempt, endpoint, end } => self.called(message, attempt, endpoint, end),
            News::Probed { endpoint, sent, end } => {
                let took = end.at.saturating_duration_since(sent);
                let outcome = aged(end.outcome, end.at);
                self.events.push(Event::Probed { endpoint, outcome, took, report: end.report });
            }
            News::Listed(list) => {
                (self.listed, self.seq) = (true, Some(list.seq));
                say!("list {}: {}", list.seq, list);
                self.list(list);
            }
            News::Told(messages) => {
                self.posts -= 1;
                for message in messages {
                    self.end(message);
                }
            }
            News::Moved(discovery) => self.moved(discovery),
            News::Scrubbed(scrubbed) => self.scrubbed(&scrubbed),
            News::Successor(successor) => {
                // One at a time: another asks again.
                if self.heir.is_none() {
                    self.standing.hold();
                    self.heir = Some((successor, Instant::now()));
                }
            }
            News::Stop => {
                self.standing.stop();
                self.stopping.get_or_insert(Instant::now());
            }
        }
    }

    /// Nothing more is owed for the message.
    fn end(&mut self, message: u64) {
        if let Some(m) = self.journal.get(message) {
            let id = m.letter.id.clone();
            self.ids.remove(&id);
            self.journal.end(message);
        }
    }

    fn offered(&mut self, offer: Offer) {
        let answer = |offer: Offer, reply| {
            say!("{} at the door: {reply:?}", offer.letter.id);
            // A client that is gone hears nothing, and nothing was taken.
            let _ = offer.reply.send(reply);
        };
        // Handed in twice under one id: it is taken already, or both hear what becomes of it.
        if let Some(message) = self.ids.get(&offer.letter.id) {
            let judged = self.offers.get_mut(message).map(|first| &mut first.reply);
            return match judged.or_else(|| self.dues.answer(*message)) {
                Some(reply) => reply.join(offer.reply),
                None => answer(offer, Reply::Taken),
            };
        }
        // What cannot be tried here any more is better handed in elsewhere than left to the next process.
        if self.dues.failed() || self.ends(Instant::now()) {
            return answer(offer, Reply::Unavailable);
        }
        if !self.destinations.contains(&offer.letter.destination) {
            let reply = if self.listed { Reply::NoDestination } else { Reply::Unavailable };
            return answer(offer, reply);
        }
        let full = self.held.len() + self.offers.len() >= self.config.settings.max_held;
        if full || !self.journal.fits(&offer.letter) {
            return answer(offer, Reply::Refused { wait: None });
        }
        let message = self.next;
        self.next += 1;
        self.ids.insert(offer.letter.id.clone(), message);
        self.events.push(Event::Taken(Taken {
            message: MessageId(message),
            class: offer.class,
            tenant: offer.tenant,
            destination: DestinationId(offer.letter.destination),
            key: None,
            time_left: offer.time_left.saturating_sub(offer.at.elapsed()),
            work: None,
            past: Past::default(),
        }));
        self.offers.insert(message, offer);
    }

    fn called(&mut self, message: u64, attempt: u32, endpoint: EndpointId, end: CallEnd) {
        // What proves that it never ran; all else may have.
        let never = matches!(end.outcome, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::Moot);
        if never {
            self.journal.never_ran(message, attempt);
        }
        if end.over {
            self.end(message);
        }
        // It may have gone while the call was out, and its connection was kept after that.
        self.part(endpoint);
        if let (Outcome::Full { wait: Some(_) }, Some(m)) = (end.outcome, self.held.get(&message)) {
            self.wait(m.letter.destination);
        }
        let Some(m) = self.held.get_mut(&message) else { return };
        let Some((sent, _)) = m.out.take() else { return };
        let (id, took) = (&m.letter.id, end.at.saturating_duration_since(sent).as_millis());
        say!("{id} attempt {attempt}: {:?} after {took} ms", end.outcome);
        self.events.push(Event::Ended(Ended {
            message: MessageId(message),
            endpoint,
            outcome: aged(end.outcome, end.at),
            took: end.at.saturating_duration_since(sent),
            over: end.over,
            report: end.report,
        }));
        // The module drops a message with its last outcome, and so does the courier.
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            self.held.remove(&message);
        }
    }

    /// One batch: what happened goes in, and what the module asks for is carried out.
    fn turn(&mut self, now: Instant) {
        if let Some((_, token)) = self.wake.take_if(|(at, _)| *at <= now) {
            self.events.push(Event::Woken { token });
        }
        self.drop_deserted();
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.brain.handle(now.duration_since(self.origin), &events, &mut actions);
        let (mut sends, mut refused, mut cancels) = (Vec::new(), HashMap::new(), Vec::new());
        for action in actions {
            match action {
                Action::Send { message, endpoint, timeout } => sends.push((message.0, endpoint, timeout)),
                Action::Refuse { message, wait } => {
                    refused.insert(message.0, Verdict::Bounced { wait });
                }
                Action::Fail { message } => {
                    refused.insert(message.0, Verdict::Dead);
                }
                Action::Cancel { message, .. } => cancels.push(message.0),
                Action::Probe { endpoint } => self.probe(endpoint),
                Action::Close { endpoint } => self.calls.close(endpoint),
                Action::Subscribe { active: true } | Action::Fetch => self.watch(),
                Action::Subscribe { active: false } | Action::Tell { .. } => {}
                Action::Wake { token, after } => self.wake = Some((now + after, token)),
                Action::Forget { endpoint } => {
                    self.calls.close(endpoint);
                    if let Some(e) = self.endpoints.remove(&endpoint) {
                        self.numbers.remove(&e.host);
                        self.know();
                    }
                }
                Action::Note { text } => say!("note: {text}"),
            }
        }
        self.take_on(&mut refused);
        for (message, verdict) in refused {
            self.judge(message, verdict);
        }
        self.send(sends, now);
        for message in cancels {
            let out = self.held.get_mut(&message).and_then(|m| m.out.as_mut());
            if let Some(cancel) = out.and_then(|(_, cancel)| cancel.take()) {
                let _ = cancel.send(());
            }
        }
    }

    /// A client that has given up before it was told counts its message as not taken, and may hand it in
    /// again elsewhere: it must not be sent from here.
    fn drop_deserted(&mut self) {
        let deserted: Vec<u64> =
            self.offers.iter().filter(|(_, o)| o.reply.is_closed()).map(|(n, _)| *n).collect();
        for message in deserted {
            if let Some(offer) = self.offers.remove(&message) {
                say!("{} not taken on: its client has left", offer.letter.id);
                self.ids.remove(&offer.letter.id);
            }
            let of = |e: &Event| matches!(e, Event::Taken(t) if t.message.0 == message);
            self.events.retain(|e| !of(e));
        }
    }

    /// Records the new messages that the module keeps, then tells the clients.
    fn take_on(&mut self, refused: &mut HashMap<u64, Verdict>) {
        for (message, offer) in std::mem::take(&mut self.offers) {
            let Offer { letter, reply, time_left, .. } = offer;
            if let Some(verdict) = refused.remove(&message) {
                say!("{} not taken on: {verdict:?}", letter.id);
                self.ids.remove(&letter.id);
                let told = match verdict {
                    Verdict::Bounced { wait } => Reply::Refused { wait },
                    Verdict::Dead => Reply::Failed,
                };
                let _ = reply.send(told);
                continue;
            }
            let (id, class, dest) = (&letter.id, &letter.class, letter.destination);
            let of = &letter.tenant;
            say!("{id} taken on: {class} for {dest} of {of}, {} ms left", time_left.as_millis());
            self.journal.accept(message, letter.clone());
            self.held.insert(message, Held { letter, attempts: 0, out: None, leave: None });
            self.dues.push(Due::Reply { message, reply });
        }
        self.settle();
    }

    /// Nobody is owed anything for the message.
    pub(super) fn withdraw(&mut self, message: u64) {
        if let Some(m) = self.held.remove(&message) {
            say!("{} withdrawn: its client had not heard", m.letter.id);
        }
        self.end(message);
        self.events.push(Event::Withdrawn { message: MessageId(message) });
    }

    /// The module has ended a message undelivered: on record first, then told.
    fn judge(&mut self, message: u64, verdict: Verdict) {
        let Some(m) = self.held.get(&message) else { return };
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            return;
        }
        let (id, until) = (m.letter.id.clone(), m.letter.until);
        say!("{id} given up: {verdict:?}");
        if m.out.is_none() {
            self.held.remove(&message);
        }
        self.journal.judge(message, verdict);
        self.dues.push(Due::Notice(Notice { message, id, verdict }, until));
    }

    fn send(&mut self, sends: Vec<(u64, EndpointId, Duration)>, now: Instant) {
        let late = self.ends(now);
        for (message, endpoint, timeout) in sends {
            let e = self.endpoints.get(&endpoint);
            let to = e.and_then(|e| Some((e, e.address?)));
            let Some((m, (e, address))) = self.held.get_mut(&message).zip(to) else {
                // Its client left in this very batch: the module hears that nothing was sent.
                self.events.push(never_sent(message, endpoint));
                continue;
            };
            let zone = self.config.zones.get(e.zone).cloned().unwrap_or_default();
            let attempt = Attempt { host: e.host.clone(), zone, sent: unix(), may_have_run: true };
            m.out = Some((now, None));
            if late {
                // This process ends before an answer could come: it is left to the next, as never sent.
                continue;
            }
            let number = m.attempts;
            m.attempts += 1;
            let letter = m.letter.clone();
            say!("{} attempt {number}: to {} for {} ms", letter.id, e.host, timeout.as_millis());
            let class = self.config.classes.iter().position(|c| *c == letter.class);
            let class = class.and_then(|c| self.config.settings.classes.get(c));
            let once = class.is_some_and(|c| c.effect == Effect::Once);
            let mut leave = Leave::default();
            if let Some(Effect::Keyed { window, .. }) = class.map(|c| c.effect) {
                let before = self.journal.get(message).into_iter().flat_map(|m| &m.attempts);
                let first = before.filter(|a| a.may_have_run).map(|a| a.sent).next();
                leave.ends = first.map(|at| now + (at + window).saturating_sub(unix()));
            }
            m.leave = Some((endpoint, leave.clone()));
            self.journal.attempt(message, attempt);
            let host = e.host.clone();
            let (cancel, cancelled) = oneshot::channel();
            if let Some(m) = self.held.get_mut(&message) {
                m.out = Some((now, Some(cancel)));
            }
            let call =
                Call { message, attempt: number, endpoint, host, address, letter, timeout, once, leave };
            self.dues.push(Due::Call { call, cancelled });
        }
        // The attempts are on record before their first byte goes out; the verdicts before their notice.
        self.settle();
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let e = self.endpoints.get(&endpoint);
        if let Some((host, address)) = e.and_then(|e| Some((e.host.clone(), e.address?))) {
            let timeout = self.config.settings.connect_timeout * 2;
            tokio::task::spawn_local(self.calls.clone().probe(
                (endpoint, host),
                address,
                timeout,
                self.news.clone(),
            ));
        }
    }

    /// One watch lasts for good and asks again by itself.
    fn watch(&mut self) {
        if self.watch.is_none() {
            self.watch_from(self.seq.unwrap_or(0), self.seq.is_none());
        }
    }

    fn watch_from(&mut self, seq: u64, fresh: bool) {
        let (fleet, grace) = (self.config.settings.couriers, self.config.settings.drain_grace);
        let watch =
            Watch { address: self.config.discovery, seed: self.config.seed, seq, fresh, fleet, grace };
        let task = tokio::task::spawn_local(watch.run(self.news.clone()));
        self.watch = Some(task.abort_handle());
    }

    /// Asks discovery for nothing more.
    pub(super) fn leave_watch(&mut self) {
        self.watch.take().into_iter().for_each(|watch| watch.abort());
    }

    /// Discovery has another address. A watch that went on at the old one would hear of drains only once
    /// that has closed it; and the new one's versions need not continue the old one's, so all is asked for.
    fn moved(&mut self, discovery: SocketAddr) {
        if std::mem::replace(&mut self.config.discovery, discovery) == discovery {
            return;
        }
        self.platform.move_to(discovery);
        if let Some(watch) = self.watch.take() {
            watch.abort();
            self.seq = None;
            self.watch_from(0, true);
        }
    }

    fn post(&mut self) {
        while self.posts < POSTS_MOST && !self.notices.is_empty() {
            let batch: Vec<_> = self.notices.drain(..self.notices.len().min(BATCH_MOST)).collect();
            self.posts += 1;
            tokio::task::spawn_local(self.platform.clone().post(batch, self.news.clone()));
        }
    }

    /// Whether no call is begun any more, as this process would end before its answer.
    fn ends(&self, now: Instant) -> bool {
        self.stopping.is_some_and(|at| now >= at + STOP_SENDING)
    }

    /// At the end: what still waits for its connection has not run, whatever the record of its attempt says, and the
    /// next process may send it.
    fn spare(&mut self) {
        for (message, m) in &self.held {
            let Some((_, leave)) = m.leave.as_ref().filter(|(_, leave)| !leave.has_begun()) else { continue };
            leave.recall();
            if m.out.is_some() && m.attempts > 0 {
                self.journal.never_ran(*message, m.attempts - 1);
            }
        }
    }

    /// Whether all is done that can be done after SIGTERM.
    fn stopped(&mut self) -> bool {
        let Some(since) = self.stopping else { return false };
        let since = since.elapsed();
        let told = self.notices.is_empty() && self.posts == 0;
        let closed = !self.standing.listening.get() && self.standing.open.borrow().is_empty();
        let quiet = closed && self.offers.is_empty();
        let calls = self.held.values().any(|m| matches!(m.out, Some((_, Some(_)))));
        let idle = self.held.is_empty() || since >= STOP_SENDING;
        since >= STOP_ALL || (quiet && told && idle && !calls && self.dues.is_empty())
    }
}

/// What a message on record has left. A clock that went back gives it no more than it had when it was taken on.
fn time_left(letter: &Letter, taken: Duration, now: Duration) -> Duration {
    letter.until.saturating_sub(now.max(taken))
}

/// How long ago an attempt on record was made. If the clock has gone back since, nobody knows: then any time in
/// which a repeat is dropped counts as over.
fn age(sent: Duration, now: Duration) -> Duration {
    if sent > now + CLOCK_SLACK { AGES } else { now.saturating_sub(sent) }
}

const AGES: Duration = Duration::from_secs(24 * 3600);
/// A clock that is being set right may go back by so much.
const CLOCK_SLACK: Duration = Duration::from_secs(1);

/// A wait runs from when its answer arrived: the age of the batch is not added to it.
fn aged(outcome: Outcome, at: Instant) -> Outcome {
    match outcome {
        Outcome::Full { wait: Some(wait) } => Outcome::Full { wait: Some(wait.saturating_sub(at.elapsed())) },
        other => other,
    }
}

pub(super) fn never_sent(message: u64, endpoint: EndpointId) -> Event {
    Event::Ended(Ended {
        message: MessageId(message),
        endpoint,
        outcome: Outcome::Moot,
        took: Duration::ZERO,
        over: false,
        report: None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clock_that_went_back_between_two_lives_gives_no_time_and_no_window() {
        let at = Duration::from_secs;
        let letter = Letter { until: at(120), ..Letter::default() };
        assert_eq!(time_left(&letter, at(100), at(105)), at(15));
        assert_eq!(time_left(&letter, at(100), at(130)), Duration::ZERO);
        assert_eq!(time_left(&letter, at(100), at(10)), at(20), "no more than it ever had");
        assert_eq!(age(at(100), at(105)), at(5));
        assert_eq!(age(at(100), at(10)), AGES, "nobody knows: as if long ago");
    }
}
