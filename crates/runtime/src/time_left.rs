//! The remaining time of a client's deadline, as it is sent to an endpoint. It is read when the request is
//! about to be written, not when the attempt starts, so that it does not include the wait for a connection.

use super::attempt_terms::AttemptProgress;
use super::socket::SocketMonitor;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// A request is written within this of reading its remaining time, or not at all: the standing test grants
/// 0.15 s of slack.
pub const MAX_WRITE_DELAY: Duration = Duration::from_millis(100);

/// The least time that is sent to an endpoint for a body that is still arriving: its client may have paused.
const MIN_TIME_AFTER_BODY: Duration = Duration::from_millis(100);

/// The attempt's own limit.
#[derive(Clone)]
enum AttemptLimit {
    /// The request's body is complete: the attempt ends then.
    Until(Instant),
    /// The request's body is still being received; the time runs from its last byte, which may have arrived.
    AfterBody { time: Duration, client: Rc<SocketMonitor> },
}

/// The remaining time of an attempt.
#[derive(Clone)]
pub struct TimeLeft {
    /// The request's deadline; it changes once its body is complete.
    deadline: watch::Receiver<Instant>,
    limit: AttemptLimit,
}

impl TimeLeft {
    /// The remaining time of an attempt that ends at `until` at the latest.
    pub fn until(deadline: watch::Receiver<Instant>, until: Instant) -> Self {
        TimeLeft { deadline, limit: AttemptLimit::Until(until) }
    }

    /// The remaining time of an attempt whose request body is still being received, and that has `time`
    /// after the last byte; `client` is the connection on which that arrives.
    pub fn after_body(
        deadline: watch::Receiver<Instant>,
        time: Duration,
        client: Rc<SocketMonitor>,
    ) -> Self {
        TimeLeft { deadline, limit: AttemptLimit::AfterBody { time, client } }
    }

    /// When the client gives up, as if the byte that arrived last were the request's last one.
    pub fn client_deadline(&self) -> Instant {
        let deadline = *self.deadline.borrow();
        match &self.limit {
            AttemptLimit::Until(_) => deadline,
            AttemptLimit::AfterBody { time, client } => deadline.min(client.last_arrival() + *time),
        }
    }

    /// The remaining time at `now`; zero once it has passed.
    pub fn at(&self, now: Instant) -> Duration {
        let attempt = match &self.limit {
            AttemptLimit::Until(until) => until.saturating_duration_since(now),
            AttemptLimit::AfterBody { time, client } => {
                let since = now.saturating_duration_since(client.last_arrival());
                time.saturating_sub(since).max(MIN_TIME_AFTER_BODY)
            }
        };
        attempt.min(self.deadline.borrow().saturating_duration_since(now))
    }
}

/// Waits until an attempt is no longer waited for: at `until`, or at the request's deadline if its answer has begun by
/// then.
pub async fn attempt_time_passed(
    deadline: &mut watch::Receiver<Instant>,
    until: Instant,
    progress: &AttemptProgress,
) {
    deadline_passed(deadline, until).await;
    if progress.is_answering() {
        let client_deadline = *deadline.borrow();
        deadline_passed(deadline, client_deadline).await;
    }
}

/// Returns at this time, or at the deadline if that is moved to an earlier time.
pub async fn deadline_passed(deadline: &mut watch::Receiver<Instant>, until: Instant) {
    loop {
        let at = (*deadline.borrow_and_update()).min(until);
        tokio::select! {
            () = sleep_until(at) => return,
            Ok(()) = deadline.changed() => {}
        }
    }
}
