//! A hash of a sequence of events.

use std::time::Duration;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The 64-bit FNV-1a hash of everything that is added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(FNV_OFFSET_BASIS)
    }
}

impl Digest {
    /// Adds bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Adds one byte.
    pub fn byte(&mut self, byte: u8) {
        self.raw(&[byte]);
    }

    /// Adds a number as eight bytes, little-endian.
    pub fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// Adds bytes with their length before them.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    /// Adds a time as sixteen bytes of nanoseconds, little-endian.
    pub fn time(&mut self, time: Duration) {
        self.raw(&time.as_nanos().to_le_bytes());
    }

    /// The digest of everything that was added.
    pub fn value(self) -> u64 {
        self.0
    }
}
