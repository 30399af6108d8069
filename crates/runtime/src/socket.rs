//! A TCP connection that notes what comes in, under hyper, which keeps that to itself.

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

/// Buffer of a connection, either way; also bounds a message's head.
pub const BUFFER_MOST: usize = 64 * 1024;

/// How often a connection that only lingers looks whether its peer has ended.
const PEER_END_CHECK: Duration = Duration::from_millis(50);
/// What is taken in at once of what nobody wants.
const LINGER_PIECE: usize = 16 * 1024;

/// What has come in, for who uses the connection.
pub struct Heard {
    stream: TcpStream,
    /// The last look found bytes: more may lie unread between here and the reader.
    more: Cell<bool>,
    /// When the first byte came since `forget`.
    began: Cell<Option<Instant>>,
    /// When the last bytes came, and when some were last written.
    last: Cell<Instant>,
    wrote: Cell<Instant>,
    /// Looks at the framing of the requests that come in.
    framing: RefCell<Framing>,
    /// Raised once more has been written.
    awaiting: RefCell<Option<Rc<Metrics>>>,
    /// Asked right before the first byte is written of what goes out next.
    leave: RefCell<Option<Leave>>,
    /// What a read or write failed with.
    broke: Cell<Option<Break>>,
    /// It said no: nothing of that was written, and nothing more is.
    withheld: Cell<bool>,
}

/// Where a connection broke.
#[derive(Clone, Copy, PartialEq)]
enum Break {
    /// The other side ended or reset it.
    Peer,
    /// The network gave it up: the other side can't be reached, or has not answered for long.
    Network,
    /// This machine is out of something.
    Local,
}

impl Break {
    fn of(error: &io::Error) -> Self {
        use io::ErrorKind::{HostUnreachable, NetworkDown, NetworkUnreachable, TimedOut};
        match error.kind() {
            _ if is_local(error) => Break::Local,
            HostUnreachable | NetworkDown | NetworkUnreachable | TimedOut => Break::Network,
            _ => Break::Peer,
        }
    }
}

/// Whether what is about to be written may still go.
pub type Leave = Box<dyn Fn() -> bool>;

/// Which framings a message's head names, as its bytes pass by.
#[derive(Default)]
struct Framing {
    /// The beginning of the line that is coming, in lower case.
    line: Vec<u8>,
    /// A line that is not empty has come.
    begun: bool,
    /// The head is over.
    over: bool,
    length: bool,
    chunks: bool,
}

impl Framing {
    /// The longest name looked for, with its colon.
    const NAME_MOST: usize = b"transfer-encoding:".len();

    fn see(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.over => return,
                b'\n' => {
                    self.length |= self.line.starts_with(b"content-length:");
                    self.chunks |= self.line.starts_with(b"transfer-encoding:");
                    // Empty lines may come ahead of a request; after one of its lines they end its head.
                    self.over = self.begun && self.line.is_empty();
                    self.begun |= !self.line.is_empty();
                    self.line.clear();
                }
                b'\r' => {}
                _ if self.line.len() < Self::NAME_MOST => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }
}

/// The connection itself, for hyper.
pub struct Socket(Rc<Heard>);

impl Socket {
    /// This connection, and what it notes.
    pub fn new(stream: TcpStream) -> (Self, Rc<Heard>) {
        let heard = Rc::new(Heard {
            stream,
            more: Cell::new(false),
            began: Cell::new(None),
            last: Cell::new(Instant::now()),
            wrote: Cell::new(Instant::now()),
            framing: RefCell::default(),
            awaiting: RefCell::default(),
            leave: RefCell::default(),
            broke: Cell::default(),
            withheld: Cell::default(),
        });
        (Socket(heard.clone()), heard)
    }
}

impl Heard {
    /// Whether bytes came that hyper has not gone beyond: it looks at the socket again only once it
    /// has used up what it had.
    pub fn more(&self) -> bool {
        self.more.get()
    }

    /// When the first byte came since all was forgotten.
    pub fn began(&self) -> Option<Instant> {
        self.began.get()
    }

    /// For how long nothing has come, though it could have been read.
    pub fn silence(&self) -> Duration {
        if self.pending() { Duration::ZERO } else { self.last.get().elapsed() }
    }

