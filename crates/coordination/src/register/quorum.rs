//! Votes, counted by majority of each group; votes of outdated incarnations do not count.

use std::collections::BTreeMap;

use super::node::{MinimumIncarnations, Node};
use super::settings::{Fault, Settings};
use super::value::Group;

/// The vote of one replica.
#[derive(Debug, Clone, Hash)]
struct Vote<T> {
    incarnation: u64,
    minimum_incarnations: MinimumIncarnations,
    vote: T,
}

/// The votes of one round.
#[derive(Debug, Clone, Hash)]
pub(super) struct Votes<T> {
    entries: BTreeMap<Node, Vote<T>>,
    ignore_incarnations: bool,
    majority_reduction: usize,
}

impl<T> Votes<T> {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entries: BTreeMap::new(),
            ignore_incarnations: settings.has(Fault::IgnoreIncarnations),
            majority_reduction: usize::from(settings.has(Fault::SmallMajority)),
        }
    }

    /// Takes a vote, unless a later incarnation of the same node has voted already.
    pub(super) fn insert(
        &mut self,
        node: Node,
        incarnation: u64,
        minimum_incarnations: MinimumIncarnations,
        vote: T,
    ) {
        let outdated = self.entries.get(&node).is_some_and(|entry| entry.incarnation > incarnation);
        if !outdated {
            self.entries.insert(node, Vote { incarnation, minimum_incarnations, vote });
        }
    }

    /// Whether the node has voted and no other voter knows of a later incarnation of it.
    pub(super) fn counts(&self, node: Node) -> bool {
        let Some(entry) = self.entries.get(&node) else {
            return false;
        };
        self.ignore_incarnations
            || self.entries.values().all(|other| other.minimum_incarnations.of(node) <= entry.incarnation)
    }

    /// Whether a majority of every group has cast a vote that counts and that `accepts` approves.
    pub(super) fn have_majorities(&self, groups: &[Group], accepts: impl Fn(&T) -> bool) -> bool {
        groups.iter().all(|group| {
            let votes = group.members().iter().filter(|node| self.approves(**node, &accepts)).count();
            votes + self.majority_reduction >= group.majority()
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
