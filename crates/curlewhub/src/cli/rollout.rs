//! Arguments of `curlewhub fleet config …`: rollouts of configuration changes.

use super::fleet::{Author, FleetFile, ReportArgs, parse_interval};
use clap::{Args, Subcommand};
use curlewhub_control_plane::configuration::{Canary, RolloutPlan, Settings};
use std::time::Duration;
use thiserror::Error;

/// Commands of `curlewhub fleet config`.
#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Print the newest settings that the fleet has decided, and their number.
    Show(ReportArgs),
    /// Print all errors of settings, without calling a consensus server.
    Validate {
        #[command(flatten)]
        changes: SettingChanges,
    },
    /// Change settings, in the canary first and then everywhere.
    Propose(Box<ProposeArgs>),
    /// Propose a change repeatedly until SIGTERM and print a line for each: a probe of a fleet, for trials.
    #[command(hide = true)]
    Probe {
        #[command(flatten)]
        propose: Box<ProposeArgs>,
        /// The interval.
        #[arg(long, value_name = "TIME", value_parser = parse_interval)]
        every: Duration,
    },
    /// Print how far a change is rolled out, who refuses it and why; exits with 1 until all have it.
    Status {
        #[command(flatten)]
        report: ReportArgs,
        /// Wait up to this long until the rollout is settled.
        #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
        wait: Option<Duration>,
    },
    /// Roll a change out everywhere without waiting for its canary.
    Promote(DecisionArgs),
    /// Keep a change in its canary.
    Halt(DecisionArgs),
    /// Return to the settings before a change, everywhere and at once.
    Rollback(DecisionArgs),
}

/// Settings to change.
#[derive(Args, Debug)]
pub struct SettingChanges {
    /// A setting by its path, such as log.level=debug; may be repeated.
    #[arg(long = "set", value_name = "FIELD=VALUE", value_parser = parse_setting)]
    set: Vec<(String, String)>,
    /// A setting that returns to each sidecar's own value; may be repeated.
    #[arg(long, value_name = "FIELD")]
    unset: Vec<String>,
    /// Only in this zone, where it takes precedence over what is set everywhere.
    #[arg(long, value_name = "ZONE")]
    zone: Option<String>,
}

/// A decision on a rollout.
#[derive(Args, Debug)]
pub struct DecisionArgs {
    /// The fleet.
    #[command(flatten)]
    pub fleet: FleetFile,
    /// The configuration's number; by default the one that is being rolled out.
    #[arg(long)]
    pub number: Option<u64>,
    /// Its author.
    #[command(flatten)]
    pub author: Author,
}

/// A change of settings and how it is rolled out.
#[derive(Args, Debug)]
pub struct ProposeArgs {
    /// The fleet.
    #[command(flatten)]
    pub fleet: FleetFile,
    #[command(flatten)]
    changes: SettingChanges,
    /// The number that the change is based on; refused where it is not the newest any more.
    #[arg(long)]
    pub base: Option<u64>,
    /// The stages.
    #[command(flatten)]
    pub plan: PlanArgs,
    /// Its author.
    #[command(flatten)]
    pub author: Author,
}

/// The stages of a rollout and what rolls it back.
#[derive(Args, Debug)]
pub struct PlanArgs {
    /// A zone whose sidecars are all in the canary; may be repeated.
    #[arg(long, value_name = "ZONE", conflicts_with = "everywhere")]
    canary_zone: Vec<String>,
    /// This many in 1000 sidecars are in the canary, in any zone; 100 where no zone is named, else 0.
    #[arg(long, value_name = "PART", conflicts_with = "everywhere")]
    canary_per_mille: Option<u16>,
    /// Roll it out everywhere at once.
    #[arg(long)]
    everywhere: bool,
    /// How long the canary has it in force before all others get it.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    soak: Option<Duration>,
    /// After this time the canary is halted, and stragglers of the last stage are no longer waited for.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    stage: Option<Duration>,
    /// Roll back where more than this many in 1000 sidecars refuse it.
    #[arg(long, value_name = "PART", visible_alias = "refused-most")]
    max_refused: Option<u16>,
    /// Roll back where calls from the canary's zones fail by more than this many in 1000 above the others.
    #[arg(long, value_name = "PART", visible_alias = "failed-most")]
    max_failed: Option<u16>,
}

impl PlanArgs {
    /// The rollout plan, with defaults for what was not given.
    pub fn plan(&self) -> RolloutPlan {
        let default = RolloutPlan::default();
        let per_mille = match self.canary_per_mille {
            Some(per_mille) => per_mille,
            None if self.everywhere || !self.canary_zone.is_empty() => 0,
            None => default.canary.per_mille,
        };
        RolloutPlan {
            canary: Canary { zones: self.canary_zone.clone(), per_mille },
            soak_ms: self.soak.map_or(default.soak_ms, millis),
            stage_ms: self.stage.map_or(default.stage_ms, millis),
            refused_most_per_mille: self.max_refused.unwrap_or(default.refused_most_per_mille),
            failed_most_per_mille: self.max_failed.unwrap_or(default.failed_most_per_mille),
        }
    }
}

/// In milliseconds, saturating at the plan's limit.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl ProposeArgs {
    /// The newest settings with the changes applied.
    pub fn settings(&self, newest: &Settings) -> Settings {
        let mut settings = newest.clone();
        self.changes.apply(&mut settings);
        settings
    }

    /// The zones that the change or its canary names.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        self.changes.zone.iter().chain(&self.plan.canary_zone)
    }
}

impl SettingChanges {
    /// Applies the changes. Zones without settings of their own are dropped.
    pub fn apply(&self, settings: &mut Settings) {
        let values = settings.part_mut(self.zone.as_deref());
        for field in &self.unset {
            values.remove(field);
        }
        values.extend(self.set.iter().cloned());
        settings.zones.retain(|_, values| !values.is_empty());
    }
}

/// A `--set` without `=`.
#[derive(Debug, Error)]
#[error("allowed: FIELD=VALUE")]
pub struct SettingSyntaxError;

fn parse_setting(text: &str) -> Result<(String, String), SettingSyntaxError> {
    let (field, value) = text.split_once('=').ok_or(SettingSyntaxError)?;
    Ok((field.trim().to_owned(), value.trim().to_owned()))
}
