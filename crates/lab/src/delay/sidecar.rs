//! Real sidecar processes, alone or in a chain, and what the kernel says of their time.

use super::peers::CLASS;
use super::wire::{Connection, Expected, Message, Start};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// A sidecar that is not ready after this has not started.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How often readiness is asked for.
const READY_POLL: Duration = Duration::from_millis(20);

/// What is started as a sidecar.
#[derive(Clone, Debug)]
pub enum Program {
    /// A file that is a sidecar's program.
    Sidecar(PathBuf),
    /// The lab's own file, which holds the sidecar's program too.
    Lab(PathBuf),
}

impl Program {
    fn command(&self) -> Command {
        match self {
            Program::Sidecar(path) => Command::new(path),
            Program::Lab(path) => {
                let mut command = Command::new(path);
                command.arg("sidecar");
                command
            }
        }
    }
}

/// One running sidecar; ended when dropped.
pub struct Sidecar {
    /// Where its clients connect.
    pub address: SocketAddr,
    child: Child,
}

/// What its one working thread has used since its start, as the kernel's scheduler counts it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scheduled {
    /// On a processor.
    pub running: Duration,
    /// Ready to run, and waiting for a processor.
    pub queued: Duration,
    /// Times that it was put on a processor.
    pub slices: u64,
}

impl Sidecar {
    /// Starts one before these endpoints, and waits until it is ready.
    ///
    /// # Errors
    /// It does not start, or is not ready in time; its log tells more.
    pub fn start(
        program: &Program,
        folder: &Path,
        number: usize,
        endpoints: &[SocketAddr],
    ) -> Result<Self, String> {
        Sidecar::start_with(program, folder, number, |listen, state| {
            configuration(listen, state, endpoints)
        })
    }

    /// Starts one with the file that this makes of its address and its folder, and waits until it is ready.
    ///
    /// # Errors
    /// As [`Sidecar::start`].
    pub fn start_with(
        program: &Program,
        folder: &Path,
        number: usize,
        configuration: impl FnOnce(SocketAddr, &Path) -> String,
    ) -> Result<Self, String> {
        let address = free_address().map_err(|e| format!("no free port: {e}"))?;
        let config = folder.join(format!("sidecar-{number}.toml"));
        let log = folder.join(format!("sidecar-{number}.log"));
        let state = folder.join(format!("state-{number}"));
        std::fs::create_dir_all(&state).map_err(|e| format!("{}: {e}", state.display()))?;
        std::fs::write(&config, configuration(address, &state))
            .map_err(|e| format!("{}: {e}", config.display()))?;
        let output = File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = program.command();
        command.args(["run", "--config"]).arg(config).stderr(output);
        let child = command.spawn().map_err(|e| format!("a sidecar does not start: {e}"))?;
        let sidecar = Sidecar { address, child };
        if sidecar.becomes_ready() {
            return Ok(sidecar);
        }
        let said = std::fs::read_to_string(&log).unwrap_or_default();
        Err(format!("a sidecar is not ready within {READY_WITHIN:?}: {said}"))
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has used so far; none where the kernel does not say.
    pub fn scheduled(&self) -> Option<Scheduled> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).ok()?;
        let mut fields = text.split_whitespace().map(|field| field.parse::<u64>().ok());
        let (running, queued, slices) = (fields.next()??, fields.next()??, fields.next()??);
        let of = Duration::from_nanos;
        Some(Scheduled { running: of(running), queued: of(queued), slices })
    }

    fn becomes_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < READY_WITHIN {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(READY_POLL);
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut connection = Connection::connect(self.address)?;
        connection.write(b"GET /-/ready HTTP/1.1\r\nHost: sidecar\r\n\r\n")?;
        let answer = connection.read(Expected::Answer)?;
        Ok(matches!(answer, Some(Message { start: Start::Status(200), .. })))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn configuration(listen: SocketAddr, state: &Path, endpoints: &[SocketAddr]) -> String {
    let mut text = format!(
        "name = \"delay\"\nlisten = \"{listen}\"\nstate_dir = {state:?}\nzones = [\"a\"]\nzone = \"a\"\n\
         [log]\nlevel = \"warn\"\n\
         [[classes]]\nname = \"{CLASS}\"\nrepeat = \"safe\"\nobjective = \"1s\"\ndeadline = \"3s\"\nworth = 1.0\n"
    );
    for (number, address) in endpoints.iter().enumerate() {
        text += &format!("[[endpoints]]\nid = \"e-{number}\"\naddress = \"{address}\"\nzone = \"a\"\n");
    }
    text
}
