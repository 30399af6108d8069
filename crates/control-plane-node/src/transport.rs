//! Connections: frames of a length and a message, dialled by who has something to say, answered on the same one; and
//! datagrams, for what is small and may be lost.

use crate::traffic::{Lost, Traffic};
use crate::transient::{Uninterrupted, accept_pause, is_interrupted, retry_interrupted};
use curlewhub_control_plane::protocol::{
    DecodeError, Envelope, FORMAT, MAX_MESSAGE_BYTES, MIN_FORMAT, MacKeys, Message, PeerId,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};
use tracing::warn;

/// Messages that wait for one peer, at the most; the agreement and holders bear the loss of any.
const MAX_QUEUED_MESSAGES: usize = 256;
/// A connection that is not up after this has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The next one is tried after this.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A connection on which nothing has been said either way for this long is closed; who speaks again dials again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Others that are dialled at once, at the most.
const MAX_DIALLED: usize = 64;
/// A frame that has begun has come whole within this, and a message is taken by its receiver.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// One line a minute of messages that were dropped.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);
/// Who has cut a connection off without a word is spoken to in the older format for this long.
const OLDER_FORMAT_FOR: Duration = Duration::from_secs(30);
/// Frames beyond this wait for room, of which there is so much in all: a peer that has shown no key yet can claim any size.
const LARGE_FRAME_KIB: usize = 64;
const LARGE_FRAMES_BUDGET_KIB: usize = 64 * 1024;
/// The largest datagram; a packet of the membership fits with its frame.
const MAX_DATAGRAM_BYTES: usize = 1472;

/// Where messages that were heard go.
pub type Inbox = mpsc::Sender<Envelope>;

/// Messages dropped, by why.
#[derive(Debug, Default)]
pub struct DroppedMessages(RefCell<BTreeMap<DecodeError, u64>>, Cell<Option<Instant>>);

impl DroppedMessages {
    fn dropped(&self, why: DecodeError, from: Option<SocketAddr>) {
        *self.0.borrow_mut().entry(why).or_default() += 1;
        let now = Instant::now();
        if self.1.get().is_none_or(|told| now >= told + WARNING_INTERVAL) {
            self.1.set(Some(now));
            warn!(?from, %why, all = ?self.counts(), "fleet: a message is dropped");
        }
    }

    /// How many, by why.
    pub fn counts(&self) -> BTreeMap<DecodeError, u64> {
        self.0.borrow().clone()
    }
}

/// The way to somebody.
type PeerQueue = mpsc::Sender<Envelope>;

/// All connections of a process.
pub struct Transport {
    own_id: RefCell<PeerId>,
    keys: MacKeys,
    /// What is connected and sent from.
    from: IpAddr,
    /// Where keepers are reached, by name.
    addresses: BTreeMap<String, SocketAddr>,
    dialled: RefCell<HashMap<String, (SocketAddr, PeerQueue)>>,
    /// Who has spoken on a connection that was accepted, and the way back.
    accepted: RefCell<HashMap<String, PeerQueue>>,
    open: Cell<usize>,
    /// Connections that are accepted at once, at the most.
    accepted_most: usize,
    /// Who reads no newer format than the least, by name, and until when that is believed.
    older: RefCell<BTreeMap<String, Instant>>,
    /// What members read by their own word.
    reads: RefCell<BTreeMap<String, u8>>,
    /// Room for large frames that are being read, in KiB.
    large: Semaphore,
    datagrams: RefCell<Option<Rc<UdpSocket>>>,
    inbox: Inbox,
    /// Messages that were dropped.
    pub dropped: DroppedMessages,
    /// What they cost.
    pub traffic: Traffic,
}

impl Transport {
    /// None yet.
    pub fn new(
        accepted_most: usize,
        who: PeerId,
        keys: MacKeys,
        from: IpAddr,
        addresses: BTreeMap<String, SocketAddr>,
        inbox: Inbox,
    ) -> Rc<Transport> {
        let (dialled, accepted, open, older, reads, datagrams, drops, traffic) = Default::default();
        let large = Semaphore::new(LARGE_FRAMES_BUDGET_KIB);
        Rc::new(Transport {
            own_id: RefCell::new(who),
            keys,
            from,
            addresses,
            dialled,
            accepted,
            open,
            accepted_most,
            older,
            reads,
            large,
            datagrams,
            inbox,
            dropped: drops,
            traffic,
        })
    }

