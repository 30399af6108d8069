//! Clients' connections: accepts them within the budget, and drains at the end.

mod connection;
mod exchange;
mod request;

use crate::budget::{Budget, Holder, Permit};
use crate::connect::lacks_resources;
use crate::events::{Inbox, Input};
use crate::figures::Metrics;
use crate::handover::Handover;
use crate::lifecycle::{Lifecycle, State};
use crate::outbound::Outbound;
use crate::shutdown::{Phase, ShutdownDeadline};
use connection::{Stage, Turn};
use curlewhub_balance::Settings;
use curlewhub_config::Names;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The backlog is empty once nothing has come out of it for this long.
const BACKLOG_EMPTY: Duration = Duration::from_millis(30);
/// Where room is wanted, connections are closed that have been between requests for this long ...
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// ... or are this old and have brought no request: who has one sends it at once.
const SILENT_LEAST: Duration = Duration::from_millis(50);
/// Where nobody can be closed, that is looked at again after this.
const ROOM_RECHECK: Duration = Duration::from_millis(10);
/// Told by an operator to drain, idle connections are closed from this long after the call on: none may
/// be idle 4 s after it, nor have brought a request in the 2 s before that. New ones come for 0.3 s.
const DRAIN_IDLE: Duration = Duration::from_millis(1500);
/// How often idle connections are looked for then.
const DRAIN_CHECK: Duration = Duration::from_millis(100);

/// What all clients' connections share.
pub struct Inbound {
    settings: Settings,
    /// By class, whether a repeat must keep to a group of endpoints.
    grouped: Vec<bool>,
    classes: Vec<String>,
    tenants: Vec<String>,
    budget: Rc<Budget>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next: Cell<u64>,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    /// Accepting fails; said once in the log until it works again.
    failing: Cell<bool>,
    /// The connections in the order of their coming.
    connections: RefCell<BTreeMap<u64, Rc<Turn>>>,
    /// The clients' own ids of the requests that are open.
    open: RefCell<HashSet<HeaderValue>>,
}

