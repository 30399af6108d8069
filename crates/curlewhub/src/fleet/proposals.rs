//! Commands that propose a single record: `fleet freeze`, `fleet propose` and `fleet note`.

use super::probe;
use super::session::FleetError;
use super::signals::terminate_or_interrupt;
use crate::cli::fleet::{Author, NoteArgs, RecordArgs};
use crate::output::{Exit, print};
use curlewhub_control_plane::record::{Proposal, RecordKind};
use curlewhub_control_plane_node::admin_client;
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_zone_failover::zone_states::{FREEZE_KEY, Freeze};

/// Creates a proposal with a new random id, by which the consensus servers deduplicate its retries.
pub fn proposal(key: &str, kind: RecordKind, body: Vec<u8>, by: &str, why: &str) -> Proposal {
    Proposal {
        id: rand::random(),
        key: key.to_owned(),
        kind,
        body,
        by: by.to_owned(),
        why: why.to_owned(),
        expected_version: None,
    }
}

/// Submits a proposal to be committed, and prints its version.
pub async fn commit(config: &FleetConfig, proposal: &Proposal) -> Result<Exit, FleetError> {
    let version = admin_client::propose(config, proposal).await.map_err(FleetError::Call)?;
    Ok(print(&format!("decided as version {version}\n")))
}

/// Stops automatic zone transitions, or resumes them.
pub async fn freeze(config: &FleetConfig, on: bool, author: &Author) -> Result<Exit, FleetError> {
    let body = serde_json::to_vec(&Freeze { on }).unwrap_or_default();
    commit(config, &proposal(FREEZE_KEY, RecordKind::FREEZE, body, &author.by, &author.why)).await
}

/// Proposes a record of any kind.
pub async fn propose_record(config: &FleetConfig, record: &RecordArgs) -> Result<Exit, FleetError> {
    let RecordArgs { key, kind, body, author, .. } = record;
    let body = body.clone().into_bytes();
    commit(config, &proposal(key, RecordKind(*kind), body, &author.by, &author.why)).await
}

/// Proposes a note: once, or repeatedly as a probe.
pub async fn note(config: &FleetConfig, note: &NoteArgs) -> Result<Exit, FleetError> {
    let Some(every) = note.every else {
        return commit(config, &note_proposal(note)).await;
    };
    // The first proposal of a probe is not reported: it may include the time until a leader is found.
    let _ = admin_client::propose(config, &note_proposal(note)).await;
    let shutdown = terminate_or_interrupt()?;
    Ok(probe::repeat(every, shutdown, async || commit(config, &note_proposal(note)).await).await)
}

fn note_proposal(note: &NoteArgs) -> Proposal {
    let body = note.text.as_bytes().to_vec();
    proposal("note", RecordKind::NOTE, body, &note.author.by, &note.author.why)
}
