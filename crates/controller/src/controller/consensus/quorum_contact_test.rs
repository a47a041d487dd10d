//! Contact is claimed only with a majority whose answers are within the validity, whatever faults links and processes
//! have.

use crate::controller::consensus::quorum_contact::{CONTACT_VALIDITY, ContactFault, QuorumContact};
use lanegate_coordination::membership::{Heartbeat, NodeId};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Time between heartbeats, and between the steps of the simulation.
const HEARTBEAT: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(10);
/// Usual transit time of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(20);
/// Longest time from the healing of a link to contact: a heartbeat interval, a round trip, and steps.
const RECOVERY_TIME: Duration = Duration::from_millis(300);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn ipv4(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000)
}

fn address(index: usize) -> SocketAddr {
    ipv4(index).into()
}

fn group(indices: &[usize]) -> Vec<SocketAddr> {
    indices.iter().map(|index| address(*index)).collect()
}

fn heartbeat(index: usize, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat { sender: NodeId::new(ipv4(index), incarnation), sequence }
}

#[derive(Debug, Clone, Copy)]
enum Packet {
    Heartbeat(Heartbeat),
    Echo(Heartbeat),
}

/// A message in transit. It waits while its link is partitioned or its receiver frozen, as in a connection's buffer.
struct Delivery {
    from: usize,
    to: usize,
    arrives: Duration,
    packet: Packet,
}

struct Node {
    contact: QuorumContact,
    next_heartbeat: Duration,
    sequence: u64,
    frozen: bool,
}

struct World {
    now: Duration,
    nodes: Vec<Node>,
    deliveries: Vec<Delivery>,
    /// Partitioned directed links, as sender and receiver.
    partition: Vec<(usize, usize)>,
    /// Links on which messages take longer.
    slow: BTreeMap<(usize, usize), Duration>,
    /// For each ordered pair of nodes, when both directions were last open while both nodes were running.
    last_open: BTreeMap<(usize, usize), Duration>,
    groups: Vec<Vec<SocketAddr>>,
}

impl World {
    fn new(size: usize, groups: Vec<Vec<SocketAddr>>, fault: Option<ContactFault>) -> Self {
        let node = |index| Node {
            contact: QuorumContact::with_fault(address(index), 1, fault),
            next_heartbeat: ms(7 * index as u64),
            sequence: 0,
            frozen: false,
        };
        World {
            now: Duration::ZERO,
            nodes: (0..size).map(node).collect(),
            deliveries: Vec::new(),
            partition: Vec::new(),
            slow: BTreeMap::new(),
            last_open: BTreeMap::new(),
            groups,
        }
    }

    fn all(size: usize, fault: Option<ContactFault>) -> Self {
        let everyone: Vec<usize> = (0..size).collect();
        World::new(size, vec![group(&everyone)], fault)
    }

    fn has_contact(&self, index: usize) -> bool {
        self.nodes[index].contact.reaches(self.now, &self.groups)
    }

    fn one_way_partition(&mut self, from: usize, to: usize) {
        self.partition.push((from, to));
    }

