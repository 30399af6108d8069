//! One request and its answer on a client's connection.

use super::Inbound;
use super::connection::{Step, Turn};
use super::request::{Bad, bad, drop_hop_headers, plain, spoilt};
use crate::events::{ClientStatus, FinalResponse, ForwardedRequest, Inbox, Input, ReceivedRequest};
use crate::figures::{RequestMetrics, RequestOutcome};
use crate::streaming::{BODY_MOST, Came, RequestBody, ResponseBody, Spoilt, Upload, take_in};
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
use tokio::time::{Instant, timeout_at};

/// Kept back from a client's time, for the answer to reach it.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// A long body may take so long altogether: 32 MB at 64 kB a second take 500 s.
const UPLOAD_MOST: Duration = Duration::from_secs(600);
/// What a client is told that does not wait for its answer.
const ANOTHER_AT_ONCE: Bad = (StatusCode::BAD_REQUEST, "more than one request at once");
/// When a client that found no room is to come back, in seconds.
const SHED_RETRY: &str = "0.5";

/// A request's own id while it is open: a second one by the same id would be taken for it.
struct OpenId<'a> {
    open: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}

/// Tells the driver when a client leaves before its answer.
struct Waiting<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    client: ClientStatus,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.client.set_disconnected();
            let _ = self.inbox.send(Input::ClientDisconnected(self.id));
        }
    }
}

/// An answer's body, the request's count, and its connection: that all end together.
pub(super) struct Outgoing {
    body: ResponseBody,
    counted: Option<RequestMetrics>,
    turn: Rc<Turn>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        match &mut this.body {
            ResponseBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            ResponseBody::Streaming(flow) => {
                let piece = ready!(flow.poll(cx));
                if matches!(piece, Some(Err(_))) {
                    // Where an answer has no length, only a reset tells its client that it is not whole.
                    this.turn.heard.resets();
                }
                if flow.is_over()
                    && let Some(counted) = &mut this.counted
                {
                    counted.set_outcome(RequestOutcome::Success);
                }
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ResponseBody::Buffered(bytes) => bytes.is_empty(),
            ResponseBody::Streaming(flow) => flow.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Streaming(flow) => flow.size_hint(),
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.turn.answered();
    }
}

type Reply = Response<ResponseBody>;

impl Inbound {
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        shed: bool,
        turn: &Rc<Turn>,
    ) -> Result<Response<Outgoing>, Infallible> {
        turn.step(Step::Taken);
        let mut counted = None;
        // Who keeps a connection after the answer keeps it for 2 s at least: where those fill up, new
        // clients would find no room, while hardly anybody is being answered.
        let mut last = shed || self.budget.is_crowded();
        let mut reply = if request.uri().path() == "/-/ready" && request.body().is_end_stream() {
            // Who only asks this is no client yet: hundreds that then stayed would take the clients' room.
            last = true;
            let ready = self.lifecycle.is_ready();
            plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
        } else if shed {
            counted = Some(self.metrics.start_request(self.class(request.uri())));
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
            reply.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(SHED_RETRY));
            reply
        } else {
            let counted = counted.insert(self.metrics.start_request(self.class(request.uri())));
            match self.serve_request(request, turn, counted).await {
                Ok(reply) => reply,
                Err((status, problem)) => {
                    // Whatever else such a client has sent is not to be read.
                    last = true;
                    let mut reply = plain(status, problem);
                    if status == StatusCode::SERVICE_UNAVAILABLE {
                        reply
                            .headers_mut()
                            .insert(header::RETRY_AFTER, HeaderValue::from_static(SHED_RETRY));
                    }
                    reply
                }
            }
        };
        turn.step(Step::Decided);
        if last || turn.last.get() || self.lifecycle.draining_since().is_some() {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(counted) = &mut counted {
            counted.set_outcome(match reply.status() {
                // What flows has succeeded once it has come to its end.
                StatusCode::OK if matches!(reply.body(), ResponseBody::Buffered(_)) => {
                    RequestOutcome::Success
                }
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Busy,
                _ => RequestOutcome::Failure,
            });
        }
        Ok(reply.map(|body| Outgoing { body, counted, turn: turn.clone() }))
    }

