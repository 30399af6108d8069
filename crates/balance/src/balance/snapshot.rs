//! What a balancer has learned, as a value that is taken from one balancer and restored into its successor.
//!
//! Nothing is decided here: values are copied, aged by their own times, and limited to what a balancer
//! itself would have reached. `docs/design/0002-snapshots.md` says what is included and why.

use super::{Balancer, INITIAL_LIMIT, LATE_BASELINE_MULTIPLE, MAX_RETRY_TOKENS, OVERLOAD_LATE_SHARE};
use crate::stats::{DecayingValue, LatencyStats, shifted};
use crate::types::EndpointId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A snapshot older than this says nothing about limits and windows any more: peak rates are believed for
/// half as long, and a machine's slow state lasts half as long.
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(60);
/// Upper bound of every limit, window, rate and token count.
const MAX_VALUE: f64 = 1e9;

/// What has been learned about one endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub id: EndpointId,
    /// The start of the process that this was learned about; none means long ago.
    pub started: Option<Duration>,
    /// Recent failures, expressed as calls in flight.
    #[serde(rename = "heat")]
    failure_penalty: DecayingValue,
    /// Its latency beyond the class's baseline, as a multiple of it.
    #[serde(rename = "drag")]
    slowdown: DecayingValue,
    /// Own calls that it may hold.
    pub limit: f64,
    #[serde(rename = "opening")]
    ramping_up: bool,
    limit_cut_at: Duration,
    cold_tokens: f64,
    #[serde(rename = "cold_at")]
    cold_tokens_at: Duration,
    /// When an operator lifted its ban, or since when it counts as started if that is later than stated: it
    /// is cold.
    #[serde(rename = "back")]
    reinstated_at: Option<Duration>,
}

/// What a balancer has learned.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// When it was taken, on the balancer's clock.
    pub taken: Duration,
    #[serde(rename = "born")]
    created_at: Duration,
    /// By endpoint.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Own attempts that may be in flight, in the own zone and in all others, and whether the window is
    /// still ramping up.
    pub windows: [(f64, bool); 2],
    #[serde(rename = "missed")]
    refused_value: DecayingValue,
    latency: Vec<LatencyStats>,
    /// Retry tokens saved up.
    pub retry_tokens: f64,
    tenants: Vec<DecayingValue>,
    #[serde(rename = "arrivals")]
    arrival_rate: DecayingValue,
    #[serde(rename = "served")]
    warm_served_rate: DecayingValue,
    #[serde(rename = "proven")]
    peak_warm_rate: DecayingValue,
    #[serde(rename = "silence")]
    missing_answers: DecayingValue,
    /// The share of late answers, 0 to 1.
    pub late_share: f64,
}

impl Snapshot {
    /// Its age; zero if the clock has stepped back since.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.taken)
    }

    /// Converts it to a clock that is ahead by `micros` of the one that it was taken on. The start times of
    /// endpoints come from the list, not from that clock, and stay.
    pub fn shifted(mut self, micros: i64) -> Snapshot {
        if micros == 0 {
            return self;
        }
        let shift = |at: Duration| shifted(at, micros);
        (self.taken, self.created_at) = (shift(self.taken), shift(self.created_at));
        for endpoint in &mut self.endpoints {
            (endpoint.failure_penalty, endpoint.slowdown) =
                (endpoint.failure_penalty.shifted(micros), endpoint.slowdown.shifted(micros));
            endpoint.limit_cut_at = shift(endpoint.limit_cut_at);
            endpoint.cold_tokens_at = shift(endpoint.cold_tokens_at);
            endpoint.reinstated_at = endpoint.reinstated_at.map(shift);
        }
        self.latency = self.latency.into_iter().map(|latency| latency.shifted(micros)).collect();
        let single = [
            &mut self.refused_value,
            &mut self.arrival_rate,
            &mut self.warm_served_rate,
            &mut self.peak_warm_rate,
            &mut self.missing_answers,
        ];
        for value in single.into_iter().chain(&mut self.tenants) {
            *value = value.shifted(micros);
        }
        self
    }

    /// Mean and baseline latency of each class, in seconds.
    pub fn latencies(&self) -> Vec<(f64, f64)> {
        self.latency.iter().map(|latency| (latency.mean, latency.baseline)).collect()
    }

    /// Whether every value is a number in the range that a balancer could have reached.
    pub fn is_valid(&self) -> bool {
        let number = |value: f64| (0.0..=MAX_VALUE).contains(&value);
        let signed = |value: f64| (-MAX_VALUE..=MAX_VALUE).contains(&value);
        let decaying = |f: &DecayingValue| signed(f.value);
        let latency = |l: &LatencyStats| number(l.mean) && number(l.spread) && number(l.baseline);
        let endpoint = |e: &EndpointSnapshot| {
            decaying(&e.failure_penalty)
                && decaying(&e.slowdown)
                && number(e.limit)
                && signed(e.cold_tokens)
        };
        let single = [
            &self.refused_value,
            &self.arrival_rate,
            &self.warm_served_rate,
            &self.peak_warm_rate,
            &self.missing_answers,
        ];
        self.endpoints.iter().all(endpoint)
            && self.windows.iter().all(|(size, _)| number(*size))
            && self.latency.iter().all(latency)
            && single.into_iter().chain(&self.tenants).all(decaying)
            && number(self.retry_tokens)
            && (0.0..=1.0).contains(&self.late_share)
    }
}

