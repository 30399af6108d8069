//! How far an attempt has progressed, and the conditions under which its first and its last byte may be written.

use super::repeat_window::RepeatWindow;
use super::request_log::AttemptId;
use super::request_status::RequestStatus;
use super::socket::SocketMonitor;
use super::time_left::TimeLeft;
use curlewhub_balance::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::{Instant, sleep_until};

/// How far an attempt has progressed. If it is stopped before its last byte was written, the endpoint has not processed
/// it.
pub struct AttemptProgress {
    /// The last byte was written to the connection.
    pub(super) fully_sent: Rc<Cell<bool>>,
    /// The conditions of a request's attempt; none for a probe.
    pub(super) conditions: Option<WriteConditions>,
    /// Whether its answer has begun to arrive.
    is_answering: Cell<bool>,
    /// Called when bytes of an answer have arrived that is not complete yet.
    on_answer_progress: Box<dyn Fn()>,
}

/// Conditions that must hold when the first and when the last byte of a request is written, whatever the attempt has
/// waited for until then. docs/design/0021-attempt-conditions.md has the table of all conditions.
#[derive(Clone)]
pub struct WriteConditions {
    /// The request and the number of this attempt.
    pub id: AttemptId,
    /// The request must not have ended.
    pub status: RequestStatus,
    /// The client's connection, which may have ended behind bytes that are not read yet.
    pub connection: Rc<SocketMonitor>,
    /// A repeat of a request that may have been processed must begin before this; none if no earlier
    /// attempt may have been.
    pub begin_by: Option<Instant>,
    /// The window that the attempts of its request share.
    pub window: Rc<RepeatWindow>,
    /// The remaining time that is sent to the endpoint.
    pub time_left: TimeLeft,
}

/// A condition of a write that does not hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Violation {
    /// The request has ended.
    RequestEnded,
    /// The client has closed its connection, behind bytes that are not read yet.
    ClientClosed,
    /// The window for repeats is over.
    WindowOver,
    /// The endpoint is not to get new requests, or the list has expired.
    EndpointClosed,
    /// The remaining time in the head is outdated.
    TimeOutdated,
}

impl WriteConditions {
    /// The condition that does not hold now, if any.
    pub(super) fn violation(&self) -> Option<Violation> {
        if !self.status.allows(self.id.attempt) {
            Some(Violation::RequestEnded)
        } else if self.connection.peer_has_closed() {
            Some(Violation::ClientClosed)
        } else if self.begin_by().is_some_and(|by| by <= Instant::now()) {
            Some(Violation::WindowOver)
        } else {
            None
        }
    }

    /// Until when the attempt may begin; none if nothing limits it.
    fn begin_by(&self) -> Option<Instant> {
        self.begin_by.into_iter().chain(self.window.ends_at(self.id.attempt)).min()
    }

    /// Records that the attempt begins now.
    pub(super) fn record_begin(&self) {
        self.window.record_begin(self.id.attempt);
    }

    /// Returns once the request has ended or the time to begin is over, as far as that is known now.
    pub(super) async fn violated(&self) {
        let begin_by = self.begin_by();
        tokio::select! {
            () = self.status.forbids(self.id.attempt) => {}
            () = sleep_until(begin_by.unwrap_or_else(Instant::now)), if begin_by.is_some() => {}
        }
    }
}

impl AttemptProgress {
    /// Progress of a request's attempt, of which nothing has been written.
    pub fn for_request(conditions: WriteConditions, on_answer_progress: Box<dyn Fn()>) -> Self {
        let (fully_sent, is_answering) = Default::default();
        AttemptProgress { fully_sent, conditions: Some(conditions), is_answering, on_answer_progress }
    }

    /// Progress of a probe.
    pub fn for_probe() -> Self {
        let (fully_sent, is_answering) = Default::default();
        AttemptProgress { fully_sent, conditions: None, is_answering, on_answer_progress: Box::new(|| ()) }
    }

    /// Records that bytes of its answer have arrived, and that more are to come.
    pub(super) fn record_answer_progress(&self) {
        self.is_answering.set(true);
        (self.on_answer_progress)();
    }

    /// When its client gives up; none for a probe.
    pub(super) fn client_deadline(&self) -> Option<Instant> {
        Some(self.conditions.as_ref()?.time_left.client_deadline())
    }

    /// Whether its answer has begun to arrive.
    pub fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// The outcome if the attempt is no longer waited for: a request that was not written completely was
    /// not processed.
    pub fn timeout_outcome(&self) -> Outcome {
        if self.fully_sent.get() { Outcome::TimedOut } else { Outcome::ConnectFailed }
    }
}
