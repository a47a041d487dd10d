//! Registrations at one controller: when they are acknowledged, and what peers and subscribers are sent.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::endpoints::acknowledgements::AcknowledgementFault;
use crate::controller::endpoints::pending_loads::residency_update;
use crate::controller::endpoints::registry::{Changes, EndpointRegistry, RegistrationMerge, RemovalMerge};
use crate::controller::endpoints::tombstone_log::TombstoneLog;
use crate::controller::event::Answer;
use crate::message::{BatchedHeartbeat, HeartbeatBatch, Message, Registered, Removed, ResidencyUpdate};
use bytes::Bytes;
use lanegate_coordination::registry::FINAL_SEQUENCE;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot::{self, Receiver};

const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time after which a call without a majority is answered with 503.
const EXPIRES_AT: Duration = Duration::from_millis(850);
/// Number of the controller under test.
const OWN_NUMBER: u8 = 1;
const INCARNATION: u64 = 700;
/// Members of the usual group, including the controller under test.
const THREE: &[u8] = &[1, 2, 3];
const FIVE: &[u8] = &[1, 2, 3, 4, 5];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// An empty registry of the controller under test.
fn endpoints() -> EndpointRegistry {
    EndpointRegistry::new(HEARTBEAT, peer(OWN_NUMBER), INCARNATION)
}

/// One group in force, as of `revision`.
fn known_at(revision: u64, groups: &[&[u8]]) -> KnownGroups {
    let members = |group: &&[u8]| group.iter().map(|number| peer(*number)).collect();
    KnownGroups { revision, groups: groups.iter().map(members).collect() }
}

fn known(group: &[u8]) -> KnownGroups {
    known_at(1, &[group])
}

/// Confirms a flush on behalf of a peer that knows the same `group` as the controller under test.
fn confirm(endpoints: &mut EndpointRegistry, token: u64, number: u8, group: &[u8]) {
    endpoints.acknowledgements.flushed(token, peer(number), known(group), &known(group));
}

fn body(sequence: u64, state: &str) -> Bytes {
    let body = serde_json::json!({
        "Backend": "tiles", "Address": "10.1.0.1:80", "State": state, "Sequence": sequence,
    });
    body.to_string().into()
}

fn register(
    endpoints: &mut EndpointRegistry,
    now: Duration,
    group: &[u8],
    sequence: u64,
    state: &str,
) -> (Changes, Receiver<Answer>) {
    let (reply, answer) = oneshot::channel();
    let changes = endpoints.register(now, "i-1", body(sequence, state), &known(group), true, reply);
    write_tombstones(endpoints, now, &known(group));
    (changes, answer)
}

/// The disk of the controller under test writes its tombstones.
fn write_tombstones(endpoints: &mut EndpointRegistry, now: Duration, known: &KnownGroups) {
    let Some(write) = endpoints.tombstone_log.take_write(now) else { return };
    endpoints.tombstone_log.write_ended(now, write.version, true);
    endpoints.acknowledgements.tombstones_written(write.version, known);
}

/// A heartbeat of an engine that lists one model.
fn put_residency(endpoints: &mut EndpointRegistry, now: Duration, sequence: u64, model: &str) {
    let mut body: serde_json::Value = serde_json::from_slice(&body(sequence, "ready")).unwrap();
    body["Models"] = serde_json::json!([{ "Name": model, "Version": 1, "Adapters": [] }]);
    let (reply, _answer) = oneshot::channel();
    endpoints.register(now, "i-1", body.to_string().into(), &known(THREE), true, reply);
}

fn status(answer: &mut Receiver<Answer>) -> Option<u16> {
    answer.try_recv().ok().map(|answer| answer.status)
}

fn registered(sequence: u64, state: &str) -> Registered {
    Registered { id: "i-1".into(), sequence, body: body(sequence, state).to_vec().into() }
}

fn removed(sequence: u64) -> Removed {
    Removed { id: "i-1".into(), sequence }
}

