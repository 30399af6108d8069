//! What is decided of halls: one record of all that are not simply served, so that a change is one version, whole or not at
//! all.

use curlewhub_control_plane::record::Record;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of that record.
pub const ZONE_STATES_KEY: &str = "places";
/// Keys of what operators have decided: of a hall or region by its name, and of all.
pub const OVERRIDE_KEY_PREFIX: &str = "hand/";
/// The key that all automatic moves stand still by.
pub const FREEZE_KEY: &str = "freeze";
/// Halls at the most.
pub const MAX_ZONES: usize = 1000;

/// A tier's endpoints in a hall, which are left and returned to as one. Those of the clients' tier go by the hall's name, those of
/// the tiers below by it and their tier's number: `zone-b/1`.
pub fn tier_zone(zone: &str, tier: u32) -> String {
    if tier == 0 { zone.to_owned() } else { format!("{zone}/{tier}") }
}

/// The hall that a place is in.
pub fn zone_of(place: &str) -> &str {
    place.split_once('/').map_or(place, |(zone, _)| zone)
}

/// The tier of a place.
pub fn tier_of(place: &str) -> u32 {
    place.split_once('/').and_then(|(_, tier)| tier.parse().ok()).unwrap_or_default()
}

/// How a hall stands.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// As any other.
    Serving,
    /// It is slow: only this part of the calls that would go there may, 0 to 1.
    Leaving(f64),
    /// Nothing goes there.
    Left,
    /// So many calls a second may go there, of the whole fleet together.
    Returning(f64),
}

/// What a hall was before it was left.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Baseline {
    /// Calls that it served in a second.
    pub calls_per_s: f64,
    /// How long they took, as a multiple of what is usual anywhere.
    #[serde(rename = "stretch")]
    pub latency_ratio: f64,
}

/// A hall that is not simply served, or was not lately.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneRecord {
    /// How it stands.
    pub state: ZoneState,
    /// Why, for people.
    pub why: String,
    /// What it was before it was left.
    #[serde(default)]
    #[serde(rename = "before")]
    pub baseline: Baseline,
    /// How often it was left in a row, each time soon after it had returned.
    #[serde(default)]
    pub flaps: u32,
    /// An operator has it so.
    #[serde(default)]
    #[serde(rename = "by_hand")]
    pub overridden: bool,
}

/// All of it. What a newer build adds is passed over by this one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ZoneStates {
    /// By name; a hall that is not there is simply served.
    #[serde(default)]
    #[serde(rename = "halls")]
    pub zones: BTreeMap<String, ZoneRecord>,
    /// By hall: others that its sidecars leave, since only the way there is cut.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub cut_pairs: BTreeMap<String, BTreeMap<String, String>>,
}

/// Why a record of places can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRecord {
    /// Its words can't be read.
    #[error("{0}")]
    Malformed(String),
    /// A number in it can't be.
    #[error("halls.{0}: {1}")]
    Number(String, &'static str),
    /// Too many halls.
    #[error("halls: allowed: up to {MAX_ZONES}")]
    TooMany,
}

impl ZoneStates {
    /// Out of a record's body.
    ///
    /// # Errors
    /// Why it makes no sense.
    pub fn decode(body: &[u8]) -> Result<ZoneStates, InvalidRecord> {
        let zone_states: ZoneStates =
            serde_json::from_slice(body).map_err(|e| InvalidRecord::Malformed(e.to_string()))?;
        if zone_states.zones.len() > MAX_ZONES || zone_states.cut_pairs.len() > MAX_ZONES {
            return Err(InvalidRecord::TooMany);
        }
        for (name, zone) in &zone_states.zones {
            let wrong = |why| Err(InvalidRecord::Number(name.clone(), why));
            match zone.state {
                ZoneState::Leaving(part) if !(0.0..=1.0).contains(&part) => {
                    return wrong("leaving: allowed: 0 to 1");
                }
                ZoneState::Returning(rate) if !(0.0..=1e9).contains(&rate) => {
                    return wrong("returning: allowed: 0 to 1e9");
                }
                _ => {}
            }
            let Baseline { calls_per_s, latency_ratio: stretch } = zone.baseline;
            if !(0.0..=1e9).contains(&calls_per_s) || !(0.0..=1e9).contains(&stretch) {
                return wrong("before: allowed: 0 to 1e9");
            }
        }
        Ok(zone_states)
    }

    /// As a record's body.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default() // text keys and finite numbers: it never fails
    }

    /// How a hall stands.
    pub fn state(&self, zone: &str) -> ZoneState {
        self.zones.get(zone).map_or(ZoneState::Serving, |zone| zone.state)
    }

    /// Whether sidecars of a hall leave another, since the way there is cut.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut_pairs.get(from).is_some_and(|cut| cut.contains_key(to))
    }
}

/// What an operator wants of a hall or region.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OverrideAction {
    /// Leave it, at once.
    Leave,
    /// Return to it, by steps.
    Return,
    /// It stays as it is.
    Hold,
    /// It goes by itself again.
    Release,
}

/// An operator's word on a hall or region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorOverride {
    /// What is wanted.
    #[serde(rename = "what")]
    pub action: OverrideAction,
    /// Until then, in milliseconds of Unix time: it must be renewed, or the place goes by itself again.
    #[serde(rename = "until_ms")]
    pub expires_unix_ms: u64,
}

/// Whether all automatic moves stand still.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Freeze {
    /// They do.
    pub on: bool,
}

/// Reads a record of this package's kinds; what else it is, others know.
///
/// # Errors
/// Why it makes no sense.
pub fn check(record: &Record) -> Result<(), InvalidRecord> {
    let body = &record.proposal.body;
    let unread = |e: serde_json::Error| InvalidRecord::Malformed(e.to_string());
    match &record.proposal.key[..] {
        ZONE_STATES_KEY => ZoneStates::decode(body).map(|_| ()),
        FREEZE_KEY => serde_json::from_slice::<Freeze>(body).map(|_| ()).map_err(unread),
        key if key.starts_with(OVERRIDE_KEY_PREFIX) => {
            serde_json::from_slice::<OperatorOverride>(body).map(|_| ()).map_err(unread)
        }
        _ => Err(InvalidRecord::Malformed("key: allowed: places, freeze or hand/NAME".to_owned())),
    }
}
