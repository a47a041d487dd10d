//! Messages between lanegate processes: between controllers, between agents and controllers, and between routers and
//! their agent. Each frame carries one message: its length in bytes (u32, little endian), then the encoded message.

use deku::prelude::*;

/// Maximum length of a frame that is read. A configuration with its history is far smaller.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of heartbeats in one message. Decoding reserves memory for a list by the length that precedes it, so
/// the length has to be limited in case of corrupt bytes.
pub const MAX_BATCHED_HEARTBEATS: u32 = 100_000;

/// Maximum number of parts of a delta, for the same reason as [`MAX_BATCHED_HEARTBEATS`].
pub const MAX_DELTA_PARTS: u32 = 1_000_000;

/// A byte string with its length, of at most the size of a frame.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Blob {
    #[deku(update = "self.bytes.len()", assert = "*length as usize <= MAX_FRAME_BYTES")]
    length: u32,
    /// The bytes.
    #[deku(count = "length")]
    pub bytes: Vec<u8>,
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Blob { length: bytes.len() as u32, bytes }
    }
}

impl From<&str> for Blob {
    fn from(text: &str) -> Self {
        text.as_bytes().to_vec().into()
    }
}

impl Blob {
    /// The bytes as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }
}

/// Who opens a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum Role {
    /// A controller that connects to a peer.
    #[deku(id = 1)]
    Controller,
    /// An agent that connects to a controller.
    #[deku(id = 2)]
    Agent,
    /// A router that connects to its agent.
    #[deku(id = 3)]
    Router,
}

/// First message on every link.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Hello {
    /// Who opens the link.
    pub role: Role,
    /// `NodeName` of the process.
    pub name: Blob,
    /// Control address (`ip:port`) of a controller; empty for others.
    pub control_address: Blob,
    /// Drawn at random at each start of the process.
    pub incarnation: u64,
    /// Incarnation of the feed that the subscriber has followed so far, 0 for none.
    pub source: u64,
    /// Offset in that feed from which the subscriber can resume.
    pub offset: u64,
}

/// An encoded message of a shard's register, or an encoded lease message, whose `shard` is always 0.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ShardMessage {
    /// The shard.
    pub shard: u8,
    /// The encoded message.
    pub body: Blob,
}

/// The newest registration of an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Registered {
    /// Id of the incarnation.
    pub id: Blob,
    /// Sequence of its newest heartbeat.
    pub sequence: u64,
    /// The registration as JSON, as the endpoint sent it.
    pub body: Blob,
}

/// The removal of an incarnation, as of a sequence.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Removed {
    /// Id of the incarnation.
    pub id: Blob,
    /// Registrations with a sequence up to this one are void; `u64::MAX` for a deregistration.
    pub sequence: u64,
}

/// A heartbeat that did not change the registration.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct BatchedHeartbeat {
    /// Id of the incarnation.
    pub id: Blob,
    /// Sequence of the heartbeat.
    pub sequence: u64,
}

/// Heartbeats since the last such message that did not change their registration.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct HeartbeatBatch {
    #[deku(update = "self.heartbeats.len()", assert = "*length <= MAX_BATCHED_HEARTBEATS")]
    length: u32,
    /// The heartbeats.
    #[deku(count = "length")]
    pub heartbeats: Vec<BatchedHeartbeat>,
}

impl From<Vec<BatchedHeartbeat>> for HeartbeatBatch {
    fn from(heartbeats: Vec<BatchedHeartbeat>) -> Self {
        HeartbeatBatch { length: heartbeats.len() as u32, heartbeats }
    }
}

/// A committed configuration.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct CommittedConfiguration {
    /// Revision of the register, which orders configurations.
    pub revision: u64,
    /// The configuration as JSON; empty if none has been committed.
    pub document: Blob,
}

/// Identifies the bytes of one configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ConfigurationVersion {
    /// Revision of the register.
    pub revision: u64,
    /// Digest of the document.
    pub digest: u64,
}

/// A part of a delta.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum DeltaPart {
    /// Bytes copied from the older document.
    #[deku(id = 1)]
    Copied {
        /// Position in the older document, bytes.
        offset: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Bytes that are not in the older document.
    #[deku(id = 2)]
    Inserted(Blob),
}

