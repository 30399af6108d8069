//! The fleet's processes and calls: `curlewhub keeper`, `curlewhub fleet ...`.

use crate::cli::{Exit, FleetCommand, KeepersChange, Process};
use crate::logs::Logs;
use comfy_table::Table;
use curlewhub_balance::{ClassId, Outcome, ZoneId};
use curlewhub_config::{Config, Log, LogFormat};
use curlewhub_fleet::acted::Acted;
use curlewhub_fleet::evidence::{Ended, Witness};
use curlewhub_fleet::members::Standing as MemberStands;
use curlewhub_fleet::record::{Hash, Kind, Proposal};
use curlewhub_fleet_node::call::{Described, Known, change, describe, members, propose};
use curlewhub_fleet_node::config::FleetConfig;
use curlewhub_fleet_node::{Acts, Manner, Standing, follow, keep};
use curlewhub_runtime::figures::{Beside, Figures};
use curlewhub_runtime::sight::{Attempt, Blind, Sight};
use serde_json::json;
use std::cell::RefCell;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tracing::{error, info};

/// A process that ends waits so long for its last word to its fleet.
const LEAVE_MOST: Duration = Duration::from_millis(100);

/// Keeps, until told to end.
pub fn keeper(process: &Process, begin: bool) -> Exit {
    serve(process, async |config, end| keep(config, begin, end).await)
}

