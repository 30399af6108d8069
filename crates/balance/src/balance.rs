//! The decisions of the balancer. Its interface (settings, events, actions) is in `types.rs`.
//!
//! The normal path is SQ(d): of d random ready endpoints, the one with the fewest own calls in flight is
//! chosen, with ties broken at random. Every exception narrows the eligible set or adds to an endpoint's
//! occupancy; no other code chooses.

mod answers;
mod attempts;
mod bodies;
mod choice;
mod facts;
mod learning;
mod members;
mod share;
mod slow_start;
mod snapshot;

pub use facts::ShareTransfer;
pub use members::{RefusalCause, refusal_retry_delay};
pub use snapshot::{EndpointSnapshot, MAX_SNAPSHOT_AGE, Snapshot};

use crate::held::{Cursor, RequestQueue, ValueKey};
use crate::stats::{BASELINE_SAMPLES, DecayingValue, LatencyStats, MIN_LATENCY_SAMPLES, SeededRng};
use crate::types::*;
use crate::uses::TenantUsage;
use crate::zones::ZoneLimits;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// A failure counts as this many calls in flight; otherwise quick errors would win every sample.
const FAILURE_PENALTY: f64 = 1.0;
/// Maximum penalty of an endpoint, so that it recovers within some seconds.
const MAX_PENALTY: f64 = 12.0;
/// A smaller penalty counts as none: a trace would lose every tie and exclude an idle endpoint for good.
const MIN_PENALTY: f64 = 0.5;
/// Seconds in which a penalty decays to a third: long enough for consecutive failures to add up.
const PENALTY_DECAY_SECONDS: f64 = 4.0;
/// Seconds in which a slowdown decays to a third, so that a slow endpoint is tried again.
const SLOWDOWN_DECAY_SECONDS: f64 = 6.0;
/// An answer this recent rules out an overdue drain: drains count as notified after six seconds.
const RECENT_ANSWER: Duration = Duration::from_secs(5);
/// Retry tokens that can be saved, for a fault that hits many calls at once.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Seconds over which rates are averaged.
const RATE_DECAY_SECONDS: f64 = 5.0;
/// Above this share of late answers, missing answers are attributed to overload.
const OVERLOAD_LATE_SHARE: f64 = 0.3;
/// Initial limit of own calls in flight at an endpoint, with few balancers: the paper's C before
/// measurement.
const INITIAL_LIMIT: f64 = 3.0;
/// An answer is also late beyond this multiple of its class's baseline latency; work times vary.
const LATE_BASELINE_MULTIPLE: f64 = 2.5;
/// Balancers that share each endpoint: few connections, enough calls to learn from, and balanced loads.
const CALLERS_PER_ENDPOINT: f64 = 4.0;
/// Seconds in which the value of a refused request decays to a third.
const REFUSED_DECAY_SECONDS: f64 = 2.0;

/// Faults of this machine either pass within moments or last. After a request's first such fault another
/// endpoint, which may have an open connection, is tried at once. After each further one the request waits
/// this long, so that it neither uses up its attempts at once nor keeps the processor busy.
const LOCAL_FAULT_WAIT: Duration = Duration::from_millis(100);

/// Whether an attempt ran, as far as is known.
#[derive(Clone, Copy, PartialEq)]
enum Run {
    InFlight,
    Never,
    Possible,
}

#[derive(Clone, Copy)]
struct Attempt {
    endpoint: EndpointId,
    cell: CellId,
    zone: ZoneId,
    sent: Duration,
    /// How long its connection had been idle; zero for a new one.
    idle: Duration,
    run: Run,
    /// When bytes of its answer last arrived; none before the first.
    answer_progress: Option<Duration>,
}

/// A request until it is finished and all its attempts have ended.
struct Pending {
    class: usize,
    arrived: Duration,
    /// Until when an answer has value.
    deadline: Duration,
    /// When its client gives up.
    client_deadline: Duration,
    /// Fraction of its class's value: reduced over its tenant's share and for a client's retry.
    value_fraction: f64,
    attempts: Vec<Attempt>,
    /// Timers set for it, which are cancelled when it finishes.
    timers: Vec<TimerToken>,
    /// An attempt of the same job that may have run before the request came here.
    earlier_attempt: Option<EarlierAttempt>,
    /// It is not known in which group of endpoints it may have run.
    group_unknown: bool,
    finished: bool,
    streaming: bool,
    /// Its body is still being received.
    upload: bool,
    /// Its client's time has started: its last byte has arrived.
    time_started: bool,
    /// Part of its body is no longer kept: it can't be sent again.
    body_not_replayable: bool,
    /// After faults of this machine: no attempt starts before this time.
    not_before: Option<Duration>,
}

