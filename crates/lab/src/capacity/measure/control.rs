//! What a fleet's control plane says, holds and computes, in simulated fleets of the program's own sans-I/O code.

use super::{Effort, Measured, Point, Subject, sizes};
use crate::capacity::file::Role;
use crate::capacity::target::{CONSENSUS_SERVERS, Dimension, RACK, REGIONS, SIDECARS, ZONES};
use curlewhub_control_plane_model::{Evidence, Fault, Fleet, Purpose, SimulationSpec, Traffic};
use rayon::prelude::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const DAY_SECONDS: f64 = 86_400.0;
/// From the start until all know all and the news of that has been told: two rounds of announcements (10 s each).
const SETTLES: Duration = Duration::from_secs(20);
/// A steady fleet is measured over so long: two rounds of announcements.
const STEADY: Duration = Duration::from_secs(20);
/// An event is followed for so long: the time within which the letter wants a change in force everywhere.
const FOLLOWED: u32 = 15;
/// Sidecars of the runs that vary something else.
const SIDECARS_FIXED: usize = 240;

/// A fleet that is measured.
#[derive(Clone, Copy, Debug)]
struct Plan {
    sidecars: usize,
    zones: usize,
    servers: usize,
    members: bool,
    /// Seconds between two versions; none where there is nothing to decide.
    change_every: Option<f64>,
    /// Seconds between two restarts; none where nothing is restarted.
    restart_every: Option<f64>,
    times: Times,
}

/// For how long a fleet runs.
#[derive(Clone, Copy, Debug)]
struct Times {
    settles: Duration,
    steady: Duration,
    followed: u32,
}

impl Times {
    fn of(effort: Effort) -> Times {
        match effort {
            Effort::Whole => Times { settles: SETTLES, steady: STEADY, followed: FOLLOWED },
            Effort::Small => Times { settles: SECOND * 3, steady: SECOND * 3, followed: 1 },
        }
    }
}

impl Plan {
    fn of(sidecars: usize, effort: Effort) -> Plan {
        Plan {
            sidecars,
            zones: ZONES as usize,
            servers: CONSENSUS_SERVERS as usize,
            members: true,
            change_every: None,
            restart_every: None,
            times: Times::of(effort),
        }
    }

    fn spec(&self) -> SimulationSpec {
        let regions = (REGIONS as usize).min(self.zones);
        SimulationSpec {
            zones: (0..self.zones).map(|zone| zone % regions).collect(),
            consensus_servers: (0..self.servers).map(|server| server % self.zones).collect(),
            sidecars: (0..self.sidecars).map(|sidecar| sidecar % self.zones).collect(),
            membership: self.members,
            evidence: Evidence::Well,
            ..SimulationSpec::small(0, 0)
        }
    }
}

/// A second of one process, both directions.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    messages: f64,
    bytes: f64,
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
struct Steady {
    sidecar_mean: Rate,
    sidecar_worst: Rate,
    server_worst: Rate,
    /// Bytes a second of a sidecar in the mean, by purpose.
    by_purpose: [f64; Purpose::ALL.len()],
}

/// A fleet with the means to look at it.
struct Looked {
    fleet: Fleet,
    times: Times,
}

impl Looked {
    /// Starts all.
    fn new(plan: &Plan, seed: u64) -> Looked {
        Looked { fleet: Fleet::new(plan.spec(), seed), times: plan.times }
    }

    /// Starts all and lets them settle.
    fn settled(plan: &Plan, seed: u64) -> Looked {
        let mut looked = Looked::new(plan, seed);
        looked.fleet.run(plan.times.settles);
        looked
    }

    fn traffic(&self) -> Vec<Traffic> {
        (0..self.fleet.count()).map(|node| self.fleet.traffic(node)).collect()
    }

    fn sidecars(&self) -> std::ops::Range<usize> {
        self.fleet.consensus_servers()..self.fleet.count()
    }

    /// Rates since then, by process.
    fn rates(&self, before: &[Traffic], over: Duration) -> Vec<Rate> {
        let seconds = over.as_secs_f64();
        let rate = |(node, before): (usize, &Traffic)| {
            let passed = self.fleet.traffic(node) - *before;
            Rate { messages: passed.messages() as f64 / seconds, bytes: passed.bytes() as f64 / seconds }
        };
        before.iter().enumerate().map(rate).collect()
    }

