//! Configuration changes on the wire: an operator's commands and the sidecars' reports. `curlewhub-rollout` decides what a
//! command does to the configuration.

use crate::record::MAX_TEXT_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bound on the settings of one configuration.
pub const MAX_SETTINGS: usize = 64;
/// Bound on the bytes of all their fields, values and zones together. A record contains three configurations, and within
/// [`crate::consensus::SEND_BYTES_PER_S`] it reaches 1,900 sidecars in a second.
pub const MAX_SETTINGS_BYTES: usize = 4096;
/// Bound on the zones of a canary.
pub const MAX_ZONES: usize = 64;

/// The number of a configuration. It rises with each change and each rollback and is never used for other settings again.
/// 0 is the empty configuration that each fleet begins with.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct ConfigNumber(pub u64);

impl ConfigNumber {
    /// The next number.
    pub fn next(self) -> ConfigNumber {
        ConfigNumber(self.0.saturating_add(1))
    }
}

impl std::fmt::Display for ConfigNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Values as text, by the path of the field, such as `log.level`.
pub type SettingValues = BTreeMap<String, String>;

/// The settings of a configuration. They override those of each sidecar's own file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// For all sidecars.
    pub everywhere: SettingValues,
    /// For the sidecars of a zone; they override those for all.
    #[serde(default)]
    pub zones: BTreeMap<String, SettingValues>,
}

impl Settings {
    /// The settings in effect in a zone.
    pub fn in_zone(&self, zone: &str) -> SettingValues {
        let mut values = self.everywhere.clone();
        values.extend(self.zones.get(zone).cloned().unwrap_or_default());
        values
    }

    /// The settings stated for a zone, or those for all sidecars.
    pub fn part_mut(&mut self, zone: Option<&str>) -> &mut SettingValues {
        match zone {
            Some(zone) => self.zones.entry(zone.to_owned()).or_default(),
            None => &mut self.everywhere,
        }
    }

    /// All settings as (zone, field, value), without a zone for those of all sidecars.
    pub fn iter(&self) -> impl Iterator<Item = (Option<&str>, &String, &String)> {
        let everywhere = self.everywhere.iter().map(|(field, value)| (None, field, value));
        everywhere.chain(self.zones.iter().flat_map(|(zone, values)| {
            values.iter().map(move |(field, value)| (Some(&zone[..]), field, value))
        }))
    }
}

/// The sidecars that receive a change first: all of some zones, and a part of the others, chosen by the hash of their names.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Canary {
    /// Zones whose sidecars all belong to it.
    pub zones: Vec<String>,
    /// The part of all sidecars that belongs to it wherever they are, in thousandths.
    pub per_mille: u16,
}

/// How a change is rolled out.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct RolloutPlan {
    /// The sidecars that receive it first; if it is empty, all receive it at once.
    pub canary: Canary,
    /// Soak time in milliseconds: from when the whole canary has it in force until all receive it.
    pub soak_ms: u32,
    /// Time limit of a stage in milliseconds. At its end the canary stage is halted; the last stage ends without the sidecars
    /// that are missing.
    pub stage_ms: u32,
    /// The part of a stage's sidecars that may refuse the change, or be missing at the end of the stage, in thousandths.
    pub refused_most_per_mille: u16,
    /// By how much the failure rate of the canary's zones may rise against that of the others, in thousandths of calls.
    pub failed_most_per_mille: u16,
}

/// The operators want a change in force everywhere within 15 s; the canary stage, with its soak, and the last stage share
/// these.
impl Default for RolloutPlan {
    fn default() -> Self {
        RolloutPlan {
            canary: Canary { zones: Vec::new(), per_mille: 100 },
            soak_ms: 3_000,
            stage_ms: 6_000,
            refused_most_per_mille: 20,
            failed_most_per_mille: 50,
        }
    }
}

/// An action of an operator on the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigAction {
    /// Roll out settings in place of those of `base`, the newest configuration that the operator has seen.
    Propose {
        /// The change is rejected if another configuration is the newest.
        base: ConfigNumber,
        /// All settings, not only those that change.
        settings: Settings,
        /// How it is rolled out.
        plan: RolloutPlan,
    },
    /// Proceed to all sidecars without waiting for the canary.
    Promote(ConfigNumber),
    /// Do not proceed beyond the canary.
    Halt(ConfigNumber),
    /// Return to the settings before it, under a new number.
    Rollback(ConfigNumber),
}

/// An operator's command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigCommand {
    /// Unique among commands and proposals: one that is sent twice is decided once.
    pub id: u64,
    /// The action.
    pub action: ConfigAction,
    /// The operator.
    pub by: String,
    /// The reason.
    pub why: String,
}

/// A configuration that a sidecar has refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// The number of the configuration.
    pub number: ConfigNumber,
    /// The reason, cut to [`MAX_TEXT_BYTES`] bytes.
    pub why: String,
}

/// The state of one sidecar's configuration. Each report replaces the one before.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ConfigReport {
    /// The configuration in force.
    pub in_force: ConfigNumber,
    /// The last one that it has refused, if that is newer.
    pub refused: Option<Refusal>,
}

impl ConfigReport {
    /// Whether its texts are within their bounds.
    pub fn is_valid(&self) -> bool {
        self.refused.as_ref().is_none_or(|refused| refused.why.len() <= MAX_TEXT_BYTES)
    }
}
