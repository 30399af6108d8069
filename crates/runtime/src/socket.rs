//! A TCP socket for hyper that records what is read and written, because hyper does not expose it.

use super::connect::is_local;
use super::figures::Metrics;
use super::interrupts::{is_retryable, uninterrupted};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Buffer size of a connection, in each direction; also limits a message's head.
pub const MAX_BUFFER: usize = 64 * 1024;

/// Interval at which a lingering connection checks whether its peer has ended it.
const PEER_END_CHECK: Duration = Duration::from_millis(50);
/// Maximum number of bytes read at once while lingering.
const LINGER_READ_LEN: usize = 16 * 1024;

/// What is known about a connection's reads and writes, for the user of the connection.
pub struct SocketMonitor {
    stream: TcpStream,
    /// The last read returned bytes: there may be more to be read.
    more_input: Cell<bool>,
    /// When the first byte arrived since `reset`.
    first_byte: Cell<Option<Instant>>,
    /// When bytes were last read, and when some were last written.
    last_read: Cell<Instant>,
    last_write: Cell<Instant>,
    /// Tracks the framing headers of incoming requests.
    framing: RefCell<Framing>,
    /// Metrics in which the attempt is to be recorded after the next write.
    count_after_write: RefCell<Option<Rc<Metrics>>>,
    /// Checked immediately before the first byte of the next message is written.
    write_check: RefCell<Option<WriteCheck>>,
    /// Cause of a failed read or write.
    failure: Cell<Option<FailureCause>>,
    /// The check failed, or the connection is to be reset: nothing was written since, and nothing will be.
    write_rejected: Cell<bool>,
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

/// Returns whether a message may still be written.
pub type WriteCheck = Box<dyn Fn() -> bool>;

/// The framing headers that a message head contains, found while its bytes are read.
#[derive(Default)]
struct Framing {
    /// The beginning of the current line, in lower case.
    line: Vec<u8>,
    /// A non-empty line was read.
    has_line: bool,
    /// The head is complete.
    is_complete: bool,
    has_length: bool,
    has_transfer_encoding: bool,
}

impl Framing {
    /// Length of the longest header name searched for, with its colon.
    const MAX_NAME_LEN: usize = b"transfer-encoding:".len();

    fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.is_complete => return,
                b'\n' => {
                    self.has_length |= self.line.starts_with(b"content-length:");
                    self.has_transfer_encoding |= self.line.starts_with(b"transfer-encoding:");
                    // Empty lines may precede a request; after its first line an empty one ends the head.
                    self.is_complete = self.has_line && self.line.is_empty();
                    self.has_line |= !self.line.is_empty();
                    self.line.clear();
                }
                b'\r' => {}
                _ if self.line.len() < Self::MAX_NAME_LEN => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }
}

/// The socket itself, for hyper.
pub struct Socket(Rc<SocketMonitor>);

impl Socket {
    /// Wraps a connection. Returns the socket, and the monitor of its reads and writes.
    pub fn new(stream: TcpStream) -> (Self, Rc<SocketMonitor>) {
        let monitor = Rc::new(SocketMonitor {
            stream,
            more_input: Cell::new(false),
            first_byte: Cell::new(None),
            last_read: Cell::new(Instant::now()),
            last_write: Cell::new(Instant::now()),
            framing: RefCell::default(),
            count_after_write: RefCell::default(),
            write_check: RefCell::default(),
            failure: Cell::default(),
            write_rejected: Cell::default(),
        });
        (Socket(monitor.clone()), monitor)
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
        if self.has_pending_input() { Duration::ZERO } else { self.last_read.get().elapsed() }
    }

    /// How long nothing could be written.
    pub fn write_stall(&self) -> Duration {
        self.last_write.get().elapsed()
    }

    /// Whether the head has both a `Content-Length` and a `Transfer-Encoding`. hyper then uses the chunks
    /// and hides the length, but the sender may have meant either.
    pub fn has_conflicting_framing(&self) -> bool {
        let framing = self.framing.borrow();
        framing.has_length && framing.has_transfer_encoding
    }

    /// Resets the time of the first byte and the framing for the next message.
    pub fn reset(&self) {
        self.first_byte.set(None);
        self.framing.take();
    }

    /// Records the attempt in the metrics after the next write: its last piece is about to be written.
    pub fn count_when_written(&self, metrics: Rc<Metrics>) {
        self.count_after_write.replace(Some(metrics));
    }

    /// The next byte starts a message that may be written only if this check passes at that time.
    pub fn set_write_check(&self, check: WriteCheck) {
        self.write_check.replace(Some(check));
    }

    /// Whether a message was not written because its check failed: not a byte of it was sent.
    pub fn write_rejected(&self) -> bool {
        self.write_rejected.get()
    }

    /// Whether it broke for a reason other than the peer.
    pub fn failed_not_by_peer(&self) -> bool {
        matches!(self.failure.get(), Some(FailureCause::Local | FailureCause::Network))
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
        let (mut scratch, mut dropped) = ([0; LINGER_READ_LEN], 0);
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
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// Whether the kernel holds unread bytes or the peer's end. It asks the kernel, because the runtime
    /// only knows the result of its last poll.
    pub fn has_pending_input(&self) -> bool {
        let socket = SockRef::from(&self.stream);
        let peeked = uninterrupted(|| socket.peek(&mut [MaybeUninit::uninit(); 1]));
        !peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let monitor = &self.0;
        loop {
            let Poll::Ready(ready) = monitor.stream.poll_read_ready(cx) else {
                monitor.more_input.set(false);
                return Poll::Pending;
            };
            ready?;
            match monitor.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    monitor.framing.borrow_mut().scan(&buf.initialize_unfilled()[..count]);
                    monitor.last_read.set(Instant::now());
                    buf.advance(count);
                    monitor.more_input.set(count > 0);
                    if count > 0 && monitor.first_byte.get().is_none() {
                        monitor.first_byte.set(Some(Instant::now()));
                    }
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
            ready!(self.0.stream.poll_write_ready(cx))?;
            let check = self.0.write_check.take();
            if self.0.write_rejected.get() || check.as_ref().is_some_and(|check| !check()) {
                self.0.write_rejected.set(true);
                return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
            }
            match self.0.stream.try_write_vectored(parts) {
                Err(e) if is_retryable(&e) => {
                    // Nothing was written: the check is repeated before the next try.
                    self.0.write_check.replace(check);
                }
                written => {
                    if let Err(e) = &written {
                        self.0.failure.set(Some(FailureCause::of(e)));
                    }
                    self.0.last_write.set(Instant::now());
                    if written.as_ref().is_ok_and(|count| *count > 0)
                        && let Some(metrics) = self.0.count_after_write.take()
                    {
                        metrics.record_attempt();
                    }
                    return Poll::Ready(written);
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
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
