//! Keeps a sidecar's copy of the view current. The copy never goes back to a lower version and never skips one, except by a
//! snapshot that is consistent in itself; it is fetched from consensus servers, or from other sidecars that are ahead.

use crate::peer::PeerId;
use crate::protocol::Message;
use crate::record::{Hash, Record, Version};
use crate::send_budget::SendBudget;
use crate::view::{ApplyError, RecordTail, View};
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often evidence is reported, unless consensus servers ask for a longer interval.
pub const EVIDENCE_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval that consensus servers can ask for.
pub const MAX_EVIDENCE_INTERVAL: Duration = Duration::from_secs(10);
/// A consensus server is asked for records once in so many evidence intervals, and pushes new ones for half as long again.
pub const INTERVALS_PER_FETCH: u32 = 4;
/// How often the own version is gossiped to a peer.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// A fetch without an answer is abandoned after this.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Backoff after a failed fetch; doubled with each further failure, with up to half of it taken off at random.
pub const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff between two fetches.
pub const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Bound on the peers that a subscriber talks to.
pub const MAX_PEERS: usize = 64;
/// Bytes per second that a subscriber sends to others; also the largest burst. It keeps a zone that returns far behind from
/// taking all of a sidecar's time.
pub const SEND_BYTES_PER_S: f64 = 4e6;
/// Failures after which the backoff is no longer doubled; [`MAX_BACKOFF`] is reached before.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the consensus server or peer of this name.
    Send(String, Message),
    /// The next record was appended to the view: persist it and act on it.
    Applied(Record),
    /// A snapshot has replaced the view: persist it and act on all of it.
    Replaced(View),
}

/// Counters of what went wrong, and of snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Records that contradict a known version or the hash chain.
    pub conflicts: u64,
    /// Records that did not follow the newest version.
    pub gaps: u64,
    /// Records out of their bounds, and inconsistent snapshots.
    pub invalid: u64,
    /// Snapshots that replaced the view.
    pub snapshots: u64,
    /// Fetches that were not answered in time.
    pub timeouts: u64,
    /// Fetches of others that were answered with a request to retry later.
    pub deferred: u64,
}

#[derive(Clone, Debug)]
struct PendingFetch {
    from: String,
    sent_at: Duration,
}

/// A copy of the view, and the fetches and gossip that keep it current.
#[derive(Debug)]
pub struct Subscriber {
    view: View,
    tail: RecordTail,
    consensus_servers: Vec<String>,
    peers: Vec<String>,
    rng: Pcg32,
    pending_fetch: Option<PendingFetch>,
    /// The next fetch is not sent before this.
    fetch_at: Duration,
    /// Failed fetches since the last answer.
    failures: u32,
    gossip_at: Duration,
    /// When a consensus server last confirmed that this view is the newest, or sent what made it so.
    confirmed_at: Option<Duration>,
    counters: SubscriberCounters,
    evidence_interval: Duration,
    send_budget: SendBudget,
    /// The greatest incarnation seen of each consensus server and peer.
    incarnations: BTreeMap<String, u64>,
}

impl Subscriber {
    /// Starts with the cached view, or an empty one. The first fetch is spread over an interval, so that hundreds of
    /// sidecars that start together don't fetch together.
    pub fn new(view: View, consensus_servers: Vec<String>, seed: u64, now: Duration) -> Subscriber {
        let mut rng = Pcg32::seed_from_u64(seed);
        let fetch_at = now + (EVIDENCE_INTERVAL * INTERVALS_PER_FETCH).mul_f64(rng.random::<f64>());
        let gossip_at = now + GOSSIP_INTERVAL.mul_f64(rng.random::<f64>());
        Subscriber {
            view,
            tail: RecordTail::default(),
            consensus_servers,
            peers: Vec::new(),
            rng,
            pending_fetch: None,
            fetch_at,
            failures: 0,
            gossip_at,
            confirmed_at: None,
            counters: SubscriberCounters::default(),
            evidence_interval: EVIDENCE_INTERVAL,
            send_budget: SendBudget::new(SEND_BYTES_PER_S, now),
            incarnations: BTreeMap::new(),
        }
    }

