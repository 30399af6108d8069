//! One process of a run over all its incarnations: started, killed, stopped, awaited.

use crate::injection::Injected;
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};
use std::cell::{Cell, OnceCell, RefCell};
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// How often what is awaited is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// A call to a control or an operators' address that takes longer than this has failed.
const CALL_MOST: Duration = Duration::from_secs(2);

/// Variables that would change what a sidecar is told.
const CLEARED: [&str; 6] =
    ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR", "RUST_LOG"];

/// A process that runs, or has ended and not been looked at since.
struct Running {
    child: Child,
    incarnation: u32,
    /// The rig has had it end.
    told: bool,
}

/// Ends with its process.
#[derive(Debug)]
pub struct Ended {
    /// Which of its incarnations.
    pub incarnation: u32,
    /// How.
    pub status: ExitStatus,
    /// The rig has had it end.
    pub told: bool,
}

/// A process of the run.
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its state's folder.
    pub state: PathBuf,
    logs: PathBuf,
    running: RefCell<Vec<Running>>,
    /// Incarnations so far.
    pub incarnations: Cell<u32>,
    /// Its files' sizes may be limited: its log then goes through a pipe, which no limit holds for.
    pub limited: bool,
    /// Held while it is started or replaced.
    pub turn: Mutex<()>,
    /// Its newest incarnation has the second of its operators' addresses.
    pub on_second: Cell<bool>,
    /// Faults that hold it down.
    pub down: Cell<u32>,
    /// The faults in its own system calls, where the schedule has some.
    pub injected: OnceCell<Injected>,
}

/// What is started.
pub struct Start {
    /// The program and its words.
    pub words: Vec<OsString>,
}

impl Process {
    /// One that is not started yet; its folders are made.
    ///
    /// # Errors
    /// They can't be.
    pub fn new(name: &str, folder: &Path, limited: bool) -> io::Result<Process> {
        let (state, logs) = (folder.join("state").join(name), folder.join("logs"));
        std::fs::create_dir_all(&state)?;
        std::fs::create_dir_all(&logs)?;
        let (running, incarnations, turn, on_second, down, injected) = Default::default();
        Ok(Process {
            name: name.to_owned(),
            state,
            logs,
            running,
            incarnations,
            limited,
            turn,
            on_second,
            down,
            injected,
        })
    }

    /// The log of an incarnation.
    pub fn log(&self, incarnation: u32) -> PathBuf {
        self.logs.join(format!("{}.{incarnation}.log", self.name))
    }