/// The parts of a document, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct DeltaParts {
    #[deku(update = "self.parts.len()", assert = "*length <= MAX_DELTA_PARTS")]
    length: u32,
    /// The parts.
    #[deku(count = "length")]
    pub parts: Vec<DeltaPart>,
}

impl From<Vec<DeltaPart>> for DeltaParts {
    fn from(parts: Vec<DeltaPart>) -> Self {
        DeltaParts { length: parts.len() as u32, parts }
    }
}

impl DeltaParts {
    /// Encoded size of the parts, in bytes.
    pub fn size(&self) -> usize {
        let size = |part: &DeltaPart| match part {
            DeltaPart::Copied { .. } => 9,
            DeltaPart::Inserted(text) => 5 + text.bytes.len(),
        };
        4 + self.parts.iter().map(size).sum::<usize>()
    }
}

/// A configuration as a delta against an older one.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ConfigurationDelta {
    /// Digest of the older document.
    pub base: u64,
    /// The version that results from applying the parts.
    pub version: ConfigurationVersion,
    /// The parts of the resulting document.
    pub parts: DeltaParts,
}

/// The heartbeat of a feed, which reports whether the sender may be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct FeedHeartbeat {
    /// 1 while subscribers may rely on the sender. From a controller: its configuration is current and it is not
    /// draining. From an agent: it follows at least one trusted source.
    pub quorum: u8,
    /// Incarnation of the feed. With `offset`, the position of the subscriber after all earlier messages.
    pub source: u64,
    /// Offset in the journal of `source`.
    pub offset: u64,
    /// Number of live routers, 0 while it is not known.
    pub routers: u32,
}

/// Controllers that the sender knows, as control addresses separated by spaces. Words that are no addresses are skipped;
/// `zone=NAME` and `region=NAME` name the location of the sender, if it is a controller.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Controllers {
    /// The addresses.
    pub addresses: Blob,
}

/// A configuration change that is forwarded to the owner of the configuration's shard, or its outcome.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Forwarded {
    /// Number of the change at the controller that forwarded it.
    pub request: u64,
    /// The encoded command or outcome.
    pub body: Blob,
}

/// The number of a flush.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Token {
    /// The number.
    pub token: u64,
}

/// One group of members, as control addresses separated by spaces.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct GroupMembers {
    /// The addresses.
    pub addresses: Blob,
}

/// Confirms that the sender has received everything before a [`Message::Flush`]; includes the groups that it knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Confirmation {
    /// Number of the flush that is confirmed.
    pub token: u64,
    /// Revision of the newest value of the configuration's shard that the sender has accepted.
    pub revision: u64,
    #[deku(update = "self.groups.len()")]
    count: u8,
    /// The groups that this value names: one, or two during a membership change.
    #[deku(count = "count")]
    pub groups: Vec<GroupMembers>,
}

impl Confirmation {
    /// Confirms the flush `token`.
    pub fn new(token: u64, revision: u64, groups: Vec<GroupMembers>) -> Self {
        Confirmation { token, revision, count: groups.len() as u8, groups }
    }
}

/// The status that a controller reports to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct MemberStatus {
    /// Drawn at random at each start of the process.
    pub incarnation: u64,
    /// Bit mask of the shards whose replica can vote.
    pub voting: u32,
    /// 1 once the process has been asked to shut down.
    pub draining: u8,
}

/// A change of an endpoint's resident models that a placer publishes ahead of the endpoint's next heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ResidencyUpdate {
    /// Id of the incarnation.
    pub id: Blob,
    /// Name of the model.
    pub model: Blob,
    /// Name of the adapter; empty for the model itself.
    pub adapter: Blob,
    /// 1 if the model is resident from now on, 0 if the endpoint is about to evict it.
    pub present: u8,
    /// Sequence of the newest heartbeat that the publisher knew; a later registration with other contents supersedes
    /// the update.
    pub sequence: u64,
    /// Number of the update among those for one registration; the higher one supersedes the others.
    pub order: u64,
}

/// A demand report of a router.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct RouterDemand {
    /// `NodeName` of the router.
    pub router: Blob,
    /// A `DemandReport` as JSON.
    pub report: Blob,
    /// Time since the router sent it, in milliseconds.
    pub age_ms: u32,
}

