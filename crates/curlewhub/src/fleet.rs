//! The fleet's processes and calls: `curlewhub keeper`, `curlewhub fleet ...`.

use crate::cli::{Exit, FleetCommand, HallCommand, HallWords, KeepersChange, Process};
use crate::logs::Logs;
use comfy_table::Table;
use curlewhub_config::{Log, LogFormat};
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::membership::MemberStatus as MemberStands;
use curlewhub_control_plane::record::{Hash, Proposal, RecordKind};
use curlewhub_control_plane_node::admin_client::{
    MemberEntry, ServerStatus, ZoneList, change_voters, describe_servers, list_members, list_zones, propose,
};
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_control_plane_node::{
    SubscriberOptions, SubscriberStatus, ViewHandler, run_consensus_server, run_subscriber,
};
use curlewhub_zone_failover::capacity::EvacuationPlan;
use curlewhub_zone_failover::zone_states::{
    FREEZE_KEY, Freeze, OVERRIDE_KEY_PREFIX, OperatorOverride, OverrideAction, ZoneState,
};
use serde_json::json;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::pin::Pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};
use tracing::info;

/// Keeps, until told to end.
pub fn keeper(process: &Process, begin: bool) -> Exit {
    serve(process, async |config, end| run_consensus_server(config, begin, end).await)
}

