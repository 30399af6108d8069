//! `fleet log`: the latest record of each key of the fleet view.

use super::session::FleetError;
use crate::output::{Exit, print};
use curlewhub_control_plane_node::admin_client::{RecordSummary, describe_servers};
use curlewhub_control_plane_node::config::FleetConfig;
use serde_json::json;

/// Prints the records of the server with the highest version, the oldest record first.
pub async fn print_records(config: &FleetConfig, json: bool) -> Result<Exit, FleetError> {
    let servers = describe_servers(config).await.into_iter().filter_map(|(_, described)| described.ok());
    let newest = servers.max_by_key(|status| status.version).ok_or(FleetError::Unreachable)?;
    let mut records = newest.records;
    records.sort_by_key(|record| record.version);
    if json {
        return Ok(print(&(json!(records).to_string() + "\n")));
    }
    Ok(print(&records.iter().map(record_line).collect::<String>()))
}

fn record_line(record: &RecordSummary) -> String {
    let RecordSummary { version, key, body, by, why, .. } = record;
    format!("{version:>6}  {key}  {body}  by {by}  {why}\n")
}
