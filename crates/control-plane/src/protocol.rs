//! The messages between processes of a fleet, and their encoding: a header with format and key number, the envelope, and a
//! MAC over both.
//!
//! The order of [`Message`]'s variants and of their fields is the wire format: new variants go to the end.

use crate::configuration::{ConfigCommand, ConfigReport};
use crate::evidence::{Digest, LegacyDigest};
pub use crate::peer::PeerId;
use crate::record::{Hash, MAX_TEXT_BYTES, Proposal, Record, Version};
use crate::view::{RecordTail, View};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The format that this build writes. Format 2 added variants that readers of format 1 reject; readers of format 2 skip
/// variants that they don't know.
pub const FORMAT: u8 = 2;
/// The oldest format that this build reads, and writes to peers that read no newer one. It is one behind [`FORMAT`], so that
/// a fleet can be upgraded one process at a time.
pub const MIN_FORMAT: u8 = 1;
/// First bytes of every message.
const MAGIC: [u8; 3] = *b"CHF";
/// Room in the largest message for what is not in a snapshot's bodies.
const SNAPSHOT_OVERHEAD_BYTES: usize = 6 << 20;
/// The largest message, in bytes: a snapshot of a full view.
pub const MAX_MESSAGE_BYTES: usize =
    crate::view::MAX_BYTES + crate::view::SMALL_RECORDS_RESERVE + SNAPSHOT_OVERHEAD_BYTES;
/// Records in one [`Message::Records`]; a subscriber that is further behind fetches again.
pub const MAX_RECORDS_PER_MESSAGE: usize = 64;
/// Magic, format and key number.
const HEADER_BYTES: usize = MAGIC.len() + 2;
const FORMAT_OFFSET: usize = MAGIC.len();
const KEY_OFFSET: usize = MAGIC.len() + 1;
const MAC_BYTES: usize = 32;
/// Bytes of a record beside its body, roughly.
const RECORD_OVERHEAD_BYTES: usize = 300;

/// A message between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The version of the sender's view; gossiped between sidecars, and the answer to a fetch that has nothing to get.
    ViewVersion {
        /// The version.
        version: Version,
        /// The hash of that version's record.
        hash: Hash,
    },
    /// Requests the records after a version.
    FetchRecords {
        /// The version that the sender has.
        after: Version,
    },
    /// Consecutive records.
    Records(Vec<Record>),
    /// The whole view, for a subscriber that is too far behind for records.
    Snapshot(View),
    /// The fetch is not served now; the subscriber is to retry later.
    RetryAfter {
        /// Milliseconds until the retry.
        after_ms: u32,
    },
    /// Evidence in format 1.
    LegacyEvidence(LegacyDigest),
    /// Requests a decision; answered by [`Message::Decided`] or [`Message::NotDecided`].
    Propose(Proposal),
    /// A proposal was decided.
    Decided {
        /// The proposal's id.
        id: u64,
        /// The version that it was decided as.
        version: Version,
    },
    /// A proposal was rejected, or not decided in time.
    NotDecided {
        /// The proposal's id.
        id: u64,
        /// The reason, for operators.
        why: String,
    },
    /// A raft message between consensus servers, as the raft library encodes it.
    Raft(Vec<u8>),
    /// An operator requests the state of a consensus server.
    DescribeServer,
    /// The answer to a request of an operator, as JSON.
    Described(String),
    /// An operator requests that a voter be added or removed.
    ChangeVoters {
        /// Its raft id.
        server: u64,
        /// Whether to add it.
        add: bool,
    },
    /// The change was proposed; [`Message::DescribeServer`] shows when it is in force.
    VoterChangeStarted,
    /// The change was rejected, and why.
    VoterChangeRejected(String),
    /// A packet of the membership protocol, as its library encodes it.
    Membership(Vec<u8>),
    /// An operator requests the members that a process knows.
    ListMembers,
    /// Limits how often a sidecar reports evidence; it fetches once in four such intervals.
    SetEvidenceInterval {
        /// The interval in milliseconds.
        interval_ms: u32,
    },
    /// A sidecar's evidence.
    Evidence(Digest),
    /// Requests that a sidecar probe a zone and report the results.
    ProbeZone {
        /// The zone.
        zone: String,
        /// Probes, each of another endpoint as far as there are enough.
        count: u32,
    },
    /// Grants a sidecar rates of calls into zones that are returning.
    Grant {
        /// The term of the leader that grants it.
        term: u64,
        /// The sequence number of the digest that it answers.
        digest_sequence: u64,
        /// How long it holds from that digest on, in milliseconds.
        valid_ms: u32,
        /// Calls per second by zone.
        rates: Vec<(String, f64)>,
    },
    /// An operator requests the states of all zones.
    ListZones,
    /// A sidecar reports the configuration that it has in force.
    ReportConfig(ConfigReport),
    /// An operator's command on the configuration; answered as a proposal is.
    CommandConfig(ConfigCommand),
    /// An operator requests the state of the configuration and its rollout.
    DescribeConfig,
}

