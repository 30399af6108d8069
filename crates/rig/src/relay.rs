//! A relay: all that passes from one site to one port, and what befalls it on the way.
//!
//! TCP keeps what TCP keeps: of a stream nothing is missing, doubled or out of order; a lost segment shows as the pause
//! of a retransmission. Datagrams are lost, doubled and swapped as they are.

use crate::door::Door;
use crate::links::{Link, Way};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Connections that the kernel holds until they are accepted.
pub(crate) const BACKLOG: u32 = 1024;
/// A lost segment comes this much later: Linux's least time until a retransmission.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Bytes read at once; a message may take several.
const CHUNK: usize = 16 * 1024;
/// Chunks under way on one connection and way, at the most: 256 KiB.
const UNDER_WAY_MOST: usize = 16;
/// Peers of a relay of datagrams, at the most.
const PEERS_MOST: usize = 4096;
/// Datagrams that are late at once, at the most.
pub(crate) const LATE_MOST: usize = 4096;
/// The largest datagram.
pub(crate) const DATAGRAM: usize = 65_536;

/// What has passed.
#[derive(Debug, Default)]
pub struct Passed {
    /// Connections accepted.
    pub connections: Cell<u64>,
    /// Bytes, from the site to the port.
    pub forth: Cell<u64>,
    /// Bytes, from the port to the site.
    pub back: Cell<u64>,
    /// Datagrams lost by a fault, or for want of room.
    pub lost: Cell<u64>,
}

pub(crate) fn add(cell: &Cell<u64>, n: u64) {
    cell.set(cell.get() + n);
}

/// A relay of streams.
pub struct Relay {
    at: SocketAddr,
    /// Holds the port while nobody listens, so that nobody else is given it.
    _port: TcpSocket,
    to: SocketAddr,
    link: watch::Receiver<Link>,
    passed: Rc<Passed>,
    seed: u64,
}

pub(crate) fn socket(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    Ok(socket)
}

impl Relay {
    /// Takes a port at this address for what goes to that one.
    ///
    /// # Errors
    /// There is none left.
    pub fn new(
        at: SocketAddr,
        to: SocketAddr,
        link: watch::Receiver<Link>,
        passed: Rc<Passed>,
        seed: u64,
    ) -> io::Result<Relay> {
        let port = socket(at)?;
        Ok(Relay { at: port.local_addr()?, _port: port, to, link, passed, seed })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Relays until it is dropped.
    pub async fn run(self) -> io::Result<()> {
        let this = Rc::new(self);
        let mut link = this.link.clone();
        loop {
            // Not listening at all is how a port refuses.
            let _ = link.wait_for(|link| !link.closed).await;
            let listener = socket(this.at)?.listen(BACKLOG)?;
            this.clone().accept(&listener).await?;
        }
    }

    /// Accepts until the port is closed.
    async fn accept(self: Rc<Self>, listener: &TcpListener) -> io::Result<()> {
        let mut link = self.link.clone();
        let mut plugs = Vec::new();
        loop {
            if link.borrow_and_update().closed {
                return Ok(());
            }
            if link.borrow().is_dark() {
                plugs = plug(listener, self.at)?;
                let _ = link.wait_for(|link| link.closed || !link.is_dark()).await;
                // Who connects now is answered again; the plugs' own connections bring their end with them.
                rustix::net::listen(listener, BACKLOG as i32)?;
                for plug in &plugs {
                    let _ = SockRef::from(plug).set_linger(Some(Duration::ZERO));
                }
                continue;
            }
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, peer)) if !plugs.iter().any(|plug| is_at(plug, peer)) => {
                        add(&self.passed.connections, 1);
                        let Relay { to, link, passed, .. } = &*self;
                        let connection = Connection { to: *to, link: link.clone(), passed: passed.clone() };
                        let seed = self.seed.wrapping_add(self.passed.connections.get());
                        spawn_local(async move { connection.run(stream, seed).await });
                    }
                    Ok(_) => {}
                    Err(_) => sleep(Duration::from_millis(10)).await, // out of descriptors, most likely
                },
                _ = link.changed() => {}
            }
            if !link.borrow().is_dark() {
                plugs.clear();
            }
        }
    }
}

