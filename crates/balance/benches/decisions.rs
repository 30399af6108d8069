//! Measures the cost of one request in the balancer, from its arrival to its last outcome, by the number of
//! endpoints, tenants and open requests. Run it by `cargo bench -p curlewhub-balance`; the results and
//! their interpretation are in docs/lab.md.
//!
//! Requests arrive at 10,000 per second and are answered in the order in which they were sent. Timers fire
//! when due, as in the sidecar. Time is simulated: nothing waits.

use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, Balancer, Class, ClassId, EndpointId, EndpointInfo, Event, Membership,
    Outcome, Request, RequestId, Settings, Tenant, TenantId, TimerToken,
};
use divan::Bencher;
use divan::counter::ItemsCount;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(100);
/// Requests per sample: many times as many as are open at once, so that the cost of anything that
/// accumulates is included.
const REQUESTS_PER_SAMPLE: u64 = 10_000;
/// The latency of an answer, as reported to the balancer.
const LATENCY: Duration = Duration::from_millis(1);

fn main() {
    divan::main();
}

/// A balancer with the parts of a sidecar around it.
struct Sidecar {
    balancer: Balancer,
    now: Duration,
    tenants: u64,
    deadline: Duration,
    request_count: u64,
    sent: VecDeque<(RequestId, AttemptNo, EndpointId)>,
    attempts: BTreeMap<RequestId, u32>,
    timers: BTreeSet<(Duration, u64)>,
    due: HashMap<u64, Duration>,
    actions: Vec<Action>,
}

impl Sidecar {
    fn new(settings: Settings, endpoints: u64) -> Self {
        let (tenants, deadline) = (settings.tenants.len() as u64, settings.classes[0].deadline);
        let balancer = Balancer::new(settings, 7, Duration::ZERO).expect("valid settings");
        let mut sidecar = Sidecar {
            balancer,
            now: Duration::ZERO,
            tenants,
            deadline,
            request_count: 0,
            sent: VecDeque::new(),
            attempts: BTreeMap::new(),
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
                    let attempts = self.attempts.entry(request).or_default();
                    self.sent.push_back((request, AttemptNo(*attempts), endpoint));
                    *attempts += 1;
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
                    self.attempts.remove(&request);
                }
                _ => {}
            }
        }
    }

    fn send_request(&mut self) {
        self.request_count += 1;
        self.now += REQUEST_INTERVAL;
        while let Some(&(at, token)) = self.timers.first()
            && at <= self.now
        {
            self.timers.pop_first();
            self.due.remove(&token);
            self.handle(Event::Timer(TimerToken(token)));
        }
        let Event::Request(request) = Event::request(RequestId(self.request_count), self.deadline) else {
            return;
        };
        // An odd multiplier, so that tenants come in no particular order.
        let tenant = TenantId(if self.tenants == 0 {
            0
        } else {
            (self.request_count * 7_919 % self.tenants) as usize
        });
        self.handle(Event::Request(Request { tenant, class: ClassId(0), ..request }));
    }

    fn answer_request(&mut self, elapsed: Duration) {
        let Some((request, attempt, endpoint)) = self.sent.pop_front() else { return };
        self.attempts.remove(&request);
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

fn bench_requests(bencher: Bencher<'_, '_>, open_requests: u64, new_sidecar: impl Fn() -> Sidecar + Sync) {
    let loaded = || {
        let mut sidecar = new_sidecar();
        // One late answer; otherwise the windows keep growing and no request is queued.
        (0..10).for_each(|_| sidecar.send_request());
        (0..9).for_each(|_| sidecar.answer_request(LATENCY));
        sidecar.answer_request(LATENCY * 1_000);
        (0..open_requests).for_each(|_| sidecar.send_request());
        sidecar
    };
    bencher.counter(ItemsCount::new(REQUESTS_PER_SAMPLE)).with_inputs(loaded).bench_local_refs(|sidecar| {
        for _ in 0..REQUESTS_PER_SAMPLE {
            sidecar.send_request();
            sidecar.answer_request(LATENCY);
        }
    });
}

#[divan::bench(args = [10, 100, 1_000, 10_000, 100_000], sample_count = 20)]
fn endpoints(bencher: Bencher<'_, '_>, endpoints: u64) {
    bench_requests(bencher, 8, || Sidecar::new(Settings::default(), endpoints));
}

#[divan::bench(args = [8, 100, 1_000, 10_000], sample_count = 20)]
fn tenants(bencher: Bencher<'_, '_>, tenants: usize) {
    let tenant = Tenant { allowance_per_s: 10_000.0 / tenants as f64, portion: 1.0 / tenants as f64 };
    bench_requests(bencher, 8, || {
        Sidecar::new(Settings { tenants: vec![tenant.clone(); tenants], ..Settings::default() }, 10)
    });
}

#[divan::bench(args = [8, 100, 1_000, 5_000], sample_count = 20)]
fn at_once(bencher: Bencher<'_, '_>, at_once: u64) {
    let hour = Duration::from_secs(3_600);
    // A small part of a large fleet's capacity, so that nearly all open requests are queued.
    let class = Class { objective: hour, deadline: hour, ..Class::default() };
    let settings = Settings { balancers: 1_000, classes: vec![class], ..Settings::default() };
    bench_requests(bencher, at_once, || Sidecar::new(settings.clone(), 10));
}
