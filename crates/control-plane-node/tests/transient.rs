//! System calls that a signal interrupts, or that a limit of the machine refuses for a moment.

use curlewhub_control_plane_node::{Uninterrupted, accept_pause};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Each call but every third is interrupted, or all are for the first thousand; a read or write takes two bytes at the most.
struct ZoneSignals<T> {
    inner: T,
    calls: usize,
    storm: usize,
}

impl<T> ZoneSignals<T> {
    fn interrupts(&mut self) -> Option<io::Error> {
        self.calls += 1;
        (self.calls < self.storm || !self.calls.is_multiple_of(3))
            .then(|| io::ErrorKind::Interrupted.into())
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ZoneSignals<T> {
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

impl<T: AsyncWrite + Unpin> AsyncWrite for ZoneSignals<T> {
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
fn what_signals_interrupt_is_read_and_written_whole() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        for storm in [0, 1000] {
            let message: Vec<u8> = (0..200).collect();
            let (here, there) = tokio::io::duplex(1024);
            let mut into = Uninterrupted(ZoneSignals { inner: here, calls: 0, storm });
            into.write_all(&message).await.unwrap();
            into.flush().await.unwrap();
            into.shutdown().await.unwrap();
            let mut heard = Vec::new();
            let mut from = Uninterrupted(ZoneSignals { inner: there, calls: 0, storm });
            from.read_to_end(&mut heard).await.unwrap();
            assert_eq!(heard, message);
        }
    });
}

#[test]
fn an_accept_that_failed_for_one_connection_is_followed_by_the_next_and_one_without_room_by_a_pause() {
    const ECONNABORTED: i32 = 103;
    const EINTR: i32 = 4;
    const OUT_OF_ROOM: [i32; 4] = [24, 23, 105, 12]; // EMFILE, ENFILE, ENOBUFS, ENOMEM
    for errno in [ECONNABORTED, EINTR] {
        assert_eq!(accept_pause(&io::Error::from_raw_os_error(errno)), None, "{errno}");
    }
    for errno in OUT_OF_ROOM {
        let pause = accept_pause(&io::Error::from_raw_os_error(errno));
        assert!(pause.is_some_and(|pause| !pause.is_zero()), "{errno}");
    }
}
