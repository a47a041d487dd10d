//! The replica groups in force for a shard, as one controller knows them.

use crate::message::{Confirmation, GroupMembers};
use lanegate_coordination::register::Value;
use std::net::SocketAddr;

/// Groups in force: one, or two during a membership change; none while no group is known (new or emptied disk).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct KnownGroups {
    /// Revision of the register value that names them.
    pub revision: u64,
    /// Members of each group.
    pub groups: Vec<Vec<SocketAddr>>,
}

impl KnownGroups {
    /// The groups that a register value names.
    pub(crate) fn of(value: Option<&Value>) -> Self {
        let Some(value) = value else { return KnownGroups::default() };
        let addresses = |members: &[lanegate_coordination::register::Node]| {
            members.iter().map(|node| SocketAddr::V4((*node).into())).collect()
        };
        let groups = value.groups.iter().map(|group| addresses(group.members())).collect();
        KnownGroups { revision: value.revision, groups }
    }

    /// A single group with `node` as its only member.
    pub(crate) fn only(node: SocketAddr) -> Self {
        KnownGroups { revision: 0, groups: vec![vec![node]] }
    }

    /// The groups that a peer reported with its confirmation. An address that cannot be parsed becomes the unspecified
    /// address, which matches no controller.
    pub(crate) fn from_confirmation(confirmation: &Confirmation) -> Self {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let read = |text: &str| text.parse().unwrap_or(unspecified);
        let members = |group: &GroupMembers| group.addresses.text().split_whitespace().map(read).collect();
        let groups = confirmation.groups.iter().map(members).collect();
        KnownGroups { revision: confirmation.revision, groups }
    }

    /// A confirmation of the flush `token` that reports these groups.
    pub(crate) fn confirmation(&self, token: u64) -> Confirmation {
        let members = |group: &Vec<SocketAddr>| {
            let addresses: Vec<String> = group.iter().map(ToString::to_string).collect();
            GroupMembers { addresses: addresses.join(" ").as_str().into() }
        };
        Confirmation::new(token, self.revision, self.groups.iter().map(members).collect())
    }

    /// Whether `counts` holds for more than half of every group. False while no group is known.
    pub(crate) fn have_majority(&self, counts: impl Fn(SocketAddr) -> bool) -> bool {
        let is_majority = |group: &Vec<SocketAddr>| {
            group.iter().filter(|member| counts(**member)).count() > group.len() / 2
        };
        !self.groups.is_empty() && self.groups.iter().all(is_majority)
    }

    /// Whether a controller is a member of any group in force.
    pub(crate) fn contains(&self, node: SocketAddr) -> bool {
        self.groups.iter().any(|group| group.contains(&node))
    }
}
