//! Unit tests of the grantor, the candidate and the messages of a lease.

use lanegate_coordination::lease::{
    GrantorStart, HolderOutput, LeaseGrantor, LeaseHolder, LeaseMessage, LeaseRelease, LeaseReply,
    LeaseRequest, LeaseSettings, Tenure,
};
use lanegate_coordination::membership::NodeId;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

const SHARD: u32 = 3;
const DELIVERY_TIME: Duration = Duration::from_millis(20);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Validity 1 s, quiet period 3 s, rounds every 333 ms, margin 100 ms.
fn settings() -> LeaseSettings {
    LeaseSettings::for_quiet_period(at(3_000))
}

fn node(index: u8) -> NodeId {
    NodeId::new(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 7000), u64::from(index))
}

fn members(indices: &[u8]) -> Vec<SocketAddr> {
    indices.iter().map(|index| node(*index).address()).collect()
}

fn request(candidate: u8, round: u64, generation: u64) -> LeaseRequest {
    LeaseRequest { shard: SHARD, candidate: node(candidate), round, generation, valid_ms: 1_000 }
}

fn release(candidate: u8, round: u64, idle_ms: u32) -> LeaseRelease {
    LeaseRelease { shard: SHARD, candidate: node(candidate), round, idle_ms }
}

fn grantor() -> LeaseGrantor {
    LeaseGrantor::new(settings(), GrantorStart::First, at(0))
}

fn grants(grantor: &mut LeaseGrantor, now: u64, request: &LeaseRequest) -> bool {
    grantor.on_request(at(now), request).expect("the grantor replies").granted
}

/// Node 1 as a candidate in the group of nodes 1, 2 and 3; it sent the requests of round 1 at 1 s.
fn candidate() -> LeaseHolder {
    let mut holder = LeaseHolder::new(settings(), SHARD, node(1));
    holder.set_group(at(1_000), 1, &members(&[1, 2, 3]));
    holder.set_candidate(at(1_000), true);
    assert_eq!(holder.on_tick(at(1_000)).len(), 3);
    holder
}

fn deliver_reply(
    holder: &mut LeaseHolder,
    now: u64,
    from: u8,
    round: u64,
    granted: bool,
) -> Vec<HolderOutput> {
    let wait_ms = if granted { 0 } else { 700 };
    let reply = LeaseReply { shard: SHARD, candidate: node(1), round, granted, wait_ms };
    holder.on_reply(at(now), node(from).address(), &reply)
}

/// A holder under epoch 10 whose lease, from round 1, expires at 1.9 s.
fn acting_holder() -> LeaseHolder {
    let mut holder = candidate();
    assert_eq!(deliver_reply(&mut holder, 1_010, 1, 1, true), vec![]);
    let tenure = Tenure(1);
    assert_eq!(deliver_reply(&mut holder, 1_020, 2, 1, true), vec![HolderOutput::AcquireEpoch { tenure }]);
    let began = HolderOutput::Began { tenure, epoch: 10 };
    assert_eq!(holder.epoch_acquired(at(1_030), tenure, 10), vec![began]);
    holder
}

#[test]
fn another_candidate_waits_for_validity_and_quiet_period_on_a_clock_that_may_be_fast() {
    let mut grantor = grantor();
    assert!(grants(&mut grantor, 100, &request(1, 1, 0)));
    let reply = grantor.on_request(at(200), &request(2, 1, 0)).expect("the grantor replies");
    assert!(!reply.granted);
    assert_eq!(reply.wait_ms, 3_982);
    assert!(!grants(&mut grantor, 4_180, &request(2, 2, 0)));
    assert!(grants(&mut grantor, 4_182, &request(2, 3, 0)));
}

#[test]
fn a_renewal_extends_the_wait_of_other_candidates() {
    let mut grantor = grantor();
    assert!(grants(&mut grantor, 100, &request(1, 1, 0)));
    assert!(grants(&mut grantor, 400, &request(1, 2, 0)));
    assert!(!grants(&mut grantor, 4_300, &request(2, 1, 0)));
}

#[test]
fn late_and_duplicate_requests_get_no_reply() {
    let mut grantor = grantor();
    assert!(grants(&mut grantor, 100, &request(1, 2, 0)));
    assert_eq!(grantor.on_request(at(200), &request(1, 2, 0)), None);
    assert_eq!(grantor.on_request(at(200), &request(1, 1, 0)), None);
}

#[test]
fn a_release_leaves_the_rest_of_the_quiet_period() {
    let mut grantor = grantor();
    assert!(grants(&mut grantor, 100, &request(1, 1, 0)));
    grantor.on_release(at(200), &release(1, 1, 1_000));
    assert!(!grants(&mut grantor, 2_200, &request(2, 1, 0)));
    assert!(grants(&mut grantor, 2_262, &request(2, 2, 0)));
}

