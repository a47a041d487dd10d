//! The exact bytes of every message on the wire and every record on disk.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use lanegate_coordination::lease::{LeaseMessage, LeaseRelease, LeaseReply, LeaseRequest};
use lanegate_coordination::membership::{Heartbeat, NodeId};
use lanegate_coordination::register::{
    Ballot, Change, ChangeId, Group, Message, MinimumIncarnations, Node, Record, Value, ValueTransfer, Voter,
};
use lanegate_coordination::storage::{Directory, SimulatedDirectory, VersionedStore};
use lanegate_golden::{assert_bytes, committed_bytes};
use std::collections::BTreeMap;

/// Asserts that the encoded bytes are those in `tests/golden/<name>.txt`, and returns the latter.
fn check(
    name: &str,
    encoded: impl IntoIterator<Item = (&'static str, Vec<u8>)>,
) -> BTreeMap<String, Vec<u8>> {
    assert_bytes(env!("CARGO_MANIFEST_DIR"), name, encoded);
    committed_bytes(env!("CARGO_MANIFEST_DIR"), name)
}

fn node(last: u32) -> Node {
    Node { ip: 0x0a00_0000 + last, port: 8_146 }
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: node(2), nonce: 0x0102_0304_0506_0708, step: 3 }
}

fn minimum_incarnations() -> MinimumIncarnations {
    let mut minimum_incarnations = MinimumIncarnations::default();
    minimum_incarnations.raise(node(3), 5);
    minimum_incarnations.raise(node(1), 6);
    minimum_incarnations
}

fn voter() -> Voter {
    Voter { incarnation: 4, minimum_incarnations: minimum_incarnations() }
}

fn value() -> Value {
    let change = |sequence, revision| Change { id: ChangeId { nonce: 77, sequence }, revision };
    Value {
        revision: 258,
        groups: vec![Group::new(vec![node(1), node(2), node(3)]), Group::new(vec![node(2), node(4)])],
        history: vec![change(1, 257), change(2, 258)],
        state: Bytes::from_static(b"state"),
    }
}

fn register_messages() -> Vec<(&'static str, Message)> {
    let promise = |value| Message::Promise { ballot: ballot(9), voter: voter(), accepted: ballot(8), value };
    let state = |value| Message::ReadReply {
        request: 11,
        voter: voter(),
        promised: ballot(9),
        accepted: ballot(8),
        value,
    };
    let registered = Message::IncarnationRegistered {
        nonce: 13,
        requested: 14,
        voter: voter(),
        promised: ballot(9),
        accepted: ballot(8),
        value: value(),
    };
    vec![
        ("prepare", Message::Prepare { ballot: ballot(9), known: ballot(7) }),
        ("promise", promise(ValueTransfer::Full(value()))),
        ("promise-without-value", promise(ValueTransfer::Omitted)),
        ("accept", Message::Accept { ballot: ballot(9), value: value() }),
        ("accepted", Message::Accepted { ballot: ballot(9), voter: voter() }),
        ("refused", Message::Rejected { ballot: ballot(9), promised: ballot(10) }),
        ("decided", Message::Committed { ballot: ballot(9), value: ValueTransfer::Full(value()) }),
        ("decided-without-value", Message::Committed { ballot: ballot(9), value: ValueTransfer::Omitted }),
        ("query", Message::ReadQuery { request: 11, known: ballot(7) }),
        ("state", state(ValueTransfer::Full(value()))),
        ("state-without-value", state(ValueTransfer::Omitted)),
        ("inquire", Message::PollCommitted { committed: ballot(7), known: true }),
        ("inquire-nothing-known", Message::PollCommitted { committed: Ballot::ZERO, known: false }),
        ("register", Message::RegisterIncarnation { nonce: 13, incarnation: 14 }),
        ("registered", registered),
    ]
}

