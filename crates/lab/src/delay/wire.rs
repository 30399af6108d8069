//! HTTP/1.1 messages over blocking sockets: as little as a measurement needs, so that it costs little itself.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message that takes longer than this never comes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest head that is read.
const HEAD_MAX: usize = 16 * 1024;
/// Header fields of one message, at the most.
const HEADERS_MAX: usize = 32;

/// What is read of a message's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// A request for this target.
    Request(String),
    /// An answer with this status.
    Status(u16),
}

/// One whole message; its bytes are in the connection's buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// From its first line.
    pub start: Start,
    /// Bytes of head and body.
    pub length: usize,
}

/// One kept connection, with one message at a time either way.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    filled: usize,
}

/// Which of the two kinds of message is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Requests.
    Request,
    /// Answers.
    Answer,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    /// Nobody listens there.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Connection::of(TcpStream::connect_timeout(&address, READ_TIMEOUT)?, Some(READ_TIMEOUT))
    }

    /// Takes over an accepted connection, which may lie idle for as long as its peer likes.
    ///
    /// # Errors
    /// The socket takes no options.
    pub fn accepted(stream: TcpStream) -> io::Result<Self> {
        Connection::of(stream, None)
    }

    fn of(stream: TcpStream, patience: Option<Duration>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(patience)?;
        Ok(Connection { stream, buffer: vec![0; HEAD_MAX], filled: 0 })
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads until a message is whole; none at the connection's end.
    ///
    /// # Errors
    /// The connection breaks, falls silent, or holds something else.
    pub fn read(&mut self, expected: Expected) -> io::Result<Option<Message>> {
        self.filled = 0;
        loop {
            if let Some(message) = parse(&self.buffer[..self.filled], expected)? {
                if message.length <= self.filled {
                    return Ok(Some(message));
                }
                self.buffer.resize(message.length.max(self.buffer.len()), 0);
            } else if self.filled == HEAD_MAX {
                return Err(invalid("the head is too long"));
            }
            match self.stream.read(&mut self.buffer[self.filled..])? {
                0 if self.filled == 0 => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.filled += count,
            }
        }
    }

    /// The bytes of the message that was read last.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[..self.filled]
    }
}

/// The message that begins here, as soon as its head is whole.
fn parse(bytes: &[u8], expected: Expected) -> io::Result<Option<Message>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let (status, start, headers) = match expected {
        Expected::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
            (status, Start::Request(request.path.unwrap_or_default().to_owned()), request.headers)
        }
        Expected::Answer => {
            let mut answer = httparse::Response::new(&mut headers);
            let status = answer.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
            (status, Start::Status(answer.code.unwrap_or_default()), answer.headers)
        }
    };
    let httparse::Status::Complete(head) = status else { return Ok(None) };
    let length = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let body = match length {
        Some(header) => std::str::from_utf8(header.value).ok().and_then(|text| text.parse::<usize>().ok()),
        None => Some(0),
    };
    let body = body.ok_or_else(|| invalid("Content-Length is no number"))?;
    Ok(Some(Message { start, length: head + body }))
}

fn invalid(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}
