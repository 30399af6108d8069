//! Whether a request still waits for its answer, and which of its attempts may still be written.
//!
//! A request ends once: an attempt serves it, it is refused or fails, or it is abandoned. From then on its endpoints must
//! not begin it any more. The status is set at that moment, ahead of any queue, and is a condition of each first and each
//! last byte of an attempt, so that it does not depend on the settings: they may forbid to cancel an attempt that its
//! endpoint has begun, but an attempt whose last byte was not written has not begun.

use curlewhub_balance::AttemptNo;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With the answer of this attempt, which may still be on its way.
    Served(AttemptNo),
    /// It was refused.
    Refused,
    /// It failed.
    Failed,
    /// Its client has left, or was answered without the balancer.
    Abandoned,
}

/// The status of one request, shared by all that act for it.
#[derive(Clone, Debug, Default)]
pub struct RequestStatus(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    end: Cell<Option<RequestEnd>>,
    ended: Notify,
}

impl RequestStatus {
    /// Records the end of the request. The first end is final, except that a client may leave while its answer is on its
    /// way.
    pub fn record_end(&self, end: RequestEnd) {
        if self.0.end.get().is_none() || end == RequestEnd::Abandoned {
            self.0.end.set(Some(end));
            self.0.ended.notify_waiters();
        }
    }

    /// How the request ended; none while it waits for its answer.
    pub fn end(&self) -> Option<RequestEnd> {
        self.0.end.get()
    }

    /// Whether it was abandoned.
    pub fn is_abandoned(&self) -> bool {
        self.end() == Some(RequestEnd::Abandoned)
    }

    /// Whether bytes of this attempt may still be written. An endpoint may answer before it has all of the request; as
    /// long as that answer is on its way, its own attempt goes on.
    pub fn allows(&self, attempt: AttemptNo) -> bool {
        match self.end() {
            None => true,
            Some(RequestEnd::Served(by)) => by == attempt,
            Some(RequestEnd::Refused | RequestEnd::Failed | RequestEnd::Abandoned) => false,
        }
    }

    /// Returns once nothing of this attempt may be written any more.
    pub async fn forbids(&self, attempt: AttemptNo) {
        loop {
            // Registered before the check, so that an end in between is not missed.
            let mut ended = pin!(self.0.ended.notified());
            ended.as_mut().enable();
            if !self.allows(attempt) {
                return;
            }
            ended.await;
        }
    }
}
