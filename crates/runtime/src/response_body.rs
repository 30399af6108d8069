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
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// A response is buffered until it is complete up to this length, in bytes: if it turns out to be invalid
/// until then, the request can still be sent again.
const MAX_BUFFERED_RESPONSE: usize = 64 * 1024;
/// Longest pause of an endpoint's response while it is streamed to the client: a response that still makes
/// progress is not cut off, and one that hangs is not waited for indefinitely.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// A response that states a long length is streamed after this at the latest; until then it may still turn
/// out to be invalid, and the request be sent again.
const STREAM_AFTER: Duration = Duration::from_millis(200);

/// What has been read of a response.
pub enum ReadResponse {
    /// All of it.
    Complete(Outcome, BufferedBody),
    /// The beginning of a long one, and the rest.
    Streaming(Vec<Bytes>, Incoming, StreamWindow),
}

/// Reads a response; none if it is invalid. It is buffered until it is complete, so that a break
/// becomes an outcome and never a truncated response. An invalid response proves nothing, not even that
/// the request was not processed. Only a successful one that is long, or finds no memory, is streamed.
pub async fn read_response(
    response: Response<Incoming>,
    memory: &Arc<MessageMemory>,
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
    let is_long = min_length > MAX_BUFFERED_RESPONSE as u64;
    let mut buffer = BodyBuffer::new(memory, Purpose::AnswerOrHead);
    let mut stream_timer = pin!(sleep(STREAM_AFTER));
    let rest = loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = stream_timer.as_mut(), if is_long && !buffer.is_empty() => break Bytes::new(),
        };
        let data = match frame {
            None => return Some(ReadResponse::Complete(outcome, BufferedBody(buffer.into_pieces()))),
            Some(frame) => frame.ok()?.into_data().unwrap_or_default(), // trailers are not forwarded
        };
        let taken = buffer.push(&data);
        if taken < data.len() || buffer.len() > MAX_BUFFERED_RESPONSE {
            break data.slice(taken..);
        }
    };
    let (first, window) = StreamWindow::after(buffer, rest);
    Some(ReadResponse::Streaming(first, body, window))
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

/// A long response of an endpoint that is streamed to the client.
pub struct StreamingResponse {
    first: VecDeque<Bytes>,
    rest: Incoming,
    length: u64,
    window: StreamWindow,
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
        on_complete: Box<dyn FnOnce()>,
    ) -> Self {
        let on_complete = Some(on_complete);
        StreamingResponse { first: first.into(), rest, length: 0, window, stall_timer: None, on_complete }
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
                    let timer =
                        self.stall_timer.get_or_insert_with(|| Box::pin(sleep(STREAM_STALL_TIMEOUT)));
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
