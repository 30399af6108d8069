//! The record of a rollout in the fleet view: its key, its JSON body, and how it is proposed.

use crate::rollout::Rollout;
use curlewhub_control_plane::record::{MAX_TEXT_BYTES, Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::view::View;

/// The key of the record in the fleet view.
pub const CONFIG: &str = "config";

/// Why a record can't be used as a rollout.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The record has another key than [`CONFIG`].
    #[error("key: allowed: {CONFIG}")]
    Key,
    /// The body is not the JSON of a rollout that this build knows.
    #[error("body: {0}")]
    Malformed(String),
    /// The configuration numbers contradict each other; see [`Rollout::is_consistent`].
    #[error("body: its numbers do not follow one another")]
    InconsistentNumbers,
}

/// Reads the rollout of a record.
///
/// # Errors
/// Returns why the record can't be used.
pub fn read(record: &Record) -> Result<Rollout, RecordError> {
    if record.proposal.key != CONFIG {
        return Err(RecordError::Key);
    }
    let decoded = serde_json::from_slice(&record.proposal.body);
    let rollout: Rollout = decoded.map_err(|error| RecordError::Malformed(error.to_string()))?;
    if rollout.is_consistent() { Ok(rollout) } else { Err(RecordError::InconsistentNumbers) }
}

/// The decided rollout and the version that decided it. Before the first decision these are the default rollout and
/// version 0.
///
/// # Errors
/// Returns why the decided record can't be read; a newer build wrote it.
pub fn newest(view: &View) -> Result<(Rollout, Version), RecordError> {
    match view.get(CONFIG) {
        Some(record) => Ok((read(record)?, record.version)),
        None => Ok((Rollout::default(), Version(0))),
    }
}

/// A proposal that replaces the rollout of version `expected` by this one. It is rejected if another version of the
/// record has been decided in the meantime.
pub fn proposal(id: u64, rollout: &Rollout, expected: Version, by: &str, why: &str) -> Proposal {
    Proposal {
        id,
        key: CONFIG.to_owned(),
        kind: RecordKind::CONFIG,
        body: encode(rollout),
        by: by.to_owned(),
        why: truncate(why),
        expected_version: Some(expected),
    }
}

/// The JSON of a rollout.
pub(crate) fn encode(rollout: &Rollout) -> Vec<u8> {
    serde_json::to_vec(rollout).unwrap_or_default() // numbers, text and maps with text keys: it never fails
}

/// Shortens a text to [`MAX_TEXT_BYTES`], at a character boundary.
pub(crate) fn truncate(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
