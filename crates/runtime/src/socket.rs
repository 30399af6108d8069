//! A TCP socket for hyper that records what is read and written, because hyper does not expose it.

use super::arrivals::Arrivals;
use super::connect::is_local;
use super::framing::Framing;
use super::interrupts::{is_retryable, uninterrupted};
use super::message_memory::{MessageMemory, Purpose, Reservation};
use super::request_write::{RequestWrite, total_len, truncated};
use rustix::event::{PollFd, PollFlags, Timespec};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum length of a message's head and of a read buffer, in bytes.
pub const MAX_BUFFER: usize = 64 * 1024;
/// Length of a read buffer that is not enlarged, in bytes: what hyper begins with.
pub const READ_LEN: usize = 8 * 1024;
/// After this many bytes of a body that arrives fast, its connection's read buffer is enlarged if memory allows.
const ENLARGE_AFTER: usize = 16 * 1024;
/// Read buffers that an enlarged connection may keep in memory: its own, a chunk that is being passed on, and those of
/// chunks that wait to be written.
const ENLARGED_BUFFERS: usize = 4;
/// Memory that an enlarged connection takes beyond what every connection may take, in bytes.
const ENLARGED_LEN: usize = ENLARGED_BUFFERS * (MAX_BUFFER - READ_LEN);
/// Memory for a head up to this length is part of what every connection may take, in bytes.
const SHORT_HEAD_LEN: usize = 8 * 1024;

/// Interval at which a lingering connection checks whether its peer has ended it.
const PEER_END_CHECK: Duration = Duration::from_millis(50);
/// Maximum number of bytes read at once while lingering.
const LINGER_READ_LEN: usize = 4 * 1024;

/// What is known about a connection's reads and writes, for the user of the connection.
pub struct SocketMonitor {
    stream: TcpStream,
    /// The last read returned bytes: there may be more to be read.
    more_input: Cell<bool>,
    /// When the first byte arrived since `reset`.
    first_byte: Cell<Option<Instant>>,
    /// The bytes of the current message that have arrived.
    arrivals: Arrivals,
    /// Woken when the first byte arrives.
    first_byte_arrived: Notify,
    /// Since when bytes wait to be written; none while there are none.
    write_blocked_since: Cell<Option<Instant>>,
    /// Tracks the framing headers of incoming requests.
    framing: RefCell<Framing>,
    extra_memory: ExtraMemory,
    /// Memory for a long head that was read, for an enlarged read buffer, and for a write buffer that has grown for a
    /// long head. They stay until the connection ends, as the buffers do.
    head_memory: RefCell<Option<Reservation>>,
    /// Since when memory for a long head is waited for.
    head_memory_awaited: Cell<Option<Instant>>,
    read_memory: RefCell<Option<Reservation>>,
    write_memory: RefCell<Option<Reservation>>,
    /// Bytes of the current body, as far as each read brought as much as it could.
    fast_bytes: Cell<usize>,
    /// The request that is being written, or was written last; none on a client's connection.
    request: RefCell<Option<RequestWrite>>,
    /// Cause of a failed read or write.
    failure: Cell<Option<FailureCause>>,
    /// An error that a look at the input has shown. The kernel reports it once: reads find the end of the input afterwards.
    peeked_error: Cell<Option<io::ErrorKind>>,
    /// The check failed, or the connection is to be reset: nothing was written since, and nothing will be.
    write_rejected: Cell<bool>,
}

/// The memory that a connection may take beyond its own.
pub struct ExtraMemory {
    /// Where it is reserved.
    pub memory: Arc<MessageMemory>,
    /// How many copies of a long head may exist at once.
    pub head_copies: usize,
}

/// Cause of a broken connection.
#[derive(Clone, Copy, PartialEq)]
enum FailureCause {
    /// The peer closed or reset it.
    Peer,
    /// The network failed: the peer is unreachable, or has not answered for long.
    Network,
    /// This machine lacks a resource.
    Local,
}

impl FailureCause {
    fn of(error: &io::Error) -> Self {
        use io::ErrorKind::{HostUnreachable, NetworkDown, NetworkUnreachable, TimedOut};
        match error.kind() {
            _ if is_local(error) => FailureCause::Local,
            HostUnreachable | NetworkDown | NetworkUnreachable | TimedOut => FailureCause::Network,
            _ => FailureCause::Peer,
        }
    }
}

