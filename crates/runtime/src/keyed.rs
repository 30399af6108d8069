//! Keyed jobs that may have run, here or at a process that was killed: what is found is told to the module with the
//! request, and what is sent is written down before it goes out. What is remembered is decided in `curlewhub-keys`.

use crate::figures::Figures;
use curlewhub_balance::{CellId, ClassId, Earlier, Group, Semantics, Settings, ZoneId};
use curlewhub_keys::{Entry, Journal, Memory, Others, Written, mark};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// A file that nobody has written for this much longer than any window is no living process's, and of no use.
const UNWRITTEN: Duration = Duration::from_secs(60);

/// Where to look and where to write.
pub struct Keyed {
    /// By class, how long endpoints of a group drop a repeat; none where a repeat may go anywhere.
    windows: Vec<Option<Duration>>,
    memory: Memory,
    journal: Option<Journal>,
    others: Option<Others>,
    figures: Rc<Figures>,
    /// Writing, or reading, fails; said once in the log until it works again.
    failing: bool,
    puzzled: bool,
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
        now: Duration,
    ) -> Self {
        let windows = windows(settings);
        let longest = windows.iter().flatten().max().copied();
        let (sidecar, mark) = (format!("{}-{}", listen.ip(), listen.port()), mark(zones));
        let journal = longest.and_then(|_| {
            let made = Journal::create(folder, &sidecar, now, mark);
            made.map_err(|e| {
                warn!(error = %e, "keys: no journal; repeats of jobs that a crash cuts off may run twice");
            })
            .ok()
        });
        let others = longest.map(|_| Others::new(folder, &sidecar, journal.as_ref(), mark));
        let (memory, failing, puzzled) = Default::default();
        let mut keyed = Keyed { windows, memory, journal, others, figures, failing, puzzled };
        keyed.absorb(now);
        if let (Some(others), Some(longest)) = (&keyed.others, longest) {
            others.clear(longest + UNWRITTEN);
            info!(keys = keyed.memory.len(), "keys: read what processes before have left");
        }
        keyed
    }

    /// Takes over what other processes have written until now.
    pub fn absorb(&mut self, now: Duration) {
        let Some(others) = &self.others else { return };
        let (entries, problems) = others.read();
        for entry in entries {
            // Written here too: the next process may find this file alone.
            let written = self.memory.note(now, entry);
            self.write(written);
        }
        if let Some(problem) = problems.first().filter(|_| !self.puzzled) {
            warn!(problems = problems.len(), first = problem, "keys: not all could be read");
        }
        self.puzzled = !problems.is_empty();
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
        let written = self.memory.note(now, entry);
        self.write(written);
        written.is_some()
    }

    /// The job that this process sent first has surely not run.
    pub fn did_not_run(&mut self, key: u64) {
        let written = self.memory.forget(key);
        self.write(written);
    }

    fn write(&mut self, written: Option<Written>) {
        let Some(written) = written else { return };
        let Some(journal) = &self.journal else { return self.figures.keys(self.memory.len(), false) };
        let done = journal.write(&written);
        self.figures.keys(self.memory.len(), done.is_ok());
        match done {
            Ok(()) => self.failing = false,
            Err(e) if !self.failing => {
                self.failing = true;
                let path = journal.path().display();
                warn!(%path, error = %e, "keys: can't be written; a crash would forget where jobs may have run");
            }
            Err(_) => {}
        }
    }
}
