//! What one request costs the decision module, from its coming to its last outcome, by size of everything that
//! might make it dearer. `cargo bench -p curlewhub-balance`; figures and their reading are in docs/lab.md.
//!
//! Requests come 10,000 a second and are answered in the order of their sending. Timers come when due, as in the
//! sidecar. Time is the model's own: nothing waits.

use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, Balancer, Class, ClassId, EndpointId, EndpointInfo, Event, Membership,
    Outcome, Request, RequestId, Settings, Tenant, TenantId, TimerToken,
};
use divan::Bencher;
use divan::counter::ItemsCount;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Between two requests.
const GAP: Duration = Duration::from_micros(100);
/// Requests a sample: many times what is at once, so that what piles up is paid for.
const STEPS: u64 = 10_000;
/// An answer takes so long, as far as the module is told.
const ANSWER: Duration = Duration::from_millis(1);

fn main() {
    divan::main();
}

/// The module with what surrounds it in a sidecar.
struct Sidecar {
    balancer: Balancer,
    now: Duration,
    tenants: u64,
    wait: Duration,
    came: u64,
    sent: VecDeque<(RequestId, AttemptNo, EndpointId)>,
    tries: BTreeMap<RequestId, u32>,
    timers: BTreeSet<(Duration, u64)>,
    due: HashMap<u64, Duration>,
    actions: Vec<Action>,
}

impl Sidecar {
    fn new(settings: Settings, endpoints: u64) -> Self {
        let (tenants, wait) = (settings.tenants.len() as u64, settings.classes[0].deadline);
        let balancer = Balancer::new(settings, 7, Duration::ZERO).expect("sound settings");
        let mut sidecar = Sidecar {
            balancer,
            now: Duration::ZERO,
            tenants,
            wait,
            came: 0,
            sent: VecDeque::new(),
            tries: BTreeMap::new(),
            timers: BTreeSet::new(),
            due: HashMap::new(),
            actions: Vec::new(),
        };
        let list = (1..=endpoints).map(EndpointInfo::ready).collect();
        sidecar.handle(Event::Membership(Membership::Full(list)));
        sidecar
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let tries = self.tries.entry(request).or_default();
                    self.sent.push_back((request, AttemptNo(*tries), endpoint));
                    *tries += 1;
                }
                Action::SetTimer { token, after } => {
                    self.timers.insert((self.now + after, token.0));
                    self.due.insert(token.0, self.now + after);
                }
                Action::CancelTimer { token } => {
                    if let Some(at) = self.due.remove(&token.0) {
                        self.timers.remove(&(at, token.0));
                    }
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.tries.remove(&request);
                }
                _ => {}
            }
        }
    }

    fn comes(&mut self) {
        self.came += 1;
        self.now += GAP;
        while let Some(&(at, token)) = self.timers.first()
            && at <= self.now
        {
            self.timers.pop_first();
            self.due.remove(&token);
            self.handle(Event::Timer(TimerToken(token)));
        }
        let Event::Request(request) = Event::request(RequestId(self.came), self.wait) else { return };
        // An odd multiplier, so that tenants come in no order.
        let tenant =
            TenantId(if self.tenants == 0 { 0 } else { (self.came * 7_919 % self.tenants) as usize });
        self.handle(Event::Request(Request { tenant, class: ClassId(0), ..request }));
    }

    fn ends(&mut self, elapsed: Duration) {
        let Some((request, attempt, endpoint)) = self.sent.pop_front() else { return };
        self.tries.remove(&request);
        self.handle(Event::AttemptEnded(AttemptEnded {
            request,
            attempt,
            endpoint,
            outcome: Outcome::Ok,
            elapsed,
            finished: true,
            report: None,
        }));
    }
}

fn play(bencher: Bencher<'_, '_>, at_once: u64, made: impl Fn() -> Sidecar + Sync) {
    let loaded = || {
        let mut sidecar = made();
        // One late answer, or windows go on opening and hold nothing.
        (0..10).for_each(|_| sidecar.comes());
        (0..9).for_each(|_| sidecar.ends(ANSWER));
        sidecar.ends(ANSWER * 1_000);
        (0..at_once).for_each(|_| sidecar.comes());
        sidecar
    };
    bencher.counter(ItemsCount::new(STEPS)).with_inputs(loaded).bench_local_refs(|sidecar| {
        for _ in 0..STEPS {
            sidecar.comes();
            sidecar.ends(ANSWER);
        }
    });
}

#[divan::bench(args = [10, 100, 1_000, 10_000, 100_000], sample_count = 20)]
fn endpoints(bencher: Bencher<'_, '_>, endpoints: u64) {
    play(bencher, 8, || Sidecar::new(Settings::default(), endpoints));
}

#[divan::bench(args = [8, 100, 1_000, 10_000], sample_count = 20)]
fn tenants(bencher: Bencher<'_, '_>, tenants: usize) {
    let tenant = Tenant { allowance_per_s: 10_000.0 / tenants as f64, portion: 1.0 / tenants as f64 };
    play(bencher, 8, || {
        Sidecar::new(Settings { tenants: vec![tenant.clone(); tenants], ..Settings::default() }, 10)
    });
}

#[divan::bench(args = [8, 100, 1_000, 5_000], sample_count = 20)]
fn at_once(bencher: Bencher<'_, '_>, at_once: u64) {
    let hour = Duration::from_secs(3_600);
    // A small part of a large fleet's room, so that nearly all that is at once is held.
    let class = Class { objective: hour, deadline: hour, ..Class::default() };
    let settings = Settings { balancers: 1_000, classes: vec![class], ..Settings::default() };
    play(bencher, at_once, || Sidecar::new(settings.clone(), 10));
}
