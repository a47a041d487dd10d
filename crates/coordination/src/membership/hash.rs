//! A hash that is the same in every process, build and release.

/// Start value of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of `bytes` on which all processes agree: 64-bit FNV-1a, finished by the mixer of MurmurHash3.
///
/// FNV-1a alone leaves the high bits of short, similar inputs (addresses) nearly equal, which would skew the
/// orders derived from them; the mixer spreads every input bit over the whole result. The value is part of
/// what processes agree on and must never change.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in bytes {
        hash ^= u64::from(*byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// The finishing step of MurmurHash3 for 64 bits: a bijection in which each input bit flips half of the output.
pub(super) fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^= value >> 33;
    value
}
