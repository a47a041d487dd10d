//! The merged view of several sources: nothing goes back, nothing is lost, nothing that is gone stays.

mod common;

use common::{controller, ms, registered, removed, residency_update, residency_update_of};
use lanegate_controller::configuration_feed::fetcher::FetchPacing;
use lanegate_controller::message::{
    CommittedConfiguration, ConfigurationVersion, Controllers, FeedHeartbeat, Message,
};
use lanegate_controller::view::View;
use lanegate_coordination::feed::Position;
use proptest::prelude::*;
use std::net::SocketAddr;

fn committed(revision: u64, document: &str) -> Message {
    Message::CommittedConfiguration(CommittedConfiguration { revision, document: document.into() })
}

fn end(complete: bool) -> Message {
    Message::SnapshotEnd { complete: u8::from(complete) }
}

/// Hands `messages` of `source` to the view at `time` and gives what is news.
fn send_at(view: &mut View, time: u64, source: SocketAddr, messages: &[Message]) -> Vec<Message> {
    let mut updates = Vec::new();
    messages.iter().for_each(|message| view.receive(ms(time), source, message.clone(), &mut updates));
    updates
}

fn send(view: &mut View, source: SocketAddr, messages: &[Message]) -> Vec<Message> {
    send_at(view, 0, source, messages)
}

fn models(view: &View, id: &str) -> Vec<String> {
    let registered = view.registration(id).expect("it is listed");
    registered.current_instance().models.into_iter().map(|held| held.name).collect()
}

#[test]
fn a_source_that_lags_cannot_take_the_configuration_back() {
    let mut view = View::default();
    send(&mut view, controller(1), &[committed(4, "new")]);
    assert_eq!(send(&mut view, controller(2), &[committed(3, "old")]), vec![]);
    assert_eq!(send(&mut view, controller(2), &[committed(4, "new")]), vec![]);
    assert_eq!(view.configuration().unwrap().document.text(), "new");
}

#[test]
fn a_snapshot_of_a_source_that_lags_cannot_take_the_configuration_back() {
    let mut view = View::default();
    send(&mut view, controller(1), &[Message::SnapshotBegin, committed(4, "new"), end(true)]);
    view.source_lost(ms(0), controller(1));
    send(&mut view, controller(2), &[Message::SnapshotBegin, committed(3, "old"), end(true)]);
    assert_eq!(view.configuration().unwrap().revision, 4);
}

#[test]
fn a_source_that_lags_cannot_take_a_registration_back() {
    let mut view = View::default();
    let newer = registered("i-1", 80, 6, &["b"]);
    assert_eq!(send(&mut view, controller(1), std::slice::from_ref(&newer)), vec![newer]);
    assert_eq!(send(&mut view, controller(2), &[registered("i-1", 80, 5, &["a"])]), vec![]);
    assert_eq!(models(&view, "i-1"), ["b"]);
}

#[test]
fn what_two_sources_send_is_an_update_once() {
    let mut view = View::default();
    let message = registered("i-1", 80, 1, &[]);
    assert_eq!(send(&mut view, controller(1), std::slice::from_ref(&message)).len(), 1);
    assert_eq!(send(&mut view, controller(2), &[message]), vec![]);
    assert_eq!(send(&mut view, controller(1), &[removed("i-1", 1)]).len(), 1);
    assert_eq!(send(&mut view, controller(2), &[removed("i-1", 1)]), vec![]);
}

#[test]
fn a_late_registration_does_not_undo_a_removal() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 5, &[]), removed("i-1", 6)]);
    assert_eq!(send(&mut view, controller(2), &[registered("i-1", 80, 6, &[])]), vec![]);
    assert!(view.registration("i-1").is_none());
}

#[test]
fn a_removal_that_is_older_than_the_registration_changes_nothing() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 6, &[])]);
    assert_eq!(send(&mut view, controller(2), &[removed("i-1", 5)]), vec![]);
    assert!(view.registration("i-1").is_some());
}

