//! Idempotency keys of jobs that may have run, in this process or in one that was killed before. An earlier send that
//! is found is passed to the balancer with the request; each first send is written to a journal before it goes out.
//! What is remembered, and in which slot, is decided in `curlewhub-keys`. Memory is authoritative: a slot that can't be
//! written is retried later.

use crate::clock::Clock;
use crate::figures::Metrics;
use curlewhub_balance::{CellId, ClassId, DeduplicationScope, EarlierAttempt, Semantics, Settings, ZoneId};
use curlewhub_keys::{
    Entry, JournalFolder, KeyTable, OtherJournals, RETRY_INTERVAL, RetryingJournal, SlotWrite, zones_hash,
};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// A journal that has not been written for the longest window and this belongs to no live process, and its entries have
/// expired.
const STALE_MARGIN: Duration = Duration::from_secs(60);

/// The remembered keys, and their journals.
pub struct IdempotencyKeys {
    /// By class, how long the endpoints of a group drop a repeat; none where a repeat may be sent anywhere.
    windows: Vec<Option<Duration>>,
    memory: KeyTable,
    /// None if no class needs a journal.
    journals: Option<Journals>,
    clock: Clock,
    figures: Rc<Metrics>,
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

/// By class, how long a repeat must stay within the group of endpoints of its first send; none if it need not.
pub fn repeat_windows(settings: &Settings) -> Vec<Option<Duration>> {
    let window = |semantics| match semantics {
        Semantics::Keyed { group: DeduplicationScope::Zone | DeduplicationScope::Cell, window } => {
            Some(window)
        }
        _ => None,
    };
    settings.classes.iter().map(|class| window(class.semantics)).collect()
}

impl IdempotencyKeys {
    /// Reads the journals that earlier processes of the sidecar with this listen address have left in the state
    /// directory, and opens one of its own if a class needs it.
    pub fn open(
        state_dir: &Path,
        listen: SocketAddr,
        settings: &Settings,
        zones: &[String],
        figures: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        let windows = repeat_windows(settings);
        let longest = windows.iter().flatten().max().copied();
        let sidecar = format!("{}-{}", listen.ip(), listen.port());
        let location =
            JournalFolder { folder: state_dir.to_owned(), sidecar, zones_hash: zones_hash(zones) };
        let now = clock.now();
        let journals = longest.map(|_| Journals::open(location, now, &clock));
        let mut keys = IdempotencyKeys {
            windows,
            memory: KeyTable::default(),
            journals,
            clock,
            figures,
            write_failing: false,
            read_failing: false,
        };
        keys.import_journals(now);
        if let (Some(journals), Some(longest)) = (&keys.journals, longest) {
            let anchor = keys.clock.anchor();
            journals.others.remove_expired_with_clock(
                longest + STALE_MARGIN,
                anchor.as_ref().map(|anchor| (anchor, now)),
            );
            info!(keys = keys.memory.len(), "keys: read what processes before have left");
        }
        keys
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
            warn!(problems = problems.len(), first = problem, "keys: some journals could not be read");
        }
        self.read_failing = !problems.is_empty();
    }

    /// When [`IdempotencyKeys::retry`] is due; none while every slot is written.
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
            info!("keys: all that was owed is written");
        }
    }

    /// Whether it is remembered where the job of this key may have run.
    pub fn contains(&self, now: Duration, key: u64) -> bool {
        self.memory.find(now, key).is_some()
    }

    /// Where the job of this key may have run before, if endpoints there still drop a repeat of it.
    pub fn earlier_send(&self, now: Duration, key: u64) -> Option<EarlierAttempt> {
        let entry = self.memory.find(now, key)?;
        Some(EarlierAttempt { zone: ZoneId(entry.zone), cell: CellId(entry.cell), sent: entry.sent })
    }

    /// Records that a job is about to be sent to an endpoint of this zone and cell, and writes that to the journal.
    /// Returns whether this is its first send.
    pub fn record_send(
        &mut self,
        now: Duration,
        key: u64,
        class: ClassId,
        zone: ZoneId,
        cell: CellId,
    ) -> bool {
        let Some(window) = self.windows.get(class.0).copied().flatten() else { return false };
        let entry = Entry { key, zone: zone.0, cell: cell.0, sent: now, window };
        let write = self.memory.insert(now, entry);
        self.write(now, write);
        write.is_some()
    }

    /// Forgets a job that this process sent first and that has certainly not run.
    pub fn forget_send(&mut self, key: u64) {
        let write = self.memory.forget(key);
        self.write(self.clock.now(), write);
    }

    fn write(&mut self, now: Duration, write: Option<SlotWrite>) {
        let (Some(write), Some(journals)) = (write, &mut self.journals) else { return };
        let written = journals.own.write(now, &write);
        journals.schedule_retry();
        self.figures.record_keys(self.memory.len(), written.is_ok());
        if let Err(error) = written
            && !std::mem::replace(&mut self.write_failing, true)
        {
            warn!(%error, "keys: can't be written; a crash now would forget where jobs may have run");
        }
    }
}

impl Journals {
    fn open(location: JournalFolder, now: Duration, clock: &Clock) -> Journals {
        let mut others = OtherJournals::new(&location.folder, &location.sidecar, None, location.zones_hash);
        let (own, problem) = RetryingJournal::open(location, now, clock.anchor());
        if let Some(error) = problem {
            warn!(%error, "keys: no journal; repeats of jobs that a crash cuts off may run twice");
        }
        others.set_own(&own.path());
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
