//! What is read of a long body behind its buffered beginning while it waits to be forwarded: its end, or its client's close,
//! may lie there.

use crate::message_memory::{BodyBuffer, MessageMemory, Purpose};
use hyper::body::Bytes;
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes that are read ahead of one body at most, if memory allows.
const MAX_READ_AHEAD: usize = 1 << 20;

/// The bytes that were read ahead, in order.
pub(crate) struct ReadAhead {
    memory: Arc<MessageMemory>,
    /// None once it is taken to be forwarded.
    buffer: Option<BodyBuffer>,
    pieces: VecDeque<Bytes>,
    is_full: bool,
}

impl ReadAhead {
    /// Nothing has been read ahead.
    pub fn new(memory: &Arc<MessageMemory>) -> Self {
        let (buffer, pieces, is_full) = Default::default();
        ReadAhead { memory: memory.clone(), buffer, pieces, is_full }
    }

    /// Whether no more may be read ahead.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Whether nothing is left of it.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_none() && self.pieces.is_empty()
    }

    /// Appends a piece.
    pub fn push(&mut self, data: Bytes) {
        let buffer = self.buffer.get_or_insert_with(|| BodyBuffer::new(&self.memory, Purpose::GrownBuffer));
        let taken = buffer.push(&data);
        self.is_full = taken < data.len() || buffer.len() >= MAX_READ_AHEAD;
        // The rest stays in the memory that it was read into.
        self.pieces.extend((taken < data.len()).then(|| data.slice(taken..)));
    }

    /// Takes the next piece; nothing is read ahead after that.
    pub fn pop(&mut self) -> Option<Bytes> {
        self.is_full = true;
        if let Some(buffer) = self.buffer.take() {
            let rest = std::mem::replace(&mut self.pieces, buffer.into_pieces().into());
            self.pieces.extend(rest);
        }
        self.pieces.pop_front()
    }
}