#[test]
fn a_new_incarnation_at_an_address_and_the_end_of_the_one_before_are_passed_on() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 9, &[])]);
    let replaced = [registered("i-2", 80, 1, &[]), removed("i-1", 10)];
    assert_eq!(send(&mut view, controller(1), &replaced), replaced);
    assert_eq!(send(&mut view, controller(2), &[registered("i-1", 80, 10, &[])]), vec![], "it is late");
    assert_eq!(view.endpoints(), 1);
}

/// A source that was behind listed the former incarnation after the live one, and the live one was gone for good.
#[test]
fn a_source_that_is_behind_does_not_take_the_live_incarnation_at_an_address() {
    let mut view = View::default();
    let live = registered("i-live", 80, 1, &[]);
    send(&mut view, controller(1), std::slice::from_ref(&live));
    send(&mut view, controller(2), &[registered("i-former", 80, 7, &[])]);
    assert_eq!(send(&mut view, controller(2), &[live, removed("i-former", 8)]), [removed("i-former", 8)]);
    assert!(view.registration("i-live").is_some());
}

/// The source that was left was behind, and will not tell of the end any more.
#[test]
fn what_only_a_lost_source_had_listed_is_removed_after_a_grace_period() {
    let mut view = View::default();
    let (stale, current) = (registered("i-1", 80, 3, &[]), registered("i-2", 81, 4, &[]));
    send(
        &mut view,
        controller(1),
        &[Message::SnapshotBegin, stale, current.clone(), end(true), heartbeat(1, 1)],
    );
    send(&mut view, controller(2), &[Message::SnapshotBegin, current, end(true), heartbeat(1, 1)]);
    view.source_lost(ms(100), controller(1));
    assert_eq!(send_at(&mut view, 600, controller(2), &[heartbeat(1, 1)]), vec![]);
    assert_eq!(send_at(&mut view, 1_100, controller(2), &[heartbeat(1, 1)]), vec![removed("i-1", 3)]);
    assert!(view.registration("i-2").is_some());
    assert_eq!(view.position(controller(1)), Position::default(), "its feed has to begin anew");
}

/// Nobody else has told everything.
#[test]
fn what_a_lost_source_had_listed_stays_without_another_complete_one() {
    let mut view = View::default();
    send(
        &mut view,
        controller(1),
        &[Message::SnapshotBegin, registered("i-1", 80, 3, &[]), end(true), heartbeat(1, 1)],
    );
    send(&mut view, controller(2), &[Message::SnapshotBegin, end(false), heartbeat(1, 1)]);
    view.source_lost(ms(100), controller(1));
    assert_eq!(send_at(&mut view, 5_000, controller(2), &[heartbeat(1, 1)]), vec![]);
    assert!(view.registration("i-1").is_some());
}

#[test]
fn what_has_vanished_goes_with_the_end_of_a_complete_snapshot_only() {
    let mut view = View::default();
    let both = [registered("i-1", 80, 3, &[]), registered("i-2", 81, 4, &[])];
    send(&mut view, controller(1), &both);
    send(&mut view, controller(1), &[end(true)]);
    view.source_lost(ms(0), controller(1));
    assert!(view.registration("i-2").is_some(), "a lost source takes nothing along");

    let begun = [Message::SnapshotBegin, registered("i-1", 80, 3, &[])];
    assert_eq!(send(&mut view, controller(2), &begun), vec![]);
    assert_eq!(send(&mut view, controller(2), &[end(false)]), vec![]);
    assert!(view.registration("i-2").is_some(), "the source has not heard from everyone itself");

    let updates = send(&mut view, controller(2), &[end(true)]);
    assert_eq!(updates, vec![removed("i-2", 4), end(true)]);
    assert!(view.registration("i-2").is_none());
}

