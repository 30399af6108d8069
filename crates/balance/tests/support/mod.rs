//! A driver that runs a balancer on a simulated clock, and a checker of the four rules that is independent
//! of how the balancer decides.
#![allow(dead_code)]

use curlewhub_balance::*;
use std::collections::HashMap;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn endpoint(id: u64) -> EndpointInfo {
    EndpointInfo::ready(id)
}

pub fn endpoints(n: u64) -> Vec<EndpointInfo> {
    (1..=n).map(endpoint).collect()
}

/// Endpoints 1 to 6 in three zones; 3 and 6 are in the own zone of the default settings.
pub fn three_zones() -> Vec<EndpointInfo> {
    (1..=6).map(|id| EndpointInfo { zone: ZoneId((id % 3) as u32), ..endpoint(id) }).collect()
}

pub fn with_class(semantics: Semantics) -> Settings {
    Settings { classes: vec![Class { semantics, ..Class::default() }], ..Settings::default() }
}

/// The checker's record of one attempt.
#[derive(Clone)]
struct SentAttempt {
    endpoint: EndpointId,
    zone: ZoneId,
    cell: CellId,
    at: Duration,
    outcome: Option<Outcome>,
}

/// The checker's record of one request.
struct TrackedRequest {
    class: usize,
    deadline: Duration,
    answered: bool,
    attempts: Vec<SentAttempt>,
}

/// Asserts the four rules on the events that a balancer gets and the actions that it returns:
/// 1. Each request gets one final answer, in time, and nothing is sent for it afterwards.
/// 2. A request that may have run is sent again only where and while its class permits.
/// 3. Nothing is sent to an endpoint that drains or is gone, once the grace time is over.
/// 4. A cold endpoint gets few calls: the checker records them, and tests compare them with their limits.
pub struct Checker {
    settings: Settings,
    listed: HashMap<EndpointId, EndpointInfo>,
    /// When the balancer was first notified that an endpoint drains or is gone.
    drain_notified: HashMap<EndpointId, Duration>,
    requests: HashMap<RequestId, TrackedRequest>,
    /// Times of the sends to each cold endpoint, for rule 4.
    pub cold_sends: HashMap<EndpointId, Vec<Duration>>,
}

impl Checker {
    pub fn new(settings: &Settings) -> Self {
        Checker {
            settings: settings.clone(),
            listed: HashMap::new(),
            drain_notified: HashMap::new(),
            requests: HashMap::new(),
            cold_sends: HashMap::new(),
        }
    }

