//! The transitions from each state of a zone: serving, leaving, left and returning.

use super::probes::ProbeTarget;
use super::tracking::OutcomeCounts;
use super::zone_records::MIN_LATENCY_RATIO;
use super::{
    MAX_GOOD_LATENCY_RATIO, MAX_GOOD_LOSS, MAX_GOOD_REJECTION, StateChange, TickContext, ZoneStateMachine,
};
use crate::zone_states::{Baseline, ZoneState, ZoneStates, tier_of};
use std::ops::ControlFlow;
use std::time::Duration;

/// Calls by which a step of a recovery ramp is judged.
const MIN_STEP_CALLS: u32 = 10;
/// Time after which a step is judged by fewer calls; after twice this, by none.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a step that is neither good nor bad is taken back.
const MAX_STEP_DURATION: Duration = Duration::from_secs(4);
/// Shortest time that the rate of a step is computed over, in seconds.
const MIN_STEP_DURATION_S: f64 = 0.05;
/// Multiple of the bounds of a good step beyond which it is bad.
const BAD_STEP_FACTOR: f64 = 2.0;
/// Lost and failed calls below which a step is not aborted at once.
const MIN_ABORTING_LOSSES: u32 = 5;
/// The share at which a slow zone begins to be left; it is halved while the zone stays slow.
const FIRST_LEAVING_SHARE: f64 = 0.5;
/// The lowest share that a slow zone is left with.
const MIN_LEAVING_SHARE: f64 = 0.05;
/// A zone that is left serves again at once if this share of its baseline is served there by residual traffic.
const MIN_RESIDUAL_SHARE: f64 = 0.25;
/// Time after which residual traffic is looked at: digests of calls from before the state change still arrive before that.
const RESIDUAL_TRAFFIC_DELAY: Duration = Duration::from_secs(2);
/// Baseline of a zone of which little is known, in calls a second.
const MIN_BASELINE_CALLS_PER_S: f64 = 4.0;

/// The outcomes of a step of a recovery ramp.
struct StepResult {
    calls: u32,
    /// Lost calls, and calls answered with errors.
    faults: u32,
    fault_share: f64,
    rejected_share: f64,
    /// Latencies as a multiple of the baseline.
    latency_ratio: f64,
}

impl StepResult {
    fn new(outcomes: &OutcomeCounts, baseline: Baseline) -> StepResult {
        let calls = outcomes.total();
        let faults = outcomes.lost + outcomes.failed;
        let share = |count: u32| f64::from(count) / f64::from(calls.max(1));
        let latency_ratio = f64::from(outcomes.took_ms) / f64::from(outcomes.expected_ms.max(1));
        StepResult {
            calls,
            faults,
            fault_share: share(faults),
            rejected_share: share(outcomes.rejected),
            latency_ratio: latency_ratio / baseline.latency_ratio.max(MIN_LATENCY_RATIO),
        }
    }

    /// The worst outcome as a multiple of its bound; a step is good up to 1.
    fn worst_excess(&self) -> f64 {
        (self.fault_share / MAX_GOOD_LOSS)
            .max(self.rejected_share / MAX_GOOD_REJECTION)
            .max(self.latency_ratio / MAX_GOOD_LATENCY_RATIO)
    }

    fn describe(&self) -> String {
        format!(
            "of {} calls {:.0}% lost, {:.0}% turned away, {:.1} times as long as before",
            self.calls,
            self.fault_share * 100.0,
            self.rejected_share * 100.0,
            self.latency_ratio
        )
    }
}

impl ZoneStateMachine {
    /// From `Serving`: to `Left` for a confirmed fault, to `Leaving` if the zone is slow and the others have capacity.
    pub(super) fn next_from_serving(
        &mut self,
        context: &mut TickContext,
        zone: &str,
        next: &ZoneStates,
    ) -> Option<StateChange> {
        let now = context.now;
        if let ControlFlow::Break(change) = self.leave_for_fault(context, zone, next) {
            return change;
        }
        let statistics = self.signals.statistics(now, zone);
        let baseline = statistics.baseline_latency_ratio;
        if !self.is_slow(now, zone, baseline) || self.others_are_at_capacity(now, zone) {
            return None;
        }
        let ratio = statistics.latency_ratio / baseline.max(MIN_LATENCY_RATIO);
        let why = format!("takes {ratio:.1} times as long as before");
        let leaving = ZoneState::Leaving(FIRST_LEAVING_SHARE);
        self.may_leave(now, zone, next).then(|| StateChange::automatic(leaving, why))
    }

