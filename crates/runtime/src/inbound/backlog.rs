//! The listen backlog: connections that the kernel has accepted and the sidecar has not. How long each of them has waited is not
//! known, so none may wait there for long: behind idle connections a request would be read after its client's time.

use super::MIN_SILENT_TIME;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cell::Cell;
use std::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Bytes of a head that are looked at, at most. A longer one counts as a request.
const LOOKED_AT: usize = 2048;

/// What has arrived on a connection that nothing was read from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PendingInput {
    /// The client has closed it without having sent anything, or it is broken.
    Ended,
    /// Nothing, or the beginning of a head.
    NoRequest,
    /// A request's head, or more than is looked at.
    Request,
}

/// Looks at what has arrived. Reads nothing.
pub(super) fn pending_input(stream: &TcpStream) -> PendingInput {
    let mut buffer = [0; LOOKED_AT];
    match recv(stream, &mut buffer, RecvFlags::PEEK) {
        Ok((_, 0)) => PendingInput::Ended,
        Ok((_, count)) => {
            let is_head = count >= LOOKED_AT || buffer[..count].windows(4).any(|four| four == b"\r\n\r\n");
            if is_head { PendingInput::Request } else { PendingInput::NoRequest }
        }
        Err(Errno::WOULDBLOCK | Errno::INTR) => PendingInput::NoRequest,
        Err(_) => PendingInput::Ended,
    }
}

/// Accepts connections, and knows since when there has always been one.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    never_empty_since: Cell<Option<Instant>>,
}

impl Backlog {
    /// Accepts a connection, as soon as there is one.
    pub async fn accept(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        let now = Instant::now();
        tokio::select! {
            biased;
            accepted = listener.accept() => {
                self.never_empty_since.set(self.never_empty_since.get().or(Some(now)));
                return accepted.map(|(stream, _)| stream);
            }
            () = std::future::ready(()) => self.never_empty_since.set(None),
        }
        listener.accept().await.map(|(stream, _)| stream)
    }

    /// Whether connections have waited here for as long as a client that has a request takes to send it. Then one that has
    /// brought none, and for which there is no place, may be shut unread.
    pub fn is_long(&self) -> bool {
        self.never_empty_since.get().is_some_and(|since| since.elapsed() >= MIN_SILENT_TIME)
    }
}
