//! The reported number of live routers is never too low.

use crate::controller::feed::live_routers::LiveRouters;
use std::time::Duration;

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn a_controller_that_has_just_started_reports_no_number() {
    let mut routers = LiveRouters::default();
    routers.record_report(s(1), "edge-1".to_owned());
    assert_eq!(routers.count(s(1)), 0);
    assert_eq!(routers.count(s(5)), 1);
}

#[test]
fn a_router_without_reports_keeps_its_part_until_the_timeout() {
    let mut routers = LiveRouters::default();
    routers.record_report(s(6), "edge-1".to_owned());
    routers.record_report(s(30), "edge-2".to_owned());
    routers.expire(s(35));
    assert_eq!(routers.count(s(35)), 2);
    routers.expire(s(36));
    assert_eq!(routers.count(s(36)), 1);
}
