//! All balancers together send no more to a cold endpoint than its budget and what chance adds to it.

mod support;
use curlewhub_balance::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use support::*;

/// Mean time of a call. Endpoints are far from their limits with it, so that only the cold budget has an
/// effect.
const CALL_TIME: Duration = Duration::from_millis(60);
const COLD_ID: u64 = 1;

/// A fleet of balancer processes that share nothing but the endpoints.
#[derive(Clone)]
struct Fleet {
    processes: usize,
    endpoints: u64,
    /// So many of them restart at once; the others take over their load.
    cold: u64,
    /// Calls a second to each endpoint while all are warm.
    calls_per_s: f64,
    /// The busiest process has about so many times the calls of the least busy one.
    skew: f64,
    /// The processes learn of the start with a random delay of up to this.
    notice_delay: Duration,
    /// A third of the processes restart so long after the endpoint's start.
    restart_after: Option<Duration>,
    /// The endpoint does not restart: it was banned, and the ban is lifted.
    ban_lifted: bool,
    /// Percentage of calls that fail: their retries count too.
    fail_percent: u64,
    seed: u64,
}

const BASE_FLEET: Fleet = Fleet {
    processes: 1,
    endpoints: 12,
    cold: 1,
    calls_per_s: 30.0,
    skew: 1.0,
    notice_delay: Duration::ZERO,
    restart_after: None,
    ban_lifted: false,
    fail_percent: 0,
    seed: 0,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    RequestArrives(usize),
    /// Process, request, 100 times the process's incarnation, endpoint, and whether the attempt fails.
    AttemptEnds(usize, u64, u32, u64, bool),
    /// Process, and 100 times the timer's token plus the process's incarnation.
    TimerFires(usize, u64),
    LearnsOfStart(usize),
    ProcessRestarts(usize),
}

/// A linear congruential generator for the random draws of the simulation.
struct Lcg(u64);

impl Lcg {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64) / (1u64 << 31) as f64
    }
}

struct Simulation {
    fleet: Fleet,
    settings: Settings,
    balancers: Vec<Balancer>,
    incarnations: Vec<u64>,
    queue: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    /// Number of the event scheduled last: orders events of the same time.
    sequence: u64,
    rng: Lcg,
    started: Option<Duration>,
    /// Which processes know of the start: sends of the others break no rule.
    notified: Vec<bool>,
    /// Times of the sends to the cold endpoint by those processes.
    cold_sends: Vec<Duration>,
}

impl Simulation {
    fn new(fleet: Fleet, settings: Settings) -> Simulation {
        let rng = Lcg(fleet.seed.wrapping_mul(7919) + 13);
        let settings = Settings { balancers: fleet.processes as u32, ..settings };
        let (queue, incarnations) = (BinaryHeap::new(), vec![0; fleet.processes]);
        let mut simulation = Simulation {
            balancers: Vec::new(),
            incarnations,
            queue,
            sequence: 0,
            rng,
            started: None,
            notified: vec![false; fleet.processes],
            cold_sends: Vec::new(),
            settings,
            fleet,
        };
        for p in 0..simulation.fleet.processes {
            let balancer = simulation.new_balancer(p, ms(100_000));
            simulation.balancers.push(balancer);
            simulation.schedule(ms(100_000), SimEvent::RequestArrives(p));
        }
        simulation
    }

    fn new_balancer(&mut self, p: usize, now: Duration) -> Balancer {
        let settings = Settings { me: p as u32, ..self.settings.clone() };
        let seed = (self.rng.next() * 1e9) as u64;
        let mut balancer = Balancer::new(settings, seed, now).unwrap();
        balancer.handle(now, Event::Membership(Membership::Full(self.list())), &mut Vec::new());
        balancer
    }

