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
//!         Output::Done { .. } | Output::Learned { .. } => {}
//!     }
//! }
//! assert!(changed);
//! // Then wait for messages, disk and requests, or until `replica.next_wake()` and `Input::Tick`.
//! ```

mod acceptor;
mod ballot;
mod batch;
mod codec;
mod core;
mod event;
mod message;
mod node;
mod proposer;
mod quorum;
mod reader;
mod record;
mod recovery;
mod replica;
mod settings;
mod value;

pub use ballot::Ballot;
pub use codec::{CodecError, MAX_STATE_BYTES};
pub use event::{Applied, Input, Outcome, Output, StateMachine, Status};
pub use message::Message;
pub use node::{Floor, Floors, Node};
pub use record::Record;
pub use replica::Replica;
pub use settings::{Fault, Settings};
pub use value::{Carried, Change, ChangeId, Group, Value};
