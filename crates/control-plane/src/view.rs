//! The view: the newest record of each key, as of a version. And the latest records, for processes that are a little behind.

use crate::record::{Hash, Record, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Bound on keys. A record with one more key is rejected; keys are never removed.
pub const MAX_KEYS: usize = 4096;
/// Bound on the bytes of all bodies.
pub const MAX_BYTES: usize = 16 << 20;
/// Bytes beyond [`MAX_BYTES`] that only small records may use, so that large plans can't block a zone failover.
pub const SMALL_RECORDS_RESERVE: usize = 2 << 20;
/// The largest body of a small record, in bytes.
pub const SMALL_RECORD_BYTES: usize = 4096;
/// Bound on the records in a [`RecordTail`].
pub const MAX_TAIL_RECORDS: usize = 1024;
/// Bound on the bytes of bodies in a [`RecordTail`].
pub const MAX_TAIL_BYTES: usize = 4 << 20;

/// Why a record can't be applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// Its version is already applied, and nothing known contradicts it.
    #[error("version {0} is known")]
    AlreadyKnown(Version),
    /// The record that was applied as this version is another one.
    #[error("version {0} has another content here")]
    Conflict(Version),
    /// Versions are missing between the view's, which is the second, and its own.
    #[error("version {0} does not follow {1}")]
    Gap(Version, Version),
    /// The hash of the record before it is not the view's.
    #[error("version {0} names another hash for the one before")]
    HashMismatch(Version),
    /// Its proposal is out of its bounds.
    #[error("{0}")]
    InvalidProposal(#[from] crate::record::InvalidProposal),
    /// The view is full.
    #[error("no room: {MAX_KEYS} keys or {MAX_BYTES} bytes are held")]
    CapacityExceeded,
}

/// The newest record of each key: a function of the records up to a version, and so the same for all that have applied them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct View {
    version: Version,
    hash: Hash,
    records: BTreeMap<String, Record>,
}

impl View {
    /// The version of the last record that was applied.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The hash of that record.
    pub fn hash(&self) -> Hash {
        self.hash
    }

    /// The newest record of a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// The newest record of each key, ordered by key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The bytes of all bodies.
    pub fn bytes(&self) -> usize {
        self.records.values().map(|record| record.proposal.body.len()).sum()
    }

    /// Checks whether a record can be applied next.
    ///
    /// # Errors
    /// It can't.
    pub fn validate_next(&self, record: &Record) -> Result<(), ApplyError> {
        let version = record.version;
        if version <= self.version {
            let is_last = version == self.version && record.hash() == self.hash;
            let is_newest_of_key = self.get(&record.proposal.key).is_some_and(|known| known == record);
            // Superseded records are not kept, so one of their versions can't be contradicted.
            let contradicts = version == self.version && !is_last
                || self.records.values().any(|known| known.version == version && known != record);
            return Err(match (is_last || is_newest_of_key, contradicts) {
                (false, true) => ApplyError::Conflict(version),
                _ => ApplyError::AlreadyKnown(version),
            });
        }
        if version != self.version.next() {
            return Err(ApplyError::Gap(version, self.version));
        }
        if record.previous_hash != self.hash {
            return Err(ApplyError::HashMismatch(version));
        }
        record.proposal.validate()?;
        self.check_capacity(record)
    }

    fn check_capacity(&self, record: &Record) -> Result<(), ApplyError> {
        let superseded = self.get(&record.proposal.key);
        let exceeds_keys = superseded.is_none() && self.records.len() >= MAX_KEYS;
        let superseded_bytes = superseded.map_or(0, |known| known.proposal.body.len());
        let bytes = self.bytes() - superseded_bytes + record.proposal.body.len();
        let is_small = record.proposal.body.len() <= SMALL_RECORD_BYTES;
        let max_bytes = MAX_BYTES + if is_small { SMALL_RECORDS_RESERVE } else { 0 };
        if exceeds_keys || bytes > max_bytes { Err(ApplyError::CapacityExceeded) } else { Ok(()) }
    }

    /// Applies the next record.
    ///
    /// # Errors
    /// It can't be applied; nothing has changed then.
    pub fn apply(&mut self, record: Record) -> Result<(), ApplyError> {
        self.validate_next(&record)?;
        (self.version, self.hash) = (record.version, record.hash());
        self.records.insert(record.proposal.key.clone(), record);
        Ok(())
    }

    /// Whether the view is consistent in itself, as far as that shows without its history. For views from other processes.
    pub fn is_consistent(&self) -> bool {
        let newest = self.records.values().max_by_key(|record| record.version);
        let ends_with_newest = match newest {
            None => self.version == Version(0) && self.hash == Hash::default(),
            Some(newest) => newest.version == self.version && newest.hash() == self.hash,
        };
        let is_valid_entry = |(key, record): (&String, &Record)| {
            *key == record.proposal.key && record.version > Version(0) && record.proposal.validate().is_ok()
        };
        ends_with_newest
            && self.records.iter().all(is_valid_entry)
            && self.records.len() <= MAX_KEYS
            && self.bytes() <= MAX_BYTES + SMALL_RECORDS_RESERVE
    }
}

/// The latest records, with which a process that is a little behind is brought up to date without a snapshot.
#[derive(Clone, Debug, Default)]
pub struct RecordTail {
    records: VecDeque<Record>,
    bytes: usize,
}

impl RecordTail {
    /// Adds the newest record and drops the oldest ones that exceed the bounds.
    pub fn push(&mut self, record: Record) {
        self.bytes += record.proposal.body.len();
        self.records.push_back(record);
        while self.records.len() > MAX_TAIL_RECORDS
            || (self.bytes > MAX_TAIL_BYTES && self.records.len() > 1)
        {
            let Some(oldest) = self.records.pop_front() else { return };
            self.bytes -= oldest.proposal.body.len();
        }
    }

    /// Drops all records, as a snapshot has taken their place and the next record does not follow them.
    pub fn clear(&mut self) {
        *self = RecordTail::default();
    }

    /// Up to `max_records` records that follow a version; none if the first of them is not kept.
    pub fn after(&self, version: Version, max_records: usize) -> Option<Vec<Record>> {
        let first = self.records.front()?.version;
        if version.next() < first {
            return None;
        }
        let skipped = (version.0 + 1 - first.0) as usize;
        Some(self.records.iter().skip(skipped).take(max_records).cloned().collect())
    }
}
