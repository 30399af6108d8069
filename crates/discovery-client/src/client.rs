//! The state machine that follows a list.

use crate::backoff::Backoff;
use crate::calls::{CallId, CallKind, Epoch, OutCall, Progress};
use crate::lease::{FailedCall, Lease, LeaseState, Reachability};
use crate::timing::{
    IMMEDIATE_REFUSAL_LIMIT, MAX_JITTER, MAX_WATCH_CALLS, SECOND_CALL_AFTER, SERVER_CHANGE_DEBOUNCE,
    SERVER_CHANGE_DEBOUNCE_LIMIT,
};
use crate::versions::Versions;
use curlewhub_balance::RefusalCause;
use curlewhub_config::list::EndpointList;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Calls that are out at once, over all servers, at the most.
const MAX_CALLS_OUT: usize = 8;

/// How lists reach the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// What discovery has counts as notified whether or not a watch is open.
    Push,
    /// What comes on a watch or in an answer counts as notified.
    Ask,
}

/// What the settings say of the list.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// A process that has neither watched nor asked for so long counts as notified of what was listed then.
    pub ask_within: Duration,
    /// What is sent to an endpoint that leaves must end within this.
    pub drain_grace: Duration,
}

/// How a call or a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It was answered, and not by a list: discovery, or what stands for it, does not serve it.
    Refused,
    /// This machine could not make it: nothing reached discovery.
    LocalError,
    /// No connection was established.
    NotConnected,
    /// There was no answer in time, or the connection broke before one.
    NoResponse,
    /// Anything else: an answer that is no list, or a watch that was ended in order.
    Failed,
    /// A watch that was up brought nothing for too long.
    Silent,
    /// The connection of a watch that was up was reset: its process, or what is between, is gone.
    Reset,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call to the server of this epoch.
    Call {
        /// Its number.
        id: CallId,
        /// Which server.
        epoch: Epoch,
        /// What is asked for.
        kind: CallKind,
    },
    /// Close this call's connection: nothing of it counts any more.
    Cancel(CallId),
    /// Take this list, or these changes.
    Apply(EndpointList),
    /// It works again, and nothing has changed.
    Unchanged,
    /// A call brought nothing, or the watch ended; the list stays.
    Report(Outcome),
}

/// What a call that brought nothing says of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may not be there.
    Failed,
    /// It is there, and has more callers than it can serve.
    Refused,
}

/// Follows the list of a discovery service.
#[derive(Debug)]
pub struct Client {
    versions: Versions,
    lease: Lease,
    backoff: Backoff,
    whole_list_backoff: Backoff,
    draws: Pcg32,
    /// The server to be followed.
    target: Epoch,
    following: bool,
    calls: Vec<OutCall>,
    calls_made: u64,
    /// When the next call for a watch on the target is due.
    next_watch: Option<Duration>,
    /// When the next call for a whole list that is owed is due.
    next_whole_list: Option<Duration>,
    last_watch_call: Duration,
    /// The first of the moves to servers of which none was called yet.
    unsettled_since: Option<Duration>,
    /// The target has refused a call, and answered none since: it has too many callers.
    crowded: bool,
    /// One of the calls that are out for a watch on the target, or were along with them, was refused.
    refused: bool,
    /// For how long a call of those was held before it was refused, at the longest.
    longest_refused: Duration,
    actions: Vec<Action>,
}

impl Client {
    /// Follows nothing yet.
    pub fn new(mode: Mode, settings: LeaseSettings, seed: u64, now: Duration) -> Self {
        Client {
            versions: Versions::new(0),
            lease: Lease::new(mode, settings, now),
            backoff: Backoff::default(),
            whole_list_backoff: Backoff::default(),
            draws: Pcg32::seed_from_u64(seed),
            target: Epoch::default(),
            following: false,
            calls: Vec::new(),
            calls_made: 0,
            next_watch: None,
            next_whole_list: None,
            last_watch_call: now,
            unsettled_since: None,
            crowded: false,
            refused: false,
            longest_refused: Duration::ZERO,
            actions: Vec::new(),
        }
    }

    /// The list known at the start has this version.
    pub fn set_initial_version(&mut self, version: u64) {
        self.versions = Versions::new(version);
    }

    /// What is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The bound on the use of the list.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// The version held.
    pub fn version(&self) -> u64 {
        self.versions.version()
    }

