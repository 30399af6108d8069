//! A decision: numbered, chained to the one before by its hash.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The count of decisions up to and with this one; 0 is before the first.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Version(pub u64);

impl Version {
    /// The one after it.
    pub fn next(self) -> Version {
        Version(self.0.saturating_add(1))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The hash of a record, over all of it and so over all before it.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub struct Hash(pub [u8; 32]);

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// What a record is about, by a number that later builds add to.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct RecordKind(pub u16);

impl RecordKind {
    /// A note for people, which changes nothing.
    pub const NOTE: RecordKind = RecordKind(1);
    /// A state of a hall or region.
    pub const ZONE_STATES: RecordKind = RecordKind(2);
    /// All automatic moves stand still, or go on.
    pub const FREEZE: RecordKind = RecordKind(3);
    /// The sidecars' configuration, and how far it is spread.
    pub const CONFIG: RecordKind = RecordKind(4);
}

/// The largest body, in bytes: what an operator's largest plan may need.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// The longest key, name and reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// What is proposed to be decided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proposal {
    /// Sets it apart from others; one that comes twice is decided once.
    pub id: u64,
    /// What it is about; it supersedes what was decided of this key before.
    pub key: String,
    /// Its kind.
    pub kind: RecordKind,
    /// What is decided, in the form of its kind.
    pub body: Vec<u8>,
    /// Who.
    pub by: String,
    /// Why.
    pub why: String,
    /// Only where the key's newest version is this one, if it is said: two that decide at once don't both.
    pub expected_version: Option<Version>,
}

/// Why a proposal makes no sense.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct InvalidProposal {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl Proposal {
    /// Holds it to its bounds.
    ///
    /// # Errors
    /// The first field that is out of them.
    pub fn validate(&self) -> Result<(), InvalidProposal> {
        let bad = |field, problem| Err(InvalidProposal { field, problem });
        let key = |c: char| c.is_ascii_graphic();
        match self {
            p if p.key.is_empty() || p.key.len() > MAX_TEXT_BYTES => bad("key", "allowed: 1 to 200 bytes"),
            p if !p.key.chars().all(key) => bad("key", "allowed: visible ASCII without spaces"),
            p if p.body.len() > MAX_BODY_BYTES => bad("body", "allowed: up to 1 MiB"),
            p if p.by.is_empty() || p.by.len() > MAX_TEXT_BYTES => bad("by", "allowed: 1 to 200 bytes"),
            p if p.why.len() > MAX_TEXT_BYTES => bad("why", "allowed: up to 200 bytes"),
            _ => Ok(()),
        }
    }
}

/// A decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Its number.
    pub version: Version,
    /// The term in which it was decided.
    pub term: u64,
    /// The hash of the one before; of the first, that of an empty chain.
    pub previous_hash: Hash,
    /// When its leader proposed it, in milliseconds of Unix time by its clock: for people alone.
    pub at_ms: u64,
    /// What was proposed.
    pub proposal: Proposal,
}

impl Record {
    /// Its hash. The codec's form is canonical: equal records have equal bytes.
    pub fn hash(&self) -> Hash {
        // Plain data into a growing buffer: it never fails.
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        Hash(*blake3::hash(&bytes).as_bytes())
    }
}
