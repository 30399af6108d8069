//! The bound on the use of the list that is held.

use crate::Epoch;
use crate::client::{Mode, Rules};
use crate::timing::{
    LEASE_SLACK, MAX_HOLD, NOTIFIED_AFTER_MOVE, NOTIFIED_AFTER_WATCH_END, NOTIFIED_WITHIN, STALL_ALLOWANCE,
};
use std::time::Duration;

/// So many refusals in a row, behind a watch that discovery itself or a move ended, say that it is there and has too many
/// callers: the next call is waited for as well.
const REFUSALS_BORNE: u32 = 1;

/// What stands between this process and the newest list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseState {
    /// A watch is up: what changes is notified as it is written.
    Watching,
    /// No watch is up, since the start or since the one before was left for another server.
    Unwatched {
        /// Since when.
        since: Duration,
    },
    /// Discovery ended the watch, so it is there: what it had to tell then may be notified soon.
    WatchEnded {
        /// Its end.
        at: Duration,
    },
    /// The watch was reset: its process, or what is between, is gone.
    WatchReset {
        /// When that was seen.
        at: Duration,
        /// Its last line.
        last_line: Duration,
    },
    /// The watch fell silent some time after its last line.
    WatchSilent {
        /// Its last line.
        last_line: Duration,
    },
    /// A call since has failed: discovery can't be reached, and the last list serves.
    Unreachable,
}

/// From when on the list that is held must not be used for anything new, because a change that this process has not
/// seen may count as notified. While a call is out that will have its turn, to wait for it costs little; once it has
/// failed, discovery can't be reached, nothing counts as notified, and the last list serves for as long as that lasts.
#[derive(Debug)]
pub struct Lease {
    mode: Mode,
    rules: Rules,
    state: LeaseState,
    /// When discovery last sent anything.
    confirmed_at: Duration,
    /// The first move whose server has not been heard yet, and the newest epoch since.
    moved: Option<(Epoch, Duration)>,
    last_call: Duration,
    /// A watch has been up since the start.
    watched: bool,
    /// Calls refused since discovery was heard last.
    refusals: u32,
    /// When this process saw that no watch is up: one that stood still sees it late.
    unwatched_seen: Duration,
}

impl Lease {
    /// A lease on the list known at the start.
    pub fn new(mode: Mode, rules: Rules, now: Duration) -> Self {
        let state = LeaseState::Unwatched { since: now };
        let (moved, watched, refusals) = Default::default();
        let (confirmed_at, last_call, unwatched_seen) = (now, now, now);
        Lease { mode, rules, state, confirmed_at, moved, last_call, watched, refusals, unwatched_seen }
    }

    /// What stands between this process and the newest list.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// When discovery last sent anything, or the start.
    pub fn confirmed_at(&self) -> Duration {
        self.confirmed_at
    }

    /// A call for a watch began.
    pub fn called(&mut self, now: Duration) {
        self.last_call = now;
    }

    /// The watch in force opened or brought a line; it follows the server of this epoch, whose list is held completely
    /// or a whole one is still owed.
    pub fn heard(&mut self, now: Duration, epoch: Epoch, complete: bool) {
        (self.state, self.watched, self.refusals) = (LeaseState::Watching, true, 0);
        self.confirmed_at = now;
        self.moved = self.moved.filter(|(newest, _)| *newest > epoch || !complete);
    }

    /// A whole list of the server of this epoch was received, while no watch is up.
    pub fn listed(&mut self, now: Duration, epoch: Epoch) {
        self.confirmed_at = now;
        self.moved = self.moved.filter(|(newest, _)| *newest > epoch);
        if self.state != LeaseState::Watching {
            self.unwatched(now, LeaseState::Unwatched { since: now });
        }
    }

    /// The server of this epoch is to be followed from now on.
    pub fn moved(&mut self, now: Duration, epoch: Epoch) {
        let since = self.moved.map_or(now, |(_, since)| since);
        self.moved = Some((epoch, since));
    }

    /// The watch in force was left.
    pub fn watch_left(&mut self, now: Duration) {
        self.unwatched(now, LeaseState::Unwatched { since: now });
    }

    fn unwatched(&mut self, now: Duration, state: LeaseState) {
        (self.state, self.unwatched_seen) = (state, now);
    }

    /// The watch in force ended, or a line of it could not be read.
    pub fn watch_ended(&mut self, now: Duration) {
        self.unwatched(now, LeaseState::WatchEnded { at: now });
    }

