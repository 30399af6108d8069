//! A keeper: raft agrees on entries, and each that makes sense becomes the next record of the view.
//!
//! The host gives it ticks, messages and proposals, and after each takes its [`Output`]: it writes and syncs what is to
//! be kept, and only then sends what is to be said.

use crate::evidence::{Digest, DigestRejection, Evidence};
use crate::protocol::{Message, PeerId};
use crate::record::{Proposal, Record, Version};
use crate::subscriber::{
    EVIDENCE_INTERVAL, INTERVALS_PER_FETCH, MAX_EVIDENCE_INTERVAL, MAX_RECORDS_PER_MESSAGE,
};
use crate::view::{ApplyError, RecordTail, View};
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, HardState, Message as RaftMessage,
    MessageType, Snapshot,
};
use raft::storage::{MemStorage, Storage};
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, StorageError};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The host ticks a keeper this often.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A keeper that has heard no leader for so many ticks, and a few more by its number, asks for votes.
const ELECTION_TICKS: usize = 10;
/// Ticks between two keepers' timeouts: more than a heartbeat and the way there and back.
const ELECTION_TICKS_SPREAD: usize = 3;
/// Applied entries after which what they did is kept as a snapshot in their place.
const COMPACT_AFTER: u64 = 512;
/// Entries left behind a snapshot for a keeper a little behind.
const ENTRIES_KEPT_BY_COMPACTION: u64 = 128;
/// Answers of a majority count for so long.
const QUORUM_CONTACT_VALID_FOR: Duration = Duration::from_millis(300);
/// A proposal that is not decided after this is told so; it may be all the same, later.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Proposals under way at one keeper, at the most.
const MAX_PENDING_PROPOSALS: usize = 256;
/// Ids of decided proposals that are remembered, so that one that comes twice is decided once.
const MAX_REMEMBERED_PROPOSALS: usize = 1024;
/// Holders that are told what follows, at the most.
const MAX_NOTIFIED_SUBSCRIBERS: usize = 20_000;
/// Digests that a keeper takes in a second: of a larger fleet each sidecar tells more seldom, and still hundreds tell in the
/// time in which a hall is judged.
const MAX_DIGESTS_PER_S: f64 = 2000.0;
/// Bytes that a keeper tells holders in a second, at the most, and saves up at the most.
pub const SEND_BYTES_PER_S: f64 = 16e6;

/// What raft's entries agree on.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ProposalEntry {
    at_ms: u64,
    proposal: Proposal,
}

/// Why an agreed entry is no new record.
enum RejectedEntry {
    /// It has come before, and is this version.
    Duplicate(Version),
    /// It makes no sense after what was decided before it.
    Invalid(String),
}

/// What all keepers make of the same entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct ReplicaState {
    view: View,
    ids: VecDeque<(u64, Version)>,
}

/// What must be on disk before anything of the same output is said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// In place of all that is kept.
    pub snapshot: Option<Vec<u8>>,
    /// By index; those of the first index and after are replaced.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Term, vote and commit.
    pub hard_state: Option<Vec<u8>>,
    /// Entries below this index may go, as the snapshot has what they did.
    pub compact: Option<u64>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }
}

/// All that a keeper has kept on disk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PersistedState {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// By index.
    pub entries: BTreeMap<u64, Vec<u8>>,
    /// Term, vote and commit.
    pub hard_state: Option<Vec<u8>>,
}

impl PersistedState {
    /// Takes what an output wants kept, as a store does.
    pub fn apply(&mut self, persist: &WriteBatch) {
        if let Some(snapshot) = &persist.snapshot {
            self.snapshot = Some(snapshot.clone());
            if persist.compact.is_none() {
                self.entries.clear();
            }
        }
        if let Some((first, _)) = persist.entries.first() {
            self.entries.split_off(first);
        }
        self.entries.extend(persist.entries.iter().cloned());
        if let Some(hard_state) = &persist.hard_state {
            self.hard_state = Some(hard_state.clone());
        }
        if let Some(compact) = persist.compact {
            self.entries = self.entries.split_off(&compact);
        }
    }
}

