//! Votes, counted by majority of each group; votes of outdated incarnations do not count.

use std::collections::BTreeMap;

use super::node::{MinimumIncarnations, Node};
use super::settings::{Fault, Settings};
use super::value::Group;

/// The incarnation that voted, and what it knows of the incarnations of others.
#[derive(Debug, Clone, Hash)]
pub(super) struct Voter {
    pub(super) incarnation: u64,
    pub(super) minimum_incarnations: MinimumIncarnations,
}

/// The vote of one replica.
#[derive(Debug, Clone, Hash)]
struct Vote<T> {
    voter: Voter,
    vote: T,
}

/// The votes of one round, at most one of each node.
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

    /// Adds a vote, unless a later incarnation of the same node has voted already.
    pub(super) fn insert(&mut self, node: Node, voter: Voter, vote: T) {
        let known = self.entries.get(&node).map(|entry| entry.voter.incarnation);
        if known.is_none_or(|known| known <= voter.incarnation) {
            self.entries.insert(node, Vote { voter, vote });
        }
    }

    /// Whether the node has voted and no other voter knows of a later incarnation of it.
    pub(super) fn counts(&self, node: Node) -> bool {
        let Some(entry) = self.entries.get(&node) else {
            return false;
        };
        let is_outdated =
            |other: &Vote<T>| other.voter.minimum_incarnations.of(node) > entry.voter.incarnation;
        self.ignore_incarnations || !self.entries.values().any(is_outdated)
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

/// The groups of both lists, each once, in order of first appearance.
pub(super) fn union(groups: &[Group], others: &[Group]) -> Vec<Group> {
    let mut all = groups.to_vec();
    for group in others {
        if !all.contains(group) {
            all.push(group.clone());
        }
    }
    all
}

/// Members of all the groups, each once, in ascending order.
pub(super) fn members(groups: &[Group]) -> Vec<Node> {
    let all = groups.iter().flat_map(|group| group.members().iter().copied()).collect();
    Group::new(all).members().to_vec()
}
