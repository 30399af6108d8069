//! The shutdown deadline: every wait between SIGTERM and SIGKILL is derived here from the one time at which SIGKILL may
//! come.

use std::time::Duration;
use tokio::time::Instant;

/// SIGKILL comes no sooner after SIGTERM than the longest deadline plus this (protocol page).
const KILL_SLACK: Duration = Duration::from_millis(700);
/// The longest deadline counts as at most this (protocol page).
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Requests that are open this long before SIGKILL are failed, and those that arrive later are refused: a process that is
/// delayed by 0.15 s (figure of the standing test) still writes its answers in time.
const FAIL_BEFORE_KILL: Duration = Duration::from_millis(250);
/// The process exits this long before SIGKILL, whatever is still open.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(100);
/// Clients open new connections for up to 0.4 s after SIGTERM (protocol page), so they are accepted a little longer.
const ACCEPT_SPAN: Duration = Duration::from_millis(500);
/// With a successor, idle connections stay open until this fraction of the longest deadline before requests are failed.
/// The next answer on each connection closes it without losing a request, while closing an idle one may cross a request;
/// a request that arrives last still has this long.
const LAST_REQUEST_FRACTION: f64 = 0.95 / 3.0;

/// The times by which a terminating process has to act.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownDeadline {
    requested_at: Instant,
    kill_at: Instant,
    longest_deadline: Duration,
}

/// The phases of a shutdown, in order; what an earlier phase has ended stays ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New connections are accepted unless a successor does so, and idle ones are kept.
    Accepting,
    /// Idle connections are closed.
    Draining,
    /// Open requests are failed, and new ones are refused.
    Failing,
    /// The process exits.
    Exiting,
}

impl ShutdownDeadline {
    /// For a termination requested then, with classes of this longest deadline.
    pub fn new(requested_at: Instant, longest_deadline: Duration) -> Self {
        let longest_deadline = longest_deadline.min(MAX_DEADLINE);
        let kill_at = requested_at + longest_deadline + KILL_SLACK;
        ShutdownDeadline { requested_at, kill_at, longest_deadline }
    }

    /// When the termination was requested.
    pub fn requested_at(&self) -> Instant {
        self.requested_at
    }

    /// The earliest time at which SIGKILL may come.
    pub fn kill_at(&self) -> Instant {
        self.kill_at
    }

    /// When a phase starts. `has_successor` is whether another process accepts instead of this one.
    pub fn start_of(&self, phase: Phase, has_successor: bool) -> Instant {
        let failing = self.kill_at - FAIL_BEFORE_KILL;
        match phase {
            Phase::Accepting => self.requested_at,
            Phase::Draining if has_successor => {
                failing - self.longest_deadline.mul_f64(LAST_REQUEST_FRACTION)
            }
            Phase::Draining => (self.requested_at + ACCEPT_SPAN).min(failing),
            Phase::Failing => failing,
            Phase::Exiting => self.kill_at - EXIT_BEFORE_KILL,
        }
    }

    /// Whether requests that arrive now are refused, since no time is left to serve them.
    pub fn is_failing(&self, now: Instant) -> bool {
        now >= self.start_of(Phase::Failing, false)
    }

    /// `wanted`, limited to the time until the process exits.
    pub fn limit(&self, wanted: Duration, now: Instant) -> Duration {
        wanted.min(self.start_of(Phase::Exiting, false).saturating_duration_since(now))
    }
}
