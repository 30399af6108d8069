//! The life of each request and of its client's connection, one line for each change of state. The lines have the level
//! `trace`, so that they cost nothing unless the log's level asks for them, such as
//! `info,curlewhub_runtime::request_log=trace`; the limit on lines per second does not hold for this level.
//!
//! A line names the client's connection and which of its requests this is, or the number that the request has in this
//! process. `request received` has both, and the client's id.

use super::attempt_terms::Violation;
use super::request_status::RequestEnd;
use super::request_write::RequestByte;
use curlewhub_balance::{AttemptNo, EndpointId, Outcome, RequestId};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{Level, enabled, trace};

/// A client's connection, and how many requests have begun on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConnectionUse {
    pub connection: u64,
    pub use_number: u32,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNo,
}

fn text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or_default()
}

pub(crate) fn head_received(at: ConnectionUse, id: Option<&HeaderValue>) {
    trace!(
        connection = at.connection,
        use_number = at.use_number,
        x_request_id = text(id),
        "head received"
    );
}

pub(crate) fn request_received(at: ConnectionUse, id: &HeaderValue, request: RequestId, is_complete: bool) {
    trace!(
        connection = at.connection,
        use_number = at.use_number,
        x_request_id = text(Some(id)),
        request = request.0,
        is_complete,
        "request received"
    );
}

pub(crate) fn answer_ready(at: ConnectionUse, status: StatusCode, reason: &str) {
    let status = status.as_u16();
    trace!(connection = at.connection, use_number = at.use_number, status, reason, "answer ready");
}

pub(crate) fn answer_ended(at: ConnectionUse, is_complete: bool) {
    trace!(connection = at.connection, use_number = at.use_number, is_complete, "answer ended");
}

pub(crate) fn connection_closing(connection: u64, reason: &str) {
    trace!(connection, reason, "connection is closing");
}

pub(crate) fn connection_ended(connection: u64, reason: &dyn std::fmt::Debug) {
    trace!(connection, ?reason, "connection ended");
}

pub(crate) fn request_ended(request: RequestId, end: RequestEnd) {
    trace!(request = request.0, ?end, "request ended");
}

pub(crate) fn attempt_started(id: AttemptId, endpoint: &str, timeout: Duration) {
    let millis = timeout.as_millis() as u64;
    trace!(request = id.request.0, attempt = id.attempt.0, endpoint, millis, "attempt started");
}

pub(crate) fn attempt_forbidden(id: AttemptId, reason: &str) {
    trace!(request = id.request.0, attempt = id.attempt.0, reason, "attempt not started");
}

/// An attempt has a connection: from this local address, and used before or not.
pub(crate) fn connection_acquired(
    id: AttemptId,
    endpoint: EndpointId,
    local: impl FnOnce() -> Option<SocketAddr>,
    is_new: bool,
    waited: Duration,
) {
    if !enabled!(Level::TRACE) {
        return;
    }
    let (local, waited_us) = (local().map(|local| local.port()), waited.as_micros() as u64);
    trace!(
        request = id.request.0,
        attempt = id.attempt.0,
        endpoint = endpoint.0,
        local,
        is_new,
        waited_us,
        "connection acquired"
    );
}

/// A byte of an attempt was about to be written: its first, its last, or all.
pub(crate) fn write_checked(id: AttemptId, byte: RequestByte, violation: Option<Violation>) {
    trace!(request = id.request.0, attempt = id.attempt.0, ?byte, ?violation, "write checked");
}

pub(crate) fn attempt_withdrawn(id: AttemptId, reason: Violation) {
    trace!(request = id.request.0, attempt = id.attempt.0, ?reason, "attempt withdrawn");
}

pub(crate) fn attempt_ended(id: AttemptId, outcome: Outcome, elapsed: Duration) {
    let micros = elapsed.as_micros() as u64;
    trace!(request = id.request.0, attempt = id.attempt.0, ?outcome, micros, "attempt is over");
}
