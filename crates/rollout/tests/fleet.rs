//! Rollouts in a simulated fleet: reports that are lost or reordered, sidecars that restart, are partitioned or refuse
//! settings, servers that lag and elect new leaders, and operators who send commands in any order.

use curlewhub_control_plane::configuration::{Canary, ConfigNumber, ConfigReport, RolloutPlan, Settings};
use curlewhub_control_plane::protocol::PeerId;
use curlewhub_control_plane::record::{Record, Version};
use curlewhub_control_plane::view::View;
use curlewhub_rollout::canary::{Sidecar, includes};
use curlewhub_rollout::coordinator::{CallOutcomes, Coordinator, CoordinatorInput, Outcomes};
use curlewhub_rollout::record;
use curlewhub_rollout::reports::Counts;
use curlewhub_rollout::rollout::{Event, Phase, Rollout};
use curlewhub_rollout::subscriber::Subscriber;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const SERVERS: usize = 3;

struct Process {
    name: String,
    zone: &'static str,
    incarnation: u64,
    subscriber: Subscriber,
    /// The log level that its build refuses.
    refuses: Option<&'static str>,
    /// It neither receives nor sends anything until this time.
    partitioned_until: Duration,
}

impl Process {
    fn sidecar(&self) -> Sidecar<'_> {
        Sidecar { name: &self.name, zone: self.zone }
    }
}

struct Server {
    coordinator: Coordinator,
    /// How many entries of the log it has.
    log_length: usize,
}

/// A fleet on one clock.
struct Fleet {
    now: Duration,
    random: Pcg32,
    /// The decided rollouts, from version 1 on.
    log: Vec<(Version, Rollout)>,
    view: View,
    servers: Vec<Server>,
    leader: usize,
    processes: Vec<Process>,
    reports_in_flight: Vec<(Duration, usize, PeerId, ConfigReport)>,
    contents: BTreeMap<ConfigNumber, Settings>,
    /// Numbers that were ever rolled out to all sidecars.
    ever_for_all: BTreeSet<ConfigNumber>,
    /// Canaries by number.
    canaries: BTreeMap<ConfigNumber, Canary>,
    outcomes: Outcomes,
    faulty: bool,
}

fn level(level: &str) -> Settings {
    let everywhere = [("log.level".to_owned(), level.to_owned())].into();
    Settings { everywhere, ..Settings::default() }
}

fn plan() -> RolloutPlan {
    RolloutPlan { canary: Canary { zones: vec!["b".to_owned()], per_mille: 50 }, ..RolloutPlan::default() }
}

impl Fleet {
    fn new(seed: u64, size: usize, refuses: impl Fn(usize) -> Option<&'static str>) -> Fleet {
        let process = |n: usize| {
            let (name, zone) = (format!("s{n}"), ZONES[n % ZONES.len()]);
            let subscriber = Subscriber::new(&name, zone);
            Process {
                name,
                zone,
                incarnation: 1,
                subscriber,
                refuses: refuses(n),
                partitioned_until: Duration::ZERO,
            }
        };
        Fleet {
            now: Duration::from_secs(1000),
            random: Pcg32::seed_from_u64(seed),
            log: Vec::new(),
            view: View::default(),
            servers: (0..SERVERS)
                .map(|_| Server { coordinator: Coordinator::default(), log_length: 0 })
                .collect(),
            leader: 0,
            processes: (0..size).map(process).collect(),
            reports_in_flight: Vec::new(),
            contents: [(ConfigNumber(0), Settings::default())].into(),
            ever_for_all: [ConfigNumber(0)].into(),
            canaries: BTreeMap::new(),
            outcomes: Outcomes::default(),
            faulty: false,
        }
    }

    fn rollout(&self) -> Rollout {
        self.log.last().map_or(Rollout::default(), |(_, rollout)| rollout.clone())
    }

