//! A replica of one register: acceptor, proposer, reader and recovery behind one entrance.

use std::time::Duration;

use super::acceptor::Acceptor;
use super::ballot::Ballot;
use super::batch::{Item, Work};
use super::catch_up::CatchUp;
use super::core::{Core, Proposal, earlier};
use super::event::{Applied, Input, Output, StateMachine, Status};
use super::message::Message;
use super::news::News;
use super::node::Node;
use super::proposer::Proposer;
use super::reader::Reader;
use super::record::Record;
use super::recovery::{Recovery, Testimony};
use super::settings::{Fault, Settings};
use super::value::{Carried, Value};

/// A change of members that its proposer leaves unfinished is ended by others after so many retry intervals.
const COMPLETION_RETRIES: u32 = 5;

/// A replica of one register. Equal hashes of clones tell equal states, as model checkers need.
#[derive(Clone, Hash)]
pub struct Replica {
    core: Core,
    acceptor: Option<Acceptor>,
    recovery: Option<Recovery>,
    proposer: Proposer,
    reader: Reader,
    catch_up: CatchUp,
    contacts: Vec<Node>,
    news: News,
    complete_at: Option<Duration>,
}

impl Replica {
    /// Starts a replica.
    ///
    /// `stored` is the newest record on disk, `now` the time since any fixed moment on a clock that only
    /// moves forward, `nonce` chance drawn anew at each start of the process.
    #[must_use]
    pub fn new(
        settings: Settings,
        machine: Box<dyn StateMachine>,
        stored: Option<Record>,
        now: Duration,
        nonce: u64,
    ) -> Self {
        let contacts = settings.seeds.clone();
        let core = Core::new(settings, machine.into(), nonce, now);
        let mut replica = Self {
            news: News::new(&core),
            core,
            acceptor: None,
            recovery: None,
            proposer: Proposer::default(),
            reader: Reader::default(),
            catch_up: CatchUp::default(),
            contacts,
            complete_at: None,
        };
        replica.begin(stored);
        replica.schedule_news();
        replica.settle();
        replica
    }

    fn begin(&mut self, stored: Option<Record>) {
        let settings = &self.core.settings;
        let founder = settings.bootstrap && settings.seeds.contains(&settings.node);
        match stored {
            Some(record) => {
                self.acceptor = Some(Acceptor::stored(record));
                self.reader.push(Item::own(Work::Read));
            }
            None if founder || settings.has(Fault::VoteAfterWipe) => self.found(),
            None => self.recovery = Some(Recovery::start(&mut self.core)),
        }
    }

    /// Starts from the value that all founders know without asking.
    fn found(&mut self) {
        let settings = &self.core.settings;
        let value = Value::initial(settings.seeds.clone(), settings.initial_state.clone());
        let record = Record {
            incarnation: 0,
            promised: Ballot::ZERO,
            accepted: Ballot::ZERO,
            value: value.clone(),
            floors: super::node::Floors::default(),
        };
        self.core.learn(Ballot::ZERO, &value);
        self.acceptor = Some(Acceptor::fresh(record));
    }

