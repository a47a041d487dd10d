//! Subscribers of the feed under bursts of changes, in simulated time: bytes, lag and final state of each.

use crate::configuration_feed::fetcher::FetchPacing;
use crate::controller::feed::subscribers::{FeedStatus, Subscribers};
use crate::link::Outbox;
use crate::message::{CommittedConfiguration, Hello, Message, Registered, Removed, Role};
use crate::view::View;
use bytes::Bytes;
use lanegate_coordination::feed::Position;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;

/// A link of 10 Mbit/s.
const LINK_BYTES_PER_MS: usize = 1_250;
/// 12.5 changes per second.
const CHANGE_PERIOD_MS: u64 = 80;
const FEED_HEARTBEAT_PERIOD_MS: u64 = 500;
/// `ConfigApplyMs` minus the time reserved for the loopback hop and the router.
const LAG_BOUND_MS: u64 = 1_600;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn source(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7_000))
}

/// A configuration with `routes` routes; `how` returns the time-out of a route by its number.
fn document(version: u64, routes: u64, how: impl Fn(u64) -> u64) -> Vec<u8> {
    let route = |number: u64| {
        let timeout = how(number);
        format!(
            r#"{{"Name":"route-{number:04}","Hostname":"host{number:04}.example","PathPrefix":"/path{number}/","RouteType":"streaming","TimeoutMs":{timeout},"TargetMs":800,"Priority":3,"Backend":"assistant-models","MaxAttempts":3,"Sticky":false,"Resumable":true,"gap_aim_ms":500}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"Version":{version},"Routes":[{}]}}"#, routes.join(",")).into_bytes()
}

/// A configuration in which each version changes one route.
fn one_route_changed(version: u64) -> Vec<u8> {
    document(version, 1_000, |number| if number == version % 1_000 { 5_000 + version } else { 5_000 })
}

/// A configuration in which each version changes every route.
fn all_routes_changed(version: u64) -> Vec<u8> {
    document(version, 1_000, |number| 5_000 + version * 7 + number)
}

/// The subscriber's side of its link to one source.
struct Link {
    frames: Receiver<Bytes>,
    /// The frame that is arriving, and the number of its bytes that have not arrived yet.
    arriving: Option<(Bytes, usize)>,
}

/// A subscriber with a limited link.
struct SimulatedSubscriber {
    view: View,
    links: Vec<Link>,
    fetches: VecDeque<(Duration, usize, Message)>,
    bytes: usize,
    longest_lag: u64,
}

impl SimulatedSubscriber {
    /// Receives the bytes that the link carries in a millisecond.
    fn receive(&mut self, now: Duration) {
        let mut room = LINK_BYTES_PER_MS;
        for (number, link) in self.links.iter_mut().enumerate() {
            while room > 0 {
                let next = || link.frames.try_recv().ok().map(|frame| (frame.clone(), frame.len()));
                let Some((frame, left)) = link.arriving.take().or_else(next) else { break };
                let taken = left.min(room);
                room -= taken;
                self.bytes += taken;
                if taken < left {
                    link.arriving = Some((frame, left - taken));
                } else {
                    let message = Message::decode(&frame[4..]).expect("a message");
                    self.view.receive(now, source(number), message, &mut Vec::new());
                }
            }
        }
        if let Some((from, fetch)) = self.view.fetch(now, Some(source(0))) {
            let number = (0..self.links.len()).find(|number| source(*number) == from).expect("a source");
            self.fetches.push_back((now + ms(1), number, fetch));
        }
    }

    fn revision(&self) -> u64 {
        self.view.configuration().map_or(0, |committed| committed.revision)
    }
}

/// Two sources, their subscribers, and the commit time of each configuration.
struct World {
    sources: Vec<Subscribers>,
    subscribers: Vec<SimulatedSubscriber>,
    committed_at: Vec<u64>,
    /// Sources that receive fetches but never answer.
    unresponsive: Vec<usize>,
    now: u64,
}

impl World {
    fn new(count: usize) -> World {
        let mut sources = vec![Subscribers::new(11), Subscribers::new(12)];
        let mut subscriber = |number: usize| {
            let links = sources.iter_mut().map(|source| {
                let (outbox, frames) = Outbox::new();
                source.connected(number as u64, &hello(Position::default()), outbox, snapshot, status(1));
                Link { frames, arriving: None }
            });
            let links = links.collect();
            let view = View::new(FetchPacing::LINK);
            SimulatedSubscriber { view, links, fetches: VecDeque::new(), bytes: 0, longest_lag: 0 }
        };
        let subscribers = (0..count).map(&mut subscriber).collect();
        World { sources, subscribers, committed_at: Vec::new(), unresponsive: Vec::new(), now: 0 }
    }

    /// Runs for `length` ms more; in the first `storm` of them a configuration is committed every
    /// [`CHANGE_PERIOD_MS`].
    fn play(&mut self, length: u64, storm: u64, document: impl Fn(u64) -> Vec<u8>) {
        let begun = self.now;
        for now in begun..begun + length {
            if now < begun + storm && (now - begun).is_multiple_of(CHANGE_PERIOD_MS) {
                self.committed_at.push(now);
                let revision = self.committed_at.len() as u64;
                let committed = CommittedConfiguration { revision, document: document(revision).into() };
                self.sources.iter_mut().for_each(|source| source.publish(committed.clone()));
            }
            if now.is_multiple_of(FEED_HEARTBEAT_PERIOD_MS) {
                self.sources.iter_mut().for_each(|source| source.heartbeat(status(1)));
            }
            self.step(now);
        }
        self.now += length;
    }

    /// Runs until every subscriber has its first configuration, which is a complete document. Lags count from then on.
    fn begin(&mut self, document: impl Fn(u64) -> Vec<u8>) {
        self.play(1_200, 1, document);
        self.subscribers.iter_mut().for_each(|subscriber| subscriber.longest_lag = 0);
    }

    fn step(&mut self, now: u64) {
        for (number, subscriber) in self.subscribers.iter_mut().enumerate() {
            subscriber.receive(ms(now));
            while subscriber.fetches.front().is_some_and(|(at, ..)| *at <= ms(now)) {
                let Some((_, to, fetch)) = subscriber.fetches.pop_front() else { break };
                let Message::ConfigurationFetch(base) = fetch else { panic!("{fetch:?}") };
                if !self.unresponsive.contains(&to) {
                    self.sources[to].fetch(number as u64, base);
                }
            }
            let missing = self.committed_at.get(subscriber.revision() as usize);
            let lag = missing.map_or(0, |committed_at| now - committed_at);
            subscriber.longest_lag = subscriber.longest_lag.max(lag);
        }
    }

    fn most_bytes(&self) -> usize {
        self.subscribers.iter().map(|subscriber| subscriber.bytes).max().unwrap_or(0)
    }

    fn longest_lag(&self) -> u64 {
        self.subscribers.iter().map(|subscriber| subscriber.longest_lag).max().unwrap_or(0)
    }

    fn assert_all_have(&self, document: &[u8]) {
        for subscriber in &self.subscribers {
            let held = subscriber.view.configuration().expect("a configuration");
            assert!(held.document.bytes == document, "revision {}", held.revision);
        }
    }
}

/// The status of a trusted source.
fn status(routers: u32) -> FeedStatus {
    FeedStatus { is_trusted: true, routers }
}

fn hello(position: Position) -> Hello {
    Hello {
        role: Role::Agent,
        name: "edge-1".into(),
        control_address: "".into(),
        incarnation: 1,
        source: position.source,
        offset: position.offset,
    }
}

fn snapshot() -> Vec<Message> {
    vec![Message::SnapshotBegin, Message::SnapshotEnd { complete: 1 }]
}

#[test]
fn four_hundred_subscribers_of_a_thousand_routes_keep_up_with_twelve_changes_a_second() {
    let mut world = World::new(400);
    world.begin(one_route_changed);
    world.play(2_400, 2_000, one_route_changed);
    let changes = world.committed_at.len() as u64;
    assert_eq!(changes, 26);
    world.assert_all_have(&one_route_changed(changes));
    let document_bytes = one_route_changed(changes).len();
    let (bytes, lag) = (world.most_bytes(), world.longest_lag());
    println!(
        "document {document_bytes} B, {changes} changes, most bytes per subscriber {bytes}, longest lag {lag} ms"
    );
    assert!(bytes < document_bytes + 20_000, "one complete document, then deltas: {bytes}");
    assert!(lag < 250, "{lag} ms");
}

#[test]
fn a_subscriber_gets_no_more_than_its_bandwidth_share_whatever_operators_do() {
    const LENGTH_MS: u64 = 10_000;
    let mut world = World::new(4);
    world.play(LENGTH_MS + 1_500, LENGTH_MS, all_routes_changed);
    let changes = world.committed_at.len() as u64;
    world.assert_all_have(&all_routes_changed(changes));
    let document_bytes = all_routes_changed(changes).len();
    let interval = FetchPacing::LINK.interval(document_bytes).as_millis() as u64;
    let answers = 1 + (LENGTH_MS + 1_500).div_ceil(interval) as usize;
    let small = 2 * (changes as usize * 25 + 40 * 60);
    let (bytes, lag) = (world.most_bytes(), world.longest_lag());
    println!(
        "document {document_bytes} B, {changes} changes, most bytes per subscriber {bytes}, longest lag {lag} ms"
    );
    assert!(
        bytes <= answers * (document_bytes + 100) + small,
        "{bytes} of {}",
        answers * (document_bytes + 100) + small
    );
    assert!(lag < LAG_BOUND_MS, "{lag} ms");
}

#[test]
fn a_source_that_does_not_deliver_costs_one_timeout_per_change() {
    let mut world = World::new(4);
    world.begin(one_route_changed);
    world.unresponsive = vec![0];
    world.play(3_500, 2_000, one_route_changed);
    world.assert_all_have(&one_route_changed(world.committed_at.len() as u64));
    let lag = world.longest_lag();
    println!("longest lag with an unresponsive source {lag} ms");
    assert!(lag < LAG_BOUND_MS, "{lag} ms");
}

/// The publisher of a feed: its subscribers, and the state that they should reach.
struct Publisher {
    subscribers: Subscribers,
    expected: View,
    offset: u64,
}

impl Publisher {
    fn new() -> Publisher {
        Publisher { subscribers: Subscribers::new(11), expected: View::default(), offset: 0 }
    }

    /// Changes endpoint `number`; a sequence that is a multiple of seven removes it.
    fn change(&mut self, number: u64, sequence: u64) {
        let id = format!("i-{number}");
        let body = format!(
            r#"{{"Backend":"tiles","Address":"10.1.0.{number}:80","State":"ready","Sequence":{sequence},"Models":[{{"Name":"m-{sequence}"}}]}}"#
        );
        let message = if sequence.is_multiple_of(7) {
            Message::Removed(Removed { id: id.as_str().into(), sequence })
        } else {
            Message::Registered(Registered { id: id.as_str().into(), sequence, body: body.as_str().into() })
        };
        self.expected.receive(ms(0), source(0), message.clone(), &mut Vec::new());
        self.subscribers.append(&message);
        self.offset += 1;
    }

    /// Makes `count` changes, to fifty endpoints in turn.
    fn storm(&mut self, count: u64) {
        for _ in 0..count {
            self.change(self.offset % 50, 1 + self.offset / 50);
        }
    }

    fn join(&mut self, position: Position) -> Receiver<Bytes> {
        let (outbox, frames) = Outbox::new();
        let expected = &self.expected;
        let snapshot = || {
            let mut messages = expected.snapshot();
            messages.pop();
            messages.push(Message::SnapshotEnd { complete: 1 });
            messages
        };
        self.subscribers.connected(1, &hello(position), outbox, snapshot, status(1));
        frames
    }
}

/// Passes all queued messages to the view. Returns their bytes, and whether they include a snapshot.
fn drain(view: &mut View, frames: &mut Receiver<Bytes>) -> (usize, bool) {
    let (mut bytes, mut from_snapshot) = (0, false);
    while let Ok(frame) = frames.try_recv() {
        bytes += frame.len();
        let message = Message::decode(&frame[4..]).expect("a message");
        from_snapshot |= message == Message::SnapshotBegin;
        view.receive(ms(0), source(0), message, &mut Vec::new());
    }
    (bytes, from_snapshot)
}

/// The registrations in the state of a subscriber.
fn registrations(view: &View) -> Vec<Message> {
    let snapshot = view.snapshot().into_iter();
    snapshot.filter(|message| matches!(message, Message::Registered(_))).collect()
}

#[test]
fn a_subscriber_behind_the_journal_restarts_from_a_snapshot_and_converges() {
    let mut publisher = Publisher::new();
    let mut view = View::default();
    let mut frames = publisher.join(Position::default());
    publisher.storm(500);
    publisher.subscribers.heartbeat(status(1));
    drain(&mut view, &mut frames);
    view.source_lost(ms(0), source(0));
    publisher.subscribers.disconnected(1);

    let position = view.position(source(0));
    assert_eq!(position, Position { source: 11, offset: 500 });
    publisher.storm(200);
    let mut frames = publisher.join(position);
    let (_, from_snapshot) = drain(&mut view, &mut frames);
    assert!(!from_snapshot, "the journal still has the missed changes");
    assert_eq!(registrations(&view), registrations(&publisher.expected));

    view.source_lost(ms(0), source(0));
    let position = view.position(source(0));
    publisher.storm(2_049);
    let mut frames = publisher.join(position);
    publisher.storm(300);
    let (_, from_snapshot) = drain(&mut view, &mut frames);
    assert!(from_snapshot, "the journal no longer has the missed changes");
    assert_eq!(registrations(&view), registrations(&publisher.expected));
}

#[test]
fn a_subscriber_that_overruns_its_queue_is_disconnected_and_converges() {
    let mut publisher = Publisher::new();
    let mut view = View::default();
    let mut frames = publisher.join(Position::default());
    publisher.subscribers.heartbeat(status(1));
    drain(&mut view, &mut frames);
    publisher.storm(10_000);
    assert_eq!(publisher.subscribers.count(), 0, "the subscriber is dropped");
    drain(&mut view, &mut frames);
    assert!(frames.is_closed(), "its link is closed");
    assert_ne!(registrations(&view), registrations(&publisher.expected));

    view.source_lost(ms(0), source(0));
    let mut frames = publisher.join(view.position(source(0)));
    publisher.storm(77);
    let (_, from_snapshot) = drain(&mut view, &mut frames);
    assert!(from_snapshot);
    assert_eq!(registrations(&view), registrations(&publisher.expected));
}

/// Bytes sent to bring a subscriber up to date that missed `missed` changes of endpoints and as many of the
/// configuration.
fn catch_up_bytes(missed: u64) -> usize {
    let mut publisher = Publisher::new();
    let mut view = View::default();
    let mut frames = publisher.join(Position::default());
    publisher.storm(100);
    let committed =
        |revision| CommittedConfiguration { revision, document: one_route_changed(revision).into() };
    publisher.subscribers.publish(committed(1));
    publisher.subscribers.heartbeat(status(1));
    drain(&mut view, &mut frames);
    view.receive(ms(0), source(0), Message::CommittedConfiguration(committed(1)), &mut Vec::new());
    view.source_lost(ms(0), source(0));
    publisher.subscribers.disconnected(1);

    publisher.storm(missed);
    // Only the newest versions are published: older ones would no longer be retained as bases.
    let newest = 1 + missed;
    (newest.saturating_sub(40).max(2)..=newest).for_each(|n| publisher.subscribers.publish(committed(n)));
    let mut frames = publisher.join(view.position(source(0)));
    let (mut bytes, _) = drain(&mut view, &mut frames);
    let Some((_, Message::ConfigurationFetch(base))) = view.fetch(ms(1_000), None) else { panic!("a fetch") };
    publisher.subscribers.fetch(1, base);
    bytes += drain(&mut view, &mut frames).0;
    assert_eq!(registrations(&view), registrations(&publisher.expected));
    assert!(view.configuration().is_some_and(|held| held.revision == newest));
    bytes
}

#[test]
fn catching_up_does_not_grow_with_the_changes_missed() {
    let [ten, thousand, five_thousand] = [10, 1_000, 5_000].map(catch_up_bytes);
    println!("bytes after 10, 1,000, 5,000 changes missed: {ten}, {thousand}, {five_thousand}");
    let document_bytes = one_route_changed(5_001).len();
    assert!(ten < 5_000, "deltas only: {ten}");
    assert!(thousand < document_bytes + 64 * 1024, "{thousand}");
    assert!(five_thousand < document_bytes + 64 * 1024, "{five_thousand}");
}
