//! The state machine that keeps the endpoint list up to date.

use crate::backoff::Backoff;
use crate::calls::{ActiveCall, CallId, CallKind, CallState, Epoch};
use crate::lease::{FailedCall, Lease, LeaseState, Reachability};
use crate::settings::{LeaseSettings, Mode};
use crate::timing::{
    CONNECT_TIMEOUT, IMMEDIATE_REFUSAL_LIMIT, MAX_JITTER, MAX_WATCH_CALLS, SECOND_CALL_AFTER,
    SERVER_CHANGE_DEBOUNCE, SERVER_CHANGE_DEBOUNCE_LIMIT,
};
use crate::versions::Versions;
use curlewhub_balance::RefusalCause;
use curlewhub_config::list::EndpointList;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// The maximum number of concurrent calls, to all servers together.
const MAX_ACTIVE_CALLS: usize = 8;

/// Why a call or a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It was answered, but not with a list: discovery, or a proxy in front of it, refused the call.
    Refused,
    /// The call failed on this machine, and nothing reached discovery.
    LocalError,
    /// No connection was established.
    NotConnected,
    /// No answer was received in time, or the connection broke before one.
    NoResponse,
    /// Anything else: the answer is not a list, or discovery closed the watch normally.
    Failed,
    /// Nothing was received on an open watch for too long.
    Silent,
    /// The connection of an open watch was reset: the discovery process, or a host on the path to it, has failed.
    Reset,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call to a server.
    Call {
        /// The number of the call.
        id: CallId,
        /// The server to call.
        epoch: Epoch,
        /// What to request.
        kind: CallKind,
    },
    /// Close the connection of this call, and ignore anything that it still brings.
    Cancel(CallId),
    /// Apply this whole list, or these changes.
    Apply(EndpointList),
    /// Use only the endpoints with these uids, and those that later changes name, until a whole list is applied: the
    /// list of a new server counts as notified, and it has named no others.
    Restrict(Vec<String>),
    /// Discovery answers again, and the list has not changed.
    Unchanged,
    /// A call failed, or the watch ended. The current list stays.
    Report(Outcome),
}

/// What a failed call shows about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Discovery may be unavailable.
    Failed,
    /// Discovery is available, and has more callers than it can serve.
    Refused,
}

/// Keeps the endpoint list of a discovery service up to date.
#[derive(Debug)]
pub struct Client {
    versions: Versions,
    lease: Lease,
    backoff: Backoff,
    whole_list_backoff: Backoff,
    rng: Pcg32,
    /// The server that the current configuration names.
    server: Epoch,
    following: bool,
    calls: Vec<ActiveCall>,
    calls_made: u64,
    /// When the next watch call to the current server is due.
    next_watch: Option<Duration>,
    /// When the next call for a missing whole list is due.
    next_whole_list: Option<Duration>,
    last_watch_call: Duration,
    /// The time of the first server change since the last watch call; none if there was no change since.
    server_change_pending_since: Option<Duration>,
    /// The current server has refused a call and answered none since: it has too many callers.
    overloaded: bool,
    /// A call in the current group of overlapping watch calls to the current server was refused.
    any_refused: bool,
    /// The longest time that a call of that group took until it was refused.
    longest_refused_call: Duration,
    actions: Vec<Action>,
}

impl Client {
    /// Creates a client that does not follow the list yet.
    pub fn new(mode: Mode, settings: LeaseSettings, seed: u64, now: Duration) -> Self {
        Client {
            versions: Versions::new(0),
            lease: Lease::new(mode, settings, now),
            backoff: Backoff::default(),
            whole_list_backoff: Backoff::default(),
            rng: Pcg32::seed_from_u64(seed),
            server: Epoch::default(),
            following: false,
            calls: Vec::new(),
            calls_made: 0,
            next_watch: None,
            next_whole_list: None,
            last_watch_call: now,
            server_change_pending_since: None,
            overloaded: false,
            any_refused: false,
            longest_refused_call: Duration::ZERO,
            actions: Vec::new(),
        }
    }

    /// Sets the list that is known at the start.
    pub fn set_initial_list(&mut self, list: &EndpointList) {
        self.versions = Versions::from_initial(list);
    }

