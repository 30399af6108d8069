//! Messages between processes of the control plane: streams for most of them, datagrams for membership packets.
//!
//! Each peer has a bounded queue. A peer with a known address is dialled when the first message to it is queued; other
//! peers are answered on the connection that they have opened. Messages may be lost at any time, as in a network; raft,
//! subscribers and membership repeat what matters.

mod connection;
mod dropped;
mod formats;
mod frame;

use crate::traffic::{Lost, Traffic};
use crate::transient::{accept_pause, is_interrupted, retry_interrupted};
use connection::{Connection, ConnectionEnd, IDLE_TIMEOUT, Peer};
use curlewhub_control_plane::protocol::{Envelope, FORMAT, MIN_FORMAT, MacKeys, Message, PeerId};
use dropped::DroppedMessages;
use formats::PeerFormats;
pub(crate) use frame::{connect, large_frames_budget, read_frame, write_frame};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Limit of the messages in a peer's queue; those beyond it are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Limit of the time for a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed connect before the next message to the peer is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Limit of the peers that are dialled at once.
const MAX_DIALLED: usize = 64;
/// Limit of a datagram, so that it fits an Ethernet frame; packets of the membership are made to fit.
const MAX_DATAGRAM_BYTES: usize = 1472;
/// Pause after a receive error, which reports that an earlier datagram was refused by its receiver.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Where received messages are delivered.
pub(crate) type Inbox = mpsc::Sender<Envelope>;

/// The queue of messages to a peer.
type PeerQueue = mpsc::Sender<Envelope>;

/// What a transport is made of.
pub(crate) struct TransportSettings {
    /// Limit of accepted connections that are open at once.
    pub max_accepted: usize,
    /// The sender of this process's messages.
    pub own_id: PeerId,
    /// The keys of message authentication.
    pub keys: MacKeys,
    /// The address to connect from.
    pub local_ip: IpAddr,
    /// The addresses of the consensus servers, by name.
    pub server_addresses: BTreeMap<String, SocketAddr>,
    /// Where received messages are delivered.
    pub inbox: Inbox,
}

/// A dialled peer.
struct DialledPeer {
    address: SocketAddr,
    queue: PeerQueue,
}

/// All connections of a process. It must be used within a `LocalSet`, on which its tasks run.
pub(crate) struct Transport {
    own_id: RefCell<PeerId>,
    keys: MacKeys,
    local_ip: IpAddr,
    server_addresses: BTreeMap<String, SocketAddr>,
    dialled_peers: RefCell<HashMap<String, DialledPeer>>,
    /// The queues of accepted connections, by the name in the first message.
    accepted_peers: RefCell<HashMap<String, PeerQueue>>,
    open_accepted: Cell<usize>,
    max_accepted: usize,
    formats: PeerFormats,
    /// The budget of large frames that are being read.
    large_frames: Semaphore,
    /// None until datagrams are received.
    datagram_socket: RefCell<Option<Rc<UdpSocket>>>,
    inbox: Inbox,
    /// Received messages that were dropped.
    pub dropped: DroppedMessages,
    /// Counters of messages and bytes.
    pub traffic: Traffic,
}

impl Transport {
    /// A transport without connections.
    pub fn new(settings: TransportSettings) -> Rc<Transport> {
        let TransportSettings { max_accepted, own_id, keys, local_ip, server_addresses, inbox } = settings;
        Rc::new(Transport {
            own_id: RefCell::new(own_id),
            keys,
            local_ip,
            server_addresses,
            dialled_peers: RefCell::default(),
            accepted_peers: RefCell::default(),
            open_accepted: Cell::default(),
            max_accepted,
            formats: PeerFormats::default(),
            large_frames: large_frames_budget(),
            datagram_socket: RefCell::default(),
            inbox,
            dropped: DroppedMessages::default(),
            traffic: Traffic::default(),
        })
    }

