//! Subscribers that bring one another up to date: decided versions reach them by any path, in any order, repeatedly or not
//! at all.
//!
//! What the consensus servers agree on is taken as given here, as a chain of versions that grows: the agreement is a
//! library's, and its use is simulated in `fleet-model`. [`Subscriber`] and [`View`] are checked: whatever is received, no
//! version goes back, nothing is held that was not decided, and from any state without further faults all reach the newest
//! version.

use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::{Hash, Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::subscriber::{Action, Subscriber};
use curlewhub_control_plane::view::View;
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::Duration;

const CONSENSUS_SERVER: &str = "consensus-server";
/// Long after any timer's time.
const LATER: Duration = Duration::from_secs(1000);

/// A small fleet.
#[derive(Clone, Debug)]
pub struct Subscribers {
    /// Sidecars.
    pub sidecars: usize,
    /// The most versions that are decided.
    pub versions: u64,
    /// The most messages in flight at once; more are lost.
    pub in_flight: usize,
    /// The most crashes, with or without loss of the disk.
    pub crashes: u8,
    /// An injected defect, to see that the checker finds it.
    pub defect: Option<Defect>,
}

/// A defect that is injected on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A sidecar accepts a whole view whatever its version.
    TakesOlderViews,
    /// A sidecar accepts records without checking what they follow.
    TakesGaps,
    /// A server sends records that were never decided.
    Liar,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InFlightMessage {
    from: usize,
    to: usize,
    /// In its wire form, which is canonical.
    said: Vec<u8>,
}

/// A sidecar as the checker sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sidecar {
    view: View,
    /// The greatest version that it has held with this disk.
    highest: Version,
}

impl std::hash::Hash for Sidecar {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // A view's hash is over all of its chain.
        (self.view.version(), self.view.hash(), self.highest).hash(state);
    }
}

/// The state of a fleet.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct State {
    decided: u64,
    sidecars: Vec<Sidecar>,
    in_flight: BTreeSet<InFlightMessage>,
    crashes: u8,
}

/// An event that may happen next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// One more version is decided.
    Decide,
    /// A timer of a sidecar fires.
    Tick(usize),
    /// A message is received; with `true` it stays in flight and may be received again.
    Receive(InFlightMessage, bool),
    /// A message is lost.
    Lose(InFlightMessage),
    /// A sidecar restarts, with its disk (`true`) or without.
    Restart(usize, bool),
}

/// The chain that the consensus servers have decided, up to a version.
fn chain(versions: u64) -> View {
    let mut view = View::default();
    for version in 1..=versions {
        let applied = view.apply(record(version, view.hash(), 0));
        debug_assert!(applied.is_ok());
    }
    view
}

fn record(version: u64, before: Hash, body: u8) -> Record {
    let (key, by, why) = (format!("k{}", version % 2), "o".to_owned(), String::new());
    let proposal = Proposal {
        id: version,
        key,
        kind: RecordKind::NOTE,
        body: vec![body],
        by,
        why,
        expected_version: None,
    };
    Record { version: Version(version), term: 1, previous_hash: before, at_ms: 0, proposal }
}

impl Subscribers {
    fn name(&self, n: usize) -> String {
        if n == self.sidecars { CONSENSUS_SERVER.to_owned() } else { format!("s{n}") }
    }

    fn subscriber(&self, state: &State, n: usize) -> Subscriber {
        let mut subscriber = Subscriber::new(
            state.sidecars[n].view.clone(),
            vec![CONSENSUS_SERVER.to_owned()],
            0,
            Duration::ZERO,
        );
        subscriber.set_peers(
            (0..self.sidecars).filter(|other| *other != n).map(|other| self.name(other)).collect(),
        );
        subscriber
    }

    fn send(&self, state: &mut State, from: usize, to: &str, said: &Message) {
        let to = if to == CONSENSUS_SERVER {
            Some(self.sidecars)
        } else {
            (0..self.sidecars).find(|n| self.name(*n) == to)
        };
        if let (Some(to), true) = (to, state.in_flight.len() < self.in_flight) {
            let said = postcard::to_allocvec(said).unwrap_or_default(); // plain data: it never fails
            state.in_flight.insert(InFlightMessage { from, to, said });
        }
    }

    /// Takes over a subscriber's state, and sends its messages.
    fn settle(&self, state: &mut State, n: usize, subscriber: &Subscriber, actions: Vec<Action>) {
        let sidecar = &mut state.sidecars[n];
        sidecar.view = subscriber.view().clone();
        sidecar.highest = sidecar.highest.max(sidecar.view.version());
        for action in actions {
            if let Action::Send(to, said) = action {
                self.send(state, n, &to, &said);
            }
        }
    }

