//! Rendezvous (highest random weight) hashing: all routers rank the endpoints for a key in the same way without
//! communicating.

/// Offset basis and prime of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash that is the same in every process and version.
pub fn stable_hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(text.bytes().fold(FNV_OFFSET, step))
}

/// Combines a hash with one more number.
pub fn combine(hash: u64, next: u64) -> u64 {
    mix(hash.rotate_left(23) ^ mix(next))
}

/// Rank of a node for a key; the highest rank owns the key.
pub fn rank(key: u64, node: u64) -> u64 {
    mix(key ^ node)
}

/// The finalizer of SplitMix64: every bit of the input moves half of those of the output.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