/// A message on a link.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Message {
    /// The first message on a link.
    #[deku(id = 1)]
    Hello(Hello),
    /// Start of a snapshot, which replaces everything that the receiver has from this sender.
    #[deku(id = 2)]
    SnapshotBegin,
    /// End of a snapshot.
    #[deku(id = 3)]
    SnapshotEnd {
        /// 1 if the registry of the sender is complete.
        complete: u8,
    },
    /// A complete configuration.
    #[deku(id = 4)]
    CommittedConfiguration(CommittedConfiguration),
    /// A new or changed registration.
    #[deku(id = 5)]
    Registered(Registered),
    /// The removal of an incarnation.
    #[deku(id = 6)]
    Removed(Removed),
    /// Heartbeats that did not change their registration.
    #[deku(id = 7)]
    HeartbeatBatch(HeartbeatBatch),
    /// The heartbeat of a feed.
    #[deku(id = 8)]
    FeedHeartbeat(FeedHeartbeat),
    /// Controllers that the sender knows.
    #[deku(id = 9)]
    Controllers(Controllers),
    /// A message of the register of a shard.
    #[deku(id = 10)]
    Register(ShardMessage),
    /// A message about the lease of a shard.
    #[deku(id = 11)]
    Lease(ShardMessage),
    /// A forwarded change of the configuration.
    #[deku(id = 12)]
    Change(Forwarded),
    /// The outcome of a forwarded change.
    #[deku(id = 13)]
    ChangeOutcome(Forwarded),
    /// Asks the receiver to confirm everything that was sent before.
    #[deku(id = 14)]
    Flush(Token),
    /// The answer to a flush.
    #[deku(id = 15)]
    Flushed(Confirmation),
    /// A demand report of a router.
    #[deku(id = 16)]
    Demand(RouterDemand),
    /// A heartbeat between controllers, as the failure detector encodes it.
    #[deku(id = 17)]
    Heartbeat {
        /// The encoded heartbeat.
        body: Blob,
    },
    /// A change of resident models.
    #[deku(id = 18)]
    ResidencyUpdate(ResidencyUpdate),
    /// A heartbeat of the receiver, echoed by the controller that it was sent to.
    #[deku(id = 19)]
    HeartbeatEcho {
        /// The heartbeat as it was received.
        body: Blob,
    },
    /// The newest configuration that can be fetched from the sender.
    #[deku(id = 20)]
    ConfigurationAnnounced(ConfigurationVersion),
    /// Requests the newest configuration; contains the version that the sender has.
    #[deku(id = 21)]
    ConfigurationFetch(ConfigurationVersion),
    /// A configuration as a delta.
    #[deku(id = 22)]
    ConfigurationDelta(ConfigurationDelta),
    /// A configuration that the sender knows to exist but does not have yet.
    #[deku(id = 23)]
    ConfigurationKnown(ConfigurationVersion),
    /// The status of a controller.
    #[deku(id = 24)]
    MemberStatus(MemberStatus),
}

impl Message {
    /// Encodes the message as one frame, including the length.
    ///
    /// # Panics
    /// Never: every message that can be built can be encoded.
    pub fn frame(&self) -> bytes::Bytes {
        let body = self.to_bytes().expect("every message can be encoded");
        let mut frame = Vec::with_capacity(4 + body.len());
        frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
        frame.extend_from_slice(&body);
        frame.into()
    }

    /// Decodes the body of one frame.
    ///
    /// # Errors
    /// If the bytes are not a valid message, or further bytes follow it.
    pub fn decode(body: &[u8]) -> Result<Message, MessageError> {
        let ((rest, _), message) = Message::from_bytes((body, 0))?;
        if rest.is_empty() { Ok(message) } else { Err(MessageError::Trailing(rest.len())) }
    }
}

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The bytes are not a valid message.
    #[error("message not decoded: {0}")]
    Unreadable(#[from] DekuError),
    /// This number of bytes follows the message.
    #[error("{0} trailing bytes after the message")]
    Trailing(usize),
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame too long: {0} bytes")]
    TooLong(usize),
    /// Nothing arrived in time.
    #[error("no message received before the time-out")]
    Timeout,
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] std::io::Error),
}
