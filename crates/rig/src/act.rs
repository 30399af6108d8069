//! How each kind of fault is brought about and ended.

use crate::fault::{FaultSpec, Kind, StateIs};
use crate::history::{Step, What, unix_us};
use crate::plan::Role;
use crate::process::{Process, call};
use crate::run::{How, Rig};
use curlewhub_config::units::Span;
use futures_util::future::join_all;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep};

/// A process that is told to end has ended by then: the longest deadline of a sidecar's requests and a little.
const END_MOST: Duration = Duration::from_secs(12);
/// A file that is written every few seconds is written within this.
const WRITE_MOST: Duration = Duration::from_secs(8);
/// How often a state folder is looked at for a write: a write of some kilobytes takes longer than this now and then.
const WRITE_LOOK: Duration = Duration::from_micros(500);
/// A call that is to be struck comes within this, also on a slow machine.
const STRIKE_MOST: Duration = Duration::from_secs(8);
/// Ends of processes are looked for more often than this.
const END_SEEN_WITHIN: Duration = Duration::from_millis(40);

impl Rig {
    /// Lets a fault begin, for the time given; one that flaps comes here each time.
    ///
    /// # Errors
    /// It could not be brought about.
    pub(crate) async fn begin(&self, n: usize, time: usize, lasts: Duration) -> Result<(), String> {
        let fault = self.plan.spec.faults[n].clone();
        let struck = self.plan.struck[n].clone();
        let ends = fault.lasts.is_some();
        match fault.what {
            Kind::Cut | Kind::Degrade | Kind::Stall | Kind::CutAfter | Kind::CutOff => {
                self.holding.borrow_mut().begin((n, time), &fault);
                self.relink();
                Ok(())
            }
            Kind::Silent => {
                self.silence(n, time, &struck);
                Ok(())
            }
            Kind::Flap if fault.of != Some(Kind::Die) => {
                self.silence(n, time, &struck);
                Ok(())
            }
            Kind::Die | Kind::Flap => {
                // From now on their ports refuse; and so does the kernel's queue of who is dead.
                self.close(&struck, true);
                self.order(&struck, &json!({"do": "die"}), ends.then_some(lasts), true).await
            }
            Kind::Slow => {
                self.order(&struck, &with("slow", "factor", fault.factor), ends.then_some(lasts), false)
                    .await
            }
            Kind::Hang => self.order(&struck, &json!({"do": "hang"}), ends.then_some(lasts), false).await,
            Kind::Reset => {
                self.order(&struck, &with("reset", "share", fault.share), ends.then_some(lasts), false)
                    .await
            }
            Kind::Spoil => {
                self.order(&struck, &with("spoil", "share", fault.share), ends.then_some(lasts), false)
                    .await
            }
            Kind::Drain => self.order(&struck, &json!({"do": "drain"}), ends.then_some(lasts), true).await,
            Kind::Remove => {
                self.order(&struck, &json!({"do": "remove"}), ends.then_some(lasts), true).await
            }
            Kind::DiscoveryDown => {
                self.directory(&json!({"do": "directory_down"}), ends.then_some(lasts)).await
            }
            Kind::DiscoveryCut => {
                self.directory(&json!({"do": "directory_cut"}), ends.then_some(lasts)).await
            }
            Kind::DiscoveryShort => {
                self.directory(&with("directory_short", "share", fault.share), ends.then_some(lasts)).await
            }
            Kind::DiscoverySilent => {
                self.directory(&json!({"do": "directory_silent"}), ends.then_some(lasts)).await
            }
            Kind::DiscoveryRefuses => {
                self.directory(&json!({"do": "directory_refuses"}), ends.then_some(lasts)).await
            }
            Kind::Reload => self.reload(&fault, &struck).await.map_err(|error| error.to_string()),
            Kind::Pause => self.all_done(&struck, Signal::STOP, "paused", false),
            Kind::Kill => {
                self.killed(&struck, "killed").await?;
                if ends { Ok(()) } else { self.again(&fault, &struck).await }
            }
            Kind::KillWriting => self.kill_writing(&fault, &struck, ends).await,
            Kind::End => self.told_to_end(&fault, &struck, ends).await,
            Kind::Restart => {
                self.killed(&struck, "killed").await?;
                self.again(&fault, &struck).await
            }
            Kind::Roll => self.roll(&fault, &struck).await,
            Kind::StateFull => self.each(&struck, |process| process.limit(true)),
            Kind::Disk if fault.bytes.is_some() => self.torn(n, &struck).await,
            Kind::SystemCall | Kind::ShortIo | Kind::Disk => self.inject(n, &struck, true),
            Kind::ClockStep => {
                self.step_clocks(&fault, &struck);
                self.inject(n, &struck, true)
            }
            Kind::StateUnwritable => self.each(&struck, |process| {
                std::fs::rename(&process.state, away(&process.state))?;
                std::fs::write(&process.state, "no folder")
            }),
        }
    }