impl Inbound {
    /// No clients yet.
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
        let grouped =
            crate::idempotency_keys::repeat_windows(&settings).iter().map(Option::is_some).collect();
        Rc::new(Inbound {
            classes: list(&names.classes),
            tenants: list(&names.tenants),
            grouped,
            settings,
            budget,
            outbound,
            inbox,
            next: Cell::new(0),
            lifecycle,
            metrics,
            failing: Cell::new(false),
            connections: RefCell::default(),
            open: RefCell::default(),
        })
    }

    /// Serves until told to end, then drains: all that the kernel has accepted is answered.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, handover: Rc<Handover>) {
        spawn_local(self.clone().part_from_idle());
        tokio::select! {
            // Until then the process before accepts, as long as it lives.
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

    /// Answers what has been taken, and ends all connections before SIGKILL may come.
    async fn shut_down(self: &Rc<Self>, listener: TcpListener, handover: &Handover, end: ShutdownDeadline) {
        info!(clients = self.budget.clients(), "draining");
        let succeeded = handover.has_successor();
        let drains = end.start_of(Phase::Draining, succeeded);
        let fails = end.start_of(Phase::Failing, succeeded);
        if !succeeded {
            while timeout_at(drains, self.accept(&listener)).await.is_ok() {}
            // What still waits in the backlog counts as taken: closing the listener would reset it. A successor
            // accepts from the same backlog.
            while Instant::now() < fails && timeout(BACKLOG_EMPTY, self.accept(&listener)).await.is_ok() {}
        }
        drop(listener);
        handover.close_listener();
        let _ = timeout_at(drains, self.all_gone()).await;
        self.connections.borrow().values().for_each(|turn| turn.close.notify_one());
        if timeout_at(fails, self.all_gone()).await.is_err() {
            let _ = self.inbox.send(Input::FailOpenRequests);
            let _ = timeout_at(end.start_of(Phase::Exiting, succeeded), self.all_gone()).await;
        }
        self.connections.borrow().values().for_each(|turn| turn.cut_off());
        info!(millis = end.requested_at().elapsed().as_millis() as u64, "drained");
    }

    /// While an operator has the sidecar drained, closes connections between requests.
    async fn part_from_idle(self: Rc<Self>) {
        loop {
            self.lifecycle.wait_for(|state| state == State::Draining).await;
            if self.lifecycle.draining_since().is_some_and(|at| at.elapsed() >= DRAIN_IDLE) {
                for turn in self.connections.borrow().values() {
                    let between = turn.idle().is_some() || turn.silent().is_some();
                    // What the kernel already holds of a request is answered first.
                    if between && !turn.heard.pending() {
                        turn.close.notify_one();
                    }
                }
            }
            sleep(DRAIN_CHECK).await;
        }
    }

    async fn all_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.client_released().await;
        }
    }

    /// Accepts one connection, once there is room for it.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let permit = self.room().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                self.failing.set(false);
                let permit = permit.or_else(|| self.budget.try_acquire(Holder::Client));
                let shed = permit.is_none();
                let permit = permit.or_else(|| self.budget.try_acquire(Holder::Shed));
                let this = self.clone();
                spawn_local(async move { this.connection(stream, shed, permit).await });
            }
            Err(e) => {
                if !self.failing.replace(true) {
                    warn!(error = %e, "accept");
                }
                // A client that has gone before it was accepted, or a network that is down, is no lack of ours.
                if lacks_resources(&e) {
                    self.outbound.close_oldest_idle();
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    /// A permit for one more client; none where it can only be told that there is no room.
    async fn room(&self) -> Option<Permit> {
        loop {
            while self.budget.is_full_of_endpoints() && self.outbound.close_oldest_idle() {}
            if let Some(permit) = self.budget.try_acquire(Holder::Client) {
                return Some(permit);
            }
            // Who lingers has had its answer, the oldest for the longest.
            if !self.end_lingering()
                && !self.make_room()
                && let Some(permit) = self.budget.try_acquire(Holder::Shed)
            {
                drop(permit);
                return None;
            }
            let _ = timeout(ROOM_RECHECK, self.budget.client_released()).await;
        }
    }

    /// Ends the oldest connection that only lingers; whether there is one.
    fn end_lingering(&self) -> bool {
        let connections = self.connections.borrow();
        let lingers = |turn: &&Rc<Turn>| turn.stage() == Stage::Lingering && !turn.closing.get();
        let oldest = connections.values().find(lingers);
        oldest.inspect(|turn| {
            turn.closing.set(true);
            turn.room.notify_one();
        });
        oldest.is_some()
    }

    /// Closes the connection that is missed least: who has been silent longest, else who has been idle longest, else
    /// who has been in the middle of a request's head for longest. Where there is none, somebody's next answer will be the connection's last. Whether one
    /// goes, or will as soon as its silence has lasted.
    fn make_room(&self) -> bool {
        let connections = self.connections.borrow();
        let ends = |turn: &Rc<Turn>| matches!(turn.stage(), Stage::Closing | Stage::Lingering);
        let open = || connections.values().filter(move |turn| !turn.closing.get() && !ends(turn));
        let silent = open().find(|turn| turn.silent().is_some());
        if silent.is_some_and(|turn| turn.silent().is_some_and(|time| time < SILENT_LEAST)) {
            return true;
        }
        let idle = || {
            let idle = open().filter_map(|turn| Some((turn.idle()?, turn)));
            idle.filter(|(time, _)| *time >= IDLE_LEAST).max_by_key(|(time, _)| *time).map(|(_, turn)| turn)
        };
        let partial = || {
            let partial = open().filter_map(|turn| Some((turn.partial()?, turn)));
            partial
                .filter(|(time, _)| *time >= SILENT_LEAST)
                .max_by_key(|(time, _)| *time)
                .map(|(_, turn)| turn)
        };
        match silent.or_else(idle).or_else(partial) {
            Some(turn) => {
                turn.closing.set(true);
                turn.close.notify_one();
                true
            }
            None => {
                // One just used is likely to be used again at once, and a request that crosses our
                // closing is lost, or sent twice: the next answer says that it is the last.
                if let Some(turn) = open().find(|turn| !turn.last.get()) {
                    turn.last.set(true);
                }
                false
            }
        }
    }
}
