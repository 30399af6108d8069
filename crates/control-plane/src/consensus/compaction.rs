//! Log compaction: a snapshot of the state machine takes the place of applied entries.

use super::state::ReplicaState;
use super::storage::RaftStorage;
use raft::Storage;
use raft::eraftpb::{ConfState, Snapshot};

/// Applied entries behind the last snapshot after which the next one is taken.
const COMPACT_AFTER: u64 = 512;
/// Entries that stay in the log, so that a replica that lags a little needs no snapshot.
const ENTRIES_KEPT_BY_COMPACTION: u64 = 128;

impl RaftStorage {
    /// Whether enough entries have been applied since the last snapshot.
    pub(super) fn is_compaction_due(&self, applied_index: u64) -> bool {
        applied_index >= self.snapshot_index() + COMPACT_AFTER
    }

    /// Builds a snapshot of the state at `applied_index`; none if the log does not know that entry's term.
    pub(super) fn build_snapshot(
        &self,
        applied_index: u64,
        conf_state: &ConfState,
        state: &ReplicaState,
    ) -> Option<Snapshot> {
        let term = self.memory.term(applied_index).ok()?;
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = applied_index;
        metadata.term = term;
        metadata.set_conf_state(conf_state.clone());
        snapshot.set_data(state.encode().into());
        Some(snapshot)
    }

    /// Puts a snapshot in the place of the entries that it contains, but for the last few. Returns the first index that
    /// stays in the log; none if nothing was compacted.
    pub(super) fn compact(&mut self, snapshot: Snapshot) -> Option<u64> {
        let index = snapshot.get_metadata().index;
        let first_stored = self.memory.first_index().unwrap_or(1);
        let first_kept = index.saturating_sub(ENTRIES_KEPT_BY_COMPACTION).max(first_stored);
        self.memory.wl().compact(first_kept).ok()?;
        self.snapshot = snapshot;
        Some(first_kept)
    }
}
