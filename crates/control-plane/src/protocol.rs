//! What processes of a fleet say to one another: a format, a key's number, the words, and a MAC over all of it.

use crate::configuration::{ConfigCommand, ConfigReport};
use crate::evidence::{Digest, LegacyDigest};
use crate::record::{Hash, MAX_TEXT_BYTES, Proposal, Record, Version};
use crate::view::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The format that this build writes. The second has words that the first did not know, and readers who pass over words
/// that they don't know.
pub const FORMAT: u8 = 2;
/// The oldest that it reads, and writes to who speaks that one: behind by one, so that a fleet is upgraded one process at a
/// time.
pub const MIN_FORMAT: u8 = 1;
/// First bytes of every message.
const MAGIC: [u8; 3] = *b"CHF";
/// The largest message, in bytes: a snapshot of a whole view and a little.
pub const MAX_MESSAGE_BYTES: usize =
    crate::view::MAX_BYTES + crate::view::SMALL_RECORDS_RESERVE + (6 << 20);
const HEADER_BYTES: usize = MAGIC.len() + 2;
const MAC_BYTES: usize = 32;

/// Who says something.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct PeerId {
    /// Its name, of its own in the fleet.
    pub name: String,
    /// Which start of it, rising; of two with one name the greater is the one.
    pub incarnation: u64,
}

/// What is said.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// This is how far I am.
    ViewVersion {
        /// Up to which version.
        version: Version,
        /// Its hash.
        hash: Hash,
    },
    /// What follows this version, please.
    FetchRecords {
        /// What I have.
        after: Version,
    },
    /// Records in their order.
    Records(Vec<Record>),
    /// All of it, since what you have is too far behind.
    Snapshot(View),
    /// Not now: come back after so many milliseconds.
    RetryAfter {
        /// After how long.
        after_ms: u32,
    },
    /// What builds of the first format see.
    LegacyEvidence(LegacyDigest),
    /// Please decide this.
    Propose(Proposal),
    /// It is decided, as this version.
    Decided {
        /// The proposal's id.
        id: u64,
        /// The version.
        version: Version,
    },
    /// It is not decided, and why.
    NotDecided {
        /// The proposal's id.
        id: u64,
        /// Why.
        why: String,
    },
    /// A message of the keepers' agreement, in its library's own form.
    Raft(Vec<u8>),
    /// How do you stand? An operator asks.
    DescribeServer,
    /// Like this, as JSON.
    Described(String),
    /// Please add a keeper, or remove one.
    ChangeVoters {
        /// Its number.
        server: u64,
        /// Add it.
        add: bool,
    },
    /// The change is under way; `Describe` shows when it holds.
    VoterChangeStarted,
    /// It is not, and why.
    VoterChangeRejected(String),
    /// A packet of the membership, in its library's own form.
    Membership(Vec<u8>),
    /// Whom do you know? An operator asks.
    ListMembers,
    /// Tell me what you see no oftener than this, and ask me four times as seldom.
    SetEvidenceInterval {
        /// In milliseconds.
        interval_ms: u32,
    },
    /// What I see.
    Evidence(Digest),
    /// Probe this hall so often, and tell what you see.
    ProbeZone {
        /// The hall.
        zone: String,
        /// Probes, each of another endpoint where there are so many.
        count: u32,
    },
    /// You may send so many calls a second into these halls.
    Grant {
        /// The term of the keeper that says so.
        term: u64,
        /// The digest by which it was asked ...
        digest_sequence: u64,
        /// ... and for how long from then on.
        valid_ms: u32,
        /// By hall.
        rates: Vec<(String, f64)>,
    },
    /// How do halls stand? An operator asks.
    ListZones,
    /// This configuration is in force here.
    ReportConfig(ConfigReport),
    /// Please do this with the configuration; answered as a proposal is.
    CommandConfig(ConfigCommand),
    /// How does the configuration stand? An operator asks.
    DescribeConfig,
}