/// Does what the command says.
pub fn fleet(command: &FleetCommand) -> Exit {
    match command {
        FleetCommand::Follow(process) => serve(process, async |config, end| {
            run_subscriber(config, SubscriberOptions::default(), &mut Says, end).await
        }),
        FleetCommand::Status { config, json } => asked(config, async |config| status(config, *json).await),
        FleetCommand::Members { config, json } => asked(config, async |config| listed(config, *json).await),
        FleetCommand::Log { config, json } => asked(config, async |config| log(config, *json).await),
        FleetCommand::Keepers { config, change: wanted } => asked(config, async |config| {
            let (id, add) = match wanted {
                KeepersChange::Add { id } => (*id, true),
                KeepersChange::Remove { id } => (*id, false),
            };
            match change_voters(config, id, add).await {
                Ok(()) => say("under way; `fleet status` shows when it holds\n"),
                Err(problem) => failed(&problem),
            }
        }),
        FleetCommand::Propose { config, key, kind, body, by, why } => asked(config, async |config| {
            decide(config, key, RecordKind(*kind), body.clone().into_bytes(), by, why).await
        }),
        FleetCommand::Halls { config, json } => asked(config, async |config| halls_of(config, *json).await),
        FleetCommand::Config(command) => crate::fleet_config::run(command),
        FleetCommand::Hall(command) => {
            let (what, words) = match command {
                HallCommand::Leave(words) => (OverrideAction::Leave, words),
                HallCommand::Return(words) => (OverrideAction::Return, words),
                HallCommand::Hold(words) => (OverrideAction::Hold, words),
                HallCommand::Release(words) => (OverrideAction::Release, words),
            };
            asked(&words.config, async |config| by_hand(config, what, words).await)
        }
        FleetCommand::Freeze { config, off, why, by } => asked(config, async |config| {
            let body = serde_json::to_vec(&Freeze { on: !off }).unwrap_or_default();
            decide(config, FREEZE_KEY, RecordKind::FREEZE, body, by, why).await
        }),
        FleetCommand::Note { config, text, by, why, every } => asked(config, async |config| {
            let decided = note(config, text, by, why).await;
            match (every, decided) {
                (Some(every), _) => notes(config, text, by, why, *every).await,
                (None, Ok(version)) => say(&format!("decided as version {version}\n")),
                (None, Err(problem)) => failed(&problem),
            }
        }),
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Has a record decided, and says as which version.
async fn decide(
    config: &FleetConfig,
    key: &str,
    kind: RecordKind,
    body: Vec<u8>,
    by: &str,
    why: &str,
) -> Exit {
    let (id, key, by, why) = (rand::random(), key.to_owned(), by.to_owned(), why.to_owned());
    match propose(config, &Proposal { id, key, kind, body, by, why, expected_version: None }).await {
        Ok(version) => say(&format!("decided as version {version}\n")),
        Err(problem) => failed(&problem),
    }
}

/// An operator's word on a hall, a region or a hall's tier, or what it would do.
async fn by_hand(config: &FleetConfig, what: OverrideAction, words: &HallWords) -> Exit {
    let HallWords { name, why, by, lasts, dry_run, .. } = words;
    let said = match list_zones(config).await {
        Ok(said) => said,
        Err(problem) => return failed(&problem),
    };
    let Some(plan) = said.plan_evacuation(name) else {
        let regions: BTreeSet<&str> = said.zones.iter().map(|hall| &hall.region[..]).collect();
        let known =
            said.zones.iter().map(|hall| &hall.name[..]).chain(regions).filter(|name| !name.is_empty());
        let known: Vec<&str> = known.collect();
        return failed(&format!(
            "`{name}` is no hall or region of this fleet; known: {}",
            known.join(", ")
        ));
    };
    if *dry_run {
        return would(&said, what, &plan);
    }
    let until_ms = unix_ms() + lasts.as_millis() as u64;
    let body = serde_json::to_vec(&OperatorOverride { action: what, expires_unix_ms: until_ms })
        .unwrap_or_default();
    let why = why.as_deref().unwrap_or_default();
    decide(config, &format!("{OVERRIDE_KEY_PREFIX}{name}"), RecordKind::ZONE_STATES, body, by, why).await
}

/// Says what an operator's word would do.
fn would(said: &ZoneList, what: OverrideAction, plan: &EvacuationPlan) -> Exit {
    let left = plan.left.join(", ");
    let of = said.zones.iter().filter(|hall| plan.left.contains(&hall.name));
    let stands = |is: fn(ZoneState) -> bool| {
        let names: Vec<&str> =
            of.clone().filter(|hall| is(hall.state)).map(|hall| &hall.name[..]).collect();
        if names.is_empty() { "none".to_owned() } else { names.join(", ") }
    };
    let back = stands(|state| state == ZoneState::Left);
    match what {
        OverrideAction::Hold => return say(&format!("{left}: would stay as they are, whatever is seen\n")),
        OverrideAction::Release => return say(&format!("{left}: would go by themselves again\n")),
        OverrideAction::Return => {
            return say(&format!("would be returned to by steps, as they are left now: {back}\n"));
        }
        OverrideAction::Leave => {}
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["stays", "calls/s", "then/s", "has borne/s", ""]);
    for after in &plan.after {
        let over = after.overload();
        table.add_row([
            after.name.clone(),
            format!("{:.1}", after.calls_per_s),
            format!("{:.1}", after.then_per_s),
            format!("{:.1}", after.peak_per_s),
            if over > 1.0 { format!("{over:.2} times what it has borne") } else { String::new() },
        ]);
    }
    let mut text = format!("{left}: {:.1} calls a second would go elsewhere", plan.moves_per_s);
    if plan.refused_per_s > 0.0 {
        // To a String: it never fails.
        let _ = write!(text, ", and {:.1} be refused, as nothing else has their tier", plan.refused_per_s);
    }
    let (stays, floor) = (plan.stays * 100.0, said.min_remaining_capacity * 100.0);
    let _ = write!(text, "\n{stays:.0}% of what was borne stays");
    if plan.stays < said.min_remaining_capacity {
        let _ = write!(text, ", less than the {floor:.0}% of which nothing is left by itself");
    }
    say(&format!("{text}\n{table}\n"))
}

async fn halls_of(config: &FleetConfig, json: bool) -> Exit {
    let said = match list_zones(config).await {
        Ok(said) => said,
        Err(problem) => return failed(&problem),
    };
    if json {
        return say(&(json!(said).to_string() + "\n"));
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header([
        "hall", "region", "stands", "calls/s", "bore/s", "lost", "takes", "tell", "lose", "why",
    ]);
    for hall in &said.zones {
        let stands = match hall.state {
            ZoneState::Serving => "serving".to_owned(),
            ZoneState::Leaving(part) => format!("leaving, {:.0}% goes there", part * 100.0),
            ZoneState::Left => "left".to_owned(),
            ZoneState::Returning(rate) => {
                format!("returning, {:.1} of {rate:.1}/s granted", hall.granted_per_s)
            }
        };
        table.add_row([
            hall.name.clone(),
            hall.region.clone(),
            if hall.overridden { format!("{stands}, by hand") } else { stands },
            format!("{:.1}", hall.calls_per_s),
            format!("{:.1}", hall.baseline_per_s),
            format!("{:.0}%", hall.lost_share * 100.0),
            format!("{:.2} times", hall.latency_ratio),
            hall.witnesses.to_string(),
            hall.losing.to_string(),
            hall.why.clone(),
        ]);
    }
    let mut text = format!("{table}\n");
    for (from, cut) in &said.cut_pairs {
        for (to, why) in cut {
            let _ = writeln!(text, "from {from} to {to}: {why}"); // to a String: it never fails
        }
    }
    let leads = if said.is_leader { "which leads" } else { "which does not lead" };
    let _ = writeln!(text, "as of version {}, by {}, {leads}", said.version, said.by);
    say(&text)
}

async fn note(config: &FleetConfig, text: &str, by: &str, why: &str) -> Result<u64, String> {
    let (key, kind, body) = ("note".to_owned(), RecordKind::NOTE, text.as_bytes().to_vec());
    let (id, by, why, only_after) = (rand::random(), by.to_owned(), why.to_owned(), None);
    propose(config, &Proposal { id, key, kind, body, by, why, expected_version: only_after }).await
}

/// A note again and again until told to end, a line for each.
async fn notes(config: &FleetConfig, text: &str, by: &str, why: &str, every: Duration) -> Exit {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return failed("signals can't be waited for");
    };
    let mut turns = interval(every);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = turns.tick() => {}
            _ = term.recv() => return Exit::Done,
            _ = int.recv() => return Exit::Done,
        }
        match note(config, text, by, why).await {
            Ok(version) => drop(say(&format!("decided as version {version}\n"))),
            Err(problem) => drop(say(&format!("not decided: {}\n", problem.replace('\n', "; ")))),
        }
    }
}

