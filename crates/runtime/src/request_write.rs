//! When the bytes of a request may be written to the connection of its endpoint.
//!
//! An endpoint begins a request when the last byte arrives at its machine. A byte that the kernel has taken may wait there
//! for as long as the endpoint reads slowly. So the last byte of a request that may not fit into one segment is written
//! only once all bytes before it have left this machine, and the request's conditions are checked right before. A
//! request whose last byte was not written has not run, wherever the bytes before it are.

use super::figures::Metrics;
use std::cell::Cell;
use std::future::Future;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// A head without a body is written in one piece up to this length, in bytes: it fits into one segment of an Ethernet.
const SHORT_HEAD_LEN: usize = 1400;
/// Delay of the last byte of a request with a body behind the rest. A connection that was dropped, or is about to be,
/// answers the first bytes with a reset; a request that is reset before its last byte was not processed and may be sent
/// again, even if it is unsafe. This covers every close under a request: by endpoints, proxies and restarts. It adds this
/// much to each call with a body; if the endpoint is farther away than this, the reset arrives too late to help.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(1);

/// A byte of a request that is about to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestByte {
    /// The first one of several.
    First,
    /// The last one: the endpoint begins the request when it arrives.
    Last,
    /// All bytes are written at once.
    Only,
}

impl RequestByte {
    /// Whether nothing of the request was written before.
    pub fn is_first(self) -> bool {
        self != RequestByte::Last
    }

    /// Whether the request is complete with it.
    pub fn is_last(self) -> bool {
        self != RequestByte::First
    }
}

/// Returns whether a byte of a request may be written now.
pub type WriteCheck = Box<dyn Fn(RequestByte) -> bool>;

/// The check of a request has failed: none of its bytes may be written any more.
pub struct Rejected;

/// How far a request was written.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Unwritten,
    Begun,
    Complete,
}

/// A request that is being written to a connection.
pub struct RequestWrite {
    /// None once the request is complete: it holds the client's connection open.
    check: Option<WriteCheck>,
    stage: Stage,
    has_body: bool,
    /// The writer holds all that is left of the request.
    is_handed_over: bool,
    /// A wait before the last byte.
    delay: Option<Pin<Box<Sleep>>>,
    /// Set as the last byte is written.
    fully_sent: Rc<Cell<bool>>,
    /// Metrics in which the attempt is recorded at that time.
    metrics: Option<Rc<Metrics>>,
}

impl RequestWrite {
    /// A request of which nothing is written, and each byte only if `check` allows it.
    pub fn new(
        check: WriteCheck,
        has_body: bool,
        fully_sent: Rc<Cell<bool>>,
        metrics: Option<Rc<Metrics>>,
    ) -> Self {
        let (stage, is_handed_over) = (Stage::Unwritten, !has_body);
        RequestWrite {
            check: Some(check),
            stage,
            has_body,
            is_handed_over,
            delay: None,
            fully_sent,
            metrics,
        }
    }

    /// The writer holds all that is left of the request from now on.
    pub fn handed_over(&mut self) {
        self.is_handed_over = true;
    }

    /// Whether nothing of it was written.
    pub fn is_unwritten(&self) -> bool {
        self.stage == Stage::Unwritten
    }

    /// Whether its last byte was written.
    pub fn is_complete(&self) -> bool {
        self.stage == Stage::Complete
    }

    /// How many of the `remaining` bytes that the writer holds may be written now; pending while the last byte is held
    /// back. `has_unsent` returns whether bytes that were written before wait on this machine; it is called only for the
    /// last byte, and has to wake the task once there are none.
    pub fn poll_allowed(
        &mut self,
        cx: &mut Context<'_>,
        remaining: usize,
        has_unsent: impl FnOnce(&mut Context<'_>) -> Poll<()>,
    ) -> Poll<Result<usize, Rejected>> {
        let is_first = self.stage == Stage::Unwritten;
        let is_whole = self.is_handed_over && is_first && !self.has_body && remaining <= SHORT_HEAD_LEN;
        let (byte, length) = match (self.is_handed_over, remaining) {
            _ if is_whole => (RequestByte::Only, remaining),
            (true, 1) => (RequestByte::Last, 1),
            (true, _) => (RequestByte::First, remaining - 1),
            (false, _) => (RequestByte::First, remaining),
        };
        if byte == RequestByte::Last {
            if self.has_body {
                let delay = self.delay.get_or_insert_with(|| Box::pin(sleep(LAST_BYTE_DELAY)));
                ready!(delay.as_mut().poll(cx));
            }
            ready!(has_unsent(cx));
        }
        let is_checked = is_first || byte == RequestByte::Last;
        let is_allowed = !is_checked || self.check.as_ref().is_none_or(|check| check(byte));
        Poll::Ready(if is_allowed { Ok(length) } else { Err(Rejected) })
    }

    /// Records that `written` of the `remaining` bytes that the writer holds were written.
    pub fn record(&mut self, written: usize, remaining: usize) {
        if written == 0 || self.stage == Stage::Complete {
            return;
        }
        self.stage =
            if self.is_handed_over && written == remaining { Stage::Complete } else { Stage::Begun };
        if self.stage == Stage::Complete {
            self.check = None;
            self.fully_sent.set(true);
            self.metrics.take().into_iter().for_each(|metrics| metrics.record_attempt());
        } else if self.is_handed_over && written + 1 == remaining && self.has_body {
            self.delay = Some(Box::pin(sleep(LAST_BYTE_DELAY)));
        }
    }
}

/// The total length of these parts, in bytes.
pub fn total_len(parts: &[IoSlice<'_>]) -> usize {
    parts.iter().map(|part| part.len()).sum()
}

/// The first `length` bytes of these parts.
pub fn truncated<'a>(parts: &'a [IoSlice<'a>], length: usize) -> Vec<IoSlice<'a>> {
    let mut left = length;
    let mut kept = Vec::with_capacity(parts.len());
    for part in parts {
        let count = part.len().min(left);
        left -= count;
        if count > 0 {
            kept.push(IoSlice::new(&part[..count]));
        }
    }
    kept
}
