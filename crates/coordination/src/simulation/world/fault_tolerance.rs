//! Limits of the injected faults: no more disks are lost than the groups can recover from.

use super::World;
use crate::register::{Group, Node, Outcome, Record};
use crate::simulation::disk::Disk;
use crate::simulation::machine::index_of;
use crate::simulation::step::MachineIndex;

/// A membership change that was requested.
pub(super) struct RequestedMembershipChange {
    pub(super) request: u64,
    pub(super) remove: Vec<Node>,
    pub(super) add: Option<Node>,
}

impl RequestedMembershipChange {
    fn apply(&self, group: &Group) -> Group {
        let kept = group.members().iter().copied().filter(|node| !self.remove.contains(node));
        Group::new(kept.chain(self.add).collect())
    }
}

impl World {
    /// Whether every group still has a majority with records once a machine's disk is lost.
    pub(super) fn can_lose_disk(&mut self, lost: MachineIndex) -> bool {
        let groups = self.possible_groups();
        self.keeps_majorities(&groups, Some(lost))
    }

    /// Whether a majority of every group has a record, apart from the machine `lost`.
    pub(super) fn keeps_majorities(&mut self, groups: &[Group], lost: Option<MachineIndex>) -> bool {
        let stored: Vec<bool> = (0..self.machines.len())
            .map(|at| Some(at) != lost && !self.groups_on_disk(at).is_empty())
            .collect();
        let kept = |group: &Group| group.members().iter().filter(|node| stored[index_of(**node)]).count();
        groups.iter().all(|group| kept(group) >= group.majority())
    }

    /// Groups in the records of all disks, and those that the requested changes may lead to, in whatever order they
    /// are executed.
    pub(super) fn possible_groups(&mut self) -> Vec<Group> {
        let mut groups: Vec<Group> =
            (0..self.machines.len()).flat_map(|at| self.groups_on_disk(at)).collect();
        groups.sort_by(|first, second| first.members().cmp(second.members()));
        groups.dedup();
        let has_no_effect = |outcome: &Outcome| matches!(outcome, Outcome::Refused { .. } | Outcome::Expired);
        let changes = self
            .changes
            .iter()
            .filter(|change| !self.history.outcome(change.request).is_some_and(has_no_effect));
        let changes: Vec<&RequestedMembershipChange> = changes.collect();
        let mut next = 0;
        while let Some(group) = groups.get(next).cloned() {
            for changed in changes.iter().map(|change| change.apply(&group)) {
                // A change that would leave no member is refused.
                if !changed.members().is_empty() && !groups.contains(&changed) {
                    groups.push(changed);
                }
            }
            next += 1;
        }
        groups
    }

    /// The groups of the record on a machine's disk; none if there is no record.
    fn groups_on_disk(&mut self, at: MachineIndex) -> Vec<Group> {
        let directory = self.machines[at].disk.directory.clone();
        let mut copy = Disk::new();
        copy.directory = directory;
        let record = copy.open().ok().flatten().and_then(|bytes| Record::decode(&bytes).ok());
        record.map(|record| record.value.groups).unwrap_or_default()
    }
}
