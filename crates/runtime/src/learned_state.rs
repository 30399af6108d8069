//! Transfer of the balancer's learned state between processes: to a successor, to the snapshot file, and back from
//! either. What a snapshot contains and how it is restored is the balancer's concern.

use crate::clock::Clock;
use crate::events::{Command, Commands, Inbox, Input};
use crate::figures::Metrics;
use crate::lifecycle::{Lifecycle, State};
use curlewhub_keys::ClockAnchor;
use curlewhub_snapshot::{Store, appendix, decode_corrected, encode_with_appendix};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Timeout of the driver's reply to a capture or a restore.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum interval between writes of the file. Learned state loses its value with age, and on the platform the file
/// counts as memory that is written each time.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum average write rate, in bytes per second; long snapshots are written less often.
const MAX_WRITE_RATE: f64 = 512.0 * 1024.0;

/// Captures, restores and persists the learned state of the balancer behind the driver's queues.
pub struct LearnedState {
    clock: Clock,
    /// Fingerprint of the settings that the state was learned under; a snapshot of other settings is refused.
    fingerprint: u64,
    store: Store,
    commands: Commands,
    inbox: Inbox,
    figures: Rc<Metrics>,
    /// The last write failed; logged once until a write succeeds.
    write_failing: Cell<bool>,
}

impl LearnedState {
    /// For the driver with these queues, persisted in this store.
    pub fn new(
        clock: Clock,
        fingerprint: u64,
        store: Store,
        commands: Commands,
        inbox: Inbox,
        figures: Rc<Metrics>,
    ) -> Rc<Self> {
        let write_failing = Cell::new(false);
        Rc::new(LearnedState { clock, fingerprint, store, commands, inbox, figures, write_failing })
    }

    /// Encodes a snapshot of the current state; none if the driver does not reply in time or the snapshot can't be
    /// encoded.
    pub async fn capture(&self) -> Option<Vec<u8>> {
        let (reply, captured) = oneshot::channel();
        self.commands.send(Command::CaptureSnapshot(reply)).ok()?;
        let snapshot = timeout(DRIVER_TIMEOUT, captured).await.ok()?.ok()?;
        let anchor = self.clock.anchor().map(|anchor| anchor.to_bytes()).unwrap_or_default();
        encode_with_appendix(&snapshot, self.fingerprint, &anchor)
            .map_err(|refused| warn!(%refused, "snapshot: not taken"))
            .ok()
    }

    /// Restores the state from an encoded snapshot; whether that succeeded. `from` names the source in the log.
    pub async fn restore(&self, bytes: &[u8], from: &'static str) -> bool {
        let now = self.clock.now();
        let snapshot = match decode_corrected(bytes, self.fingerprint, now, self.clock_correction(bytes)) {
            Ok(snapshot) => snapshot,
            Err(refused) => {
                warn!(from, reason = %refused, "snapshot: refused; starting without");
                return false;
            }
        };
        let age = snapshot.age(self.clock.now());
        let endpoints = snapshot.endpoints.len();
        let (reply, done) = oneshot::channel();
        // In the same queue behind the endpoint list: the state of endpoints that are not listed yet would be dropped.
        let _ = self.inbox.send(Input::Restore(Box::new(snapshot), reply)); // fails only while the process ends
        let restored = matches!(timeout(DRIVER_TIMEOUT, done).await, Ok(Ok(true)));
        info!(from, age_ms = age.as_millis() as u64, endpoints, restored, "snapshot: read");
        restored
    }

    /// The difference in microseconds between this process's clock and that of the process that took the snapshot; zero
    /// if it can't be determined.
    fn clock_correction(&self, bytes: &[u8]) -> i64 {
        let other = ClockAnchor::from_bytes(appendix(bytes));
        let anchors = self.clock.anchor().zip(other);
        anchors.and_then(|(own, other)| own.correction_micros(&other)).unwrap_or_default()
    }

    /// Restores the state from the snapshot file, if there is one.
    pub async fn restore_from_file(&self) {
        self.store.remove_temporary_files();
        match self.store.read() {
            Ok(Some(bytes)) => drop(self.restore(&bytes, "file").await),
            Ok(None) => info!("snapshot: none is kept here; starting without learned state"),
            Err(e) => {
                let path = self.store.path().display();
                warn!(%path, error = %e, "snapshot: can't be read; starting without");
            }
        }
    }

    /// Writes the snapshot file at intervals and on each change of the lifecycle's state, until the process terminates.
    /// While there is a successor it writes nothing: the successor started from this state and writes the file itself.
    pub async fn write_periodically(
        self: Rc<Self>,
        lifecycle: Rc<Lifecycle>,
        has_successor: impl Fn() -> bool,
    ) {
        loop {
            let state = lifecycle.state();
            let owns_file = state != State::Starting && !has_successor();
            let written = if owns_file { self.write().await } else { 0 };
            if state == State::Terminating {
                return;
            }
            let interval = MIN_WRITE_INTERVAL.max(Duration::from_secs_f64(written as f64 / MAX_WRITE_RATE));
            tokio::select! {
                () = sleep(interval) => {}
                () = lifecycle.wait_for(|now| now != state && now != State::Starting) => {}
            }
        }
    }

    /// Writes the snapshot file now. Returns the length of the snapshot in bytes.
    async fn write(&self) -> usize {
        let Some(bytes) = self.capture().await else { return 0 };
        let length = bytes.len();
        // By another thread, however short it is: a rename waits for the file system, which may wait for its disk.
        let store = self.store.clone();
        let written = tokio::task::spawn_blocking(move || store.write(&bytes)).await;
        let written = written.unwrap_or_else(|e| Err(std::io::Error::other(e)));
        self.figures.record_snapshot(written.is_ok());
        match written {
            Ok(()) => self.write_failing.set(false),
            Err(e) if !self.write_failing.replace(true) => {
                let path = self.store.path().display();
                warn!(%path, error = %e, "snapshot: can't be written; a crash would lose the learned state");
            }
            Err(_) => {}
        }
        length
    }
}
