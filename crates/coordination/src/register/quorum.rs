//! Votes, counted by majority of each group; votes of outdated incarnations do not count.

use std::collections::BTreeMap;

use super::node::{Floors, Node};
use super::settings::{Fault, Settings};
use super::value::Group;

/// The vote of one replica.
#[derive(Debug, Clone, Hash)]
struct Ballot<T> {
    incarnation: u64,
    floors: Floors,
    vote: T,
}

/// The votes of one round.
#[derive(Debug, Clone, Hash)]
pub(super) struct Votes<T> {
    entries: BTreeMap<Node, Ballot<T>>,
    ignore_incarnations: bool,
    slack: usize,
}

impl<T> Votes<T> {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entries: BTreeMap::new(),
            ignore_incarnations: settings.has(Fault::IgnoreIncarnations),
            slack: usize::from(settings.has(Fault::SmallMajority)),
        }
    }

    /// Takes a vote, unless a later incarnation of the same node has voted already.
    pub(super) fn insert(&mut self, node: Node, incarnation: u64, floors: Floors, vote: T) {
        let outdated = self.entries.get(&node).is_some_and(|entry| entry.incarnation > incarnation);
        if !outdated {
            self.entries.insert(node, Ballot { incarnation, floors, vote });
        }
    }

    /// Whether the node has voted and no other voter knows of a later incarnation of it.
    pub(super) fn counts(&self, node: Node) -> bool {
        let Some(entry) = self.entries.get(&node) else {
            return false;
        };
        self.ignore_incarnations
            || self.entries.values().all(|other| other.floors.of(node) <= entry.incarnation)
    }

    /// Whether a majority of every group has cast a vote that counts and that `accepts` approves.
    pub(super) fn satisfy(&self, groups: &[Group], accepts: impl Fn(&T) -> bool) -> bool {
        groups.iter().all(|group| {
            let votes = group.members().iter().filter(|node| self.approves(**node, &accepts)).count();
            votes + self.slack >= group.majority()
        })
    }

    fn approves(&self, node: Node, accepts: impl Fn(&T) -> bool) -> bool {
        self.counts(node) && self.entries.get(&node).is_some_and(|entry| accepts(&entry.vote))
    }
}

/// Adds the groups that are not there yet.
pub(super) fn union(groups: &[Group], others: &[Group]) -> Vec<Group> {
    let mut all = groups.to_vec();
    for group in others {
        if !all.contains(group) {
            all.push(group.clone());
        }
    }
    all
}

/// Members of all the groups, each once.
pub(super) fn members(groups: &[Group]) -> Vec<Node> {
    let all = groups.iter().flat_map(|group| group.members().iter().copied()).collect();
    Group::new(all).members().to_vec()
}
