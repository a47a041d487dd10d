//! Messages between lanegate's processes: controllers among themselves, agents to controllers, and routers to their
//! agent. Each frame is one message: its length in bytes (u32, little endian), then the encoded message.

use deku::prelude::*;

/// Largest frame that is read; a configuration with its history is far below.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Most heartbeats in one message. Room for a list is set aside by the length that stands before it, so
/// damaged bytes must not name any length.
pub const MAX_BATCHED_HEARTBEATS: u32 = 100_000;

/// Most parts of a difference, for the same reason.
pub const MAX_DELTA_PARTS: u32 = 1_000_000;

/// Bytes, as many as a frame holds.
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
    /// The bytes as text; what is no UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }
}

/// Who opens a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum Role {
    /// A controller, to a peer.
    #[deku(id = 1)]
    Controller,
    /// An agent, to a controller.
    #[deku(id = 2)]
    Agent,
    /// A router, to its agent.
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
    /// Source of the feed that the subscriber has followed so far, 0 for none.
    pub source: u64,
    /// Offset from which it would go on.
    pub offset: u64,
}

/// A message of one shard's register to another replica.
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

/// An incarnation that is removed as of a sequence.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Removed {
    /// Id of the incarnation.
    pub id: Blob,
    /// Registrations up to this sequence are void; `u64::MAX` for a deregistration.
    pub sequence: u64,
}

/// One heartbeat that changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct BatchedHeartbeat {
    /// Id of the incarnation.
    pub id: Blob,
    /// Sequence of the heartbeat.
    pub sequence: u64,
}

/// Heartbeats since the last such message that changed nothing in the registration.
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
    /// The configuration as JSON; empty while none was taken.
    pub document: Blob,
}

/// Names the bytes of one configuration.
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
    /// Bytes of the older document.
    #[deku(id = 1)]
    Copied {
        /// Position in the older document, bytes.
        offset: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Bytes that are not copied.
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
    /// Bytes of the parts on the wire.
    pub fn size(&self) -> usize {
        let size = |part: &DeltaPart| match part {
            DeltaPart::Copied { .. } => 9,
            DeltaPart::Inserted(text) => 5 + text.bytes.len(),
        };
        4 + self.parts.iter().map(size).sum::<usize>()
    }
}

/// A configuration as the delta to an older one.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ConfigurationDelta {
    /// Digest of the older document.
    pub base: u64,
    /// What the parts make.
    pub version: ConfigurationVersion,
    /// The parts that make the document.
    pub parts: DeltaParts,
}

/// A feed's heartbeat; reports whether the sender may be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct FeedHeartbeat {
    /// 1 while the sender reaches more than half of its replica group.
    pub quorum: u8,
    /// Position of the subscriber once it has applied everything before.
    pub source: u64,
    /// Offset in the journal of `source`.
    pub offset: u64,
    /// Live routers.
    pub routers: u32,
}

/// Controllers that the sender knows, as control addresses separated by spaces.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Controllers {
    /// The addresses.
    pub addresses: Blob,
}

/// A change of the operator, handed to the owner of the configuration's shard, or its outcome handed back.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Forwarded {
    /// Number that the asking controller gave it.
    pub request: u64,
    /// The encoded command or outcome.
    pub body: Blob,
}

/// A number that asks for, or gives, an acknowledgement.
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

/// The sender has all that was sent before a [`Message::Flush`], and knows of these groups.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Confirmation {
    /// Number of the flush that is confirmed.
    pub token: u64,
    /// Revision of the newest value of the configuration's shard that the sender has accepted.
    pub revision: u64,
    #[deku(update = "self.groups.len()")]
    count: u8,
    /// The groups that this value names: one, or two while members change.
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
    /// A bit for each shard whose replica can vote.
    pub voting: u32,
    /// 1 once the process has been asked to end.
    pub draining: u8,
}

