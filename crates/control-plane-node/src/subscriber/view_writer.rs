//! Writes of the subscriber's view to its file, one at a time, on a thread of their own: a slow disk delays no traffic.

use crate::storage::retry_delay;
use crate::view_file::ViewFile;
use curlewhub_control_plane::record::Version;
use curlewhub_control_plane::view::View;
use std::io;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::Instant;
use tracing::{info, warn};

/// A view is put into force once it is written, so that a restart does not return to an older one; but no later than this
/// after its write was begun.
const MAX_WRITE_WAIT: Duration = Duration::from_millis(100);

/// A write under way.
struct PendingWrite {
    view: View,
    task: JoinHandle<io::Result<()>>,
    /// When the view is put into force although it is not written.
    apply_at: Instant,
}

/// Whether the last write was durable.
enum WriteState {
    Durable,
    /// It was not; the next one is due at `retry_at`.
    Failing {
        attempts: u32,
        retry_at: Instant,
    },
}

impl WriteState {
    fn failed(attempts: u32) -> WriteState {
        let retry_at = Instant::now() + retry_delay(attempts);
        WriteState::Failing { attempts: attempts.saturating_add(1), retry_at }
    }
}

/// The writer of a view file.
pub(super) struct ViewWriter {
    file: ViewFile,
    state: WriteState,
    pending: Option<PendingWrite>,
}

impl ViewWriter {
    /// The writer of a file; `is_durable` states whether the write at the start succeeded.
    pub(super) fn new(file: ViewFile, is_durable: bool) -> ViewWriter {
        let state = if is_durable { WriteState::Durable } else { WriteState::failed(0) };
        ViewWriter { file, state, pending: None }
    }

    pub(super) fn is_writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Begins to write a view. Must not be called while [`is_writing`](Self::is_writing).
    pub(super) fn begin(&mut self, view: View) {
        let (file, written) = (self.file.clone(), view.clone());
        let task = spawn_blocking(move || file.store(&written));
        self.pending = Some(PendingWrite { view, task, apply_at: Instant::now() + MAX_WRITE_WAIT });
    }

    /// The view that is being written.
    pub(super) fn pending_view(&self) -> Option<&View> {
        self.pending.as_ref().map(|pending| &pending.view)
    }

    /// When the view that is being written is put into force at the latest; `None` if there is none newer than `in_force`.
    pub(super) fn apply_deadline(&self, in_force: Version) -> Option<Instant> {
        let pending = self.pending.as_ref()?;
        (pending.view.version() > in_force).then_some(pending.apply_at)
    }

    /// Whether a failed write is due to be repeated.
    pub(super) fn is_retry_due(&self) -> bool {
        match self.state {
            WriteState::Durable => false,
            WriteState::Failing { retry_at, .. } => !self.is_writing() && Instant::now() >= retry_at,
        }
    }

    /// Waits for the result of the write under way; never completes without one.
    pub(super) async fn written(&mut self) -> io::Result<()> {
        match &mut self.pending {
            Some(pending) => (&mut pending.task).await.unwrap_or_else(|e| Err(io::Error::other(e))),
            None => std::future::pending().await,
        }
    }

    /// Takes in the result of the write under way, and returns its view.
    pub(super) fn finish(&mut self, result: &io::Result<()>) -> Option<View> {
        self.state = match (result, &self.state) {
            (Ok(()), WriteState::Durable) => WriteState::Durable,
            (Ok(()), WriteState::Failing { .. }) => {
                info!("fleet: view written again");
                WriteState::Durable
            }
            (Err(problem), WriteState::Durable) => {
                // The view is put into force all the same: only a restart before the next write suffers.
                warn!(%problem, "fleet: view not written");
                WriteState::failed(0)
            }
            (Err(_), WriteState::Failing { attempts, .. }) => WriteState::failed(*attempts),
        };
        self.pending.take().map(|pending| pending.view)
    }

    /// Raises the incarnation in the file, for the next start. It is not waited for; should it fail, the next write of a view
    /// has the incarnation as well.
    pub(super) fn raise_incarnation(&self, incarnation: u64) {
        let file = self.file.clone();
        file.raise_incarnation(incarnation);
        spawn_blocking(move || file.incarnation(incarnation));
    }
}