    fn list(&self) -> Vec<EndpointInfo> {
        let mut list = endpoints(self.fleet.endpoints);
        for endpoint in &mut list[..self.fleet.cold as usize] {
            endpoint.started = self.started.filter(|_| !self.fleet.ban_lifted);
        }
        list
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    /// Calls a second of one process; the rates rise linearly over the processes.
    fn rate(&self, p: usize) -> f64 {
        let total = self.fleet.calls_per_s * self.fleet.endpoints as f64;
        let weight = |p: usize| 1.0 + (self.fleet.skew - 1.0) * p as f64 / self.fleet.processes as f64;
        total * weight(p) / (0..self.fleet.processes).map(weight).sum::<f64>()
    }

    fn feed(&mut self, now: Duration, p: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[p].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    if endpoint.0 == COLD_ID && self.notified[p] {
                        self.cold_sends.push(now);
                    }
                    let fails = self.rng.next() * 100.0 < self.fleet.fail_percent as f64;
                    let elapsed = CALL_TIME.mul_f64(0.5 + self.rng.next());
                    let incarnation = self.incarnations[p];
                    let incarnation = (incarnation * 100) as u32;
                    self.schedule(
                        now + elapsed,
                        SimEvent::AttemptEnds(p, request.0, incarnation, endpoint.0, fails),
                    );
                }
                Action::SetTimer { token, after } => {
                    self.schedule(
                        now + after,
                        SimEvent::TimerFires(p, token.0 * 100 + self.incarnations[p]),
                    );
                }
                _ => {}
            }
        }
    }

    fn run_until(&mut self, end: Duration, attempts: &mut std::collections::HashMap<(usize, u64), u32>) {
        while let Some(Reverse((now, sequence, event))) = self.queue.pop() {
            if now >= end {
                self.queue.push(Reverse((now, sequence, event)));
                return;
            }
            match event {
                SimEvent::RequestArrives(p) => {
                    let wait = -(1.0 - self.rng.next()).ln() / self.rate(p);
                    self.schedule(now + Duration::from_secs_f64(wait), SimEvent::RequestArrives(p));
                    self.feed(now, p, Event::request(RequestId(sequence), ms(900)));
                }
                SimEvent::AttemptEnds(p, request, incarnation, endpoint, fails) => {
                    if u64::from(incarnation) != self.incarnations[p] * 100 {
                        continue; // sent before the process restarted
                    }
                    let attempt = attempts.entry((p, request)).or_default();
                    let ended = AttemptEnded {
                        request: RequestId(request),
                        attempt: AttemptNo(*attempt),
                        endpoint: EndpointId(endpoint),
                        outcome: if fails { Outcome::Error } else { Outcome::Ok },
                        elapsed: CALL_TIME,
                        finished: !fails,
                        report: None,
                    };
                    *attempt += 1;
                    self.feed(now, p, Event::AttemptEnded(ended));
                }
                SimEvent::TimerFires(p, token) => {
                    if token % 100 == self.incarnations[p] {
                        self.feed(now, p, Event::Timer(TimerToken(token / 100)));
                    }
                }
                SimEvent::LearnsOfStart(p) => {
                    self.notified[p] = true;
                    if self.fleet.ban_lifted {
                        self.feed(now, p, Event::Ban { endpoint: EndpointId(COLD_ID), banned: false });
                    } else {
                        let mut cold = self.list();
                        cold.truncate(self.fleet.cold as usize);
                        self.feed(now, p, Event::Membership(Membership::Delta(cold)));
                    }
                }
                SimEvent::ProcessRestarts(p) => {
                    self.incarnations[p] += 1;
                    self.balancers[p] = self.new_balancer(p, now);
                    self.notified[p] = true;
                }
            }
        }
    }
}

/// Runs a fleet and returns by how much the calls in the fullest window exceed the bound, and how many
/// calls the cold endpoint got while it was cold. Where the settings allow N calls, the bound is `N + 2 *
/// sqrt(N) + 2`, to allow for chance.
fn excess_and_calls(fleet: Fleet, settings: Settings) -> (f64, usize) {
    // The bound follows these rules, even where the balancers run with others.
    let rules = self::settings().rules;
    let processes = fleet.processes;
    let mut simulation = Simulation::new(fleet, settings);
    let mut attempts = Default::default();
    let start = ms(115_000);
    if simulation.fleet.ban_lifted {
        simulation.run_until(start - ms(5_000), &mut attempts);
        for p in 0..processes {
            simulation.feed(
                start - ms(5_000),
                p,
                Event::Ban { endpoint: EndpointId(COLD_ID), banned: true },
            );
        }
    }
    simulation.run_until(start, &mut attempts);
    simulation.started = Some(start);
    for p in 0..processes {
        let delay = simulation.fleet.notice_delay.mul_f64(simulation.rng.next());
        simulation.schedule(start + delay, SimEvent::LearnsOfStart(p));
        if let Some(after) = simulation.fleet.restart_after.filter(|_| p % 3 == 0) {
            simulation.schedule(start + after, SimEvent::ProcessRestarts(p));
        }
    }
    simulation.run_until(start + rules.warm_within, &mut attempts);
    // Calls a second to each endpoint that stayed warm.
    let Fleet { calls_per_s, endpoints, cold, .. } = simulation.fleet;
    let warm_calls_per_s = calls_per_s * endpoints as f64 / (endpoints - cold) as f64;
    let allowed = |at: Duration| {
        let age = (at - start).as_secs_f64() / rules.warm_within.as_secs_f64();
        let warmth = (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0);
        rules.fall_multiple * warmth * warm_calls_per_s * rules.fall_after.as_secs_f64()
    };
    let sent = &simulation.cold_sends;
    let over = sent.iter().enumerate().map(|(n, &at)| {
        let within = sent[n..].iter().take_while(|other| **other < at + rules.fall_after).count();
        let budget = allowed(at);
        within as f64 - (budget + 2.0 * budget.sqrt() + 2.0)
    });
    (over.fold(f64::MIN, f64::max), sent.len())
}

