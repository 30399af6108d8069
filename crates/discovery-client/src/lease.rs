//! The lease on the current list: until when it may be used.

use crate::Epoch;
use crate::server_changes::{EarlierBound, ServerChange, ServerChanges};
use crate::settings::{LeaseSettings, Mode};
use crate::timing::{
    LEASE_SLACK, LONGEST_OUTAGE, NOTIFIED_AFTER_WATCH_END, NOTIFIED_WITHIN, STALL_ALLOWANCE,
};
use curlewhub_balance::RefusalCause;
use std::time::Duration;

/// How many calls a newly named server may hold and then refuse before that counts as a sign of an outage.
const TOLERATED_REFUSALS: u32 = 1;

/// Whether changes of the list reach this process, and why not. Every state except the first limits how long the list may
/// be used. Log lines show the names of the variants and their fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseState {
    /// A watch is open, and changes are notified as they are written.
    Watching,
    /// No watch is open, since the start or since the last one was cancelled to switch to another server.
    Unwatched {
        /// The start of this state.
        since: Duration,
    },
    /// Discovery ended the watch, so it is available: a change that it had then may soon count as notified.
    WatchEnded {
        /// The end of the watch.
        at: Duration,
    },
    /// The connection of the watch was reset: the discovery process, or a host on the path to it, has failed.
    WatchReset {
        /// When the reset was noticed.
        at: Duration,
        /// When the last line was received.
        last_line: Duration,
    },
    /// Nothing was received on the watch for too long after its last line.
    WatchSilent {
        /// When the last line was received.
        last_line: Duration,
    },
    /// Discovery could not be reached, so it has notified nothing.
    Unreachable {
        /// The start of the outage: the end of a watch, or the first call that showed it.
        since: Duration,
        /// The start of the last call that showed it.
        last_call: Duration,
    },
    /// Discovery refuses calls at once: it is available again, and overloaded.
    Crowded {
        /// When a change made in the meantime may first count as notified.
        notified_at: Duration,
    },
}

/// What a failed call shows about whether discovery can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// No connection was established: discovery could not be reached when the call started.
    Unreachable,
    /// Nothing was received on the connection: discovery hangs, or is cut off.
    Silent,
    /// The call was held and then refused, as happens both in an outage and when discovery has too many callers.
    Ambiguous,
    /// Discovery refused the call at once, or its answer was not a list: it can be reached.
    Reachable,
}

/// A failed watch call, after which no other watch call to the same server is pending.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// What it shows about discovery.
    pub reachability: Reachability,
    /// When it started.
    pub started_at: Duration,
}

/// Bounds the use of the current list. After the lease has expired, the list must not be used for new requests,
/// because a change that this process has not received may count as notified. Only a newer list, or the confirmation
/// that there is none, renews an expired lease.
#[derive(Debug)]
pub struct Lease {
    mode: Mode,
    settings: LeaseSettings,
    state: LeaseState,
    /// When anything was last received from discovery.
    confirmed_at: Duration,
    /// The server changes that no whole list has completed.
    server_changes: ServerChanges,
    last_call: Duration,
    /// Whether a watch was open at any time since the start.
    has_watched: bool,
    /// The number of calls held and then refused since the last line or server change.
    held_refusals: u32,
}

impl Lease {
    /// Creates the lease on the list that is known at the start.
    pub fn new(mode: Mode, settings: LeaseSettings, now: Duration) -> Self {
        let state = LeaseState::Unwatched { since: now };
        let (server_changes, has_watched, held_refusals) = Default::default();
        Lease {
            mode,
            settings,
            state,
            confirmed_at: now,
            server_changes,
            last_call: now,
            has_watched,
            held_refusals,
        }
    }

    /// Returns whether changes of the list reach this process, and why not.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// When anything was last received from discovery; the start if nothing was.
    pub fn confirmed_at(&self) -> Duration {
        self.confirmed_at
    }

    /// Records the start of a watch call.
    pub fn call_started(&mut self, now: Duration) {
        self.last_call = now;
    }

    /// Records a line on the open watch, including the one that opens it. `epoch` is the server that it watches, and
    /// `complete` is whether its list is known completely, or the whole list is still missing.
    pub fn line_received(&mut self, now: Duration, epoch: Epoch, complete: bool) {
        (self.state, self.has_watched, self.held_refusals) = (LeaseState::Watching, true, 0);
        self.confirmed_at = now;
        if complete {
            self.server_changes.completed(epoch);
        }
    }