#[test]
fn a_ready_endpoint_is_acknowledged_at_once_and_replicated_when_it_changed() {
    let mut endpoints = endpoints();
    let (changes, mut answer) = register(&mut endpoints, ms(0), THREE, 1, "ready");
    assert_eq!(changes.messages, vec![Message::Registered(registered(1, "ready"))]);
    assert_eq!((changes.flush, status(&mut answer)), (None, Some(200)));

    let (changes, mut answer) = register(&mut endpoints, ms(1_000), THREE, 2, "ready");
    assert_eq!((changes.messages, status(&mut answer)), (vec![], Some(200)));
    let heartbeats = vec![BatchedHeartbeat { id: "i-1".into(), sequence: 2 }];
    assert_eq!(endpoints.take_heartbeat_batch(), Some(Message::HeartbeatBatch(heartbeats.into())));
    assert_eq!(endpoints.take_heartbeat_batch(), None);
}

/// The heartbeat is merged and replicated, so that nothing is lost if the partition heals, but the endpoint has to call
/// another controller.
#[test]
fn a_ready_endpoint_is_not_acknowledged_out_of_contact() {
    let mut endpoints = endpoints();
    for sequence in [1, 2] {
        let (reply, mut answer) = oneshot::channel();
        let changes = endpoints.register(ms(0), "i-1", body(sequence, "ready"), &known(THREE), false, reply);
        assert_eq!((changes.flush, status(&mut answer)), (None, Some(503)));
        assert_eq!(changes.messages.len(), usize::from(sequence == 1));
    }
    assert!(endpoints.registration("i-1").is_some());
    assert!(endpoints.take_heartbeat_batch().is_some());
}

