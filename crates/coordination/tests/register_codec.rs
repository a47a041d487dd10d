//! The binary form of messages and records: encoded values round-trip, and invalid bytes are rejected without a
//! panic.

use bytes::Bytes;
use lanegate_coordination::register::{
    Ballot, Change, ChangeId, Group, Message, MinimumIncarnations, Node, Record, Value, ValueTransfer, Voter,
};
use proptest::collection::vec;
use proptest::prelude::*;

fn node() -> impl Strategy<Value = Node> {
    (any::<u32>(), any::<u16>()).prop_map(|(ip, port)| Node { ip, port })
}

fn ballot() -> impl Strategy<Value = Ballot> {
    let parts = (any::<u64>(), node(), any::<u64>(), any::<u32>());
    parts.prop_map(|(counter, node, nonce, step)| Ballot { counter, node, nonce, step })
}

fn minimum_incarnations() -> impl Strategy<Value = MinimumIncarnations> {
    vec((node(), 1..u64::MAX), 0..4).prop_map(|entries| {
        let mut minimum_incarnations = MinimumIncarnations::default();
        for (node, incarnation) in entries {
            minimum_incarnations.raise(node, incarnation);
        }
        minimum_incarnations
    })
}

fn voter() -> impl Strategy<Value = Voter> {
    (any::<u64>(), minimum_incarnations())
        .prop_map(|(incarnation, minimum_incarnations)| Voter { incarnation, minimum_incarnations })
}

fn change() -> impl Strategy<Value = Change> {
    (any::<u64>(), any::<u64>(), any::<u64>())
        .prop_map(|(nonce, sequence, revision)| Change { id: ChangeId { nonce, sequence }, revision })
}

fn value() -> impl Strategy<Value = Value> {
    let groups = vec(vec(node(), 0..6).prop_map(Group::new), 1..3);
    let parts = (any::<u64>(), groups, vec(change(), 0..5), vec(any::<u8>(), 0..200));
    parts.prop_map(|(revision, groups, history, state)| Value {
        revision,
        groups,
        history,
        state: Bytes::from(state),
    })
}

fn value_transfer() -> impl Strategy<Value = ValueTransfer> {
    prop_oneof![Just(ValueTransfer::Omitted), value().prop_map(ValueTransfer::Full)]
}

fn phase_one_message() -> impl Strategy<Value = Message> {
    let promise = (ballot(), voter(), ballot(), value_transfer());
    prop_oneof![
        (ballot(), ballot()).prop_map(|(ballot, known)| Message::Prepare { ballot, known }),
        promise.prop_map(|(ballot, voter, accepted, value)| Message::Promise {
            ballot,
            voter,
            accepted,
            value
        }),
        (ballot(), ballot()).prop_map(|(ballot, promised)| Message::Rejected { ballot, promised }),
    ]
}

fn phase_two_message() -> impl Strategy<Value = Message> {
    let accepted = (ballot(), voter());
    prop_oneof![
        (ballot(), value()).prop_map(|(ballot, value)| Message::Accept { ballot, value }),
        accepted.prop_map(|(ballot, voter)| Message::Accepted { ballot, voter }),
        (ballot(), value_transfer()).prop_map(|(ballot, value)| Message::Committed { ballot, value }),
    ]
}

fn read_message() -> impl Strategy<Value = Message> {
    let state = (any::<u64>(), voter(), ballot(), ballot(), value_transfer());
    prop_oneof![
        (any::<u64>(), ballot()).prop_map(|(request, known)| Message::ReadQuery { request, known }),
        state.prop_map(|(request, voter, promised, accepted, value)| {
            Message::ReadReply { request, voter, promised, accepted, value }
        }),
        (ballot(), any::<bool>()).prop_map(|(committed, known)| Message::PollCommitted { committed, known }),
    ]
}

fn recovery_message() -> impl Strategy<Value = Message> {
    let registered = (any::<u64>(), any::<u64>(), voter(), ballot(), ballot(), value());
    prop_oneof![
        (any::<u64>(), any::<u64>())
            .prop_map(|(nonce, incarnation)| Message::RegisterIncarnation { nonce, incarnation }),
        registered.prop_map(|(nonce, requested, voter, promised, accepted, value)| {
            Message::IncarnationRegistered { nonce, requested, voter, promised, accepted, value }
        }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![phase_one_message(), phase_two_message(), read_message(), recovery_message()]
}

fn record() -> impl Strategy<Value = Record> {
    let parts = (any::<u64>(), ballot(), ballot(), value(), minimum_incarnations());
    parts.prop_map(|(incarnation, promised, accepted, value, minimum_incarnations)| Record {
        incarnation,
        promised,
        accepted,
        value,
        minimum_incarnations,
    })
}

proptest! {
    #[test]
    fn messages_round_trip(message in message()) {
        let bytes = message.encode().unwrap();
        prop_assert_eq!(Message::decode(&bytes).unwrap(), message);
    }

    #[test]
    fn records_round_trip(record in record()) {
        let bytes = record.encode().unwrap();
        prop_assert_eq!(Record::decode(&bytes).unwrap(), record);
    }

    #[test]
    fn truncated_messages_are_rejected(message in message(), cut in 0.0..1.0_f64) {
        let bytes = message.encode().unwrap();
        let length = ((bytes.len() as f64) * cut) as usize;
        prop_assert!(Message::decode(&bytes[..length]).is_err());
    }

    #[test]
    fn bytes_after_a_message_are_rejected(message in message(), extra in vec(any::<u8>(), 1..4)) {
        let mut bytes = message.encode().unwrap();
        bytes.extend(extra);
        prop_assert!(Message::decode(&bytes).is_err());
    }

    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = Message::decode(&bytes);
        let _ = Record::decode(&bytes);
    }

    #[test]
    fn a_message_with_a_changed_byte_is_rejected_or_round_trips(message in message(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = message.encode().unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Ok(read) = Message::decode(&bytes) {
            prop_assert_eq!(read.encode().unwrap(), bytes);
        }
    }
}
