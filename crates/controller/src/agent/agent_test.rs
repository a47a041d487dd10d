//! Tests of an agent with two sources and a router, in simulated time and without sockets.

use super::{Agent, Environment, SubscriberEvent};
use crate::feed_client::Client;
use crate::link::Outbox;
use crate::message::{CommittedConfiguration, ConfigurationVersion, FeedHeartbeat, Hello, Message};
use crate::subscription::SourceEvent;
use bytes::Bytes;
use lanegate_config::feed::FeedEvent;
use lanegate_config::settings::{Settings, SettingsError};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, unbounded_channel};

const ROUTER: u64 = 1;
const SOURCE_INCARNATION: u64 = 9;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings() -> Settings {
    serde_json::from_str(
        r#"{"NodeName": "edge-1", "Ip": "127.0.0.1", "Zone": "z1", "Zones": {"z1": "r"}, "PortRange": [1, 2],
            "Seeds": ["10.0.0.1:7000", "10.0.0.2:7000"],
            "Bounds": {"GraceS": 8, "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 58}}"#,
    )
    .expect("settings")
}

/// A clock that the test sets, and a record of the links that the agent requested.
#[derive(Clone, Default)]
struct TestEnvironment {
    now: Rc<Cell<Duration>>,
    dialled: Rc<RefCell<Vec<(SocketAddr, Hello)>>>,
}

impl Environment for TestEnvironment {
    fn now(&self) -> Duration {
        self.now.get()
    }

    fn follow(&mut self, source: SocketAddr, hello: Hello) {
        self.dialled.borrow_mut().push((source, hello));
    }

    fn unfollow(&mut self, _source: SocketAddr) {}

    fn read_settings(&mut self) -> Result<Settings, SettingsError> {
        Ok(settings())
    }
}

struct World {
    environment: TestEnvironment,
    agent: Agent,
    /// Frames that the agent sends to each source.
    sent: Vec<(SocketAddr, Receiver<Bytes>)>,
    client: Client,
    to_router: Receiver<Bytes>,
    from_router: Receiver<Bytes>,
    events: UnboundedReceiver<FeedEvent>,
}

fn messages(frames: &mut Receiver<Bytes>) -> Vec<Message> {
    let frames = std::iter::from_fn(|| frames.try_recv().ok());
    frames.map(|frame| Message::decode(&frame[4..]).expect("a message")).collect()
}

impl World {
    /// An agent with a router and two sources, whose links are up but have delivered no message yet.
    fn new() -> World {
        let environment = TestEnvironment::default();
        let mut agent = Agent::new(settings(), 5, Box::new(environment.clone()));
        agent.review_sources();
        let (events_end, events) = unbounded_channel();
        let mut client = Client::new(settings(), 6, events_end);
        let (outbox, to_router) = Outbox::new();
        agent.on_subscriber_event(SubscriberEvent::Up { subscriber: ROUTER, outbox });
        let (outbox, from_router) = Outbox::new();
        client.on_agent_event(ms(0), SourceEvent::Up { source: router_link(), outbox });
        let mut world =
            World { environment, agent, sent: Vec::new(), client, to_router, from_router, events };
        let sources: Vec<SocketAddr> =
            world.environment.dialled.borrow().iter().map(|dialled| dialled.0).collect();
        sources.into_iter().for_each(|source| world.up(source));
        world
    }

    fn up(&mut self, source: SocketAddr) {
        let (outbox, frames) = Outbox::new();
        self.agent.on_source_event(SourceEvent::Up { source, outbox });
        self.sent.retain(|(known, _)| *known != source);
        self.sent.push((source, frames));
    }

    fn source(&self, number: usize) -> SocketAddr {
        self.sent[number].0
    }

    fn receives(&mut self, source: SocketAddr, message: Message) {
        self.agent.on_source_event(SourceEvent::Message { source, message });
    }

    /// Messages that the agent has sent to a source since the last call.
    fn sent_to(&mut self, source: SocketAddr) -> Vec<Message> {
        let (_, frames) = self.sent.iter_mut().find(|(known, _)| *known == source).expect("a source");
        messages(frames)
    }

    /// Advances the clock to `now`, and delivers the messages between agent and router.
    fn at(&mut self, now: Duration) {
        self.environment.now.set(now);
        self.agent.fetch();
        self.client.fetch(now);
        for _ in 0..3 {
            for message in messages(&mut self.from_router) {
                self.agent.on_subscriber_event(SubscriberEvent::Message { subscriber: ROUTER, message });
            }
            for message in messages(&mut self.to_router) {
                self.client.on_agent_event(now, SourceEvent::Message { source: router_link(), message });
            }
            self.client.fetch(now);
        }
    }

    /// Versions of the configurations that the router has read since the last call.
    fn read(&mut self) -> Vec<u64> {
        let events = std::iter::from_fn(|| self.events.try_recv().ok());
        let versions = events.filter_map(|event| match event {
            FeedEvent::Configuration(configuration) => Some(configuration.version),
            _ => None,
        });
        versions.collect()
    }

    /// Values of the `Behind` events that the router has received since the last call.
    fn behind(&mut self) -> Vec<bool> {
        let events = std::iter::from_fn(|| self.events.try_recv().ok());
        events
            .filter_map(|event| if let FeedEvent::Behind { behind } = event { Some(behind) } else { None })
            .collect()
    }
}

fn router_link() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2))
}

