//! Choices to measure the decision module against, on the same events: the textbook's rules without anything else.
//! None of them holds, refuses, limits, warms up or prefers a zone. A failed attempt goes to another endpoint at
//! once, as often as the class and the scenario allow: what a class permits is said by [`Semantics`] alone.

use curlewhub_balance::{
    Action, AttemptEnded, Class, EarlierAttempt, EndpointId, EndpointInfo, EndpointState, Event,
    Membership, Outcome, Request, RequestId, Semantics, Settings, TimerToken,
};
use rand::Rng;
use rand::seq::index::sample;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use strum::{EnumIter, IntoStaticStr};

/// What is taken for an endpoint's latency before its first answer: the default of linkerd2-proxy, which balances
/// with tower's p2c and peak EWMA.
const RTT_FIRST: Duration = Duration::from_millis(30);
/// In which an old latency falls to a third; linkerd2-proxy's default as well.
const RTT_DECAY: Duration = Duration::from_secs(10);

/// Who decides.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize, EnumIter, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Decisions {
    /// The decision module.
    #[default]
    Module,
    /// Any ready endpoint.
    Random,
    /// Each in its turn.
    RoundRobin,
    /// The fewest of its own calls in flight, over all endpoints.
    LeastOwn,
    /// The shortest true queue over all: an oracle, which also knows what is down.
    Shortest,
    /// One sample: the same as random, by the samples' code.
    Sq1,
    /// Two samples, the one with the fewest of its own calls in flight.
    Sq2,
    /// Three samples.
    Sq3,
    /// Five samples.
    Sq5,
    /// Two samples, the one with the least peak EWMA of latency times calls in flight, as tower's balance does it.
    P2c,
}

/// Latency that follows a rise at once and a fall slowly.
#[derive(Clone, Copy)]
struct PeakEwma {
    seconds: f64,
    at: Duration,
}

impl PeakEwma {
    fn read(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.seconds * (-age / RTT_DECAY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration, seconds: f64) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-age / RTT_DECAY.as_secs_f64()).exp();
        self.seconds =
            if seconds > self.seconds { seconds } else { self.seconds * kept + seconds * (1.0 - kept) };
        self.at = now;
    }
}

struct Known {
    info: EndpointInfo,
    in_flight: u32,
    rtt: PeakEwma,
}

#[derive(Clone, Copy)]
struct Tried {
    endpoint: EndpointId,
    sent: EarlierAttempt,
    out: bool,
    may_have_run: bool,
}

struct Asked {
    semantics: Semantics,
    deadline: Duration,
    /// Where its job may have run before it came here.
    earlier: Option<EarlierAttempt>,
    tried: Vec<Tried>,
}

impl Asked {
    /// The sends that may have run, the first in front.
    fn may_have_run(&self) -> impl Iterator<Item = EarlierAttempt> {
        let own = self.tried.iter().filter(|tried| tried.may_have_run).map(|tried| tried.sent);
        self.earlier.into_iter().chain(own)
    }
}

/// One sidecar that decides by a textbook's rule.
pub(crate) struct Plain {
    rule: Decisions,
    classes: Vec<Class>,
    max_attempts: usize,
    draws: Pcg32,
    endpoints: Vec<Known>,
    index: HashMap<EndpointId, usize>,
    ready: Vec<usize>,
    turn: usize,
    requests: HashMap<RequestId, Asked>,
}

/// An endpoint's true queue, by its number; none where it is down or hangs.
pub(crate) type Truth<'a> = &'a dyn Fn(EndpointId) -> Option<usize>;

impl Plain {
    pub(crate) fn new(rule: Decisions, settings: Settings, draws: Pcg32) -> Self {
        Plain {
            rule,
            max_attempts: settings.limits.max_attempts as usize,
            classes: settings.classes,
            draws,
            endpoints: Vec::new(),
            index: HashMap::new(),
            ready: Vec::new(),
            turn: 0,
            requests: HashMap::new(),
        }
    }