    /// The watch in force was reset.
    pub fn watch_reset(&mut self, now: Duration) {
        self.unwatched(now, LeaseState::WatchReset { at: now, last_line: self.confirmed_at });
    }

    /// The watch in force counts as dead.
    pub fn watch_silent(&mut self, now: Duration) {
        self.unwatched(now, LeaseState::WatchSilent { last_line: self.confirmed_at });
    }

    /// Nothing is followed: the list held is the only one.
    pub fn unbounded(&mut self) {
        (self.state, self.moved) = (LeaseState::Unreachable, None);
    }

    /// No call is out any more, and the last one was refused.
    pub fn refused(&mut self, now: Duration) {
        self.refusals += 1;
        let was_there = match self.state {
            LeaseState::WatchEnded { .. } => true,
            LeaseState::Unwatched { .. } => self.watched,
            LeaseState::Watching
            | LeaseState::WatchReset { .. }
            | LeaseState::WatchSilent { .. }
            | LeaseState::Unreachable => false,
        };
        if !was_there || self.refusals > REFUSALS_BORNE {
            self.unreachable(now);
        }
    }

    /// No call is out any more, and the last one failed. What may have been notified before stays notified.
    pub fn unreachable(&mut self, now: Duration) {
        if !self.may_have_been_notified(now) {
            self.give_up();
        }
    }

    /// Whether a change may count as notified that discovery had while it could be reached.
    fn may_have_been_notified(&self, now: Duration) -> bool {
        let asked_while_there = match self.state {
            LeaseState::WatchEnded { .. } => self.mode == Mode::Ask,
            LeaseState::Unwatched { .. } => self.mode == Mode::Ask && self.watched,
            LeaseState::Watching
            | LeaseState::WatchReset { .. }
            | LeaseState::WatchSilent { .. }
            | LeaseState::Unreachable => false,
        };
        // Discovery saw the end of the watch a little earlier than this process.
        asked_while_there && self.notified_at().is_some_and(|at| at <= now + LEASE_SLACK)
    }

    /// Nothing newer is waited for any more.
    pub fn give_up(&mut self) {
        if self.state != LeaseState::Watching {
            self.state = LeaseState::Unreachable;
        }
        self.moved = None;
    }

    /// From when on nothing new may begin by this list; none while nothing bounds it.
    pub fn expires_at(&self) -> Option<Duration> {
        let allowance = self.rules.drain_grace.saturating_sub(STALL_ALLOWANCE + LEASE_SLACK);
        self.notified_at().map(|notified_at| notified_at + allowance)
    }

    /// When to wait no longer for a newer list, though a call may still be out.
    pub fn given_up_at(&self) -> Option<Duration> {
        self.expires_at().map(|expires| expires.max(self.unwatched_seen) + MAX_HOLD)
    }

    /// From when on an unseen change may count as notified.
    fn notified_at(&self) -> Option<Duration> {
        let at_the_latest = self.confirmed_at + NOTIFIED_WITHIN;
        let by_state = match self.state {
            LeaseState::Watching | LeaseState::Unreachable => None,
            // The move's own bound holds where lists are pushed.
            LeaseState::Unwatched { .. } if self.mode == Mode::Push && self.moved.is_some() => None,
            LeaseState::Unwatched { since } => Some(self.unwatched_since(since)),
            LeaseState::WatchEnded { at } => {
                Some(self.unwatched_since(at).min(at + NOTIFIED_AFTER_WATCH_END))
            }
            LeaseState::WatchReset { at, last_line } => {
                Some(self.unwatched_since(at).min(last_line + NOTIFIED_WITHIN))
            }
            LeaseState::WatchSilent { last_line } => Some(last_line + NOTIFIED_WITHIN),
        };
        let by_state = by_state.map(|at| at.min(at_the_latest));
        let by_move = self.moved.map(|(_, since)| since + NOTIFIED_AFTER_MOVE);
        by_state.into_iter().chain(by_move).min()
    }

    /// Without a watch: where lists are pushed, what discovery has counts at once; where it is asked, the settings' time
    /// from the last call.
    fn unwatched_since(&self, since: Duration) -> Duration {
        match self.mode {
            Mode::Push => since,
            Mode::Ask => self.last_call.max(since) + self.rules.ask_within,
        }
    }
}