impl Message {
    /// The oldest format that has this message.
    pub fn min_format(&self) -> u8 {
        match self {
            Message::Membership(_)
            | Message::ListMembers
            | Message::SetEvidenceInterval { .. }
            | Message::Evidence(_) => 2,
            Message::ProbeZone { .. } | Message::Grant { .. } | Message::ListZones => 2,
            // Readers of format 2 skip variants that they don't know.
            Message::ReportConfig(_) | Message::CommandConfig(_) | Message::DescribeConfig => 2,
            _ => 1,
        }
    }

    /// What a subscriber is answered that has the records up to `after`: the records behind them, a snapshot where the tail
    /// does not reach back so far, or the version if there is nothing newer.
    pub fn view_since(view: &View, tail: &RecordTail, after: Version) -> Message {
        if after >= view.version() {
            return Message::ViewVersion { version: view.version(), hash: view.hash() };
        }
        match tail.after(after, MAX_RECORDS_PER_MESSAGE) {
            Some(records) => Message::Records(records),
            None => Message::Snapshot(view.clone()),
        }
    }

    /// Roughly the bytes of records in it, which is all that send budgets need.
    pub fn approximate_size(&self) -> usize {
        match self {
            Message::Records(records) => {
                records.iter().map(|record| record.proposal.body.len() + RECORD_OVERHEAD_BYTES).sum()
            }
            Message::Snapshot(view) => view.bytes() + RECORD_OVERHEAD_BYTES * view.records().count(),
            _ => 0,
        }
    }
}

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// The sender.
    pub from: PeerId,
    /// The message.
    pub message: Message,
}

/// Why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    /// It is too short, or does not begin with the magic bytes.
    #[error("it is no message of a fleet")]
    NotAMessage,
    /// It is longer than [`MAX_MESSAGE_BYTES`].
    #[error("it is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// Its format is older or newer than those that this build reads.
    #[error("its format is not read here")]
    UnsupportedFormat,
    /// The number of its key is not known.
    #[error("its key is not known here")]
    UnknownKey,
    /// Its MAC does not match.
    #[error("its MAC is wrong")]
    WrongMac,
    /// The MAC matches, but the envelope can't be decoded.
    #[error("what it says can't be read")]
    Malformed,
}

/// The fleet's MAC keys by number: the one that messages are written with, and others that are accepted while keys are
/// rotated.
#[derive(Clone)]
pub struct MacKeys {
    current: u8,
    keys: BTreeMap<u8, [u8; 32]>,
}

impl std::fmt::Debug for MacKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "keys {:?}", self.keys.keys()) // never the keys themselves
    }
}

impl MacKeys {
    /// A single key.
    pub fn single(number: u8, key: [u8; 32]) -> MacKeys {
        MacKeys { current: number, keys: [(number, key)].into() }
    }

    /// Adds a key that is accepted but not written with.
    pub fn with(mut self, number: u8, key: [u8; 32]) -> MacKeys {
        self.keys.insert(number, key);
        self
    }

    /// Encodes a message in a format that its recipient reads.
    pub fn encode(&self, envelope: &Envelope, format: u8) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend([format.clamp(MIN_FORMAT, FORMAT), self.current]);
        // Plain data into a growing buffer: encoding can't fail.
        bytes.extend(postcard::to_allocvec(envelope).unwrap_or_default());
        let mac = self.keys.get(&self.current).map(|key| blake3::keyed_hash(key, &bytes));
        bytes.extend(mac.iter().flat_map(|mac| mac.as_bytes()));
        bytes
    }

    /// Decodes a message. The MAC is verified before the envelope is decoded.
    ///
    /// # Errors
    /// The reason to drop it.
    pub fn decode(&self, bytes: &[u8]) -> Result<Envelope, DecodeError> {
        self.decode_with_format(bytes).map(|(envelope, _)| envelope)
    }

    /// As [`MacKeys::decode`], and returns the format that it was written in, which its sender therefore reads.
    ///
    /// # Errors
    /// The reason to drop it.
    pub fn decode_with_format(&self, bytes: &[u8]) -> Result<(Envelope, u8), DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        if bytes.len() < HEADER_BYTES + MAC_BYTES || bytes[..MAGIC.len()] != MAGIC {
            return Err(DecodeError::NotAMessage);
        }
        if !(MIN_FORMAT..=FORMAT).contains(&bytes[FORMAT_OFFSET]) {
            return Err(DecodeError::UnsupportedFormat);
        }
        let key = self.keys.get(&bytes[KEY_OFFSET]).ok_or(DecodeError::UnknownKey)?;
        let (message, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(key, message) != *mac {
            return Err(DecodeError::WrongMac);
        }
        let (envelope, rest): (Envelope, _) =
            postcard::take_from_bytes(&message[HEADER_BYTES..]).map_err(|_| DecodeError::Malformed)?;
        // Receivers store names in tables that bound their number only.
        let is_named = (1..=MAX_TEXT_BYTES).contains(&envelope.from.name.len());
        if rest.is_empty() && is_named {
            Ok((envelope, bytes[FORMAT_OFFSET]))
        } else {
            Err(DecodeError::Malformed)
        }
    }
}