struct Endpoint {
    info: EndpointInfo,
    /// Since when it counts as started, on this process's monotonic clock; none means long ago.
    cold_since: Option<Duration>,
    /// Taken out of use by an operator.
    banned: bool,
    /// Out of use until discovery names it again.
    unconfirmed: bool,
    /// When its ban was lifted: it may have restarted meanwhile, whatever the list says so far.
    reinstated_at: Option<Duration>,
    in_flight: u32,
    /// Recent failures, expressed as calls in flight.
    failure_penalty: DecayingValue,
    /// Its latency beyond the class's baseline, as a multiple of it: the effect of other balancers' calls.
    slowdown: DecayingValue,
    /// Own calls it may hold: the paper's C, learned from late and timely answers.
    limit: f64,
    ramping_up: bool,
    limit_cut_at: Duration,
    /// Not used until then, because it answered late although at most one own call was allowed.
    paused_until: Duration,
    /// When it last answered and so left a connection idle.
    last_answer_at: Option<Duration>,
    /// Calls that the cold budget still allows, as of `cold_tokens_at`.
    cold_tokens: f64,
    cold_tokens_at: Duration,
}

/// Own attempts in flight and their limit, which keeps many balancers from adding up to an overload.
#[derive(Clone, Copy)]
struct Window {
    size: f64,
    used: u32,
    ramping_up: bool,
}

enum Timer {
    Deadline(RequestId),
    Overdue(RequestId, AttemptNo),
    AnswerPause(RequestId, AttemptNo),
    QueryDiscovery,
    Recheck,
}

/// Makes the decisions of one balancer.
pub struct Balancer {
    settings: Settings,
    created_at: Duration,
    rng: SeededRng,
    endpoints: Vec<Endpoint>,
    index: HashMap<EndpointId, usize>,
    /// Endpoints taken out of use by an operator, listed or not.
    banned: HashSet<EndpointId>,
    /// Ready endpoints: a subset of the own zone and of the others, then all of the own zone and of the
    /// others.
    pools: [Vec<usize>; 4],
    requests: HashMap<RequestId, Pending>,
    queue: RequestQueue,
    zones: ZoneLimits,
    /// A penalty that three quarters of the endpoints reach. If half sufficed, a lost zone would count.
    common_penalty: f64,
    /// For the own zone and for all others together: a crowded zone must not block the others.
    windows: [Window; 2],
    /// Share of windows, limits, cold budget and retry tokens: less than one beside another process.
    share: f64,
    recheck_scheduled: bool,
    /// The highest value of a request that was recently refused without having been sent.
    refused_value: DecayingValue,
    timers: HashMap<u64, Timer>,
    next_timer: u64,
    latency: Vec<LatencyStats>,
    retry_tokens: f64,
    /// Request rates by tenant.
    tenants: TenantUsage,
    arrival_rate: DecayingValue,
    /// The recent share of ready endpoints that are warm and not paused.
    warm_share: f64,
    /// Rate of requests served by warm endpoints.
    warm_served_rate: DecayingValue,
    /// The highest recent rate of one warm endpoint for this balancer, per second.
    peak_warm_rate: DecayingValue,
    /// Recent attempts without an answer, less what answers refute.
    missing_answers: DecayingValue,
    late_share: f64,
    /// Evidence that answers go missing on connections that were idle, and from which idle time on.
    stale_evidence: f64,
    idle_drop_after: Duration,
    discovery_failures: u32,
    discovery_refusals: u32,
    discovery_queried_at: Duration,
    /// Since when discovery has failed.
    list_stale_since: Option<Duration>,
    /// When the list expires: nothing new may be started by it from then on.
    list_expires_at: Option<Duration>,
    /// Only endpoints that answered recently are chosen: others may be draining without notice.
    recent_answer_required: bool,
    list_received: bool,
    /// A list with endpoints was received: starts that become known from now on are new.
    nonempty_list_received: bool,
}

