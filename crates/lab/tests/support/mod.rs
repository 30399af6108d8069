//! Sidecars out of the lab's own file, for tests that replace or kill them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Nothing that a test waits for may take longer, not even on a slow machine.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits for a condition.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A folder that goes with the test.
pub struct Folder(pub PathBuf);

impl Folder {
    /// A new one, of this test's name.
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("curlewhub-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address of this test process's own, so that no other one comes to listen there.
pub fn free() -> SocketAddr {
    let part = 1 + (std::process::id() % 250) as u8;
    TcpListener::bind((std::net::Ipv4Addr::new(127, 78, part, 1), 0)).unwrap().local_addr().unwrap()
}

/// A running sidecar; it is killed with this.
pub struct Sidecar(pub Child);

impl Sidecar {
    /// Starts one that takes over from the one before, if there is one, and waits for its yes.
    pub fn start(file: &Path, folder: &Path) -> Sidecar {
        let operator = free();
        let child = Command::new(env!("CARGO_BIN_EXE_curlewhub-lab"))
            .args(["sidecar", "run", "--replace", "--config"])
            .arg(file)
            .args(["--operator", &operator.to_string()])
            .env("TMPDIR", folder)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let sidecar = Sidecar(child);
        wait_for("its yes", || says_yes(operator).unwrap_or(false));
        sidecar
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.0.kill(); // SIGKILL
        let _ = self.0.wait();
    }
}

fn says_yes(operator: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(operator)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(b"PING\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer == "YES\n")
}
