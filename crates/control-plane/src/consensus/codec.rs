//! Encodings of what is persisted and sent: protobuf for raft's own types, postcard for this package's.

use super::error::ReplicaError;
use serde::Serialize;

/// Encodes a value of this package. Plain data into a growing buffer: encoding can't fail.
pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Encodes a value of the raft library. Into memory: encoding can't fail.
pub(super) fn encode_protobuf(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes a value of the raft library.
///
/// # Errors
/// The bytes are not such a value.
pub(super) fn decode_protobuf<M: protobuf::Message>(bytes: &[u8]) -> Result<M, ReplicaError> {
    let mut message = M::new();
    message.merge_from_bytes(bytes).map_err(ReplicaError::corrupt)?;
    Ok(message)
}