    fn steady(&mut self, plan: &Plan) -> Steady {
        let before = self.traffic();
        self.disturbed(plan, self.times.steady);
        let rates = self.rates(&before, self.times.steady);
        let (servers, sidecars) = rates.split_at(self.fleet.consensus_servers());
        Steady {
            sidecar_mean: mean(sidecars),
            sidecar_worst: worst(sidecars),
            server_worst: worst(servers),
            by_purpose: self.by_purpose(&before),
        }
    }

    fn by_purpose(&self, before: &[Traffic]) -> [f64; Purpose::ALL.len()] {
        Purpose::ALL.map(|purpose| {
            let of = |node: usize| {
                let passed = self.fleet.traffic(node) - before[node];
                (passed.sent(purpose).bytes + passed.received(purpose).bytes) as f64
            };
            self.sidecars().map(of).sum::<f64>()
                / self.sidecars().len() as f64
                / self.times.steady.as_secs_f64()
        })
    }

    /// Lets time pass with the plan's changes and restarts.
    fn disturbed(&mut self, plan: &Plan, lasts: Duration) {
        let end = self.fleet.now() + lasts;
        let every = |seconds: Option<f64>| seconds.map(Duration::from_secs_f64);
        let (changes, restarts) = (every(plan.change_every), every(plan.restart_every));
        let first =
            |every: Option<Duration>| every.map_or(Duration::MAX, |every| self.fleet.now() + every / 2);
        let (mut change_at, mut restart_at) = (first(changes), first(restarts));
        let mut restarted = 0;
        loop {
            let next = change_at.min(restart_at).min(end);
            self.fleet.run_to(next);
            if next == end {
                return;
            }
            if next == change_at {
                self.fleet.propose_anywhere();
                change_at = changes.map_or(Duration::MAX, |every| change_at + every);
            } else {
                let node = self.sidecars().start + restarted % self.sidecars().len();
                self.fleet.inject(node, Fault::Crash);
                self.fleet.inject(node, Fault::Recover);
                restarted += 1;
                restart_at = restarts.map_or(Duration::MAX, |every| restart_at + every);
            }
        }
    }

    /// The mean rate of the worst sidecar that runs, and the worst second of any, from now on.
    fn followed(&mut self) -> Event {
        let whole = self.traffic();
        let mut event = Event::default();
        for _ in 0..self.times.followed {
            let before = self.traffic();
            self.fleet.run(SECOND);
            let rates = self.rates(&before, SECOND);
            let (servers, sidecars) = rates.split_at(self.fleet.consensus_servers());
            event.second = event.second.max(worst(sidecars).bytes);
            event.server_second = event.server_second.max(worst(servers).messages);
        }
        let rates = self.rates(&whole, SECOND * self.times.followed);
        event.mean = worst(&rates[self.fleet.consensus_servers()..]).bytes;
        event
    }

    /// Kills the first so many sidecars of the first zone, and starts them again.
    fn lost_and_back(&mut self, count: usize, zones: usize) -> (Event, Event) {
        let gone: Vec<usize> = self.sidecars().step_by(zones).take(count).collect();
        gone.iter().for_each(|node| self.fleet.inject(*node, Fault::Crash));
        let lost = self.followed();
        gone.iter().for_each(|node| self.fleet.inject(*node, Fault::Recover));
        let back = self.followed();
        (lost, back)
    }
}

/// What an event cost.
#[derive(Clone, Copy, Debug, Default)]
struct Event {
    /// Bytes a second of the worst sidecar, over the time that it was followed for.
    mean: f64,
    /// Bytes of the worst sidecar in its worst second.
    second: f64,
    /// Messages of the worst server in its worst second.
    server_second: f64,
}

fn mean(rates: &[Rate]) -> Rate {
    let count = rates.len().max(1) as f64;
    Rate {
        messages: rates.iter().map(|rate| rate.messages).sum::<f64>() / count,
        bytes: rates.iter().map(|rate| rate.bytes).sum::<f64>() / count,
    }
}

fn worst(rates: &[Rate]) -> Rate {
    Rate {
        messages: rates.iter().map(|rate| rate.messages).fold(0.0, f64::max),
        bytes: rates.iter().map(|rate| rate.bytes).fold(0.0, f64::max),
    }
}