#[test]
fn what_another_complete_source_lists_stays() {
    let mut view = View::default();
    send(&mut view, controller(1), &[Message::SnapshotBegin, registered("i-1", 80, 3, &[]), end(true)]);
    assert_eq!(send(&mut view, controller(2), &[Message::SnapshotBegin, end(true)]), vec![]);
    assert!(view.registration("i-1").is_some());
}

#[test]
fn what_vanished_by_mistake_comes_back_with_the_same_sequence() {
    let mut view = View::default();
    let message = registered("i-1", 80, 3, &[]);
    send(&mut view, controller(1), std::slice::from_ref(&message));
    send(&mut view, controller(2), &[Message::SnapshotBegin, end(true)]);
    assert!(view.registration("i-1").is_none());
    assert_eq!(send(&mut view, controller(2), std::slice::from_ref(&message)), vec![message]);
}

#[test]
fn a_residency_update_amends_a_registration_until_the_next_heartbeat() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 1, &["a"])]);
    let loaded = residency_update("i-1", "b", true);
    assert_eq!(send(&mut view, controller(1), std::slice::from_ref(&loaded)), vec![loaded.clone()]);
    assert_eq!(models(&view, "i-1"), ["a", "b"]);
    assert_eq!(send(&mut view, controller(2), &[loaded]), vec![], "it is known already");

    send(&mut view, controller(1), &[residency_update("i-1", "a", false)]);
    assert_eq!(models(&view, "i-1"), ["b"]);

    let heartbeat = registered("i-1", 80, 2, &["a"]);
    assert_eq!(send(&mut view, controller(1), std::slice::from_ref(&heartbeat)), vec![heartbeat]);
    assert_eq!(models(&view, "i-1"), ["a"], "the endpoint itself knows best");
}

#[test]
fn a_heartbeat_that_confirms_a_residency_update_changes_nothing() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 1, &[]), residency_update("i-1", "b", true)]);
    assert_eq!(send(&mut view, controller(1), &[registered("i-1", 80, 2, &["b"])]), vec![]);
    assert_eq!(models(&view, "i-1"), ["b"]);
}

#[test]
fn a_residency_update_of_an_unknown_incarnation_is_dropped() {
    let mut view = View::default();
    assert_eq!(send(&mut view, controller(1), &[residency_update("i-9", "b", true)]), vec![]);
}

#[test]
fn a_new_subscriber_gets_the_complete_view() {
    let mut view = View::default();
    let known = [committed(2, "{}"), registered("i-1", 80, 1, &["a"]), residency_update("i-1", "b", true)];
    send(&mut view, controller(1), &known);
    send(&mut view, controller(1), &[registered("i-2", 81, 1, &[]), removed("i-2", 2), end(true)]);
    let [configuration, registration, amendment] = known;
    let expected = vec![Message::SnapshotBegin, configuration, registration, amendment, end(true)];
    assert_eq!(view.snapshot(), expected);
}

#[test]
fn a_source_says_who_else_is_there_and_how_many_routers() {
    let mut view = View::default();
    let addresses = "10.0.0.1:7000 10.0.0.2:7000 nonsense".into();
    send(&mut view, controller(1), &[Message::Controllers(Controllers { addresses })]);
    assert!(view.controllers().iter().eq(&[controller(1), controller(2)]));
    let heartbeat = FeedHeartbeat { quorum: 1, source: 5, offset: 9, routers: 3 };
    send(&mut view, controller(1), &[Message::FeedHeartbeat(heartbeat)]);
    assert_eq!(view.routers(), 3);
}

#[test]
fn a_removal_is_forgotten_after_a_minute() {
    let mut view = View::default();
    let heartbeat = Message::FeedHeartbeat(FeedHeartbeat { quorum: 1, source: 5, offset: 9, routers: 0 });
    send(&mut view, controller(1), &[registered("i-1", 80, 1, &[]), removed("i-1", 5)]);
    send_at(&mut view, 59_000, controller(1), std::slice::from_ref(&heartbeat));
    assert_eq!(send_at(&mut view, 59_001, controller(1), &[registered("i-1", 80, 2, &[])]), vec![]);
    send_at(&mut view, 61_000, controller(1), &[heartbeat]);
    assert_eq!(send_at(&mut view, 61_001, controller(1), &[registered("i-1", 80, 2, &[])]).len(), 1);
}

