//! Where jobs that may have run were first sent, by a hash that identifies them: a table in memory, and journals through
//! which other processes of the sidecar learn of it, also from one that was killed. What is remembered, and in which slot,
//! is decided in `curlewhub-keys`. Memory is authoritative: a slot that can't be written is retried later.

use crate::clock::Clock;
use curlewhub_balance::{CellId, EarlierAttempt, ZoneId};
pub use curlewhub_keys::JournalKind;
use curlewhub_keys::{
    Entry, JournalFolder, KeyTable, OtherJournals, RETRY_INTERVAL, RetryingJournal, SlotWrite, zones_hash,
};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// A journal that has not been written for the longest window and this belongs to no live process, and its entries have
/// expired.
const STALE_MARGIN: Duration = Duration::from_secs(60);

/// A zone and a cell that no endpoint is in.
const NO_ZONE: u32 = u32::MAX;
const NO_CELL: u64 = u64::MAX;

/// The journals of one kind of records of one sidecar.
pub struct JournalLocation<'a> {
    /// The folder of the files.
    pub state_dir: &'a Path,
    /// Where the sidecar listens, which tells its files from those of others.
    pub listen: SocketAddr,
    /// What they record.
    pub kind: JournalKind,
    /// The names of the zones: journals hold their numbers.
    pub zones: &'a [String],
}

/// Where and when a job was sent for the first time.
#[derive(Clone, Copy, Debug)]
pub struct FirstSend {
    /// The zone of the endpoint.
    pub zone: ZoneId,
    /// The cell of the endpoint.
    pub cell: CellId,
    /// For how long it is remembered.
    pub retention: Duration,
}

/// The remembered jobs, and their journals.
pub struct JobRecords {
    /// What is remembered, for the log.
    name: &'static str,
    memory: KeyTable,
    /// None if no class needs a journal.
    journals: Option<Journals>,
    clock: Clock,
    /// Writes that failed since they were last asked for.
    failed_writes: usize,
    /// The last write failed; logged once until a write succeeds.
    write_failing: bool,
    /// The last read failed; logged once until a read succeeds.
    read_failing: bool,
}

/// The journals in the state directory.
struct Journals {
    own: RetryingJournal,
    others: OtherJournals,
    /// When unwritten slots are tried again; none if there are none.
    retry_at: Option<Instant>,
}

impl JobRecords {
    /// Reads the journals that earlier processes of the sidecar have left, and opens one of its own. `longest` is the
    /// longest retention; without one nothing is ever recorded, and there is no journal.
    pub fn open(
        name: &'static str,
        location: &JournalLocation<'_>,
        memory: KeyTable,
        longest: Option<Duration>,
        clock: Clock,
    ) -> Self {
        let sidecar = format!("{}-{}", location.listen.ip(), location.listen.port());
        let folder = JournalFolder {
            kind: location.kind,
            folder: location.state_dir.to_owned(),
            sidecar,
            zones_hash: zones_hash(location.zones),
        };
        let now = clock.now();
        let journals = longest.map(|_| Journals::open(name, folder, now, &clock));
        let (failed_writes, write_failing, read_failing) = Default::default();
        let mut records =
            JobRecords { name, memory, journals, clock, failed_writes, write_failing, read_failing };
        records.import_journals(now);
        if let (Some(journals), Some(longest)) = (&records.journals, longest) {
            let anchor = records.clock.anchor();
            journals.others.remove_expired_with_clock(
                longest + STALE_MARGIN,
                anchor.as_ref().map(|anchor| (anchor, now)),
            );
            info!(keys = records.memory.len(), "{name}: read what processes before have left");
        }
        records
    }

    /// Adds the entries that other processes have written to their journals until now.
    pub fn import_journals(&mut self, now: Duration) {
        let Some(journals) = &self.journals else { return };
        let (entries, problems) = journals.others.read_with_clock(self.clock.anchor().as_ref());
        for entry in entries {
            // Also written to the own journal: the next process may find no other.
            let write = self.memory.insert(now, entry);
            self.write(now, write);
        }
        if let Some(problem) = problems.first().filter(|_| !self.read_failing) {
            warn!(
                problems = problems.len(),
                first = problem,
                "{}: some journals could not be read",
                self.name
            );
        }
        self.read_failing = !problems.is_empty();
    }