    /// Starts its next incarnation; its number.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start(&self, start: &Start) -> Result<u32, String> {
        let incarnation = self.incarnations.get() + 1;
        let file = |path: PathBuf| File::create(path).map_err(|e| format!("{}: {e}", self.name));
        let said = file(self.logs.join(format!("{}.{incarnation}.out", self.name)))?;
        let log = file(self.log(incarnation))?;
        let mut command = if self.limited {
            // A write beyond the limit is to fail, and not to end the process with SIGXFSZ.
            let mut command = Command::new("sh");
            command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).args(&start.words);
            command.stderr(Stdio::piped());
            command
        } else {
            let mut command = Command::new(&start.words[0]);
            command.args(&start.words[1..]).stderr(log.try_clone().map_err(|e| e.to_string())?);
            command
        };
        for name in CLEARED {
            command.env_remove(name);
        }
        if let Some(injected) = self.injected.get() {
            injected.prepare(&mut command);
        }
        command.env("TMPDIR", &self.state).stdin(Stdio::null()).stdout(said);
        let program = Path::new(&start.words[0]).display().to_string();
        let mut child = command.spawn().map_err(|e| format!("{}: {program}: {e}", self.name))?;
        if let Some(mut piped) = child.stderr.take() {
            let mut log = log;
            std::thread::spawn(move || io::copy(&mut piped, &mut log)); // ends with the process
        }
        self.incarnations.set(incarnation);
        self.running.borrow_mut().push(Running { child, incarnation, told: false });
        Ok(incarnation)
    }

    /// Its incarnations that run, the oldest first.
    pub fn alive(&self) -> Vec<u32> {
        self.running.borrow().iter().map(|running| running.incarnation).collect()
    }

    /// Ids of the processes that run.
    pub fn pids(&self) -> Vec<(u32, u32)> {
        self.running.borrow().iter().map(|running| (running.incarnation, running.child.id())).collect()
    }

    /// Sends a signal to one incarnation, or to all; `told` where it is to end by that.
    pub fn signal(&self, incarnation: Option<u32>, signal: Signal, told: bool) {
        for running in self.running.borrow_mut().iter_mut() {
            if incarnation.is_none_or(|only| only == running.incarnation) {
                running.told |= told;
                let _ = kill_process(Pid::from_child(&running.child), signal); // it may have ended by itself
            }
        }
    }

    /// Its end is what the rig wants, and comes by itself.
    pub fn expect_end(&self) {
        self.running.borrow_mut().iter_mut().for_each(|running| running.told = true);
    }

    /// Lets no file of it grow any more, or lets them again.
    ///
    /// # Errors
    /// The system refuses.
    pub fn limit(&self, on: bool) -> io::Result<()> {
        let most = getrlimit(Resource::Fsize).maximum;
        for (_, pid) in self.pids() {
            let limit = Rlimit { current: if on { Some(0) } else { most }, maximum: most };
            prlimit(Pid::from_raw(pid as i32), Resource::Fsize, limit)?;
        }
        Ok(())
    }

    /// Those that have ended since the last look.
    pub fn ended(&self) -> Vec<Ended> {
        let mut ended = Vec::new();
        self.running.borrow_mut().retain_mut(|running| match running.child.try_wait() {
            Ok(Some(status)) => {
                ended.push(Ended { incarnation: running.incarnation, status, told: running.told });
                false
            }
            _ => true,
        });
        ended
    }

    /// Waits until it has no incarnation but this one any more; whether that came in time. Who looks for ends
    /// must go on doing so meanwhile.
    pub async fn gone(&self, but: Option<u32>, within: Duration) -> bool {
        let began = Instant::now();
        while self.alive().iter().any(|one| Some(*one) != but) {
            if began.elapsed() > within {
                return false;
            }
            sleep(LOOK).await;
        }
        true
    }

    /// Resident memory in KiB, and open descriptors, of each incarnation that runs.
    pub fn usage(&self) -> Vec<(u32, u64, u64)> {
        let of = |(incarnation, pid): (u32, u32)| {
            let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
            let kib = line.split_whitespace().next()?.parse().ok()?;
            Some((incarnation, kib, std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64))
        };
        self.pids().into_iter().filter_map(of).collect()
    }

    /// Processor seconds of all that runs.
    pub fn cpu_s(&self) -> f64 {
        let ticks = |pid: u32| -> Option<u64> {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
            let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
            Some(fields.next()?.parse::<u64>().ok()? + fields.next()?.parse::<u64>().ok()?)
        };
        self.pids().iter().filter_map(|(_, pid)| ticks(*pid)).sum::<u64>() as f64 / 100.0
    }

    /// What its newest incarnation has said last, for an error.
    pub fn last_words(&self) -> String {
        let text = std::fs::read_to_string(self.log(self.incarnations.get())).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" / ")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        for running in self.running.borrow_mut().iter_mut() {
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }
}

/// Says lines to an address and hears one for each.
///
/// # Errors
/// Nobody is there, or the answer does not come.
pub async fn call(at: SocketAddr, lines: &[String]) -> Result<Vec<String>, String> {
    let said = async {
        let mut stream = TcpStream::connect(at).await?;
        let (reader, mut writer) = stream.split();
        let mut reader = BufReader::new(reader);
        let mut answers = Vec::new();
        for line in lines {
            writer.write_all(format!("{line}\n").as_bytes()).await?;
            let mut answer = String::new();
            reader.read_line(&mut answer).await?;
            answers.push(answer.trim_end().to_owned());
        }
        io::Result::Ok(answers)
    };
    match timeout(CALL_MOST, said).await {
        Ok(answers) => answers.map_err(|e| format!("{at}: {e}")),
        Err(_) => Err(format!("{at}: no answer within {CALL_MOST:?}")),
    }
}

/// How a process shows that it is ready.
#[derive(Clone, Copy, Debug)]
pub enum Ready {
    /// A sidecar answers yes at its operators' address.
    Yes(SocketAddr),
    /// A connection is taken there.
    Takes(SocketAddr),
    /// It runs.
    Runs,
}

impl Ready {
    /// Whether it is.
    pub async fn is(self) -> bool {
        match self {
            Ready::Yes(at) => call(at, &["PING".to_owned()]).await.is_ok_and(|a| a[0].starts_with("YES")),
            Ready::Takes(at) => matches!(timeout(CALL_MOST, TcpStream::connect(at)).await, Ok(Ok(_))),
            Ready::Runs => true,
        }
    }
}
