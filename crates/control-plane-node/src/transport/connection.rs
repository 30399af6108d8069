//! One stream connection: frames are sent from a queue and received at the same time, until it ends or is idle.

use super::frame::{FRAME_HEADER_BYTES, read_frame, write_frame};
use super::{PeerQueue, Transport};
use curlewhub_control_plane::protocol::{DecodeError, Envelope, FORMAT};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// A connection without a frame in either direction for this long is closed. The next message to the peer dials again.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The peer of a connection.
pub(super) enum Peer<'a> {
    /// It was dialled under this name.
    Dialled(&'a str),
    /// It was accepted; its name is known from its first message on.
    Accepted {
        /// Its address.
        address: SocketAddr,
        /// The queue of messages to it.
        queue: PeerQueue,
    },
}

impl Peer<'_> {
    fn accepted_address(&self) -> Option<SocketAddr> {
        match self {
            Peer::Dialled(_) => None,
            Peer::Accepted { address, .. } => Some(*address),
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// It failed, or the peer closed it, before any valid message was received on it.
    WithoutMessage,
    /// It failed, or the peer closed it, later.
    AfterMessages,
    /// This process closed it as idle, or could not set it up.
    Closed,
}

/// The state that both directions of a connection share.
pub(super) struct Connection<'a> {
    transport: &'a Transport,
    peer: Peer<'a>,
    last_used: Cell<Instant>,
    /// Whether a valid message was received.
    has_received: Cell<bool>,
    /// The format of the message received last, which answers to an accepted peer are written in.
    peer_format: Cell<u8>,
}

impl<'a> Connection<'a> {
    pub(super) fn new(transport: &'a Transport, peer: Peer<'a>) -> Connection<'a> {
        Connection {
            transport,
            peer,
            last_used: Cell::new(Instant::now()),
            has_received: Cell::new(false),
            peer_format: Cell::new(FORMAT),
        }
    }

    /// Sends `first` and then the queued messages, and delivers received ones, until the connection ends.
    pub(super) async fn run(
        self,
        stream: TcpStream,
        first: Option<Envelope>,
        queued: &mut mpsc::Receiver<Envelope>,
    ) -> ConnectionEnd {
        if stream.set_nodelay(true).is_err() {
            return ConnectionEnd::Closed;
        }
        let (from, into) = stream.into_split();
        let failed = tokio::select! {
            _ = self.send_all(into, first, queued) => true,
            _ = self.receive_all(from) => true,
            () = self.idle() => false,
        };
        if let Peer::Accepted { queue, .. } = &self.peer {
            self.transport.accepted_peers.borrow_mut().retain(|_, other| !other.same_channel(queue));
        }
        match (failed, self.has_received.get()) {
            (false, _) => ConnectionEnd::Closed,
            (true, false) => ConnectionEnd::WithoutMessage,
            (true, true) => ConnectionEnd::AfterMessages,
        }
    }

    async fn send_all(
        &self,
        mut into: OwnedWriteHalf,
        first: Option<Envelope>,
        queued: &mut mpsc::Receiver<Envelope>,
    ) -> io::Result<()> {
        let mut next = first;
        loop {
            let envelope = match next.take() {
                Some(envelope) => envelope,
                None => queued.recv().await.ok_or(io::ErrorKind::BrokenPipe)?,
            };
            let format = match self.peer {
                Peer::Dialled(name) => self.transport.formats.format_for(name),
                Peer::Accepted { .. } => self.peer_format.get(),
            };
            if envelope.message.min_format() > format {
                continue; // the peer's build does not know this message
            }
            let bytes = self.transport.keys.encode(&envelope, format);
            self.transport.traffic.count_sent(&envelope.message, bytes.len() + FRAME_HEADER_BYTES);
            write_frame(&mut into, &bytes).await?;
            self.last_used.set(Instant::now());
        }
    }

    async fn receive_all(&self, mut from: OwnedReadHalf) -> io::Result<()> {
        loop {
            let bytes = read_frame(&mut from, &self.transport.large_frames).await?;
            let frame_bytes = bytes.len() + FRAME_HEADER_BYTES;
            self.transport.traffic.count_received_bytes(frame_bytes);
            self.last_used.set(Instant::now());
            match self.transport.keys.decode_with_format(&bytes) {
                Ok((envelope, format)) => self.receive(envelope, format, frame_bytes),
                // Authentic, but unknown to this build, as from a newer one: later messages may be known.
                Err(why @ DecodeError::Malformed) => {
                    self.transport.dropped.record(why, self.peer.accepted_address());
                }
                Err(why) => {
                    self.transport.dropped.record(why, self.peer.accepted_address());
                    return Err(io::ErrorKind::InvalidData.into());
                }
            }
        }
    }

    fn receive(&self, envelope: Envelope, format: u8, frame_bytes: usize) {
        let sender = &envelope.from.name;
        self.peer_format.set(format);
        self.transport.traffic.count_received(&envelope.message, frame_bytes);
        self.transport.formats.observe(sender, format);
        let is_first = !self.has_received.replace(true);
        // Only the first name of a connection is recorded, so that a peer can't add any number of them.
        if let Peer::Accepted { queue, .. } = &self.peer
            && is_first
        {
            self.transport.accepted_peers.borrow_mut().insert(sender.clone(), queue.clone());
        }
        self.transport.deliver(envelope);
    }

    /// Completes once the connection has been idle for [`IDLE_TIMEOUT`].
    async fn idle(&self) {
        while let Some(left) = IDLE_TIMEOUT.checked_sub(self.last_used.get().elapsed())
            && !left.is_zero()
        {
            sleep(left).await;
        }
    }
}
