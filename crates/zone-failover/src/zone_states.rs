//! The decided state of all zones, as stored in the fleet view, with operator overrides and the freeze.
//!
//! One record holds all zones that do not simply serve, so that a change of several zones is one version.

use curlewhub_control_plane::record::Record;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the record of [`ZoneStates`].
pub const ZONE_STATES_KEY: &str = "places";
/// Prefix of the keys of operator overrides; the name of a zone, tier zone or region follows.
pub const OVERRIDE_KEY_PREFIX: &str = "hand/";
/// The key of the record of [`Freeze`].
pub const FREEZE_KEY: &str = "freeze";
/// Zones that one record may hold.
pub const MAX_ZONES: usize = 1000;
/// Highest rate and ratio that a record may hold.
const MAX_RATE: f64 = 1e9;

/// The name of a tier zone: the endpoints of one tier in one zone, which are left and returned to together. Those of the
/// clients' tier, 0, bear the zone's name, and those of the tiers below it the tier's number as well: `zone-b/1`.
pub fn tier_zone(zone: &str, tier: u32) -> String {
    if tier == 0 { zone.to_owned() } else { format!("{zone}/{tier}") }
}

/// The zone of a tier zone.
pub fn zone_of(tier_zone: &str) -> &str {
    tier_zone.split_once('/').map_or(tier_zone, |(zone, _)| zone)
}

/// The tier of a tier zone; 0 if its name has no tier, or one that is no number.
pub fn tier_of(tier_zone: &str) -> u32 {
    tier_zone.split_once('/').and_then(|(_, tier)| tier.parse().ok()).unwrap_or_default()
}

/// The decided state of a tier zone.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// It is sent calls without a limit.
    Serving,
    /// It is slow: it is sent only this share of its calls, 0 to 1.
    Leaving(f64),
    /// It is sent no calls.
    Left,
    /// It is sent up to this number of calls a second by the whole fleet together.
    Returning(f64),
}

/// Rate and latency of a tier zone before it was left, by which its return is judged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Baseline {
    /// Served calls a second.
    pub calls_per_s: f64,
    /// The time that calls took over the time that they usually take anywhere.
    #[serde(rename = "stretch")]
    pub latency_ratio: f64,
}

/// A tier zone that does not simply serve, or did not within the flap window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneRecord {
    /// Its state.
    pub state: ZoneState,
    /// The reason, for operators.
    pub why: String,
    /// Its rate and latency before it was left.
    #[serde(default)]
    #[serde(rename = "before")]
    pub baseline: Baseline,
    /// How often it was left in a row, each time within the flap window of its return.
    #[serde(default)]
    pub flaps: u32,
    /// Whether an operator override decided the state.
    #[serde(default)]
    #[serde(rename = "by_hand")]
    pub overridden: bool,
}

/// The decided states of all tier zones. Fields that a later build adds are ignored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ZoneStates {
    /// By name; a tier zone without a record serves.
    #[serde(default)]
    #[serde(rename = "halls")]
    pub zones: BTreeMap<String, ZoneRecord>,
    /// By calling zone: the tier zones that its sidecars cannot reach, while others can, each with the reason.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub cut_pairs: BTreeMap<String, BTreeMap<String, String>>,
}

/// Why a record of this package is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRecord {
    /// Its body is not valid JSON of its kind, or its key is not one of this package.
    #[error("{0}")]
    Malformed(String),
    /// A number of a zone is out of range; the zone, and the allowed range.
    #[error("halls.{0}: {1}")]
    Number(String, &'static str),
    /// It holds more than [`MAX_ZONES`] zones.
    #[error("halls: allowed: up to {MAX_ZONES}")]
    TooMany,
}

impl ZoneRecord {
    /// Checks the ranges of numbers; the error names the field and what is allowed.
    fn check(&self) -> Result<(), &'static str> {
        let is_valid_rate = |value: f64| (0.0..=MAX_RATE).contains(&value);
        match self.state {
            ZoneState::Leaving(share) if !(0.0..=1.0).contains(&share) => {
                return Err("leaving: allowed: 0 to 1");
            }
            ZoneState::Returning(rate) if !is_valid_rate(rate) => {
                return Err("returning: allowed: 0 to 1e9");
            }
            _ => {}
        }
        if !is_valid_rate(self.baseline.calls_per_s) || !is_valid_rate(self.baseline.latency_ratio) {
            return Err("before: allowed: 0 to 1e9");
        }
        Ok(())
    }
}

impl ZoneStates {
    /// Decodes and checks a record's body.
    ///
    /// # Errors
    /// If the body is malformed, a number is out of range, or there are too many zones.
    pub fn decode(body: &[u8]) -> Result<ZoneStates, InvalidRecord> {
        let zone_states: ZoneStates =
            serde_json::from_slice(body).map_err(|error| InvalidRecord::Malformed(error.to_string()))?;
        if zone_states.zones.len() > MAX_ZONES || zone_states.cut_pairs.len() > MAX_ZONES {
            return Err(InvalidRecord::TooMany);
        }
        for (name, zone) in &zone_states.zones {
            zone.check().map_err(|reason| InvalidRecord::Number(name.clone(), reason))?;
        }
        Ok(zone_states)
    }

    /// Encodes a record's body.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default() // cannot fail: the keys are strings
    }

    /// The state of a tier zone; without a record it serves.
    pub fn state(&self, zone: &str) -> ZoneState {
        self.zones.get(zone).map_or(ZoneState::Serving, |record| record.state)
    }

    /// Whether the sidecars of the zone `from` send nothing to the tier zone `to`, as they cannot reach it.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut_pairs.get(from).is_some_and(|cut| cut.contains_key(to))
    }
}

/// What an operator override demands of a zone, tier zone or region.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OverrideAction {
    /// Leave it at once.
    Leave,
    /// Return to it by a recovery ramp.
    Return,
    /// Keep its state.
    Hold,
    /// End the override: automatic transitions resume.
    Release,
}

/// An operator override.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorOverride {
    /// What it demands.
    #[serde(rename = "what")]
    pub action: OverrideAction,
    /// When it expires, in milliseconds of Unix time, unless an operator renews it.
    #[serde(rename = "until_ms")]
    pub expires_unix_ms: u64,
}

/// Stops all automatic transitions; overrides still apply.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Freeze {
    /// Whether it is in force.
    pub on: bool,
}

/// Checks a record of this package: zone states, an override or the freeze.
///
/// # Errors
/// If its body is invalid or its key is not one of this package.
pub fn check(record: &Record) -> Result<(), InvalidRecord> {
    let body = &record.proposal.body;
    let malformed = |error: serde_json::Error| InvalidRecord::Malformed(error.to_string());
    match &record.proposal.key[..] {
        ZONE_STATES_KEY => ZoneStates::decode(body).map(|_| ()),
        FREEZE_KEY => serde_json::from_slice::<Freeze>(body).map(|_| ()).map_err(malformed),
        key if key.starts_with(OVERRIDE_KEY_PREFIX) => {
            serde_json::from_slice::<OperatorOverride>(body).map(|_| ()).map_err(malformed)
        }
        _ => Err(InvalidRecord::Malformed("key: allowed: places, freeze or hand/NAME".to_owned())),
    }
}
