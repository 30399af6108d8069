//! A run: everything is started, the schedule happens while requests come, all ends, and the history is gathered.

use crate::history::{History, Step, What, unix_us};
use crate::injection::Injected;
use crate::links::Holding;
use crate::plan::{Member, Plan, Role, Side};
use crate::ports::{DISCOVERY_OCTET, Ports, member_ports, octet};
use crate::process::{Process, Ready, Start};
use crate::relay::AnyRelay;
use crate::texts::fill;
use crate::wires::Wire;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// A process that is not ready after this long has failed.
const START_MOST: Duration = Duration::from_secs(30);
/// Sidecars that start at once.
const STARTING: usize = 16;
/// How often ends are looked for, and memory.
const LOOK: Duration = Duration::from_millis(20);
const USAGE_EVERY: Duration = Duration::from_secs(1);
/// Beyond a sidecar's longest deadline, until one that was told to end is killed.
const END_MOST: Duration = Duration::from_secs(4);

/// How a run is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// The lab's own program, which carries the sidecar, the stand-ins and the load.
    pub own: PathBuf,
    /// Files stay here; else they go with the run.
    pub keep: Option<PathBuf>,
}

/// What a run cost, beside what it was for.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Cost {
    /// Processes, of all kinds.
    pub processes: usize,
    /// Relays.
    pub relays: usize,
    /// Connections, and bytes both ways, that went through relays.
    pub connections: u64,
    /// Bytes both ways.
    pub bytes: u64,
    /// Seconds from the first process's start until requests came.
    pub start_s: f64,
    /// Processor seconds of the rig itself, relays and all, while requests came.
    pub rig_cpu_s: f64,
    /// Processor seconds of the sidecars while requests came.
    pub sidecars_cpu_s: f64,
    /// Resident memory of the sidecars at the end, in KiB, all together.
    pub sidecars_kib: u64,
}

/// A run that has been made.
pub struct Ran {
    /// What was played.
    pub plan: Plan,
    /// All that happened.
    pub history: History,
    /// The sidecars' addresses, by name.
    pub sidecars: BTreeMap<String, SocketAddr>,
    /// The sidecars that have a view of discovery to themselves, by its number.
    pub views: BTreeMap<usize, String>,
    /// What it cost.
    pub cost: Cost,
}

