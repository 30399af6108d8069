//! The log and snapshot that raft reads from: a copy in memory of what the host has persisted.

use super::codec::{decode_protobuf, encode_protobuf};
use super::error::ReplicaError;
use super::persistence::PersistedState;
use super::state::ReplicaState;
use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::storage::{MemStorage, Storage};
use raft::{GetEntriesContext, RaftState, StorageError};

/// Raft's storage in memory, with the snapshot of the last compaction. `MemStorage` alone would make up a snapshot
/// without data.
pub(super) struct RaftStorage {
    pub(super) memory: MemStorage,
    pub(super) snapshot: Snapshot,
}

impl RaftStorage {
    /// Loads persisted state; also returns the state machine as of its snapshot.
    ///
    /// # Errors
    /// It can't be decoded, misses entries, or its commit index lies behind the last entry.
    pub(super) fn load(persisted: &PersistedState) -> Result<(RaftStorage, ReplicaState), ReplicaError> {
        let mut storage = RaftStorage { memory: MemStorage::new(), snapshot: Snapshot::default() };
        let mut state = ReplicaState::default();
        if let Some(bytes) = &persisted.snapshot {
            let snapshot: Snapshot = decode_protobuf(bytes)?;
            state = ReplicaState::decode(snapshot.get_data())?;
            storage.memory.wl().apply_snapshot(snapshot.clone()).map_err(ReplicaError::raft)?;
            storage.snapshot = snapshot;
        }
        let last_index = storage.load_entries(persisted)?;
        if let Some(bytes) = &persisted.hard_state {
            storage.load_hard_state(bytes, last_index)?;
        }
        Ok((storage, state))
    }

    /// Loads the entries behind the snapshot. Returns the index of the last one.
    fn load_entries(&self, persisted: &PersistedState) -> Result<u64, ReplicaError> {
        let snapshot_index = self.snapshot_index();
        let stored = persisted.entries.range(snapshot_index + 1..);
        let entries: Vec<Entry> =
            stored.map(|(_, bytes)| decode_protobuf(bytes)).collect::<Result<_, _>>()?;
        let expected_indexes = snapshot_index + 1..;
        if let Some((missing, _)) =
            expected_indexes.zip(&entries).find(|(expected, entry)| entry.index != *expected)
        {
            return Err(ReplicaError::CorruptState(format!("entry {missing} is missing")));
        }
        self.memory.wl().append(&entries).map_err(ReplicaError::raft)?;
        Ok(entries.last().map_or(snapshot_index, |entry| entry.index))
    }

    /// Loads term, vote and commit index. A commit index behind the last entry means that a torn write has lost committed
    /// entries, so the replica must not start.
    fn load_hard_state(&self, bytes: &[u8], last_index: u64) -> Result<(), ReplicaError> {
        let mut hard_state: HardState = decode_protobuf(bytes)?;
        if hard_state.commit > last_index {
            return Err(ReplicaError::CorruptState(format!(
                "{} is decided, and {last_index} is the last that is kept",
                hard_state.commit
            )));
        }
        hard_state.commit = hard_state.commit.max(self.snapshot_index());
        self.memory.wl().set_hardstate(hard_state);
        Ok(())
    }

    /// Index of the last entry that the snapshot contains; 0 without one.
    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Replaces everything by a snapshot of the leader.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        let applied = self.memory.wl().apply_snapshot(snapshot.clone());
        debug_assert!(applied.is_ok());
        self.snapshot = snapshot;
    }
}

/// The encoded snapshot that the first replicas start from. It names them as the voters.
pub(super) fn bootstrap_snapshot(voters: &[u64]) -> Vec<u8> {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    metadata.index = 1;
    metadata.term = 1;
    metadata.mut_conf_state().set_voters(voters.to_vec());
    snapshot.set_data(ReplicaState::default().encode().into());
    encode_protobuf(&snapshot)
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot_index() < request_index || self.snapshot_index() == 0 {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