    /// The copy of the view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Time since a consensus server last confirmed the view as the newest; none if that has not happened since the start.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// How often evidence is to be reported.
    pub fn evidence_interval(&self) -> Duration {
        self.evidence_interval
    }

    /// The counters.
    pub fn counters(&self) -> SubscriberCounters {
        self.counters
    }

    /// Sets the peers to gossip with; those over [`MAX_PEERS`] are left out.
    pub fn set_peers(&mut self, mut peers: Vec<String>) {
        peers.truncate(MAX_PEERS);
        self.incarnations.retain(|name, _| peers.contains(name) || self.consensus_servers.contains(name));
        self.peers = peers;
    }

    /// When [`Subscriber::tick`] is next due.
    pub fn next_wakeup(&self) -> Duration {
        let timeout = |pending: &PendingFetch| pending.sent_at + ANSWER_TIMEOUT;
        self.pending_fetch.as_ref().map_or(self.fetch_at, timeout).min(self.gossip_at)
    }

    /// Sends what is due: a fetch, after its timeout another one, and gossip.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.pending_fetch.as_ref().is_some_and(|pending| now >= pending.sent_at + ANSWER_TIMEOUT) {
            self.counters.timeouts += 1;
            self.back_off(now);
        }
        if self.pending_fetch.is_none() && now >= self.fetch_at {
            self.fetch(now, &mut actions);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
            if let Some(peer) = self.peers.choose(&mut self.rng).cloned() {
                actions.push(Action::Send(peer, self.view_version_message()));
            }
        }
        actions
    }

    fn view_version_message(&self) -> Message {
        Message::ViewVersion { version: self.view.version(), hash: self.view.hash() }
    }

    /// Fetches from a random consensus server. After every second failure it asks a peer, which may reach one.
    fn fetch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let ask_peer = self.failures > 0 && self.failures.is_multiple_of(2) && !self.peers.is_empty();
        let candidates = if ask_peer { &self.peers } else { &self.consensus_servers };
        if let Some(from) = candidates.choose(&mut self.rng).cloned() {
            self.fetch_from(from, now, actions);
        }
    }

    fn fetch_from(&mut self, from: String, now: Duration, actions: &mut Vec<Action>) {
        self.pending_fetch = Some(PendingFetch { from: from.clone(), sent_at: now });
        actions.push(Action::Send(from, Message::FetchRecords { after: self.view.version() }));
    }

    fn is_answer_from(&self, name: &str) -> bool {
        self.pending_fetch.as_ref().is_some_and(|pending| pending.from == name)
    }

    /// Ends the pending fetch as failed and schedules the next one.
    fn back_off(&mut self, now: Duration) {
        self.pending_fetch = None;
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        self.failures += 1;
        self.fetch_at = now + backoff.mul_f64(self.rng.random_range(0.5..=1.0));
    }

    /// Handles a message of a consensus server or another sidecar. Messages of superseded incarnations are ignored.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_superseded(from) {
            return actions;
        }
        let is_answer = self.is_answer_from(&from.name);
        let is_server = self.consensus_servers.contains(&from.name);
        match message {
            Message::ViewVersion { version, hash } => {
                self.handle_peer_version(now, from, (version, hash), is_server, &mut actions);
            }
            Message::FetchRecords { after } => {
                let answer = self.answer_within_budget(now, after);
                actions.push(Action::Send(from.name.clone(), answer));
            }
            Message::Records(records) => {
                let before = self.view.version();
                for record in records {
                    self.apply_record(record, &mut actions);
                }
                self.answer_received(now, is_answer, is_server && self.view.version() > before);
            }
            Message::Snapshot(view) => {
                let replaced = self.apply_snapshot(view, &mut actions);
                self.answer_received(now, is_answer, is_server && replaced);
            }
            Message::SetEvidenceInterval { interval_ms } if is_server => {
                let interval = Duration::from_millis(interval_ms.into());
                self.evidence_interval = interval.clamp(EVIDENCE_INTERVAL, MAX_EVIDENCE_INTERVAL);
            }
            Message::RetryAfter { after_ms } if is_answer => {
                self.back_off(now);
                let retry_after = Duration::from_millis(after_ms.into()).min(MAX_BACKOFF);
                self.fetch_at = self.fetch_at.max(now + retry_after);
            }
            _ => {}
        }
        actions
    }

    /// Whether a later incarnation of the sender has been seen. Only those of consensus servers and peers are remembered.
    fn is_superseded(&mut self, from: &PeerId) -> bool {
        if !self.consensus_servers.contains(&from.name) && !self.peers.contains(&from.name) {
            return false;
        }
        let newest = self.incarnations.entry(from.name.clone()).or_default();
        *newest = from.incarnation.max(*newest);
        from.incarnation < *newest
    }

    fn handle_peer_version(
        &mut self,
        now: Duration,
        from: &PeerId,
        (version, hash): (Version, Hash),
        is_server: bool,
        actions: &mut Vec<Action>,
    ) {
        let is_answer = self.is_answer_from(&from.name);
        if version == self.view.version() {
            if hash != self.view.hash() {
                self.counters.conflicts += 1;
                return;
            }
            self.answer_received(now, is_answer, is_server);
        } else if version > self.view.version() {
            // It is ahead: fetch at once, unless another fetch is pending.
            if self.pending_fetch.is_none() || is_answer {
                self.fetch_from(from.name.clone(), now, actions);
            }
        } else if !is_server {
            let answer = self.answer_within_budget(now, version);
            if !matches!(answer, Message::RetryAfter { .. }) {
                actions.push(Action::Send(from.name.clone(), answer));
            }
        }
    }

    /// What a sidecar that has the records up to `after` lacks, or a request to retry later if the send budget is used up.
    fn answer_within_budget(&mut self, now: Duration, after: Version) -> Message {
        let answer = Message::view_since(&self.view, &self.tail, after);
        self.send_budget.refill(now);
        if self.send_budget.try_take(answer.approximate_size() as f64) {
            return answer;
        }
        self.counters.deferred += 1;
        Message::RetryAfter { after_ms: self.rng.random_range(500..2000) }
    }

    /// Notes that the view was confirmed, if it was, and that the pending fetch was answered, if it was.
    fn answer_received(&mut self, now: Duration, is_answer: bool, is_confirmed: bool) {
        if is_confirmed {
            self.confirmed_at = Some(now);
        }
        if is_answer {
            self.pending_fetch = None;
            self.failures = 0;
            let interval = self.evidence_interval * INTERVALS_PER_FETCH;
            self.fetch_at = now + interval.mul_f64(self.rng.random_range(0.75..=1.0));
        }
    }

    fn apply_record(&mut self, record: Record, actions: &mut Vec<Action>) {
        match self.view.apply(record.clone()) {
            Ok(()) => {
                self.tail.push(record.clone());
                actions.push(Action::Applied(record));
            }
            Err(ApplyError::AlreadyKnown(_)) => {}
            Err(ApplyError::Gap(..)) => self.counters.gaps += 1,
            Err(ApplyError::Conflict(_) | ApplyError::HashMismatch(_)) => self.counters.conflicts += 1,
            Err(ApplyError::InvalidProposal(_) | ApplyError::CapacityExceeded) => {
                self.counters.invalid += 1
            }
        }
    }

    /// Replaces the view by a newer one that is consistent. Returns whether it did.
    fn apply_snapshot(&mut self, view: View, actions: &mut Vec<Action>) -> bool {
        if view.version() <= self.view.version() {
            return false;
        }
        if !view.is_consistent() {
            self.counters.invalid += 1;
            return false;
        }
        self.counters.snapshots += 1;
        self.tail.clear();
        self.view = view.clone();
        actions.push(Action::Replaced(view));
        true
    }
}
