//! The value of a register: revision, member groups, recent changes, opaque state.

use bytes::Bytes;
use deku::prelude::*;

use super::codec;
use super::group::Group;
use super::node::Node;

/// Number of recent changes in a value, by which a proposer can tell whether its preempted proposal took effect.
/// It exceeds the number of changes that are usually committed between two attempts of one proposer.
pub(super) const HISTORY_LENGTH: usize = 16;

/// Identifies one proposal that changed the value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ChangeId {
    /// Random number drawn at the start of the proposer's process.
    pub nonce: u64,
    /// Number of the proposal within that process.
    pub sequence: u64,
}

/// A recent change and the revision it led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Change {
    /// The change.
    pub id: ChangeId,
    /// The revision after it.
    pub revision: u64,
}

/// The value of a register.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Value {
    /// Rises by one with each change.
    pub revision: u64,
    #[deku(temp, temp_value = "groups.len() as u8")]
    group_count: u8,
    /// One group, or two during a membership change (old, new).
    #[deku(count = "group_count")]
    pub groups: Vec<Group>,
    #[deku(temp, temp_value = "history.len() as u8")]
    history_length: u8,
    /// The latest changes, oldest first; at most 16.
    #[deku(count = "history_length")]
    pub history: Vec<Change>,
    /// The state, opaque to the register.
    #[deku(reader = "codec::read_bytes(deku::reader)", writer = "codec::write_bytes(deku::writer, state)")]
    pub state: Bytes,
}

impl Value {
    /// The value that a group starts with.
    #[must_use]
    pub fn initial(members: Vec<Node>, state: Bytes) -> Self {
        Self { revision: 0, groups: vec![Group::new(members)], history: Vec::new(), state }
    }

    /// Whether a membership change is in progress.
    #[must_use]
    pub fn is_joint(&self) -> bool {
        self.groups.len() > 1
    }

    /// The newest group: the only one, or the one being changed to.
    #[must_use]
    pub fn newest_group(&self) -> &[Node] {
        self.groups.last().map_or(&[], Group::members)
    }

    /// Members of all groups in force, each once, in ascending order.
    #[must_use]
    pub fn members(&self) -> Vec<Node> {
        let all = self.groups.iter().flat_map(|group| group.members().iter().copied()).collect();
        Group::new(all).members().to_vec()
    }

    /// This value after a change that adds `revisions` to the revision.
    #[must_use]
    pub fn changed(&self, id: ChangeId, revisions: u64, groups: Vec<Group>, state: Bytes) -> Self {
        let revision = self.revision + revisions;
        let mut history = self.history.clone();
        if history.len() >= HISTORY_LENGTH {
            history.remove(0);
        }
        history.push(Change { id, revision });
        Self { revision, groups, history, state }
    }

    /// Whether the change is among the recent ones.
    #[must_use]
    pub fn has_change(&self, id: ChangeId) -> bool {
        self.history.iter().any(|change| change.id == id)
    }

    /// Whether the recent changes include every change after `revision`.
    #[must_use]
    pub fn has_all_changes_since(&self, revision: u64) -> bool {
        self.history.len() < HISTORY_LENGTH || self.history[0].revision <= revision
    }
}

/// A value in a message, which is omitted if the receiver has it already.
#[derive(Debug, Clone, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum ValueTransfer {
    /// The receiver has the value of the ballot in the same message.
    #[deku(id = 0)]
    Omitted,
    /// The value.
    #[deku(id = 1)]
    Full(Value),
}

impl ValueTransfer {
    /// The value, if it was sent.
    #[must_use]
    pub fn into_value(self) -> Option<Value> {
        match self {
            Self::Omitted => None,
            Self::Full(value) => Some(value),
        }
    }
}
