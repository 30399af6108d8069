//! Response bodies. A short one is buffered until it is complete; a long one, or one that finds no memory, is streamed
//! as fast as its client reads.

use super::message_memory::{BodyBuffer, BufferedBody, MessageMemory, Purpose};
use super::stream_window::StreamWindow;
use super::streaming::MAX_BODY_BYTES;
use curlewhub_balance::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming, SizeHint};
use hyper::{Response, StatusCode};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// A response is buffered until it is complete up to this length, in bytes: if it turns out to be invalid
/// until then, the request can still be sent again.
const MAX_BUFFERED_RESPONSE: usize = 64 * 1024;
/// Limits of the pause of a response that is streamed: within them it may pause for as long as its client would wait for
/// another one.
const MIN_STREAM_PAUSE: Duration = Duration::from_secs(3);
const MAX_STREAM_PAUSE: Duration = Duration::from_secs(10);
/// A response that states a long length is streamed after this at the latest; until then it may still turn
/// out to be invalid, and the request be sent again.
const STREAM_STATED_AFTER: Duration = Duration::from_millis(200);
/// One that states no length is streamed if it still arrives after this: it may be long.
const STREAM_UNSTATED_AFTER: Duration = Duration::from_millis(500);
/// A response is streamed this long before its client gives up, so that its beginning still arrives in time.
const STREAM_MARGIN: Duration = Duration::from_millis(20);

/// What has been read of a response.
pub enum ReadResponse {
    /// All of it.
    Complete(Outcome, BufferedBody),
    /// The beginning of a long one, and the rest.
    Streaming(Vec<Bytes>, Incoming, StreamWindow),
}

/// Reads a response; none if it is invalid. It is buffered until it is complete, so that a break
/// becomes an outcome and never a truncated response. An invalid response proves nothing, not even that
/// the request was not processed. Only a successful one that is long or may be, or finds no memory, is streamed.
pub async fn read_response(
    response: Response<Incoming>,
    memory: &Arc<MessageMemory>,
    client_deadline: Option<Instant>,
) -> Option<ReadResponse> {
    let (head, mut body) = response.into_parts();
    let not_processed = head.headers.get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Outcome::Rejected,
        _ => Outcome::Error,
    };
    drop(head); // it keeps a read buffer
    let min_length = body.size_hint().lower();
    if min_length > MAX_BODY_BYTES {
        return None;
    }
    if outcome != Outcome::Ok {
        let is_complete = skip_body(&mut body).await;
        return is_complete.then(|| ReadResponse::Complete(outcome, BufferedBody::default()));
    }
    let mut start = StreamStart::new(&body.size_hint(), client_deadline);
    let mut buffer = BodyBuffer::new(memory, Purpose::AnswerOrHead);
    let rest = loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = start.due(), if !buffer.is_empty() => break Bytes::new(),
        };
        let data = match frame {
            None => return Some(ReadResponse::Complete(outcome, BufferedBody(buffer.into_pieces()))),
            Some(frame) => frame.ok()?.into_data().unwrap_or_default(), // trailers are not forwarded
        };
        let taken = buffer.push(&data);
        if taken < data.len() || buffer.len() > MAX_BUFFERED_RESPONSE || start.is_due_at_progress() {
            break data.slice(taken..);
        }
    };
    let (first, window) = StreamWindow::after(buffer, rest);
    Some(ReadResponse::Streaming(first, body, window))
}

/// Decides when a response that is still being received is streamed.
struct StreamStart {
    began: Instant,
    last_progress: Instant,
    has_stated_length: bool,
    /// When it is streamed even if nothing arrives; none if it is known to be short.
    at: Option<Instant>,
}

impl StreamStart {
    fn new(length: &SizeHint, client_deadline: Option<Instant>) -> Self {
        let now = Instant::now();
        let has_stated_length = length.exact().is_some();
        let is_long = length.lower() > MAX_BUFFERED_RESPONSE as u64;
        let stream_by = client_deadline.map(|at| at.checked_sub(STREAM_MARGIN).unwrap_or(at));
        let at = match (has_stated_length, stream_by) {
            (true, _) if !is_long => None,
            (true, by) => {
                Some(by.map_or(now + STREAM_STATED_AFTER, |by| by.min(now + STREAM_STATED_AFTER)))
            }
            (false, by) => by,
        };
        StreamStart { began: now, last_progress: now, has_stated_length, at }
    }

