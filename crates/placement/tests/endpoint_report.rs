//! The report of an endpoint, field by field.

use lanegate_config::instance::ResidentModel;
use lanegate_placement::{EndpointReport, Operation, OrderAnswer};

const TEXT: &str = concat!(
    r#"{"Phase":"decode","Models":[{"Name":"m","Version":2,"Adapters":["a1"]}],"Busy":true,"Sequence":9,"#,
    r#""Queued":3,"Active":4,"KvUsed":5.5,"KvCapacity":6.5,"Handles":7}"#
);

#[test]
fn reports_match_the_recorded_bytes() {
    let report = EndpointReport {
        phase: Some("decode".into()),
        models: vec![ResidentModel { name: "m".into(), version: 2, adapters: vec!["a1".into()] }],
        busy: true,
        sequence: 9,
        queued: 3,
        active: 4,
        kv_used: 5.5,
        kv_capacity: 6.5,
        handles: 7,
    };
    assert_eq!(serde_json::to_string(&report).unwrap(), TEXT);
    assert_eq!(serde_json::from_str::<EndpointReport>(TEXT).unwrap(), report);
    let empty: EndpointReport = serde_json::from_str("{}").unwrap();
    assert_eq!((empty.models.len(), empty.busy, empty.sequence, empty.phase), (0, false, 0, None));
}

#[test]
fn operations_have_their_names() {
    for (operation, text) in [(Operation::Load, r#""load""#), (Operation::Evict, r#""evict""#)] {
        assert_eq!(serde_json::to_string(&operation).unwrap(), text);
        assert_eq!(serde_json::from_str::<Operation>(text).unwrap(), operation);
    }
}

#[test]
fn statuses_map_to_answers() {
    let read = |status| OrderAnswer::from_status(status);
    assert_eq!(
        [202, 200, 409].map(read),
        [OrderAnswer::Accepted, OrderAnswer::AlreadyDone, OrderAnswer::Conflict]
    );
    assert_eq!(
        [412, 421, 400].map(read),
        [OrderAnswer::Fenced, OrderAnswer::WrongInstance, OrderAnswer::Invalid]
    );
    assert_eq!(
        [429, 503, 500].map(read),
        [OrderAnswer::Unavailable, OrderAnswer::Unavailable, OrderAnswer::Unknown]
    );
}
