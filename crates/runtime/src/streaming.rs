//! Bodies longer than are kept whole: they flow through in pieces, each side as fast as the other takes
//! them, and never more in memory than the budget has given.

use super::budget::{Budget, Memory};
use super::figures::Metrics;
use super::socket::Heard;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep, timeout};

/// No body is longer: 32 MB, counted the larger way.
pub const BODY_MOST: u64 = 32 << 20;
/// An answer is kept until it is whole up to this length, in bytes: spoilt, it can still be had again.
pub const WHOLE_MOST: usize = 64 * 1024;
/// A request's body is kept until it is whole up to this length, in bytes, where memory allows: so most
/// are decided on only when their time runs, hold no endpoint's connection while they come, and can be
/// sent again.
const REQUEST_WHOLE_MOST: usize = 1 << 20;
/// Kept bytes are packed into pieces of this length, whatever pieces they came in.
const PIECE: usize = 64 * 1024;
/// What a flowing body takes in buffers: of hyper on both sides, and a piece between them, in KiB.
pub const FLOW_KIB: usize = 192;
/// A long body that finds no memory within this is refused.
const FLOW_WAIT: Duration = Duration::from_secs(2);
/// The slowest that a good client writes a body, in bytes a second; it is 64 kB, less what clocks and
/// scheduling blur.
const RATE_LEAST: f64 = 56_000.0;
/// From a connection's start, or a later request's first byte, a body has so long beyond what its bytes
/// earn: bad clients are owed an error or a close within 3 s.
const PACE_START: Duration = Duration::from_millis(2800);
/// What bytes that came fast have earned is worth no more than this much silence.
const PACE_SAVED: Duration = Duration::from_secs(2);
/// An endpoint's answer on its way to the client may pause for so long: what it still gives is not to be
/// cut off, and one that hangs is not waited for for ever.
const FLOW_PAUSE: Duration = Duration::from_secs(10);
/// The last byte of a body sent whole waits for this long behind the rest. A connection that was dropped,
/// or is about to be, answers the first bytes with a reset; an endpoint begins with the last byte, so that
/// what is reset before it never ran and may go again, also where nothing may be repeated. It covers all
/// who close under a request: endpoints, proxies, restarts. It costs each call with a body this long;
/// farther away than this a reset comes too late to help.
const LAST_BYTE: Duration = Duration::from_millis(1);

/// Why a request's body did not come whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoilt {
    /// It broke off, or is framed wrongly.
    Broken,
    /// It is longer than any may be.
    TooLong,
    /// Its client fell silent or too slow.
    TooSlow,
    /// Memory was short for too long.
    NoRoom,
}

/// How long a body may still take: only the time that was spent waiting for its peer counts.
struct Pace {
    due: Instant,
    /// Since when the peer is waited for.
    waiting: Option<Instant>,
    /// When the wait ended, and something else held the body up.
    held: Instant,
}

impl Pace {
    fn new(start: Instant) -> Self {
        Pace { due: start + PACE_START, waiting: None, held: Instant::now() }
    }

    fn waits(&mut self) {
        if self.waiting.is_none() {
            let now = Instant::now();
            self.due += now - self.held;
            self.waiting = Some(now);
        }
    }

    fn came(&mut self, bytes: usize) {
        self.waits();
        let now = Instant::now();
        let earned = self.due + Duration::from_secs_f64(bytes as f64 / RATE_LEAST);
        self.due = self.due.max(earned.min(now + PACE_SAVED));
        (self.waiting, self.held) = (None, now);
    }
}

/// The rest of a request's body, as it comes from the client, and what of it has been kept.
pub struct Upload {
    source: RefCell<Source>,
    /// What came first, to be sent, and sent again while that is all that was sent.
    kept: RefCell<Vec<Bytes>>,
    memory: RefCell<Vec<Memory>>,
    _flow: Memory,
    /// The length that its client states.
    stated: Option<u64>,
    /// More than what is kept has gone to an endpoint, and can't be had again.
    flows: Cell<bool>,
    ended: Cell<Option<Result<(), Spoilt>>>,
    /// Woken when it begins to flow and when it ends.
    watcher: RefCell<Option<Waker>>,
}

struct Source {
    body: Incoming,
    pace: Pace,
    timer: Option<Pin<Box<Sleep>>>,
    length: u64,
}

impl Source {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Spoilt>>> {
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(Spoilt::Broken))),
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers go no further
                    self.length += data.len() as u64;
                    self.pace.came(data.len());
                    if self.length > BODY_MOST {
                        return Poll::Ready(Some(Err(Spoilt::TooLong)));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Poll::Pending => {
                    self.pace.waits();
                    let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(Duration::ZERO)));
                    timer.as_mut().reset(self.pace.due);
                    ready!(timer.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(Spoilt::TooSlow)));
                }
            }
        }
    }
}

/// A whole body, and the memory that it takes.
#[derive(Default)]
pub struct Kept {
    pieces: Vec<Bytes>,
    _memory: Vec<Memory>,
}

