//! Records: numbered decisions, each of which contains the hash of the one before.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a record, counted from 1; 0 is the version of an empty view.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Version(pub u64);

impl Version {
    /// The next version.
    pub fn next(self) -> Version {
        Version(self.0.saturating_add(1))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The BLAKE3 hash of a record. As a record contains the hash before it, it covers the whole history.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq, Hash, Serialize)]
pub struct Hash(pub [u8; 32]);

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// What the body of a record means. Later builds may know more kinds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct RecordKind(pub u16);

impl RecordKind {
    /// A note to operators, without effect.
    pub const NOTE: RecordKind = RecordKind(1);
    /// The states of zones.
    pub const ZONE_STATES: RecordKind = RecordKind(2);
    /// Automatic transitions are frozen, or no longer so.
    pub const FREEZE: RecordKind = RecordKind(3);
    /// The sidecars' configuration and the progress of its rollout.
    pub const CONFIG: RecordKind = RecordKind(4);
}

/// Bound on the bytes of a body: what an operator's largest plan needs.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Bound on the bytes of a key, a name and a reason.
pub const MAX_TEXT_BYTES: usize = 200;

/// A proposed decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proposal {
    /// Unique among proposals: one that is sent twice is decided once.
    pub id: u64,
    /// What it is about. It supersedes the record of the same key.
    pub key: String,
    /// What the body means.
    pub kind: RecordKind,
    /// The decision, encoded as its kind prescribes.
    pub body: Vec<u8>,
    /// Who proposed it: an operator or a process.
    pub by: String,
    /// The reason, for operators.
    pub why: String,
    /// If set, the proposal is valid only while the key's record has this version (0: none). Of two proposals that start from
    /// the same state only one is decided.
    pub expected_version: Option<Version>,
}

/// A field of a proposal is out of its bounds.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct InvalidProposal {
    /// The field.
    pub field: &'static str,
    /// What is allowed.
    pub problem: &'static str,
}

impl Proposal {
    /// Checks the bounds of all fields.
    ///
    /// # Errors
    /// The first field that is out of its bounds.
    pub fn validate(&self) -> Result<(), InvalidProposal> {
        let invalid = |field, problem| Err(InvalidProposal { field, problem });
        match self {
            p if p.key.is_empty() || p.key.len() > MAX_TEXT_BYTES => {
                invalid("key", "allowed: 1 to 200 bytes")
            }
            p if !p.key.chars().all(|c| c.is_ascii_graphic()) => {
                invalid("key", "allowed: visible ASCII without spaces")
            }
            p if p.body.len() > MAX_BODY_BYTES => invalid("body", "allowed: up to 1 MiB"),
            p if p.by.is_empty() || p.by.len() > MAX_TEXT_BYTES => invalid("by", "allowed: 1 to 200 bytes"),
            p if p.why.len() > MAX_TEXT_BYTES => invalid("why", "allowed: up to 200 bytes"),
            _ => Ok(()),
        }
    }
}

/// A decision. The order of its fields is part of the stored format and of its hash.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Its version: one more than that of the record before.
    pub version: Version,
    /// The raft term in which it was committed.
    pub term: u64,
    /// The hash of the record before; all zero in the first one.
    pub previous_hash: Hash,
    /// When it was proposed, in milliseconds of Unix time by a replica's wall clock. Only shown to operators.
    pub at_ms: u64,
    /// The proposal that was decided.
    pub proposal: Proposal,
}

impl Record {
    /// Its hash. Equal records have equal encodings, so replicas agree on it.
    pub fn hash(&self) -> Hash {
        // Plain data into a growing buffer: encoding can't fail.
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        Hash(*blake3::hash(&bytes).as_bytes())
    }
}
