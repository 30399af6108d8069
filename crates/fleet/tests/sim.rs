//! A small fleet in simulated time, one seed replays all: keepers that crash, forget or pause, holders that start again, a
//! network that loses, repeats, reorders and parts. What must hold is looked at in every step.

use curlewhub_fleet::holder::{Action, Holder};
use curlewhub_fleet::keeper::{Keeper, Kept, Output, TICK};
use curlewhub_fleet::record::{Hash, Kind, Proposal, Version};
use curlewhub_fleet::view::View;
use curlewhub_fleet::wire::{Said, Who};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// A version is to be at all within this of a majority being whole, and of nothing going wrong any more.
const HEALS_WITHIN: Duration = Duration::from_secs(8);

#[derive(Clone, Debug)]
enum Parcel {
    Agreement(Vec<u8>),
    Said(Who, Said),
}

/// A process: what it is while it runs, and what its disk has.
struct Process<T> {
    runs: Option<T>,
    disk: Kept,
    view: View,
    incarnation: u64,
    paused: bool,
}

struct Fleet {
    now: Duration,
    draws: Pcg32,
    keepers: BTreeMap<u64, Process<Keeper>>,
    holders: BTreeMap<String, Process<Holder>>,
    /// By when they come, and a number that tells equal times apart.
    network: BTreeMap<(Duration, u64), (String, String, Parcel)>,
    sent: u64,
    loss: f64,
    late: Duration,
    /// Pairs between which nothing passes, from and to.
    cuts: BTreeSet<(String, String)>,
    /// The one content of each version, by whoever had it first.
    contents: BTreeMap<Version, Hash>,
    /// What a proposer was told to be decided.
    decided: BTreeMap<u64, Version>,
    proposals: u64,
}

fn keeper(id: u64) -> String {
    format!("k{id}")
}

fn proposal(id: u64) -> Proposal {
    let (key, by) = (format!("hall/{}", id % 5), "operator".to_owned());
    let (kind, body, why) = (Kind::PLACE, vec![id as u8; 40], String::new());
    Proposal { id, key, kind, body, by, why, only_after: None }
}

impl Fleet {
    fn new(seed: u64, keepers: u64, holders: usize) -> Fleet {
        let ids: Vec<u64> = (1..=keepers).collect();
        let mut fleet = Fleet {
            now: Duration::from_secs(100),
            draws: Pcg32::seed_from_u64(seed),
            keepers: BTreeMap::new(),
            holders: BTreeMap::new(),
            network: BTreeMap::new(),
            sent: 0,
            loss: 0.0,
            late: MS * 3,
            cuts: BTreeSet::new(),
            contents: BTreeMap::new(),
            decided: BTreeMap::new(),
            proposals: 0,
        };
        for id in &ids {
            let (runs, view, incarnation) = Default::default();
            let process = Process { runs, disk: Keeper::first(&ids), view, incarnation, paused: false };
            fleet.keepers.insert(*id, process);
            fleet.start_keeper(*id);
        }
        for n in 0..holders {
            let (runs, disk, view, incarnation) = Default::default();
            fleet.holders.insert(format!("s{n}"), Process { runs, disk, view, incarnation, paused: false });
            fleet.start_holder(&format!("s{n}"));
        }
        fleet
    }

    fn start_keeper(&mut self, id: u64) {
        let (seed, now) = (self.draws.random(), self.now);
        let process = self.keepers.get_mut(&id).unwrap();
        process.incarnation += 1;
        process.runs = Some(Keeper::new(id, &process.disk, seed, now).unwrap());
    }

    fn start_holder(&mut self, name: &str) {
        let (seed, now) = (self.draws.random(), self.now);
        let keepers = self.keepers.keys().map(|id| keeper(*id)).collect();
        let peers = self.holders.keys().filter(|other| *other != name).cloned().collect();
        let process = self.holders.get_mut(name).unwrap();
        process.incarnation += 1;
        let mut holder = Holder::new(process.view.clone(), keepers, seed, now);
        holder.peers(peers);
        process.runs = Some(holder);
    }

