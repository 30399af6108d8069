//! HTTP/1.1 messages as the soak's clients and endpoints read them.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Bytes read at once.
const READ_LEN: usize = 16 * 1024;
/// A longer head is refused.
const MAX_HEAD_LEN: usize = 64 * 1024;
/// Interval at which a wait for bytes records that they have not come.
const ARRIVAL_CHECK: Duration = Duration::from_millis(10);

/// The head of a message: its first line and its headers, in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn parse(text: &[u8]) -> Head {
        let text = String::from_utf8_lossy(text);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Head { first_line, headers }
    }
}

/// A connection, and the bytes that were read from it beyond what was asked for.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// The last time at which bytes that were waited for were seen not to have come, on this machine either.
    pub waited_until: Option<Instant>,
    /// Bytes read since the last call of `start_message`.
    pub read_since_start: usize,
}

/// Why a message is not whole.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended in order.
    Ended,
    /// It was reset, or failed.
    Failed,
    /// What came is no message.
    Invalid,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        ReadError::Failed
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true); // fails only on a connection that has ended
        Connection { stream, buffer: Vec::new(), waited_until: None, read_since_start: 0 }
    }

    /// Counts bytes from here on.
    pub fn start_message(&mut self) {
        self.read_since_start = self.buffer.len();
    }

    /// Whether bytes are there that nobody has asked for yet.
    pub fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || self.unread_in_kernel() > 0
    }

    fn unread_in_kernel(&self) -> u64 {
        rustix::io::ioctl_fionread(self.stream.as_fd()).unwrap_or(0)
    }

    /// Reads more. While nothing comes, records until when it has not.
    async fn fill(&mut self) -> Result<(), ReadError> {
        if self.unread_in_kernel() == 0 {
            self.waited_until = Some(Instant::now());
        }
        while timeout(ARRIVAL_CHECK, self.stream.readable()).await.is_err() {
            self.waited_until = Some(Instant::now());
        }
        let mut piece = [0; READ_LEN];
        let count = self.stream.read(&mut piece).await?;
        if count == 0 {
            return Err(ReadError::Ended);
        }
        self.read_since_start += count;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(())
    }

    /// Reads a head.
    pub async fn read_head(&mut self) -> Result<Head, ReadError> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let head = Head::parse(&self.buffer[..end]);
                self.buffer.drain(..end + 4);
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_LEN {
                return Err(ReadError::Invalid);
            }
            self.fill().await?;
        }
    }

    /// Reads exactly this many bytes. Records how long the last of them had not come: what the kernel holds has.
    pub async fn read_exact(&mut self, length: usize) -> Result<Vec<u8>, ReadError> {
        while self.buffer.len() < length {
            if (self.buffer.len() as u64 + self.unread_in_kernel()) < length as u64 {
                self.waited_until = Some(Instant::now());
            }
            self.fill().await?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn read_line(&mut self) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffer[..end].to_vec();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let line = String::from_utf8_lossy(&self.read_line().await?).into_owned();
            let stated = line.split(';').next().unwrap_or_default().trim().to_owned();
            let length = usize::from_str_radix(&stated, 16).map_err(|_| ReadError::Invalid)?;
            let chunk = self.read_exact(length).await?;
            body.extend_from_slice(&chunk);
            self.read_exact(2).await?;
            if length == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads the body behind this head.
    pub async fn read_body(&mut self, head: &Head) -> Result<Vec<u8>, ReadError> {
        if head.is_chunked() {
            self.read_chunks().await
        } else {
            self.read_exact(head.content_length().unwrap_or(0)).await
        }
    }
}
