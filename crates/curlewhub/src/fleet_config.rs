//! `curlewhub fleet config ...`: the sidecars' configuration, as their fleet decides it and takes it over.

use crate::cli::Exit;
use crate::fleet::{asked, failed, say};
use clap::{Args, Subcommand};
use comfy_table::Table;
use curlewhub_control_plane::configuration::{
    Canary, ConfigAction, ConfigCommand, ConfigNumber, RolloutPlan, Settings,
};
use curlewhub_control_plane_node::admin_client::{command_config, config_status};
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_rollout::reports::{Counts, Standing};
use curlewhub_rollout::rollout::Phase;
use curlewhub_rollout::settings;
use curlewhub_rollout::status::ConfigStatus;
use serde_json::json;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval, sleep};

/// While a status is waited for, it is asked for this often: four times a second, as the leading server looks.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// What is done with the configuration.
#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Print the newest settings that the fleet has decided, and their number.
    Show {
        #[command(flatten)]
        fleet: FleetFile,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Say all that is wrong with settings, without asking anybody.
    Validate {
        #[command(flatten)]
        change: Changes,
    },
    /// Change settings: first at the canary, then everywhere.
    Propose(Box<Propose>),
    /// Propose a change again and again until told to end, a line for each: a probe of a fleet, for trials.
    #[command(hide = true)]
    Probe {
        #[command(flatten)]
        propose: Box<Propose>,
        /// This far apart.
        #[arg(long, value_name = "TIME", value_parser = crate::cli::every)]
        every: Duration,
    },
    /// Print how far a change is, who has it in force, who refuses it and why; 1 while not all have it.
    Status {
        #[command(flatten)]
        fleet: FleetFile,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        /// Wait for so long until nothing is under way any more.
        #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
        wait: Option<Duration>,
    },
    /// Give a change to all, without waiting for its canary.
    Promote(Decision),
    /// Give a change to nobody but its canary.
    Halt(Decision),
    /// Go back to the content before a change, everywhere and at once.
    Rollback(Decision),
}

/// Whose fleet.
#[derive(Args, Debug)]
pub struct FleetFile {
    /// A keeper's or follower's file (TOML), for the keepers' addresses and the key.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

/// Settings that change.
#[derive(Args, Debug)]
pub struct Changes {
    /// A setting by its path, such as log.level=debug; may come often.
    #[arg(long = "set", value_name = "FIELD=VALUE", value_parser = setting)]
    set: Vec<(String, String)>,
    /// A setting that is each sidecar's own again; may come often.
    #[arg(long, value_name = "FIELD")]
    unset: Vec<String>,
    /// In this zone alone, over what is set everywhere.
    #[arg(long, value_name = "ZONE")]
    zone: Option<String>,
}

/// Who decides, and why.
#[derive(Args, Debug)]
pub struct Author {
    /// Why.
    #[arg(long)]
    why: String,
    /// Who.
    #[arg(long, default_value = "operator")]
    by: String,
}

/// A decision on what is being spread.
#[derive(Args, Debug)]
pub struct Decision {
    #[command(flatten)]
    fleet: FleetFile,
    /// The configuration's number; the one that is being spread, where it is not said.
    #[arg(long)]
    number: Option<u64>,
    #[command(flatten)]
    author: Author,
}

/// A change.
#[derive(Args, Debug)]
pub struct Propose {
    #[command(flatten)]
    fleet: FleetFile,
    #[command(flatten)]
    changes: Changes,
    /// The number that the change is made from; refused where another one is the newest by now.
    #[arg(long)]
    base: Option<u64>,
    #[command(flatten)]
    spread: Spread,
    #[command(flatten)]
    author: Author,
}

/// How a change is spread.
#[derive(Args, Debug)]
struct Spread {
    /// A zone whose sidecars all get it first; may come often.
    #[arg(long, value_name = "ZONE", conflicts_with = "everywhere")]
    canary_zone: Vec<String>,
    /// This many in 1000 sidecars get it first, wherever they are; 100 where no zone is named, else 0.
    #[arg(long, value_name = "PART", conflicts_with = "everywhere")]
    canary_per_mille: Option<u16>,
    /// All get it at once.
    #[arg(long)]
    everywhere: bool,
    /// The canary has it in force for so long before all others get it.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    soak: Option<Duration>,
    /// The canary is halted after so long, and the rest is not waited for any longer.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    stage: Option<Duration>,
    /// It is rolled back where more than this many in 1000 refuse it.
    #[arg(long, value_name = "PART")]
    refused_most: Option<u16>,
    /// It is rolled back where this many more in 1000 calls fail from the canary's zones than from others.
    #[arg(long, value_name = "PART")]
    failed_most: Option<u16>,
}

impl Spread {
    fn plan(&self) -> RolloutPlan {
        let default = RolloutPlan::default();
        let per_mille = match self.canary_per_mille {
            Some(per_mille) => per_mille,
            None if self.everywhere || !self.canary_zone.is_empty() => 0,
            None => default.canary.per_mille,
        };
        let millis = |span: Option<Duration>, default: u32| {
            span.map_or(default, |span| u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
        };
        RolloutPlan {
            canary: Canary { zones: self.canary_zone.clone(), per_mille },
            soak_ms: millis(self.soak, default.soak_ms),
            stage_ms: millis(self.stage, default.stage_ms),
            refused_most_per_mille: self.refused_most.unwrap_or(default.refused_most_per_mille),
            failed_most_per_mille: self.failed_most.unwrap_or(default.failed_most_per_mille),
        }
    }
}

impl Propose {
    /// All settings, with these over the newest.
    fn settings(&self, newest: &Settings) -> Settings {
        let mut settings = newest.clone();
        self.changes.apply(&mut settings);
        settings
    }

