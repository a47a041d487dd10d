//! The bytes of every message, one example of each: `tests/golden/messages.txt` has a name and the frame in
//! hexadecimal on each line.

use lanegate_controller::message::{
    BatchedHeartbeat, CommittedConfiguration, ConfigurationDelta, ConfigurationVersion, Confirmation,
    Controllers, DeltaPart, FeedHeartbeat, Forwarded, GroupMembers, HeartbeatBatch, Hello, MemberStatus,
    Message, Registered, Removed, ResidencyUpdate, Role, RouterDemand, ShardMessage, Token,
};
use lanegate_golden::{assert_bytes, committed_bytes};

fn version() -> ConfigurationVersion {
    ConfigurationVersion { revision: 4, digest: 0x0102_0304_0506_0708 }
}

fn shard_message() -> ShardMessage {
    ShardMessage { shard: 3, body: vec![9, 8, 7].into() }
}

fn forwarded() -> Forwarded {
    Forwarded { request: 77, body: vec![1, 2, 3, 4].into() }
}

fn hello(role: Role) -> Message {
    Message::Hello(Hello {
        role,
        name: "edge-1".into(),
        control_address: "10.0.0.1:8146".into(),
        incarnation: 9,
        source: 3,
        offset: 12,
    })
}

fn heartbeat_batch() -> HeartbeatBatch {
    vec![
        BatchedHeartbeat { id: "i-1".into(), sequence: 4 },
        BatchedHeartbeat { id: "i-2".into(), sequence: 5 },
    ]
    .into()
}

fn difference() -> ConfigurationDelta {
    let parts = vec![DeltaPart::Copied { offset: 5, length: 6 }, DeltaPart::Inserted(vec![1, 2].into())];
    ConfigurationDelta { base: 3, version: version(), parts: parts.into() }
}

fn confirmation() -> Confirmation {
    let group = |addresses: &str| GroupMembers { addresses: addresses.into() };
    Confirmation::new(1, 4, vec![group("10.0.0.1:1 10.0.0.2:1"), group("10.0.0.3:1")])
}

fn residency_update() -> ResidencyUpdate {
    ResidencyUpdate {
        id: "i-1".into(),
        model: "m".into(),
        adapter: "a1".into(),
        present: 1,
        sequence: 7,
        order: 2,
    }
}

fn demand() -> RouterDemand {
    RouterDemand { router: "edge-1".into(), report: "{}".into(), age_ms: 250 }
}

/// One example of each message, by the number that it has on the wire.
fn examples() -> Vec<(&'static str, Message)> {
    vec![
        ("01-controller", hello(Role::Controller)),
        ("01-agent", hello(Role::Agent)),
        ("01-router", hello(Role::Router)),
        ("02", Message::SnapshotBegin),
        ("03", Message::SnapshotEnd { complete: 1 }),
        (
            "04",
            Message::CommittedConfiguration(CommittedConfiguration { revision: 8, document: "{}".into() }),
        ),
        ("05", Message::Registered(Registered { id: "i-1".into(), sequence: 6, body: "{}".into() })),
        ("06", Message::Removed(Removed { id: "i-1".into(), sequence: u64::MAX })),
        ("07", Message::HeartbeatBatch(heartbeat_batch())),
        ("08", Message::FeedHeartbeat(FeedHeartbeat { quorum: 1, source: 4, offset: 5, routers: 9 })),
        ("09", Message::Controllers(Controllers { addresses: "10.0.0.1:1 10.0.0.2:1".into() })),
        ("10", Message::Register(shard_message())),
        ("11", Message::Lease(shard_message())),
        ("12", Message::Change(forwarded())),
        ("13", Message::ChangeOutcome(forwarded())),
        ("14", Message::Flush(Token { token: 0x55 })),
        ("15", Message::Flushed(confirmation())),
        ("16", Message::Demand(demand())),
        ("17", Message::Heartbeat { body: vec![7; 5].into() }),
        ("18", Message::ResidencyUpdate(residency_update())),
        ("19", Message::HeartbeatEcho { body: vec![6; 4].into() }),
        ("20", Message::ConfigurationAnnounced(version())),
        ("21-some", Message::ConfigurationFetch(version())),
        ("21-none", Message::ConfigurationFetch(ConfigurationVersion::NONE)),
        ("22", Message::ConfigurationDelta(difference())),
        ("23", Message::ConfigurationKnown(version())),
        ("24", Message::MemberStatus(MemberStatus { incarnation: 8, voting: 31, draining: 1 })),
    ]
}

#[test]
fn every_message_has_the_bytes_that_it_had() {
    let frames = examples().into_iter().map(|(name, message)| (name, message.frame().to_vec()));
    assert_bytes(env!("CARGO_MANIFEST_DIR"), "messages", frames);
}

#[test]
fn every_recorded_frame_reads_as_the_message_that_it_was() {
    let frames = committed_bytes(env!("CARGO_MANIFEST_DIR"), "messages");
    for (name, message) in examples() {
        assert_eq!(Message::decode(&frames[name][4..]).expect("a message"), message, "{name}");
    }
}

#[test]
fn the_digest_of_a_document_is_what_it_was() {
    let version = ConfigurationVersion::of(1, b"{\"Version\":1,\"Backends\":[]}");
    assert_eq!(version.digest, 7_853_493_403_107_613_560);
}