    /// Ends it.
    ///
    /// # Errors
    /// That could not be brought about.
    pub(crate) async fn end(&self, n: usize, time: usize) -> Result<(), String> {
        let fault = self.plan.spec.faults[n].clone();
        let struck = self.plan.struck[n].clone();
        match fault.what {
            Kind::Flap if fault.of == Some(Kind::Die) => {
                self.close(&struck, false);
                Ok(())
            }
            Kind::Cut
            | Kind::Degrade
            | Kind::Stall
            | Kind::CutAfter
            | Kind::CutOff
            | Kind::Silent
            | Kind::Flap => {
                self.holding.borrow_mut().end((n, time));
                self.relink();
                Ok(())
            }
            Kind::Die => {
                self.close(&struck, false);
                Ok(())
            }
            Kind::Pause => self.all_done(&struck, Signal::CONT, "goes on", false),
            Kind::Kill | Kind::KillWriting | Kind::End => self.again(&fault, &struck).await,
            Kind::Disk if fault.bytes.is_some() => self.again(&fault, &struck).await,
            Kind::SystemCall | Kind::ShortIo | Kind::Disk => self.end_injection(n, &struck).await,
            Kind::ClockStep => {
                let ended = self.end_injection(n, &struck).await;
                self.step_clocks_back(&struck);
                ended
            }
            Kind::StateFull => self.each(&struck, |process| process.limit(false)),
            Kind::StateUnwritable => self.each(&struck, |process| {
                std::fs::remove_file(&process.state)?;
                std::fs::rename(away(&process.state), &process.state)
            }),
            // The stand-ins end these themselves.
            Kind::Slow | Kind::Hang | Kind::Reset | Kind::Spoil | Kind::Drain | Kind::Remove => Ok(()),
            Kind::DiscoveryDown | Kind::DiscoveryCut | Kind::DiscoveryShort => Ok(()),
            Kind::DiscoverySilent | Kind::DiscoveryRefuses => Ok(()),
            Kind::Restart | Kind::Roll | Kind::Reload => Ok(()),
        }
    }

    fn silence(&self, n: usize, time: usize, struck: &[usize]) {
        let names: BTreeSet<String> = struck.iter().map(|e| self.plan.members[*e].name.clone()).collect();
        self.holding.borrow_mut().silence((n, time), names);
        self.relink();
    }

    /// Ports of endpoints or processes refuse from now on, or listen again.
    fn close(&self, struck: &[usize], closed: bool) {
        for member in struck {
            self.holding.borrow_mut().closed(&self.plan.members[*member].name, closed);
        }
        self.relink();
    }

    /// Orders the same of several endpoints: of the stand-ins that serve them and, where the list tells of it, of
    /// discovery.
    async fn order(
        &self,
        struck: &[usize],
        order: &Value,
        lasts: Option<Duration>,
        listed: bool,
    ) -> Result<(), String> {
        let mut by_process: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        for endpoint in struck {
            let mut order = order.clone();
            order["endpoint"] = json!(self.plan.members[*endpoint].name);
            if let Some(lasts) = lasts {
                order["for"] = json!(Span(lasts));
            }
            by_process.entry(self.server(*endpoint)).or_default().push(order.to_string());
            if listed {
                by_process.entry(self.discovery()).or_default().push(order.to_string());
            }
        }
        for (process, orders) in by_process {
            self.say(process, &orders).await?;
        }
        Ok(())
    }

