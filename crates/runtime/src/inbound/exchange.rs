//! One request and its response on a client connection.

use super::Inbound;
use super::answered_ids::AnsweredIds;
use super::connection::{ClientConnection, Event};
use super::request::{Rejection, bad_request, body_rejection, remove_hop_by_hop_headers, text_response};
use super::upload_watch::{UploadEvent, UploadWatch};
use crate::events::{FinalResponse, ForwardedRequest, Inbox, Input, ReceivedRequest};
use crate::figures::{RequestMetrics, RequestOutcome};
use crate::request_log;
use crate::request_status::{RequestEnd, RequestStatus};
use crate::response_body::ResponseBody;
use crate::streaming::{
    BodyError, MAX_BODY_BYTES, ReceivedBody, RequestBody, StreamingUpload, receive_body,
};
use curlewhub_balance::RequestId;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Subtracted from the client's timeout, so that the response reaches it in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// Maximum time for receiving a long body: 32 MB at 64 kB/s take 500 s.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(600);
/// The balancer answers a request whose body is overdue within this, or it is answered without it.
const OVERDUE_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Rejection of a client that sends a second request before the response to the first.
const PIPELINED_REQUEST: Rejection = (StatusCode::BAD_REQUEST, "more than one request at once");
/// Refusal of a request whose client ended its connection before it was forwarded.
const CLIENT_CLOSED: Rejection = (StatusCode::SERVICE_UNAVAILABLE, "the client closed its connection");
/// `Retry-After` of a client that is refused for lack of connections or memory, in seconds.
const REFUSED_RETRY_AFTER: &str = "0.5";

/// The id of a request in progress, removed when dropped. A second request with the same id would be
/// confused with it.
struct OpenId<'a> {
    open_ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}

/// Ends the request if the client disconnects before its response.
struct ResponseWait<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    status: RequestStatus,
    answered: bool,
}

impl Drop for ResponseWait<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.status.record_end(RequestEnd::Abandoned);
            let _ = self.inbox.send(Input::ClientDisconnected(self.id));
        }
    }
}

/// A response body with the request's metrics and its connection, which all end together.
pub(super) struct OutgoingResponse {
    body: ResponseBody,
    metrics: Option<RequestMetrics>,
    connection: Rc<ClientConnection>,
    /// The id of a request that was served, and where it is recorded as its answer has been written.
    served: Option<(u64, Rc<AnsweredIds>)>,
}

impl Body for OutgoingResponse {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        match &mut this.body {
            ResponseBody::Buffered(body) if body.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(body) => Poll::Ready(Some(Ok(Frame::data(body.0.remove(0))))),
            ResponseBody::Streaming(stream) => {
                let piece = ready!(stream.poll(cx));
                if matches!(piece, Some(Err(_))) {
                    // Without a length, only a reset tells the client that the response is incomplete.
                    this.connection.monitor.reset_on_close();
                }
                if stream.is_complete()
                    && let Some(metrics) = &mut this.metrics
                {
                    metrics.set_outcome(RequestOutcome::Success);
                }
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ResponseBody::Buffered(body) => body.is_empty(),
            ResponseBody::Streaming(stream) => stream.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            ResponseBody::Streaming(stream) => stream.size_hint(),
        }
    }
}

impl Drop for OutgoingResponse {
    fn drop(&mut self) {
        if let Some((id, answered_ids)) = self.served.take()
            && self.is_end_stream()
            && !self.connection.monitor.peer_has_closed()
        {
            answered_ids.record(id, &self.connection);
        }
        request_log::answer_ended(self.connection.current_use(), self.is_end_stream());
        self.connection.response_ended();
    }
}

type Reply = Response<ResponseBody>;

/// How long a client waits for the response, from its last byte on.
struct ResponseTimes {
    /// Until the client gives up.
    timeout: Duration,
    /// Until the response must be on its way.
    within: Duration,
}