/// One connection that is relayed.
pub(crate) struct Connection {
    pub to: SocketAddr,
    pub link: watch::Receiver<Link>,
    pub passed: Rc<Passed>,
}

impl Connection {
    /// Waits while the way is dark.
    pub(crate) async fn passable(&self) {
        let mut link = self.link.clone();
        let _ = link.wait_for(|link| !link.is_dark()).await;
    }

    /// Relays until one side ends.
    pub(crate) async fn run(self, client: TcpStream, seed: u64) {
        let mut link = self.link.clone();
        let _ = client.set_nodelay(true);
        let server = match TcpStream::connect(self.to).await {
            Ok(server) if !link.borrow().reset => server,
            _ => return reset(&client),
        };
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let budget = Rc::new(Cell::new(0));
        let forth = Pump {
            link: self.link.clone(),
            forth: true,
            passed: self.passed.clone(),
            budget: budget.clone(),
        };
        let back = Pump { link: self.link.clone(), forth: false, passed: self.passed.clone(), budget };
        let (mut from, mut to) = (client_read, server_read);
        let (mut into, mut out) = (server_write, client_write);
        let both = async {
            tokio::try_join!(forth.run(&mut from, &mut into, seed), back.run(&mut to, &mut out, seed ^ 1))
        };
        let clean = tokio::select! {
            ended = both => ended.is_ok(),
            _ = link.wait_for(|link| link.reset) => false,
        };
        if !clean {
            // A side that broke shows as a break at the other, and not as an end: but not through a cut.
            let _ = link.wait_for(|link| link.reset || !link.is_dark()).await;
            reset(from.as_ref());
            reset(to.as_ref());
            // Dropped they would say that the stream ends, before it breaks.
            into.forget();
            out.forget();
        }
    }
}

/// Fills the queue of a listener that is not accepted from: from then on the kernel drops what would connect, which
/// hangs as it does towards a machine that is gone.
fn plug(listener: &TcpListener, at: SocketAddr) -> io::Result<Vec<Socket>> {
    rustix::net::listen(listener, 0)?;
    let mut plugs = Vec::new();
    for _ in 0..2 {
        let plug = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        plug.set_nonblocking(true)?;
        let _ = plug.connect(&at.into()); // under way, or dropped as what comes after it
        plugs.push(plug);
    }
    Ok(plugs)
}

