//! `fleet zone …`: operator overrides of zone failover, and the preview of their effect.

use super::proposals::{commit, proposal};
use super::session::{FleetError, with_fleet};
use crate::cli::fleet::{OverrideArgs, ZoneCommand};
use crate::output::{Exit, print};
use comfy_table::Table;
use curlewhub_control_plane::record::RecordKind;
use curlewhub_control_plane_node::admin_client::{ZoneList, list_zones};
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_zone_failover::capacity::EvacuationPlan;
use curlewhub_zone_failover::zone_states::{
    OVERRIDE_KEY_PREFIX, OperatorOverride, OverrideAction, ZoneState,
};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Runs a command of `curlewhub fleet zone`.
pub fn run(command: &ZoneCommand) -> Exit {
    let (action, args) = match command {
        ZoneCommand::Leave(args) => (OverrideAction::Leave, args),
        ZoneCommand::Return(args) => (OverrideAction::Return, args),
        ZoneCommand::Hold(args) => (OverrideAction::Hold, args),
        ZoneCommand::Release(args) => (OverrideAction::Release, args),
    };
    with_fleet(&args.fleet, async |config| override_zone(config, action, args).await)
}

/// Proposes an override of a zone, a region or a tier of a zone, or with `--dry-run` prints its effect.
async fn override_zone(
    config: &FleetConfig,
    action: OverrideAction,
    args: &OverrideArgs,
) -> Result<Exit, FleetError> {
    let zones = list_zones(config).await.map_err(FleetError::Call)?;
    let plan = zones.plan_evacuation(&args.name).ok_or_else(|| unknown_zone(&zones, &args.name))?;
    if args.dry_run {
        return Ok(print(&dry_run_text(&zones, action, &plan)));
    }
    let operator_override = OperatorOverride { action, expires_unix_ms: expiry_unix_ms(args.duration) };
    let body = serde_json::to_vec(&operator_override).unwrap_or_default();
    let key = format!("{OVERRIDE_KEY_PREFIX}{}", args.name);
    let why = args.why.as_deref().unwrap_or_default();
    commit(config, &proposal(&key, RecordKind::ZONE_STATES, body, &args.by, why)).await
}

/// The expiry in milliseconds of Unix time: consensus servers compare it with their own wall clocks.
fn expiry_unix_ms(duration: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64 + duration.as_millis() as u64
}

fn unknown_zone(zones: &ZoneList, name: &str) -> FleetError {
    let regions: BTreeSet<&String> = zones.zones.iter().map(|zone| &zone.region).collect();
    let names = zones.zones.iter().map(|zone| &zone.name).chain(regions);
    let known = names.filter(|name| !name.is_empty()).cloned().collect();
    FleetError::UnknownZone { name: name.to_owned(), known }
}

fn dry_run_text(zones: &ZoneList, action: OverrideAction, plan: &EvacuationPlan) -> String {
    let targets = plan.left.join(", ");
    match action {
        OverrideAction::Hold => {
            format!("{targets}: would stay in the current state, whatever the evidence\n")
        }
        OverrideAction::Release => format!("{targets}: automatic failover would resume\n"),
        OverrideAction::Return => {
            format!(
                "would be returned to step by step (those that are left now): {}\n",
                left_targets(zones, plan)
            )
        }
        OverrideAction::Leave => evacuation_text(zones, plan),
    }
}

/// The names of the override's targets that are in the state `Left`.
fn left_targets(zones: &ZoneList, plan: &EvacuationPlan) -> String {
    let left = zones.zones.iter().filter(|zone| zone.state == ZoneState::Left);
    let names: Vec<&str> =
        left.map(|zone| &zone.name[..]).filter(|name| plan.left.iter().any(|left| left == name)).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}

/// The load that leaving the targets would move to each other zone.
fn evacuation_text(zones: &ZoneList, plan: &EvacuationPlan) -> String {
    let mut text =
        format!("{}: {:.1} calls/s would be sent elsewhere", plan.left.join(", "), plan.moves_per_s);
    if plan.refused_per_s > 0.0 {
        text += &format!(
            ", and {:.1} calls/s would be refused because no other zone has their tier",
            plan.refused_per_s
        );
    }
    let (remaining, minimum) = (plan.stays * 100.0, zones.min_remaining_capacity * 100.0);
    text += &format!("\n{remaining:.0}% of the known capacity remains");
    if plan.stays < zones.min_remaining_capacity {
        text += &format!(", less than the {minimum:.0}% below which no zone is left automatically");
    }
    format!("{text}\n{}\n", load_table(plan))
}

fn load_table(plan: &EvacuationPlan) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["remaining zone", "calls/s", "then/s", "peak/s", ""]);
    for after in &plan.after {
        let overload = after.overload();
        table.add_row([
            after.name.clone(),
            format!("{:.1}", after.calls_per_s),
            format!("{:.1}", after.then_per_s),
            format!("{:.1}", after.peak_per_s),
            if overload > 1.0 { format!("{overload:.2} times its peak") } else { String::new() },
        ]);
    }
    table
}
