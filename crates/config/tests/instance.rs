//! Registrations as endpoints send them.

use lanegate_config::instance::{Instance, InstanceState};

fn read(text: &str) -> Instance {
    serde_json::from_str(text).unwrap()
}

#[test]
fn complete_heartbeat_is_parsed() {
    let instance = read(
        r#"{"Backend":"b","Address":"10.128.0.9:8080","Zone":"z","Version":"v1","Capacity":64,"State":"draining",
            "ColdLeftMs":12.5,"Phase":"prefill_decode","Models":[{"Name":"m","Version":1,"Adapters":["a1"]}],
            "Sequence":4,"RemainingMs":900,"New":{}}"#,
    );
    assert_eq!(instance.backend, "b");
    assert_eq!(instance.address, "10.128.0.9:8080".parse().unwrap());
    assert_eq!((instance.capacity, instance.sequence, instance.state), (64, 4, InstanceState::Draining));
    assert_eq!((instance.warmup_remaining_ms, instance.remaining_ms), (12.5, Some(900.0)));
    assert_eq!(
        (instance.models[0].version, instance.models[0].adapters.as_slice()),
        (1, &["a1".to_owned()][..])
    );
}

#[test]
fn optional_fields_may_be_missing_or_null() {
    let least = read(r#"{"Backend":"b","Address":"10.0.0.1:80"}"#);
    let nulls = read(
        r#"{"Backend":"b","Address":"10.0.0.1:80","Zone":null,"Version":null,"Capacity":null,"State":null,
            "ColdLeftMs":null,"Phase":null,"Models":null,"Sequence":null,"RemainingMs":null}"#,
    );
    assert_eq!(least, nulls);
    assert_eq!(least.state, InstanceState::Ready);
    let held = read(
        r#"{"Backend":"b","Address":"10.0.0.1:80","Sequence":3.0,
            "Models":[{"Name":"m","Version":2.0,"Adapters":null}]}"#,
    );
    assert_eq!((held.sequence, held.models[0].version, held.models[0].adapters.len()), (3, 2, 0));
}

#[test]
fn registrations_round_trip() {
    let instance = read(r#"{"Backend":"b","Address":"10.0.0.1:80","Models":[{"Name":"m"}],"Sequence":7}"#);
    assert_eq!(read(&serde_json::to_string(&instance).unwrap()), instance);
}