    /// Decides a proposal, if it expects the newest version.
    fn decide(&mut self, proposal: curlewhub_control_plane::record::Proposal) -> bool {
        let (_, version) = record::newest(&self.view).unwrap();
        if proposal.expected_version != Some(version) {
            return false;
        }
        let (next, before) = (self.view.version().next(), self.view.hash());
        let record = Record { version: next, term: 1, previous_hash: before, at_ms: 0, proposal };
        self.view.apply(record).unwrap();
        let (rollout, version) = record::newest(&self.view).unwrap();
        self.log.push((version, rollout.clone()));
        let pending = rollout.pending.as_ref().map(|pending| &pending.content);
        for content in [&rollout.base, &rollout.target].into_iter().chain(pending) {
            let known = self.contents.entry(content.number).or_insert_with(|| content.settings.clone());
            assert_eq!(*known, content.settings, "one number, two contents");
        }
        if rollout.phase.is_canary() {
            self.canaries.insert(rollout.target.number, rollout.plan.canary);
        } else {
            self.ever_for_all.insert(rollout.target.number);
        }
        true
    }

    fn operator(&mut self, event: Event) -> Result<(), String> {
        let (rollout, version) = record::newest(&self.view).unwrap();
        let next = rollout.step(event).map_err(|e| e.to_string())?;
        let id = self.random.random();
        assert!(self.decide(record::proposal(id, &next, version, "anna", "")));
        Ok(())
    }

    fn propose(&mut self, value: &str) {
        self.propose_to(plan().canary, value);
    }

    fn propose_to(&mut self, canary: Canary, value: &str) {
        let (base, settings) = (self.rollout().newest, level(value));
        let plan = RolloutPlan { canary, ..plan() };
        self.operator(Event::Propose { base, settings, plan }).unwrap();
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faulty {
            self.inject_faults();
        }
        for server in &mut self.servers {
            if !self.faulty || self.random.random_bool(0.5) {
                server.log_length = self.log.len();
            }
        }
        self.run_sidecars();
        self.deliver();
        self.run_coordinators();
        self.check();
    }

    fn inject_faults(&mut self) {
        if self.random.random_bool(0.02) {
            self.leader = self.random.random_range(0..SERVERS);
        }
        if self.random.random_bool(0.05) {
            let n = self.random.random_range(0..self.processes.len());
            let process = &mut self.processes[n];
            process.incarnation += 1;
            process.subscriber = Subscriber::new(&process.name, process.zone);
        }
        if self.random.random_bool(0.03) {
            // One sidecar, or a zone.
            let until = self.now + STEP * self.random.random_range(5..200);
            let zone = self.random.random_bool(0.3).then(|| ZONES.choose(&mut self.random)).flatten();
            let n = self.random.random_range(0..self.processes.len());
            for (k, process) in self.processes.iter_mut().enumerate() {
                if zone == Some(&process.zone) || zone.is_none() && k == n {
                    process.partitioned_until = until;
                }
            }
        }
    }

    fn run_sidecars(&mut self) {
        for process in self.processes.iter_mut().filter(|process| process.partitioned_until <= self.now) {
            // A sidecar that was partitioned, or is slow, sees only the newest rollout.
            if let Some((_, rollout)) =
                self.log.last().filter(|_| !self.faulty || self.random.random_bool(0.7))
            {
                let refuses = process.refuses;
                process.subscriber.decided(rollout, |_, values| {
                    let value = values.get("log.level").map(String::as_str);
                    if refuses.is_some() && refuses == value {
                        Err("unknown here".to_owned())
                    } else {
                        Ok(())
                    }
                });
            }
            let Some(report) = process.subscriber.report(self.now) else { continue };
            let sender = PeerId { name: process.name.clone(), incarnation: process.incarnation };
            for server in 0..SERVERS {
                if self.faulty && self.random.random_bool(0.2) {
                    continue;
                }
                let delay_steps = if self.faulty { self.random.random_range(0..30) } else { 0 };
                self.reports_in_flight.push((
                    self.now + STEP * delay_steps,
                    server,
                    sender.clone(),
                    report.clone(),
                ));
            }
        }
    }

    fn deliver(&mut self) {
        let (due, not_yet) =
            std::mem::take(&mut self.reports_in_flight).into_iter().partition(|(at, ..)| *at <= self.now);
        self.reports_in_flight = not_yet;
        for (_, server, sender, report) in due {
            let _ = self.servers[server].coordinator.reports.record(self.now, &sender, report);
        }
    }

