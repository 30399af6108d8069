//! The endpoint list: listed and banned endpoints, and the subset of them that this balancer uses.

use super::choice::STALE_LIST_AFTER;
use super::*;

/// Calls of all balancers at each endpoint before any measurement; own windows start with a share of them.
const INITIAL_WINDOW: f64 = 4.0;
/// Fewest endpoints of a zone that a caller uses, so that d samples still find a choice among failing ones.
const MIN_SUBSET: f64 = 4.0;
/// Distance from one balancer's start on the ring to the next one's: the golden ratio spaces any run of
/// them evenly.
const SUBSET_START_STEP: f64 = 0.618_033_988_75;
/// First wait before discovery is queried again, in seconds from the last query, and how often it doubles
/// at most: with a call after it, a drain has to be known 6 s after it could be. The minimum lets callers
/// spread.
const DISCOVERY_BACKOFF: f64 = 0.5;
const MAX_BACKOFF_DOUBLINGS: u32 = 1;
const MIN_DISCOVERY_WAIT: f64 = 0.15;
/// Shortest and longest wait after a refused call, in seconds from the call's start: with a call after it,
/// a drain is known in time after a short outage.
const FIRST_REFUSAL_WAIT: (f64, f64) = (3.6, 4.8);
/// The number of consecutive refusals with this wait.
const FIRST_REFUSALS: u32 = 2;
/// The same after further refusals. A queue that callers keep full fails all calls that it accepts, so the
/// fleet calls less often than it can be served.
const REFUSAL_WAIT: (f64, f64) = (3.6, 9.0);
/// After this many consecutive refusals, each further one multiplies the wait by the factor below, up to
/// the maximum.
const REFUSALS_WITHOUT_GROWTH: u32 = 4;
/// The same where refusals are known to be due to too many callers.
const OVERLOAD_WITHOUT_GROWTH: u32 = FIRST_REFUSALS - 1;
const REFUSAL_WAIT_GROWTH: f64 = 1.5;
const OVERLOAD_WAIT_GROWTH: f64 = 2.0;
const MAX_WAIT_GROWTH: f64 = 4.0;
/// The first query is spread over an eighth of the query period, or of this if it is shorter, which leaves
/// time for the call itself.
const MAX_FIRST_QUERY_PERIOD: Duration = Duration::from_secs(12);

/// Why discovery refuses calls, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// Discovery may be down, or have too many callers.
    Unknown,
    /// Discovery is running, and has too many callers.
    TooManyCallers,
}

/// The wait after a call that discovery refused after `took`, with `refusals_before` consecutive refusals
/// before it. `draw` is a random number from 0 to 1.
pub fn refusal_retry_delay(
    refusals_before: u32,
    cause: RefusalCause,
    took: Duration,
    draw: f64,
) -> Duration {
    let (without_growth, growth) = match cause {
        RefusalCause::Unknown => (REFUSALS_WITHOUT_GROWTH, REFUSAL_WAIT_GROWTH),
        RefusalCause::TooManyCallers => (OVERLOAD_WITHOUT_GROWTH, OVERLOAD_WAIT_GROWTH),
    };
    let (shortest, longest) =
        if refusals_before < FIRST_REFUSALS { FIRST_REFUSAL_WAIT } else { REFUSAL_WAIT };
    let growth_steps = refusals_before.saturating_sub(without_growth).min(64);
    let factor = growth.powi(growth_steps as i32).min(MAX_WAIT_GROWTH);
    let from_start = factor * (shortest + (longest - shortest) * draw);
    let wait = from_start - took.as_secs_f64();
    Duration::from_secs_f64(wait.max(MIN_DISCOVERY_WAIT * draw))
}

