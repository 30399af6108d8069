//! `fleet members`: the processes of a fleet, as known to the SWIM membership protocol.

use super::session::FleetError;
use crate::output::{Exit, print};
use comfy_table::Table;
use curlewhub_control_plane::membership::MemberStatus;
use curlewhub_control_plane_node::admin_client::{MemberEntry, MemberList, list_members};
use curlewhub_control_plane_node::config::FleetConfig;
use serde_json::json;

/// Prints the members.
pub async fn print_members(config: &FleetConfig, json: bool) -> Result<Exit, FleetError> {
    let list = list_members(config).await.map_err(FleetError::Call)?;
    let text = if json { json!(list).to_string() + "\n" } else { members_text(&list) };
    Ok(print(&text))
}

fn members_text(list: &MemberList) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["name", "status", "role", "zone", "at", "build", "format", "incarnation"]);
    for MemberEntry { member, status } in &list.members {
        table.add_row([
            member.name.clone(),
            format!("{status:?}").to_lowercase(),
            format!("{:?}", member.role).to_lowercase(),
            member.zone.clone(),
            member.address.to_string(),
            member.build.clone(),
            member.format.to_string(),
            format!("{}.{}", member.incarnation, member.rejoins),
        ]);
    }
    let present = list.members.iter().filter(|entry| entry.status != MemberStatus::Down).count();
    format!("{table}\n{present} present, by {}\n", list.by)
}