    /// For how long nothing could be written.
    pub fn unwritten(&self) -> Duration {
        self.wrote.get().elapsed()
    }

    /// Whether the head that came states a length beside chunks: hyper then takes the chunks and hides the
    /// length, but whoever sent both may mean either.
    pub fn framed_twice(&self) -> bool {
        let framing = self.framing.borrow();
        framing.length && framing.chunks
    }

    /// Begins anew.
    pub fn forget(&self) {
        self.began.set(None);
        self.framing.take();
    }

    /// An attempt's last piece is on its way: counts the attempt once something has been written.
    pub fn count_written(&self, metrics: Rc<Metrics>) {
        self.awaiting.replace(Some(metrics));
    }

    /// The next byte is the first of something that goes only if this still holds then.
    pub fn begins(&self, leave: Leave) {
        self.leave.replace(Some(leave));
    }

    /// Whether something did not go after all: not a byte of it was written.
    pub fn withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Whether it broke without the other side's doing.
    pub fn broke_elsewhere(&self) -> bool {
        matches!(self.broke.get(), Some(Break::Local | Break::Network))
    }

    /// Whether it broke by a fault of this machine.
    pub fn broke_locally(&self) -> bool {
        self.broke.get() == Some(Break::Local)
    }

    /// What is still to be written is of no use, and a plain end would pass for a whole answer: the connection is
    /// reset as it is closed.
    pub fn resets(&self) {
        // Fails only on a socket that has ended already.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        self.withheld.set(true);
    }

    /// Ends the sending and takes in what still comes, to the peer's end or so many bytes: a close over bytes that
    /// nobody read resets the connection, and takes the last answer with it. Nothing of it is looked at.
    pub async fn linger(&self, most: usize) {
        if self.withheld.get() || SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let (mut scratch, mut taken) = ([0; LINGER_PIECE], 0);
        while taken < most && self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut scratch) {
                Ok(0) => return,
                Ok(count) => taken += count,
                Err(e) if is_retryable(&e) => {}
                Err(_) => return,
            }
        }
    }

    /// Ends the sending and reads nothing more, until the peer has ended too: what crosses that end is no request that
    /// was taken, and is turned back by a reset once the connection is dropped.
    pub async fn linger_unread(&self) {
        if self.withheld.get() || SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        while !self.peer_has_ended() {
            tokio::time::sleep(PEER_END_CHECK).await;
        }
    }

    /// Whether the peer's end is all that the kernel still holds, or the connection is broken. Reads nothing.
    fn peer_has_ended(&self) -> bool {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// Whether the kernel holds anything unread, or the end. Asked of it directly: the runtime only
    /// knows what its last look at all sockets has shown.
    pub fn pending(&self) -> bool {
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
        let heard = &self.0;
        loop {
            let Poll::Ready(ready) = heard.stream.poll_read_ready(cx) else {
                heard.more.set(false);
                return Poll::Pending;
            };
            ready?;
            match heard.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    heard.framing.borrow_mut().see(&buf.initialize_unfilled()[..count]);
                    heard.last.set(Instant::now());
                    buf.advance(count);
                    heard.more.set(count > 0);
                    if count > 0 && heard.began.get().is_none() {
                        heard.began.set(Some(Instant::now()));
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if is_retryable(&e) => {}
                Err(e) => {
                    heard.broke.set(Some(Break::of(&e)));
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
            let leave = self.0.leave.take();
            if self.0.withheld.get() || leave.as_ref().is_some_and(|leave| !leave()) {
                self.0.withheld.set(true);
                return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
            }
            match self.0.stream.try_write_vectored(parts) {
                Err(e) if is_retryable(&e) => {
                    // Nothing was written: it is asked anew before the next try.
                    self.0.leave.replace(leave);
                }
                written => {
                    if let Err(e) = &written {
                        self.0.broke.set(Some(Break::of(e)));
                    }
                    self.0.wrote.set(Instant::now());
                    if written.as_ref().is_ok_and(|count| *count > 0)
                        && let Some(metrics) = self.0.awaiting.take()
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