    /// Breaks if a fault is confirmed, with the change to `Left` if the zone may be left.
    fn leave_for_fault(
        &mut self,
        context: &mut TickContext,
        zone: &str,
        next: &ZoneStates,
    ) -> ControlFlow<Option<StateChange>> {
        let Some(why) = self.confirmed_fault(context, zone) else { return ControlFlow::Continue(()) };
        let may_leave = self.may_leave(context.now, zone, next);
        ControlFlow::Break(may_leave.then(|| StateChange::automatic(ZoneState::Left, why)))
    }

    /// From `Leaving`: to a smaller share while the zone is slow, to a greater one once it has recovered or the others are
    /// at capacity, to `Left` for a confirmed fault.
    pub(super) fn next_from_leaving(
        &mut self,
        context: &mut TickContext,
        zone: &str,
        share: f64,
        next: &ZoneStates,
    ) -> Option<StateChange> {
        let now = context.now;
        if let ControlFlow::Break(change) = self.leave_for_fault(context, zone, next) {
            return change;
        }
        let baseline = self.recorded_baseline(zone).latency_ratio;
        let (in_state, slow_for) = (self.time_in_state(now, zone), self.settings.slow_for.0);
        let ratio = self.signals.statistics(now, zone).latency_ratio / baseline.max(MIN_LATENCY_RATIO);
        if self.others_are_at_capacity(now, zone) {
            // A slow zone serves more than zones that reject.
            let why = "the others are at what they bear";
            return (in_state >= slow_for / 2).then(|| StateChange::automatic(doubled_share(share), why));
        }
        if self.is_slow(now, zone, baseline) {
            let halved = (share / 2.0).max(MIN_LEAVING_SHARE);
            let why = format!("still takes {ratio:.1} times as long as before");
            return (halved < share && in_state >= slow_for / 2)
                .then(|| StateChange::automatic(ZoneState::Leaving(halved), why));
        }
        let times = self.times(zone);
        if ratio > MAX_GOOD_LATENCY_RATIO {
            times.recovered_since = None;
            return None;
        }
        let recovered_since = *times.recovered_since.get_or_insert(now);
        if now.saturating_sub(recovered_since) < slow_for || in_state < slow_for {
            return None;
        }
        let why = format!("takes {ratio:.1} times as long as before");
        Some(StateChange::automatic(doubled_share(share), why))
    }

    /// From `Left`: to `Returning` once probes pass after the cool-down, or to `Serving` if residual traffic shows that the
    /// zone never stopped to serve.
    pub(super) fn next_from_left(
        &mut self,
        context: &mut TickContext,
        zone: &str,
        next: &ZoneStates,
    ) -> Option<StateChange> {
        let now = context.now;
        let cooldown = self.cooldown(self.zone_states.zones.get(zone)?.flaps);
        if let Some(why) = self.serves_residual_traffic(now, zone) {
            return Some(StateChange::automatic(ZoneState::Serving, why));
        }
        if self.time_in_state(now, zone) < cooldown || self.another_of_region_returns(zone, next) {
            return None;
        }
        let target = ProbeTarget::zone(zone);
        self.request_probes(context, &target);
        let sidecars = self.callers(context.environment, zone).values().map(Vec::len).sum::<usize>();
        let required = self.settings.probes_required as usize;
        let passed = self.probes.get(&target)?.passed(required, sidecars.min(2))?;
        let why = format!(
            "{} of the last {} probes by {} sidecars are answered",
            passed.answered, passed.total, passed.sidecars
        );
        Some(StateChange::automatic(ZoneState::Returning(self.first_step(zone)), why))
    }

    /// Whether another zone of the region and tier is returning. They return one after another, as their load comes back
    /// from the same other zones.
    fn another_of_region_returns(&self, zone: &str, next: &ZoneStates) -> bool {
        let region = self.region(zone);
        let is_returning = |other: &String| {
            *other != *zone
                && matches!(next.state(other), ZoneState::Returning(_))
                && tier_of(other) == tier_of(zone)
                && region == self.region(other)
        };
        region.is_some() && next.zones.keys().any(is_returning)
    }

