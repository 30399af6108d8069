//! Numbers derived from hashes, equal in every process.

/// The first eight bytes of the hash, as a little-endian number.
pub(crate) fn leading_u64(hasher: &blake3::Hasher) -> u64 {
    let mut leading = [0; 8];
    leading.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(leading)
}