    /// Zones that it names.
    fn zones(&self) -> impl Iterator<Item = &String> {
        self.changes.zone.iter().chain(&self.spread.canary_zone)
    }
}

impl Changes {
    fn apply(&self, settings: &mut Settings) {
        let values = settings.part_mut(self.zone.as_deref());
        self.unset.iter().for_each(|field| drop(values.remove(field)));
        values.extend(self.set.iter().cloned());
        settings.zones.retain(|_, values| !values.is_empty());
    }
}

fn setting(text: &str) -> Result<(String, String), String> {
    let (field, value) = text.split_once('=').ok_or("allowed: FIELD=VALUE")?;
    Ok((field.trim().to_owned(), value.trim().to_owned()))
}

/// Does what the command says.
pub fn run(command: &RolloutCommand) -> Exit {
    match command {
        RolloutCommand::Show { fleet, json } => {
            asked(&fleet.config, async |config| show(config, *json).await)
        }
        RolloutCommand::Validate { change } => validate(change),
        RolloutCommand::Propose(propose) => {
            asked(&propose.fleet.config, async |config| proposed(config, propose).await)
        }
        RolloutCommand::Probe { propose, every } => {
            asked(&propose.fleet.config, async |config| probe(config, propose, *every).await)
        }
        RolloutCommand::Status { fleet, json, wait } => {
            asked(&fleet.config, async |config| status(config, *json, *wait).await)
        }
        RolloutCommand::Promote(decision) => decided(decision, ConfigAction::Promote),
        RolloutCommand::Halt(decision) => decided(decision, ConfigAction::Halt),
        RolloutCommand::Rollback(decision) => decided(decision, ConfigAction::Rollback),
    }
}

async fn show(config: &FleetConfig, json: bool) -> Exit {
    let rollout = match config_status(config).await {
        Ok(status) => status.rollout,
        Err(problem) => return failed(&problem),
    };
    let settings = rollout.newest_settings();
    if json {
        return say(&(json!({"number": rollout.newest, "settings": settings}).to_string() + "\n"));
    }
    let mut text = format!("configuration {}\n", rollout.newest);
    for (zone, field, value) in settings.iter() {
        let of = zone.map_or(String::new(), |zone| format!("  # in zone {zone}"));
        let _ = writeln!(text, "{field} = {value}{of}"); // to a String: it never fails
    }
    say(&text)
}

fn validate(change: &Changes) -> Exit {
    let mut settings = Settings::default();
    change.apply(&mut settings);
    let problems = settings::problems(&settings);
    if problems.is_empty() {
        return say("no problem found\n");
    }
    eprintln!("{}", settings::listed(&problems));
    Exit::Usage
}

async fn proposed(config: &FleetConfig, propose: &Propose) -> Exit {
    let status = match config_status(config).await {
        Ok(status) => status,
        Err(problem) => return failed(&problem),
    };
    let newest = status.rollout.newest_settings();
    if propose.settings(newest) == *newest {
        return failed("set: it is so already; allowed: --set or --unset of what differs");
    }
    for zone in propose.zones().filter(|zone| !status.census.zones.contains_key(*zone)) {
        let known: Vec<&str> = status.census.zones.keys().map(String::as_str).collect();
        eprintln!("curlewhub: zone `{zone}` has no sidecar just now; known: {}", known.join(", "));
    }
    match try_propose(config, propose, &status).await {
        Ok(decided) => say(&decided),
        Err(problem) => failed(&problem),
    }
}

async fn try_propose(
    config: &FleetConfig,
    propose: &Propose,
    status: &ConfigStatus,
) -> Result<String, String> {
    let rollout = &status.rollout;
    let settings = propose.settings(rollout.newest_settings());
    let base = propose.base.map_or(rollout.newest, ConfigNumber);
    let action = ConfigAction::Propose { base, settings, plan: propose.spread.plan() };
    command(config, action, &propose.author, base.next()).await
}

async fn probe(config: &FleetConfig, propose: &Propose, every: Duration) -> Exit {
    let Ok(mut end) = signal(SignalKind::terminate()) else { return failed("SIGTERM can't be waited for") };
    let mut turns = interval(every);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = turns.tick() => {}
            _ = end.recv() => return Exit::Done,
        }
        let decided = match config_status(config).await {
            Ok(status) => try_propose(config, propose, &status).await,
            Err(problem) => Err(problem),
        };
        match decided {
            Ok(decided) => drop(say(&decided)),
            Err(problem) => drop(say(&format!("not decided: {}\n", problem.replace('\n', "; ")))),
        }
    }
}

