//! What lasts: the one place that writes it. Segments of checked records, on a disk that may fail at any call
//! and lose or spoil what it held. `docs/recovery.md` tells the form byte by byte.

pub(crate) mod disk;
pub(crate) mod frame;
pub(crate) mod segments;
#[cfg(test)]
pub(crate) mod simulated;
