//! What is decided of halls: one record of all that are not simply served, so that a change is one version, whole or not at
//! all.

use curlewhub_fleet::record::Record;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of that record.
pub const PLACES: &str = "places";
/// Keys of what operators have decided: of a hall or region by its name, and of all.
pub const HAND: &str = "hand/";
/// The key that all automatic moves stand still by.
pub const FREEZE: &str = "freeze";
/// Halls at the most.
pub const HALLS_MOST: usize = 1000;

/// A tier's endpoints in a hall, which are left and returned to as one. Those of the clients' tier go by the hall's name, those of
/// the tiers below by it and their tier's number: `hall-b/1`.
pub fn place(hall: &str, tier: u32) -> String {
    if tier == 0 { hall.to_owned() } else { format!("{hall}/{tier}") }
}

/// The hall that a place is in.
pub fn hall_of(place: &str) -> &str {
    place.split_once('/').map_or(place, |(hall, _)| hall)
}

/// The tier of a place.
pub fn tier_of(place: &str) -> u32 {
    place.split_once('/').and_then(|(_, tier)| tier.parse().ok()).unwrap_or_default()
}

/// How a hall stands.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
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
pub struct Before {
    /// Calls that it served in a second.
    pub calls_per_s: f64,
    /// How long they took, as a multiple of what is usual anywhere.
    pub stretch: f64,
}

/// A hall that is not simply served, or was not lately.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hall {
    /// How it stands.
    pub state: State,
    /// Why, for people.
    pub why: String,
    /// What it was before it was left.
    #[serde(default)]
    pub before: Before,
    /// How often it was left in a row, each time soon after it had returned.
    #[serde(default)]
    pub flaps: u32,
    /// An operator has it so.
    #[serde(default)]
    pub by_hand: bool,
}

/// All of it. What a newer build adds is passed over by this one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Places {
    /// By name; a hall that is not there is simply served.
    #[serde(default)]
    pub halls: BTreeMap<String, Hall>,
    /// By hall: others that its sidecars leave, since only the way there is cut.
    #[serde(default)]
    pub cut: BTreeMap<String, BTreeMap<String, String>>,
}

/// Why a record of places can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Senseless {
    /// Its words can't be read.
    #[error("{0}")]
    Unread(String),
    /// A number in it can't be.
    #[error("halls.{0}: {1}")]
    Number(String, &'static str),
    /// Too many halls.
    #[error("halls: allowed: up to {HALLS_MOST}")]
    TooMany,
}

impl Places {
    /// Out of a record's body.
    ///
    /// # Errors
    /// Why it makes no sense.
    pub fn read(body: &[u8]) -> Result<Places, Senseless> {
        let places: Places = serde_json::from_slice(body).map_err(|e| Senseless::Unread(e.to_string()))?;
        if places.halls.len() > HALLS_MOST || places.cut.len() > HALLS_MOST {
            return Err(Senseless::TooMany);
        }
        for (name, hall) in &places.halls {
            let wrong = |why| Err(Senseless::Number(name.clone(), why));
            match hall.state {
                State::Leaving(part) if !(0.0..=1.0).contains(&part) => {
                    return wrong("leaving: allowed: 0 to 1");
                }
                State::Returning(rate) if !(0.0..=1e9).contains(&rate) => {
                    return wrong("returning: allowed: 0 to 1e9");
                }
                _ => {}
            }
            let Before { calls_per_s, stretch } = hall.before;
            if !(0.0..=1e9).contains(&calls_per_s) || !(0.0..=1e9).contains(&stretch) {
                return wrong("before: allowed: 0 to 1e9");
            }
        }
        Ok(places)
    }

    /// As a record's body.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default() // text keys and finite numbers: it never fails
    }

    /// How a hall stands.
    pub fn state(&self, hall: &str) -> State {
        self.halls.get(hall).map_or(State::Serving, |hall| hall.state)
    }

    /// Whether sidecars of a hall leave another, since the way there is cut.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut.get(from).is_some_and(|cut| cut.contains_key(to))
    }
}

/// What an operator wants of a hall or region.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hand {
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
pub struct ByHand {
    /// What is wanted.
    pub what: Hand,
    /// Until then, in milliseconds of Unix time: it must be renewed, or the place goes by itself again.
    pub until_ms: u64,
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
pub fn check(record: &Record) -> Result<(), Senseless> {
    let body = &record.proposal.body;
    let unread = |e: serde_json::Error| Senseless::Unread(e.to_string());
    match &record.proposal.key[..] {
        PLACES => Places::read(body).map(|_| ()),
        FREEZE => serde_json::from_slice::<Freeze>(body).map(|_| ()).map_err(unread),
        key if key.starts_with(HAND) => serde_json::from_slice::<ByHand>(body).map(|_| ()).map_err(unread),
        _ => Err(Senseless::Unread("key: allowed: places, freeze or hand/NAME".to_owned())),
    }
}