    /// Uses only the endpoints with these uids of the list that is known at the start: another process has confirmed no
    /// others. The whole list counts as missing, and is requested until it is received.
    pub fn restrict_initial_list(&mut self, now: Duration, uids: Vec<String>) {
        self.versions.whole_list_missing();
        self.next_whole_list = Some(now);
        self.actions.push(Action::Restrict(uids));
    }

    /// Returns the actions to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the lease, which bounds the use of the list.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// The version of the current list.
    pub fn version(&self) -> u64 {
        self.versions.version()
    }

    /// The server that the current configuration names.
    pub fn server(&self) -> Epoch {
        self.server
    }

    /// The server that the current list is from.
    pub fn list_server(&self) -> Epoch {
        self.versions.epoch()
    }

    /// Whether the whole list of the server that the current list is from is still missing.
    pub fn needs_whole_list(&self) -> bool {
        self.versions.needs_whole_list()
    }

    /// Whether a watch is open, on the current server or on an earlier one.
    pub fn is_watching(&self) -> bool {
        self.open_watch().is_some()
    }

    /// Starts to follow the list. If it is followed already and a watch is open, reports that nothing has changed.
    pub fn follow(&mut self, now: Duration) {
        if self.following {
            if self.is_watching() {
                self.actions.push(Action::Unchanged);
            }
            return;
        }
        self.following = true;
        self.start_watch_call(now);
    }

    /// Stops following the list.
    pub fn unfollow(&mut self, now: Duration) {
        self.following = false;
        (self.next_watch, self.next_whole_list) = (None, None);
        for call in std::mem::take(&mut self.calls) {
            self.actions.push(Action::Cancel(call.id));
        }
        self.lease.watch_cancelled(now);
        self.actions.push(Action::Unchanged);
    }

    /// Requests the whole list once, in addition to the watch. At most one such call to the current server is active
    /// at a time; its answer also serves requests made in the meantime.
    pub fn fetch(&mut self, now: Duration) {
        if !self.calls.iter().any(|call| call.kind == CallKind::WholeList && call.epoch == self.server) {
            self.start_call(now, CallKind::WholeList);
        }
    }

    /// Switches to another server. An open watch on the server before is cancelled, because discovery would have to
    /// serve two watches for each change. Calls pending in the queue of that server continue, and their answers are
    /// used until the new server has answered.
    pub fn server_changed(&mut self, now: Duration) {
        let awaiting_answer = self.server > self.versions.epoch();
        self.record_connected_calls(now);
        self.server = Epoch(self.server.0 + 1);
        self.lease.server_changed(now, self.server, !awaiting_answer);
        self.following = true;
        self.overloaded = false;
        self.backoff.reset();
        self.next_whole_list = None;
        self.cancel_watch_before(now, self.server);
        if awaiting_answer {
            let since = *self.server_change_pending_since.get_or_insert(now);
            self.next_watch =
                Some((now + SERVER_CHANGE_DEBOUNCE).min(since + SERVER_CHANGE_DEBOUNCE_LIMIT).max(now));
        } else {
            self.start_watch_call(now);
        }
    }

    /// Records a call to the current server that has taken longer than a connection may: it has one.
    fn record_connected_calls(&mut self, now: Duration) {
        let is_connected =
            |call: &ActiveCall| call.epoch == self.server && call.started_at + CONNECT_TIMEOUT < now;
        if self.calls.iter().any(is_connected) {
            self.lease.server_reached();
        }
    }

    /// Handles a complete line of a watch: a whole list, changes, or an empty line.
    pub fn watch_line(&mut self, now: Duration, id: CallId, list: Option<EndpointList>) {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls[at];
        match call.state {
            // An empty line confirms nothing if no version of the list of that server is known.
            CallState::Pending if list.is_none() && call.epoch > self.versions.epoch() => {}
            CallState::Pending if self.becomes_open_watch(&call) => self.watch_opened(now, at, list),
            // The other of two watch calls has opened first. What this line says counts as notified all the same.
            CallState::Pending => {
                self.cancel(at);
                self.apply_redundant_line(now, &call, list);
            }
            CallState::Open => {
                self.backoff.reset();
                if let Some(list) = list {
                    self.versions.apply_watch_line(&list);
                    self.actions.push(Action::Apply(list));
                }
                self.line_received(now, call.epoch);
                if self.versions.pending_limit_exceeded() {
                    self.cancel(at);
                    self.watch_lost(now, EndReason::Failed);
                }
            }
        }
    }

