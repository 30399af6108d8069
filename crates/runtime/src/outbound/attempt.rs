//! Attempts and probes: one request over one connection, written only while its conditions hold.

use super::{AcquireError, Connection, Outbound};
use crate::aged_connections::AGED;
use crate::attempt_terms::{AttemptProgress, Violation};
use crate::events::{AttemptResult, is_long_head, set_timeout_header};
use crate::request_log;
use crate::request_write::{RequestByte, RequestWrite, WriteCheck};
use crate::response_body::{PauseLimit, ReadResponse, ResponseBody, StreamingResponse, read_response};
use crate::socket::SocketMonitor;
use crate::streaming::{OutgoingBody, RequestBody};
use crate::time_left::MAX_WRITE_DELAY;
use curlewhub_balance::{EndpointId, Outcome};
use hyper::{Request, header};
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// A probe that takes longer has failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// A response that has begun and brought nothing for this long has stopped for good, whatever time its client has left.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the checks whether more of a response has arrived.
const RESPONSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the checks whether a request that has not left this machine may still be begun: half of the slack of the
/// rules' time limits.
const UNSENT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A response as far as it was read, and the load report in its headers.
type Answer = (Option<ReadResponse>, Option<Vec<f64>>);

/// How an exchange over one connection ended.
enum ExchangeEnd {
    /// With a response, or without one because the connection broke or the response stopped.
    Answered(Answer),
    /// The request may no longer be begun, and had not left this machine completely.
    Withdrawn,
}

/// How one use of a connection ended.
enum Exchanged {
    /// The attempt has ended.
    Ended(AttemptResult),
    /// A stale pooled connection says nothing about its endpoint: the request is tried on another one.
    Stale,
}

/// What an attempt is made of.
struct AttemptTarget<'a> {
    endpoint: EndpointId,
    address: SocketAddr,
    progress: &'a AttemptProgress,
    /// An informational (1xx) response has arrived: it does not tell when the final one will.
    informational: Arc<AtomicBool>,
}

impl Outbound {
    /// Makes one attempt and waits for its end. The request is written at most once: only if it was
    /// provably never written, it is tried on another connection.
    pub async fn attempt(
        self: &Rc<Self>,
        endpoint: EndpointId,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        let informational = Arc::new(AtomicBool::new(false));
        let seen = informational.clone();
        hyper::ext::on_informational(&mut request, move |_| seen.store(true, Ordering::Relaxed));
        let target = AttemptTarget { endpoint, address, progress, informational };
        loop {
            let asked = Instant::now();
            let acquired = tokio::select! {
                biased;
                () = self.write_forbidden(&target) => Err(AcquireError::Failed(Outcome::NotSent)),
                acquired = self.acquire(endpoint, address) => acquired,
            };
            let (mut connection, is_new) = match acquired {
                Ok(acquired) => acquired,
                Err(AcquireError::RetryPool) => continue,
                Err(AcquireError::Failed(outcome)) => return AttemptResult::from_outcome(outcome),
            };
            if let Some(conditions) = &progress.conditions {
                let local = || connection.monitor.local_address();
                request_log::connection_acquired(conditions.id, endpoint, local, is_new, asked.elapsed());
            }
            // An idle connection may turn out to be closed only now.
            if !matches!(timeout(self.connect_timeout, connection.sender.ready()).await, Ok(Ok(()))) {
                if is_new {
                    return AttemptResult::from_outcome(Outcome::ConnectFailed);
                }
                continue;
            }
            if request.body().is_beginning_lost() {
                return AttemptResult::from_outcome(Outcome::ConnectFailed); // its beginning can't be sent again
            }
            match self.exchange(&target, &mut request, connection, is_new).await {
                Exchanged::Ended(result) => return result,
                Exchanged::Stale => {}
            }
        }
    }

