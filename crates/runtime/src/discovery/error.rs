//! Errors of calls to discovery.

use crate::connect::ConnectError;
use curlewhub_discovery_client::EndReason;
use hyper::StatusCode;
use std::io;

/// Why a call to discovery failed, or a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The response has a status other than 200: discovery is reachable.
    #[error("answered {0}")]
    Status(StatusCode),
    /// This machine could not make the call: nothing reached discovery.
    #[error("not made: {0}")]
    Local(#[source] io::Error),
    /// No connection was established within the connect timeout, a part of the call's timeout.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection failed.
    #[error("{0}")]
    Connect(#[source] ConnectError),
    /// The HTTP exchange failed.
    #[error("the HTTP exchange failed: {0}")]
    Http(#[source] hyper::Error),
    /// No response was received within the call's timeout.
    #[error("no answer in time")]
    ResponseTimeout,
    /// The request could not be built.
    #[error("the request can't be built: {0}")]
    Request(#[source] hyper::http::Error),
    /// Reading the body failed.
    #[error("{part} broke: {source}")]
    Body {
        /// The kind of response.
        part: ResponseKind,
        /// The cause.
        source: hyper::Error,
    },
    /// An incomplete body paused, or arrived too slowly.
    #[error("{0} broke off")]
    CutOff(ResponseKind),
    /// Nothing was received for too long.
    #[error("{0} fell silent")]
    Silent(ResponseKind),
    /// A watch's body ended.
    #[error("the watch ended")]
    WatchEnded,
    /// The response is longer than any list may be.
    #[error("{0} is too long")]
    TooLong(ResponseKind),
    /// The response is not a valid list.
    #[error("{part} is not a valid list: {source}")]
    Malformed {
        /// The kind of response.
        part: ResponseKind,
        /// The parse error.
        source: serde_json::Error,
    },
    /// A complete list was requested, and the response has changes only.
    #[error("the list is incomplete")]
    Incomplete,
}

/// The kind of response that was read.
#[derive(Clone, Copy, Debug)]
pub enum ResponseKind {
    /// A complete list.
    List,
    /// The lines of a watch.
    Watch,
}

impl std::fmt::Display for ResponseKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ResponseKind::List => "the list",
            ResponseKind::Watch => "the watch",
        })
    }
}

impl CallError {
    /// The error and its causes, for the log.
    pub(super) fn chain(&self) -> String {
        let mut text = self.to_string();
        let mut source = std::error::Error::source(self);
        while let Some(cause) = source {
            let cause_text = cause.to_string();
            if !text.ends_with(&cause_text) {
                text = format!("{text}: {cause_text}");
            }
            source = cause.source();
        }
        text
    }

    /// Classifies an error of connect(2).
    pub(super) fn from_connect(error: io::Error) -> Self {
        match ConnectError::from(error) {
            ConnectError::Resources(error) | ConnectError::Route(error) => CallError::Local(error),
            error => CallError::Connect(error),
        }
    }

    /// The reason for the discovery client; a watch that was up may have fallen silent or been reset.
    pub(super) fn end_reason(&self, watch_was_up: bool) -> EndReason {
        match self {
            CallError::Status(_) => EndReason::Refused,
            CallError::Local(_) => EndReason::LocalError,
            CallError::ConnectTimeout | CallError::Connect(_) => EndReason::NotConnected,
            CallError::Http(_) | CallError::ResponseTimeout => EndReason::NoResponse,
            CallError::Silent(_) if watch_was_up => EndReason::Silent,
            CallError::Body { source, .. } if watch_was_up && is_reset(source) => EndReason::Reset,
            _ => EndReason::Failed,
        }
    }
}

/// Whether the system reported a connection error, rather than the peer closing the connection.
fn is_reset(error: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if cause.downcast_ref::<io::Error>().is_some_and(|error| error.raw_os_error().is_some()) {
            return true;
        }
        source = cause.source();
    }
    false
}
