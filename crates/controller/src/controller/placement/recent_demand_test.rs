//! Recent demand reports are retained in order of time, without duplicates, and for a limited time.

use crate::controller::placement::recent_demand::RecentDemand;
use crate::message::{Message, RouterDemand};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn report(router: &str, period_ms: u32, age_ms: u32) -> RouterDemand {
    let report = format!(r#"{{"period_ms":{period_ms},"models":[]}}"#);
    RouterDemand { router: router.into(), report: report.as_str().into(), age_ms }
}

fn periods(demand: &RecentDemand) -> Vec<(u64, u32)> {
    let reports = demand.reports().into_iter();
    reports.map(|(at, report)| (at.as_millis() as u64, report.period_ms)).collect()
}

#[test]
fn reports_of_a_peer_are_merged_in_order_of_time() {
    let mut demand = RecentDemand::default();
    demand.record(ms(5_000), &report("edge-1", 1, 0));
    demand.record(ms(6_000), &report("edge-1", 2, 3_000));
    assert_eq!(periods(&demand), vec![(3_000, 2), (5_000, 1)]);
}

#[test]
fn a_report_that_a_peer_repeats_counts_once() {
    let mut demand = RecentDemand::default();
    demand.record(ms(5_000), &report("edge-1", 1, 0));
    demand.record(ms(6_000), &report("edge-1", 1, 1_010));
    assert_eq!(periods(&demand), vec![(5_000, 1)]);
}

#[test]
fn old_reports_are_forgotten() {
    let mut demand = RecentDemand::default();
    demand.record(ms(1_000), &report("edge-1", 1, 0));
    demand.record(ms(30_000), &report("edge-1", 2, 0));
    assert_eq!(periods(&demand), vec![(30_000, 2)]);
}

#[test]
fn messages_for_a_peer_contain_the_age() {
    let mut demand = RecentDemand::default();
    demand.record(ms(1_000), &report("edge-1", 1, 0));
    let messages: Vec<Message> = demand.messages(ms(3_500)).collect();
    assert_eq!(messages, vec![Message::Demand(report("edge-1", 1, 2_500))]);
}
