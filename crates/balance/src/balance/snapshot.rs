//! What a balancer has learnt, as a value: taken from one and given to another that starts in its place.
//!
//! Nothing here decides anything: values are copied, aged by their own times, and held within what the module
//! itself would have reached. `docs/design/0002-snapshots.md` says what is carried and why.

use super::{Balancer, LATE_MULTIPLE, LATE_SHARE, LIMIT_START, RETRY_SAVED};
use crate::stats::{Fading, Latency, moved};
use crate::types::EndpointId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A snapshot older than this says nothing of limits and windows any more: proofs are believed for half as
/// long, and a machine's slow state lingers for half as long.
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(60);
/// No limit, window, rate or token count lies beyond this.
const VALUE_MOST: f64 = 1e9;

/// What has been learnt of one endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointSnapshot {
    /// Which.
    pub id: EndpointId,
    /// The start of its process that this was learnt of; none means long ago.
    pub started: Option<Duration>,
    /// Recent failures, as calls in flight.
    heat: Fading,
    /// Its latency as a multiple of the usual one, beyond one.
    drag: Fading,
    /// Own calls that it may hold.
    pub limit: f64,
    opening: bool,
    limit_cut_at: Duration,
    cold_tokens: f64,
    cold_at: Duration,
    /// When an operator gave it back, or from when on its start is counted if that is later than stated: it is cold.
    back: Option<Duration>,
}

/// What a balancer has learnt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// When it was taken, on the balancer's clock.
    pub taken: Duration,
    born: Duration,
    /// By endpoint.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Own attempts that may be out, in the own zone and in all others, and whether they still open.
    pub windows: [(f64, bool); 2],
    missed: Fading,
    latency: Vec<Latency>,
    /// Retries saved up.
    pub retry_tokens: f64,
    tenants: Vec<Fading>,
    arrivals: Fading,
    served: Fading,
    proven: Fading,
    silence: Fading,
    /// The share of late answers, 0 to 1.
    pub late_share: f64,
}

impl Snapshot {
    /// How old it is; zero where the clock has stepped back since.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.taken)
    }

    /// The same on a clock that is ahead by so many microseconds of the one that it was taken on. The starts of
    /// endpoints are of the list, not of that clock.
    pub fn shifted(mut self, micros: i64) -> Snapshot {
        if micros == 0 {
            return self;
        }
        let on = |at: Duration| moved(at, micros);
        (self.taken, self.born) = (on(self.taken), on(self.born));
        for endpoint in &mut self.endpoints {
            (endpoint.heat, endpoint.drag) = (endpoint.heat.moved(micros), endpoint.drag.moved(micros));
            endpoint.limit_cut_at = on(endpoint.limit_cut_at);
            endpoint.cold_at = on(endpoint.cold_at);
            endpoint.back = endpoint.back.map(on);
        }
        self.latency = self.latency.into_iter().map(|latency| latency.moved(micros)).collect();
        let single =
            [&mut self.missed, &mut self.arrivals, &mut self.served, &mut self.proven, &mut self.silence];
        for fading in single.into_iter().chain(&mut self.tenants) {
            *fading = fading.moved(micros);
        }
        self
    }

    /// Mean latency of each class, in seconds, and its unhurried mean.
    pub fn latencies(&self) -> Vec<(f64, f64)> {
        self.latency.iter().map(|latency| (latency.mean, latency.unhurried)).collect()
    }

    /// Whether every value is one that a balancer could have reached: a number, and in its range.
    pub fn is_valid(&self) -> bool {
        let number = |value: f64| (0.0..=VALUE_MOST).contains(&value);
        let signed = |value: f64| (-VALUE_MOST..=VALUE_MOST).contains(&value);
        let fading = |f: &Fading| signed(f.value);
        let latency = |l: &Latency| number(l.mean) && number(l.spread) && number(l.unhurried);
        let endpoint = |e: &EndpointSnapshot| {
            fading(&e.heat) && fading(&e.drag) && number(e.limit) && signed(e.cold_tokens)
        };
        let single = [&self.missed, &self.arrivals, &self.served, &self.proven, &self.silence];
        self.endpoints.iter().all(endpoint)
            && self.windows.iter().all(|(size, _)| number(*size))
            && self.latency.iter().all(latency)
            && single.into_iter().chain(&self.tenants).all(fading)
            && number(self.retry_tokens)
            && (0.0..=1.0).contains(&self.late_share)
    }
}

