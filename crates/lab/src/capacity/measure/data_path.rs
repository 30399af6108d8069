//! What the decision module holds and computes, by endpoints, by calls a second and by services called.

use super::gauge::{bytes_each, thread_microseconds};
use super::{Effort, Measured, Point, Subject};
use crate::capacity::file::Role;
use crate::capacity::target::{Dimension, SERVICES, SIDECARS};
use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, Balancer, EndpointId, EndpointInfo, Event, Membership, Outcome,
    RequestId, Settings, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an endpoint takes for a call: a typical service's, as the lab's default mix has it.
const CALL_TAKES: Duration = Duration::from_millis(40);
/// A client's patience: the default class's deadline.
const TIME_LEFT: Duration = Duration::from_secs(2);
/// Calls that one size is measured with.
const CALLS: u64 = 40_000;
/// The same for a test.
const CALLS_OF_TEST: u64 = 200;
/// Zones of the target.
const ZONES: u32 = 7;

/// Settings of a sidecar at the target: one of a service's callers, in seven zones.
pub fn settings() -> Settings {
    Settings { balancers: (SIDECARS / SERVICES).round() as u32, zones: ZONES, ..Settings::default() }
}

/// Endpoints over all zones in turn.
pub fn endpoints(count: u64) -> Vec<EndpointInfo> {
    let zone = |id: u64| ZoneId((id % u64::from(ZONES)) as u32);
    (1..=count).map(|id| EndpointInfo { zone: zone(id), ..EndpointInfo::ready(id) }).collect()
}

/// A decision module that has its list.
pub fn balancer(count: u64, seed: u64) -> Balancer {
    let mut balancer = Balancer::new(settings(), seed, Duration::ZERO)
        .unwrap_or_else(|problem| unreachable!("the settings are sound: {problem}"));
    let list = Event::Membership(Membership::Full(endpoints(count)));
    balancer.handle(Duration::ZERO, list, &mut Vec::new());
    balancer
}

/// Chooses an endpoint for each call; the baseline does only what cannot be left out.
trait Chooser {
    fn begins(&mut self, now: Duration, call: u64) -> Option<EndpointId>;
    fn ends(&mut self, now: Duration, call: u64, endpoint: EndpointId);
}

/// The decision module, with its timers.
struct Module {
    balancer: Balancer,
    actions: Vec<Action>,
    timers: BTreeMap<(Duration, u64), curlewhub_balance::TimerToken>,
}

impl Module {
    fn new(endpoints: u64, seed: u64) -> Module {
        Module { balancer: balancer(endpoints, seed), actions: Vec::new(), timers: BTreeMap::new() }
    }

    fn feed(&mut self, now: Duration, event: Event) -> Option<EndpointId> {
        let mut sent = None;
        self.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Send { endpoint, .. } => sent = Some(endpoint),
                Action::SetTimer { token, after } => {
                    self.timers.insert((now + after, token.0), token);
                }
                _ => {}
            }
        }
        sent
    }

    fn fire(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let token = entry.remove();
            self.feed(now, Event::Timer(token));
        }
    }
}

impl Chooser for Module {
    fn begins(&mut self, now: Duration, call: u64) -> Option<EndpointId> {
        self.fire(now);
        self.feed(now, Event::request(RequestId(call), TIME_LEFT))
    }

    fn ends(&mut self, now: Duration, call: u64, endpoint: EndpointId) {
        self.fire(now);
        let ended = AttemptEnded {
            request: RequestId(call),
            attempt: AttemptNo(0),
            endpoint,
            outcome: Outcome::Ok,
            elapsed: CALL_TAKES,
            finished: true,
            report: None,
        };
        self.feed(now, Event::AttemptEnded(ended));
    }
}

/// The less busy of two drawn endpoints, and nothing else.
struct TwoChoices {
    in_flight: Vec<u32>,
    draws: Pcg32,
}

impl Chooser for TwoChoices {
    fn begins(&mut self, _: Duration, _: u64) -> Option<EndpointId> {
        let count = self.in_flight.len();
        let (a, b) = (self.draws.random_range(0..count), self.draws.random_range(0..count));
        let chosen = if self.in_flight[b] < self.in_flight[a] { b } else { a };
        self.in_flight[chosen] += 1;
        Some(EndpointId(chosen as u64))
    }

    fn ends(&mut self, _: Duration, _: u64, endpoint: EndpointId) {
        self.in_flight[endpoint.0 as usize] -= 1;
    }
}