    pub(crate) async fn directory(&self, order: &Value, lasts: Option<Duration>) -> Result<(), String> {
        let mut order = order.clone();
        if let Some(lasts) = lasts {
            order["for"] = json!(Span(lasts));
        }
        self.say(self.discovery(), &[order.to_string()]).await
    }

    /// Says orders to a process of stand-ins; one that is not there can't be ordered anything.
    async fn say(&self, process: usize, orders: &[String]) -> Result<(), String> {
        let name = &self.plan.members[process].name;
        let answers =
            call(self.at(process, "control"), orders).await.map_err(|e| format!("{name}: {e}"))?;
        let ok =
            |answer: &String| serde_json::from_str::<Value>(answer).is_ok_and(|a| a["ok"] == json!(true));
        match answers.iter().find(|answer| !ok(answer)) {
            None => Ok(()),
            Some(problem) => Err(format!("{name}: {problem}")),
        }
    }

    fn all_done(
        &self,
        struck: &[usize],
        signal: Signal,
        done: &'static str,
        told: bool,
    ) -> Result<(), String> {
        for member in struck {
            let process = self.process(*member);
            self.note(&process.name, process.incarnations.get(), What::Done { done });
            process.signal(None, signal, told);
        }
        Ok(())
    }

    fn each(&self, struck: &[usize], act: impl Fn(&Process) -> std::io::Result<()>) -> Result<(), String> {
        for member in struck {
            let process = self.process(*member);
            act(process).map_err(|e| format!("{}: {e}", process.name))?;
        }
        Ok(())
    }

    /// What hangs on a process that ends or comes back: the ports of a hall's endpoints, and what the list says.
    async fn dependants(&self, member: usize, gone: bool) -> Result<(), String> {
        match self.plan.members[member].role {
            Role::Standins => {
                let all = self.plan.of(Role::Endpoint).filter(|(e, _)| self.server(*e) == member);
                let all: Vec<usize> = all.map(|(e, _)| e).collect();
                self.close(&all, gone);
                let orders: Vec<String> = all
                    .iter()
                    .map(|e| json!({"do": if gone { "die" } else { "heal" }, "endpoint": self.plan.members[*e].name}))
                    .map(|order| order.to_string())
                    .collect();
                self.say(self.discovery(), &orders).await
            }
            Role::Discovery | Role::Other => {
                self.close(&[member], gone);
                Ok(())
            }
            Role::Sidecar | Role::Endpoint => Ok(()),
        }
    }

    async fn killed(&self, struck: &[usize], done: &'static str) -> Result<(), String> {
        for member in struck {
            self.hold_down(*member);
            if self.plan.members[*member].role != Role::Sidecar {
                self.dependants(*member, true).await?;
            }
        }
        self.all_done(struck, Signal::KILL, done, true)
    }

    /// Starts processes that have ended again, with what they are to find of their state.
    async fn again(&self, fault: &FaultSpec, struck: &[usize]) -> Result<(), String> {
        sleep(fault.starts.unwrap_or_default().0).await;
        let how = How { cold: false, beside: None, program: fault.program.clone(), set: fault.set.clone() };
        let starting = struck.iter().map(|member| self.one_again(*member, fault, &how));
        for started in join_all(starting).await {
            started?;
        }
        Ok(())
    }

    async fn one_again(&self, member: usize, fault: &FaultSpec, how: &How) -> Result<(), String> {
        let process = self.process(member);
        let _turn = process.turn.lock().await;
        process.down.set(process.down.get().saturating_sub(1));
        if process.down.get() > 0 {
            return Ok(()); // another fault holds it down, and has it started again
        }
        if !process.gone(None, END_MOST).await {
            return Err(format!("{}: it did not end", process.name));
        }
        let failed = |e: std::io::Error| format!("{}: its state: {e}", process.name);
        match fault.state.unwrap_or_default() {
            StateIs::Keep => {}
            StateIs::Lost => empty(&process.state).map_err(failed)?,
            StateIs::Torn => tear(&process.state).map_err(failed)?,
            StateIs::Old => {
                empty(&process.state).map_err(failed)?;
                copy(&first(&process.state), &process.state).map_err(failed)?;
            }
        }
        let role = self.plan.members[member].role;
        let sidecar = role == Role::Sidecar;
        let how =
            How { cold: role == Role::Standins, set: how.set.clone().filter(|_| sidecar), ..how.clone() };
        self.start(member, &how).await?;
        if sidecar { Ok(()) } else { self.dependants(member, false).await }
    }

