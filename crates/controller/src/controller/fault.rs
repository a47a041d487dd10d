//! Deliberate mistakes of a controller, each of which the simulation must find. A process makes none.

use crate::controller::consensus::quorum_contact::ContactFault;
use crate::controller::endpoints::registry::AcknowledgementFault;
use crate::controller::membership::replacement::ReplacementFault;
use lanegate_coordination::register;

/// A deliberate mistake of a controller.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerFault {
    /// A mistake of the registers, in all shards.
    Register(register::Fault),
    /// A mistake in what counts as contact with a majority.
    Contact(ContactFault),
    /// A mistake in the replacement of members.
    Members(ReplacementFault),
    /// A mistake in what makes an acknowledgement safe.
    EndpointRegistry(AcknowledgementFault),
    /// `GET /config` answers from what this controller knows, without asking a majority.
    ReadLocally,
    /// A change is acknowledged once it is proposed.
    AcknowledgeProposed,
    /// A drain is acknowledged before any other controller has it.
    AcknowledgeDrainAlone,
    /// A removal that another controller tells of is not passed on to agents.
    KeepRemovalsFromAgents,
    /// Orders go on after the lease has ended.
    OrderWithoutLease,
    /// A new holder does not wait until the one before has been quiet.
    SkipQuietPeriod,
    /// Every tenure acts under the same epoch.
    KeepEpoch,
    /// An epoch that the register did not give in time is not asked for again.
    GiveUpEpoch,
    /// Members of the group are forgotten once they have been cut off for long.
    ForgetMembers,
    /// Endpoints are taken off the list without contact with a majority.
    ExpireWithoutContact,
    /// Heartbeats of endpoints are acknowledged without contact with a majority.
    AcknowledgeHeartbeatAlone,
    /// A change is refused by what this controller knows, without asking a majority.
    RefuseLocally,
    /// A drain that another controller tells of is not passed on to other controllers.
    KeepDrainsFromPeers,
    /// A controller that is told to end does not wait until its place is taken.
    ShutDownWithoutHandover,
    /// What controllers say of their end is ignored: they replace members, and own shards, until they are silent.
    IgnoreDraining,
    /// A controller that is heard counts as one that acts, whether it hears anybody or not.
    CountUnreachedPeers,
    /// Agents are told that this controller is current whether it has contact or not.
    AlwaysCurrent,
}

impl ControllerFault {
    /// Every mistake, those of the parts included.
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
            Own::AcknowledgeDrainAlone,
            Own::KeepRemovalsFromAgents,
            Own::OrderWithoutLease,
            Own::SkipQuietPeriod,
            Own::KeepEpoch,
            Own::GiveUpEpoch,
            Own::ForgetMembers,
            Own::AlwaysCurrent,
        ];
        let parts = registers.map(Own::Register).into_iter().chain(contact.map(Own::Contact));
        own.into_iter().chain(parts).collect()
    }

    /// The mistake that the registers make.
    pub(crate) fn of_register(self) -> Option<register::Fault> {
        match self {
            ControllerFault::Register(fault) => Some(fault),
            _ => None,
        }
    }

    /// The mistake in what counts as contact.
    pub(crate) fn of_contact(self) -> Option<ContactFault> {
        match self {
            ControllerFault::Contact(fault) => Some(fault),
            _ => None,
        }
    }

    /// The mistake in the replacement of members.
    pub(crate) fn of_members(self) -> Option<ReplacementFault> {
        match self {
            ControllerFault::Members(fault) => Some(fault),
            _ => None,
        }
    }

    /// The mistake in what makes an acknowledgement safe.
    pub(crate) fn of_endpoints(self) -> Option<AcknowledgementFault> {
        match self {
            ControllerFault::EndpointRegistry(fault) => Some(fault),
            _ => None,
        }
    }
}
