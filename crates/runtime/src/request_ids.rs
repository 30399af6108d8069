//! Ids of requests that may have run and that must not simply be repeated. A client that has left may send a request
//! again under the same id, to this process or to another one of the sidecar; it is then a repeat of the request.

use crate::clock::Clock;
use crate::job_records::{FirstSend, JobRecords, JournalLocation};
use curlewhub_balance::{CellId, ClassId, EarlierAttempt, Semantics, Settings, ZoneId};
use curlewhub_keys::KeyTable;
use std::time::Duration;
use tokio::time::Instant;

/// How many ids are remembered. Beyond that the oldest are forgotten.
const MAX_REQUEST_IDS: usize = 8192;
/// An id is remembered for this long after its request's deadline and its window for repeats.
const RETENTION_MARGIN: Duration = Duration::from_secs(40);

/// The remembered ids, and their journals.
pub struct RequestIds {
    /// By class, for how long an id is remembered; none where requests may be repeated freely.
    retentions: Vec<Option<Duration>>,
    records: JobRecords,
}

/// For how long the ids of each class are remembered.
fn retentions(settings: &Settings) -> Vec<Option<Duration>> {
    let retention = |class: &curlewhub_balance::Class| match class.semantics {
        Semantics::Safe => None,
        Semantics::Keyed { window, .. } => Some(class.deadline.max(window) + RETENTION_MARGIN),
        Semantics::Unsafe => Some(class.deadline + RETENTION_MARGIN),
    };
    settings.classes.iter().map(retention).collect()
}

impl RequestIds {
    /// Reads the journals that earlier processes of the sidecar have left in the state directory, and opens one of its
    /// own if a class needs it.
    pub fn open(location: &JournalLocation<'_>, settings: &Settings, clock: Clock) -> Self {
        let retentions = retentions(settings);
        let longest = retentions.iter().flatten().max().copied();
        let memory = KeyTable::with_max_keys(MAX_REQUEST_IDS);
        RequestIds {
            retentions,
            records: JobRecords::open("request ids", location, memory, longest, clock),
        }
    }

    /// Adds the entries that other processes have written to their journals until now.
    pub fn import_journals(&mut self, now: Duration) {
        self.records.import_journals(now);
    }

    /// When [`RequestIds::retry`] is due; none while every slot is written.
    pub fn retry_at(&self) -> Option<Instant> {
        self.records.retry_at()
    }

    /// Writes slots that could not be written, if that is due.
    pub fn retry(&mut self) {
        self.records.retry();
    }

    /// Where the request of this id may have run before.
    pub fn earlier_send(&self, now: Duration, id: u64) -> Option<EarlierAttempt> {
        self.records.find(now, id)
    }

    /// Records that a request is about to be sent to an endpoint of this zone and cell. Returns whether this is its first
    /// send.
    pub fn record_send(
        &mut self,
        now: Duration,
        id: u64,
        class: ClassId,
        zone: ZoneId,
        cell: CellId,
    ) -> bool {
        let Some(retention) = self.retentions.get(class.0).copied().flatten() else { return false };
        self.records.insert(now, id, FirstSend { zone, cell, retention })
    }

    /// Records that it is not known where the request of this id may have run.
    pub fn set_place_unknown(&mut self, now: Duration, id: u64) {
        self.records.set_place_unknown(now, id);
    }

    /// Forgets a request that this process sent first and that has certainly not run.
    pub fn forget_send(&mut self, id: u64) {
        self.records.forget(id);
    }
}
