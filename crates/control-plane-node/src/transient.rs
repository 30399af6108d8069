//! Transient errors of system calls: a call that a signal interrupted is repeated at once, an accept that a limit of the
//! machine refused after a pause.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Limit of interruptions in a row before a call yields to other tasks, or fails.
const MAX_INTERRUPTIONS: usize = 16;
/// Pause before the next accept after the machine had no descriptors or memory left (accept(2): EMFILE, ENFILE, ENOBUFS,
/// ENOMEM). The connection remains in the backlog, and accept would fail again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Whether a signal interrupted the call (EINTR), which is then to be repeated.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == ErrorKind::Interrupted
}

/// Repeats a non-blocking call while it is interrupted.
///
/// # Errors
/// Any other error of the call, or that it was interrupted [`MAX_INTERRUPTIONS`] times in a row.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_INTERRUPTIONS {
        match call() {
            Err(e) if is_interrupted(&e) => {}
            result => return result,
        }
    }
    call()
}

/// How long to wait before the next accept after this error; `None` after one that concerns a single connection or call
/// (ECONNABORTED, ECONNRESET, EINTR), as the next accept may succeed.
pub fn accept_pause(error: &io::Error) -> Option<Duration> {
    let concerns_one_connection = matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    );
    (!concerns_one_connection).then_some(ACCEPT_PAUSE)
}

/// A reader or writer whose interrupted calls are repeated, without loss of what was read or written before.
pub struct Uninterrupted<T>(pub T);

/// Repeats a call while it is interrupted; after [`MAX_INTERRUPTIONS`] in a row it yields to other tasks.
fn poll_uninterrupted<T>(
    context: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_INTERRUPTIONS {
        match ready!(call(context)) {
            Err(e) if is_interrupted(&e) => {}
            result => return Poll::Ready(result),
        }
    }
    context.waker().wake_by_ref();
    Poll::Pending
}

impl<T: AsyncRead + Unpin> AsyncRead for Uninterrupted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_uninterrupted(context, |context| Pin::new(&mut self.0).poll_read(context, buffer))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_uninterrupted(context, |context| Pin::new(&mut self.0).poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(context, |context| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(context, |context| Pin::new(&mut self.0).poll_shutdown(context))
    }
}