fn is_at(plug: &Socket, peer: SocketAddr) -> bool {
    plug.local_addr().ok().and_then(|at| at.as_socket()) == Some(peer)
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One way of a connection.
struct Pump {
    link: watch::Receiver<Link>,
    forth: bool,
    passed: Rc<Passed>,
    /// Bytes of the connection since each breaks after so many.
    budget: Rc<Cell<u64>>,
}

impl Pump {
    fn way(&self, link: &Link) -> Way {
        if self.forth { link.forth.clone() } else { link.back.clone() }
    }

    /// Relays until the end of the stream, which is passed on, or until one side breaks.
    async fn run(&self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, seed: u64) -> io::Result<()> {
        let (chunks, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(UNDER_WAY_MOST);
        let reading = async {
            let mut draws = Pcg32::seed_from_u64(seed);
            let mut last = Instant::now();
            let mut buffer = vec![0; CHUNK];
            loop {
                let n = from.read(&mut buffer).await?;
                if n == 0 {
                    break;
                }
                let way = self.way(&self.link.borrow());
                last = last.max(Instant::now() + late(&way, &mut draws)) + at_rate(&way, n);
                if chunks.send((last, buffer[..n].to_vec())).await.is_err() {
                    break;
                }
            }
            drop(chunks);
            Ok::<(), io::Error>(())
        };
        let writing = async {
            while let Some((at, chunk)) = due.recv().await {
                if at > Instant::now() {
                    sleep_until(at).await;
                }
                self.write(to, &chunk).await?;
            }
            // Nor does an end come through a cut.
            self.passable().await;
            to.shutdown().await
        };
        tokio::try_join!(reading, writing).map(|_| ())
    }

    async fn write(&self, to: &mut OwnedWriteHalf, chunk: &[u8]) -> io::Result<()> {
        self.passable().await;
        let (stalls, cut_after) = {
            let link = self.link.borrow();
            (self.way(&link).stalls, link.cut_after)
        };
        let mut rest = chunk;
        if stalls {
            let (first, second) = chunk.split_at(chunk.len() / 2);
            to.write_all(first).await?;
            let mut link = self.link.clone();
            let _ = link.wait_for(|link| !self.way(link).stalls).await;
            self.passable().await;
            rest = second;
        }
        if let Some(most) = cut_after {
            let left = most.saturating_sub(self.budget.get()) as usize;
            if left < rest.len() {
                to.write_all(&rest[..left]).await?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            add(&self.budget, rest.len() as u64);
        }
        to.write_all(rest).await?;
        add(if self.forth { &self.passed.forth } else { &self.passed.back }, chunk.len() as u64);
        Ok(())
    }

    /// Waits while nothing passes this way.
    async fn passable(&self) {
        let mut link = self.link.clone();
        let _ = link.wait_for(|link| !self.way(link).cut).await;
    }
}

/// How much later a chunk of a stream comes.
fn late(way: &Way, draws: &mut Pcg32) -> Duration {
    if *way == Way::default() {
        return Duration::ZERO;
    }
    let jitter = way.jitter.mul_f64(draws.random::<f64>());
    let lost = way.loss > 0.0 && draws.random::<f64>() < way.loss;
    // What was overtaken waits in the receiver's kernel until it is there: as long as its own delay again.
    let overtaken = way.reorder > 0.0 && draws.random::<f64>() < way.reorder;
    let again = if lost { RETRANSMIT } else { Duration::ZERO };
    way.delay + jitter + again + if overtaken { way.delay + way.jitter } else { Duration::ZERO }
}

fn at_rate(way: &Way, bytes: usize) -> Duration {
    way.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64))
}

/// When each copy of a datagram comes; none where it is lost.
pub(crate) fn copies(way: &Way, draws: &mut Pcg32) -> Vec<Duration> {
    let befalls = |share: f64, draws: &mut Pcg32| share > 0.0 && draws.random::<f64>() < share;
    if way.cut || way.stalls || befalls(way.loss, draws) {
        return Vec::new();
    }
    let count = 1 + usize::from(befalls(way.duplicate, draws));
    let mut one = |_| {
        let jitter = way.jitter.mul_f64(draws.random::<f64>());
        let overtaken = befalls(way.reorder, draws);
        let behind =
            if overtaken { (way.delay + way.jitter).max(Duration::from_millis(5)) } else { Duration::ZERO };
        way.delay + jitter + behind
    };
    (0..count).map(&mut one).collect()
}

/// A relay of either kind.
pub enum AnyRelay {
    /// Of streams.
    Streams(Relay),
    /// Of datagrams.
    Datagrams(Datagrams),
    /// Of both, for all who come.
    Door(Box<Door>),
}

impl AnyRelay {
    /// Relays until it is dropped.
    pub async fn run(self) -> io::Result<()> {
        match self {
            AnyRelay::Streams(relay) => relay.run().await,
            AnyRelay::Datagrams(relay) => relay.run().await,
            AnyRelay::Door(door) => door.run().await,
        }
    }
}

/// A relay of datagrams.
pub struct Datagrams {
    socket: Rc<UdpSocket>,
    to: SocketAddr,
    link: watch::Receiver<Link>,
    passed: Rc<Passed>,
    /// Each peer has a socket of its own towards the port, so that answers find back; with when it was last used.
    peers: RefCell<HashMap<SocketAddr, (Rc<UdpSocket>, Instant)>>,
    late: Cell<usize>,
    draws: RefCell<Pcg32>,
}

impl Datagrams {
    /// Takes a port at this address for what goes to that one.
    ///
    /// # Errors
    /// There is none left.
    pub fn new(
        at: SocketAddr,
        to: SocketAddr,
        link: watch::Receiver<Link>,
        passed: Rc<Passed>,
        seed: u64,
    ) -> io::Result<Datagrams> {
        let socket = std::net::UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(UdpSocket::from_std(socket)?);
        let (peers, late) = Default::default();
        Ok(Datagrams {
            socket,
            to,
            link,
            passed,
            peers,
            late,
            draws: RefCell::new(Pcg32::seed_from_u64(seed)),
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The kernel does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Relays until it is dropped.
    pub async fn run(self) -> io::Result<()> {
        let this = Rc::new(self);
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((n, peer)) = this.socket.recv_from(&mut buffer).await else { continue };
            add(&this.passed.forth, n as u64);
            if let Some(own) = this.clone().peer(peer).await {
                let way = this.link.borrow().forth.clone();
                let closed = this.link.borrow().closed;
                let to = this.to;
                let way = if closed { Way { cut: true, ..way } } else { way };
                this.clone().pass(way, own, to, buffer[..n].to_vec()).await;
            }
        }
    }

    /// This peer's own socket.
    async fn peer(self: Rc<Self>, peer: SocketAddr) -> Option<Rc<UdpSocket>> {
        if let Some((own, used)) = self.peers.borrow_mut().get_mut(&peer) {
            *used = Instant::now();
            return Some(own.clone());
        }
        let own = Rc::new(UdpSocket::bind(SocketAddr::new(self.to.ip(), 0)).await.ok()?);
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= PEERS_MOST {
            let oldest = peers.iter().min_by_key(|(_, (_, used))| *used).map(|(peer, _)| *peer);
            oldest.and_then(|oldest| peers.remove(&oldest));
        }
        peers.insert(peer, (own.clone(), Instant::now()));
        drop(peers);
        let (this, socket) = (self.clone(), own.clone());
        spawn_local(async move { this.answers(peer, socket).await });
        Some(own)
    }

    /// What comes back for a peer, until another takes its room.
    async fn answers(self: Rc<Self>, peer: SocketAddr, own: Rc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM];
        while self.peers.borrow().get(&peer).is_some_and(|(known, _)| Rc::ptr_eq(known, &own)) {
            let Ok((n, _)) = own.recv_from(&mut buffer).await else { continue };
            add(&self.passed.back, n as u64);
            let way = self.link.borrow().back.clone();
            self.clone().pass(way, self.socket.clone(), peer, buffer[..n].to_vec()).await;
        }
    }

    async fn pass(self: Rc<Self>, way: Way, socket: Rc<UdpSocket>, to: SocketAddr, bytes: Vec<u8>) {
        let copies = copies(&way, &mut self.draws.borrow_mut());
        if copies.is_empty() {
            add(&self.passed.lost, 1);
        }
        for after in copies {
            if after.is_zero() {
                let _ = socket.send_to(&bytes, to).await; // who is not there loses it, as on a network
                continue;
            }
            if self.late.get() >= LATE_MOST {
                add(&self.passed.lost, 1);
                continue;
            }
            self.late.set(self.late.get() + 1);
            let (this, socket, bytes) = (self.clone(), socket.clone(), bytes.clone());
            spawn_local(async move {
                sleep(after).await;
                this.late.set(this.late.get() - 1);
                let _ = socket.send_to(&bytes, to).await;
            });
        }
    }
}
