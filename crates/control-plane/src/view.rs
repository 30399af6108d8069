//! What is decided: the newest record of each key, and where in the chain that is.

use crate::record::{Hash, Record, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Keys at the most; one more is refused until another is superseded.
pub const MAX_KEYS: usize = 4096;
/// Bytes of all bodies at the most.
pub const MAX_BYTES: usize = 16 << 20;
/// Beside these there is room for small bodies: plans must not keep a hall from being left.
pub const SMALL_RECORDS_RESERVE: usize = 2 << 20;
/// So small.
pub const SMALL_RECORD_BYTES: usize = 4096;
/// Records kept behind the view for who is a little behind.
pub const MAX_TAIL_RECORDS: usize = 1024;
/// Bytes of those at the most.
pub const MAX_TAIL_BYTES: usize = 4 << 20;

/// Why a record does not follow.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// It is known already, with this very content.
    #[error("version {0} is known")]
    AlreadyKnown(Version),
    /// Another content for a version that is known.
    #[error("version {0} has another content here")]
    Conflict(Version),
    /// There is a gap before it.
    #[error("version {0} does not follow {1}")]
    Gap(Version, Version),
    /// It follows another chain than this one.
    #[error("version {0} names another hash for the one before")]
    HashMismatch(Version),
    /// It is out of its bounds.
    #[error("{0}")]
    InvalidProposal(#[from] crate::record::InvalidProposal),
    /// There is no room for one more.
    #[error("no room: {MAX_KEYS} keys or {MAX_BYTES} bytes are held")]
    CapacityExceeded,
}

/// A view: a pure function of the records up to its version.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct View {
    version: Version,
    hash: Hash,
    records: BTreeMap<String, Record>,
}

impl View {
    /// Up to which version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The hash of that version's record.
    pub fn hash(&self) -> Hash {
        self.hash
    }

    /// The newest record of a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// The newest record of each key, in the keys' order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Bytes of all bodies.
    pub fn bytes(&self) -> usize {
        self.records.values().map(|record| record.proposal.body.len()).sum()
    }

    /// Whether this record may be the next one.
    ///
    /// # Errors
    /// Why it does not follow.
    pub fn validate_next(&self, record: &Record) -> Result<(), ApplyError> {
        let version = record.version;
        if version <= self.version {
            let same = version == self.version && record.hash() == self.hash;
            let newest = self.get(&record.proposal.key).is_some_and(|known| known == record);
            // Of one that is superseded nothing is known any more: it is old, and no contradiction.
            let contradicts = version == self.version && !same
                || self.records.values().any(|known| known.version == version && known != record);
            return Err(match (same || newest, contradicts) {
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
        let held = self.get(&record.proposal.key);
        let more = held.is_none() && self.records.len() >= MAX_KEYS;
        let before = held.map_or(0, |known| known.proposal.body.len());
        let bytes = self.bytes() - before + record.proposal.body.len();
        let small = record.proposal.body.len() <= SMALL_RECORD_BYTES;
        let most = MAX_BYTES + if small { SMALL_RECORDS_RESERVE } else { 0 };
        if more || bytes > most { Err(ApplyError::CapacityExceeded) } else { Ok(()) }
    }

    /// Takes the next record.
    ///
    /// # Errors
    /// Why it does not follow; nothing has changed then.
    pub fn apply(&mut self, record: Record) -> Result<(), ApplyError> {
        self.validate_next(&record)?;
        (self.version, self.hash) = (record.version, record.hash());
        self.records.insert(record.proposal.key.clone(), record);
        Ok(())
    }

    /// Whether all of it holds together, as far as one view can tell: for one that came from outside.
    pub fn is_consistent(&self) -> bool {
        let newest = self.records.values().max_by_key(|record| record.version);
        let ends = match newest {
            None => self.version == Version(0) && self.hash == Hash::default(),
            Some(newest) => newest.version == self.version && newest.hash() == self.hash,
        };
        let each = |(key, record): (&String, &Record)| {
            *key == record.proposal.key && record.version > Version(0) && record.proposal.validate().is_ok()
        };
        ends && self.records.iter().all(each)
            && self.records.len() <= MAX_KEYS
            && self.bytes() <= MAX_BYTES + SMALL_RECORDS_RESERVE
    }
}

/// The last records, for who is a little behind.
#[derive(Clone, Debug, Default)]
pub struct RecordTail {
    records: VecDeque<Record>,
    bytes: usize,
}

impl RecordTail {
    /// One more, the newest.
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

    /// Nothing of it follows what comes next.
    pub fn clear(&mut self) {
        *self = RecordTail::default();
    }

    /// All that follows a version, at most so many; none where some of it is gone.
    pub fn after(&self, version: Version, most: usize) -> Option<Vec<Record>> {
        let first = self.records.front()?.version;
        if version.next() < first {
            return None;
        }
        let skipped = (version.0 + 1 - first.0) as usize;
        Some(self.records.iter().skip(skipped).take(most).cloned().collect())
    }
}
