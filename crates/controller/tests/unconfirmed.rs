//! Configurations of untrusted sources are withheld, up to a limit.

#[allow(dead_code)]
mod common;

use common::{controller, ms};
use lanegate_controller::agent::unconfirmed::{UnconfirmedConfigurations, WITHHOLD_LIMIT};
use lanegate_controller::message::{CommittedConfiguration, Message};

fn committed(revision: u64) -> CommittedConfiguration {
    CommittedConfiguration { revision, document: "{}".into() }
}

/// Whether the configuration is passed on.
fn is_passed_on(
    unconfirmed: &mut UnconfirmedConfigurations,
    source: u8,
    revision: u64,
    may_accept: bool,
) -> bool {
    let message = Message::CommittedConfiguration(committed(revision));
    unconfirmed.filter(ms(0), controller(source), message, may_accept).is_some()
}

#[test]
fn the_configuration_of_a_partitioned_source_is_withheld_until_it_is_trusted() {
    let mut unconfirmed = UnconfirmedConfigurations::default();
    assert!(!is_passed_on(&mut unconfirmed, 1, 7, false));
    assert_eq!(unconfirmed.take(controller(2)), None, "another source vouches for its own word only");
    assert_eq!(unconfirmed.take(controller(1)), Some(committed(7)));
    assert_eq!(unconfirmed.take(controller(1)), None);
}

#[test]
fn a_configuration_that_may_be_taken_ends_the_wait_for_others() {
    let mut unconfirmed = UnconfirmedConfigurations::default();
    assert!(!is_passed_on(&mut unconfirmed, 1, 7, false));
    assert!(is_passed_on(&mut unconfirmed, 2, 9, true));
    assert_eq!(unconfirmed.take(controller(1)), None);
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT * 2), None);
}

#[test]
fn the_newest_is_used_once_nobody_has_vouched_for_too_long() {
    let mut unconfirmed = UnconfirmedConfigurations::default();
    is_passed_on(&mut unconfirmed, 1, 9, false);
    is_passed_on(&mut unconfirmed, 2, 7, false);
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT - ms(1)), None);
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT), Some((controller(1), committed(9))));
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT * 2), None);
}

#[test]
fn the_configuration_of_a_lost_source_is_retained_if_it_is_the_only_one() {
    let mut unconfirmed = UnconfirmedConfigurations::default();
    is_passed_on(&mut unconfirmed, 1, 7, false);
    unconfirmed.on_source_lost(controller(1));
    assert_eq!(unconfirmed.overdue(WITHHOLD_LIMIT), Some((controller(1), committed(7))));
}

#[test]
fn other_messages_pass() {
    let mut unconfirmed = UnconfirmedConfigurations::default();
    let message = Message::SnapshotEnd { complete: 1 };
    assert_eq!(unconfirmed.filter(ms(0), controller(1), message.clone(), false), Some(message));
}
