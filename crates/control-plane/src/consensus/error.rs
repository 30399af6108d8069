//! Errors of a replica.

/// Why a replica can't be started, or rejects a change of its voters.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReplicaError {
    /// The persisted state can't be decoded, or contradicts itself.
    #[error("what was kept can't be read: {0}")]
    CorruptState(String),
    /// The raft library rejects the operation, or the replica does before it gets there.
    #[error("agreement: {0}")]
    Raft(String),
}

impl ReplicaError {
    /// Wraps an error of the raft library.
    pub(super) fn raft(error: impl std::fmt::Display) -> ReplicaError {
        ReplicaError::Raft(error.to_string())
    }

    /// Wraps a decoding error.
    pub(super) fn corrupt(error: impl std::fmt::Display) -> ReplicaError {
        ReplicaError::CorruptState(error.to_string())
    }
}
