//! Writes lists in the forms that the protocol allows.

use crate::interrupted::write_whole;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time between two pieces of one message.
const BETWEEN_PIECES: Duration = Duration::from_millis(8);
/// Pieces that a message comes in.
const PIECES: usize = 4;

/// Writes bytes, all at once or in pieces.
pub(super) async fn write(stream: &mut TcpStream, bytes: &[u8], in_pieces: bool) -> io::Result<()> {
    if !in_pieces {
        return write_whole(stream, bytes).await;
    }
    for piece in bytes.chunks(bytes.len().div_ceil(PIECES).max(1)) {
        write_whole(stream, piece).await?;
        sleep(BETWEEN_PIECES).await;
    }
    Ok(())
}

/// A line of a watch as a chunk.
pub(super) fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
