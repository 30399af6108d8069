//! What outcomes teach: windows, limits, failure penalties, slowdown, missing answers, and what warm
//! endpoints can serve.

use super::*;

/// Weight of one answer in an endpoint's slowdown, and in the share of late answers.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Seconds in which the peak rate of a warm endpoint decays to a third without new evidence.
const PEAK_RATE_DECAY_SECONDS: f64 = 30.0;
/// Missing answers, less what each answer refutes, before they are acted on: above one in ten attempts.
const MISSING_THRESHOLD: f64 = 1.5;
const MISSING_REFUTED: f64 = 0.1;
const MAX_MISSING: f64 = 6.0;
/// Seconds in which missing answers decay to a third, so that old connections are trusted again.
const MISSING_DECAY_SECONDS: f64 = 15.0;
/// Until its first late answer each timely one raises an endpoint's limit by a call, up to this one:
/// otherwise few endpoints would delay a first surge for seconds. Newly started ones are excluded: they
/// would be crowded during a rollout.
const RAMP_UP_LIMIT: f64 = 8.0;
/// A late answer cuts this share off the limit, a round of timely ones adds a call. With many balancers a
/// cut is larger and a gain smaller.
const LIMIT_CUT: f64 = 0.07;
const MAX_LIMIT_CUT: f64 = 0.5;
/// An answer that takes this many times the mean, at a limit of one own call, shows a slow state. Slow
/// machine kinds and full queues take up to two; pausing those would leave the others too much ...
const PAUSE_LATENCY_MULTIPLE: f64 = 3.0;
/// ... Only a rest ends such a state. Each caller pauses the endpoint for this many times the answer's
/// duration: so all callers of its zone, four to twenty, together leave it less than one call at a time.
const PAUSE_DURATION_MULTIPLE: f64 = 16.0;
/// Fraction of the objective that an answer may take before the endpoint counts as overloaded.
const LATE_OBJECTIVE_FRACTION: f64 = 0.8;
/// A timely answer adds this times the balancer's share of one call, divided by the window; a late one
/// subtracts the cut. So where each endpoint holds 0.8 calls of all balancers, one answer in two may be
/// late; where it holds four times as many, one in five.
const WINDOW_GAIN: f64 = 0.4;
/// A window of which less than half is used loses this share with each answer, down to this many calls of
/// all balancers at each endpoint.
const IDLE_DECAY: f64 = 0.05;
const IDLE_FLOOR: f64 = 2.0;
/// Less than a call: with one or two in flight, single slow answers are mostly chance.
const WINDOW_CUT: f64 = 0.5;
/// While another process of this sidecar runs, answers come in proportion to the share, so each has more
/// weight, as if the share were at least this.
const MIN_LEARNING_SHARE: f64 = 0.25;

impl Balancer {
    /// Whether answers are missing while others are timely: in an overload all are late, and copies worsen
    /// it.
    pub(super) fn answers_missing(&self, now: Duration) -> bool {
        self.late_share < OVERLOAD_LATE_SHARE
            && self.missing_answers.value_at(now, MISSING_DECAY_SECONDS) >= MISSING_THRESHOLD
    }

    /// Records an attempt that was overtaken, or takes far longer than any answer.
    pub(super) fn record_missing_answer(&mut self, now: Duration, attempt: Attempt) {
        self.missing_answers
            .set(now, (self.missing_answers.value_at(now, MISSING_DECAY_SECONDS) + 1.0).min(MAX_MISSING));
        if attempt.idle.is_zero() {
            self.stale_evidence -= 1.0;
        } else {
            self.stale_evidence = (self.stale_evidence + 1.0).min(MAX_MISSING);
            self.idle_drop_after = self.idle_drop_after.min(attempt.idle);
        }
        if let Some(&i) = self.index.get(&attempt.endpoint) {
            self.endpoints[i].add_penalty(now, FAILURE_PENALTY);
        }
    }

    /// Updates what is known of an endpoint and its zone group by an outcome.
    pub(super) fn learn_from_outcome(
        &mut self,
        now: Duration,
        class: usize,
        upload: bool,
        ended: &AttemptEnded,
    ) {
        match self.index.get(&ended.endpoint) {
            Some(&i) if ended.outcome == Outcome::LocalFault => self.revert_send(i, upload),
            Some(&i) => self.update_stats(now, i, class, upload, ended),
            None => {}
        }
    }