/// Microseconds of processor time for one call, paced evenly, its outcome in it.
fn microseconds_per_call(chooser: &mut impl Chooser, calls: u64, calls_per_second: f64) -> f64 {
    let apart = Duration::from_secs_f64(1.0 / calls_per_second);
    let mut out: BTreeMap<(Duration, u64), EndpointId> = BTreeMap::new();
    let mut now = Duration::from_secs(1);
    let before = thread_microseconds();
    for call in 0..calls {
        now += apart;
        while let Some(entry) = out.first_entry().filter(|entry| entry.key().0 <= now) {
            let (at, ended) = *entry.key();
            let endpoint = entry.remove();
            chooser.ends(at, ended, endpoint);
        }
        if let Some(endpoint) = chooser.begins(now, call) {
            out.insert((now + CALL_TAKES, call), endpoint);
        }
    }
    (thread_microseconds() - before) as f64 / calls as f64
}

/// The module's points beside the baseline's.
fn timed(
    (effort, seed): (Effort, u64),
    sizes: &[f64],
    of: impl Fn(f64) -> (u64, f64),
) -> (Vec<Point>, Vec<Point>) {
    let calls = if effort == Effort::Whole { CALLS } else { CALLS_OF_TEST };
    let (mut points, mut baseline) = (Vec::new(), Vec::new());
    for &size in sizes {
        let (endpoints, calls_per_second) = of(size);
        let mut module = Module::new(endpoints, seed);
        let value = microseconds_per_call(&mut module, calls, calls_per_second);
        points.push(Point { size, value });
        let draws = Pcg32::seed_from_u64(seed);
        let mut two_choices = TwoChoices { in_flight: vec![0; endpoints as usize], draws };
        let value = microseconds_per_call(&mut two_choices, calls, calls_per_second);
        baseline.push(Point { size, value });
    }
    (points, baseline)
}

/// Measures all slopes of the decision module.
pub fn measure(effort: Effort, seed: u64, measured: &mut Measured) {
    by_endpoints(effort, seed, measured);
    by_calls(effort, seed, measured);
    by_services(effort, seed, measured);
}

fn by_endpoints(effort: Effort, seed: u64, measured: &mut Measured) {
    let copies = if effort == Effort::Whole { 400 } else { 20 };
    let sizes = [25.0, 50.0, 100.0, 200.0, 300.0, 400.0];
    let subject = Subject {
        id: "data_path.memory.by_endpoints",
        role: Role::SidecarDataPath,
        quantity: "resident memory of one decision module",
        unit: "bytes",
        grows_with: Dimension::EndpointsPerService,
        run: "many decision modules, each with its list, resident bytes over their number",
    };
    let held = |size: f64| bytes_each(copies, |n| balancer(size as u64, seed + n as u64));
    measured.slope(subject.through(sizes.iter().map(|&size| Point { size, value: held(size) }).collect()));
    let subject = Subject {
        id: "data_path.time.by_endpoints",
        quantity: "processor time of a call's decisions, its outcome among them",
        unit: "microseconds",
        run: "one decision module, 74 calls a second of 40 ms in simulated time, all served",
        ..subject
    };
    let calls_per_second = Dimension::CallsPerSecond.target();
    let (points, baseline) = timed((effort, seed), &sizes, |size| (size as u64, calls_per_second));
    measured.slope(subject.beside(points, baseline, "the less busy of two drawn endpoints, same calls"));
}

fn by_calls(effort: Effort, seed: u64, measured: &mut Measured) {
    let subject = Subject {
        id: "data_path.time.by_calls",
        role: Role::SidecarDataPath,
        quantity: "processor time of a call's decisions, its outcome among them",
        unit: "microseconds",
        grows_with: Dimension::CallsPerSecond,
        run: "one decision module of 23 endpoints, calls of 40 ms in simulated time, all served",
    };
    let sizes = [10.0, 25.0, 45.0, 74.0, 150.0, 370.0, 740.0];
    let endpoints = (SIDECARS / SERVICES).round() as u64;
    let (points, baseline) = timed((effort, seed), &sizes, |size| (endpoints, size));
    measured.slope(subject.beside(points, baseline, "the less busy of two drawn endpoints, same calls"));
}

fn by_services(effort: Effort, seed: u64, measured: &mut Measured) {
    let subject = Subject {
        id: "data_path.memory.by_services",
        role: Role::SidecarDataPath,
        quantity: "resident memory of the decision modules of one process, one for each called service",
        unit: "bytes",
        grows_with: Dimension::ServicesCalled,
        run: "decision modules of 23 endpoints each, resident bytes; the program has one today",
    };
    let endpoints = (SIDECARS / SERVICES).round() as u64;
    let copies = if effort == Effort::Whole { 20 } else { 4 };
    let process = |services: usize| -> Vec<Balancer> {
        (0..services).map(|service| balancer(endpoints, seed + service as u64)).collect()
    };
    let held = |size: f64| bytes_each(copies, |_| process(size as usize));
    let sizes = [5.0, 10.0, 20.0, 42.0, 63.0, 84.0];
    measured.slope(subject.through(sizes.iter().map(|&size| Point { size, value: held(size) }).collect()));
}
