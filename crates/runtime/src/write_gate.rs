//! The endpoint list's conditions for writing the first byte of a request: the endpoint is admitted at its
//! address, and the lease of the list that it was chosen from has not expired.

use curlewhub_balance::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The endpoints that new requests may be written to, and the lease of the list that names them.
#[derive(Default)]
pub(crate) struct WriteGate {
    admitted: RefCell<HashMap<EndpointId, SocketAddr>>,
    list_lease: Cell<Option<Instant>>,
    /// An endpoint is no longer admitted at its address, or the lease has changed.
    changed: Notify,
}

impl WriteGate {
    /// Admits an endpoint at this address alone, or no longer.
    pub fn admit(&self, endpoint: EndpointId, at: Option<SocketAddr>) {
        let mut admitted = self.admitted.borrow_mut();
        let before = match at {
            Some(at) => admitted.insert(endpoint, at),
            None => admitted.remove(&endpoint),
        };
        if before.is_some() && before != at {
            self.changed.notify_waiters();
        }
    }

    /// Whether an endpoint is admitted at this address.
    pub fn admits(&self, endpoint: EndpointId, address: SocketAddr) -> bool {
        self.admitted.borrow().get(&endpoint) == Some(&address)
    }

    /// How many endpoints are admitted.
    pub fn admitted(&self) -> usize {
        self.admitted.borrow().len()
    }

    /// Sets when the list lease expires; no request may be started after that. None if it is unlimited.
    pub fn set_list_lease(&self, expires: Option<Instant>) {
        self.list_lease.set(expires);
        self.changed.notify_waiters();
    }

    /// Whether a request may be written to an endpoint at this address.
    pub fn is_open(&self, endpoint: EndpointId, address: SocketAddr) -> bool {
        self.admits(endpoint, address)
            && self.list_lease.get().is_none_or(|expires| Instant::now() < expires)
    }

    /// Returns once no request may be written to an endpoint at this address any more.
    pub async fn closed(&self, endpoint: EndpointId, address: SocketAddr) {
        loop {
            // Registered before the check, so that no change between the two is missed.
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if !self.is_open(endpoint, address) {
                return;
            }
            let expires = self.list_lease.get();
            tokio::select! {
                () = changed => {}
                () = sleep_until(expires.unwrap_or_else(Instant::now)), if expires.is_some() => {}
            }
        }
    }

    /// Returns once an endpoint is no longer admitted at this address, whatever the list's lease.
    pub async fn not_admitted(&self, endpoint: EndpointId, address: SocketAddr) {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if !self.admits(endpoint, address) {
                return;
            }
            changed.await;
        }
    }
}
