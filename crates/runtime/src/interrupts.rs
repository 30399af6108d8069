//! System calls that a signal has interrupted (EINTR) are made again: they have transferred nothing, and say nothing
//! about the other end of a connection. Neither hyper nor tokio repeats them.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// A call that has been interrupted so often in a row is not made again, so that no call holds up the whole process.
/// Signals never come in such numbers.
const MAX_INTERRUPTS: usize = 100;

/// Whether a call on a non-blocking socket transferred nothing and is to be made again: it was interrupted, or has to
/// wait until the socket is ready. Who waits for readiness in between yields to other tasks from time to time.
pub fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

/// Makes a system call until it is not interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTS {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

/// The same for a call that waits for readiness, as accept does.
pub async fn uninterrupted_async<T>(mut call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTS {
        match call().await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call().await
}

/// A non-blocking stream socket: the calls that [`Uninterrupted`] needs of it.
pub trait StreamSocket: Unpin {
    /// Ready once it may be read.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Ready once it may be written.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads what is there.
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes what there is room for.
    fn write_now(&self, parts: &[IoSlice<'_>]) -> io::Result<usize>;
}

macro_rules! stream_socket {
    ($socket:ty) => {
        impl StreamSocket for $socket {
            fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_read_ready(cx)
            }

            fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_write_ready(cx)
            }

            fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
                self.try_read(buffer)
            }

            fn write_now(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
                self.try_write_vectored(parts)
            }
        }
    };
}

stream_socket!(TcpStream);
stream_socket!(UnixStream);

/// A stream whose interrupted reads and writes are made again. A short read or write is not taken for an empty or
/// full buffer of the kernel, as tokio's own streams take it.
pub struct Uninterrupted<S>(pub S);

impl<S: StreamSocket> AsyncRead for Uninterrupted<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_readable(cx))?;
            match self.0.read_now(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if is_retryable(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl<S: StreamSocket + AsyncWrite> AsyncWrite for Uninterrupted<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_writable(cx))?;
            match self.0.write_now(parts) {
                Err(error) if is_retryable(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
