//! What all balancers together send to a cold endpoint: within what it may get, and what chance adds to that.

mod support;
use curlewhub_balance::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use support::*;

/// An endpoint's calls take so long: far from its limit, so that only the cold budget speaks.
const TAKES: Duration = Duration::from_millis(60);
const COLD: u64 = 1;

/// A fleet of balancers that share nothing but the endpoints.
#[derive(Clone)]
struct Fleet {
    processes: usize,
    endpoints: u64,
    /// So many of them start again at once; the others bear what these did.
    cold: u64,
    /// Calls a second that each endpoint carries while all are warm.
    carries: f64,
    /// The busiest has so many times the calls of the least busy.
    uneven: f64,
    /// Some learn of the start up to so much later.
    late: Duration,
    /// A third of the processes begin anew so long after the start.
    restart: Option<Duration>,
    /// It was out by hand, and is given back then.
    by_hand: bool,
    /// Calls that fail at first, of a hundred: their repeats count too.
    fail: u64,
    seed: u64,
}

const EVEN: Fleet = Fleet {
    processes: 1,
    endpoints: 12,
    cold: 1,
    carries: 30.0,
    uneven: 1.0,
    late: Duration::ZERO,
    restart: None,
    by_hand: false,
    fail: 0,
    seed: 0,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrives(usize),
    Ends(usize, u64, u32, u64, bool),
    Fires(usize, u64),
    Learns(usize),
    BeginsAnew(usize),
}

/// A small generator of draws, for the fleet alone.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64) / (1u64 << 31) as f64
    }
}

struct World {
    fleet: Fleet,
    settings: Settings,
    balancers: Vec<Balancer>,
    incarnations: Vec<u64>,
    due: BinaryHeap<Reverse<(Duration, u64, What)>>,
    number: u64,
    draws: Draws,
    started: Option<Duration>,
    /// Who has been told of the start: what others send breaks no rule of theirs.
    told: Vec<bool>,
    /// When something was sent to the cold one by those.
    sent: Vec<Duration>,
}

impl World {
    fn new(fleet: Fleet, settings: Settings) -> World {
        let draws = Draws(fleet.seed.wrapping_mul(7919) + 13);
        let settings = Settings { balancers: fleet.processes as u32, ..settings };
        let (due, incarnations) = (BinaryHeap::new(), vec![0; fleet.processes]);
        let mut world = World {
            balancers: Vec::new(),
            incarnations,
            due,
            number: 0,
            draws,
            started: None,
            told: vec![false; fleet.processes],
            sent: Vec::new(),
            settings,
            fleet,
        };
        for p in 0..world.fleet.processes {
            let fresh = world.fresh(p, ms(100_000));
            world.balancers.push(fresh);
            world.plan(ms(100_000), What::Arrives(p));
        }
        world
    }

    fn fresh(&mut self, p: usize, now: Duration) -> Balancer {
        let settings = Settings { me: p as u32, ..self.settings.clone() };
        let seed = (self.draws.next() * 1e9) as u64;
        let mut balancer = Balancer::new(settings, seed, now).unwrap();
        balancer.handle(now, Event::Membership(Membership::Full(self.list())), &mut Vec::new());
        balancer
    }

    fn list(&self) -> Vec<EndpointInfo> {
        let mut list = endpoints(self.fleet.endpoints);
        for endpoint in &mut list[..self.fleet.cold as usize] {
            endpoint.started = self.started.filter(|_| !self.fleet.by_hand);
        }
        list
    }

    fn plan(&mut self, at: Duration, what: What) {
        self.number += 1;
        self.due.push(Reverse((at, self.number, what)));
    }

    /// Its part of all calls: the parts rise evenly.
    fn rate(&self, p: usize) -> f64 {
        let total = self.fleet.carries * self.fleet.endpoints as f64;
        let weight = |p: usize| 1.0 + (self.fleet.uneven - 1.0) * p as f64 / self.fleet.processes as f64;
        total * weight(p) / (0..self.fleet.processes).map(weight).sum::<f64>()
    }