    /// Applies the first line of a watch that is not needed: a whole list if that is missing, or else departures alone.
    fn apply_redundant_line(&mut self, now: Duration, call: &ActiveCall, list: Option<EndpointList>) {
        let is_missing = self.versions.needs_whole_list() && call.epoch == self.versions.epoch();
        match list {
            Some(list) if list.is_complete && is_missing => self.apply_whole_list(now, call, list),
            list => self.apply_departures(call.epoch, list),
        }
    }

    /// Handles the answer to a call for a whole list.
    pub fn whole_list(&mut self, now: Duration, id: CallId, list: EndpointList) {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.swap_remove(at);
        self.overloaded &= call.epoch != self.server;
        self.apply_whole_list(now, &call, list);
    }

    fn apply_whole_list(&mut self, now: Duration, call: &ActiveCall, list: EndpointList) {
        match self.versions.merge_whole_list(call.epoch, call.version_at_start, list) {
            Some(list) => {
                self.cancel_watch_before(now, call.epoch);
                self.lease.whole_list_received(now, call.epoch);
                self.whole_list_backoff.reset();
                self.next_whole_list = None;
                self.actions.push(Action::Apply(list));
            }
            None => self.actions.push(Action::Unchanged),
        }
    }

    /// Cancels the open watch if it is on a server before `epoch`: it brings no changes of that server's list.
    fn cancel_watch_before(&mut self, now: Duration, epoch: Epoch) {
        let is_before = |call: &ActiveCall| call.state == CallState::Open && call.epoch < epoch;
        if let Some(at) = self.calls.iter().position(is_before) {
            self.cancel(at);
            self.lease.watch_cancelled(now);
        }
    }

    /// Handles the entries received so far of a list that was truncated or takes long.
    pub fn partial_list(&mut self, id: CallId, list: EndpointList) {
        let Some(call) = self.calls.iter().find(|call| call.id == id).copied() else { return };
        self.apply_departures(call.epoch, Some(list));
    }

    /// Handles the failure of a call, or the end of an open watch.
    pub fn call_ended(&mut self, now: Duration, id: CallId, reason: EndReason) {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.swap_remove(at);
        match (call.kind, call.state) {
            (CallKind::WholeList, _) => self.whole_list_failed(now, &call, reason),
            (CallKind::Watch { .. }, CallState::Open) => self.watch_lost(now, reason),
            (CallKind::Watch { .. }, CallState::Pending) if call.epoch == self.server => {
                self.watch_call_failed(now, &call, reason);
            }
            (CallKind::Watch { .. }, CallState::Pending) => {}
        }
    }

    /// When [`timer`](Self::timer) has to be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        let times = [self.next_watch, self.next_whole_list, self.second_call_at(), self.next_restriction()];
        times.into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn timer(&mut self, now: Duration) {
        self.restrict_to_named(now);
        if self.next_watch.is_some_and(|at| at <= now) || self.second_call_at().is_some_and(|at| at <= now)
        {
            self.start_watch_call(now);
        }
        if self.next_whole_list.is_some_and(|at| at <= now) {
            self.next_whole_list = None;
            self.fetch(now);
        }
    }

    /// When the next server change counts as notified. None if its server has not named any endpoint: then nothing stays
    /// in use.
    fn next_restriction(&self) -> Option<Duration> {
        let (epoch, notified_at) = self.lease.incomplete_server_change()?;
        self.versions.names_endpoint_up_since(epoch).then_some(notified_at)
    }

    /// Takes the endpoints out of use that only servers before a change have named, once the change counts as notified.
    fn restrict_to_named(&mut self, now: Duration) {
        while let Some((epoch, notified_at)) = self.lease.incomplete_server_change() {
            if notified_at > now || !self.versions.names_endpoint_up_since(epoch) {
                return;
            }
            self.lease.restricted_to_named(epoch);
            self.actions.push(Action::Restrict(self.versions.named_since(epoch)));
        }
    }

