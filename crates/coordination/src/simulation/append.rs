//! The state machine of the simulation: a list of numbers, so that a lost or duplicate command is visible in the state.

use crate::register::{Applied, StateMachine};

/// Length of one encoded number in bytes.
const ENTRY_BYTES: usize = 4;

/// A command on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Appends a number, even if the list contains it.
    Append(u32),
    /// Appends a number unless the list contains it.
    Ensure(u32),
    /// Appends a number if the list has an even length.
    AppendIfEven(u32),
}

impl Command {
    /// The number.
    #[must_use]
    pub const fn entry(self) -> u32 {
        match self {
            Self::Append(entry) | Self::Ensure(entry) | Self::AppendIfEven(entry) => entry,
        }
    }

    /// Encodes the command.
    #[must_use]
    pub fn encode(self) -> Vec<u8> {
        let kind = match self {
            Self::Append(_) => 0,
            Self::Ensure(_) => 1,
            Self::AppendIfEven(_) => 2,
        };
        [&[kind], self.entry().to_be_bytes().as_slice()].concat()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (kind, entry) = bytes.split_first()?;
        let entry = u32::from_be_bytes(entry.try_into().ok()?);
        match kind {
            0 => Some(Self::Append(entry)),
            1 => Some(Self::Ensure(entry)),
            2 => Some(Self::AppendIfEven(entry)),
            _ => None,
        }
    }
}

/// The numbers in a state.
pub(super) fn entries(state: &[u8]) -> Vec<u32> {
    let entry = |bytes: &[u8]| bytes.iter().fold(0, |number, byte| (number << 8) | u32::from(*byte));
    state.chunks(ENTRY_BYTES).map(entry).collect()
}

/// A state machine whose state is a list of numbers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Append;

impl StateMachine for Append {
    fn apply(&self, current: &[u8], command: &[u8]) -> Applied {
        let answer = Vec::new();
        let Some(command) = Command::decode(command) else {
            return Applied::Refused { answer };
        };
        let list = entries(current);
        let entry = command.entry();
        match command {
            Command::Ensure(_) if list.contains(&entry) => Applied::Unchanged { answer },
            Command::AppendIfEven(_) if list.len() % 2 == 1 => Applied::Refused { answer },
            _ => Applied::Changed { state: [current, &entry.to_be_bytes()].concat(), answer },
        }
    }
}
