//! How soon a fleet's sidecars have a change of the endpoint list, in simulated time: the discovery client as it is, in
//! front of a discovery that does everything in turn.
//!
//! Each call and each change on a watch takes one turn of one worker. A change ends the watches that it reaches, in place
//! of coming on them. A call that has waited for too long is refused, and takes its turn all the same.

use curlewhub_config::list::EndpointList;
use curlewhub_discovery_client::{Action, CallId, CallKind, Client, EndReason, LeaseSettings, Mode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};
use std::time::Duration;

/// All watches are up by then, however slow discovery is.
const SETTLED: Duration = Duration::from_secs(30);
/// A run ends so long behind the change.
const RUN_AFTER_CHANGE: Duration = Duration::from_secs(60);
/// A change counts as notified so long behind the end of the watch on which it should have come ...
const BEHIND_WATCH_END: Duration = Duration::from_secs(2);
/// ... behind a later configuration ...
const BEHIND_MOVE: Duration = Duration::from_secs(4);
/// ... and at the latest.
const AT_THE_LATEST: Duration = Duration::from_secs(6);
/// The grace of a drain.
const GRACE: Duration = Duration::from_millis(250);

/// New configurations before the change, each of which names another server of discovery's.
#[derive(Clone, Copy, Debug)]
pub struct Moves {
    /// So many for each sidecar ...
    pub rounds: u32,
    /// ... so long apart.
    pub apart: Duration,
    /// They begin at one sidecar after another, all within this.
    pub within: Duration,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Sidecars.
    pub sidecars: usize,
    /// What a call or a change on a watch takes discovery.
    pub turn: Duration,
    /// A call that has waited for longer is refused.
    pub wait_limit: Duration,
    /// A watch begins with the whole list; else with changes, and a whole list is asked for after a move.
    pub whole_first: bool,
    /// Configurations that come before the change.
    pub moves: Option<Moves>,
}

/// How soon the fleet had the change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notification {
    /// Part of the sidecars that had it before it counted as notified and the grace was over.
    pub in_time: f64,
    /// Part of the sidecars that used an older list after that.
    pub used_too_long: f64,
    /// Part of the sidecars on whose watch nothing of the change had come when it counted as notified and the grace was
    /// over, though the watch was up: they could not know that they wait for something.
    pub untold: f64,
    /// Seconds in which a sidecar began nothing for want of a newer list, in the mean.
    pub held_s: f64,
    /// Calls of a sidecar from the first configuration or the change on, in the mean.
    pub calls: f64,
    /// Calls refused, of a sidecar in the mean.
    pub refused: f64,
    /// When the last sidecar had it, in seconds behind the change.
    pub last_s: f64,
}

/// What discovery does in turn.
#[derive(Clone, Copy, Debug)]
enum Job {
    Answer { sidecar: usize, id: CallId, kind: CallKind },
    Notify { sidecar: usize },
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Timer(usize),
    TurnDone,
    Refuse(usize, CallId),
    Move(usize),
    Change,
}

/// A sidecar's client, and what is known of it from outside.
struct Sidecar {
    client: Client,
    watch: Option<CallId>,
    /// Calls that still wait for their turn.
    waiting: HashSet<CallId>,
    calls: u64,
    refused: u64,
    has_change: Option<Duration>,
    /// From when on the change counts as notified.
    notified: Duration,
    /// When its watch ended, or the change was made without one.
    told: Option<Duration>,
    /// Since when its lease has run out, while it has.
    lease: Option<Duration>,
    held: Duration,
}

struct Run {
    scene: Scene,
    sidecars: Vec<Sidecar>,
    queue: VecDeque<Job>,
    working: bool,
    version: u64,
    change_at: Duration,
    /// Calls count from then on.
    counted_from: Duration,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    order: u64,
}

/// Plays a change of the list.
pub fn notify(scene: Scene, seed: u64) -> Notification {
    let mut run = Run::new(scene, seed);
    let end = run.change_at + RUN_AFTER_CHANGE;
    while let Some(Reverse((now, _, step))) = run.steps.pop() {
        if now > end {
            break;
        }
        run.take(now, step);
    }
    run.result(end)
}

