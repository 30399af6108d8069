//! A keeper's process: the agreement's ticks and messages, its disk, and what it says.

use crate::call::Described;
use crate::config::{FleetConfig, keys};
use crate::links::Links;
use crate::store::Store;
use curlewhub_fleet::keeper::{Keeper, Output, TICK};
use curlewhub_fleet::wire::{Message, Said, Who};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{error, info};

/// Connections that it accepts at once, at the most: as many sidecars and a few operators.
const ACCEPTED_MOST: usize = 16_384;
/// Messages that wait to be dealt with, at the most.
const INBOX_MOST: usize = 8192;
/// Messages dealt with before what they want kept is synced, at the most: one sync for many.
const AT_ONCE: usize = 64;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

struct Process {
    keeper: Keeper,
    store: Store,
    links: Rc<Links>,
    /// The keepers' names by number.
    names: BTreeMap<u64, String>,
    began: Instant,
    leader: u64,
    who: Who,
}

/// Keeps, until it is dropped. Only where the fleet `begins` may a keeper that is no joining one have an empty folder: later
/// on that is a disk that forgot what it promised, and a promise that is forgotten must not be voted against.
///
/// # Errors
/// What keeps it from starting, by field; or its disk, on which it then no longer relies.
pub async fn keep(config: &FleetConfig, begins: bool) -> Result<(), String> {
    let id = config.id().ok_or("name: allowed: that of one of `keepers`")?;
    let keys = keys(config)?;
    let at = |e: &dyn std::fmt::Display| format!("state_dir: {}: {e}", config.state_dir.display());
    std::fs::create_dir_all(&config.state_dir).map_err(|e| at(&e))?;
    let store = Store::open(&config.state_dir.join("keeper.redb")).map_err(|e| at(&e))?;
    let incarnation = store.incarnation(unix_ms()).map_err(|e| at(&e))?;
    let ids: Vec<u64> = config.keepers.iter().map(|keeper| keeper.id).collect();
    let kept = match store.kept().map_err(|e| at(&e))? {
        Some(kept) => kept,
        None if config.joins => Keeper::joining(),
        None if begins => Keeper::first(&ids),
        None => {
            let why = "it holds nothing: with `--begin` where the fleet is new, else with `joins = true` and a new number";
            return Err(at(&why));
        }
    };
    store.begin(&kept).map_err(|e| at(&e))?;
    let keeper = Keeper::new(id, &kept, rand::random(), Duration::ZERO).map_err(|e| at(&e))?;
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let who = Who { name: config.name.clone(), incarnation };
    let others = config.keepers.iter().filter(|keeper| keeper.id != id);
    let addresses = others.map(|keeper| (keeper.name.clone(), keeper.address)).collect();
    let (inbox, mut heard) = mpsc::channel(INBOX_MOST);
    let links = Links::new(ACCEPTED_MOST, who.clone(), keys, addresses, inbox);
    spawn_local(links.clone().listen(listener));
    let names = config.keepers.iter().map(|keeper| (keeper.id, keeper.name.clone())).collect();
    let version = keeper.view().version();
    info!(keeper = id, incarnation, version = version.0, "fleet: keeping");
    let mut process = Process { keeper, store, links, names, began: Instant::now(), leader: 0, who };
    let mut ticks = interval(TICK);
    // After a pause one tick is enough: it must hear before it asks for votes.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let output = process.keeper.tick(process.began.elapsed(), unix_ms());
                process.carry_out(vec![output])?;
            }
            Some(message) = heard.recv() => {
                let mut outputs = vec![process.heard(message)];
                while outputs.len() < AT_ONCE && let Ok(message) = heard.try_recv() {
                    outputs.push(process.heard(message));
                }
                process.carry_out(outputs)?;
            }
        }
    }
}

impl Process {
    fn heard(&mut self, message: Message) -> Output {
        match message.said {
            Said::Agreement(bytes) => self.keeper.agreement(&bytes),
            Said::Describe => {
                let text = self.described().to_json();
                Output { said: vec![(message.from.name, Said::Described(text))], ..Output::default() }
            }
            Said::Change { keeper, add } => {
                // Others could not reach it.
                let known = !add || self.names.contains_key(&keeper);
                let unknown = || Err(format!("`keepers` of {} does not name {keeper}", self.who.name));
                let changed = if known {
                    self.keeper.change(keeper, add).map_err(|e| e.to_string())
                } else {
                    unknown()
                };
                if changed.is_ok() {
                    let by = &message.from.name;
                    info!(keeper, add, by, "fleet: keepers change");
                }
                let (mut output, answer) = match changed {
                    Ok(output) => (output, Said::Changing),
                    Err(problem) => (Output::default(), Said::NotChanging(problem)),
                };
                output.said.push((message.from.name, answer));
                output
            }
            said => self.keeper.heard(&message.from, said),
        }
    }

    /// First all is on disk, then all is said.
    fn carry_out(&mut self, outputs: Vec<Output>) -> Result<(), String> {
        if self.keeper.forgot() {
            let problem = "its folder holds less than it has promised: it is an old copy, or has forgotten";
            error!(problem, "fleet: ending");
            return Err(format!(
                "state_dir: {problem}; it goes on under a new number, with `joins = true`"
            ));
        }
        for output in outputs.iter().filter(|output| !output.persist.is_empty()) {
            if let Err(problem) = self.store.keep(&output.persist) {
                // What it has promised it may not remember: it must not go on.
                error!(%problem, "fleet: the disk does not keep; ending");
                return Err(problem.to_string());
            }
        }
        for output in outputs {
            for (to, bytes) in output.agreement {
                if let Some(name) = self.names.get(&to) {
                    self.links.say(name, Said::Agreement(bytes));
                }
            }
            for (to, said) in output.said {
                self.links.say(&to, said);
            }
            for record in &output.applied {
                let (key, by) = (&record.proposal.key, &record.proposal.by);
                info!(version = record.version.0, hash = ?record.hash(), term = record.term, key, by, "fleet: decided");
            }
        }
        let leader = self.keeper.leader();
        if leader != self.leader {
            self.leader = leader;
            let name = self.names.get(&leader).map_or("nobody", |name| name);
            info!(leader = name, term = self.keeper.term(), "fleet: leader");
        }
        Ok(())
    }

    fn described(&self) -> Described {
        let keeper = &self.keeper;
        Described {
            name: self.who.name.clone(),
            incarnation: self.who.incarnation,
            leads: keeper.leads(),
            leader: self.names.get(&keeper.leader()).cloned(),
            term: keeper.term(),
            keepers: sorted(keeper.keepers()),
            version: keeper.view().version().0,
            hash: format!("{:?}", keeper.view().hash()),
            records: keeper.view().records().map(crate::call::Line::of).collect(),
            sidecars: keeper.evidence().sidecars(),
            put_off: keeper.put_off,
            unread: keeper.unread,
            not_taken: keeper.not_taken.iter().map(|(why, n)| (why.to_string(), *n)).collect(),
            dropped: self.links.drops.counts().iter().map(|(why, n)| (why.to_string(), *n)).collect(),
        }
    }
}

/// For people, and for who compares them.
fn sorted(keepers: &[u64]) -> Vec<u64> {
    let mut keepers = keepers.to_vec();
    keepers.sort_unstable();
    keepers
}
