//! The replica: drives raft, applies what it commits, and answers subscribers and proposers.

use super::codec::{decode_protobuf, encode, encode_protobuf};
use super::error::ReplicaError;
use super::fetches::{FetchAnswer, FetchServer, evidence_interval};
use super::output::Output;
use super::persistence::{PersistedState, WriteBatch};
use super::proposals::{MAX_PENDING_PROPOSALS, PendingProposals};
use super::state::{ProposalEntry, RejectedEntry, ReplicaState};
use super::storage::{RaftStorage, bootstrap_snapshot};
use crate::evidence::{Digest, DigestRejection, Evidence};
use crate::peer::PeerId;
use crate::protocol::Message;
use crate::record::{Proposal, Version};
use crate::view::{RecordTail, View};
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, Message as RaftMessage, MessageType, Snapshot,
};
use raft::{Config, RawNode, Ready, StateRole};
use std::collections::BTreeMap;
use std::time::Duration;

/// The host calls [`Replica::tick`] this often.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks without a message of a leader after which the replica with the shortest timeout starts an election.
const ELECTION_TICKS: usize = 10;
/// Ticks between the timeouts of two replicas with successive ids: more than a heartbeat and a round trip, so that they
/// seldom compete.
const ELECTION_TICKS_SPREAD: usize = 3;
/// Different election timeouts, by id.
const ELECTION_TIMEOUT_CLASSES: u64 = 8;
/// Bytes of entries in one raft message.
const MAX_RAFT_MESSAGE_BYTES: u64 = 1 << 20;
/// Raft messages that may be unacknowledged by one follower.
const MAX_INFLIGHT_RAFT_MESSAGES: usize = 64;
/// How long the response of another replica counts for [`Replica::has_recent_quorum`].
const QUORUM_CONTACT_VALID_FOR: Duration = Duration::from_millis(300);

/// One replica of the fleet view.
pub struct Replica {
    id: u64,
    node: RawNode<RaftStorage>,
    state: ReplicaState,
    tail: RecordTail,
    applied_index: u64,
    conf_state: ConfState,
    /// The voters differ from those of the last snapshot. A new replica accepts no snapshot that does not name it, so the
    /// next one must be taken at once.
    conf_changed: bool,
    evidence: Evidence,
    now: Duration,
    unix_ms: u64,
    pending_proposals: PendingProposals,
    fetches: FetchServer,
    has_lost_state: bool,
    /// When each other replica last responded to this one as the leader of its term.
    last_response: BTreeMap<u64, Duration>,
    /// Raft messages and entries that could not be decoded or that raft rejected.
    pub malformed_messages: u64,
    /// Fetches that were answered with a request to retry later.
    pub deferred_fetches: u64,
    /// Rejected digests by reason; late and repeated ones are expected.
    pub rejected_digests: BTreeMap<DigestRejection, u64>,
}

fn raft_config(id: u64, applied_index: u64) -> Config {
    let election_timeout =
        ELECTION_TICKS + ELECTION_TICKS_SPREAD * (id % ELECTION_TIMEOUT_CLASSES) as usize;
    Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: 1,
        min_election_tick: election_timeout,
        max_election_tick: election_timeout + 1,
        applied: applied_index,
        check_quorum: true,
        pre_vote: true,
        max_size_per_msg: MAX_RAFT_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_RAFT_MESSAGES,
        ..Config::default()
    }
}

impl Replica {
    /// The persisted state that each of the first replicas starts with.
    pub fn bootstrap_state(voters: &[u64]) -> PersistedState {
        PersistedState { snapshot: Some(bootstrap_snapshot(voters)), ..PersistedState::default() }
    }

    /// The persisted state of a replica that joins later: none. Its id must never have been used before: a replica that
    /// has forgotten its votes and acknowledgements must not act under the id that gave them.
    pub fn joining_state() -> PersistedState {
        PersistedState::default()
    }

