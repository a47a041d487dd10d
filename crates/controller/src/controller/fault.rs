//! Deliberate faults of a controller. Tests inject them to show that the simulation's checks detect them; a real
//! process runs without any.

use crate::controller::consensus::quorum_contact::ContactFault;
use crate::controller::endpoints::acknowledgements::AcknowledgementFault;
use crate::controller::membership::replacement::ReplacementFault;
use lanegate_coordination::register;

/// A deliberate fault of a controller.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerFault {
    /// A fault of the registers, in all shards.
    Register(register::Fault),
    /// A fault in the detection of quorum contact.
    QuorumContact(ContactFault),
    /// A fault in the replacement of members.
    Replacement(ReplacementFault),
    /// A fault in the conditions for acknowledging a drain or a deregistration.
    Acknowledgement(AcknowledgementFault),
    /// `GET /config` answers from local state, without a read through a majority.
    ReadLocally,
    /// A change is acknowledged as soon as it is proposed, before it is committed.
    AcknowledgeProposed,
    /// A drain is acknowledged before any other controller has received it.
    AcknowledgeDrainLocally,
    /// A removal that is received from another controller is not forwarded to agents.
    SkipRemovalForwarding,
    /// Orders are still sent after the lease has ended.
    OrderWithoutLease,
    /// A new lease holder does not wait for the quiet period after the previous tenure.
    SkipQuietPeriod,
    /// Every tenure of a lease uses the same epoch.
    ReuseEpoch,
    /// An epoch request that timed out at the register is not retried.
    SkipEpochRetry,
    /// Group members that were partitioned for long expire from the list of peers.
    ExpireMembers,
    /// Endpoints expire from the registry without contact with a majority.
    ExpireWithoutContact,
    /// Heartbeats of endpoints are acknowledged without contact with a majority.
    AcknowledgeHeartbeatWithoutContact,
    /// A change is refused on the basis of local state, without asking a majority.
    RefuseLocally,
    /// A drain that is received from another controller is not relayed to the others.
    SkipDrainRelay,
    /// Heartbeats of endpoints are not relayed to a controller that does not receive them directly.
    SkipHeartbeatRelay,
    /// A controller that shuts down does not wait for its replacement in the replica groups.
    ShutDownWithoutHandover,
    /// The draining status of controllers is ignored: they keep their shards, and are not replaced, until the failure
    /// detector suspects them.
    IgnoreDraining,
    /// A controller whose heartbeats arrive counts as reachable, even if it receives nothing.
    CountUnreachedPeers,
    /// The feed reports this controller as current even without quorum contact.
    AlwaysCurrent,
    /// The configuration is not read again while a member of its group does not answer.
    SkipReread,
    /// A replica whose disk has stalled counts as able to vote.
    CountStalledDisk,
    /// The settings file is not read again unless a signal asks for it.
    KeepSeeds,
}

impl ControllerFault {
    /// The faults that the examples search for, including those of the registers and of quorum contact.
    #[must_use]
    pub fn all() -> Vec<ControllerFault> {
        use ControllerFault as Own;
        use register::Fault;
        let registers = [
            Fault::ReplyBeforePersist,
            Fault::VoteAfterWipe,
            Fault::RecoverFromOne,
            Fault::IgnoreIncarnations,
            Fault::ReuseBallot,
            Fault::NewGroupOnly,
            Fault::IgnoreAccepted,
            Fault::ReadLocally,
            Fault::ReadUncommitted,
            Fault::AcceptBelowPromise,
            Fault::SmallMajority,
            Fault::ProposeTwice,
        ];
        let contact = [
            ContactFault::AgeFromReceipt,
            ContactFault::SmallMajority,
            ContactFault::CountReceivedHeartbeats,
            ContactFault::StaleClock,
            ContactFault::NewGroupOnly,
            ContactFault::AnyIncarnation,
        ];
        let own = [
            Own::ReadLocally,
            Own::AcknowledgeProposed,
            Own::AcknowledgeDrainLocally,
            Own::SkipRemovalForwarding,
            Own::OrderWithoutLease,
            Own::SkipQuietPeriod,
            Own::ReuseEpoch,
            Own::SkipEpochRetry,
            Own::ExpireMembers,
            Own::AlwaysCurrent,
            Own::SkipReread,
            Own::CountStalledDisk,
            Own::SkipHeartbeatRelay,
        ];
        let parts = registers.map(Own::Register).into_iter().chain(contact.map(Own::QuorumContact));
        own.into_iter().chain(parts).collect()
    }

    /// The fault of the registers, if this is one.
    pub(crate) fn register(self) -> Option<register::Fault> {
        match self {
            ControllerFault::Register(fault) => Some(fault),
            _ => None,
        }
    }

    /// The fault in the detection of quorum contact, if this is one.
    pub(crate) fn quorum_contact(self) -> Option<ContactFault> {
        match self {
            ControllerFault::QuorumContact(fault) => Some(fault),
            _ => None,
        }
    }

    /// The fault in the replacement of members, if this is one.
    pub(crate) fn replacement(self) -> Option<ReplacementFault> {
        match self {
            ControllerFault::Replacement(fault) => Some(fault),
            _ => None,
        }
    }

    /// The fault in the conditions for an acknowledgement, if this is one.
    pub(crate) fn acknowledgement(self) -> Option<AcknowledgementFault> {
        match self {
            ControllerFault::Acknowledgement(fault) => Some(fault),
            _ => None,
        }
    }
}