/// A change of an endpoint's resident models that a placer knows before the endpoint's next heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ResidencyUpdate {
    /// Id of the incarnation.
    pub id: Blob,
    /// Name of the model.
    pub model: Blob,
    /// Empty for the model itself.
    pub adapter: Blob,
    /// 1 if the model is resident from now on, 0 if the endpoint is about to drop it.
    pub present: u8,
    /// Sequence of the endpoint's newest heartbeat that its publisher knew: a later registration counts more.
    pub sequence: u64,
    /// Counts what was published of one registration; the higher one counts.
    pub order: u64,
}

/// The demand that a router saw.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct RouterDemand {
    /// `NodeName` of the router.
    pub router: Blob,
    /// A `DemandReport` as JSON.
    pub report: Blob,
    /// Time since the router sent it, ms.
    pub age_ms: u32,
}

/// Every message.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Message {
    /// The first message on a link.
    #[deku(id = 1)]
    Hello(Hello),
    /// The snapshot begins: what the receiver knows of this sender and is not in the snapshot is removed.
    #[deku(id = 2)]
    SnapshotBegin,
    /// The snapshot ends: `complete` is 1 if the registry of the sender is complete.
    #[deku(id = 3)]
    SnapshotEnd {
        /// 1 if the registry of the sender is complete.
        complete: u8,
    },
    /// A complete configuration.
    #[deku(id = 4)]
    CommittedConfiguration(CommittedConfiguration),
    /// A registration, or a newer state of it.
    #[deku(id = 5)]
    Registered(Registered),
    /// The removal of an incarnation.
    #[deku(id = 6)]
    Removed(Removed),
    /// Heartbeats that changed nothing.
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
    /// Asks the receiver to acknowledge all that was sent before.
    #[deku(id = 14)]
    Flush(Token),
    /// The answer to a flush.
    #[deku(id = 15)]
    Flushed(Confirmation),
    /// A demand report of a router.
    #[deku(id = 16)]
    Demand(RouterDemand),
    /// A controller's heartbeat to another, as the membership writes it.
    #[deku(id = 17)]
    Heartbeat {
        /// The encoded heartbeat.
        body: Blob,
    },
    /// A change of resident models.
    #[deku(id = 18)]
    ResidencyUpdate(ResidencyUpdate),
    /// A heartbeat of the receiver, sent back by a controller that it reached.
    #[deku(id = 19)]
    HeartbeatEcho {
        /// The heartbeat as it was received.
        body: Blob,
    },
    /// The newest configuration that the sender has and can be asked for.
    #[deku(id = 20)]
    ConfigurationAnnounced(ConfigurationVersion),
    /// Asks for the newest configuration; names the one that the sender has.
    #[deku(id = 21)]
    ConfigurationFetch(ConfigurationVersion),
    /// A configuration as a delta.
    #[deku(id = 22)]
    ConfigurationDelta(ConfigurationDelta),
    /// A configuration that the sender knows to exist and does not have yet.
    #[deku(id = 23)]
    ConfigurationKnown(ConfigurationVersion),
    /// The status of a controller.
    #[deku(id = 24)]
    MemberStatus(MemberStatus),
}

impl Message {
    /// The message as one frame, its length first.
    ///
    /// # Panics
    /// Never: every message that can be built can be encoded.
    pub fn frame(&self) -> bytes::Bytes {
        let body = self.to_bytes().expect("messages hold nothing that cannot be encoded");
        let mut frame = Vec::with_capacity(4 + body.len());
        frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
        frame.extend_from_slice(&body);
        frame.into()
    }

    /// Reads the body of one frame; bytes left over are an error.
    ///
    /// # Errors
    /// If the bytes are no message, or more than one.
    pub fn decode(body: &[u8]) -> Result<Message, MessageError> {
        let ((rest, _), message) = Message::from_bytes((body, 0))?;
        if rest.is_empty() { Ok(message) } else { Err(MessageError::Trailing(rest.len())) }
    }
}

/// A frame that is no message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The bytes are no message.
    #[error("not a message: {0}")]
    Unreadable(#[from] DekuError),
    /// So many bytes follow the message.
    #[error("{0} bytes behind the message")]
    Trailing(usize),
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// Nothing arrived in time.
    #[error("silent for too long")]
    Timeout,
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] std::io::Error),
}