/// One step in the history of an endpoint, its sequence being its place in the row.
#[derive(Debug, Clone, Copy)]
enum Step {
    Holds(u8),
    Removed,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![3 => (0_u8..4).prop_map(Step::Holds), 1 => Just(Step::Removed)]
}

fn step_message(sequence: u64, step: Step) -> Message {
    match step {
        Step::Holds(model) => registered("i-1", 80, sequence, &[&format!("model-{model}")]),
        Step::Removed => removed("i-1", sequence),
    }
}

fn sequence_of(updates: &Message) -> Option<u64> {
    match updates {
        Message::Registered(registered) => Some(registered.sequence),
        Message::Removed(removed) => Some(removed.sequence),
        _ => None,
    }
}

proptest! {
    /// Two sources tell the same history, each in order and each leaving out any steps but the last.
    #[test]
    fn however_two_sources_lag_the_view_never_goes_back_and_ends_with_the_newest(
        steps in prop::collection::vec((step(), any::<bool>(), any::<bool>()), 1..20),
        turns in prop::collection::vec(any::<bool>(), 40),
    ) {
        let last = steps.len() as u64;
        let sent = |source: bool| {
            let all = steps.iter().zip(1..).filter(move |((_, first, second), sequence)| {
                *sequence == last || if source { *first } else { *second }
            });
            all.map(|((step, ..), sequence)| step_message(sequence, *step)).collect::<Vec<_>>()
        };
        let (mut first, mut second) = (sent(true).into_iter(), sent(false).into_iter());
        let (mut view, mut updates) = (View::default(), Vec::new());
        for turn in turns {
            let (source, messages) =
                if turn { (controller(1), &mut first) } else { (controller(2), &mut second) };
            if let Some(message) = messages.next() {
                view.receive(ms(0), source, message, &mut updates);
            }
        }
        first.for_each(|message| view.receive(ms(0), controller(1), message, &mut updates));
        second.for_each(|message| view.receive(ms(0), controller(2), message, &mut updates));

        prop_assert!(updates.iter().filter_map(sequence_of).is_sorted(), "{:?}", updates);
        match steps[steps.len() - 1].0 {
            Step::Holds(model) => prop_assert_eq!(models(&view, "i-1"), [format!("model-{model}")]),
            Step::Removed => prop_assert!(view.registration("i-1").is_none()),
        }
    }
}

fn heartbeat(quorum: u8, routers: u32) -> Message {
    Message::FeedHeartbeat(FeedHeartbeat { quorum, source: 1, offset: 0, routers })
}

#[test]
fn a_source_that_does_not_know_the_routers_takes_no_count_back() {
    let mut view = View::default();
    let (one, other): (std::net::SocketAddr, std::net::SocketAddr) =
        ("10.0.0.1:7000".parse().unwrap(), "10.0.0.2:7000".parse().unwrap());
    let now = std::time::Duration::ZERO;
    view.receive(now, one, heartbeat(1, 9), &mut Vec::new());
    view.receive(now, other, heartbeat(1, 0), &mut Vec::new());
    assert_eq!(view.routers(), 9, "a controller that has just started knows none");
    view.receive(now, other, heartbeat(0, 2), &mut Vec::new());
    assert_eq!(view.routers(), 9, "a controller that is cut off hears few");
    view.receive(now, one, heartbeat(1, 0), &mut Vec::new());
    assert_eq!(view.routers(), 9, "nobody knows it now");
    view.receive(now, other, heartbeat(1, 3), &mut Vec::new());
    assert_eq!(view.routers(), 3);
}