impl Balancer {
    /// Takes a snapshot of what this balancer has learned. Timers, open requests and random numbers are not
    /// included.
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        let endpoint = |e: &super::Endpoint| EndpointSnapshot {
            id: e.info.id,
            started: e.info.started,
            failure_penalty: e.failure_penalty,
            slowdown: e.slowdown,
            limit: e.limit,
            ramping_up: e.ramping_up,
            limit_cut_at: e.limit_cut_at,
            cold_tokens: e.cold_tokens,
            cold_tokens_at: e.cold_tokens_at,
            // Also since when it counts as started here, if that is later than stated.
            reinstated_at: e
                .reinstated_at
                .max(e.cold_since.filter(|from| e.info.started.is_none_or(|at| *from > at))),
        };
        Snapshot {
            taken: now,
            created_at: self.created_at,
            endpoints: self.endpoints.iter().map(endpoint).collect(),
            windows: self.windows.map(|window| (window.size, window.ramping_up)),
            refused_value: self.refused_value,
            latency: self.latency.clone(),
            retry_tokens: self.retry_tokens,
            tenants: self.tenants.rates().to_vec(),
            arrival_rate: self.arrival_rate,
            warm_served_rate: self.warm_served_rate,
            peak_warm_rate: self.peak_warm_rate,
            missing_answers: self.missing_answers,
            late_share: self.late_share,
        }
    }

    /// Restores what another balancer with the same settings has learned. Returns whether anything was
    /// restored. To be called once the list is there: what is known of an endpoint that is not listed, or
    /// has started since, is dropped. Requests that are open here stay as they are.
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
                endpoint.reinstated_at = endpoint.reinstated_at.max(Some(snapshot.taken.min(now)));
                continue;
            }
            (endpoint.failure_penalty, endpoint.slowdown) =
                (old.failure_penalty.clamped_to(now), old.slowdown.clamped_to(now));
            (endpoint.limit, endpoint.ramping_up) = (old.limit.max(1.0), old.ramping_up);
            endpoint.limit_cut_at = old.limit_cut_at.min(now);
            // While the predecessor still serves, it goes on using what it has saved up.
            let saved = if self.share < 1.0 { old.cold_tokens.min(0.0) } else { old.cold_tokens };
            (endpoint.cold_tokens, endpoint.cold_tokens_at) = (saved, old.cold_tokens_at.min(now));
            endpoint.reinstated_at = endpoint.reinstated_at.max(old.reinstated_at.map(|at| at.min(now)));
            if endpoint.banned {
                endpoint.limit = INITIAL_LIMIT; // it is cold when its ban is lifted
            }
        }
        for (window, (size, ramping_up)) in self.windows.iter_mut().zip(snapshot.windows) {
            (window.size, window.ramping_up) = (size.max(1.0), ramping_up);
        }
        self.latency = snapshot
            .latency
            .iter()
            .map(|latency| latency.without_overload(now, LATE_BASELINE_MULTIPLE))
            .collect();
        self.late_share = snapshot.late_share.min(OVERLOAD_LATE_SHARE);
        if self.share == 1.0 {
            self.retry_tokens = snapshot.retry_tokens.min(MAX_RETRY_TOKENS);
        }
        self.tenants.replace(snapshot.tenants.iter().map(|tenant| tenant.clamped_to(now)).collect());
        self.created_at = snapshot.created_at.min(now);
        self.refused_value = snapshot.refused_value.clamped_to(now);
        self.arrival_rate = snapshot.arrival_rate.clamped_to(now);
        self.warm_served_rate = snapshot.warm_served_rate.clamped_to(now);
        self.peak_warm_rate = snapshot.peak_warm_rate.clamped_to(now);
        self.missing_answers = snapshot.missing_answers.clamped_to(now);
        self.choose_subset(now);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stats::SeededRng;
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

    /// Sends requests one after another, each ended at once as `steps` says. Returns the actions.
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
            // Timer tokens differ between balancers.
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
        fn a_restored_balancer_chooses_like_the_original(
            before in prop::collection::vec(any::<(u8, u8, u8)>(), 0..150),
            after in prop::collection::vec(any::<(u8, u8, u8)>(), 1..60),
        ) {
            let mut old = balancer(3);
            play(&mut old, 1, &before);
            let now = Duration::from_secs(1000);
            let mut new = balancer(4);
            let mut snapshot = old.snapshot(now);
            // Except for the bounds on an overload, which have a test of their own, and for idle
            // connections.
            for (latency, bounded) in snapshot.latency.iter_mut().zip(&mut old.latency) {
                *bounded = bounded.without_overload(now, LATE_BASELINE_MULTIPLE);
                *latency = *bounded;
            }
            old.late_share = old.late_share.min(OVERLOAD_LATE_SHARE);
            old.endpoints.iter_mut().for_each(|endpoint| endpoint.last_answer_at = None);
            (old.stale_evidence, old.idle_drop_after) = (0.0, Duration::MAX);
            prop_assert!(new.restore(now, &snapshot));
            // The order of the pools is random too.
            (old.rng, new.rng) = (SeededRng::new(9), SeededRng::new(9));
            old.choose_subset(now);
            let (kept, restored) = (play(&mut old, 1_000_000, &after), play(&mut new, 1_000_000, &after));
            prop_assert_eq!(kept, restored);
        }
    }

    #[test]
    fn restore_drops_removed_and_restarted_endpoints_and_rejects_old_snapshots() {
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
        assert_eq!(limits, [INITIAL_LIMIT, 7.0, 7.0, 7.0, 7.0]);
        let mut late = balancer(5);
        assert!(!late.restore(now + MAX_SNAPSHOT_AGE + Duration::from_secs(1), &snapshot));
        assert_eq!(late.endpoints[0].limit, INITIAL_LIMIT);
        assert!(late.restore(now - Duration::from_secs(9), &snapshot), "the clock has stepped back");
    }

    #[test]
    fn restore_does_not_take_an_overload_for_the_normal_state() {
        let mut overloaded = balancer(3);
        let now = Duration::from_secs(100);
        for n in 0..200 {
            let seconds = if n < 100 { 0.1 } else { 3.0 };
            overloaded.latency[0].add(now, seconds);
        }
        overloaded.late_share = 0.95;
        overloaded.windows[0].size = 1.0;
        let (mean, baseline) = overloaded.snapshot(now).latencies()[0];
        assert!(mean > 1.0 && baseline < 0.11, "{mean} {baseline}");
        let mut new = balancer(4);
        assert!(new.restore(now, &overloaded.snapshot(now)));
        assert!(new.latency[0].mean <= baseline * LATE_BASELINE_MULTIPLE + 1e-9, "{}", new.latency[0].mean);
        assert!(new.late_share <= OVERLOAD_LATE_SHARE);
        // Timely answers widen its window again.
        let steps: Vec<_> = (0..200).map(|_| (0, 0, 20)).collect();
        play(&mut new, 101_000, &steps);
        assert!(new.windows[0].size > 1.5, "{}", new.windows[0].size);
    }

    #[test]
    fn restore_rejects_values_out_of_range() {
        let valid = balancer(3).snapshot(Duration::from_secs(9));
        let changes: [fn(&mut Snapshot); 6] = [
            |s| s.windows[1].0 = f64::NAN,
            |s| s.endpoints[2].limit = f64::INFINITY,
            |s| s.late_share = 1.5,
            |s| s.retry_tokens = -1.0,
            |s| s.latency[1].mean = f64::NAN,
            |s| s.latency.truncate(1),
        ];
        for change in changes {
            let mut broken = valid.clone();
            change(&mut broken);
            assert!(!balancer(4).restore(Duration::from_secs(9), &broken), "{broken:?}");
        }
        assert!(balancer(4).restore(Duration::from_secs(9), &valid));
    }
}