    /// It counts its own start by this number from now on.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.own_id.borrow_mut().incarnation = incarnation;
    }

    /// Says something to another one: on a connection of its own where its address is known, else on the one on which
    /// it has spoken. What finds no room is lost.
    pub fn send(self: &Rc<Self>, to: &str, at: Option<SocketAddr>, message: Message) {
        let envelope = Envelope { from: self.own_id.borrow().clone(), message };
        let keeper = self.addresses.get(to).copied();
        // Who is no keeper is answered where it has spoken, and dialled only otherwise.
        if keeper.is_none()
            && let Some(way) = self.accepted.borrow().get(to)
        {
            self.queue(way, envelope);
            return;
        }
        let Some(at) = keeper.or(at) else { return };
        let mut dialled = self.dialled.borrow_mut();
        // A restarted peer may be reached at another address.
        dialled.retain(|name, (known, way)| !way.is_closed() && (name != to || *known == at));
        if dialled.len() >= MAX_DIALLED && !dialled.contains_key(to) {
            self.traffic.count_lost(Lost::DialLimit);
            return;
        }
        let (_, way) = dialled.entry(to.to_owned()).or_insert_with(|| {
            let (way, waiting) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let (this, name) = (self.clone(), to.to_owned());
            spawn_local(async move { this.dial(&name, at, waiting).await });
            (at, way)
        });
        self.queue(way, envelope);
    }

    fn queue(&self, way: &PeerQueue, envelope: Envelope) {
        if way.try_send(envelope).is_err() {
            self.traffic.count_lost(Lost::PeerQueueFull);
        }
    }

    /// Says something in a datagram, once there is a socket for them.
    pub fn send_datagram(&self, to: SocketAddr, message: Message) {
        let Some(socket) = self.datagrams.borrow().clone() else { return };
        let envelope = Envelope { from: self.own_id.borrow().clone(), message };
        let bytes = self.keys.encode(&envelope, FORMAT);
        if bytes.len() <= MAX_DATAGRAM_BYTES && retry_interrupted(|| socket.try_send_to(&bytes, to)).is_ok()
        {
            self.traffic.count_sent(&envelope.message, bytes.len());
        } else {
            self.traffic.count_lost(Lost::DatagramRefused);
        }
    }

    /// Hears datagrams, until it is dropped.
    pub async fn receive_datagrams(self: Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        *self.datagrams.borrow_mut() = Some(socket.clone());
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (n, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) if is_interrupted(&e) => {
                    yield_now().await;
                    continue;
                }
                Err(_) => {
                    sleep(Duration::from_millis(1)).await; // an earlier one was refused where it went
                    continue;
                }
            };
            self.traffic.count_received_bytes(n);
            match self.keys.decode(&buffer[..n]) {
                Ok(envelope) => {
                    self.traffic.count_received(&envelope.message, n);
                    self.deliver(envelope);
                }
                Err(why) => self.dropped.dropped(why, Some(from)),
            }
        }
    }

    /// A process that has too much to do loses a message, as a network would.
    fn deliver(&self, envelope: Envelope) {
        if self.inbox.try_send(envelope).is_err() {
            self.traffic.count_lost(Lost::InboxFull);
        }
    }

    /// A member says what it reads, or is not there any more.
    pub fn set_peer_format(&self, name: &str, format: Option<u8>) {
        match format {
            Some(format) => drop(self.reads.borrow_mut().insert(name.to_owned(), format)),
            None => drop(self.reads.borrow_mut().remove(name)),
        }
    }

    /// The format for who has this name: what it has said that it reads, else what it seems to.
    fn format(&self, name: &str) -> u8 {
        if let Some(format) = self.reads.borrow().get(name) {
            return (*format).clamp(MIN_FORMAT, FORMAT);
        }
        let mut older = self.older.borrow_mut();
        let now = Instant::now();
        older.retain(|_, until| now < *until);
        if older.contains_key(name) { MIN_FORMAT } else { FORMAT }
    }

    /// Who has this name writes this format.
    fn peer_wrote(&self, name: &str, format: u8) {
        if format >= FORMAT {
            self.older.borrow_mut().remove(name);
        } else {
            self.is_older(name);
        }
    }

    fn is_older(&self, name: &str) {
        let mut older = self.older.borrow_mut();
        if older.len() < MAX_QUEUED_MESSAGES || older.contains_key(name) {
            older.insert(name.to_owned(), Instant::now() + OLDER_FORMAT_FOR);
        }
    }

    /// Connects as often as it takes, and says what waits, until nothing has for a while.
    async fn dial(self: Rc<Self>, name: &str, at: SocketAddr, mut waiting: mpsc::Receiver<Envelope>) {
        while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, waiting.recv()).await {
            match timeout(CONNECT_TIMEOUT, self.connect(at)).await {
                Ok(Ok(stream)) => {
                    let talk = Conversation { name: Some(name), back: None, first: Some(first) };
                    let heard = self.clone().converse(stream, talk, &mut waiting).await;
                    // A build that reads no newer format cuts off who speaks it, and says nothing.
                    if heard == Some(false) && self.format(name) > MIN_FORMAT {
                        self.is_older(name);
                    }
                }
                _ => {
                    self.traffic.count_lost(Lost::NotConnected);
                    sleep(RECONNECT_DELAY).await;
                }
            }
        }
    }

    async fn connect(&self, at: SocketAddr) -> io::Result<TcpStream> {
        connect(self.from, at).await
    }

    /// Accepts until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if self.open.get() < self.accepted_most => {
                    let this = self.clone();
                    spawn_local(async move {
                        this.open.set(this.open.get() + 1);
                        let (sender, mut waiting) = mpsc::channel(MAX_QUEUED_MESSAGES);
                        let talk = Conversation { name: None, back: Some((peer, sender)), first: None };
                        this.clone().converse(stream, talk, &mut waiting).await;
                        this.open.set(this.open.get() - 1);
                    });
                }
                Ok(_) => self.traffic.count_lost(Lost::ConnectionLimit), // it is closed, and comes again
                Err(e) => match accept_pause(&e) {
                    Some(pause) => sleep(pause).await,
                    None => yield_now().await,
                },
            }
        }
    }

    /// Both ways of a connection, until one of them ends or nothing has been said for long. Whether anything was heard, where
    /// the other side has ended it.
    async fn converse(
        self: Rc<Self>,
        stream: TcpStream,
        talk: Conversation<'_>,
        waiting: &mut mpsc::Receiver<Envelope>,
    ) -> Option<bool> {
        stream.set_nodelay(true).ok()?;
        let (mut from, mut into) = stream.into_split();
        let Conversation { name, back, first } = talk;
        let (heard, used) = (Cell::new(false), Cell::new(Instant::now()));
        let spoken = RefCell::new(name.map(str::to_owned));
        let format = Cell::new(FORMAT);
        let says = async {
            let mut next = first;
            loop {
                let envelope = match next.take() {
                    Some(envelope) => envelope,
                    None => waiting.recv().await.ok_or(io::ErrorKind::BrokenPipe)?,
                };
                let format = match name {
                    Some(name) => self.format(name),
                    None => format.get(),
                };
                if envelope.message.min_format() > format {
                    continue; // it would not be understood
                }
                let bytes = self.keys.encode(&envelope, format);
                self.traffic.count_sent(&envelope.message, bytes.len() + 4);
                write(&mut into, &bytes).await?;
                used.set(Instant::now());
            }
        };
        let hears = async {
            loop {
                let bytes = read(&mut from, &self.large).await?;
                self.traffic.count_received_bytes(bytes.len() + 4);
                used.set(Instant::now());
                let envelope = match self.keys.decode_with_format(&bytes) {
                    Ok((envelope, written)) => {
                        format.set(written);
                        envelope
                    }
                    // A word of a newer build: what comes behind it may be understood.
                    Err(why @ DecodeError::Malformed) => {
                        self.dropped.dropped(why, back.as_ref().map(|(peer, _)| *peer));
                        continue;
                    }
                    Err(why) => {
                        self.dropped.dropped(why, back.as_ref().map(|(peer, _)| *peer));
                        return io::Result::<()>::Err(io::ErrorKind::InvalidData.into());
                    }
                };
                heard.set(true);
                self.traffic.count_received(&envelope.message, bytes.len() + 4);
                self.peer_wrote(&envelope.from.name, format.get());
                // One name a connection: what is remembered of it does not grow with what it claims.
                if let Some((_, sender)) = back.as_ref().filter(|_| spoken.borrow().is_none()) {
                    *spoken.borrow_mut() = Some(envelope.from.name.clone());
                    self.accepted.borrow_mut().insert(envelope.from.name.clone(), sender.clone());
                }
                self.deliver(envelope);
            }
        };
        let idle = async {
            while used.get().elapsed() < IDLE_TIMEOUT {
                sleep(IDLE_TIMEOUT - used.get().elapsed().min(IDLE_TIMEOUT)).await;
            }
        };
        let cut_off = tokio::select! {
            ended = says => { let _: io::Result<()> = ended; Some(heard.get()) }
            ended = hears => ended.is_err().then(|| heard.get()),
            () = idle => None,
        };
        if let Some((_, sender)) = &back {
            self.accepted.borrow_mut().retain(|_, other| !other.same_channel(sender));
        }
        cut_off
    }
}