/// Confirmations by a majority are stronger evidence than quorum contact.
#[test]
fn a_draining_endpoint_is_acknowledged_by_a_majority_whatever_contact_says() {
    let mut endpoints = endpoints();
    let (reply, mut answer) = oneshot::channel();
    let changes = endpoints.register(ms(0), "i-1", body(1, "draining"), &known(THREE), false, reply);
    write_tombstones(&mut endpoints, ms(0), &known(THREE));
    assert_eq!(status(&mut answer), None);
    confirm(&mut endpoints, changes.flush.expect("a flush is sent"), 2, THREE);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn an_invalid_registration_is_refused() {
    let mut endpoints = endpoints();
    let (reply, mut answer) = oneshot::channel();
    let changes = endpoints.register(ms(0), "i-1", Bytes::from_static(b"{"), &known(THREE), true, reply);
    assert!(changes.messages.is_empty());
    assert_eq!(status(&mut answer), Some(400));
}

#[test]
fn a_draining_endpoint_is_acknowledged_with_a_majority_and_not_before() {
    let mut endpoints = endpoints();
    register(&mut endpoints, ms(0), FIVE, 1, "ready");
    let (changes, mut answer) = register(&mut endpoints, ms(10), FIVE, 2, "draining");
    let token = changes.flush.expect("a flush is sent");
    assert!(changes.messages.contains(&Message::Registered(registered(2, "draining"))));
    confirm(&mut endpoints, token, 2, FIVE);
    confirm(&mut endpoints, token, 2, FIVE);
    confirm(&mut endpoints, token + 1, 3, FIVE);
    assert_eq!(status(&mut answer), None, "a peer that confirms twice counts once");
    confirm(&mut endpoints, token, 3, FIVE);
    assert_eq!(status(&mut answer), Some(200));
    assert_eq!(endpoints.acknowledgements.next_wake(), None);
}

#[test]
fn a_drain_without_a_majority_times_out() {
    let mut endpoints = endpoints();
    let (changes, mut answer) = register(&mut endpoints, ms(0), THREE, 1, "draining");
    assert_eq!(endpoints.acknowledgements.next_wake(), Some(EXPIRES_AT));
    endpoints.acknowledgements.expire_pending(EXPIRES_AT - ms(1));
    assert_eq!(status(&mut answer), None);
    endpoints.acknowledgements.expire_pending(EXPIRES_AT);
    assert_eq!(status(&mut answer), Some(503));
    confirm(&mut endpoints, changes.flush.expect("a flush is sent"), 2, THREE);
    assert_eq!(endpoints.acknowledgements.next_wake(), None);
}

#[test]
fn a_draining_endpoint_that_timed_out_is_replicated_and_flushed_again() {
    let mut endpoints = endpoints();
    register(&mut endpoints, ms(0), THREE, 1, "draining");
    endpoints.acknowledgements.expire_pending(EXPIRES_AT);
    for (sequence, time) in [(1, 900), (2, 1_800)] {
        let (changes, mut answer) = register(&mut endpoints, ms(time), THREE, sequence, "draining");
        assert!(changes.messages.contains(&Message::Registered(registered(sequence, "draining"))));
        assert!(changes.flush.is_some(), "sequence {sequence}");
        assert_eq!(status(&mut answer), None);
        endpoints.acknowledgements.expire_pending(ms(time) + EXPIRES_AT);
    }
}

#[test]
fn a_draining_endpoint_of_which_a_majority_knows_is_acknowledged_at_once() {
    let mut endpoints = endpoints();
    let (changes, _answer) = register(&mut endpoints, ms(0), THREE, 1, "draining");
    confirm(&mut endpoints, changes.flush.expect("a flush is sent"), 2, THREE);
    let (changes, mut answer) = register(&mut endpoints, ms(1_000), THREE, 2, "draining");
    assert_eq!((changes.flush, status(&mut answer)), (None, Some(200)));
}

#[test]
fn an_endpoint_that_drains_a_second_time_needs_a_majority_again() {
    let mut endpoints = endpoints();
    let (changes, _answer) = register(&mut endpoints, ms(0), THREE, 1, "draining");
    confirm(&mut endpoints, changes.flush.expect("a flush is sent"), 2, THREE);
    register(&mut endpoints, ms(1_000), THREE, 2, "ready");
    let (changes, mut answer) = register(&mut endpoints, ms(2_000), THREE, 3, "draining");
    assert!(changes.flush.is_some());
    assert_eq!(status(&mut answer), None);
}

#[test]
fn a_controller_that_is_alone_in_its_group_acknowledges_by_itself() {
    let mut endpoints = endpoints();
    let (reply, mut answer) = oneshot::channel();
    let alone = known(&[OWN_NUMBER]);
    endpoints.register(ms(0), "i-1", body(1, "draining"), &alone, true, reply);
    assert_eq!(status(&mut answer), None, "nobody has it on disk");
    write_tombstones(&mut endpoints, ms(0), &alone);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn a_deregistration_is_final_and_acknowledged_with_a_majority() {
    let mut endpoints = endpoints();
    register(&mut endpoints, ms(0), THREE, 1, "ready");
    let (reply, mut answer) = oneshot::channel();
    let changes = endpoints.deregister(ms(10), "i-1", &known(THREE), reply);
    write_tombstones(&mut endpoints, ms(10), &known(THREE));
    assert_eq!(changes.messages, vec![Message::Removed(removed(FINAL_SEQUENCE))]);
    assert_eq!(status(&mut answer), None);
    confirm(&mut endpoints, changes.flush.expect("a flush is sent"), 3, THREE);
    assert_eq!(status(&mut answer), Some(200));

    let (changes, _answer) = register(&mut endpoints, ms(20), THREE, 2, "ready");
    assert!(changes.messages.is_empty(), "a delayed heartbeat does not restore the registration");
    assert!(endpoints.registration("i-1").is_none());
}

#[test]
fn a_deregistration_without_a_majority_times_out_and_is_replicated_again_when_repeated() {
    let mut endpoints = endpoints();
    for time in [0, 1_000] {
        let (reply, mut answer) = oneshot::channel();
        let changes = endpoints.deregister(ms(time), "i-1", &known(THREE), reply);
        write_tombstones(&mut endpoints, ms(time), &known(THREE));
        assert_eq!(changes.messages, vec![Message::Removed(removed(FINAL_SEQUENCE))]);
        assert!(changes.flush.is_some());
        endpoints.acknowledgements.expire_pending(ms(time) + EXPIRES_AT);
        assert_eq!(status(&mut answer), Some(503));
    }
}

#[test]
fn a_registration_from_a_peer_is_sent_to_subscribers_once() {
    let mut endpoints = endpoints();
    let registered_message = vec![Message::Registered(registered(4, "ready"))];
    let updates = |updates| RegistrationMerge { updates, relay: false };
    assert_eq!(endpoints.merge(ms(0), &registered(4, "ready")), updates(registered_message));
    assert_eq!(endpoints.merge(ms(1), &registered(4, "ready")), updates(vec![]));
    assert_eq!(endpoints.merge(ms(1), &registered(3, "draining")), updates(vec![]));
}

#[test]
fn an_endpoint_whose_heartbeats_reach_a_peer_is_not_expired() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(1, "ready"));
    endpoints.merge_heartbeats(ms(3_000), &vec![BatchedHeartbeat { id: "i-1".into(), sequence: 4 }].into());
    assert_eq!(endpoints.expire(ms(3_600), |_| true), vec![]);
    assert_eq!(endpoints.expire(ms(9_000), |_| false), vec![], "another controller owns it");
    assert_eq!(endpoints.expire(ms(6_501), |_| true), vec![Message::Removed(removed(4))]);
}

