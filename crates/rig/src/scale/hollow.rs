//! A hollow process: the control planes of many sidecars in one operating-system process, without a data path.
//!
//! Each control plane is the program's own code: the follower of `curlewhub-control-plane-node` with its membership, its view on
//! disk and its evidence, and the discovery client of `curlewhub-runtime`. What a data path would tell is drawn from a seed.

use crate::history::unix_us;
use crate::scale::protocol::{
    HollowCommand, HollowSpec, PlaneCounts, PlaneDid, PlaneEvent, PlaneSpec, commands,
};
use curlewhub_balance::{Discovery as ListMode, Membership, Rules};
use curlewhub_config::Names;
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::evidence::{CallOutcome, CallRecorder};
use curlewhub_control_plane::record::Hash;
use curlewhub_control_plane_node::{
    SubscriberOptions, SubscriberStatus, Traffic, ViewHandler, run_subscriber,
};
use curlewhub_runtime::discovery::Discovery;
use curlewhub_runtime::events::Input;
use curlewhub_runtime::listing::Listing;
use curlewhub_zone_failover::zone_policy::ZoneAccess;
use curlewhub_zone_failover::zone_states::tier_zone;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{Receiver, unbounded_channel};
use tokio::task::{AbortHandle, JoinSet, LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Results of calls are drawn this often, many at once: a timer for each call would cost more than all else.
const DRAW_EVERY: Duration = Duration::from_millis(100);
/// What all have counted is written down this often, for the case that the process is killed.
const COUNTS_EVERY: Duration = Duration::from_secs(5);
/// What has happened is on its way to its reader no later than this.
const FLUSH_EVERY: Duration = Duration::from_millis(250);
/// Files are written by so many threads at the most; a sidecar's own process has more than it ever needs.
const FILE_THREADS: usize = 16;
/// How long a drawn call takes: from the first to the second.
const CALL_TAKES: (f64, f64) = (0.004, 0.016);
/// A call that nobody answers is given up after this.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Reads a spec and hosts what it names until it is told to end.
///
/// # Errors
/// A file that can't be read, or written.
pub fn host(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let spec: HollowSpec = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(FILE_THREADS)
        .build()
        .map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, Host::new(spec)?.run(commands()))
}

/// Where events are written.
struct Journal(RefCell<BufWriter<File>>);

impl Journal {
    fn create(path: &Path) -> Result<Journal, String> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Journal(RefCell::new(BufWriter::new(file))))
    }

    fn add(&self, plane: &str, start: u32, what: PlaneDid) {
        let event = PlaneEvent { at_us: unix_us() as u64, plane: plane.to_owned(), start, what };
        let mut line = serde_json::to_vec(&event).unwrap_or_default(); // plain data: it never fails
        line.push(b'\n');
        let _ = self.0.borrow_mut().write_all(&line); // a full disk shows as counts that are missing
    }

    fn flush(&self) {
        let _ = self.0.borrow_mut().flush();
    }
}

/// Which calls are lost now.
#[derive(Default)]
struct Losses {
    gone: RefCell<HashSet<String>>,
    silent: RefCell<HashSet<String>>,
}

/// What all control planes of a process share.
struct Shared {
    journal: Journal,
    losses: Losses,
    zones: Vec<String>,
    seed: u64,
    calls_per_s: f64,
}

/// Where a control plane's calls may go, and what became of them: what its data path would hold.
struct Calls {
    witness: Rc<RefCell<CallRecorder>>,
    /// When the clock of that, and of the rights, began.
    began: Instant,
    /// What may go into each place, by number of its zone.
    rights: RefCell<Vec<ZoneAccess>>,
}

/// What one control plane counts while it runs.
struct Counted {
    began: Instant,
    name: String,
    start: u32,
    ready: Cell<bool>,
    counts: RefCell<PlaneCounts>,
}

impl Counted {
    fn snapshot(&self) -> PlaneCounts {
        let lived_ms = self.began.elapsed().as_millis() as u64;
        PlaneCounts { lived_ms, ..self.counts.borrow().clone() }
    }
}

/// A control plane that runs.
struct Running {
    counted: Rc<Counted>,
    task: AbortHandle,
}