fn committed(revision: u64) -> CommittedConfiguration {
    let document = format!(r#"{{"Version":{revision},"Routes":[],"Backends":[]}}"#);
    CommittedConfiguration { revision, document: document.as_str().into() }
}

fn announced(revision: u64) -> Message {
    let committed = committed(revision);
    Message::ConfigurationAnnounced(ConfigurationVersion::of(revision, &committed.document.bytes))
}

fn heartbeat(quorum: u8, offset: u64) -> Message {
    Message::FeedHeartbeat(FeedHeartbeat { quorum, source: SOURCE_INCARNATION, offset, routers: 1 })
}

fn fetches(messages: &[Message]) -> usize {
    messages.iter().filter(|message| matches!(message, Message::ConfigurationFetch(_))).count()
}

#[test]
fn a_lost_source_is_dialled_again_from_the_last_feed_offset() {
    let mut world = World::new();
    let source = world.source(0);
    world.receives(source, Message::SnapshotBegin);
    world.receives(source, Message::SnapshotEnd { complete: 1 });
    world.receives(source, heartbeat(1, 44));
    world.agent.on_source_event(SourceEvent::Down { source });
    world.environment.now.set(ms(500));
    world.agent.review_sources();
    let dialled = world.environment.dialled.borrow();
    let (again, hello) = dialled.last().expect("it is dialled");
    assert_eq!((*again, hello.source, hello.offset), (source, SOURCE_INCARNATION, 44));
}

#[test]
fn one_source_is_fetched_from_and_the_router_is_behind_until_it_has_the_newest() {
    let mut world = World::new();
    let (one, two) = (world.source(0), world.source(1));
    for source in [one, two] {
        world.receives(source, heartbeat(1, 0));
        world.receives(source, announced(1));
    }
    world.at(ms(1));
    let in_flight = fetches(&world.sent_to(one)) + fetches(&world.sent_to(two));
    assert_eq!(in_flight, 1);
    assert!(world.behind().last() == Some(&true), "the router knows of it before the agent has it");
    world.receives(one, Message::CommittedConfiguration(committed(1)));
    world.at(ms(2));
    let events: Vec<FeedEvent> = std::iter::from_fn(|| world.events.try_recv().ok()).collect();
    let place = |wanted: fn(&FeedEvent) -> bool| events.iter().position(wanted).expect("an event");
    let configuration = place(|event| matches!(event, FeedEvent::Configuration(_)));
    assert!(configuration < place(|event| matches!(event, FeedEvent::Behind { behind: false })));
}

#[test]
fn a_router_reads_a_few_of_many_versions_and_ends_with_the_newest() {
    let mut world = World::new();
    let source = world.source(0);
    world.receives(source, heartbeat(1, 0));
    world.at(ms(0));
    let mut read = Vec::new();
    for now in 0..2_000 {
        if now % 20 == 0 && now < 1_500 {
            let revision = 1 + now / 20;
            world.receives(source, announced(revision));
            world.receives(source, Message::CommittedConfiguration(committed(revision)));
        }
        world.at(ms(now));
        read.extend(world.read());
    }
    assert_eq!(read.last(), Some(&75));
    assert!(read.len() <= 17, "at most one read per 100 ms: {read:?}");
    assert!(read.is_sorted());
}

#[test]
fn a_router_is_notified_when_no_source_has_quorum_contact() {
    let mut world = World::new();
    let (one, two) = (world.source(0), world.source(1));
    world.receives(one, heartbeat(1, 0));
    world.receives(two, heartbeat(1, 0));
    world.receives(one, Message::CommittedConfiguration(committed(1)));
    world.at(ms(0));
    assert_eq!(world.behind().last(), Some(&false));
    world.receives(one, heartbeat(0, 0));
    world.at(ms(1));
    assert!(world.behind().is_empty(), "the other source still has quorum contact");
    world.receives(two, heartbeat(0, 0));
    world.at(ms(2));
    assert_eq!(world.behind(), [true]);
    world.receives(one, heartbeat(1, 0));
    world.at(ms(3));
    assert_eq!(world.behind(), [false]);
}

#[test]
fn a_message_from_a_closed_link_changes_nothing() {
    let mut world = World::new();
    let (one, two) = (world.source(0), world.source(1));
    world.receives(one, heartbeat(1, 0));
    world.receives(two, heartbeat(1, 0));
    world.receives(one, Message::CommittedConfiguration(committed(1)));
    world.at(ms(1));
    assert_eq!(world.read(), [1]);
    world.agent.on_source_event(SourceEvent::Down { source: one });
    world.agent.on_source_event(SourceEvent::Down { source: two });
    world.receives(one, Message::CommittedConfiguration(committed(3)));
    world.receives(one, heartbeat(1, 9));
    world.at(ms(200));
    let events: Vec<FeedEvent> = std::iter::from_fn(|| world.events.try_recv().ok()).collect();
    assert!(matches!(events[..], [FeedEvent::Behind { behind: true }]), "{events:?}");
}

#[test]
fn an_agent_without_a_configuration_asks_a_source_out_of_contact_once() {
    let mut world = World::new();
    let source = world.source(0);
    world.receives(source, heartbeat(0, 0));
    world.receives(source, announced(1));
    world.at(ms(1));
    assert_eq!(fetches(&world.sent_to(source)), 1);
    world.receives(source, Message::CommittedConfiguration(committed(1)));
    for now in (0..10_000).step_by(100) {
        world.at(ms(now));
    }
    assert_eq!(fetches(&world.sent_to(source)), 0, "the withheld configuration is not fetched again");
    assert!(world.read().is_empty());
    world.receives(source, heartbeat(1, 0));
    world.at(ms(10_001));
    assert_eq!(world.read(), [1]);
}