    /// One more fault holds a process down; it is started again once none does.
    fn hold_down(&self, member: usize) {
        let down = &self.process(member).down;
        down.set(down.get() + 1);
    }

    async fn told_to_end(&self, fault: &FaultSpec, struck: &[usize], ends: bool) -> Result<(), String> {
        for member in struck {
            self.hold_down(*member);
            if self.plan.members[*member].role != Role::Sidecar {
                self.dependants(*member, true).await?;
            }
        }
        self.all_done(struck, Signal::TERM, "told to end", true)?;
        if ends { Ok(()) } else { self.again(fault, struck).await }
    }

    /// Kills each at the moment in which a file of its state is seen to change.
    async fn kill_writing(&self, fault: &FaultSpec, struck: &[usize], ends: bool) -> Result<(), String> {
        let mut unseen = Vec::new();
        for member in struck {
            let process = self.process(*member);
            let before = files(&process.state);
            let began = Instant::now();
            while files(&process.state) == before && began.elapsed() < WRITE_MOST {
                sleep(WRITE_LOOK).await;
            }
            if began.elapsed() >= WRITE_MOST {
                unseen.push(process.name.clone());
            }
            self.killed(&[*member], "killed while it wrote").await?;
        }
        if !ends {
            self.again(fault, struck).await?;
        }
        if unseen.is_empty() {
            Ok(())
        } else {
            Err(format!("no file was written by {}", unseen.join(", ")))
        }
    }

    /// Switches a fault in the system calls of processes.
    fn inject(&self, n: usize, struck: &[usize], on: bool) -> Result<(), String> {
        struck.iter().try_for_each(|member| self.switch(n, *member, on))
    }

    fn switch(&self, n: usize, member: usize, on: bool) -> Result<(), String> {
        let process = self.process(member);
        let injected = process.injected.get().ok_or_else(|| format!("{}: no schedule", process.name))?;
        injected.switch(n, on).map_err(|e| format!("{}: {e}", process.name))
    }

    /// Switches it off. On a slow machine it goes on until it has struck a call: one that has struck none at all has not
    /// happened.
    async fn end_injection(&self, n: usize, struck: &[usize]) -> Result<(), String> {
        let calls = || {
            let all = struck.iter().filter_map(|member| self.process(*member).injected.get());
            all.map(|injected| injected.struck(n)).sum::<u64>()
        };
        let began = Instant::now();
        while calls() == 0 && began.elapsed() < STRIKE_MOST {
            sleep(END_SEEN_WITHIN).await;
        }
        self.inject(n, struck, false)?;
        if calls() > 0 { Ok(()) } else { Err("no call was struck".to_owned()) }
    }

    /// Lets the next write of each to its state be torn by its end.
    async fn torn(&self, n: usize, struck: &[usize]) -> Result<(), String> {
        for member in struck {
            self.hold_down(*member);
            self.process(*member).expect_end();
            self.switch(n, *member, true)?;
        }
        let torn = join_all(struck.iter().map(|member| self.one_torn(n, *member))).await;
        torn.into_iter().collect()
    }

    async fn one_torn(&self, n: usize, member: usize) -> Result<(), String> {
        let process = self.process(member);
        let torn = process.gone(None, WRITE_MOST).await;
        // Its end is seen a little later than it came.
        let at = unix_us() - END_SEEN_WITHIN.as_micros() as i64;
        self.note_at(at, &process.name, process.incarnations.get(), What::Done { done: "torn" });
        process.signal(None, Signal::KILL, true);
        self.switch(n, member, false)?;
        if self.plan.members[member].role != Role::Sidecar {
            self.dependants(member, true).await?;
        }
        if torn { Ok(()) } else { Err(format!("no file was written by {}", process.name)) }
    }