struct Host {
    shared: Rc<Shared>,
    planes: Vec<Rc<PlaneSpec>>,
    /// Starts of each so far.
    starts: RefCell<Vec<u32>>,
    running: RefCell<HashMap<usize, Running>>,
}

impl Host {
    fn new(spec: HollowSpec) -> Result<Rc<Host>, String> {
        let HollowSpec { seed, calls_per_s, events, zones, planes } = spec;
        let journal = Journal::create(&events)?;
        let shared = Rc::new(Shared { journal, losses: Losses::default(), zones, seed, calls_per_s });
        let starts = RefCell::new(vec![0; planes.len()]);
        let planes = planes.into_iter().map(Rc::new).collect();
        Ok(Rc::new(Host { shared, planes, starts, running: RefCell::default() }))
    }

    /// Carries commands out until it is told to end, or nobody is there to tell it.
    async fn run(self: Rc<Host>, mut lines: Receiver<String>) -> Result<(), String> {
        let mut flush = interval(FLUSH_EVERY);
        let mut counts = interval(COUNTS_EVERY);
        flush.set_missed_tick_behavior(MissedTickBehavior::Delay);
        counts.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut starting = JoinSet::new();
        loop {
            tokio::select! {
                line = lines.recv() => {
                    let Some(line) = line else { break };
                    match serde_json::from_str(&line).map_err(|e| format!("command: {e}"))? {
                        HollowCommand::Start { planes, within_ms } => {
                            starting.spawn_local(self.clone().start_all(planes, within_ms));
                        }
                        HollowCommand::Crash { planes } => planes.iter().for_each(|n| self.crash(*n)),
                        HollowCommand::LoseCalls { gone, silent } => self.lose_calls(gone, silent),
                        HollowCommand::End => break,
                    }
                }
                Some(_) = starting.join_next() => {}
                _ = flush.tick() => self.shared.journal.flush(),
                _ = counts.tick() => self.write_counts(),
            }
        }
        self.write_counts();
        self.shared.journal.flush();
        Ok(())
    }

    fn lose_calls(&self, gone: Vec<String>, silent: Vec<String>) {
        *self.shared.losses.gone.borrow_mut() = gone.into_iter().collect();
        *self.shared.losses.silent.borrow_mut() = silent.into_iter().collect();
    }

