//! The sidecars' processes, and the signals that they get.

use super::record::{Incarnation, SidecarEvent, SoakRecord};
use super::run::Front;
use super::settings::Settings;
use super::wire::Connection;
use rand::Rng;
use rand_pcg::Pcg32;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A process that is not ready by then has failed.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_CHECK: Duration = Duration::from_millis(50);
const READY_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// New connections come for so long after SIGTERM.
const FRONT_DELAY_MS: std::ops::Range<u64> = 200..400;
/// A process is held up for so long.
const HOLD: Duration = Duration::from_millis(150);

/// What happens to a sidecar in a run.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// SIGTERM, this many times, and SIGKILL as early as the page allows; then it is started again.
    Restart { signals: u32 },
    /// SIGHUP some times in a row, and then as `Restart`.
    ReloadAndRestart,
    /// SIGKILL at once; then it is started again.
    Kill,
    /// A second process is started, which takes over; the first one gets SIGTERM once it is ready.
    Replace,
    /// It is stopped and continued again, some times in a row.
    Hold,
}

impl Event {
    /// Draws what happens, if anything.
    pub fn draw(random: &mut Pcg32) -> Option<Event> {
        match random.random_range(0..100) {
            0..=19 => Some(Event::Restart { signals: 1 }),
            20..=27 => Some(Event::Restart { signals: random.random_range(2..5) }),
            28..=35 => Some(Event::ReloadAndRestart),
            36..=43 => Some(Event::Kill),
            44..=57 => Some(Event::Replace),
            58..=69 => Some(Event::Hold),
            _ => None,
        }
    }
}

/// A process; killed when dropped.
struct Process(Child);

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal); // it may have ended
        }
    }

    fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }

    /// Ends it, and waits until it has ended.
    fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// One sidecar over all its processes.
pub struct Sidecar {
    pub number: usize,
    pub program: Vec<PathBuf>,
    pub folder: PathBuf,
    pub address: SocketAddr,
    pub ip: Ipv4Addr,
    pub discovery: SocketAddr,
    pub targets: Vec<Value>,
    pub settings: Settings,
    pub front: Arc<Front>,
    pub record: Arc<SoakRecord>,
    pub log_level: Option<String>,
}

impl Sidecar {
    /// Starts its first process, lets the event happen, and keeps a process until the run ends.
    pub async fn run(self, event: Option<Event>, at: Instant, until: Instant, mut random: Pcg32) {
        let mut process = match self.start().await {
            Ok(process) => process,
            Err(problem) => return self.record.update(|record| record.crashes.push(problem)),
        };
        self.front.set(self.number, self.address, true);
        if let Some(event) = event {
            sleep_until(at).await;
            match self.happen(event, process, &mut random).await {
                Ok(next) => process = next,
                Err(problem) => return self.record.update(|record| record.crashes.push(problem)),
            }
        }
        sleep_until(until).await;
        if process.has_ended() {
            self.record.update(|record| record.crashes.push(format!("sidecar {} has ended", self.number)));
        }
    }

    async fn happen(&self, event: Event, process: Process, random: &mut Pcg32) -> Result<Process, String> {
        match event {
            Event::Restart { signals } => self.restart(process, signals, random).await,
            Event::ReloadAndRestart => {
                for _ in 0..random.random_range(1..4) {
                    self.note("SIGHUP");
                    process.signal(Signal::HUP);
                    sleep(Duration::from_millis(random.random_range(5..300))).await;
                }
                self.restart(process, 1, random).await
            }
            Event::Kill => {
                self.front.set(self.number, self.address, false);
                self.record_end(None, Instant::now());
                process.kill();
                self.start_in_front().await
            }
            Event::Replace => {
                let next = self.start().await?;
                let (terminated, kill_at) = self.terminate(&process, 1, random).await;
                sleep_until(kill_at).await;
                self.record_end(Some(terminated), Instant::now());
                process.kill();
                Ok(next)
            }
            Event::Hold => {
                for _ in 0..random.random_range(1..6) {
                    self.note("SIGSTOP");
                    process.signal(Signal::STOP);
                    sleep(HOLD).await;
                    process.signal(Signal::CONT);
                    sleep(Duration::from_millis(random.random_range(50..400))).await;
                }
                Ok(process)
            }
        }
    }