    /// Notes by how much the stamps of processes are off from now on.
    fn step_clocks(&self, fault: &FaultSpec, struck: &[usize]) {
        let (from, by) = (unix_us(), crate::injection::clock_offset_ms(fault) * 1000);
        let mut steps = self.steps.borrow_mut();
        for member in struck {
            let process = self.process(*member).name.clone();
            steps.entry(process).or_default().push(Step { from, to: i64::MAX, by });
        }
    }

    fn step_clocks_back(&self, struck: &[usize]) {
        let now = unix_us();
        let mut steps = self.steps.borrow_mut();
        for member in struck {
            let of = steps.get_mut(&self.process(*member).name);
            of.into_iter().flatten().for_each(|step| step.to = step.to.min(now));
        }
    }

    /// Replaces sidecars one after another.
    async fn roll(&self, fault: &FaultSpec, struck: &[usize]) -> Result<(), String> {
        let mut problems = Vec::new();
        let rounds = fault.rounds.unwrap_or(1) as usize;
        for (turn, member) in struck.iter().cycle().take(struck.len() * rounds).enumerate() {
            if turn > 0 {
                sleep(fault.apart.unwrap_or_default().0).await;
            }
            if let Err(problem) = self.replace(*member, fault).await {
                problems.push(problem);
            }
        }
        if problems.is_empty() { Ok(()) } else { Err(problems.join("; ")) }
    }

    async fn replace(&self, member: usize, fault: &FaultSpec) -> Result<(), String> {
        let process = self.process(member);
        // Another fault may have it replaced or started at this very time.
        let _turn = process.turn.lock().await;
        let before = process.alive();
        let port = if process.on_second.get() { "operator" } else { "operator-2" };
        let beside = Some(self.at(member, port));
        let how = How { cold: false, beside, program: fault.program.clone(), set: fault.set.clone() };
        let new = self.start(member, &how).await?;
        for old in before {
            self.note(&process.name, old, What::Done { done: "told to end" });
            process.signal(Some(old), Signal::TERM, true);
        }
        if process.gone(Some(new), END_MOST).await {
            Ok(())
        } else {
            Err(format!("{}: the one before did not end", process.name))
        }
    }

    /// Keeps the state as it is at the start of the run, for who is to find it again later.
    pub(crate) fn keep_state(&self) {
        for (n, fault) in self.plan.spec.faults.iter().enumerate() {
            if fault.state == Some(StateIs::Old) {
                for member in &self.plan.struck[n] {
                    let state = &self.process(*member).state;
                    // What can't be kept is not found later, which the fault then says.
                    let _ = std::fs::create_dir_all(first(state)).and_then(|()| copy(state, &first(state)));
                }
            }
        }
    }
}

/// An order with one number of its fault's.
fn with(what: &str, field: &str, value: Option<f64>) -> Value {
    let mut order = json!({"do": what});
    order[field] = json!(value.unwrap_or(1.0));
    order
}

fn beside(state: &Path, ending: &str) -> PathBuf {
    let mut name = state.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

fn away(state: &Path) -> PathBuf {
    beside(state, ".away")
}

fn first(state: &Path) -> PathBuf {
    beside(state, ".first")
}

/// What lies in a folder: names, sizes and times.
fn files(folder: &Path) -> Vec<(PathBuf, u64, Option<SystemTime>)> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut files: Vec<_> = entries
        .filter_map(|entry| {
            let meta = entry.metadata().ok().filter(|meta| meta.is_file())?;
            Some((entry.path(), meta.len(), meta.modified().ok()))
        })
        .collect();
    files.sort();
    files
}

fn empty(folder: &Path) -> std::io::Result<()> {
    std::fs::remove_dir_all(folder)?;
    std::fs::create_dir_all(folder)
}

/// Each file ends half way.
fn tear(folder: &Path) -> std::io::Result<()> {
    for (path, length, _) in files(folder) {
        std::fs::File::options().write(true).open(path)?.set_len(length / 2)?;
    }
    Ok(())
}

fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    for (path, ..) in files(from) {
        if let Some(name) = path.file_name() {
            std::fs::copy(&path, to.join(name))?;
        }
    }
    Ok(())
}
