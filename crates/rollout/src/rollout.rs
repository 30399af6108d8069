//! The state machine of a rollout. [`Rollout::step`] is the only function that leads from one state to another.
//!
//! Configuration numbers only rise, and each stands for one content for ever: a rollback is a new number with the content
//! of an earlier one. The state is one record of the fleet view, replaced as a whole by compare-and-set on its version.

use crate::canary::{self, Sidecar};
use crate::settings;
use curlewhub_config::Problem;
use curlewhub_control_plane::configuration::{ConfigNumber, RolloutPlan, Settings};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A configuration: its number and its settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Content {
    /// The number, 0 for that of a fleet whose configuration was never changed.
    pub number: ConfigNumber,
    /// The settings that override those in each sidecar's own file.
    pub settings: Settings,
}

/// How far a rollout has come.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "name")]
pub enum Phase {
    /// Only the canary is to have the target; all others stay with the base.
    Canary,
    /// As [`Phase::Canary`], but only an operator's command leads on.
    Halted {
        /// Why it was halted.
        why: String,
    },
    /// All sidecars are to have the target.
    All,
    /// As far as is known, all sidecars have the target or have refused it.
    Complete,
    /// All sidecars are to have the target, whose content is that of an earlier configuration.
    RollingBack {
        /// The configuration that is rolled back.
        from: ConfigNumber,
        /// Why it is rolled back.
        why: String,
    },
    /// As far as is known, all sidecars have completed the rollback or have refused it.
    RolledBack {
        /// The configuration that was rolled back.
        from: ConfigNumber,
        /// Why it was rolled back.
        why: String,
    },
}

impl Phase {
    /// Whether the rollout is over: nothing changes until an operator proposes something.
    pub fn is_settled(&self) -> bool {
        matches!(self, Phase::Complete | Phase::RolledBack { .. })
    }

    /// Whether the target is confined to the canary.
    pub fn is_canary(&self) -> bool {
        matches!(self, Phase::Canary | Phase::Halted { .. })
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Phase::Canary => f.write_str("canary"),
            Phase::Halted { why } => write!(f, "halted: {why}"),
            Phase::All => f.write_str("going to all"),
            Phase::Complete => f.write_str("complete"),
            Phase::RollingBack { from, why } => write!(f, "rolling back from {from}: {why}"),
            Phase::RolledBack { from, why } => write!(f, "rolled back from {from}: {why}"),
        }
    }
}

/// A change that is started once the current rollout is over.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Pending {
    /// The new configuration.
    pub content: Content,
    /// How it will be rolled out.
    pub plan: RolloutPlan,
}

/// The state of a rollout: from which configuration to which, and how far it has come.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// The highest number that was ever given out.
    pub newest: ConfigNumber,
    /// The configuration before the target; sidecars outside the canary keep it for now.
    pub base: Content,
    /// The configuration that is rolled out.
    pub target: Content,
    /// The stages of the rollout and their limits.
    pub plan: RolloutPlan,
    /// How far the rollout has come.
    pub phase: Phase,
    /// The next change. Proposals that arrive during a rollout replace each other here: each contains the ones before.
    pub pending: Option<Pending>,
}

/// What happens to a rollout. Each event names the configuration that it concerns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An operator proposes new settings.
    Propose {
        /// The configuration that the operator edited; it has to be the newest.
        base: ConfigNumber,
        /// The new settings, complete.
        settings: Settings,
        /// How they are rolled out.
        plan: RolloutPlan,
    },
    /// The target is to go to all sidecars: by an operator's command, or because the canary has soaked without harm.
    Promote(ConfigNumber),
    /// The rollout is to stop at its canary, for this reason: by an operator's command, or because the canary did not apply
    /// the target in time.
    Halt(ConfigNumber, String),
    /// The target is to be rolled back, for this reason: by an operator's command, or because of measured harm.
    Rollback(ConfigNumber, String),
    /// As far as is known, all sidecars have the target or have refused it.
    Completed(ConfigNumber),
}

/// Why an event was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EventRejection {
    /// The proposal was made from an outdated configuration; another operator was faster.
    #[error(
        "base: it was made from configuration {base}, and the newest is {newest}; allowed: {newest}, with its settings read again"
    )]
    OutdatedBase {
        /// The configuration that the proposal was made from.
        base: ConfigNumber,
        /// The newest configuration.
        newest: ConfigNumber,
    },
    /// The settings or the plan are invalid.
    #[error("{}", settings::listed(.0))]
    Invalid(Vec<Problem>),
    /// The event concerns the first configuration, but the second one is being rolled out.
    #[error("number: {0} is not being spread; {1} is")]
    NotTheTarget(ConfigNumber, ConfigNumber),
    /// The event is not allowed in the current phase.
    #[error("configuration {number} is {phase}; {hint}")]
    WrongPhase {
        /// The target.
        number: ConfigNumber,
        /// The current phase.
        phase: Box<Phase>,
        /// What is allowed instead.
        hint: &'static str,
    },
}

