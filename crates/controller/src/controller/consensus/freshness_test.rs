//! A controller vouches for its configuration only after a read that began in the contact that lasts.

use crate::controller::consensus::freshness::Freshness;
use crate::controller::consensus::shards::{self, CONFIGURATION};
use std::collections::BTreeSet;

fn all() -> BTreeSet<u8> {
    shards::all().collect()
}

/// In contact, and current after read 1.
fn current() -> Freshness {
    let mut trust = Freshness::default();
    assert!(trust.watch(all()).read);
    trust.reading(1);
    trust.read(1, true);
    assert!(trust.watch(all()).tell);
    trust
}

#[test]
fn contact_alone_is_not_enough() {
    let mut trust = Freshness::default();
    let watched = trust.watch(all());
    assert!(watched.begun && watched.read && !watched.tell);
    assert!(!trust.is_current());
    trust.reading(1);
    assert!(!trust.watch(all()).read, "one read at a time");
    assert!(!trust.is_current());
}

#[test]
fn a_read_in_contact_makes_it_current_and_readers_are_told_once() {
    let mut trust = current();
    assert!(trust.is_current());
    let watched = trust.watch(all());
    assert!(!watched.tell && !watched.read && !watched.begun);
}

#[test]
fn the_end_of_contact_is_told_and_a_new_contact_reads_again() {
    let mut trust = current();
    let watched = trust.watch(BTreeSet::new());
    assert!(watched.tell && !watched.read);
    assert!(!trust.is_current());
    let watched = trust.watch(all());
    assert!(watched.begun && watched.read && !watched.tell);
    assert!(!trust.is_current());
}

#[test]
fn a_read_that_contact_did_not_outlast_is_void() {
    let mut trust = Freshness::default();
    trust.watch(all());
    trust.reading(1);
    trust.watch(BTreeSet::new());
    trust.read(1, true);
    assert!(!trust.is_current());
    assert!(trust.watch(all()).read);
    trust.reading(2);
    trust.read(1, true);
    assert!(!trust.is_current(), "the answer to an earlier read says nothing of the later contact");
    trust.read(2, true);
    assert!(trust.is_current());
}

#[test]
fn a_read_without_an_answer_is_begun_anew() {
    let mut trust = Freshness::default();
    trust.watch(all());
    trust.reading(1);
    trust.read(1, false);
    assert!(!trust.is_current());
    assert!(trust.watch(all()).read);
}

#[test]
fn contact_of_other_shards_says_nothing_of_the_configuration() {
    let mut trust = Freshness::default();
    let services: BTreeSet<u8> = shards::all().filter(|shard| *shard != CONFIGURATION).collect();
    let watched = trust.watch(services.clone());
    assert!(watched.begun && !watched.read);
    let watched = trust.watch(all());
    assert!(watched.begun && watched.read);
    trust.reading(1);
    trust.read(1, true);
    assert!(trust.watch(all()).tell);
    assert!(trust.watch(services).tell);
    assert!(!trust.is_current());
}
