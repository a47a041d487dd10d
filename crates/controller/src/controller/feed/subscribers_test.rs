//! Subscribers of the feed resume at their position or start from a snapshot.

use crate::controller::feed::subscribers::{FeedStatus, Subscribers};
use crate::link::Outbox;
use crate::message::{FeedHeartbeat, Hello, Message, Removed, Role};
use bytes::Bytes;
use tokio::sync::mpsc::Receiver;

const INCARNATION: u64 = 77;

/// The status of a trusted source.
fn status(routers: u32) -> FeedStatus {
    FeedStatus { is_trusted: true, routers }
}

fn hello(source: u64, offset: u64) -> Hello {
    Hello {
        role: Role::Agent,
        name: "edge-1".into(),
        control_address: "".into(),
        incarnation: 1,
        source,
        offset,
    }
}

fn change(number: u64) -> Message {
    Message::Removed(Removed { id: "i-1".into(), sequence: number })
}

fn heartbeat(offset: u64) -> Message {
    Message::FeedHeartbeat(FeedHeartbeat { quorum: 1, source: INCARNATION, offset, routers: 2 })
}

fn snapshot() -> Vec<Message> {
    vec![Message::SnapshotBegin, Message::SnapshotEnd { complete: 1 }]
}

fn received(frames: &mut Receiver<Bytes>) -> Vec<Message> {
    let frames = std::iter::from_fn(|| frames.try_recv().ok());
    frames.map(|frame| Message::decode(&frame[4..]).expect("a message")).collect()
}

fn connect(subscribers: &mut Subscribers, subscriber: u64, hello: &Hello) -> Receiver<Bytes> {
    let (outbox, frames) = Outbox::new();
    subscribers.connected(subscriber, hello, outbox, snapshot, status(2));
    frames
}

fn subscribers_after(changes: u64) -> Subscribers {
    let mut subscribers = Subscribers::new(INCARNATION);
    (0..changes).for_each(|number| subscribers.append(&change(number)));
    subscribers
}

#[test]
fn a_new_subscriber_starts_with_a_snapshot_and_gets_its_position() {
    let mut subscribers = subscribers_after(3);
    let mut frames = connect(&mut subscribers, 1, &hello(0, 0));
    let mut expected = snapshot();
    expected.push(heartbeat(3));
    assert_eq!(received(&mut frames), expected);
}

#[test]
fn a_subscriber_that_reconnects_gets_the_missed_changes_and_no_snapshot() {
    let mut subscribers = subscribers_after(5);
    let mut frames = connect(&mut subscribers, 1, &hello(INCARNATION, 3));
    assert_eq!(received(&mut frames), vec![change(3), change(4), heartbeat(5)]);
    let mut frames = connect(&mut subscribers, 2, &hello(INCARNATION, 5));
    assert_eq!(received(&mut frames), vec![heartbeat(5)]);
}

#[test]
fn a_subscriber_of_another_incarnation_or_too_far_behind_starts_from_a_snapshot() {
    let mut subscribers = subscribers_after(2_049);
    for stale in [hello(INCARNATION + 1, 2_049), hello(INCARNATION, 0), hello(INCARNATION, 2_050)] {
        let mut frames = connect(&mut subscribers, 1, &stale);
        assert_eq!(received(&mut frames)[0], Message::SnapshotBegin, "{stale:?}");
    }
    let mut frames = connect(&mut subscribers, 1, &hello(INCARNATION, 1));
    assert_eq!(received(&mut frames).len(), 2_049);
}

#[test]
fn every_subscriber_gets_changes_and_heartbeats_until_it_disconnects() {
    let mut subscribers = subscribers_after(0);
    let (mut first, mut second) = (
        connect(&mut subscribers, 1, &hello(INCARNATION, 0)),
        connect(&mut subscribers, 2, &hello(INCARNATION, 0)),
    );
    subscribers.append(&change(0));
    subscribers.disconnected(1);
    subscribers.heartbeat(status(2));
    assert_eq!(received(&mut first), vec![heartbeat(0), change(0)]);
    assert_eq!(received(&mut second), vec![heartbeat(0), change(0), heartbeat(1)]);
    assert_eq!(subscribers.count(), 1);
}

#[test]
fn a_subscriber_whose_link_has_ended_is_dropped_with_the_next_message() {
    let mut subscribers = subscribers_after(0);
    drop(connect(&mut subscribers, 1, &hello(0, 0)));
    subscribers.append(&change(0));
    assert_eq!(subscribers.count(), 0);
}

/// Connects a subscriber for which `snapshot` would be built. Returns whether it was built, and the messages sent.
fn connect_with_snapshot(subscribers: &mut Subscribers, snapshot: Vec<Message>) -> (bool, Vec<Message>) {
    let (outbox, mut frames) = Outbox::new();
    let mut built = false;
    let make = || {
        built = true;
        snapshot
    };
    subscribers.connected(1, &hello(0, 0), outbox, make, status(2));
    (built, received(&mut frames))
}

#[test]
fn subscribers_that_connect_between_two_changes_share_a_snapshot() {
    let mut subscribers = subscribers_after(3);
    let (built, first) = connect_with_snapshot(&mut subscribers, snapshot());
    assert!(built);
    subscribers.heartbeat(status(2));
    let (built, second) = connect_with_snapshot(&mut subscribers, vec![]);
    assert!(!built, "a heartbeat is no change");
    assert_eq!(first, second);
}

#[test]
fn after_a_change_a_snapshot_is_built_again() {
    let mut subscribers = subscribers_after(3);
    connect_with_snapshot(&mut subscribers, snapshot());
    subscribers.append(&change(3));
    let changed = vec![Message::SnapshotBegin, change(3), Message::SnapshotEnd { complete: 1 }];
    let (built, sent) = connect_with_snapshot(&mut subscribers, changed.clone());
    assert!(built);
    assert_eq!(sent, [changed, vec![heartbeat(4)]].concat());
}
