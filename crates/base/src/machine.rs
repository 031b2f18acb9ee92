//! What a process may use of its machine.

use thiserror::Error;

use crate::{Bytes, Descriptors, value};

/// Least memory of a machine; with less, a process has no room for callers.
const MEMORY_MIN: Bytes = Bytes(32_000_000);

/// Fewest descriptors of a machine.
const DESCRIPTORS_MIN: Descriptors = Descriptors(256);

value! {
    /// What a process may use of its machine, as its settings say.
    pub struct Machine {
        memory: Bytes,
        descriptors: Descriptors,
    }
}

/// What a process may use, unchecked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawMachine {
    /// Memory of the process, with the bytes that wait in its sockets.
    pub memory: Bytes,
    /// Descriptors that it may have open at the same time.
    pub descriptors: Descriptors,
}

/// A machine is too small for a process.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadMachine {
    /// It has too little memory.
    #[error("{0} bytes of memory are too few: at least {MEMORY_MIN} are needed")]
    Memory(Bytes),
    /// It has too few descriptors.
    #[error("{0} descriptors are too few: at least {DESCRIPTORS_MIN} are needed")]
    Descriptors(Descriptors),
}

impl Machine {
    /// Returns the memory of the process, with the bytes that wait in its sockets.
    #[must_use]
    pub fn memory(self) -> Bytes {
        self.memory
    }

    /// Returns how many descriptors it may have open at the same time.
    #[must_use]
    pub fn descriptors(self) -> Descriptors {
        self.descriptors
    }
}

impl Default for Machine {
    /// Returns a machine for settings that name none.
    fn default() -> Self {
        Machine {
            memory: Bytes(1_000_000_000),
            descriptors: Descriptors(4_096),
        }
    }
}

impl TryFrom<RawMachine> for Machine {
    type Error = BadMachine;

    fn try_from(raw: RawMachine) -> Result<Self, BadMachine> {
        if raw.memory < MEMORY_MIN {
            return Err(BadMachine::Memory(raw.memory));
        }
        if raw.descriptors < DESCRIPTORS_MIN {
            return Err(BadMachine::Descriptors(raw.descriptors));
        }
        Ok(Machine {
            memory: raw.memory,
            descriptors: raw.descriptors,
        })
    }
}