/// Settings with which the budget has an effect for most of the warm-up: an even part of all calls would
/// overload the endpoint.
fn settings() -> Settings {
    let rules = Rules {
        cold_share: 0.1,
        warm_within: ms(9_000),
        fall_multiple: 1.2,
        fall_after: ms(3_000),
        ..Settings::default().rules
    };
    Settings { rules, ..Settings::default() }
}

const SIZES: [usize; 5] = [1, 3, 20, 30, 300];

/// A fleet of so many processes of which three in four endpoints restart at once, so that all processes
/// have calls for them.
fn mostly_cold(processes: usize, seed: u64) -> Fleet {
    let (endpoints, calls_per_s) =
        if processes == 300 { (40, 12.0) } else { (BASE_FLEET.endpoints, BASE_FLEET.calls_per_s) };
    Fleet { processes, endpoints, calls_per_s, cold: endpoints * 3 / 4, seed, ..BASE_FLEET }
}

/// Asserts that fleets of all sizes, changed by `make`, stay within the bound, and that the cold endpoint
/// gets calls.
fn assert_within_bound(name: &str, make: impl Fn(Fleet) -> Fleet) {
    for processes in SIZES {
        let mut calls = 0;
        for seed in 0..if processes == 300 { 1 } else { 2 } {
            for fleet in [Fleet { cold: 1, ..mostly_cold(processes, seed) }, mostly_cold(processes, seed)] {
                let case = format!("{name}: {processes} processes, {} cold, seed {seed}", fleet.cold);
                let (over, sent) = excess_and_calls(make(fleet), settings());
                println!("{case}: {over:.1} over, {sent} sent");
                assert!(over <= 0.0, "{case}: {over:.1} calls over the bound");
                calls += sent;
            }
        }
        assert!(calls > 0, "{name}, {processes} processes: no call to the cold endpoint");
    }
}

#[test]
fn all_processes_together_stay_within_the_budget_of_a_cold_endpoint() {
    assert_within_bound("even", |fleet| fleet);
}

#[test]
fn the_cold_budget_holds_with_uneven_traffic() {
    assert_within_bound("uneven", |fleet| Fleet { skew: 12.0, ..fleet });
}

#[test]
fn the_cold_budget_holds_with_little_traffic_for_each_process() {
    assert_within_bound("trickle", |fleet| Fleet { calls_per_s: 3.0, ..fleet });
}

#[test]
fn the_cold_budget_holds_where_some_processes_learn_of_the_start_late() {
    assert_within_bound("late", |fleet| Fleet { notice_delay: ms(4_000), ..fleet });
}

#[test]
fn the_cold_budget_holds_where_a_third_of_the_processes_restart_during_warm_up() {
    assert_within_bound("restarted", |fleet| Fleet { restart_after: Some(ms(1_500)), ..fleet });
}

#[test]
fn the_cold_budget_holds_where_all_processes_lift_a_ban_at_once() {
    assert_within_bound("ban lifted", |fleet| Fleet { ban_lifted: true, ..fleet });
}

#[test]
fn the_cold_budget_holds_with_retries_of_failed_calls() {
    assert_within_bound("retries", |fleet| Fleet { fail_percent: 15, ..fleet });
}

#[test]
fn a_budget_that_is_half_as_large_again_exceeds_the_bound() {
    // Balancers use half of the multiple: with three times the multiple they send half as much again as is
    // allowed.
    let mut generous = settings();
    generous.rules.fall_multiple *= 3.0;
    for processes in [1, 3, 20, 30] {
        let busy = |seed| Fleet { calls_per_s: 90.0, ..mostly_cold(processes, seed) };
        let over = |seed| excess_and_calls(busy(seed), generous.clone()).0;
        let most = (0..2).map(over).fold(f64::MIN, f64::max);
        println!("a half too large, {processes} processes: {most:.1} over");
        assert!(most > 0.0, "{processes} processes: {most:.1}");
    }
}
