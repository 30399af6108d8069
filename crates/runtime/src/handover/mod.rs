//! Handover: replacing a process of a sidecar by a successor without losing a connection or a request.
//!
//! The serving process listens on a Unix socket in the state directory. A successor connects there and is passed the
//! clients' listening socket itself, so that both processes accept from one queue, and closing either descriptor loses
//! no queued connection. The connection stays open while both processes live; its end tells either one that the other
//! has exited.
//!
//! After the descriptor both sides send [`Message`]s:
//! 1. The predecessor sends its bans and then the successor's allowance of descriptors. From then on the successor runs.
//! 2. Once all else is ready, the successor asks for the learned state, and before that, if it has not heard of discovery, for
//!    the endpoints that the predecessor's list allows to be used.
//! 3. While both live, a ban that one of them accepts is in force in both before its caller gets an answer, and both
//!    exchange quota parts (see [`overlap`]).
//!
//! `predecessor` has the side that hands over, `successor` the one that takes over; a process may have both at once.

mod descriptor;
pub mod overlap;
mod peer;
mod predecessor;
pub mod protocol;
mod successor;

use crate::budget::Budget;
use crate::events::{Command, Commands};
use crate::learned_state::LearnedState;
use peer::Peer;
use protocol::{Connection, Message};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use tracing::warn;

pub use descriptor::bind;
pub use successor::HandedOver;

/// Timeout of the other process's acknowledgement of a ban: the operator that asked for it waits for 1 s.
const BAN_TIMEOUT: Duration = Duration::from_millis(400);

/// This process's connections to its predecessor and its successor.
pub struct Handover {
    state_dir: PathBuf,
    listen: SocketAddr,
    budget: Rc<Budget>,
    commands: Commands,
    /// The clients' listening socket; none once this process accepts no more.
    listener: RefCell<Option<OwnedFd>>,
    peers: RefCell<Vec<Rc<Peer>>>,
    has_successor: Cell<bool>,
    has_predecessor: Cell<bool>,
    next_link: Cell<u64>,
    predecessor_exited: Notify,
    /// What a successor may ask for; none while this process has none yet.
    learned_state: RefCell<Option<Rc<LearnedState>>>,
}

impl Handover {
    /// For the sidecar with this listen address and state directory.
    pub fn new(state_dir: &Path, listen: SocketAddr, budget: Rc<Budget>, commands: Commands) -> Rc<Self> {
        Rc::new(Handover {
            state_dir: state_dir.to_owned(),
            listen,
            budget,
            commands,
            listener: RefCell::default(),
            peers: RefCell::default(),
            has_successor: Cell::default(),
            has_predecessor: Cell::default(),
            next_link: Cell::default(),
            predecessor_exited: Notify::new(),
            learned_state: RefCell::default(),
        })
    }

    /// Sets the learned state that a successor may ask for.
    pub fn set_learned_state(&self, learned_state: Rc<LearnedState>) {
        self.learned_state.replace(Some(learned_state));
    }

    /// Whether a successor accepts clients instead of this process.
    pub fn has_successor(&self) -> bool {
        self.has_successor.get()
    }

    /// Sets the listening socket that a successor is passed.
    ///
    /// # Errors
    /// It can't be duplicated.
    pub fn set_listener(&self, listener: &TcpListener) -> io::Result<()> {
        self.listener.replace(Some(listener.as_fd().try_clone_to_owned()?));
        Ok(())
    }

    /// Closes the listening socket: while any descriptor of it is open, the kernel accepts connections that nobody serves.
    pub fn close_listener(&self) {
        self.listener.replace(None);
    }

    /// Waits until there is no predecessor.
    pub async fn predecessor_exited(&self) {
        while self.has_predecessor.get() {
            self.predecessor_exited.notified().await;
        }
    }

    /// Passes a ban or its end on to the other processes. Returns whether it is in force in all of them that still live.
    pub async fn propagate_ban(&self, uid: &str, banned: bool) -> bool {
        let peers = self.peers.borrow().clone();
        for peer in peers {
            let acknowledged = timeout(BAN_TIMEOUT, peer.send_ban(uid, banned)).await;
            if !matches!(acknowledged, Ok(Ok(()))) && self.is_connected(&peer) {
                return false;
            }
        }
        true
    }

