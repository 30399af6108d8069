//! Proposals that this replica has taken and that are not decided yet.

use std::collections::BTreeMap;
use std::time::Duration;

/// How long a proposer waits for a decision. It is then answered that there is none so far; the proposal may still be
/// committed later.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Bound on proposals that one replica has taken and that are not decided.
pub(super) const MAX_PENDING_PROPOSALS: usize = 256;

struct PendingProposal {
    proposer: String,
    deadline: Duration,
}

/// The proposers that wait for an answer, by the id of their proposal.
#[derive(Default)]
pub(super) struct PendingProposals {
    by_id: BTreeMap<u64, PendingProposal>,
}

impl PendingProposals {
    pub(super) fn is_full(&self) -> bool {
        self.by_id.len() >= MAX_PENDING_PROPOSALS
    }

    pub(super) fn insert(&mut self, id: u64, proposer: &str, now: Duration) {
        let deadline = now + PROPOSAL_TIMEOUT;
        self.by_id.insert(id, PendingProposal { proposer: proposer.to_owned(), deadline });
    }

    /// Ends the wait for a proposal. Returns its proposer, if one waits here.
    pub(super) fn remove(&mut self, id: u64) -> Option<String> {
        self.by_id.remove(&id).map(|pending| pending.proposer)
    }

    /// Ends each wait whose deadline has passed. Returns ids and proposers, ordered by id.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<(u64, String)> {
        let (expired, pending) =
            std::mem::take(&mut self.by_id).into_iter().partition(|(_, pending)| now >= pending.deadline);
        self.by_id = pending;
        let expired: BTreeMap<u64, PendingProposal> = expired;
        expired.into_iter().map(|(id, pending)| (id, pending.proposer)).collect()
    }
}
