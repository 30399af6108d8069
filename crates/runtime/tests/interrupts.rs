//! Interrupted system calls are retried, short reads and writes continue, and other errors are returned.

use curlewhub_runtime::interrupts::{StreamSocket, Uninterrupted, uninterrupted, uninterrupted_async};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// A socket that is always ready. On average half of the calls are interrupted; the others transfer a few
/// bytes.
struct FaultySocket {
    random: RefCell<Pcg32>,
    incoming: RefCell<Vec<u8>>,
    written: RefCell<Vec<u8>>,
    /// The error that a read after the last byte returns; end of file if none.
    end: Option<ErrorKind>,
}

impl FaultySocket {
    fn new(seed: u64, incoming: &[u8], end: Option<ErrorKind>) -> Self {
        let random = RefCell::new(Pcg32::seed_from_u64(seed));
        FaultySocket { random, incoming: RefCell::new(incoming.to_vec()), written: RefCell::default(), end }
    }

    fn count(&self, limit: usize) -> io::Result<usize> {
        let mut random = self.random.borrow_mut();
        if random.random_bool(0.5) {
            return Err(ErrorKind::Interrupted.into());
        }
        Ok(random.random_range(1..=3).min(limit))
    }
}

impl StreamSocket for FaultySocket {
    fn poll_readable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_writable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut incoming = self.incoming.borrow_mut();
        let count = self.count(buffer.len().min(incoming.len()))?;
        if incoming.is_empty() {
            return self.end.map_or(Ok(0), |kind| Err(kind.into()));
        }
        buffer[..count].copy_from_slice(&incoming[..count]);
        incoming.drain(..count);
        Ok(count)
    }

    fn write_now(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.iter().copied()).collect();
        let count = self.count(bytes.len())?;
        self.written.borrow_mut().extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

impl AsyncWrite for FaultySocket {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        unreachable!("writes use only `write_now`")
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[tokio::test(flavor = "current_thread")]
async fn an_interrupted_stream_transfers_every_byte_once_and_in_order() {
    for seed in 0..20 {
        let bytes: Vec<u8> = (0..=255).collect();
        let mut stream = Uninterrupted(FaultySocket::new(seed, &bytes, None));
        let mut read = Vec::new();
        assert_eq!(stream.read_to_end(&mut read).await.unwrap(), bytes.len(), "seed {seed}");
        assert_eq!(read, bytes, "seed {seed}");
        stream.write_all(&bytes).await.unwrap();
        assert_eq!(*stream.0.written.borrow(), bytes, "seed {seed}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn the_error_of_a_broken_connection_is_returned() {
    for kind in [ErrorKind::ConnectionReset, ErrorKind::TimedOut, ErrorKind::HostUnreachable] {
        let mut stream = Uninterrupted(FaultySocket::new(1, b"abc", Some(kind)));
        let mut read = Vec::new();
        assert_eq!(stream.read_to_end(&mut read).await.unwrap_err().kind(), kind);
        assert_eq!(read, b"abc");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_call_is_retried_after_interrupts_but_not_after_other_errors() {
    let calls = Cell::new(0);
    let call = |interrupts: u32, then: Option<ErrorKind>| {
        calls.set(calls.get() + 1);
        match then {
            _ if calls.get() <= interrupts => Err(ErrorKind::Interrupted.into()),
            Some(kind) => Err(io::Error::from(kind)),
            None => Ok(calls.get()),
        }
    };
    assert_eq!(uninterrupted(|| call(3, None)).unwrap(), 4);
    calls.set(0);
    assert_eq!(uninterrupted_async(async || call(3, None)).await.unwrap(), 4);
    calls.set(0);
    let refused = uninterrupted(|| call(1, Some(ErrorKind::ConnectionAborted))).unwrap_err();
    assert_eq!((refused.kind(), calls.get()), (ErrorKind::ConnectionAborted, 2));
    // Retries are limited even if every call is interrupted.
    let endless = uninterrupted(|| call(u32::MAX, None)).unwrap_err();
    assert_eq!(endless.kind(), ErrorKind::Interrupted);
    let endless = uninterrupted_async(async || call(u32::MAX, None)).await.unwrap_err();
    assert_eq!(endless.kind(), ErrorKind::Interrupted);
}
