//! As much of HTTP/1.1 as a peer needs that must be able to get it wrong.

use crate::interrupted::read_some;
use std::io;
use tokio::io::AsyncRead;

/// The most headers of one message.
const MAX_HEADERS: usize = 64;
/// The most bytes of a head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The most bytes of a body: the platform's long bodies are 32 MB.
const MAX_BODY_BYTES: usize = 33 << 20;

/// A message read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request; empty in an answer.
    pub method: String,
    /// A request's target.
    pub target: String,
    /// An answer's status; 0 in a request.
    pub status: u16,
    /// Headers, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, whole.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Whether the connection ends after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// The kind of messages that one direction of a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Requests,
    /// Answers.
    Answers,
}

/// A head as it was parsed, and its length in bytes.
type Head = (Message, usize);

fn invalid(problem: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem.to_string())
}

fn parse(bytes: &[u8], kind: MessageKind) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut message = Message::default();
    let (status, parsed) = match kind {
        MessageKind::Requests => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes).map_err(invalid)?;
            message.method = request.method.unwrap_or_default().to_owned();
            message.target = request.path.unwrap_or_default().to_owned();
            (status, request.headers)
        }
        MessageKind::Answers => {
            let mut answer = httparse::Response::new(&mut headers);
            let status = answer.parse(bytes).map_err(invalid)?;
            message.status = answer.code.unwrap_or_default();
            (status, answer.headers)
        }
    };
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    message.headers = (parsed.iter())
        .map(|h| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).trim().to_owned()))
        .collect();
    Ok(Some((message, length)))
}

/// Reads messages from a connection, and what lies behind one is the next one's.
pub struct Reader<R> {
    from: R,
    buffer: Vec<u8>,
    kind: MessageKind,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reader of messages of this kind.
    pub fn new(from: R, kind: MessageKind) -> Self {
        Reader { from, buffer: Vec::new(), kind }
    }

    /// Bytes that have come and belong to no message that was read.
    pub fn surplus(&self) -> usize {
        self.buffer.len()
    }

    /// The connection itself.
    pub fn inner(&mut self) -> &mut R {
        &mut self.from
    }

    async fn more(&mut self) -> io::Result<bool> {
        Ok(read_some(&mut self.from, &mut self.buffer).await? > 0)
    }

    /// The next message; none where the connection ends between two.
    ///
    /// # Errors
    /// It broke off, or brought what is no message, or too long a one.
    pub async fn message(&mut self) -> io::Result<Option<Message>> {
        let (mut message, length) = loop {
            if let Some(head) = parse(&self.buffer, self.kind)? {
                break head;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("too long a head"));
            }
            if !self.more().await? {
                let between = self.buffer.is_empty();
                return if between { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        self.buffer.drain(..length);
        if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
        {
            while let Some(chunk) = self.chunk().await? {
                message.body.extend_from_slice(&chunk);
                if message.body.len() > MAX_BODY_BYTES {
                    return Err(invalid("too long a body"));
                }
            }
            return Ok(Some(message));
        }
        let length = match message.header("content-length") {
            None => 0,
            Some(text) => text.parse::<usize>().map_err(invalid)?,
        };
        if length > MAX_BODY_BYTES {
            return Err(invalid("too long a body"));
        }
        message.body = self.take(length).await?;
        Ok(Some(message))
    }

    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.more().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// A chunk of a chunked body; none at its end.
    async fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        loop {
            match httparse::parse_chunk_size(&self.buffer).map_err(|_| invalid("a bad chunk"))? {
                httparse::Status::Complete((head, size)) => {
                    let size = usize::try_from(size).map_err(invalid)?;
                    if size > MAX_BODY_BYTES {
                        return Err(invalid("too long a chunk"));
                    }
                    self.take(head).await?;
                    let chunk = self.take(size).await?;
                    self.take(2).await?; // its line's end
                    return Ok((size > 0).then_some(chunk));
                }
                httparse::Status::Partial => {
                    if !self.more().await? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
            }
        }
    }
}

/// The old name of [`MessageKind`], for one release.
pub use MessageKind as Side;

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn messages_are_told_apart_in_whatever_pieces_they_come() {
        let bytes =
            b"POST /a/x HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\n\r\n\
            POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        for size in [1, 7, 4096] {
            let (mut ours, theirs) = tokio::io::duplex(size);
            let write = async {
                tokio::io::AsyncWriteExt::write_all(&mut ours, bytes).await.unwrap();
                drop(ours);
            };
            let read = async {
                let mut reader = Reader::new(theirs, MessageKind::Requests);
                let mut seen = Vec::new();
                while let Some(message) = reader.message().await.unwrap() {
                    seen.push((message.target, message.body));
                }
                seen
            };
            let ((), seen) = tokio::join!(write, read);
            let want = [("/a/x", &b"body"[..]), ("/b", b""), ("/c", b"abcde")];
            assert_eq!(seen.iter().map(|(t, b)| (&t[..], &b[..])).collect::<Vec<_>>(), want);
        }
    }

    #[tokio::test]
    async fn what_is_no_message_is_an_error() {
        for bad in ["nonsense\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "GET / HT"] {
            let mut reader = Reader::new(bad.as_bytes(), MessageKind::Requests);
            assert!(reader.message().await.is_err(), "{bad}");
        }
        let huge = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", usize::MAX);
        assert!(Reader::new(huge.as_bytes(), MessageKind::Answers).message().await.is_err());
    }
}
