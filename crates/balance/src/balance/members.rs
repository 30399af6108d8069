//! The endpoint list: what is listed, what is banned, and which part of it this balancer uses.

use super::choice::BLIND_AFTER;
use super::*;

/// Calls of all balancers at each endpoint before any measurement: own windows start with their part.
const WINDOW_START: f64 = 4.0;
/// Endpoints of a zone that a caller uses at least, so that d samples still find a choice among failing ones.
const PART_LEAST: f64 = 4.0;
/// Step from one balancer's place on the ring to the next one's: the golden ratio spaces any run evenly.
const PLACE_STEP: f64 = 0.618_033_988_75;
/// First wait before discovery is asked again, in seconds from when it was; doubles so often at most: with a
/// call behind it a drain has to be known 6 s after it could be. The least lets callers spread.
const ASK_BACKOFF: f64 = 0.5;
const ASK_DOUBLES: u32 = 1;
const ASK_LEAST: f64 = 0.15;
/// Waits behind calls that are refused, in seconds from their start, shortest and longest: with a call behind
/// it a drain is known in time after a short outage.
const FIRST_REFUSED_WAIT: (f64, f64) = (3.6, 4.8);
/// So many refusals in a row are waited for like that.
const FIRST_REFUSALS: u32 = 2;
/// The same behind further ones. A queue that callers keep full fails all that it accepts: a fleet comes less
/// often than it is served.
const REFUSED_WAIT: (f64, f64) = (3.6, 9.0);
/// Behind so many refusals in a row each further one makes waits longer by the factor below, up to the limit.
const REFUSALS_WITHOUT_GROWTH: u32 = 4;
/// The same where refusals are known to be due to too many callers.
const CROWDED_WITHOUT_GROWTH: u32 = FIRST_REFUSALS - 1;
const REFUSED_GROWTH: f64 = 1.5;
const CROWDED_GROWTH: f64 = 2.0;
const REFUSED_GROWTH_LIMIT: f64 = 4.0;
/// The first call is spread over an eighth of the time in which to ask, or of this: time is left for it.
const ASK_FIRST: Duration = Duration::from_secs(12);

/// Why discovery refuses calls, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It may be down, or have too many callers.
    Unknown,
    /// It is there, and has too many callers.
    TooManyCallers,
}

/// The wait behind a call that discovery refused after it took so long, behind so many refusals in a row, by
/// a draw from 0 to 1.
pub fn refusal_retry_delay(
    refusals_before: u32,
    cause: RefusalCause,
    took: Duration,
    draw: f64,
) -> Duration {
    let (without_growth, growth) = match cause {
        RefusalCause::Unknown => (REFUSALS_WITHOUT_GROWTH, REFUSED_GROWTH),
        RefusalCause::TooManyCallers => (CROWDED_WITHOUT_GROWTH, CROWDED_GROWTH),
    };
    let (shortest, longest) =
        if refusals_before < FIRST_REFUSALS { FIRST_REFUSED_WAIT } else { REFUSED_WAIT };
    let growing = refusals_before.saturating_sub(without_growth).min(64);
    let factor = growth.powi(growing as i32).min(REFUSED_GROWTH_LIMIT);
    let from_start = factor * (shortest + (longest - shortest) * draw);
    let wait = from_start - took.as_secs_f64();
    Duration::from_secs_f64(wait.max(ASK_LEAST * draw))
}

