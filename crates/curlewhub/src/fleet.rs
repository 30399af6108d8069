//! The fleet's processes and calls: `curlewhub keeper`, `curlewhub fleet ...`.

use crate::cli::{Exit, FleetCommand, HallCommand, HallWords, KeepersChange, Process};
use crate::logs::Logs;
use comfy_table::Table;
use curlewhub_balance::{ClassId, Outcome, ZoneId, ZoneRight};
use curlewhub_config::{Config, Log, LogFormat};
use curlewhub_fleet::acted::Acted;
use curlewhub_fleet::evidence::{Ended, Witness};
use curlewhub_fleet::members::Standing as MemberStands;
use curlewhub_fleet::record::{Hash, Kind, Proposal};
use curlewhub_fleet_node::call::{Described, Known, change, describe, halls, members, propose};
use curlewhub_fleet_node::config::FleetConfig;
use curlewhub_fleet_node::{Acts, Manner, Standing, follow, keep};
use curlewhub_locality::part::Right;
use curlewhub_locality::places::{ByHand, FREEZE, Freeze, HAND, Hand, State};
use curlewhub_runtime::clock::Clock;
use curlewhub_runtime::events::Command;
use curlewhub_runtime::figures::{Beside, Figures};
use curlewhub_runtime::sight::{Attempt, Blind, Sight};
use serde_json::json;
use std::cell::RefCell;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::UnboundedSender;
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
            decide(config, key, Kind(*kind), body.clone().into_bytes(), by, why).await
        }),
        FleetCommand::Halls { config, json } => asked(config, async |config| halls_of(config, *json).await),
        FleetCommand::Hall(command) => {
            let (what, HallWords { config, name, why, by, lasts }) = match command {
                HallCommand::Leave(words) => (Hand::Leave, words),
                HallCommand::Return(words) => (Hand::Return, words),
                HallCommand::Hold(words) => (Hand::Hold, words),
                HallCommand::Release(words) => (Hand::Release, words),
            };
            let until_ms = unix_ms() + lasts.as_millis() as u64;
            asked(config, async |config| {
                let body = serde_json::to_vec(&ByHand { what, until_ms }).unwrap_or_default();
                decide(config, &format!("{HAND}{name}"), Kind::PLACE, body, by, why).await
            })
        }
        FleetCommand::Freeze { config, off, why, by } => asked(config, async |config| {
            let body = serde_json::to_vec(&Freeze { on: !off }).unwrap_or_default();
            decide(config, FREEZE, Kind::FREEZE, body, by, why).await
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
async fn decide(config: &FleetConfig, key: &str, kind: Kind, body: Vec<u8>, by: &str, why: &str) -> Exit {
    let (id, key, by, why) = (rand::random(), key.to_owned(), by.to_owned(), why.to_owned());
    match propose(config, &Proposal { id, key, kind, body, by, why, only_after: None }).await {
        Ok(version) => say(&format!("decided as version {version}\n")),
        Err(problem) => failed(&problem),
    }
}

async fn halls_of(config: &FleetConfig, json: bool) -> Exit {
    let said = match halls(config).await {
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
    for hall in &said.halls {
        let stands = match hall.state {
            State::Serving => "serving".to_owned(),
            State::Leaving(part) => format!("leaving, {:.0}% goes there", part * 100.0),
            State::Left => "left".to_owned(),
            State::Returning(rate) => {
                format!("returning, {:.1} of {rate:.1}/s granted", hall.granted_per_s)
            }
        };
        table.add_row([
            hall.name.clone(),
            hall.region.clone(),
            if hall.by_hand { format!("{stands}, by hand") } else { stands },
            format!("{:.1}", hall.calls_per_s),
            format!("{:.1}", hall.bore_per_s),
            format!("{:.0}%", hall.lost * 100.0),
            format!("{:.2} times", hall.stretch),
            hall.witnesses.to_string(),
            hall.losing.to_string(),
            hall.why.clone(),
        ]);
    }
    let mut text = format!("{table}\n");
    for (from, cut) in &said.cut {
        for (to, why) in cut {
            let _ = writeln!(text, "from {from} to {to}: {why}"); // to a String: it never fails
        }
    }
    let leads = if said.leads { "which leads" } else { "which does not lead" };
    let _ = writeln!(text, "as of version {}, by {}, {leads}", said.version, said.by);
    say(&text)
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

    fn probed(&self, zone: ZoneId, answered: bool) {
        self.witness.borrow_mut().probed(zone.0 as usize, answered);
    }
}

/// Probes of a hall are given up after this.
const PROBE_MOST: Duration = Duration::from_millis(300);

/// Holds what is decided, in a sidecar.
struct Holds {
    figures: Rc<Figures>,
    commands: UnboundedSender<Command>,
    clock: Clock,
    /// The halls' names by number.
    halls: Vec<String>,
    /// Halls that nothing new may go into just now.
    closed: u64,
    /// What the log says of that.
    told: String,
}

impl Holds {
    fn zone(&self, hall: &str) -> Option<ZoneId> {
        self.halls.iter().position(|known| known == hall).map(|zone| ZoneId(zone as u32))
    }
}

impl Acts for Holds {
    fn acts(&mut self, acted: &Acted, hash: Hash) {
        Says.acts(acted, hash);
    }

    fn may(&mut self, now: Duration, rights: &[(String, Right)]) {
        let zoned = rights.iter().filter_map(|(hall, right)| {
            let right = match *right {
                Right::Open => ZoneRight::Open,
                Right::Part(part) => ZoneRight::Part(part),
                // The same moment on the module's clock, which is as steady.
                Right::Rate(per_s, until) => {
                    ZoneRight::Rate { per_s, until: self.clock.now() + until.saturating_sub(now) }
                }
                Right::Closed => ZoneRight::Closed,
                Right::Dark => ZoneRight::Dark,
            };
            Some((self.zone(hall)?, right))
        });
        let zoned = zoned.collect();
        let closed = |(_, right): &&(String, Right)| matches!(right, Right::Closed | Right::Dark);
        self.closed = rights.iter().filter(closed).count() as u64;
        let _ = self.commands.send(Command::Zones(zoned)); // fails only while the process ends
        let told = |(hall, right): &(String, Right)| match right {
            Right::Open => None,
            Right::Part(part) => Some(format!("{hall}: {:.0}%", part * 100.0)),
            Right::Rate(..) => Some(format!("{hall}: returning")),
            Right::Closed => Some(format!("{hall}: closed")),
            Right::Dark => Some(format!("{hall}: dark")),
        };
        let held: Vec<String> = rights.iter().filter_map(told).collect();
        let held = if held.is_empty() { "all open".to_owned() } else { held.join(", ") };
        // A rate is renewed some times a second; that it is one is what a person wants to know.
        if held != self.told {
            info!(halls = held, "fleet: may");
            self.told = held;
        }
    }

    fn probe(&mut self, hall: &str, count: u32) {
        if let Some(zone) = self.zone(hall) {
            // It fails only while the process ends.
            let _ = self.commands.send(Command::ProbeZone { zone, count, within: PROBE_MOST });
        }
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
            gauge("fleet_halls_closed", self.closed),
            gauge("fleet_members", members as u64),
            count("fleet_contradictions", counts.contradictions),
            count("fleet_unanswered", counts.unanswered),
            count("fleet_said_bytes", said),
            count("fleet_heard_bytes", heard),
        ]);
        self.figures.beside(figures);
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
pub fn join(
    config: &Config,
    figures: &Rc<Figures>,
    commands: &UnboundedSender<Command>,
    clock: Clock,
) -> Joined {
    let Some(fleet) = config.fleet.clone() else { return Joined { sight: Rc::new(Blind), leave: None } };
    let halls = config.names.areas.clone();
    let hall = halls.get(config.settings.zone.0 as usize).map_or("", |hall| hall);
    let witness = Rc::new(RefCell::new(Witness::new(hall, halls.clone())));
    let began = Instant::now();
    let manner = Manner { beside: true, witness: Some((witness.clone(), began)), halls: halls.clone() };
    let (figures, commands) = (figures.clone(), commands.clone());
    let mut holds = Holds { figures, commands, clock, halls, closed: 0, told: String::new() };
    let (leave, leaves) = oneshot::channel::<()>();
    let left = spawn_local(async move {
        let leaves = async {
            if leaves.await.is_err() {
                std::future::pending().await
            }
        };
        if let Err(problem) = follow(&fleet, manner, &mut holds, leaves).await {
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
