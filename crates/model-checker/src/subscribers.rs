//! Replication of the fleet view among subscribers: decided versions reach them over any path, in any order, more than once
//! or not at all.
//!
//! Consensus is not part of this model: the decided versions are a given chain that grows. (Raft is a library, and its use
//! is simulated in `control-plane-model`.) [`Subscriber`] and [`View`] are checked: versions never decrease, only decided
//! content is held, and from every state, without further faults, all subscribers reach the newest version.

use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::{Hash, Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::subscriber::{Action, Subscriber};
use curlewhub_control_plane::view::View;
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::Duration;

/// A property: no sidecar's version decreases, unless its disk is lost.
pub const VERSIONS_NEVER_DECREASE: &str = "versions never decrease";
/// A property: each sidecar's view has the content that was decided for its version.
pub const ONLY_DECIDED_CONTENT: &str = "only decided content is held";

const CONSENSUS_SERVER: &str = "consensus-server";
/// A time at which every timer is due.
const ALL_TIMERS_DUE: Duration = Duration::from_secs(1000);
/// Rounds of timers and deliveries within which a fleet without faults converges.
const CONVERGENCE_ROUNDS: usize = 4;

/// The model: a small fleet, and the bounds of the search.
#[derive(Clone, Debug)]
pub struct Subscribers {
    /// The number of sidecars, besides one consensus server.
    pub sidecars: usize,
    /// How many versions are decided in all.
    pub versions: u64,
    /// The capacity of the network, in messages; further ones are lost.
    pub in_flight: usize,
    /// How many crashes may happen in all, with or without loss of the disk.
    pub crashes: u8,
    /// A defect in the checked code, to show that the checker finds it.
    pub defect: Option<Defect>,
}

/// A defect that violates one of the properties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A sidecar accepts any snapshot, whatever its version.
    AcceptsOlderSnapshots,
    /// A sidecar accepts a record that does not follow its version.
    AcceptsGaps,
    /// A consensus server sends a record that was never decided.
    SendsUndecidedRecords,
}

/// A message in flight. Processes are numbered; the consensus server comes after the sidecars.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InFlightMessage {
    from: usize,
    to: usize,
    /// The encoded message: equal messages have equal bytes.
    payload: Vec<u8>,
}

/// The state of a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct Sidecar {
    view: View,
    /// The highest version that it has held since its disk was last lost.
    highest: Version,
}

impl Sidecar {
    fn empty() -> Sidecar {
        Sidecar { view: View::default(), highest: Version(0) }
    }
}

impl std::hash::Hash for Sidecar {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The hash of a view covers its whole chain.
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

/// A transition between two states.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// One more version is decided.
    Decide,
    /// A timer of a sidecar fires.
    Tick(usize),
    /// A message is received.
    Receive(InFlightMessage),
    /// A message is received and duplicated: it remains in flight.
    ReceiveDuplicate(InFlightMessage),
    /// A message is lost.
    Lose(InFlightMessage),
    /// A sidecar restarts from its disk.
    Restart(usize),
    /// A sidecar restarts with an empty disk.
    RestartWithoutDisk(usize),
}

/// The view that consists of the first decided versions.
fn decided_view(versions: u64) -> View {
    let mut view = View::default();
    for version in 1..=versions {
        let applied = view.apply(record(version, view.hash(), 0));
        debug_assert!(applied.is_ok());
    }
    view
}

fn record(version: u64, previous_hash: Hash, body: u8) -> Record {
    let proposal = Proposal {
        id: version,
        key: format!("k{}", version % 2),
        kind: RecordKind::NOTE,
        body: vec![body],
        by: "o".to_owned(),
        why: String::new(),
        expected_version: None,
    };
    Record { version: Version(version), term: 1, previous_hash, at_ms: 0, proposal }
}

impl Subscribers {
    fn peer_name(&self, n: usize) -> String {
        if n == self.sidecars { CONSENSUS_SERVER.to_owned() } else { format!("s{n}") }
    }

    fn subscriber(&self, state: &State, n: usize) -> Subscriber {
        let mut subscriber = Subscriber::new(
            state.sidecars[n].view.clone(),
            vec![CONSENSUS_SERVER.to_owned()],
            0,
            Duration::ZERO,
        );
        let peers = (0..self.sidecars).filter(|other| *other != n);
        subscriber.set_peers(peers.map(|other| self.peer_name(other)).collect());
        subscriber
    }

    fn send(&self, state: &mut State, from: usize, to: &str, message: &Message) {
        let to = if to == CONSENSUS_SERVER {
            Some(self.sidecars)
        } else {
            (0..self.sidecars).find(|n| self.peer_name(*n) == to)
        };
        if let (Some(to), true) = (to, state.in_flight.len() < self.in_flight) {
            // Plain data always encodes.
            let payload = postcard::to_allocvec(message).unwrap_or_default();
            state.in_flight.insert(InFlightMessage { from, to, payload });
        }
    }

    /// Stores the state of a subscriber that has run, and sends its messages.
    fn commit(&self, state: &mut State, n: usize, subscriber: &Subscriber, actions: Vec<Action>) {
        let sidecar = &mut state.sidecars[n];
        sidecar.view = subscriber.view().clone();
        sidecar.highest = sidecar.highest.max(sidecar.view.version());
        for action in actions {
            if let Action::Send(to, message) = action {
                self.send(state, n, &to, &message);
            }
        }
    }