/// What a keeper wants done: first `persist` is written and synced, then the rest happens.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// To be kept.
    pub writes: WriteBatch,
    /// Messages of the agreement, by the keeper's number.
    pub raft_messages: Vec<(u64, Vec<u8>)>,
    /// To be said to holders and proposers, by name.
    pub messages: Vec<(String, Message)>,
    /// Newly decided.
    pub applied: Vec<Record>,
}

/// Why a keeper can't begin or do something.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReplicaError {
    /// What was kept can't be read.
    #[error("what was kept can't be read: {0}")]
    CorruptState(String),
    /// The agreement's library refuses.
    #[error("agreement: {0}")]
    Raft(String),
}

/// Raft's storage in memory, with the snapshot that the last compaction made.
struct RaftStorage {
    memory: MemStorage,
    snapshot: Snapshot,
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index || self.snapshot.get_metadata().index == 0 {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

/// A keeper.
pub struct Replica {
    id: u64,
    node: RawNode<RaftStorage>,
    state: ReplicaState,
    tail: RecordTail,
    applied_index: u64,
    conf: ConfState,
    /// The keepers are others than in the last snapshot: a new one takes none that does not name it.
    conf_changed: bool,
    evidence: Evidence,
    now: Duration,
    unix_ms: u64,
    /// Proposals under way: who waits, and until when.
    waiting: BTreeMap<u64, (String, Duration)>,
    /// Holders that are told what follows, until then.
    told: BTreeMap<String, Duration>,
    budget: f64,
    draws: Pcg32,
    has_lost_state: bool,
    /// When each other keeper last answered this one as the leader of its term.
    answered: BTreeMap<u64, Duration>,
    /// Sidecars were told to tell more seldom, and are to be told when they need not any more.
    paced: bool,
    /// Messages of the agreement that could not be read or did not fit.
    pub malformed_messages: u64,
    /// Asks that were put off.
    pub deferred_fetches: u64,
    /// Digests that were not taken, by why; late and repeated ones are expected.
    pub rejected_digests: BTreeMap<DigestRejection, u64>,
}

/// The snapshot that all first keepers begin from, so that they agree on who they are.
fn first_snapshot(keepers: &[u64]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = 1;
    snapshot.mut_metadata().term = 1;
    snapshot.mut_metadata().mut_conf_state().set_voters(keepers.to_vec());
    snapshot.set_data(encode(&ReplicaState::default()).into());
    snapshot
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default() // plain data: it never fails
}

fn read<M: protobuf::Message>(bytes: &[u8]) -> Result<M, ReplicaError> {
    let mut message = M::new();
    message.merge_from_bytes(bytes).map_err(|e| ReplicaError::CorruptState(e.to_string()))?;
    Ok(message)
}

fn write(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default() // into memory: it never fails
}

fn agreement(error: impl std::fmt::Display) -> ReplicaError {
    ReplicaError::Raft(error.to_string())
}

impl Replica {
    /// What one of the first keepers begins with, on an empty disk.
    pub fn bootstrap_state(keepers: &[u64]) -> PersistedState {
        PersistedState { snapshot: Some(write(&first_snapshot(keepers))), ..PersistedState::default() }
    }

    /// What one that joins later begins with: nothing. It must have a number that no keeper ever had: one that forgot
    /// what it promised must not be taken for who promised.
    pub fn joining_state() -> PersistedState {
        PersistedState::default()
    }

    /// Begins, or goes on, with what was kept.
    ///
    /// # Errors
    /// It can't be read.
    pub fn new(id: u64, kept: &PersistedState, seed: u64, now: Duration) -> Result<Replica, ReplicaError> {
        let memory = MemStorage::new();
        let (mut state, mut snapshot) = (ReplicaState::default(), Snapshot::default());
        if let Some(bytes) = &kept.snapshot {
            snapshot = read(bytes)?;
            state = postcard::from_bytes(snapshot.get_data())
                .map_err(|e| ReplicaError::CorruptState(e.to_string()))?;
            memory.wl().apply_snapshot(snapshot.clone()).map_err(agreement)?;
        }
        let from = snapshot.get_metadata().index;
        let entries: Result<Vec<Entry>, _> =
            kept.entries.range(from + 1..).map(|(_, bytes)| read::<Entry>(bytes)).collect();
        let entries = entries?;
        if let Some((n, _)) =
            entries.iter().enumerate().find(|(n, entry)| entry.index != from + 1 + *n as u64)
        {
            return Err(ReplicaError::CorruptState(format!("entry {} is missing", from + 1 + n as u64)));
        }
        memory.wl().append(&entries).map_err(agreement)?;
        if let Some(bytes) = &kept.hard_state {
            let mut hard: HardState = read(bytes)?;
            // What is kept of entries decides: a commit beyond them was said of what a torn write lost.
            let last = entries.last().map_or(from, |entry| entry.index);
            if hard.commit > last {
                return Err(ReplicaError::CorruptState(format!(
                    "{} is decided, and {last} is the last that is kept",
                    hard.commit
                )));
            }
            hard.commit = hard.commit.max(from);
            memory.wl().set_hardstate(hard);
        }
        let ticks = ELECTION_TICKS + ELECTION_TICKS_SPREAD * (id % 8) as usize;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: 1,
            min_election_tick: ticks,
            max_election_tick: ticks + 1,
            applied: from,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            ..Config::default()
        };
        let conf = snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, RaftStorage { memory, snapshot }, &logger).map_err(agreement)?;
        let (tail, evidence, waiting, told, unread, put_off, not_taken) = Default::default();
        let draws = Pcg32::seed_from_u64(seed);
        Ok(Replica {
            id,
            node,
            state,
            tail,
            applied_index: from,
            conf,
            conf_changed: false,
            evidence,
            now,
            unix_ms: 0,
            waiting,
            told,
            budget: SEND_BYTES_PER_S,
            draws,
            has_lost_state: false,
            answered: BTreeMap::new(),
            paced: false,
            malformed_messages: unread,
            deferred_fetches: put_off,
            rejected_digests: not_taken,
        })
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// What is decided, as far as it knows.
    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// What sidecars see.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Whether a majority has answered it as their leader of late: one that was paused, or cut off, may still think that it
    /// leads.
    pub fn has_recent_quorum(&self, now: Duration) -> bool {
        let of_late = |id: &&u64| {
            **id == self.id
                || self
                    .answered
                    .get(id)
                    .is_some_and(|at| now.saturating_sub(*at) <= QUORUM_CONTACT_VALID_FOR)
        };
        let there = self.voters().iter().filter(of_late).count();
        self.is_leader() && there * 2 > self.voters().len()
    }

    /// The leader's number, as far as it knows; 0 for none.
    pub fn leader_id(&self) -> u64 {
        self.node.raft.leader_id
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The keepers' numbers.
    pub fn voters(&self) -> &[u64] {
        self.conf.get_voters()
    }

    /// A tick has passed; `unix_ms` is the wall clock, for people alone.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Output {
        let passed = now.saturating_sub(self.now);
        (self.now, self.unix_ms) = (now, unix_ms);
        self.budget = (self.budget + SEND_BYTES_PER_S * passed.as_secs_f64()).min(SEND_BYTES_PER_S);
        self.told.retain(|_, until| now < *until);
        self.node.tick();
        let mut output = self.output();
        let late: Vec<u64> =
            self.waiting.iter().filter(|(_, (_, at))| now >= *at).map(|(id, _)| *id).collect();
        for id in late {
            if let Some((name, _)) = self.waiting.remove(&id) {
                let why = "no majority of keepers agreed in time; it may be decided later".to_owned();
                output.messages.push((name, Message::NotDecided { id, why }));
            }
        }
        output
    }

    /// A message of another keeper.
    pub fn handle_raft_message(&mut self, bytes: &[u8]) -> Output {
        match read::<RaftMessage>(bytes) {
            // Of one that is not of its configuration, or of a past term, raft takes nothing.
            // The leader counts on what this keeper has said that it holds, and it does not hold it.
            Ok(message)
                if message.get_msg_type() == MessageType::MsgHeartbeat && self.is_beyond_log(&message) =>
            {
                self.has_lost_state = true;
                return Output::default();
            }
            Ok(message) if message.to == self.id => {
                let answers = matches!(
                    message.get_msg_type(),
                    MessageType::MsgHeartbeatResponse | MessageType::MsgAppendResponse
                );
                if answers && message.term == self.node.raft.term && self.is_leader() {
                    self.answered.insert(message.from, self.now);
                }
                if self.node.step(message).is_err() {
                    self.malformed_messages += 1;
                }
            }
            _ => self.malformed_messages += 1,
        }
        self.output()
    }

    fn is_beyond_log(&self, message: &RaftMessage) -> bool {
        let log = &self.node.raft.raft_log;
        message.to == self.id && message.term >= self.node.raft.term && message.commit > log.last_index()
    }

    /// Whether it has been shown that its disk holds less than it has promised: an old copy, or one that forgot. It must end.
    pub fn has_lost_state(&self) -> bool {
        self.has_lost_state
    }

    /// Something that a holder or an operator says.
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

    /// Whether a sidecar's digest is taken; why not is counted.
    pub fn record_evidence(&mut self, from: &PeerId, digest: &Digest) -> bool {
        let taken = self.evidence.record(self.now, from, digest);
        if let Err(why) = taken {
            *self.rejected_digests.entry(why).or_default() += 1;
        }
        taken.is_ok()
    }

    fn answer_fetch(&mut self, from: &PeerId, after: Version) -> Output {
        let answer = self.answer(after);
        let cost = 100.0 + answer.approximate_size() as f64;
        let mut output = Output::default();
        // One that is larger than all that can be saved goes alone.
        if cost > self.budget && self.budget < SEND_BYTES_PER_S {
            self.deferred_fetches += 1;
            let after_ms = self.draws.random_range(200..1000);
            output.messages.push((from.name.clone(), Message::RetryAfter { after_ms }));
            return output;
        }
        self.budget -= cost;
        if self.told.len() < MAX_NOTIFIED_SUBSCRIBERS || self.told.contains_key(&from.name) {
            self.told.insert(
                from.name.clone(),
                self.now + self.evidence_interval() * INTERVALS_PER_FETCH * 3 / 2,
            );
        }
        let pace = self.evidence_interval();
        self.paced |= pace > EVIDENCE_INTERVAL;
        if self.paced {
            let every_ms = pace.as_millis() as u32;
            output
                .messages
                .push((from.name.clone(), Message::SetEvidenceInterval { interval_ms: every_ms }));
        }
        output.messages.push((from.name.clone(), answer));
        output
    }

    /// How often each of the sidecars that are known may tell.
    fn evidence_interval(&self) -> Duration {
        let wanted = Duration::from_secs_f64(self.evidence.sidecar_count() as f64 / MAX_DIGESTS_PER_S);
        // In whole steps, so that it does not change with every sidecar.
        let steps = wanted.as_millis().div_ceil(EVIDENCE_INTERVAL.as_millis()) as u32;
        (EVIDENCE_INTERVAL * steps).clamp(EVIDENCE_INTERVAL, MAX_EVIDENCE_INTERVAL)
    }

    fn answer(&self, after: Version) -> Message {
        let view = &self.state.view;
        if after >= view.version() {
            return Message::ViewVersion { version: view.version(), hash: view.hash() };
        }
        match self.tail.after(after, MAX_RECORDS_PER_MESSAGE) {
            Some(records) => Message::Records(records),
            None => Message::Snapshot(view.clone()),
        }
    }

    /// As which version a proposal was decided, if it was lately.
    pub fn decided_version(&self, id: u64) -> Option<Version> {
        self.state.ids.iter().find(|(known, _)| *known == id).map(|(_, version)| *version)
    }

    fn propose(&mut self, name: &str, proposal: Proposal) -> Output {
        let id = proposal.id;
        let mut output = Output::default();
        let refuse = |why: String| (name.to_owned(), Message::NotDecided { id, why });
        if let Some(version) = self.decided_version(id) {
            output.messages.push((name.to_owned(), Message::Decided { id, version }));
            return output;
        }
        if let Err(problem) = proposal.validate() {
            output.messages.push(refuse(problem.to_string()));
            return output;
        }
        if self.waiting.len() >= MAX_PENDING_PROPOSALS {
            output.messages.push(refuse(format!("{MAX_PENDING_PROPOSALS} proposals are under way")));
            return output;
        }
        let data = encode(&ProposalEntry { at_ms: self.unix_ms, proposal });
        match self.node.propose(Vec::new(), data) {
            Ok(()) => {
                self.waiting.insert(id, (name.to_owned(), self.now + PROPOSAL_TIMEOUT));
                self.output()
            }
            Err(e) => {
                output.messages.push(refuse(format!("no leader takes it: {e}")));
                output
            }
        }
    }

    /// Adds a keeper, or removes one: one at a time, by the leader alone.
    ///
    /// # Errors
    /// It does not lead, or another change is under way.
    pub fn change_voters(&mut self, keeper: u64, add: bool) -> Result<Output, ReplicaError> {
        if !self.is_leader() {
            return Err(ReplicaError::Raft(format!("keeper {} leads", self.leader_id())));
        }
        let known = self.voters().contains(&keeper);
        if !add && known && self.voters().len() == 1 {
            return Err(ReplicaError::Raft(format!("{keeper} is the only keeper")));
        }
        if known == add {
            return Err(ReplicaError::Raft(format!(
                "{keeper} is {} a keeper",
                if add { "already" } else { "not" }
            )));
        }
        if self.node.raft.has_pending_conf() {
            return Err(ReplicaError::Raft("another change is under way".to_owned()));
        }
        let mut change = ConfChange::default();
        change.set_change_type(if add { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode });
        change.node_id = keeper;
        self.node.propose_conf_change(Vec::new(), change).map_err(agreement)?;
        Ok(self.output())
    }

    /// What the agreement's library wants done now.
    fn output(&mut self) -> Output {
        let mut output = Output::default();
        // Each round's work may bring about more; it ends, since nothing new comes in meanwhile.
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            self.queue_raft_messages(ready.take_messages(), &mut output);
            if !ready.snapshot().is_empty() {
                self.restore(ready.snapshot().clone(), &mut output);
            }
            if !ready.entries().is_empty() {
                let kept = ready.entries().iter().map(|entry| (entry.index, write(entry)));
                keep(&mut output.writes.entries, kept.collect());
                // It was made of what the library itself holds to be next.
                let appended = self.node.mut_store().memory.wl().append(ready.entries());
                debug_assert!(appended.is_ok());
            }
            if let Some(hard) = ready.hs() {
                output.writes.hard_state = Some(write(hard));
                self.node.mut_store().memory.wl().set_hardstate(hard.clone());
            }
            self.queue_raft_messages(ready.take_persisted_messages(), &mut output);
            let committed = ready.take_committed_entries();
            self.apply(committed, &mut output);
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                let mut memory = self.node.mut_store().memory.wl();
                memory.mut_hard_state().commit = commit;
                output.writes.hard_state = Some(write(memory.hard_state()));
            }
            self.queue_raft_messages(light.take_messages(), &mut output);
            let committed = light.take_committed_entries();
            self.apply(committed, &mut output);
            self.node.advance_apply();
        }
        self.compact(&mut output);
        self.notify_subscribers(&mut output);
        output
    }

    fn queue_raft_messages(&self, messages: Vec<RaftMessage>, output: &mut Output) {
        output.raft_messages.extend(messages.into_iter().map(|message| (message.to, write(&message))));
    }

    /// The leader's snapshot takes the place of all that was.
    fn restore(&mut self, snapshot: Snapshot, output: &mut Output) {
        let state: Result<ReplicaState, _> = postcard::from_bytes(snapshot.get_data());
        // What a keeper of this fleet made is readable by this build or a newer one; else it must not go on.
        let Ok(state) = state else { return self.malformed_messages += 1 };
        output.writes = WriteBatch { snapshot: Some(write(&snapshot)), ..WriteBatch::default() };
        let metadata = snapshot.get_metadata();
        (self.state, self.applied_index) = (state, metadata.index);
        self.conf = metadata.get_conf_state().clone();
        self.tail.clear();
        let store = self.node.mut_store();
        let applied = store.memory.wl().apply_snapshot(snapshot.clone());
        debug_assert!(applied.is_ok());
        store.snapshot = snapshot;
    }

    fn apply(&mut self, entries: Vec<Entry>, output: &mut Output) {
        for entry in entries {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal if !entry.data.is_empty() => self.apply_proposal(&entry, output),
                EntryType::EntryNormal => {} // a new leader's
                EntryType::EntryConfChange => {
                    let Ok(change) = read::<ConfChange>(&entry.data) else { continue };
                    if let Ok(conf) = self.node.apply_conf_change(&change) {
                        (self.conf, self.conf_changed) = (conf.clone(), true);
                        self.node.mut_store().memory.wl().set_conf_state(conf);
                    }
                }
                EntryType::EntryConfChangeV2 => {}
            }
        }
    }

    /// An agreed entry becomes the next record, if it makes sense after what was decided before it.
    fn apply_proposal(&mut self, entry: &Entry, output: &mut Output) {
        let Ok(ProposalEntry { at_ms, proposal }) = postcard::from_bytes(&entry.data) else {
            return self.malformed_messages += 1; // the same at every keeper
        };
        let id = proposal.id;
        let message = match self.next_record(entry.term, at_ms, proposal) {
            Ok(record) => {
                let version = record.version;
                output.applied.push(record);
                Message::Decided { id, version }
            }
            Err(RejectedEntry::Duplicate(version)) => Message::Decided { id, version },
            Err(RejectedEntry::Invalid(why)) => Message::NotDecided { id, why },
        };
        if let Some((name, _)) = self.waiting.remove(&id) {
            output.messages.push((name, message));
        }
    }

    fn next_record(&mut self, term: u64, at_ms: u64, proposal: Proposal) -> Result<Record, RejectedEntry> {
        if let Some(version) = self.decided_version(proposal.id) {
            return Err(RejectedEntry::Duplicate(version));
        }
        let view = &mut self.state.view;
        if let Some(wanted) = proposal.expected_version {
            let newest = view.get(&proposal.key).map_or(Version(0), |record| record.version);
            if newest != wanted {
                let why = format!("{} is at version {newest}, and not {wanted}", proposal.key);
                return Err(RejectedEntry::Invalid(why));
            }
        }
        let (id, version) = (proposal.id, view.version().next());
        let record = Record { version, term, previous_hash: view.hash(), at_ms, proposal };
        let refused = |refused: ApplyError| RejectedEntry::Invalid(refused.to_string());
        view.apply(record.clone()).map_err(refused)?;
        self.tail.push(record.clone());
        self.state.ids.push_back((id, version));
        if self.state.ids.len() > MAX_REMEMBERED_PROPOSALS {
            self.state.ids.pop_front();
        }
        Ok(record)
    }

    /// Keeps what many entries did in their place.
    fn compact(&mut self, output: &mut Output) {
        let store = self.node.mut_store();
        let many = self.applied_index >= store.snapshot.get_metadata().index + COMPACT_AFTER;
        if !many && !std::mem::take(&mut self.conf_changed) {
            return;
        }
        let Ok(term) = store.memory.term(self.applied_index) else { return };
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied_index;
        snapshot.mut_metadata().term = term;
        snapshot.mut_metadata().set_conf_state(self.conf.clone());
        snapshot.set_data(encode(&self.state).into());
        self.conf_changed = false;
        let first = self
            .applied_index
            .saturating_sub(ENTRIES_KEPT_BY_COMPACTION)
            .max(store.memory.first_index().unwrap_or(1));
        if store.memory.wl().compact(first).is_ok() {
            output.writes.snapshot = Some(write(&snapshot));
            output.writes.compact = Some(first);
            store.snapshot = snapshot;
        }
    }

    fn notify_subscribers(&mut self, output: &mut Output) {
        if output.applied.is_empty() {
            return;
        }
        for name in self.told.keys() {
            output.messages.push((name.clone(), Message::Records(output.applied.clone())));
        }
    }
}

/// Entries over those kept before: an index that comes again replaces it and all behind it.
fn keep(entries: &mut Vec<(u64, Vec<u8>)>, more: Vec<(u64, Vec<u8>)>) {
    if let Some((first, _)) = more.first() {
        entries.retain(|(index, _)| index < first);
    }
    entries.extend(more);
}
