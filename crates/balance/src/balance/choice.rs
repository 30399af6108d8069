//! The choice: the eligible set, d samples, the least occupied; and how much room there is.

use super::*;

/// Endpoints sampled for a call: the paper's d; two gives most of the gain.
const CHOICES: usize = 2;
/// Endpoints of a pool looked at for one choice, open or not: work a request must not grow with the fleet.
const DRAWS: usize = 16;
/// An endpoint's answers may take longer than the unhurried mean by this multiple of it before that counts.
const DRAG_FREE: f64 = 0.5;
/// Occupancy by which an endpoint of another zone must be better: a crossing costs time and money.
const CROSS_MARGIN: f64 = 1.0;
/// Discovery is mostly heard again within the first; after the second without a refusal the old list serves.
pub(super) const BLIND_AFTER: Duration = Duration::from_secs(2);
const BLIND_MOST: Duration = Duration::from_secs(15);
/// Weight of one look in the share of endpoints that are warm: some are looked at for each choice.
const WARM_WEIGHT: f64 = 0.05;
/// Nobody is let be while no larger share than this is warm and not let be.
const REST_MOST: f64 = 0.5;
/// Calls of all balancers at each endpoint beyond which floors of one call are too many.
const FLOOR_CALLS: f64 = 8.0;

impl Balancer {
    /// Own calls in flight leave room for one more of such value: while worthier ones are refused, a part is
    /// theirs alone. What got as far as an inner tier holds a slot there, and is not held up.
    fn has_room(&self, now: Duration, value: f64, side: usize) -> bool {
        let part = (value / self.missed.read(now, MISSED_SECONDS).max(1e-9)).sqrt().min(1.0);
        let ([own, far], out) = (self.windows, self.windows[0].out + self.windows[1].out);
        // At its floor of one call: two such windows of each of many balancers would still be a jam.
        let spared = self.windows[side].size > 1.0 || out == 0 || FLOOR_CALLS * self.part() >= 1.0;
        // What may cross may stay at home as well: else a crossing would only move load, at a price.
        let lent = if self.pools[3].is_empty() { 0.0 } else { far.size };
        // Where the own zone is closed, what was for home may cross: else others would get twice as much.
        let away = if self.zones.is_open(self.settings.zone) { 0.0 } else { own.size };
        let (used, size) = if side > 0 { (far.out, far.size + away) } else { (out, own.size + lent) };
        let fits = f64::from(used) < size * self.share * part;
        self.settings.tier > 0 || (fits && spared)
    }

    /// Some zone with endpoints has room for the worthiest.
    pub(super) fn any_room(&self, now: Duration) -> bool {
        !self.list_lapsed(now)
            && (0..2).any(|side| !self.pools[2 + side].is_empty() && self.has_room(now, f64::MAX, side))
    }

    pub(super) fn ready(&self) -> f64 {
        (self.pools[2].len() + self.pools[3].len()) as f64
    }

    /// This balancer's part of one call at each endpoint.
    pub(super) fn part(&self) -> f64 {
        self.ready() / f64::from(self.settings.balancers.max(1))
    }

    /// 0 for an endpoint of the own zone, 1 for one of another.
    pub(super) fn side(&self, i: usize) -> usize {
        usize::from(self.endpoints[i].info.zone != self.settings.zone)
    }

    /// The eligible set, then d samples, then the least occupied, ties at random.
    pub(super) fn pick(&mut self, now: Duration, id: RequestId) -> Option<usize> {
        if self.list_lapsed(now) {
            return None;
        }
        self.common_heat = self.shared_heat(now);
        let old = self.list_old.is_some_and(|at| (at + BLIND_AFTER..at + BLIND_MOST).contains(&now));
        // Of this balancer's part, or of all where too few of it can take the call.
        for (pool, blind) in [(0, old), (2, old), (2, false)].into_iter().take(if old { 3 } else { 2 }) {
            self.blind = blind;
            let near = self.sample(now, id, pool);
            // All of it goes before a crossing, but at the front, where a call of each caller would fill it.
            let all = near.0.is_none() && self.settings.tier > 0;
            let near = if all { self.sample(now, id, 2) } else { near };
            let far = self.sample(now, id, pool + 1);
            if pool == 0 && near.1 + far.1 < CHOICES {
                continue;
            }
            // Own zone first: another one's best sample must be better by a clear margin.
            match (near.0, far.0) {
                (Some((_, a)), Some((j, b))) if b + CROSS_MARGIN < a => return Some(j),
                (Some((i, _)), _) | (None, Some((i, _))) => return Some(i),
                (None, None) => {}
            }
        }
        None
    }

