//! The lifecycle of the process: starting, ready, draining, terminating. It is the one source for everything that
//! depends on whether the process serves: `/-/ready`, operators' calls, and signals.

use super::shutdown::ShutdownDeadline;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::info;

/// The state of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not everything that serving requires is ready yet.
    Starting,
    /// Serving.
    Ready,
    /// Draining at an operator's request, which can be undone.
    Draining,
    /// Terminating; final.
    Terminating,
}

/// The last request that was made of the process.
#[derive(Clone, Copy, PartialEq)]
enum Request {
    Serve,
    /// Drain, since then.
    Drain(Instant),
    Terminate(ShutdownDeadline),
}

/// The state of the process, and the transitions between states.
pub struct Lifecycle {
    started: Cell<bool>,
    request: Cell<Request>,
    /// The longest deadline of all classes: the time between SIGTERM and SIGKILL depends on it.
    longest_deadline: Duration,
    changed: Notify,
}

impl Lifecycle {
    /// A starting process whose classes have this longest deadline.
    pub fn new(longest_deadline: Duration) -> Rc<Self> {
        let (started, request) = (Cell::new(false), Cell::new(Request::Serve));
        Rc::new(Lifecycle { started, request, longest_deadline, changed: Notify::new() })
    }

    /// The current state.
    pub fn state(&self) -> State {
        match (self.request.get(), self.started.get()) {
            (Request::Terminate(_), _) => State::Terminating,
            (Request::Drain(_), _) => State::Draining,
            (Request::Serve, true) => State::Ready,
            (Request::Serve, false) => State::Starting,
        }
    }

    /// Whether the process is ready to serve clients.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Ready
    }

    /// When clients were first to leave; none while they need not.
    pub fn draining_since(&self) -> Option<Instant> {
        match self.request.get() {
            Request::Serve => None,
            Request::Drain(at) => Some(at),
            Request::Terminate(end) => Some(end.requested_at()),
        }
    }

    /// The shutdown deadline of a terminating process.
    pub fn shutdown(&self) -> Option<ShutdownDeadline> {
        match self.request.get() {
            Request::Terminate(end) => Some(end),
            Request::Serve | Request::Drain(_) => None,
        }
    }

    /// Waits until the process is terminating, and returns its deadline.
    pub async fn terminating(&self) -> ShutdownDeadline {
        loop {
            self.wait_for(|state| state == State::Terminating).await;
            if let Some(end) = self.shutdown() {
                return end;
            }
        }
    }

    /// Ends the start: everything that serving requires is ready.
    pub fn start_completed(&self) {
        if !self.started.replace(true) {
            self.notify();
        }
    }

    /// Drains at an operator's request; always accepted. Repeated requests keep the time of the first.
    pub fn drain(&self) -> bool {
        if self.request.get() == Request::Serve {
            self.request.set(Request::Drain(Instant::now()));
            self.notify();
        }
        true
    }

    /// Ends a drain at an operator's request. Returns whether the process is ready then.
    pub fn resume(&self) -> bool {
        match self.request.get() {
            Request::Terminate(_) => return false,
            Request::Drain(_) => {
                self.request.set(Request::Serve);
                self.notify();
            }
            Request::Serve => {}
        }
        self.is_ready()
    }

    /// Terminates the process; the deadline runs from the first call.
    pub fn terminate(&self) {
        if !matches!(self.request.get(), Request::Terminate(_)) {
            let end = ShutdownDeadline::new(Instant::now(), self.longest_deadline);
            self.request.set(Request::Terminate(end));
            self.notify();
        }
    }

    /// Waits until the state is a wanted one.
    pub async fn wait_for(&self, wanted: impl Fn(State) -> bool) {
        loop {
            // Registered before the state is read, so that no change in between is missed.
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if wanted(self.state()) {
                return;
            }
            changed.await;
        }
    }

    fn notify(&self) {
        info!(state = ?self.state(), "lifecycle state changed");
        self.changed.notify_waiters();
    }
}
