//! Leave to open connections to endpoints: each that is up or on its way holds a slot.

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
enum Stage {
    Opening,
    Up,
    Refused,
}

/// One connection, up or on its way; given back when dropped.
pub struct Slot {
    slots: Rc<Slots>,
    endpoint: EndpointId,
    stage: Cell<Stage>,
}

impl Slots {
    /// No connections yet.
    pub fn new(settings: QuotaSettings, seed: u64) -> Rc<Self> {
        let (quota, changed) = (RefCell::new(ConnectionQuota::new(settings, seed)), Notify::new());
        Rc::new(Slots { quota, since: Instant::now(), changed })
    }

    /// A slot for a new connection; none where all that may be are up, or the endpoint took no more just now.
    /// Waits, where others are on their way, for one of these to come up, fail or come free: then there may be
    /// an idle connection as well, so who asked looks there again.
    pub async fn take(self: &Rc<Self>, endpoint: EndpointId) -> Result<Slot, Admission> {
        let taken = self.try_take(endpoint);
        if matches!(taken, Err(Admission::Wait)) {
            self.changed.notified().await;
        }
        taken
    }

    /// The same without a wait.
    pub fn try_take(self: &Rc<Self>, endpoint: EndpointId) -> Result<Slot, Admission> {
        match self.quota.borrow_mut().admit(self.since.elapsed(), endpoint.0) {
            Admission::Open => Ok(Slot { slots: self.clone(), endpoint, stage: Cell::new(Stage::Opening) }),
            refused @ (Admission::Wait | Admission::Full) => Err(refused),
        }
    }

    /// A connection came free, or another one may be opened.
    pub fn freed(&self) {
        self.changed.notify_waiters();
    }

    /// How long an idle connection is kept that could be kept for so long.
    pub fn idle_timeout(&self, most: Duration) -> Duration {
        self.quota.borrow().settings().idle_timeout(most)
    }

    /// Connects that endpoints with full tables have refused.
    pub fn full_refusals(&self) -> u64 {
        self.quota.borrow().full_refusals()
    }
}

impl Slot {
    /// Its connection is up.
    pub fn up(&self) {
        if self.stage.replace(Stage::Up) == Stage::Opening {
            self.slots.quota.borrow_mut().connect_succeeded(self.endpoint.0);
            self.slots.freed();
        }
    }

    /// Its connection was refused; what that says.
    pub fn refused(self) -> Refusal {
        self.stage.set(Stage::Refused);
        let slots = &self.slots;
        slots.quota.borrow_mut().connect_refused(slots.since.elapsed(), self.endpoint.0)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let endpoint = self.endpoint.0;
        match self.stage.get() {
            Stage::Opening => self.slots.quota.borrow_mut().connect_failed(endpoint),
            Stage::Up => self.slots.quota.borrow_mut().connection_closed(endpoint),
            Stage::Refused => {}
        }
        self.slots.freed();
    }
}
