//! The budget of sockets and body memory: every client and endpoint connection holds a permit, so that the
//! limits on descriptors and memory are enforced by counting.

use curlewhub_config::MIN_SOCKETS;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors reserved for the listener, the runtime, standard streams, discovery, operators and clients
/// that are refused.
const RESERVED_SOCKETS: usize = 48;
/// The configuration ensures that some are left to serve with.
const _: () = assert!(MIN_SOCKETS >= RESERVED_SOCKETS + 16);
/// Clients over the limit that can still be sent a refusal, out of the reserve.
const MAX_SHED_CLIENTS: usize = 24;
/// Operator connections at a time, out of the reserve.
const MAX_OPERATORS: usize = 8;
/// Maximum memory of a client's request with its buffers, bodies and attempt, in KiB.
const KIB_PER_CLIENT: usize = 160;

/// Divisor: the part of all memory that is for buffered and streamed bodies. The rest is for clients and
/// the program itself.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Quarters of that part that buffered bytes may take, so that they never starve streamed bodies.
const BUFFERED_QUARTERS: usize = 3;

/// Who holds a socket.
#[derive(Clone, Copy, PartialEq)]
pub enum Holder {
    /// A client.
    Client,
    /// A client over the limit, which is only refused.
    Shed,
    /// A connection to an endpoint.
    Endpoint,
    /// An operator.
    Operator,
}

/// The sockets and body memory in use, and their limits.
pub struct Budget {
    /// The configured memory, in MiB.
    memory_mb: usize,
    /// Limit of client and endpoint sockets together.
    total: Cell<usize>,
    max_clients: Cell<usize>,
    clients: Cell<usize>,
    shed: Cell<usize>,
    endpoints: Cell<usize>,
    operators: Cell<usize>,
    client_released: Notify,
    /// Memory for bodies, in KiB: the limit, and what is in use.
    max_body_kib: Cell<usize>,
    body_kib: Cell<usize>,
    body_memory_released: Notify,
}

/// Memory in use for a body; released when dropped.
pub struct Memory {
    budget: Rc<Budget>,
    kib: usize,
}

/// Memory that is counted as in use, by holder, in KiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryUsage {
    /// The configured memory.
    pub limit: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub endpoints: usize,
    /// Buffered and streamed bodies.
    pub bodies: usize,
}

/// One socket in use; released when dropped.
pub struct Permit {
    budget: Rc<Budget>,
    holder: Holder,
}

impl Budget {
    /// Creates a budget of this many descriptors and MiB of memory.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Self> {
        let (total, max_clients, clients, shed, endpoints, operators) = Default::default();
        let (client_released, max_body_kib, body_kib, body_memory_released) = Default::default();
        let budget = Rc::new(Budget {
            memory_mb,
            total,
            max_clients,
            clients,
            shed,
            endpoints,
            operators,
            client_released,
            max_body_kib,
            body_kib,
            body_memory_released,
        });
        budget.set_limits(sockets, false);
        budget
    }

    /// Sets the number of descriptors of this process, and halves its memory while another process has the
    /// other half. Permits beyond the new limits are not revoked.
    pub fn set_limits(&self, sockets: usize, halved: bool) {
        self.total.set(sockets.saturating_sub(RESERVED_SOCKETS));
        let memory_kib = self.memory_mb.saturating_mul(1024) / if halved { 2 } else { 1 };
        self.max_body_kib.set(memory_kib / BODY_MEMORY_DIVISOR);
        self.body_memory_released.notify_waiters();
        let by_memory = memory_kib / 2 / KIB_PER_CLIENT;
        // An attempt needs a socket too: clients must not take those that their own requests are sent on.
        self.max_clients.set((self.total.get() * 5 / 8).min(by_memory).max(1));
    }

    /// Lowers the limit to the sockets in use plus `more`.
    pub fn limit_to_current(&self, more: usize) {
        self.total.set(self.total.get().min(self.in_use() + more));
    }

    /// The number of descriptors of this process.
    pub fn socket_limit(&self) -> usize {
        self.total.get() + RESERVED_SOCKETS
    }

    /// Whether more sockets are in use than the limit.
    pub fn is_exceeded(&self) -> bool {
        self.in_use() > self.total.get()
    }

    /// Acquires a permit, if one is available.
    pub fn try_acquire(self: &Rc<Self>, holder: Holder) -> Option<Permit> {
        let available = match holder {
            Holder::Client => {
                self.clients.get() < self.max_clients.get() && self.in_use() < self.total.get()
            }
            Holder::Shed => self.shed.get() < MAX_SHED_CLIENTS,
            Holder::Endpoint => self.in_use() < self.total.get(),
            Holder::Operator => self.operators.get() < MAX_OPERATORS,
        };
        available.then(|| {
            let count = self.count(holder);
            count.set(count.get() + 1);
            Permit { budget: self.clone(), holder }
        })
    }

    /// Acquires memory for buffered bytes of a body, if it is available.
    pub fn try_buffer_memory(self: &Rc<Self>, kib: usize) -> Option<Memory> {
        self.try_take_memory(kib, self.max_body_kib.get() * BUFFERED_QUARTERS / 4)
    }

    /// Waits for memory for a streamed body.
    pub async fn stream_memory(self: &Rc<Self>, kib: usize) -> Memory {
        loop {
            // Registered before the check, so that a release between the two is not missed.
            let mut released = std::pin::pin!(self.body_memory_released.notified());
            released.as_mut().enable();
            if let Some(memory) = self.try_take_memory(kib, self.max_body_kib.get()) {
                return memory;
            }
            released.await;
        }
    }

    fn try_take_memory(self: &Rc<Self>, kib: usize, limit: usize) -> Option<Memory> {
        let in_use = self.body_kib.get() + kib;
        (in_use <= limit).then(|| {
            self.body_kib.set(in_use);
            Memory { budget: self.clone(), kib }
        })
    }

    /// Whether one more client is prevented only by the connections to endpoints.
    pub fn is_full_of_endpoints(&self) -> bool {
        self.clients.get() < self.max_clients.get() && self.in_use() >= self.total.get()
    }

    /// Whether clients hold more than three quarters of their limit.
    pub fn is_crowded(&self) -> bool {
        self.clients.get() * 4 > self.max_clients.get() * 3
    }

    /// Number of connected clients, including those that are being refused.
    pub fn clients(&self) -> usize {
        self.clients.get() + self.shed.get()
    }

    /// The memory that is counted as in use.
    pub fn memory_usage(&self) -> MemoryUsage {
        MemoryUsage {
            limit: self.memory_mb * 1024,
            clients: self.clients.get() * KIB_PER_CLIENT,
            endpoints: 0,
            bodies: self.body_kib.get(),
        }
    }

    /// Waits until a client's socket is released.
    pub async fn client_released(&self) {
        self.client_released.notified().await;
    }

    fn in_use(&self) -> usize {
        self.clients.get() + self.endpoints.get()
    }

    fn count(&self, holder: Holder) -> &Cell<usize> {
        match holder {
            Holder::Client => &self.clients,
            Holder::Shed => &self.shed,
            Holder::Endpoint => &self.endpoints,
            Holder::Operator => &self.operators,
        }
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.budget.body_kib.set(self.budget.body_kib.get() - self.kib);
        self.budget.body_memory_released.notify_waiters();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.holder);
        count.set(count.get() - 1);
        if matches!(self.holder, Holder::Client | Holder::Shed) {
            self.budget.client_released.notify_one();
        }
    }
}