/// Does what the command says.
pub fn fleet(command: &FleetCommand) -> Exit {
    match command {
        FleetCommand::Follow(process) => {
            serve(process, async |config, end| follow(config, Manner::default(), &mut Says, end).await)
        }
        FleetCommand::Status { config, json } => asked(config, async |config| status(config, *json).await),
        FleetCommand::Members { config, json } => asked(config, async |config| listed(config, *json).await),
        FleetCommand::Log { config, json } => asked(config, async |config| log(config, *json).await),
        FleetCommand::Keepers { config, change: wanted } => asked(config, async |config| {
            let (id, add) = match wanted {
                KeepersChange::Add { id } => (*id, true),
                KeepersChange::Remove { id } => (*id, false),
            };
            match change(config, id, add).await {
                Ok(()) => say("under way; `fleet status` shows when it holds\n"),
                Err(problem) => failed(&problem),
            }
        }),
        FleetCommand::Propose { config, key, kind, body, by, why } => asked(config, async |config| {
            let (id, kind) = (rand::random(), Kind(*kind));
            let (key, by, why, body) = (key.clone(), by.clone(), why.clone(), body.clone().into_bytes());
            match propose(config, &Proposal { id, key, kind, body, by, why, only_after: None }).await {
                Ok(version) => say(&format!("decided as version {version}\n")),
                Err(problem) => failed(&problem),
            }
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

async fn note(config: &FleetConfig, text: &str, by: &str, why: &str) -> Result<u64, String> {
    let (key, kind, body) = ("note".to_owned(), Kind::NOTE, text.as_bytes().to_vec());
    let (id, by, why, only_after) = (rand::random(), by.to_owned(), why.to_owned(), None);
    propose(config, &Proposal { id, key, kind, body, by, why, only_after }).await
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
struct Says;

impl Acts for Says {
    fn acts(&mut self, acted: &Acted, hash: Hash) {
        let (version, records) = (acted.version().0, acted.records().count());
        info!(version, ?hash, records, "fleet: acts on");
    }

    fn stands(&mut self, _: Standing) {}
}

/// A sidecar's part in its fleet: what its driver sees goes to the keepers, and what they decide is held here.
pub struct Member {
    witness: Rc<RefCell<Witness>>,
    began: Instant,
}

impl Sight for Member {
    fn began(&self, attempt: Attempt, class: ClassId, zone: &dyn Fn() -> Option<ZoneId>) {
        if let Some(zone) = zone() {
            let (hall, class) = (zone.0 as usize, class.0);
            self.witness.borrow_mut().began(self.began.elapsed(), (attempt.0.0, attempt.1.0), hall, class);
        }
    }

    fn ended(&self, attempt: Attempt, outcome: Outcome, took: Duration) {
        let how = match outcome {
            Outcome::Ok => Ended::Served,
            Outcome::TimedOut => Ended::Silent,
            Outcome::ConnectFailed | Outcome::Reset => Ended::Gone,
            Outcome::Full => Ended::Full,
            Outcome::Error => Ended::Error,
            Outcome::Cancelled | Outcome::Moot => Ended::Moot,
        };
        self.witness.borrow_mut().ended((attempt.0.0, attempt.1.0), how, took);
    }
}

/// Holds what is decided, in a sidecar.
struct Holds(Rc<Figures>);

impl Acts for Holds {
    fn acts(&mut self, acted: &Acted, hash: Hash) {
        Says.acts(acted, hash);
    }

    fn stands(&mut self, standing: Standing) {
        let Standing { version, age, counts, not_taken, members, traffic: (said, heard) } = standing;
        let gauge = |name, value| Beside { name, value, counts: false };
        let count = |name, value| Beside { name, value, counts: true };
        let mut figures = vec![gauge("fleet_version", version)];
        // Without a keeper's word since the start there is no age to tell.
        figures.extend(age.map(|age| gauge("fleet_age_ms", age.as_millis() as u64)));
        figures.extend([
            gauge("fleet_not_taken", not_taken as u64),
            gauge("fleet_members", members as u64),
            count("fleet_contradictions", counts.contradictions),
            count("fleet_unanswered", counts.unanswered),
            count("fleet_said_bytes", said),
            count("fleet_heard_bytes", heard),
        ]);
        self.0.beside(figures);
    }
}

/// What a sidecar has of its fleet.
pub struct Joined {
    /// What its driver is to tell.
    pub sight: Rc<dyn Sight>,
    leave: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl Joined {
    /// Says that this process goes, so that nobody has to find that out.
    pub async fn leave(self) {
        if let Some((leave, left)) = self.leave {
            let _ = leave.send(());
            let _ = timeout(LEAVE_MOST, left).await; // who has not heard it finds out
        }
    }
}

/// Takes a sidecar into its fleet, where it is told of one. A fleet that can't be joined keeps no sidecar from serving.
pub fn join(config: &Config, figures: &Rc<Figures>) -> Joined {
    let Some(fleet) = config.fleet.clone() else { return Joined { sight: Rc::new(Blind), leave: None } };
    let halls = config.names.areas.clone();
    let hall = halls.get(config.settings.zone.0 as usize).map_or("", |hall| hall);
    let witness = Rc::new(RefCell::new(Witness::new(hall, halls.clone())));
    let began = Instant::now();
    let (manner, figures) =
        (Manner { beside: true, witness: Some((witness.clone(), began)) }, figures.clone());
    let (leave, leaves) = oneshot::channel::<()>();
    let left = spawn_local(async move {
        let leaves = async {
            if leaves.await.is_err() {
                std::future::pending().await
            }
        };
        if let Err(problem) = follow(&fleet, manner, &mut Holds(figures), leaves).await {
            error!(problem, "fleet: not joined; going on alone");
        }
    });
    Joined { sight: Rc::new(Member { witness, began }), leave: Some((leave, left)) }
}

fn say(text: &str) -> Exit {
    let _ = std::io::stdout().write_all(text.as_bytes()); // a reader that has gone is no failure
    Exit::Done
}

fn failed(problem: &str) -> Exit {
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

fn asked(path: &Path, ask: impl AsyncFnOnce(&FleetConfig) -> Exit) -> Exit {
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
    let all = describe(config).await;
    let up = all.iter().filter(|(_, described)| described.is_ok()).count();
    let majority = up > all.len() / 2;
    if json {
        let one = |(name, described): &(String, Result<Described, String>)| match described {
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
                    let role = if d.leads { "leads" } else { "follows" };
                    let (term, version, hash, keepers) = (d.term, d.version, &d.hash, &d.keepers);
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
    let listed = match members(config).await {
        Ok(listed) => listed,
        Err(problem) => return failed(&problem),
    };
    if json {
        return say(&(json!(listed).to_string() + "\n"));
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["name", "stands", "role", "hall", "at", "build", "format", "incarnation"]);
    for Known { member: m, standing } in &listed.members {
        table.add_row([
            m.name.clone(),
            format!("{standing:?}").to_lowercase(),
            format!("{:?}", m.role).to_lowercase(),
            m.hall.clone(),
            m.at.to_string(),
            m.build.clone(),
            m.format.to_string(),
            format!("{}.{}", m.incarnation, m.renewed),
        ]);
    }
    let there = listed.members.iter().filter(|known| known.standing != MemberStands::Gone).count();
    say(&format!("{table}\n{there} there, by {}\n", listed.by))
}

async fn log(config: &FleetConfig, json: bool) -> Exit {
    let all = describe(config).await;
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
