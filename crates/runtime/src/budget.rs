//! The budget of sockets: every client and endpoint connection holds a permit, so that the limits
//! on descriptors and memory are kept by count.

use curlewhub_config::MIN_SOCKETS;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors kept free for the listener, the runtime, standard streams, discovery, operators and
/// shed clients.
const RESERVE: usize = 48;
/// The configuration sees to it that some are left to serve with.
const _: () = assert!(MIN_SOCKETS >= RESERVE + 16);
/// Clients over the cap that may still be told so, out of the reserve.
const SHED_MOST: usize = 24;
/// Operators who may call at once, out of the reserve.
const OPERATORS_MOST: usize = 8;
/// The most memory that a client's request may take with its buffers, bodies and attempt, in KiB.
const CLIENT_KIB: usize = 160;

/// Of all memory, so much is for bodies that are kept or flow through; the rest is the clients' and the
/// program's own.
const BODIES_PART: usize = 4;
/// Of that, so many quarters at the most for bytes that are kept: what flows is never starved by them.
const KEPT_QUARTERS: usize = 3;

/// Who holds a socket.
#[derive(Clone, Copy, PartialEq)]
pub enum Holder {
    /// A client.
    Client,
    /// A client over the cap, only to be refused.
    Shed,
    /// A connection to an endpoint.
    Endpoint,
    /// An operator.
    Operator,
}

/// Counts of the sockets in use, and how many may be.
pub struct Budget {
    /// As configured.
    memory_mb: usize,
    /// What clients and endpoints may hold together.
    total: Cell<usize>,
    clients_most: Cell<usize>,
    clients: Cell<usize>,
    shed: Cell<usize>,
    endpoints: Cell<usize>,
    operators: Cell<usize>,
    freed: Notify,
    /// Memory for bodies, in KiB: how much there is, and how much of it is taken.
    bodies_most: Cell<usize>,
    bodies: Cell<usize>,
    bodies_freed: Notify,
}

/// Memory in use for a body; gives it back when dropped.
pub struct Memory {
    budget: Rc<Budget>,
    kib: usize,
}

/// One socket in use; gives it back when dropped.
pub struct Permit {
    budget: Rc<Budget>,
    holder: Holder,
}

impl Budget {
    /// A budget within so many descriptors and MiB of memory.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Self> {
        let (total, clients_most, clients, shed, endpoints, operators) = Default::default();
        let (freed, bodies_most, bodies, bodies_freed) = Default::default();
        let budget = Rc::new(Budget {
            memory_mb,
            total,
            clients_most,
            clients,
            shed,
            endpoints,
            operators,
            freed,
            bodies_most,
            bodies,
            bodies_freed,
        });
        budget.set_limits(sockets, false);
        budget
    }

    /// So many descriptors are this process's from now on, and half of the memory where another process
    /// has the other half. What is held beyond that is not taken back.
    pub fn set_limits(&self, sockets: usize, halved: bool) {
        self.total.set(sockets.saturating_sub(RESERVE));
        // An attempt needs a socket too: clients must not take what their own requests go out on.
        let memory_kib = self.memory_mb.saturating_mul(1024) / if halved { 2 } else { 1 };
        self.bodies_most.set(memory_kib / BODIES_PART);
        self.bodies_freed.notify_waiters();
        let by_memory = memory_kib / 2 / CLIENT_KIB;
        self.clients_most.set((self.total.get() * 5 / 8).min(by_memory).max(1));
    }

    /// No more than are held now, and so many more, are this process's from now on.
    pub fn limit_to_current(&self, more: usize) {
        self.total.set(self.total.get().min(self.in_use() + more));
    }

    /// The descriptors that are this process's.
    pub fn socket_limit(&self) -> usize {
        self.total.get() + RESERVE
    }

    /// Whether more are held than may be.
    pub fn is_exceeded(&self) -> bool {
        self.in_use() > self.total.get()
    }

    /// A permit, if there is room for one.
    pub fn try_acquire(self: &Rc<Self>, holder: Holder) -> Option<Permit> {
        let room = match holder {
            Holder::Client => {
                self.clients.get() < self.clients_most.get() && self.in_use() < self.total.get()
            }
            Holder::Shed => self.shed.get() < SHED_MOST,
            Holder::Endpoint => self.in_use() < self.total.get(),
            Holder::Operator => self.operators.get() < OPERATORS_MOST,
        };
        room.then(|| {
            let count = self.count(holder);
            count.set(count.get() + 1);
            Permit { budget: self.clone(), holder }
        })
    }

    /// Memory for bytes of a body that are kept for a while, if there is some.
    pub fn try_buffer_memory(self: &Rc<Self>, kib: usize) -> Option<Memory> {
        self.try_take_memory(kib, self.bodies_most.get() * KEPT_QUARTERS / 4)
    }

    /// Memory for a body that flows, once there is some.
    pub async fn stream_memory(self: &Rc<Self>, kib: usize) -> Memory {
        loop {
            // Registered before the look, so that what comes free between the two is not missed.
            let mut freed = std::pin::pin!(self.bodies_freed.notified());
            freed.as_mut().enable();
            if let Some(memory) = self.try_take_memory(kib, self.bodies_most.get()) {
                return memory;
            }
            freed.await;
        }
    }

    fn try_take_memory(self: &Rc<Self>, kib: usize, most: usize) -> Option<Memory> {
        let taken = self.bodies.get() + kib;
        (taken <= most).then(|| {
            self.bodies.set(taken);
            Memory { budget: self.clone(), kib }
        })
    }

    /// Whether only the connections to endpoints stand in the way of one more client.
    pub fn is_full_of_endpoints(&self) -> bool {
        self.clients.get() < self.clients_most.get() && self.in_use() >= self.total.get()
    }

    /// Whether clients hold three quarters of what they may.
    pub fn is_crowded(&self) -> bool {
        self.clients.get() * 4 > self.clients_most.get() * 3
    }

    /// Connected clients.
    pub fn clients(&self) -> usize {
        self.clients.get() + self.shed.get()
    }

    /// Waits until a client's socket comes free.
    pub async fn client_released(&self) {
        self.freed.notified().await;
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
        self.budget.bodies.set(self.budget.bodies.get() - self.kib);
        self.budget.bodies_freed.notify_waiters();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.holder);
        count.set(count.get() - 1);
        if matches!(self.holder, Holder::Client | Holder::Shed) {
            self.budget.freed.notify_one();
        }
    }
}