    /// Waits for something that comes to the client's connection, or is refused because the client
    /// goes on sending: one request at a time is the rule, and what is behind it is no request of ours.
    async fn undisturbed<F: Future>(turn: &Turn, future: F) -> Result<F::Output, Bad> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if turn.heard.more() {
                return Poll::Ready(Err(ANOTHER_AT_ONCE));
            }
            future.as_mut().poll(cx).map(Ok)
        })
        .await
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        turn: &Turn,
        counted: &mut RequestMetrics,
    ) -> Result<Reply, Bad> {
        if turn.came_ahead() {
            return Err(ANOTHER_AT_ONCE);
        }
        let (mut head, body) = request.into_parts();
        // hyper lets chunks win over a length beside them, and would take what was hidden in that body for
        // the next request.
        if turn.heard.framed_twice() {
            return Err(bad("both Content-Length and Transfer-Encoding"));
        }
        // Of codings there is only this one.
        let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
        if codings.any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
            return Err((StatusCode::LENGTH_REQUIRED, "unknown Transfer-Encoding"));
        }
        let (mut request, time) = self.read(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > BODY_MOST {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(bad("a body where none goes"));
        }
        let id = head.headers.get("x-request-id").cloned().ok_or(bad("X-Request-ID is missing"))?;
        if !self.open.borrow_mut().insert(id.clone()) {
            return Err((StatusCode::CONFLICT, "a request of that id is open"));
        }
        let _open = OpenId { open: &self.open, id };
        let came = take_in(body, turn.request_start(), &self.budget).await.map_err(spoilt)?;
        let (body, upload) = match came {
            Came::Whole(kept) => (RequestBody::Buffered(kept), None),
            Came::Long(upload) => (RequestBody::Streaming(upload.clone()), Some(upload)),
        };
        if upload.is_none() {
            Self::undisturbed(turn, std::future::ready(())).await?;
            counted.record_received();
        }
        // The client counts from its last byte.
        let came = Instant::now();
        if self.lifecycle.shutdown().is_some_and(|end| end.is_failing(came)) {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "the process ends"));
        }
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        request.body_incomplete = upload.is_some();
        let key = head.headers.get("idempotency-key").filter(|_| self.grouped[request.class.0]);
        let key = key.map(|key| curlewhub_keys::hash(&self.classes[request.class.0], key.as_bytes()));
        drop_hop_headers(&mut head.headers);
        let (reply, answered) = oneshot::channel();
        // The client may have written the whole URI; endpoints know the path alone.
        let target = head.uri.path_and_query().and_then(|target| target.as_str().parse().ok());
        let uri = target.unwrap_or(head.uri);
        let forwarded = ForwardedRequest { method: head.method, uri, headers: head.headers, body };
        let within = time - ANSWER_MARGIN.min(time / 10);
        let deadline = came + if upload.is_some() { UPLOAD_MOST } else { within };
        let client = ClientStatus::default();
        let arrival = ReceivedRequest {
            request,
            key,
            deadline,
            response_timeout: within,
            forwarded,
            reply,
            client: client.clone(),
        };
        let mut waiting = Waiting { inbox: &self.inbox, id, client, answered: false };
        let _ = self.inbox.send(Input::RequestReceived(Box::new(arrival)));
        let answer = match upload {
            // Where the module were to forget a request, its client would still be told in time.
            None => Self::undisturbed(turn, timeout_at(came + time, answered)).await?,
            Some(upload) => {
                let mut answered = pin!(answered);
                tokio::select! {
                    biased;
                    answer = answered.as_mut() => {
                        // Ahead of the request's end: its client comes to read it once it has written all.
                        turn.last.set(true);
                        spawn_local(async move { upload.discard().await });
                        Ok(answer)
                    }
                    came = self.passed_on(&upload, id) => {
                        came.map_err(spoilt)?;
                        counted.record_received();
                        let came = Instant::now();
                        let _ = self.inbox.send(Input::BodyComplete(id, came + within));
                        Self::undisturbed(turn, timeout_at(came + time, answered)).await?
                    }
                }
            }
        };
        waiting.answered = answer.is_ok();
        Ok(match answer {
            Ok(Ok(FinalResponse::Served(body))) => Response::new(body),
            Ok(Ok(FinalResponse::Refused(retry_after))) => {
                let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                if let Some(wait) = retry_after
                    && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
                {
                    reply.headers_mut().insert(header::RETRY_AFTER, value);
                }
                reply
            }
            Ok(Ok(FinalResponse::Failed) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }

    /// Follows a long body to its end, on its way to whichever endpoint takes it.
    async fn passed_on(&self, upload: &Upload, id: RequestId) -> Result<(), Spoilt> {
        upload.flowing().await;
        let _ = self.inbox.send(Input::BodyNotReplayable(id));
        upload.end().await
    }
}