    async fn start_all(self: Rc<Host>, planes: Vec<usize>, within_ms: u64) {
        let pause = Duration::from_millis(within_ms) / planes.len().max(1) as u32;
        for plane in planes {
            self.start(plane);
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
    }

    fn start(&self, n: usize) {
        let Some(plane) = self.planes.get(n).cloned() else { return };
        self.crash(n);
        let start = {
            let mut starts = self.starts.borrow_mut();
            starts[n] += 1;
            starts[n]
        };
        let name = plane.fleet.name.clone();
        let counted = Rc::new(Counted {
            began: Instant::now(),
            name,
            start,
            ready: Cell::new(false),
            counts: RefCell::default(),
        });
        self.shared.journal.add(&counted.name, start, PlaneDid::Started);
        let seed =
            self.shared.seed.wrapping_mul(1_000_003).wrapping_add((n as u64) << 20 | u64::from(start));
        let run = run_plane(plane, self.shared.clone(), counted.clone(), seed);
        let task = spawn_local(run).abort_handle();
        self.running.borrow_mut().insert(n, Running { counted, task });
    }

    /// Ends a control plane as a kill would: its sockets close, and nobody is told.
    fn crash(&self, n: usize) {
        let Some(Running { counted, task }) = self.running.borrow_mut().remove(&n) else { return };
        task.abort();
        let counts = PlaneDid::Counts(Box::new(counted.snapshot()));
        self.shared.journal.add(&counted.name, counted.start, counts);
        self.shared.journal.add(&counted.name, counted.start, PlaneDid::Stopped);
    }

    fn write_counts(&self) {
        for Running { counted, .. } in self.running.borrow().values() {
            let counts = PlaneDid::Counts(Box::new(counted.snapshot()));
            self.shared.journal.add(&counted.name, counted.start, counts);
        }
    }
}

/// Runs a control plane with tasks of its own, which all end with it.
async fn run_plane(plane: Rc<PlaneSpec>, shared: Rc<Shared>, counted: Rc<Counted>, seed: u64) {
    let own = LocalSet::new();
    let ended = own.run_until(follow_and_watch(plane, shared.clone(), counted.clone(), seed)).await;
    if let Err(problem) = ended {
        shared.journal.add(&counted.name, counted.start, PlaneDid::Failed { problem });
    }
}

async fn follow_and_watch(
    plane: Rc<PlaneSpec>,
    shared: Rc<Shared>,
    counted: Rc<Counted>,
    seed: u64,
) -> Result<(), String> {
    spawn_local(watch_list(plane.clone(), shared.clone(), counted.clone(), seed));
    let places: Vec<String> = shared.zones.iter().map(|zone| tier_zone(zone, plane.tier)).collect();
    let calls = Rc::new(Calls {
        witness: Rc::new(RefCell::new(CallRecorder::new(&plane.fleet.zone, places.clone()))),
        began: Instant::now(),
        rights: RefCell::new(vec![ZoneAccess::Open; places.len()]),
    });
    spawn_local(draw_calls(calls.clone(), shared.clone(), counted.clone(), seed));
    let witness = Some((calls.witness.clone(), calls.began));
    let manner = SubscriberOptions { share_address: false, recorder: witness, zones: places.clone() };
    let mut holds = Holds { shared, counted, calls, places };
    run_subscriber(&plane.fleet, manner, &mut holds, std::future::pending()).await
}

/// Follows the list of the service that is called, and counts what comes.
async fn watch_list(plane: Rc<PlaneSpec>, shared: Rc<Shared>, counted: Rc<Counted>, seed: u64) {
    let names =
        Names { classes: Vec::new(), tenants: Vec::new(), zones: shared.zones.clone(), kinds: Vec::new() };
    let (inbox, mut inputs) = unbounded_channel();
    let listing = Listing::new(names);
    let discovery =
        Discovery::new(plane.discovery, ListMode::Push, &Rules::default(), listing, seed, inbox);
    // Nobody asks: where lists are pushed a watch is always up. The sender is held, since its end would end the client.
    let (_asks, asked) = unbounded_channel();
    spawn_local(discovery.run(asked));
    while let Some(input) = inputs.recv().await {
        let Input::ListUpdate(update) = input else { continue };
        let mut counts = counted.counts.borrow_mut();
        match update.membership {
            Membership::Failed | Membership::Refused => counts.list_failures += 1,
            Membership::Full(entries) | Membership::Delta(entries) | Membership::Cached(entries) => {
                counts.lists += 1;
                counts.list_entries += entries.len() as u64;
            }
        }
    }
}

/// Draws what became of calls, as many as a sidecar makes.
async fn draw_calls(calls: Rc<Calls>, shared: Rc<Shared>, counted: Rc<Counted>, seed: u64) {
    let mut draws = Pcg32::seed_from_u64(seed);
    let mut turns = interval(DRAW_EVERY);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = calls.began;
    loop {
        turns.tick().await;
        let mean = shared.calls_per_s * last.elapsed().as_secs_f64();
        last = Instant::now();
        for _ in 0..poisson(mean, &mut draws) {
            draw_call(&calls, &shared, &counted, &mut draws);
        }
    }
}

fn draw_call(calls: &Calls, shared: &Shared, counted: &Counted, draws: &mut Pcg32) {
    let call = {
        let mut counts = counted.counts.borrow_mut();
        counts.calls += 1;
        (counts.calls, 0)
    };
    // A call that may go nowhere is answered by the sidecar itself, and tells nothing of any place.
    let Some(zone) = calls.draw_zone(shared.calls_per_s, draws) else { return };
    let took = Duration::from_secs_f64(draws.random_range(CALL_TAKES.0..CALL_TAKES.1));
    let (how, took) = match shared.losses.of(&shared.zones[zone]) {
        Some(CallOutcome::TimedOut) => (CallOutcome::TimedOut, SILENT_AFTER),
        Some(lost) => (lost, took),
        None => (CallOutcome::Served, took),
    };
    let mut witness = calls.witness.borrow_mut();
    witness.call_started(calls.began.elapsed(), call, zone, 0);
    witness.call_finished(call, how, took);
}

impl Losses {
    /// How a call into this zone is lost, if it is.
    fn of(&self, zone: &str) -> Option<CallOutcome> {
        if self.silent.borrow().contains(zone) {
            Some(CallOutcome::TimedOut)
        } else {
            self.gone.borrow().contains(zone).then_some(CallOutcome::Unreachable)
        }
    }
}

impl Calls {
    /// A zone for a call: evenly, but only as far as each may be sent to.
    fn draw_zone(&self, calls_per_s: f64, draws: &mut Pcg32) -> Option<usize> {
        let rights = self.rights.borrow();
        let even = calls_per_s / rights.len().max(1) as f64;
        let now = self.began.elapsed();
        for _ in 0..rights.len() {
            let zone = draws.random_range(0..rights.len());
            if draws.random::<f64>() < part(rights[zone], even, now) {
                return Some(zone);
            }
        }
        None
    }
}

/// The part of what would go into a place that may, where so many calls a second would.
fn part(right: ZoneAccess, even: f64, now: Duration) -> f64 {
    match right {
        ZoneAccess::Open => 1.0,
        ZoneAccess::Share(part) => part,
        ZoneAccess::Rate(per_s, until) if now < until => (per_s / even).min(1.0),
        ZoneAccess::Rate(..) | ZoneAccess::Closed | ZoneAccess::Unreachable => 0.0,
    }
}

/// How many calls come where so many are expected.
fn poisson(mean: f64, draws: &mut Pcg32) -> usize {
    // By the times between them, each drawn; a pause of the process makes no more of them than a second's.
    let (mean, mut sum, mut count) = (mean.min(10_000.0), 0.0, 0);
    loop {
        sum -= (1.0 - draws.random::<f64>()).ln();
        if sum > mean {
            return count;
        }
        count += 1;
    }
}

/// What a hollow sidecar does with its view: it notes it, and its drawn calls go by it.
struct Holds {
    shared: Rc<Shared>,
    counted: Rc<Counted>,
    calls: Rc<Calls>,
    /// The places that it calls into, by number of their zones.
    places: Vec<String>,
}

impl Holds {
    fn zone(&self, place: &str) -> Option<usize> {
        self.places.iter().position(|known| known == place)
    }
}

impl ViewHandler for Holds {
    fn view_applied(&mut self, acted: &AppliedRecords, hash: Hash) {
        let version = acted.version().0;
        self.counted.counts.borrow_mut().version = version;
        let what = PlaneDid::Acts { version, hash: format!("{hash:?}") };
        self.shared.journal.add(&self.counted.name, self.counted.start, what);
    }