    /// When to start a second watch call while the first is pending, which an outage may have lost. None after a
    /// refusal, or after discovery has ended the watch itself: it is available then, and each call takes a place in
    /// its queue.
    fn second_call_at(&self) -> Option<Duration> {
        let pending = self.pending_watch_calls();
        let is_available = self.overloaded || matches!(self.lease.state(), LeaseState::WatchEnded { .. });
        let may_start =
            (1..MAX_WATCH_CALLS).contains(&pending) && !is_available && self.next_watch.is_none();
        may_start.then_some(self.last_watch_call + SECOND_CALL_AFTER)
    }

    fn pending_watch_calls(&self) -> usize {
        self.calls.iter().filter(|call| call.is_pending_watch() && call.epoch == self.server).count()
    }

    fn open_watch(&self) -> Option<&ActiveCall> {
        self.calls.iter().find(|call| call.state == CallState::Open)
    }

    /// Whether the first line on a pending call makes it the open watch.
    fn becomes_open_watch(&self, call: &ActiveCall) -> bool {
        match self.open_watch() {
            Some(open) => call.epoch > open.epoch,
            None => call.epoch >= self.versions.epoch(),
        }
    }

    /// Makes a pending call the open watch, and cancels the open watch on an earlier server.
    fn watch_opened(&mut self, now: Duration, at: usize, list: Option<EndpointList>) {
        let call = self.calls[at];
        if let Some(previous) = self.open_watch().map(|open| open.id) {
            self.actions.push(Action::Cancel(previous));
            self.calls.retain(|active| active.id != previous);
        }
        for active in self.calls.iter_mut().filter(|active| active.id == call.id) {
            active.state = CallState::Open;
        }
        let list = self.versions.watch_opened(call.epoch, list);
        self.backoff.reset();
        if call.epoch == self.server {
            (self.overloaded, self.next_watch, self.server_change_pending_since) = (false, None, None);
        }
        // An empty line shows that discovery answers again, and the next failure counts as the first.
        self.actions.push(list.map_or(Action::Unchanged, Action::Apply));
        self.line_received(now, call.epoch);
    }

    /// Records a line on the open watch, and schedules the call for the whole list if that is still missing.
    fn line_received(&mut self, now: Duration, epoch: Epoch) {
        let missing = self.versions.needs_whole_list();
        self.lease.line_received(now, epoch, !missing);
        self.next_whole_list = missing.then(|| self.next_whole_list.unwrap_or(now));
        self.restrict_to_named(now);
    }

    fn apply_departures(&mut self, epoch: Epoch, list: Option<EndpointList>) {
        let departures = list.and_then(|list| self.versions.departures(epoch, list));
        self.actions.extend(departures.map(Action::Apply));
    }

    fn cancel(&mut self, at: usize) {
        let call = self.calls.swap_remove(at);
        self.actions.push(Action::Cancel(call.id));
    }

    /// Handles the end of the open watch. A pending watch call to the current server continues.
    fn watch_lost(&mut self, now: Duration, reason: EndReason) {
        match reason {
            EndReason::Silent => self.lease.watch_silent(),
            EndReason::Reset => self.lease.watch_reset(now),
            EndReason::Refused
            | EndReason::LocalError
            | EndReason::NotConnected
            | EndReason::NoResponse
            | EndReason::Failed => self.lease.watch_ended(now),
        }
        self.actions.push(Action::Report(Outcome::Failed));
        if self.pending_watch_calls() == 0 && self.next_watch.is_none() {
            let random = self.random_fraction();
            self.next_watch = Some(now + MAX_JITTER.mul_f64(random));
        }
    }