#[test]
fn a_change_that_arrives_after_a_later_batched_heartbeat_is_merged() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(5, "ready"));
    let later: HeartbeatBatch = vec![BatchedHeartbeat { id: "i-1".into(), sequence: 7 }].into();
    endpoints.merge_heartbeats(ms(1), &later);
    let registered_message = vec![Message::Registered(registered(6, "draining"))];
    assert_eq!(endpoints.merge(ms(2), &registered(6, "draining")).updates, registered_message);
}

#[test]
fn a_stall_of_this_process_does_not_expire_endpoints() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(1, "ready"));
    endpoints.reset_timeouts(ms(9_000));
    assert_eq!(endpoints.expire(ms(9_001), |_| true), vec![]);
}

#[test]
fn a_removal_by_a_peer_is_sent_to_subscribers_once() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(5, "ready"));
    assert_eq!(endpoints.merge_removal(ms(1), &removed(5)), RemovalMerge::Removed);
    assert_eq!(endpoints.merge_removal(ms(2), &removed(5)), RemovalMerge::Known);
}

#[test]
fn a_removal_that_crossed_a_heartbeat_is_contradicted() {
    let (mut owner, mut other) = (endpoints(), endpoints());
    owner.merge(ms(0), &registered(5, "ready"));
    other.merge(ms(0), &registered(5, "ready"));
    // The heartbeat changes nothing, so the owner receives it only with the next batch.
    let (changes, _answer) = register(&mut other, ms(3_600), THREE, 6, "ready");
    assert!(changes.messages.is_empty());
    assert_eq!(owner.expire(ms(3_600), |_| true), vec![Message::Removed(removed(5))]);

    let RemovalMerge::Contradicted(registered_message) = other.merge_removal(ms(3_601), &removed(5)) else {
        panic!("the endpoint is live");
    };
    assert_eq!(registered_message, Message::Registered(registered(6, "ready")));
    assert_eq!(owner.merge(ms(3_602), &registered(6, "ready")).updates, vec![registered_message]);
}

#[test]
fn a_removal_that_crossed_a_batched_heartbeat_is_contradicted() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(5, "ready"));
    endpoints.merge_heartbeats(ms(3_600), &vec![BatchedHeartbeat { id: "i-1".into(), sequence: 6 }].into());
    let registered_message = Registered { sequence: 6, ..registered(5, "ready") };
    assert_eq!(
        endpoints.merge_removal(ms(3_601), &removed(5)),
        RemovalMerge::Contradicted(Message::Registered(registered_message))
    );
}

#[test]
fn a_deregistration_is_never_contradicted() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(5, "ready"));
    assert_eq!(endpoints.merge_removal(ms(1), &removed(FINAL_SEQUENCE)), RemovalMerge::Removed);
}

