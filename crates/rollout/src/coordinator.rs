//! The coordinator on the leading consensus server: proposes the next phase of a rollout as sidecars report that they
//! have applied it, and a rollback if it does harm.
//!
//! The times of a stage count from the moment at which this server first saw it as the leader, on its own monotonic
//! clock. A new leader starts the stage's times anew, so that clocks of two servers are never compared.

use crate::canary::Sidecar;
use crate::digest::leading_u64;
use crate::record;
use crate::reports::{Census, Reports};
use crate::rollout::{Event, Phase, Rollout};
use curlewhub_control_plane::configuration::{Canary, ConfigNumber};
use curlewhub_control_plane::evidence::Evidence;
use curlewhub_control_plane::record::{Proposal, Version};
use std::time::Duration;

/// How often a stage is evaluated: well below a second of the 15 s within which a change has to be in force.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// An undecided proposal is repeated after this time. Consensus servers give up a proposal after the same time.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);
/// With fewer calls the share of failed ones is not used.
const MIN_CALLS: u64 = 50;

/// Recent calls, and how many of them failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOutcomes {
    /// Calls whose outcome is known.
    pub total: u64,
    /// Calls that were lost or answered with an error.
    pub failed: u64,
}

impl CallOutcomes {
    fn failed_share(self) -> Option<f64> {
        (self.total >= MIN_CALLS).then(|| self.failed as f64 / self.total as f64)
    }
}

/// Outcomes of recent calls from the canary's zones and from all other zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Calls from zones that the canary names.
    pub canary: CallOutcomes,
    /// Calls from all other zones.
    pub others: CallOutcomes,
}

impl Outcomes {
    /// Sums up the evidence of recent calls by the zone that they came from. A canary that names no zones has no calls
    /// of its own: evidence does not tell sidecars of one zone apart.
    pub fn of(evidence: &Evidence, canary: &Canary, now: Duration) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for ((from, _), pair) in evidence.zone_pairs(now) {
            let in_canary = canary.zones.iter().any(|zone| zone == from);
            let sum = if in_canary { &mut outcomes.canary } else { &mut outcomes.others };
            sum.total += u64::from(pair.calls.total());
            sum.failed += u64::from(pair.calls.lost()) + u64::from(pair.calls.failed);
        }
        outcomes
    }

    /// The failed share of the canary's calls minus that of the others, from -1 to 1. None if there are too few calls.
    fn excess(self) -> Option<f64> {
        Some(self.canary.failed_share()? - self.others.failed_share()?)
    }
}

/// What a consensus server knows at the moment of an evaluation.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorInput<'a> {
    /// The name of the server, under which it proposes.
    pub own: &'a str,
    /// The decided rollout.
    pub rollout: &'a Rollout,
    /// The version that decided it.
    pub version: Version,
    /// The sidecars that are alive by the membership.
    pub sidecars: &'a [Sidecar<'a>],
    /// How recent calls have ended.
    pub outcomes: Outcomes,
}

/// The old name of [`CoordinatorInput`], until `control-plane-node` uses the new one.
pub use CoordinatorInput as Known;

/// The state of the current stage. A stage lasts as long as the target's number and the phase do, whatever is pending.
#[derive(Clone, Debug)]
struct Stage {
    number: ConfigNumber,
    phase: Phase,
    started: Duration,
    /// Since when enough sidecars of the canary have the target, without interruption.
    soaking_since: Option<Duration>,
    /// [`Outcomes::excess`] before the target could affect calls.
    excess_before: Option<f64>,
    proposed: Option<Proposed>,
}

/// When the next step was proposed, and on top of which version.
#[derive(Clone, Copy, Debug)]
struct Proposed {
    at: Duration,
    version: Version,
}

impl Stage {
    fn new(now: Duration, input: &CoordinatorInput<'_>) -> Stage {
        Stage {
            number: input.rollout.target.number,
            phase: input.rollout.phase.clone(),
            started: now,
            soaking_since: None,
            excess_before: input.outcomes.excess(),
            proposed: None,
        }
    }

    fn is_of(&self, rollout: &Rollout) -> bool {
        self.number == rollout.target.number && self.phase == rollout.phase
    }

    /// Whether a step has been proposed on top of this version and may still be decided.
    fn awaits_decision(&self, now: Duration, version: Version) -> bool {
        self.proposed.is_some_and(|proposed| {
            proposed.version == version && now.saturating_sub(proposed.at) < PROPOSAL_TIMEOUT
        })
    }
}

/// A consensus server's state for coordinating rollouts.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    /// The reports of sidecars. Each server collects them, so that a new leader has them at once.
    pub reports: Reports,
    stage: Option<Stage>,
    evaluated_at: Option<Duration>,
}

impl Coordinator {
    /// Whether an evaluation is due; never on a server that is not the leader, which also forgets its stage.
    pub fn is_due(&mut self, now: Duration, leads: bool) -> bool {
        if !leads {
            self.stage = None;
        }
        let is_due =
            leads && self.evaluated_at.is_none_or(|at| now.saturating_sub(at) >= EVALUATION_INTERVAL);
        if is_due {
            self.evaluated_at = Some(now);
        }
        is_due
    }

