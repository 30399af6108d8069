//! Endpoint selection: the eligible set, d samples, the least occupied; and the capacity for further calls.

use super::*;

/// Endpoints sampled for a call: the paper's d; two gives most of the gain.
const SAMPLE_SIZE: usize = 2;
/// Endpoints of a pool examined for one choice, eligible or not: the work must not grow with the fleet.
const MAX_EXAMINED: usize = 16;
/// Slowdown, as a multiple of the baseline latency, that does not count against an endpoint.
const TOLERATED_SLOWDOWN: f64 = 0.5;
/// Occupancy by which an endpoint of another zone must be better: crossing zones costs time and money.
const CROSS_ZONE_MARGIN: f64 = 1.0;
/// Recent answers are required from the first to the second of these after discovery failed: mostly it
/// recovers within the first, and after the second without a refusal the old list is used as it is.
pub(super) const STALE_LIST_AFTER: Duration = Duration::from_secs(2);
const STALE_LIST_UNTIL: Duration = Duration::from_secs(15);
/// Weight of one observation in the share of warm endpoints; some are examined for each choice.
const WARM_SHARE_WEIGHT: f64 = 0.05;
/// Pauses are ignored while at most this share of endpoints is warm and not paused.
const MIN_WARM_SHARE_FOR_PAUSES: f64 = 0.5;
/// If windows at their floor of one call make more calls than this at each endpoint, over all balancers,
/// they count as full.
const MAX_FLOOR_CALLS: f64 = 8.0;

impl Balancer {
    /// Whether own calls in flight leave capacity for one more of this value. While more valuable requests
    /// are refused, a part is reserved for them. A request that reached an inner tier occupies a slot there
    /// already and is not held up.
    fn has_capacity(&self, now: Duration, value: f64, zone_group: usize) -> bool {
        let fraction =
            (value / self.refused_value.value_at(now, REFUSED_DECAY_SECONDS).max(1e-9)).sqrt().min(1.0);
        let ([own, far], in_flight) = (self.windows, self.windows[0].used + self.windows[1].used);
        // Two windows at their floor of one call, of each of many balancers, would still be an overload.
        let above_floor = self.windows[zone_group].size > 1.0
            || in_flight == 0
            || MAX_FLOOR_CALLS * self.call_share() >= 1.0;
        // What may cross may stay in the own zone too, or a crossing would only move load, at a price.
        let lent = if self.pools[3].is_empty() { 0.0 } else { far.size };
        // If the own zone is closed, its window may cross too: otherwise other balancers get twice as much.
        let away = if self.zones.is_open(self.settings.zone) { 0.0 } else { own.size };
        let (used, size) =
            if zone_group > 0 { (far.used, far.size + away) } else { (in_flight, own.size + lent) };
        let fits = f64::from(used) < size * self.share * fraction;
        self.settings.tier > 0 || (fits && above_floor)
    }

    /// Whether a zone group with endpoints has capacity for a request of the highest value.
    pub(super) fn any_capacity(&self, now: Duration) -> bool {
        !self.list_expired(now)
            && (0..2).any(|zone_group| {
                !self.pools[2 + zone_group].is_empty() && self.has_capacity(now, f64::MAX, zone_group)
            })
    }

    pub(super) fn ready_count(&self) -> f64 {
        (self.pools[2].len() + self.pools[3].len()) as f64
    }

    /// This balancer's share of one call at each endpoint.
    pub(super) fn call_share(&self) -> f64 {
        self.ready_count() / f64::from(self.settings.balancers.max(1))
    }

    /// 0 for an endpoint of the own zone, 1 for one of another.
    pub(super) fn zone_group(&self, i: usize) -> usize {
        usize::from(self.endpoints[i].info.zone != self.settings.zone)
    }

    /// Chooses an endpoint: the eligible set, then d samples, then the least occupied, ties at random.
    pub(super) fn choose_endpoint(&mut self, now: Duration, id: RequestId) -> Option<usize> {
        if self.list_expired(now) {
            return None;
        }
        self.common_penalty = self.sample_common_penalty(now);
        let stale = self
            .list_stale_since
            .is_some_and(|at| (at + STALE_LIST_AFTER..at + STALE_LIST_UNTIL).contains(&now));
        // From this balancer's subset, or from all endpoints if too few of the subset can take the call.
        for (pool, recent_answer_required) in
            [(0, stale), (2, stale), (2, false)].into_iter().take(if stale { 3 } else { 2 })
        {
            self.recent_answer_required = recent_answer_required;
            let near = self.sample(now, id, pool);
            // All of the own zone is tried before a crossing, except at the first tier: one call per caller
            // would fill it.
            let all = near.0.is_none() && self.settings.tier > 0;
            let near = if all { self.sample(now, id, 2) } else { near };
            let far = self.sample(now, id, pool + 1);
            if pool == 0 && near.1 + far.1 < SAMPLE_SIZE {
                continue;
            }
            // Own zone first: another zone's best sample must be better by a clear margin.
            match (near.0, far.0) {
                (Some((_, a)), Some((j, b))) if b + CROSS_ZONE_MARGIN < a => return Some(j),
                (Some((i, _)), _) | (None, Some((i, _))) => return Some(i),
                (None, None) => {}
            }
        }
        None
    }

