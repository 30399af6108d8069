//! Interrupted reads and writes are tried again, and nothing is lost or doubled.

use curlewhub_standins::http::{MessageKind, Reader};
use curlewhub_standins::interrupted::write_whole;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Takes and gives three bytes at a time, and fails each second call with this.
struct Failing {
    bytes: Vec<u8>,
    at: usize,
    error: io::ErrorKind,
    calls: usize,
}

impl Failing {
    fn fails(&mut self) -> bool {
        self.calls += 1;
        !self.calls.is_multiple_of(2)
    }
}

impl AsyncRead for Failing {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.fails() {
            return Poll::Ready(Err(self.error.into()));
        }
        let end = (self.at + 3).min(self.bytes.len());
        to.put_slice(&self.bytes[self.at..end]);
        self.at = end;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Failing {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.fails() {
            return Poll::Ready(Err(self.error.into()));
        }
        let piece = &bytes[..bytes.len().min(3)];
        self.bytes.extend_from_slice(piece);
        Poll::Ready(Ok(piece.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn failing(bytes: &[u8], error: io::ErrorKind) -> Failing {
    Failing { bytes: bytes.to_vec(), at: 0, error, calls: 0 }
}

/// Nothing here ever waits.
fn now<T>(task: impl Future<Output = T>) -> T {
    match Box::pin(task).as_mut().poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(ended) => ended,
        Poll::Pending => panic!("it waits"),
    }
}

const REQUEST: &[u8] = b"POST /a/x HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nbody";

#[test]
fn a_message_is_read_whole_however_often_its_reads_are_interrupted() {
    let mut reader = Reader::new(failing(REQUEST, io::ErrorKind::Interrupted), MessageKind::Requests);
    assert_eq!(now(reader.message()).unwrap().unwrap().body, b"body");
    assert!(now(reader.message()).unwrap().is_none(), "and then its end");
    let mut reader = Reader::new(failing(REQUEST, io::ErrorKind::ConnectionReset), MessageKind::Requests);
    assert!(now(reader.message()).is_err(), "any other error is one");
}

#[test]
fn a_message_is_written_once_however_often_its_writes_are_interrupted() {
    let mut to = failing(b"", io::ErrorKind::Interrupted);
    now(write_whole(&mut to, REQUEST)).unwrap();
    assert_eq!(to.bytes, REQUEST);
    assert!(now(write_whole(&mut failing(b"", io::ErrorKind::BrokenPipe), REQUEST)).is_err());
}
