//! Replicated registers, without a log or a leader.
//!
//! A register holds one value that is replaced by compare-and-set, agreed on by a group of replicas with
//! `CASPaxos` (Rystsov, 2018): any replica may propose; a change needs one round trip to a majority if the proposer
//! made the last change, two otherwise. A [`Replica`] does no input or output: the caller passes [`Input`]s to it and
//! carries out its [`Output`]s.
//!
//! ```
//! use std::time::Duration;
//! use lanegate_coordination::register::{Applied, Input, Output, Outcome, Replica, Settings, StateMachine};
//!
//! struct Append;
//! impl StateMachine for Append {
//!     fn apply(&self, current: &[u8], command: &[u8]) -> Applied {
//!         Applied::Changed { state: [current, command].concat(), answer: Vec::new() }
//!     }
//! }
//!
//! let node = "10.0.0.1:8146".parse().unwrap();
//! let settings = Settings { bootstrap: true, ..Settings::new(node, vec![node]) };
//! let mut replica = Replica::new(settings, Box::new(Append), None, Duration::ZERO, 7);
//! let deadline = Duration::from_secs(4);
//! replica.handle(Duration::ZERO, Input::Propose { request: 1, command: b"x".to_vec(), deadline });
//! let mut changed = false;
//! while let Some(output) = replica.poll_output() {
//!     match output {
//!         // Pass `record.encode()` to the disk thread; notify the replica when it is durable.
//!         Output::Persist { token, .. } => replica.handle(Duration::ZERO, Input::Persisted { token }),
//!         // Pass `message.encode()` to the transport.
//!         Output::Send { .. } => {}
//!         Output::Done { request: 1, outcome: Outcome::Changed { revision, .. } } => changed = revision == 1,
//!         Output::Done { .. } | Output::Committed { .. } => {}
//!     }
//! }
//! assert!(changed);
//! // Then wait for messages, disk and requests, or until `replica.next_wake()` and `Input::Tick`.
//! ```
//!
//! # Ballots
//!
//! A [`Ballot`] is unique by its counter, its node and a random number drawn at each start of the process, so a restart
//! cannot repeat one. A proposer that has got promises for a ballot increments its `step` for every further value
//! and needs no new promises: no other ballot lies between two steps. It proposes the next step only when
//! the value of the last one is committed.
//!
//! # Groups
//!
//! The value names the groups in force. A change of members first has a joint value committed, with the old and
//! the new group, then one with the new group alone. A value is accepted by a majority of every group in force
//! before and after it; promises are collected from the groups the proposer knows and from those of the newest
//! value that the promises contain, until no further group appears. A change of groups is only proposed on a value
//! that its proposer knows to be committed. So a majority of each group has seen the change that replaced it, and a
//! proposer that starts from an old group always finds the newest one.
//!
//! # Lost disks
//!
//! A replica whose disk is empty, and which is not a bootstrap member, must not vote: it has lost promises
//! and accepted values that others rely on. Each run of a node with one disk is an incarnation. A replica with an
//! empty disk queries the highest incarnation that others know of it, then registers a higher one with enough
//! others ([`Group::recovery_quorum`]: f+1 of 2f+1) that are not recovering themselves. These respond, once the
//! registration is durable, with their promise, their accepted value and all registered incarnations. The replica
//! takes the highest promise and the newest accepted value. To all others it is then equivalent to a replica that
//! never lost its disk:
//!
//! - Let a quorum contain a vote of the lost incarnation for a ballot `b`. Its other voters and those that
//!   registered the new incarnation overlap: some replica did both. If it voted first, the recovered replica
//!   learned of the promise or value of `b` from it. If it registered first, its vote names the new incarnation,
//!   and the proposer discards the vote of the lost incarnation, in either phase. So either the quorum does not
//!   count the lost vote, or the recovered replica knows the promise or value of `b`.
//! - With several replicas recovering at once the same holds among those that are not: recovering replicas do not
//!   answer registrations, and no more than f can recover together, as f+1 responses are needed from others. If
//!   more have empty disks, they wait, and [`Replica::status`] shows how many responses they have and need.
//! - Two registrations of one node overlap in a replica, so a later incarnation is higher than any that voted.
//!   What a replica knew of incarnations survives the loss of its own disk in the same way.
//! - A recovered replica may hold a value below its promise for which it never voted. A quorum read therefore
//!   takes a value for committed only from replicas that promised nothing higher; otherwise it has the value
//!   accepted again.
//!
//! The disk of a new node is empty too: it recovers in the same way before it becomes a member.
//!
//! # Commands
//!
//! A preempted proposal may still take effect later, through another proposer. Each value contains the latest
//! changes, so that a proposer applies a command again only if its earlier attempt certainly has no effect; if
//! that is no longer known the outcome is [`Outcome::Timeout`]. A command that would change nothing is answered
//! by a quorum read alone.
//!
//! # Files
//!
//! [`Replica`] (`replica/`) routes inputs to the parts: `acceptor` votes, `proposer/` runs rounds, `reader` runs
//! quorum reads, `recovery` restores the state of a lost disk, `catch_up` and `anti_entropy` fetch committed values.
//! They share a `context`; `quorum` counts votes. The other files are the data: ballots, values, messages, records.

mod acceptor;
mod anti_entropy;
mod ballot;
mod catch_up;
mod codec;
mod context;
mod event;
mod fault;
mod group;
mod incarnation;
mod message;
mod node;
mod proposer;
mod quorum;
mod reader;
mod record;
mod recovery;
mod replica;
mod retry;
mod settings;
mod state_machine;
mod task;
mod value;

pub use ballot::Ballot;
pub use codec::{CodecError, MAX_STATE_BYTES};
pub use event::{Input, Outcome, Output, Status};
pub use fault::Fault;
pub use group::Group;
pub use incarnation::{MinimumIncarnation, MinimumIncarnations, Voter};
pub use message::Message;
pub use node::Node;
pub use record::Record;
pub use replica::Replica;
pub use settings::Settings;
pub use state_machine::{Applied, StateMachine};
pub use value::{Change, ChangeId, Value, ValueTransfer};
