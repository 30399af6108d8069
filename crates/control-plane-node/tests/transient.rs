//! Transient errors of system calls: interrupted reads and writes, and failed accepts.

use curlewhub_control_plane_node::{Uninterrupted, accept_pause};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// All calls but every third one are interrupted, and all of the first `storm` calls; a read or write takes up to two bytes.
struct Interrupting<T> {
    inner: T,
    calls: usize,
    storm: usize,
}

impl<T> Interrupting<T> {
    fn interrupts(&mut self) -> Option<io::Error> {
        self.calls += 1;
        (self.calls < self.storm || !self.calls.is_multiple_of(3))
            .then(|| io::ErrorKind::Interrupted.into())
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Interrupting<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(e) = self.interrupts() {
            return Poll::Ready(Err(e));
        }
        let mut short = buf.take(2);
        let result = Pin::new(&mut self.inner).poll_read(cx, &mut short);
        let filled = short.filled().to_vec();
        buf.put_slice(&filled);
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Interrupting<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if let Some(e) = self.interrupts() {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.inner).poll_write(cx, &buf[..buf.len().min(2)])
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.interrupts().map_or_else(|| Pin::new(&mut self.inner).poll_flush(cx), |e| Poll::Ready(Err(e)))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.interrupts()
            .map_or_else(|| Pin::new(&mut self.inner).poll_shutdown(cx), |e| Poll::Ready(Err(e)))
    }
}

#[test]
fn interrupted_reads_and_writes_are_complete() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        for storm in [0, 1000] {
            let message: Vec<u8> = (0..200).collect();
            let (here, there) = tokio::io::duplex(1024);
            let mut into = Uninterrupted(Interrupting { inner: here, calls: 0, storm });
            into.write_all(&message).await.unwrap();
            into.flush().await.unwrap();
            into.shutdown().await.unwrap();
            let mut received = Vec::new();
            let mut from = Uninterrupted(Interrupting { inner: there, calls: 0, storm });
            from.read_to_end(&mut received).await.unwrap();
            assert_eq!(received, message);
        }
    });
}

#[test]
fn an_accept_pauses_after_a_lack_of_resources_but_not_after_an_aborted_connection() {
    const ECONNABORTED: i32 = 103;
    const EINTR: i32 = 4;
    const OUT_OF_RESOURCES: [i32; 4] = [24, 23, 105, 12]; // EMFILE, ENFILE, ENOBUFS, ENOMEM
    for errno in [ECONNABORTED, EINTR] {
        assert_eq!(accept_pause(&io::Error::from_raw_os_error(errno)), None, "{errno}");
    }
    for errno in OUT_OF_RESOURCES {
        let pause = accept_pause(&io::Error::from_raw_os_error(errno));
        assert!(pause.is_some_and(|pause| !pause.is_zero()), "{errno}");
    }
}