    fn feed(&mut self, now: Duration, p: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[p].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    if endpoint.0 == COLD && self.told[p] {
                        self.sent.push(now);
                    }
                    let fails = self.draws.next() * 100.0 < self.fleet.fail as f64;
                    let takes = TAKES.mul_f64(0.5 + self.draws.next());
                    let incarnation = self.incarnations[p];
                    let attempt = (incarnation * 100) as u32;
                    self.plan(now + takes, What::Ends(p, request.0, attempt, endpoint.0, fails));
                }
                Action::SetTimer { token, after } => {
                    self.plan(now + after, What::Fires(p, token.0 * 100 + self.incarnations[p]));
                }
                _ => {}
            }
        }
    }

    fn until(&mut self, end: Duration, tries: &mut std::collections::HashMap<(usize, u64), u32>) {
        while let Some(Reverse((now, number, what))) = self.due.pop() {
            if now >= end {
                self.due.push(Reverse((now, number, what)));
                return;
            }
            match what {
                What::Arrives(p) => {
                    let wait = -(1.0 - self.draws.next()).ln() / self.rate(p);
                    self.plan(now + Duration::from_secs_f64(wait), What::Arrives(p));
                    self.feed(now, p, Event::request(RequestId(number), ms(900)));
                }
                What::Ends(p, request, incarnation, endpoint, fails) => {
                    if u64::from(incarnation) != self.incarnations[p] * 100 {
                        continue; // of a process that has gone
                    }
                    let attempt = tries.entry((p, request)).or_default();
                    let ended = AttemptEnded {
                        request: RequestId(request),
                        attempt: AttemptNo(*attempt),
                        endpoint: EndpointId(endpoint),
                        outcome: if fails { Outcome::Error } else { Outcome::Ok },
                        elapsed: TAKES,
                        finished: !fails,
                        report: None,
                    };
                    *attempt += 1;
                    self.feed(now, p, Event::AttemptEnded(ended));
                }
                What::Fires(p, token) => {
                    if token % 100 == self.incarnations[p] {
                        self.feed(now, p, Event::Timer(TimerToken(token / 100)));
                    }
                }
                What::Learns(p) => {
                    self.told[p] = true;
                    if self.fleet.by_hand {
                        self.feed(now, p, Event::Ban { endpoint: EndpointId(COLD), banned: false });
                    } else {
                        let mut cold = self.list();
                        cold.truncate(self.fleet.cold as usize);
                        self.feed(now, p, Event::Membership(Membership::Delta(cold)));
                    }
                }
                What::BeginsAnew(p) => {
                    self.incarnations[p] += 1;
                    self.balancers[p] = self.fresh(p, now);
                    self.told[p] = true;
                }
            }
        }
    }
}

/// By how much the most that any window saw lies over the bound, and how many calls the cold one got while it was
/// cold. To N calls that its settings allow, chance adds 2 roots of N and 2.
fn played(fleet: Fleet, settings: Settings) -> (f64, usize) {
    // What is right, whatever the module is told.
    let rules = self::settings().rules;
    let processes = fleet.processes;
    let mut world = World::new(fleet, settings);
    let mut tries = Default::default();
    let start = ms(115_000);
    if world.fleet.by_hand {
        world.until(start - ms(5_000), &mut tries);
        for p in 0..processes {
            world.feed(start - ms(5_000), p, Event::Ban { endpoint: EndpointId(COLD), banned: true });
        }
    }
    world.until(start, &mut tries);
    world.started = Some(start);
    for p in 0..processes {
        let late = world.fleet.late.mul_f64(world.draws.next());
        world.plan(start + late, What::Learns(p));
        if let Some(after) = world.fleet.restart.filter(|_| p % 3 == 0) {
            world.plan(start + after, What::BeginsAnew(p));
        }
    }
    world.until(start + rules.warm_within, &mut tries);
    // What those that stayed warm bear meanwhile.
    let Fleet { carries, endpoints, cold, .. } = world.fleet;
    let carry = carries * endpoints as f64 / (endpoints - cold) as f64;
    let may = |at: Duration| {
        let age = (at - start).as_secs_f64() / rules.warm_within.as_secs_f64();
        let warmth = (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0);
        rules.fall_multiple * warmth * carry * rules.fall_after.as_secs_f64()
    };
    let sent = &world.sent;
    let over = sent.iter().enumerate().map(|(n, &at)| {
        let within = sent[n..].iter().take_while(|other| **other < at + rules.fall_after).count();
        let budget = may(at);
        within as f64 - (budget + 2.0 * budget.sqrt() + 2.0)
    });
    (over.fold(f64::MIN, f64::max), sent.len())
}

