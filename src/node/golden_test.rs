//! The courier's records on disk and its handover messages, byte for byte.

use super::channel::{
    ClientConnection, EndedCall, HandoverMessage, HandoverState, InFlightCall, KnownEndpoint,
};
use super::journal::{Attempt, LiveMessage, Message, Verdict};
use super::outcomes::Notice;
use super::record_codec::{self, RecordKind};
use super::register::{Change, ChangeError, Register};
use crate::interface::{EndpointId, Outcome};
use crate::store::Durability;
use crate::store::frame::{self, Head, Label, Piece};
use crate::store::scan::{DROPPED, SYNCED, name, unnamed};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

fn micros(n: u64) -> Duration {
    Duration::from_micros(1_790_000_000_000_000 + n)
}

fn test_message(key: Option<&str>) -> Rc<Message> {
    Rc::new(Message {
        id: "m-1".to_owned(),
        class: "notice".to_owned(),
        tenant: "acme".to_owned(),
        destination: 7,
        key: key.map(str::to_owned),
        until: micros(9),
        body: Bytes::from_static(b"body"),
    })
}

fn attempt(host: &str, may_have_run: bool) -> Attempt {
    Attempt { host: host.to_owned(), zone: "north".to_owned(), sent: micros(5), may_have_run }
}

