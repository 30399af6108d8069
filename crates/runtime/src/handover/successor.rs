//! The successor's side of a handover: takes over the listening socket, the bans and the learned state.

use super::protocol::{Connection, Message};
use super::{Handover, descriptor};
use crate::interrupts::uninterrupted_async;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{info, warn};

/// Timeout of the predecessor's socket, bans and allowance. The successor has to be ready within 6 s, and still needs a
/// current endpoint list.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the predecessor's learned state: the last step before the successor is ready.
const LEARNED_STATE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of the predecessor's usable endpoints, which a predecessor of an earlier version does not send.
const USABLE_ENDPOINTS_TIMEOUT: Duration = Duration::from_millis(250);

/// What a predecessor has handed over.
pub struct HandedOver {
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// The uids of banned endpoints.
    pub bans: Vec<String>,
    /// The connection to the predecessor, for [`Handover::follow_predecessor`].
    pub connection: Connection,
}

impl Handover {
    /// Takes over from the process that serves, if there is one. After a kill the socket file is left and nobody listens.
    pub async fn take_over(&self) -> Option<HandedOver> {
        match timeout(TAKE_OVER_TIMEOUT, self.take_over_from(&self.socket_path())).await {
            Ok(Ok(handed_over)) => Some(handed_over),
            Ok(Err(e))
                if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) =>
            {
                None
            }
            Ok(Err(e)) => {
                warn!(error = %e, "handover failed; starting without");
                None
            }
            Err(_) => {
                warn!("handover: timed out waiting for the predecessor; starting without");
                None
            }
        }
    }

    async fn take_over_from(&self, path: &Path) -> io::Result<HandedOver> {
        let stream = uninterrupted_async(async || UnixStream::connect(path).await).await?;
        let listener = descriptor::receive(&stream).await?;
        let mut connection = Connection::new(stream);
        let mut bans = Vec::new();
        loop {
            match connection.reader.next_line().await?.as_deref().and_then(Message::parse) {
                Some(Message::Ban { uid, banned: true }) => bans.push(uid),
                Some(Message::DescriptorAllowance(count)) => {
                    self.budget.set_successor(count);
                    return Ok(HandedOver { listener, bans, connection });
                }
                _ => return Err(io::Error::other("the predecessor sent an unexpected message")),
            }
        }
    }

    /// Exchanges messages with the predecessor until it exits.
    pub fn follow_predecessor(self: &Rc<Self>, connection: Connection) {
        self.has_predecessor.set(true);
        let (peer, outgoing) = self.new_peer();
        self.peer_connected(&peer, true);
        let this = self.clone();
        spawn_local(async move {
            this.exchange(connection, peer, outgoing).await;
            info!("handover: predecessor exited");
            this.budget.set_alone();
            this.has_predecessor.set(false);
            this.predecessor_exited.notify_waiters();
        });
    }

    /// Asks the predecessor for the uids of the endpoints that its list allows to be used; none without a predecessor, or if
    /// it does not answer in time.
    pub async fn request_usable_endpoints(&self) -> Option<Vec<String>> {
        let peer = self.peers.borrow().first().cloned().filter(|_| self.has_predecessor.get())?;
        let received = peer.request_usable_endpoints();
        drop(peer); // so that the wait ends if the predecessor exits
        timeout(USABLE_ENDPOINTS_TIMEOUT, received).await.ok()?.ok()
    }

    /// Asks the predecessor for its learned state; none without a predecessor, or if it does not answer in time.
    pub async fn request_learned_state(&self) -> Option<Vec<u8>> {
        let peer = self.peers.borrow().first().cloned().filter(|_| self.has_predecessor.get())?;
        let received = peer.request_learned_state();
        drop(peer); // so that the wait ends if the predecessor exits
        timeout(LEARNED_STATE_TIMEOUT, received).await.ok()?.ok()
    }
}