impl Balancer {
    /// Creates a balancer that knows no endpoints. Equal settings, seeds and events yield equal actions.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        settings.validate()?;
        let classes = settings.classes.len();
        let allowances = settings.tenants.iter().map(|tenant| tenant.allowance_per_s);
        let tenants = TenantUsage::new(allowances, RATE_DECAY_SECONDS, now);
        Ok(Balancer {
            settings,
            created_at: now,
            rng: SeededRng::new(seed),
            endpoints: Vec::new(),
            index: HashMap::new(),
            banned: HashSet::new(),
            pools: Default::default(),
            requests: HashMap::new(),
            queue: RequestQueue::default(),
            zones: ZoneLimits::default(),
            common_penalty: 0.0,
            windows: [Window { size: 1.0, used: 0, ramping_up: true }; 2],
            share: 1.0,
            recheck_scheduled: false,
            refused_value: DecayingValue::default(),
            timers: HashMap::new(),
            next_timer: 0,
            latency: vec![LatencyStats::default(); classes],
            retry_tokens: MAX_RETRY_TOKENS,
            tenants,
            arrival_rate: DecayingValue::default(),
            warm_share: 1.0,
            warm_served_rate: DecayingValue::default(),
            peak_warm_rate: DecayingValue::default(),
            missing_answers: DecayingValue::default(),
            late_share: 0.0,
            stale_evidence: 0.0,
            idle_drop_after: Duration::MAX,
            discovery_failures: 0,
            discovery_refusals: 0,
            discovery_queried_at: now,
            list_stale_since: None,
            list_expires_at: None,
            recent_answer_required: false,
            list_received: false,
            nonempty_list_received: false,
        })
    }

    /// Handles one event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Membership(update) => self.on_membership(now, update, out),
            Event::RestrictEndpoints(ids) => self.on_restriction(now, &ids, out),
            Event::ListLease { expires } => self.on_list_lease(now, expires, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::StreamStarted { request, .. } => {
                self.requests.get_mut(&request).into_iter().for_each(|p| p.streaming = true)
            }
            Event::EarlierAttempt { request, earlier } => {
                let pending = self.requests.get_mut(&request);
                pending.into_iter().for_each(|p| p.record_earlier(earlier));
            }
            Event::GroupUnknown(id) => {
                self.requests.get_mut(&id).into_iter().for_each(|p| p.group_unknown = true)
            }
            Event::BodyNotReplayable(id) => {
                self.requests.get_mut(&id).into_iter().for_each(|p| p.body_not_replayable = true)
            }
            Event::BodyArrived { request, time_left } => self.on_body_arrived(now, request, time_left, out),
            Event::BodyComplete { request, time_left } => {
                self.on_body_complete(now, request, time_left, out)
            }
            Event::AnswerProgress { request, attempt } => {
                self.on_answer_progress(now, request, attempt, out)
            }
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, ended, out),
            Event::RequestAbandoned(id) => self.finish(id, out),
            Event::Timer(token) => match self.timers.remove(&token.0) {
                Some(Timer::Deadline(id)) => self.on_deadline(now, id, out),
                Some(Timer::Overdue(id, attempt)) => self.on_overdue(now, id, attempt, out),
                Some(Timer::AnswerPause(id, attempt)) => self.on_answer_pause(now, id, attempt, out),
                Some(Timer::QueryDiscovery) => {
                    self.discovery_queried_at = now;
                    out.push(Action::Watch(true));
                }
                Some(Timer::Recheck) => {
                    self.recheck_scheduled = false;
                    self.shed_late(now, out);
                    self.dispatch_queued(now, out);
                }
                None => {}
            },
            Event::Zones(admissions) => self.on_zone_admissions(now, admissions, out),
            Event::Ban { endpoint, banned } => self.on_ban(now, endpoint, banned, out),
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn set_timer(&mut self, after: Duration, timer: Timer, out: &mut Vec<Action>) {
        self.next_timer += 1;
        let token = TimerToken(self.next_timer);
        if let Timer::Deadline(id) | Timer::Overdue(id, _) | Timer::AnswerPause(id, _) = timer
            && let Some(pending) = self.requests.get_mut(&id)
        {
            pending.timers.push(token);
        }
        self.timers.insert(self.next_timer, timer);
        out.push(Action::SetTimer { token, after });
    }
}

impl Endpoint {
    fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready && !self.banned && !self.unconfirmed
    }

    fn add_penalty(&mut self, now: Duration, penalty: f64) {
        self.failure_penalty.set(now, (self.failure_penalty(now) + penalty).min(MAX_PENALTY));
    }

    fn failure_penalty(&self, now: Duration) -> f64 {
        let penalty = self.failure_penalty.value_at(now, PENALTY_DECAY_SECONDS);
        if penalty < MIN_PENALTY { 0.0 } else { penalty }
    }
}