/// A registry with a draining endpoint, the token of the flush, and the pending answer to the endpoint.
fn draining(group: &[u8]) -> (EndpointRegistry, u64, Receiver<Answer>) {
    let mut endpoints = endpoints();
    let (changes, answer) = register(&mut endpoints, ms(0), group, 1, "draining");
    (endpoints, changes.flush.expect("a flush is sent"), answer)
}

#[test]
fn controllers_that_are_no_members_confirm_nothing() {
    let (mut endpoints, token, mut answer) = draining(THREE);
    for spare in [4, 5, 6] {
        confirm(&mut endpoints, token, spare, THREE);
    }
    assert_eq!(status(&mut answer), None);
    confirm(&mut endpoints, token, 3, THREE);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn a_controller_that_is_no_member_does_not_count_itself() {
    let (mut endpoints, token, mut answer) = draining(&[2, 3, 4]);
    confirm(&mut endpoints, token, 3, &[2, 3, 4]);
    assert_eq!(status(&mut answer), None);
    confirm(&mut endpoints, token, 4, &[2, 3, 4]);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn while_members_change_a_majority_of_both_groups_confirms() {
    let joint = known_at(2, &[&[1, 2, 3], &[3, 4, 5]]);
    let (mut endpoints, token, mut answer) = draining(THREE);
    endpoints.acknowledgements.flushed(token, peer(2), joint.clone(), &joint);
    assert_eq!(status(&mut answer), None, "no majority of the new group has it");
    endpoints.acknowledgements.flushed(token, peer(4), joint.clone(), &joint);
    assert_eq!(status(&mut answer), None);
    endpoints.acknowledgements.flushed(token, peer(3), joint.clone(), &joint);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn a_newer_group_that_a_peer_knows_counts_too() {
    let (old, joint) = (known_at(1, &[&[1, 2, 3]]), known_at(2, &[&[1, 2, 3], &[2, 3, 4]]));
    let (mut endpoints, token, mut answer) = draining(THREE);
    endpoints.acknowledgements.flushed(token, peer(2), joint, &old);
    assert_eq!(status(&mut answer), None, "controllers 1 and 2 are no majority of the new group");
    endpoints.acknowledgements.flushed(token, peer(4), old.clone(), &old);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn an_older_group_that_a_peer_knows_does_not_count() {
    let (old, new) = (known_at(1, &[&[6, 7, 8]]), known_at(2, &[&[1, 2, 3]]));
    let (mut endpoints, token, mut answer) = draining(THREE);
    endpoints.acknowledgements.flushed(token, peer(2), old, &new);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn a_group_that_becomes_known_meanwhile_decides() {
    let (mut endpoints, token, mut answer) = draining(&[]);
    for number in [2, 3] {
        confirm(&mut endpoints, token, number, &[]);
    }
    assert_eq!(status(&mut answer), None, "a group that is not known has no members");
    endpoints.acknowledgements.acknowledge_confirmed(&known(THREE));
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn a_peer_that_restarted_since_it_confirmed_does_not_count() {
    let (mut endpoints, token, mut answer) = draining(FIVE);
    confirm(&mut endpoints, token, 2, FIVE);
    endpoints.acknowledgements.peer_restarted(peer(2));
    confirm(&mut endpoints, token, 3, FIVE);
    assert_eq!(status(&mut answer), None);
    confirm(&mut endpoints, token, 2, FIVE);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn a_confirmation_for_an_earlier_incarnation_of_the_process_confirms_nothing() {
    let (_, earlier, _answer) = draining(THREE);
    let mut restarted = EndpointRegistry::new(HEARTBEAT, peer(OWN_NUMBER), INCARNATION * 1_000);
    let (changes, mut answer) = register(&mut restarted, ms(0), THREE, 1, "draining");
    assert_ne!(changes.flush, Some(earlier));
    confirm(&mut restarted, earlier, 2, THREE);
    assert_eq!(status(&mut answer), None);
}

#[test]
fn the_state_of_a_draining_endpoint_is_relayed_once() {
    let mut endpoints = endpoints();
    assert!(!endpoints.merge(ms(0), &registered(1, "ready")).relay);
    assert!(endpoints.merge(ms(1), &registered(2, "draining")).relay);
    assert!(!endpoints.merge(ms(2), &registered(2, "draining")).relay);
    assert!(!endpoints.relays_removal(&removed(2)), "an expiry is not acknowledged to an endpoint");
    assert!(endpoints.relays_removal(&removed(FINAL_SEQUENCE)));
    endpoints.merge_removal(ms(3), &removed(FINAL_SEQUENCE));
    assert!(!endpoints.relays_removal(&removed(FINAL_SEQUENCE)));
}

#[test]
fn the_removal_of_an_unknown_endpoint_is_relayed_once() {
    let mut endpoints = endpoints();
    assert!(endpoints.relays_removal(&removed(FINAL_SEQUENCE)));
    endpoints.merge_removal(ms(0), &removed(FINAL_SEQUENCE));
    assert!(!endpoints.relays_removal(&removed(FINAL_SEQUENCE)));
}

/// The status with which a registry with `fault` answers a drain after the peers in `known_to_peer` have confirmed.
fn with_fault_status(
    fault: AcknowledgementFault,
    known_to_peer: &[(u8, &KnownGroups)],
    known: &KnownGroups,
) -> Option<u16> {
    let mut endpoints = endpoints().with_fault(Some(fault));
    let (reply, mut answer) = oneshot::channel();
    let changes = endpoints.register(ms(0), "i-1", body(1, "draining"), known, true, reply);
    write_tombstones(&mut endpoints, ms(0), known);
    let token = changes.flush.expect("a flush is sent");
    for (number, known_to_peer) in known_to_peer {
        endpoints.acknowledgements.flushed(token, peer(*number), (*known_to_peer).clone(), known);
    }
    status(&mut answer)
}

#[test]
fn the_checks_find_confirmations_of_others_than_members() {
    let known = known(THREE);
    assert_eq!(with_fault_status(AcknowledgementFault::CountNonMembers, &[(6, &known)], &known), Some(200));
}

#[test]
fn the_checks_find_a_newer_group_that_does_not_count() {
    let (old, joint) = (known_at(1, &[&[1, 2, 3]]), known_at(2, &[&[1, 2, 3], &[2, 3, 4]]));
    assert_eq!(with_fault_status(AcknowledgementFault::OwnGroupsOnly, &[(2, &joint)], &old), Some(200));
}

#[test]
fn the_checks_find_a_confirmation_that_outlasts_its_process() {
    let mut endpoints = endpoints().with_fault(Some(AcknowledgementFault::CountRestartedPeers));
    let (changes, mut answer) = register(&mut endpoints, ms(0), FIVE, 1, "draining");
    let token = changes.flush.expect("a flush is sent");
    confirm(&mut endpoints, token, 2, FIVE);
    endpoints.acknowledgements.peer_restarted(peer(2));
    confirm(&mut endpoints, token, 3, FIVE);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn the_checks_find_flushes_with_equal_numbers_in_every_incarnation() {
    let fault = Some(AcknowledgementFault::RepeatTokens);
    let mut earlier = endpoints().with_fault(fault);
    let (first, _answer) = register(&mut earlier, ms(0), THREE, 1, "draining");
    let mut restarted =
        EndpointRegistry::new(HEARTBEAT, peer(OWN_NUMBER), INCARNATION * 1_000).with_fault(fault);
    let (_, mut answer) = register(&mut restarted, ms(0), THREE, 1, "draining");
    confirm(&mut restarted, first.flush.expect("a flush is sent"), 2, THREE);
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn a_published_update_carries_the_newest_sequence_and_its_order() {
    let mut endpoints = endpoints();
    let loaded = residency_update("i-1", "m", None, true);
    assert_eq!(endpoints.publish(loaded.clone()), None, "the endpoint is not known");
    register(&mut endpoints, ms(0), THREE, 5, "ready");
    endpoints.merge_heartbeats(ms(100), &vec![BatchedHeartbeat { id: "i-1".into(), sequence: 7 }].into());
    let first = endpoints.publish(loaded.clone()).expect("it is a change");
    assert_eq!((first.sequence, first.order), (7, 1));
    let second = endpoints.publish(residency_update("i-1", "m", None, false)).expect("it is a change");
    assert_eq!((second.sequence, second.order), (7, 2));
    assert!(!endpoints.apply_residency(&first), "a delayed copy from another controller is stale");
}

#[test]
fn a_heartbeat_without_change_does_not_invalidate_earlier_residency_updates() {
    let mut endpoints = endpoints();
    register(&mut endpoints, ms(0), THREE, 5, "ready");
    register(&mut endpoints, ms(1_000), THREE, 6, "ready");
    let published = ResidencyUpdate { sequence: 5, order: 1, ..residency_update("i-1", "m", None, true) };
    assert!(endpoints.apply_residency(&published), "its publisher had not received heartbeat 6 yet");
    register(&mut endpoints, ms(2_000), THREE, 7, "ready");
    let late = ResidencyUpdate { sequence: 6, order: 1, ..published };
    assert!(!endpoints.apply_residency(&late), "heartbeat 7 does not list the model");
}

#[test]
fn a_model_being_evicted_can_be_hidden_again_after_each_heartbeat_that_lists_it() {
    let mut endpoints = endpoints();
    let is_listed = |endpoints: &EndpointRegistry| {
        endpoints.registration("i-1").is_some_and(|known| known.has_resident("m", None))
    };
    put_residency(&mut endpoints, ms(0), 5, "m");
    assert!(is_listed(&endpoints));
    endpoints.publish(residency_update("i-1", "m", None, false)).expect("it is a change");
    assert!(!is_listed(&endpoints));
    put_residency(&mut endpoints, ms(1_000), 6, "m");
    assert!(is_listed(&endpoints), "a heartbeat is newer than what was published before it");
    endpoints.publish(residency_update("i-1", "m", None, false)).expect("it is a change again");
    assert!(!is_listed(&endpoints));
    register(&mut endpoints, ms(2_000), THREE, 7, "ready");
    assert!(!is_listed(&endpoints), "the endpoint no longer lists it");
}

/// Otherwise controllers that have all removed an incarnation would relay its heartbeat to each other without end.
#[test]
fn only_a_newer_heartbeat_of_a_live_incarnation_is_relayed() {
    let batch = |sequence| HeartbeatBatch::from(vec![BatchedHeartbeat { id: "i-1".into(), sequence }]);
    let mut endpoints = endpoints();
    register(&mut endpoints, ms(0), THREE, 1, "ready");
    assert_eq!(endpoints.merge_heartbeats(ms(1), &batch(2)), batch(2).heartbeats);
    assert_eq!(endpoints.merge_heartbeats(ms(2), &batch(2)), vec![], "already known");
    assert_eq!(endpoints.merge_removal(ms(3), &removed(2)), RemovalMerge::Removed);
    assert_eq!(endpoints.merge_heartbeats(ms(4), &batch(3)), vec![], "removed");
}

/// A heartbeat of the incarnation `id` at the usual address, as another controller sends it.
fn registered_as(id: &str, sequence: u64) -> Registered {
    Registered { id: id.into(), ..registered(sequence, "ready") }
}

/// A late heartbeat of a former incarnation reached another controller, which removed the live one. The controller that
/// knows the live one's later heartbeats contradicts, or routers would have lost it for good.
#[test]
fn a_removal_for_another_incarnation_at_the_address_is_sent_on_and_contradicted() {
    let mut receiver = endpoints();
    receiver.merge(ms(0), &registered_as("i-live", 2));
    let merge = receiver.merge(ms(1), &registered_as("i-former", 7));
    let removed_live = Removed { id: "i-live".into(), sequence: 3 };
    let messages =
        vec![Message::Registered(registered_as("i-former", 7)), Message::Removed(removed_live.clone())];
    assert_eq!(merge, RegistrationMerge { updates: messages, relay: true });

    let mut other = endpoints();
    other.merge(ms(0), &registered_as("i-live", 2));
    let heartbeats = vec![BatchedHeartbeat { id: "i-live".into(), sequence: 5 }];
    other.merge_heartbeats(ms(1), &HeartbeatBatch::from(heartbeats));
    let live = registered_as_newer("i-live", 2, 5);
    let contradicted = RemovalMerge::Contradicted(Message::Registered(live.clone()));
    assert_eq!(other.merge_removal(ms(2), &removed_live), contradicted);
    let removed_former = Removed { id: "i-former".into(), sequence: 8 };
    let merge = receiver.merge(ms(3), &live);
    assert_eq!(merge.updates, vec![Message::Registered(live), Message::Removed(removed_former)]);
}

/// The registration of `sequence` with the sequence of a newer heartbeat that changed nothing.
fn registered_as_newer(id: &str, sequence: u64, newer: u64) -> Registered {
    Registered { sequence: newer, ..registered_as(id, sequence) }
}

/// All controllers are killed right after an acknowledgement: what was in memory alone is forgotten (review/6).
#[test]
fn a_controller_counts_itself_only_once_its_tombstone_is_on_disk() {
    let mut endpoints = endpoints();
    let (reply, mut answer) = oneshot::channel();
    let changes = endpoints.deregister(ms(0), "i-1", &known(THREE), reply);
    let token = changes.flush.expect("a flush");
    confirm(&mut endpoints, token, 2, THREE);
    assert_eq!(status(&mut answer), None, "one of three has it on disk");
    write_tombstones(&mut endpoints, ms(1), &known(THREE));
    assert_eq!(status(&mut answer), Some(200));
}

#[test]
fn two_peers_that_have_a_tombstone_on_disk_are_a_majority_without_this_controller() {
    let mut endpoints = endpoints();
    let (reply, mut answer) = oneshot::channel();
    let changes = endpoints.deregister(ms(0), "i-1", &known(THREE), reply);
    let token = changes.flush.expect("a flush");
    confirm(&mut endpoints, token, 2, THREE);
    confirm(&mut endpoints, token, 3, THREE);
    assert_eq!(status(&mut answer), Some(200));
}

/// The registry of the next process of a controller that has written its tombstones.
fn restarted(endpoints: &mut EndpointRegistry) -> EndpointRegistry {
    let write = endpoints.tombstone_log.take_write(ms(10)).expect("tombstones to write");
    let log = TombstoneLog::restore(ms(0), &write.record).expect("a record that can be read");
    self::endpoints().with_tombstones(ms(0), log)
}

/// A heartbeat that had been sent before the end arrived after the restart, and the endpoint got requests again.
#[test]
fn a_late_heartbeat_after_a_restart_registers_no_incarnation_that_was_deregistered() {
    let mut endpoints = endpoints();
    endpoints.merge_removal(ms(0), &removed(FINAL_SEQUENCE));
    let mut endpoints = restarted(&mut endpoints);
    let (changes, mut answer) = register(&mut endpoints, ms(100), THREE, 7, "ready");
    assert_eq!((changes.messages, status(&mut answer)), (vec![], Some(200)));
    assert!(endpoints.registration("i-1").is_none());
    assert!(endpoints.full_snapshot().any(|message| message == Message::Removed(removed(FINAL_SEQUENCE))));
}

#[test]
fn after_a_restart_a_draining_incarnation_returns_with_its_next_heartbeat_only() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(5, "draining"));
    let mut endpoints = restarted(&mut endpoints);
    register(&mut endpoints, ms(100), THREE, 4, "ready");
    assert!(endpoints.registration("i-1").is_none(), "it was sent before the drain");
    let (changes, _) = register(&mut endpoints, ms(200), THREE, 6, "draining");
    assert!(changes.messages.contains(&Message::Registered(registered(6, "draining"))));
}

#[test]
fn an_incarnation_that_expired_or_was_replaced_is_not_written() {
    let mut endpoints = endpoints();
    endpoints.merge(ms(0), &registered(5, "ready"));
    endpoints.merge(ms(1), &registered_as("i-2", 1));
    endpoints.expire(ms(9_000), |_| true);
    assert_eq!(endpoints.tombstone_log.take_write(ms(9_000)), None);
}
