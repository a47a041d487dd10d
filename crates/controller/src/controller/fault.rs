//! Deliberate faults of a controller, each of which the simulation must find. A process has none.

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
    /// A fault in what counts as contact with a majority.
    QuorumContact(ContactFault),
    /// A fault in the replacement of members.
    Replacement(ReplacementFault),
    /// A fault in what makes an acknowledgement safe.
    Acknowledgement(AcknowledgementFault),
    /// `GET /config` answers from what this controller knows, without asking a majority.
    ReadLocally,
    /// A change is acknowledged once it is proposed.
    AcknowledgeProposed,
    /// A drain is acknowledged before any other controller has it.
    AcknowledgeDrainLocally,
    /// A removal that another controller sent is not forwarded to agents.
    SkipRemovalForwarding,
    /// Orders go on after the lease has ended.
    OrderWithoutLease,
    /// A new holder does not wait until the one before has been quiet.
    SkipQuietPeriod,
    /// Every tenure acts under the same epoch.
    ReuseEpoch,
    /// An epoch that the register did not give in time is not asked for again.
    SkipEpochRetry,
    /// Members of the group are forgotten once they have been partitioned for long.
    ExpireMembers,
    /// Endpoints are taken off the list without contact with a majority.
    ExpireWithoutContact,
    /// Heartbeats of endpoints are acknowledged without contact with a majority.
    AcknowledgeHeartbeatWithoutContact,
    /// A change is refused by what this controller knows, without asking a majority.
    RefuseLocally,
    /// A drain that another controller sent is not relayed to other controllers.
    SkipDrainRelay,
    /// Heartbeats of endpoints are not relayed to a controller that does not receive them.
    SkipHeartbeatRelay,
    /// A controller that shuts down does not wait until it is replaced.
    ShutDownWithoutHandover,
    /// The draining status of controllers is ignored: they own shards, and are not replaced, until they are suspected.
    IgnoreDraining,
    /// A controller whose heartbeats arrive counts as reachable, whether it receives anything or not.
    CountUnreachedPeers,
    /// The feed claims that this controller is current whether it has contact or not.
    AlwaysCurrent,
    /// The configuration is not read again while a member of its group does not answer.
    SkipReread,
    /// A replica whose disk stalls counts as able to vote.
    CountStalledDisk,
}

impl ControllerFault {
    /// Every fault, those of the parts included.
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

    /// The fault of the registers.
    pub(crate) fn register(self) -> Option<register::Fault> {
        match self {
            ControllerFault::Register(fault) => Some(fault),
            _ => None,
        }
    }

    /// The fault in what counts as contact.
    pub(crate) fn quorum_contact(self) -> Option<ContactFault> {
        match self {
            ControllerFault::QuorumContact(fault) => Some(fault),
            _ => None,
        }
    }

    /// The fault in the replacement of members.
    pub(crate) fn replacement(self) -> Option<ReplacementFault> {
        match self {
            ControllerFault::Replacement(fault) => Some(fault),
            _ => None,
        }
    }

    /// The fault in what makes an acknowledgement safe.
    pub(crate) fn acknowledgement(self) -> Option<AcknowledgementFault> {
        match self {
            ControllerFault::Acknowledgement(fault) => Some(fault),
            _ => None,
        }
    }
}
