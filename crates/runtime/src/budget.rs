//! The budget of sockets and memory: every client and endpoint connection holds a permit, and long messages reserve
//! their memory, so that the limits on descriptors and memory are enforced by counting.

use super::memory_division::{Division, KIB_PER_CONNECTION, SidecarMemory};
use super::message_memory::MessageMemory;
use curlewhub_config::MIN_SOCKETS;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
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
/// A new successor gets one in this many descriptors: until it is ready it only talks to discovery.
const INITIAL_ALLOWANCE_DIVISOR: usize = 4;

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

/// The sockets and memory in use, and their limits.
pub struct Budget {
    /// Descriptors that this process may use while it is alone.
    descriptors: usize,
    /// Memory of all processes of this sidecar for connections and messages.
    sidecar_memory: SidecarMemory,
    /// Limit of client and endpoint sockets together.
    total: Cell<usize>,
    max_clients: Cell<usize>,
    clients: Cell<usize>,
    shed: Cell<usize>,
    endpoints: Cell<usize>,
    operators: Cell<usize>,
    /// The most client and endpoint sockets that were in use at once.
    most_in_use: Cell<usize>,
    client_released: Notify,
    messages: Arc<MessageMemory>,
}

/// Memory that is counted as in use, by holder, in KiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryUsage {
    /// Connections of clients, with the short messages on them.
    pub clients: usize,
    /// Connections to endpoints, with the short messages on them.
    pub endpoints: usize,
    /// Long messages.
    pub messages: usize,
    /// Limit of the long messages.
    pub message_limit: usize,
}

/// One socket in use; released when dropped.
pub struct Permit {
    budget: Rc<Budget>,
    holder: Holder,
}

impl Budget {
    /// Creates a budget of this many descriptors and MiB of memory.
    pub fn new(descriptors: usize, memory_mb: usize) -> Rc<Self> {
        let sidecar_memory = SidecarMemory::new(memory_mb);
        let (total, max_clients, clients, shed, endpoints, operators) = Default::default();
        let (most_in_use, client_released, messages) = Default::default();
        let budget = Rc::new(Budget {
            descriptors,
            sidecar_memory,
            total,
            max_clients,
            clients,
            shed,
            endpoints,
            operators,
            most_in_use,
            client_released,
            messages,
        });
        budget.set_alone();
        budget
    }

    /// Gives this process all descriptors and all memory.
    pub fn set_alone(&self) {
        self.set_limits(self.descriptors, self.sidecar_memory.alone_kib());
    }

    /// Gives this process what its predecessor has left it: this many descriptors, and a part of the memory in
    /// proportion.
    pub fn set_successor(&self, descriptors: usize) {
        self.set_limits(descriptors, self.sidecar_memory.successor_kib(descriptors, self.descriptors));
    }

    /// Leaves a new successor its first descriptors; returns how many. Its memory is not part of this process's.
    pub fn set_predecessor(&self) -> usize {
        let allowance = self.descriptors / INITIAL_ALLOWANCE_DIVISOR;
        self.set_limits(self.descriptors - allowance, self.sidecar_memory.alone_kib());
        allowance
    }

    /// Sets the descriptors and the memory of this process. Permits and reservations beyond the new limits are not
    /// revoked.
    fn set_limits(&self, descriptors: usize, memory_kib: usize) {
        let division = Division::new(memory_kib, descriptors.saturating_sub(RESERVED_SOCKETS));
        self.total.set(division.connections);
        self.messages.set_limit_kib(division.message_kib);
        self.max_clients.set(division.clients);
    }

    /// Lowers the limits to what is in use, and `more` sockets. Returns how many descriptors are left for a successor.
    pub fn limit_to_current(&self, more: usize) -> usize {
        self.total.set(self.total.get().min(self.in_use() + more));
        let (limit_kib, reserved_kib) = self.messages.usage_kib();
        self.messages.set_limit_kib(limit_kib.min(reserved_kib));
        let unused = self.descriptors.saturating_sub(self.total.get() + RESERVED_SOCKETS);
        // What closed connections have released, the allocator may have kept.
        let memory_kib = self.most_in_use.get() * KIB_PER_CONNECTION + reserved_kib;
        unused.min(self.sidecar_memory.successor_descriptors(memory_kib, self.descriptors))
    }

    /// The memory for long messages.
    pub fn messages(&self) -> &Arc<MessageMemory> {
        &self.messages
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
            self.most_in_use.set(self.most_in_use.get().max(self.in_use()));
            Permit { budget: self.clone(), holder }
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
        let (message_limit, messages) = self.messages.usage_kib();
        MemoryUsage {
            clients: self.clients.get() * KIB_PER_CONNECTION,
            endpoints: self.endpoints.get() * KIB_PER_CONNECTION,
            messages,
            message_limit,
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

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.holder);
        count.set(count.get() - 1);
        if matches!(self.holder, Holder::Client | Holder::Shed) {
            self.budget.client_released.notify_one();
        }
    }
}
