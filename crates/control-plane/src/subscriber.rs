//! A sidecar's side: it holds a view, never goes back, never goes over a gap, and brings itself up from whoever has more.

use crate::protocol::{Message, PeerId};
use crate::record::{Hash, Record, Version};
use crate::view::{ApplyError, RecordTail, View};
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is seen is told this often where no keeper wants it more seldom.
pub const EVIDENCE_INTERVAL: Duration = Duration::from_millis(250);
/// No keeper may want it more seldom than this.
pub const MAX_EVIDENCE_INTERVAL: Duration = Duration::from_secs(10);
/// A keeper is asked once in so many paces, and tells what follows for a little longer than that.
pub const INTERVALS_PER_FETCH: u32 = 4;
/// A peer is told this often how far one is.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// One that does not answer is given up after this ...
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// ... and the next is asked after this, doubled each time up to the most, and less up to half at random.
pub const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait between two asks.
pub const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Records told at once.
pub const MAX_RECORDS_PER_MESSAGE: usize = 64;
/// Peers at the most.
pub const MAX_PEERS: usize = 64;
/// Bytes that it tells others in a second, at the most, and saves up at the most: a whole hall that comes back behind
/// must not have a sidecar do nothing but tell.
pub const SEND_BYTES_PER_S: f64 = 4e6;

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Say this to a keeper or a peer, by its name.
    Send(String, Message),
    /// This is decided, and follows what was: to be written down and acted on.
    Applied(Record),
    /// The view is this one now, over a gap that a snapshot closed: to be written down and acted on as a whole.
    Replaced(View),
}

/// What was heard that could not be taken, by why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Another content for a known version, or a chain that does not meet this one.
    pub conflicts: u64,
    /// What did not follow, with a gap before it.
    pub gaps: u64,
    /// Records or snapshots that don't hold together.
    pub invalid: u64,
    /// Snapshots taken.
    pub snapshots: u64,
    /// Asks that nobody answered in time.
    pub timeouts: u64,
    /// Asks of others that were put off.
    pub deferred: u64,
}

/// An ask under way.
#[derive(Clone, Debug)]
struct Asked {
    of: String,
    at: Duration,
}

/// A holder.
#[derive(Debug)]
pub struct Subscriber {
    view: View,
    tail: RecordTail,
    consensus_servers: Vec<String>,
    set_peers: Vec<String>,
    draws: Pcg32,
    pending_fetch: Option<Asked>,
    /// No ask before this.
    fetch_at: Duration,
    failures: u32,
    gossip_at: Duration,
    /// When a keeper last said that this view is the newest, or told what makes it so.
    confirmed: Option<Duration>,
    counters: SubscriberCounters,
    /// How often keepers want to be told, and asked.
    evidence_interval: Duration,
    /// Bytes that it may still tell, and when that was worked out.
    budget: (f64, Duration),
    /// The greatest incarnation heard of each keeper and peer that spoke.
    incarnations: BTreeMap<String, u64>,
}

impl Subscriber {
    /// One that begins with a view of its own, from its disk, or with none.
    pub fn new(view: View, keepers: Vec<String>, seed: u64, now: Duration) -> Subscriber {
        let mut draws = Pcg32::seed_from_u64(seed);
        // Hundreds that start at once ask one after another.
        let ask_at = now + (EVIDENCE_INTERVAL * INTERVALS_PER_FETCH).mul_f64(draws.random::<f64>());
        let gossip_at = now + GOSSIP_INTERVAL.mul_f64(draws.random::<f64>());
        let (tail, peers, asked, failures, confirmed, counts, incarnations) = Default::default();
        Subscriber {
            view,
            tail,
            consensus_servers: keepers,
            set_peers: peers,
            draws,
            pending_fetch: asked,
            fetch_at: ask_at,
            failures,
            gossip_at,
            confirmed,
            counters: counts,
            evidence_interval: EVIDENCE_INTERVAL,
            budget: (SEND_BYTES_PER_S, now),
            incarnations,
        }
    }

    /// What it holds.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How long ago a keeper last confirmed it; none where none has since the start.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// How often what is seen is to be told.
    pub fn evidence_interval(&self) -> Duration {
        self.evidence_interval
    }

    /// What could not be taken.
    pub fn counters(&self) -> SubscriberCounters {
        self.counters
    }

    /// Who is there beside it, by the membership.
    pub fn set_peers(&mut self, mut peers: Vec<String>) {
        peers.truncate(MAX_PEERS);
        self.incarnations.retain(|name, _| peers.contains(name) || self.consensus_servers.contains(name));
        self.set_peers = peers;
    }

