//! The value of the replicated register that stores the configuration, and its compare-and-set as a pure function of
//! two byte strings: the current value and a command.
//!
//! ```
//! use lanegate_config::control_state::{Command, ControlState, Method, Outcome};
//!
//! let state = ControlState::default();
//! let command = Command { method: Method::Put, if_match: Some(0), body: br#"{"Version":4}"#.to_vec() };
//! let applied = state.apply(&command);
//! assert_eq!(applied.outcome, Outcome::Taken { version: 4 });
//!
//! let state = applied.state.expect("a change that was taken makes a new state");
//! assert_eq!(state.apply(&command).outcome, Outcome::AlreadyTaken { current: 4 });
//!
//! let stale = Command { body: br#"{"Version":9}"#.to_vec(), ..command };
//! assert_eq!(state.apply(&stale).outcome, Outcome::Conflict { current: 4 });
//! ```

mod command;
mod outcome;

pub use command::{Command, Method};
pub use outcome::Outcome;

use crate::configuration::Document;
use crate::findings::Findings;
use command::RequestDigest;
use deku::{DekuContainerRead, DekuContainerWrite, DekuError, DekuRead, DekuWrite};
use thiserror::Error;

/// Number of accepted changes that are remembered, so that a repeated one is acknowledged again. They take 24 KB of
/// every version of the state. Clients repeat a change for a few seconds; at 12 changes/s this history covers 85 s.
///
/// If a state remembers fewer, no change has been dropped from its history.
pub const HISTORY_LENGTH: usize = 1_024;

/// Limit on accepted changes in an encoded state; earlier releases remembered up to this many.
const MAX_ENCODED_CHANGES: usize = 4_096;

/// Why bytes cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are not an encoded command.
    #[error("not readable as a command: {0}")]
    Command(#[source] DekuError),
    /// The bytes are not an encoded control state.
    #[error("not readable as a control state: {0}")]
    ControlState(#[source] DekuError),
    /// The bytes are not an encoded outcome.
    #[error("not readable as an outcome: {0}")]
    Outcome(#[source] DekuError),
}

/// The current configuration, and the history that is needed to answer repeated changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlState {
    version: u64,
    /// The text of the configuration; empty before the first.
    document: Vec<u8>,
    /// Accepted changes, the oldest first.
    history: Vec<AcceptedChange>,
}

/// A change that was accepted and the version that it created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct AcceptedChange {
    version: u64,
    request: RequestDigest,
}

/// An encoded state without the document, which comes last.
#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little", magic = b"LGC1")]
struct StateHead {
    version: u64,
    #[deku(assert = "*history_length as usize <= MAX_ENCODED_CHANGES")]
    history_length: u32,
    #[deku(count = "history_length")]
    history: Vec<AcceptedChange>,
}

/// The result of applying a command to a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The outcome of the command.
    pub outcome: Outcome,
    /// The state after the command; absent if nothing changed.
    pub state: Option<ControlState>,
}

impl Applied {
    fn unchanged(outcome: Outcome) -> Self {
        Applied { outcome, state: None }
    }
}

impl ControlState {
    /// The version in force, 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The text of the newest configuration; absent before the first.
    pub fn document(&self) -> Option<&[u8]> {
        (!self.document.is_empty()).then_some(&self.document)
    }

    /// The state as bytes.
    ///
    /// # Panics
    /// Never: a head has no field that cannot be written.
    pub fn encode(&self) -> Vec<u8> {
        let head = StateHead {
            version: self.version,
            history_length: self.history.len() as u32,
            history: self.history.clone(),
        };
        let mut bytes = head.to_bytes().expect("a head has no field that cannot be written");
        bytes.extend_from_slice(&self.document);
        bytes
    }

