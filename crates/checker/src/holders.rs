//! Sidecars that bring one another up: what is decided reaches them by any way, in any order, more than once or never.
//!
//! What keepers agree on is taken as given here, as a chain that grows: the agreement is a library's, and its use is played in
//! `fleet-model`. What is checked is [`Holder`] and [`View`]: whatever is heard, nobody goes back, nobody holds what was not
//! decided, and from any state without further faults all come to the newest version.

use curlewhub_fleet::holder::{Action as Wants, Holder};
use curlewhub_fleet::record::{Hash, Kind, Proposal, Record, Version};
use curlewhub_fleet::view::View;
use curlewhub_fleet::wire::{Said, Who};
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::Duration;

const KEEPER: &str = "keeper";
/// Long after any timer's time.
const LATER: Duration = Duration::from_secs(1000);

/// A small fleet.
#[derive(Clone, Debug)]
pub struct Holders {
    /// Sidecars.
    pub sidecars: usize,
    /// Versions that are decided, at the most.
    pub versions: u64,
    /// Messages under way at once, at the most; more are lost.
    pub under_way: usize,
    /// Crashes, with or without disk, at the most.
    pub crashes: u8,
    /// A defect, to see that the checker finds it.
    pub defect: Option<Defect>,
}

/// What may be wrong with a fleet on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A sidecar takes a whole view whatever its version.
    TakesOlderViews,
    /// A sidecar takes records without looking at what they follow.
    TakesGaps,
    /// Somebody tells records that were never decided.
    Liar,
}

/// A message under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
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

/// All of a fleet at one moment.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct State {
    decided: u64,
    sidecars: Vec<Sidecar>,
    under_way: BTreeSet<Message>,
    crashes: u8,
}

/// What may happen next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// One more version is decided.
    Decide,
    /// A timer of a sidecar fires.
    Tick(usize),
    /// A message comes; with `again` it may come once more later.
    Comes(Message, bool),
    /// A message is lost.
    Lost(Message),
    /// A sidecar starts anew, with its disk or without.
    Restart(usize, bool),
}

/// The chain that keepers have decided, up to a version.
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
    let proposal =
        Proposal { id: version, key, kind: Kind::NOTE, body: vec![body], by, why, only_after: None };
    Record { version: Version(version), term: 1, before, at_ms: 0, proposal }
}

impl Holders {
    fn name(&self, n: usize) -> String {
        if n == self.sidecars { KEEPER.to_owned() } else { format!("s{n}") }
    }

    fn holder(&self, state: &State, n: usize) -> Holder {
        let mut holder =
            Holder::new(state.sidecars[n].view.clone(), vec![KEEPER.to_owned()], 0, Duration::ZERO);
        holder
            .peers((0..self.sidecars).filter(|other| *other != n).map(|other| self.name(other)).collect());
        holder
    }

    fn say(&self, state: &mut State, from: usize, to: &str, said: &Said) {
        let to = if to == KEEPER {
            Some(self.sidecars)
        } else {
            (0..self.sidecars).find(|n| self.name(*n) == to)
        };
        if let (Some(to), true) = (to, state.under_way.len() < self.under_way) {
            let said = postcard::to_allocvec(said).unwrap_or_default(); // plain data: it never fails
            state.under_way.insert(Message { from, to, said });
        }
    }

    /// What a sidecar's holder has come to, and what it wants said.
    fn settle(&self, state: &mut State, n: usize, holder: &Holder, wants: Vec<Wants>) {
        let sidecar = &mut state.sidecars[n];
        sidecar.view = holder.view().clone();
        sidecar.highest = sidecar.highest.max(sidecar.view.version());
        for want in wants {
            if let Wants::Say(to, said) = want {
                self.say(state, n, &to, &said);
            }
        }
    }

    fn comes(&self, state: &mut State, message: &Message) {
        let Ok(said) = postcard::from_bytes::<Said>(&message.said) else { return };
        if message.to == self.sidecars {
            // A keeper tells what follows, or all of it: the program's own keeper does the one or the other by how far behind
            // one is, and here either may happen for all.
            if let Said::Ask { after } = said {
                let all = chain(state.decided);
                let told = self.tell(&all, after);
                let to = self.name(message.from);
                told.iter().for_each(|said| self.say(state, self.sidecars, &to, said));
            }
            return;
        }
        let (n, from) = (message.to, Who { name: self.name(message.from), incarnation: 1 });
        match (self.defect, &said) {
            (Some(Defect::TakesOlderViews), Said::Snapshot(view)) => state.sidecars[n].view = view.clone(),
            (Some(Defect::TakesGaps), Said::Records(records)) if !records.is_empty() => {
                // As if it were next, whatever it follows.
                let record = records.last().cloned().unwrap_or_else(|| unreachable!("it is not empty"));
                let before = state.sidecars[n].view.hash();
                let version = state.sidecars[n].view.version().next();
                let forged = Record { before, version, ..record };
                let _ = state.sidecars[n].view.apply(forged);
            }
            _ => {
                let mut holder = self.holder(state, n);
                let wants = holder.heard(LATER, &from, said);
                self.settle(state, n, &holder, wants);
            }
        }
        let sidecar = &mut state.sidecars[n];
        sidecar.highest = sidecar.highest.max(sidecar.view.version());
    }

    fn tell(&self, all: &View, after: Version) -> Vec<Said> {
        if after >= all.version() {
            return vec![Said::Have { version: all.version(), hash: all.hash() }];
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
        vec![Said::Records(records), Said::Snapshot(all.clone())]
    }
}

impl Model for Holders {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let sidecar = Sidecar { view: View::default(), highest: Version(0) };
        let (under_way, crashes) = Default::default();
        vec![State { decided: 0, sidecars: vec![sidecar; self.sidecars], under_way, crashes }]
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
        for message in &state.under_way {
            steps.extend([
                Step::Comes(message.clone(), false),
                Step::Comes(message.clone(), true),
                Step::Lost(message.clone()),
            ]);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Decide => next.decided += 1,
            Step::Tick(n) => {
                let mut holder = self.holder(state, n);
                let wants = holder.tick(LATER);
                self.settle(&mut next, n, &holder, wants);
            }
            Step::Comes(message, again) => {
                if !again {
                    next.under_way.remove(&message);
                }
                self.comes(&mut next, &message);
            }
            Step::Lost(message) => drop(next.under_way.remove(&message)),
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

impl Holders {
    /// Whether without any further fault, every message coming once and in its turn, all come to the newest version.
    fn settles(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..4 {
            for n in 0..self.sidecars {
                let mut holder = self.holder(&state, n);
                let wants = holder.tick(LATER);
                self.settle(&mut state, n, &holder, wants);
                while let Some(message) = state.under_way.pop_first() {
                    self.comes(&mut state, &message);
                }
            }
        }
        state.sidecars.iter().all(|sidecar| sidecar.view.version().0 == state.decided)
    }
}