    /// Takes an event. Orders are then waiting in [`Self::poll_output`].
    pub fn handle(&mut self, now: Duration, input: Input) {
        self.core.now = self.core.now.max(now);
        match input {
            Input::Message { from, message } => self.on_message(from, message),
            Input::Persisted { token } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_persisted(&mut self.core, token);
                }
            }
            Input::PersistFailed { token } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_persist_failed(&self.core, token);
                }
            }
            Input::Tick => self.on_tick(),
            Input::Propose { request, command, deadline } => {
                self.take(Item { request: Some(request), work: Work::Command(command), deadline });
            }
            Input::Read { request, deadline } => {
                self.read(Item { request: Some(request), work: Work::Read, deadline });
            }
            Input::ProposeMembers { request, remove, add, deadline } => {
                let work = Work::Members { remove, add, joined: false };
                self.proposer.push(Item { request: Some(request), work, deadline });
            }
            Input::Contact { node } => self.contact(node),
        }
        self.settle();
    }

    /// The next order, if any.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.core.outputs.pop_front()
    }

    /// When [`Input::Tick`] is due next.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let recovery = self.recovery.as_ref().map(Recovery::next_wake);
        let acceptor = self.acceptor.as_ref().and_then(Acceptor::next_wake);
        let work = earlier(self.proposer.next_wake(), self.reader.next_wake());
        let timers =
            earlier(earlier(Some(self.news.next_wake()), self.complete_at), self.catch_up.next_wake());
        earlier(earlier(recovery, acceptor), earlier(work, timers))
    }

    /// Where this replica stands.
    #[must_use]
    pub fn status(&self) -> Status {
        if let Some(recovery) = &self.recovery {
            let (answered, needed) = recovery.missing(&self.core).unwrap_or_default();
            return Status::Recovering { answered, needed };
        }
        let node = self.core.node();
        let member = self.known().is_some_and(|known| known.value.newest_group().contains(&node));
        if member { Status::Member } else { Status::Spare }
    }

    /// The newest value known to be decided; it may be older than the newest decided one.
    #[must_use]
    pub fn decided(&self) -> Option<&Value> {
        self.core.decided.as_ref().map(|decided| &decided.value)
    }

    /// Whether this replica can vote: it has a record on disk, if need be that of its recovery, and the disk has
    /// not refused the last write.
    #[must_use]
    pub fn can_vote(&self) -> bool {
        self.acceptor.as_ref().is_some_and(Acceptor::is_stored)
    }

    /// The newest value known: decided, or accepted here and perhaps not decided.
    #[must_use]
    pub fn newest_known(&self) -> Option<&Value> {
        let decided = self.core.decided.as_ref();
        let record = self.acceptor.as_ref().map(Acceptor::record);
        let newer = record.filter(|record| decided.is_none_or(|known| known.ballot < record.accepted));
        newer.map(|record| &record.value).or(decided.map(|decided| &decided.value))
    }

    /// The newest value to start a round from: decided, or accepted here.
    fn known(&self) -> Option<Proposal> {
        let decided = self.core.decided.clone();
        let record = self.acceptor.as_ref().map(Acceptor::record);
        let newer =
            record.filter(|record| decided.as_ref().is_none_or(|known| known.ballot < record.accepted));
        match newer {
            Some(record) => Some(Proposal { ballot: record.accepted, value: record.value.clone() }),
            None => decided,
        }
    }

    /// A command that would change what is known here is proposed; others are first checked by a read.
    fn take(&mut self, item: Item) {
        let changes = match (&item.work, &self.core.decided) {
            (Work::Command(command), Some(decided)) => {
                matches!(self.core.machine.apply(&decided.value.state, command), Applied::Changed { .. })
            }
            _ => true,
        };
        if changes || !self.proposer.is_idle() {
            self.proposer.push(item);
        } else {
            self.reader.push(item);
        }
    }

    fn read(&mut self, item: Item) {
        if let Some(decided) =
            self.core.decided.as_ref().filter(|_| self.core.settings.has(Fault::ReadLocally))
        {
            let (revision, state) = (decided.value.revision, decided.value.state.clone());
            return self.core.done(item.request, super::event::Outcome::Value { revision, state });
        }
        self.reader.push(item);
    }

    fn contact(&mut self, node: Node) {
        if node == self.core.node() {
            return;
        }
        if !self.contacts.contains(&node) {
            self.contacts.push(node);
        }
        match &mut self.recovery {
            Some(recovery) => recovery.reach(&mut self.core, node),
            None => self.core.send(node, self.core.inquiry()),
        }
        self.reader.reach(&mut self.core, node);
        self.proposer.reach(&mut self.core, node);
    }

    /// Starts what can be started, writes what must be written, and hands over messages to itself.
    fn settle(&mut self) {
        loop {
            if let Some(acceptor) = &mut self.acceptor {
                acceptor.persist(&mut self.core);
            }
            if self.reader.is_ready() {
                let known = self.known();
                self.reader.start(&mut self.core, known);
            }
            if self.proposer.is_ready(self.core.now) {
                let known = self.known();
                self.proposer.start(&mut self.core, known);
            }
            let Some(message) = self.core.local.pop_front() else {
                break;
            };
            self.on_message(self.core.node(), message);
        }
        self.watch_change_of_members();
    }

    fn on_message(&mut self, from: Node, message: Message) {
        if message.is_answer() {
            self.proposer.answered(&mut self.core, from);
        }
        match message {
            Message::Prepare { ballot, known } => {
                self.proposer.observe(ballot);
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_prepare(&mut self.core, from, ballot, known);
                }
            }
            Message::Accept { ballot, value } => {
                self.proposer.observe(ballot);
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_accept(&mut self.core, from, ballot, value);
                }
            }
            Message::Promise { ballot, incarnation, floors, accepted, value } => {
                self.proposer.on_promise(
                    &mut self.core,
                    from,
                    ballot,
                    (incarnation, floors),
                    accepted,
                    value,
                );
            }
            Message::Accepted { ballot, incarnation, floors } => {
                self.proposer.on_accepted(&mut self.core, from, ballot, (incarnation, floors));
            }
            Message::Refused { ballot, promised } => {
                self.proposer.on_refused(&mut self.core, ballot, promised);
            }
            Message::Decided { ballot, value } => self.on_decided(from, ballot, value),
            Message::Query { request, known } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_query(&mut self.core, from, request, known);
                }
            }
            Message::State { request, incarnation, floors, promised, accepted, value } => {
                let voter = (incarnation, floors);
                let state = (promised, accepted, value);
                self.reader.on_state(&mut self.core, &mut self.proposer, from, request, voter, state);
            }
            Message::Inquire { decided, known } => self.on_inquire(from, decided, known),
            Message::Register { nonce, incarnation } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_register(&mut self.core, from, nonce, incarnation);
                }
            }
            Message::Registered { nonce, asked, incarnation, floors, promised, accepted, value } => {
                let answer = Testimony { incarnation, floors, promised, accepted, value };
                self.on_registered(from, nonce, asked, answer);
            }
        }
    }

    fn on_decided(&mut self, from: Node, ballot: Ballot, value: Carried) {
        let accepted =
            self.acceptor.as_ref().map(Acceptor::record).filter(|record| record.accepted == ballot);
        let was_sent = matches!(value, Carried::Full(_));
        let sent = value.into_value().map(|value| self.core.taken_over(value));
        let value = sent.or_else(|| accepted.map(|record| record.value.clone()));
        match value {
            Some(value) => {
                self.learn(ballot, &value);
                self.catch_up.learned(&mut self.core, ballot, was_sent);
            }
            None if self.core.decided.as_ref().is_none_or(|known| known.ballot < ballot) => {
                self.catch_up.heard(&mut self.core, from, ballot);
            }
            None => {}
        }
    }

    fn learn(&mut self, ballot: Ballot, value: &Value) {
        self.core.learn(ballot, value);
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.on_decided(ballot, value);
        }
        self.proposer.on_learned(&mut self.core, ballot, value);
        self.reader.on_learned(&mut self.core, &mut self.proposer);
    }

    /// Tells a newer decided value, or asks for one.
    fn on_inquire(&mut self, from: Node, decided: Ballot, known: bool) {
        let own = self.core.decided.as_ref().map(|decided| decided.ballot);
        match own {
            Some(own) if !known || own > decided => {
                if let Some(message) = self.core.decided_message() {
                    self.core.send(from, message);
                }
            }
            own if known && own.is_none_or(|own| own < decided) => {
                self.catch_up.heard(&mut self.core, from, decided);
            }
            _ => {}
        }
    }

    fn on_registered(&mut self, from: Node, nonce: u64, asked: u64, answer: Testimony) {
        let Some(recovery) = self.recovery.as_mut().filter(|_| nonce == self.core.nonce) else {
            return;
        };
        if let Some(record) = recovery.on_registered(&mut self.core, from, asked, answer) {
            self.recovery = None;
            self.acceptor = Some(Acceptor::fresh(record));
            self.reader.push(Item::own(Work::Read));
        }
    }

    fn on_tick(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_tick(&mut self.core);
        }
        self.catch_up.on_tick(&mut self.core);
        self.reader.on_tick(&mut self.core, &mut self.proposer);
        self.proposer.on_tick(&mut self.core);
        if self.news.next_wake() <= self.core.now {
            self.ask_for_news();
        }
        if self.complete_at.is_some_and(|at| at <= self.core.now) {
            self.complete_at = None;
            self.proposer.complete();
        }
    }

    /// Asks one other replica whether it knows a newer decided value.
    fn ask_for_news(&mut self) {
        self.schedule_news();
        if self.recovery.is_some() {
            return;
        }
        let mut others = self.known().map(|known| known.value.members()).unwrap_or_default();
        others.extend(self.contacts.iter().copied());
        self.news.ask(&mut self.core, others);
    }

    fn schedule_news(&mut self) {
        let is_spare = self.status() == Status::Spare;
        self.news.schedule(&mut self.core, is_spare);
    }

    /// A joint value that stays in force is ended by whoever knows it.
    fn watch_change_of_members(&mut self) {
        let joint = self.core.decided.as_ref().is_some_and(|decided| decided.value.is_joint());
        if !joint {
            self.complete_at = None;
        } else if self.complete_at.is_none() {
            let wait = self.core.settings.retry_interval * COMPLETION_RETRIES;
            self.complete_at = Some(self.core.now + wait + self.core.up_to(wait));
        }
    }
}
