//! A peer that the test drives step by step: the test decides when it accepts, reads, writes, pauses, half-closes or
//! resets a connection. So a test can put two events in either order without relying on a sleep.

use super::{Message, WAIT_TIMEOUT, listener_on_unique_ip, unique_loopback_ip};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener whose connections the test accepts one by one.
pub struct ScriptedListener {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl ScriptedListener {
    pub fn new() -> ScriptedListener {
        let listener = listener_on_unique_ip();
        ScriptedListener { address: listener.local_addr().unwrap(), listener }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> RawConnection {
        self.accept_within(WAIT_TIMEOUT).expect("a connection arrives")
    }

    /// Accepts the next connection, if one arrives within this time.
    pub fn accept_within(&self, time: Duration) -> Option<RawConnection> {
        self.listener.set_nonblocking(true).unwrap();
        let start = Instant::now();
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    return Some(RawConnection::new(stream));
                }
                Err(_) if start.elapsed() < time => std::thread::sleep(Duration::from_millis(2)),
                Err(_) => return None,
            }
        }
    }

    /// Accepts the next connection that sends a request, and reads its first one.
    pub fn accept_request(&self) -> (RawConnection, Message) {
        loop {
            let mut connection = self.accept();
            if let Some(message) = connection.read() {
                return (connection, message);
            }
        }
    }

    /// Whether no request arrives on any new connection for this long.
    pub fn receives_no_request(&self, time: Duration) -> bool {
        let start = Instant::now();
        while let Some(mut connection) = self.accept_within(time.saturating_sub(start.elapsed())) {
            if connection.read_within(time).is_some() {
                return false;
            }
        }
        true
    }
}

/// How the other side has ended a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It closed, or shut down its sending side.
    Closed,
    /// It reset the connection.
    Reset,
    /// It has not ended.
    Open,
}

/// A TCP connection to or from the sidecar, read and written by the test.
pub struct RawConnection {
    reader: BufReader<TcpStream>,
}

impl RawConnection {
    pub fn new(stream: TcpStream) -> RawConnection {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        RawConnection { reader: BufReader::new(stream) }
    }

    pub fn connect(address: SocketAddr) -> RawConnection {
        RawConnection::new(TcpStream::connect(address).expect("the connection is accepted"))
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn read(&mut self) -> Option<Message> {
        self.read_within(WAIT_TIMEOUT)
    }

    /// Reads the next message, if all of it arrives within this time.
    pub fn read_within(&mut self, time: Duration) -> Option<Message> {
        let time = time.max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(time)).unwrap();
        let message = Message::read(&mut self.reader);
        self.reader.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        message.filter(|message| !message.first_line.is_empty())
    }

    pub fn write(&mut self, text: &str) {
        let _ = self.try_write(text);
    }

    /// Writes text; whether the write succeeded.
    pub fn try_write(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Writes one chunk of a chunked body.
    pub fn write_chunk(&mut self, text: &str) {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Shuts down sending; reading goes on.
    pub fn half_close(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Reads until the other side ends or the time is over; returns all that was read and how it ended.
    pub fn read_until_end(&mut self, time: Duration) -> (Vec<u8>, End) {
        let (start, mut all) = (Instant::now(), Vec::new());
        loop {
            let left = time.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            self.reader.get_ref().set_read_timeout(Some(left)).unwrap();
            let mut piece = [0; 4096];
            match self.reader.read(&mut piece) {
                // No further read shows a reset that follows the end of the stream.
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
    pub fn wait_for_end(&mut self) -> End {
        self.read_until_end(WAIT_TIMEOUT).1
    }

    /// Whether the other side has ended and everything before the end has been read. Does not wait.
    pub fn has_ended(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).unwrap();
        self.reader.buffer().is_empty()
            && seen.map_or_else(|e| e.kind() != std::io::ErrorKind::WouldBlock, |count| count == 0)
    }

    /// Whether the other side has reset the connection; shown without a write to it.
    pub fn was_reset(&self) -> bool {
        !matches!(SockRef::from(self.reader.get_ref()).take_error(), Ok(None))
    }

    /// Whether unread data arrives within this time.
    pub fn has_unread(&mut self, time: Duration) -> bool {
        self.reader.get_ref().set_read_timeout(Some(time.max(Duration::from_millis(1)))).unwrap();
        matches!(self.reader.fill_buf(), Ok(bytes) if !bytes.is_empty())
    }
}

/// An endpoint that is slow to connect to: its accept queue is full until `start_accepting`. A connection attempted
/// before that is established when the client's kernel retries its SYN, about a second after the first one.
pub struct FullBacklogListener {
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullBacklogListener {
    pub fn new() -> FullBacklogListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((unique_loopback_ip(), 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let queued = vec![TcpStream::connect(address).unwrap()];
        FullBacklogListener { address, listener: socket.into(), queued }
    }

    /// Lets through connections attempted from now on, and those still being retried.
    pub fn start_accepting(self) -> ScriptedListener {
        for _ in &self.queued {
            drop(self.listener.accept().unwrap());
        }
        let socket = Socket::from(self.listener);
        socket.listen(64).unwrap();
        ScriptedListener { address: self.address, listener: socket.into() }
    }
}