    pub(crate) fn handle(&mut self, now: Duration, event: Event, truth: Truth<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Membership(news) => self.listed(news, now),
            Event::Request(request) => self.asked(now, &request, truth, out),
            Event::AttemptEnded(ended) => self.ended(now, &ended, truth, out),
            Event::RequestAbandoned(id) => self.forget(id, out),
            Event::Timer(token) => {
                let id = RequestId(token.0);
                if self.requests.contains_key(&id) {
                    self.forget(id, out);
                    out.push(Action::Fail { request: id });
                }
            }
            _ => {}
        }
    }

    fn listed(&mut self, news: Membership, now: Duration) {
        let (list, whole) = match news {
            Membership::Full(list) | Membership::Cached(list) => (list, true),
            Membership::Delta(list) => (list, false),
            Membership::Failed | Membership::Refused => return,
        };
        if whole {
            let state = EndpointState::Gone;
            self.endpoints.iter_mut().for_each(|known| known.info.state = state);
        }
        for info in list {
            match self.index.get(&info.id) {
                Some(&i) => self.endpoints[i].info = info,
                None => {
                    self.index.insert(info.id, self.endpoints.len());
                    let rtt = PeakEwma { seconds: RTT_FIRST.as_secs_f64(), at: now };
                    self.endpoints.push(Known { info, in_flight: 0, rtt });
                }
            }
        }
        let ready = |i: &usize| self.endpoints[*i].info.state == EndpointState::Ready;
        self.ready = (0..self.endpoints.len()).filter(ready).collect();
    }

    fn asked(&mut self, now: Duration, request: &Request, truth: Truth<'_>, out: &mut Vec<Action>) {
        let (id, after) = (request.id, request.time_left);
        let (semantics, deadline) = (self.classes[request.class.0].semantics, now + after);
        self.requests
            .insert(id, Asked { semantics, deadline, earlier: request.earlier_attempt, tried: Vec::new() });
        out.push(Action::SetTimer { token: TimerToken(id.0), after });
        self.send(now, id, truth, out);
    }

    fn send(&mut self, now: Duration, id: RequestId, truth: Truth<'_>, out: &mut Vec<Action>) {
        let Some(chosen) = self.choose(now, id, truth) else { return self.give_up(id, out) };
        let known = &mut self.endpoints[chosen];
        known.in_flight += 1;
        let (endpoint, zone, cell) = (known.info.id, known.info.zone, known.info.cell);
        let Some(asked) = self.requests.get_mut(&id) else { return };
        let sent = EarlierAttempt { zone, cell, sent: now };
        asked.tried.push(Tried { endpoint, sent, out: true, may_have_run: true });
        let timeout = asked.deadline.saturating_sub(now);
        out.push(Action::Send { request: id, endpoint, timeout });
    }

    fn ended(&mut self, now: Duration, ended: &AttemptEnded, truth: Truth<'_>, out: &mut Vec<Action>) {
        if let Some(&i) = self.index.get(&ended.endpoint) {
            let known = &mut self.endpoints[i];
            known.in_flight = known.in_flight.saturating_sub(1);
            // A quick failure counts as a quick answer, as it does in tower.
            if ended.outcome != Outcome::NotSent {
                known.rtt.add(now, ended.elapsed.as_secs_f64());
            }
        }
        if ended.finished {
            return self.forget(ended.request, out);
        }
        let Some(asked) = self.requests.get_mut(&ended.request) else { return };
        if let Some(tried) = asked.tried.iter_mut().find(|t| t.out && t.endpoint == ended.endpoint) {
            (tried.out, tried.may_have_run) = (false, !ended.outcome.never_ran());
        }
        let first = asked.may_have_run().next().map(|ran| ran.sent);
        let more = asked.tried.len() < self.max_attempts && asked.deadline > now;
        if more && asked.semantics.may_retry(now, first) {
            self.send(now, ended.request, truth, out);
        } else {
            self.give_up(ended.request, out);
        }
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(asked) = self.requests.get(&id) else { return };
        let harmless = asked.semantics.client_may_retry(asked.may_have_run().next().is_some());
        self.forget(id, out);
        out.push(if harmless {
            Action::Refuse { request: id, retry_after: None }
        } else {
            Action::Fail { request: id }
        });
    }

    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.remove(&id).is_some() {
            out.push(Action::CancelTimer { token: TimerToken(id.0) });
        }
    }

    /// The rule, over the endpoints not tried yet where there are any, and in the zone where a keyed job may run.
    fn choose(&mut self, now: Duration, id: RequestId, truth: Truth<'_>) -> Option<usize> {
        let asked = self.requests.get(&id)?;
        if asked.tried.is_empty() && asked.earlier.is_none() {
            let all = std::mem::take(&mut self.ready);
            let chosen = self.among(now, &all, truth);
            self.ready = all;
            return chosen;
        }
        let fits = |i: &&usize| {
            let info = &self.endpoints[**i].info;
            let to = (info.zone, info.cell);
            asked.may_have_run().all(|ran| asked.semantics.may_retry_at((ran.zone, ran.cell), to))
        };
        let fresh = |i: &&usize| asked.tried.iter().all(|t| t.endpoint != self.endpoints[**i].info.id);
        let mut left: Vec<usize> = self.ready.iter().filter(fits).filter(fresh).copied().collect();
        if left.is_empty() {
            left = self.ready.iter().filter(fits).copied().collect();
        }
        self.among(now, &left, truth)
    }

    fn among(&mut self, now: Duration, all: &[usize], truth: Truth<'_>) -> Option<usize> {
        if all.is_empty() {
            return None;
        }
        let own = |i: usize| f64::from(self.endpoints[i].in_flight);
        let queue = |i: usize| truth(self.endpoints[i].info.id).map_or(f64::MAX, |held| held as f64);
        let cost = |i: usize| self.endpoints[i].rtt.read(now) * (own(i) + 1.0);
        let draws = &mut self.draws;
        Some(match self.rule {
            Decisions::RoundRobin => {
                self.turn += 1;
                all[self.turn % all.len()]
            }
            Decisions::LeastOwn => least(all, own, draws),
            Decisions::Shortest => least(all, queue, draws),
            Decisions::Module | Decisions::Random => all[draws.random_range(0..all.len())],
            Decisions::Sq1 => least(&some(all, 1, draws), own, draws),
            Decisions::Sq2 => least(&some(all, 2, draws), own, draws),
            Decisions::Sq3 => least(&some(all, 3, draws), own, draws),
            Decisions::Sq5 => least(&some(all, 5, draws), own, draws),
            Decisions::P2c => least(&some(all, 2, draws), cost, draws),
        })
    }
}

