//! How many attempts reach the last level of a chain of calls whose last level fails.

use super::data_path::balancer;
use super::{Effort, Measured, Point, Subject};
use crate::capacity::file::Role;
use crate::capacity::target::{Dimension, SERVICES, SIDECARS};
use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, Balancer, EndpointId, Event, Outcome, RequestId, TimerToken,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the last level takes to fail.
const FAILS_AFTER: Duration = Duration::from_millis(1);
/// A client's patience, which each level passes on.
const TIME_LEFT: Duration = Duration::from_secs(2);
/// Requests a second that come to the first level.
const REQUESTS_PER_SECOND: f64 = 74.0;
/// Requests that the mean is over.
const REQUESTS: u64 = 1_500;

/// One level: its decision module and its timers.
struct Level {
    balancer: Balancer,
    timers: BTreeMap<(Duration, u64), TimerToken>,
    requests: u64,
}

/// A chain in which each level calls the next, one after another in simulated time.
struct Chain {
    now: Duration,
    levels: Vec<Level>,
    attempts_at_last: u64,
}

/// What one request of a level has come to.
#[derive(Default)]
struct Progress {
    attempts: u32,
    sent: Option<EndpointId>,
    answered: bool,
}

impl Chain {
    fn new(depth: usize, seed: u64) -> Chain {
        let endpoints = (SIDECARS / SERVICES).round() as u64;
        let level = |n: usize| Level {
            balancer: balancer(endpoints, seed + n as u64),
            timers: BTreeMap::new(),
            requests: 0,
        };
        Chain { now: Duration::from_secs(1), levels: (0..depth).map(level).collect(), attempts_at_last: 0 }
    }

    /// A request to a level, until its final answer: it always fails.
    fn request(&mut self, level: usize, deadline: Duration) {
        let left = deadline.saturating_sub(self.now);
        if left.is_zero() {
            return;
        }
        self.levels[level].requests += 1;
        let id = RequestId(self.levels[level].requests);
        let mut progress = Progress::default();
        self.feed(level, Event::request(id, left), id, &mut progress);
        while !progress.answered && self.now < deadline {
            match progress.sent.take() {
                Some(endpoint) => self.attempt(level, deadline, (id, endpoint), &mut progress),
                None if !self.wait(level, deadline, id, &mut progress) => break,
                None => {}
            }
        }
        self.feed(level, Event::RequestAbandoned(id), id, &mut progress);
    }

    fn attempt(
        &mut self,
        level: usize,
        deadline: Duration,
        (request, endpoint): (RequestId, EndpointId),
        progress: &mut Progress,
    ) {
        let began = self.now;
        if level + 1 == self.levels.len() {
            self.attempts_at_last += 1;
            self.now += FAILS_AFTER;
        } else {
            self.request(level + 1, deadline);
        }
        let ended = AttemptEnded {
            request,
            attempt: AttemptNo(progress.attempts - 1),
            endpoint,
            outcome: Outcome::Error,
            elapsed: self.now - began,
            finished: false,
            report: None,
        };
        self.feed(level, Event::AttemptEnded(ended), request, progress);
    }

    /// Lets time pass until the level's next timer; whether there was one in time.
    fn wait(&mut self, level: usize, deadline: Duration, id: RequestId, progress: &mut Progress) -> bool {
        let Some(entry) = self.levels[level].timers.first_entry() else { return false };
        let at = entry.key().0;
        if at > deadline {
            return false;
        }
        let token = entry.remove();
        self.now = self.now.max(at);
        self.feed(level, Event::Timer(token), id, progress);
        true
    }

    fn feed(&mut self, level: usize, event: Event, id: RequestId, progress: &mut Progress) {
        let now = self.now;
        let mut actions = Vec::new();
        let level = &mut self.levels[level];
        level.balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } if request == id => {
                    progress.attempts += 1;
                    progress.sent = Some(endpoint);
                }
                Action::Refuse { request, .. } | Action::Fail { request } if request == id => {
                    progress.answered = true;
                }
                Action::SetTimer { token, after } => {
                    level.timers.insert((now + after, token.0), token);
                }
                Action::CancelTimer { token } => level.timers.retain(|_, set| *set != token),
                _ => {}
            }
        }
    }
}

/// Attempts at the last level: of the first request, which finds all budgets full, and in the mean.
fn attempts(depth: usize, requests: u64, seed: u64) -> (f64, f64) {
    let mut chain = Chain::new(depth, seed);
    let mut first = 0;
    for request in 0..requests {
        let due = Duration::from_secs_f64(1.0 + request as f64 / REQUESTS_PER_SECOND);
        chain.now = chain.now.max(due);
        chain.request(0, chain.now + TIME_LEFT);
        if request == 0 {
            first = chain.attempts_at_last;
        }
    }
    (first as f64, chain.attempts_at_last as f64 / requests as f64)
}

/// Measures attempts by depth.
pub fn measure(effort: Effort, seed: u64, measured: &mut Measured) {
    let requests = if effort == Effort::Whole { REQUESTS } else { 50 };
    let run = "a decision module for each level, 23 endpoints each, whose last level fails after 1 ms; \
               74 requests a second one after another in simulated time, three attempts, budgets as they are";
    let depths = [1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 10.0, 12.0];
    let all: Vec<(f64, (f64, f64))> =
        depths.iter().map(|&depth| (depth, attempts(depth as usize, requests, seed))).collect();
    let points = |of: fn(&(f64, f64)) -> f64| -> Vec<Point> {
        all.iter().map(|(size, found)| Point { size: *size, value: of(found) }).collect()
    };
    let subject = Subject {
        id: "data_path.attempts_mean.by_depth",
        role: Role::SidecarDataPath,
        quantity: "attempts at the last level for a request to the first, mean while it fails",
        unit: "attempts",
        grows_with: Dimension::Depth,
        run,
    };
    measured.slope(subject.through(points(|found| found.1)));
    let subject = Subject {
        id: "data_path.attempts_first.by_depth",
        quantity: "attempts at the last level for the first request, all budgets full",
        ..subject
    };
    measured.slope(subject.through(points(|found| found.0)));
}
