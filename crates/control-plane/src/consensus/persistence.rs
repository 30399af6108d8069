//! The durable state of a replica and the changes to it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Changes that must be durable before any message of the same output is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// A new snapshot. Without `compact` it was installed by the leader and replaces the log as well.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded log entries by index, ascending. They replace all stored entries from the first index on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Encoded term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// Entries below this index may be deleted: the snapshot contains their effect.
    pub compact: Option<u64>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }

    /// Appends entries. As in raft's log, an index that is written again replaces that entry and all after it.
    pub(super) fn append_entries(&mut self, entries: Vec<(u64, Vec<u8>)>) {
        if let Some((first, _)) = entries.first() {
            self.entries.retain(|(index, _)| index < first);
        }
        self.entries.extend(entries);
    }
}

/// Everything a replica has made durable.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PersistedState {
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded log entries by index.
    pub entries: BTreeMap<u64, Vec<u8>>,
    /// Encoded term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
}

impl PersistedState {
    /// Applies a batch, as a store does with its files.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
            if batch.compact.is_none() {
                self.entries.clear();
            }
        }
        if let Some((first, _)) = batch.entries.first() {
            self.entries.split_off(first);
        }
        self.entries.extend(batch.entries.iter().cloned());
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = Some(hard_state.clone());
        }
        if let Some(first_kept) = batch.compact {
            self.entries = self.entries.split_off(&first_kept);
        }
    }
}
