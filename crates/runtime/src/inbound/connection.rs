//! One client connection: the stage that it is in, and when it is closed.

use super::Inbound;
use crate::budget::Permit;
use crate::request_log::{self, ConnectionUse};
use crate::socket::{ExtraMemory, MAX_BUFFER, Socket, SocketMonitor};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// A request's head must arrive completely within this, counted from the connection's start or, later, from
/// its first byte: a well-behaved client may take 2 s for it, and others must get an error or a close
/// within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A request whose long head finds no memory is refused after this.
const HEAD_MEMORY_TIMEOUT: Duration = Duration::from_secs(1);
/// The refusal of such a request, of which not all has been read.
const HEAD_MEMORY_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// A client that reads nothing of its response for this long is given up; well-behaved ones take seconds.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// A connection is closed after being idle between requests for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a connection checks its timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// During a drain, a connection on which nothing has arrived yet is closed after this.
const DRAIN_FIRST_REQUEST_WAIT: Duration = Duration::from_millis(200);
/// A connection that we end is read on for this long, so that its client reads the last response and sees
/// the end. It is longer than any round trip, and over well before an operator's drain must be complete
/// (4 s after the call, of which `DRAIN_IDLE_DELAY` has passed) or a SIGKILL is due.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Copies of a long head: as it was read, and as it is written by two attempts at once.
const HEAD_COPIES: usize = 3;
/// Limit of the bytes read while lingering: several times what a client has in flight before it looks at
/// its response.
const MAX_LINGER_BYTES: usize = 4 * MAX_BUFFER;

/// The stages of a client connection, in the order in which it passes through them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// No request head has arrived completely yet.
    New,
    /// A request is being served.
    Serving {
        /// When its first byte arrived.
        since: Instant,
    },
    /// Its response is being sent to the client.
    Responding,
    /// Between requests; the next one may have begun to arrive.
    Idle {
        /// When the last response ended.
        since: Instant,
    },
    /// It is being closed between requests: the rest of the last response is sent, and no further request
    /// is read.
    Closing,
    /// Its end was decided by us or the client: bytes that still arrive are not taken as a request.
    Lingering,
}

/// How a connection ended. A request that is read after the end could get no response any more.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// No complete request arrived: no response is on its way to the client.
    Unused,
    /// The head of a request found no memory: it is refused.
    NoHeadMemory,
    /// It was idle, and may have sent a response just before.
    Idle,
    /// The client was sent a response with `Connection: close`, or ended the connection. Whatever it still
    /// sends is read and dropped, so that it gets to read that response.
    Notified,
}

/// The events that move a connection to another stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Event {
    /// A request's head has arrived.
    RequestReceived,
    /// Its response is determined.
    ResponseReady,
    /// Its response has been sent, or can't be.
    ResponseEnded,
    /// It is to be closed, and holds no part of a request.
    Close,
    /// The connection ends.
    ConnectionEnded,
}

/// The state of a client connection.
pub(super) struct ClientConnection {
    pub(super) monitor: Rc<SocketMonitor>,
    /// Its number in this process.
    number: u64,
    /// Requests that have begun on it.
    uses: Cell<u32>,
    accepted: Instant,
    stage: Cell<Stage>,
    /// The next response is the connection's last, and says so by `Connection: close`.
    pub(super) last_response: Cell<bool>,
    /// More bytes arrived behind the request before its response was complete. hyper holds them in its
    /// buffer, so the monitor does not see the next request begin.
    pipelined: Cell<bool>,
    /// The id of the request that is being served, as a hash, if it must not simply be repeated.
    pub(super) open_request: Cell<Option<u64>>,
    /// The id of the last request, as a hash, while it is not known whether its client has the answer.
    pub(super) answered_id: Cell<Option<u64>>,
    /// It was selected to be closed, to make a place for another client.
    pub(super) close_requested: Cell<bool>,
    /// Wakes the connection's task to close it.
    pub(super) close_signal: Notify,
    /// Wakes the connection's task to end lingering, because its place is needed.
    pub(super) evict_signal: Notify,
}

impl ClientConnection {
    fn new(monitor: Rc<SocketMonitor>, number: u64) -> Rc<Self> {
        let (last_response, pipelined, open_request, answered_id) = Default::default();
        let (close_requested, close_signal, evict_signal) = Default::default();
        let (accepted, stage) = (Instant::now(), Cell::new(Stage::New));
        Rc::new(ClientConnection {
            monitor,
            number,
            uses: Cell::new(0),
            accepted,
            stage,
            last_response,
            pipelined,
            open_request,
            answered_id,
            close_requested,
            close_signal,
            evict_signal,
        })
    }

