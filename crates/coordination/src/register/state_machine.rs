//! The state machine that a register replicates.

/// The effect of a command on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The state changes.
    Changed {
        /// The state after the command.
        state: Vec<u8>,
        /// Returned to the caller.
        answer: Vec<u8>,
    },
    /// The command has no effect: the state is already the one that it asks for.
    Unchanged {
        /// Returned to the caller.
        answer: Vec<u8>,
    },
    /// The command does not apply to this state.
    Refused {
        /// Returned to the caller.
        answer: Vec<u8>,
    },
}

/// Applies commands to the opaque state. Must be deterministic: the result depends on the arguments
/// alone.
pub trait StateMachine: Send + Sync {
    /// The effect of `command` on the state `current`.
    fn apply(&self, current: &[u8], command: &[u8]) -> Applied;
}
