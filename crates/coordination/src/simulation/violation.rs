//! The rules that a simulation checks; each has an error that reports its violation.

use thiserror::Error;

use super::step::MachineIndex;

/// A rule that was violated.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two values were committed for one revision.
    #[error("revision {0} has two values")]
    TwoValues(u64),
    /// A value does not build on the one before.
    #[error("the value of revision {later} does not build on that of {earlier}")]
    NotBuiltOn {
        /// The revision before.
        earlier: u64,
        /// The revision after.
        later: u64,
    },
    /// The list contains a number twice.
    #[error("number {0} took effect twice")]
    AppliedTwice(u32),
    /// The list contains a number whose request expired before it was proposed.
    #[error("number {0} took effect after it had expired")]
    ExpiredTookEffect(u32),
    /// The list does not contain a number that was acknowledged.
    #[error("number {0}, acknowledged at revision {1}, is missing")]
    LostChange(u32, u64),
    /// An answer is older than one given before the request.
    #[error("request {request} was answered from revision {answered} after {acknowledged} was acknowledged")]
    StaleAnswer {
        /// The request.
        request: u64,
        /// Its revision.
        answered: u64,
        /// The newest revision acknowledged before.
        acknowledged: u64,
    },
    /// A replica learned an older value than before.
    #[error("machine {machine} learned revision {to} after {from}")]
    Regression {
        /// The machine.
        machine: MachineIndex,
        /// Learned before.
        from: u64,
        /// Learned after.
        to: u64,
    },
    /// A request was answered twice, or was never made.
    #[error("request {0} was answered twice, or was never made")]
    UnexpectedAnswer(u64),
    /// The record on disk cannot be read.
    #[error("machine {0} has an unreadable record")]
    UnreadableRecord(MachineIndex),
    /// A message cannot be encoded or decoded.
    #[error("machine {0} sent an unreadable message")]
    UnreadableMessage(MachineIndex),
    /// A machine does not serve although all faults have ended.
    #[error("machine {0} does not serve although all faults have ended")]
    Unavailable(MachineIndex),
    /// An expectation of the scenario was not met.
    #[error("step {step}: expected '{expected}', found '{found}'")]
    UnmetExpectation {
        /// Number of the step, from one.
        step: usize,
        /// The expectation.
        expected: String,
        /// What was found.
        found: String,
    },
}