    /// Counts a request that begins on it.
    pub(super) fn begin_use(&self) {
        self.uses.set(self.uses.get() + 1);
    }

    /// Its number, and the number of its current request.
    pub(super) fn current_use(&self) -> ConnectionUse {
        ConnectionUse { connection: self.number, use_number: self.uses.get() }
    }

    /// Moves it to the next stage; there is no other way to do so. A connection that has ended stays so.
    pub(super) fn apply(&self, event: Event) {
        let next = match (self.stage.get(), event) {
            (Stage::Lingering, _) | (_, Event::ConnectionEnded) => Stage::Lingering,
            (_, Event::Close) | (Stage::Closing, Event::ResponseEnded) => Stage::Closing,
            (_, Event::RequestReceived) => Stage::Serving { since: self.request_start() },
            (_, Event::ResponseReady) => Stage::Responding,
            (_, Event::ResponseEnded) => Stage::Idle { since: Instant::now() },
        };
        self.stage.set(next);
    }

    /// Starts to close it if it is between requests; its last response may still be being sent. Returns
    /// whether it was; at other stages nothing is being sent.
    fn begin_close(&self) -> bool {
        let is_between = matches!(self.stage.get(), Stage::Idle { .. } | Stage::Closing);
        if is_between {
            request_log::connection_closing(self.number, "idle");
            self.apply(Event::Close);
        }
        is_between
    }

    /// Records that its response is complete, or can't be sent. Bytes that arrived meanwhile are in hyper's
    /// buffer.
    pub(super) fn response_ended(&self) {
        self.pipelined.set(self.monitor.has_more_input());
        self.apply(Event::ResponseEnded);
        self.monitor.reset();
    }

    /// Whether the current request began to arrive before the previous response was complete.
    pub(super) fn is_pipelined(&self) -> bool {
        self.pipelined.get()
    }

    /// When the next request began to arrive, as far as that is known; none if nothing of it has.
    fn next_request_start(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Idle { since } if self.pipelined.get() => Some(since),
            _ => self.monitor.first_byte_at(),
        }
    }

    pub(super) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Whether a request is being served or its response sent.
    fn is_busy(&self) -> bool {
        matches!(self.stage.get(), Stage::Serving { .. } | Stage::Responding)
    }

    /// How long it has been between requests without a byte of the next one; none before the first request.
    pub(super) fn idle_time(&self) -> Option<Duration> {
        match self.stage.get() {
            Stage::Idle { since } if self.next_request_start().is_none() => Some(since.elapsed()),
            _ => None,
        }
    }

    /// How long it has been open without sending anything; none after its first byte.
    pub(super) fn silent_time(&self) -> Option<Duration> {
        let is_unused = self.stage.get() == Stage::New && self.monitor.first_byte_at().is_none();
        is_unused.then(|| self.accepted.elapsed())
    }

    /// How long the head of the next request has been incomplete.
    pub(super) fn partial_head_time(&self) -> Option<Duration> {
        let expects_request = matches!(self.stage.get(), Stage::New | Stage::Idle { .. });
        self.next_request_start().filter(|_| expects_request).map(|at| at.elapsed())
    }

    /// Called as the process exits: resets the connection if a response is still being sent. The client
    /// must be able to tell that the response is incomplete, even if it has no length.
    pub(super) fn reset_if_responding(&self) {
        if matches!(self.stage.get(), Stage::Responding | Stage::Closing) {
            self.monitor.reset_on_close();
        }
    }

    /// When the current request began; the time of the accept if it is the first.
    pub(super) fn request_start(&self) -> Instant {
        match (self.stage.get(), self.next_request_start()) {
            (Stage::Serving { since }, _) | (Stage::Idle { .. }, Some(since)) => since,
            _ => self.accepted,
        }
    }

    /// When it is closed unless more bytes arrive; none while a request is in progress.
    pub(super) fn close_at(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Serving { .. } | Stage::Responding | Stage::Closing | Stage::Lingering => None,
            Stage::Idle { since } if self.next_request_start().is_none() => Some(since + IDLE_TIMEOUT),
            Stage::New | Stage::Idle { .. } => {
                let no_memory = self.monitor.head_memory_awaited_since();
                let refused_at = no_memory.map(|since| since + HEAD_MEMORY_TIMEOUT);
                Some(refused_at.unwrap_or(self.request_start() + HEAD_TIMEOUT))
            }
        }
    }
}