    fn partition_off(&mut self, index: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.partition.extend([(index, other), (other, index)]);
        }
    }

    fn run_for(&mut self, span: Duration) -> Result<(), String> {
        let end = self.now + span;
        while self.now < end {
            self.step();
            self.check()?;
        }
        Ok(())
    }

    /// Runs until node `index` has just sent a heartbeat.
    fn run_to_heartbeat(&mut self, index: usize) -> Result<(), String> {
        let before = self.nodes[index].sequence;
        while self.nodes[index].sequence == before {
            self.run_for(STEP)?;
        }
        Ok(())
    }

    fn step(&mut self) {
        self.now += STEP;
        self.record_open_links();
        for index in 0..self.nodes.len() {
            if !self.nodes[index].frozen {
                self.send_heartbeat(index);
            }
        }
        self.deliver();
    }

    fn record_open_links(&mut self) {
        let size = self.nodes.len();
        for (from, to) in (0..size).flat_map(|from| (0..size).map(move |to| (from, to))) {
            let open = !self.partition.contains(&(from, to)) && !self.partition.contains(&(to, from));
            if open && !self.nodes[from].frozen && !self.nodes[to].frozen {
                self.last_open.insert((from, to), self.now);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.now < node.next_heartbeat {
            return;
        }
        node.next_heartbeat = self.now + HEARTBEAT;
        node.sequence += 1;
        let heartbeat = heartbeat(index, 1, node.sequence);
        node.contact.heartbeat_sent(self.now, &heartbeat);
        for to in (0..self.nodes.len()).filter(|to| *to != index) {
            self.send(index, to, Packet::Heartbeat(heartbeat));
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        let delay = self.slow.get(&(from, to)).copied().unwrap_or(MESSAGE_DELAY);
        self.deliveries.push(Delivery { from, to, arrives: self.now + delay, packet });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let ready = |world: &World, delivery: &Delivery| {
            delivery.arrives <= now
                && !world.partition.contains(&(delivery.from, delivery.to))
                && !world.nodes[delivery.to].frozen
        };
        let (due, waiting): (Vec<Delivery>, Vec<Delivery>) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|delivery| ready(self, delivery));
        self.deliveries = waiting;
        for delivery in due {
            let contact = &mut self.nodes[delivery.to].contact;
            match delivery.packet {
                Packet::Heartbeat(heartbeat) => {
                    contact.heartbeat_received(now, address(delivery.from));
                    self.send(delivery.to, delivery.from, Packet::Echo(heartbeat));
                }
                Packet::Echo(heartbeat) => contact.echo_received(now, address(delivery.from), &heartbeat),
            }
        }
    }

    /// Checks that no node claims contact with a group unless its links to a majority were open within the validity.
    fn check(&self) -> Result<(), String> {
        for index in (0..self.nodes.len()).filter(|index| self.has_contact(*index)) {
            for group in &self.groups {
                let open = group.iter().filter(|member| self.was_open(index, **member)).count();
                if open <= group.len() / 2 {
                    return Err(format!("{:?}: {index} claims contact with {group:?}", self.now));
                }
            }
        }
        Ok(())
    }

    fn was_open(&self, index: usize, member: SocketAddr) -> bool {
        let other = (0..self.nodes.len()).find(|other| address(*other) == member).expect("a node");
        let oldest = self.now.saturating_sub(CONTACT_VALIDITY);
        other == index || self.last_open.get(&(index, other)).is_some_and(|last| *last >= oldest)
    }
}

fn healthy_network_gives_every_node_contact(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::all(3, fault);
    world.run_for(RECOVERY_TIME)?;
    for _ in 0..500 {
        world.run_for(STEP)?;
        for index in 0..3 {
            if !world.has_contact(index) {
                return Err(format!("{:?}: {index} has no contact in a healthy network", world.now));
            }
        }
    }
    Ok(())
}

/// Node 0 is partitioned in both directions for twenty seconds: its contact ends within the validity, the others keep
/// theirs, and after the partition heals it regains contact within a heartbeat interval and a round trip.
fn partition_of_twenty_seconds(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::all(3, fault);
    world.run_for(ms(2_000))?;
    world.partition_off(0);
    world.run_for(CONTACT_VALIDITY)?;
    if world.has_contact(0) || !world.has_contact(1) || !world.has_contact(2) {
        return Err("expected that only node 0 loses contact, within the validity".to_owned());
    }
    world.run_for(ms(19_000))?;
    world.partition.clear();
    world.run_for(RECOVERY_TIME)?;
    if !world.has_contact(0) {
        return Err("expected contact after the partition has healed".to_owned());
    }
    Ok(())
}

/// All messages from node 0 are lost, but it receives those of the others.
fn outgoing_messages_lost(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::all(3, fault);
    world.run_for(ms(2_000))?;
    world.one_way_partition(0, 1);
    world.one_way_partition(0, 2);
    world.run_for(ms(20_000))?;
    if world.has_contact(0) {
        return Err("heartbeats that were lost must not count as answered".to_owned());
    }
    Ok(())
}

/// All messages to node 0 are lost, but the others receive its messages.
fn incoming_messages_lost(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::all(3, fault);
    world.run_for(ms(2_000))?;
    world.one_way_partition(1, 0);
    world.one_way_partition(2, 0);
    world.run_for(ms(20_000))
}

/// Echoes wait in a buffer while the process is frozen, and are read when it resumes.
fn frozen_for_twenty_seconds(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::all(3, fault);
    world.run_for(ms(2_000))?;
    world.run_to_heartbeat(0)?;
    world.nodes[0].frozen = true;
    world.run_for(ms(20_000))?;
    world.partition_off(0);
    world.nodes[0].frozen = false;
    if world.has_contact(0) {
        return Err("contact must not outlast a freeze".to_owned());
    }
    // The echoes in its own buffers are read now, although no peer can be reached.
    let buffered: Vec<Delivery> =
        std::mem::take(&mut world.deliveries).into_iter().filter(|delivery| delivery.to == 0).collect();
    for delivery in buffered {
        if let Packet::Echo(heartbeat) = delivery.packet {
            world.nodes[0].contact.echo_received(world.now, address(delivery.from), &heartbeat);
        }
    }
    if world.has_contact(0) {
        return Err("an echo from before the freeze must not count".to_owned());
    }
    Ok(())
}

/// Echoes take two seconds, so each is too old when it arrives.
fn late_answers(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::all(3, fault);
    world.slow.insert((1, 0), ms(2_000));
    world.slow.insert((2, 0), ms(2_000));
    world.run_for(ms(10_000))?;
    if world.has_contact(0) {
        return Err("echoes older than the validity must not count".to_owned());
    }
    Ok(())
}

/// Nodes 0 and 1 are partitioned from the other three: two of five are no majority.
fn two_of_five(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::all(5, fault);
    world.run_for(ms(2_000))?;
    for (left, right) in [0, 1].into_iter().flat_map(|left| [2, 3, 4].map(|right| (left, right))) {
        world.partition.extend([(left, right), (right, left)]);
    }
    world.run_for(ms(20_000))?;
    let sides = [0, 1, 2, 3, 4].map(|index| world.has_contact(index));
    if sides != [false, false, true, true, true] {
        return Err(format!("expected contact on the side of three only: {sides:?}"));
    }
    Ok(())
}

/// While the group changes from 0, 1, 2 to 0, 3, 4, node 0 is partitioned from the old members.
fn members_change_during_a_partition(fault: Option<ContactFault>) -> Result<(), String> {
    let mut world = World::new(5, vec![group(&[0, 1, 2]), group(&[0, 3, 4])], fault);
    world.run_for(ms(2_000))?;
    for old in [1, 2] {
        world.partition.extend([(0, old), (old, 0)]);
    }
    world.run_for(ms(5_000))?;
    if world.has_contact(0) {
        return Err("a majority of the new group alone must not count".to_owned());
    }
    Ok(())
}

/// A late echo of an earlier incarnation, with a sequence that this incarnation has used too.
fn echo_of_an_earlier_incarnation(fault: Option<ContactFault>) -> Result<(), String> {
    let mut contact = QuorumContact::with_fault(address(0), 2, fault);
    contact.heartbeat_sent(ms(100), &heartbeat(0, 2, 1));
    contact.echo_received(ms(110), address(1), &heartbeat(0, 1, 1));
    contact.echo_received(ms(110), address(1), &heartbeat(2, 2, 1));
    if contact.reaches(ms(120), &[group(&[0, 1, 2])]) {
        return Err("an echo of another incarnation must not count".to_owned());
    }
    Ok(())
}

type Scenario = fn(Option<ContactFault>) -> Result<(), String>;

const SCENARIOS: [(&str, Scenario); 9] = [
    ("healthy network", healthy_network_gives_every_node_contact),
    ("partition of twenty seconds", partition_of_twenty_seconds),
    ("outgoing messages lost", outgoing_messages_lost),
    ("incoming messages lost", incoming_messages_lost),
    ("frozen for twenty seconds", frozen_for_twenty_seconds),
    ("late answers", late_answers),
    ("two of five", two_of_five),
    ("members change during a partition", members_change_during_a_partition),
    ("echo of an earlier incarnation", echo_of_an_earlier_incarnation),
];

#[test]
fn contact_is_sound_in_every_scenario() {
    for (name, scenario) in SCENARIOS {
        assert_eq!(scenario(None), Ok(()), "{name}");
    }
}

/// The scenarios that detect a fault.
fn found_by(fault: ContactFault) -> Vec<&'static str> {
    let failing = SCENARIOS.iter().filter(|(_, scenario)| scenario(Some(fault)).is_err());
    failing.map(|(name, _)| *name).collect()
}

