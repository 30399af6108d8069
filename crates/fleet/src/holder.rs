//! A sidecar's side: it holds a view, never goes back, never goes over a gap, and brings itself up from whoever has more.

use crate::record::{Hash, Record, Version};
use crate::view::{Refused, Tail, View};
use crate::wire::{Said, Who};
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is seen is told this often where no keeper wants it more seldom.
pub const PACE: Duration = Duration::from_millis(250);
/// No keeper may want it more seldom than this.
pub const PACE_MOST: Duration = Duration::from_secs(10);
/// A keeper is asked once in so many paces, and tells what follows for a little longer than that.
pub const RENEW_PACES: u32 = 4;
/// A peer is told this often how far one is.
pub const GOSSIP: Duration = Duration::from_millis(500);
/// One that does not answer is given up after this ...
pub const ANSWER_MOST: Duration = Duration::from_millis(800);
/// ... and the next is asked after this, doubled each time up to the most, and less up to half at random.
pub const BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait between two asks.
pub const BACKOFF_MOST: Duration = Duration::from_secs(4);
/// Records told at once.
pub const RECORDS_MOST: usize = 64;
/// Peers at the most.
pub const PEERS_MOST: usize = 64;
/// Bytes that it tells others in a second, at the most, and saves up at the most: a whole hall that comes back behind
/// must not have a sidecar do nothing but tell.
pub const TELL_BYTES: f64 = 4e6;

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Say this to a keeper or a peer, by its name.
    Say(String, Said),
    /// This is decided, and follows what was: to be written down and acted on.
    Applied(Record),
    /// The view is this one now, over a gap that a snapshot closed: to be written down and acted on as a whole.
    Replaced(View),
}

/// What was heard that could not be taken, by why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Another content for a known version, or a chain that does not meet this one.
    pub contradictions: u64,
    /// What did not follow, with a gap before it.
    pub gaps: u64,
    /// Records or snapshots that don't hold together.
    pub unsound: u64,
    /// Snapshots taken.
    pub snapshots: u64,
    /// Asks that nobody answered in time.
    pub unanswered: u64,
    /// Asks of others that were put off.
    pub put_off: u64,
}

/// An ask under way.
#[derive(Clone, Debug)]
struct Asked {
    of: String,
    at: Duration,
}

/// A holder.
#[derive(Debug)]
pub struct Holder {
    view: View,
    tail: Tail,
    keepers: Vec<String>,
    peers: Vec<String>,
    draws: Pcg32,
    asked: Option<Asked>,
    /// No ask before this.
    ask_at: Duration,
    failures: u32,
    gossip_at: Duration,
    /// When a keeper last said that this view is the newest, or told what makes it so.
    confirmed: Option<Duration>,
    counts: Counts,
    /// How often keepers want to be told, and asked.
    pace: Duration,
    /// Bytes that it may still tell, and when that was worked out.
    budget: (f64, Duration),
    /// The greatest incarnation heard of each keeper and peer that spoke.
    incarnations: BTreeMap<String, u64>,
}