impl Message {
    /// The format that this was first said in.
    pub fn min_format(&self) -> u8 {
        match self {
            Message::Membership(_)
            | Message::ListMembers
            | Message::SetEvidenceInterval { .. }
            | Message::Evidence(_) => 2,
            Message::ProbeZone { .. } | Message::Grant { .. } | Message::ListZones => 2,
            // Readers of the second format pass over words that they don't know.
            Message::ReportConfig(_) | Message::CommandConfig(_) | Message::DescribeConfig => 2,
            _ => 1,
        }
    }

    /// Bytes of it, about: for budgets, which need no more.
    pub fn approximate_size(&self) -> usize {
        match self {
            Message::Records(records) => {
                records.iter().map(|record| record.proposal.body.len() + 300).sum()
            }
            Message::Snapshot(view) => view.bytes() + 300 * view.records().count(),
            _ => 0,
        }
    }
}

/// A message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Who says it.
    pub from: PeerId,
    /// What.
    pub message: Message,
}

/// Why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    /// It is shorter than any message, or not one of a fleet's.
    #[error("it is no message of a fleet")]
    NotAMessage,
    /// It is longer than any message.
    #[error("it is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// Its format is older or newer than what this build reads.
    #[error("its format is not read here")]
    UnsupportedFormat,
    /// Its key is not known here.
    #[error("its key is not known here")]
    UnknownKey,
    /// Its MAC is another one.
    #[error("its MAC is wrong")]
    WrongMac,
    /// What it says can't be read.
    #[error("what it says can't be read")]
    Malformed,
}

/// The fleet's keys by their number: the one that is written with, and while it is changed the other.
#[derive(Clone)]
pub struct MacKeys {
    current: u8,
    keys: BTreeMap<u8, [u8; 32]>,
}

impl std::fmt::Debug for MacKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "keys {:?}", self.keys.keys()) // never their bytes
    }
}

impl MacKeys {
    /// One key.
    pub fn single(number: u8, key: [u8; 32]) -> MacKeys {
        MacKeys { current: number, keys: [(number, key)].into() }
    }

    /// Beside it another one that is read, and not written with yet or any more.
    pub fn with(mut self, number: u8, key: [u8; 32]) -> MacKeys {
        self.keys.insert(number, key);
        self
    }

    /// A message's bytes in a format that its reader reads.
    pub fn encode(&self, envelope: &Envelope, format: u8) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend([format.clamp(MIN_FORMAT, FORMAT), self.current]);
        // Plain data into a growing buffer: it never fails.
        bytes.extend(postcard::to_allocvec(envelope).unwrap_or_default());
        let mac = self.keys.get(&self.current).map(|key| blake3::keyed_hash(key, &bytes));
        bytes.extend(mac.iter().flat_map(|mac| mac.as_bytes()));
        bytes
    }

    /// A message out of its bytes.
    ///
    /// # Errors
    /// Why it is dropped. The MAC is looked at before any of the words.
    pub fn decode(&self, bytes: &[u8]) -> Result<Envelope, DecodeError> {
        self.decode_with_format(bytes).map(|(envelope, _)| envelope)
    }

    /// The same, with the format that it was written in: who writes it reads it too.
    ///
    /// # Errors
    /// Why it is dropped.
    pub fn decode_with_format(&self, bytes: &[u8]) -> Result<(Envelope, u8), DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        if bytes.len() < HEADER_BYTES + MAC_BYTES || bytes[..MAGIC.len()] != MAGIC {
            return Err(DecodeError::NotAMessage);
        }
        if !(MIN_FORMAT..=FORMAT).contains(&bytes[3]) {
            return Err(DecodeError::UnsupportedFormat);
        }
        let key = self.keys.get(&bytes[4]).ok_or(DecodeError::UnknownKey)?;
        let (message, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        // The hash type compares in constant time.
        if blake3::keyed_hash(key, message) != *mac {
            return Err(DecodeError::WrongMac);
        }
        let (envelope, rest): (Envelope, _) =
            postcard::take_from_bytes(&message[HEADER_BYTES..]).map_err(|_| DecodeError::Malformed)?;
        // Names are kept in tables that are bounded by their number.
        let named = (1..=MAX_TEXT_BYTES).contains(&envelope.from.name.len());
        if rest.is_empty() && named { Ok((envelope, bytes[3])) } else { Err(DecodeError::Malformed) }
    }
}
