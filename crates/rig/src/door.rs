//! A door: where all others reach one port, streams and datagrams alike, under an address that may be told on.
//!
//! Who comes is known by the address it comes from, and what befalls the way between the two is looked up by that. So a
//! process may tell others where a third is, as members of a fleet do, and every word still passes the rig.

use crate::links::Link;
use crate::relay::{BACKLOG, Connection, DATAGRAM, LATE_MOST, Passed, add, copies, socket};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The ways to a door.
pub struct Ways {
    /// By the address that somebody comes from.
    pub known: HashMap<IpAddr, (watch::Receiver<Link>, Rc<Passed>)>,
    /// For everybody else.
    pub others: (watch::Receiver<Link>, Rc<Passed>),
}

impl Ways {
    fn of(&self, from: IpAddr) -> &(watch::Receiver<Link>, Rc<Passed>) {
        self.known.get(&from).unwrap_or(&self.others)
    }
}

/// A door.
pub struct Door {
    at: SocketAddr,
    /// Holds the port while nobody listens.
    _port: TcpSocket,
    datagrams: UdpSocket,
    to: SocketAddr,
    ways: Ways,
    seed: u64,
    connections: Cell<u64>,
    late: Cell<usize>,
    draws: RefCell<Pcg32>,
}

impl Door {
    /// Takes a port at this address, the same for both kinds, for what goes to that one.
    ///
    /// # Errors
    /// There is none left.
    pub fn new(at: SocketAddr, to: SocketAddr, ways: Ways, seed: u64) -> io::Result<Door> {
        // A port that is free for streams may be taken for datagrams.
        let mut tries = 0;
        let (port, datagrams) = loop {
            let port = socket(at)?;
            match std::net::UdpSocket::bind(port.local_addr()?) {
                Ok(datagrams) => break (port, datagrams),
                Err(e) if tries >= 20 => return Err(e),
                Err(_) => tries += 1,
            }
        };
        datagrams.set_nonblocking(true)?;
        let datagrams = UdpSocket::from_std(datagrams)?;
        let draws = RefCell::new(Pcg32::seed_from_u64(seed));
        let (connections, late) = Default::default();
        let at = port.local_addr()?;
        Ok(Door { at, _port: port, datagrams, to, ways, seed, connections, late, draws })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Lets pass until it is dropped.
    pub async fn run(self) -> io::Result<()> {
        let this = Rc::new(self);
        tokio::try_join!(this.clone().streams(), this.clone().pass_datagrams()).map(|_: ((), ())| ())
    }

    async fn streams(self: Rc<Self>) -> io::Result<()> {
        let mut link = self.ways.others.0.clone();
        loop {
            // Not listening at all is how a port refuses.
            let _ = link.wait_for(|link| !link.closed).await;
            let listener = socket(self.at)?.listen(BACKLOG)?;
            tokio::select! {
                () = self.clone().accept(&listener) => {}
                _ = link.wait_for(|link| link.closed) => {}
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let (link, passed) = self.ways.of(peer.ip()).clone();
                    add(&passed.connections, 1);
                    add(&self.connections, 1);
                    let connection = Connection { to: self.to, link, passed };
                    let seed = self.seed.wrapping_add(self.connections.get());
                    spawn_local(async move {
                        // Who comes through a cut hears nothing, and is not refused.
                        connection.passable().await;
                        connection.run(stream, seed).await;
                    });
                }
                Err(_) => sleep(Duration::from_millis(10)).await, // out of descriptors, most likely
            }
        }
    }

    async fn pass_datagrams(self: Rc<Self>) -> io::Result<()> {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((n, peer)) = self.datagrams.recv_from(&mut buffer).await else { continue };
            let (link, passed) = self.ways.of(peer.ip());
            add(&passed.forth, n as u64);
            let (way, closed) = (link.borrow().forth.clone(), link.borrow().closed);
            let copies = if closed { Vec::new() } else { copies(&way, &mut self.draws.borrow_mut()) };
            if copies.is_empty() {
                add(&passed.lost, 1);
            }
            for after in copies {
                if after.is_zero() {
                    // Who is not there loses it, as on a network.
                    let _ = self.datagrams.send_to(&buffer[..n], self.to).await;
                } else if self.late.get() >= LATE_MOST {
                    add(&passed.lost, 1);
                } else {
                    self.later(after, buffer[..n].to_vec());
                }
            }
        }
    }

    fn later(self: &Rc<Self>, after: Duration, bytes: Vec<u8>) {
        self.late.set(self.late.get() + 1);
        let this = self.clone();
        spawn_local(async move {
            sleep(after).await;
            this.late.set(this.late.get() - 1);
            let _ = this.datagrams.send_to(&bytes, this.to).await;
        });
    }
}