#[test]
fn a_residency_update_of_an_older_registration_does_not_amend_a_newer_one() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 6, &["a"])]);
    assert_eq!(send(&mut view, controller(2), &[residency_update_of("i-1", "b", true, 5, 3)]), vec![]);
    assert_eq!(models(&view, "i-1"), ["a"]);
    let newer = residency_update_of("i-1", "b", true, 6, 1);
    assert_eq!(send(&mut view, controller(2), std::slice::from_ref(&newer)), vec![newer]);
}

#[test]
fn a_residency_update_that_overtook_its_registration_stays_when_that_arrives() {
    let mut view = View::default();
    send(
        &mut view,
        controller(1),
        &[registered("i-1", 80, 5, &["a"]), residency_update_of("i-1", "b", true, 7, 1)],
    );
    send(&mut view, controller(2), &[registered("i-1", 80, 6, &["a", "c"])]);
    assert_eq!(models(&view, "i-1"), ["a", "c", "b"]);
    send(&mut view, controller(2), &[registered("i-1", 80, 7, &["a"])]);
    assert_eq!(models(&view, "i-1"), ["a", "b"]);
    send(&mut view, controller(2), &[registered("i-1", 80, 8, &["a"])]);
    assert_eq!(models(&view, "i-1"), ["a"], "the endpoint itself knows best");
}

#[test]
fn holdings_of_one_registration_count_in_the_order_of_their_publication() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 5, &[])]);
    send(
        &mut view,
        controller(1),
        &[residency_update_of("i-1", "b", true, 5, 1), residency_update_of("i-1", "b", false, 5, 2)],
    );
    assert_eq!(
        send(&mut view, controller(2), &[residency_update_of("i-1", "b", true, 5, 1)]),
        vec![],
        "it lags"
    );
    assert!(models(&view, "i-1").is_empty());
    send(&mut view, controller(2), &[residency_update_of("i-1", "b", true, 5, 2)]);
    assert!(models(&view, "i-1").is_empty(), "of two at once, the drop counts");
    send(&mut view, controller(2), &[residency_update_of("i-1", "b", true, 5, 3)]);
    assert_eq!(models(&view, "i-1"), ["b"]);
}

fn heartbeat_at(source: u64, offset: u64) -> Message {
    Message::FeedHeartbeat(FeedHeartbeat { quorum: 1, source, offset, routers: 1 })
}

#[test]
fn a_feed_goes_on_where_its_last_heartbeat_stood() {
    let mut view = View::default();
    let one = controller(1);
    send(
        &mut view,
        one,
        &[Message::SnapshotBegin, registered("i-1", 80, 3, &[]), end(true), heartbeat_at(9, 40)],
    );
    assert_eq!(view.position(one).source, 0, "it has not ended");
    view.source_lost(ms(0), one);
    assert_eq!((view.position(one).source, view.position(one).offset), (9, 40));

    send(&mut view, one, &[registered("i-2", 81, 1, &[]), heartbeat_at(9, 41)]);
    send(&mut view, controller(2), &[Message::SnapshotBegin, end(true)]);
    assert!(view.registration("i-1").is_some(), "what it had listed is listed still");
    assert!(view.registration("i-2").is_some());
}

#[test]
fn a_feed_that_ended_within_a_snapshot_begins_anew() {
    let mut view = View::default();
    let one = controller(1);
    send(&mut view, one, &[Message::SnapshotBegin, end(true), heartbeat_at(9, 40)]);
    view.source_lost(ms(0), one);
    send(&mut view, one, &[Message::SnapshotBegin, registered("i-1", 80, 3, &[])]);
    view.source_lost(ms(1), one);
    assert_eq!(view.position(one).source, 0);
}

#[test]
fn a_feed_begins_anew_when_something_that_it_listed_was_dropped_meanwhile() {
    let mut view = View::default();
    let one = controller(1);
    send(
        &mut view,
        one,
        &[Message::SnapshotBegin, registered("i-1", 80, 3, &[]), end(true), heartbeat_at(9, 40)],
    );
    view.source_lost(ms(0), one);
    send(&mut view, controller(2), &[Message::SnapshotBegin, end(true)]);
    assert!(view.registration("i-1").is_none());
    assert_eq!(view.position(one).source, 0, "its tail would not tell it again");
}