    fn send(&mut self, from: &str, to: &str, parcel: Parcel) {
        let copies = 1 + usize::from(self.draws.random::<f64>() < self.loss / 2.0);
        for _ in 0..copies {
            let lost = self.draws.random::<f64>() < self.loss;
            if lost || self.cuts.contains(&(from.to_owned(), to.to_owned())) {
                continue;
            }
            let at = self.now + MS + self.late.mul_f64(self.draws.random::<f64>());
            self.sent += 1;
            self.network.insert((at, self.sent), (from.to_owned(), to.to_owned(), parcel.clone()));
        }
    }

    /// Writes what a keeper wants kept, and only then sends what it says; a crash may come between.
    fn carry_out(&mut self, id: u64, output: Output, crash: bool) {
        let process = self.keepers.get_mut(&id).unwrap();
        process.disk.take(&output.persist);
        let who = Who { name: keeper(id), incarnation: process.incarnation };
        for record in &output.applied {
            let first = *self.contents.entry(record.version).or_insert(record.hash());
            assert_eq!(first, record.hash(), "two contents for version {}", record.version);
        }
        if crash {
            self.keepers.get_mut(&id).unwrap().runs = None;
            return;
        }
        for (to, bytes) in output.agreement {
            self.send(&keeper(id), &keeper(to), Parcel::Agreement(bytes));
        }
        for (to, said) in output.said {
            if let Said::Decided { id, version } = said {
                let first = *self.decided.entry(id).or_insert(version);
                assert_eq!(first, version, "proposal {id} was decided twice");
            }
            self.send(&keeper(id), &to, Parcel::Said(who.clone(), said));
        }
    }

    fn act(&mut self, name: &str, actions: Vec<Action>) {
        let process = self.holders.get_mut(name).unwrap();
        let who = Who { name: name.to_owned(), incarnation: process.incarnation };
        let before = process.view.version();
        process.view = process.runs.as_ref().unwrap().view().clone();
        let after = process.view.version();
        assert!(after >= before, "{name} went back from {before} to {after}");
        if let Some(known) = self.contents.get(&after) {
            assert_eq!(*known, process.view.hash(), "{name} has another content of {after}");
        }
        for action in actions {
            if let Action::Say(to, said) = action {
                self.send(name, &to, Parcel::Said(who.clone(), said));
            }
        }
    }

    fn propose(&mut self, to: u64) {
        self.proposals += 1;
        let who = Who { name: "operator".to_owned(), incarnation: 1 };
        let said = Said::Propose(proposal(self.proposals));
        self.send("operator", &keeper(to), Parcel::Said(who, said));
    }