    /// Evaluates the rollout on each server that takes itself for the leader; under faults these are two.
    fn run_coordinators(&mut self) {
        let former = if self.faulty { (self.leader + 1) % SERVERS } else { self.leader };
        for n in 0..SERVERS {
            let leads = n == self.leader || n == former;
            let log_length = self.servers[n].log_length;
            if !self.servers[n].coordinator.is_due(self.now, leads) || log_length == 0 {
                continue;
            }
            let (version, rollout) = self.log[log_length - 1].clone();
            let sidecars: Vec<Sidecar<'_>> = self.processes.iter().map(Process::sidecar).collect();
            let own = format!("k{n}");
            let input = CoordinatorInput {
                own: &own,
                rollout: &rollout,
                version,
                sidecars: &sidecars,
                outcomes: self.outcomes,
            };
            let proposal = self.servers[n].coordinator.next_proposal(self.now, &input);
            if let Some(proposal) = proposal {
                self.decide(proposal);
            }
        }
    }

    fn check(&self) {
        for process in &self.processes {
            let number = process.subscriber.in_force();
            assert!(self.contents.contains_key(&number), "{} was never decided", number);
            let canary = self.canaries.get(&number);
            let is_allowed = self.ever_for_all.contains(&number)
                || canary.is_some_and(|canary| includes(canary, number, process.sidecar()));
            assert!(is_allowed, "{} has {number} and is in no canary of it", process.name);
        }
    }

    fn run(&mut self, seconds: u32) {
        (0..seconds * 10).for_each(|_| self.step());
    }

    fn counts(&self) -> Counts {
        let sidecars = self.processes.iter().map(Process::sidecar);
        let reports = &self.servers[self.leader].coordinator.reports;
        reports.census(self.now, &self.rollout(), sidecars).stage
    }
}

