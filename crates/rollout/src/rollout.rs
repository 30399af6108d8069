//! A rollout's state, and the one function that changes it.
//!
//! Numbers of configurations only rise, and each stands for one content: a rollback is a new number with the content
//! from before. The state is decided as a whole in the fleet's log, by compare-and-set on the version before it.

use crate::canary::{self, Sidecar};
use crate::settings;
use curlewhub_config::Problem;
use curlewhub_control_plane::configuration::{ConfigNumber, RolloutPlan, Settings};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A configuration: a number, and what it stands for.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Content {
    /// Its number.
    pub number: ConfigNumber,
    /// All settings that differ from what each sidecar's own file says.
    pub settings: Settings,
}

/// How far a rollout has come.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "name")]
pub enum Phase {
    /// Only the canary has the target; the others stay with the base.
    Canary,
    /// As [`Phase::Canary`], and it goes no further by itself.
    Halted {
        /// Why.
        why: String,
    },
    /// All are to have the target.
    All,
    /// As far as is known all have it, or have refused it.
    Complete,
    /// All are to have the target, which is the content from before another one.
    RollingBack {
        /// What is left.
        from: ConfigNumber,
        /// Why.
        why: String,
    },
    /// They do.
    RolledBack {
        /// What was left.
        from: ConfigNumber,
        /// Why.
        why: String,
    },
}

impl Phase {
    /// Whether nothing happens any more until an operator wants it.
    pub fn is_settled(&self) -> bool {
        matches!(self, Phase::Complete | Phase::RolledBack { .. })
    }

    /// Whether only the canary has the target.
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

/// A change that waits for the one before it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Pending {
    /// What it is.
    pub content: Content,
    /// How it will be spread.
    pub plan: RolloutPlan,
}

/// A rollout: what all had before, what they are to have, and how far that is.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// The greatest number that was ever given.
    pub newest: ConfigNumber,
    /// What was in force before, for those whom the target does not go to yet.
    pub base: Content,
    /// What is spread.
    pub target: Content,
    /// How.
    pub plan: RolloutPlan,
    /// How far.
    pub phase: Phase,
    /// What comes next. Of several only the newest waits, as it holds what the others changed.
    pub pending: Option<Pending>,
}

/// What happens to a rollout. Each names the number that it is about.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An operator proposes settings, made from those of this number.
    Propose {
        /// What they were made from.
        base: ConfigNumber,
        /// All settings.
        settings: Settings,
        /// How they are spread.
        plan: RolloutPlan,
    },
    /// An operator has it go to all; or the canary has held it without harm.
    Promote(ConfigNumber),
    /// An operator stops it; or the canary does not come to hold it.
    Halt(ConfigNumber, String),
    /// An operator goes back; or harm was measured.
    Rollback(ConfigNumber, String),
    /// As far as is known all have it, or have refused it.
    Reached(ConfigNumber),
}

/// Why an event changes nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refused {
    /// Another operator was first.
    #[error(
        "base: it was made from configuration {base}, and the newest is {newest}; allowed: {newest}, with its settings read again"
    )]
    Base {
        /// What it was made from.
        base: ConfigNumber,
        /// The newest.
        newest: ConfigNumber,
    },
    /// It makes no sense.
    #[error("{}", settings::listed(.0))]
    Senseless(Vec<Problem>),
    /// It is about another configuration than the one that is being spread.
    #[error("number: {0} is not being spread; {1} is")]
    Number(ConfigNumber, ConfigNumber),
    /// It can't happen now.
    #[error("configuration {number} is {phase}; {wanted}")]
    Phase {
        /// Which.
        number: ConfigNumber,
        /// How far it is.
        phase: Box<Phase>,
        /// When it could.
        wanted: &'static str,
    },
}

impl Default for Rollout {
    /// That of a fleet in which nobody has changed anything yet.
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
    /// What a sidecar is to have in force.
    pub fn content_for(&self, sidecar: Sidecar<'_>) -> &Content {
        let canary = canary::includes(&self.plan.canary, self.target.number, sidecar);
        if self.phase.is_canary() && !canary { &self.base } else { &self.target }
    }