    /// Sets the incarnation that later messages are sent under.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.own_id.borrow_mut().incarnation = incarnation;
    }

    /// Sets the newest format that a member reads; `None` once it is no member any more.
    pub fn set_peer_format(&self, name: &str, format: Option<u8>) {
        self.formats.set_announced(name, format);
    }

    /// Queues a message to a peer. Consensus servers are dialled at their configured address. Any other peer is answered on
    /// the connection that it has opened, or else dialled at `address`; without either the message is dropped, and so it is
    /// if the queue is full.
    pub fn send(self: &Rc<Self>, to: &str, address: Option<SocketAddr>, message: Message) {
        let envelope = self.envelope(message);
        let server_address = self.server_addresses.get(to).copied();
        if server_address.is_none()
            && let Some(queue) = self.accepted_peers.borrow().get(to)
        {
            self.queue(queue, envelope);
            return;
        }
        let Some(address) = server_address.or(address) else { return };
        let mut dialled_peers = self.dialled_peers.borrow_mut();
        // A restarted peer may have another address.
        dialled_peers
            .retain(|name, peer| !peer.queue.is_closed() && (name != to || peer.address == address));
        if dialled_peers.len() >= MAX_DIALLED && !dialled_peers.contains_key(to) {
            self.traffic.count_lost(Lost::DialLimit);
            return;
        }
        let peer = dialled_peers.entry(to.to_owned()).or_insert_with(|| {
            let (queue, queued) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let (this, name) = (self.clone(), to.to_owned());
            spawn_local(async move { this.dial(&name, address, queued).await });
            DialledPeer { address, queue }
        });
        self.queue(&peer.queue, envelope);
    }

    fn envelope(&self, message: Message) -> Envelope {
        Envelope { from: self.own_id.borrow().clone(), message }
    }

    fn queue(&self, queue: &PeerQueue, envelope: Envelope) {
        if queue.try_send(envelope).is_err() {
            self.traffic.count_lost(Lost::PeerQueueFull);
        }
    }

    /// Sends a datagram; without a socket yet, the message is dropped.
    pub fn send_datagram(&self, to: SocketAddr, message: Message) {
        let Some(socket) = self.datagram_socket.borrow().clone() else { return };
        let envelope = self.envelope(message);
        let bytes = self.keys.encode(&envelope, FORMAT);
        if bytes.len() <= MAX_DATAGRAM_BYTES && retry_interrupted(|| socket.try_send_to(&bytes, to)).is_ok()
        {
            self.traffic.count_sent(&envelope.message, bytes.len());
        } else {
            self.traffic.count_lost(Lost::DatagramRefused);
        }
    }

    /// Receives datagrams, until it is dropped; also sends them through this socket from now on.
    pub async fn receive_datagrams(self: Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        *self.datagram_socket.borrow_mut() = Some(socket.clone());
        // One byte more than allowed, so that a longer datagram is not cut to a valid length.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) if is_interrupted(&e) => {
                    yield_now().await;
                    continue;
                }
                Err(_) => {
                    sleep(RECEIVE_ERROR_PAUSE).await;
                    continue;
                }
            };
            self.traffic.count_received_bytes(length);
            match self.keys.decode(&buffer[..length]) {
                Ok(envelope) => {
                    self.traffic.count_received(&envelope.message, length);
                    self.deliver(envelope);
                }
                Err(why) => self.dropped.record(why, Some(from)),
            }
        }
    }

    /// Delivers a received message, or drops it if too many wait.
    fn deliver(&self, envelope: Envelope) {
        if self.inbox.try_send(envelope).is_err() {
            self.traffic.count_lost(Lost::InboxFull);
        }
    }

    /// Sends the queued messages on a connection, which is opened again after it failed, until the queue was empty for
    /// [`IDLE_TIMEOUT`] without a connection.
    async fn dial(self: Rc<Self>, name: &str, address: SocketAddr, mut queued: mpsc::Receiver<Envelope>) {
        while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, queued.recv()).await {
            let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connect(self.local_ip, address)).await else {
                self.traffic.count_lost(Lost::NotConnected);
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            let connection = Connection::new(&self, Peer::Dialled(name));
            let end = connection.run(stream, Some(first), &mut queued).await;
            // An older build closes the connection on a newer format, without an answer.
            if end == ConnectionEnd::WithoutMessage && self.formats.format_for(name) > MIN_FORMAT {
                self.formats.assume_older(name);
            }
        }
    }

    /// Accepts connections, until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) if self.open_accepted.get() < self.max_accepted => {
                    spawn_local(self.clone().serve_accepted(stream, address));
                }
                // The connection is closed; its peer dials again.
                Ok(_) => self.traffic.count_lost(Lost::ConnectionLimit),
                Err(e) => match accept_pause(&e) {
                    Some(pause) => sleep(pause).await,
                    None => yield_now().await,
                },
            }
        }
    }

    async fn serve_accepted(self: Rc<Self>, stream: TcpStream, address: SocketAddr) {
        self.open_accepted.set(self.open_accepted.get() + 1);
        let (queue, mut queued) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let connection = Connection::new(&self, Peer::Accepted { address, queue });
        connection.run(stream, None, &mut queued).await;
        self.open_accepted.set(self.open_accepted.get() - 1);
    }
}