    /// Records a whole list from the server `epoch`. Without an open watch, the time without a watch starts again.
    pub fn whole_list_received(&mut self, now: Duration, epoch: Epoch) {
        self.confirmed_at = now;
        self.server_changes.completed(epoch);
        if self.state != LeaseState::Watching {
            self.state = LeaseState::Unwatched { since: now };
        }
    }

    /// Records the switch to the server `epoch`; `previous_answered` is whether the server before it has answered.
    pub fn server_changed(&mut self, now: Duration, epoch: Epoch, previous_answered: bool) {
        let bound = self.bound_at_server_change(now);
        self.server_changes.server_named(now, epoch, previous_answered, bound);
        self.held_refusals = 0;
    }

    /// The bound of the list at a server change. A bound that rests on an outage moves as long as that continues at the
    /// new server, unless it has passed.
    fn bound_at_server_change(&self, now: Duration) -> EarlierBound {
        let may_be_outage = match self.state {
            LeaseState::Unreachable { .. } | LeaseState::WatchReset { .. } => true,
            LeaseState::Unwatched { .. } => !self.has_watched,
            LeaseState::Watching
            | LeaseState::WatchEnded { .. }
            | LeaseState::WatchSilent { .. }
            | LeaseState::Crowded { .. } => false,
        };
        match self.notified_by_state() {
            None => EarlierBound::None,
            Some(at) if may_be_outage && at > now => EarlierBound::Outage(at),
            Some(at) => EarlierBound::Fixed(at),
        }
    }

    /// Records that a call has shown that the newest server can be reached.
    pub fn server_reached(&mut self) {
        self.server_changes.newest_reached();
    }

    /// The server whose list, not known completely, counts as notified first, and when.
    pub fn incomplete_server_change(&self) -> Option<(Epoch, Duration)> {
        self.server_changes.first_notified().map(|change| (change.epoch, change.notified_at()))
    }

    /// Records that only endpoints that the server `epoch` or a later one has named are in use.
    pub fn restricted_to_named(&mut self, epoch: Epoch) {
        self.server_changes.completed(epoch);
    }

    /// Records that the open watch was cancelled, or that the list is no longer followed.
    pub fn watch_cancelled(&mut self, now: Duration) {
        self.state = LeaseState::Unwatched { since: now };
    }

    /// Records that the open watch ended, or that one of its lines could not be read.
    pub fn watch_ended(&mut self, now: Duration) {
        self.state = LeaseState::WatchEnded { at: now };
    }

    /// Records that the connection of the open watch was reset.
    pub fn watch_reset(&mut self, now: Duration) {
        self.state = LeaseState::WatchReset { at: now, last_line: self.confirmed_at };
    }

    /// Records that the open watch timed out.
    pub fn watch_silent(&mut self) {
        self.state = LeaseState::WatchSilent { last_line: self.confirmed_at };
    }

    /// Records a failed watch call. If a change may already count as notified, the lease does not change.
    pub fn call_failed(&mut self, now: Duration, call: FailedCall) {
        if call.reachability == Reachability::Unreachable {
            self.server_changes.newest_unreachable(now, call.started_at);
        }
        if self.may_have_been_notified(now) {
            return;
        }
        self.held_refusals += u32::from(call.reachability == Reachability::Ambiguous);
        let since = match call.reachability {
            Reachability::Unreachable => Some(call.started_at),
            Reachability::Silent if !self.was_available() => {
                self.outage_start(now).or(Some(self.confirmed_at))
            }
            Reachability::Ambiguous if !self.was_available() => self.outage_start(now),
            Reachability::Silent | Reachability::Ambiguous => None,
            Reachability::Reachable => {
                if let Some(notified_at) = self.notified_by_state().filter(|_| !self.was_available()) {
                    self.state = LeaseState::Crowded { notified_at };
                }
                None
            }
        };
        if let Some(since) = since {
            self.state = LeaseState::Unreachable { since, last_call: call.started_at };
        }
    }