    fn receive(&self, state: &mut State, message: &InFlightMessage) {
        let Ok(said) = postcard::from_bytes::<Message>(&message.said) else { return };
        if message.to == self.sidecars {
            // A consensus server sends the records that follow, or the whole view. The program chooses by how far the
            // subscriber is behind; here either may happen.
            if let Message::FetchRecords { after } = said {
                let all = chain(state.decided);
                let replies = self.replies(&all, after);
                let to = self.name(message.from);
                replies.iter().for_each(|said| self.send(state, self.sidecars, &to, said));
            }
            return;
        }
        let (n, from) = (message.to, PeerId { name: self.name(message.from), incarnation: 1 });
        match (self.defect, &said) {
            (Some(Defect::TakesOlderViews), Message::Snapshot(view)) => {
                state.sidecars[n].view = view.clone()
            }
            (Some(Defect::TakesGaps), Message::Records(records)) if !records.is_empty() => {
                // As if it were next, whatever it follows.
                let record = records.last().cloned().unwrap_or_else(|| unreachable!("it is not empty"));
                let before = state.sidecars[n].view.hash();
                let version = state.sidecars[n].view.version().next();
                let forged = Record { previous_hash: before, version, ..record };
                let _ = state.sidecars[n].view.apply(forged);
            }
            _ => {
                let mut subscriber = self.subscriber(state, n);
                let actions = subscriber.handle_message(LATER, &from, said);
                self.settle(state, n, &subscriber, actions);
            }
        }
        let sidecar = &mut state.sidecars[n];
        sidecar.highest = sidecar.highest.max(sidecar.view.version());
    }

    fn replies(&self, all: &View, after: Version) -> Vec<Message> {
        if after >= all.version() {
            return vec![Message::ViewVersion { version: all.version(), hash: all.hash() }];
        }
        let mut before = chain(after.0);
        let mut records = Vec::new();
        for version in after.0 + 1..=all.version().0 {
            let body = u8::from(self.defect == Some(Defect::Liar) && version == all.version().0);
            let next = record(version, before.hash(), body);
            if before.apply(next.clone()).is_ok() {
                records.push(next);
            }
        }
        vec![Message::Records(records), Message::Snapshot(all.clone())]
    }
}

impl Model for Subscribers {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let sidecar = Sidecar { view: View::default(), highest: Version(0) };
        let (in_flight, crashes) = Default::default();
        vec![State { decided: 0, sidecars: vec![sidecar; self.sidecars], in_flight, crashes }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.decided < self.versions {
            steps.push(Step::Decide);
        }
        for n in 0..self.sidecars {
            steps.push(Step::Tick(n));
            if state.crashes < self.crashes {
                steps.extend([Step::Restart(n, true), Step::Restart(n, false)]);
            }
        }
        for message in &state.in_flight {
            steps.extend([
                Step::Receive(message.clone(), false),
                Step::Receive(message.clone(), true),
                Step::Lose(message.clone()),
            ]);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Decide => next.decided += 1,
            Step::Tick(n) => {
                let mut subscriber = self.subscriber(state, n);
                let actions = subscriber.tick(LATER);
                self.settle(&mut next, n, &subscriber, actions);
            }
            Step::Receive(message, again) => {
                if !again {
                    next.in_flight.remove(&message);
                }
                self.receive(&mut next, &message);
            }
            Step::Lose(message) => drop(next.in_flight.remove(&message)),
            Step::Restart(n, disk) => {
                next.crashes += 1;
                if !disk {
                    next.sidecars[n] = Sidecar { view: View::default(), highest: Version(0) };
                }
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("nobody goes back", |_, state| {
                state.sidecars.iter().all(|sidecar| sidecar.view.version() >= sidecar.highest)
            }),
            Property::<Self>::always("nobody holds what was not decided", |_, state| {
                state.sidecars.iter().all(|sidecar| {
                    let version = sidecar.view.version().0;
                    version <= state.decided && sidecar.view.hash() == chain(version).hash()
                })
            }),
            Property::<Self>::always("from here all come to the newest", |model, state| {
                model.settles(state)
            }),
            // That the search reaches far enough to say something.
            Property::<Self>::sometimes("all hold the last version", |model, state| {
                state.sidecars.iter().all(|sidecar| sidecar.view.version().0 == model.versions)
            }),
        ]
    }
}

impl Subscribers {
    /// Whether without any further fault, every message coming once and in its turn, all come to the newest version.
    fn settles(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..4 {
            for n in 0..self.sidecars {
                let mut subscriber = self.subscriber(&state, n);
                let actions = subscriber.tick(LATER);
                self.settle(&mut state, n, &subscriber, actions);
                while let Some(message) = state.in_flight.pop_first() {
                    self.receive(&mut state, &message);
                }
            }
        }
        state.sidecars.iter().all(|sidecar| sidecar.view.version().0 == state.decided)
    }
}
