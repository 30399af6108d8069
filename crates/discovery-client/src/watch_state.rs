//! The states of a watch, each with one deadline.

use crate::timing::{LINE_TIMEOUT, WATCH_SILENCE_TIMEOUT};
use std::time::Duration;

/// The state of a watch. Each state has one deadline, and ends only with what it waits for: a byte starts a line, and
/// the end of the line ends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchState {
    /// The first line has not been received; it belongs to the call.
    Opening {
        /// When the call times out.
        deadline: Duration,
    },
    /// No line has been started since the last one.
    BetweenLines {
        /// When the last line ended.
        since: Duration,
    },
    /// A line has been received in part.
    WithinLine {
        /// When the line started.
        since: Duration,
    },
}

impl WatchState {
    /// Returns the state after a read. `line_ended` is whether a line ended in it, and `part_left` whether a part of
    /// the next line was received.
    pub fn after_read(self, now: Duration, line_ended: bool, part_left: bool) -> Self {
        match (self, line_ended, part_left) {
            (WatchState::Opening { .. }, false, _) => self,
            (WatchState::WithinLine { .. }, false, true) => self,
            (_, _, true) => WatchState::WithinLine { since: now },
            (_, true, false) => WatchState::BetweenLines { since: now },
            // An empty frame changes nothing.
            (_, false, false) => self,
        }
    }

    /// When the watch counts as dead.
    pub fn deadline(self) -> Duration {
        match self {
            WatchState::Opening { deadline } => deadline,
            WatchState::BetweenLines { since } => since + WATCH_SILENCE_TIMEOUT,
            WatchState::WithinLine { since } => since + LINE_TIMEOUT,
        }
    }
}