/// A request's body as far as it is here.
pub enum Came {
    /// All of it.
    Whole(Rc<Kept>),
    /// The beginning of a long one.
    Long(Rc<Upload>),
}

/// Takes in a request's body until it is whole, or as much of it as may be kept. `start` is when its
/// client's time began.
pub async fn take_in(body: Incoming, start: Instant, budget: &Rc<Budget>) -> Result<Came, Spoilt> {
    let hint = body.size_hint();
    let mut source = Source { pace: Pace::new(start), body, timer: None, length: 0 };
    let (mut kept, mut memory): (Vec<Vec<u8>>, Vec<Memory>) = Default::default();
    loop {
        let data = match poll_fn(|cx| source.poll(cx)).await {
            None => {
                let pieces = kept.into_iter().map(Bytes::from).collect();
                return Ok(Came::Whole(Rc::new(Kept { pieces, _memory: memory })));
            }
            Some(data) => data?,
        };
        let mut data = &data[..];
        while !data.is_empty() {
            if kept.last().is_none_or(|piece| piece.len() >= PIECE) {
                // The first piece is part of what every client may take.
                if !kept.is_empty() {
                    memory.extend(budget.try_buffer_memory(PIECE / 1024));
                }
                kept.push(Vec::new());
            }
            let Some(piece) = kept.last_mut() else { continue };
            let (now, later) = data.split_at(data.len().min(PIECE - piece.len()));
            piece.extend_from_slice(now);
            data = later;
        }
        let length = kept.iter().map(Vec::len).sum::<usize>();
        if length > REQUEST_WHOLE_MOST || memory.len() + 1 < kept.len() {
            break;
        }
    }
    // What flows takes buffers on both sides. Where others have them all, this client waits for its turn:
    // its time has not begun to run.
    let flow = timeout(FLOW_WAIT, budget.stream_memory(FLOW_KIB)).await.map_err(|_| Spoilt::NoRoom)?;
    Ok(Came::Long(Rc::new(Upload {
        source: RefCell::new(source),
        kept: RefCell::new(kept.into_iter().map(Bytes::from).collect()),
        memory: RefCell::new(memory),
        _flow: flow,
        stated: hint.exact(),
        flows: Cell::new(false),
        ended: Cell::new(None),
        watcher: RefCell::default(),
    })))
}

impl Upload {
    /// Whether it can't be sent from its beginning any more.
    pub fn flows(&self) -> bool {
        self.flows.get()
    }

    /// Waits until it flows.
    pub async fn flowing(&self) {
        self.until(|| self.flows.get().then_some(())).await;
    }

    /// Waits for its end.
    pub async fn end(&self) -> Result<(), Spoilt> {
        self.until(|| self.ended.get()).await
    }