impl Holder {
    /// One that begins with a view of its own, from its disk, or with none.
    pub fn new(view: View, keepers: Vec<String>, seed: u64, now: Duration) -> Holder {
        let mut draws = Pcg32::seed_from_u64(seed);
        // Hundreds that start at once ask one after another.
        let ask_at = now + (PACE * RENEW_PACES).mul_f64(draws.random::<f64>());
        let gossip_at = now + GOSSIP.mul_f64(draws.random::<f64>());
        let (tail, peers, asked, failures, confirmed, counts, incarnations) = Default::default();
        Holder {
            view,
            tail,
            keepers,
            peers,
            draws,
            asked,
            ask_at,
            failures,
            gossip_at,
            confirmed,
            counts,
            pace: PACE,
            budget: (TELL_BYTES, now),
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
    pub fn pace(&self) -> Duration {
        self.pace
    }

    /// What could not be taken.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Who is there beside it, by the membership.
    pub fn peers(&mut self, mut peers: Vec<String>) {
        peers.truncate(PEERS_MOST);
        self.incarnations.retain(|name, _| peers.contains(name) || self.keepers.contains(name));
        self.peers = peers;
    }

    /// When it wants to be called again at the latest.
    pub fn next(&self) -> Duration {
        let ask = self.asked.as_ref().map_or(self.ask_at, |asked| asked.at + ANSWER_MOST);
        ask.min(self.gossip_at)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.asked.as_ref().is_some_and(|asked| now >= asked.at + ANSWER_MOST) {
            self.counts.unanswered += 1;
            self.wait(now);
        }
        if self.asked.is_none() && now >= self.ask_at {
            self.ask(now, &mut actions);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP.mul_f64(self.draws.random_range(0.75..1.25));
            if let Some(peer) = self.peers.choose(&mut self.draws).cloned() {
                actions.push(Action::Say(peer, self.have()));
            }
        }
        actions
    }

    fn have(&self) -> Said {
        Said::Have { version: self.view.version(), hash: self.view.hash() }
    }

    /// Asks a keeper; after failures now and then a peer, which may reach one.
    fn ask(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let peer = self.failures > 0 && self.failures.is_multiple_of(2);
        let from = if peer && !self.peers.is_empty() { &self.peers } else { &self.keepers };
        let Some(of) = from.choose(&mut self.draws).cloned() else { return };
        self.asked = Some(Asked { of: of.clone(), at: now });
        actions.push(Action::Say(of, Said::Ask { after: self.view.version() }));
    }

    /// Nobody answered, or not now.
    fn wait(&mut self, now: Duration) {
        self.asked = None;
        let doubled = BACKOFF.saturating_mul(1 << self.failures.min(10)).min(BACKOFF_MOST);
        self.failures += 1;
        self.ask_at = now + doubled.mul_f64(self.draws.random_range(0.5..=1.0));
    }

    /// Something was heard; of an old incarnation it is nothing.
    pub fn heard(&mut self, now: Duration, from: &Who, said: Said) -> Vec<Action> {
        let mut actions = Vec::new();
        let known = self.keepers.contains(&from.name) || self.peers.contains(&from.name);
        if known {
            let newest = self.incarnations.entry(from.name.clone()).or_default();
            if from.incarnation < *newest {
                return actions;
            }
            *newest = from.incarnation;
        }
        let answers = self.asked.as_ref().is_some_and(|asked| asked.of == from.name);
        let keeper = self.keepers.contains(&from.name);
        match said {
            Said::Have { version, hash } => {
                self.other_has(now, from, (version, hash), keeper, &mut actions)
            }
            Said::Ask { after } => {
                let said = self.tell_within(now, after);
                actions.push(Action::Say(from.name.clone(), said));
            }
            Said::Records(records) => {
                let before = self.view.version();
                for record in records {
                    self.take(record, &mut actions);
                }
                self.came(now, answers, keeper && self.view.version() > before);
            }
            Said::Snapshot(view) => {
                let taken = self.replace(view, &mut actions);
                self.came(now, answers, keeper && taken);
            }
            Said::Pace { every_ms } if keeper => {
                self.pace = Duration::from_millis(every_ms.into()).clamp(PACE, PACE_MOST);
            }
            Said::Later { after_ms } if answers => {
                self.wait(now);
                self.ask_at =
                    self.ask_at.max(now + Duration::from_millis(after_ms.into()).min(BACKOFF_MOST));
            }
            _ => {}
        }
        actions
    }

    fn other_has(
        &mut self,
        now: Duration,
        from: &Who,
        (version, hash): (Version, Hash),
        keeper: bool,
        actions: &mut Vec<Action>,
    ) {
        let answers = self.asked.as_ref().is_some_and(|asked| asked.of == from.name);
        if version == self.view.version() {
            if hash != self.view.hash() {
                self.counts.contradictions += 1;
                return;
            }
            self.came(now, answers, keeper);
        } else if version > self.view.version() {
            // It has more: ask at once, but not twice at a time.
            if self.asked.is_none() || answers {
                self.asked = Some(Asked { of: from.name.clone(), at: now });
                actions.push(Action::Say(from.name.clone(), Said::Ask { after: self.view.version() }));
            }
        } else if !keeper {
            let said = self.tell_within(now, version);
            if !matches!(said, Said::Later { .. }) {
                actions.push(Action::Say(from.name.clone(), said));
            }
        }
    }

    /// The same as far as its budget reaches; else when to come back.
    fn tell_within(&mut self, now: Duration, after: Version) -> Said {
        let said = self.tell(after);
        let saved = TELL_BYTES * now.saturating_sub(self.budget.1).as_secs_f64();
        self.budget = ((self.budget.0 + saved).min(TELL_BYTES), now);
        let size = said.size() as f64;
        // One that is larger than all that can be saved goes alone.
        if size > self.budget.0 && self.budget.0 < TELL_BYTES {
            self.counts.put_off += 1;
            return Said::Later { after_ms: self.draws.random_range(500..2000) };
        }
        self.budget.0 -= size;
        said
    }

    /// What follows a version, for another one.
    fn tell(&self, after: Version) -> Said {
        if after >= self.view.version() {
            return self.have();
        }
        match self.tail.after(after, RECORDS_MOST) {
            Some(records) => Said::Records(records),
            None => Said::Snapshot(self.view.clone()),
        }
    }

    /// An answer has come, or what makes one needless.
    fn came(&mut self, now: Duration, answers: bool, confirms: bool) {
        if confirms {
            self.confirmed = Some(now);
        }
        if answers {
            (self.asked, self.failures) = (None, 0);
            let renew = self.pace * RENEW_PACES;
            self.ask_at = now + renew.mul_f64(self.draws.random_range(0.75..=1.0));
        }
    }

    fn take(&mut self, record: Record, actions: &mut Vec<Action>) {
        match self.view.apply(record.clone()) {
            Ok(()) => {
                self.tail.push(record.clone());
                actions.push(Action::Applied(record));
            }
            Err(Refused::Known(_)) => {}
            Err(Refused::Gap(..)) => self.counts.gaps += 1,
            Err(Refused::Contradicts(_) | Refused::OtherChain(_)) => self.counts.contradictions += 1,
            Err(Refused::Bad(_) | Refused::NoRoom) => self.counts.unsound += 1,
        }
    }

    /// A whole view: only a newer one, and one that holds together.
    fn replace(&mut self, view: View, actions: &mut Vec<Action>) -> bool {
        if view.version() <= self.view.version() {
            return false;
        }
        if !view.is_sound() {
            self.counts.unsound += 1;
            return false;
        }
        self.counts.snapshots += 1;
        self.tail.clear();
        self.view = view.clone();
        actions.push(Action::Replaced(view));
        true
    }
}
