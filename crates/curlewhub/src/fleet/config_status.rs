//! `fleet config status`: the progress of a rollout.

use super::session::FleetError;
use crate::output::{Exit, print};
use comfy_table::Table;
use curlewhub_control_plane_node::admin_client::config_status;
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_rollout::reports::{Counts, Standing};
use curlewhub_rollout::rollout::Phase;
use curlewhub_rollout::status::ConfigStatus;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval between reads of the status while waiting: the leader's coordinator evaluates reports at the
/// same interval.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Prints the status once the rollout is settled or the wait is over. Returns `Exit::Failed` unless all
/// sidecars have their configuration in force.
pub async fn print_status(
    config: &FleetConfig,
    json: bool,
    wait: Option<Duration>,
) -> Result<Exit, FleetError> {
    let start = Instant::now();
    let status = loop {
        let status = config_status(config).await;
        let is_settled = status.as_ref().is_ok_and(is_settled);
        if is_settled || wait.is_none_or(|wait| start.elapsed() >= wait) {
            break status.map_err(FleetError::Call)?;
        }
        sleep(POLL_INTERVAL).await;
    };
    print(&if json { json!(status).to_string() + "\n" } else { status_text(&status) });
    Ok(if is_in_force(&status) { Exit::Done } else { Exit::Failed })
}

/// Whether the leader reports a state in which nothing more will change automatically.
fn is_settled(status: &ConfigStatus) -> bool {
    status.leads && (is_in_force(status) || matches!(status.rollout.phase, Phase::Halted { .. }))
}

/// Whether no rollout is under way and all sidecars have the configuration meant for them.
fn is_in_force(status: &ConfigStatus) -> bool {
    let stage = &status.census.stage;
    status.rollout.phase.is_settled() && stage.in_force == stage.total()
}

fn status_text(status: &ConfigStatus) -> String {
    let rollout = &status.rollout;
    let mut text = format!("configuration {}: {}\n", rollout.target.number, rollout.phase);
    if let Some(pending) = &rollout.pending {
        text += &format!("configuration {} is pending\n", pending.content.number);
    }
    let stage = &status.census.stage;
    text += &format!("in force at {} of {} sidecars of this stage\n", stage.in_force, stage.total());
    text += &format!("{}\n", zone_table(status));
    for straggler in &status.census.stragglers {
        text += &format!("{}  {}\n", straggler.name, standing_text(&straggler.standing));
    }
    let leads = if status.leads { "which leads" } else { "which does not lead" };
    text + &format!("as of version {}, by {}, {leads}\n", status.version, status.by)
}

fn zone_table(status: &ConfigStatus) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["zone", "in force", "refused", "behind", "silent"]);
    for (zone, counts) in &status.census.zones {
        let Counts { in_force, refused, behind, silent } = counts;
        let zone = if zone.is_empty() { "none" } else { zone };
        let counts = [in_force, refused, behind, silent].map(ToString::to_string);
        table.add_row([zone.to_owned()].into_iter().chain(counts));
    }
    table
}

fn standing_text(standing: &Standing) -> String {
    match standing {
        Standing::InForce => "has it in force".to_owned(),
        Standing::Refused(why) => format!("refuses it: {}", why.replace('\n', "; ")),
        Standing::Behind(number) => format!("has {number} in force"),
        Standing::Silent => "silent".to_owned(),
    }
}