/// What a connection begins with: who is dialled, or who is to be answered.
struct Conversation<'a> {
    name: Option<&'a str>,
    back: Option<(SocketAddr, PeerQueue)>,
    first: Option<Envelope>,
}

/// Connects from an address of this process's own, by which others may know it.
///
/// # Errors
/// It can't.
pub async fn connect(from: IpAddr, at: SocketAddr) -> io::Result<TcpStream> {
    loop {
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if from.is_ipv4() == at.is_ipv4() && !from.is_unspecified() {
            retry_interrupted(|| socket.bind(SocketAddr::new(from, 0)))?;
        }
        match socket.connect(at).await {
            // Of a socket whose connect was interrupted nothing is known (connect(2)): another one is taken.
            Err(e) if is_interrupted(&e) => yield_now().await,
            connected => return connected,
        }
    }
}

/// Writes a frame.
///
/// # Errors
/// The connection ends, or its reader takes nothing for too long.
pub async fn write(into: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    let mut into = Uninterrupted(into);
    let written = async {
        into.write_all(&(bytes.len() as u32).to_be_bytes()).await?;
        into.write_all(bytes).await?;
        into.flush().await
    };
    timeout(FRAME_TIMEOUT, written).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Reads a frame; waits for its beginning as long as it takes, and then for its end for a bounded time.
///
/// # Errors
/// The connection ends, the frame is too long, or its end does not come.
pub async fn read(from: &mut (impl AsyncRead + Unpin), large: &Semaphore) -> io::Result<Vec<u8>> {
    let mut from = Uninterrupted(from);
    let length = from.read_u32().await? as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, DecodeError::TooLong));
    }
    let rest = async {
        let kib = length / 1024;
        let needs = if kib > LARGE_FRAME_KIB { kib.min(LARGE_FRAMES_BUDGET_KIB) as u32 } else { 0 };
        let _room = large.acquire_many(needs).await.map_err(io::Error::other)?;
        // As it comes, and not as it is claimed: a claim alone takes no memory.
        let mut bytes = Vec::new();
        from.take(length as u64).read_to_end(&mut bytes).await?;
        Ok::<_, io::Error>(bytes)
    };
    let bytes =
        timeout(FRAME_TIMEOUT, rest).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if bytes.len() < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(bytes) }
}

/// Room for one large frame, for who has one connection alone.
pub fn room() -> Semaphore {
    Semaphore::new(LARGE_FRAMES_BUDGET_KIB)
}
