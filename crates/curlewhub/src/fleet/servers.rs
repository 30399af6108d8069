//! `fleet status` and `fleet servers`: the consensus servers and their voters.

use super::session::FleetError;
use crate::cli::fleet::VoterChange;
use crate::output::{Exit, print};
use curlewhub_control_plane_node::admin_client::{ServerStatus, change_voters, describe_servers};
use curlewhub_control_plane_node::config::FleetConfig;
use serde_json::json;

/// Prints the status of each server. Returns `Exit::Failed` if no majority is reached.
pub async fn print_status(config: &FleetConfig, json: bool) -> Result<Exit, FleetError> {
    let servers = describe_servers(config).await;
    let reached = servers.iter().filter(|(_, described)| described.is_ok()).count();
    let majority = reached > servers.len() / 2;
    if json {
        let entries = servers.iter().map(|(name, described)| match described {
            Ok(status) => json!(status),
            Err(problem) => json!({"name": name, "problem": problem}),
        });
        let entries: Vec<_> = entries.collect();
        print(&(json!({"majority": majority, "keepers": entries}).to_string() + "\n"));
    } else {
        let mut text = String::new();
        for (name, described) in &servers {
            text += &match described {
                Ok(status) => status_line(name, status),
                Err(problem) => format!("{name}  not reached: {problem}\n"),
            };
        }
        if !majority {
            text += "no majority is reached: nothing new can be decided; sidecars keep serving\n";
        }
        print(&text);
    }
    Ok(if majority { Exit::Done } else { Exit::Failed })
}

fn status_line(name: &str, status: &ServerStatus) -> String {
    let role = if status.is_leader { "leads" } else { "follows" };
    let ServerStatus { term, version, hash, voters, sidecars, .. } = status;
    format!(
        "{name}  {role}  term {term}  version {version}  {hash}  voters {voters:?}  evidence of {sidecars}\n"
    )
}

/// Proposes a change of the voters.
pub async fn change(config: &FleetConfig, change: VoterChange) -> Result<Exit, FleetError> {
    let (id, add) = match change {
        VoterChange::Add { id } => (id, true),
        VoterChange::Remove { id } => (id, false),
    };
    change_voters(config, id, add).await.map_err(FleetError::Call)?;
    Ok(print("voter change started; `fleet status` shows when it is complete\n"))
}
