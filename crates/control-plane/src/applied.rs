//! What a process makes of a view: of each key the newest record that its build understands and finds sound.
//!
//! A record that is not taken is no reason to forget what was acted on before it: of that key the last that was taken goes
//! on to hold. So a record that only a newer build understands, or a poisoned one, changes nothing here but a count.

use crate::record::{Record, RecordKind, Version};
use crate::view::View;
use std::collections::BTreeMap;

/// Why a record is not acted on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordRejection {
    /// A newer build's.
    #[error("this build knows no records of kind {0}")]
    UnknownKind(u16),
    /// It makes no sense.
    #[error("{0}")]
    Invalid(String),
}

/// What has come of a new version.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordOutcome {
    /// It is acted on from now on.
    Applied(Record),
    /// It is not, and what held of its key before holds on.
    RecordRejection(Record, RecordRejection),
}

/// What a process acts on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedRecords {
    version: Version,
    applied: BTreeMap<String, Record>,
    rejected: BTreeMap<String, (Version, RecordRejection)>,
}

impl AppliedRecords {
    /// Up to which version it has looked.
    pub fn version(&self) -> Version {
        self.version
    }

    /// What is acted on of a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.applied.get(key)
    }

    /// All that is acted on, in the keys' order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.applied.values()
    }

    /// Keys whose newest record is not taken, and why.
    pub fn rejected(&self) -> impl Iterator<Item = (&str, Version, &RecordRejection)> {
        self.rejected.iter().map(|(key, (version, why))| (&key[..], *version, why))
    }

    /// Looks at all that is new in a view, in the order of its versions; `check` says what the build understands.
    pub fn apply(
        &mut self,
        view: &View,
        check: impl Fn(&Record) -> Result<(), RecordRejection>,
    ) -> Vec<RecordOutcome> {
        let mut new: Vec<&Record> = view.records().filter(|record| record.version > self.version).collect();
        new.sort_by_key(|record| record.version);
        let came = new.into_iter().map(|record| self.apply_one(record.clone(), check(record))).collect();
        self.version = self.version.max(view.version());
        came
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

/// What this package itself knows of records: notes. Other packages look at those of their own kinds before it.
///
/// # Errors
/// Why it is not acted on.
pub fn check(record: &Record) -> Result<(), RecordRejection> {
    match record.proposal.kind {
        RecordKind::NOTE => match std::str::from_utf8(&record.proposal.body) {
            Ok(_) => Ok(()),
            Err(_) => Err(RecordRejection::Invalid("body: allowed: text".to_owned())),
        },
        RecordKind(kind) => Err(RecordRejection::UnknownKind(kind)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Proposal;

    #[test]
    fn what_is_not_understood_changes_nothing_but_what_is_said_of_it() {
        // Key, kind, body; then what is acted on of the key, and whether its newest is not taken.
        type Case = (&'static str, u16, &'static [u8], Option<&'static [u8]>, bool);
        let cases: &[Case] = &[
            ("a", 1, b"one", Some(b"one"), false),
            ("a", 1, b"\xff", Some(b"one"), true),
            ("a", 99, b"two", Some(b"one"), true),
            ("b", 99, b"new", None, true),
            ("a", 1, b"three", Some(b"three"), false),
        ];
        let (mut view, mut acted) = (View::default(), AppliedRecords::default());
        for (n, (key, kind, body, wanted, refused)) in cases.iter().enumerate() {
            let proposal = Proposal {
                id: n as u64,
                key: (*key).to_owned(),
                kind: RecordKind(*kind),
                body: body.to_vec(),
                by: "test".to_owned(),
                why: String::new(),
                expected_version: None,
            };
            let (version, before) = (view.version().next(), view.hash());
            view.apply(Record { version, term: 1, previous_hash: before, at_ms: 0, proposal }).unwrap();
            let came = acted.apply(&view, check);
            assert_eq!(came.len(), 1, "{n}");
            assert_eq!(matches!(came[0], RecordOutcome::RecordRejection(..)), *refused, "{n}");
            assert_eq!(acted.get(key).map(|record| &record.proposal.body[..]), *wanted, "{n}");
            assert_eq!(acted.rejected().any(|(of, ..)| of == *key), *refused, "{n}");
            assert_eq!(acted.version(), view.version());
        }
        assert!(acted.apply(&view, check).is_empty(), "each is looked at once");
    }
}