#[test]
fn a_late_release_does_not_free_a_newer_grant() {
    let mut grantor = grantor();
    assert!(grants(&mut grantor, 100, &request(1, 5, 0)));
    grantor.on_release(at(200), &release(1, 4, LeaseRelease::NEVER_ACTED));
    assert!(!grants(&mut grantor, 300, &request(2, 1, 0)));
}

#[test]
fn a_released_round_is_not_granted_by_a_late_request() {
    let mut grantor = grantor();
    assert!(grants(&mut grantor, 100, &request(1, 5, 0)));
    grantor.on_release(at(200), &release(1, 6, LeaseRelease::NEVER_ACTED));
    assert_eq!(grantor.on_request(at(210), &request(1, 6, 0)), None);
    assert!(grants(&mut grantor, 220, &request(2, 1, 0)));
}

#[test]
fn the_release_of_another_candidate_changes_nothing() {
    let mut grantor = grantor();
    assert!(grants(&mut grantor, 100, &request(1, 1, 0)));
    grantor.on_release(at(200), &release(2, 9, LeaseRelease::NEVER_ACTED));
    assert!(!grants(&mut grantor, 300, &request(2, 10, 0)));
}

#[test]
fn a_restarted_grantor_grants_nothing_until_earlier_grants_have_expired() {
    let mut grantor = LeaseGrantor::new(settings(), GrantorStart::Restarted, at(0));
    assert!(!grants(&mut grantor, 4_080, &request(1, 1, 0)));
    assert!(grants(&mut grantor, 4_082, &request(1, 2, 0)));
}

#[test]
fn a_request_of_an_older_generation_is_refused() {
    let mut grantor = grantor();
    grantor.set_generation(SHARD, 2);
    assert!(!grants(&mut grantor, 100, &request(1, 1, 1)));
    assert!(grants(&mut grantor, 100, &request(1, 2, 2)));
}

#[test]
fn a_holder_acts_until_validity_less_margin_after_its_request() {
    let mut holder = acting_holder();
    assert_eq!(holder.authorize(at(1_879), DELIVERY_TIME), Some(10));
    assert_eq!(holder.authorize(at(1_880), DELIVERY_TIME), None);
    assert_eq!(holder.authorize(at(60_000), DELIVERY_TIME), None);
}

#[test]
fn a_late_reply_extends_the_lease_from_the_time_of_the_request() {
    let mut holder = acting_holder();
    assert_eq!(holder.on_tick(at(1_334)).len(), 3);
    deliver_reply(&mut holder, 1_850, 1, 2, true);
    deliver_reply(&mut holder, 1_850, 2, 2, true);
    assert_eq!(holder.current_epoch(at(2_213), DELIVERY_TIME), Some(10));
    assert_eq!(holder.current_epoch(at(2_214), DELIVERY_TIME), None);
}

#[test]
fn two_replies_of_one_grantor_count_once() {
    let mut holder = candidate();
    assert_eq!(deliver_reply(&mut holder, 1_010, 2, 1, true), vec![]);
    assert_eq!(deliver_reply(&mut holder, 1_020, 2, 1, true), vec![]);
}

#[test]
fn a_grant_of_a_non_member_does_not_count() {
    let mut holder = candidate();
    assert_eq!(deliver_reply(&mut holder, 1_010, 2, 1, true), vec![]);
    assert_eq!(deliver_reply(&mut holder, 1_020, 9, 1, true), vec![]);
}

#[test]
fn a_holder_without_an_epoch_does_not_act() {
    let mut holder = candidate();
    deliver_reply(&mut holder, 1_010, 1, 1, true);
    deliver_reply(&mut holder, 1_010, 2, 1, true);
    assert_eq!(holder.authorize(at(1_020), DELIVERY_TIME), None);
}

#[test]
fn the_epoch_of_an_ended_tenure_is_dropped() {
    let mut holder = candidate();
    deliver_reply(&mut holder, 1_010, 1, 1, true);
    deliver_reply(&mut holder, 1_010, 2, 1, true);
    assert_eq!(holder.on_tick(at(2_000))[0], HolderOutput::Ended { tenure: Tenure(1) });
    deliver_reply(&mut holder, 2_010, 1, 2, true);
    let tenure = Tenure(2);
    assert_eq!(deliver_reply(&mut holder, 2_010, 2, 2, true), vec![HolderOutput::AcquireEpoch { tenure }]);
    assert_eq!(holder.epoch_acquired(at(2_020), Tenure(1), 10), vec![]);
    assert_eq!(holder.current_epoch(at(2_030), DELIVERY_TIME), None);
}

#[test]
fn an_epoch_that_is_not_higher_is_acquired_again() {
    let mut holder = acting_holder();
    holder.on_tick(at(2_000));
    deliver_reply(&mut holder, 2_010, 1, 2, true);
    deliver_reply(&mut holder, 2_010, 2, 2, true);
    let tenure = Tenure(2);
    let again = HolderOutput::AcquireEpoch { tenure };
    assert_eq!(holder.epoch_acquired(at(2_020), tenure, 10), vec![again]);
    assert_eq!(holder.current_epoch(at(2_030), DELIVERY_TIME), None);
}