fn lives() -> [(&'static str, LiveMessage); 3] {
    let new = LiveMessage {
        submitted: test_message(Some("key")),
        taken: micros(1),
        attempts: Vec::new(),
        verdict: None,
    };
    let attempts = vec![attempt("s-1", false), attempt("s-2", true)];
    let tried = LiveMessage {
        submitted: test_message(None),
        taken: micros(2),
        attempts,
        verdict: Some(Verdict::Dead),
    };
    let bounced = Some(Verdict::Bounced { wait: Some(Duration::from_millis(30)) });
    let bounced = LiveMessage {
        submitted: test_message(None),
        taken: micros(3),
        attempts: Vec::new(),
        verdict: bounced,
    };
    [("live-new", new), ("live-tried-dead", tried), ("live-bounced", bounced)]
}

#[test]
fn payloads_of_records_match_the_recorded_bytes() {
    let mut forms = Vec::new();
    for (name, live) in lives() {
        let bytes = record_codec::encode_snapshot(11, &live);
        assert_eq!(record_codec::decode_snapshot(&bytes), Some(live));
        assert_eq!(record_codec::decode_id(11, &bytes).as_deref(), Some("m-1"));
        forms.push((name, bytes));
    }
    let bytes = record_codec::encode_attempt(2, &attempt("s-1", true));
    assert_eq!(record_codec::decode_attempt(&bytes), Some((2, attempt("s-1", true))));
    forms.push(("attempt", bytes));
    let wait = Some(Duration::from_millis(1_500));
    for (name, verdict) in [
        ("verdict-dead", Verdict::Dead),
        ("verdict-bounced", Verdict::Bounced { wait: None }),
        ("verdict-bounced-wait", Verdict::Bounced { wait }),
    ] {
        let bytes = record_codec::encode_verdict(verdict);
        assert_eq!(record_codec::decode_verdict(&bytes), Some(verdict));
        forms.push((name, bytes));
    }
    assert_eq!(record_codec::decode_never_ran(&[3, 0, 0, 0]), Some(3));
    lanegate_golden::assert_bytes(env!("CARGO_MANIFEST_DIR"), "journal_payloads", forms);
}

#[test]
fn numbers_of_record_kinds_match_the_recorded_bytes() {
    let kinds = [
        RecordKind::Snapshot,
        RecordKind::Attempt,
        RecordKind::NeverRan,
        RecordKind::Verdict,
        RecordKind::Ended,
        RecordKind::AssumedAttempt,
    ];
    assert_eq!(kinds.map(|kind| kind as u8), [1, 2, 3, 4, 5, 6]);
    assert!(kinds.into_iter().all(|kind| RecordKind::of(kind as u8) == Some(kind)));
    assert_eq!((RecordKind::of(0), RecordKind::of(7), DROPPED, SYNCED), (None, None, 0xF0, 0xF1));
    assert_eq!(
        (name(26), unnamed(26, 5)),
        ("000000000000001a".into(), "000000000000001a-0000000000000005.new".into())
    );
}

#[test]
fn segments_match_the_recorded_bytes() {
    let mut forms = Vec::new();
    for (form, synced) in [("segment", false), ("segment-synced", true)] {
        let head = Head { number: 3, identity: 0x0102_0304_0506_0708, first: 10, oldest: 2, synced };
        let mut bytes = head.bytes();
        let labels = [
            Label { kind: RecordKind::Snapshot as u8, sequence: 10, message: 11 },
            Label { kind: DROPPED, sequence: 11, message: 2 },
            Label { kind: SYNCED, sequence: 12, message: 0 },
        ];
        for label in labels {
            frame::append_record(&mut bytes, head.identity, label, b"payload");
        }
        let (read, found) = frame::read(&bytes).expect("the head is sound");
        assert_eq!(read, head);
        let sound = |(_, piece): &frame::Found| match piece {
            Piece::Record(record) if record.valid && record.payload == b"payload" => Some(record.label),
            _ => None,
        };
        assert_eq!(found.iter().filter_map(sound).collect::<Vec<_>>(), labels);
        forms.push((form, bytes));
    }
    lanegate_golden::assert_bytes(env!("CARGO_MANIFEST_DIR"), "journal_segments", forms);
}

fn handover_messages() -> Vec<(&'static str, HandoverMessage)> {
    let endpoint = EndpointId(4);
    let age = Duration::new(3, 500);
    let known = |dial: Option<&str>, ready| KnownEndpoint {
        id: endpoint,
        host: "s-1".to_owned(),
        dial: dial.map(str::to_owned),
        zone: "north".to_owned(),
        ready,
        listed: true,
    };
    let state = HandoverState {
        scheduler: vec![1, 2, 3],
        clock: Duration::from_secs(5),
        unix_time: micros(6),
        endpoints: vec![known(Some("10.0.0.1:80"), true), known(None, false)],
        endpoint_ids_assigned: 5,
        destinations: vec![7, 8],
        list_version: Some(9),
        in_flight: vec![InFlightCall { message: 11, endpoint, attempt: 2, age }],
        last_message: 12,
    };
    let ended =
        |outcome, report| EndedCall { message: 11, attempt: 1, endpoint, outcome, over: true, report, age };
    let client = ClientConnection { received: b"POST /v1".to_vec(), age, served: true };
    let id = "s-1".to_owned();
    let wait = Some(Duration::from_millis(20));
    vec![
        ("hello", HandoverMessage::Hello),
        ("state", HandoverMessage::State(Box::new(state))),
        ("ready", HandoverMessage::Ready { state_loaded: true }),
        ("go", HandoverMessage::LockReleased),
        ("client", HandoverMessage::Client(client)),
        ("ended-delivered", HandoverMessage::Ended(ended(Outcome::Delivered, Some((0.5, 80.0))))),
        ("ended-error", HandoverMessage::Ended(ended(Outcome::Error, None))),
        ("ended-full", HandoverMessage::Ended(ended(Outcome::Full { wait }, None))),
        ("ended-timed-out", HandoverMessage::Ended(ended(Outcome::TimedOut, None))),
        ("ended-connect-failed", HandoverMessage::Ended(ended(Outcome::ConnectFailed, None))),
        ("ended-reset", HandoverMessage::Ended(ended(Outcome::Reset, None))),
        ("ended-cancelled", HandoverMessage::Ended(ended(Outcome::Cancelled, None))),
        ("ended-moot", HandoverMessage::Ended(ended(Outcome::NotSent, None))),
        ("cancel", HandoverMessage::Cancel(11)),
        ("operate-endpoint", HandoverMessage::OperatorChange(1, Change::Endpoint { id, out: true })),
        ("operate-service", HandoverMessage::OperatorChange(2, Change::Service { out: false })),
        ("operated", HandoverMessage::OperatorChangeResult(1, Ok(()))),
        ("operated-unknown", HandoverMessage::OperatorChangeResult(1, Err(ChangeError::UnknownEndpoint))),
        ("operated-not-serving", HandoverMessage::OperatorChangeResult(1, Err(ChangeError::NotServing))),
        ("operated-unrecorded", HandoverMessage::OperatorChangeResult(1, Err(ChangeError::NotPersisted))),
    ]
}

#[test]
fn handover_messages_match_the_recorded_bytes() {
    let encode = |message: &HandoverMessage| {
        let mut bytes = Vec::new();
        ciborium::into_writer(&(message, true), &mut bytes).expect("a message can be written");
        bytes
    };
    let mut forms = Vec::new();
    for (name, message) in handover_messages() {
        let bytes = encode(&message);
        let (again, with): (HandoverMessage, bool) =
            ciborium::from_reader(&bytes[..]).expect("it can be read");
        assert!(with && encode(&again) == bytes, "{name}");
        forms.push((name, bytes));
    }
    lanegate_golden::assert_bytes(env!("CARGO_MANIFEST_DIR"), "handover", forms);
}

#[tokio::test]
async fn the_operators_record_match_the_recorded_bytes() {
    const RECORD: &str = r#"{"out":["s-1","s-2"],"out_of_service":true,"check":47813353}"#;
    let folder = std::env::temp_dir().join(format!("golden-{}-operators", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let register = Register::new(&folder, Durability::Process);
    let _changed = register.serve();
    register.set_listed(BTreeSet::from(["s-1".to_owned(), "s-2".to_owned()]));
    for id in ["s-2", "s-1"] {
        let change = Change::Endpoint { id: id.to_owned(), out: true };
        assert_eq!(register.clone().set(change).await, Ok(()));
    }
    assert_eq!(register.clone().set(Change::Service { out: true }).await, Ok(()));
    assert_eq!(std::fs::read_to_string(folder.join("operators")).expect("a record"), RECORD);
    std::fs::write(folder.join("operators"), RECORD).expect("written");
    let register = Register::new(&folder, Durability::Process);
    register.load().expect("it can be read");
    assert!(register.is_out("s-1") && register.is_out("s-2") && register.out_of_service());
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn notices_match_the_recorded_bytes() {
    let notice = |verdict| Notice { message: 1, id: "m \"1\"".to_owned(), verdict }.line();
    assert_eq!(notice(Verdict::Dead), "{\"ref\":\"m \\\"1\\\"\",\"result\":\"dead\"}\n");
    assert_eq!(notice(Verdict::Bounced { wait: None }), "{\"ref\":\"m \\\"1\\\"\",\"result\":\"bounced\"}\n");
    assert_eq!(
        notice(Verdict::Bounced { wait: Some(Duration::from_millis(1_500)) }),
        "{\"ref\":\"m \\\"1\\\"\",\"result\":\"bounced\",\"wait_ms\":1500}\n"
    );
}
