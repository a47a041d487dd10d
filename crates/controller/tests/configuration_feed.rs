//! A configuration on its way to a reader: differences, announcements, one fetch at a time.

#[allow(dead_code)]
mod common;

use common::{controller, ms};
use lanegate_controller::configuration_feed::delta::{self, DeltaError};
use lanegate_controller::configuration_feed::digest;
use lanegate_controller::configuration_feed::fetcher::{
    ConfigurationFetcher, DELTA_TIMEOUT, DOCUMENT_TIMEOUT, FetchPacing, RETRY_DELAY,
};
use lanegate_controller::configuration_feed::publisher::ConfigurationPublisher;
use lanegate_controller::message::{
    CommittedConfiguration, ConfigurationDelta, ConfigurationVersion, DeltaPart, Message,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// A configuration of `routes` routes, of which the first has the timeout `timeout`.
fn document(version: u64, routes: usize, timeout: u64) -> Vec<u8> {
    let route = |number: usize| {
        let timeout = if number == 0 { timeout } else { 5_000 };
        format!(
            r#"{{"Name":"r{number}","Hostname":"h{number}.example","PathPrefix":"/p{number}/","RouteType":"streaming","TimeoutMs":{timeout},"TargetMs":800,"Priority":3,"Backend":"b"}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"Version":{version},"Routes":[{}],"Backends":[{{"Name":"b"}}]}}"#, routes.join(",")).into()
}

fn committed(revision: u64, document: Vec<u8>) -> CommittedConfiguration {
    CommittedConfiguration { revision, document: document.into() }
}

fn version(committed: &CommittedConfiguration) -> ConfigurationVersion {
    ConfigurationVersion::of(committed.revision, &committed.document.bytes)
}

fn message(frame: &[u8]) -> Message {
    Message::decode(&frame[4..]).expect("a message")
}

/// The answer of `publisher` to a reader that has `base`.
fn answer(publisher: &mut ConfigurationPublisher, base: ConfigurationVersion) -> Option<Message> {
    publisher.answer(base).map(|frame| message(&frame))
}

fn publisher_of(configurations: &[CommittedConfiguration]) -> ConfigurationPublisher {
    let mut publisher = ConfigurationPublisher::with_capacity(8);
    configurations.iter().for_each(|committed| assert!(publisher.publish(committed.clone()).is_some()));
    publisher
}

/// Hands an answer of `source` to the reader. True if it was news.
fn hand(
    fetcher: &mut ConfigurationFetcher,
    now: Duration,
    source: SocketAddr,
    answer: Option<Message>,
) -> bool {
    match answer {
        Some(Message::CommittedConfiguration(committed)) => fetcher.on_document(now, source, &committed),
        Some(Message::ConfigurationDelta(delta)) => fetcher.on_delta(now, source, &delta).is_some(),
        other => panic!("no configuration: {other:?}"),
    }
}

fn revision(fetcher: &ConfigurationFetcher) -> Option<u64> {
    fetcher.current().map(|committed| committed.revision)
}

#[test]
fn a_change_of_one_field_takes_some_bytes_of_a_large_document() {
    let (older, newer) = (document(1, 1_000, 5_000), document(2, 1_000, 7_000));
    let parts = delta::compute(&older, &newer);
    assert_eq!(delta::apply(&older, &parts, digest(&newer)).as_deref(), Ok(&newer[..]));
    let inserted = parts.iter().map(|part| match part {
        DeltaPart::Copied { .. } => 0,
        DeltaPart::Inserted(text) => text.bytes.len(),
    });
    assert!(parts.len() <= 4 && inserted.sum::<usize>() < 60, "{parts:?}");
}

#[test]
fn one_byte_more_less_or_other_gives_another_digest() {
    let known = document(1, 3, 5_000);
    let mut seen = std::collections::BTreeSet::from([digest(&known)]);
    for place in 0..known.len() {
        let (mut other, mut shorter, mut longer) = (known.clone(), known.clone(), known.clone());
        other[place] ^= 1;
        shorter.remove(place);
        longer.insert(place, 0);
        assert!(seen.insert(digest(&other)), "byte {place}");
        assert_ne!(digest(&shorter), digest(&known));
        assert_ne!(digest(&longer), digest(&known));
    }
}

#[test]
fn routes_added_taken_away_and_moved_take_no_more_than_what_is_new() {
    let route = |n: u64| format!(r#"{{"Name":"r{n}","Hostname":"h{n}.example","Backend":"b{n}"}}"#);
    let all = |numbers: &[u64]| {
        let routes: Vec<String> = numbers.iter().map(|n| route(*n)).collect();
        format!(r#"{{"Routes":[{}]}}"#, routes.join(",")).into_bytes()
    };
    let older = all(&[1, 2, 3, 4, 5, 6, 7, 8]);
    let newer = all(&[5, 1, 2, 9, 4, 6, 7]);
    let parts = delta::compute(&older, &newer);
    assert_eq!(delta::apply(&older, &parts, digest(&newer)).as_deref(), Ok(&newer[..]));
    let inserted: usize = parts
        .iter()
        .map(|part| if let DeltaPart::Inserted(text) = part { text.bytes.len() } else { 0 })
        .sum();
    assert!(inserted < 2 * route(9).len(), "{parts:?}");
}

#[test]
fn a_difference_on_another_base_is_refused_by_its_digest() {
    let (older, newer) = (document(1, 10, 5_000), document(2, 10, 7_000));
    let parts = delta::compute(&older, &newer);
    let other = String::from_utf8(older.clone()).unwrap().replace("h3.example", "x3.example").into_bytes();
    assert_eq!(delta::apply(&other, &parts, digest(&newer)), Err(DeltaError::DigestMismatch));
    let outside = [DeltaPart::Copied { offset: 1, length: u32::MAX }];
    assert_eq!(delta::apply(&older, &outside, 0), Err(DeltaError::OutsideBase));
    let many = vec![DeltaPart::Copied { offset: 0, length: older.len() as u32 }; 17_000_000 / older.len()];
    assert_eq!(delta::apply(&older, &many, 0), Err(DeltaError::TooLong));
}

proptest! {
    #[test]
    fn a_difference_makes_the_newer_document_of_any_older_one(
        older in "[a-c,}]{0,60}",
        newer in "[a-c,}]{0,60}",
    ) {
        let parts = delta::compute(older.as_bytes(), newer.as_bytes());
        let made = delta::apply(older.as_bytes(), &parts, digest(newer.as_bytes()));
        prop_assert_eq!(made.as_deref(), Ok(newer.as_bytes()));
    }

    #[test]
    fn any_parts_on_any_document_are_applied_or_refused(
        older in prop::collection::vec(any::<u8>(), 0..60),
        ranges in prop::collection::vec((any::<u32>(), any::<u32>()), 0..4),
    ) {
        let parts: Vec<DeltaPart> =
            ranges.iter().map(|(offset, length)| DeltaPart::Copied { offset: *offset, length: *length }).collect();
        let _ = delta::apply(&older, &parts, 0);
    }
}

#[test]
fn a_publisher_sends_the_newest_only_as_a_difference_to_what_the_reader_has() {
    let versions: Vec<CommittedConfiguration> =
        (1..=5).map(|number| committed(number, document(number, 400, 5_000 + number))).collect();
    let mut publisher = publisher_of(&versions);
    let newest = version(&versions[4]);
    assert_eq!(publisher.announcement(), Some(Message::ConfigurationAnnounced(newest)));
    let Some(Message::ConfigurationDelta(sent)) = answer(&mut publisher, version(&versions[1])) else {
        panic!("the base is kept")
    };
    assert_eq!((sent.base, sent.version), (version(&versions[1]).digest, newest));
    assert!(sent.parts.size() < 100);
    let made = delta::apply(&versions[1].document.bytes, &sent.parts.parts, newest.digest);
    assert_eq!(made.unwrap(), versions[4].document.bytes);
}

#[test]
fn an_answer_that_was_made_once_is_not_given_for_a_newer_version() {
    let versions: Vec<CommittedConfiguration> =
        (1..=3).map(|number| committed(number, document(number, 50, 5_000 + number))).collect();
    let mut publisher = publisher_of(&versions[..2]);
    let base = version(&versions[0]);
    let first = answer(&mut publisher, base);
    assert_eq!(answer(&mut publisher, base), first, "all readers that have the base share it");
    publisher.publish(versions[2].clone());
    let Some(Message::ConfigurationDelta(second)) = answer(&mut publisher, base) else {
        panic!("the base is kept")
    };
    assert_eq!(second.version, version(&versions[2]));
}

#[test]
fn a_subscriber_with_an_unknown_or_no_configuration_gets_the_complete_document() {
    let newest = committed(9, document(9, 50, 5_000));
    let mut publisher = publisher_of(std::slice::from_ref(&newest));
    let unknown = ConfigurationVersion { revision: 3, digest: 77 };
    for base in [ConfigurationVersion::NONE, unknown] {
        assert_eq!(answer(&mut publisher, base), Some(Message::CommittedConfiguration(newest.clone())));
    }
    assert_eq!(answer(&mut publisher, version(&newest)), None, "nothing is newer");
}

#[test]
fn a_publisher_forgets_old_bases_and_never_goes_back() {
    let versions: Vec<CommittedConfiguration> =
        (1..=10).map(|number| committed(number, document(number, 50, 5_000 + number))).collect();
    let mut publisher = publisher_of(&versions);
    assert!(
        matches!(answer(&mut publisher, version(&versions[1])), Some(Message::CommittedConfiguration(_))),
        "8 are kept"
    );
    let third = answer(&mut publisher, version(&versions[2]));
    assert!(matches!(third, Some(Message::ConfigurationDelta(_))));
    assert_eq!(publisher.publish(versions[3].clone()), None, "an older one is no news");
    assert_eq!(publisher.announcement(), Some(Message::ConfigurationAnnounced(version(&versions[9]))));
}

#[test]
fn a_document_that_has_nothing_in_common_is_sent_completely() {
    let (first, second) = (committed(1, vec![b'a'; 500]), committed(2, vec![b'b'; 400]));
    let mut publisher = publisher_of(&[first.clone(), second.clone()]);
    assert_eq!(answer(&mut publisher, version(&first)), Some(Message::CommittedConfiguration(second)));
}

#[test]
fn a_reader_asks_one_source_and_skips_what_was_decided_meanwhile() {
    let versions: Vec<CommittedConfiguration> =
        (1..=9).map(|number| committed(number, document(number, 400, 5_000 + number))).collect();
    let mut publisher = publisher_of(&versions[..1]);
    let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
    let (one, two) = (controller(1), controller(2));
    assert!(fetcher.on_announcement(one, version(&versions[0])));
    assert!(!fetcher.on_announcement(two, version(&versions[0])), "it is known");
    let fetch = fetcher.fetch(ms(0), Some(two));
    assert_eq!(fetch, Some((two, Message::ConfigurationFetch(ConfigurationVersion::NONE))));
    assert_eq!(fetcher.fetch(ms(1), Some(two)), None, "one at a time");
    assert!(hand(&mut fetcher, ms(5), two, answer(&mut publisher, ConfigurationVersion::NONE)));
    assert!(!fetcher.is_behind());

    for committed in &versions[1..] {
        fetcher.on_announcement(two, version(committed));
        publisher.publish(committed.clone());
    }
    assert!(fetcher.is_behind());
    let due = fetcher.next_wake(ms(6)).unwrap();
    assert_eq!(
        due,
        FetchPacing::LINK.interval(versions[0].document.bytes.len()),
        "the first answer was large"
    );
    assert_eq!(fetcher.fetch(due - ms(1), Some(two)), None, "not before its pace allows it");
    let base = version(&versions[0]);
    assert_eq!(fetcher.fetch(due, Some(two)), Some((two, Message::ConfigurationFetch(base))));
    assert!(hand(&mut fetcher, due + ms(2), two, answer(&mut publisher, base)));
    assert_eq!(revision(&fetcher), Some(9), "seven versions were never sent");
    assert_eq!(fetcher.next_wake(due + ms(2)), None);
}

#[test]
fn the_second_source_is_fetched_from_when_the_first_does_not_deliver() {
    let first = committed(1, document(1, 50, 5_000));
    let second = committed(2, document(2, 50, 6_000));
    let (one, two) = (controller(1), controller(2));
    for (held, timeout) in [(None, DOCUMENT_TIMEOUT), (Some(&first), DELTA_TIMEOUT)] {
        let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
        if let Some(held) = held {
            fetcher.on_document(ms(0), one, held);
        }
        fetcher.on_announcement(one, version(&second));
        fetcher.on_announcement(two, version(&second));
        let begun = ms(1_000);
        assert_eq!(fetcher.fetch(begun, Some(one)).map(|(source, _)| source), Some(one));
        assert_eq!(fetcher.next_wake(begun), Some(begun + timeout));
        assert_eq!(fetcher.fetch(begun + timeout - ms(1), Some(one)), None);
        assert_eq!(fetcher.fetch(begun + timeout, Some(one)).map(|(source, _)| source), Some(two));
        let again = begun + RETRY_DELAY;
        assert_eq!(fetcher.fetch(again - ms(1), Some(one)), None, "both owe an answer");
        assert_eq!(fetcher.fetch(again, Some(one)).map(|(source, _)| source), Some(one));
    }
}

#[test]
fn a_lost_source_has_no_fetch_in_flight_and_gets_none() {
    let newest = committed(2, document(2, 50, 5_000));
    let (one, two) = (controller(1), controller(2));
    let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
    fetcher.on_announcement(one, version(&newest));
    assert!(fetcher.fetch(ms(0), Some(one)).is_some());
    fetcher.on_source_lost(one);
    assert_eq!(fetcher.next_wake(ms(1)), None);
    assert!(fetcher.is_behind(), "that it exists stays known");
    fetcher.on_announcement(two, version(&newest));
    assert_eq!(fetcher.fetch(ms(200), Some(one)).map(|(source, _)| source), Some(two));
}

#[test]
fn the_source_that_has_the_newest_is_fetched_from() {
    let (older, newer) = (committed(4, document(4, 50, 5_000)), committed(5, document(5, 50, 5_500)));
    let (one, two) = (controller(1), controller(2));
    let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
    fetcher.on_announcement(one, version(&older));
    fetcher.on_announcement(two, version(&newer));
    assert_eq!(fetcher.fetch(ms(0), Some(one)).map(|(source, _)| source), Some(two));
}

#[test]
fn an_answer_that_lags_takes_nothing_back() {
    let (older, newer) = (committed(4, document(4, 50, 5_000)), committed(5, document(5, 50, 5_500)));
    let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
    assert!(fetcher.on_document(ms(0), controller(1), &newer));
    assert!(!fetcher.on_document(ms(1), controller(2), &older));
    let mut publisher = publisher_of(&[committed(3, document(3, 50, 1)), older]);
    let late = answer(&mut publisher, ConfigurationVersion::of(3, &document(3, 50, 1)));
    assert!(!hand(&mut fetcher, ms(2), controller(2), late));
    assert_eq!(revision(&fetcher), Some(5));
}

#[test]
fn a_delta_that_does_not_apply_is_followed_by_the_complete_document() {
    let (first, second) = (committed(1, document(1, 50, 5_000)), committed(2, document(2, 50, 6_000)));
    let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
    fetcher.on_document(ms(0), controller(1), &first);
    fetcher.on_announcement(controller(1), version(&second));
    let damaged = ConfigurationDelta {
        base: version(&first).digest,
        version: version(&second),
        parts: vec![DeltaPart::Copied { offset: 0, length: 10 }].into(),
    };
    assert_eq!(fetcher.on_delta(ms(1_000), controller(1), &damaged), None);
    let fetch = fetcher.fetch(ms(2_000), None);
    assert_eq!(fetch, Some((controller(1), Message::ConfigurationFetch(ConfigurationVersion::NONE))));
    assert!(fetcher.on_document(ms(2_010), controller(1), &second));
    let third = committed(3, document(3, 50, 6_000));
    fetcher.on_announcement(controller(1), version(&third));
    let fetch = fetcher.fetch(ms(4_000), None);
    assert_eq!(fetch, Some((controller(1), Message::ConfigurationFetch(version(&second)))));
}

#[test]
fn a_delta_to_another_base_changes_nothing() {
    let (first, second, third) = (
        committed(1, document(1, 50, 1)),
        committed(2, document(2, 50, 2)),
        committed(3, document(3, 50, 3)),
    );
    let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
    fetcher.on_document(ms(0), controller(1), &second);
    fetcher.on_announcement(controller(2), version(&third));
    let mut publisher = publisher_of(&[first.clone(), third.clone()]);
    let late = answer(&mut publisher, version(&first));
    assert!(!hand(&mut fetcher, ms(1), controller(2), late));
    assert_eq!(revision(&fetcher), Some(2));
    assert!(fetcher.next_wake(ms(1)).is_some(), "it is fetched anew");
}

#[test]
fn the_same_bytes_decided_again_are_not_fetched() {
    let first = committed(1, document(1, 50, 5_000));
    let again = committed(7, document(1, 50, 5_000));
    let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
    fetcher.on_document(ms(0), controller(1), &first);
    assert!(fetcher.on_announcement(controller(2), version(&again)));
    assert!(!fetcher.is_behind());
    assert_eq!(fetcher.next_wake(ms(1)), None);
}

#[test]
fn the_pace_follows_the_size_of_the_answer_within_its_bounds() {
    assert_eq!(FetchPacing::LINK.interval(200), ms(100));
    assert_eq!(FetchPacing::LINK.interval(100_000), ms(400));
    assert_eq!(FetchPacing::LINK.interval(10_000_000), ms(800));
    assert_eq!(FetchPacing::LOOPBACK.interval(10_000_000), ms(100));
}

/// Sources that announced the newest version and never answered were asked in turn, and the one behind them never.
#[test]
fn every_source_that_has_the_newest_version_is_asked() {
    for preferred in [None, Some(controller(1))] {
        let mut fetcher = ConfigurationFetcher::new(FetchPacing::LINK);
        let newest = version(&committed(3, document(3, 1, 1)));
        let sources: Vec<SocketAddr> = (1..=6).map(controller).collect();
        sources
            .iter()
            .for_each(|source| assert!(fetcher.on_announcement(*source, newest) || *source != sources[0]));
        let mut asked = Vec::new();
        for now in (0..20_000).step_by(10) {
            asked.extend(fetcher.fetch(ms(now), preferred).map(|(source, _)| source));
        }
        let first_round: std::collections::BTreeSet<&SocketAddr> = asked.iter().take(sources.len()).collect();
        assert_eq!(first_round.len(), sources.len(), "preferred {preferred:?}: {asked:?}");
    }
}
