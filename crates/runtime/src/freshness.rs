//! How old what is known of the list may get. One rule is behind every bound here: what discovery has counts as
//! told `TOLD` after it could be had, whatever failed, was refused or was given up before. So each call has one
//! deadline over all of it, each line of a watch has one that no byte renews, and waits between calls leave room
//! for the worst that may come before and after them. Clocks and draws are the caller's.

use std::time::Duration;
use tokio::time::Instant;

/// The protocol's figure, and the operators' term: a change counts as told this long after discovery had it and
/// could be reached.
pub const TOLD: Duration = Duration::from_secs(6);
/// A call that has not brought a whole list, or a watch's first line, by then has failed. Calls wait in turn for
/// up to 3 s at the sites known, and to leave just before the turn comes gives up a place in the queue.
pub const CALL: Duration = Duration::from_millis(3200);
/// A call that has brought nothing for so long may be lost in an outage that is over: a second one begins beside it,
/// and the first keeps its turn in discovery's queue. The first that opens is taken and the other one ends.
pub const SECOND_CALL: Duration = Duration::from_millis(2750);
/// Calls that are out at once, at the most: a third begins when the first has ended.
pub const CALLS_AT_ONCE: usize = 2;
/// Of a call's time, so much at the most for the connection: where nobody is there, nothing ever answers.
pub const CONNECT: Duration = Duration::from_secs(1);
/// A watch brings at least an empty line every 2 s, by the protocol: one silent for this long is dead, as that of
/// a machine cut off is, which nothing else would ever tell.
pub const SILENCE: Duration = Duration::from_millis(2600);
/// A line that has begun is whole within this, however steadily its bytes come.
pub const LINE: Duration = Duration::from_millis(1500);
/// A list that has begun and goes on for this long may have broken off: what it told by then of endpoints that
/// leave counts now, as they must get nothing new within a quarter of a second ...
pub const TORN: Duration = Duration::from_millis(100);
/// ... and once it has paused for this long it has, and is asked for again.
pub const PAUSE: Duration = Duration::from_millis(700);

/// Wait before the first call after a failure, counted from the start of the one that failed; doubles with each.
const WAIT: Duration = Duration::from_millis(250);
/// Doublings of that wait. Discovery answers calls one after another, and what it turns away costs it least: a
/// longer wait would only leave it idle after it is back, and what it has untold.
const DOUBLES: u32 = 2;
/// The jitter about a wait, as parts of it: callers that failed together do not come again together.
const JITTER: (f64, f64) = (0.5, 1.5);
/// The longest wait behind a call that failed at once ...
pub const WAIT_MOST: Duration = Duration::from_millis(250 * (1 << DOUBLES) * 3 / 2);
/// ... and behind one that took longer than that, or a watch that was up: only so that they spread a little.
pub const SPREAD_MOST: Duration = Duration::from_millis(150);

/// The worst chains, from discovery's being there on: a wait behind a call that failed just before; a watch that
/// falls silent behind its last line; one that trickles; a call that hangs and was made just before. Then a call that
/// takes all its time. docs/design/0018-discovery-load.md has them all.
const _: () = assert!(WAIT_MOST.as_millis() + CALL.as_millis() < TOLD.as_millis());
const _: () = assert!(SILENCE.as_millis() + SPREAD_MOST.as_millis() + CALL.as_millis() < TOLD.as_millis());
const _: () = assert!(LINE.as_millis() + SPREAD_MOST.as_millis() + CALL.as_millis() < TOLD.as_millis());
const _: () = assert!(SECOND_CALL.as_millis() + CALL.as_millis() < TOLD.as_millis());
const _: () = assert!(CALL.as_millis() < SECOND_CALL.as_millis() * CALLS_AT_ONCE as u128);
const _: () = assert!(CONNECT.as_millis() <= CALL.as_millis());

/// How long to wait between calls that fail.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Something came: the next failure is a first one.
    pub fn came(&mut self) {
        *self = Backoff::default();
    }

    /// The wait behind a call that discovery refused after it took so long, by a draw from 0 to 1: by the decision
    /// module, since too many call, and each further call takes another caller's turn.
    pub fn refused(&mut self, took: Duration, draw: f64) -> Duration {
        self.failures = self.failures.saturating_add(1);
        curlewhub_balance::refused_wait(took, draw)
    }

    /// The wait behind a call that failed otherwise after it took so long, by a draw from 0 to 1. A call that waited
    /// in discovery's queue has let others go first already.
    pub fn wait(&mut self, took: Duration, draw: f64) -> Duration {
        let doubled = WAIT * (1 << self.failures.min(DOUBLES));
        self.failures = self.failures.saturating_add(1);
        spread(doubled, took, draw)
    }

    /// The wait behind a call that our own machine could not make, by a draw from 0 to 1: it was no burden to
    /// discovery, and counts as no failure of discovery's.
    pub fn local(&self, took: Duration, draw: f64) -> Duration {
        spread(WAIT, took, draw)
    }
}

/// What is left of a wait with its jitter behind a call that took so long.
fn spread(wait: Duration, took: Duration, draw: f64) -> Duration {
    let (least, most) = JITTER;
    let jittered = wait.mul_f64(least + (most - least) * draw);
    jittered.saturating_sub(took).max(SPREAD_MOST.mul_f64(draw))
}

/// Where a watch stands. Each state has one deadline, and only what it waits for ends it: a byte begins a line, a
/// whole line ends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Watching {
    /// Its first line is part of the call.
    Opening {
        /// When the call ends.
        due: Instant,
    },
    /// Between lines, since then.
    Between {
        /// Since when.
        since: Instant,
    },
    /// Within a line, since then.
    Within {
        /// Since when.
        since: Instant,
    },
}

impl Watching {
    /// What came, at `now`, left a part of a line behind, or none; and a line ended, or none did.
    pub fn came(self, now: Instant, ended: bool, part: bool) -> Self {
        match (self, ended, part) {
            (Watching::Opening { .. }, false, _) => self,
            (Watching::Within { .. }, false, true) => self,
            (_, _, true) => Watching::Within { since: now },
            (_, true, false) => Watching::Between { since: now },
            // Nothing at all came: a frame without a byte says nothing.
            (_, false, false) => self,
        }
    }

    /// When it counts as dead.
    pub fn due(self) -> Instant {
        match self {
            Watching::Opening { due } => due,
            Watching::Between { since } => since + SILENCE,
            Watching::Within { since } => since + LINE,
        }
    }
}
