//! Who gives way on an occupancy chart that cannot be met.

use lanegate_dispatch::admission::{Admission, Overdue};
use lanegate_dispatch::endpoints::EndpointKey;
use lanegate_dispatch::interface::RequestId;
use lanegate_dispatch::tracked::Hold;
use std::sync::Arc;

const LANE: EndpointKey = EndpointKey(1);

fn overdue(request: u64, route: &str, due: i64, occupies: i64) -> Overdue {
    Overdue { request: RequestId(request), route: route.into(), due, occupies }
}

#[test]
fn the_class_that_has_missed_least_gives_way() {
    let mut admission = Admission::default();
    let (paid, casual): (Arc<str>, Arc<str>) = ("paid".into(), "casual".into());
    for _ in 0..10 {
        admission.count_request(&paid, 0);
        admission.count_request(&casual, 0);
    }
    admission.count_miss(&paid, 0);
    let held = [overdue(1, "paid", 10, 5), overdue(2, "casual", 20, 5)];
    assert_eq!(admission.victim(&held, true).map(|victim| victim.request), Some(RequestId(2)));
    admission.count_miss(&casual, 0);
    admission.count_miss(&casual, 0);
    assert_eq!(admission.victim(&held, true).map(|victim| victim.request), Some(RequestId(1)));
}

#[test]
fn within_a_class_the_longest_and_then_the_latest_gives_way() {
    let admission = Admission::default();
    let held = [overdue(1, "c", 10, 5), overdue(2, "c", 20, 7), overdue(3, "c", 30, 5)];
    assert_eq!(admission.victim(&held, true).map(|victim| victim.request), Some(RequestId(2)));
    let alike = [overdue(1, "c", 10, 5), overdue(3, "c", 30, 5), overdue(2, "c", 20, 5)];
    assert_eq!(admission.victim(&alike, true).map(|victim| victim.request), Some(RequestId(3)));
    assert_eq!(admission.victim(&[], true), None);
}

#[test]
fn a_chart_is_overdue_once_its_requests_dont_fit_before_their_deadlines() {
    let mut admission = Admission::default();
    let backend: Arc<str> = "tiles".into();
    let hold = |due: i64| Hold { lane: Some(LANE), due };
    admission.insert(&backend, RequestId(1), hold(100), 60);
    assert_eq!(admission.overdue(LANE, 30), None);
    admission.insert(&backend, RequestId(2), hold(120), 60);
    assert!(admission.overdue(LANE, 30).is_some());
    admission.remove(&backend, RequestId(2), hold(120));
    assert_eq!(admission.overdue(LANE, 30), None);
    assert_eq!(admission.by_deadline("tiles", 9), [RequestId(1)]);
    admission.remove(&backend, RequestId(1), hold(100));
    assert!(admission.is_empty("tiles"));
}
