//! Configuration changes as they are said on the wire: an operator's commands, and what a sidecar reports back.
//!
//! What a command makes of the decided configuration is worked out by `curlewhub-rollout`.

use crate::record::MAX_TEXT_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings that one configuration holds, at the most.
pub const MAX_SETTINGS: usize = 64;
/// Bytes of all their fields, values and zones together, at the most: a record holds three such contents, and the servers
/// tell 1,900 sidecars of it within the second that [`crate::consensus::SEND_BYTES_PER_S`] is for.
pub const MAX_SETTINGS_BYTES: usize = 4096;
/// Zones that a canary names, at the most.
pub const MAX_ZONES: usize = 64;

/// The number of a configuration: it rises with each change and with each rollback, and stands for one content forever.
/// 0 is the empty configuration, which each fleet begins with.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct ConfigNumber(pub u64);

impl ConfigNumber {
    /// The one after it.
    pub fn next(self) -> ConfigNumber {
        ConfigNumber(self.0.saturating_add(1))
    }
}

impl std::fmt::Display for ConfigNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Values by the field's path, such as `log.level`, as text.
pub type SettingValues = BTreeMap<String, String>;

/// What a configuration sets, in place of what each sidecar's own file says.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// At all sidecars.
    pub everywhere: SettingValues,
    /// At those of a zone, over what is set everywhere.
    #[serde(default)]
    pub zones: BTreeMap<String, SettingValues>,
}

impl Settings {
    /// What holds at the sidecars of a zone.
    pub fn in_zone(&self, zone: &str) -> SettingValues {
        let mut values = self.everywhere.clone();
        values.extend(self.zones.get(zone).cloned().unwrap_or_default());
        values
    }

    /// What one of its parts sets: that of a zone, or that of all.
    pub fn part_mut(&mut self, zone: Option<&str>) -> &mut SettingValues {
        match zone {
            Some(zone) => self.zones.entry(zone.to_owned()).or_default(),
            None => &mut self.everywhere,
        }
    }

    /// Each value with its field, and with its zone where it is of one.
    pub fn iter(&self) -> impl Iterator<Item = (Option<&str>, &String, &String)> {
        let everywhere = self.everywhere.iter().map(|(field, value)| (None, field, value));
        everywhere.chain(self.zones.iter().flat_map(|(zone, values)| {
            values.iter().map(move |(field, value)| (Some(&zone[..]), field, value))
        }))
    }
}

/// The sidecars that get a change first: all of some zones, and a part of the others by their names' hashes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Canary {
    /// Zones whose sidecars are all in it.
    pub zones: Vec<String>,
    /// Thousandths of all sidecars that are in it, wherever they are.
    pub per_mille: u16,
}

/// How a change is spread.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct RolloutPlan {
    /// Who gets it first; nobody: it goes to all at once.
    pub canary: Canary,
    /// Milliseconds that the canary must hold it, once all of it does, before it goes to all.
    pub soak_ms: u32,
    /// Milliseconds that a stage may take: the canary is then halted, and all the others are no longer waited for.
    pub stage_ms: u32,
    /// Thousandths of the sidecars of a stage that may refuse a change, or be missing at the end of its stage.
    pub refused_most_per_mille: u16,
    /// Thousandths of calls by which the canary's zones may fail more often than the others, over what they did before.
    pub failed_most_per_mille: u16,
}

/// A change is to be in force everywhere within 15 s: the operators' size. The canary, its soak and the rest share these.
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

/// What an operator wants done with the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigAction {
    /// Spread these settings in place of those of `base`, which is the newest that the operator has seen.
    Propose {
        /// What the change was made from: with another newest one it is refused.
        base: ConfigNumber,
        /// All settings, not only those that change.
        settings: Settings,
        /// How it is spread.
        plan: RolloutPlan,
    },
    /// Give it to all, without waiting for the canary.
    Promote(ConfigNumber),
    /// Give it to nobody but the canary.
    Halt(ConfigNumber),
    /// Go back to the content before it, under a new number.
    Rollback(ConfigNumber),
}

/// An operator's command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigCommand {
    /// Sets it apart from others; one that comes twice is decided once.
    pub id: u64,
    /// What is to be done.
    pub action: ConfigAction,
    /// Who.
    pub by: String,
    /// Why.
    pub why: String,
}

/// A configuration that a sidecar has refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Which.
    pub number: ConfigNumber,
    /// Why, cut to [`MAX_TEXT_BYTES`] bytes.
    pub why: String,
}

/// What a sidecar has in force, and what it has refused last: a summary, which replaces the one before.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ConfigReport {
    /// Which configuration is in force.
    pub in_force: ConfigNumber,
    /// The last one that it has refused, where that is newer.
    pub refused: Option<Refusal>,
}

impl ConfigReport {
    /// Whether its text is within its bounds.
    pub fn is_valid(&self) -> bool {
        self.refused.as_ref().is_none_or(|refused| refused.why.len() <= MAX_TEXT_BYTES)
    }
}
