//! Retries of system calls that a signal has interrupted (`EINTR`): they have transferred nothing, and say
//! nothing about the other end of a connection. Neither hyper nor tokio retries them.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// Maximum retries of one call, so that no call blocks the whole process. Signals never arrive in such
/// numbers.
const MAX_RETRIES: usize = 100;

/// Whether a call on a non-blocking socket transferred nothing and is to be retried: it was interrupted, or
/// the socket is not ready. A caller that awaits readiness before the retry yields to other tasks from time
/// to time.
pub fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

/// Retries a system call while it is interrupted.
///
/// # Errors
/// Any other error of the call, or the interruption of the last retry.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_RETRIES {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

/// As [`uninterrupted`], for a call that awaits readiness, such as accept.
///
/// # Errors
/// Any other error of the call, or the interruption of the last retry.
pub async fn uninterrupted_async<T>(mut call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_RETRIES {
        match call().await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call().await
}

/// The calls of a non-blocking stream socket that [`Uninterrupted`] needs.
pub trait StreamSocket: Unpin {
    /// Polls until the socket is readable.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Polls until the socket is writable.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads available bytes without blocking.
    ///
    /// # Errors
    /// Those of read(2), among them `WouldBlock` if none are available.
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes as many bytes as the socket accepts without blocking.
    ///
    /// # Errors
    /// Those of writev(2), among them `WouldBlock` if it accepts none.
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

/// A stream whose interrupted reads and writes are retried. Unlike with tokio's own streams, a short read
/// or write does not imply that the kernel's buffer is empty or full.
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
