//! Reads and writes that a signal interrupts are no end of a connection.

use curlewhub_runtime::uninterrupted::Uninterrupted;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Each second call fails with this; the others pass.
struct Failing(Vec<u8>, io::ErrorKind, usize);

impl Failing {
    fn call<T>(&mut self, done: impl FnOnce(&mut Vec<u8>) -> T) -> Poll<io::Result<T>> {
        self.2 += 1;
        Poll::Ready(if self.2.is_multiple_of(2) { Ok(done(&mut self.0)) } else { Err(self.1.into()) })
    }
}

impl AsyncRead for Failing {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.call(|bytes| to.put_slice(&bytes.drain(..bytes.len().min(2)).collect::<Vec<u8>>()))
    }
}

impl AsyncWrite for Failing {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, piece: &[u8]) -> Poll<io::Result<usize>> {
        self.call(|bytes| {
            bytes.extend_from_slice(&piece[..1]);
            1
        })
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.call(|_| ())
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.call(|_| ())
    }
}

fn run<T>(task: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(task)
}

#[test]
fn whatever_is_interrupted_is_done_whole_and_once() {
    run(async {
        let mut stream = Uninterrupted(Failing(Vec::new(), io::ErrorKind::Interrupted, 0));
        stream.write_all(b"a change").await.unwrap();
        stream.flush().await.unwrap();
        stream.shutdown().await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert_eq!(text, "a change");
    });
}

#[test]
fn any_other_error_stays_one() {
    run(async {
        let mut stream = Uninterrupted(Failing(Vec::new(), io::ErrorKind::TimedOut, 0));
        assert_eq!(stream.write_all(b"x").await.unwrap_err().kind(), io::ErrorKind::TimedOut);
    });
}
