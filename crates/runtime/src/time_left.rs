//! What is left of a client's time, read at the moment in which an endpoint is told of it.

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// What is told is written within this of being read, or not at all: the standing test grants 0.15 s of slack.
pub const TOLD_WITHIN: Duration = Duration::from_millis(100);

/// How much time an attempt may tell its endpoint.
#[derive(Clone)]
enum Span {
    /// Its request is here whole: until this.
    Until(Instant),
    /// Its request still comes, and its time runs from the last byte on.
    OfWhole(Duration),
}

/// What is left of the client's time for an attempt.
#[derive(Clone)]
pub struct TimeLeft {
    /// The request's own deadline; it moves once a body has come whole.
    deadline: watch::Receiver<Instant>,
    span: Span,
}

impl TimeLeft {
    /// Of an attempt that may take until then.
    pub fn until(deadline: watch::Receiver<Instant>, until: Instant) -> Self {
        TimeLeft { deadline, span: Span::Until(until) }
    }

    /// Of an attempt of a request that still comes and has so long once it is whole.
    pub fn of_whole(deadline: watch::Receiver<Instant>, time: Duration) -> Self {
        TimeLeft { deadline, span: Span::OfWhole(time) }
    }

    /// What is left at this moment.
    pub fn at(&self, now: Instant) -> Duration {
        let own = match self.span {
            Span::Until(until) => until.saturating_duration_since(now),
            Span::OfWhole(time) => time,
        };
        own.min(self.deadline.borrow().saturating_duration_since(now))
    }
}