    fn update_stats(&mut self, now: Duration, i: usize, class: usize, upload: bool, ended: &AttemptEnded) {
        let (elapsed, missing) = (ended.elapsed.as_secs_f64(), self.answers_missing(now));
        let slow = elapsed > self.late_after(class);
        let late = match ended.outcome {
            Outcome::Ok => self.settings.tier == 0 && slow,
            Outcome::Error | Outcome::Reset => slow,
            Outcome::Cancelled => slow && !missing,
            Outcome::TimedOut => !missing,
            outcome => outcome == Outcome::Rejected,
        };
        let (quota, group, factor) = (self.call_share(), self.zone_group(i), self.caller_fraction());
        // A window never falls below one call at each endpoint, shared by all balancers. The larger it is,
        // the less it gains: otherwise the balancers that start first, which measure idle servers, would be
        // starved by those that start last.
        let (window, weight) = (&mut self.windows[group], 1.0 / self.share.max(MIN_LEARNING_SHARE));
        if late {
            window.size = (window.size - WINDOW_CUT * weight).max(quota.max(1.0));
            window.ramping_up = false;
        } else if ended.outcome == Outcome::Ok && f64::from(window.used) * 2.0 > window.size * self.share {
            let gain = if window.ramping_up { quota.min(1.0) } else { WINDOW_GAIN * quota / window.size };
            window.size += gain * weight;
        }
        window.used = window.used.saturating_sub(u32::from(!upload));
        // An idle window says nothing of what servers can take, and would admit load that moves here all at
        // once.
        for window in self.windows.iter_mut().filter(|w| f64::from(w.used) * 2.0 < w.size * self.share) {
            window.size = window.size.min((window.size * (1.0 - IDLE_DECAY)).max(IDLE_FLOOR * quota));
        }
        let usual = Duration::from_secs_f64(self.latency[class].mean);
        let endpoint = &mut self.endpoints[i];
        endpoint.ramping_up &= !late && endpoint.limit < RAMP_UP_LIMIT;
        if late && now >= endpoint.limit_cut_at + usual {
            let cut = (LIMIT_CUT / factor).min(MAX_LIMIT_CUT);
            (endpoint.limit, endpoint.limit_cut_at) = ((endpoint.limit * (1.0 - cut)).max(1.0), now);
        } else if ended.outcome == Outcome::Ok
            && !late
            && f64::from(endpoint.in_flight) * 2.0 > endpoint.limit * self.share
        {
            endpoint.limit += factor / if endpoint.ramping_up { 1.0 } else { endpoint.limit };
        }
        if late && endpoint.limit <= 1.0 && ended.elapsed > usual.mul_f64(PAUSE_LATENCY_MULTIPLE) {
            endpoint.paused_until = now + ended.elapsed.mul_f64(PAUSE_DURATION_MULTIPLE);
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        match ended.outcome {
            Outcome::Ok => {
                self.endpoints[i].last_answer_at = Some(now);
                let missing = self.missing_answers.value_at(now, MISSING_DECAY_SECONDS) - MISSING_REFUTED;
                self.missing_answers.set(now, missing.max(0.0));
                self.late_share += SLOWDOWN_WEIGHT * (f64::from(u8::from(slow)) - self.late_share);
                self.latency[class].add(now, elapsed);
                let multiple = elapsed / self.latency[class].baseline.max(1e-6);
                let endpoint = &mut self.endpoints[i];
                let slowdown = endpoint.slowdown.value_at(now, SLOWDOWN_DECAY_SECONDS);
                endpoint.slowdown.set(now, slowdown + SLOWDOWN_WEIGHT * (multiple - 1.0 - slowdown));
                if self.warm_fraction(now, i) >= 1.0 {
                    self.record_warm_answer(now);
                }
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => {}
            // An endpoint that rejects while the list can't be updated gets the maximum penalty, which
            // decays: it may be draining, and the notice has not arrived.
            Outcome::Rejected if self.list_stale_since.is_some() => endpoint.add_penalty(now, MAX_PENALTY),
            _ => endpoint.add_penalty(now, FAILURE_PENALTY),
        }
    }

    /// Reverts a send that never left this machine: what is known of endpoints stays as it was.
    fn revert_send(&mut self, i: usize, upload: bool) {
        let zone_group = self.zone_group(i);
        let window = &mut self.windows[zone_group];
        window.used = window.used.saturating_sub(u32::from(!upload));
        let endpoint = &mut self.endpoints[i];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
    }

    /// Seconds after which an answer counts as late: servers hold too much.
    fn late_after(&self, class: usize) -> f64 {
        let by_objective = self.settings.classes[class].objective.as_secs_f64() * LATE_OBJECTIVE_FRACTION;
        if self.latency[class].count < BASELINE_SAMPLES {
            return by_objective;
        }
        by_objective.min(self.latency[class].baseline * LATE_BASELINE_MULTIPLE)
    }

    fn record_warm_answer(&mut self, now: Duration) {
        self.warm_served_rate.count(now, RATE_DECAY_SECONDS);
        let rate = self.warm_served_rate.value_at(now, RATE_DECAY_SECONDS)
            / (self.ready_count() * self.warm_share).max(1.0);
        if rate > self.warm_endpoint_rate(now) || self.peak_warm_rate.value == 0.0 {
            self.peak_warm_rate.set(now, rate);
        }
    }

    /// Requests per second that one warm endpoint serves for this balancer alone.
    pub(super) fn warm_endpoint_rate(&self, now: Duration) -> f64 {
        if self.peak_warm_rate.value > 0.0 {
            return self.peak_warm_rate.value_at(now, PEAK_RATE_DECAY_SECONDS);
        }
        self.arrival_rate.rate(now, RATE_DECAY_SECONDS, self.created_at) / self.ready_count().max(1.0)
    }
}