    async fn restart(&self, process: Process, signals: u32, random: &mut Pcg32) -> Result<Process, String> {
        let (terminated, kill_at) = self.terminate(&process, signals, random).await;
        sleep(Duration::from_millis(random.random_range(FRONT_DELAY_MS))).await;
        self.front.set(self.number, self.address, false);
        sleep_until(kill_at).await;
        self.record_end(Some(terminated), Instant::now());
        process.kill();
        self.start_in_front().await
    }

    async fn start_in_front(&self) -> Result<Process, String> {
        let process = self.start().await?;
        self.front.set(self.number, self.address, true);
        Ok(process)
    }

    /// Sends SIGTERM. Returns when, and when SIGKILL may come.
    async fn terminate(&self, process: &Process, signals: u32, random: &mut Pcg32) -> (Instant, Instant) {
        let terminated = Instant::now();
        self.note("SIGTERM");
        process.signal(Signal::TERM);
        self.record.update(|record| {
            record.incarnations.push(Incarnation {
                sidecar: self.number,
                terminated: Some(terminated),
                killed: None,
            });
        });
        for _ in 1..signals {
            sleep(Duration::from_millis(random.random_range(1..150))).await;
            self.note("SIGTERM");
            process.signal(Signal::TERM);
        }
        (terminated, terminated + self.settings.kill_after())
    }

    fn note(&self, what: &'static str) {
        let event = SidecarEvent { sidecar: self.number, what, at: Instant::now() };
        self.record.update(|record| record.events.push(event));
    }

    /// Records a SIGKILL, ahead of it.
    fn record_end(&self, terminated: Option<Instant>, killed: Instant) {
        self.note("SIGKILL");
        self.record.update(|record| {
            let known = record
                .incarnations
                .iter_mut()
                .find(|life| life.sidecar == self.number && life.killed.is_none());
            match known {
                Some(life) => life.killed = Some(killed),
                None => record.incarnations.push(Incarnation {
                    sidecar: self.number,
                    terminated,
                    killed: Some(killed),
                }),
            }
        });
    }

    /// Starts a process and waits until it is ready.
    async fn start(&self) -> Result<Process, String> {
        let problem = |what: &dyn std::fmt::Display| format!("sidecar {}: {what}", self.number);
        let mut operator = free_address(self.ip).map_err(|e| problem(&e))?;
        while operator == self.address {
            operator = free_address(self.ip).map_err(|e| problem(&e))?;
        }
        let config =
            self.settings.config(self.number, self.address, operator, self.discovery, &self.targets);
        let file = self.folder.join(format!("n{}.{}.json", self.number, operator.port()));
        std::fs::write(&file, config.to_string()).map_err(|e| problem(&e))?;
        let state = self.folder.join(format!("n{}", self.number));
        std::fs::create_dir_all(&state).map_err(|e| problem(&e))?;
        self.note("start");
        let child = self.command(&file, &state).and_then(|mut command| command.spawn());
        let process = Process(child.map_err(|e| problem(&e))?);
        let start = Instant::now();
        while !is_ready(operator).await {
            if start.elapsed() > READY_TIMEOUT {
                return Err(problem(&"not ready"));
            }
            sleep(READY_CHECK).await;
        }
        self.note("ready");
        Ok(process)
    }

    fn command(&self, file: &Path, state: &Path) -> std::io::Result<Command> {
        let mut command = Command::new(&self.program[0]);
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR", "RUST_LOG"] {
            command.env_remove(name);
        }
        if let Some(level) = &self.log_level {
            command.env("RUST_LOG", level);
        }
        let log = File::create(file.with_extension("log"))?;
        command.args(&self.program[1..]).env("ROUTER_CONFIG", file).env("TMPDIR", state);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(command)
    }
}

/// An address that nothing listens on now.
pub fn free_address(ip: Ipv4Addr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Asks the process behind its operators' address.
async fn is_ready(operator: SocketAddr) -> bool {
    let call = async {
        let mut connection = Connection::new(TcpStream::connect(operator).await.ok()?);
        connection.stream.write_all(b"PING\n").await.ok()?;
        connection.read_exact(3).await.ok()
    };
    matches!(timeout(READY_CALL_TIMEOUT, call).await, Ok(Some(answer)) if answer == b"YES")
}