/// What the kernel holds to be read.
#[derive(Clone, Copy, PartialEq)]
enum Peeked {
    Bytes,
    Nothing,
    /// The end of the input, or an error.
    End,
}

/// The socket itself, for hyper.
pub struct Socket {
    monitor: Rc<SocketMonitor>,
    /// A wait for the memory of a long head.
    head_memory: Option<Pin<Box<dyn Future<Output = Reservation>>>>,
}

impl Socket {
    /// Wraps a connection. Returns the socket, and the monitor of its reads and writes.
    pub fn new(stream: TcpStream, extra_memory: ExtraMemory) -> (Self, Rc<SocketMonitor>) {
        let monitor = Rc::new(SocketMonitor {
            stream,
            more_input: Cell::new(false),
            first_byte: Cell::new(None),
            arrivals: Arrivals::new(),
            first_byte_arrived: Notify::new(),
            write_blocked_since: Cell::default(),
            framing: RefCell::default(),
            extra_memory,
            head_memory: RefCell::default(),
            head_memory_awaited: Cell::default(),
            read_memory: RefCell::default(),
            write_memory: RefCell::default(),
            fast_bytes: Cell::default(),
            request: RefCell::default(),
            failure: Cell::default(),
            peeked_error: Cell::default(),
            write_rejected: Cell::default(),
        });
        (Socket { monitor: monitor.clone(), head_memory: None }, monitor)
    }

    /// How many bytes may be read now. Waits for memory if a head becomes long.
    fn poll_read_len(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        let monitor = &self.monitor;
        if let Some(read_len) = monitor.read_len() {
            return Poll::Ready(read_len);
        }
        let extra = &monitor.extra_memory;
        let memory = self.head_memory.get_or_insert_with(|| {
            Box::pin(extra.memory.clone().reserve(extra.head_copies * MAX_BUFFER, Purpose::AnswerOrHead))
        });
        let Poll::Ready(reservation) = memory.as_mut().poll(cx) else {
            let since = monitor.head_memory_awaited.get().unwrap_or_else(Instant::now);
            monitor.head_memory_awaited.set(Some(since));
            return Poll::Pending;
        };
        self.head_memory = None;
        monitor.head_memory_awaited.set(None);
        monitor.head_memory.replace(Some(reservation));
        Poll::Ready(READ_LEN - 1)
    }
}

impl SocketMonitor {
    /// Whether bytes were read that hyper has not processed completely: it reads from the socket again only
    /// after that.
    pub fn has_more_input(&self) -> bool {
        self.more_input.get()
    }

