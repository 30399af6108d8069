//! Operator bans: endpoints that operators have taken out of use. They are identified by uid, so that a ban outlives
//! the endpoint's entry in the list, and persisted in a file, so that it outlives the process.

use curlewhub_snapshot::{remove_temporary_files, replace_file};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{error, info, warn};

/// Interval between attempts to read or write a file that could not be read or written.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The version of the file format that this build reads and writes.
const VERSION: u32 = 1;

/// A file that can't be parsed is renamed to this extension.
const QUARANTINE_EXTENSION: &str = "spoilt";

/// The content of the file.
#[derive(Deserialize, Serialize)]
struct BanFile {
    version: u32,
    detached: BTreeSet<String>,
}

/// Why the content of the file can't be used.
#[derive(Debug, thiserror::Error)]
enum ParseError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("version: {found} is not {VERSION}")]
    Version { found: u32 },
}

/// The bans in force, and their file.
pub struct EndpointBans {
    path: PathBuf,
    banned: RefCell<BTreeSet<String>>,
    pending: Cell<PendingIo>,
}

/// What still has to be done with the file, and when it is tried next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PendingIo {
    Nothing,
    /// The file could not be read: it may hold bans that are not in force.
    Read(Instant),
    /// The file could not be written: it does not hold the bans that are in force.
    Write(Instant),
}

impl EndpointBans {
    /// Loads the bans from the state directory of the sidecar with this listen address. A file that can't be parsed
    /// is renamed and replaced by no bans: it must not keep the sidecar from starting.
    pub fn load(state_dir: &Path, listen: SocketAddr) -> Rc<Self> {
        // Several sidecars may share one directory; no two listen at the same address.
        let path = state_dir.join(format!("curlewhub-bans-{}-{}.json", listen.ip(), listen.port()));
        remove_temporary_files(&path);
        let bans =
            EndpointBans { path, banned: RefCell::default(), pending: Cell::new(PendingIo::Nothing) };
        bans.read_file();
        Rc::new(bans)
    }

    /// Reads the file; schedules a retry if that fails.
    fn read_file(&self) {
        let banned = match std::fs::read(&self.path) {
            Ok(bytes) => parse(&bytes).unwrap_or_else(|error| {
                warn!(path = %self.path.display(), %error, "bans: file is invalid; starting with none");
                let renamed = self.path.with_extension(QUARANTINE_EXTENSION);
                let _ = std::fs::rename(&self.path, renamed); // kept for diagnosis alone
                BTreeSet::new()
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => BTreeSet::new(),
            Err(e) => {
                if self.pending.get() == PendingIo::Nothing {
                    warn!(path = %self.path.display(), error = %e, "bans: read failed; none in force until a retry succeeds");
                }
                return self.pending.set(PendingIo::Read(Instant::now() + RETRY_INTERVAL));
            }
        };
        self.banned.replace(banned);
        self.pending.set(PendingIo::Nothing);
    }

    /// When [`EndpointBans::retry`] is due; none while the file is up to date.
    pub fn retry_at(&self) -> Option<Instant> {
        match self.pending.get() {
            PendingIo::Nothing => None,
            PendingIo::Read(at) | PendingIo::Write(at) => Some(at),
        }
    }

    /// Retries a failed read or write of the file, if that is due. Returns the uids whose bans are in force from now on
    /// because the file could be read.
    pub fn retry(&self) -> Vec<String> {
        let now = Instant::now();
        match self.pending.get() {
            PendingIo::Read(at) if at <= now => {
                self.read_file();
                self.all()
            }
            PendingIo::Write(at) if at <= now => {
                let banned = self.banned.borrow().clone();
                if self.write(&banned).is_ok() {
                    info!(path = %self.path.display(), "bans: written after earlier failures");
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Whether the endpoint of this uid is banned.
    pub fn contains(&self, uid: &str) -> bool {
        self.banned.borrow().contains(uid)
    }

    /// The uids of all banned endpoints, in order.
    pub fn all(&self) -> Vec<String> {
        self.banned.borrow().iter().cloned().collect()
    }

    /// Bans an endpoint or lifts its ban; durable once this returns.
    ///
    /// # Errors
    /// The file can't be written, or has not been read yet and a write would lose its bans. Nothing changes then.
    pub fn set(&self, uid: &str, banned: bool) -> io::Result<()> {
        if let PendingIo::Read(_) = self.pending.get() {
            return Err(io::Error::other("earlier bans have not been read yet"));
        }
        let mut new = self.banned.borrow().clone();
        let changed = if banned { new.insert(uid.to_owned()) } else { new.remove(uid) };
        if changed {
            self.write(&new)?;
            self.banned.replace(new);
        }
        Ok(())
    }

    /// Replaces all bans by those of the predecessor, which take precedence over the file. They are in force even if
    /// they can't be written yet.
    pub fn replace(&self, uids: Vec<String>) {
        let new: BTreeSet<String> = uids.into_iter().collect();
        self.pending.set(PendingIo::Nothing); // a pending read is obsolete
        if let Err(e) = self.write(&new) {
            self.pending.set(PendingIo::Write(Instant::now() + RETRY_INTERVAL));
            error!(path = %self.path.display(), error = %e, "bans: write failed; in force in memory alone");
        }
        self.banned.replace(new);
    }

    /// Replaces the file atomically.
    fn write(&self, banned: &BTreeSet<String>) -> io::Result<()> {
        let content = serde_json::to_vec(&BanFile { version: VERSION, detached: banned.clone() })?;
        let written = replace_file(&self.path, &content);
        self.pending.set(match (&written, self.pending.get()) {
            (Ok(()), _) => PendingIo::Nothing,
            (Err(_), PendingIo::Write(_)) => PendingIo::Write(Instant::now() + RETRY_INTERVAL),
            (Err(_), pending) => pending,
        });
        written
    }
}

fn parse(bytes: &[u8]) -> Result<BTreeSet<String>, ParseError> {
    let file: BanFile = serde_json::from_slice(bytes)?;
    if file.version != VERSION {
        return Err(ParseError::Version { found: file.version });
    }
    Ok(file.detached)
}
