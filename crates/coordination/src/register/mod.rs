//! Replicated registers without log or leader.
//!
//! A register holds one value that is replaced by compare-and-set, agreed on by a group of replicas with
//! `CASPaxos`: any replica may propose; a change needs one round trip to a majority if the proposer made the
//! last change, two otherwise. A [`Replica`] does no input or output: [`Input`]s go in, [`Output`]s come out.
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
//!         // Hand `record.encode()` to the disk thread; tell the replica when it is durable.
//!         Output::Persist { token, .. } => replica.handle(Duration::ZERO, Input::Persisted { token }),
//!         // Hand `message.encode()` to the transport.
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
//! A [`Ballot`] is unique by its counter, its node and chance drawn at each start of the process, so a restart
//! cannot repeat one. A proposer that got promises for a ballot counts its `step` up for every further value
//! and needs no promises again: no other ballot lies between two steps. It proposes the next step only when
//! the value of the last one is committed.
//!
//! # Groups
//!
//! The value names the groups in force. A change of members first has a joint value committed, with the old and
//! the new group, then one with the new group alone. A value is accepted by a majority of every group in force
//! before and after it; promises are collected from the groups the proposer knows and from those of the newest
//! value the promises reveal, until nothing new turns up. A change of groups is only proposed on a value that
//! its proposer knows to be committed. So each group's majority has seen the change that replaced it, and whoever
//! starts from an old group is led to the newest.
//!
//! # Lost disks
//!
//! A replica whose disk is empty, and which does not found the group, must not vote: it forgot promises and
//! accepted values that others rely on. Each life of a node with a disk has an incarnation. An empty replica
//! asks for the highest one known, registers a higher one with enough others ([`Group::recovery_quorum`]: f+1
//! of 2f+1) that do not recover themselves, and these answer, once the registration is durable, with their
//! promise, their accepted value and all registered incarnations. It takes the highest promise and the newest
//! accepted value, and is then the same as a replica that never lost its disk, as far as anyone can tell:
//!
//! - Let a quorum contain a vote of the lost life for a ballot `b`. Its other voters and those that registered
//!   the new incarnation overlap: some replica did both. If it voted first, the recovered replica learned of
//!   the promise or value of `b` from it. If it registered first, its vote names the new incarnation, and the
//!   proposer discards the vote of the lost life, in either phase. So no quorum both counts a forgotten vote
//!   and is unknown to the recovered replica.
//! - With several replicas recovering at once the same holds among those that do not: they do not answer
//!   registrations, and no more than f can recover together, as f+1 answers are needed from others. If more
//!   are empty, they wait, and [`Replica::status`] tells for how many answers.
//! - Two registrations of one node overlap in a replica, so a later life gets a higher incarnation than any
//!   life that voted. What a replica knew of incarnations outlasts its own lost disk in the same way.
//! - A recovered replica may hold a value below its promise for which it never voted. A quorum read therefore
//!   takes a value for committed only from replicas that promised nothing higher; otherwise it has the value
//!   accepted again.
//!
//! A new node is empty too and goes the same way before it is made a member.
//!
//! # Commands
//!
//! A preempted proposal may still take effect later, through another proposer. Each value remembers the latest
//! changes, so that a proposer applies a command again only if its earlier try has surely no effect; if that
//! can no longer be told the answer is [`Outcome::Timeout`]. A command that would change nothing is answered by
//! a quorum read alone.

mod acceptor;
mod anti_entropy;
mod ballot;
mod catch_up;
mod codec;
mod context;
mod event;
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
mod task;
mod value;

pub use ballot::Ballot;
pub use codec::{CodecError, MAX_STATE_BYTES};
pub use event::{Applied, Input, Outcome, Output, StateMachine, Status};
pub use message::Message;
pub use node::{MinimumIncarnation, MinimumIncarnations, Node};
pub use record::Record;
pub use replica::Replica;
pub use settings::{Fault, Settings};
pub use value::{Change, ChangeId, Group, Value, ValueTransfer};
