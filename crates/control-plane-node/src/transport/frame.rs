//! Frames on a stream: four bytes of length, big-endian, and a message.

use crate::transient::{Uninterrupted, is_interrupted, retry_interrupted};
use curlewhub_control_plane::protocol::{DecodeError, MAX_MESSAGE_BYTES};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::timeout;

/// The length in front of a message.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;
/// Limit of the time for the rest of a frame whose length was read, and for a peer to accept a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Frames above this size, in KiB, take their size from a shared budget before they are read: a sender can claim any size
/// before its message is authenticated.
const LARGE_FRAME_KIB: usize = 64;
/// The budget of large frames, in KiB.
const LARGE_FRAMES_BUDGET_KIB: usize = 64 * 1024;

/// A new budget of large frames, one permit for each KiB.
pub(crate) fn large_frames_budget() -> Semaphore {
    Semaphore::new(LARGE_FRAMES_BUDGET_KIB)
}

/// Connects from `local_ip`, so that the peer sees the address that it knows of this process; from any address if that is
/// unspecified or of the other address family.
///
/// # Errors
/// As connect(2).
pub(crate) async fn connect(local_ip: IpAddr, peer: SocketAddr) -> io::Result<TcpStream> {
    loop {
        let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if local_ip.is_ipv4() == peer.is_ipv4() && !local_ip.is_unspecified() {
            retry_interrupted(|| socket.bind(SocketAddr::new(local_ip, 0)))?;
        }
        match socket.connect(peer).await {
            // The state of a socket whose connect was interrupted is unspecified (connect(2)): a new one is used.
            Err(e) if is_interrupted(&e) => yield_now().await,
            connected => return connected,
        }
    }
}

/// Writes a frame.
///
/// # Errors
/// The connection has ended, or the peer does not accept the frame in time.
pub(crate) async fn write_frame(into: &mut (impl AsyncWrite + Unpin), message: &[u8]) -> io::Result<()> {
    let mut into = Uninterrupted(into);
    let written = async {
        into.write_all(&(message.len() as u32).to_be_bytes()).await?;
        into.write_all(message).await?;
        into.flush().await
    };
    timeout(FRAME_TIMEOUT, written).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Reads a frame. There is no limit of the time until its length is there; the rest has to follow in time.
///
/// # Errors
/// The connection has ended, the frame is too long, or it is not complete in time.
pub(crate) async fn read_frame(
    from: &mut (impl AsyncRead + Unpin),
    large_frames: &Semaphore,
) -> io::Result<Vec<u8>> {
    let mut from = Uninterrupted(from);
    let length = from.read_u32().await? as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, DecodeError::TooLong));
    }
    let rest = async {
        let kib = length / 1024;
        let needed_kib = if kib > LARGE_FRAME_KIB { kib.min(LARGE_FRAMES_BUDGET_KIB) as u32 } else { 0 };
        let _permit = large_frames.acquire_many(needed_kib).await.map_err(io::Error::other)?;
        // The buffer grows with what arrives: the claimed length alone allocates nothing.
        let mut message = Vec::new();
        from.take(length as u64).read_to_end(&mut message).await?;
        Ok::<_, io::Error>(message)
    };
    let message =
        timeout(FRAME_TIMEOUT, rest).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if message.len() < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(message) }
}