impl Balancer {
    /// What this balancer has learnt until now. Timers, open requests and random numbers are its own.
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        let endpoint = |e: &super::Endpoint| EndpointSnapshot {
            id: e.info.id,
            started: e.info.started,
            heat: e.heat,
            drag: e.drag,
            limit: e.limit,
            opening: e.opening,
            limit_cut_at: e.limit_cut_at,
            cold_tokens: e.cold_tokens,
            cold_at: e.cold_at,
            // With it: from when on its start is counted here, where that is later than what is stated.
            back: e.back.max(e.cold_from.filter(|from| e.info.started.is_none_or(|at| *from > at))),
        };
        Snapshot {
            taken: now,
            born: self.born,
            endpoints: self.endpoints.iter().map(endpoint).collect(),
            windows: self.windows.map(|window| (window.size, window.opening)),
            missed: self.missed,
            latency: self.latency.clone(),
            retry_tokens: self.retry_tokens,
            tenants: self.tenants.rates().to_vec(),
            arrivals: self.arrivals,
            served: self.served,
            proven: self.proven,
            silence: self.silence,
            late_share: self.late_share,
        }
    }

    /// Takes over what another balancer of the same settings has learnt; whether anything was. To be called
    /// once the list is there: what is said of an endpoint that is not listed, or has started since, is
    /// dropped. What is open here stays as it is.
    pub fn restore(&mut self, now: Duration, snapshot: &Snapshot) -> bool {
        let fits = snapshot.latency.len() == self.latency.len()
            && snapshot.tenants.len() == self.tenants.rates().len()
            && snapshot.is_valid();
        if !fits || snapshot.age(now) > MAX_SNAPSHOT_AGE {
            return false;
        }
        for old in &snapshot.endpoints {
            let Some(&i) = self.index.get(&old.id) else { continue };
            let endpoint = &mut self.endpoints[i];
            if endpoint.info.started != old.started {
                // It has started since, whatever time is stated.
                endpoint.back = endpoint.back.max(Some(snapshot.taken.min(now)));
                continue;
            }
            (endpoint.heat, endpoint.drag) = (old.heat.not_ahead(now), old.drag.not_ahead(now));
            (endpoint.limit, endpoint.opening) = (old.limit.max(1.0), old.opening);
            endpoint.limit_cut_at = old.limit_cut_at.min(now);
            // Beside the one that it was learnt by, that one goes on using what is saved up.
            let saved = if self.share < 1.0 { old.cold_tokens.min(0.0) } else { old.cold_tokens };
            (endpoint.cold_tokens, endpoint.cold_at) = (saved, old.cold_at.min(now));
            endpoint.back = endpoint.back.max(old.back.map(|at| at.min(now)));
            if endpoint.banned {
                endpoint.limit = LIMIT_START; // it is cold when it comes back
            }
        }
        for (window, (size, opening)) in self.windows.iter_mut().zip(snapshot.windows) {
            (window.size, window.opening) = (size.max(1.0), opening);
        }
        self.latency =
            snapshot.latency.iter().map(|latency| latency.unjammed(now, LATE_MULTIPLE)).collect();
        self.late_share = snapshot.late_share.min(LATE_SHARE);
        if self.share == 1.0 {
            self.retry_tokens = snapshot.retry_tokens.min(RETRY_SAVED);
        }
        self.tenants.set(snapshot.tenants.iter().map(|tenant| tenant.not_ahead(now)).collect());
        self.born = snapshot.born.min(now);
        self.missed = snapshot.missed.not_ahead(now);
        self.arrivals = snapshot.arrivals.not_ahead(now);
        self.served = snapshot.served.not_ahead(now);
        self.proven = snapshot.proven.not_ahead(now);
        self.silence = snapshot.silence.not_ahead(now);
        self.choose_part(now);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stats::Draws;
    use crate::types::*;
    use proptest::prelude::*;

    const CLASSES: usize = 2;

    fn settings() -> Settings {
        let tenants = vec![Tenant { allowance_per_s: 10.0, portion: 0.5 }; 3];
        Settings {
            classes: vec![Class::default(); CLASSES],
            tenants,
            zones: 2,
            balancers: 3,
            ..Settings::default()
        }
    }

    fn list() -> Vec<EndpointInfo> {
        (0..6).map(|id| EndpointInfo { zone: ZoneId(id % 2), ..EndpointInfo::ready(id.into()) }).collect()
    }

    /// Plays requests one after another, each ended at once as `steps` says; gives where they went.
    fn play(balancer: &mut Balancer, from: u64, steps: &[(u8, u8, u8)]) -> Vec<Action> {
        let mut all = Vec::new();
        let mut now = Duration::from_millis(from);
        for (n, (class, tenant, how)) in steps.iter().enumerate() {
            now += Duration::from_millis(20 + u64::from(*how) % 50);
            let id = RequestId(from * 1000 + n as u64);
            let mut request = match Event::request(id, Duration::from_secs(2)) {
                Event::Request(request) => request,
                _ => continue,
            };
            request.class = ClassId(usize::from(*class) % CLASSES);
            request.tenant = TenantId(usize::from(*tenant) % 3);
            let mut actions = Vec::new();
            balancer.handle(now, Event::Request(request), &mut actions);
            let mut attempt = 0;
            let mut ended = 0;
            while let Some(Action::Send { endpoint, .. }) =
                actions.iter().filter(|a| matches!(a, Action::Send { .. })).nth(ended).cloned()
            {
                ended += 1;
                let outcome = match (how.wrapping_add(attempt)) % 8 {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::Reset,
                    _ => Outcome::Ok,
                };
                let elapsed = Duration::from_millis(u64::from(*how) * 5);
                now += elapsed;
                balancer.handle(
                    now,
                    Event::AttemptEnded(AttemptEnded {
                        request: id,
                        attempt: AttemptNo(u32::from(attempt)),
                        endpoint,
                        outcome,
                        elapsed,
                        finished: outcome == Outcome::Ok,
                        report: None,
                    }),
                    &mut actions,
                );
                attempt += 1;
            }
            // Timers' numbers are a balancer's own.
            actions
                .retain(|action| !matches!(action, Action::SetTimer { .. } | Action::CancelTimer { .. }));
            all.extend(actions);
        }
        all
    }

    fn balancer(seed: u64) -> Balancer {
        let mut balancer = Balancer::new(settings(), seed, Duration::ZERO).unwrap();
        let list = Event::Membership(Membership::Full(list()));
        balancer.handle(Duration::ZERO, list, &mut Vec::new());
        balancer
    }

    proptest! {
        #[test]
        fn restored_it_chooses_as_if_it_had_never_stopped(
            before in prop::collection::vec(any::<(u8, u8, u8)>(), 0..150),
            after in prop::collection::vec(any::<(u8, u8, u8)>(), 1..60),
        ) {
            let mut old = balancer(3);
            play(&mut old, 1, &before);
            let now = Duration::from_secs(1000);
            let mut new = balancer(4);
            let mut snapshot = old.snapshot(now);
            // Short of the jam's easing, which has a test of its own, and of idle connections.
            for (latency, eased) in snapshot.latency.iter_mut().zip(&mut old.latency) {
                *eased = eased.unjammed(now, LATE_MULTIPLE);
                *latency = *eased;
            }
            old.late_share = old.late_share.min(LATE_SHARE);
            old.endpoints.iter_mut().for_each(|endpoint| endpoint.heard = None);
            (old.stale, old.reaped_after) = (0.0, Duration::MAX);
            prop_assert!(new.restore(now, &snapshot));
            // The pools' order is drawn too.
            (old.draws, new.draws) = (Draws::new(9), Draws::new(9));
            old.choose_part(now);
            let (kept, restored) = (play(&mut old, 1_000_000, &after), play(&mut new, 1_000_000, &after));
            prop_assert_eq!(kept, restored);
        }
    }

    #[test]
    fn what_has_gone_or_started_since_is_dropped_and_what_is_too_old_is_not_used() {
        let mut old = balancer(3);
        old.endpoints.iter_mut().for_each(|endpoint| endpoint.limit = 7.0);
        let now = Duration::from_secs(50);
        let snapshot = old.snapshot(now);
        let mut entries = list();
        entries.remove(0);
        entries[0].started = Some(Duration::from_secs(49));
        let mut new = Balancer::new(settings(), 4, now).unwrap();
        new.handle(now, Event::Membership(Membership::Full(entries)), &mut Vec::new());
        assert!(new.restore(now, &snapshot));
        let limits: Vec<f64> = new.endpoints.iter().map(|endpoint| endpoint.limit).collect();
        assert_eq!(limits, [LIMIT_START, 7.0, 7.0, 7.0, 7.0]);
        let mut late = balancer(5);
        assert!(!late.restore(now + MAX_SNAPSHOT_AGE + Duration::from_secs(1), &snapshot));
        assert_eq!(late.endpoints[0].limit, LIMIT_START);
        assert!(late.restore(now - Duration::from_secs(9), &snapshot), "the clock has stepped back");
    }

    #[test]
    fn a_jam_is_not_handed_on_as_the_usual_state() {
        let mut jammed = balancer(3);
        let now = Duration::from_secs(100);
        for n in 0..200 {
            let seconds = if n < 100 { 0.1 } else { 3.0 };
            jammed.latency[0].add(now, seconds);
        }
        jammed.late_share = 0.95;
        jammed.windows[0].size = 1.0;
        let (mean, unhurried) = jammed.snapshot(now).latencies()[0];
        assert!(mean > 1.0 && unhurried < 0.11, "{mean} {unhurried}");
        let mut new = balancer(4);
        assert!(new.restore(now, &jammed.snapshot(now)));
        assert!(new.latency[0].mean <= unhurried * LATE_MULTIPLE + 1e-9, "{}", new.latency[0].mean);
        assert!(new.late_share <= LATE_SHARE);
        // Timely answers open its window again.
        let steps: Vec<_> = (0..200).map(|_| (0, 0, 20)).collect();
        play(&mut new, 101_000, &steps);
        assert!(new.windows[0].size > 1.5, "{}", new.windows[0].size);
    }

    #[test]
    fn values_that_no_balancer_reaches_are_refused() {
        let sound = balancer(3).snapshot(Duration::from_secs(9));
        let break_it: [fn(&mut Snapshot); 6] = [
            |s| s.windows[1].0 = f64::NAN,
            |s| s.endpoints[2].limit = f64::INFINITY,
            |s| s.late_share = 1.5,
            |s| s.retry_tokens = -1.0,
            |s| s.latency[1].mean = f64::NAN,
            |s| s.latency.truncate(1),
        ];
        for change in break_it {
            let mut broken = sound.clone();
            change(&mut broken);
            assert!(!balancer(4).restore(Duration::from_secs(9), &broken), "{broken:?}");
        }
        assert!(balancer(4).restore(Duration::from_secs(9), &sound));
    }
}
