//! What a process makes of a view: of each key the newest record that its build understands and finds sound.
//!
//! A record that is not taken is no reason to forget what was acted on before it: of that key the last that was taken goes
//! on to hold. So a record that only a newer build understands, or a poisoned one, changes nothing here but a count.

use crate::record::{Kind, Record, Version};
use crate::view::View;
use std::collections::BTreeMap;

/// Why a record is not acted on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotTaken {
    /// A newer build's.
    #[error("this build knows no records of kind {0}")]
    Unknown(u16),
    /// It makes no sense.
    #[error("{0}")]
    Senseless(String),
}

/// What has come of a new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Came {
    /// It is acted on from now on.
    Taken(Record),
    /// It is not, and what held of its key before holds on.
    NotTaken(Record, NotTaken),
}

/// What a process acts on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Acted {
    version: Version,
    taken: BTreeMap<String, Record>,
    not_taken: BTreeMap<String, (Version, NotTaken)>,
}

impl Acted {
    /// Up to which version it has looked.
    pub fn version(&self) -> Version {
        self.version
    }

    /// What is acted on of a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.taken.get(key)
    }

    /// All that is acted on, in the keys' order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.taken.values()
    }

    /// Keys whose newest record is not taken, and why.
    pub fn not_taken(&self) -> impl Iterator<Item = (&str, Version, &NotTaken)> {
        self.not_taken.iter().map(|(key, (version, why))| (&key[..], *version, why))
    }

    /// Looks at all that is new in a view, in the order of its versions; `check` says what the build understands.
    pub fn take(&mut self, view: &View, check: impl Fn(&Record) -> Result<(), NotTaken>) -> Vec<Came> {
        let mut new: Vec<&Record> = view.records().filter(|record| record.version > self.version).collect();
        new.sort_by_key(|record| record.version);
        let came = new.into_iter().map(|record| self.take_one(record.clone(), check(record))).collect();
        self.version = self.version.max(view.version());
        came
    }

    fn take_one(&mut self, record: Record, checked: Result<(), NotTaken>) -> Came {
        let key = record.proposal.key.clone();
        match checked {
            Ok(()) => {
                self.not_taken.remove(&key);
                self.taken.insert(key, record.clone());
                Came::Taken(record)
            }
            Err(why) => {
                self.not_taken.insert(key, (record.version, why.clone()));
                Came::NotTaken(record, why)
            }
        }
    }
}

/// What this package itself knows of records: notes. Other packages look at those of their own kinds before it.
///
/// # Errors
/// Why it is not acted on.
pub fn check(record: &Record) -> Result<(), NotTaken> {
    match record.proposal.kind {
        Kind::NOTE => match std::str::from_utf8(&record.proposal.body) {
            Ok(_) => Ok(()),
            Err(_) => Err(NotTaken::Senseless("body: allowed: text".to_owned())),
        },
        Kind(kind) => Err(NotTaken::Unknown(kind)),
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
        let (mut view, mut acted) = (View::default(), Acted::default());
        for (n, (key, kind, body, wanted, refused)) in cases.iter().enumerate() {
            let proposal = Proposal {
                id: n as u64,
                key: (*key).to_owned(),
                kind: Kind(*kind),
                body: body.to_vec(),
                by: "test".to_owned(),
                why: String::new(),
                only_after: None,
            };
            let (version, before) = (view.version().next(), view.hash());
            view.apply(Record { version, term: 1, before, at_ms: 0, proposal }).unwrap();
            let came = acted.take(&view, check);
            assert_eq!(came.len(), 1, "{n}");
            assert_eq!(matches!(came[0], Came::NotTaken(..)), *refused, "{n}");
            assert_eq!(acted.get(key).map(|record| &record.proposal.body[..]), *wanted, "{n}");
            assert_eq!(acted.not_taken().any(|(of, ..)| of == *key), *refused, "{n}");
            assert_eq!(acted.version(), view.version());
        }
        assert!(acted.take(&view, check).is_empty(), "each is looked at once");
    }
}
