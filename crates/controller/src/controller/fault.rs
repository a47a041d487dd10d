//! Deliberate mistakes of a controller, each of which the simulation must find. A process makes none.

use super::contact::ContactFault;
use lanegate_coordination::register;

/// A deliberate mistake of a controller.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerFault {
    /// A mistake of the registers, in all shards.
    Register(register::Fault),
    /// A mistake in what counts as contact with a majority.
    Contact(ContactFault),
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
    /// Agents are told that this controller is current whether it has contact or not.
    AlwaysCurrent,
}

impl ControllerFault {
    /// The mistake that the registers make.
    pub(super) fn of_register(self) -> Option<register::Fault> {
        match self {
            ControllerFault::Register(fault) => Some(fault),
            _ => None,
        }
    }

    /// The mistake in what counts as contact.
    pub(super) fn of_contact(self) -> Option<ContactFault> {
        match self {
            ControllerFault::Contact(fault) => Some(fault),
            _ => None,
        }
    }
}
