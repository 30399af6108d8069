//! When the bytes of a message arrived on this machine, read or not: a client's time begins with its last one.

use std::cell::Cell;
use tokio::time::Instant;

/// The bytes of the current message on a connection that have arrived.
pub(crate) struct Arrivals {
    /// Bytes that were read.
    read: Cell<u64>,
    /// Bytes that have arrived, as far as was observed.
    arrived: Cell<u64>,
    /// When the last one of these was observed.
    last_at: Cell<Instant>,
}

impl Arrivals {
    /// No byte has arrived.
    pub fn new() -> Self {
        Arrivals { read: Cell::default(), arrived: Cell::default(), last_at: Cell::new(Instant::now()) }
    }

    /// The next message begins.
    pub fn reset(&self) {
        self.read.set(0);
        self.arrived.set(0);
        self.last_at.set(Instant::now());
    }

    /// Records that bytes were read.
    pub fn record_read(&self, count: usize) {
        self.read.set(self.read.get() + count as u64);
        self.record_unread(0);
    }

    /// Records how many unread bytes have arrived behind those that were read.
    pub fn record_unread(&self, count: u64) {
        let arrived = self.read.get() + count;
        if arrived > self.arrived.get() {
            self.arrived.set(arrived);
            self.last_at.set(Instant::now());
        }
    }

    /// How many bytes of the message were read.
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// How many bytes of the message have arrived.
    pub fn arrived(&self) -> u64 {
        self.arrived.get()
    }

    /// When the last of them was observed.
    pub fn last_at(&self) -> Instant {
        self.last_at.get()
    }
}