#[test]
fn a_feed_begins_anew_after_half_a_minute() {
    let mut view = View::default();
    send(&mut view, controller(1), &[Message::SnapshotBegin, end(true), heartbeat_at(9, 40)]);
    view.source_lost(ms(0), controller(1));
    send_at(&mut view, 30_000, controller(2), &[heartbeat_at(8, 1)]);
    assert_eq!(view.position(controller(1)).source, 9);
    send_at(&mut view, 30_001, controller(2), &[heartbeat_at(8, 1)]);
    assert_eq!(view.position(controller(1)).source, 0);
}

fn addresses(numbers: &[u8]) -> Message {
    let addresses: Vec<String> = numbers.iter().map(|number| controller(*number).to_string()).collect();
    Message::Controllers(Controllers { addresses: addresses.join(" ").as_str().into() })
}

#[test]
fn controllers_are_those_that_any_source_names_and_some_time_longer() {
    let mut view = View::default();
    let known = |view: &View| view.controllers().iter().copied().collect::<Vec<_>>();
    send(&mut view, controller(1), &[addresses(&[1, 2, 3])]);
    send(&mut view, controller(2), &[addresses(&[2])]);
    assert_eq!(known(&view), [1, 2, 3].map(controller), "one that is cut off takes none away");
    view.source_lost(ms(0), controller(1));
    send_at(&mut view, 30_000, controller(2), &[heartbeat_at(8, 1)]);
    assert_eq!(known(&view), [1, 2, 3].map(controller), "they may still be the only way");
    send_at(&mut view, 30_001, controller(2), &[heartbeat_at(8, 1)]);
    assert_eq!(known(&view), [2].map(controller));
}

fn version(revision: u64, document: &str) -> ConfigurationVersion {
    ConfigurationVersion::of(revision, document.as_bytes())
}

#[test]
fn a_view_is_behind_while_a_newer_configuration_is_known_or_nobody_would_know() {
    let mut view = View::new(FetchPacing::LOOPBACK);
    assert!(view.may_be_behind(), "nobody is heard");
    send(&mut view, controller(1), &[committed(4, "a"), heartbeat_at(9, 1)]);
    assert!(!view.may_be_behind());
    let known = Message::ConfigurationKnown(version(5, "b"));
    assert_eq!(send(&mut view, controller(1), std::slice::from_ref(&known)), vec![known.clone()]);
    assert!(view.may_be_behind());
    assert_eq!(view.fetch(ms(500), None), None, "the source does not have it yet");
    send(&mut view, controller(1), &[Message::ConfigurationAnnounced(version(5, "b"))]);
    assert!(view.fetch(ms(500), None).is_some());
    send(&mut view, controller(1), &[committed(5, "b")]);
    assert!(!view.may_be_behind());
    send(&mut view, controller(1), &[heartbeat(0, 1)]);
    assert!(view.may_be_behind(), "the only source has no contact with a majority");
    send(&mut view, controller(1), &[heartbeat(1, 1)]);
    view.source_lost(ms(600), controller(1));
    assert!(view.may_be_behind(), "nobody is heard any more");
}

/// An agent sends its router a heartbeat of the feed only when something in it changes. The router kept the tombstones of
/// endpoints for good, and never listed them again.
#[test]
fn a_tombstone_is_dropped_without_heartbeats_of_the_feed() {
    let mut view = View::default();
    send(&mut view, controller(1), &[registered("i-1", 80, 5, &[]), removed("i-1", u64::MAX)]);
    let again = registered("i-1", 80, 6, &[]);
    assert_eq!(send_at(&mut view, 60_000, controller(1), std::slice::from_ref(&again)), vec![]);
    assert_eq!(send_at(&mut view, 60_501, controller(1), std::slice::from_ref(&again)), vec![again]);
}
