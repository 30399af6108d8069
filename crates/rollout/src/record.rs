//! A rollout as a record of the fleet's decided log.

use crate::rollout::Rollout;
use curlewhub_control_plane::record::{Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::view::View;

/// The key of the record.
pub const CONFIG: &str = "config";

/// Why a record is no rollout.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Senseless {
    /// Its key is another one.
    #[error("key: allowed: {CONFIG}")]
    Key,
    /// It can't be read.
    #[error("body: {0}")]
    Unread(String),
    /// Its numbers can't have come about.
    #[error("body: its numbers do not follow one another")]
    Numbers,
}

/// The rollout that a record holds.
///
/// # Errors
/// Why it holds none.
pub fn read(record: &Record) -> Result<Rollout, Senseless> {
    if record.proposal.key != CONFIG {
        return Err(Senseless::Key);
    }
    let read = serde_json::from_slice(&record.proposal.body);
    let rollout: Rollout = read.map_err(|e| Senseless::Unread(e.to_string()))?;
    if rollout.is_sound() { Ok(rollout) } else { Err(Senseless::Numbers) }
}

/// What is decided: the rollout, and the version that decided it; the empty one where nothing is.
///
/// # Errors
/// The newest record can't be read: a newer build's.
pub fn newest(view: &View) -> Result<(Rollout, Version), Senseless> {
    match view.get(CONFIG) {
        Some(record) => Ok((read(record)?, record.version)),
        None => Ok((Rollout::default(), Version(0))),
    }
}

/// A proposal to have this one follow on the one of that version.
pub fn proposal(id: u64, rollout: &Rollout, after: Version, by: &str, why: &str) -> Proposal {
    Proposal {
        id,
        key: CONFIG.to_owned(),
        kind: RecordKind::CONFIG,
        body: serde_json::to_vec(rollout).unwrap_or_default(), // plain data: it never fails
        by: by.to_owned(),
        why: cut(why),
        expected_version: Some(after),
    }
}

/// A text cut to what a record may hold.
pub fn cut(text: &str) -> String {
    let mut end = text.len().min(curlewhub_control_plane::record::MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
