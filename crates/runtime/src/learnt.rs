//! What the module has learnt, on its way out of this process and into it: to a successor, to the file, and
//! back from either. What is in a snapshot and what is done with it is the module's own.

use crate::clock::Clock;
use crate::events::{Command, Commands, Inbox, Input};
use crate::figures::Figures;
use crate::handover::Handover;
use crate::lifecycle::{Lifecycle, State};
use curlewhub_keys::ClockAnchor;
use curlewhub_snapshot::{Store, appendix, decode_moved, encode_with};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// What the driver has learnt, or a restore, comes within this.
const DRIVER_TIME: Duration = Duration::from_millis(500);
/// The file is written this often at the most: what is older says less and less, and on the platform the file
/// counts as memory that is written again and again.
const WRITE_EVERY: Duration = Duration::from_secs(5);
/// And so seldom that no more than this is written a second, in bytes.
const WRITE_RATE: f64 = 512.0 * 1024.0;
/// Longer ones are written by another thread: a write of this length takes well under a millisecond.
const WRITE_HERE_MOST: usize = 64 * 1024;

/// The way out and in.
pub struct Learnt {
    clock: Clock,
    /// Tells the settings apart that it was learnt under.
    fingerprint: u64,
    store: Store,
    commands: Commands,
    inbox: Inbox,
    figures: Rc<Figures>,
    /// Writing fails; said once in the log until it works again.
    failing: Cell<bool>,
}

impl Learnt {
    /// Of the module behind these commands and this inbox.
    pub fn new(
        clock: Clock,
        fingerprint: u64,
        store: Store,
        commands: Commands,
        inbox: Inbox,
        figures: Rc<Figures>,
    ) -> Rc<Self> {
        let failing = Cell::new(false);
        Rc::new(Learnt { clock, fingerprint, store, commands, inbox, figures, failing })
    }

    /// What the module has learnt until now; none where it can't be told.
    pub async fn take(&self) -> Option<Vec<u8>> {
        let (told, learnt) = oneshot::channel();
        self.commands.send(Command::Learnt(told)).ok()?;
        let snapshot = timeout(DRIVER_TIME, learnt).await.ok()?.ok()?;
        let anchor = self.clock.anchor().map(|anchor| anchor.to_bytes()).unwrap_or_default();
        encode_with(&snapshot, self.fingerprint, &anchor)
            .map_err(|refused| warn!(%refused, "snapshot: not taken"))
            .ok()
    }

    /// Lets the module start from these bytes; whether it does. `from` is for the log.
    pub async fn give(&self, bytes: &[u8], from: &'static str) -> bool {
        let (other, now) = (ClockAnchor::from_bytes(appendix(bytes)), self.clock.now());
        let correction = self.clock.anchor().zip(other);
        let correction =
            correction.and_then(|(own, other)| own.correction_micros(&other)).unwrap_or_default();
        let snapshot = match decode_moved(bytes, self.fingerprint, now, correction) {
            Ok(snapshot) => snapshot,
            Err(refused) => {
                warn!(from, reason = %refused, "snapshot: refused; starting without");
                return false;
            }
        };
        let (age, endpoints) = (snapshot.age(self.clock.now()), snapshot.endpoints.len());
        let (told, done) = oneshot::channel();
        // Behind the list in the same queue: what is not listed yet would be dropped.
        let _ = self.inbox.send(Input::Restore(Box::new(snapshot), told)); // fails only at the end
        let restored = matches!(timeout(DRIVER_TIME, done).await, Ok(Ok(true)));
        info!(from, age_ms = age.as_millis() as u64, endpoints, restored, "snapshot: read");
        restored
    }

    /// Starts from the file, if there is one.
    pub async fn read(&self) {
        self.store.remove_temporary_files();
        match self.store.read() {
            Ok(Some(bytes)) => drop(self.give(&bytes, "file").await),
            Ok(None) => info!("snapshot: none is kept here; starting with nothing learnt"),
            Err(e) => {
                let path = self.store.path().display();
                warn!(%path, error = %e, "snapshot: can't be read; starting without");
            }
        }
    }

    /// Writes the file, from time to time and whenever the process is told to drain or to end. A successor
    /// that has started from this process's snapshot writes it from then on.
    pub async fn keep(self: Rc<Self>, lifecycle: Rc<Lifecycle>, handover: Rc<Handover>) {
        loop {
            let state = lifecycle.state();
            let mine = state != State::Starting && !handover.has_successor();
            let written = if mine { self.write().await } else { 0 };
            if state == State::Terminating {
                return;
            }
            let wait = WRITE_EVERY.max(Duration::from_secs_f64(written as f64 / WRITE_RATE));
            tokio::select! {
                () = sleep(wait) => {}
                () = lifecycle.reaches(|now| now != state && now != State::Starting) => {}
            }
        }
    }

    /// Writes the file now; how many bytes that took.
    async fn write(&self) -> usize {
        let Some(bytes) = self.take().await else { return 0 };
        let length = bytes.len();
        let written = if length <= WRITE_HERE_MOST {
            self.store.write(&bytes)
        } else {
            let store = self.store.clone();
            let written = tokio::task::spawn_blocking(move || store.write(&bytes)).await;
            written.unwrap_or_else(|e| Err(std::io::Error::other(e)))
        };
        self.figures.snapshot(written.is_ok());
        match written {
            Ok(()) => self.failing.set(false),
            Err(e) if !self.failing.replace(true) => {
                let path = self.store.path().display();
                warn!(%path, error = %e, "snapshot: can't be written; a crash would forget what was learnt");
            }
            Err(_) => {}
        }
        length
    }
}
