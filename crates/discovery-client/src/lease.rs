//! The bound on the use of the list that is held.

use crate::Epoch;
use crate::client::{LeaseSettings, Mode};
use crate::timing::{
    LEASE_SLACK, LONGEST_OUTAGE, NOTIFIED_AFTER_SERVER_CHANGE, NOTIFIED_AFTER_WATCH_END, NOTIFIED_WITHIN,
    STALL_ALLOWANCE,
};
use curlewhub_balance::RefusalCause;
use std::time::Duration;

/// So many calls in a row that a server just named holds and refuses are waited out.
const REFUSALS_BORNE: u32 = 1;

/// What stands between this process and the newest list. Each state but the first and the last has a deadline for the
/// use of the list.
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
    /// Discovery could not be reached, so that it notified nothing.
    Unreachable {
        /// Since when: the end of a watch, or the first call that showed it.
        since: Duration,
        /// The beginning of the last call that showed it.
        last_call: Duration,
    },
    /// Discovery refuses calls at once, so it is there again.
    Crowded {
        /// From when on a change that it had meanwhile may count as notified.
        notified_at: Duration,
    },
    /// Nothing is followed: the list that is held is the only one.
    NotFollowed,
}

/// What a call that failed says of whether discovery can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// No connection was established: it could not be reached when the call began.
    Unreachable,
    /// Nothing came on the connection: it hangs, or is cut off.
    Silent,
    /// The call was held and then refused, as in an outage and as before too many callers.
    Ambiguous,
    /// It answered at once, or with what is no list: it can be reached.
    Reachable,
}

/// A call for a watch that failed, after which no other is out.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// What it says of discovery.
    pub reachability: Reachability,
    /// When it began.
    pub started_at: Duration,
}

/// From when on the list that is held must not be used for anything new, because a change that this process has not
/// seen may count as notified. Nothing but a newer list, or word that there is none, ends that.
#[derive(Debug)]
pub struct Lease {
    mode: Mode,
    settings: LeaseSettings,
    state: LeaseState,
    /// When discovery last sent anything.
    confirmed_at: Duration,
    /// The first move whose server has not been heard yet, and the newest epoch since.
    moved: Option<(Epoch, Duration)>,
    last_call: Duration,
    /// A watch has been up since the start.
    watched: bool,
    /// Calls that were held and refused since discovery was heard or moved.
    refusals: u32,
}

