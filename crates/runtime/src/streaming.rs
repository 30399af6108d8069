//! Request bodies. One that is too long to be buffered completely, or finds no memory for it, is streamed as fast as
//! its endpoint reads.

use super::message_memory::{BodyBuffer, BufferedBody, MessageMemory, Purpose};
use super::read_ahead::ReadAhead;
use super::socket::SocketMonitor;
use super::stream_window::StreamWindow;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// Maximum length of any body: 32 MB, counted as MiB.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// A request body is buffered until it is complete up to this length, in bytes, if memory allows. So most
/// requests are balanced only once their timeout runs, occupy no endpoint connection while they arrive, and
/// can be sent again.
const MAX_BUFFERED_REQUEST: usize = 1 << 20;
/// The lowest rate at which a well-behaved client writes a body, in bytes per second: 64 kB/s, less a
/// tolerance for clocks and scheduling.
const MIN_BODY_RATE: f64 = 56_000.0;
/// Time that a body has beyond what its bytes earn, counted from the connection's start, or a later
/// request's first byte: clients that are too slow must get an error or a close within 3 s.
const INITIAL_BODY_TIME: Duration = Duration::from_millis(2800);
/// Limit of the time that bytes which arrived faster than the lowest rate can earn in advance.
const MAX_EARNED_TIME: Duration = Duration::from_secs(2);
/// Why a request body was not received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    /// It was cut off, or is framed incorrectly.
    Broken,
    /// It exceeds `MAX_BODY_BYTES`.
    TooLong,
    /// Its client stopped sending, or is too slow.
    TooSlow,
}

/// Deadline of a body. Only the time spent waiting for its sender counts against it.
struct BodyDeadline {
    due: Instant,
    /// Since when the sender has been waited for.
    waiting: Option<Instant>,
    /// When the last wait for the sender ended; the time after it is spent elsewhere.
    wait_ended: Instant,
}

impl BodyDeadline {
    fn new(start: Instant) -> Self {
        BodyDeadline { due: start + INITIAL_BODY_TIME, waiting: None, wait_ended: Instant::now() }
    }

    fn wait_started(&mut self) {
        if self.waiting.is_none() {
            let now = Instant::now();
            self.due += now - self.wait_ended;
            self.waiting = Some(now);
        }
    }

    fn received(&mut self, bytes: usize) {
        self.wait_started();
        let now = Instant::now();
        let earned = self.due + Duration::from_secs_f64(bytes as f64 / MIN_BODY_RATE);
        self.due = self.due.max(earned.min(now + MAX_EARNED_TIME));
        (self.waiting, self.wait_ended) = (None, now);
    }
}

/// The rest of a request body as it arrives from the client, and the beginning that has been buffered.
pub struct StreamingUpload {
    source: RefCell<Source>,
    /// What was read behind the beginning.
    ahead: RefCell<ReadAhead>,
    /// The beginning; it can be sent, and sent again as long as nothing beyond it has been sent.
    buffered: RefCell<Vec<Bytes>>,
    /// What was read beyond it and is not written yet.
    window: StreamWindow,
    /// The length stated by the client.
    stated_length: Option<u64>,
    /// Reading has gone beyond the buffered beginning, which has been dropped: the body can't be sent
    /// again.
    is_streaming: Cell<bool>,
    ended: Cell<Option<Result<(), BodyError>>>,
    /// Woken when streaming starts and when the body ends.
    watcher: RefCell<Option<Waker>>,
}

struct Source {
    body: Incoming,
    monitor: Rc<SocketMonitor>,
    /// Bytes of the message that had been read when the sender was last waited for.
    awaited_from: u64,
    deadline: BodyDeadline,
    timer: Option<Pin<Box<Sleep>>>,
    length: u64,
    /// The end of the body was read.
    has_ended: bool,
}

impl Source {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(None) => {
                    self.has_ended = true;
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Broken))),
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers are not forwarded
                    self.length += data.len() as u64;
                    self.deadline.received(data.len());
                    if self.length > MAX_BODY_BYTES {
                        return Poll::Ready(Some(Err(BodyError::TooLong)));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Poll::Pending => {
                    self.deadline.wait_started();
                    self.awaited_from = self.monitor.bytes_read();
                    let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(Duration::ZERO)));
                    timer.as_mut().reset(self.deadline.due);
                    ready!(timer.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(BodyError::TooSlow)));
                }
            }
        }
    }
}