/// Measures all slopes of simulated fleets.
pub fn measure(
    (effort, members_most): (Effort, usize),
    seed: u64,
    measured: &mut Measured,
    tell: &mut dyn FnMut(&str),
) {
    by_zones(effort, seed, measured, tell);
    by_servers(effort, seed, measured, tell);
    by_changes(effort, seed, measured, tell);
    by_restarts(effort, seed, measured, tell);
    by_failing(effort, seed, measured, tell);
    by_sidecars((effort, members_most), seed, measured, tell);
    not_members(effort, seed, measured, tell);
}

/// One run for each size.
fn runs(
    sizes: &[f64],
    seed: u64,
    of: impl Fn(f64) -> Plan + Sync,
    tell: &mut dyn FnMut(&str),
) -> Vec<(f64, Steady)> {
    let run = |&size: &f64| {
        let plan = of(size);
        (size, Looked::settled(&plan, seed).steady(&plan))
    };
    let runs: Vec<(f64, Steady)> = sizes.par_iter().with_max_len(1).map(run).collect();
    runs.iter().for_each(|(size, steady)| tell(&format!("{:?}: {steady:?}", of(*size))));
    runs
}

fn points(runs: &[(f64, Steady)], of: impl Fn(&Steady) -> f64) -> Vec<Point> {
    runs.iter().map(|(size, steady)| Point { size: *size, value: of(steady) }).collect()
}

fn fixed(effort: Effort) -> usize {
    if effort == Effort::Whole { SIDECARS_FIXED } else { 7 }
}

const STEADY_RUN: &str = "simulated fleet, seven consensus servers, all sidecars members and telling evidence, \
                          20 s after 20 s to settle";

/// Bytes that a sidecar sends and receives.
const SIDECAR_BYTES: Subject<'static> = Subject {
    id: "control.bytes.by_sidecars",
    role: Role::SidecarControl,
    quantity: "bytes of the worst sidecar, sent and received",
    unit: "bytes a second",
    grows_with: Dimension::Sidecars,
    run: STEADY_RUN,
};

fn by_sidecars(
    (effort, members_most): (Effort, usize),
    seed: u64,
    measured: &mut Measured,
    tell: &mut dyn FnMut(&str),
) {
    let mut sizes =
        sizes(effort, &[120.0, 180.0, 240.0, 360.0, 480.0, 720.0, 950.0, 1_200.0, 1_425.0, SIDECARS]);
    sizes.retain(|size| *size <= members_most as f64);
    // The largest first: the others are done while it goes on.
    sizes.reverse();
    let largest = sizes.first().copied();
    let mut all: Vec<Started> = sizes
        .par_iter()
        .with_max_len(1)
        .map(|&size| started(effort, (size, Some(size) == largest), seed))
        .collect();
    all.reverse();
    all.iter().for_each(|started| tell(&format!("{started:?}")));
    if let Some(largest) = all.last() {
        events(largest, measured);
    }
    let found: Vec<(f64, Steady)> = all.iter().map(|started| (started.size, started.steady)).collect();
    let starts =
        all.iter().map(|started| Point { size: started.size, value: started.start.mean }).collect();
    measured.slope(SIDECAR_BYTES.through(points(&found, |steady| steady.sidecar_worst.bytes)));
    let subject = Subject {
        id: "control.start_bytes.by_sidecars",
        quantity: "bytes of the worst sidecar in the 15 s after the start of all at once",
        run: "simulated fleet, seven consensus servers, all sidecars members and telling evidence, empty disks",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(starts));
    let subject = Subject {
        id: "control.bytes_mean.by_sidecars",
        quantity: "bytes of a sidecar in the mean, sent and received",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.sidecar_mean.bytes)));
    let subject = Subject {
        id: "control.membership_bytes.by_sidecars",
        quantity: "bytes of a sidecar in the mean for membership alone",
        ..SIDECAR_BYTES
    };
    let membership = |steady: &Steady| steady.by_purpose[Purpose::Membership as usize];
    measured.slope(subject.through(points(&found, membership)));
    let subject = Subject {
        id: "control.evidence_bytes.by_sidecars",
        quantity: "bytes of a sidecar in the mean for evidence alone",
        ..SIDECAR_BYTES
    };
    let evidence = |steady: &Steady| steady.by_purpose[Purpose::Evidence as usize];
    measured.slope(subject.through(points(&found, evidence)));
    let subject = Subject {
        id: "control.messages.by_sidecars",
        quantity: "messages of the worst sidecar, sent and received",
        unit: "messages a second",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.sidecar_worst.messages)));
    let subject = Subject {
        id: "server.messages.by_sidecars",
        role: Role::ConsensusServer,
        quantity: "messages of the busiest server, sent and received",
        unit: "messages a second",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.server_worst.messages)));
    let subject = Subject {
        id: "server.bytes.by_sidecars",
        quantity: "bytes of the busiest server, sent and received",
        unit: "bytes a second",
        ..subject
    };
    measured.slope(subject.through(points(&found, |steady| steady.server_worst.bytes)));
}

