//! Memory for the messages that pass through: long bodies and heads are allocated only once it is reserved here.
//!
//! Long bodies are held in pages that are mapped for them alone, so that they go back to the system when they are
//! released, whatever the allocator keeps.

use hyper::body::Bytes;
use memmap2::MmapMut;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Length of a piece of a long body, in bytes.
pub const PIECE_LEN: usize = 16 * 1024;
/// Divisor: the part of the limit that free pieces may take. They are kept for reuse, so that a body rarely costs a
/// system call for each piece.
const FREE_PIECES_DIVISOR: usize = 8;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// Buffering a request body.
    RequestBody,
    /// Buffering an answer, or a long head.
    AnswerOrHead,
    /// A buffer that stays larger than a connection needs, which makes it faster.
    GrownBuffer,
}

impl Purpose {
    /// Quarters of the limit up to which memory is reserved for this: what only helps leaves some for what is needed.
    fn quarters(self) -> usize {
        match self {
            Purpose::GrownBuffer => 2,
            Purpose::RequestBody => 3,
            Purpose::AnswerOrHead => 4,
        }
    }
}

/// The memory for long messages: its limit, and what is reserved.
#[derive(Debug, Default)]
pub struct MessageMemory {
    /// In bytes.
    limit: AtomicUsize,
    /// In bytes.
    reserved: AtomicUsize,
    released: Notify,
    free: Mutex<Vec<MmapMut>>,
}

/// Reserved memory; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<MessageMemory>,
    bytes: usize,
}

impl MessageMemory {
    /// The limit and what is reserved, in KiB.
    pub fn usage_kib(&self) -> (usize, usize) {
        (self.limit.load(Ordering::Relaxed) / 1024, self.reserved.load(Ordering::Relaxed) / 1024)
    }

    /// Whether this much more can't be reserved for this purpose.
    pub fn is_exhausted(&self, bytes: usize, purpose: Purpose) -> bool {
        self.reserved.load(Ordering::Relaxed) + bytes > self.limit_for(purpose)
    }

    /// Sets the limit. What is reserved beyond it is not revoked.
    pub fn set_limit_kib(&self, kib: usize) {
        self.limit.store(kib * 1024, Ordering::Relaxed);
        self.drop_free_pieces();
        self.released.notify_waiters();
    }

    /// Reserves memory, if it is available.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize, purpose: Purpose) -> Option<Reservation> {
        let limit = self.limit_for(purpose);
        let add = |reserved: usize| Some(reserved + bytes).filter(|sum| *sum <= limit);
        self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        self.drop_free_pieces();
        Some(Reservation { memory: self.clone(), bytes })
    }

    /// Reserves memory once it is available.
    pub async fn reserve(self: Arc<Self>, bytes: usize, purpose: Purpose) -> Reservation {
        loop {
            // Registered before the check, so that a release between the two is not missed.
            let mut released = pin!(self.released.notified());
            released.as_mut().enable();
            if let Some(reservation) = self.try_reserve(bytes, purpose) {
                return reservation;
            }
            released.await;
        }
    }

    fn limit_for(&self, purpose: Purpose) -> usize {
        self.limit.load(Ordering::Relaxed) / 4 * purpose.quarters()
    }

    /// Unmaps free pieces that would exceed the limit beside what is reserved.
    fn drop_free_pieces(&self) {
        let limit = self.limit.load(Ordering::Relaxed);
        let unreserved = limit.saturating_sub(self.reserved.load(Ordering::Relaxed));
        self.free_pieces().truncate(unreserved.min(limit / FREE_PIECES_DIVISOR) / PIECE_LEN);
    }

    fn free_pieces(&self) -> MutexGuard<'_, Vec<MmapMut>> {
        self.free.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
        self.memory.released.notify_waiters();
    }
}

/// Bytes of a long body, in memory that is reserved for them.
struct Piece {
    /// None only while it is dropped.
    pages: Option<MmapMut>,
    len: usize,
    reservation: Reservation,
}

impl Piece {
    /// An empty piece; none if no memory is available.
    fn new(memory: &Arc<MessageMemory>, purpose: Purpose) -> Option<Self> {
        let reservation = memory.try_reserve(PIECE_LEN, purpose)?;
        let free = memory.free_pieces().pop();
        let pages = match free {
            Some(pages) => pages,
            None => MmapMut::map_anon(PIECE_LEN).ok()?,
        };
        Some(Piece { pages: Some(pages), len: 0, reservation })
    }

    fn is_full(&self) -> bool {
        self.len == PIECE_LEN
    }

    /// Appends as much as fits; returns the rest.
    fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let (now, rest) = data.split_at(data.len().min(PIECE_LEN - self.len));
        if let Some(pages) = &mut self.pages {
            pages[self.len..self.len + now.len()].copy_from_slice(now);
            self.len += now.len();
        }
        rest
    }
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        self.pages.as_ref().map_or(&[], |pages| &pages[..self.len])
    }
}

impl Drop for Piece {
    /// Keeps the pages for reuse. Its reservation is released only after that, so the limit holds meanwhile.
    fn drop(&mut self) {
        let memory = &self.reservation.memory;
        let limit = memory.limit.load(Ordering::Relaxed) / FREE_PIECES_DIVISOR;
        let mut free = memory.free_pieces();
        if (free.len() + 1) * PIECE_LEN <= limit {
            free.extend(self.pages.take());
        }
    }
}

/// The beginning of a body, or all of it. A short one needs no reserved memory.
pub struct BodyBuffer {
    memory: Arc<MessageMemory>,
    purpose: Purpose,
    short: Vec<u8>,
    pieces: Vec<Piece>,
    len: usize,
}

impl BodyBuffer {
    /// Bytes that need no reserved memory: they are part of what every connection may take.
    pub const SHORT_LEN: usize = 4 * 1024;

    /// An empty buffer.
    pub fn new(memory: &Arc<MessageMemory>, purpose: Purpose) -> Self {
        BodyBuffer { memory: memory.clone(), purpose, short: Vec::new(), pieces: Vec::new(), len: 0 }
    }

    /// Number of bytes in it.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes; returns how many: fewer than there are if no memory is available.
    pub fn push(&mut self, data: &[u8]) -> usize {
        let mut rest = data;
        if self.pieces.is_empty() {
            let (short, long) = rest.split_at(rest.len().min(Self::SHORT_LEN - self.short.len()));
            self.short.extend_from_slice(short);
            rest = long;
        }
        while !rest.is_empty() {
            if self.pieces.last().is_none_or(Piece::is_full) {
                match Piece::new(&self.memory, self.purpose) {
                    Some(piece) => self.pieces.push(piece),
                    None => break,
                }
            }
            let Some(piece) = self.pieces.last_mut() else { break };
            rest = piece.fill(rest);
        }
        let taken = data.len() - rest.len();
        self.len += taken;
        taken
    }

    /// Its bytes, in order. The memory is released as they are dropped.
    pub fn into_pieces(self) -> Vec<Bytes> {
        let short = Some(Bytes::from(self.short)).filter(|short| !short.is_empty());
        short.into_iter().chain(self.pieces.into_iter().map(Bytes::from_owner)).collect()
    }
}

/// A complete body, in pieces.
#[derive(Default)]
pub struct BufferedBody(pub Vec<Bytes>);

impl BufferedBody {
    /// Its length in bytes.
    pub fn len(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