    /// The start of the outage that held and refused calls would be a sign of; `None` if the state rules one out or
    /// does not tell.
    fn outage_start(&self, now: Duration) -> Option<Duration> {
        match self.state {
            LeaseState::Unreachable { since, .. } => Some(since),
            LeaseState::Unwatched { .. } => Some(self.server_changes.since().unwrap_or(now)),
            LeaseState::WatchReset { at, .. } => Some(at),
            LeaseState::Watching
            | LeaseState::WatchEnded { .. }
            | LeaseState::WatchSilent { .. }
            | LeaseState::Crowded { .. } => None,
        }
    }

    /// Why discovery refuses calls, as far as the state shows.
    pub fn refusal_cause(&self) -> RefusalCause {
        match self.state {
            LeaseState::Unwatched { .. } => RefusalCause::Unknown,
            _ if self.was_available() => RefusalCause::TooManyCallers,
            _ => RefusalCause::Unknown,
        }
    }

    /// Whether discovery was available when the watch ended, or has been since.
    fn was_available(&self) -> bool {
        match self.state {
            LeaseState::Watching | LeaseState::WatchEnded { .. } | LeaseState::Crowded { .. } => true,
            // A newly named server is assumed to be available until it has held and refused more than one call.
            LeaseState::Unwatched { .. } => {
                self.has_watched
                    && (self.server_changes.is_empty() || self.held_refusals <= TOLERATED_REFUSALS)
            }
            LeaseState::WatchReset { .. }
            | LeaseState::WatchSilent { .. }
            | LeaseState::Unreachable { .. } => false,
        }
    }

    /// Whether a change that discovery had while it was available may already count as notified.
    fn may_have_been_notified(&self, now: Duration) -> bool {
        let asks_while_available = self.mode == Mode::Ask && self.was_available();
        // Discovery saw the end of the watch slightly earlier than this process.
        asks_while_available && self.notified_at().is_some_and(|at| at <= now + LEASE_SLACK)
    }

    /// When the lease expires, so that the list must not be used for new requests. None while a watch is open, unless
    /// a new server's list is still missing, or while the list is not followed.
    pub fn expires_at(&self) -> Option<Duration> {
        let allowance = self.settings.drain_grace.saturating_sub(STALL_ALLOWANCE + LEASE_SLACK);
        self.notified_at().map(|notified_at| notified_at + allowance)
    }

    /// When a change that was not received may first count as notified.
    fn notified_at(&self) -> Option<Duration> {
        let by_server_change = self.server_changes.first_notified().map(ServerChange::notified_at);
        self.notified_by_state().into_iter().chain(by_server_change).min()
    }

    fn notified_by_state(&self) -> Option<Duration> {
        let latest = self.confirmed_at + NOTIFIED_WITHIN;
        let by_watch = match self.state {
            LeaseState::Watching => return None,
            LeaseState::Unreachable { since, last_call } => {
                return Some(earliest_recovery(since, last_call) + NOTIFIED_WITHIN);
            }
            LeaseState::Crowded { notified_at } => return Some(notified_at),
            // In push mode the deadline of the server change applies.
            LeaseState::Unwatched { .. } if self.mode == Mode::Push && !self.server_changes.is_empty() => {
                return None;
            }
            LeaseState::Unwatched { since } => self.notified_without_watch(since),
            LeaseState::WatchEnded { at } => {
                self.notified_without_watch(at).min(at + NOTIFIED_AFTER_WATCH_END)
            }
            LeaseState::WatchReset { at, last_line } => {
                self.notified_without_watch(at).min(last_line + NOTIFIED_WITHIN)
            }
            LeaseState::WatchSilent { last_line } => last_line + NOTIFIED_WITHIN,
        };
        Some(by_watch.min(latest))
    }

    /// When a change may count as notified without a watch: in push mode at once, in ask mode the configured time
    /// after the last call.
    fn notified_without_watch(&self, since: Duration) -> Duration {
        match self.mode {
            Mode::Push => since,
            Mode::Ask => self.last_call.max(since) + self.settings.ask_within,
        }
    }
}

/// The earliest time at which discovery may have recovered from an outage. Signs of an outage that last longer than
/// [`LONGEST_OUTAGE`] are as likely to be signs of too many callers.
fn earliest_recovery(since: Duration, last_call: Duration) -> Duration {
    last_call.min(since + LONGEST_OUTAGE)
}