/// Settings under which the budget binds for most of the ramp: a fair part of all calls would fell the endpoint.
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

/// A fleet of this size of which three in four endpoints start again at once, so that all want to send there.
fn crowded(processes: usize, seed: u64) -> Fleet {
    let (endpoints, carries) = if processes == 300 { (40, 12.0) } else { (EVEN.endpoints, EVEN.carries) };
    Fleet { processes, endpoints, carries, cold: endpoints * 3 / 4, seed, ..EVEN }
}

/// All of the fleets that this makes of a size stay within the bound; and the cold one gets calls.
fn stays_within(name: &str, make: impl Fn(Fleet) -> Fleet) {
    for processes in SIZES {
        let mut got = 0;
        for seed in 0..if processes == 300 { 1 } else { 2 } {
            for fleet in [Fleet { cold: 1, ..crowded(processes, seed) }, crowded(processes, seed)] {
                let what = format!("{name}: {processes} processes, {} cold, seed {seed}", fleet.cold);
                let (over, sent) = played(make(fleet), settings());
                println!("{what}: {over:.1} over, {sent} sent");
                assert!(over <= 0.0, "{what}: {over:.1} calls over the bound");
                got += sent;
            }
        }
        assert!(got > 0, "{name}, {processes} processes: no call while it was cold");
    }
}

#[test]
fn the_sum_over_all_processes_stays_within_what_a_cold_endpoint_may_get() {
    stays_within("even", |fleet| fleet);
}

#[test]
fn so_it_does_with_uneven_traffic() {
    stays_within("uneven", |fleet| Fleet { uneven: 12.0, ..fleet });
}

#[test]
fn so_it_does_with_a_trickle_each() {
    stays_within("trickle", |fleet| Fleet { carries: 3.0, ..fleet });
}

#[test]
fn so_it_does_where_some_learn_of_it_late() {
    stays_within("late", |fleet| Fleet { late: ms(4_000), ..fleet });
}

#[test]
fn so_it_does_where_a_third_of_the_processes_begin_anew_in_the_middle() {
    stays_within("restarted", |fleet| Fleet { restart: Some(ms(1_500)), ..fleet });
}

#[test]
fn so_it_does_where_it_is_given_back_by_hand_at_all_of_them_at_once() {
    stays_within("by hand", |fleet| Fleet { by_hand: true, ..fleet });
}

#[test]
fn so_it_does_with_repeats_of_what_failed() {
    stays_within("repeats", |fleet| Fleet { fail: 15, ..fleet });
}

#[test]
fn a_budget_a_half_too_large_shows() {
    // The module plans with half of the multiple: told three times of it, it sends a half more than may be.
    let mut generous = settings();
    generous.rules.fall_multiple *= 3.0;
    for processes in [1, 3, 20, 30] {
        let busy = |seed| Fleet { carries: 90.0, ..crowded(processes, seed) };
        let over = |seed| played(busy(seed), generous.clone()).0;
        let shows = (0..2).map(over).fold(f64::MIN, f64::max);
        println!("a half too large, {processes} processes: {shows:.1} over");
        assert!(shows > 0.0, "{processes} processes: {shows:.1}");
    }
}