/// What a follower does with a view for now: it says that it acts on it.
pub(crate) struct Says;

impl ViewHandler for Says {
    fn view_applied(&mut self, acted: &AppliedRecords, hash: Hash) {
        let (version, records) = (acted.version().0, acted.records().count());
        info!(version, ?hash, records, "fleet: acts on");
    }

    fn status_changed(&mut self, _: SubscriberStatus) {}
}

pub(crate) fn say(text: &str) -> Exit {
    let _ = std::io::stdout().write_all(text.as_bytes()); // a reader that has gone is no failure
    Exit::Done
}

pub(crate) fn failed(problem: &str) -> Exit {
    eprintln!("curlewhub: {problem}");
    Exit::Failed
}

fn read(path: &Path) -> Result<FleetConfig, Exit> {
    FleetConfig::read(path).map_err(|problem| {
        eprintln!("curlewhub: {problem}");
        Exit::Usage
    })
}

/// Runs a process of the fleet until SIGTERM or Ctrl-C.
fn serve(
    process: &Process,
    run: impl AsyncFnOnce(&FleetConfig, Pin<Box<dyn Future<Output = ()>>>) -> Result<(), String>,
) -> Exit {
    let config = match read(&process.config) {
        Ok(config) => config,
        Err(exit) => return exit,
    };
    let format = if process.log_json { LogFormat::Json } else { LogFormat::Text };
    let log = Log { format, level: process.log_level.clone(), ..Log::default() };
    let logs = match Logs::start(&log) {
        Ok(logs) => logs,
        Err(problem) => {
            eprintln!("curlewhub: --log-level: {problem}");
            return Exit::Usage;
        }
    };
    let ended = block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
        let end = Box::pin(async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        });
        run(&config, end).await
    });
    drop(logs); // what it still holds comes before the last word
    match ended.and_then(|ended| ended) {
        Ok(()) => Exit::Done,
        Err(problem) => failed(&problem),
    }
}