    /// Whether a watch is up, on the target or on the server before it.
    pub fn is_watching(&self) -> bool {
        self.watch_in_force().is_some()
    }

    /// Follows the list from now on; if it does already and a watch is up, says that nothing has changed.
    pub fn follow(&mut self, now: Duration) {
        if self.following {
            if self.is_watching() {
                self.actions.push(Action::Unchanged);
            }
            return;
        }
        self.following = true;
        self.call_watch(now);
    }

    /// Follows the list no more.
    pub fn unfollow(&mut self) {
        self.following = false;
        (self.next_watch, self.next_whole_list) = (None, None);
        for call in std::mem::take(&mut self.calls) {
            self.actions.push(Action::Cancel(call.id));
        }
        self.lease.unfollowed();
        self.actions.push(Action::Unchanged);
    }

    /// Asks for the whole list once, beside the watch. One such call is out at a time: what it brings answers whoever
    /// asks meanwhile.
    pub fn fetch(&mut self, now: Duration) {
        if !self.calls.iter().any(|call| call.kind == CallKind::WholeList && call.epoch == self.target) {
            self.call(now, CallKind::WholeList);
        }
    }

    /// Another server is to be followed. The watch on the one before is left, as a second one would cost discovery a turn
    /// for each change; calls that wait for their turn there keep it, and what they bring counts until the new server
    /// is heard.
    pub fn server_changed(&mut self, now: Duration) {
        let awaited = self.target > self.versions.epoch();
        self.target = Epoch(self.target.0 + 1);
        self.lease.server_changed(now, self.target);
        self.following = true;
        self.crowded = false;
        self.backoff.reset();
        self.next_whole_list = None;
        if let Some(up) = self.calls.iter().position(|call| call.progress == Progress::Up) {
            self.abandon(up);
            self.lease.watch_cancelled(now);
        }
        if awaited {
            let since = *self.unsettled_since.get_or_insert(now);
            self.next_watch =
                Some((now + SERVER_CHANGE_DEBOUNCE).min(since + SERVER_CHANGE_DEBOUNCE_LIMIT).max(now));
        } else {
            self.call_watch(now);
        }
    }

    /// A complete line of a watch: a list, changes, or an empty line.
    pub fn watch_line(&mut self, now: Duration, id: CallId, list: Option<EndpointList>) {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls[at];
        match call.progress {
            // Where no version of the server is held, an empty line confirms nothing.
            Progress::Waiting if list.is_none() && call.epoch > self.versions.epoch() => {}
            Progress::Waiting if self.opens(&call) => self.opened(now, at, list),
            // The other call of two has opened before; departures in this one count as notified too.
            Progress::Waiting => {
                self.take_departures(call.epoch, list);
                self.abandon(at);
            }
            // A whole list of a newer server is held already: this watch has another server's versions.
            Progress::Up if call.epoch < self.versions.epoch() => self.abandon(at),
            Progress::Up => {
                self.backoff.reset();
                if let Some(list) = list {
                    self.versions.apply_watch_line(&list);
                    self.actions.push(Action::Apply(list));
                }
                self.heard(now, call.epoch);
                if self.versions.overflows() {
                    self.abandon(at);
                    self.watch_lost(now, EndReason::Failed);
                }
            }
        }
    }

    /// The answer to a call for a whole list.
    pub fn whole_list(&mut self, now: Duration, id: CallId, list: EndpointList) {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.swap_remove(at);
        self.crowded &= call.epoch != self.target;
        match self.versions.merge_whole_list(call.epoch, call.held, list) {
            Some(list) => {
                self.lease.whole_list_received(now, call.epoch);
                self.whole_list_backoff.reset();
                self.next_whole_list = None;
                self.actions.push(Action::Apply(list));
            }
            None => self.actions.push(Action::Unchanged),
        }
    }

    /// A list broke off, or takes long: its entries so far.
    pub fn partial_list(&mut self, id: CallId, list: EndpointList) {
        let Some(call) = self.calls.iter().find(|call| call.id == id).copied() else { return };
        self.take_departures(call.epoch, Some(list));
    }

