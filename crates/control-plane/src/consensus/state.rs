//! The replicated state machine: the view, and the ids of recent proposals for deduplication.

use super::codec::encode;
use super::error::ReplicaError;
use crate::record::{Proposal, Record, Version};
use crate::view::{ApplyError, View};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Ids of decided proposals that are remembered, so that a proposal sent twice is decided once.
const MAX_REMEMBERED_PROPOSALS: usize = 1024;

/// The data of a raft log entry. Part of the stored format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ProposalEntry {
    /// Wall clock of the replica that took the proposal, in milliseconds of Unix time.
    pub(super) at_ms: u64,
    pub(super) proposal: Proposal,
}

/// Why a committed entry adds no record.
pub(super) enum RejectedEntry {
    /// The same proposal was decided before, as this version.
    Duplicate(Version),
    /// It is not valid after the records before it.
    Invalid(String),
}

/// The state that all replicas derive from the same log. Part of the stored format: it is a snapshot's data.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(super) struct ReplicaState {
    pub(super) view: View,
    decided: VecDeque<(u64, Version)>,
}

impl ReplicaState {
    pub(super) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<ReplicaState, ReplicaError> {
        postcard::from_bytes(bytes).map_err(ReplicaError::corrupt)
    }

    /// The version that a recent proposal was decided as.
    pub(super) fn decided_version(&self, id: u64) -> Option<Version> {
        self.decided.iter().find(|(known, _)| *known == id).map(|(_, version)| *version)
    }

    /// Applies a committed proposal: it becomes the next record, or is rejected and changes nothing.
    pub(super) fn apply(&mut self, term: u64, entry: ProposalEntry) -> Result<Record, RejectedEntry> {
        let ProposalEntry { at_ms, proposal } = entry;
        if let Some(version) = self.decided_version(proposal.id) {
            return Err(RejectedEntry::Duplicate(version));
        }
        if let Some(expected) = proposal.expected_version {
            let newest = self.view.get(&proposal.key).map_or(Version(0), |record| record.version);
            if newest != expected {
                let why = format!("{} is at version {newest}, and not {expected}", proposal.key);
                return Err(RejectedEntry::Invalid(why));
            }
        }
        let id = proposal.id;
        let version = self.view.version().next();
        let record = Record { version, term, previous_hash: self.view.hash(), at_ms, proposal };
        let invalid = |error: ApplyError| RejectedEntry::Invalid(error.to_string());
        self.view.apply(record.clone()).map_err(invalid)?;
        self.decided.push_back((id, version));
        if self.decided.len() > MAX_REMEMBERED_PROPOSALS {
            self.decided.pop_front();
        }
        Ok(record)
    }
}