impl Inbound {
    pub(super) async fn handle_connection(
        self: Rc<Self>,
        stream: TcpStream,
        shed: bool,
        _permit: Option<Permit>,
    ) {
        let _ = stream.set_nodelay(true);
        let memory = self.budget.messages().clone();
        let extra_memory = ExtraMemory { memory, head_copies: HEAD_COPIES };
        let (socket, monitor) = Socket::new(stream, extra_memory);
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let client = ClientConnection::new(monitor, number);
        self.connections.borrow_mut().insert(number, client.clone());
        let end = self.serve_connection(socket, shed, &client).await;
        request_log::connection_ended(number, &end);
        client.apply(Event::ConnectionEnded);
        self.answered_ids.connection_ended(&client).into_iter().for_each(|id| self.answer_delivered(id));
        client.monitor.release_extra_memory();
        client.close_requested.set(false);
        let linger = async {
            match end {
                End::Unused => {}
                End::NoHeadMemory => {
                    client.monitor.write_directly(HEAD_MEMORY_REFUSAL);
                    client.monitor.linger(MAX_LINGER_BYTES).await;
                }
                End::Idle => client.monitor.linger_unread().await,
                End::Notified => client.monitor.linger(MAX_LINGER_BYTES).await,
            }
        };
        // It holds its place in the budget until the lingering ends, which happens early if that place is
        // needed.
        tokio::select! {
            biased;
            () = linger => {}
            () = client.evict_signal.notified() => {}
            () = sleep(self.limit_by_shutdown(LINGER_TIMEOUT)) => {}
        }
        self.connections.borrow_mut().remove(&number);
    }

    /// Shortens a wait on a connection if the process is to exit sooner.
    fn limit_by_shutdown(&self, wanted: Duration) -> Duration {
        self.lifecycle.shutdown().map_or(wanted, |end| end.limit(wanted, Instant::now()))
    }

    /// Whether a connection that is to be closed can be: not if a request, or a part of one, has arrived in
    /// the meantime and is unread. That request is served, as the connection's last.
    fn can_close(&self, client: &ClientConnection) -> bool {
        let has_unread = matches!(client.stage(), Stage::New | Stage::Idle { .. })
            && client.next_request_start().is_none()
            && client.monitor.has_pending_input();
        if has_unread {
            client.last_response.set(true);
        }
        !has_unread
    }

    /// Serves a connection until its end.
    async fn serve_connection(&self, socket: Socket, shed: bool, client: &Rc<ClientConnection>) -> End {
        let service = service_fn(|request| self.handle_request(request, shed, client));
        let connection = http1::Builder::new()
            .keep_alive(!shed)
            .max_buf_size(MAX_BUFFER)
            .serve_connection(TokioIo::new(socket), service);
        let mut connection = pin!(connection);
        let mut first_request_until = None;
        loop {
            let until = first_request_until
                .into_iter()
                .chain(client.close_at())
                .fold(Instant::now() + CHECK_INTERVAL, Instant::min);
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    // Any other error means that the client has disconnected.
                    let was_closing = ended.is_ok() && client.stage() == Stage::Closing;
                    if ended.is_err_and(|e| e.is_parse()) {
                        drop(self.metrics.start_request(None));
                    }
                    return if was_closing { End::Idle } else { End::Notified };
                }
                () = client.close_signal.notified() => {
                    let is_draining = self.lifecycle.draining_since().is_some();
                    if client.is_busy() || (is_draining && client.partial_head_time().is_some()) {
                        client.last_response.set(true);
                    } else if is_draining && client.stage() == Stage::New {
                        // The first request counts as received: closing now would lose what the client may
                        // be writing just now.
                        first_request_until.get_or_insert_with(|| {
                            Instant::now() + self.limit_by_shutdown(DRAIN_FIRST_REQUEST_WAIT)
                        });
                    } else if self.can_close(client) {
                        if client.begin_close() {
                            connection.as_mut().graceful_shutdown();
                        } else {
                            return End::Unused;
                        }
                    } else {
                        yield_now().await;
                    }
                }
                () = sleep_until(until) => {
                    let now = Instant::now();
                    let is_writing = matches!(client.stage(), Stage::Responding | Stage::Closing);
                    if is_writing && client.monitor.write_stall() >= WRITE_STALL_TIMEOUT {
                        client.monitor.reset_on_close();
                        return End::Notified;
                    }
                    let wait_expired = first_request_until.take_if(|at| *at <= now).is_some()
                        && client.monitor.first_byte_at().is_none();
                    if client.close_at().is_some_and(|at| at <= now || wait_expired) {
                        if client.monitor.head_memory_awaited_since().is_some() {
                            drop(self.metrics.start_request(None));
                            return End::NoHeadMemory;
                        } else if !self.can_close(client) {
                            // Lets the runtime poll the sockets, so that the unread bytes are read.
                            yield_now().await;
                        } else if client.begin_close() {
                            connection.as_mut().graceful_shutdown();
                        } else {
                            return End::Unused;
                        }
                    }
                }
            }
        }
    }
}
