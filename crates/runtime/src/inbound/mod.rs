//! Client connections: accepts them within the socket budget, and drains them at shutdown.

mod answered_ids;
mod backlog;
mod connection;
mod exchange;
mod request;
mod upload_watch;

use crate::budget::{Budget, Holder, Permit};
use crate::connect::lacks_resources;
use crate::events::{Inbox, Input};
use crate::figures::Metrics;
use crate::handover::Handover;
use crate::lifecycle::{Lifecycle, State};
use crate::outbound::Outbound;
use crate::sent_jobs::JobIdentity;
use crate::shutdown::{Phase, ShutdownDeadline};
use answered_ids::AnsweredIds;
use backlog::{Backlog, PendingInput};
use connection::{ClientConnection, Stage};
use curlewhub_balance::{ClassId, Semantics, Settings};
use curlewhub_config::Names;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

/// Wait after a failed accept: without free descriptors a retry would fail at once and spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The listen backlog counts as empty once no connection has been accepted for this long.
const BACKLOG_EMPTY_AFTER: Duration = Duration::from_millis(30);
/// If the client limit is reached, connections are closed that have been idle between requests for this
/// long ...
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// ... or have sent no request within this time of being accepted: a client that has one sends it at once.
const MIN_SILENT_TIME: Duration = Duration::from_millis(50);
/// Interval between checks for a connection to close while there is none.
const EVICTION_RETRY: Duration = Duration::from_millis(10);
/// In an operator's drain, idle connections are closed from this long after the call on. 4 s after the call
/// no connection may be idle, and none may have brought a request in the 2 s before that. New connections
/// arrive for another 0.3 s.
const DRAIN_IDLE_DELAY: Duration = Duration::from_millis(1500);
/// Interval between the checks for idle connections during a drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State that all client connections share.
pub struct Inbound {
    settings: Settings,
    /// For each class, whether a repeated request must keep to one group of endpoints; only then is its
    /// idempotency key used.
    is_grouped: Vec<bool>,
    classes: Vec<String>,
    tenants: Vec<String>,
    budget: Rc<Budget>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next_id: Cell<u64>,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    answered_ids: Rc<AnsweredIds>,
    backlog: Backlog,
    /// A connection that waits for a permit.
    accepted: Cell<Option<TcpStream>>,
    /// Accept is failing; it is logged once until it succeeds again.
    accept_failing: Cell<bool>,
    /// Open connections, in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Request ids, as chosen by the clients, of the requests in progress.
    open_ids: RefCell<HashSet<HeaderValue>>,
}

impl Inbound {
    /// An instance without connections.
    pub fn new(
        settings: Settings,
        names: &Names,
        budget: Rc<Budget>,
        outbound: Rc<Outbound>,
        lifecycle: Rc<Lifecycle>,
        metrics: Rc<Metrics>,
        inbox: Inbox,
    ) -> Rc<Self> {
        let list = |names: &[curlewhub_config::Named]| names.iter().map(|n| n.name.clone()).collect();
        let is_grouped =
            crate::idempotency_keys::repeat_windows(&settings).iter().map(Option::is_some).collect();
        Rc::new(Inbound {
            classes: list(&names.classes),
            tenants: list(&names.tenants),
            is_grouped,
            settings,
            budget,
            outbound,
            inbox,
            next_id: Cell::new(0),
            lifecycle,
            metrics,
            answered_ids: Rc::default(),
            backlog: Backlog::default(),
            accepted: Cell::default(),
            accept_failing: Cell::new(false),
            connections: RefCell::default(),
            open_ids: RefCell::default(),
        })
    }

    /// By what a request's job is recognized when it comes again.
    fn job_identity(&self, class: ClassId, id: &HeaderValue, key: Option<&HeaderValue>) -> JobIdentity {
        let name = &self.classes[class.0];
        let is_safe = self.settings.classes[class.0].semantics == Semantics::Safe;
        JobIdentity {
            key: key
                .filter(|_| self.is_grouped[class.0])
                .map(|key| curlewhub_keys::hash(name, key.as_bytes())),
            id: (!is_safe).then(|| curlewhub_keys::hash(name, id.as_bytes())),
        }
    }

