//! A process of a scale run, and what the system says of it.

use serde::Serialize;
use std::cell::Cell;
use std::ffi::OsString;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often what is awaited is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// Clock ticks of the system in a second.
const TICKS_PER_S: f64 = 100.0;

/// A process; dropped, it is killed.
pub struct Managed {
    /// Its name.
    pub name: String,
    child: Child,
    stdin: Option<ChildStdin>,
    /// What it has written to standard output.
    pub said: PathBuf,
    /// The most memory that it was seen to hold, in KiB.
    peak_kib: Cell<u64>,
    /// Its processor seconds when last looked at.
    cpu_s: Cell<f64>,
}

/// What a process has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Resident memory now, in KiB.
    pub rss_kib: u64,
    /// Processor seconds since its start.
    pub cpu_s: f64,
}

impl Managed {
    /// Starts it; its output goes into files of its name, numbered by how often it was started.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start(name: &str, start: u32, logs: &Path, words: &[OsString]) -> Result<Managed, String> {
        let path = |kind: &str| logs.join(format!("{name}.{start}.{kind}"));
        let file = |path: &Path| File::create(path).map_err(|e| format!("{}: {e}", path.display()));
        let said = path("out");
        let mut child = Command::new(&words[0])
            .args(&words[1..])
            .env_remove("ROUTER_CONFIG")
            .stdin(Stdio::piped())
            .stdout(file(&said)?)
            .stderr(file(&path("log"))?)
            .spawn()
            .map_err(|e| format!("{name}: {e}"))?;
        let stdin = child.stdin.take();
        let (peak_kib, cpu_s) = Default::default();
        Ok(Managed { name: name.to_owned(), child, stdin, said, peak_kib, cpu_s })
    }

    /// Tells it a line.
    ///
    /// # Errors
    /// It does not listen any more.
    pub fn tell(&mut self, command: &impl Serialize) -> Result<(), String> {
        let mut line = serde_json::to_vec(command).map_err(|e| e.to_string())?;
        line.push(b'\n');
        let stdin = self.stdin.as_mut().ok_or_else(|| format!("{}: it was told to end", self.name))?;
        stdin.write_all(&line).map_err(|e| format!("{}: {e}", self.name))
    }

    /// Its id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells it to end, as an operator would.
    pub fn terminate(&self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM); // it may have ended by itself
    }

    /// Waits for its end; none where that does not come in time.
    pub async fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            if began.elapsed() > within {
                return None;
            }
            sleep(LOOK).await;
        }
    }

    /// Looks at what it holds; what was seen stays known when it has ended.
    pub fn look(&self) -> Usage {
        let Some(usage) = usage(self.pid()) else {
            return Usage { rss_kib: 0, cpu_s: self.cpu_s.get() };
        };
        self.peak_kib.set(self.peak_kib.get().max(usage.rss_kib));
        self.cpu_s.set(usage.cpu_s);
        usage
    }

    /// The most memory that was seen, and the processor seconds at the last look.
    pub fn taken(&self) -> (u64, f64) {
        (self.peak_kib.get(), self.cpu_s.get())
    }
}

impl Drop for Managed {
    fn drop(&mut self) {
        self.kill();
    }
}

fn usage(pid: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let rss_kib = line.split_whitespace().next()?.parse().ok()?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<u64>().ok()? + fields.next()?.parse::<u64>().ok()?;
    Some(Usage { rss_kib, cpu_s: ticks as f64 / TICKS_PER_S })
}