    /// A call failed, or a watch that was up ended.
    pub fn call_ended(&mut self, now: Duration, id: CallId, ending: EndReason) {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.swap_remove(at);
        match (call.kind, call.progress) {
            (CallKind::WholeList, _) => self.whole_list_failed(now, &call, ending),
            (CallKind::Watch { .. }, Progress::Up) => self.watch_lost(now, ending),
            (CallKind::Watch { .. }, Progress::Waiting) if call.epoch == self.target => {
                self.watch_call_failed(now, &call, ending);
            }
            (CallKind::Watch { .. }, Progress::Waiting) => {}
        }
    }

    /// When [`timer`](Self::timer) is to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        let times = [self.next_watch, self.next_whole_list, self.second_call_at()];
        times.into_iter().flatten().min()
    }

    /// Makes the calls that are due.
    pub fn timer(&mut self, now: Duration) {
        if self.next_watch.is_some_and(|at| at <= now) || self.second_call_at().is_some_and(|at| at <= now)
        {
            self.call_watch(now);
        }
        if self.next_whole_list.is_some_and(|at| at <= now) {
            self.next_whole_list = None;
            self.fetch(now);
        }
    }

    /// While the target brings nothing a second call begins beside the first, which an outage may have lost. Not behind
    /// a refusal, nor behind a watch that discovery has ended itself: it is there, and each call takes a turn of its
    /// queue.
    fn second_call_at(&self) -> Option<Duration> {
        let waiting = self.waiting_on_target();
        let is_there = self.crowded || matches!(self.lease.state(), LeaseState::WatchEnded { .. });
        let may_begin = (1..MAX_WATCH_CALLS).contains(&waiting) && !is_there && self.next_watch.is_none();
        may_begin.then_some(self.last_watch_call + SECOND_CALL_AFTER)
    }

    fn waiting_on_target(&self) -> usize {
        self.calls.iter().filter(|call| call.is_waiting_watch() && call.epoch == self.target).count()
    }

    fn watch_in_force(&self) -> Option<&OutCall> {
        self.calls.iter().find(|call| call.progress == Progress::Up)
    }

    /// Whether a first line on this call makes it the watch in force.
    fn opens(&self, call: &OutCall) -> bool {
        match self.watch_in_force() {
            Some(up) => call.epoch > up.epoch,
            None => call.epoch >= self.versions.epoch(),
        }
    }

    /// The watch of a call becomes the one in force; one on a server before it is left.
    fn opened(&mut self, now: Duration, at: usize, list: Option<EndpointList>) {
        let call = self.calls[at];
        if let Some(before) = self.watch_in_force().map(|up| up.id) {
            self.actions.push(Action::Cancel(before));
            self.calls.retain(|out| out.id != before);
        }
        for out in self.calls.iter_mut().filter(|out| out.id == call.id) {
            out.progress = Progress::Up;
        }
        self.versions.watch_opened(call.epoch, list.as_ref());
        self.backoff.reset();
        if call.epoch == self.target {
            (self.crowded, self.next_watch, self.unsettled_since) = (false, None, None);
        }
        // Without a list: it works again, and the next failure is a first one.
        self.actions.push(list.map_or(Action::Unchanged, Action::Apply));
        self.heard(now, call.epoch);
    }

    /// The watch in force has brought a line. Where a whole list is still owed, it is asked for.
    fn heard(&mut self, now: Duration, epoch: Epoch) {
        let owed = self.versions.needs_whole_list();
        self.lease.line_received(now, epoch, !owed);
        self.next_whole_list = owed.then(|| self.next_whole_list.unwrap_or(now));
    }

    fn take_departures(&mut self, epoch: Epoch, list: Option<EndpointList>) {
        let departures = list.and_then(|list| self.versions.departures(epoch, list));
        self.actions.extend(departures.map(Action::Apply));
    }

    fn abandon(&mut self, at: usize) {
        let call = self.calls.swap_remove(at);
        self.actions.push(Action::Cancel(call.id));
    }

    /// The watch in force has ended. A call to another server that is awaited already is kept.
    fn watch_lost(&mut self, now: Duration, ending: EndReason) {
        match ending {
            EndReason::Silent => self.lease.watch_silent(),
            EndReason::Reset => self.lease.watch_reset(now),
            EndReason::Refused
            | EndReason::LocalError
            | EndReason::NotConnected
            | EndReason::NoResponse
            | EndReason::Failed => self.lease.watch_ended(now),
        }
        self.actions.push(Action::Report(Outcome::Failed));
        if self.waiting_on_target() == 0 && self.next_watch.is_none() {
            let draw = self.draw();
            self.next_watch = Some(now + MAX_JITTER.mul_f64(draw));
        }
    }

    fn watch_call_failed(&mut self, now: Duration, call: &OutCall, ending: EndReason) {
        self.crowded |= ending == EndReason::Refused;
        self.refused |= ending == EndReason::Refused;
        let held = now.saturating_sub(call.began);
        if ending == EndReason::Refused {
            self.longest_refused = self.longest_refused.max(held);
        }
        if self.waiting_on_target() > 0 {
            // The other call keeps its turn; what it brings decides, and the wait is that behind a refusal.
            if !self.refused {
                self.actions.push(Action::Report(Outcome::Failed));
            }
            return;
        }
        let refused = self.refused;
        self.actions.push(Action::Report(if refused { Outcome::Refused } else { Outcome::Failed }));
        let (took, draw) = (now.saturating_sub(self.last_watch_call.max(call.began)), self.draw());
        let wait = match ending {
            _ if refused => self.backoff.after_refusal(self.lease.refusal_cause(), took, draw),
            EndReason::LocalError => self.backoff.after_local_error(took, draw),
            _ => self.backoff.after_failure(took, draw),
        };
        self.next_watch = Some(now + wait);
        let (ending, held) =
            if refused { (EndReason::Refused, self.longest_refused) } else { (ending, held) };
        if let Some(reachability) = reachability_shown(ending, held) {
            self.lease.call_failed(now, FailedCall { reachability, started_at: call.began });
        }
    }

    fn whole_list_failed(&mut self, now: Duration, call: &OutCall, ending: EndReason) {
        let refused = ending == EndReason::Refused;
        self.actions.push(Action::Report(if refused { Outcome::Refused } else { Outcome::Failed }));
        if self.versions.needs_whole_list() && call.epoch == self.versions.epoch() {
            self.lease.whole_list_failed();
            let (took, draw) = (now.saturating_sub(call.began), self.draw());
            let wait = match ending {
                EndReason::Refused => {
                    self.whole_list_backoff.after_refusal(RefusalCause::TooManyCallers, took, draw)
                }
                EndReason::LocalError => self.whole_list_backoff.after_local_error(took, draw),
                _ => self.whole_list_backoff.after_failure(took, draw),
            };
            self.next_whole_list = Some(now + wait);
        }
    }

    fn call_watch(&mut self, now: Duration) {
        if self.waiting_on_target() == 0 {
            (self.refused, self.longest_refused) = (false, Duration::ZERO);
        }
        self.next_watch = None;
        self.unsettled_since = None;
        self.last_watch_call = now;
        self.lease.call_started(now);
        let after = self.versions.request_after(self.target);
        self.call(now, CallKind::Watch { after });
    }

    fn call(&mut self, now: Duration, kind: CallKind) {
        self.make_place();
        self.calls_made += 1;
        let (id, epoch) = (CallId(self.calls_made), self.target);
        let held = self.versions.version();
        self.calls.push(OutCall { id, epoch, kind, began: now, progress: Progress::Waiting, held });
        self.actions.push(Action::Call { id, epoch, kind });
    }

    /// Where too many calls are out, the oldest one to a server that was left is given up.
    fn make_place(&mut self) {
        if self.calls.len() < MAX_CALLS_OUT {
            return;
        }
        let oldest = self.calls.iter().position(|call| call.progress == Progress::Waiting);
        if let Some(oldest) = oldest {
            self.abandon(oldest);
        }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.draws.next_u32()) / f64::from(u32::MAX)
    }
}

/// What a call that ended so after so long says of whether discovery can be reached; nothing where it was not made.
fn reachability_shown(ending: EndReason, took: Duration) -> Option<Reachability> {
    match ending {
        EndReason::LocalError => None,
        EndReason::NotConnected => Some(Reachability::Unreachable),
        EndReason::NoResponse => Some(Reachability::Silent),
        EndReason::Refused if took >= IMMEDIATE_REFUSAL_LIMIT => Some(Reachability::Ambiguous),
        EndReason::Refused | EndReason::Failed | EndReason::Silent | EndReason::Reset => {
            Some(Reachability::Reachable)
        }
    }
}