    // The rights' clock and that of the calls began at the same moment, but for what a start takes.
    fn zone_access_changed(&mut self, now: Duration, rights: &[(String, ZoneAccess)]) {
        let ahead = self.calls.began.elapsed().saturating_sub(now);
        let mut held = self.calls.rights.borrow_mut();
        for (place, right) in rights {
            let Some(zone) = self.zone(place) else { continue };
            held[zone] = match *right {
                ZoneAccess::Rate(per_s, until) => ZoneAccess::Rate(per_s, until + ahead),
                right => right,
            };
        }
    }

    fn probe_zone(&mut self, place: &str, count: u32) {
        let Some(zone) = self.zone(place) else { return };
        let answered = self.shared.losses.of(&self.shared.zones[zone]).is_none();
        let mut witness = self.calls.witness.borrow_mut();
        (0..count).for_each(|_| witness.probe_finished(zone, answered));
    }

    fn status_changed(&mut self, standing: SubscriberStatus) {
        let SubscriberStatus { age, counts: view, rejected_records: not_taken, members, .. } = standing;
        let ready = {
            let mut counts = self.counted.counts.borrow_mut();
            counts.age_ms = age.map(|age| age.as_millis() as u64);
            counts.members = members;
            counts.not_taken = not_taken;
            counts.unanswered = view.timeouts;
            counts.contradictions = view.conflicts;
            age.is_some() && members > 1 && counts.lists > 0
        };
        if ready && !self.counted.ready.replace(true) {
            self.shared.journal.add(&self.counted.name, self.counted.start, PlaneDid::Ready);
        }
    }

    fn traffic_counted(&mut self, traffic: &Traffic) {
        let mut counts = self.counted.counts.borrow_mut();
        counts.traffic = traffic.by_kind();
        counts.lost = traffic.losses();
    }
}