    /// Serves until shutdown, then drains: every connection that the kernel has accepted gets its response.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, handover: Rc<Handover>) {
        spawn_local(self.clone().close_idle_during_drain());
        tokio::select! {
            // Until the start is complete, the predecessor process accepts connections, as long as it
            // lives.
            () = self.lifecycle.wait_for(|state| state != State::Starting) => {}
            () = handover.predecessor_exited() => {}
        }
        let end = loop {
            tokio::select! {
                end = self.lifecycle.terminating() => break end,
                () = self.accept(&listener) => {}
            }
        };
        self.shut_down(listener, &handover, end).await;
    }

    /// Completes the requests that were received, and ends all connections before a SIGKILL is due.
    async fn shut_down(self: &Rc<Self>, listener: TcpListener, handover: &Handover, end: ShutdownDeadline) {
        info!(clients = self.budget.clients(), "draining");
        let succeeded = handover.has_successor();
        let drain_end = end.start_of(Phase::Draining, succeeded);
        let failing_start = end.start_of(Phase::Failing, succeeded);
        if !succeeded {
            while timeout_at(drain_end, self.accept(&listener)).await.is_ok() {}
            // Connections in the backlog count as accepted: closing the listener would reset them. A
            // successor accepts from the same backlog.
            while Instant::now() < failing_start
                && timeout(BACKLOG_EMPTY_AFTER, self.accept(&listener)).await.is_ok()
            {}
        }
        if let Some(stream) = self.accepted.take() {
            self.start_connection(stream, None);
        }
        drop(listener);
        handover.close_listener();
        let _ = timeout_at(drain_end, self.all_closed()).await;
        self.connections.borrow().values().for_each(|connection| connection.close_signal.notify_one());
        if timeout_at(failing_start, self.all_closed()).await.is_err() {
            let _ = self.inbox.send(Input::FailOpenRequests);
            let _ = timeout_at(end.start_of(Phase::Exiting, succeeded), self.all_closed()).await;
        }
        self.connections.borrow().values().for_each(|connection| connection.reset_if_responding());
        info!(millis = end.requested_at().elapsed().as_millis() as u64, "drained");
    }

    /// While an operator drains the sidecar, closes connections that are between requests.
    async fn close_idle_during_drain(self: Rc<Self>) {
        loop {
            self.lifecycle.wait_for(|state| state == State::Draining).await;
            if self.lifecycle.draining_since().is_some_and(|at| at.elapsed() >= DRAIN_IDLE_DELAY) {
                for connection in self.connections.borrow().values() {
                    let is_between = connection.idle_time().is_some() || connection.silent_time().is_some();
                    // A request of which the kernel already holds bytes is served first.
                    if is_between && !connection.monitor.has_pending_input() {
                        connection.close_signal.notify_one();
                    }
                }
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    async fn all_closed(&self) {
        while self.budget.clients() > 0 {
            self.budget.client_released().await;
        }
    }

    /// Accepts one connection, and serves it once a permit or a place for a refusal is available. A connection that was
    /// accepted before this was cancelled comes first.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let accepted = match self.accepted.take() {
            Some(stream) => Ok(stream),
            None => self.backlog.accept(listener).await,
        };
        let stream = match accepted {
            Ok(stream) => stream,
            Err(e) => return self.accept_failed(&e).await,
        };
        self.accept_failing.set(false);
        let input = backlog::pending_input(&stream);
        // Nothing is owed to a client that has left, and a flood of such takes no place from others.
        if input == PendingInput::Ended {
            return;
        }
        if let Some(permit) = self.try_acquire_permit() {
            return self.start_connection(stream, Some(permit));
        }
        if input == PendingInput::NoRequest && self.backlog.is_long() {
            return;
        }
        self.accepted.set(Some(stream));
        let permit = self.acquire_permit().await;
        if let Some(stream) = self.accepted.take() {
            self.start_connection(stream, permit);
        }
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream, permit: Option<Permit>) {
        let permit = permit.or_else(|| self.budget.try_acquire(Holder::Client));
        let shed = permit.is_none();
        let permit = permit.or_else(|| self.budget.try_acquire(Holder::Shed));
        let this = self.clone();
        spawn_local(async move { this.handle_connection(stream, shed, permit).await });
    }

    async fn accept_failed(&self, error: &io::Error) {
        if !self.accept_failing.replace(true) {
            warn!(%error, "accept");
        }
        // Not every failure is a lack of resources here: the client may have disconnected before it
        // was accepted, or the network may be down.
        if lacks_resources(error) {
            self.outbound.close_oldest_idle();
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Returns a permit for one more client, if one is available now.
    fn try_acquire_permit(&self) -> Option<Permit> {
        while self.budget.is_full_of_endpoints() && self.outbound.close_oldest_idle() {}
        self.budget.try_acquire(Holder::Client)
    }

    /// Returns a permit for one more client; none if the client can only be refused because the limit is
    /// reached.
    async fn acquire_permit(&self) -> Option<Permit> {
        loop {
            if let Some(permit) = self.try_acquire_permit() {
                return Some(permit);
            }
            // A lingering connection has already sent its last response; the oldest one did so first.
            if !self.end_lingering()
                && !self.evict_connection()
                && let Some(permit) = self.budget.try_acquire(Holder::Shed)
            {
                drop(permit);
                return None;
            }
            let _ = timeout(EVICTION_RETRY, self.budget.client_released()).await;
        }
    }

    /// Ends the oldest lingering connection. Returns whether there is one.
    fn end_lingering(&self) -> bool {
        let connections = self.connections.borrow();
        let is_lingering = |connection: &&Rc<ClientConnection>| {
            connection.stage() == Stage::Lingering && !connection.close_requested.get()
        };
        let oldest = connections.values().find(is_lingering);
        oldest.inspect(|connection| {
            connection.close_requested.set(true);
            connection.evict_signal.notify_one();
        });
        oldest.is_some()
    }

    /// Closes the connection whose loss matters least: the one that has been open longest without sending
    /// anything, else the one that has been idle longest, else the one that has been in the middle of a
    /// request's head for longest. If there is none, the next response of one connection is marked as its
    /// last. Returns whether a connection is closed, or will be once it has sent nothing for
    /// `MIN_SILENT_TIME`.
    fn evict_connection(&self) -> bool {
        let connections = self.connections.borrow();
        let is_ending = |connection: &Rc<ClientConnection>| {
            matches!(connection.stage(), Stage::Closing | Stage::Lingering)
        };
        let open = || {
            connections
                .values()
                .filter(move |connection| !connection.close_requested.get() && !is_ending(connection))
        };
        let silent = open().find(|connection| connection.silent_time().is_some());
        if silent
            .is_some_and(|connection| connection.silent_time().is_some_and(|time| time < MIN_SILENT_TIME))
        {
            return true;
        }
        let idle = || {
            let idle = open().filter_map(|connection| Some((connection.idle_time()?, connection)));
            idle.filter(|(time, _)| *time >= MIN_IDLE_TIME)
                .max_by_key(|(time, _)| *time)
                .map(|(_, connection)| connection)
        };
        let partial = || {
            let partial =
                open().filter_map(|connection| Some((connection.partial_head_time()?, connection)));
            partial
                .filter(|(time, _)| *time >= MIN_SILENT_TIME)
                .max_by_key(|(time, _)| *time)
                .map(|(_, connection)| connection)
        };
        match silent.or_else(idle).or_else(partial) {
            Some(connection) => {
                connection.close_requested.set(true);
                connection.close_signal.notify_one();
                true
            }
            None => {
                // A connection that was just used is likely to be used again at once, and a request that
                // crosses our close is lost, or sent twice. So it is not closed; its next response says
                // `Connection: close`.
                if let Some(connection) = open().find(|connection| !connection.last_response.get()) {
                    connection.last_response.set(true);
                }
                false
            }
        }
    }
}
