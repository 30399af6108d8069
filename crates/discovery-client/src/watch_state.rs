//! The state of a watch, with one deadline for each.

use crate::timing::{LINE_TIMEOUT, WATCH_SILENCE_TIMEOUT};
use std::time::Duration;

/// Where a watch is. Each state has one deadline, and only what it waits for ends it: a byte begins a line, a whole line
/// ends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchState {
    /// Its first line is part of the call.
    Opening {
        /// When the call ends.
        deadline: Duration,
    },
    /// Between lines, since then.
    BetweenLines {
        /// Since when.
        since: Duration,
    },
    /// Within a line, since then.
    WithinLine {
        /// Since when.
        since: Duration,
    },
}

impl WatchState {
    /// The state after a read: whether a line ended in it, and whether it left a part of the next one.
    pub fn after_read(self, now: Duration, line_ended: bool, part_left: bool) -> Self {
        match (self, line_ended, part_left) {
            (WatchState::Opening { .. }, false, _) => self,
            (WatchState::WithinLine { .. }, false, true) => self,
            (_, _, true) => WatchState::WithinLine { since: now },
            (_, true, false) => WatchState::BetweenLines { since: now },
            // A frame without a byte says nothing.
            (_, false, false) => self,
        }
    }

    /// When it counts as dead.
    pub fn deadline(self) -> Duration {
        match self {
            WatchState::Opening { deadline } => deadline,
            WatchState::BetweenLines { since } => since + WATCH_SILENCE_TIMEOUT,
            WatchState::WithinLine { since } => since + LINE_TIMEOUT,
        }
    }
}