    /// Starts from persisted state. `seed` makes the retry times of deferred fetches reproducible.
    ///
    /// # Errors
    /// The persisted state can't be decoded or contradicts itself.
    pub fn new(
        id: u64,
        persisted: &PersistedState,
        seed: u64,
        now: Duration,
    ) -> Result<Replica, ReplicaError> {
        let (storage, state) = RaftStorage::load(persisted)?;
        let applied_index = storage.snapshot_index();
        let conf_state = storage.snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node =
            RawNode::new(&raft_config(id, applied_index), storage, &logger).map_err(ReplicaError::raft)?;
        Ok(Replica {
            id,
            node,
            state,
            tail: RecordTail::default(),
            applied_index,
            conf_state,
            conf_changed: false,
            evidence: Evidence::default(),
            now,
            unix_ms: 0,
            pending_proposals: PendingProposals::default(),
            fetches: FetchServer::new(seed, now),
            has_lost_state: false,
            last_response: BTreeMap::new(),
            malformed_messages: 0,
            deferred_fetches: 0,
            rejected_digests: BTreeMap::new(),
        })
    }

    /// Its raft id.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The view as of the last entry that was applied here.
    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// The evidence that sidecars have reported to this replica.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Whether it is the leader of its term. A newer leader may exist: see [`Replica::has_recent_quorum`].
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Whether it leads and a majority has responded to it recently. A leader that was paused or partitioned may go on to
    /// take itself for the leader for a while, and must not act on that.
    pub fn has_recent_quorum(&self, now: Duration) -> bool {
        let is_recent = |at: &Duration| now.saturating_sub(*at) <= QUORUM_CONTACT_VALID_FOR;
        let in_contact = |id: &&u64| **id == self.id || self.last_response.get(id).is_some_and(is_recent);
        let contacts = self.voters().iter().filter(in_contact).count();
        self.is_leader() && contacts * 2 > self.voters().len()
    }

    /// The id of the leader it knows; 0 for none.
    pub fn leader_id(&self) -> u64 {
        self.node.raft.leader_id
    }

    /// The raft term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The ids of the voting replicas.
    pub fn voters(&self) -> &[u64] {
        self.conf_state.get_voters()
    }

    /// Whether the leader counts on log entries that this replica does not have: its disk is an older copy or was lost. It
    /// must stop, as it may have voted or acknowledged what it no longer knows of.
    pub fn has_lost_state(&self) -> bool {
        self.has_lost_state
    }

    /// The version that a recent proposal was decided as.
    pub fn decided_version(&self, id: u64) -> Option<Version> {
        self.state.decided_version(id)
    }