fn not_members(effort: Effort, seed: u64, measured: &mut Measured, tell: &mut dyn FnMut(&str)) {
    let sizes = sizes(effort, &[120.0, 240.0, 480.0, 950.0, 1_425.0, SIDECARS]);
    let plan = |size: f64| Plan { members: false, ..Plan::of(size as usize, effort) };
    let found = runs(&sizes, seed, plan, tell);
    let subject = Subject {
        id: "control.bytes_no_members.by_sidecars",
        quantity: "bytes of the worst sidecar where sidecars are no members",
        run: "simulated fleet, seven consensus servers, sidecars that know only these and tell evidence, \
              20 s after 20 s to settle",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.sidecar_worst.bytes)));
}

fn by_zones(effort: Effort, seed: u64, measured: &mut Measured, tell: &mut dyn FnMut(&str)) {
    let plan = |size: f64| Plan { zones: size as usize, ..Plan::of(fixed(effort), effort) };
    let found = runs(&[2.0, 3.0, 5.0, 7.0, 10.0], seed, plan, tell);
    let subject = Subject {
        id: "control.bytes.by_zones",
        grows_with: Dimension::Zones,
        run: "simulated fleet of 240 sidecars, all members, seven consensus servers, 20 s after 20 s to settle",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.sidecar_worst.bytes)));
}

fn by_servers(effort: Effort, seed: u64, measured: &mut Measured, tell: &mut dyn FnMut(&str)) {
    let plan = |size: f64| Plan { servers: size as usize, ..Plan::of(fixed(effort), effort) };
    let found = runs(&[1.0, 3.0, 5.0, 7.0, 9.0], seed, plan, tell);
    let subject = Subject {
        id: "control.bytes.by_servers",
        grows_with: Dimension::ConsensusServers,
        run: "simulated fleet of 240 sidecars, all members, seven zones, 20 s after 20 s to settle",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.sidecar_worst.bytes)));
}

fn by_changes(effort: Effort, seed: u64, measured: &mut Measured, tell: &mut dyn FnMut(&str)) {
    let per_day = [0.0, 0.25, 0.5, 1.0, 2.0].map(|per_second| per_second * DAY_SECONDS);
    let every = |per_day: f64| (per_day > 0.0).then(|| DAY_SECONDS / per_day);
    let plan = |size: f64| Plan { change_every: every(size), ..Plan::of(fixed(effort), effort) };
    let found = runs(&per_day, seed, plan, tell);
    let subject = Subject {
        id: "control.bytes.by_changes",
        grows_with: Dimension::ChangesPerDay,
        run: "simulated fleet of 240 sidecars, all members, records of 40 bytes, 20 s after 20 s to settle",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.sidecar_worst.bytes)));
    let subject = Subject {
        id: "server.bytes.by_changes",
        role: Role::ConsensusServer,
        quantity: "bytes of the busiest server, sent and received",
        ..subject
    };
    measured.slope(subject.through(points(&found, |steady| steady.server_worst.bytes)));
}

fn by_restarts(effort: Effort, seed: u64, measured: &mut Measured, tell: &mut dyn FnMut(&str)) {
    let per_day = [0.0, 0.1, 0.2, 1.0 / 3.0, 0.5].map(|per_second| per_second * DAY_SECONDS);
    let every = |per_day: f64| (per_day > 0.0).then(|| DAY_SECONDS / per_day);
    let plan = |size: f64| Plan { restart_every: every(size), ..Plan::of(fixed(effort), effort) };
    let found = runs(&per_day, seed, plan, tell);
    let subject = Subject {
        id: "control.bytes_mean.by_restarts",
        quantity: "bytes of a sidecar in the mean, sent and received",
        grows_with: Dimension::RestartsPerDay,
        run: "simulated fleet of 240 sidecars, all members, each restart at once, 20 s after 20 s to settle",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(points(&found, |steady| steady.sidecar_mean.bytes)));
}

