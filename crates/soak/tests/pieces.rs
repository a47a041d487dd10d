//! Small parts of the stand-ins.

use lanegate_config::configuration::{Configuration, validate};
use lanegate_soak::answer::{EventReader, event};
use lanegate_soak::catalog::{Service, configuration};
use lanegate_soak::metrics::violations;
use lanegate_soak::names::{AttemptId, InstanceId, Place};

const ATTEMPT: AttemptId = AttemptId(0xab);

#[test]
fn events_are_read_however_they_are_cut() {
    let bytes: String = (1..=3).map(|id| event(ATTEMPT, id)).collect();
    for length in 1..bytes.len() {
        let mut reader = EventReader::default();
        bytes.as_bytes().chunks(length).for_each(|piece| reader.push(ATTEMPT, piece));
        assert_eq!(reader.ids, [1, 2, 3]);
        assert!(!reader.is_foreign && !reader.is_inside_event());
    }
}

#[test]
fn events_of_another_attempt_are_foreign() {
    let mut reader = EventReader::default();
    reader.push(ATTEMPT, event(AttemptId(7), 1).as_bytes());
    assert!(reader.is_foreign);
    let mut reader = EventReader::default();
    reader.push(ATTEMPT, b"data: 1\n\n");
    assert!(reader.is_foreign);
}

#[test]
fn an_event_that_is_not_whole_is_seen() {
    let mut reader = EventReader::default();
    reader.push(ATTEMPT, &event(ATTEMPT, 1).as_bytes()[..9]);
    assert!(reader.is_inside_event());
}

#[test]
fn names_are_read_as_they_are_written() {
    for place in [Place::Controller(1), Place::Agent(2), Place::Router(3), Place::Endpoint(4)] {
        assert_eq!(place.to_string().parse(), Ok(place));
    }
    assert!("router-0".parse::<Place>().is_err() && "router".parse::<Place>().is_err());
    let instance = InstanceId { endpoint: 3, start: 12 };
    assert_eq!(instance.to_string().parse(), Ok(instance));
    assert_eq!(ATTEMPT.to_string().parse(), Ok(ATTEMPT));
}

#[test]
fn the_configuration_is_valid() {
    for service in [Service::Primary, Service::Secondary] {
        let text = configuration(3, 1, service).to_string();
        let read: Configuration = serde_json::from_str(&text).unwrap();
        assert!(validate(&read).is_empty());
    }
}

#[test]
fn violation_counters_are_summed() {
    let text = "# HELP lanegate_invariant_violations_total violations\n\
                lanegate_invariant_violations_total{invariant=\"a\"} 2\n\
                lanegate_invariant_violations_total{invariant=\"b\"} 1\nlanegate_requests_total 7\n";
    assert_eq!(violations(text), 3);
    assert_eq!(violations("lanegate_requests_total 7\n"), 0);
}
