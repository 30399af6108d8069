//! The leading consensus server's part: it moves a rollout on by what sidecars report, and back where it does harm.
//!
//! Times of a stage count from when this server first saw it while it led, by its own steady clock: after a change of the
//! leader a stage begins anew, and no two clocks are compared.

use crate::canary::Sidecar;
use crate::record;
use crate::reports::{Census, Reports};
use crate::rollout::{Event, Phase, Rollout};
use curlewhub_control_plane::configuration::{Canary, ConfigNumber};
use curlewhub_control_plane::evidence::Evidence;
use curlewhub_control_plane::record::{Proposal, Version};
use std::time::Duration;

/// A stage is looked at this often: well below a second of the 15 that a change may take.
const LOOK: Duration = Duration::from_millis(250);
/// What was proposed and not decided by then is proposed again: a consensus server gives a proposal up after as long.
const AGAIN: Duration = Duration::from_secs(3);
/// Fewer calls than this say nothing of how often calls fail.
const CALLS_LEAST: u64 = 50;

/// Calls lately, and how many of them failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOutcomes {
    /// All.
    pub known: u64,
    /// Lost, or answered with an error.
    pub failed: u64,
}

impl CallOutcomes {
    fn failed_share(self) -> Option<f64> {
        (self.known >= CALLS_LEAST).then(|| self.failed as f64 / self.known as f64)
    }
}

/// What became of calls of the canary's zones, and of all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Called from the canary's zones.
    pub canary: CallOutcomes,
    /// Called from others.
    pub rest: CallOutcomes,
}

impl Outcomes {
    /// What sidecars have told of their calls lately, by the zone that these came from. A canary that names no zone has
    /// none of its own.
    pub fn of(evidence: &Evidence, canary: &Canary, now: Duration) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for ((from, _), pair) in evidence.zone_pairs(now) {
            let in_canary = canary.zones.iter().any(|zone| zone == from);
            let sum = if in_canary { &mut outcomes.canary } else { &mut outcomes.rest };
            sum.known += u64::from(pair.calls.total());
            sum.failed += u64::from(pair.calls.lost()) + u64::from(pair.calls.failed);
        }
        outcomes
    }

    /// By how much more often the canary's calls fail, 0 to 1, where enough is known of both.
    fn excess(self) -> Option<f64> {
        Some(self.canary.failed_share()? - self.rest.failed_share()?)
    }
}

/// What a consensus server knows at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// Its name, under which it proposes.
    pub own: &'a str,
    /// What is decided ...
    pub rollout: &'a Rollout,
    /// ... and by which version.
    pub version: Version,
    /// The sidecars that are there.
    pub sidecars: &'a [Sidecar<'a>],
    /// How calls end.
    pub outcomes: Outcomes,
}

/// What is remembered of a stage while it lasts: that is while number and phase do, whatever comes to wait behind it.
#[derive(Clone, Debug)]
struct Stage {
    number: ConfigNumber,
    phase: Phase,
    began: Duration,
    /// Since when the canary holds the change, as a whole.
    held: Option<Duration>,
    /// By how much more often the canary's calls failed before the change could tell.
    excess_before: Option<f64>,
    /// When its next step was proposed, and on which version.
    proposed: Option<(Duration, Version)>,
}

impl Stage {
    fn new(now: Duration, known: &Known<'_>) -> Stage {
        let (number, phase) = (known.rollout.target.number, known.rollout.phase.clone());
        let excess_before = known.outcomes.excess();
        Stage { number, phase, began: now, held: None, excess_before, proposed: None }
    }

    fn is_of(&self, rollout: &Rollout) -> bool {
        self.number == rollout.target.number && self.phase == rollout.phase
    }

    /// Whether its next step is proposed already, and may still be decided.
    fn waits(&self, now: Duration, version: Version) -> bool {
        self.proposed.is_some_and(|(at, on)| on == version && now.saturating_sub(at) < AGAIN)
    }
}

/// A consensus server's part in rollouts.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    /// What sidecars have reported.
    pub reports: Reports,
    stage: Option<Stage>,
    looked: Option<Duration>,
}