    /// Balancers of a zone: drag, which all of them cause, counts so often beside own calls.
    pub(super) fn callers(&self) -> f64 {
        (f64::from(self.settings.balancers) / f64::from(self.settings.zones.max(1))).max(1.0)
    }

    /// Draws d eligible endpoints of a pool: the least occupied, of equals the first; and how many.
    fn sample(&mut self, now: Duration, id: RequestId, pool: usize) -> (Option<(usize, f64)>, usize) {
        let (mut best, mut found): (Option<(usize, f64)>, usize) = (None, 0);
        let room = self.has_room(now, self.value(id), pool % 2);
        let size = if room { self.pools[pool].len() } else { 0 };
        for k in 0..size.min(DRAWS) {
            let drawn = k + self.draws.below(size - k);
            self.pools[pool].swap(k, drawn);
            let i = self.pools[pool][k];
            let pending = self.requests.get(&id).filter(|p| self.allowed(now, i, p));
            let Some(occupancy) = pending.map(|p| self.occupancy(now, i, p)) else { continue };
            found += 1;
            if best.is_none_or(|(_, least)| occupancy < least) {
                best = Some((i, occupancy));
            }
            if found == CHOICES {
                break;
            }
        }
        (best, found)
    }

    /// The heat of the best quarter, of all endpoints or of every so many; and notes how many are warm.
    fn shared_heat(&mut self, now: Duration) -> f64 {
        let step = self.endpoints.len().div_ceil(DRAWS).max(1);
        let skipped = self.draws.below(step);
        let looked = (skipped..self.endpoints.len()).step_by(step);
        let ready: Vec<usize> = looked.filter(|&i| self.endpoints[i].is_ready()).collect();
        let fit = |&&i: &&usize| self.warmth(now, i) >= 1.0 && now >= self.endpoints[i].rests_until;
        let warm = ready.iter().filter(fit).count();
        self.warm += WARM_WEIGHT * (warm as f64 / ready.len().max(1) as f64 - self.warm);
        let mut heats: Vec<f64> = ready.iter().map(|&i| self.endpoints[i].heat(now)).collect();
        heats.sort_by(f64::total_cmp);
        heats.get(heats.len() / 4).copied().unwrap_or(0.0)
    }

    /// Own calls in flight and what failures beyond the common measure count for.
    fn load(&self, now: Duration, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        f64::from(endpoint.in_flight) + (endpoint.heat(now) - self.common_heat).max(0.0)
    }

    /// Own calls in flight plus what failures, slow answers and an earlier attempt there count for.
    fn occupancy(&self, now: Duration, i: usize, pending: &Pending) -> f64 {
        let endpoint = &self.endpoints[i];
        let drag = (endpoint.drag.read(now, DRAG_SECONDS) - DRAG_FREE).max(0.0);
        let tried = pending.attempts.iter().any(|a| a.endpoint == endpoint.info.id);
        self.load(now, i) + drag * self.callers() + if tried { HEAT_MOST } else { 0.0 }
    }

    /// Hard limits: the list, the cold budget, and rule 2 for a keyed request that may have run.
    fn allowed(&self, now: Duration, i: usize, pending: &Pending) -> bool {
        let endpoint = &self.endpoints[i];
        let overspent = self.warmth(now, i) < 1.0 && self.cold_tokens(now, i) < 1.0;
        // So lately that it can't have begun to drain for longer than drains stay untold.
        let unknown = self.blind && endpoint.heard.is_none_or(|at| now > at + DRAIN_UNTOLD);
        let closed = !self.zones.may(now, endpoint.info.zone, pending.arrived);
        let barred =
            closed || overspent || unknown || (now < endpoint.rests_until && self.warm > REST_MOST);
        if barred || !endpoint.is_ready() || self.load(now, i) + 1.0 > self.room(now, i) {
            return false;
        }
        let (semantics, info) = (self.settings.classes[pending.class].semantics, &endpoint.info);
        pending
            .may_have_run()
            .all(|ran| semantics.may_retry_at((ran.zone, ran.cell), (info.zone, info.cell)))
    }

    /// Own calls that an endpoint may hold now.
    pub(super) fn room(&self, now: Duration, i: usize) -> f64 {
        (self.endpoints[i].limit * self.share * self.warmth(now, i)).max(1.0)
    }
}