    /// Sends the request over this connection and reads the response.
    async fn exchange(
        self: &Rc<Self>,
        target: &AttemptTarget<'_>,
        request: &mut Request<RequestBody>,
        mut connection: Connection,
        is_new: bool,
    ) -> Exchanged {
        let progress = target.progress;
        progress.fully_sent.set(false);
        // Read only now, because the wait for the connection has used up a part of the client's time.
        let read_at = Instant::now();
        if let Some(conditions) = &progress.conditions {
            let left = conditions.time_left.at(read_at);
            if left.is_zero() {
                return Exchanged::Ended(AttemptResult::from_outcome(progress.timeout_outcome()));
            }
            set_timeout_header(request.headers_mut(), left);
        }
        let monitor = connection.monitor.clone();
        connection.has_grown |= is_long_head(request);
        let idle = connection.idle_since.elapsed();
        monitor.reset();
        monitor.begin_request(RequestWrite::new(
            self.write_check(target, read_at),
            !request.body().is_empty(),
            progress.fully_sent.clone(),
            progress.conditions.as_ref().map(|_| self.metrics.clone()),
        ));
        let outgoing = request.clone().map(|body| OutgoingBody::new(&body, monitor.clone()));
        let (read, report) = match self.send_and_read(target, &mut connection, outgoing).await {
            ExchangeEnd::Answered(answer) => answer,
            // It has certainly not run only if its last byte was not written at all.
            ExchangeEnd::Withdrawn => {
                let may_have_run = progress.fully_sent.get();
                let outcome = if may_have_run { Outcome::Cancelled } else { Outcome::NotSent };
                return Exchanged::Ended(AttemptResult::from_outcome(outcome));
            }
        };
        // A failure of the network or of this machine does not depend on the connection's age.
        if !is_new && idle >= AGED && !monitor.failed_not_by_peer() {
            self.aged.record(read.is_none() && monitor.first_byte_at().is_none());
        }
        if monitor.write_rejected() {
            return Exchanged::Ended(AttemptResult::from_outcome(Outcome::NotSent));
        }
        self.exchange_result(target, connection, is_new, (read, report))
    }

    /// The result of an exchange that ended by itself.
    fn exchange_result(
        self: &Rc<Self>,
        target: &AttemptTarget<'_>,
        connection: Connection,
        is_new: bool,
        (read, report): Answer,
    ) -> Exchanged {
        let (endpoint, progress) = (target.endpoint, target.progress);
        let fully_sent = progress.fully_sent.get();
        let outcome = match read {
            Some(ReadResponse::Complete(outcome, body)) => {
                if fully_sent && !connection.sender.is_closed() {
                    self.release(endpoint, connection);
                }
                let body = ResponseBody::Buffered(body);
                return Exchanged::Ended(AttemptResult { outcome, body, report });
            }
            Some(ReadResponse::Streaming(first, rest, window)) => {
                let this = self.clone();
                let client_deadline = progress.client_deadline().unwrap_or_else(Instant::now);
                // Others may reuse the connection after the response, unless the request was cut short.
                let on_complete = Box::new(move || {
                    if fully_sent && !connection.sender.is_closed() {
                        this.release(endpoint, connection);
                    }
                });
                let pauses = PauseLimit::new(client_deadline);
                let response = StreamingResponse::new(first, rest, window, pauses, on_complete);
                let body = ResponseBody::Streaming(Box::new(response));
                return Exchanged::Ended(AttemptResult { outcome: Outcome::Ok, body, report });
            }
            None if fully_sent => Outcome::Reset,
            None if !is_new => return Exchanged::Stale,
            None if connection.monitor.failed_locally() => Outcome::LocalFault,
            None => Outcome::ConnectFailed,
        };
        Exchanged::Ended(AttemptResult::from_outcome(outcome))
    }

    /// Sends a request and reads its response, until the response stops or the request is withdrawn.
    async fn send_and_read(
        self: &Rc<Self>,
        target: &AttemptTarget<'_>,
        connection: &mut Connection,
        request: Request<OutgoingBody>,
    ) -> ExchangeEnd {
        let monitor = connection.monitor.clone();
        let has_head = Cell::new(false);
        let exchange = async {
            let Ok(response) = connection.sender.try_send_request(request).await else {
                return (None, None);
            };
            has_head.set(true);
            let report = self.load_reports.in_headers(response.headers());
            let memory = self.budget.messages();
            (read_response(response, memory, target.progress.client_deadline()).await, report)
        };
        tokio::select! {
            biased;
            answer = exchange => ExchangeEnd::Answered(answer),
            () = response_stopped(&monitor, &has_head, target) => ExchangeEnd::Answered((None, None)),
            () = self.unsent_forbidden(target, &monitor) => ExchangeEnd::Withdrawn,
        }
    }