    /// The newest settings: what a next change is made from.
    pub fn newest_settings(&self) -> &Settings {
        self.pending.as_ref().map_or(&self.target.settings, |pending| &pending.content.settings)
    }

    /// Whether its numbers can have come about by [`Rollout::step`].
    pub fn is_sound(&self) -> bool {
        let waits = self.pending.as_ref().map_or(self.target.number, |pending| pending.content.number);
        let ordered = self.base.number < self.target.number || self.newest == ConfigNumber(0);
        ordered && waits >= self.target.number && self.newest == waits
    }

    /// The state after an event: the only way to another one.
    ///
    /// # Errors
    /// Why it changes nothing.
    pub fn step(&self, event: Event) -> Result<Rollout, Refused> {
        match event {
            Event::Propose { base, settings, plan } => self.propose(base, settings, plan),
            Event::Promote(number) => self.about(number)?.promote(),
            Event::Halt(number, why) => self.about(number)?.halt(why),
            Event::Rollback(number, why) => self.about(number)?.roll_back(why),
            Event::Reached(number) => self.about(number)?.reached(),
        }
    }

    fn about(&self, number: ConfigNumber) -> Result<&Rollout, Refused> {
        if number == self.target.number {
            Ok(self)
        } else {
            Err(Refused::Number(number, self.target.number))
        }
    }

    fn propose(
        &self,
        base: ConfigNumber,
        settings: Settings,
        plan: RolloutPlan,
    ) -> Result<Rollout, Refused> {
        if base != self.newest {
            return Err(Refused::Base { base, newest: self.newest });
        }
        let mut problems = settings::problems(&settings);
        problems.extend(settings::plan_problems(&plan));
        if !problems.is_empty() {
            return Err(Refused::Senseless(problems));
        }
        if matches!(self.phase, Phase::Halted { .. }) {
            return self.not_now("promote it or roll it back first");
        }
        let number = self.newest.next();
        let pending = Pending { content: Content { number, settings }, plan };
        let next = Rollout { newest: number, pending: Some(pending), ..self.clone() };
        Ok(if self.phase.is_settled() { next.started() } else { next })
    }

    /// What waits begins, once nothing is under way.
    fn started(self) -> Rollout {
        let Some(Pending { content, plan }) = self.pending else { return self };
        let phase = if canary::is_empty(&plan.canary) { Phase::All } else { Phase::Canary };
        Rollout { newest: self.newest, base: self.target, target: content, plan, phase, pending: None }
    }

    fn promote(&self) -> Result<Rollout, Refused> {
        if !self.phase.is_canary() {
            return self.not_now("only a canary is promoted");
        }
        Ok(Rollout { phase: Phase::All, ..self.clone() })
    }

    fn halt(&self, why: String) -> Result<Rollout, Refused> {
        if self.phase != Phase::Canary {
            return self.not_now("only a canary is halted; roll it back");
        }
        Ok(Rollout { phase: Phase::Halted { why }, ..self.clone() })
    }

    fn roll_back(&self, why: String) -> Result<Rollout, Refused> {
        let back = matches!(self.phase, Phase::RollingBack { .. } | Phase::RolledBack { .. });
        if back || self.newest == ConfigNumber(0) {
            return self.not_now("there is nothing before it to go back to; propose what you want");
        }
        let number = self.newest.next();
        let target = Content { number, settings: self.base.settings.clone() };
        let phase = Phase::RollingBack { from: self.target.number, why };
        // What waits was made from what is left.
        Ok(Rollout { newest: number, target, phase, pending: None, ..self.clone() })
    }

    fn reached(&self) -> Result<Rollout, Refused> {
        let phase = match &self.phase {
            Phase::All => Phase::Complete,
            Phase::RollingBack { from, why } => Phase::RolledBack { from: *from, why: why.clone() },
            _ => return self.not_now("it does not go to all"),
        };
        Ok(Rollout { phase, ..self.clone() }.started())
    }

    fn not_now(&self, wanted: &'static str) -> Result<Rollout, Refused> {
        Err(Refused::Phase { number: self.target.number, phase: Box::new(self.phase.clone()), wanted })
    }
}
