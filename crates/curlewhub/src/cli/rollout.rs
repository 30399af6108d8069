//! Arguments of `curlewhub fleet config …`: rollouts of configuration changes.

use super::fleet::{Author, FleetFile, ReportArgs, parse_interval};
use clap::{Args, Subcommand};
use curlewhub_control_plane::configuration::{Canary, RolloutPlan, Settings};
use std::time::Duration;
use thiserror::Error;

/// Commands of `curlewhub fleet config`.
#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Print the fleet's newest committed settings and their number.
    Show(ReportArgs),
    /// Print all errors of settings, without calling a consensus server.
    Validate {
        #[command(flatten)]
        changes: SettingChanges,
    },
    /// Change settings, in the canary first and then everywhere.
    Propose(Box<ProposeArgs>),
    /// Propose a change repeatedly until SIGTERM, and print a line for each proposal: a probe for testing a
    /// fleet.
    #[command(hide = true)]
    Probe {
        #[command(flatten)]
        propose: Box<ProposeArgs>,
        /// The interval between proposals.
        #[arg(long, value_name = "TIME", value_parser = parse_interval)]
        every: Duration,
    },
    /// Print the progress of a rollout, and which sidecars refuse it and why; exits with 1 until all have
    /// it in force.
    Status {
        #[command(flatten)]
        report: ReportArgs,
        /// Wait up to this long for the rollout to settle.
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
    /// A setting that reverts to each sidecar's own value; may be repeated.
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
    /// The configuration's number; by default the one being rolled out.
    #[arg(long)]
    pub number: Option<u64>,
    /// Its author.
    #[command(flatten)]
    pub author: Author,
}

/// A change of settings and its rollout plan.
#[derive(Args, Debug)]
pub struct ProposeArgs {
    /// The fleet.
    #[command(flatten)]
    pub fleet: FleetFile,
    #[command(flatten)]
    changes: SettingChanges,
    /// The number of the configuration that the change is based on; the change is rejected if that is no
    /// longer the newest.
    #[arg(long)]
    pub base: Option<u64>,
    /// The stages.
    #[command(flatten)]
    pub plan: PlanArgs,
    /// Its author.
    #[command(flatten)]
    pub author: Author,
}

/// The stages of a rollout and the limits that trigger a rollback.
#[derive(Args, Debug)]
pub struct PlanArgs {
    /// A zone whose sidecars are all in the canary; may be repeated.
    #[arg(long, value_name = "ZONE", conflicts_with = "everywhere")]
    canary_zone: Vec<String>,
    /// The number of sidecars per 1000 in the canary, in any zone; 100 if no zone is named, otherwise 0.
    #[arg(long, value_name = "PART", conflicts_with = "everywhere")]
    canary_per_mille: Option<u16>,
    /// Roll it out everywhere at once.
    #[arg(long)]
    everywhere: bool,
    /// How long the canary has it in force before it is rolled out to all others.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    soak: Option<Duration>,
    /// The time limit of a stage: the canary is halted after it, and the last stage stops waiting for
    /// stragglers.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    stage: Option<Duration>,
    /// Roll back if more than this many sidecars per 1000 refuse it.
    #[arg(long, value_name = "PART", visible_alias = "refused-most")]
    max_refused: Option<u16>,
    /// Roll back if the failure rate of calls from the canary's zones exceeds that of the others by more
    /// than this many per 1000.
    #[arg(long, value_name = "PART", visible_alias = "failed-most")]
    max_failed: Option<u16>,
}

impl PlanArgs {
    /// The rollout plan, with defaults for omitted arguments.
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

/// Converts a duration to milliseconds, saturating at the largest value that a plan can hold.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl ProposeArgs {
    /// Returns the newest settings with the changes applied.
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
    /// Applies the changes. Zones that are left without settings of their own are removed.
    pub fn apply(&self, settings: &mut Settings) {
        let values = settings.part_mut(self.zone.as_deref());
        for field in &self.unset {
            values.remove(field);
        }
        values.extend(self.set.iter().cloned());
        settings.zones.retain(|_, values| !values.is_empty());
    }
}

/// The value of `--set` has no `=`.
#[derive(Debug, Error)]
#[error("allowed: FIELD=VALUE")]
pub struct SettingSyntaxError;

fn parse_setting(text: &str) -> Result<(String, String), SettingSyntaxError> {
    let (field, value) = text.split_once('=').ok_or(SettingSyntaxError)?;
    Ok((field.trim().to_owned(), value.trim().to_owned()))
}