impl Balancer {
    pub(super) fn on_membership(&mut self, now: Duration, news: Membership, out: &mut Vec<Action>) {
        let ask = self.settings.discovery == Discovery::Ask;
        let refused = news == Membership::Refused;
        let least = if refused { now.saturating_sub(BLIND_AFTER) } else { Duration::ZERO };
        let failed = refused || news == Membership::Failed;
        self.list_old = failed.then(|| self.list_old.unwrap_or(now).max(least));
        match news {
            Membership::Failed | Membership::Refused => {
                if ask {
                    let doubled = ASK_BACKOFF * f64::from(1u32 << self.ask_failures.min(ASK_DOUBLES));
                    let (draw, took) = (self.draws.uniform(), now.saturating_sub(self.asked));
                    let wait = (doubled * (0.5 + draw) - took.as_secs_f64()).max(ASK_LEAST * draw);
                    let wait = match refused {
                        true => refusal_retry_delay(self.ask_refusals, RefusalCause::Unknown, took, draw),
                        false => Duration::from_secs_f64(wait),
                    };
                    self.ask_failures = self.ask_failures.saturating_add(1);
                    self.ask_refusals = self.ask_refusals.saturating_add(u32::from(refused));
                    self.set_timer(wait, Timer::Ask, out);
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
        if ask && !self.started {
            let wait = self.settings.rules.ask_within.min(ASK_FIRST).mul_f64(self.draws.uniform() / 8.0);
            self.set_timer(wait, Timer::Ask, out);
        } else {
            (self.ask_failures, self.ask_refusals) = (0, 0);
        }
        if !std::mem::replace(&mut self.started, true) {
            let size = (WINDOW_START * self.part()).max(1.0);
            self.windows.iter_mut().for_each(|window| window.size = size);
        }
        self.release_held(now, out);
    }

    /// Bounds the use of the list. Requests held while it may not be used are released once it may again.
    pub(super) fn on_list_lease(
        &mut self,
        now: Duration,
        expires: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.list_expires = expires;
        self.release_held(now, out);
    }

    /// A change that has not come here may count as notified: any endpoint may be leaving.
    pub(super) fn list_lapsed(&self, now: Duration) -> bool {
        self.list_expires.is_some_and(|at| now >= at)
    }

    fn update_endpoints(&mut self, now: Duration, entries: Vec<EndpointInfo>) {
        let limit = (LIMIT_START * self.of_few()).max(1.0);
        let nonempty = !entries.is_empty();
        for info in entries {
            match self.index.get(&info.id) {
                // What is said of the start of one that has gone, is said of no process.
                Some(&i) if info.state == EndpointState::Gone => {
                    self.endpoints[i].info.state = EndpointState::Gone;
                }
                Some(&i) => {
                    if info.started != self.endpoints[i].info.started {
                        let cold_from = Some(now); // it is watched: new, whatever is stated
                        let endpoint = &mut self.endpoints[i];
                        (endpoint.drag.value, endpoint.heat.value, endpoint.rests_until) =
                            (0.0, 0.0, Duration::ZERO);
                        (endpoint.cold_from, endpoint.cold_tokens, endpoint.cold_at) =
                            (cold_from, self.draws.uniform(), now);
                    }
                    self.endpoints[i].info = info;
                }
                None if info.state == EndpointState::Gone => {}
                None => {
                    let cold_from = self.cold_from(now, info.started);
                    self.index.insert(info.id, self.endpoints.len());
                    self.endpoints.push(Endpoint {
                        banned: self.banned.contains(&info.id),
                        opening: cold_from.is_none(),
                        info,
                        cold_from,
                        back: None,
                        in_flight: 0,
                        heat: Fading::default(),
                        drag: Fading::default(),
                        limit,
                        limit_cut_at: now,
                        rests_until: Duration::ZERO,
                        heard: None,
                        cold_tokens: self.draws.uniform(),
                        cold_at: now,
                    });
                }
            }
        }
        self.listed |= nonempty;
        self.endpoints.retain(|e| e.info.state != EndpointState::Gone || e.in_flight > 0);
        self.index = self.endpoints.iter().enumerate().map(|(i, e)| (e.info.id, i)).collect();
        self.choose_part(now);
    }

    /// Takes an endpoint out of use until it is given back, or gives it back: cold, and with a clean record.
    pub(super) fn on_ban(&mut self, now: Duration, id: EndpointId, on: bool, out: &mut Vec<Action>) {
        let changed = if on { self.banned.insert(id) } else { self.banned.remove(&id) };
        if let Some(&i) = self.index.get(&id).filter(|_| changed) {
            let endpoint = &mut self.endpoints[i];
            endpoint.banned = on;
            if !on {
                (endpoint.drag.value, endpoint.heat.value, endpoint.limit) = (0.0, 0.0, LIMIT_START);
                (endpoint.back, endpoint.rests_until) = (Some(now), Duration::ZERO);
                let call = (self.of_few() + self.draws.uniform()).min(1.0);
                (self.endpoints[i].cold_tokens, self.endpoints[i].cold_at) = (call, now);
            }
            self.choose_part(now);
            self.release_held(now, out);
        }
    }

    /// What may go into zones. What is out to one that is dark now ends, and goes on as its class permits.
    pub(super) fn on_zones(&mut self, now: Duration, rights: ZoneAdmissions, out: &mut Vec<Action>) {
        let dark = self.zones.set(now, rights, self.draws.uniform());
        self.choose_part(now);
        let ends = |a: &Attempt| a.fate == Fate::Out && dark.contains(&a.zone);
        let mut lost: Vec<(RequestId, AttemptNo)> = Vec::new();
        let cancelling = self.settings.limits.cancelling;
        for (&id, pending) in self.requests.iter().filter(|(_, p)| !p.settled() && cancelling) {
            let outs = pending.attempts.iter().enumerate().filter(|(_, a)| ends(a));
            lost.extend(outs.map(|(n, _)| (id, AttemptNo(n as u32))));
        }
        lost.sort_unstable();
        out.extend(lost.into_iter().map(|(request, attempt)| Action::Cancel { request, attempt }));
        self.release_held(now, out);
    }

    /// This balancer's part of what a few could do at an endpoint: many learn too late that it is full.
    pub(super) fn of_few(&self) -> f64 {
        (PART_CALLERS / f64::from(self.settings.balancers)).min(1.0)
    }

    /// All balancers see a zone's endpoints on the same ring and begin at places of their own, by the golden
    /// ratio: parts cover it evenly. The own zone is parted among its own callers: others' part is soon full.
    pub(super) fn choose_part(&mut self, now: Duration) {
        let usable = |e: &Endpoint| e.is_ready() && self.zones.is_open(e.info.zone);
        let ready = self.endpoints.iter().enumerate().filter(|(_, e)| usable(e));
        let mut ring: Vec<_> = ready.map(|(i, e)| (e.info.zone, e.info.id, i)).collect();
        ring.sort();
        self.pools = Default::default();
        for zone in ring.chunk_by(|a, b| a.0 == b.0) {
            let (size, side) = (zone.len() as f64, self.side(zone[0].2));
            let start = (size * (f64::from(self.settings.me) * PLACE_STEP).fract()) as usize;
            let callers = if side == 0 { self.callers() } else { f64::from(self.settings.balancers) };
            // Cold endpoints come on top: through a release a part of them alone would be crowded.
            let mut wanted = (size * PART_CALLERS / callers).max(PART_LEAST);
            for place in start..start + zone.len() {
                let i = zone[place % zone.len()].2;
                self.pools[2 + side].push(i);
                if wanted > 0.0 {
                    self.pools[side].push(i);
                }
                wanted -= f64::from(u8::from(self.warmth(now, i) >= 1.0));
            }
        }
        self.pools.iter_mut().for_each(|pool| pool.sort_unstable());
    }
}