/// So many of them, without replacement.
fn some(all: &[usize], d: usize, draws: &mut Pcg32) -> Vec<usize> {
    sample(draws, all.len(), d.min(all.len())).into_iter().map(|place| all[place]).collect()
}

/// The one with the least value, ties at random. There is at least one.
fn least(among: &[usize], value: impl Fn(usize) -> f64, draws: &mut Pcg32) -> usize {
    let (mut best, mut least, mut ties) = (among[0], f64::INFINITY, 0);
    for &i in among {
        let found = value(i);
        if found > least {
            continue;
        }
        ties = if found < least { 1 } else { ties + 1 };
        least = found;
        if draws.random_range(0..ties) == 0 {
            best = i;
        }
    }
    best
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn the_least_is_found_and_ties_are_even() {
        let mut draws = Pcg32::seed_from_u64(5);
        let values = [3.0, 1.0, 2.0, 1.0, 1.0, 9.0];
        let mut counts = [0; 6];
        for _ in 0..6000 {
            counts[least(&[0, 1, 2, 3, 4, 5], |i| values[i], &mut draws)] += 1;
        }
        assert_eq!((counts[0], counts[2], counts[5]), (0, 0, 0));
        assert!([1, 3, 4].iter().all(|i| (1850..2150).contains(&counts[*i])), "{counts:?}");
    }

    #[test]
    fn a_peak_is_followed_at_once_and_forgotten_slowly() {
        let mut rtt = PeakEwma { seconds: 0.03, at: Duration::ZERO };
        rtt.add(Duration::from_secs(1), 0.5);
        assert_eq!(rtt.read(Duration::from_secs(1)), 0.5);
        rtt.add(Duration::from_secs(2), 0.1);
        assert!((0.4..0.5).contains(&rtt.read(Duration::from_secs(2))));
        assert!(rtt.read(Duration::from_secs(12)) < 0.2);
    }
}
