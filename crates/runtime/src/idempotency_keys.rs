//! Idempotency keys of jobs that may have run, in this process or in one that was killed before. An earlier send that
//! is found is passed to the balancer with the request; each first send is written to a journal before it goes out.

use crate::clock::Clock;
use crate::figures::Metrics;
use crate::job_records::{FirstSend, JobRecords, JournalLocation};
use curlewhub_balance::{CellId, ClassId, EarlierAttempt, Semantics, Settings, ZoneId};
use curlewhub_keys::KeyTable;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The remembered keys, and their journals.
pub struct IdempotencyKeys {
    /// By class, how long the endpoints of a group drop a repeat; none where a repeat may be sent anywhere.
    windows: Vec<Option<Duration>>,
    records: JobRecords,
    figures: Rc<Metrics>,
}

/// By class, how long a repeat must stay within the group of endpoints of its first send; none if it need not.
pub fn repeat_windows(settings: &Settings) -> Vec<Option<Duration>> {
    let window = |semantics: Semantics| match semantics {
        Semantics::Keyed { window, .. } if semantics.has_group() => Some(window),
        _ => None,
    };
    settings.classes.iter().map(|class| window(class.semantics)).collect()
}

impl IdempotencyKeys {
    /// Reads the journals that earlier processes of the sidecar have left in the state directory, and opens one of its
    /// own if a class needs it.
    pub fn open(
        location: &JournalLocation<'_>,
        settings: &Settings,
        figures: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        let windows = repeat_windows(settings);
        let longest = windows.iter().flatten().max().copied();
        let records = JobRecords::open("keys", location, KeyTable::default(), longest, clock);
        let mut keys = IdempotencyKeys { windows, records, figures };
        keys.update_figures();
        keys
    }

    fn update_figures(&mut self) {
        let failed = self.records.take_failed_writes();
        self.figures.record_keys(self.records.count(), failed);
    }

    /// Adds the entries that other processes have written to their journals until now.
    pub fn import_journals(&mut self, now: Duration) {
        self.records.import_journals(now);
        self.update_figures();
    }

    /// When [`IdempotencyKeys::retry`] is due; none while every slot is written.
    pub fn retry_at(&self) -> Option<Instant> {
        self.records.retry_at()
    }

    /// Writes slots that could not be written, if that is due.
    pub fn retry(&mut self) {
        self.records.retry();
    }

    /// Where the job of this key may have run before, if endpoints there still drop a repeat of it.
    pub fn earlier_send(&self, now: Duration, key: u64) -> Option<EarlierAttempt> {
        self.records.find(now, key)
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
        let Some(retention) = self.windows.get(class.0).copied().flatten() else { return false };
        let is_new = self.records.insert(now, key, FirstSend { zone, cell, retention });
        self.update_figures();
        is_new
    }

    /// Records that it is not known where the job of this key may have run: no endpoint is in its group.
    pub fn set_place_unknown(&mut self, now: Duration, key: u64) {
        self.records.set_place_unknown(now, key);
        self.update_figures();
    }

    /// Forgets a job that this process sent first and that has certainly not run.
    pub fn forget_send(&mut self, key: u64) {
        self.records.forget(key);
        self.update_figures();
    }
}
