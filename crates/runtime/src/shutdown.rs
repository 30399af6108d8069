//! The end of the process as one point in time: every wait between SIGTERM and SIGKILL is derived from it here, and
//! nowhere else.

use std::time::Duration;
use tokio::time::Instant;

/// The protocol page: SIGKILL comes no sooner than the longest deadline and this after SIGTERM ...
const KILL_SLACK: Duration = Duration::from_millis(700);
/// ... where a deadline that is longer than this counts as this.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// What is open this long before SIGKILL is failed, and what still comes whole then is refused: a process that is held up
/// for 0.15 s (the standing test's figure) still has its answers out in time.
const FAIL_BEFORE_KILL: Duration = Duration::from_millis(250);
/// The process ends this long before SIGKILL, whatever is still open.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(100);
/// New connections come for up to 0.4 s after SIGTERM (the protocol page), so they are accepted for a little longer.
const ACCEPT_SPAN: Duration = Duration::from_millis(500);
/// Where a successor accepts, idle connections stay open for most of the time: the next answer on each is its last,
/// which loses no request, while a close may cross one. What comes on them last has this part of the longest deadline
/// until it is failed.
const LAST_REQUEST_PART: f64 = 0.95 / 3.0;

/// When a process that was told to end has to have done what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownDeadline {
    asked: Instant,
    kill: Instant,
    longest_deadline: Duration,
}

/// What is done at a given time of a shutdown; each phase includes that which the ones before it have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New connections are accepted where nobody else does, and idle ones kept.
    Accepting,
    /// Connections between requests are closed.
    Draining,
    /// Open requests are failed, and those that still come refused.
    Failing,
    /// The process ends.
    Exiting,
}

impl ShutdownDeadline {
    /// A process that is told to end now and whose classes have this longest deadline.
    pub fn new(asked: Instant, longest_deadline: Duration) -> Self {
        let longest_deadline = longest_deadline.min(DEADLINE_MOST);
        ShutdownDeadline { asked, kill: asked + longest_deadline + KILL_SLACK, longest_deadline }
    }

    /// When the process was told to end.
    pub fn asked(&self) -> Instant {
        self.asked
    }

    /// The earliest time at which SIGKILL may come.
    pub fn kill(&self) -> Instant {
        self.kill
    }

    /// When a phase begins. `succeeded` is whether another process accepts in this one's stead.
    pub fn begins(&self, phase: Phase, succeeded: bool) -> Instant {
        let fails = self.kill - FAIL_BEFORE_KILL;
        match phase {
            Phase::Accepting => self.asked,
            Phase::Draining if succeeded => fails - self.longest_deadline.mul_f64(LAST_REQUEST_PART),
            Phase::Draining => (self.asked + ACCEPT_SPAN).min(fails),
            Phase::Failing => fails,
            Phase::Exiting => self.kill - EXIT_BEFORE_KILL,
        }
    }

    /// Whether requests that come now are refused, since no time is left to serve them.
    pub fn is_failing(&self, now: Instant) -> bool {
        now >= self.begins(Phase::Failing, false)
    }

    /// How long something may take that would like to take `wanted` and has to be over as the process ends.
    pub fn bound(&self, wanted: Duration, now: Instant) -> Duration {
        wanted.min(self.begins(Phase::Exiting, false).saturating_duration_since(now))
    }
}