impl Run {
    fn new(scene: Scene, seed: u64) -> Self {
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        let moves_end =
            scene.moves.map_or(Duration::ZERO, |moves| moves.within + moves.apart * moves.rounds);
        let change_at = SETTLED + moves_end / 2;
        let rules = LeaseSettings { ask_within: Duration::from_secs(10), drain_grace: GRACE };
        let sidecar = |number: usize| Sidecar {
            client: Client::new(Mode::Ask, rules, seed.wrapping_mul(7919) ^ number as u64, Duration::ZERO),
            watch: None,
            waiting: HashSet::new(),
            calls: 0,
            refused: 0,
            has_change: None,
            notified: change_at + AT_THE_LATEST,
            told: None,
            lease: None,
            held: Duration::ZERO,
        };
        let mut run = Run {
            scene,
            sidecars: (0..scene.sidecars).map(sidecar).collect(),
            queue: VecDeque::new(),
            working: false,
            version: 1,
            change_at,
            counted_from: SETTLED,
            steps: BinaryHeap::new(),
            order: 0,
        };
        run.at(change_at, Step::Change);
        for number in 0..scene.sidecars {
            // All have been watching for long.
            run.sidecars[number].client.follow(Duration::ZERO);
            let call =
                run.sidecars[number].client.take_actions().into_iter().find_map(|action| match action {
                    Action::Call { id, .. } => Some(id),
                    _ => None,
                });
            run.sidecars[number].watch = call;
            let settled = SETTLED - Duration::from_secs_f64(2.0 * draws.random::<f64>());
            if let Some(id) = call {
                run.sidecars[number].client.watch_line(settled, id, Some(list(1, true)));
                run.sidecars[number].client.take_actions();
            }
            if let Some(moves) = scene.moves {
                let first = SETTLED + moves.within.mul_f64(number as f64 / scene.sidecars as f64);
                (0..moves.rounds).for_each(|round| run.at(first + moves.apart * round, Step::Move(number)));
            }
        }
        run
    }