    /// Advances the clock by one tick. `unix_ms` is the wall clock; it is only shown to operators.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Output {
        (self.now, self.unix_ms) = (now, unix_ms);
        self.fetches.tick(now);
        self.node.tick();
        let mut output = self.process_ready();
        for (id, proposer) in self.pending_proposals.take_expired(now) {
            let why = "no majority of keepers agreed in time; it may be decided later".to_owned();
            output.messages.push((proposer, Message::NotDecided { id, why }));
        }
        output
    }

    /// Handles an encoded raft message of another replica. Raft ignores messages of past terms.
    pub fn handle_raft_message(&mut self, bytes: &[u8]) -> Output {
        let Some(message) = decode_protobuf::<RaftMessage>(bytes).ok().filter(|m| m.to == self.id) else {
            self.malformed_messages += 1;
            return self.process_ready();
        };
        if self.shows_lost_state(&message) {
            self.has_lost_state = true;
            return Output::default();
        }
        let is_response = matches!(
            message.get_msg_type(),
            MessageType::MsgHeartbeatResponse | MessageType::MsgAppendResponse
        );
        if is_response && message.term == self.term() && self.is_leader() {
            self.last_response.insert(message.from, self.now);
        }
        if self.node.step(message).is_err() {
            self.malformed_messages += 1;
        }
        self.process_ready()
    }

    /// Whether this is a heartbeat with a commit index behind the end of the log. A leader sends at most what the follower
    /// has acknowledged, so the follower has lost entries.
    fn shows_lost_state(&self, message: &RaftMessage) -> bool {
        message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= self.term()
            && message.commit > self.node.raft.raft_log.last_index()
    }

    /// Handles a message of a subscriber or an operator.
    pub fn handle_message(&mut self, from: &PeerId, message: Message) -> Output {
        match message {
            Message::FetchRecords { after } => self.answer_fetch(from, after),
            Message::Evidence(digest) => {
                self.record_evidence(from, &digest);
                Output::default()
            }
            Message::Propose(proposal) => self.propose(&from.name, proposal),
            _ => Output::default(),
        }
    }

    /// Records a sidecar's digest. Returns whether it was accepted; rejections are counted by reason.
    pub fn record_evidence(&mut self, from: &PeerId, digest: &Digest) -> bool {
        let recorded = self.evidence.record(self.now, from, digest);
        if let Err(rejection) = recorded {
            *self.rejected_digests.entry(rejection).or_default() += 1;
        }
        recorded.is_ok()
    }

    fn answer_fetch(&mut self, from: &PeerId, after: Version) -> Output {
        let answer = Message::view_since(&self.state.view, &self.tail, after);
        let interval = evidence_interval(self.evidence.sidecar_count());
        let messages = match self.fetches.serve(self.now, &from.name, answer, interval) {
            FetchAnswer::Served(messages) => messages,
            FetchAnswer::Deferred(retry) => {
                self.deferred_fetches += 1;
                vec![retry]
            }
        };
        let messages = messages.into_iter().map(|message| (from.name.clone(), message)).collect();
        Output { messages, ..Output::default() }
    }

    fn propose(&mut self, proposer: &str, proposal: Proposal) -> Output {
        let id = proposal.id;
        let answer = |message| {
            let messages = vec![(proposer.to_owned(), message)];
            Output { messages, ..Output::default() }
        };
        let reject = |why: String| answer(Message::NotDecided { id, why });
        if let Some(version) = self.decided_version(id) {
            return answer(Message::Decided { id, version });
        }
        if let Err(problem) = proposal.validate() {
            return reject(problem.to_string());
        }
        if self.pending_proposals.is_full() {
            return reject(format!("{MAX_PENDING_PROPOSALS} proposals are under way"));
        }
        let data = encode(&ProposalEntry { at_ms: self.unix_ms, proposal });
        if let Err(error) = self.node.propose(Vec::new(), data) {
            return reject(format!("no leader takes it: {error}"));
        }
        self.pending_proposals.insert(id, proposer, self.now);
        self.process_ready()
    }

    /// Adds a voter or removes one. Only the leader can, one change at a time.
    ///
    /// # Errors
    /// It does not lead, another change is pending, or the change makes no difference or would leave no voter.
    pub fn change_voters(&mut self, id: u64, add: bool) -> Result<Output, ReplicaError> {
        if !self.is_leader() {
            return Err(ReplicaError::Raft(format!("keeper {} leads", self.leader_id())));
        }
        let is_voter = self.voters().contains(&id);
        if !add && is_voter && self.voters().len() == 1 {
            return Err(ReplicaError::Raft(format!("{id} is the only keeper")));
        }
        if is_voter == add {
            let state = if add { "already" } else { "not" };
            return Err(ReplicaError::Raft(format!("{id} is {state} a keeper")));
        }
        if self.node.raft.has_pending_conf() {
            return Err(ReplicaError::Raft("another change is under way".to_owned()));
        }
        let mut change = ConfChange::default();
        change.set_change_type(if add { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode });
        change.node_id = id;
        self.node.propose_conf_change(Vec::new(), change).map_err(ReplicaError::raft)?;
        Ok(self.process_ready())
    }

    /// Collects everything that raft wants done now. Each round can make more work ready; it ends, as no input arrives
    /// meanwhile.
    fn process_ready(&mut self) -> Output {
        let mut output = Output::default();
        while self.node.has_ready() {
            let ready = self.node.ready();
            self.process_one_ready(ready, &mut output);
        }
        self.compact(&mut output);
        self.notify_subscribers(&mut output);
        output
    }

    fn process_one_ready(&mut self, mut ready: Ready, output: &mut Output) {
        queue_raft_messages(ready.take_messages(), output);
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot().clone(), output);
        }
        if !ready.entries().is_empty() {
            let encoded = ready.entries().iter().map(|entry| (entry.index, encode_protobuf(entry)));
            output.writes.append_entries(encoded.collect());
            // It can't fail: raft made the entries to follow what this storage holds.
            let appended = self.node.mut_store().memory.wl().append(ready.entries());
            debug_assert!(appended.is_ok());
        }
        if let Some(hard_state) = ready.hs() {
            output.writes.hard_state = Some(encode_protobuf(hard_state));
            self.node.mut_store().memory.wl().set_hardstate(hard_state.clone());
        }
        queue_raft_messages(ready.take_persisted_messages(), output);
        let committed = ready.take_committed_entries();
        self.apply_committed(committed, output);
        let mut light_ready = self.node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            let mut memory = self.node.mut_store().memory.wl();
            memory.mut_hard_state().commit = commit;
            output.writes.hard_state = Some(encode_protobuf(memory.hard_state()));
        }
        queue_raft_messages(light_ready.take_messages(), output);
        let committed = light_ready.take_committed_entries();
        self.apply_committed(committed, output);
        self.node.advance_apply();
    }

    /// Replaces the log and the state machine by the leader's snapshot. One that this build can't decode was written by a
    /// newer build; the replica then stays as it is.
    fn install_snapshot(&mut self, snapshot: Snapshot, output: &mut Output) {
        let Ok(state) = ReplicaState::decode(snapshot.get_data()) else {
            self.malformed_messages += 1;
            return;
        };
        output.writes = WriteBatch { snapshot: Some(encode_protobuf(&snapshot)), ..WriteBatch::default() };
        self.state = state;
        self.applied_index = snapshot.get_metadata().index;
        self.conf_state = snapshot.get_metadata().get_conf_state().clone();
        self.tail.clear();
        self.node.mut_store().install(snapshot);
    }

    fn apply_committed(&mut self, entries: Vec<Entry>, output: &mut Output) {
        for entry in entries {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                // A new leader commits an empty entry to begin its term.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_proposal(&entry, output),
                EntryType::EntryConfChange => self.apply_conf_change(&entry),
                EntryType::EntryConfChangeV2 => {}
            }
        }
    }

    fn apply_conf_change(&mut self, entry: &Entry) {
        let Ok(change) = decode_protobuf::<ConfChange>(&entry.data) else { return };
        if let Ok(conf_state) = self.node.apply_conf_change(&change) {
            self.conf_state = conf_state.clone();
            self.conf_changed = true;
            self.node.mut_store().memory.wl().set_conf_state(conf_state);
        }
    }

    /// Applies a committed proposal and answers its proposer, if that waits here.
    fn apply_proposal(&mut self, entry: &Entry, output: &mut Output) {
        let Ok(proposal_entry) = postcard::from_bytes::<ProposalEntry>(&entry.data) else {
            self.malformed_messages += 1; // the same on every replica, so the views stay equal
            return;
        };
        let id = proposal_entry.proposal.id;
        let answer = match self.state.apply(entry.term, proposal_entry) {
            Ok(record) => {
                let version = record.version;
                self.tail.push(record.clone());
                output.applied.push(record);
                Message::Decided { id, version }
            }
            Err(RejectedEntry::Duplicate(version)) => Message::Decided { id, version },
            Err(RejectedEntry::Invalid(why)) => Message::NotDecided { id, why },
        };
        if let Some(proposer) = self.pending_proposals.remove(id) {
            output.messages.push((proposer, answer));
        }
    }

    /// Compacts the log when it has grown, and at once when the voters have changed.
    fn compact(&mut self, output: &mut Output) {
        let is_due = self.node.store().is_compaction_due(self.applied_index);
        if !is_due && !std::mem::take(&mut self.conf_changed) {
            return;
        }
        let store = self.node.mut_store();
        let Some(snapshot) = store.build_snapshot(self.applied_index, &self.conf_state, &self.state) else {
            return;
        };
        self.conf_changed = false;
        let encoded = encode_protobuf(&snapshot);
        if let Some(first_kept) = store.compact(snapshot) {
            output.writes.snapshot = Some(encoded);
            output.writes.compact = Some(first_kept);
        }
    }

    fn notify_subscribers(&mut self, output: &mut Output) {
        if output.applied.is_empty() {
            return;
        }
        for subscriber in self.fetches.notified() {
            output.messages.push((subscriber.clone(), Message::Records(output.applied.clone())));
        }
    }
}

fn queue_raft_messages(messages: Vec<RaftMessage>, output: &mut Output) {
    output.raft_messages.extend(messages.into_iter().map(|m| (m.to, encode_protobuf(&m))));
}