fn decided(decision: &Decision, action: fn(ConfigNumber) -> ConfigAction) -> Exit {
    asked(&decision.fleet.config, async |config| {
        let number = match decision.number {
            Some(number) => ConfigNumber(number),
            None => match config_status(config).await {
                Ok(status) => status.rollout.target.number,
                Err(problem) => return failed(&problem),
            },
        };
        match command(config, action(number), &decision.author, number).await {
            Ok(decided) => say(&decided),
            Err(problem) => failed(&problem),
        }
    })
}

/// Has a command carried out, and says so.
async fn command(
    config: &FleetConfig,
    action: ConfigAction,
    author: &Author,
    number: ConfigNumber,
) -> Result<String, String> {
    let (id, by, why) = (rand::random(), author.by.clone(), author.why.clone());
    let version = command_config(config, &ConfigCommand { id, action, by, why }).await?;
    Ok(format!("configuration {number}: decided as version {version}\n"))
}

async fn status(config: &FleetConfig, json: bool, wait: Option<Duration>) -> Exit {
    let began = Instant::now();
    let status = loop {
        let status = config_status(config).await;
        let is_settled = status.as_ref().is_ok_and(|status| {
            status.leads && (is_in_force(status) || matches!(status.rollout.phase, Phase::Halted { .. }))
        });
        if is_settled || wait.is_none_or(|wait| began.elapsed() >= wait) {
            break status;
        }
        sleep(ASK_AGAIN).await;
    };
    let status = match status {
        Ok(status) => status,
        Err(problem) => return failed(&problem),
    };
    let text = if json { json!(status).to_string() + "\n" } else { described(&status) };
    say(&text);
    if is_in_force(&status) { Exit::Done } else { Exit::Failed }
}

/// Whether nothing is under way, and all have what they are to have.
fn is_in_force(status: &ConfigStatus) -> bool {
    let Counts { in_force, .. } = status.census.stage;
    status.rollout.phase.is_settled() && in_force == status.census.stage.total()
}

fn described(status: &ConfigStatus) -> String {
    let rollout = &status.rollout;
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["zone", "in force", "refused", "behind", "silent"]);
    for (zone, counts) in &status.census.zones {
        let Counts { in_force, refused, behind, silent } = counts;
        let zone = if zone.is_empty() { "none" } else { zone };
        table.add_row([
            zone.to_owned(),
            in_force.to_string(),
            refused.to_string(),
            behind.to_string(),
            silent.to_string(),
        ]);
    }
    let mut text = format!("configuration {}: {}\n", rollout.target.number, rollout.phase);
    // To a String: it never fails.
    if let Some(pending) = &rollout.pending {
        let _ = writeln!(text, "configuration {} waits", pending.content.number);
    }
    let stage = &status.census.stage;
    let _ = writeln!(
        text,
        "in force at {} of {} that it goes to by now\n{table}",
        stage.in_force,
        stage.total()
    );
    for straggler in &status.census.stragglers {
        let stands = match &straggler.standing {
            Standing::InForce => "has it".to_owned(),
            Standing::Refused(why) => format!("refuses it: {}", why.replace('\n', "; ")),
            Standing::Behind(number) => format!("has {number} in force"),
            Standing::Silent => "silent".to_owned(),
        };
        let _ = writeln!(text, "{}  {stands}", straggler.name);
    }
    let leads = if status.leads { "which leads" } else { "which does not lead" };
    let _ = writeln!(text, "as of version {}, by {}, {leads}", status.version, status.by);
    text
}