    fn tick(&self, state: &mut State, n: usize) {
        let mut subscriber = self.subscriber(state, n);
        let actions = subscriber.tick(ALL_TIMERS_DUE);
        self.commit(state, n, &subscriber, actions);
    }

    fn receive(&self, state: &mut State, received: &InFlightMessage) {
        let Ok(message) = postcard::from_bytes::<Message>(&received.payload) else { return };
        if received.to == self.sidecars {
            self.receive_at_server(state, received.from, &message);
        } else {
            self.receive_at_sidecar(state, received.to, received.from, message);
        }
    }

    /// The program answers with records or with a snapshot, by how far the subscriber is behind. Here both are sent, so that
    /// either may be received.
    fn receive_at_server(&self, state: &mut State, from: usize, message: &Message) {
        let Message::FetchRecords { after } = message else { return };
        let to = self.peer_name(from);
        for reply in self.replies(&decided_view(state.decided), *after) {
            self.send(state, self.sidecars, &to, &reply);
        }
    }

    fn receive_at_sidecar(&self, state: &mut State, n: usize, from: usize, message: Message) {
        match (self.defect, &message) {
            (Some(Defect::AcceptsOlderSnapshots), Message::Snapshot(view)) => {
                state.sidecars[n].view = view.clone()
            }
            (Some(Defect::AcceptsGaps), Message::Records(records)) if !records.is_empty() => {
                let record = records.last().cloned().unwrap_or_else(|| unreachable!("it is not empty"));
                let view = &mut state.sidecars[n].view;
                let (previous_hash, version) = (view.hash(), view.version().next());
                let _ = view.apply(Record { previous_hash, version, ..record });
            }
            _ => {
                let from = PeerId { name: self.peer_name(from), incarnation: 1 };
                let mut subscriber = self.subscriber(state, n);
                let actions = subscriber.handle_message(ALL_TIMERS_DUE, &from, message);
                self.commit(state, n, &subscriber, actions);
            }
        }
        let sidecar = &mut state.sidecars[n];
        sidecar.highest = sidecar.highest.max(sidecar.view.version());
    }

    /// What a consensus server may answer to a subscriber that asks for the records after a version.
    fn replies(&self, decided: &View, after: Version) -> Vec<Message> {
        if after >= decided.version() {
            return vec![Message::ViewVersion { version: decided.version(), hash: decided.hash() }];
        }
        let mut view = decided_view(after.0);
        let mut records = Vec::new();
        for version in after.0 + 1..=decided.version().0 {
            let is_newest = version == decided.version().0;
            let undecided = self.defect == Some(Defect::SendsUndecidedRecords) && is_newest;
            let next = record(version, view.hash(), u8::from(undecided));
            if view.apply(next.clone()).is_ok() {
                records.push(next);
            }
        }
        vec![Message::Records(records), Message::Snapshot(decided.clone())]
    }

    /// Whether all sidecars reach the newest version if from here on every message is delivered once, in order, and nothing
    /// crashes.
    fn converges(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..CONVERGENCE_ROUNDS {
            for n in 0..self.sidecars {
                self.tick(&mut state, n);
                while let Some(message) = state.in_flight.pop_first() {
                    self.receive(&mut state, &message);
                }
            }
        }
        state.sidecars.iter().all(|sidecar| sidecar.view.version().0 == state.decided)
    }
}

impl Model for Subscribers {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let sidecars = vec![Sidecar::empty(); self.sidecars];
        vec![State { decided: 0, sidecars, in_flight: BTreeSet::new(), crashes: 0 }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.decided < self.versions {
            steps.push(Step::Decide);
        }
        for n in 0..self.sidecars {
            steps.push(Step::Tick(n));
            if state.crashes < self.crashes {
                steps.extend([Step::Restart(n), Step::RestartWithoutDisk(n)]);
            }
        }
        for message in &state.in_flight {
            steps.extend([
                Step::Receive(message.clone()),
                Step::ReceiveDuplicate(message.clone()),
                Step::Lose(message.clone()),
            ]);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Decide => next.decided += 1,
            Step::Tick(n) => self.tick(&mut next, n),
            Step::Receive(message) => {
                next.in_flight.remove(&message);
                self.receive(&mut next, &message);
            }
            Step::ReceiveDuplicate(message) => self.receive(&mut next, &message),
            Step::Lose(message) => drop(next.in_flight.remove(&message)),
            Step::Restart(_) => next.crashes += 1,
            Step::RestartWithoutDisk(n) => {
                next.crashes += 1;
                next.sidecars[n] = Sidecar::empty();
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(VERSIONS_NEVER_DECREASE, |_, state| {
                state.sidecars.iter().all(|sidecar| sidecar.view.version() >= sidecar.highest)
            }),
            Property::<Self>::always(ONLY_DECIDED_CONTENT, |_, state| {
                state.sidecars.iter().all(|sidecar| {
                    let version = sidecar.view.version().0;
                    version <= state.decided && sidecar.view.hash() == decided_view(version).hash()
                })
            }),
            Property::<Self>::always("all sidecars converge on the newest version", |model, state| {
                model.converges(state)
            }),
            // Shows that the search reaches far enough to be meaningful.
            Property::<Self>::sometimes("all sidecars hold the last version", |model, state| {
                state.sidecars.iter().all(|sidecar| sidecar.view.version().0 == model.versions)
            }),
        ]
    }
}