    /// Balancers per zone. Slowdown, which all of them cause, counts this many times compared with own
    /// calls.
    pub(super) fn callers_per_zone(&self) -> f64 {
        (f64::from(self.settings.balancers) / f64::from(self.settings.zones.max(1))).max(1.0)
    }

    /// Draws up to d eligible endpoints of a pool. Returns the least occupied, of equals the first, and
    /// their number.
    fn sample(&mut self, now: Duration, id: RequestId, pool: usize) -> (Option<(usize, f64)>, usize) {
        let (mut best, mut found): (Option<(usize, f64)>, usize) = (None, 0);
        let has_capacity = self.has_capacity(now, self.value(id), pool % 2);
        let size = if has_capacity { self.pools[pool].len() } else { 0 };
        for k in 0..size.min(MAX_EXAMINED) {
            let drawn = k + self.rng.below(size - k);
            self.pools[pool].swap(k, drawn);
            let i = self.pools[pool][k];
            let pending = self.requests.get(&id).filter(|p| self.is_eligible(now, i, p));
            let Some(occupancy) = pending.map(|p| self.occupancy(now, i, p)) else { continue };
            found += 1;
            if best.is_none_or(|(_, least)| occupancy < least) {
                best = Some((i, occupancy));
            }
            if found == SAMPLE_SIZE {
                break;
            }
        }
        (best, found)
    }

    /// The penalty at the lower quartile of all endpoints, or of every nth of them. Also updates the warm
    /// share.
    fn sample_common_penalty(&mut self, now: Duration) -> f64 {
        let step = self.endpoints.len().div_ceil(MAX_EXAMINED).max(1);
        let skipped = self.rng.below(step);
        let examined = (skipped..self.endpoints.len()).step_by(step);
        let ready: Vec<usize> = examined.filter(|&i| self.endpoints[i].is_ready()).collect();
        let usable =
            |&&i: &&usize| self.warm_fraction(now, i) >= 1.0 && now >= self.endpoints[i].paused_until;
        let warm = ready.iter().filter(usable).count();
        self.warm_share += WARM_SHARE_WEIGHT * (warm as f64 / ready.len().max(1) as f64 - self.warm_share);
        let mut penalties: Vec<f64> =
            ready.iter().map(|&i| self.endpoints[i].failure_penalty(now)).collect();
        penalties.sort_by(f64::total_cmp);
        penalties.get(penalties.len() / 4).copied().unwrap_or(0.0)
    }

    /// Own calls in flight plus the penalty for failures beyond the common level.
    fn load(&self, now: Duration, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        f64::from(endpoint.in_flight) + (endpoint.failure_penalty(now) - self.common_penalty).max(0.0)
    }

    /// The load plus what slow answers and an earlier attempt at this endpoint count for.
    fn occupancy(&self, now: Duration, i: usize, pending: &Pending) -> f64 {
        let endpoint = &self.endpoints[i];
        let slowdown =
            (endpoint.slowdown.value_at(now, SLOWDOWN_DECAY_SECONDS) - TOLERATED_SLOWDOWN).max(0.0);
        let tried = pending.attempts.iter().any(|a| a.endpoint == endpoint.info.id);
        self.load(now, i) + slowdown * self.callers_per_zone() + if tried { MAX_PENALTY } else { 0.0 }
    }

    /// Hard limits: the list, the cold budget, zones, pauses, and rule 2 for a keyed request that may have
    /// run.
    fn is_eligible(&self, now: Duration, i: usize, pending: &Pending) -> bool {
        let endpoint = &self.endpoints[i];
        let overspent = self.warm_fraction(now, i) < 1.0 && self.cold_tokens(now, i) < 1.0;
        // Without a recent answer it may have been draining for longer than a notice may take.
        let may_be_draining = self.recent_answer_required
            && endpoint.last_answer_at.is_none_or(|at| now > at + RECENT_ANSWER);
        let closed = !self.zones.admits(now, endpoint.info.zone, pending.arrived);
        let excluded = closed
            || overspent
            || may_be_draining
            || (now < endpoint.paused_until && self.warm_share > MIN_WARM_SHARE_FOR_PAUSES);
        if excluded || !endpoint.is_ready() || self.load(now, i) + 1.0 > self.capacity(now, i) {
            return false;
        }
        let (semantics, info) = (self.settings.classes[pending.class].semantics, &endpoint.info);
        pending
            .may_have_run()
            .all(|ran| semantics.may_retry_at((ran.zone, ran.cell), (info.zone, info.cell)))
    }

    /// Own calls that an endpoint may hold now.
    pub(super) fn capacity(&self, now: Duration, i: usize) -> f64 {
        (self.endpoints[i].limit * self.share * self.warm_fraction(now, i)).max(1.0)
    }
}