    pub fn record_event(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Membership(Membership::Full(list) | Membership::Cached(list)) => {
                for id in self.listed.keys().copied().collect::<Vec<_>>() {
                    if !list.iter().any(|info| info.id == id) {
                        self.drain_notified.entry(id).or_insert(now);
                    }
                }
                self.record_list(now, list);
            }
            Event::Membership(Membership::Delta(list)) => self.record_list(now, list),
            Event::RestrictEndpoints(named) => {
                for id in self.listed.keys().filter(|id| !named.contains(id)) {
                    self.drain_notified.entry(*id).or_insert(now);
                }
            }
            Event::Request(request) => {
                self.requests.entry(request.id).or_insert(TrackedRequest {
                    class: request.class.0,
                    deadline: now + request.time_left,
                    answered: false,
                    attempts: Vec::new(),
                });
            }
            Event::AttemptEnded(ended) => {
                if let Some(request) = self.requests.get_mut(&ended.request) {
                    request.answered |= ended.finished;
                    if let Some(attempt) = request.attempts.get_mut(ended.attempt.0 as usize) {
                        attempt.outcome.get_or_insert(ended.outcome);
                    }
                }
            }
            Event::RequestAbandoned(id) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.answered = true;
                }
            }
            _ => {}
        }
    }

    fn record_list(&mut self, now: Duration, list: &[EndpointInfo]) {
        for info in list {
            if info.state == EndpointState::Ready {
                self.drain_notified.remove(&info.id);
            } else {
                self.drain_notified.entry(info.id).or_insert(now);
            }
            self.listed.insert(info.id, info.clone());
        }
    }

    pub fn check_actions(&mut self, now: Duration, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => self.check_send(now, *request, *endpoint),
                Action::Refuse { request, .. } => {
                    let tracked = self.requests.get_mut(request).expect("the refused request is known");
                    assert!(!tracked.answered, "rule 1: a second final answer");
                    let ran = tracked.attempts.iter().any(|s| s.outcome.is_none_or(|o| !o.never_ran()));
                    match self.settings.classes[tracked.class].semantics {
                        Semantics::Safe | Semantics::Keyed { group: DeduplicationScope::All, .. } => {}
                        _ => assert!(!ran, "rule 2: refused though it may have run"),
                    }
                    tracked.answered = true;
                }
                Action::Fail { request } => {
                    let tracked = self.requests.get_mut(request).expect("the failed request is known");
                    assert!(!tracked.answered, "rule 1: a second final answer");
                    tracked.answered = true;
                }
                Action::Cancel { request, attempt } => {
                    assert!(
                        self.settings.limits.cancelling,
                        "cancelled although cancelling is not allowed"
                    );
                    let tracked = &self.requests[request];
                    assert!(
                        (attempt.0 as usize) < tracked.attempts.len(),
                        "cancelled an attempt that was never sent"
                    );
                }
                Action::Probe { .. } => {
                    assert!(self.settings.limits.probes, "probed although probes are not allowed")
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, now: Duration, request: RequestId, endpoint: EndpointId) {
        let info = self.listed.get(&endpoint).expect("the endpoint was listed").clone();
        if let Some(notified) = self.drain_notified.get(&endpoint) {
            assert!(
                now <= *notified + self.settings.rules.drain_grace,
                "rule 3: sent to a drained endpoint"
            );
        }
        let tracked = self.requests.get_mut(&request).expect("the sent request is known");
        assert!(!tracked.answered, "rule 1: sent after the final answer");
        assert!((tracked.attempts.len() as u32) < self.settings.limits.max_attempts, "too many attempts");
        if !self.settings.limits.second_copies {
            assert!(tracked.attempts.iter().all(|s| s.outcome.is_some()), "rule 2: two attempts at once");
        }
        for earlier in tracked.attempts.iter().filter(|s| s.outcome.is_none_or(|o| !o.never_ran())) {
            match self.settings.classes[tracked.class].semantics {
                Semantics::Safe => {}
                Semantics::Unsafe => panic!("rule 2: an unsafe request that may have run was sent again"),
                Semantics::Keyed { group, window } => {
                    assert!(now <= earlier.at + window, "rule 2: sent again after the window");
                    match group {
                        DeduplicationScope::All => {}
                        DeduplicationScope::Zone => {
                            assert_eq!(earlier.zone, info.zone, "rule 2: left the zone")
                        }
                        DeduplicationScope::Cell => {
                            assert_eq!(earlier.cell, info.cell, "rule 2: left the cell")
                        }
                    }
                }
            }
        }
        tracked.attempts.push(SentAttempt {
            endpoint,
            zone: info.zone,
            cell: info.cell,
            at: now,
            outcome: None,
        });
        if info.started.is_some_and(|at| now < at + self.settings.rules.warm_within) {
            self.cold_sends.entry(endpoint).or_default().push(now);
        }
    }

    /// Rule 1: asserts that no request is unanswered once its deadline and the grace time are over.
    pub fn assert_none_overdue(&self, now: Duration) {
        for (id, request) in &self.requests {
            let overdue = now > request.deadline + self.settings.rules.answer_grace;
            assert!(request.answered || !overdue, "rule 1: {id:?} is overdue");
        }
    }
}

/// Runs a balancer on a simulated clock, fires its timers and checks the rules at every step.
pub struct Driver {
    pub balancer: Balancer,
    pub checker: Checker,
    pub now: Duration,
    pub timers: Vec<(Duration, TimerToken)>,
    /// Attempts in flight: request, number, endpoint, and when it times out.
    pub in_flight: Vec<(RequestId, AttemptNo, EndpointId, Duration)>,
    attempts_sent: HashMap<RequestId, u32>,
    last_request: u64,
}

impl Driver {
    pub fn new(settings: Settings, list: Vec<EndpointInfo>) -> Self {
        Self::seeded(settings, list, 1)
    }

    pub fn seeded(settings: Settings, list: Vec<EndpointInfo>, seed: u64) -> Self {
        let checker = Checker::new(&settings);
        let now = Duration::from_secs(100);
        let balancer = Balancer::new(settings, seed, now).expect("the settings are valid");
        let (timers, in_flight, attempts_sent) = Default::default();
        let mut driver =
            Driver { balancer, checker, now, timers, in_flight, attempts_sent, last_request: 0 };
        driver.feed(Event::Membership(Membership::Cached(list)));
        driver
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        if let Event::AttemptEnded(ended) = &event {
            self.in_flight.retain(|o| (o.0, o.1) != (ended.request, ended.attempt));
        }
        self.checker.record_event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.checker.check_actions(self.now, &actions);
        for action in &actions {
            match action {
                Action::SetTimer { token, after } => self.timers.push((self.now + *after, *token)),
                Action::CancelTimer { token } => self.timers.retain(|timer| timer.1 != *token),
                Action::Send { request, endpoint, timeout } => {
                    let number = self.attempts_sent.entry(*request).or_default();
                    self.in_flight.push((*request, AttemptNo(*number), *endpoint, self.now + *timeout));
                    *number += 1;
                }
                _ => {}
            }
        }
        actions
    }

