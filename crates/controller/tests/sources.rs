//! The choice of sources: two that reach their quorum, whatever fails.

#[allow(dead_code)]
mod common;

use common::{controller, ms};
use lanegate_controller::agent::sources::{SourcePlan, Sources};
use lanegate_controller::link::CONNECT_TIMEOUT;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_assert, prop_oneof, proptest};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

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

/// What happens to an attempt at a controller's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Address {
    /// The machine is gone: the attempt times out.
    Silent,
    /// No process listens.
    Refusing,
    /// The connection is accepted and reset.
    Resetting,
    /// The connection is accepted and no message arrives, as from a frozen process.
    Mute,
    /// The controller reports that it has no quorum contact, and its link stays up.
    Partitioned,
    /// The controller has quorum contact, and resets its links after each report.
    Flapping,
}

/// Longest attempt at any address: one that is accepted and on which nothing is received.
const LONGEST_ATTEMPT: Duration = Duration::from_millis(1_800);
/// Time between two reviews of the sources, besides those when a link ends.
const REVIEW_PERIOD: Duration = Duration::from_millis(500);
/// Longest delay before a source whose link failed may be attempted again.
const LONGEST_RETRY_DELAY: Duration = Duration::from_millis(400);

impl Address {
    /// Time from an attempt to the end of its link; `None` if the link stays up.
    fn link_time(self) -> Option<Duration> {
        match self {
            Address::Silent => Some(CONNECT_TIMEOUT),
            Address::Refusing => Some(ms(1)),
            Address::Resetting | Address::Flapping => Some(ms(2)),
            Address::Mute => Some(LONGEST_ATTEMPT),
            Address::Partitioned => None,
        }
    }

    fn quorum_report(self) -> Option<bool> {
        match self {
            Address::Partitioned => Some(false),
            Address::Flapping => Some(true),
            Address::Silent | Address::Refusing | Address::Resetting | Address::Mute => None,
        }
    }
}

/// An agent that knows `others` and one controller that is silent until `live_from`. Returns when an attempt
/// at that controller first succeeds, up to `end`.
fn reached_at(agent: &str, others: &[Address], live_from: Duration, end: Duration) -> Option<Duration> {
    let live = controller(u8::try_from(others.len()).expect("few addresses") + 1);
    let address_of = |source: SocketAddr| {
        (0..others.len()).find(|index| controller(*index as u8 + 1) == source).map(|index| others[index])
    };
    let known = known(others.len() as u8 + 1);
    let mut sources = Sources::default();
    let mut links: BTreeSet<(Duration, SocketAddr)> = BTreeSet::new();
    let mut now = ms(0);
    let mut next_review = ms(0);
    while now <= end {
        for source in sources.plan(now, agent, &known).start {
            if source == live && now >= live_from {
                return Some(now);
            }
            let address = address_of(source).unwrap_or(Address::Silent);
            if let Some(quorum) = address.quorum_report() {
                sources.report_quorum(source, quorum);
            }
            links.extend(address.link_time().map(|time| (now + time, source)));
        }
        now = links.first().map_or(next_review, |(ends_at, _)| (*ends_at).min(next_review));
        if now == next_review {
            next_review += REVIEW_PERIOD;
        } else if let Some((_, source)) = links.pop_first() {
            sources.link_down(now, source);
        }
    }
    None
}

fn address() -> impl Strategy<Value = Address> {
    prop_oneof![
        3 => Just(Address::Silent),
        2 => Just(Address::Refusing),
        1 => Just(Address::Resetting),
        1 => Just(Address::Mute),
        1 => Just(Address::Partitioned),
        1 => Just(Address::Flapping),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// An agent that prefers addresses of machines that are gone never attempted the live one behind them.
    #[test]
    fn a_live_source_is_reached_whatever_the_others_do(
        agent in "edge-[0-9]{1,3}",
        others in proptest::collection::vec(address(), 0..24),
        live_from in 0_u64..30_000,
    ) {
        let live_from = ms(live_from);
        // Two attempts at a time, at each other address once; the one under way at the live address has to end first.
        let turns = others.len().div_ceil(2) as u32 + 1;
        let bound = turns * LONGEST_ATTEMPT + LONGEST_RETRY_DELAY + REVIEW_PERIOD;
        let reached = reached_at(&agent, &others, live_from, live_from + bound);
        prop_assert!(reached.is_some(), "not reached within {bound:?}");
    }
}

/// After replacements of core machines, agents that preferred four machines that were gone tried these in turn for ever.
#[test]
fn addresses_of_machines_that_are_gone_delay_a_live_source_by_one_attempt_each() {
    for gone in 0..20_u32 {
        let others = vec![Address::Silent; gone as usize];
        for agent in 0..50 {
            let reached = reached_at(&format!("edge-{agent}"), &others, ms(0), ms(60_000));
            assert!(
                reached.is_some_and(|at| at <= gone.div_ceil(2) * CONNECT_TIMEOUT),
                "{gone} gone: {reached:?}"
            );
        }
    }
}

/// The address of a source that is known to be up is attempted before those that failed, when its link was reset.
#[test]
fn a_trusted_source_whose_link_was_reset_comes_before_addresses_that_failed() {
    let known = known(4);
    let mut sources = Sources::default();
    let first_two = sources.plan(ms(0), AGENT, &known).start;
    first_two.iter().for_each(|source| sources.link_down(ms(300), *source));
    let last_two = sources.plan(ms(300), AGENT, &known).start;
    last_two.iter().for_each(|source| assert!(sources.report_quorum(*source, true)));
    last_two.iter().for_each(|source| sources.link_down(ms(5_000), *source));
    assert_eq!(sources.plan(ms(5_000), AGENT, &known).start, first_two, "the others have to wait");
    first_two.iter().for_each(|source| sources.link_down(ms(5_300), *source));
    assert_eq!(sources.plan(ms(5_400), AGENT, &known).start, last_two);
}
