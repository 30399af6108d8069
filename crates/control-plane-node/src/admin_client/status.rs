//! The answers of consensus servers to operators, as JSON.
//!
//! Names in JSON are part of the protocol between builds and of what operators' scripts read; where a field has another
//! name here, serde renames it.

use crate::traffic::{Flow, Lost, MessageKind};
use curlewhub_control_plane::membership::{Member, MemberStatus};
use curlewhub_control_plane::record::{Proposal, Record};
use curlewhub_zone_failover::capacity::{self, EvacuationPlan, ZoneLoad};
use curlewhub_zone_failover::zone_states::ZoneState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limit of the bytes of a record's body in its summary.
const MAX_SUMMARY_BODY_BYTES: usize = 200;

/// The state of a consensus server, by itself. Counters are since its start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Its name.
    pub name: String,
    /// Its incarnation, which rises with each start.
    pub incarnation: u64,
    /// Whether it is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// The leader's name, as far as it knows.
    pub leader: Option<String>,
    /// The raft term.
    pub term: u64,
    /// The ids of the voters, ascending.
    #[serde(rename = "keepers")]
    pub voters: Vec<u64>,
    /// The newest version that it knows to be committed.
    pub version: u64,
    /// The hash of that version.
    pub hash: String,
    /// The newest record of each key.
    pub records: Vec<RecordSummary>,
    /// The number of sidecars with evidence in its store.
    pub sidecars: usize,
    /// The number of members that are alive, itself included.
    #[serde(default)]
    pub members: usize,
    /// Bytes sent.
    #[serde(default)]
    #[serde(rename = "said_bytes")]
    pub sent_bytes: u64,
    /// Bytes received.
    #[serde(default)]
    #[serde(rename = "heard_bytes")]
    pub received_bytes: u64,
    /// Raft messages that were dropped because they are of a superseded incarnation, or of no voter.
    #[serde(default)]
    #[serde(rename = "fenced")]
    pub fenced_messages: u64,
    /// Membership packets that were rejected, by reason.
    #[serde(default)]
    #[serde(rename = "not_heard")]
    pub rejected_packets: BTreeMap<String, u64>,
    /// Fetches of sidecars that were deferred because of the limit of what is sent at once.
    #[serde(rename = "put_off")]
    pub deferred_fetches: u64,
    /// Raft messages that could not be read or did not fit the state of the replica.
    #[serde(rename = "unread")]
    pub malformed_messages: u64,
    /// Digests and reports that were rejected, by reason.
    #[serde(rename = "not_taken")]
    pub rejected_digests: BTreeMap<String, u64>,
    /// Messages that could not be decoded or authenticated, by reason.
    pub dropped: BTreeMap<String, u64>,
    /// Messages lost inside the process, by reason.
    #[serde(default)]
    pub lost: BTreeMap<Lost, u64>,
    /// Messages and bytes by kind.
    #[serde(default)]
    pub traffic: BTreeMap<MessageKind, Flow>,
}

/// A record of the view, for operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordSummary {
    /// Its version.
    pub version: u64,
    /// Its key.
    pub key: String,
    /// The first bytes of its body; those that are no text are replaced.
    pub body: String,
    /// Who proposed it.
    pub by: String,
    /// Why.
    pub why: String,
    /// When it was proposed, in milliseconds since the Unix epoch by the leader's clock.
    pub at_ms: u64,
}

impl RecordSummary {
    /// The summary of a record.
    pub fn of(record: &Record) -> RecordSummary {
        let Proposal { key, body, by, why, .. } = &record.proposal;
        let body = String::from_utf8_lossy(&body[..body.len().min(MAX_SUMMARY_BODY_BYTES)]).into_owned();
        let (key, by, why) = (key.clone(), by.clone(), why.clone());
        RecordSummary { version: record.version.0, key, body, by, why, at_ms: record.at_ms }
    }
}

/// The members that a consensus server knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberList {
    /// The server's name.
    pub by: String,
    /// Its members by name, itself included.
    pub members: Vec<MemberEntry>,
}

/// A member and its status.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberEntry {
    /// The member.
    #[serde(flatten)]
    pub member: Member,
    /// Its status.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
}

/// The zones, as a consensus server knows them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneList {
    /// The server's name.
    pub by: String,
    /// Whether it is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// The version of its view.
    pub version: u64,
    /// The zones by name.
    #[serde(rename = "halls")]
    pub zones: Vec<ZoneStatus>,
    /// Pairs of zones between which calls are cut off, with the reason, by calling zone and called zone.
    #[serde(rename = "cut")]
    pub cut_pairs: BTreeMap<String, BTreeMap<String, String>>,
    /// A zone is left without an operator's override only while this share of the load, 0 to 1, can be served by the others.
    #[serde(default)]
    #[serde(rename = "floor")]
    pub min_remaining_capacity: f64,
}

/// The state of a zone, and what evidence shows of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// Its name.
    pub name: String,
    /// Its region; empty if it is in none.
    pub region: String,
    /// Its decided state.
    pub state: ZoneState,
    /// The reason of that state.
    pub why: String,
    /// Whether an operator's override set the state.
    #[serde(rename = "by_hand")]
    pub overridden: bool,
    /// Calls per second that it serves.
    pub calls_per_s: f64,
    /// The latency of its calls as a multiple of their usual one.
    #[serde(rename = "stretch")]
    pub latency_ratio: f64,
    /// The share of calls that are lost, 0 to 1.
    #[serde(rename = "lost")]
    pub lost_share: f64,
    /// Calls per second that it served before it was left, or serves usually.
    #[serde(rename = "bore_per_s")]
    pub baseline_per_s: f64,
    /// The highest rate of calls per second that it was seen to serve within hours.
    #[serde(default)]
    #[serde(rename = "most_per_s")]
    pub peak_per_s: f64,
    /// Calls per second that are granted into it while it returns.
    pub granted_per_s: f64,
    /// The number of sidecars with evidence of it.
    pub witnesses: u32,
    /// The number of those whose calls into it are lost.
    pub losing: u32,
}

impl ZoneList {
    /// What leaving a zone, a region or a zone's tier would do to the other zones; `None` if nothing has that name.
    pub fn plan_evacuation(&self, name: &str) -> Option<EvacuationPlan> {
        let load = |zone: &ZoneStatus| ZoneLoad {
            name: zone.name.clone(),
            region: zone.region.clone(),
            state: zone.state,
            calls_per_s: zone.calls_per_s,
            peak_per_s: zone.peak_per_s,
        };
        capacity::leave(&self.zones.iter().map(load).collect::<Vec<_>>(), name)
    }

    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // can't fail: finite numbers and text
    }
}

impl MemberList {
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // can't fail: numbers and text
    }
}

impl ServerStatus {
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // can't fail: numbers and text
    }
}