    /// One tick of all, and what comes until the next.
    fn step(&mut self) {
        let end = self.now + TICK;
        while let Some(entry) = self.network.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), (_, to, parcel)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.comes(&to, parcel);
        }
        self.now = end;
        for id in self.keepers.keys().copied().collect::<Vec<_>>() {
            let now = self.now;
            let Some(process) = self.keepers.get_mut(&id).filter(|process| !process.paused) else {
                continue;
            };
            if let Some(output) = process.runs.as_mut().map(|keeper| keeper.tick(now, 0)) {
                self.carry_out(id, output, false);
            }
        }
        for name in self.holders.keys().cloned().collect::<Vec<_>>() {
            let now = self.now;
            let Some(process) = self.holders.get_mut(&name).filter(|process| !process.paused) else {
                continue;
            };
            if let Some(actions) = process.runs.as_mut().map(|holder| holder.tick(now)) {
                self.act(&name, actions);
            }
        }
    }

    fn comes(&mut self, to: &str, parcel: Parcel) {
        let now = self.now;
        if let Some(id) = to.strip_prefix('k').and_then(|id| id.parse().ok()) {
            let Some(process) = self.keepers.get_mut(&id).filter(|process| !process.paused) else { return };
            let Some(keeper) = &mut process.runs else { return };
            let output = match parcel {
                Parcel::Agreement(bytes) => keeper.agreement(&bytes),
                Parcel::Said(from, said) => keeper.heard(&from, said),
            };
            // Now and then it dies once it has written, before it has said anything.
            let crash = self.loss > 0.0 && self.draws.random::<f64>() < 0.0005;
            self.carry_out(id, output, crash);
        } else if let Parcel::Said(from, said) = parcel {
            let Some(process) = self.holders.get_mut(to).filter(|process| !process.paused) else { return };
            let Some(actions) = process.runs.as_mut().map(|holder| holder.heard(now, &from, said)) else {
                return;
            };
            self.act(to, actions);
        }
    }

    fn run(&mut self, lasts: Duration) {
        let end = self.now + lasts;
        while self.now < end {
            self.step();
        }
    }

    /// Something goes wrong, or is put right.
    fn disturb(&mut self) {
        let names: Vec<String> =
            self.keepers.keys().map(|id| keeper(*id)).chain(self.holders.keys().cloned()).collect();
        let pick = |draws: &mut Pcg32| names[draws.random_range(0..names.len())].clone();
        let id = self.draws.random_range(1..=self.keepers.len() as u64);
        let holder = format!("s{}", self.draws.random_range(0..self.holders.len()));
        match self.draws.random_range(0..9) {
            0 => self.keepers.get_mut(&id).unwrap().runs = None,
            1 if self.keepers[&id].runs.is_none() => self.start_keeper(id),
            2 => {
                let keeper = self.keepers.get_mut(&id).unwrap();
                keeper.paused = !keeper.paused;
            }
            3 => {
                // It starts again; its disk may have forgotten all.
                let process = self.holders.get_mut(&holder).unwrap();
                if self.draws.random::<bool>() {
                    process.view = View::default();
                }
                self.start_holder(&holder);
            }
            4 => {
                let holder = self.holders.get_mut(&holder).unwrap();
                holder.paused = !holder.paused;
            }
            5 | 6 => {
                let (a, b) = (pick(&mut self.draws), pick(&mut self.draws));
                self.cuts.insert((a.clone(), b.clone()));
                if self.draws.random::<bool>() {
                    self.cuts.insert((b, a));
                }
            }
            7 => self.cuts.clear(),
            _ => self.loss = self.draws.random_range(0.0..0.3),
        }
    }

    fn heal(&mut self) {
        (self.loss, self.late) = (0.0, MS * 3);
        self.cuts.clear();
        for id in self.keepers.keys().copied().collect::<Vec<_>>() {
            self.keepers.get_mut(&id).unwrap().paused = false;
            if self.keepers[&id].runs.is_none() {
                self.start_keeper(id);
            }
        }
        self.holders.values_mut().for_each(|holder| holder.paused = false);
    }

    fn versions(&self) -> BTreeSet<Version> {
        let keepers = self.keepers.values().filter_map(|p| p.runs.as_ref()).map(|k| k.view().version());
        keepers.chain(self.holders.values().map(|holder| holder.view.version())).collect()
    }

    /// From now on nothing goes wrong: all come to one version, on which a new one follows, and nothing is lost.
    fn ends_well(&mut self, seed: u64) {
        self.heal();
        self.run(HEALS_WITHIN / 2);
        let before = *self.versions().last().unwrap();
        let leader = self.keepers.iter().find(|(_, k)| k.runs.as_ref().is_some_and(Keeper::leads));
        let leader = *leader.unwrap_or_else(|| panic!("seed {seed}: nobody leads")).0;
        self.propose(leader);
        self.run(HEALS_WITHIN / 2);
        let versions = self.versions();
        assert_eq!(versions.len(), 1, "seed {seed}: {versions:?}");
        assert_eq!(versions.last(), Some(&before.next()), "seed {seed}");
        for (id, version) in &self.decided {
            assert!(self.contents.contains_key(version), "seed {seed}: proposal {id} is lost");
            assert!(version <= &before.next());
        }
    }
}

#[test]
fn whatever_goes_wrong_there_is_one_content_a_version_nobody_goes_back_and_all_end_alike() {
    let mut decided = 0;
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed, 3 + 2 * (seed % 2), 4);
        fleet.run(Duration::from_secs(2));
        for _ in 0..40 {
            fleet.disturb();
            let to = fleet.draws.random_range(1..=fleet.keepers.len() as u64);
            fleet.propose(to);
            fleet.run(Duration::from_millis(400));
        }
        fleet.ends_well(seed);
        decided += fleet.decided.len();
    }
    assert!(decided > 400, "{decided}: too little was decided to say anything");
}