    /// When [`JobRecords::retry`] is due; none while every slot is written.
    pub fn retry_at(&self) -> Option<Instant> {
        self.journals.as_ref().and_then(|journals| journals.retry_at)
    }

    /// Writes slots that could not be written, if that is due.
    pub fn retry(&mut self) {
        let Some(journals) = &mut self.journals else { return };
        if journals.retry_at.is_none_or(|at| at > Instant::now()) {
            return;
        }
        let written = journals.own.retry(self.clock.now());
        journals.schedule_retry();
        if written.is_ok() && journals.retry_at.is_none() && std::mem::take(&mut self.write_failing) {
            info!("{}: all that was owed is written", self.name);
        }
    }

    /// The number of remembered jobs.
    pub fn count(&self) -> usize {
        self.memory.len()
    }

    /// How many writes to the journal have failed since the last call.
    pub fn take_failed_writes(&mut self) -> usize {
        std::mem::take(&mut self.failed_writes)
    }

    /// Where a job was sent first, while that is remembered.
    pub fn find(&self, now: Duration, job: u64) -> Option<EarlierAttempt> {
        let entry = self.memory.find(now, job)?;
        Some(EarlierAttempt { zone: ZoneId(entry.zone), cell: CellId(entry.cell), sent: entry.sent })
    }

    /// Records that a job is about to be sent, and writes that to the journal. Returns whether it was not known.
    pub fn insert(&mut self, now: Duration, job: u64, first: FirstSend) -> bool {
        let FirstSend { zone, cell, retention } = first;
        let entry = Entry { key: job, zone: zone.0, cell: cell.0, sent: now, window: retention };
        let write = self.memory.insert(now, entry);
        self.write(now, write);
        write.is_some()
    }

    /// Records that it is not known where a job may have run.
    pub fn set_place_unknown(&mut self, now: Duration, job: u64) {
        let Some(entry) = self.memory.find(now, job).copied() else { return };
        self.forget(job);
        let write = self.memory.insert(now, Entry { zone: NO_ZONE, cell: NO_CELL, ..entry });
        self.write(now, write);
    }

    /// Forgets a job that this process sent first and that has certainly not run.
    pub fn forget(&mut self, job: u64) {
        let write = self.memory.forget(job);
        self.write(self.clock.now(), write);
    }

    fn write(&mut self, now: Duration, write: Option<SlotWrite>) {
        let (Some(write), Some(journals)) = (write, &mut self.journals) else { return };
        let written = journals.own.write(now, &write);
        journals.schedule_retry();
        let Err(error) = written else { return };
        self.failed_writes += 1;
        if !std::mem::replace(&mut self.write_failing, true) {
            let name = self.name;
            warn!(%error, "{name}: can't be written; a crash now would forget where jobs may have run");
        }
    }
}

impl Journals {
    fn open(name: &str, location: JournalFolder, now: Duration, clock: &Clock) -> Journals {
        let folder = location.clone();
        let (own, problem) = RetryingJournal::open(location, now, clock.anchor());
        if let Some(error) = problem {
            warn!(%error, "{name}: no journal; repeats of jobs that a crash cuts off may run twice");
        }
        let others = OtherJournals::at(&folder, &own.path());
        let mut journals = Journals { own, others, retry_at: None };
        journals.schedule_retry();
        journals
    }

    /// Schedules the next retry, if a slot is unwritten.
    fn schedule_retry(&mut self) {
        self.retry_at = match self.retry_at {
            _ if !self.own.needs_retry() => None,
            Some(at) if at > Instant::now() => Some(at),
            _ => Some(Instant::now() + RETRY_INTERVAL),
        };
    }
}