    /// Reads a state; no bytes at all are the state before the first configuration.
    ///
    /// # Errors
    /// The bytes are not an encoded control state.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.is_empty() {
            return Ok(ControlState::default());
        }
        let ((document, _), head) = StateHead::from_bytes((bytes, 0)).map_err(DecodeError::ControlState)?;
        Ok(ControlState { version: head.version, document: document.to_vec(), history: head.history })
    }

    /// Applies `command` to this state.
    ///
    /// The same state and command give the same result on every machine.
    pub fn apply(&self, command: &Command) -> Applied {
        let request = command.digest();
        if self.was_accepted(&request) || self.is_current(command) {
            return Applied::unchanged(Outcome::AlreadyTaken { current: self.version });
        }
        if let Some(finding) = self.may_have_forgotten(command) {
            return Applied::unchanged(Outcome::Unclear(finding));
        }
        match command.if_match {
            None => return Applied::unchanged(Outcome::Invalid(missing_precondition())),
            Some(version) if version != self.version => {
                return Applied::unchanged(Outcome::Conflict { current: self.version });
            }
            Some(_) => {}
        }
        match self.next_document(command) {
            Ok(document) => self.accept(request, &document),
            Err(findings) => Applied::unchanged(Outcome::Invalid(findings)),
        }
    }

    fn was_accepted(&self, request: &RequestDigest) -> bool {
        self.history.iter().rev().any(|change| change.request == *request)
    }

    /// Returns a finding if it cannot be known whether `command` was accepted before.
    ///
    /// Every accepted change created the version in its body, which is higher than the one it was based on, and no two
    /// changes created the same version. So a change to a version below all remembered ones may have been accepted and
    /// dropped from the history; any other change that is not in the history was never accepted.
    fn may_have_forgotten(&self, command: &Command) -> Option<Findings> {
        let oldest = self.history.first().filter(|_| self.history.len() >= HISTORY_LENGTH)?.version;
        let version = command.version().filter(|version| *version < oldest)?;
        let base = command.if_match.filter(|base| *base < version)?;
        let message = format!(
            "{version} on {base} is older than all remembered changes, of which the oldest made {oldest}: \
             it can't be told whether this change was taken"
        );
        Some(Findings::one("Version", message))
    }

    /// Whether `command` is a `PUT` of exactly the current configuration.
    fn is_current(&self, command: &Command) -> bool {
        command.method == Method::Put && !self.document.is_empty() && command.body == self.document
    }

    fn next_document(&self, command: &Command) -> Result<Document, Findings> {
        let document = match command.method {
            Method::Put => Document::parse(command.body.clone())?,
            Method::Patch => self.base()?.patch(&command.body)?,
        };
        let checked = document.check_follows(self.version);
        checked.map_err(|finding| Findings::one(finding.location, finding.message))?;
        Ok(document)
    }

    fn base(&self) -> Result<Document, Findings> {
        match self.document() {
            Some(document) => Document::parse(document.to_vec()),
            None => Ok(Document::empty()),
        }
    }

    fn accept(&self, request: RequestDigest, document: &Document) -> Applied {
        let version = document.version();
        let forgotten = (self.history.len() + 1).saturating_sub(HISTORY_LENGTH);
        let mut history = self.history[forgotten..].to_vec();
        history.push(AcceptedChange { version, request });
        let state = ControlState { version, document: document.serialize().to_vec(), history };
        Applied { outcome: Outcome::Taken { version }, state: Some(state) }
    }
}

fn missing_precondition() -> Findings {
    Findings::one("If-Match", "is missing; it names the version that the change builds on, 0 for the first")
}

/// The outcome of an encoded command on an encoded state, and the encoded new state, if the state changed.
///
/// # Errors
/// One of the two cannot be decoded.
pub fn apply(state: &[u8], command: &[u8]) -> Result<(Outcome, Option<Vec<u8>>), DecodeError> {
    let applied = ControlState::decode(state)?.apply(&Command::decode(command)?);
    Ok((applied.outcome, applied.state.map(|state| state.encode())))
}