#[test]
fn a_leader_that_hears_nothing_steps_down_and_one_that_wakes_leads_no_more() {
    for paused in [false, true] {
        let mut fleet = Fleet::new(7, 3, 2);
        fleet.run(Duration::from_secs(3));
        let leader = *fleet.keepers.iter().find(|(_, k)| k.runs.as_ref().unwrap().leads()).unwrap().0;
        if paused {
            fleet.keepers.get_mut(&leader).unwrap().paused = true;
        } else {
            // It sends, and hears nothing.
            for id in (1..=3).filter(|id| *id != leader) {
                fleet.cuts.insert((keeper(id), keeper(leader)));
            }
        }
        fleet.run(Duration::from_secs(4));
        let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
        let next = others.iter().find(|id| fleet.keepers[id].runs.as_ref().unwrap().leads());
        let next = *next.unwrap_or_else(|| panic!("paused {paused}: the others chose nobody"));
        fleet.propose(next);
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.decided.len(), 1, "paused {paused}");
        fleet.ends_well(7);
    }
}

#[test]
fn without_a_majority_nothing_is_decided_and_holders_keep_what_they_have() {
    let mut fleet = Fleet::new(3, 5, 4);
    fleet.run(Duration::from_secs(3));
    (0..3).for_each(|_| fleet.propose(1));
    fleet.run(Duration::from_secs(2));
    let held = fleet.versions();
    assert_eq!(held, [Version(3)].into());
    for id in 1..=3 {
        fleet.keepers.get_mut(&id).unwrap().runs = None;
    }
    fleet.propose(4);
    fleet.run(Duration::from_secs(600));
    assert_eq!(fleet.versions(), held, "ten minutes change nothing");
    // One that has lost its disk meanwhile is brought up by the others, with no keeper's help.
    (4..=5).for_each(|id| fleet.keepers.get_mut(&id).unwrap().runs = None);
    fleet.holders.get_mut("s0").unwrap().view = View::default();
    fleet.start_holder("s0");
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.holders["s0"].view.version(), Version(3));
    let age = fleet.holders["s0"].runs.as_ref().unwrap().age(fleet.now);
    assert_eq!(age, None, "by no keeper's word");
    fleet.ends_well(3);
}

#[test]
fn keepers_are_replaced_one_at_a_time_and_a_new_one_gets_all() {
    let mut fleet = Fleet::new(11, 3, 2);
    fleet.run(Duration::from_secs(3));
    // More than a snapshot's worth, so that the new one can't be given the entries alone.
    for _ in 0..700 {
        fleet.propose(1);
        fleet.step();
    }
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.versions(), [Version(700)].into());
    let entries = fleet.keepers[&1].disk.entries.len();
    assert!(entries < 700, "{entries} entries are kept: the log does not end");
    let leader = *fleet.keepers.iter().find(|(_, k)| k.runs.as_ref().unwrap().leads()).unwrap().0;
    let (runs, view, incarnation) = Default::default();
    fleet.keepers.insert(4, Process { runs, disk: Keeper::joining(), view, incarnation, paused: false });
    fleet.start_keeper(4);
    let added = fleet.keepers.get_mut(&leader).unwrap().runs.as_mut().unwrap().change(4, true).unwrap();
    fleet.carry_out(leader, added, false);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.keepers[&4].runs.as_ref().unwrap().view().version(), Version(700));
    // The old one goes, and the new one counts for the majority.
    let gone = (1..=3).find(|id| *id != leader).unwrap();
    let removed =
        fleet.keepers.get_mut(&leader).unwrap().runs.as_mut().unwrap().change(gone, false).unwrap();
    fleet.carry_out(leader, removed, false);
    fleet.run(Duration::from_secs(2));
    fleet.keepers.remove(&gone);
    fleet.propose(leader);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.keepers[&4].runs.as_ref().unwrap().view().version(), Version(701));
    let wrong = fleet.keepers.get_mut(&leader).unwrap().runs.as_mut().unwrap().change(gone, false);
    assert!(wrong.unwrap_err().to_string().contains("is not a keeper"));
}

#[test]
fn one_seed_replays_all() {
    let trace = |seed| {
        let mut fleet = Fleet::new(seed, 3, 3);
        for _ in 0..20 {
            fleet.disturb();
            fleet.propose(1);
            fleet.run(Duration::from_millis(300));
        }
        (fleet.sent, fleet.contents.clone(), fleet.decided.clone())
    };
    assert_eq!(trace(5), trace(5));
    assert_ne!(trace(5).0, trace(6).0);
}