#[test]
fn register_messages_keep_their_bytes() {
    let encoded: Vec<_> =
        register_messages().iter().map(|(name, message)| (*name, message.encode().unwrap())).collect();
    let committed = check("register-messages", encoded);
    for (name, message) in register_messages() {
        assert_eq!(Message::decode(&committed[name]).unwrap(), message, "{name}");
    }
}

fn record() -> Record {
    Record {
        incarnation: 4,
        promised: ballot(9),
        accepted: ballot(8),
        value: value(),
        minimum_incarnations: minimum_incarnations(),
    }
}

fn bootstrap_record() -> Record {
    Record {
        incarnation: 0,
        promised: Ballot::ZERO,
        accepted: Ballot::ZERO,
        value: Value::initial(vec![node(1)], Bytes::new()),
        minimum_incarnations: MinimumIncarnations::default(),
    }
}

#[test]
fn register_records_keep_their_bytes() {
    let records = [("record", record()), ("founding-record", bootstrap_record())];
    let encoded = records.each_ref().map(|(name, record)| (*name, record.encode().unwrap()));
    let committed = check("register-records", encoded);
    for (name, record) in records {
        assert_eq!(Record::decode(&committed[name]).unwrap(), record, "{name}");
    }
}

fn node_id() -> NodeId {
    NodeId::new(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7_000), 0x1112_1314_1516_1718)
}

fn lease_messages() -> [(&'static str, LeaseMessage); 5] {
    let (shard, candidate, round) = (7, node_id(), 21);
    let reply = |granted, wait_ms| LeaseReply { shard, candidate, round, granted, wait_ms };
    let release = |idle_ms| LeaseRelease { shard, candidate, round, idle_ms };
    let request = LeaseRequest { shard, candidate, round, generation: 3, valid_ms: 4_500 };
    [
        ("request", LeaseMessage::Request(request)),
        ("granted", LeaseMessage::Reply(reply(true, 0))),
        ("refused", LeaseMessage::Reply(reply(false, 1_234))),
        ("release", LeaseMessage::Release(release(250))),
        ("release-never-acted", LeaseMessage::Release(release(LeaseRelease::NEVER_ACTED))),
    ]
}

#[test]
fn lease_messages_keep_their_bytes() {
    let encoded: Vec<_> =
        lease_messages().iter().map(|(name, message)| (*name, message.encode().unwrap())).collect();
    let committed = check("lease-messages", encoded);
    for (name, message) in lease_messages() {
        assert_eq!(LeaseMessage::decode(&committed[name]).unwrap(), message, "{name}");
    }
}

#[test]
fn heartbeats_keep_their_bytes() {
    let heartbeat = Heartbeat { sender: node_id(), sequence: 99 };
    let committed = check("heartbeat", [("heartbeat", heartbeat.encode().unwrap())]);
    assert_eq!(Heartbeat::decode(&committed["heartbeat"]).unwrap(), heartbeat);
}

const RECORD_NAME: &str = "shard-1";
const SECOND_FILE: &str = "shard-1.0000000000000002";

#[test]
fn stored_versions_keep_their_names_and_bytes() {
    let mut directory = SimulatedDirectory::new();
    let (mut store, _) = VersionedStore::open(&mut directory, RECORD_NAME).unwrap();
    store.save(&mut directory, b"first").unwrap();
    store.save(&mut directory, b"second").unwrap();
    let mut names = directory.list().unwrap();
    names.sort();
    assert_eq!(names, ["shard-1.0000000000000001", SECOND_FILE]);
    check("stored-versions", [("second-version", directory.read(SECOND_FILE).unwrap())]);
}

#[test]
fn a_stored_version_reads_back() {
    let mut directory = SimulatedDirectory::new();
    directory
        .write_new(
            SECOND_FILE,
            &committed_bytes(env!("CARGO_MANIFEST_DIR"), "stored-versions")["second-version"],
        )
        .unwrap();
    let (_, record) = VersionedStore::open(&mut directory, RECORD_NAME).unwrap();
    assert_eq!(record, Some(b"second".to_vec()));
}