#[test]
fn an_age_from_the_receipt_is_found() {
    let found = found_by(ContactFault::AgeFromReceipt);
    assert!(found.contains(&"late answers") && found.contains(&"frozen for twenty seconds"), "{found:?}");
}

#[test]
fn a_majority_one_too_small_is_found() {
    assert!(found_by(ContactFault::SmallMajority).contains(&"two of five"));
}

#[test]
fn a_peer_that_only_sends_is_found() {
    assert!(found_by(ContactFault::CountReceivedHeartbeats).contains(&"outgoing messages lost"));
}

#[test]
fn contact_that_outlasts_a_freeze_is_found() {
    assert!(found_by(ContactFault::StaleClock).contains(&"frozen for twenty seconds"));
}

#[test]
fn a_majority_of_the_new_group_alone_is_found() {
    assert!(found_by(ContactFault::NewGroupOnly).contains(&"members change during a partition"));
}

#[test]
fn echoes_of_an_earlier_incarnation_are_found() {
    assert!(found_by(ContactFault::AnyIncarnation).contains(&"echo of an earlier incarnation"));
}

#[test]
fn a_group_that_is_not_known_gives_no_contact() {
    let contact = QuorumContact::new(address(0), 1);
    assert!(!contact.reaches(ms(0), &[]));
    assert!(!contact.reaches(ms(0), &[Vec::new()]));
}