    /// Evaluates the current stage and returns the proposal of the next step, if there is one.
    pub fn next_proposal(&mut self, now: Duration, input: &CoordinatorInput<'_>) -> Option<Proposal> {
        let rollout = input.rollout;
        if rollout.phase.is_settled() || matches!(rollout.phase, Phase::Halted { .. }) {
            self.stage = None;
            return None;
        }
        if !self.stage.as_ref().is_some_and(|stage| stage.is_of(rollout)) {
            self.stage = Some(Stage::new(now, input));
        }
        let stage = self.stage.as_mut()?;
        if stage.awaits_decision(now, input.version) {
            return None;
        }
        let census = self.reports.census(now, rollout, input.sidecars.iter().copied());
        let event = Evaluation { now, input, census: &census }.next_event(stage);
        stage.proposed = event.as_ref().map(|_| Proposed { at: now, version: input.version });
        let event = event?;
        let why = match &event {
            Event::Halt(_, why) | Event::Rollback(_, why) => why.clone(),
            _ => format!("{} of {} have it", census.stage.in_force, census.stage.total()),
        };
        let next = rollout.step(event).ok()?;
        let id = proposal_id(&next, input.version);
        Some(record::proposal(id, &next, input.version, input.own, &why))
    }

    /// The old name of [`Coordinator::next_proposal`], until `control-plane-node` uses the new one.
    pub fn look(&mut self, now: Duration, input: &CoordinatorInput<'_>) -> Option<Proposal> {
        self.next_proposal(now, input)
    }
}

/// One evaluation of a stage.
struct Evaluation<'a> {
    now: Duration,
    input: &'a CoordinatorInput<'a>,
    census: &'a Census,
}

impl Evaluation<'_> {
    /// The event that is due for the stage, if any.
    fn next_event(&self, stage: &mut Stage) -> Option<Event> {
        if let Some(reason) = self.rollback_for_refusals() {
            return Some(Event::Rollback(self.number(), reason));
        }
        if self.input.rollout.phase == Phase::Canary {
            self.next_event_of_canary(stage)
        } else {
            self.is_complete(stage).then_some(Event::Completed(self.number()))
        }
    }

    /// Why too many refusals call for a rollback. A rollback itself is not rolled back.
    fn rollback_for_refusals(&self) -> Option<String> {
        let counts = &self.census.stage;
        let is_rollback = matches!(self.input.rollout.phase, Phase::RollingBack { .. });
        if is_rollback || !self.exceeds_refusal_limit(counts.refused) {
            return None;
        }
        let reason = self.census.first_refusal().unwrap_or_default();
        let why = format!("{} of {} refuse it: {reason}", counts.refused, counts.total());
        Some(record::truncate(&why))
    }

    /// Whether the target has reached all sidecars, or the stage is over and few enough are missing. A pending change
    /// does not wait for missing sidecars: they get the newest configuration once they are back.
    fn is_complete(&self, stage: &Stage) -> bool {
        let missing = self.census.stage.missing();
        let is_pending = self.input.rollout.pending.is_some();
        missing == 0 || self.is_overdue(stage) && (is_pending || !self.exceeds_refusal_limit(missing))
    }

    /// A canary is promoted once it has soaked, rolled back if it does harm, and halted if it is not applied in time.
    fn next_event_of_canary(&self, stage: &mut Stage) -> Option<Event> {
        let (number, plan, counts) = (self.number(), &self.input.rollout.plan, &self.census.stage);
        if let Some(why) = harm(stage, plan.failed_most_per_mille, self.input.outcomes) {
            return Some(Event::Rollback(number, why));
        }
        let is_applied = counts.total() > 0 && !self.exceeds_refusal_limit(counts.missing());
        if is_applied {
            let since = *stage.soaking_since.get_or_insert(self.now);
            let soak = Duration::from_millis(plan.soak_ms.into());
            return (self.now.saturating_sub(since) >= soak).then_some(Event::Promote(number));
        }
        stage.soaking_since = None;
        if !self.is_overdue(stage) {
            return None;
        }
        let why = if counts.total() == 0 {
            "no sidecar that is there is in the canary".to_owned()
        } else {
            format!("{} of {} have not taken it in time", counts.missing(), counts.total())
        };
        Some(Event::Halt(number, why))
    }

    fn number(&self) -> ConfigNumber {
        self.input.rollout.target.number
    }

    fn is_overdue(&self, stage: &Stage) -> bool {
        let stage_time = Duration::from_millis(self.input.rollout.plan.stage_ms.into());
        self.now.saturating_sub(stage.started) >= stage_time
    }

    /// Whether so many sidecars of the stage are more than the plan tolerates. Its one limit is for sidecars that refuse
    /// the target and for those that are missing.
    fn exceeds_refusal_limit(&self, sidecars: u32) -> bool {
        let limit = u64::from(self.input.rollout.plan.refused_most_per_mille);
        u64::from(sidecars) * 1000 > u64::from(self.census.stage.total()) * limit
    }
}

/// Why the target does harm: calls from the canary's zones fail more often than before, relative to those from other
/// zones, by more than the limit.
fn harm(stage: &mut Stage, limit_per_mille: u16, outcomes: Outcomes) -> Option<String> {
    let excess = outcomes.excess()?;
    let before = *stage.excess_before.get_or_insert(excess);
    let increase = excess - before.max(0.0);
    let limit = f64::from(limit_per_mille) / 1000.0;
    (increase > limit).then(|| {
        let percent = increase * 100.0;
        format!("calls from the canary's zones fail {percent:.1} in 100 more often than from others")
    })
}

/// The id of a step's proposal. It depends on the step alone, so that two leaders that propose the same step propose it
/// once.
fn proposal_id(next: &Rollout, expected: Version) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&expected.0.to_le_bytes());
    hasher.update(&record::encode(next));
    leading_u64(&hasher)
}
