//! `fleet config …`: rollouts of configuration changes.

use super::config_status;
use super::probe::repeat;
use super::session::{FleetError, with_fleet};
use super::signals::terminate;
use crate::cli::fleet::Author;
use crate::cli::rollout::{DecisionArgs, ProposeArgs, RolloutCommand, SettingChanges};
use crate::output::{Exit, print};
use curlewhub_control_plane::configuration::{ConfigAction, ConfigCommand, ConfigNumber, Settings};
use curlewhub_control_plane_node::admin_client::{command_config, config_status as read_status};
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_rollout::settings;
use curlewhub_rollout::status::ConfigStatus;
use serde_json::json;
use std::time::Duration;

/// Runs a command of `curlewhub fleet config`.
pub fn run(command: &RolloutCommand) -> Exit {
    match command {
        RolloutCommand::Show(report) => {
            with_fleet(&report.fleet, async |config| show(config, report.json).await)
        }
        RolloutCommand::Validate { changes } => validate(changes),
        RolloutCommand::Propose(args) => {
            with_fleet(&args.fleet, async |config| propose(config, args).await)
        }
        RolloutCommand::Probe { propose, every } => {
            with_fleet(&propose.fleet, async |config| probe(config, propose, *every).await)
        }
        RolloutCommand::Status { report, wait } => with_fleet(&report.fleet, async |config| {
            config_status::print_status(config, report.json, *wait).await
        }),
        RolloutCommand::Promote(decision) => decide(decision, ConfigAction::Promote),
        RolloutCommand::Halt(decision) => decide(decision, ConfigAction::Halt),
        RolloutCommand::Rollback(decision) => decide(decision, ConfigAction::Rollback),
    }
}

async fn show(config: &FleetConfig, json: bool) -> Result<Exit, FleetError> {
    let rollout = read_status(config).await.map_err(FleetError::Call)?.rollout;
    let settings = rollout.newest_settings();
    if json {
        return Ok(print(&(json!({"number": rollout.newest, "settings": settings}).to_string() + "\n")));
    }
    let mut text = format!("configuration {}\n", rollout.newest);
    for (zone, field, value) in settings.iter() {
        let scope = zone.map_or(String::new(), |zone| format!("  # in zone {zone}"));
        text += &format!("{field} = {value}{scope}\n");
    }
    Ok(print(&text))
}

fn validate(changes: &SettingChanges) -> Exit {
    let mut settings = Settings::default();
    changes.apply(&mut settings);
    let problems = settings::problems(&settings);
    if problems.is_empty() {
        return print("no problem found\n");
    }
    eprintln!("{}", settings::listed(&problems));
    Exit::Usage
}

async fn propose(config: &FleetConfig, args: &ProposeArgs) -> Result<Exit, FleetError> {
    let status = read_status(config).await.map_err(FleetError::Call)?;
    let newest = status.rollout.newest_settings();
    if args.settings(newest) == *newest {
        return Err(FleetError::Unchanged);
    }
    let zones = &status.census.zones;
    for zone in args.zones().filter(|zone| !zones.contains_key(*zone)) {
        let known: Vec<&str> = zones.keys().map(String::as_str).collect();
        eprintln!("curlewhub: zone `{zone}` has no sidecar at present; known: {}", known.join(", "));
    }
    propose_from(config, args, &status).await
}

/// Proposes the change, applied to the newest settings of this status. Its base is the one given in the
/// arguments, or else the newest configuration.
async fn propose_from(
    config: &FleetConfig,
    args: &ProposeArgs,
    status: &ConfigStatus,
) -> Result<Exit, FleetError> {
    let rollout = &status.rollout;
    let settings = args.settings(rollout.newest_settings());
    let base = args.base.map_or(rollout.newest, ConfigNumber);
    let action = ConfigAction::Propose { base, settings, plan: args.plan.plan() };
    commit(config, action, &args.author, base.next()).await
}

/// Proposes a change at each interval until SIGTERM, and prints a line for each proposal.
async fn probe(config: &FleetConfig, args: &ProposeArgs, every: Duration) -> Result<Exit, FleetError> {
    let propose = async || {
        let status = read_status(config).await.map_err(FleetError::Call)?;
        propose_from(config, args, &status).await
    };
    Ok(repeat(every, terminate()?, propose).await)
}

fn decide(decision: &DecisionArgs, action: fn(ConfigNumber) -> ConfigAction) -> Exit {
    with_fleet(&decision.fleet, async |config| {
        let number = match decision.number {
            Some(number) => ConfigNumber(number),
            None => read_status(config).await.map_err(FleetError::Call)?.rollout.target.number,
        };
        commit(config, action(number), &decision.author, number).await
    })
}

/// Submits a command to be committed, and prints its version.
async fn commit(
    config: &FleetConfig,
    action: ConfigAction,
    author: &Author,
    number: ConfigNumber,
) -> Result<Exit, FleetError> {
    let (by, why) = (author.by.clone(), author.why.clone());
    let command = ConfigCommand { id: rand::random(), action, by, why };
    let version = command_config(config, &command).await.map_err(FleetError::Call)?;
    Ok(print(&format!("configuration {number}: decided as version {version}\n")))
}
