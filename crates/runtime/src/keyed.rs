//! Keyed jobs that may have run, here or at a process that was killed: what is found is told to the module with the
//! request, and what is sent is written down before it goes out. What is remembered is decided in `curlewhub-keys`.
//! Memory is the truth: what can't be written to the file is written later.

use crate::clock::Clock;
use crate::figures::Figures;
use curlewhub_balance::{CellId, ClassId, Earlier, Group, Semantics, Settings, ZoneId};
use curlewhub_keys::{
    Entry, JournalFolder, Memory, Others, OwnJournal, RETRY_INTERVAL, SlotWrite, zones_hash,
};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// A file that nobody has written for this much longer than any window is no living process's, and of no use.
const UNWRITTEN: Duration = Duration::from_secs(60);

/// Where to look and where to write.
pub struct Keyed {
    /// By class, how long endpoints of a group drop a repeat; none where a repeat may go anywhere.
    windows: Vec<Option<Duration>>,
    memory: Memory,
    /// None where no class needs it.
    files: Option<Files>,
    clock: Clock,
    figures: Rc<Figures>,
    /// Writing, or reading, fails; said once in the log until it works again.
    write_fails: bool,
    read_fails: bool,
}

/// The journals in the folder.
struct Files {
    own: OwnJournal,
    others: Others,
    /// When to try again what could not be written.
    retry_at: Option<Instant>,
}

/// For which classes repeats must keep to a group of endpoints, and for how long.
pub fn windows(settings: &Settings) -> Vec<Option<Duration>> {
    let window = |semantics| match semantics {
        Semantics::Keyed { group: Group::Zone | Group::Cell, window } => Some(window),
        _ => None,
    };
    settings.classes.iter().map(|class| window(class.semantics)).collect()
}

impl Keyed {
    /// With what earlier processes of the sidecar that listens there have left in this folder. Where no class needs
    /// it there is no file.
    pub fn open(
        folder: &Path,
        listen: SocketAddr,
        settings: &Settings,
        zones: &[String],
        figures: Rc<Figures>,
        clock: Clock,
    ) -> Self {
        let windows = windows(settings);
        let longest = windows.iter().flatten().max().copied();
        let sidecar = format!("{}-{}", listen.ip(), listen.port());
        let place = JournalFolder { folder: folder.to_owned(), sidecar, zones_hash: zones_hash(zones) };
        let now = clock.now();
        let files = longest.map(|_| Files::open(place, now, &clock));
        let (memory, write_fails, read_fails) = Default::default();
        let mut keyed = Keyed { windows, memory, files, clock, figures, write_fails, read_fails };
        keyed.absorb(now);
        if let (Some(files), Some(longest)) = (&keyed.files, longest) {
            let anchor = keyed.clock.anchor();
            files.others.clear_on(longest + UNWRITTEN, anchor.as_ref().map(|anchor| (anchor, now)));
            info!(keys = keyed.memory.len(), "keys: read what processes before have left");
        }
        keyed
    }

    /// Takes over what other processes have written until now.
    pub fn absorb(&mut self, now: Duration) {
        let Some(files) = &self.files else { return };
        let (entries, problems) = files.others.read_on(self.clock.anchor().as_ref());
        for entry in entries {
            // Written here too: the next process may find this file alone.
            let write = self.memory.note(now, entry);
            self.write(now, write);
        }
        if let Some(problem) = problems.first().filter(|_| !self.read_fails) {
            warn!(problems = problems.len(), first = problem, "keys: not all could be read");
        }
        self.read_fails = !problems.is_empty();
    }

    /// When to call [`Keyed::retry`]; none while nothing is owed.
    pub fn retry_at(&self) -> Option<Instant> {
        self.files.as_ref().and_then(|files| files.retry_at)
    }

    /// Writes what could not be written, if it is time.
    pub fn retry(&mut self) {
        let Some(files) = &mut self.files else { return };
        if files.retry_at.is_none_or(|at| at > Instant::now()) {
            return;
        }
        let done = files.own.retry(self.clock.now());
        files.plan();
        if done.is_ok() && files.retry_at.is_none() && std::mem::take(&mut self.write_fails) {
            info!("keys: all that was owed is written");
        }
    }

    /// Whether it is known where the job of this key may have run.
    pub fn knows(&self, now: Duration, key: u64) -> bool {
        self.memory.find(now, key).is_some()
    }

    /// Where the job of this key may have run, as far as endpoints still remember it.
    pub fn earlier(&self, now: Duration, key: u64) -> Option<Earlier> {
        let entry = self.memory.find(now, key)?;
        Some(Earlier { zone: ZoneId(entry.zone), cell: CellId(entry.cell), sent: entry.sent })
    }

    /// A job is about to go to an endpoint there; whether that is its first send. Written once this returns.
    pub fn goes(&mut self, now: Duration, key: u64, class: ClassId, zone: ZoneId, cell: CellId) -> bool {
        let Some(window) = self.windows.get(class.0).copied().flatten() else { return false };
        let entry = Entry { key, zone: zone.0, cell: cell.0, sent: now, window };
        let write = self.memory.note(now, entry);
        self.write(now, write);
        write.is_some()
    }

    /// The job that this process sent first has surely not run.
    pub fn did_not_run(&mut self, key: u64) {
        let write = self.memory.forget(key);
        self.write(self.clock.now(), write);
    }

    fn write(&mut self, now: Duration, write: Option<SlotWrite>) {
        let (Some(write), Some(files)) = (write, &mut self.files) else { return };
        let done = files.own.write(now, &write);
        files.plan();
        self.figures.keys(self.memory.len(), done.is_ok());
        if let Err(error) = done
            && !std::mem::replace(&mut self.write_fails, true)
        {
            warn!(%error, "keys: can't be written; a crash now would forget where jobs may have run");
        }
    }
}

impl Files {
    fn open(place: JournalFolder, now: Duration, clock: &Clock) -> Files {
        let mut others = Others::new(&place.folder, &place.sidecar, None, place.zones_hash);
        let (own, problem) = OwnJournal::open(place, now, clock.anchor());
        if let Some(error) = problem {
            warn!(%error, "keys: no journal; repeats of jobs that a crash cuts off may run twice");
        }
        others.set_own(&own.path());
        let mut files = Files { own, others, retry_at: None };
        files.plan();
        files
    }

    /// Plans the next retry, if something is owed.
    fn plan(&mut self) {
        self.retry_at = match self.retry_at {
            _ if !self.own.is_owing() => None,
            Some(at) if at > Instant::now() => Some(at),
            _ => Some(Instant::now() + RETRY_INTERVAL),
        };
    }
}