    /// Records a piece. Returns whether a response without a stated length has arrived for so long that it is streamed.
    fn is_due_at_progress(&mut self) -> bool {
        self.last_progress = Instant::now();
        !self.has_stated_length && self.last_progress >= self.began + STREAM_UNSTATED_AFTER
    }

    /// Waits until it is to be streamed. One without a stated length that has paused by then may never end: it is not
    /// streamed.
    async fn due(&self) {
        let Some(at) = self.at else { return std::future::pending().await };
        sleep_until(at).await;
        if !self.has_stated_length && self.last_progress + STREAM_UNSTATED_AFTER < Instant::now() {
            std::future::pending().await
        }
    }
}

/// Reads and drops the body of a response that is not passed on; false if it is invalid or too long.
async fn skip_body(body: &mut Incoming) -> bool {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > MAX_BUFFERED_RESPONSE {
            return false;
        }
    }
    true
}

/// How long a response that is streamed may pause.
pub struct PauseLimit {
    client_deadline: Instant,
    longest: Duration,
}

impl PauseLimit {
    /// The limit for a client that gives up at `client_deadline`.
    pub fn new(client_deadline: Instant) -> Self {
        let time_left = client_deadline.saturating_duration_since(Instant::now());
        PauseLimit { client_deadline, longest: time_left.clamp(MIN_STREAM_PAUSE, MAX_STREAM_PAUSE) }
    }

    /// When a pause that begins now is too long. In its client's time any pause is allowed.
    fn end(&self) -> Instant {
        self.client_deadline.max(Instant::now() + self.longest)
    }
}

/// A long response of an endpoint that is streamed to the client.
pub struct StreamingResponse {
    first: VecDeque<Bytes>,
    rest: Incoming,
    length: u64,
    window: StreamWindow,
    pauses: PauseLimit,
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Called once the response is complete: its connection can then be reused. If it is dropped uncalled,
    /// the connection closes.
    on_complete: Option<Box<dyn FnOnce()>>,
}

impl StreamingResponse {
    /// A response of which `first` has been received and `rest` is to be read.
    pub fn new(
        first: Vec<Bytes>,
        rest: Incoming,
        window: StreamWindow,
        pauses: PauseLimit,
        on_complete: Box<dyn FnOnce()>,
    ) -> Self {
        let on_complete = Some(on_complete);
        let (first, stall_timer) = (first.into(), None);
        StreamingResponse { first, rest, length: 0, window, pauses, stall_timer, on_complete }
    }

    /// Its length, if the endpoint has stated it.
    pub fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first.iter().map(|piece| piece.len() as u64).sum();
        self.rest.size_hint().exact().map_or_else(SizeHint::new, |rest| SizeHint::with_exact(first + rest))
    }

    /// Whether it is complete.
    pub fn is_complete(&self) -> bool {
        self.on_complete.is_none()
    }

    /// Polls for the next piece, once earlier ones are written. After an error the client connection is reset, so
    /// that the client can tell that the response is incomplete.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(piece) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(self.pass_on(piece))));
        }
        ready!(self.window.poll_ready(cx));
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.stall_timer = None;
                    let Ok(data) = frame.into_data() else { continue }; // trailers are not forwarded
                    if self.length + data.len() as u64 > MAX_BODY_BYTES {
                        return Poll::Ready(Some(Err(io::Error::other("response body too long"))));
                    }
                    let data = self.window.add(data);
                    return Poll::Ready(Some(Ok(self.pass_on(data))));
                }
                Poll::Pending => {
                    let pauses = &self.pauses;
                    let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep_until(pauses.end())));
                    ready!(timer.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            }
        }
    }

    /// Counts a piece that is handed over for writing, which may be the last.
    fn pass_on(&mut self, piece: Bytes) -> Bytes {
        self.length += piece.len() as u64;
        if self.first.is_empty() && self.rest.is_end_stream() {
            self.complete();
        }
        piece
    }

    fn complete(&mut self) {
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }
}

/// The body of an endpoint's response.
pub enum ResponseBody {
    /// It is complete.
    Buffered(BufferedBody),
    /// It is still being received.
    Streaming(Box<StreamingResponse>),
}

impl ResponseBody {
    /// A body of these bytes.
    pub fn from_static(bytes: &'static [u8]) -> Self {
        ResponseBody::Buffered(BufferedBody(vec![Bytes::from_static(bytes)]))
    }

    /// No body.
    pub fn empty() -> Self {
        ResponseBody::Buffered(BufferedBody::default())
    }
}
