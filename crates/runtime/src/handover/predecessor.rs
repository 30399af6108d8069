//! The predecessor's side of a handover: offers the listening socket to a successor, and leaves it the descriptors and
//! the memory that this process no longer needs.

use super::peer::Peer;
use super::protocol::{Connection, Message};
use super::{Handover, descriptor};
use crate::endpoint_bans::EndpointBans;
use crate::interrupts::uninterrupted_async;
use crate::lifecycle::{Lifecycle, State};
use crate::outbound::Outbound;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::{interval, sleep};
use tracing::{info, warn};

/// Interval between attempts to bind the Unix socket in a directory that can't be written.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the descriptors in use are counted while there is a successor; also the wait after a failed accept.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Descriptors that a terminating process may open beyond those in use: its open requests still need connections to
/// endpoints.
const TERMINATING_HEADROOM: usize = 4;

impl Handover {
    /// Hands over to each successor that connects, one after the other, until the process ends.
    pub async fn serve_successors(
        self: Rc<Self>,
        bans: Rc<EndpointBans>,
        lifecycle: Rc<Lifecycle>,
        outbound: Rc<Outbound>,
    ) {
        let Some(listener) = self.bind_when_possible().await else { return };
        loop {
            let stream = match uninterrupted_async(async || listener.accept().await).await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!(error = %e, "handover: accept failed");
                    sleep(CHECK_INTERVAL).await;
                    continue;
                }
            };
            match self.send_listener(&stream).await {
                Some(Ok(())) => self.serve_successor(stream, &bans, &lifecycle, &outbound).await,
                Some(Err(e)) => warn!(error = %e, "handover: sending the listening socket failed"),
                None => {} // this process accepts no more
            }
        }
    }

    /// Sends the clients' listening socket; none if it is closed.
    async fn send_listener(&self, stream: &UnixStream) -> Option<io::Result<()>> {
        let listener = self.listener.borrow().as_ref().map(|listener| listener.try_clone())?;
        Some(match listener {
            Ok(listener) => descriptor::send(stream, &listener).await,
            Err(e) => Err(e),
        })
    }

    /// Serves beside a successor until it exits.
    async fn serve_successor(
        &self,
        stream: UnixStream,
        bans: &EndpointBans,
        lifecycle: &Lifecycle,
        outbound: &Outbound,
    ) {
        info!("handover: a successor has come");
        let (peer, outgoing) = self.new_peer();
        for uid in bans.all() {
            peer.send(Message::Ban { uid, banned: true });
        }
        peer.send(Message::DescriptorAllowance(self.budget.set_predecessor()));
        let connection = Connection::new(stream);
        self.has_successor.set(true);
        self.peer_connected(&peer, false);
        tokio::select! {
            () = self.exchange(connection, peer.clone(), outgoing) => {}
            () = self.release_descriptors(&peer, lifecycle, outbound) => {}
        }
        info!("handover: the successor has gone");
        self.peer_disconnected(&peer); // if the exchange has not done it
        self.has_successor.set(false);
        self.budget.set_alone();
    }

    /// Leaves the successor the descriptors that this process no longer uses: idle connections beyond its own share are
    /// closed, and once it terminates, whatever it has not in use is the successor's.
    async fn release_descriptors(&self, peer: &Peer, lifecycle: &Lifecycle, outbound: &Outbound) {
        let mut last_allowance = 0;
        let mut check = interval(CHECK_INTERVAL);
        loop {
            check.tick().await;
            if lifecycle.state() == State::Terminating {
                let allowance = self.budget.limit_to_current(TERMINATING_HEADROOM);
                if allowance != last_allowance {
                    last_allowance = allowance;
                    peer.send(Message::DescriptorAllowance(allowance));
                }
            }
            while self.budget.is_exceeded() && outbound.close_oldest_idle() {}
        }
    }

    /// Binds the Unix socket; retries while that fails, since the directory may become writable. None once another
    /// process has bound its own socket there.
    async fn bind_when_possible(&self) -> Option<UnixListener> {
        let mut logged = false;
        loop {
            match self.bind_socket() {
                Ok(listener) => return Some(listener),
                Err(e) => {
                    let path = self.socket_path();
                    if !std::mem::replace(&mut logged, true) {
                        warn!(path = %path.display(), error = %e, "no handover; a successor has to share the port");
                    }
                    sleep(BIND_RETRY_INTERVAL).await;
                    if path.exists() {
                        return None;
                    }
                }
            }
        }
    }

    /// Binds a temporary path and renames it, so that the socket of an earlier process, live or dead, is replaced
    /// atomically.
    fn bind_socket(&self) -> io::Result<UnixListener> {
        let temporary = self.socket_path().with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&temporary); // left if an earlier process had this id
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, self.socket_path())?;
        Ok(listener)
    }
}
