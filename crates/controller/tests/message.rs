//! Messages come back as they were written, and nothing else is taken for one.

use lanegate_controller::message::{
    BatchedHeartbeat, CommittedConfiguration, ConfigurationDelta, ConfigurationVersion, Confirmation,
    DeltaPart, FeedHeartbeat, GroupMembers, Hello, MemberStatus, Message, MessageError, Removed,
    ResidencyUpdate, Role, Token,
};
use proptest::prelude::*;

fn hello() -> Message {
    Message::Hello(Hello {
        role: Role::Agent,
        name: "edge-1".into(),
        control_address: "".into(),
        incarnation: 9,
        source: 3,
        offset: 12,
    })
}

fn group(addresses: &str) -> GroupMembers {
    GroupMembers { addresses: addresses.into() }
}

#[test]
fn messages_come_back_as_they_were_written() {
    let heartbeats = vec![
        BatchedHeartbeat { id: "i-1".into(), sequence: 4 },
        BatchedHeartbeat { id: "i-2".into(), sequence: 5 },
    ];
    let messages = [
        hello(),
        Message::SnapshotBegin,
        Message::SnapshotEnd { complete: 1 },
        Message::CommittedConfiguration(CommittedConfiguration {
            revision: 8,
            document: vec![1, 2, 3].into(),
        }),
        Message::HeartbeatBatch(heartbeats.into()),
        Message::Removed(Removed { id: "i-1".into(), sequence: u64::MAX }),
        Message::FeedHeartbeat(FeedHeartbeat { quorum: 1, source: 4, offset: 5, routers: 9 }),
        Message::Flush(Token { token: 1 }),
        Message::Flushed(Confirmation::new(1, 4, vec![])),
        Message::Flushed(Confirmation::new(1, 4, vec![group("10.0.0.1:1 10.0.0.2:1"), group("10.0.0.3:1")])),
        Message::MemberStatus(MemberStatus { incarnation: 8, voting: 31, draining: 1 }),
        Message::ResidencyUpdate(ResidencyUpdate {
            id: "i-1".into(),
            model: "m".into(),
            adapter: "a1".into(),
            present: 1,
            sequence: 7,
            order: 2,
        }),
        Message::ConfigurationAnnounced(ConfigurationVersion { revision: 4, digest: 9 }),
        Message::ConfigurationFetch(ConfigurationVersion::NONE),
        Message::ConfigurationKnown(ConfigurationVersion { revision: 5, digest: u64::MAX }),
        Message::ConfigurationDelta(ConfigurationDelta {
            base: 3,
            version: ConfigurationVersion { revision: 4, digest: 9 },
            parts: vec![DeltaPart::Copied { offset: 5, length: 6 }, DeltaPart::Inserted(vec![1, 2].into())]
                .into(),
        }),
        Message::Heartbeat { body: vec![7; 20].into() },
    ];
    for message in messages {
        let frame = message.frame();
        let length = u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize;
        assert_eq!(length, frame.len() - 4);
        assert_eq!(Message::decode(&frame[4..]).unwrap(), message);
    }
}

#[test]
fn a_frame_with_trailing_or_missing_bytes_is_refused() {
    let mut body = hello().frame()[4..].to_vec();
    assert!(Message::decode(&body[..body.len() - 1]).is_err());
    body.push(0);
    assert!(matches!(Message::decode(&body), Err(MessageError::Trailing(1))));
}

#[test]
fn an_impossible_length_is_refused_before_memory_is_allocated() {
    let huge = u32::MAX.to_le_bytes();
    let list = [&[7][..], &huge].concat();
    assert!(matches!(Message::decode(&list), Err(MessageError::Unreadable(_))));
    let difference = [&[22][..], &[0; 24], &huge].concat();
    assert!(matches!(Message::decode(&difference), Err(MessageError::Unreadable(_))));
    let document = [&[4][..], &[0; 8], &huge].concat();
    assert!(matches!(Message::decode(&document), Err(MessageError::Unreadable(_))));
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Message::decode(&body);
    }
}
