//! Interrupted system calls are made again, short reads and writes go on, and other errors are handed on.

use curlewhub_runtime::interrupts::{StreamSocket, Uninterrupted, uninterrupted, uninterrupted_async};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// A socket that is always ready. Each other call on average is interrupted, the others transfer a few bytes.
struct Disturbed {
    draws: RefCell<Pcg32>,
    sends: RefCell<Vec<u8>>,
    written: RefCell<Vec<u8>>,
    /// What the read after the last byte ends with.
    end: Option<ErrorKind>,
}

impl Disturbed {
    fn new(seed: u64, sends: &[u8], end: Option<ErrorKind>) -> Self {
        let draws = RefCell::new(Pcg32::seed_from_u64(seed));
        Disturbed { draws, sends: RefCell::new(sends.to_vec()), written: RefCell::default(), end }
    }

    fn count(&self, most: usize) -> io::Result<usize> {
        let mut draws = self.draws.borrow_mut();
        if draws.random_bool(0.5) {
            return Err(ErrorKind::Interrupted.into());
        }
        Ok(draws.random_range(1..=3).min(most))
    }
}

impl StreamSocket for Disturbed {
    fn poll_readable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_writable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut sends = self.sends.borrow_mut();
        let count = self.count(buffer.len().min(sends.len()))?;
        if sends.is_empty() {
            return self.end.map_or(Ok(0), |kind| Err(kind.into()));
        }
        buffer[..count].copy_from_slice(&sends[..count]);
        sends.drain(..count);
        Ok(count)
    }

    fn write_now(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.iter().copied()).collect();
        let count = self.count(bytes.len())?;
        self.written.borrow_mut().extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

impl AsyncWrite for Disturbed {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        unreachable!("written to by `write_now` alone")
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_disturbed_stream_transfers_every_byte_once_and_in_order() {
    for seed in 0..20 {
        let bytes: Vec<u8> = (0..=255).collect();
        let mut stream = Uninterrupted(Disturbed::new(seed, &bytes, None));
        let mut read = Vec::new();
        assert_eq!(stream.read_to_end(&mut read).await.unwrap(), bytes.len(), "seed {seed}");
        assert_eq!(read, bytes, "seed {seed}");
        stream.write_all(&bytes).await.unwrap();
        assert_eq!(*stream.0.written.borrow(), bytes, "seed {seed}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_broken_connection_stays_an_error_whatever_its_name() {
    for kind in [ErrorKind::ConnectionReset, ErrorKind::TimedOut, ErrorKind::HostUnreachable] {
        let mut stream = Uninterrupted(Disturbed::new(1, b"abc", Some(kind)));
        let mut read = Vec::new();
        assert_eq!(stream.read_to_end(&mut read).await.unwrap_err().kind(), kind);
        assert_eq!(read, b"abc");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn one_call_is_repeated_after_interrupts_and_after_nothing_else() {
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
    // It ends also where every call is interrupted.
    let endless = uninterrupted(|| call(u32::MAX, None)).unwrap_err();
    assert_eq!(endless.kind(), ErrorKind::Interrupted);
    let endless = uninterrupted_async(async || call(u32::MAX, None)).await.unwrap_err();
    assert_eq!(endless.kind(), ErrorKind::Interrupted);
}
