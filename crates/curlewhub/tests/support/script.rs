//! A peer of which the test does each step itself: it takes a connection, reads, writes, pauses, half-closes or
//! resets when it says so. So two events are put in either order by the test, and never by a sleep.

use super::{Message, PATIENCE, ip_of_its_own, listener_of_its_own};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Where connections come to be taken one by one.
pub struct Stage {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Stage {
    pub fn new() -> Stage {
        let listener = listener_of_its_own();
        Stage { address: listener.local_addr().unwrap(), listener }
    }

    /// The next connection.
    pub fn take(&self) -> Wire {
        self.take_within(PATIENCE).expect("a connection comes")
    }

    /// The next connection, if one comes in time.
    pub fn take_within(&self, time: Duration) -> Option<Wire> {
        self.listener.set_nonblocking(true).unwrap();
        let start = Instant::now();
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    return Some(Wire::new(stream));
                }
                Err(_) if start.elapsed() < time => std::thread::sleep(Duration::from_millis(2)),
                Err(_) => return None,
            }
        }
    }

    /// The next connection and its first request.
    pub fn request(&self) -> (Wire, Message) {
        loop {
            let mut wire = self.take();
            if let Some(message) = wire.read() {
                return (wire, message);
            }
        }
    }

    /// No request comes for so long, on any connection.
    pub fn hears_nothing(&self, time: Duration) -> bool {
        let start = Instant::now();
        while let Some(mut wire) = self.take_within(time.saturating_sub(start.elapsed())) {
            if wire.read_within(time).is_some() {
                return false;
            }
        }
        true
    }
}

/// How a connection's other side ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It sent its end.
    Closed,
    /// It reset the connection.
    Reset,
    /// It has not ended.
    Open,
}

/// One connection.
pub struct Wire {
    reader: BufReader<TcpStream>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Wire { reader: BufReader::new(stream) }
    }

    pub fn connect(address: SocketAddr) -> Wire {
        Wire::new(TcpStream::connect(address).expect("it accepts"))
    }

    pub fn read(&mut self) -> Option<Message> {
        self.read_within(PATIENCE)
    }

    /// The next message, if it comes whole in time.
    pub fn read_within(&mut self, time: Duration) -> Option<Message> {
        let time = time.max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(time)).unwrap();
        let message = Message::read(&mut self.reader);
        self.reader.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        message.filter(|message| !message.first_line.is_empty())
    }

    pub fn write(&mut self, text: &str) {
        let _ = self.try_write(text);
    }

    /// Whether the connection still took it.
    pub fn try_write(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// A chunk of a body that is sent in chunks.
    pub fn chunk(&mut self, text: &str) {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Ends its sending and goes on reading.
    pub fn half_close(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Reads to the other side's end, or for so long; all that came, and how it ended.
    pub fn rest(&mut self, time: Duration) -> (Vec<u8>, End) {
        let (start, mut all) = (Instant::now(), Vec::new());
        loop {
            let left = time.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            self.reader.get_ref().set_read_timeout(Some(left)).unwrap();
            let mut piece = [0; 4096];
            match self.reader.read(&mut piece) {
                // A reset behind the end shows in no read any more.
                Ok(0) => {
                    std::thread::sleep(Duration::from_millis(50));
                    return (all, if self.was_reset() { End::Reset } else { End::Closed });
                }
                Ok(count) => all.extend_from_slice(&piece[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return (all, End::Reset),
                Err(_) if start.elapsed() >= time => return (all, End::Open),
                Err(_) => {}
            }
        }
    }

    /// Waits until the other side has ended.
    pub fn ended(&mut self) -> End {
        self.rest(PATIENCE).1
    }

    /// Whether the other side has ended, with nothing unread ahead of that: looks and does not wait.
    pub fn has_ended(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).unwrap();
        self.reader.buffer().is_empty()
            && seen.map_or_else(|e| e.kind() != std::io::ErrorKind::WouldBlock, |count| count == 0)
    }

    /// Whether the other side has reset the connection, though nothing was written to it since.
    pub fn was_reset(&self) -> bool {
        !matches!(SockRef::from(self.reader.get_ref()).take_error(), Ok(None))
    }

    /// Whether something has come that was not read.
    pub fn has_more(&mut self, time: Duration) -> bool {
        self.reader.get_ref().set_read_timeout(Some(time.max(Duration::from_millis(1)))).unwrap();
        matches!(self.reader.fill_buf(), Ok(bytes) if !bytes.is_empty())
    }
}

/// An endpoint that takes long to dial: its queue is full until it is opened, and what came meanwhile comes up when
/// the dialler's machine tries again, about a second after it began.
pub struct SlowDoor {
    pub address: SocketAddr,
    listener: TcpListener,
    filler: Vec<TcpStream>,
}

impl SlowDoor {
    pub fn shut() -> SlowDoor {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((ip_of_its_own(), 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let filler = vec![TcpStream::connect(address).unwrap()];
        SlowDoor { address, listener: socket.into(), filler }
    }

    /// Whoever dials from now on, or is still dialling, comes up.
    pub fn open(self) -> Stage {
        for _ in &self.filler {
            drop(self.listener.accept().unwrap());
        }
        let socket = Socket::from(self.listener);
        socket.listen(64).unwrap();
        Stage { address: self.address, listener: socket.into() }
    }
}