impl Default for Rollout {
    /// The state of a fleet whose configuration was never changed.
    fn default() -> Self {
        Rollout {
            newest: ConfigNumber(0),
            base: Content::default(),
            target: Content::default(),
            plan: RolloutPlan::default(),
            phase: Phase::Complete,
            pending: None,
        }
    }
}

impl Rollout {
    /// The configuration that a sidecar should have in force.
    pub fn content_for(&self, sidecar: Sidecar<'_>) -> &Content {
        let in_canary = canary::includes(&self.plan.canary, self.target.number, sidecar);
        if self.phase.is_canary() && !in_canary { &self.base } else { &self.target }
    }

    /// The newest settings, which the next proposal has to start from.
    pub fn newest_settings(&self) -> &Settings {
        self.pending.as_ref().map_or(&self.target.settings, |pending| &pending.content.settings)
    }

    /// Whether [`Rollout::step`] can have produced these configuration numbers.
    pub fn is_consistent(&self) -> bool {
        let last = self.pending.as_ref().map_or(self.target.number, |pending| pending.content.number);
        let is_ordered = self.base.number < self.target.number || self.newest == ConfigNumber(0);
        is_ordered && last >= self.target.number && self.newest == last
    }

    /// The state after an event.
    ///
    /// # Errors
    /// Returns why the event is not allowed; the state does not change then.
    pub fn step(&self, event: Event) -> Result<Rollout, EventRejection> {
        match event {
            Event::Propose { base, settings, plan } => self.propose(base, settings, plan),
            Event::Promote(number) => self.with_target(number)?.promote(),
            Event::Halt(number, why) => self.with_target(number)?.halt(why),
            Event::Rollback(number, why) => self.with_target(number)?.roll_back(why),
            Event::Completed(number) => self.with_target(number)?.complete(),
        }
    }

    /// This rollout, if its target has this number.
    fn with_target(&self, number: ConfigNumber) -> Result<&Rollout, EventRejection> {
        if number == self.target.number {
            Ok(self)
        } else {
            Err(EventRejection::NotTheTarget(number, self.target.number))
        }
    }

    fn propose(
        &self,
        base: ConfigNumber,
        settings: Settings,
        plan: RolloutPlan,
    ) -> Result<Rollout, EventRejection> {
        if base != self.newest {
            return Err(EventRejection::OutdatedBase { base, newest: self.newest });
        }
        let mut problems = settings::problems(&settings);
        problems.extend(settings::plan_problems(&plan));
        if !problems.is_empty() {
            return Err(EventRejection::Invalid(problems));
        }
        if matches!(self.phase, Phase::Halted { .. }) {
            return self.wrong_phase("promote it or roll it back first");
        }
        let number = self.newest.next();
        let pending = Pending { content: Content { number, settings }, plan };
        let next = Rollout { newest: number, pending: Some(pending), ..self.clone() };
        Ok(if self.phase.is_settled() { next.start_pending() } else { next })
    }

    /// Starts the pending change, if there is one.
    fn start_pending(self) -> Rollout {
        let Some(Pending { content, plan }) = self.pending else { return self };
        let phase = if canary::is_empty(&plan.canary) { Phase::All } else { Phase::Canary };
        Rollout { newest: self.newest, base: self.target, target: content, plan, phase, pending: None }
    }

    fn promote(&self) -> Result<Rollout, EventRejection> {
        if !self.phase.is_canary() {
            return self.wrong_phase("only a canary is promoted");
        }
        Ok(Rollout { phase: Phase::All, ..self.clone() })
    }

    fn halt(&self, why: String) -> Result<Rollout, EventRejection> {
        if self.phase != Phase::Canary {
            return self.wrong_phase("only a canary is halted; roll it back");
        }
        Ok(Rollout { phase: Phase::Halted { why }, ..self.clone() })
    }

    fn roll_back(&self, why: String) -> Result<Rollout, EventRejection> {
        let is_rollback = matches!(self.phase, Phase::RollingBack { .. } | Phase::RolledBack { .. });
        if is_rollback || self.newest == ConfigNumber(0) {
            return self.wrong_phase("there is nothing before it to go back to; propose what you want");
        }
        let number = self.newest.next();
        let target = Content { number, settings: self.base.settings.clone() };
        let phase = Phase::RollingBack { from: self.target.number, why };
        // The pending change was made from the target that is rolled back, so it goes as well.
        Ok(Rollout { newest: number, target, phase, pending: None, ..self.clone() })
    }

    fn complete(&self) -> Result<Rollout, EventRejection> {
        let phase = match &self.phase {
            Phase::All => Phase::Complete,
            Phase::RollingBack { from, why } => Phase::RolledBack { from: *from, why: why.clone() },
            _ => return self.wrong_phase("it does not go to all"),
        };
        Ok(Rollout { phase, ..self.clone() }.start_pending())
    }

    fn wrong_phase(&self, hint: &'static str) -> Result<Rollout, EventRejection> {
        let phase = Box::new(self.phase.clone());
        Err(EventRejection::WrongPhase { number: self.target.number, phase, hint })
    }
}
