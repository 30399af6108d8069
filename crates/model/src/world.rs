//! The run: takes what is to come in its order, and lets it happen.

mod callers;
mod control_plane;
mod endpoints;
mod processes;
mod sidecars;

use crate::clients::{Allowance, Arrivals, Call, draw, stream};
use crate::decider::Decider;
use crate::process::{Flight, Open, Process};
use crate::queue::Queue;
use crate::retry::End;
use crate::scenario::{Carry, CutDirection, FaultSpec, Scenario, Trouble};
use crate::slow_start::SlowStart;
use crate::tally::{Outcome as Brought, Tally};
use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, CellId, ClassId, EarlierAttempt, EndpointId, EndpointInfo, Event,
    Membership, Outcome, Request, RequestId, Snapshot, TenantId, TimerToken, ZoneAdmissions, ZoneId,
};
use curlewhub_config::RepeatPolicy;
use curlewhub_keys::{Entry, KeyTable};
use curlewhub_overlap_quota::SAMPLE_INTERVAL;
use curlewhub_standins::machine::{Happened, Machine, Offered};
use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The modules' clock at the start: theirs is Unix time, and things lie before the start.
const EPOCH: Duration = Duration::from_secs(1_000_000);
/// Kept back from a client's time, as the sidecar does.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// The list says so long after that an endpoint has started again.
const LIST_LAG: Duration = Duration::from_millis(100);
/// A connection that is not up after this long has failed.
const CONNECT_WITHIN: Duration = Duration::from_millis(120);
/// A process that was told to end is killed after this: the longest deadline and a little.
const END_WITHIN: Duration = Duration::from_millis(3700);

enum Ev {
    Arrives(u64),
    Asks(u64),
    GivesUp { call: u64, tries: u32 },
    Timer { process: usize, token: u64 },
    Comes(u64),
    Look { endpoint: usize, look: u64 },
    Answers(u64, Outcome),
    TimesOut(u64),
    Cancelled(u64),
    FaultBegins(usize),
    FaultEnds(usize),
    Listed(usize),
    Successor { replacement: usize, sidecar: usize },
    Ready { replacement: usize, new: usize, old: usize },
    Ends(usize),
    Killed(usize),
    Shares { old: usize, new: usize },
    SecondEnds(usize),
    Fleet(u64),
    Probed { sidecar: usize, zone: usize, answered: bool },
}

struct Endpoint {
    machine: Machine,
    zone: u32,
    up: bool,
    hangs: bool,
    started: Option<Duration>,
    /// What it gets while it is cold.
    slow_start: Option<SlowStart>,
    /// Attempts that are there.
    here: BTreeSet<u64>,
    /// The number of the look that is planned; others are void.
    look: u64,
}

impl Endpoint {
    /// Its true queue, for an oracle; none where it is down or hangs.
    fn queue(&self) -> Option<usize> {
        (self.up && !self.hangs).then(|| self.machine.held())
    }
}

pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    now: Duration,
    queue: Queue<Ev>,
    arrivals: Arrivals,
    /// By tenant.
    allowances: Vec<Allowance>,
    network: Pcg32,
    endpoints: Vec<Endpoint>,
    processes: Vec<Process>,
    /// By sidecar, its living processes, the oldest first.
    sidecars: Vec<Vec<usize>>,
    /// By sidecar, where keyed jobs may have run.
    keys: Vec<KeyTable>,
    calls: HashMap<u64, Call>,
    flights: HashMap<u64, Flight>,
    next_flight: u64,
    /// By zone, how many cuts lose what goes in, and what goes out.
    cuts: Vec<(u32, u32)>,
    /// The consensus servers and the sidecars' agents, if the scenario has them.
    control_plane: Option<control_plane::ControlPlane>,
    /// What each sidecar may send into zones, by what its fleet last said.
    rights: Vec<ZoneAdmissions>,
    tally: Tally,
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut world = World {
            scenario,
            seed,
            now: EPOCH,
            queue: Queue::new(),
            arrivals: Arrivals::new(scenario, seed),
            allowances: scenario.tenants.iter().map(|tenant| Allowance::new(tenant.allowance)).collect(),
            network: stream(seed, "network", 0),
            endpoints: Vec::new(),
            processes: Vec::new(),
            sidecars: Vec::new(),
            keys: (0..scenario.sidecars).map(|_| KeyTable::default()).collect(),
            calls: HashMap::new(),
            flights: HashMap::new(),
            next_flight: 0,
            cuts: vec![(0, 0); scenario.zones.len()],
            control_plane: control_plane::fleet(scenario, seed),
            rights: vec![ZoneAdmissions::default(); scenario.sidecars as usize],
            tally: Tally::new(scenario),
        };
        world.furnish();
        world.plan_look();
        world
    }

    /// Endpoints, sidecars, and what is planned from the start.
    fn furnish(&mut self) {
        let scenario = self.scenario;
        for kind in &scenario.endpoints {
            for _ in 0..kind.count {
                let turn = self.endpoints.len() % scenario.zones.len();
                let named =
                    kind.zone.as_ref().and_then(|zone| scenario.zones.iter().position(|h| h == zone));
                self.endpoints.push(Endpoint {
                    machine: Machine::new(kind.machine.clone(), EPOCH),
                    zone: named.unwrap_or(turn) as u32,
                    up: true,
                    hangs: false,
                    started: None,
                    slow_start: None,
                    here: BTreeSet::new(),
                    look: 0,
                });
            }
        }
        for sidecar in 0..scenario.sidecars as usize {
            let process = self.start_process(sidecar, 0);
            self.processes[process].accepts = true;
            self.sidecars.push(vec![process]);
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            self.queue.plan(EPOCH + fault.at.0, Ev::FaultBegins(n));
            self.queue.plan(EPOCH + fault.at.0 + fault.lasts.0, Ev::FaultEnds(n));
        }
        for (replacement, spec) in scenario.replacements.iter().enumerate() {
            let count = spec.sidecars.unwrap_or(scenario.sidecars).min(scenario.sidecars);
            for sidecar in 0..count as usize {
                let at = EPOCH + spec.at.0 + spec.apart.0 * sidecar as u32;
                self.queue.plan(at, Ev::Successor { replacement, sidecar });
            }
        }
        for second in 0..scenario.lasts.0.as_secs() as usize {
            self.queue.plan(EPOCH + Duration::from_secs(second as u64 + 1), Ev::SecondEnds(second));
        }
        self.plan_arrival(0);
    }

    /// A process with the list as it is, and nothing learnt. `generation` counts a sidecar's processes.
    fn start_process(&mut self, sidecar: usize, generation: u64) -> usize {
        let number = self.processes.len();
        let settings = self.scenario.settings(sidecar as u32);
        let zone = settings.zone.0;
        let name = (sidecar as u64) << 16 | generation;
        let decider = Decider::new(self.scenario.decisions, settings, self.seed, name, self.now);
        self.processes.push(Process::new(decider, sidecar, zone));
        let list = (0..self.endpoints.len()).map(|endpoint| self.entry(endpoint)).collect();
        self.module(number, Event::Membership(Membership::Full(list)));
        // A successor's view is that of its forerunner's disk.
        if !self.rights[sidecar].is_empty() {
            self.module(number, Event::Zones(self.rights[sidecar].clone()));
        }
        number
    }

    fn entry(&self, endpoint: usize) -> EndpointInfo {
        let Endpoint { zone, started, .. } = &self.endpoints[endpoint];
        EndpointInfo { zone: ZoneId(*zone), started: *started, ..EndpointInfo::ready(endpoint as u64) }
    }

    pub(crate) fn run(mut self) -> Brought {
        let end = EPOCH + self.scenario.lasts.0 + self.scenario.drain.0;
        while let Some((at, event)) = self.queue.next() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        // An overload that never drains ends all the same.
        let mut open: Vec<u64> =
            self.calls.iter().filter(|(_, c)| c.tries > 0).map(|(id, _)| *id).collect();
        open.sort_unstable();
        for call in open {
            self.close(call, End::Unanswered);
        }
        let moves = self.control_plane.map_or(Vec::new(), |control_plane| control_plane.fleet.transitions);
        self.tally.outcome(self.queue.planned(), moves)
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Arrives(number) => self.arrives(number),
            Ev::Asks(call) => self.ask(call),
            Ev::GivesUp { call, tries } => self.gives_up(call, tries),
            Ev::Timer { process, token } => {
                if self.processes[process].alive {
                    self.module(process, Event::Timer(TimerToken(token)));
                }
            }
            Ev::Comes(flight) => self.comes(flight),
            Ev::Look { endpoint, look } => {
                if self.endpoints[endpoint].look == look {
                    self.look(endpoint);
                }
            }
            Ev::Answers(flight, outcome) => self.attempt_ended(flight, outcome),
            Ev::TimesOut(flight) => self.attempt_ended(flight, Outcome::TimedOut),
            Ev::Cancelled(flight) => self.cancelled(flight),
            Ev::FaultBegins(n) => self.fault(n, true),
            Ev::FaultEnds(n) => self.fault(n, false),
            Ev::Listed(endpoint) => {
                if let Some(slow_start) = &mut self.endpoints[endpoint].slow_start {
                    slow_start.told(self.now);
                }
                let entry = self.entry(endpoint);
                for process in 0..self.processes.len() {
                    if self.processes[process].alive {
                        self.module(process, Event::Membership(Membership::Delta(vec![entry.clone()])));
                    }
                }
            }
            Ev::Successor { replacement, sidecar } => self.successor(replacement, sidecar),
            Ev::Ready { replacement, new, old } => self.ready(replacement, new, old),
            Ev::Ends(process) => self.ends(process),
            Ev::Killed(process) => self.kill(process),
            Ev::Shares { old, new } => self.share(old, new),
            Ev::SecondEnds(second) => self.gauge(second),
            Ev::Fleet(look) => self.look_at_fleet(look),
            Ev::Probed { sidecar, zone, answered } => self.probed(sidecar, zone, answered),
        }
    }

    fn gauge(&mut self, second: usize) {
        let held: usize = self.endpoints.iter().map(|endpoint| endpoint.machine.held()).sum();
        let choked = self.endpoints.iter().filter(|endpoint| endpoint.machine.is_choked()).count();
        let cores: u32 = self.cores();
        self.tally.gauge(second, held as f64 / f64::from(cores.max(1)), choked as u32);
    }

    fn cores(&self) -> u32 {
        self.scenario.endpoints.iter().map(|kind| kind.count * kind.machine.cores).sum()
    }
}