/// A request body as far as it has been received.
pub enum ReceivedBody {
    /// All of it.
    Buffered(Rc<BufferedBody>),
    /// The beginning of a long one.
    Streaming(Rc<StreamingUpload>),
}

/// Receives a request body until it is complete, or as much of it as may be buffered. `start` is when the
/// client's time began.
pub async fn receive_body(
    body: Incoming,
    monitor: Rc<SocketMonitor>,
    start: Instant,
    memory: &Arc<MessageMemory>,
) -> Result<ReceivedBody, BodyError> {
    let hint = body.size_hint();
    let deadline = BodyDeadline::new(start);
    let mut source =
        Source { body, monitor, awaited_from: 0, deadline, timer: None, length: 0, has_ended: false };
    let mut buffer = BodyBuffer::new(memory, Purpose::RequestBody);
    let rest = loop {
        let data = match poll_fn(|cx| source.poll(cx)).await {
            None => return Ok(ReceivedBody::Buffered(Rc::new(BufferedBody(buffer.into_pieces())))),
            Some(data) => data?,
        };
        let taken = buffer.push(&data);
        let rest = data.slice(taken..);
        if hint.exact().is_some_and(|length| source.length >= length) {
            let mut pieces = buffer.into_pieces();
            pieces.extend((!rest.is_empty()).then_some(rest));
            return Ok(ReceivedBody::Buffered(Rc::new(BufferedBody(pieces))));
        }
        if !rest.is_empty() || buffer.len() > MAX_BUFFERED_REQUEST {
            break rest;
        }
    };
    let (buffered, window) = StreamWindow::after(buffer, rest);
    Ok(ReceivedBody::Streaming(Rc::new(StreamingUpload {
        source: RefCell::new(source),
        ahead: RefCell::new(ReadAhead::new(memory)),
        buffered: RefCell::new(buffered),
        window,
        stated_length: hint.exact(),
        is_streaming: Cell::new(false),
        ended: Cell::new(None),
        watcher: RefCell::default(),
    })))
}

impl StreamingUpload {
    /// Whether it can no longer be sent from its beginning.
    pub fn is_streaming(&self) -> bool {
        self.is_streaming.get()
    }

    /// The length stated by the client.
    pub fn stated_length(&self) -> Option<u64> {
        self.stated_length
    }

    /// Whether its end was read, though pieces before the end may still wait to be forwarded.
    pub fn has_end_arrived(&self) -> bool {
        self.source.borrow().has_ended
    }

    /// Whether more of the body is waited for: none of it has been read since it was last asked for.
    pub fn awaits_client(&self) -> bool {
        let source = self.source.borrow();
        !source.has_ended
            && source.deadline.waiting.is_some()
            && source.awaited_from == source.monitor.bytes_read()
    }

    /// Waits until streaming starts, or until it turns out that the buffered beginning is all of the body, or that it failed.
    pub async fn beginning_decided(&self) {
        poll_fn(|cx| self.poll_beginning(cx)).await
    }