impl Balancer {
    pub(super) fn on_membership(&mut self, now: Duration, update: Membership, out: &mut Vec<Action>) {
        let ask = self.settings.discovery == Discovery::Ask;
        let refused = update == Membership::Refused;
        let earliest = if refused { now.saturating_sub(STALE_LIST_AFTER) } else { Duration::ZERO };
        let failed = refused || update == Membership::Failed;
        self.list_stale_since = failed.then(|| self.list_stale_since.unwrap_or(now).max(earliest));
        match update {
            Membership::Failed | Membership::Refused => {
                if ask {
                    let doubled = DISCOVERY_BACKOFF
                        * f64::from(1u32 << self.discovery_failures.min(MAX_BACKOFF_DOUBLINGS));
                    let (draw, took) = (self.rng.uniform(), now.saturating_sub(self.discovery_queried_at));
                    let wait = (doubled * (0.5 + draw) - took.as_secs_f64()).max(MIN_DISCOVERY_WAIT * draw);
                    let wait = match refused {
                        true => {
                            refusal_retry_delay(self.discovery_refusals, RefusalCause::Unknown, took, draw)
                        }
                        false => Duration::from_secs_f64(wait),
                    };
                    self.discovery_failures = self.discovery_failures.saturating_add(1);
                    self.discovery_refusals = self.discovery_refusals.saturating_add(u32::from(refused));
                    self.set_timer(wait, Timer::QueryDiscovery, out);
                }
                return;
            }
            Membership::Delta(entries) => self.update_endpoints(now, entries),
            Membership::Full(entries) | Membership::Cached(entries) => {
                for endpoint in &mut self.endpoints {
                    endpoint.info.state = EndpointState::Gone;
                }
                self.update_endpoints(now, entries);
            }
        }
        if ask && !self.list_received {
            let wait = self
                .settings
                .rules
                .ask_within
                .min(MAX_FIRST_QUERY_PERIOD)
                .mul_f64(self.rng.uniform() / 8.0);
            self.set_timer(wait, Timer::QueryDiscovery, out);
        } else {
            (self.discovery_failures, self.discovery_refusals) = (0, 0);
        }
        if !std::mem::replace(&mut self.list_received, true) {
            let size = (INITIAL_WINDOW * self.call_share()).max(1.0);
            self.windows.iter_mut().for_each(|window| window.size = size);
        }
        self.dispatch_queued(now, out);
    }

    /// Limits the use of the list in time. Queued requests are sent once it may be used again.
    pub(super) fn on_list_lease(
        &mut self,
        now: Duration,
        expires: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.list_expires_at = expires;
        self.dispatch_queued(now, out);
    }

    /// Whether a change that has not arrived here may count as notified, so that any endpoint may be
    /// leaving.
    pub(super) fn list_expired(&self, now: Duration) -> bool {
        self.list_expires_at.is_some_and(|at| now >= at)
    }

    /// Takes all endpoints except these out of use until they are named again.
    pub(super) fn on_restriction(&mut self, now: Duration, ids: &[EndpointId], out: &mut Vec<Action>) {
        let named: HashSet<&EndpointId> = ids.iter().collect();
        for endpoint in &mut self.endpoints {
            endpoint.unconfirmed = !named.contains(&endpoint.info.id);
        }
        self.choose_subset(now);
        self.dispatch_queued(now, out);
    }

    fn update_endpoints(&mut self, now: Duration, entries: Vec<EndpointInfo>) {
        let limit = (INITIAL_LIMIT * self.caller_fraction()).max(1.0);
        let nonempty = !entries.is_empty();
        for info in entries {
            match self.index.get(&info.id) {
                // The stated start time of a removed endpoint belongs to no process.
                Some(&i) if info.state == EndpointState::Gone => {
                    self.endpoints[i].info.state = EndpointState::Gone;
                }
                Some(&i) => {
                    if info.started != self.endpoints[i].info.started {
                        let cold_since = Some(now); // the change was observed: new, whatever is stated
                        let endpoint = &mut self.endpoints[i];
                        (endpoint.slowdown.value, endpoint.failure_penalty.value, endpoint.paused_until) =
                            (0.0, 0.0, Duration::ZERO);
                        (endpoint.cold_since, endpoint.cold_tokens, endpoint.cold_tokens_at) =
                            (cold_since, self.rng.uniform(), now);
                    }
                    self.endpoints[i].info = info;
                    self.endpoints[i].unconfirmed = false;
                }
                None if info.state == EndpointState::Gone => {}
                None => {
                    let cold_since = self.cold_since(now, info.started);
                    self.index.insert(info.id, self.endpoints.len());
                    self.endpoints.push(Endpoint {
                        banned: self.banned.contains(&info.id),
                        unconfirmed: false,
                        ramping_up: cold_since.is_none(),
                        info,
                        cold_since,
                        reinstated_at: None,
                        in_flight: 0,
                        failure_penalty: DecayingValue::default(),
                        slowdown: DecayingValue::default(),
                        limit,
                        limit_cut_at: now,
                        paused_until: Duration::ZERO,
                        last_answer_at: None,
                        cold_tokens: self.rng.uniform(),
                        cold_tokens_at: now,
                    });
                }
            }
        }
        self.nonempty_list_received |= nonempty;
        self.endpoints.retain(|e| e.info.state != EndpointState::Gone || e.in_flight > 0);
        self.index = self.endpoints.iter().enumerate().map(|(i, e)| (e.info.id, i)).collect();
        self.choose_subset(now);
    }