impl Coordinator {
    /// Whether it is time to look again; a server that does not lead has nothing to look at.
    pub fn is_due(&mut self, now: Duration, leads: bool) -> bool {
        if !leads {
            self.stage = None;
        }
        let due = leads && self.looked.is_none_or(|looked| now.saturating_sub(looked) >= LOOK);
        if due {
            self.looked = Some(now);
        }
        due
    }

    /// What the leader proposes now, if anything.
    pub fn look(&mut self, now: Duration, known: &Known<'_>) -> Option<Proposal> {
        if known.rollout.phase.is_settled() || matches!(known.rollout.phase, Phase::Halted { .. }) {
            self.stage = None;
            return None;
        }
        let mut stage = match self.stage.take() {
            Some(stage) if stage.is_of(known.rollout) => stage,
            _ => Stage::new(now, known),
        };
        let mut event = None;
        let census = self.reports.census(now, known.rollout, known.sidecars.iter().copied());
        if !stage.waits(now, known.version) {
            event = verdict(&mut stage, now, known, &census);
            stage.proposed = event.as_ref().map(|_| (now, known.version));
        }
        self.stage = Some(stage);
        let event = event?;
        let why = match &event {
            Event::Halt(_, why) | Event::Rollback(_, why) => why.clone(),
            _ => format!("{} of {} have it", census.stage.in_force, census.stage.total()),
        };
        let next = known.rollout.step(event).ok()?;
        // The same step of the same state is the same proposal, whoever leads.
        let id = id_of(&next, known.version);
        Some(record::proposal(id, &next, known.version, known.own, &why))
    }
}

/// What is to happen to a stage now, if anything.
fn verdict(stage: &mut Stage, now: Duration, known: &Known<'_>, census: &Census) -> Option<Event> {
    let (rollout, plan, counts) = (known.rollout, &known.rollout.plan, &census.stage);
    let number = rollout.target.number;
    let total = u64::from(counts.total());
    let is_over = |part: u32| u64::from(part) * 1000 > total * u64::from(plan.refused_most_per_mille);
    let goes_back = matches!(rollout.phase, Phase::RollingBack { .. });
    if !goes_back && is_over(counts.refused) {
        let reason = census.first_refusal().unwrap_or_default();
        let why = format!("{} of {total} refuse it: {reason}", counts.refused);
        return Some(Event::Rollback(number, record::cut(&why)));
    }
    let late = now.saturating_sub(stage.began) >= Duration::from_millis(plan.stage_ms.into());
    if rollout.phase != Phase::Canary {
        // Those that are missing take the newest when they are there: what waits does not wait for them.
        let waits = rollout.pending.is_some();
        let reached = counts.missing() == 0 || late && (waits || !is_over(counts.missing()));
        return reached.then_some(Event::Reached(number));
    }
    if let Some(why) = harm(stage, plan.failed_most_per_mille, known.outcomes) {
        return Some(Event::Rollback(number, why));
    }
    let holds = total > 0 && !is_over(counts.missing());
    stage.held = stage.held.filter(|_| holds).or(holds.then_some(now));
    let soak = Duration::from_millis(plan.soak_ms.into());
    match stage.held {
        Some(held) => (now.saturating_sub(held) >= soak).then_some(Event::Promote(number)),
        None if !late => None,
        None if total == 0 => {
            Some(Event::Halt(number, "no sidecar that is there is in the canary".to_owned()))
        }
        None => {
            let why = format!("{} of {total} have not taken it in time", counts.missing());
            Some(Event::Halt(number, why))
        }
    }
}

/// Whether calls from the canary's zones fail more often than before the change, beside those from others.
fn harm(stage: &mut Stage, most_per_mille: u16, outcomes: Outcomes) -> Option<String> {
    let excess = outcomes.excess()?;
    let before = *stage.excess_before.get_or_insert(excess);
    let harm = excess - before.max(0.0);
    let most = f64::from(most_per_mille) / 1000.0;
    (harm > most).then(|| {
        format!("calls from the canary's zones fail {:.1} in 100 more often than from others", harm * 100.0)
    })
}

fn id_of(next: &Rollout, after: Version) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&after.0.to_le_bytes());
    hasher.update(&serde_json::to_vec(next).unwrap_or_default()); // plain data: it never fails
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
