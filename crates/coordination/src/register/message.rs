//! Messages between replicas of one register.

use deku::prelude::*;

use super::ballot::Ballot;
use super::codec::{self, CodecError};
use super::incarnation::Voter;
use super::value::{Value, ValueTransfer};

/// A message between replicas of one register. The transport identifies the sender.
#[derive(Debug, Clone, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "big")]
pub enum Message {
    /// Phase one: requests a promise. The sender has the value of the ballot `known`.
    #[deku(id = 1)]
    Prepare {
        /// The ballot to promise.
        ballot: Ballot,
        /// Values up to this ballot need not be sent.
        known: Ballot,
    },
    /// Phase one: the sender accepts nothing below `ballot` from now on.
    #[deku(id = 2)]
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The voter.
        voter: Voter,
        /// The ballot of the voter's accepted value.
        accepted: Ballot,
        /// That value, if newer than `known` of the request.
        value: ValueTransfer,
    },
    /// Phase two: requests the acceptance of a value.
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
        /// The voter.
        voter: Voter,
    },
    /// Either phase: a higher ballot was promised before.
    #[deku(id = 5)]
    Rejected {
        /// The ballot of the request.
        ballot: Ballot,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// The value of `ballot` is committed.
    #[deku(id = 6)]
    Committed {
        /// The ballot of the commit.
        ballot: Ballot,
        /// Its value; omitted if the receiver is expected to have accepted it.
        value: ValueTransfer,
    },
    /// Quorum read: requests the state of a replica.
    #[deku(id = 7)]
    ReadQuery {
        /// Number of the read, unique over restarts of the reader.
        request: u64,
        /// Values up to this ballot need not be sent.
        known: Ballot,
    },
    /// Quorum read: the state of a replica as its disk holds it.
    #[deku(id = 8)]
    ReadReply {
        /// Number of the read.
        request: u64,
        /// The voter.
        voter: Voter,
        /// The highest promise.
        promised: Ballot,
        /// The ballot of the accepted value.
        accepted: Ballot,
        /// That value, if newer than `known` of the request.
        value: ValueTransfer,
    },
    /// Polls for a committed value newer than this one.
    #[deku(id = 9)]
    PollCommitted {
        /// The ballot of the newest committed value the sender knows.
        committed: Ballot,
        /// Whether the sender knows any.
        known: bool,
    },
    /// Recovery: a replica with an empty disk registers an incarnation; zero only queries the highest one known.
    #[deku(id = 10)]
    RegisterIncarnation {
        /// Random number drawn at the start of the recovering process.
        nonce: u64,
        /// The incarnation to register, or zero.
        incarnation: u64,
    },
    /// Recovery: the state of the responding replica, once the registration is durable.
    #[deku(id = 11)]
    IncarnationRegistered {
        /// As in the request.
        nonce: u64,
        /// As in the request.
        requested: u64,
        /// The responding replica, which knows the registered incarnation.
        voter: Voter,
        /// Its highest promise.
        promised: Ballot,
        /// The ballot of its accepted value.
        accepted: Ballot,
        /// That value.
        value: Value,
    },
}

impl Message {
    /// Whether this message shows that its sender has processed the last value sent to it, or requests a value that
    /// it did not receive.
    pub(super) const fn is_answer(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Rejected { .. } | Self::PollCommitted { .. })
    }

    /// Encodes the message.
    ///
    /// # Errors
    /// If the state is longer than its 32-bit length field allows.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        Ok(self.to_bytes()?)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes)
    }
}