    /// The conditions that are checked immediately before the first and the last byte of a request are written: during
    /// any wait until then the client may have disconnected or the window for repeats may have passed; until the first
    /// one, the endpoint may have been drained or the remaining time in the header may have become outdated.
    fn write_check(self: &Rc<Self>, target: &AttemptTarget<'_>, time_read_at: Instant) -> WriteCheck {
        let (this, endpoint, address) = (self.clone(), target.endpoint, target.address);
        let conditions = target.progress.conditions.clone();
        Box::new(move |byte: RequestByte| {
            let Some(conditions) = &conditions else { return this.gate.admits(endpoint, address) };
            let violation = match byte.is_first() {
                true if time_read_at.elapsed() >= MAX_WRITE_DELAY => Some(Violation::TimeOutdated),
                true if !this.gate.is_open(endpoint, address) => Some(Violation::EndpointClosed),
                _ => conditions.violation(),
            };
            request_log::write_checked(conditions.id, byte, violation);
            if violation.is_none() && byte.is_last() {
                conditions.record_begin();
            }
            violation.is_none()
        })
    }

    /// Returns once the attempt must no longer be written.
    async fn write_forbidden(&self, target: &AttemptTarget<'_>) {
        let (endpoint, address) = (target.endpoint, target.address);
        match &target.progress.conditions {
            Some(conditions) => tokio::select! {
                () = self.gate.closed(endpoint, address) => {}
                () = conditions.violated() => {}
            },
            None => self.gate.not_admitted(endpoint, address).await,
        }
    }

    /// Returns once the endpoint must not begin the request any more, if that has not left this machine completely.
    async fn unsent_forbidden(&self, target: &AttemptTarget<'_>, monitor: &SocketMonitor) {
        let Some(conditions) = &target.progress.conditions else { return pending().await };
        loop {
            tokio::select! {
                () = conditions.violated() => {}
                () = sleep(UNSENT_CHECK_INTERVAL) => {}
            }
            if !monitor.has_unsent_request() {
                return pending().await;
            }
            if let Some(violation) = conditions.violation() {
                return request_log::attempt_withdrawn(conditions.id, violation);
            }
        }
    }

    /// Asks an endpoint for its load.
    pub async fn probe(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr) -> AttemptResult {
        let request = Request::get("/-/load").header(header::HOST, address.to_string());
        let Ok(request) = request.body(RequestBody::empty()) else {
            return AttemptResult::from_outcome(Outcome::Error);
        };
        let progress = AttemptProgress::for_probe();
        match timeout(PROBE_TIMEOUT, self.attempt(endpoint, address, request, &progress)).await {
            Ok(mut ended) => {
                let ResponseBody::Buffered(body) = &ended.body else {
                    return AttemptResult::from_outcome(Outcome::Error);
                };
                let in_body = std::str::from_utf8(&body.0.concat())
                    .ok()
                    .and_then(|text| self.load_reports.read(text));
                ended.report = in_body.or(ended.report);
                ended
            }
            Err(_) => AttemptResult::from_outcome(progress.timeout_outcome()),
        }
    }
}

/// Reports the progress of a response, and returns once one that has begun has stopped for good. An informational (1xx)
/// response does not tell when the final one will arrive.
async fn response_stopped(monitor: &SocketMonitor, has_head: &Cell<bool>, target: &AttemptTarget<'_>) {
    let mut reported = 0;
    loop {
        let has_begun = monitor.first_byte_at().is_some()
            && (has_head.get() || !target.informational.load(Ordering::Relaxed));
        if has_begun {
            if monitor.silence() >= RESPONSE_STALL_TIMEOUT {
                return;
            }
            let bytes_read = monitor.bytes_read();
            if reported < bytes_read {
                reported = bytes_read;
                target.progress.record_answer_progress();
            }
        }
        tokio::select! {
            () = monitor.first_byte_arrived() => {}
            () = sleep(RESPONSE_CHECK_INTERVAL) => {}
        }
    }
}
