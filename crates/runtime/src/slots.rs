//! Limits the connections to endpoints: each connection that is open or being opened holds a slot.

use curlewhub_balance::EndpointId;
use curlewhub_connection_quota::{Admission, ConnectionQuota, QuotaSettings, Refusal};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The slots of all endpoints.
pub struct Slots {
    quota: RefCell<ConnectionQuota>,
    since: Instant,
    changed: Notify,
}

#[derive(Clone, Copy, PartialEq)]
enum SlotState {
    Opening,
    Open,
    Refused,
}

/// The slot of one connection that is open or being opened; released when dropped.
pub struct Slot {
    slots: Rc<Slots>,
    endpoint: EndpointId,
    state: Cell<SlotState>,
}

impl Slots {
    /// Creates them without any connection.
    pub fn new(settings: QuotaSettings, seed: u64) -> Rc<Self> {
        let (quota, changed) = (RefCell::new(ConnectionQuota::new(settings, seed)), Notify::new());
        Rc::new(Slots { quota, since: Instant::now(), changed })
    }

    /// Acquires a slot for a new connection; none if the limit is reached, or the endpoint has just refused
    /// one because its table is full. While others are being opened, waits until one of them is open, has
    /// failed or is released: there may be an idle connection then, so the caller looks in the pool again.
    pub async fn acquire(self: &Rc<Self>, endpoint: EndpointId) -> Result<Slot, Admission> {
        let taken = self.try_acquire(endpoint);
        if matches!(taken, Err(Admission::Wait)) {
            self.changed.notified().await;
        }
        taken
    }

    /// As [`Slots::acquire`], without waiting.
    pub fn try_acquire(self: &Rc<Self>, endpoint: EndpointId) -> Result<Slot, Admission> {
        match self.quota.borrow_mut().admit(self.since.elapsed(), endpoint.0) {
            Admission::Open => {
                Ok(Slot { slots: self.clone(), endpoint, state: Cell::new(SlotState::Opening) })
            }
            refused @ (Admission::Wait | Admission::Full) => Err(refused),
        }
    }

    /// Notifies waiting callers: a connection became idle, or another one may be opened.
    pub fn notify_changed(&self) {
        self.changed.notify_waiters();
    }

    /// The idle timeout of connections, if it may be at most `limit`.
    pub fn idle_timeout(&self, limit: Duration) -> Duration {
        self.quota.borrow().settings().idle_timeout(limit)
    }

    /// Number of connects that endpoints with full connection tables have refused.
    pub fn full_refusals(&self) -> u64 {
        self.quota.borrow().full_refusals()
    }
}

impl Slot {
    /// Records that the connection is open.
    pub fn connected(&self) {
        if self.state.replace(SlotState::Open) == SlotState::Opening {
            self.slots.quota.borrow_mut().connect_succeeded(self.endpoint.0);
            self.slots.notify_changed();
        }
    }

    /// Records that the connection was refused. Returns what the refusal implies.
    pub fn refused(self) -> Refusal {
        self.state.set(SlotState::Refused);
        let slots = &self.slots;
        slots.quota.borrow_mut().connect_refused(slots.since.elapsed(), self.endpoint.0)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let endpoint = self.endpoint.0;
        match self.state.get() {
            SlotState::Opening => self.slots.quota.borrow_mut().connect_failed(endpoint),
            SlotState::Open => self.slots.quota.borrow_mut().connection_closed(endpoint),
            SlotState::Refused => {}
        }
        self.slots.notify_changed();
    }
}