#[test]
fn the_only_member_is_always_in_contact() {
    let contact = QuorumContact::new(address(0), 1);
    assert!(contact.reaches(ms(1_000_000), &[group(&[0])]));
}

#[test]
fn a_controller_that_is_no_member_needs_a_majority_of_the_members() {
    let groups = [group(&[1, 2, 3])];
    let mut contact = QuorumContact::new(address(0), 1);
    contact.heartbeat_sent(ms(0), &heartbeat(0, 1, 1));
    contact.echo_received(ms(10), address(1), &heartbeat(0, 1, 1));
    assert!(!contact.reaches(ms(10), &groups));
    contact.echo_received(ms(10), address(2), &heartbeat(0, 1, 1));
    assert!(contact.reaches(ms(10), &groups));
}

#[test]
fn contact_ends_a_validity_after_the_question_that_the_majority_answered_last() {
    let groups = [group(&[0, 1, 2])];
    let mut contact = QuorumContact::new(address(0), 1);
    contact.heartbeat_sent(ms(500), &heartbeat(0, 1, 1));
    contact.heartbeat_sent(ms(700), &heartbeat(0, 1, 2));
    contact.echo_received(ms(720), address(1), &heartbeat(0, 1, 2));
    contact.echo_received(ms(900), address(1), &heartbeat(0, 1, 1));
    let end = ms(700) + CONTACT_VALIDITY;
    assert_eq!(contact.valid_until(&groups), Some(end), "a late echo does not shorten contact");
    assert!(contact.reaches(end - ms(1), &groups));
    assert!(!contact.reaches(end, &groups));
}

#[test]
fn an_echo_of_a_heartbeat_that_is_not_remembered_counts_for_nothing() {
    let mut contact = QuorumContact::new(address(0), 1);
    contact.echo_received(ms(0), address(1), &heartbeat(0, 1, 9));
    assert!(!contact.reaches(ms(0), &[group(&[0, 1, 2])]));
}

#[test]
fn the_answer_to_a_repeated_heartbeat_counts_from_its_first_send() {
    let mut contact = QuorumContact::new(address(0), 1);
    assert_eq!(contact.newest(), None);
    contact.heartbeat_sent(ms(100), &heartbeat(0, 1, 1));
    contact.heartbeat_sent(ms(300), &heartbeat(0, 1, 2));
    let repeated = *contact.newest().expect("one was sent");
    assert_eq!(repeated, heartbeat(0, 1, 2));
    contact.echo_received(ms(450), address(1), &repeated);
    let groups = [group(&[0, 1, 2])];
    assert!(contact.reaches(ms(300) + CONTACT_VALIDITY - ms(1), &groups));
    assert!(!contact.reaches(ms(300) + CONTACT_VALIDITY, &groups), "not from 450 ms");
}