pub(crate) fn asked(path: &Path, ask: impl AsyncFnOnce(&FleetConfig) -> Exit) -> Exit {
    let config = match read(path) {
        Ok(config) => config,
        Err(exit) => return exit,
    };
    block_on(ask(&config)).unwrap_or_else(|problem| failed(&problem))
}

fn block_on<T>(task: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(LocalSet::new().block_on(&runtime.map_err(|e| e.to_string())?, task))
}

async fn status(config: &FleetConfig, json: bool) -> Exit {
    let all = describe_servers(config).await;
    let up = all.iter().filter(|(_, described)| described.is_ok()).count();
    let majority = up > all.len() / 2;
    if json {
        let one = |(name, described): &(String, Result<ServerStatus, String>)| match described {
            Ok(described) => json!(described),
            Err(problem) => json!({"name": name, "problem": problem}),
        };
        let keepers: Vec<_> = all.iter().map(one).collect();
        say(&(json!({"majority": majority, "keepers": keepers}).to_string() + "\n"));
    } else {
        let mut text = String::new();
        for (name, described) in &all {
            // To a String: it never fails.
            let _ = match described {
                Ok(d) => {
                    let role = if d.is_leader { "leads" } else { "follows" };
                    let (term, version, hash, keepers) = (d.term, d.version, &d.hash, &d.voters);
                    writeln!(
                        text,
                        "{name}  {role}  term {term}  version {version}  {hash}  of keepers {keepers:?}  evidence of {}",
                        d.sidecars
                    )
                }
                Err(problem) => writeln!(text, "{name}  not reached: {problem}"),
            };
        }
        if !majority {
            text += "no majority is reached: nothing new can be decided, and everything goes on\n";
        }
        say(&text);
    }
    if majority { Exit::Done } else { Exit::Failed }
}

async fn listed(config: &FleetConfig, json: bool) -> Exit {
    let listed = match list_members(config).await {
        Ok(listed) => listed,
        Err(problem) => return failed(&problem),
    };
    if json {
        return say(&(json!(listed).to_string() + "\n"));
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["name", "stands", "role", "hall", "at", "build", "format", "incarnation"]);
    for MemberEntry { member: m, status: standing } in &listed.members {
        table.add_row([
            m.name.clone(),
            format!("{standing:?}").to_lowercase(),
            format!("{:?}", m.role).to_lowercase(),
            m.zone.clone(),
            m.address.to_string(),
            m.build.clone(),
            m.format.to_string(),
            format!("{}.{}", m.incarnation, m.rejoins),
        ]);
    }
    let there = listed.members.iter().filter(|known| known.status != MemberStands::Down).count();
    say(&format!("{table}\n{there} there, by {}\n", listed.by))
}

async fn log(config: &FleetConfig, json: bool) -> Exit {
    let all = describe_servers(config).await;
    let newest = all.into_iter().filter_map(|(_, described)| described.ok()).max_by_key(|d| d.version);
    let Some(newest) = newest else { return failed("no keeper is reached") };
    let mut records = newest.records;
    records.sort_by_key(|record| record.version);
    if json {
        return say(&(json!(records).to_string() + "\n"));
    }
    let mut text = String::new();
    for r in records {
        let _ = writeln!(text, "{:>6}  {}  {}  by {}  {}", r.version, r.key, r.body, r.by, r.why); // never fails
    }
    say(&text)
}
