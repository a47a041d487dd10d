//! Messages between replicas of one register.

use deku::prelude::*;

use super::ballot::Ballot;
use super::codec::{self, CodecError};
use super::node::MinimumIncarnations;
use super::value::{Value, ValueTransfer};

/// A message between replicas of one register. The transport tells who sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "big")]
pub enum Message {
    /// Phase one: asks for a promise. The sender holds the value accepted at `known`.
    #[deku(id = 1)]
    Prepare {
        /// The ballot to promise.
        ballot: Ballot,
        /// Values up to here need not be sent.
        known: Ballot,
    },
    /// Phase one: nothing below `ballot` will be accepted any more.
    #[deku(id = 2)]
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The voter's own incarnation.
        incarnation: u64,
        /// Floors the voter knows.
        minimum_incarnations: MinimumIncarnations,
        /// The ballot of the voter's accepted value.
        accepted: Ballot,
        /// That value, if newer than what the proposer said it knows.
        value: ValueTransfer,
    },
    /// Phase two: asks to accept a value.
    #[deku(id = 3)]
    Accept {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The proposed value.
        value: Value,
    },
    /// Phase two: the value of `ballot` was accepted.
    #[deku(id = 4)]
    Accepted {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The voter's own incarnation.
        incarnation: u64,
        /// Floors the voter knows.
        minimum_incarnations: MinimumIncarnations,
    },
    /// Either phase: a higher ballot was promised before.
    #[deku(id = 5)]
    Rejected {
        /// The ballot that was asked for.
        ballot: Ballot,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// The value of `ballot` is committed.
    #[deku(id = 6)]
    Committed {
        /// The ballot of the decision.
        ballot: Ballot,
        /// Its value, if the receiver may not have accepted it.
        value: ValueTransfer,
    },
    /// Quorum read: asks for the state of a replica.
    #[deku(id = 7)]
    ReadQuery {
        /// Number of the read, unique over restarts of the reader.
        request: u64,
        /// Values up to here need not be sent.
        known: Ballot,
    },
    /// Quorum read: the state of a replica as its disk holds it.
    #[deku(id = 8)]
    ReadReply {
        /// Number of the read.
        request: u64,
        /// The voter's own incarnation.
        incarnation: u64,
        /// Floors the voter knows.
        minimum_incarnations: MinimumIncarnations,
        /// The highest promise.
        promised: Ballot,
        /// The ballot of the accepted value.
        accepted: Ballot,
        /// That value, if newer than what the reader said it knows.
        value: ValueTransfer,
    },
    /// Asks for a committed value newer than this one.
    #[deku(id = 9)]
    PollCommitted {
        /// The ballot of the newest committed value the sender knows.
        committed: Ballot,
        /// Whether the sender knows any.
        known: bool,
    },
    /// Recovery: a replica with an empty disk registers an incarnation; zero only asks.
    #[deku(id = 10)]
    RegisterIncarnation {
        /// Chance drawn at the start of the recovering process.
        nonce: u64,
        /// The incarnation to register, or zero.
        incarnation: u64,
    },
    /// Recovery: what the replica knows, after the registration was made durable.
    #[deku(id = 11)]
    IncarnationRegistered {
        /// As in the request.
        nonce: u64,
        /// As in the request.
        requested: u64,
        /// The answering replica's own incarnation.
        incarnation: u64,
        /// Floors it knows, the recovering replica's among them.
        minimum_incarnations: MinimumIncarnations,
        /// Its highest promise.
        promised: Ballot,
        /// The ballot of its accepted value.
        accepted: Ballot,
        /// That value.
        value: Value,
    },
}

impl Message {
    /// Whether the sender has come to what was sent to it last, or asks for what it did not get.
    pub(super) const fn is_answer(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Rejected { .. } | Self::PollCommitted { .. })
    }

    /// The binary form.
    ///
    /// # Errors
    /// If the state is longer than a length field can say.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        Ok(self.to_bytes()?)
    }

    /// Reads the binary form.
    ///
    /// # Errors
    /// If the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes)
    }
}