    /// When the first byte arrived since the last reset.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte.get()
    }

    /// How long nothing has arrived; zero if something is there to be read.
    pub fn silence(&self) -> Duration {
        if self.has_pending_input() { Duration::ZERO } else { self.arrivals.last_at().elapsed() }
    }

    /// The bytes of the current message that have arrived by now, read or not.
    pub(crate) fn observe_arrivals(&self) -> &Arrivals {
        self.arrivals.record_unread(self.unread());
        &self.arrivals
    }

    /// How many bytes the kernel holds that were not read.
    fn unread(&self) -> u64 {
        // Fails only on a socket that has ended: nothing more arrives then.
        rustix::io::ioctl_fionread(&self.stream).unwrap_or(0)
    }

    /// Since when memory for a long head is waited for.
    pub fn head_memory_awaited_since(&self) -> Option<Instant> {
        self.head_memory_awaited.get()
    }

    /// Writes a short message past the user of the socket, unless something of the user waits to be written before it.
    pub fn write_directly(&self, message: &[u8]) {
        if self.write_blocked_since.get().is_none() {
            // A client that takes nothing gets nothing.
            let _ = self.stream.try_write(message);
        }
    }

    /// When bytes were last read, if that was after `idle_since`.
    pub fn unsolicited_at(&self, idle_since: Instant) -> Option<Instant> {
        let last_at = self.arrivals.last_at();
        (self.arrivals.read() > 0 && last_at > idle_since).then_some(last_at)
    }

    /// The local address of the connection.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.stream.local_addr().ok()
    }

    /// How many bytes of the current message were read.
    pub fn bytes_read(&self) -> u64 {
        self.arrivals.read()
    }

    /// When bytes of the current message last arrived, read or not.
    pub fn last_arrival(&self) -> Instant {
        self.observe_arrivals().last_at()
    }

    /// The length of the current message's head, as far as it was read.
    pub fn head_len(&self) -> u64 {
        self.framing.borrow().length as u64
    }

    /// Waits until the first byte arrives, or returns at once if it arrived since the last call.
    pub async fn first_byte_arrived(&self) {
        self.first_byte_arrived.notified().await;
    }

    /// How long bytes have waited to be written.
    pub fn write_stall(&self) -> Duration {
        self.write_blocked_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Whether the head has both a `Content-Length` and a `Transfer-Encoding`. hyper then uses the chunks
    /// and hides the length, but the sender may have meant either.
    pub fn has_conflicting_framing(&self) -> bool {
        let framing = self.framing.borrow();
        framing.has_length && framing.has_transfer_encoding
    }

    /// Reserves memory for a write buffer that has grown for a long head, beyond the time of its message; false if there
    /// is too little. Then the connection should not be kept.
    pub fn keep_write_buffer(&self) -> bool {
        let mut write_memory = self.write_memory.borrow_mut();
        if write_memory.is_none() {
            *write_memory = self.extra_memory.memory.try_reserve(MAX_BUFFER, Purpose::GrownBuffer);
        }
        write_memory.is_some()
    }

    /// Whether its buffers have grown and their memory is needed elsewhere. Then the connection should not be kept.
    pub fn holds_scarce_memory(&self) -> bool {
        let grown = [&self.head_memory, &self.read_memory, &self.write_memory];
        let has_grown = grown.iter().any(|memory| memory.borrow().is_some());
        has_grown && self.extra_memory.memory.is_exhausted(ENLARGED_LEN, Purpose::GrownBuffer)
    }

    /// Releases memory beyond what every connection may take: the buffers that had grown are gone.
    pub fn release_extra_memory(&self) {
        self.head_memory.take();
        self.read_memory.take();
        self.write_memory.take();
    }

    /// How many bytes may be read now: fewer than the read buffer holds, because hyper enlarges a buffer that a read
    /// has filled. None if memory for a long head is needed first.
    fn read_len(&self) -> Option<usize> {
        let framing = self.framing.borrow();
        if framing.is_complete {
            return Some(if self.enlarge() { MAX_BUFFER - 1 } else { READ_LEN - 1 });
        }
        if self.head_memory.borrow().is_some() {
            return Some(READ_LEN - 1);
        }
        let left = (SHORT_HEAD_LEN - 1).saturating_sub(framing.length);
        (left > 0).then(|| left.min(READ_LEN - 1))
    }

    /// Enlarges the read buffer if a body arrives fast and memory allows. Returns whether it is enlarged.
    fn enlarge(&self) -> bool {
        let mut read_memory = self.read_memory.borrow_mut();
        if read_memory.is_none() && self.fast_bytes.get() >= ENLARGE_AFTER {
            *read_memory = self.extra_memory.memory.try_reserve(ENLARGED_LEN, Purpose::GrownBuffer);
            self.fast_bytes.set(0);
        }
        read_memory.is_some()
    }

    /// Reads; fails where the end of the input follows an error that a look at it has shown.
    fn read_unless_broken(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.stream.try_read(buffer)?;
        match self.peeked_error.get() {
            Some(kind) if count == 0 => Err(kind.into()),
            _ => Ok(count),
        }
    }

    /// Records what a read of up to `limit` bytes has brought.
    fn read(&self, bytes: &[u8], limit: usize) {
        self.framing.borrow_mut().scan(bytes);
        self.arrivals.record_read(bytes.len());
        self.more_input.set(!bytes.is_empty());
        self.fast_bytes.set(if bytes.len() == limit { self.fast_bytes.get() + limit } else { 0 });
        if !bytes.is_empty() && self.first_byte.get().is_none() {
            self.first_byte.set(Some(Instant::now()));
            self.first_byte_arrived.notify_one();
        }
    }

    /// Resets the time of the first byte and the framing for the next message.
    pub fn reset(&self) {
        self.first_byte.set(None);
        self.arrivals.reset();
        self.framing.take();
    }

    /// The next byte that is written starts this request.
    pub fn begin_request(&self, request: RequestWrite) {
        self.request.replace(Some(request));
    }

    /// The writer holds all that is left of the request from now on.
    pub fn request_handed_over(&self) {
        self.request.borrow_mut().iter_mut().for_each(RequestWrite::handed_over);
    }

    /// Whether a byte of the request was not written because its check failed: its last byte was not sent.
    pub fn write_rejected(&self) -> bool {
        self.write_rejected.get()
    }

    /// Whether a request was written in part, or bytes of it wait on this machine: its endpoint may not have begun it.
    pub fn has_unsent_request(&self) -> bool {
        let request = self.request.borrow();
        request.as_ref().is_some_and(|request| !request.is_complete() || self.has_unsent())
    }

    /// Makes the kernel report the connection as writable only when none of the bytes that it has taken waits to be sent.
    /// Else nothing tells whether the last byte of a request has left this machine.
    pub fn report_unsent(&self) {
        // On a system without the option every byte counts as sent at once.
        let _ = SockRef::from(&self.stream).set_tcp_notsent_lowat(1);
    }

    /// Whether bytes that were written wait on this machine, because the peer's does not take them; after `report_unsent`.
    fn has_unsent(&self) -> bool {
        let sent = PollFlags::OUT | PollFlags::ERR | PollFlags::HUP;
        self.polled(PollFlags::OUT).is_some_and(|events| !events.intersects(sent))
    }

    /// Waits until no byte that was written waits on this machine.
    fn poll_sent(&self, cx: &mut Context<'_>) -> Poll<()> {
        while self.has_unsent() {
            // The runtime knows only what the kernel last reported to it, and asks again after this.
            let _ =
                self.stream.try_io(Interest::WRITABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
            if ready!(self.stream.poll_write_ready(cx)).is_err() {
                break;
            }
        }
        Poll::Ready(())
    }

    /// How many of the bytes in `parts` may be written now, by the request's conditions; none if it is rejected.
    fn poll_allowed_len(&self, cx: &mut Context<'_>, parts: &[io::IoSlice<'_>]) -> Poll<Option<usize>> {
        let remaining = total_len(parts);
        if self.write_rejected.get() {
            return Poll::Ready(None);
        }
        let mut request = self.request.borrow_mut();
        let Some(request) = request.as_mut().filter(|request| !request.is_complete()) else {
            return Poll::Ready(Some(remaining));
        };
        // Whatever has come before the request belongs to nobody, and would be taken for its response.
        if request.is_unwritten() && self.unread() > 0 {
            return Poll::Ready(None);
        }
        let allowed = ready!(request.poll_allowed(cx, remaining, |cx| self.poll_sent(cx)));
        self.write_rejected.set(allowed.is_err());
        Poll::Ready(allowed.ok())
    }

    /// Records that `written` of the `remaining` bytes to be written were taken by the kernel.
    fn record_written(&self, written: usize, remaining: usize) {
        self.write_blocked_since.set(None);
        self.request.borrow_mut().iter_mut().for_each(|request| request.record(written, remaining));
    }

    /// The events of the connection, asked of the kernel; none if it can't tell.
    fn polled(&self, events: PollFlags) -> Option<PollFlags> {
        let mut polled = [PollFd::new(&self.stream, events)];
        let result = uninterrupted(|| Ok(rustix::event::poll(&mut polled, Some(&Timespec::default()))?));
        result.is_ok().then(|| polled[0].revents())
    }

    /// Whether it broke for a reason other than the peer.
    pub fn failed_not_by_peer(&self) -> bool {
        matches!(self.failure.get(), Some(FailureCause::Local | FailureCause::Network))
    }

    /// Whether it broke, other than by an end in order.
    pub fn has_failed(&self) -> bool {
        let broken = self.polled(PollFlags::empty()).is_some_and(|events| events.contains(PollFlags::ERR));
        broken || self.failure.get().is_some() || self.peeked_error.get().is_some()
    }

    /// Whether it broke by a fault of this machine.
    pub fn failed_locally(&self) -> bool {
        self.failure.get() == Some(FailureCause::Local)
    }

    /// Makes the close a reset: the rest of the response can't be sent, and an orderly end would make the
    /// client take it for complete.
    pub fn reset_on_close(&self) {
        // Fails only on a socket that has already ended.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        self.write_rejected.set(true);
    }

    /// Shuts down the sending side, then reads and drops input up to the peer's end or `limit` bytes:
    /// closing with unread bytes resets the connection, and the client may lose the last response. The
    /// input is not interpreted.
    pub async fn linger(&self, limit: usize) {
        if self.write_rejected.get()
            || SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err()
        {
            return;
        }
        // Not a part of the future: every connection would take its memory.
        let (mut scratch, mut dropped) = (vec![0; LINGER_READ_LEN], 0);
        while dropped < limit && self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut scratch) {
                Ok(0) => return,
                Ok(count) => dropped += count,
                Err(e) if is_retryable(&e) => {}
                Err(_) => return,
            }
        }
    }

    /// Shuts down the sending side and reads nothing more until the peer has ended too. A request that
    /// crosses that end was not accepted, and is answered by a reset once the connection is dropped.
    pub async fn linger_unread(&self) {
        if self.write_rejected.get()
            || SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err()
        {
            return;
        }
        while !self.peer_has_ended() {
            tokio::time::sleep(PEER_END_CHECK).await;
        }
    }

    /// Whether the kernel holds only the peer's end, or the connection is broken. Reads nothing.
    fn peer_has_ended(&self) -> bool {
        self.peek() == Peeked::End
    }

    /// Looks at the input that the kernel holds. Reads nothing.
    fn peek(&self) -> Peeked {
        let socket = SockRef::from(&self.stream);
        match uninterrupted(|| socket.peek(&mut [MaybeUninit::uninit(); 1])) {
            Ok(0) => Peeked::End,
            Ok(_) => Peeked::Bytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Peeked::Nothing,
            // Nothing is known: there may be bytes.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Peeked::Bytes,
            Err(e) => {
                self.peeked_error.set(Some(e.kind()));
                Peeked::End
            }
        }
    }

    /// Whether the peer has closed or reset the connection, or ended its sending, though bytes before that lie unread. It
    /// asks the kernel: nothing is read.
    pub fn peer_has_closed(&self) -> bool {
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        self.polled(PollFlags::RDHUP).is_some_and(|events| events.intersects(ended))
    }

    /// Whether the kernel holds unread bytes or the peer's end. It asks the kernel, because the runtime
    /// only knows the result of its last poll.
    pub fn has_pending_input(&self) -> bool {
        self.peek() != Peeked::Nothing
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read_len = ready!(self.poll_read_len(cx)).min(buf.remaining());
        let monitor = &self.monitor;
        loop {
            let Poll::Ready(ready) = monitor.stream.poll_read_ready(cx) else {
                monitor.more_input.set(false);
                return Poll::Pending;
            };
            ready?;
            let unfilled = buf.initialize_unfilled_to(read_len);
            match monitor.read_unless_broken(unfilled) {
                Ok(count) => {
                    monitor.read(&unfilled[..count], read_len);
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if is_retryable(&e) => {}
                Err(e) => {
                    monitor.failure.set(Some(FailureCause::of(&e)));
                    return Poll::Ready(Err(e));
                }
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(ready) = self.monitor.stream.poll_write_ready(cx) else {
                let since = self.monitor.write_blocked_since.get().unwrap_or_else(Instant::now);
                self.monitor.write_blocked_since.set(Some(since));
                return Poll::Pending;
            };
            ready?;
            let remaining = total_len(parts);
            let Some(allowed) = ready!(self.monitor.poll_allowed_len(cx, parts)) else {
                return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
            };
            let written = if allowed == remaining {
                self.monitor.stream.try_write_vectored(parts)
            } else {
                self.monitor.stream.try_write_vectored(&truncated(parts, allowed))
            };
            match written {
                // Nothing was written: the request's conditions are checked again before the next try.
                Err(e) if is_retryable(&e) => {}
                Err(e) => {
                    self.monitor.failure.set(Some(FailureCause::of(&e)));
                    self.monitor.write_blocked_since.set(None);
                    return Poll::Ready(Err(e));
                }
                Ok(count) => {
                    self.monitor.record_written(count, remaining);
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.monitor.stream).shutdown(std::net::Shutdown::Write))
    }
}