impl Lease {
    /// A lease on the list known at the start.
    pub fn new(mode: Mode, settings: LeaseSettings, now: Duration) -> Self {
        let state = LeaseState::Unwatched { since: now };
        let (moved, watched, refusals) = Default::default();
        Lease { mode, settings, state, confirmed_at: now, moved, last_call: now, watched, refusals }
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
    pub fn call_started(&mut self, now: Duration) {
        self.last_call = now;
    }

    /// The watch in force opened or brought a line; it follows the server of this epoch, whose list is held completely
    /// or a whole one is still owed.
    pub fn line_received(&mut self, now: Duration, epoch: Epoch, complete: bool) {
        (self.state, self.watched, self.refusals) = (LeaseState::Watching, true, 0);
        self.confirmed_at = now;
        self.moved = self.moved.filter(|(newest, _)| *newest > epoch || !complete);
    }

    /// A whole list of the server of this epoch was received, while no watch is up.
    pub fn whole_list_received(&mut self, now: Duration, epoch: Epoch) {
        self.confirmed_at = now;
        self.moved = self.moved.filter(|(newest, _)| *newest > epoch);
        if self.state != LeaseState::Watching {
            self.state = LeaseState::Unwatched { since: now };
        }
    }

    /// A whole list that is owed beside a watch was not brought. What has changed at the server was: its watch began with it.
    pub fn whole_list_failed(&mut self) {
        if self.state == LeaseState::Watching {
            self.moved = None;
        }
    }

    /// The server of this epoch is to be followed from now on.
    pub fn server_changed(&mut self, now: Duration, epoch: Epoch) {
        let since = self.moved.map_or(now, |(_, since)| since);
        self.moved = Some((epoch, since));
        self.refusals = 0;
    }

    /// The watch in force was left.
    pub fn watch_cancelled(&mut self, now: Duration) {
        self.state = LeaseState::Unwatched { since: now };
    }

    /// The watch in force ended, or a line of it could not be read.
    pub fn watch_ended(&mut self, now: Duration) {
        self.state = LeaseState::WatchEnded { at: now };
    }

    /// The watch in force was reset.
    pub fn watch_reset(&mut self, now: Duration) {
        self.state = LeaseState::WatchReset { at: now, last_line: self.confirmed_at };
    }

    /// The watch in force counts as dead.
    pub fn watch_silent(&mut self) {
        self.state = LeaseState::WatchSilent { last_line: self.confirmed_at };
    }

    /// Nothing is followed.
    pub fn unfollowed(&mut self) {
        (self.state, self.moved) = (LeaseState::NotFollowed, None);
    }

    /// A call failed. What may have been notified before stays notified.
    pub fn call_failed(&mut self, now: Duration, call: FailedCall) {
        if self.may_have_been_notified(now) {
            return;
        }
        self.refusals += u32::from(call.reachability == Reachability::Ambiguous);
        let since = match call.reachability {
            Reachability::Unreachable => Some(call.started_at),
            Reachability::Silent if !self.was_there() => self.outage_since(now).or(Some(self.confirmed_at)),
            Reachability::Ambiguous if !self.was_there() => self.outage_since(now),
            Reachability::Silent | Reachability::Ambiguous => None,
            Reachability::Reachable => {
                if let Some(notified_at) = self.notified_by_state().filter(|_| !self.was_there()) {
                    self.state = LeaseState::Crowded { notified_at };
                }
                None
            }
        };
        if let Some(since) = since {
            self.state = LeaseState::Unreachable { since, last_call: call.started_at };
        }
    }

    /// Since when an outage may last of which calls that are held and refused would be a sign.
    fn outage_since(&self, now: Duration) -> Option<Duration> {
        match self.state {
            LeaseState::Unreachable { since, .. } => Some(since),
            LeaseState::Unwatched { .. } => Some(self.moved.map_or(now, |(_, since)| since)),
            LeaseState::WatchReset { at, .. } => Some(at),
            LeaseState::Watching
            | LeaseState::WatchEnded { .. }
            | LeaseState::WatchSilent { .. }
            | LeaseState::Crowded { .. }
            | LeaseState::NotFollowed => None,
        }
    }

    /// Why discovery refuses calls, as far as the state tells.
    pub fn refusal_cause(&self) -> RefusalCause {
        match self.state {
            LeaseState::Unwatched { .. } => RefusalCause::Unknown,
            _ if self.was_there() => RefusalCause::TooManyCallers,
            _ => RefusalCause::Unknown,
        }
    }

    /// Whether discovery was there when the watch ended, or has been seen since.
    fn was_there(&self) -> bool {
        match self.state {
            LeaseState::Watching | LeaseState::WatchEnded { .. } | LeaseState::Crowded { .. } => true,
            // A server that was just named is taken to be there, until it has refused more than one call.
            LeaseState::Unwatched { .. } => {
                self.watched && (self.moved.is_none() || self.refusals <= REFUSALS_BORNE)
            }
            LeaseState::WatchReset { .. }
            | LeaseState::WatchSilent { .. }
            | LeaseState::Unreachable { .. }
            | LeaseState::NotFollowed => false,
        }
    }

    /// Whether a change may count as notified that discovery had while it could be reached.
    fn may_have_been_notified(&self, now: Duration) -> bool {
        let asked_while_there = self.mode == Mode::Ask && self.was_there();
        // Discovery saw the end of the watch a little earlier than this process.
        asked_while_there && self.notified_at().is_some_and(|at| at <= now + LEASE_SLACK)
    }

    /// From when on nothing new may begin by this list; none while a watch is up, or nothing is followed.
    pub fn expires_at(&self) -> Option<Duration> {
        let allowance = self.settings.drain_grace.saturating_sub(STALL_ALLOWANCE + LEASE_SLACK);
        self.notified_at().map(|notified_at| notified_at + allowance)
    }

    /// From when on an unseen change may count as notified.
    fn notified_at(&self) -> Option<Duration> {
        let by_move = self.moved.map(|(_, since)| since + NOTIFIED_AFTER_SERVER_CHANGE);
        match (self.state, by_move) {
            // What could not be reached since the move could not notify anything of the new server's either.
            (LeaseState::Unreachable { last_call, .. }, Some(_)) if self.moved_before(last_call) => {
                self.notified_by_state()
            }
            _ => self.notified_by_state().into_iter().chain(by_move).min(),
        }
    }

    fn moved_before(&self, at: Duration) -> bool {
        self.moved.is_some_and(|(_, since)| since <= at)
    }

    fn notified_by_state(&self) -> Option<Duration> {
        let at_the_latest = self.confirmed_at + NOTIFIED_WITHIN;
        let by_watch = match self.state {
            LeaseState::Watching | LeaseState::NotFollowed => return None,
            LeaseState::Unreachable { since, last_call } => {
                return Some(back_at(since, last_call) + NOTIFIED_WITHIN);
            }
            LeaseState::Crowded { notified_at } => return Some(notified_at),
            // The move's own bound holds where lists are pushed.
            LeaseState::Unwatched { .. } if self.mode == Mode::Push && self.moved.is_some() => return None,
            LeaseState::Unwatched { since } => self.unwatched_since(since),
            LeaseState::WatchEnded { at } => self.unwatched_since(at).min(at + NOTIFIED_AFTER_WATCH_END),
            LeaseState::WatchReset { at, last_line } => {
                self.unwatched_since(at).min(last_line + NOTIFIED_WITHIN)
            }
            LeaseState::WatchSilent { last_line } => last_line + NOTIFIED_WITHIN,
        };
        Some(by_watch.min(at_the_latest))
    }

    /// Without a watch: where lists are pushed, what discovery has counts at once; where it is asked, the settings' time
    /// from the last call.
    fn unwatched_since(&self, since: Duration) -> Duration {
        match self.mode {
            Mode::Push => since,
            Mode::Ask => self.last_call.max(since) + self.settings.ask_within,
        }
    }
}

/// The earliest time at which a discovery may have come back that could not be reached. Signs of an outage that last for
/// longer than one are as likely those of too many callers.
fn back_at(since: Duration, last_call: Duration) -> Duration {
    last_call.min(since + LONGEST_OUTAGE)
}
