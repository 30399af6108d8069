//! Pooled connections to endpoints, and the attempts and probes that are made over them.

mod attempt;

use super::aged_connections::AgedConnections;
use super::budget::{Budget, Holder, Permit};
use super::connect::{ConnectError, RouteFaults, connect};
use super::figures::Metrics;
use super::guard::AbortOnDrop;
use super::load_report::LoadReportReader;
use super::reuse_delay::ReuseDelay;
use super::slots::{Slot, Slots};
use super::socket::{ExtraMemory, MAX_BUFFER, Socket, SocketMonitor};
use super::spares::SpareConnections;
use super::streaming::OutgoingBody;
use super::write_gate::WriteGate;
use curlewhub_balance::{EndpointId, Outcome, Settings};
use curlewhub_connection_quota::{Admission, Refusal};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

/// We close an idle connection ourselves after this fraction of the endpoints' idle timeout: a request
/// written to one that the endpoint is just closing ends in a reset, and an unsafe request is then lost for
/// good.
const IDLE_TIMEOUT_FACTOR: f64 = 0.7;
/// Idle time of connections if the settings state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the checks for idle connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Connect timeout if the settings state none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

struct Connection {
    sender: SendRequest<OutgoingBody>,
    monitor: Rc<SocketMonitor>,
    address: SocketAddr,
    opened_at: Instant,
    idle_since: Instant,
    /// It must not be reused before this.
    reusable_at: Instant,
    /// Its buffers have grown for a long head.
    has_grown: bool,
    /// Aborts the task of the connection, which closes it, even if a response is still due.
    _task: AbortOnDrop,
    _slot: Slot,
    _permit: Permit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The kernel would go on sending what it has taken, and the endpoint could begin a request that was given up.
        if self.monitor.has_unsent_request() {
            self.monitor.reset_on_close();
        }
    }
}

/// A pooled connection that a request waits for until its reuse delay has passed. If the request is
/// abandoned before that, nothing has been written, and the connection goes back to the pool.
struct PendingReuse<'a> {
    outbound: &'a Outbound,
    endpoint: EndpointId,
    connection: Option<Connection>,
}

impl PendingReuse<'_> {
    async fn reusable(mut self) -> Option<Connection> {
        sleep_until(self.connection.as_ref()?.reusable_at).await;
        self.connection.take()
    }
}

impl Drop for PendingReuse<'_> {
    fn drop(&mut self) {
        // The connection is closed if the endpoint has been removed or has another address by now.
        if let Some(connection) = self.connection.take()
            && self.outbound.gate.admits(self.endpoint, connection.address)
        {
            self.outbound.add_idle(self.endpoint, connection);
        }
    }
}

/// Why there is no new connection.
enum AcquireError {
    /// Another connection was opened, failed or became idle meanwhile: look in the pool again.
    RetryPool,
    /// No connection is available; the attempt ends with this outcome.
    Failed(Outcome),
}

/// The connections to all endpoints.
pub struct Outbound {
    budget: Rc<Budget>,
    slots: Rc<Slots>,
    metrics: Rc<Metrics>,
    gate: WriteGate,
    /// Idle connections, the most recently used last.
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    /// Endpoints that were restarted, and since when that is known: earlier connections lead to the process before.
    restarted: RefCell<HashMap<EndpointId, Instant>>,
    reuse_delay: ReuseDelay,
    /// The time that requests have waited for connections in their reuse delay.
    spares: RefCell<SpareConnections>,
    /// Endpoints to which this machine had no route.
    routes: RefCell<RouteFaults>,
    since: Instant,
    connect_timeout: Duration,
    idle_timeout: Duration,
    aged: AgedConnections,
    load_reports: LoadReportReader,
}

impl Outbound {
    /// An instance without connections.
    pub fn new(
        settings: &Settings,
        budget: Rc<Budget>,
        slots: Rc<Slots>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let (connect, idle) = (settings.limits.connect_timeout, settings.limits.idle_close);
        let or = |time: Duration, default| if time.is_zero() { default } else { time };
        let idle_timeout = slots.idle_timeout(or(idle.mul_f64(IDLE_TIMEOUT_FACTOR), DEFAULT_IDLE_TIMEOUT));
        Rc::new(Outbound {
            budget,
            slots,
            metrics,
            gate: WriteGate::default(),
            idle: RefCell::default(),
            restarted: RefCell::default(),
            reuse_delay: ReuseDelay::default(),
            spares: RefCell::default(),
            routes: RefCell::default(),
            since: Instant::now(),
            aged: AgedConnections::default(),
            connect_timeout: or(connect, DEFAULT_CONNECT_TIMEOUT),
            idle_timeout,
            load_reports: LoadReportReader::new(settings.load_reports.fields.clone()),
        })
    }

