//! Sidecars that tell what became of their calls, by what is true of each way between two halls; no network, no requests.

use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::evidence::{CallCounts, Digest};
use curlewhub_zone_failover::state_machine::{Effect, Environment, Transition, ZoneStateMachine};
use curlewhub_zone_failover::zone_states::{ZoneState, ZoneStates, zone_of};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const TELLS: Duration = Duration::from_millis(250);
/// What is wanted is decided after this.
const DECIDES: Duration = Duration::from_millis(20);

/// What becomes of calls from one hall into another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Well,
    /// Nobody answers: told once they are overdue.
    Silent,
    /// Nobody is there.
    Gone,
    Full,
    Errors,
    /// This part of them is turned away.
    Busy(f64),
    /// They take so many times as long.
    Slow(f64),
    /// This part of them is lost.
    Share(f64),
}

pub struct Fleet {
    pub state_machine: ZoneStateMachine,
    pub now: Duration,
    pub zones: Vec<&'static str>,
    /// Places of the tier below, that every other sidecar calls in place of the halls' first.
    pub deep: Vec<&'static str>,
    /// Sidecars: name, hall, when it tells next, its digests so far, and when it last told.
    sidecars: Vec<(String, &'static str, Duration, u64, Duration)>,
    /// Calls of a sidecar into its own hall, and into each other one, a second.
    pub own: f64,
    pub others: f64,
    pub ways: BTreeMap<(&'static str, &'static str), Way>,
    /// Those who say that all is lost, whatever is.
    pub liars: Vec<String>,
    /// Halls whose sidecars are cut off from the keepers: they tell nothing ...
    pub unheard: Vec<&'static str>,
    /// ... and hear of no move, and go on as before.
    pub deaf: Vec<&'static str>,
    pub world: Environment,
    pub moves: Vec<(Duration, Transition)>,
    pub probes: u32,
    deciding: Vec<(Duration, ZoneStates)>,
    /// Probes that are not told yet: by whom, of which hall.
    probed: Vec<(usize, String, CallCounts)>,
    draws: Pcg32,
}

impl Fleet {
    pub fn new(zones: &[&'static str], each: usize, rules: ZoneFailoverConfig, seed: u64) -> Fleet {
        let mut draws = Pcg32::seed_from_u64(seed);
        let mut sidecars = Vec::new();
        let mut world = Environment::default();
        for zone in zones {
            for n in 0..each {
                let name = format!("s-{zone}-{n}");
                world.sidecars.entry((*zone).to_owned()).or_default().push(name.clone());
                sidecars.push((name, *zone, TELLS.mul_f64(draws.random()), 0, Duration::ZERO));
            }
        }
        let (now, deep, ways, liars, unheard, deaf, moves, probes, deciding, probed) = Default::default();
        let (zones, state_machine) = (zones.to_vec(), ZoneStateMachine::new(rules));
        let (own, others) = (24.0, 3.0);
        Fleet {
            state_machine,
            now,
            zones,
            deep,
            sidecars,
            own,
            others,
            ways,
            liars,
            unheard,
            deaf,
            world,
            moves,
            probes,
            deciding,
            probed,
            draws,
        }
    }

    pub fn state(&self, zone: &str) -> ZoneState {
        self.state_machine.zone_states().state(zone)
    }

    /// All ways into these halls, from outside and inside.
    pub fn all_into(&mut self, zones: &[&'static str], way: Way) {
        for from in self.zones.clone() {
            zones.iter().for_each(|to| _ = self.ways.insert((from, *to), way));
        }
    }

    pub fn run(&mut self, lasts: Duration) {
        let end = self.now + lasts;
        while self.now < end {
            self.now += STEP;
            for n in 0..self.sidecars.len() {
                if self.now >= self.sidecars[n].2 {
                    self.tell(n);
                }
            }
            let due: Vec<ZoneStates> =
                self.deciding.iter().filter(|(at, _)| *at <= self.now).map(|(_, p)| p.clone()).collect();
            self.deciding.retain(|(at, _)| *at > self.now);
            for zone_states in due {
                // As a record is written and read.
                let zone_states = ZoneStates::decode(&zone_states.encode()).unwrap();
                self.state_machine.apply(self.now, &zone_states);
            }
            if self.now.as_millis().is_multiple_of(50) {
                self.world.turn += 1;
                let world = self.world.clone();
                for wanted in self.state_machine.tick(self.now, &world) {
                    match wanted {
                        Effect::Propose { states: zone_states, transitions: moves } => {
                            self.deciding.push((self.now + DECIDES, zone_states));
                            self.moves.extend(moves.into_iter().map(|moved| (self.now, moved)));
                        }
                        Effect::Probe { sidecar, zone, count } => self.probe(&sidecar, &zone, count),
                    }
                }
            }
        }
    }

    fn way(&self, from: &str, to: &str) -> Way {
        let known = self.ways.iter().find(|((f, t), _)| *f == from && *t == to);
        known.map_or(Way::Well, |(_, way)| *way)
    }

    /// A sidecar's calls of the time since it last told; what may not go into a hall goes into none here.
    fn tell(&mut self, n: usize) {
        let (name, zone) = (self.sidecars[n].0.clone(), self.sidecars[n].1);
        let mut rows = BTreeMap::new();
        let deep = !self.deep.is_empty() && n % 2 == 1;
        for to in if deep { self.deep.clone() } else { self.zones.clone() } {
            let at_home = zone_of(to) == zone;
            let wanted = if at_home { self.own } else { self.others };
            let may = match self.state(to) {
                _ if self.deaf.contains(&zone) => wanted,
                ZoneState::Serving => wanted,
                ZoneState::Leaving(part) => wanted * part,
                ZoneState::Left => 0.0,
                // By need, among the hall's own.
                ZoneState::Returning(rate) if at_home => (rate / self.each(zone)).min(wanted),
                ZoneState::Returning(_) => 0.0,
            };
            let may = if self.state_machine.zone_states().is_cut(zone, to) { 0.0 } else { may };
            let mean = may * self.now.saturating_sub(self.sidecars[n].4).as_secs_f64();
            let count = mean.floor() as u32 + u32::from(self.draws.random::<f64>() < mean.fract());
            if count > 0 {
                let way = if self.liars.contains(&name) { Way::Gone } else { self.way(zone, to) };
                rows.insert(to.to_owned(), self.calls(way, count));
            }
        }
        for (_, to, probed) in self.probed.extract_if(.., |(of, ..)| *of == n) {
            let row: &mut CallCounts = rows.entry(to).or_default();
            (row.probes_answered, row.probes_unanswered) = (
                row.probes_answered + probed.probes_answered,
                row.probes_unanswered + probed.probes_unanswered,
            );
        }
        let one = &mut self.sidecars[n];
        (one.2, one.3, one.4) = (self.now + TELLS, one.3 + 1, self.now);
        let at_ms = self.now.as_millis() as u64;
        let digest = Digest {
            sequence: one.3,
            sent_at_ms: at_ms,
            zone: zone.to_owned(),
            interval_ms: 250,
            calls_by_zone: rows,
        };
        if !self.unheard.contains(&zone) {
            self.state_machine.record(self.now, &name, &digest);
        }
    }

    fn each(&self, zone: &str) -> f64 {
        self.sidecars.iter().filter(|(_, of, ..)| *of == zone).count().max(1) as f64
    }

    fn calls(&mut self, way: Way, count: u32) -> CallCounts {
        let none = CallCounts::default();
        let served = |count: u32, times: f64| {
            let usual_ms = count * 10;
            CallCounts {
                served: count,
                expected_ms: usual_ms,
                took_ms: (f64::from(usual_ms) * times) as u32,
                ..none
            }
        };
        match way {
            Way::Well => served(count, 1.0),
            Way::Slow(times) => served(count, times),
            Way::Silent => CallCounts { overdue: count, ..none },
            Way::Gone => CallCounts { unreachable: count, ..none },
            Way::Full => CallCounts { rejected: count, ..none },
            Way::Busy(part) => {
                let full = (0..count).filter(|_| self.draws.random::<f64>() < part).count() as u32;
                CallCounts { rejected: full, ..served(count - full, 1.0) }
            }
            Way::Errors => CallCounts { failed: count, ..none },
            Way::Share(part) => {
                let lost = (0..count).filter(|_| self.draws.random::<f64>() < part).count() as u32;
                CallCounts { timed_out: lost, ..served(count - lost, 1.0) }
            }
        }
    }

    /// What it sees of the hall, and all that it has seen since it last told, is told at once.
    fn probe(&mut self, name: &str, zone: &str, count: u32) {
        self.probes += count;
        let Some(n) = self.sidecars.iter().position(|(known, ..)| known == name) else { return };
        let there = match self.way(self.sidecars[n].1, zone) {
            Way::Silent | Way::Gone => 0,
            Way::Share(part) => (0..count).filter(|_| self.draws.random::<f64>() >= part).count() as u32,
            _ => count,
        };
        self.probed.push((
            n,
            zone.to_owned(),
            CallCounts {
                probes_answered: there,
                probes_unanswered: count - there,
                ..CallCounts::default()
            },
        ));
        self.tell(n);
    }

    /// When a hall first came to such a state from a time on, after that time.
    pub fn after(&self, from: Duration, zone: &str, is: impl Fn(ZoneState) -> bool) -> Option<Duration> {
        let found = self.moves.iter().find(|(at, moved)| *at >= from && moved.zone == zone && is(moved.to));
        found.map(|(at, _)| *at - from)
    }
}