    pub fn update_list(&mut self, update: Membership) -> Vec<Action> {
        self.feed(Event::Membership(update))
    }

    pub fn request(&mut self, left: Duration) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        (id, self.feed(Event::request(id, left)))
    }

    /// Feeds a request of the given class and tenant.
    pub fn request_of(&mut self, class: usize, tenant: usize, left: Duration) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let Event::Request(mut request) = Event::request(id, left) else { unreachable!() };
        request.class = ClassId(class);
        request.tenant = TenantId(tenant);
        (id, self.feed(Event::Request(request)))
    }

    /// Sends requests until one is held.
    pub fn send_until_held(&mut self) {
        while !sends(&self.request(ms(60_000)).1).is_empty() {}
    }

    /// Ends the first attempt in flight of a request.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome, elapsed: Duration) -> Vec<Action> {
        self.end_attempt_with_report(id, outcome, elapsed, None)
    }

    /// Ends the first attempt in flight of a request, with a load report.
    pub fn end_attempt_with_report(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        elapsed: Duration,
        report: Option<Vec<f64>>,
    ) -> Vec<Action> {
        let &(request, attempt, endpoint, _) =
            self.in_flight.iter().find(|o| o.0 == id).expect("an attempt is in flight");
        let finished = outcome == Outcome::Ok;
        self.feed(Event::AttemptEnded(AttemptEnded {
            request,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished,
            report,
        }))
    }

    /// Advances the clock and fires each timer when it is due.
    pub fn advance(&mut self, by: Duration) -> Vec<Action> {
        let until = self.now + by;
        let mut all = Vec::new();
        while let Some(due) = self.timers.iter().map(|t| t.0).filter(|t| *t <= until).min() {
            self.now = self.now.max(due);
            let at = self.timers.iter().position(|t| t.0 == due).expect("just found");
            let (_, token) = self.timers.remove(at);
            all.extend(self.feed(Event::Timer(token)));
        }
        self.now = until;
        self.checker.assert_none_overdue(self.now);
        all
    }
}

/// Sends `count` requests one after another, ends each attempt as `outcome` says, and counts attempts by
/// endpoint.
pub fn run_requests(
    d: &mut Driver,
    count: usize,
    outcome: impl Fn(EndpointId) -> (Outcome, u64),
) -> HashMap<EndpointId, usize> {
    let mut counts: HashMap<EndpointId, usize> = HashMap::new();
    for _ in 0..count {
        let (id, _) = d.request(ms(2000));
        while let Some(to) = d.in_flight.iter().find(|o| o.0 == id).map(|o| o.2) {
            *counts.entry(to).or_default() += 1;
            let (how, elapsed) = outcome(to);
            d.advance(ms(elapsed));
            d.end_attempt(id, how, ms(elapsed));
        }
    }
    counts
}

pub fn sends(actions: &[Action]) -> Vec<EndpointId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        })
        .collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { request } if *request == id))
}

/// Gives `how` after `elapsed` ms at the endpoints for which `bad` is true, and a good answer after 20 ms
/// at the others.
pub fn outcome_where(
    bad: impl Fn(EndpointId) -> bool,
    how: Outcome,
    elapsed: u64,
) -> impl Fn(EndpointId) -> (Outcome, u64) {
    move |to| if bad(to) { (how, elapsed) } else { (Outcome::Ok, 20) }
}

pub fn is_endpoint_1(to: EndpointId) -> bool {
    to.0 == 1
}

/// Number of attempts to the endpoints for which `which` is true.
pub fn sent_to(counts: &HashMap<EndpointId, usize>, which: impl Fn(EndpointId) -> bool) -> usize {
    counts.iter().filter(|(to, _)| which(**to)).map(|(_, n)| n).sum()
}

/// Keeps requests waiting and ends the oldest call after `elapsed` ms, `count` times; returns how many
/// calls are in flight then.
pub fn in_flight_after(d: &mut Driver, count: usize, elapsed: u64) -> usize {
    for _ in 0..count {
        d.send_until_held();
        let id = d.in_flight[0].0;
        d.end_attempt(id, Outcome::Ok, ms(elapsed));
    }
    d.in_flight.len()
}