    /// The reason to serve a left zone at once, if residual traffic serves much of its baseline. The sidecars that could
    /// not reach it had it left while those that reach it were cut off from the consensus servers; it needs no ramp.
    fn serves_residual_traffic(&mut self, now: Duration, zone: &str) -> Option<String> {
        if self.time_in_state(now, zone) < RESIDUAL_TRAFFIC_DELAY {
            return None;
        }
        let (baseline, traffic) = (self.baseline_calls_per_s(zone), self.residual_traffic.get(zone)?);
        let OutcomeCounts { served, lost, rejected, failed, .. } = traffic.outcomes;
        let calls = f64::from(traffic.outcomes.total()).max(1.0);
        let is_good = f64::from(lost + failed) <= MAX_GOOD_LOSS * calls
            && f64::from(rejected) <= MAX_GOOD_REJECTION * calls;
        let min_served = (MIN_RESIDUAL_SHARE * baseline).max(f64::from(MIN_STEP_CALLS));
        let sidecars = traffic.served_sidecars.len();
        let is_enough = f64::from(served) >= min_served && sidecars >= self.settings.witnesses as usize;
        (is_good && is_enough)
            .then(|| format!("{served} calls of {sidecars} sidecars that had not left it are served"))
    }

    /// Calls a second of the first step of a recovery ramp.
    pub(super) fn first_step(&self, zone: &str) -> f64 {
        self.baseline_calls_per_s(zone) * self.settings.first_step_share
    }

    /// Calls a second that a zone served before it was left.
    fn baseline_calls_per_s(&self, zone: &str) -> f64 {
        let recorded = self.zone_states.zones.get(zone).map_or(0.0, |record| record.baseline.calls_per_s);
        recorded.max(MIN_BASELINE_CALLS_PER_S)
    }

    fn recorded_baseline(&self, zone: &str) -> Baseline {
        let unknown = Baseline { calls_per_s: 0.0, latency_ratio: 1.0 };
        self.zone_states.zones.get(zone).map_or(unknown, |record| record.baseline)
    }

    /// From `Returning`: to the next step after a good one, a step back after a bad one, `Left` if calls fail again and
    /// `Serving` after the last step.
    pub(super) fn next_from_returning(
        &mut self,
        context: &mut TickContext,
        zone: &str,
        rate: f64,
    ) -> Option<StateChange> {
        let in_state = self.time_in_state(context.now, zone);
        let outcomes = self.step_outcomes.get(zone).copied().unwrap_or_default();
        let step = StepResult::new(&outcomes, self.recorded_baseline(zone));
        let is_aborted =
            step.faults >= MIN_ABORTING_LOSSES && step.fault_share > self.settings.healthy_loss;
        if is_aborted || self.confirmed_fault(context, zone).is_some() {
            return Some(StateChange::automatic(ZoneState::Left, step.describe()));
        }
        let has_enough_calls = step.calls >= MIN_STEP_CALLS
            || (in_state >= STEP_TIMEOUT && step.calls > 0)
            || in_state >= STEP_TIMEOUT * 2;
        if in_state < self.settings.min_step.0 || !has_enough_calls {
            return None;
        }
        let excess = step.worst_excess();
        if excess <= 1.0 {
            let state = self.state_after_good_step(zone, rate, step.calls, in_state);
            return Some(StateChange::automatic(state, step.describe()));
        }
        let is_bad = excess > BAD_STEP_FACTOR;
        let reduced = (rate / 2.0).max(self.first_step(zone));
        let is_taken_back = is_bad || (in_state >= MAX_STEP_DURATION && reduced < rate);
        is_taken_back.then(|| StateChange::automatic(ZoneState::Returning(reduced), step.describe()))
    }

    /// The next step, or `Serving` if the budget has reached the baseline or demand stays far below the budget.
    fn state_after_good_step(&self, zone: &str, rate: f64, calls: u32, in_state: Duration) -> ZoneState {
        let baseline = self.baseline_calls_per_s(zone);
        let calls_per_s = f64::from(calls) / in_state.as_secs_f64().max(MIN_STEP_DURATION_S);
        if rate >= baseline || (calls_per_s < rate / 2.0 && rate >= baseline / 2.0) {
            ZoneState::Serving
        } else {
            ZoneState::Returning((rate * self.settings.step_factor).min(baseline))
        }
    }
}

fn doubled_share(share: f64) -> ZoneState {
    let doubled = share * 2.0;
    if doubled >= 1.0 { ZoneState::Serving } else { ZoneState::Leaving(doubled) }
}