    /// Returns a connection to the pool, to be reused after the reuse delay. One whose buffers have grown is closed if their
    /// memory is needed elsewhere.
    fn release(&self, endpoint: EndpointId, mut connection: Connection) {
        let has_memory = !connection.has_grown || connection.monitor.keep_write_buffer();
        if !has_memory || connection.monitor.holds_scarce_memory() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.reusable_at = connection.idle_since + self.reuse_delay.current(connection.idle_since);
        self.add_idle(endpoint, connection);
    }

    fn add_idle(&self, endpoint: EndpointId, connection: Connection) {
        if self.precedes_restart(endpoint, &connection) {
            return;
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
        self.slots.notify_changed();
    }

    /// Number of connects that endpoints with full connection tables have refused.
    pub fn full_refusals(&self) -> u64 {
        self.slots.full_refusals()
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Admits new requests to an endpoint at this address alone, or no longer.
    pub fn set_admitted(&self, endpoint: EndpointId, at: Option<SocketAddr>) {
        if at.is_none() {
            self.routes.borrow_mut().forget(endpoint);
        }
        self.gate.admit(endpoint, at);
    }

    /// Sets when the list lease expires: after that no request may be started by the current list, and one
    /// that waits for a connection is withdrawn.
    pub fn set_list_lease(&self, expires: Option<Instant>) {
        self.gate.set_list_lease(expires);
    }

    /// Returns a pooled or a new connection, and whether it is new.
    async fn acquire(
        self: &Rc<Self>,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Result<(Connection, bool), AcquireError> {
        match self.take_idle(endpoint, address).await {
            Some(connection) => Ok((connection, false)),
            None => self.connect(endpoint, address).await.map(|connection| (connection, true)),
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
        self.spares.borrow_mut().forget(endpoint);
    }

    /// Whether a connection leads to a process of the endpoint before its restart.
    fn precedes_restart(&self, endpoint: EndpointId, connection: &Connection) -> bool {
        self.restarted.borrow().get(&endpoint).is_some_and(|at| connection.opened_at <= *at)
    }

    /// An endpoint was restarted: connections that are open by now are not used for further requests.
    pub fn record_restart(&self, endpoint: EndpointId) {
        self.restarted.borrow_mut().insert(endpoint, Instant::now());
        self.close_idle(endpoint);
    }

    /// Forgets an endpoint that is no longer listed.
    pub fn forget(&self, endpoint: EndpointId) {
        self.restarted.borrow_mut().remove(&endpoint);
        self.close_idle(endpoint);
    }

    /// Closes idle connections to an endpoint that have been idle since `since` or longer. If a machine is
    /// cut off, they stay open without a response, and each would cost one more request its whole timeout,
    /// whereas a new connection fails at once and proves that the request was not processed.
    pub fn close_idle_since(&self, endpoint: EndpointId, since: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&endpoint) {
            connections.retain(|connection| connection.idle_since > since);
        }
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(id, connections)| Some((connections.first()?.idle_since, *id))).min();
        let Some((_, id)) = oldest else { return false };
        idle.get_mut(&id).map(|connections| connections.remove(0)).is_some()
    }

    /// Periodically closes connections that have been idle for too long or were closed by the endpoint.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain(|connection| self.is_usable(connection));
                !connections.is_empty()
            });
        }
    }

    fn is_usable(&self, connection: &Connection) -> bool {
        let limit = self.aged.idle_limit(self.idle_timeout);
        // What was read while nobody used it came behind the last response.
        if let Some(at) = connection.monitor.unsolicited_at(connection.idle_since) {
            self.reuse_delay.record_late_bytes(at - connection.idle_since, Instant::now());
        }
        !connection.sender.is_closed() && connection.idle_since.elapsed() < limit
    }

    /// Takes the most recently used idle connection that may be reused now, or else waits for one. The
    /// others may then reach their idle timeout and be closed.
    async fn take_idle(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        loop {
            let now = Instant::now();
            let connection = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&endpoint)?;
                let reusable = connections.iter().rposition(|connection| connection.reusable_at <= now);
                (!connections.is_empty()).then(|| connections.remove(reusable.unwrap_or(0)))?
            };
            let connection = if connection.reusable_at > now {
                self.record_wait(endpoint, address, connection.reusable_at - now);
                PendingReuse { outbound: self, endpoint, connection: Some(connection) }.reusable().await?
            } else {
                connection
            };
            // Another machine may listen at a former address by now. Unsolicited bytes, or the end, make a
            // connection unusable. hyper sees them only once the runtime has polled the socket, which may
            // be long ago if the processor is overloaded.
            if connection.address == address
                && !self.precedes_restart(endpoint, &connection)
                && self.is_usable(&connection)
                && !connection.monitor.has_pending_input()
            {
                return Some(connection);
            }
        }
    }

    /// Records that a request waits this long for a connection to become reusable. If such waits have
    /// become worth another connection, it is opened in the background, independently of this request.
    fn record_wait(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr, wait: Duration) {
        if !self.spares.borrow_mut().record_wait(endpoint, wait) {
            return;
        }
        let this = self.clone();
        spawn_local(async move { this.open_spare(endpoint, address).await });
    }

    /// Opens an additional connection for the pool, if a slot and a permit are free.
    async fn open_spare(&self, endpoint: EndpointId, address: SocketAddr) {
        let Ok(slot) = self.slots.try_acquire(endpoint) else { return };
        let Some(permit) = self.budget.try_acquire(Holder::Endpoint) else { return };
        let Ok(connection) = self.open(endpoint, address, slot, permit).await else { return };
        // The endpoint may have been removed, or have got another address, in the meantime.
        if self.gate.admits(endpoint, address) {
            debug!(endpoint = endpoint.0, "one more connection, for requests that waited");
            self.add_idle(endpoint, connection);
        }
    }

    async fn connect(&self, endpoint: EndpointId, address: SocketAddr) -> Result<Connection, AcquireError> {
        let slot = self.slots.acquire(endpoint).await.map_err(|admission| match admission {
            Admission::Full => AcquireError::Failed(Outcome::Rejected),
            Admission::Open | Admission::Wait => AcquireError::RetryPool,
        })?;
        let permit = loop {
            match self.budget.try_acquire(Holder::Endpoint) {
                Some(permit) => break permit,
                None if self.close_oldest_idle() => {}
                // This process has no descriptor left.
                None => return Err(AcquireError::Failed(Outcome::LocalFault)),
            }
        };
        self.open(endpoint, address, slot, permit).await
    }

    /// Opens a connection in a slot and with a permit.
    async fn open(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        slot: Slot,
        permit: Permit,
    ) -> Result<Connection, AcquireError> {
        const FAILED: AcquireError = AcquireError::Failed(Outcome::ConnectFailed);
        let stream = match connect(address, self.connect_timeout).await {
            Ok(stream) => stream,
            Err(ConnectError::Refused) => {
                return Err(match slot.refused() {
                    Refusal::Full => AcquireError::Failed(Outcome::Rejected),
                    Refusal::Unknown => FAILED,
                });
            }
            Err(error) => return Err(AcquireError::Failed(self.outcome_of(endpoint, &error))),
        };
        self.routes.borrow_mut().connected(self.since.elapsed(), endpoint);
        let memory = self.budget.messages().clone();
        let extra_memory = ExtraMemory { memory, head_copies: 1 };
        let (socket, monitor) = Socket::new(stream, extra_memory);
        monitor.report_unsent();
        let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(TokioIo::new(socket));
        let (sender, driver) = handshake.await.map_err(|_| FAILED)?;
        let task = spawn_local(driver);
        slot.connected();
        let opened_at = Instant::now();
        Ok(Connection {
            sender,
            monitor,
            address,
            opened_at,
            idle_since: opened_at,
            reusable_at: opened_at,
            has_grown: false,
            _task: AbortOnDrop::new(task.abort_handle()),
            _slot: slot,
            _permit: permit,
        })
    }

    /// The outcome of an attempt for which no connection could be opened.
    fn outcome_of(&self, endpoint: EndpointId, error: &ConnectError) -> Outcome {
        let local = match error {
            ConnectError::Resources(_) => true,
            ConnectError::Route(_) => {
                let listed = self.gate.admitted();
                self.routes.borrow_mut().is_local(self.since.elapsed(), endpoint, listed)
            }
            ConnectError::Refused | ConnectError::TimedOut(_) | ConnectError::Failed(_) => false,
        };
        debug!(endpoint = endpoint.0, %error, local, "no connection");
        if local { Outcome::LocalFault } else { Outcome::ConnectFailed }
    }
}
