//! Back pressure within a streamed body: how many bytes may be handed over for writing before earlier ones are
//! written.

use super::message_memory::BodyBuffer;
use super::socket::READ_LEN;
use hyper::body::Bytes;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

/// Further chunks may be handed over while no more than this waits to be written, in bytes.
const MAX_UNWRITTEN: usize = READ_LEN;
/// A chunk up to this length is copied, so that it does not keep a whole read buffer in memory.
const SHORT_CHUNK_LEN: usize = READ_LEN / 4;
/// Memory of a chunk beside its bytes: its owner, and its place in the queue of writes.
const CHUNK_OVERHEAD: usize = 256;

/// The chunks of a body that were handed over and are not written yet.
#[derive(Default)]
pub struct StreamWindow(Arc<Mutex<WindowState>>);

#[derive(Default)]
struct WindowState {
    unwritten: usize,
    waiting: Option<Waker>,
}

/// A chunk in a window; it leaves the window when it is dropped.
struct WindowedChunk {
    data: Bytes,
    memory: usize,
    state: Arc<Mutex<WindowState>>,
}

impl StreamWindow {
    /// The window of a body that is streamed from here on, and its beginning: what is buffered, and the rest of the last
    /// chunk.
    pub fn after(buffer: BodyBuffer, rest: Bytes) -> (Vec<Bytes>, Self) {
        let window = StreamWindow::default();
        let mut beginning = buffer.into_pieces();
        if !rest.is_empty() {
            beginning.push(window.add(rest));
        }
        (beginning, window)
    }

    /// Waits until the next chunk may be handed over.
    pub fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.0);
        if state.unwritten <= MAX_UNWRITTEN {
            return Poll::Ready(());
        }
        state.waiting = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Counts a chunk as handed over, until the returned bytes are dropped.
    pub fn add(&self, data: Bytes) -> Bytes {
        let (data, memory) = if data.len() <= SHORT_CHUNK_LEN {
            let memory = data.len() + CHUNK_OVERHEAD;
            (Bytes::copy_from_slice(&data), memory)
        } else {
            let memory = data.len().max(READ_LEN);
            (data, memory)
        };
        lock(&self.0).unwritten += memory;
        Bytes::from_owner(WindowedChunk { data, memory, state: self.0.clone() })
    }
}

impl AsRef<[u8]> for WindowedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for WindowedChunk {
    fn drop(&mut self) {
        let waiting = {
            let mut state = lock(&self.state);
            state.unwritten -= self.memory;
            state.waiting.take()
        };
        waiting.into_iter().for_each(Waker::wake);
    }
}

fn lock(state: &Mutex<WindowState>) -> std::sync::MutexGuard<'_, WindowState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
