//! Where the process stands between its start and its end. Everything that asks whether it serves
//! (`/-/ready`, the operators' calls, the signals) asks here and nowhere else.

use super::shutdown::ShutdownDeadline;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::info;

/// Where the process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not everything that serving takes is there yet.
    Starting,
    /// Serving.
    Ready,
    /// Told to drain; it may be told to serve again.
    Draining,
    /// Told to end; nothing undoes that.
    Terminating,
}

/// What the process was told last.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    Serve,
    Drain(Instant),
    End(ShutdownDeadline),
}

/// The state, and who changes it.
pub struct Lifecycle {
    complete: Cell<bool>,
    order: Cell<Order>,
    /// The longest deadline of all classes: the time between SIGTERM and SIGKILL depends on it.
    longest_deadline: Duration,
    changed: Notify,
}

impl Lifecycle {
    /// A process that is starting, with classes of this longest deadline.
    pub fn new(longest_deadline: Duration) -> Rc<Self> {
        let (complete, order) = (Cell::new(false), Cell::new(Order::Serve));
        Rc::new(Lifecycle { complete, order, longest_deadline, changed: Notify::new() })
    }

    /// The state now.
    pub fn state(&self) -> State {
        match (self.order.get(), self.complete.get()) {
            (Order::End(_), _) => State::Terminating,
            (Order::Drain(_), _) => State::Draining,
            (Order::Serve, true) => State::Ready,
            (Order::Serve, false) => State::Starting,
        }
    }

    /// Whether clients are to come.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Ready
    }

    /// Since when clients are to leave; none while they need not.
    pub fn draining_since(&self) -> Option<Instant> {
        match self.order.get() {
            Order::Serve => None,
            Order::Drain(at) => Some(at),
            Order::End(end) => Some(end.asked()),
        }
    }

    /// The end of a process that was told to end.
    pub fn shutdown(&self) -> Option<ShutdownDeadline> {
        match self.order.get() {
            Order::End(end) => Some(end),
            Order::Serve | Order::Drain(_) => None,
        }
    }

    /// Waits until the process is told to end; when that has to be.
    pub async fn told_to_end(&self) -> ShutdownDeadline {
        loop {
            self.reaches(|state| state == State::Terminating).await;
            if let Some(end) = self.shutdown() {
                return end;
            }
        }
    }

    /// All that serving takes is there.
    pub fn complete(&self) {
        if !self.complete.replace(true) {
            self.tell();
        }
    }

    /// An operator wants it drained. Told twice, the first call counts.
    pub fn lame_duck(&self) -> bool {
        if self.order.get() == Order::Serve {
            self.order.set(Order::Drain(Instant::now()));
            self.tell();
        }
        true
    }

    /// An operator wants the drain to end; whether that can be.
    pub fn rejoin(&self) -> bool {
        match self.order.get() {
            Order::End(_) => return false,
            Order::Drain(_) => {
                self.order.set(Order::Serve);
                self.tell();
            }
            Order::Serve => {}
        }
        self.is_ready()
    }

    /// The process is to end.
    pub fn terminate(&self) {
        if !matches!(self.order.get(), Order::End(_)) {
            let end = ShutdownDeadline::new(Instant::now(), self.longest_deadline);
            self.order.set(Order::End(end));
            self.tell();
        }
    }

    /// Waits until it is in one of these states.
    pub async fn reaches(&self, wanted: impl Fn(State) -> bool) {
        loop {
            // Registered before the look, so that no change falls between the two.
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if wanted(self.state()) {
                return;
            }
            changed.await;
        }
    }

    fn tell(&self) {
        info!(state = ?self.state(), "lifecycle");
        self.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_can_be_undone_and_an_end_can_not() {
        let life = Lifecycle::new(Duration::from_secs(1));
        assert_eq!(life.state(), State::Starting);
        assert!(!life.rejoin(), "not ready before it is complete");
        life.complete();
        assert!(life.is_ready() && life.rejoin());
        assert!(life.lame_duck());
        let since = life.draining_since();
        assert!(since.is_some() && life.lame_duck());
        assert_eq!(life.draining_since(), since, "the first call counts");
        assert!(life.rejoin());
        assert_eq!((life.state(), life.draining_since()), (State::Ready, None));
        life.lame_duck();
        life.terminate();
        assert!(life.lame_duck() && !life.rejoin());
        assert_eq!(life.state(), State::Terminating);
    }

    #[test]
    fn a_drain_while_starting_ends_in_starting() {
        let life = Lifecycle::new(Duration::from_secs(1));
        life.lame_duck();
        assert!(!life.rejoin());
        assert_eq!(life.state(), State::Starting);
        life.complete();
        assert!(life.rejoin());
    }
}
