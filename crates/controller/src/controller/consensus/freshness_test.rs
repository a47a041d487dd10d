//! A controller counts as current only after a read that started in the present period of quorum contact.

use crate::controller::consensus::freshness::Freshness;
use crate::controller::consensus::shards::{self, CONFIGURATION};
use std::collections::BTreeSet;

fn all() -> BTreeSet<u8> {
    shards::all().collect()
}

/// In contact, and current after read 1.
fn current() -> Freshness {
    let mut freshness = Freshness::default();
    assert!(freshness.observe_contact(all()).read);
    freshness.read_started(1);
    freshness.read_ended(1, true);
    assert!(freshness.observe_contact(all()).notify);
    freshness
}

#[test]
fn contact_alone_is_not_enough() {
    let mut freshness = Freshness::default();
    let watched = freshness.observe_contact(all());
    assert!(watched.contact_started && watched.read && !watched.notify);
    assert!(!freshness.is_current());
    freshness.read_started(1);
    assert!(!freshness.observe_contact(all()).read, "one read at a time");
    assert!(!freshness.is_current());
}

#[test]
fn a_read_in_contact_makes_it_current_and_subscribers_are_notified_once() {
    let mut freshness = current();
    assert!(freshness.is_current());
    let watched = freshness.observe_contact(all());
    assert!(!watched.notify && !watched.read && !watched.contact_started);
}

#[test]
fn the_end_of_contact_is_notified_and_a_new_contact_reads_again() {
    let mut freshness = current();
    let watched = freshness.observe_contact(BTreeSet::new());
    assert!(watched.notify && !watched.read);
    assert!(!freshness.is_current());
    let watched = freshness.observe_contact(all());
    assert!(watched.contact_started && watched.read && !watched.notify);
    assert!(!freshness.is_current());
}

#[test]
fn a_read_that_contact_did_not_outlast_is_void() {
    let mut freshness = Freshness::default();
    freshness.observe_contact(all());
    freshness.read_started(1);
    freshness.observe_contact(BTreeSet::new());
    freshness.read_ended(1, true);
    assert!(!freshness.is_current());
    assert!(freshness.observe_contact(all()).read);
    freshness.read_started(2);
    freshness.read_ended(1, true);
    assert!(!freshness.is_current(), "a read from before contact was lost does not count");
    freshness.read_ended(2, true);
    assert!(freshness.is_current());
}

#[test]
fn a_read_without_an_answer_is_started_again() {
    let mut freshness = Freshness::default();
    freshness.observe_contact(all());
    freshness.read_started(1);
    freshness.read_ended(1, false);
    assert!(!freshness.is_current());
    assert!(freshness.observe_contact(all()).read);
}

#[test]
fn contact_of_other_shards_says_nothing_of_the_configuration() {
    let mut freshness = Freshness::default();
    let services: BTreeSet<u8> = shards::all().filter(|shard| *shard != CONFIGURATION).collect();
    let watched = freshness.observe_contact(services.clone());
    assert!(watched.contact_started && !watched.read);
    let watched = freshness.observe_contact(all());
    assert!(watched.contact_started && watched.read);
    freshness.read_started(1);
    freshness.read_ended(1, true);
    assert!(freshness.observe_contact(all()).notify);
    assert!(freshness.observe_contact(services).notify);
    assert!(!freshness.is_current());
}