/// A folder that goes with its run, unless it is to stay.
struct Folder(PathBuf, bool);

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.1 {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A run under way.
pub(crate) struct Rig {
    pub plan: Plan,
    pub processes: Vec<Option<Rc<Process>>>,
    pub ports: Vec<Ports>,
    pub(crate) wires: RefCell<Vec<Wire>>,
    /// Made and not started yet.
    pub(crate) relays: RefCell<Vec<AnyRelay>>,
    pub holding: RefCell<Holding>,
    history: RefCell<History>,
    pub(crate) folder: PathBuf,
    own: PathBuf,
    pub(crate) octet: u8,
    /// Sites in the order of their views of discovery.
    pub(crate) views: Vec<Side>,
    /// By how much the stamps of processes were off, by name.
    pub(crate) steps: RefCell<BTreeMap<String, Vec<Step>>>,
    zero: Cell<Option<Instant>>,
    pub(crate) cost: RefCell<Cost>,
    /// What is to be told a person who waits.
    said: RefCell<Vec<String>>,
    /// Which of its addresses of discovery's each sidecar uses.
    pub(crate) moves: RefCell<BTreeMap<usize, usize>>,
}

/// Makes a run. Dropped before its end, it leaves no process behind.
///
/// # Errors
/// What can't be started, by name, before requests come.
pub async fn run(plan: Plan, options: &Options, mut say: impl FnMut(&str)) -> Result<Ran, String> {
    let (octet, _held) = octet().ok_or("no second octet of 127.x is free for a run")?;
    let folder = match &options.keep {
        Some(folder) => Folder(folder.clone(), true),
        None => Folder(
            std::env::temp_dir().join(format!("curlewhub-rig-{}-{octet}", std::process::id())),
            false,
        ),
    };
    for part in ["files", "books", "state", "logs", "shared"] {
        let path = folder.0.join(part);
        // What an earlier run kept there is not this one's.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let rig = Rc::new(Rig::new(plan, options.own.clone(), folder.0.clone(), octet)?);
    rig.write_key()?;
    rig.write_files()?;
    let mut tasks = JoinSet::new();
    rig.start_relays(&mut tasks);
    let this = rig.clone();
    tasks.spawn_local(async move { this.watch_ends().await });
    let began = Instant::now();
    rig.start_all().await?;
    rig.cost.borrow_mut().start_s = began.elapsed().as_secs_f64();
    let sidecars = rig.plan.of(Role::Sidecar).count();
    let endpoints = rig.plan.of(Role::Endpoint).count();
    say(&format!(
        "{sidecars} sidecars and {endpoints} endpoints are ready after {:.1} s",
        began.elapsed().as_secs_f64()
    ));
    rig.requests(&mut say).await?;
    rig.end_all().await;
    drop(tasks);
    rig.gather()?;
    let sidecars = rig.plan.of(Role::Sidecar).map(|(n, m)| (m.name.clone(), rig.at(n, "listen"))).collect();
    let (history, cost) = (rig.history.take(), rig.cost.borrow().clone());
    if options.keep.is_some() {
        let path = folder.0.join("history.jsonl");
        history.write(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let views = rig.views.iter().enumerate().filter(|(_, site)| !site.name.is_empty());
    let views = views.map(|(number, site)| (number, site.name.clone())).collect();
    Ok(Ran { plan: rig.plan.clone(), history, sidecars, views, cost })
}

impl Rig {
    fn new(plan: Plan, own: PathBuf, folder: PathBuf, octet: u8) -> Result<Rig, String> {
        let halls = plan.spec.halls();
        let limits = |n: usize| {
            let full = plan.spec.faults.iter().zip(&plan.struck);
            full.into_iter()
                .any(|(f, struck)| f.what == crate::fault::Kind::StateFull && struck.contains(&n))
        };
        let (mut processes, mut ports) = (Vec::new(), Vec::new());
        let mut views: Vec<Side> = Vec::new();
        for (n, member) in plan.members.iter().enumerate() {
            let process =
                (member.role != Role::Endpoint).then(|| Process::new(&member.name, &folder, limits(n)));
            let process = process.transpose().map_err(|e| format!("{}: {e}", member.name))?.map(Rc::new);
            if let Some(process) = &process
                && let Some(injected) = Injected::new(&plan, n, &process.state)?
            {
                let _ = process.injected.set(injected); // it is new: nothing is there yet
            }
            processes.push(process);
            let hall =
                member.side.hall.as_ref().and_then(|hall| halls.iter().position(|(name, _)| name == hall));
            let third = match member.role {
                Role::Discovery => DISCOVERY_OCTET,
                _ => hall.map_or(DISCOVERY_OCTET, |hall| hall as u8 + 1),
            };
            if member.role == Role::Sidecar && !views.contains(&member.site(&plan.spec)) {
                views.push(member.site(&plan.spec));
            }
            ports.push(member_ports(
                &plan,
                member,
                Ipv4Addr::new(127, octet, third, member.place.max(1)),
                &views,
            )?);
        }
        let (wires, relays, holding, history, steps, zero, said, moves) = Default::default();
        let cost =
            RefCell::new(Cost { processes: processes.iter().flatten().count() + 1, ..Cost::default() });
        let rig = Rig {
            plan,
            processes,
            ports,
            wires,
            relays,
            holding,
            history,
            folder,
            own,
            octet,
            views,
            steps,
            zero,
            cost,
            said,
            moves,
        };
        *rig.history.borrow_mut() = History::new(0);
        Ok(rig)
    }

    /// Where a port of a member is.
    pub fn at(&self, member: usize, port: &str) -> SocketAddr {
        self.ports[member].get(port).map_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), |(_, at)| *at)
    }

    /// Notes what the rig itself does or sees.
    pub fn note(&self, process: &str, incarnation: u32, what: What) {
        self.note_at(unix_us(), process, incarnation, what);
    }

    /// The same of what came before now.
    pub fn note_at(&self, at: i64, process: &str, incarnation: u32, what: What) {
        self.history.borrow_mut().add(at, process, incarnation, what);
    }

    pub fn discovery(&self) -> usize {
        self.plan.members.len() - 1
    }

    /// The process of stand-ins that serves an endpoint.
    pub fn server(&self, endpoint: usize) -> usize {
        let hall = &self.plan.members[endpoint].side.hall;
        let found = self.plan.of(Role::Standins).find(|(_, member)| member.side.hall == *hall);
        found.map_or(self.discovery(), |(n, _)| n)
    }

    pub fn process(&self, n: usize) -> &Rc<Process> {
        // Of endpoints there is none; they are never asked for.
        self.processes[n].as_ref().unwrap_or_else(|| unreachable!("an endpoint is no process"))
    }

    /// What starts a member, and how it shows that it is ready.
    fn start_of(&self, n: usize, how: &How) -> (Start, Ready) {
        let member = &self.plan.members[n];
        let programs = &self.plan.spec.programs;
        let own = |word: &str| vec![self.own.clone().into_os_string(), word.into()];
        let part = |path: &Option<PathBuf>, word: &str| match path {
            Some(path) => vec![path.clone().into_os_string()],
            None => own(word),
        };
        let sidecar =
            || part(if how.program.is_some() { &how.program } else { &programs.sidecar }, "sidecar");
        let standin = || part(&programs.standin, "standin");
        let file = self.file(n).into_os_string();
        let mut words: Vec<OsString>;
        let ready = match member.role {
            Role::Sidecar => {
                words = sidecar();
                words.extend(["run".into(), "--config".into(), file]);
                if let Some(operator) = how.beside {
                    words.extend(["--replace".into(), "--operator".into(), operator.to_string().into()]);
                }
                Ready::Yes(how.beside.unwrap_or_else(|| self.at(n, "operator")))
            }
            Role::Standins | Role::Discovery | Role::Endpoint => {
                words = standin();
                words.extend(["run".into(), file, "--books".into(), self.books(&member.name).into()]);
                Ready::Takes(self.at(n, "control"))
            }
            Role::Other => {
                let group = &self.plan.spec.processes[member.group];
                words = match group.program.as_str() {
                    "sidecar" => sidecar(),
                    "standin" => standin(),
                    "lab" => vec![self.own.clone().into()],
                    path => vec![path.into()],
                };
                let filled =
                    |word: &String| fill(word, |name| self.look(n, name)).unwrap_or_else(|_| word.clone());
                let first =
                    if self.process(n).incarnations.get() == 0 { &group.first_words[..] } else { &[] };
                words.extend(group.words.iter().chain(first).map(|word| OsString::from(filled(word))));
                group.ready.as_ref().map_or(Ready::Runs, |port| Ready::Takes(self.at(n, port)))
            }
        };
        (Start { words }, ready)
    }

    /// Starts a member and waits until it is ready.
    pub async fn start(&self, n: usize, how: &How) -> Result<u32, String> {
        let (process, name) = (self.process(n).clone(), &self.plan.members[n].name);
        if how.cold || how.set.is_some() {
            let set = how.set.clone().unwrap_or_default();
            if let Some(text) = self.text(n, &self.plan.members[n], how.cold, &set)? {
                std::fs::write(self.file(n), text).map_err(|e| format!("{name}: {e}"))?;
            }
        }
        let (start, ready) = self.start_of(n, how);
        let incarnation = process.start(&start)?;
        process.on_second.set(how.beside.is_some_and(|at| at == self.at(n, "operator-2")));
        self.note(name, incarnation, What::Started);
        let began = Instant::now();
        while !ready.is().await {
            if !process.alive().contains(&incarnation) || began.elapsed() > START_MOST {
                let said = process.last_words();
                self.note(name, incarnation, What::NotReady { said: said.clone() });
                return Err(format!("{name} is not ready: {said}"));
            }
            sleep(LOOK).await;
        }
        self.note(name, incarnation, What::Ready);
        Ok(incarnation)
    }

    /// Looks for processes that have ended, and at what those that run hold, until it is dropped.
    async fn watch_ends(self: Rc<Self>) {
        let mut usage_at = Instant::now();
        loop {
            let looks_at_usage = Instant::now() >= usage_at;
            for process in self.processes.iter().flatten() {
                for ended in process.ended() {
                    let (status, clean) = (ended.status.to_string(), ended.status.success());
                    self.note(
                        &process.name,
                        ended.incarnation,
                        What::Ended { status, clean, told: ended.told },
                    );
                }
                if looks_at_usage {
                    for (incarnation, kib, descriptors) in process.usage() {
                        self.note(&process.name, incarnation, What::Usage { kib, descriptors });
                    }
                }
            }
            if looks_at_usage {
                usage_at += USAGE_EVERY;
            }
            sleep(LOOK).await;
        }
    }

    /// Starts all: what sidecars lean on first.
    async fn start_all(self: &Rc<Self>) -> Result<(), String> {
        let first = [Role::Standins, Role::Discovery, Role::Other];
        let first: Vec<usize> = first
            .into_iter()
            .flat_map(|role| self.plan.of(role).map(|(n, _)| n).collect::<Vec<_>>())
            .collect();
        let sidecars: Vec<usize> = self.plan.of(Role::Sidecar).map(|(n, _)| n).collect();
        for all in [first, sidecars] {
            let mut starting = JoinSet::new();
            for n in all {
                if starting.len() >= STARTING {
                    joined(starting.join_next().await)?;
                }
                let this = self.clone();
                starting.spawn_local(async move { this.start(n, &How::default()).await });
            }
            while let Some(started) = starting.join_next().await {
                joined(Some(started))?;
            }
        }
        Ok(())
    }

    /// Lets requests come, and the schedule happen, until both have ended.
    async fn requests(self: &Rc<Self>, say: &mut impl FnMut(&str)) -> Result<(), String> {
        let spec = &self.plan.spec;
        let load = Process::new("load", &self.folder, false).map_err(|e| format!("load: {e}"))?;
        let mut words: Vec<OsString> = vec![self.own.clone().into(), "load".into()];
        for (n, _) in self.plan.of(Role::Sidecar) {
            words.extend(["--to".into(), self.at(n, "listen").to_string().into()]);
        }
        let of = |name: &str, value: String| [OsString::from(name), value.into()];
        words.extend(of("--rate", spec.load.rate.to_string()));
        words.extend(of("--seconds", spec.lasts.0.as_secs_f64().to_string()));
        words.extend(of("--seed", spec.seed.to_string()));
        words.extend(of("--open-most", spec.load.open_most.to_string()));
        words.extend(of("--mix", self.folder.join("files/mix.toml").display().to_string()));
        words.extend(of("--books", self.books("load").display().to_string()));
        let sidecars_cpu = self.sidecars_cpu_s();
        let own_cpu = own_cpu_s();
        load.start(&Start { words })?;
        let zero = Instant::now();
        self.zero.set(Some(zero));
        self.keep_state();
        self.history.borrow_mut().zero_us = unix_us();
        let mut faults = self.schedule(zero);
        let longest = spec.classes.iter().map(|class| class.deadline.0).max().unwrap_or_default();
        let latest = zero + spec.lasts.0 + longest * 3 + END_MOST;
        let mut told = zero;
        let ended = loop {
            if let Some(ended) = load.ended().pop() {
                break ended;
            }
            if Instant::now() > latest {
                return Err(format!("the load has not ended: {}", load.last_words()));
            }
            self.said.borrow_mut().drain(..).for_each(|line| say(&line));
            if Instant::now() >= told {
                say(&format!(
                    "{:>5.0} s of {:.0}",
                    zero.elapsed().as_secs_f64(),
                    spec.lasts.0.as_secs_f64()
                ));
                told += Duration::from_secs(5);
            }
            sleep(LOOK).await;
        };
        // 1 is how the load says that a try was not answered: the checks judge that.
        if !matches!(ended.status.code(), Some(0 | 1)) {
            return Err(format!("the load ended with {}: {}", ended.status, load.last_words()));
        }
        while faults.join_next().await.is_some() {}
        let mut cost = self.cost.borrow_mut();
        cost.rig_cpu_s = own_cpu_s() - own_cpu;
        cost.sidecars_cpu_s = self.sidecars_cpu_s() - sidecars_cpu;
        for wire in self.wires.borrow().iter() {
            cost.connections += wire.passed.connections.get();
            cost.bytes += wire.passed.forth.get() + wire.passed.back.get();
        }
        cost.sidecars_kib = self.sidecars().flat_map(|p| p.usage()).map(|(_, kib, _)| kib).sum();
        Ok(())
    }

    fn sidecars(&self) -> impl Iterator<Item = &Rc<Process>> {
        self.plan.of(Role::Sidecar).map(|(n, _)| self.process(n))
    }

    /// Of those that run; what ended ones took is not in it.
    fn sidecars_cpu_s(&self) -> f64 {
        self.sidecars().map(|process| process.cpu_s()).sum()
    }

    /// One task for each fault: it begins, holds, and ends.
    fn schedule(self: &Rc<Self>, zero: Instant) -> JoinSet<()> {
        let mut faults = JoinSet::new();
        for (n, fault) in self.plan.spec.faults.iter().enumerate() {
            for (time, (begin, end)) in fault.times(self.plan.spec.lasts.0).into_iter().enumerate() {
                let this = self.clone();
                let ends = fault.lasts.is_some();
                faults.spawn_local(async move {
                    sleep_until(zero + begin).await;
                    let begun = this.begin(n, time, end - begin).await;
                    this.tell(n, "begins", &begun);
                    this.note("rig", 0, What::Fault { fault: n, on: true, problem: begun.err() });
                    if ends {
                        sleep_until(zero + end).await;
                        let ended = this.end(n, time).await;
                        this.tell(n, "ends", &ended);
                        this.note("rig", 0, What::Fault { fault: n, on: false, problem: ended.err() });
                    }
                });
            }
        }
        faults
    }

    /// Tells a person of a fault.
    fn tell(&self, n: usize, what: &str, came: &Result<(), String>) {
        let fault = &self.plan.spec.faults[n];
        let kind = toml::Value::try_from(fault.what).map_or(String::new(), |kind| kind.to_string());
        let on =
            fault.on.iter().chain(&fault.from).chain(&fault.to).cloned().collect::<Vec<_>>().join(", ");
        let at = self.zero.get().map_or(0.0, |zero| zero.elapsed().as_secs_f64());
        let failed = came.as_ref().err().map_or(String::new(), |problem| format!(": {problem}"));
        self.said.borrow_mut().push(format!("{at:>7.1} s  {} {what} {on}{failed}", kind.trim_matches('"')));
    }

    /// Ends all: sidecars first, as an operator would, and then what they lean on.
    async fn end_all(&self) {
        let longest = self.plan.spec.classes.iter().map(|class| class.deadline.0).max().unwrap_or_default();
        for role in [Role::Sidecar, Role::Other] {
            let all: Vec<usize> = self.plan.of(role).map(|(n, _)| n).collect();
            for n in &all {
                self.process(*n).signal(None, Signal::CONT, false);
                self.process(*n).signal(None, Signal::TERM, true);
            }
            for n in &all {
                if !self.process(*n).gone(None, longest + END_MOST).await {
                    let incarnation = self.process(*n).incarnations.get();
                    let (status, name) = ("it did not end".to_owned(), &self.plan.members[*n].name);
                    self.note(name, incarnation, What::Ended { status, clean: false, told: true });
                }
            }
        }
        for role in [Role::Standins, Role::Discovery] {
            for (n, _) in self.plan.of(role) {
                self.process(n).signal(None, Signal::KILL, true);
            }
        }
    }

    /// Reads what all have written.
    fn gather(&self) -> Result<(), String> {
        let mut history = self.history.borrow_mut();
        // What the rig noted before requests came was stamped by Unix time alone.
        let zero = history.zero_us;
        history.entries.iter_mut().filter(|entry| entry.at > zero / 2).for_each(|entry| entry.at -= zero);
        for process in self.processes.iter().flatten() {
            for incarnation in 1..=process.incarnations.get() {
                let path = process.log(incarnation);
                // Another program's log is read where it is one of JSON lines.
                let read = |m: &Member| match m.role {
                    Role::Sidecar => true,
                    Role::Other => {
                        self.plan.spec.processes[m.group].words.iter().any(|w| w == "--log-json")
                    }
                    _ => false,
                };
                if self.plan.members.iter().any(|m| m.name == process.name && read(m)) {
                    let steps = self.steps.borrow().get(&process.name).cloned().unwrap_or_default();
                    history
                        .log(&path, &process.name, incarnation, &steps)
                        .map_err(|e| format!("{}: {e}", path.display()))?;
                }
            }
            let path = self.books(&process.name);
            if path.exists() {
                history.books(&path, &process.name).map_err(|e| format!("{}: {e}", path.display()))?;
            }
        }
        let path = self.books("load");
        history.books(&path, "load").map_err(|e| format!("{}: {e}", path.display()))?;
        history.order();
        Ok(())
    }
}

/// How a member is started anew.
#[derive(Clone, Debug, Default)]
pub(crate) struct How {
    /// Stand-ins are cold.
    pub cold: bool,
    /// Beside the one that runs, with this operators' address.
    pub beside: Option<SocketAddr>,
    /// This build.
    pub program: Option<PathBuf>,
    /// This laid over its configuration.
    pub set: Option<toml::Table>,
}

fn joined<T>(joined: Option<Result<Result<T, String>, tokio::task::JoinError>>) -> Result<(), String> {
    match joined {
        None | Some(Ok(Ok(_))) => Ok(()),
        Some(Ok(Err(problem))) => Err(problem),
        Some(Err(e)) => Err(e.to_string()),
    }
}

/// Processor seconds of this process.
fn own_cpu_s() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
