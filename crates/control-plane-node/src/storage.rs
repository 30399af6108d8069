//! A consensus server's storage, serving or failed, and when failed storage is tried again.

use crate::store::{Store, StoreError, StoreFile};
use curlewhub_control_plane::consensus::PersistedState;
use curlewhub_control_plane::consensus_server::Output;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay before the first retry after storage has failed; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Limit of the delay: a disk that has space again is in use again within it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The delay before the next retry, after this many failed attempts.
pub fn retry_delay(attempts: u32) -> Duration {
    MIN_RETRY_DELAY.saturating_mul(1 << attempts.min(16)).min(MAX_RETRY_DELAY)
}

/// A consensus server's storage.
pub enum Storage {
    /// Writes are durable once they return.
    Serving(Store),
    /// A write has failed. The store refuses all work until it is reopened, and until then the server neither votes nor
    /// acknowledges anything.
    Failed(Failure),
}

/// Failed storage. The store is closed; its file remains claimed by this process.
pub struct Failure {
    file: Rc<StoreFile>,
    since: Instant,
    attempts: u32,
    retry_at: Instant,
}

/// The result of an attempt to reopen failed storage.
pub enum Reopened {
    /// It serves again: all that is durable, and how long storage had failed.
    Serving(PersistedState, Duration),
    /// It still fails.
    Failing(StoreError),
}

impl Storage {
    /// Whether writes are durable.
    pub fn is_serving(&self) -> bool {
        matches!(self, Storage::Serving(_))
    }

    /// Writes and syncs all that these outputs need to be durable before their messages may be sent.
    ///
    /// # Errors
    /// It is not durable: no consensus message of these outputs may be sent.
    pub fn write(&self, outputs: &[Output]) -> Result<(), StoreError> {
        let mut batches =
            outputs.iter().map(|output| &output.replica.writes).filter(|batch| !batch.is_empty());
        match self {
            Storage::Serving(store) => {
                batches.try_for_each(|batch| store.write(batch))?;
                // The next start must choose an incarnation above the one that this process has raised itself to.
                let raised = outputs.iter().filter_map(|output| output.raised_incarnation);
                raised.max().map_or(Ok(()), |incarnation| store.incarnation(incarnation).map(drop))
            }
            Storage::Failed(_) if batches.next().is_none() => Ok(()),
            Storage::Failed(_) => Err(StoreError::Store(redb::Error::PreviousIo)),
        }
    }

    /// Closes the store after a failed write.
    pub fn fail(&mut self, now: Instant) {
        if let Storage::Serving(store) = self {
            let (file, retry_at) = (store.file(), now + retry_delay(0));
            *self = Storage::Failed(Failure { file, since: now, attempts: 0, retry_at });
        }
    }

    /// Tries to reopen failed storage; `None` if it serves, or the next attempt is not due yet.
    ///
    /// # Errors
    /// The store can't be used without an operator's help.
    pub fn reopen(&mut self, id: u64, now: Instant) -> Result<Option<Reopened>, StoreError> {
        let Storage::Failed(failure) = self else { return Ok(None) };
        if now < failure.retry_at {
            return Ok(None);
        }
        match reopen_store(&failure.file, id) {
            Ok((store, persisted)) => {
                let failed_for = now.saturating_duration_since(failure.since);
                *self = Storage::Serving(store);
                Ok(Some(Reopened::Serving(persisted, failed_for)))
            }
            Err(problem) if problem.is_transient() => {
                failure.attempts = failure.attempts.saturating_add(1);
                failure.retry_at = now + retry_delay(failure.attempts);
                Ok(Some(Reopened::Failing(problem)))
            }
            Err(problem) => Err(problem),
        }
    }
}

fn reopen_store(file: &Rc<StoreFile>, id: u64) -> Result<(Store, PersistedState), StoreError> {
    let store = file.reopen()?;
    store.claim(id)?;
    let persisted = store.load()?.ok_or(StoreError::Corrupt("what it kept"))?;
    Ok((store, persisted))
}
