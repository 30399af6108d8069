//! Whether a consensus server's storage keeps what it promises, and when to try again after it has failed.

use crate::store::{Store, StoreError, StoreFile};
use curlewhub_control_plane::consensus::PersistedState;
use curlewhub_control_plane::consensus_server::Output;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Failed storage is opened again after this, longer each time ...
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// ... up to this: a disk that has room again is used again within it.
const RETRY_LIMIT: Duration = Duration::from_secs(5);

/// How long to wait after so many attempts that failed.
pub fn retry_after(attempts: u32) -> Duration {
    RETRY_FIRST.saturating_mul(1 << attempts.min(16)).min(RETRY_LIMIT)
}

/// A consensus server's storage.
pub enum Storage {
    /// What is written is durable.
    Serving(Store),
    /// A write has failed. The store refuses all further work until it is opened again, and until then the server neither votes
    /// nor acknowledges anything.
    Failed(Failure),
}

/// Storage that has failed, closed.
pub struct Failure {
    file: Rc<StoreFile>,
    since: Instant,
    attempts: u32,
    retry_at: Instant,
}

/// What an attempt to open failed storage has come to.
pub enum Reopened {
    /// All that is on disk, after so long.
    Serving(PersistedState, Duration),
    /// It still fails.
    Failing(StoreError),
}

impl Storage {
    /// Whether what is written is durable.
    pub fn is_serving(&self) -> bool {
        matches!(self, Storage::Serving(_))
    }

    /// Writes and syncs what these outputs want kept: only then may anything of them go out.
    ///
    /// # Errors
    /// Nothing of what they say of the consensus may go out.
    pub fn write(&self, outputs: &[Output]) -> Result<(), StoreError> {
        let persists = outputs.iter().map(|output| &output.replica.writes);
        match self {
            Storage::Serving(store) => {
                persists
                    .filter(|persist| !persist.is_empty())
                    .try_for_each(|persist| store.write(persist))?;
                // For the next start: it must count itself above this one.
                let outlived = outputs.iter().filter_map(|output| output.raised_incarnation);
                outlived.max().map_or(Ok(()), |incarnation| store.incarnation(incarnation).map(drop))
            }
            Storage::Failed(_) if persists.into_iter().all(|persist| persist.is_empty()) => Ok(()),
            Storage::Failed(_) => Err(StoreError::Store(redb::Error::PreviousIo)),
        }
    }

    /// A write has failed: the store is closed.
    pub fn fail(&mut self, now: Instant) {
        if let Storage::Serving(store) = self {
            let (file, retry_at) = (store.file(), now + retry_after(0));
            *self = Storage::Failed(Failure { file, since: now, attempts: 0, retry_at });
        }
    }

    /// Opens failed storage again, if it is time to; none where it is not.
    ///
    /// # Errors
    /// It can't be served from without somebody's help.
    pub fn reopen(&mut self, id: u64, now: Instant) -> Result<Option<Reopened>, StoreError> {
        let Storage::Failed(failure) = self else { return Ok(None) };
        if now < failure.retry_at {
            return Ok(None);
        }
        match reopened(&failure.file, id) {
            Ok((store, kept)) => {
                let failed_for = now.saturating_duration_since(failure.since);
                *self = Storage::Serving(store);
                Ok(Some(Reopened::Serving(kept, failed_for)))
            }
            Err(problem) if problem.is_transient() => {
                failure.attempts = failure.attempts.saturating_add(1);
                failure.retry_at = now + retry_after(failure.attempts);
                Ok(Some(Reopened::Failing(problem)))
            }
            Err(problem) => Err(problem),
        }
    }
}

fn reopened(file: &Rc<StoreFile>, id: u64) -> Result<(Store, PersistedState), StoreError> {
    let store = file.reopen()?;
    store.claim(id)?;
    let kept = store.load()?.ok_or(StoreError::Corrupt("what it kept"))?;
    Ok((store, kept))
}