    fn watch_call_failed(&mut self, now: Duration, call: &ActiveCall, reason: EndReason) {
        if self.open_watch().is_some_and(|open| open.epoch == call.epoch) {
            return; // the other of two watch calls has opened
        }
        if !matches!(reason, EndReason::NotConnected | EndReason::LocalError) {
            self.lease.server_reached();
        }
        self.record_connected_calls(now);
        self.overloaded |= reason == EndReason::Refused;
        self.any_refused |= reason == EndReason::Refused;
        let held = now.saturating_sub(call.started_at);
        if reason == EndReason::Refused {
            self.longest_refused_call = self.longest_refused_call.max(held);
        }
        if self.pending_watch_calls() > 0 {
            // The other call keeps its place in the queue, and its result decides. If it fails too, and either was
            // refused, the wait is the one after a refusal.
            if !self.any_refused {
                self.actions.push(Action::Report(Outcome::Failed));
            }
            return;
        }
        let refused = self.any_refused;
        self.actions.push(Action::Report(if refused { Outcome::Refused } else { Outcome::Failed }));
        let (took, random) =
            (now.saturating_sub(self.last_watch_call.max(call.started_at)), self.random_fraction());
        let wait = match reason {
            _ if refused => self.backoff.after_refusal(self.lease.refusal_cause(), took, random),
            EndReason::LocalError => self.backoff.after_local_error(took, random),
            _ => self.backoff.after_failure(took, random),
        };
        self.next_watch = Some(now + wait);
        let (reason, held) =
            if refused { (EndReason::Refused, self.longest_refused_call) } else { (reason, held) };
        if let Some(reachability) = reachability_shown(reason, held) {
            self.lease.call_failed(now, FailedCall { reachability, started_at: call.started_at });
        }
    }

    fn whole_list_failed(&mut self, now: Duration, call: &ActiveCall, reason: EndReason) {
        let refused = reason == EndReason::Refused;
        self.actions.push(Action::Report(if refused { Outcome::Refused } else { Outcome::Failed }));
        if call.epoch == self.server && !matches!(reason, EndReason::NotConnected | EndReason::LocalError) {
            self.lease.server_reached();
        }
        if self.versions.needs_whole_list() && call.epoch == self.versions.epoch() {
            let (took, random) = (now.saturating_sub(call.started_at), self.random_fraction());
            let wait = match reason {
                EndReason::Refused => {
                    self.whole_list_backoff.after_refusal(RefusalCause::TooManyCallers, took, random)
                }
                EndReason::LocalError => self.whole_list_backoff.after_local_error(took, random),
                _ => self.whole_list_backoff.after_failure(took, random),
            };
            self.next_whole_list = Some(now + wait);
        }
    }

    fn start_watch_call(&mut self, now: Duration) {
        if self.pending_watch_calls() == 0 {
            (self.any_refused, self.longest_refused_call) = (false, Duration::ZERO);
        }
        self.next_watch = None;
        self.server_change_pending_since = None;
        self.last_watch_call = now;
        self.lease.call_started(now);
        let after = self.versions.request_after(self.server);
        self.start_call(now, CallKind::Watch { after });
    }

    fn start_call(&mut self, now: Duration, kind: CallKind) {
        self.enforce_call_limit();
        self.calls_made += 1;
        let (id, epoch) = (CallId(self.calls_made), self.server);
        let version_at_start = self.versions.version();
        self.calls.push(ActiveCall {
            id,
            epoch,
            kind,
            started_at: now,
            state: CallState::Pending,
            version_at_start,
        });
        self.actions.push(Action::Call { id, epoch, kind });
    }

    /// If too many calls are active, cancels the first pending one: normally the oldest call, to a server that has been
    /// replaced.
    fn enforce_call_limit(&mut self) {
        if self.calls.len() < MAX_ACTIVE_CALLS {
            return;
        }
        let oldest = self.calls.iter().position(|call| call.state == CallState::Pending);
        if let Some(oldest) = oldest {
            self.cancel(oldest);
        }
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}

/// What a call that ended for this reason after this time shows about whether discovery can be reached; `None` if the
/// call was not made.
fn reachability_shown(reason: EndReason, took: Duration) -> Option<Reachability> {
    match reason {
        EndReason::LocalError => None,
        EndReason::NotConnected => Some(Reachability::Unreachable),
        EndReason::NoResponse => Some(Reachability::Silent),
        EndReason::Refused if took >= IMMEDIATE_REFUSAL_LIMIT => Some(Reachability::Ambiguous),
        EndReason::Refused | EndReason::Failed | EndReason::Silent | EndReason::Reset => {
            Some(Reachability::Reachable)
        }
    }
}