fn by_failing(effort: Effort, seed: u64, measured: &mut Measured, tell: &mut dyn FnMut(&str)) {
    let (mut lost_points, mut back_points) = (Vec::new(), Vec::new());
    for percent in [1.6, 4.0, 8.0, 11.0, 14.3] {
        let plan = Plan::of(fixed(effort), effort);
        let mut looked = Looked::settled(&plan, seed);
        let count = (plan.sidecars as f64 * percent / 100.0).round().max(1.0) as usize;
        let (lost, back) = looked.lost_and_back(count, plan.zones);
        tell(&format!("{percent}% of {}: {lost:?} {back:?}", plan.sidecars));
        lost_points.push(Point { size: percent, value: lost.mean });
        back_points.push(Point { size: percent, value: back.mean });
    }
    let subject = Subject {
        id: "control.bytes_lost.by_failing",
        quantity: "bytes of the worst sidecar in the 15 s after the loss",
        grows_with: Dimension::PercentFailing,
        run: "simulated fleet of 240 sidecars, all members, so many of one zone killed at once",
        ..SIDECAR_BYTES
    };
    measured.slope(subject.through(lost_points));
    let subject = Subject {
        id: "control.bytes_back.by_failing",
        quantity: "bytes of the worst sidecar in the 15 s after the return",
        ..subject
    };
    measured.slope(subject.through(back_points));
}

/// A fleet from its start on.
#[derive(Clone, Debug)]
struct Started {
    size: f64,
    start: Event,
    steady: Steady,
    /// Losses and returns, of the largest fleet alone: the name, the loss and the return.
    lost_and_back: Vec<(&'static str, Event, Event)>,
}

fn started(effort: Effort, (size, with_events): (f64, bool), seed: u64) -> Started {
    let plan = Plan::of(size as usize, effort);
    let mut looked = Looked::new(&plan, seed);
    let start = looked.followed();
    looked.fleet.run_to(plan.times.settles);
    let steady = looked.steady(&plan);
    eprintln!("{} sidecars: start {start:?}, {steady:?}", plan.sidecars);
    let rack = if effort == Effort::Whole { RACK as usize } else { 2 };
    let events = [("rack", rack), ("zone", plan.sidecars / plan.zones)];
    let play = |(name, count): (&'static str, usize)| {
        let (lost, back) = looked.lost_and_back(count, plan.zones);
        eprintln!("{name} of {count}: lost {lost:?}, back {back:?}");
        (name, lost, back)
    };
    let lost_and_back = events.into_iter().filter(|_| with_events).map(play).collect();
    Started { size, start, steady, lost_and_back }
}

/// The events of the letter at the largest size: the start of all, and the loss and the return of a rack and of a zone.
fn events(largest: &Started, measured: &mut Measured) {
    let run = format!(
        "simulated fleet of {} sidecars, all members, seven consensus servers, followed for 15 s; a rack is 30 of \
         one zone, a zone a seventh",
        largest.size
    );
    let mut event = |name: &str, words: &str, event: Event| {
        let (control, server) = (Role::SidecarControl, Role::ConsensusServer);
        let quantity = format!("worst sidecar over 15 s, {words}");
        let id = format!("control.{name}.mean");
        measured.figure(&id, control, (&quantity, "bytes a second"), &run, event.mean);
        let quantity = format!("worst second of any sidecar, {words}");
        measured.figure(
            &format!("control.{name}.second"),
            control,
            (&quantity, "bytes"),
            &run,
            event.second,
        );
        let quantity = format!("busiest server in its worst second, {words}");
        let id = format!("server.{name}.second");
        measured.figure(&id, server, (&quantity, "messages"), &run, event.server_second);
    };
    event("start", "start of all at once", largest.start);
    for (name, lost, back) in &largest.lost_and_back {
        event(&format!("{name}_lost"), &format!("a {name} is lost"), *lost);
        event(&format!("{name}_back"), &format!("a {name} is back"), *back);
    }
}