#[test]
fn an_unavailable_epoch_is_acquired_again_during_the_tenure() {
    let mut holder = candidate();
    deliver_reply(&mut holder, 1_010, 1, 1, true);
    let tenure = Tenure(1);
    let again = HolderOutput::AcquireEpoch { tenure };
    assert_eq!(deliver_reply(&mut holder, 1_010, 2, 1, true), vec![again]);
    assert_eq!(holder.epoch_unavailable(at(1_500), tenure), vec![again]);
    assert_eq!(holder.epoch_acquired(at(1_600), tenure, 10), vec![HolderOutput::Began { tenure, epoch: 10 }]);
    assert_eq!(holder.epoch_unavailable(at(1_700), tenure), vec![]);
    assert_eq!(holder.epoch_unavailable(at(2_000), tenure), vec![HolderOutput::Ended { tenure }]);
}

#[test]
fn a_lost_round_releases_its_grants() {
    let mut holder = candidate();
    deliver_reply(&mut holder, 1_010, 1, 1, true);
    deliver_reply(&mut holder, 1_010, 2, 1, false);
    let outputs = deliver_reply(&mut holder, 1_010, 3, 1, false);
    let expected = release(1, 1, LeaseRelease::NEVER_ACTED);
    let released = |to: &SocketAddr| HolderOutput::Release { to: *to, release: expected };
    assert_eq!(outputs, members(&[1, 2, 3]).iter().map(released).collect::<Vec<_>>());
    assert_eq!(holder.next_wake(), Some(at(1_710)));
}

#[test]
fn a_release_waits_for_the_arrival_of_the_last_action() {
    let mut holder = acting_holder();
    holder.authorize(at(1_100), DELIVERY_TIME);
    assert_eq!(holder.set_candidate(at(1_110), false), vec![HolderOutput::Ended { tenure: Tenure(1) }]);
    assert_eq!(holder.next_wake(), Some(at(1_120)));
    let outputs = holder.on_tick(at(1_150));
    let expected = HolderOutput::Release { to: node(1).address(), release: release(1, 1, 30) };
    assert_eq!(outputs.first(), Some(&expected));
    assert_eq!(holder.next_wake(), None);
}

#[test]
fn a_process_that_is_not_a_candidate_ignores_grants() {
    let mut holder = candidate();
    holder.set_candidate(at(1_005), false);
    assert_eq!(deliver_reply(&mut holder, 1_010, 1, 1, true), vec![]);
    assert_eq!(deliver_reply(&mut holder, 1_010, 2, 1, true), vec![]);
}

#[test]
fn a_changed_group_needs_both_majorities_until_old_grants_have_expired() {
    let mut holder = LeaseHolder::new(settings(), SHARD, node(2));
    holder.set_group(at(1_000), 1, &members(&[1, 2, 3]));
    holder.set_group(at(1_000), 2, &members(&[2, 4, 5]));
    holder.set_candidate(at(1_000), true);
    let grant = |round| LeaseReply { shard: SHARD, candidate: node(2), round, granted: true, wait_ms: 0 };
    assert_eq!(holder.on_tick(at(1_000)).len(), 5);
    assert_eq!(holder.on_reply(at(1_010), node(2).address(), &grant(1)), vec![]);
    assert_eq!(holder.on_reply(at(1_010), node(4).address(), &grant(1)), vec![]);
    assert_eq!(holder.on_reply(at(1_010), node(3).address(), &grant(1)).len(), 1);
    assert_eq!(
        holder.on_tick(at(5_100)).len(),
        4,
        "the tenure ends, and a round is sent to the new group alone"
    );
    assert_eq!(holder.on_reply(at(5_110), node(2).address(), &grant(2)), vec![]);
    assert_eq!(holder.on_reply(at(5_110), node(4).address(), &grant(2)).len(), 1);
}

#[test]
fn messages_round_trip_and_other_bytes_are_rejected() {
    let reply = LeaseReply { shard: SHARD, candidate: node(1), round: 9, granted: true, wait_ms: 0 };
    let messages = [
        LeaseMessage::Request(request(1, 9, 4)),
        LeaseMessage::Reply(reply),
        LeaseMessage::Release(release(1, 9, 17)),
    ];
    for message in messages {
        let bytes = message.encode().expect("every message can be encoded");
        assert_eq!(LeaseMessage::decode(&bytes).expect("an encoded message can be decoded"), message);
        assert!(LeaseMessage::decode(&bytes[..bytes.len() - 1]).is_err());
        assert!(LeaseMessage::decode(&[bytes.as_slice(), &[0]].concat()).is_err());
    }
    assert!(LeaseMessage::decode(b"LGLS\x09").is_err());
}