    /// Reads on behind the beginning, because the end of the body or of its connection may be the next thing to be read.
    fn poll_beginning(&self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.is_streaming.get() || self.ended.get().is_some() {
                return Poll::Ready(());
            }
            self.watcher.replace(Some(cx.waker().clone()));
            let mut ahead = self.ahead.borrow_mut();
            if ahead.is_full() || self.source.borrow().has_ended {
                return Poll::Pending;
            }
            match ready!(self.source.borrow_mut().poll(cx)) {
                // Behind bytes that were read ahead the end is noticed as they are forwarded.
                None if ahead.is_empty() => self.ended.set(Some(Ok(()))),
                None => {}
                Some(Err(error)) => self.ended.set(Some(Err(error))),
                Some(Ok(data)) => ahead.push(data),
            }
        }
    }

    /// Waits until it is complete or has failed.
    pub async fn end(&self) -> Result<(), BodyError> {
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

    /// Reads and drops the rest of a body that no endpoint needs any more: the client may still be writing,
    /// and reads its response only after that. Ends as for any other body.
    pub async fn discard(&self) {
        while self.ended.get().is_none() {
            let _ = poll_fn(|cx| self.poll_rest(cx)).await;
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(ended) = self.ended.get() {
            return Poll::Ready(ended.err().map(Err));
        }
        self.start_streaming();
        let ahead = self.ahead.borrow_mut().pop();
        let polled = match ahead {
            Some(data) => Some(Ok(data)),
            None => ready!(self.source.borrow_mut().poll(cx)),
        };
        let has_arrived = self.stated_length.is_some_and(|stated| self.source.borrow().length >= stated);
        let is_complete = has_arrived && self.ahead.borrow().is_empty();
        match &polled {
            None => self.set_ended(Ok(())),
            Some(Err(error)) => self.set_ended(Err(*error)),
            Some(Ok(_)) if is_complete => self.set_ended(Ok(())),
            Some(Ok(_)) => {}
        }
        Poll::Ready(polled)
    }

    /// Polls for the next piece to be written, once earlier ones are.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(ended) = self.ended.get() {
            return Poll::Ready(ended.err().map(Err));
        }
        // First, because the buffered beginning may hold a chunk that the window waits for.
        self.start_streaming();
        ready!(self.window.poll_ready(cx));
        let polled = ready!(self.poll_rest(cx));
        Poll::Ready(polled.map(|piece| piece.map(|data| self.window.add(data))))
    }

    /// Drops the buffered beginning: from now on the body can't be sent again.
    fn start_streaming(&self) {
        if !self.is_streaming.replace(true) {
            self.buffered.take();
            self.wake();
        }
    }

    fn set_ended(&self, end: Result<(), BodyError>) {
        self.ended.set(Some(end));
        self.wake();
    }

    fn wake(&self) {
        self.watcher.take().into_iter().for_each(Waker::wake);
    }
}

/// A request body that is to be sent to an endpoint.
#[derive(Clone)]
pub enum RequestBody {
    /// It is complete.
    Buffered(Rc<BufferedBody>),
    /// It is still being received.
    Streaming(Rc<StreamingUpload>),
}

impl RequestBody {
    /// No body.
    pub fn empty() -> Self {
        RequestBody::Buffered(Rc::default())
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        matches!(self, RequestBody::Buffered(body) if body.is_empty())
    }

    /// Whether its beginning is no longer available.
    pub fn is_beginning_lost(&self) -> bool {
        matches!(self, RequestBody::Streaming(upload) if upload.is_streaming())
    }

    /// The buffered beginning, and the total length if it is known.
    fn buffered(&self) -> (Vec<Bytes>, Option<u64>) {
        match self {
            RequestBody::Buffered(body) => (body.0.clone(), Some(body.len() as u64)),
            RequestBody::Streaming(upload) => (upload.buffered.borrow().clone(), upload.stated_length),
        }
    }
}

/// A request body that is being sent to an endpoint.
pub struct OutgoingBody {
    pieces: VecDeque<Bytes>,
    rest: Option<Rc<StreamingUpload>>,
    length: Option<u64>,
    sent: u64,
    /// The connection, which holds back the last byte: it has to know when all is handed over to it.
    monitor: Rc<SocketMonitor>,
}

impl OutgoingBody {
    /// Sends the body from its beginning.
    pub fn new(request_body: &RequestBody, monitor: Rc<SocketMonitor>) -> Self {
        let (pieces, length) = request_body.buffered();
        let rest = match request_body {
            RequestBody::Buffered(..) => None,
            RequestBody::Streaming(upload) => Some(upload.clone()),
        };
        OutgoingBody { pieces: pieces.into(), rest, length, sent: 0, monitor }
    }

    fn send_piece(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.sent += data.len() as u64;
        if self.length.is_some_and(|length| self.sent >= length) {
            self.monitor.request_handed_over();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if let Some(piece) = this.pieces.pop_front() {
            return this.send_piece(piece);
        }
        let Some(upload) = &this.rest else { return Poll::Ready(None) };
        match ready!(upload.clone().poll_next(cx)) {
            Some(Ok(data)) => this.send_piece(data),
            Some(Err(error)) => Poll::Ready(Some(Err(io::Error::other(format!("{error:?}"))))),
            None => {
                this.monitor.request_handed_over();
                Poll::Ready(None)
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