    fn at(&mut self, at: Duration, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn take(&mut self, now: Duration, step: Step) {
        match step {
            Step::Timer(number) => {
                if self.sidecars[number].client.next_timer().is_some_and(|at| at <= now) {
                    self.sidecars[number].client.timer(now);
                }
                self.carry_out(now, number);
            }
            Step::Move(number) => {
                let sidecar = &mut self.sidecars[number];
                if now >= self.change_at {
                    sidecar.notified = sidecar.notified.min(now + BEHIND_MOVE);
                }
                sidecar.client.server_changed(now);
                self.carry_out(now, number);
            }
            Step::Change => {
                self.version += 1;
                let without_watch = self.sidecars.iter_mut().filter(|sidecar| sidecar.watch.is_none());
                without_watch.for_each(|sidecar| sidecar.told = Some(now));
                let watching = (0..self.sidecars.len()).filter(|n| self.sidecars[*n].watch.is_some());
                let jobs: Vec<Job> = watching.map(|sidecar| Job::Notify { sidecar }).collect();
                self.queue.extend(jobs);
                self.work(now);
            }
            Step::Refuse(number, id) => {
                if self.sidecars[number].waiting.remove(&id) {
                    self.sidecars[number].refused += 1;
                    self.sidecars[number].client.call_ended(now, id, EndReason::Refused);
                    self.carry_out(now, number);
                }
            }
            Step::TurnDone => self.turn_done(now),
        }
    }

    fn work(&mut self, now: Duration) {
        if !self.working && !self.queue.is_empty() {
            self.working = true;
            self.at(now + self.scene.turn, Step::TurnDone);
        }
    }

    fn turn_done(&mut self, now: Duration) {
        self.working = false;
        let number = match self.queue.pop_front() {
            Some(Job::Notify { sidecar }) => {
                let of = &mut self.sidecars[sidecar];
                if let Some(watch) = of.watch.take() {
                    of.told = Some(now);
                    of.notified = of.notified.min(now + BEHIND_WATCH_END);
                    of.client.call_ended(now, watch, EndReason::Failed);
                }
                Some(sidecar)
            }
            Some(Job::Answer { sidecar, id, kind }) if self.sidecars[sidecar].waiting.remove(&id) => {
                self.answer(now, sidecar, id, kind);
                Some(sidecar)
            }
            Some(Job::Answer { .. }) | None => None,
        };
        number.into_iter().for_each(|number| self.carry_out(now, number));
        self.work(now);
    }

    fn answer(&mut self, now: Duration, number: usize, id: CallId, kind: CallKind) {
        let (version, sidecar) = (self.version, &mut self.sidecars[number]);
        match kind {
            CallKind::WholeList => sidecar.client.whole_list(now, id, list(version, true)),
            CallKind::Watch { .. } => {
                sidecar.client.watch_line(now, id, Some(list(version, self.scene.whole_first)));
                sidecar.watch = Some(id);
            }
        }
        if version > 1 {
            sidecar.has_change.get_or_insert(now);
            sidecar.notified = sidecar.notified.min(now);
        }
    }

    fn carry_out(&mut self, now: Duration, number: usize) {
        for action in self.sidecars[number].client.take_actions() {
            match action {
                Action::Call { id, kind, .. } => {
                    let sidecar = &mut self.sidecars[number];
                    sidecar.waiting.insert(id);
                    sidecar.calls += u64::from(now >= self.counted_from);
                    self.queue.push_back(Job::Answer { sidecar: number, id, kind });
                    self.at(now + self.scene.wait_limit, Step::Refuse(number, id));
                    self.work(now);
                }
                Action::Cancel(id) => {
                    let sidecar = &mut self.sidecars[number];
                    // Its turn is still taken.
                    sidecar.waiting.remove(&id);
                    sidecar.watch = sidecar.watch.filter(|watch| *watch != id);
                }
                Action::Apply(_) | Action::Restrict(_) | Action::Unchanged | Action::Report(_) => {}
            }
        }
        self.sidecars[number].account(now);
        if let Some(at) = self.sidecars[number].client.next_timer() {
            self.at(at.max(now), Step::Timer(number));
        }
    }

    fn result(mut self, end: Duration) -> Notification {
        self.sidecars.iter_mut().for_each(|sidecar| sidecar.account(end));
        let all = self.sidecars.len().max(1) as f64;
        let mean = |figure: &dyn Fn(&Sidecar) -> f64| self.sidecars.iter().map(figure).sum::<f64>() / all;
        let has_by = |sidecar: &Sidecar, at: Duration| sidecar.has_change.is_some_and(|has| has <= at);
        let part = |holds: bool| f64::from(u8::from(holds));
        Notification {
            in_time: mean(&|sidecar| part(has_by(sidecar, sidecar.notified + GRACE))),
            used_too_long: mean(&|sidecar| part(sidecar.used_too_long(end))),
            untold: mean(&|sidecar| part(sidecar.untold())),
            held_s: mean(&|sidecar| sidecar.held.as_secs_f64()),
            calls: mean(&|sidecar| sidecar.calls as f64),
            refused: mean(&|sidecar| sidecar.refused as f64),
            last_s: self
                .sidecars
                .iter()
                .map(|sidecar| {
                    sidecar.has_change.unwrap_or(end).saturating_sub(self.change_at).as_secs_f64()
                })
                .fold(0.0, f64::max),
        }
    }
}

impl Sidecar {
    /// Adds up what its lease has held up to now.
    fn account(&mut self, now: Duration) {
        if let Some(expired) = self.lease.filter(|expired| *expired < now) {
            self.held += now - expired;
        }
        self.lease = self.client.lease().expires_at().map(|expires| expires.max(now));
    }

    /// Whether its watch was up, with nothing of the change, when that counted as notified and the grace was over.
    fn untold(&self) -> bool {
        self.told.is_none_or(|told| told > self.notified + GRACE)
    }

    /// Whether it could begin requests by the old list when the change counted as notified and the grace was over.
    fn used_too_long(&self, end: Duration) -> bool {
        let over = self.notified + GRACE;
        let unheard = self.has_change.unwrap_or(end).saturating_sub(over);
        self.held + GRACE < unheard
    }
}

fn list(rev: u64, all: bool) -> EndpointList {
    EndpointList { rev, is_complete: all, targets: Vec::new() }
}
