//! A connection whose reads and writes are tried again where a signal interrupts them (EINTR): hyper takes any other
//! error than "would block" for the connection's end.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The connection.
pub struct Uninterrupted<T>(pub T);

/// Calls again while the call was interrupted.
fn again<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            ended => return ended,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Uninterrupted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        again(|| Pin::new(&mut self.0).poll_read(context, buffer))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        again(|| Pin::new(&mut self.0).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        again(|| Pin::new(&mut self.0).poll_write_vectored(context, pieces))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        again(|| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        again(|| Pin::new(&mut self.0).poll_shutdown(context))
    }
}
