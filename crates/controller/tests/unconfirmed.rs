//! Configurations that no source vouches for are held back, and not for ever.

#[allow(dead_code)]
mod common;

use common::{controller, ms};
use lanegate_controller::agent::unconfirmed::{Unconfirmed, WITHHOLD_LIMIT};
use lanegate_controller::message::{CommittedConfiguration, Message};

fn decided(revision: u64) -> CommittedConfiguration {
    CommittedConfiguration { revision, document: "{}".into() }
}

/// Tells whether the configuration is passed on.
fn told(unconfirmed: &mut Unconfirmed, source: u8, revision: u64, may_take: bool) -> bool {
    let message = Message::CommittedConfiguration(decided(revision));
    unconfirmed.filter(ms(0), controller(source), message, may_take).is_some()
}

#[test]
fn what_a_cut_off_source_tells_waits_until_that_source_vouches_for_it() {
    let mut unconfirmed = Unconfirmed::default();
    assert!(!told(&mut unconfirmed, 1, 7, false));
    assert_eq!(unconfirmed.take(controller(2)), None, "another source vouches for its own word only");
    assert_eq!(unconfirmed.take(controller(1)), Some(decided(7)));
    assert_eq!(unconfirmed.take(controller(1)), None);
}

#[test]
fn a_configuration_that_may_be_taken_ends_the_wait_for_others() {
    let mut unconfirmed = Unconfirmed::default();
    assert!(!told(&mut unconfirmed, 1, 7, false));
    assert!(told(&mut unconfirmed, 2, 9, true));
    assert_eq!(unconfirmed.take(controller(1)), None);
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT * 2), None);
}

#[test]
fn the_newest_is_used_once_nobody_has_vouched_for_too_long() {
    let mut unconfirmed = Unconfirmed::default();
    told(&mut unconfirmed, 1, 9, false);
    told(&mut unconfirmed, 2, 7, false);
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT - ms(1)), None);
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT), Some((controller(1), decided(9))));
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT * 2), None);
}

#[test]
fn the_last_word_of_a_source_that_is_lost_is_kept_if_it_is_the_only_one() {
    let mut unconfirmed = Unconfirmed::default();
    told(&mut unconfirmed, 1, 7, false);
    unconfirmed.lost(controller(1));
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT), Some((controller(1), decided(7))));
}

#[test]
fn other_messages_pass() {
    let mut unconfirmed = Unconfirmed::default();
    let message = Message::SnapshotEnd { complete: 1 };
    assert_eq!(unconfirmed.filter(ms(0), controller(1), message.clone(), false), Some(message));
}
