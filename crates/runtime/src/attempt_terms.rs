//! How far an attempt has come, and what must hold when its first byte is written.

use super::events::ClientStatus;
use super::time_left::TimeLeft;
use curlewhub_balance::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::{Instant, sleep_until};

/// How far an attempt has come: what is stopped before its last byte was handed over never ran.
pub struct AttemptProgress {
    /// All of the request was handed over.
    pub(super) fully_sent: Rc<Cell<bool>>,
    /// Of a request's attempt, and no probe.
    pub(super) conditions: Option<WriteConditions>,
}

/// What must hold as a request's first byte is written, whatever the attempt has waited for until then.
#[derive(Clone)]
pub struct WriteConditions {
    /// Its client is still there.
    pub client: ClientStatus,
    /// A repeat of what may have run begins by then; none where nothing has.
    pub begin_by: Option<Instant>,
    /// What its endpoint is told of the client's time.
    pub time_left: TimeLeft,
}

impl WriteConditions {
    /// Whether they hold now.
    pub(super) fn hold(&self) -> bool {
        !self.client.is_disconnected() && self.begin_by.is_none_or(|by| Instant::now() < by)
    }

    /// Ends once they don't hold any more.
    pub(super) async fn violated(&self) {
        tokio::select! {
            () = self.client.disconnected() => {}
            () = sleep_until(self.begin_by.unwrap_or_else(Instant::now)), if self.begin_by.is_some() => {}
        }
    }
}

impl AttemptProgress {
    /// An attempt of a request under these conditions, of which nothing has been written.
    pub fn for_request(conditions: WriteConditions) -> Self {
        AttemptProgress { fully_sent: Rc::default(), conditions: Some(conditions) }
    }

    /// A probe.
    pub fn for_probe() -> Self {
        AttemptProgress { fully_sent: Rc::default(), conditions: None }
    }

    /// The outcome of no longer waiting: a request not written whole proves that it never ran.
    pub fn timeout_outcome(&self) -> Outcome {
        if self.fully_sent.get() { Outcome::TimedOut } else { Outcome::ConnectFailed }
    }
}
