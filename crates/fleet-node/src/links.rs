//! Connections: frames of a length and a message, dialled by who has something to say, answered on the same one.

use curlewhub_fleet::wire::{Dropped, Keys, MESSAGE_MOST, Message, Who};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Messages that wait for one peer, at the most; the agreement and holders bear the loss of any.
const WAITING_MOST: usize = 256;
/// A connection that is not up after this has failed.
const CONNECT_MOST: Duration = Duration::from_millis(500);
/// The next one is tried after this.
const AGAIN: Duration = Duration::from_millis(100);
/// A frame that has begun has come whole within this, and a message is taken by its receiver.
const FRAME_MOST: Duration = Duration::from_secs(10);
/// One line a minute of messages that were dropped.
const TOLD_EVERY: Duration = Duration::from_secs(60);

/// Where messages that were heard go.
pub type Inbox = mpsc::Sender<Message>;

/// Messages dropped, by why.
#[derive(Debug, Default)]
pub struct Drops(RefCell<BTreeMap<Dropped, u64>>, Cell<Option<tokio::time::Instant>>);

impl Drops {
    fn dropped(&self, why: Dropped, from: Option<SocketAddr>) {
        *self.0.borrow_mut().entry(why).or_default() += 1;
        let now = tokio::time::Instant::now();
        if self.1.get().is_none_or(|told| now >= told + TOLD_EVERY) {
            self.1.set(Some(now));
            warn!(?from, %why, all = ?self.counts(), "fleet: a message is dropped");
        }
    }

    /// How many, by why.
    pub fn counts(&self) -> BTreeMap<Dropped, u64> {
        self.0.borrow().clone()
    }
}

/// All connections of a process.
pub struct Links {
    who: Who,
    keys: Keys,
    /// Where others are reached, by name.
    addresses: BTreeMap<String, SocketAddr>,
    dialled: RefCell<HashMap<String, mpsc::Sender<Message>>>,
    /// Who has spoken on a connection that was accepted, and the way back.
    accepted: RefCell<HashMap<String, mpsc::Sender<Message>>>,
    open: Cell<usize>,
    /// Connections that are accepted at once, at the most.
    accepted_most: usize,
    inbox: Inbox,
    /// Messages that were dropped.
    pub drops: Drops,
}

impl Links {
    /// None yet.
    pub fn new(
        accepted_most: usize,
        who: Who,
        keys: Keys,
        addresses: BTreeMap<String, SocketAddr>,
        inbox: Inbox,
    ) -> Rc<Links> {
        let (dialled, accepted, open, drops) = Default::default();
        Rc::new(Links { who, keys, addresses, dialled, accepted, open, accepted_most, inbox, drops })
    }

    /// Says something to another one: on a connection of its own where its address is known, else on the one on which
    /// it has spoken. What finds no room is lost.
    pub fn say(self: &Rc<Self>, to: &str, said: curlewhub_fleet::wire::Said) {
        let message = Message { from: self.who.clone(), said };
        if let Some(at) = self.addresses.get(to).copied() {
            let mut dialled = self.dialled.borrow_mut();
            let sender = dialled.entry(to.to_owned()).or_insert_with(|| {
                let (sender, waiting) = mpsc::channel(WAITING_MOST);
                let this = self.clone();
                spawn_local(async move { this.dial(at, waiting).await });
                sender
            });
            let _ = sender.try_send(message);
        } else if let Some(sender) = self.accepted.borrow().get(to) {
            let _ = sender.try_send(message);
        }
    }

    /// Connects as often as it takes, and says what waits.
    async fn dial(self: Rc<Self>, at: SocketAddr, mut waiting: mpsc::Receiver<Message>) {
        while let Some(first) = waiting.recv().await {
            match timeout(CONNECT_MOST, TcpStream::connect(at)).await {
                Ok(Ok(stream)) => {
                    let _ = self.clone().speak(stream, None, Some(first), &mut waiting).await;
                }
                _ => sleep(AGAIN).await,
            }
        }
    }

    /// Accepts until it is dropped.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if self.open.get() < self.accepted_most => {
                    let this = self.clone();
                    spawn_local(async move {
                        this.open.set(this.open.get() + 1);
                        let (sender, mut waiting) = mpsc::channel(WAITING_MOST);
                        let back = Some((peer, sender));
                        let _ = this.clone().speak(stream, back, None, &mut waiting).await;
                        this.open.set(this.open.get() - 1);
                    });
                }
                Ok(_) => {} // one too many: it is closed, and comes again
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Both ways of a connection, until one of them ends.
    async fn speak(
        self: Rc<Self>,
        stream: TcpStream,
        back: Option<(SocketAddr, mpsc::Sender<Message>)>,
        first: Option<Message>,
        waiting: &mut mpsc::Receiver<Message>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut from, mut into) = stream.into_split();
        let says = async {
            if let Some(first) = first {
                write(&mut into, &self.keys.write(&first)).await?;
            }
            while let Some(message) = waiting.recv().await {
                write(&mut into, &self.keys.write(&message)).await?;
            }
            io::Result::Ok(())
        };
        let hears = async {
            // One name a connection: what is remembered of it does not grow with what it claims.
            let mut named = false;
            loop {
                let bytes = read(&mut from).await?;
                match self.keys.read(&bytes) {
                    Ok(message) => {
                        if let Some((_, sender)) =
                            back.as_ref().filter(|_| !std::mem::replace(&mut named, true))
                        {
                            self.accepted.borrow_mut().insert(message.from.name.clone(), sender.clone());
                        }
                        // A process that has too much to do loses it, as a network would.
                        let _ = self.inbox.try_send(message);
                    }
                    Err(why) => {
                        self.drops.dropped(why, back.as_ref().map(|(peer, _)| *peer));
                        return io::Result::<()>::Err(io::ErrorKind::InvalidData.into());
                    }
                }
            }
        };
        let ended = tokio::select! {
            ended = says => ended,
            ended = hears => ended,
        };
        if let Some((_, sender)) = &back {
            self.accepted.borrow_mut().retain(|_, other| !other.same_channel(sender));
        }
        ended
    }
}

/// Writes a frame.
///
/// # Errors
/// The connection ends, or its reader takes nothing for too long.
pub async fn write(into: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    let written = async {
        into.write_all(&(bytes.len() as u32).to_be_bytes()).await?;
        into.write_all(bytes).await?;
        into.flush().await
    };
    timeout(FRAME_MOST, written).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Reads a frame; waits for its beginning as long as it takes, and then for its end for a bounded time.
///
/// # Errors
/// The connection ends, the frame is too long, or its end does not come.
pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = from.read_u32().await? as usize;
    if length > MESSAGE_MOST {
        return Err(io::Error::new(io::ErrorKind::InvalidData, Dropped::TooLong));
    }
    // As it comes, and not as it is claimed: a claim alone takes no memory.
    let mut bytes = Vec::new();
    let mut limited = from.take(length as u64);
    let read = timeout(FRAME_MOST, limited.read_to_end(&mut bytes)).await;
    read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if bytes.len() < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(bytes) }
}
