//! A hash function with the same results at all nodes and in all builds.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const SEPARATOR: u8 = 0xff;

/// Hashes `parts`, including the boundaries between them.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let hash = parts.iter().fold(FNV_OFFSET, |hash, part| {
        let bytes = part.iter().copied().chain([SEPARATOR]);
        bytes.fold(hash, |hash, it| (hash ^ u64::from(it)).wrapping_mul(FNV_PRIME))
    });
    mix(hash)
}

/// Mixes the input into all bits, which FNV alone does not do for short inputs.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ hash >> 31
}