    async fn until<T>(&self, found: impl Fn() -> Option<T>) -> T {
        poll_fn(|cx| match found() {
            Some(found) => Poll::Ready(found),
            None => {
                self.watcher.replace(Some(cx.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }

    /// Its client may still be writing, though nobody wants the rest: reads it, so that the client comes to
    /// read its answer. Ends as any body does.
    pub async fn discard(&self) {
        while self.ended.get().is_none() {
            let _ = poll_fn(|cx| self.poll_rest(cx)).await;
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Spoilt>>> {
        if let Some(ended) = self.ended.get() {
            return Poll::Ready(ended.err().map(Err));
        }
        if !self.flows.replace(true) {
            self.kept.take();
            self.memory.take();
            self.wake();
        }
        let polled = ready!(self.source.borrow_mut().poll(cx));
        let whole = self.stated.is_some_and(|stated| self.source.borrow().length >= stated);
        match &polled {
            None => self.ends(Ok(())),
            Some(Err(spoilt)) => self.ends(Err(*spoilt)),
            Some(Ok(_)) if whole => self.ends(Ok(())),
            Some(Ok(_)) => {}
        }
        Poll::Ready(polled)
    }

    fn ends(&self, end: Result<(), Spoilt>) {
        self.ended.set(Some(end));
        self.wake();
    }

    fn wake(&self) {
        self.watcher.take().into_iter().for_each(Waker::wake);
    }
}

/// A request's body for an endpoint.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it is here.
    Buffered(Rc<Kept>),
    /// It still comes.
    Streaming(Rc<Upload>),
}

impl RequestBody {
    /// None at all, for what has no body.
    pub fn empty() -> Self {
        RequestBody::Buffered(Rc::default())
    }

    /// Whether its beginning is gone.
    pub fn is_spent(&self) -> bool {
        matches!(self, RequestBody::Streaming(upload) if upload.flows())
    }

    /// The beginning, and the length where it is known.
    fn kept(&self) -> (Vec<Bytes>, Option<u64>) {
        match self {
            RequestBody::Buffered(kept) => {
                let length = kept.pieces.iter().map(|piece| piece.len() as u64).sum();
                (kept.pieces.clone(), Some(length))
            }
            RequestBody::Streaming(upload) => (upload.kept.borrow().clone(), upload.stated),
        }
    }
}

/// A request's body on its way to an endpoint.
pub struct Sending {
    pieces: VecDeque<Bytes>,
    rest: Option<Rc<Upload>>,
    length: Option<u64>,
    sent: u64,
    wait: Option<Pin<Box<Sleep>>>,
    /// Set as the last byte goes.
    whole: Rc<Cell<bool>>,
    /// Counts the attempt then.
    heard: Rc<Heard>,
    metrics: Option<Rc<Metrics>>,
}

impl Sending {
    /// From its beginning.
    pub fn new(
        payload: &RequestBody,
        whole: Rc<Cell<bool>>,
        heard: Rc<Heard>,
        metrics: Option<Rc<Metrics>>,
    ) -> Self {
        let (pieces, length) = payload.kept();
        let rest = match payload {
            RequestBody::Buffered(..) => None,
            RequestBody::Streaming(upload) => Some(upload.clone()),
        };
        let mut sending =
            Sending { pieces: pieces.into(), rest, length, sent: 0, wait: None, whole, heard, metrics };
        // What has no body is whole with its head.
        if sending.is_end_stream() {
            sending.completed();
        }
        sending
    }

    fn completed(&mut self) {
        self.whole.set(true);
        if let Some(metrics) = self.metrics.take() {
            self.heard.count_written(metrics);
        }
    }

    fn gives(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.sent += data.len() as u64;
        if self.length.is_some_and(|length| self.sent >= length) {
            self.completed();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if let Some(upload) = &this.rest {
            if let Some(piece) = this.pieces.pop_front() {
                return this.gives(piece);
            }
            return match ready!(upload.clone().poll_rest(cx)) {
                Some(Ok(data)) => this.gives(data),
                Some(Err(spoilt)) => Poll::Ready(Some(Err(io::Error::other(format!("{spoilt:?}"))))),
                None => {
                    this.completed();
                    Poll::Ready(None)
                }
            };
        }
        let last = this.pieces.len() == 1;
        match this.pieces.front_mut() {
            None => Poll::Ready(None),
            Some(piece) if last && piece.len() > 1 => {
                this.wait = Some(Box::pin(sleep(LAST_BYTE)));
                let most = piece.split_to(piece.len() - 1);
                this.gives(most)
            }
            Some(_) => {
                if last {
                    let wait = this.wait.get_or_insert_with(|| Box::pin(sleep(LAST_BYTE)));
                    ready!(wait.as_mut().poll(cx));
                }
                let piece = this.pieces.pop_front().unwrap_or_default();
                this.gives(piece)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.length.is_some_and(|length| self.sent >= length)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::new, |length| SizeHint::with_exact(length - self.sent))
    }
}

/// An endpoint's answer, long, as it flows on.
pub struct Flow {
    first: VecDeque<Bytes>,
    rest: Incoming,
    length: u64,
    pause: Option<Pin<Box<Sleep>>>,
    /// Called once the answer has ended: its connection is then of further use. Dropped uncalled, it closes.
    parking: Option<Box<dyn FnOnce()>>,
    _memory: Memory,
}

impl Flow {
    /// It has begun with this; the rest is to come.
    pub fn new(first: Vec<Bytes>, rest: Incoming, parking: Box<dyn FnOnce()>, memory: Memory) -> Self {
        let first = first.into();
        Flow { first, rest, length: 0, pause: None, parking: Some(parking), _memory: memory }
    }

    /// Its length, where the endpoint has stated it.
    pub fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first.iter().map(|piece| piece.len() as u64).sum();
        self.rest.size_hint().exact().map_or_else(SizeHint::new, |rest| SizeHint::with_exact(first + rest))
    }

    /// Whether it has come to its end.
    pub fn is_over(&self) -> bool {
        self.parking.is_none()
    }

    /// The next piece. An error cuts the client's connection off, so that the client can tell.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            if let Some(piece) = self.first.pop_front() {
                self.length += piece.len() as u64;
                if self.first.is_empty() && self.rest.is_end_stream() {
                    self.over();
                }
                return Poll::Ready(Some(Ok(piece)));
            }
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(None) => {
                    self.over();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.pause = None;
                    let Ok(data) = frame.into_data() else { continue }; // trailers go no further
                    if self.length + data.len() as u64 > BODY_MOST {
                        return Poll::Ready(Some(Err(io::Error::other("too long"))));
                    }
                    self.first.push_back(data);
                }
                Poll::Pending => {
                    let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(FLOW_PAUSE)));
                    ready!(pause.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            }
        }
    }

    fn over(&mut self) {
        if let Some(parking) = self.parking.take() {
            parking();
        }
    }
}

/// The body of an endpoint's answer.
pub enum ResponseBody {
    /// All of it is here.
    Buffered(Bytes),
    /// It still comes.
    Streaming(Box<Flow>),
}
