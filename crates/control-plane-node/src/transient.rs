//! Errors of system calls that pass: a call that a signal interrupted is made again, and one that a limit of the machine
//! refused after a pause.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A call that is interrupted this often in a row lets other tasks run before it is made again.
const INTERRUPTIONS_IN_A_ROW: usize = 16;
/// Pause before the next accept where the machine has no descriptors or memory left (accept(2): EMFILE, ENFILE, ENOBUFS,
/// ENOMEM): the connection still waits, and accept would fail again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Whether a signal interrupted the call (EINTR): it is to be made again.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == ErrorKind::Interrupted
}

/// Makes a call that does not wait until it is not interrupted.
///
/// # Errors
/// What it fails with else, or that it was interrupted over and over.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..INTERRUPTIONS_IN_A_ROW {
        match call() {
            Err(e) if is_interrupted(&e) => {}
            result => return result,
        }
    }
    call()
}

/// How long to wait before the next accept after this error. One that concerns a single connection or call (ECONNABORTED,
/// EINTR, EPROTO and the like) says nothing of the next.
pub fn accept_pause(error: &io::Error) -> Option<Duration> {
    let of_one = matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    );
    (!of_one).then_some(ACCEPT_PAUSE)
}

/// Reads and writes that a signal interrupts are made again; nothing of what was read or written before is lost.
pub struct Uninterrupted<T>(pub T);

/// Makes a call again while it is interrupted, and gives way now and then.
fn poll_again<T>(
    context: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..INTERRUPTIONS_IN_A_ROW {
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
        poll_again(context, |context| Pin::new(&mut self.0).poll_read(context, buffer))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_again(context, |context| Pin::new(&mut self.0).poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_again(context, |context| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_again(context, |context| Pin::new(&mut self.0).poll_shutdown(context))
    }
}