    /// Bans an endpoint, or lifts its ban: it is then cold, and earlier failures are forgotten.
    pub(super) fn on_ban(&mut self, now: Duration, id: EndpointId, banned: bool, out: &mut Vec<Action>) {
        let changed = if banned { self.banned.insert(id) } else { self.banned.remove(&id) };
        if let Some(&i) = self.index.get(&id).filter(|_| changed) {
            let endpoint = &mut self.endpoints[i];
            endpoint.banned = banned;
            if !banned {
                (endpoint.slowdown.value, endpoint.failure_penalty.value, endpoint.limit) =
                    (0.0, 0.0, INITIAL_LIMIT);
                (endpoint.reinstated_at, endpoint.paused_until) = (Some(now), Duration::ZERO);
                let tokens = (self.caller_fraction() + self.rng.uniform()).min(1.0);
                (self.endpoints[i].cold_tokens, self.endpoints[i].cold_tokens_at) = (tokens, now);
            }
            self.choose_subset(now);
            self.dispatch_queued(now, out);
        }
    }

    /// Sets what may be sent to each zone. Attempts in flight to a zone that has become unreachable are
    /// cancelled, and their requests go on as their class permits.
    pub(super) fn on_zone_admissions(
        &mut self,
        now: Duration,
        admissions: ZoneAdmissions,
        out: &mut Vec<Action>,
    ) {
        let unreachable = self.zones.set(now, admissions, self.rng.uniform());
        self.choose_subset(now);
        let lost = |a: &Attempt| a.run == Run::InFlight && unreachable.contains(&a.zone);
        let mut cancelled: Vec<(RequestId, AttemptNo)> = Vec::new();
        let cancelling = self.settings.limits.cancelling;
        for (&id, pending) in self.requests.iter().filter(|(_, p)| !p.settled() && cancelling) {
            let attempts = pending.attempts.iter().enumerate().filter(|(_, a)| lost(a));
            cancelled.extend(attempts.map(|(n, _)| (id, AttemptNo(n as u32))));
        }
        cancelled.sort_unstable();
        out.extend(cancelled.into_iter().map(|(request, attempt)| Action::Cancel { request, attempt }));
        self.dispatch_queued(now, out);
    }

    /// This balancer's part of what a few could do at an endpoint: many learn too late that it is full.
    pub(super) fn caller_fraction(&self) -> f64 {
        (CALLERS_PER_ENDPOINT / f64::from(self.settings.balancers)).min(1.0)
    }

    /// Chooses the endpoints that this balancer uses. All balancers see a zone's endpoints on the same ring
    /// and start at positions spaced by the golden ratio, so that subsets cover it evenly. The own zone is
    /// divided among its own callers only: the part that others may use is soon full.
    pub(super) fn choose_subset(&mut self, now: Duration) {
        let usable = |e: &Endpoint| e.is_ready() && self.zones.is_open(e.info.zone);
        let ready = self.endpoints.iter().enumerate().filter(|(_, e)| usable(e));
        let mut ring: Vec<_> = ready.map(|(i, e)| (e.info.zone, e.info.id, i)).collect();
        ring.sort();
        self.pools = Default::default();
        for zone in ring.chunk_by(|a, b| a.0 == b.0) {
            let (size, zone_group) = (zone.len() as f64, self.zone_group(zone[0].2));
            let start = (size * (f64::from(self.settings.me) * SUBSET_START_STEP).fract()) as usize;
            let callers =
                if zone_group == 0 { self.callers_per_zone() } else { f64::from(self.settings.balancers) };
            // Cold endpoints are added on top: during a rollout, a subset of cold ones alone would be
            // crowded.
            let mut wanted = (size * CALLERS_PER_ENDPOINT / callers).max(MIN_SUBSET);
            for place in start..start + zone.len() {
                let i = zone[place % zone.len()].2;
                self.pools[2 + zone_group].push(i);
                if wanted > 0.0 {
                    self.pools[zone_group].push(i);
                }
                wanted -= f64::from(u8::from(self.warm_fraction(now, i) >= 1.0));
            }
        }
        self.pools.iter_mut().for_each(|pool| pool.sort_unstable());
    }
}
