//! The records that a process acts on: of each key the newest that its build knows and finds valid.
//!
//! If the newest record of a key is rejected, the last accepted one stays in force. A record that only a newer build knows,
//! or an invalid one, therefore changes nothing but what is reported as rejected.

use crate::record::{Record, RecordKind, Version};
use crate::view::View;
use std::collections::BTreeMap;

/// Why a record is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordRejection {
    /// Only a newer build knows records of this kind.
    #[error("this build knows no records of kind {0}")]
    UnknownKind(u16),
    /// Its body is invalid, for the stated reason.
    #[error("{0}")]
    Invalid(String),
}

/// What became of a new record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordOutcome {
    /// It is in force from now on.
    Applied(Record),
    /// It was rejected; the record of its key that was in force stays so.
    RecordRejection(Record, RecordRejection),
}

/// The records in force, and the rejected ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedRecords {
    version: Version,
    applied: BTreeMap<String, Record>,
    rejected: BTreeMap<String, (Version, RecordRejection)>,
}

impl AppliedRecords {
    /// The version of the view up to which records were checked.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The record in force for a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.applied.get(key)
    }

    /// All records in force, ordered by key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.applied.values()
    }

    /// Keys whose newest record is rejected, with its version and the reason.
    pub fn rejected(&self) -> impl Iterator<Item = (&str, Version, &RecordRejection)> {
        self.rejected.iter().map(|(key, (version, why))| (&key[..], *version, why))
    }

    /// Checks the records that are new in a view, ordered by version, and puts the accepted ones into force. `check` accepts
    /// those that this build knows and finds valid.
    pub fn apply(
        &mut self,
        view: &View,
        check: impl Fn(&Record) -> Result<(), RecordRejection>,
    ) -> Vec<RecordOutcome> {
        let mut new: Vec<&Record> = view.records().filter(|record| record.version > self.version).collect();
        new.sort_by_key(|record| record.version);
        let outcomes =
            new.into_iter().map(|record| self.apply_one(record.clone(), check(record))).collect();
        self.version = self.version.max(view.version());
        outcomes
    }

    fn apply_one(&mut self, record: Record, checked: Result<(), RecordRejection>) -> RecordOutcome {
        let key = record.proposal.key.clone();
        match checked {
            Ok(()) => {
                self.rejected.remove(&key);
                self.applied.insert(key, record.clone());
                RecordOutcome::Applied(record)
            }
            Err(why) => {
                self.rejected.insert(key, (record.version, why.clone()));
                RecordOutcome::RecordRejection(record, why)
            }
        }
    }
}

/// Checks a record of the kinds that this package knows, which are notes. Other packages check their own kinds first.
///
/// # Errors
/// It is rejected.
pub fn check(record: &Record) -> Result<(), RecordRejection> {
    match record.proposal.kind {
        RecordKind::NOTE => match std::str::from_utf8(&record.proposal.body) {
            Ok(_) => Ok(()),
            Err(_) => Err(RecordRejection::Invalid("body: allowed: text".to_owned())),
        },
        RecordKind(kind) => Err(RecordRejection::UnknownKind(kind)),
    }
}
