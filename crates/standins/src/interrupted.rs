//! Reads, writes and accepts that are tried again where the system call was interrupted (EINTR), or where the peer
//! had gone before it was accepted (ECONNABORTED). A stand-in that took such an error for its connection's end would
//! show a loss that the sidecar under test has not caused.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Until the next try where accepting fails otherwise, as out of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Reads what has come, as `read_buf` does.
///
/// # Errors
/// Any other than an interruption.
pub async fn read_some<R: AsyncRead + Unpin>(from: &mut R, buffer: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        match from.read_buf(buffer).await {
            Err(error) if is_interrupted(&error) => {}
            read => return read,
        }
    }
}

/// Writes all of it, as `write_all` does.
///
/// # Errors
/// Any other than an interruption.
pub async fn write_whole<W: AsyncWrite + Unpin>(to: &mut W, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match to.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if is_interrupted(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Waits until something can be read, and leaves it there; how much, 0 at the end.
///
/// # Errors
/// Any other than an interruption.
pub async fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match stream.peek(&mut [0]).await {
            Err(error) if is_interrupted(&error) => {}
            seen => return seen,
        }
    }
}

/// The next connection, however often accepting fails.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) if is_interrupted(&error) || error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(_) => sleep(ACCEPT_AGAIN).await,
        }
    }
}
