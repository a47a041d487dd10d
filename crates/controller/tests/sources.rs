//! The choice of sources: two that reach their quorum, whatever fails.

#[allow(dead_code)]
mod common;

use common::{controller, ms};
use lanegate_controller::agent::sources::{SourcePlan, Sources};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const AGENT: &str = "edge-1";

fn known(count: u8) -> BTreeSet<SocketAddr> {
    (1..=count).map(controller).collect()
}

/// An agent that follows two of `count` sources, both trusted.
fn trusted_sources(count: u8) -> (Sources, SocketAddr, SocketAddr) {
    let mut sources = Sources::default();
    let plan = sources.plan(ms(0), AGENT, &known(count));
    let [first, second] = plan.start[..] else { panic!("two are begun: {plan:?}") };
    sources.report_quorum(first, true);
    sources.report_quorum(second, true);
    (sources, first, second)
}

#[test]
fn two_sources_are_followed_and_no_more() {
    let (mut sources, first, second) = trusted_sources(5);
    assert_ne!(first, second);
    assert_eq!(sources.plan(ms(1), AGENT, &known(5)), SourcePlan::default());
}

#[test]
fn agents_spread_over_the_sources() {
    let first = |agent: &str| Sources::default().plan(ms(0), agent, &known(5)).start[0];
    let firsts: BTreeSet<SocketAddr> = (0..40).map(|agent| first(&format!("edge-{agent}"))).collect();
    assert_eq!(firsts.len(), 5);
}

#[test]
fn a_partitioned_source_is_replaced_and_retained_until_two_others_are_trusted() {
    let (mut sources, first, second) = trusted_sources(4);
    sources.report_quorum(first, false);
    let plan = sources.plan(ms(1), AGENT, &known(4));
    assert_eq!((plan.start.len(), plan.stop.len()), (1, 0), "{plan:?}");
    let third = plan.start[0];
    assert_eq!(
        sources.plan(ms(2), AGENT, &known(4)),
        SourcePlan::default(),
        "the new one has not spoken yet"
    );
    sources.report_quorum(third, true);
    let plan = sources.plan(ms(3), AGENT, &known(4));
    assert_eq!(plan, SourcePlan { start: vec![], stop: vec![first] });
    assert_eq!(sources.preferred(), Some(second.min(third)));
}

#[test]
fn a_source_that_is_trusted_again_before_it_was_replaced_stays() {
    let (mut sources, first, _) = trusted_sources(2);
    sources.report_quorum(first, false);
    assert_eq!(sources.plan(ms(1), AGENT, &known(2)), SourcePlan::default(), "there is no third");
    sources.report_quorum(first, true);
    assert_eq!(sources.plan(ms(2), AGENT, &known(2)), SourcePlan::default());
}

#[test]
fn with_every_source_partitioned_all_are_tried_and_none_is_dropped() {
    let (mut sources, first, second) = trusted_sources(3);
    sources.report_quorum(first, false);
    sources.report_quorum(second, false);
    assert!(sources.has_no_trusted());
    let plan = sources.plan(ms(1), AGENT, &known(3));
    assert_eq!((plan.start.len(), plan.stop.len()), (1, 0));
    sources.report_quorum(plan.start[0], false);
    assert_eq!(sources.plan(ms(2), AGENT, &known(3)), SourcePlan::default());
    assert!(sources.preferred().is_some(), "one that is cut off is better than none");
}

#[test]
fn a_source_that_fails_is_replaced_at_once_and_redialled_after_a_delay() {
    let (mut sources, first, _) = trusted_sources(3);
    sources.link_down(ms(1_000), first);
    let plan = sources.plan(ms(1_000), AGENT, &known(3));
    assert_eq!(plan.start.len(), 1);
    assert_ne!(plan.start[0], first);

    let (mut sources, first, _) = trusted_sources(2);
    sources.link_down(ms(1_000), first);
    assert_eq!(sources.plan(ms(1_000), AGENT, &known(2)), SourcePlan::default());
    assert_eq!(sources.plan(ms(1_399), AGENT, &known(2)), SourcePlan::default());
    assert_eq!(sources.plan(ms(1_400), AGENT, &known(2)).start, vec![first]);
}

#[test]
fn own_messages_go_to_a_trusted_source() {
    let (mut sources, first, second) = trusted_sources(2);
    sources.report_quorum(first.min(second), false);
    assert_eq!(sources.preferred(), Some(first.max(second)));
    assert!(!sources.has_no_trusted());
}

#[test]
fn a_report_of_a_source_that_is_not_followed_changes_nothing() {
    let (mut sources, first, second) = trusted_sources(2);
    sources.link_down(ms(0), first);
    sources.report_quorum(first, true);
    sources.report_quorum(second, false);
    assert!(sources.has_no_trusted());
}

/// After a start of everything at once, the first sources that are dialled may not be up yet.
#[test]
fn while_none_is_trusted_a_source_that_fails_is_dialled_again_soon() {
    let mut sources = Sources::default();
    let plan = sources.plan(ms(0), AGENT, &known(3));
    plan.start.iter().for_each(|source| sources.link_down(ms(300), *source));
    assert_eq!(sources.plan(ms(300), AGENT, &known(3)).start.len(), 1, "the one that was not tried yet");
    let again = sources.plan(ms(400), AGENT, &known(3));
    assert_eq!(again.start.len(), 1, "two at a time: {again:?}");

    let (mut sources, first, second) = trusted_sources(2);
    sources.link_down(ms(1_000), first);
    assert_eq!(
        sources.plan(ms(1_100), AGENT, &known(2)),
        SourcePlan::default(),
        "the other one is enough for now"
    );
    sources.link_down(ms(1_100), second);
    assert_eq!(sources.plan(ms(1_200), AGENT, &known(2)).start, [second]);
    assert_eq!(sources.plan(ms(1_400), AGENT, &known(2)).start, [first]);
}