#[test]
fn under_faults_only_decided_content_spreads_and_afterwards_all_sidecars_agree() {
    for seed in 0..40 {
        // One of the forty sidecars refuses one of the values; that does not hold up the others.
        let mut fleet = Fleet::new(seed, 40, |n| (n == 7).then_some("trace"));
        fleet.faulty = true;
        for _ in 0..900 {
            if fleet.random.random_bool(0.05) {
                let number = fleet.rollout().target.number;
                let value = *["error", "warn", "info", "debug", "trace"].choose(&mut fleet.random).unwrap();
                let settings = level(value);
                let event = match fleet.random.random_range(0..10) {
                    0..6 => Event::Propose { base: fleet.rollout().newest, settings, plan: plan() },
                    6 => Event::Propose { base: number, settings, plan: plan() },
                    7 => Event::Promote(number),
                    8 => Event::Halt(number, "by hand".to_owned()),
                    _ => Event::Rollback(number, "by hand".to_owned()),
                };
                let _ = fleet.operator(event);
            }
            fleet.step();
        }
        fleet.faulty = false;
        fleet.processes.iter_mut().for_each(|process| process.partitioned_until = Duration::ZERO);
        fleet.run(40);
        if let Phase::Halted { .. } = fleet.rollout().phase {
            let number = fleet.rollout().target.number;
            fleet.operator(Event::Promote(number)).unwrap();
            fleet.run(20);
        }
        let rollout = fleet.rollout();
        assert!(rollout.phase.is_settled(), "seed {seed}: {:?}", rollout.phase);
        let counts = fleet.counts();
        assert_eq!((counts.missing(), counts.total()), (0, 40), "seed {seed}: {counts:?}");
        assert!(counts.refused <= 1, "seed {seed}: {counts:?}");
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_15_s_also_during_another_rollout() {
    let mut fleet = Fleet::new(1, 200, |_| None);
    fleet.propose("debug");
    fleet.run(2);
    fleet.propose("warn");
    fleet.run(13);
    let rollout = fleet.rollout();
    assert_eq!((rollout.target.number, &rollout.phase), (ConfigNumber(2), &Phase::Complete));
    assert_eq!(fleet.counts().in_force, 200);
}

#[test]
fn changes_throughout_an_hour_coalesce_and_are_never_held_back() {
    let mut fleet = Fleet::new(2, 40, |_| None);
    let mut last = ConfigNumber(0);
    // 840 changes of a day, in an hour.
    for n in 0..840 {
        fleet.propose(["warn", "info"][n % 2]);
        (0..43).for_each(|_| fleet.step());
        let target = fleet.rollout().target.number;
        assert!(fleet.rollout().newest.0 - target.0 <= 3, "the pending change is never far ahead");
        last = last.max(target);
    }
    fleet.run(15);
    assert_eq!(fleet.rollout().newest, ConfigNumber(840), "none was refused and none rolled back");
    assert_eq!(fleet.counts().in_force, 40);
}

#[test]
fn a_change_that_half_of_the_builds_refuse_never_leaves_its_canary_and_is_rolled_back() {
    let mut fleet = Fleet::new(3, 80, |n| (n % 8 < 4).then_some("trace"));
    fleet.propose("warn");
    fleet.run(10);
    assert_eq!(fleet.rollout().phase, Phase::Complete);
    fleet.propose("trace");
    fleet.run(10);
    let rollout = fleet.rollout();
    let Phase::RolledBack { from, why } = &rollout.phase else { panic!("{:?}", rollout.phase) };
    assert!(*from == ConfigNumber(2) && why.contains("unknown here"), "{from}: {why}");
    assert!(!fleet.ever_for_all.contains(&ConfigNumber(2)));
    assert_eq!((&rollout.target.settings, fleet.counts().in_force), (&level("warn"), 80));
}

#[test]
fn a_canary_whose_calls_fail_is_rolled_back_and_one_that_failed_before_is_not() {
    let outcomes = |canary, others| Outcomes {
        canary: CallOutcomes { total: 1000, failed: canary },
        others: CallOutcomes { total: 1000, failed: others },
    };
    for (before, after, harmed) in
        [((10, 10), (100, 10), true), ((100, 10), (100, 10), false), ((10, 10), (90, 90), false)]
    {
        let mut fleet = Fleet::new(4, 40, |_| None);
        fleet.outcomes = outcomes(before.0, before.1);
        fleet.propose("debug");
        fleet.run(1);
        fleet.outcomes = outcomes(after.0, after.1);
        fleet.run(10);
        let back = matches!(fleet.rollout().phase, Phase::RolledBack { .. });
        assert_eq!(back, harmed, "{before:?} {after:?}: {:?}", fleet.rollout().phase);
    }
}

#[test]
fn an_unreachable_canary_is_halted_until_an_operator_promotes_it() {
    let mut fleet = Fleet::new(5, 40, |_| None);
    for process in fleet.processes.iter_mut().filter(|process| process.zone == "b") {
        process.partitioned_until = Duration::MAX;
    }
    fleet.propose("debug");
    fleet.run(10);
    let Phase::Halted { why } = fleet.rollout().phase else { panic!("{:?}", fleet.rollout().phase) };
    assert!(why.contains("have not taken it"), "{why}");
    fleet.operator(Event::Promote(ConfigNumber(1))).unwrap();
    fleet.run(2);
    assert_eq!((fleet.counts().in_force, fleet.counts().silent), (30, 10));
    // They are back after minutes, and apply the newest configuration.
    fleet.run(180);
    fleet.processes.iter_mut().for_each(|process| process.partitioned_until = Duration::ZERO);
    fleet.run(2);
    assert_eq!((fleet.counts().in_force, fleet.rollout().phase), (40, Phase::Complete));
}

#[test]
fn a_pending_change_does_not_wait_for_unreachable_sidecars() {
    let mut fleet = Fleet::new(6, 40, |_| None);
    for process in fleet.processes.iter_mut().filter(|process| process.zone == "c") {
        process.partitioned_until = Duration::MAX;
    }
    fleet.propose_to(Canary { zones: vec!["b".to_owned()], per_mille: 0 }, "debug");
    fleet.run(30);
    assert_eq!(
        (fleet.rollout().phase, fleet.counts().silent),
        (Phase::All, 10),
        "it does not count as complete"
    );
    fleet.propose_to(Canary { zones: vec!["b".to_owned()], per_mille: 0 }, "warn");
    fleet.run(10);
    assert_eq!((fleet.rollout().target.number, fleet.counts().in_force), (ConfigNumber(2), 30));
}