    fn is_connected(&self, peer: &Rc<Peer>) -> bool {
        self.peers.borrow().iter().any(|other| Rc::ptr_eq(other, peer))
    }

    fn new_peer(&self) -> (Rc<Peer>, UnboundedReceiver<Message>) {
        let link = self.next_link.replace(self.next_link.get() + 1);
        Peer::new(link)
    }

    /// Registers another process. Commands are lost only while this process ends.
    fn peer_connected(&self, peer: &Rc<Peer>, is_predecessor: bool) {
        self.peers.borrow_mut().push(peer.clone());
        let send = peer.overlap_sender();
        let _ = self.commands.send(Command::PeerConnected { link: peer.link, is_predecessor, send });
    }

    /// Removes another process that has exited; does nothing the second time.
    fn peer_disconnected(&self, peer: &Rc<Peer>) {
        let mut peers = self.peers.borrow_mut();
        let count = peers.len();
        peers.retain(|other| !Rc::ptr_eq(other, peer));
        if peers.len() < count {
            let _ = self.commands.send(Command::PeerDisconnected(peer.link));
        }
    }

    /// Exchanges messages with another process until it exits.
    async fn exchange(
        &self,
        connection: Connection,
        peer: Rc<Peer>,
        mut outgoing: UnboundedReceiver<Message>,
    ) {
        let Connection { mut reader, mut writer } = connection;
        let send = async {
            while let Some(message) = outgoing.recv().await {
                if writer.send(&message).await.is_err() {
                    return;
                }
            }
        };
        let receive = async {
            while let Ok(Some(line)) = reader.next_line().await {
                match Message::parse(&line) {
                    Some(message) => self.handle(message, &peer).await,
                    None => warn!(line, "handover: message not understood"),
                }
            }
        };
        tokio::select! {
            () = send => {}
            () = receive => {}
        }
        self.peer_disconnected(&peer);
    }

    async fn handle(&self, message: Message, peer: &Peer) {
        match message {
            Message::Ban { uid, banned } => self.apply_ban(uid, banned, peer).await,
            Message::BanAcknowledged => peer.ban_acknowledged(),
            Message::DescriptorAllowance(count) => self.budget.set_successor(count),
            Message::LearnedStateRequest => self.send_learned_state(peer).await,
            Message::LearnedState(bytes) => peer.learned_state_received(bytes),
            Message::UsableEndpointsRequest => self.send_usable_endpoints(peer).await,
            Message::UsableEndpoints(uids) => peer.usable_endpoints_received(uids),
            Message::Overlap(message) => {
                let _ = self.commands.send(Command::PeerMessage(peer.link, message));
            }
        }
    }

    /// Applies the ban of another process. It is not acknowledged if it can't be kept, so that its caller gets a refusal.
    async fn apply_ban(&self, uid: String, banned: bool, peer: &Peer) {
        let (reply, applied) = oneshot::channel();
        let _ = self.commands.send(Command::Ban { uid, banned, known_to_peer: true, reply });
        if matches!(applied.await, Ok(Ok(()))) {
            peer.send(Message::BanAcknowledged);
        }
    }

    /// Sends the learned state. If it can't be captured nothing is sent, and the successor starts without.
    async fn send_learned_state(&self, peer: &Peer) {
        let learned_state = self.learned_state.borrow().clone();
        if let Some(learned_state) = learned_state
            && let Some(bytes) = learned_state.capture().await
        {
            peer.send(Message::LearnedState(bytes));
        }
    }

    /// Sends the endpoints that the list allows to be used.
    async fn send_usable_endpoints(&self, peer: &Peer) {
        let (reply, listed) = oneshot::channel();
        let _ = self.commands.send(Command::ListUsableEndpoints(reply)); // fails only while this process ends
        if let Ok(uids) = listed.await {
            peer.send(Message::UsableEndpoints(uids));
        }
    }

    /// The path of the Unix socket. The name is stable, since processes of different builds meet there.
    fn socket_path(&self) -> PathBuf {
        let name = format!("curlewhub-handover-{}-{}.sock", self.listen.ip(), self.listen.port());
        self.state_dir.join(name)
    }
}
