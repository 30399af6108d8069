//! Which jobs may have run, whether they are known by their idempotency key or by the id of their request.

use crate::idempotency_keys::IdempotencyKeys;
use crate::request_ids::RequestIds;
use curlewhub_balance::{CellId, ClassId, EarlierAttempt, ZoneId};
use std::time::Duration;
use tokio::time::Instant;

/// By what a job is recognized when it comes again, as hashes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobIdentity {
    /// Its idempotency key, if repeats with that key must stay within a group of endpoints.
    pub key: Option<u64>,
    /// The id of its request, unless the request may be repeated freely.
    pub id: Option<u64>,
}

/// What is remembered of jobs that may have run.
pub struct SentJobs {
    /// By idempotency key.
    pub keys: IdempotencyKeys,
    /// By request id.
    pub ids: RequestIds,
}

impl SentJobs {
    /// Where a job may have run first.
    pub fn earlier_send(&self, now: Duration, job: JobIdentity) -> Option<EarlierAttempt> {
        let by_key = job.key.and_then(|key| self.keys.earlier_send(now, key));
        let by_id = job.id.and_then(|id| self.ids.earlier_send(now, id));
        by_key.into_iter().chain(by_id).min_by_key(|earlier| earlier.sent)
    }

    /// Records that a job is about to be sent. Returns by what it was not known.
    pub fn record_send(
        &mut self,
        now: Duration,
        job: JobIdentity,
        class: ClassId,
        zone: ZoneId,
        cell: CellId,
    ) -> JobIdentity {
        JobIdentity {
            key: job.key.filter(|key| self.keys.record_send(now, *key, class, zone, cell)),
            id: job.id.filter(|id| self.ids.record_send(now, *id, class, zone, cell)),
        }
    }

    /// Records that it is not known where a job may have run: it may not be repeated where a group is asked for.
    pub fn set_place_unknown(&mut self, now: Duration, job: JobIdentity) {
        job.key.into_iter().for_each(|key| self.keys.set_place_unknown(now, key));
        job.id.into_iter().for_each(|id| self.ids.set_place_unknown(now, id));
    }

    /// Forgets what was recorded of a job that has certainly not run.
    pub fn forget_send(&mut self, job: JobIdentity) {
        job.key.into_iter().for_each(|key| self.keys.forget_send(key));
        job.id.into_iter().for_each(|id| self.ids.forget_send(id));
    }

    /// Adds what other processes of the sidecar have recorded until now.
    pub fn import_journals(&mut self, now: Duration) {
        self.keys.import_journals(now);
        self.ids.import_journals(now);
    }

    /// When [`SentJobs::retry`] is due; none while all is written.
    pub fn retry_at(&self) -> Option<Instant> {
        self.keys.retry_at().into_iter().chain(self.ids.retry_at()).min()
    }

    /// Writes what could not be written, if that is due.
    pub fn retry(&mut self) {
        self.keys.retry();
        self.ids.retry();
    }
}
