//! `fleet zones`: the state of each zone and the evidence for it.

use super::session::FleetError;
use crate::output::{Exit, print};
use comfy_table::Table;
use curlewhub_control_plane_node::admin_client::{ZoneList, ZoneStatus, list_zones};
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_zone_failover::zone_states::ZoneState;
use serde_json::json;

/// Columns of the table. `calls/s` is the current rate and `baseline/s` the usual one; `lost` is the share
/// of calls lost, `latency` the ratio to the baseline latency, `witnesses` the sidecars with evidence and
/// `losing` those that lose calls.
const HEADER: [&str; 10] =
    ["zone", "region", "state", "calls/s", "baseline/s", "lost", "latency", "witnesses", "losing", "why"];

/// Prints the zones as reported by the leader, or else by any server.
pub async fn print_zones(config: &FleetConfig, json: bool) -> Result<Exit, FleetError> {
    let zones = list_zones(config).await.map_err(FleetError::Call)?;
    let text = if json { json!(zones).to_string() + "\n" } else { zones_text(&zones) };
    Ok(print(&text))
}

fn zones_text(zones: &ZoneList) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(HEADER);
    for zone in &zones.zones {
        table.add_row(row(zone));
    }
    let mut text = format!("{table}\n");
    for (from, cut) in &zones.cut_pairs {
        for (to, why) in cut {
            text += &format!("from {from} to {to}: {why}\n");
        }
    }
    let leads = if zones.is_leader { "which leads" } else { "which does not lead" };
    text + &format!("as of version {}, by {}, {leads}\n", zones.version, zones.by)
}

fn row(zone: &ZoneStatus) -> [String; HEADER.len()] {
    let state = state_text(zone);
    [
        zone.name.clone(),
        zone.region.clone(),
        if zone.overridden { format!("{state}, overridden") } else { state },
        format!("{:.1}", zone.calls_per_s),
        format!("{:.1}", zone.baseline_per_s),
        format!("{:.0}%", zone.lost_share * 100.0),
        format!("{:.2} times", zone.latency_ratio),
        zone.witnesses.to_string(),
        zone.losing.to_string(),
        zone.why.clone(),
    ]
}

fn state_text(zone: &ZoneStatus) -> String {
    match zone.state {
        ZoneState::Serving => "serving".to_owned(),
        ZoneState::Leaving(share) => format!("leaving, {:.0}% is sent there", share * 100.0),
        ZoneState::Left => "left".to_owned(),
        ZoneState::Returning(rate) => {
            format!("returning, {:.1} of {rate:.1}/s granted", zone.granted_per_s)
        }
    }
}
