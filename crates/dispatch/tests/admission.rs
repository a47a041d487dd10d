//! Which request of an overdue timeline is refused or postponed.

use lanegate_dispatch::admission::{Admission, Overdue};
use lanegate_dispatch::endpoints::EndpointKey;
use lanegate_dispatch::interface::RequestId;
use lanegate_dispatch::pending_request::QueueEntry;
use std::sync::Arc;

const LANE: EndpointKey = EndpointKey(1);

fn overdue(request: u64, route: &str, due: i64, occupancy: i64) -> Overdue {
    Overdue { request: RequestId(request), route: route.into(), due, occupancy }
}

#[test]
fn the_class_with_the_lowest_miss_ratio_yields() {
    let mut admission = Admission::default();
    let (paid, casual): (Arc<str>, Arc<str>) = ("paid".into(), "casual".into());
    for _ in 0..10 {
        admission.count_request(&paid, 0);
        admission.count_request(&casual, 0);
    }
    admission.count_miss(&paid, 0);
    let overdue_requests = [overdue(1, "paid", 10, 5), overdue(2, "casual", 20, 5)];
    assert_eq!(admission.victim(&overdue_requests, true).map(|victim| victim.request), Some(RequestId(2)));
    admission.count_miss(&casual, 0);
    admission.count_miss(&casual, 0);
    assert_eq!(admission.victim(&overdue_requests, true).map(|victim| victim.request), Some(RequestId(1)));
}

#[test]
fn within_a_class_the_longest_then_the_latest_request_yields() {
    let admission = Admission::default();
    let overdue_requests = [overdue(1, "c", 10, 5), overdue(2, "c", 20, 7), overdue(3, "c", 30, 5)];
    assert_eq!(admission.victim(&overdue_requests, true).map(|victim| victim.request), Some(RequestId(2)));
    let alike = [overdue(1, "c", 10, 5), overdue(3, "c", 30, 5), overdue(2, "c", 20, 5)];
    assert_eq!(admission.victim(&alike, true).map(|victim| victim.request), Some(RequestId(3)));
    assert_eq!(admission.victim(&[], true), None);
}

#[test]
fn a_timeline_is_overdue_when_its_requests_cannot_meet_their_due_times() {
    let mut admission = Admission::default();
    let backend: Arc<str> = "tiles".into();
    let entry = |due: i64| QueueEntry { endpoint: Some(LANE), due };
    admission.insert(&backend, RequestId(1), entry(100), 60);
    assert_eq!(admission.overdue(LANE, 30), None);
    admission.insert(&backend, RequestId(2), entry(120), 60);
    assert!(admission.overdue(LANE, 30).is_some());
    admission.remove(&backend, RequestId(2), entry(120));
    assert_eq!(admission.overdue(LANE, 30), None);
    assert_eq!(admission.by_deadline("tiles", 9), [RequestId(1)]);
    admission.remove(&backend, RequestId(1), entry(100));
    assert!(admission.is_empty("tiles"));
}