    /// When it wants to be called again at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let ask = self.pending_fetch.as_ref().map_or(self.fetch_at, |asked| asked.at + ANSWER_TIMEOUT);
        ask.min(self.gossip_at)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.pending_fetch.as_ref().is_some_and(|asked| now >= asked.at + ANSWER_TIMEOUT) {
            self.counters.timeouts += 1;
            self.back_off(now);
        }
        if self.pending_fetch.is_none() && now >= self.fetch_at {
            self.fetch(now, &mut actions);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_INTERVAL.mul_f64(self.draws.random_range(0.75..1.25));
            if let Some(peer) = self.set_peers.choose(&mut self.draws).cloned() {
                actions.push(Action::Send(peer, self.view_version_message()));
            }
        }
        actions
    }

    fn view_version_message(&self) -> Message {
        Message::ViewVersion { version: self.view.version(), hash: self.view.hash() }
    }

    /// Asks a keeper; after failures now and then a peer, which may reach one.
    fn fetch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let peer = self.failures > 0 && self.failures.is_multiple_of(2);
        let from =
            if peer && !self.set_peers.is_empty() { &self.set_peers } else { &self.consensus_servers };
        let Some(of) = from.choose(&mut self.draws).cloned() else { return };
        self.pending_fetch = Some(Asked { of: of.clone(), at: now });
        actions.push(Action::Send(of, Message::FetchRecords { after: self.view.version() }));
    }

    /// Nobody answered, or not now.
    fn back_off(&mut self, now: Duration) {
        self.pending_fetch = None;
        let doubled = MIN_BACKOFF.saturating_mul(1 << self.failures.min(10)).min(MAX_BACKOFF);
        self.failures += 1;
        self.fetch_at = now + doubled.mul_f64(self.draws.random_range(0.5..=1.0));
    }

    /// Something was heard; of an old incarnation it is nothing.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        let known = self.consensus_servers.contains(&from.name) || self.set_peers.contains(&from.name);
        if known {
            let newest = self.incarnations.entry(from.name.clone()).or_default();
            if from.incarnation < *newest {
                return actions;
            }
            *newest = from.incarnation;
        }
        let answers = self.pending_fetch.as_ref().is_some_and(|asked| asked.of == from.name);
        let keeper = self.consensus_servers.contains(&from.name);
        match message {
            Message::ViewVersion { version, hash } => {
                self.handle_peer_version(now, from, (version, hash), keeper, &mut actions)
            }
            Message::FetchRecords { after } => {
                let message = self.answer_within_budget(now, after);
                actions.push(Action::Send(from.name.clone(), message));
            }
            Message::Records(records) => {
                let before = self.view.version();
                for record in records {
                    self.apply_record(record, &mut actions);
                }
                self.answer_received(now, answers, keeper && self.view.version() > before);
            }
            Message::Snapshot(view) => {
                let taken = self.apply_snapshot(view, &mut actions);
                self.answer_received(now, answers, keeper && taken);
            }
            Message::SetEvidenceInterval { interval_ms: every_ms } if keeper => {
                self.evidence_interval =
                    Duration::from_millis(every_ms.into()).clamp(EVIDENCE_INTERVAL, MAX_EVIDENCE_INTERVAL);
            }
            Message::RetryAfter { after_ms } if answers => {
                self.back_off(now);
                self.fetch_at =
                    self.fetch_at.max(now + Duration::from_millis(after_ms.into()).min(MAX_BACKOFF));
            }
            _ => {}
        }
        actions
    }

    fn handle_peer_version(
        &mut self,
        now: Duration,
        from: &PeerId,
        (version, hash): (Version, Hash),
        keeper: bool,
        actions: &mut Vec<Action>,
    ) {
        let answers = self.pending_fetch.as_ref().is_some_and(|asked| asked.of == from.name);
        if version == self.view.version() {
            if hash != self.view.hash() {
                self.counters.conflicts += 1;
                return;
            }
            self.answer_received(now, answers, keeper);
        } else if version > self.view.version() {
            // It has more: ask at once, but not twice at a time.
            if self.pending_fetch.is_none() || answers {
                self.pending_fetch = Some(Asked { of: from.name.clone(), at: now });
                actions.push(Action::Send(
                    from.name.clone(),
                    Message::FetchRecords { after: self.view.version() },
                ));
            }
        } else if !keeper {
            let message = self.answer_within_budget(now, version);
            if !matches!(message, Message::RetryAfter { .. }) {
                actions.push(Action::Send(from.name.clone(), message));
            }
        }
    }

    /// The same as far as its budget reaches; else when to come back.
    fn answer_within_budget(&mut self, now: Duration, after: Version) -> Message {
        let message = self.answer(after);
        let saved = SEND_BYTES_PER_S * now.saturating_sub(self.budget.1).as_secs_f64();
        self.budget = ((self.budget.0 + saved).min(SEND_BYTES_PER_S), now);
        let size = message.approximate_size() as f64;
        // One that is larger than all that can be saved goes alone.
        if size > self.budget.0 && self.budget.0 < SEND_BYTES_PER_S {
            self.counters.deferred += 1;
            return Message::RetryAfter { after_ms: self.draws.random_range(500..2000) };
        }
        self.budget.0 -= size;
        message
    }

    /// What follows a version, for another one.
    fn answer(&self, after: Version) -> Message {
        if after >= self.view.version() {
            return self.view_version_message();
        }
        match self.tail.after(after, MAX_RECORDS_PER_MESSAGE) {
            Some(records) => Message::Records(records),
            None => Message::Snapshot(self.view.clone()),
        }
    }

    /// An answer has come, or what makes one needless.
    fn answer_received(&mut self, now: Duration, answers: bool, confirms: bool) {
        if confirms {
            self.confirmed = Some(now);
        }
        if answers {
            (self.pending_fetch, self.failures) = (None, 0);
            let renew = self.evidence_interval * INTERVALS_PER_FETCH;
            self.fetch_at = now + renew.mul_f64(self.draws.random_range(0.75..=1.0));
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

    /// A whole view: only a newer one, and one that holds together.
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