impl Inbound {
    pub(super) async fn handle_request(
        &self,
        request: Request<Incoming>,
        shed: bool,
        connection: &Rc<ClientConnection>,
    ) -> Result<Response<OutgoingResponse>, Infallible> {
        connection.apply(Event::RequestReceived);
        connection.begin_use();
        if let Some(id) = self.answered_ids.confirm(connection) {
            self.answer_delivered(id);
        }
        request_log::head_received(connection.current_use(), request.headers().get("x-request-id"));
        let mut metrics = None;
        // A client may keep its connection for at least 2 s after the response. If idle connections filled
        // the limit, new clients would be refused although few requests are being served.
        let mut last = shed || self.budget.is_crowded();
        let mut reply = if request.uri().path() == "/-/ready" && request.body().is_end_stream() {
            // A readiness check is no client: if hundreds of checkers kept their connections, they would
            // take the places of clients.
            last = true;
            let ready = self.lifecycle.is_ready();
            text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
        } else if shed {
            metrics = Some(self.metrics.start_request(self.class(request.uri())));
            let mut reply = text_response(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
            reply.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(REFUSED_RETRY_AFTER));
            reply
        } else {
            let metrics = metrics.insert(self.metrics.start_request(self.class(request.uri())));
            match self.serve_request(request, connection, metrics).await {
                Ok(reply) => {
                    request_log::answer_ready(connection.current_use(), reply.status(), "");
                    reply
                }
                Err((status, problem)) => {
                    request_log::answer_ready(connection.current_use(), status, problem);
                    // Nothing more is read from a client that sent an invalid request.
                    last = true;
                    let mut reply = text_response(status, problem);
                    if status == StatusCode::SERVICE_UNAVAILABLE {
                        reply
                            .headers_mut()
                            .insert(header::RETRY_AFTER, HeaderValue::from_static(REFUSED_RETRY_AFTER));
                    }
                    reply
                }
            }
        };
        connection.apply(Event::ResponseReady);
        // Buffers that have grown stay until the connection ends.
        last |= connection.monitor.holds_scarce_memory();
        if last || connection.last_response.get() || self.lifecycle.draining_since().is_some() {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(metrics) = &mut metrics {
            metrics.set_outcome(match reply.status() {
                // A streamed response succeeds once it has been sent to its end.
                StatusCode::OK if matches!(reply.body(), ResponseBody::Buffered(_)) => {
                    RequestOutcome::Success
                }
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Busy,
                _ => RequestOutcome::Failure,
            });
        }
        let open_request = connection.open_request.take();
        let served = open_request.filter(|_| reply.status() == StatusCode::OK);
        let served = served.map(|id| (id, self.answered_ids.clone()));
        Ok(reply.map(|body| OutgoingResponse { body, metrics, connection: connection.clone(), served }))
    }

    /// Tells the driver that a client has its answer: its id is no repeat if it comes again.
    pub(super) fn answer_delivered(&self, id: u64) {
        let _ = self.inbox.send(Input::AnswerDelivered(id)); // fails only while the process ends
    }

    /// Awaits a future, but rejects the request if more bytes arrive from the client meanwhile: a client
    /// may send only one request at a time, and bytes behind it are not taken as a request.
    async fn unless_pipelined<F: Future>(
        connection: &ClientConnection,
        future: F,
    ) -> Result<F::Output, Rejection> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if connection.monitor.has_more_input() {
                return Poll::Ready(Err(PIPELINED_REQUEST));
            }
            future.as_mut().poll(cx).map(Ok)
        })
        .await
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
        metrics: &mut RequestMetrics,
    ) -> Result<Reply, Rejection> {
        if connection.is_pipelined() {
            return Err(PIPELINED_REQUEST);
        }
        let (mut head, body) = request.into_parts();
        // hyper prefers chunked encoding over a length, and would take bytes hidden in the body for the
        // next request (request smuggling).
        if connection.monitor.has_conflicting_framing() {
            return Err(bad_request("both Content-Length and Transfer-Encoding"));
        }
        // Only the chunked coding is supported.
        let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
        if codings.any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
            return Err((StatusCode::LENGTH_REQUIRED, "unknown Transfer-Encoding"));
        }
        let (mut request, time) = self.parse_request(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(bad_request("a body where none goes"));
        }
        let id = head.headers.get("x-request-id").cloned().ok_or(bad_request("X-Request-ID is missing"))?;
        if !self.open_ids.borrow_mut().insert(id.clone()) {
            return Err((StatusCode::CONFLICT, "a request of that id is open"));
        }
        let job = self.job_identity(request.class, &id, head.headers.get("idempotency-key"));
        let open = OpenId { open_ids: &self.open_ids, id };
        connection.open_request.set(job.id);
        if let Some(id) = job.id.filter(|id| self.answered_ids.confirm_id(*id)) {
            self.answer_delivered(id);
        }
        let memory = self.budget.messages();
        let received =
            receive_body(body, connection.monitor.clone(), connection.request_start(), memory).await;
        let received = received.map_err(body_rejection)?;
        let (body, upload) = match received {
            ReceivedBody::Buffered(buffered) => (RequestBody::Buffered(buffered), None),
            ReceivedBody::Streaming(upload) => (RequestBody::Streaming(upload.clone()), Some(upload)),
        };
        if upload.is_none() {
            Self::unless_pipelined(connection, std::future::ready(())).await?;
            metrics.record_received();
        }
        // The client's timeout runs from its last byte.
        let received_at = Instant::now();
        if self.lifecycle.shutdown().is_some_and(|end| end.is_failing(received_at)) {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "the process ends"));
        }
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        request_log::request_received(connection.current_use(), &open.id, id, upload.is_none());
        request.id = id;
        request.body_incomplete = upload.is_some();
        remove_hop_by_hop_headers(&mut head.headers);
        let (reply, answered) = oneshot::channel();
        // The client may have sent an absolute URI; endpoints get only path and query.
        let target = head.uri.path_and_query().and_then(|target| target.as_str().parse().ok());
        let uri = target.unwrap_or(head.uri);
        let forwarded = ForwardedRequest { method: head.method, uri, headers: head.headers, body };
        let within = time - RESPONSE_MARGIN.min(time / 10);
        let deadline = received_at + if upload.is_some() { MAX_UPLOAD_TIME } else { within };
        let status = RequestStatus::default();
        let arrival = ReceivedRequest {
            request,
            job,
            deadline,
            response_timeout: within,
            forwarded,
            reply,
            status: status.clone(),
            connection: connection.monitor.clone(),
        };
        let mut wait = ResponseWait { inbox: &self.inbox, id, status, answered: false };
        let _ = self.inbox.send(Input::RequestReceived(Box::new(arrival)));
        let answer = match upload {
            None => {
                let answered = answer_by(received_at + time, answered);
                Self::unless_pipelined(connection, answered).await?
            }
            Some(upload) => {
                let times = ResponseTimes { timeout: time, within };
                self.answer_upload(upload, id, connection, times, answered, metrics).await?
            }
        };
        wait.answered = answer.is_some();
        Ok(match answer {
            Some(FinalResponse::Served(body)) => Response::new(body),
            Some(FinalResponse::Refused(retry_after)) => {
                let mut reply = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
                if let Some(delay) = retry_after
                    && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()))
                {
                    reply.headers_mut().insert(header::RETRY_AFTER, value);
                }
                reply
            }
            Some(FinalResponse::Failed) => text_response(StatusCode::BAD_GATEWAY, "failed"),
            None => text_response(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }

    /// Waits for the response to a request with a long body; none if it does not come in time. The client's time runs from
    /// the arrival of its last byte, whether or not the endpoint takes it.
    async fn answer_upload(
        &self,
        upload: Rc<StreamingUpload>,
        id: RequestId,
        connection: &ClientConnection,
        times: ResponseTimes,
        answered: oneshot::Receiver<FinalResponse>,
        metrics: &mut RequestMetrics,
    ) -> Result<Option<FinalResponse>, Rejection> {
        let mut watch = UploadWatch::new(connection.monitor.clone(), upload.clone(), times.within);
        let mut forwarded = pin!(self.forward_upload(&upload, id));
        let mut answered = answered;
        let mut deadline = None;
        let answer = loop {
            let event = tokio::select! {
                biased;
                answer = &mut answered => break Some(answer.unwrap_or(FinalResponse::Failed)),
                forwarded = forwarded.as_mut() => {
                    forwarded.map_err(body_rejection)?;
                    metrics.record_received();
                    let arrived_at = connection.monitor.last_arrival();
                    let _ = self.inbox.send(Input::BodyComplete(id, arrived_at + times.within));
                    let answered = answer_by(arrived_at + times.timeout, answered);
                    return Self::unless_pipelined(connection, answered).await;
                }
                event = watch.next() => event,
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => break None,
            };
            let (respond_by, answer_at_latest) = match event {
                UploadEvent::ClientClosed => return Err(CLIENT_CLOSED),
                UploadEvent::Arrived(at) => (at + times.within, at + times.timeout),
                UploadEvent::Overdue => (Instant::now(), Instant::now() + OVERDUE_ANSWER_TIME),
            };
            metrics.record_received();
            let _ = self.inbox.send(Input::BodyArrived(id, respond_by));
            deadline = Some(answer_at_latest);
        };
        // The response precedes the end of the request: the client reads it once it has written the whole body.
        connection.last_response.set(true);
        let rest = upload.clone();
        spawn_local(async move { rest.discard().await });
        Ok(answer)
    }

    /// Waits until a long body has been forwarded completely. Tells the driver when it starts to be
    /// streamed.
    async fn forward_upload(&self, upload: &StreamingUpload, id: RequestId) -> Result<(), BodyError> {
        upload.beginning_decided().await;
        if upload.is_streaming() {
            let _ = self.inbox.send(Input::BodyNotReplayable(id));
        }
        upload.end().await
    }
}

/// Waits for the driver's response until `deadline`, which answers the client in time even if the balancer lost track of the
/// request; none if it passes. A request that the driver dropped has failed.
async fn answer_by(deadline: Instant, answered: oneshot::Receiver<FinalResponse>) -> Option<FinalResponse> {
    let answer = timeout_at(deadline, answered).await.ok()?;
    Some(answer.unwrap_or(FinalResponse::Failed))
}
